"""A read's connection is reset at its end, and the connection that the next read goes out on has fallen silent."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib-2"))
from world import *

ROUNDS = 4
RELEASE_MS = 500.0      # release_ms
ADDED_MS = 300.0        # "What is held has 300 ms more than the settings say"
SLACK_MS = 50.0         # on sockets every time limit is longer by this


async def case(world):
    world.add_hosts(2, 2)
    for host in world.hosts:
        host.events = 2
    readers = world.hosts[:2]
    resets, held, over, out = set(), {}, {}, {}

    async def behave(host, request, reader, writer, headers):
        if request not in resets:
            return False
        resets.discard(request)
        await asyncio.sleep(0.02)
        # The read has ended well just as its connection is reset: what it left is held like any other state.
        held[request] = now_ms()
        world.record(f"host {host.name} has read {request} and holds its state; the connection is reset")
        writer.transport.abort()
        return True

    for host in readers:
        host.behave = behave

    def let_go(what):
        def note(host, request):
            if request in held and request not in over:
                over[request] = now_ms()
                world.record(f"host {host.name}: the state of {request} is {what}")
        return note

    world.on_release = let_go("released")
    world.on_run = let_go("taken")
    arrived = world.on_attempt

    def on_attempt(host, request, headers, body):
        arrived(host, request, headers, body)
        if request in held:
            out.setdefault(request, now_ms())

    world.on_attempt = on_attempt
    await world.start()
    port = world.dispatchers[0].port
    tested = []
    for number in range(ROUNDS):
        # The first turn of a conversation shows which reader it goes to; others keep a connection to each reader.
        entity = os.urandom(8).hex()
        for _ in range(6):
            await ask(world, port)
        first = await ask(world, port, entity=entity)
        home = [host for _, host, identity in world.attempts if identity == first.id][0]
        other = [host for host in readers if host.name != home][0]
        await asyncio.sleep(0.4)
        idle = [link for link in other.links if not link.busy and not link.silent]
        if not idle:
            continue
        if TROUBLE:
            # One connection falls silent by itself: the one that was in use last. The host runs, and all others go on.
            max(idle, key=lambda link: link.used_at).silent = True
            world.record(f"one of {len(idle)} resting connection(s) to {other.name} has fallen silent")
        identity = request_id()
        resets.add(identity)
        tested.append(identity)
        await ask(world, port, identity=identity, entity=entity)
        await asyncio.sleep(0.6)
    breaks = []
    for identity in tested:
        if identity not in held:
            continue
        end = min(over.get(identity, now_ms()), out.get(identity, now_ms()))
        lay = end - held[identity]
        world.record(f"the state of {identity} lay for {lay:.0f} ms with no attempt out")
        if lay > RELEASE_MS + ADDED_MS + SLACK_MS:
            breaks.append(f"the state of {identity} was held for {lay:.0f} ms while no attempt of it was out")
    print(f"{len([i for i in tested if i in held])} states left by reads that were reset, {len(breaks)} held too long")
    if not [i for i in tested if i in held]:
        raise CannotRun("no read was reset")
    return breaks


play(os.path.dirname(os.path.abspath(__file__)), case)
