"""Bad clients stop in the middle of a request and stay; usual clients with little time left come and go meanwhile."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib-2"))
from world import *

STREAMS = 30            # usual requests that stream meanwhile: less than a third of the 256 descriptors
BAD_CLIENTS = 150       # "by hundreds"
LITTLE_TIME_MS = 150    # "requests with very little time left"
GONE_MS = 100.0         # an attempt that begins more than 0.1 s after the close is a break
SLACK_MS = 50.0         # every time limit on sockets is longer by this


async def bad_client(world, port, number, turned_away):
    """Sends half of a head, then stays; reads what it is sent."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began = now_ms()
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + request_id().encode())
        answer = await asyncio.wait_for(reader.read(100), 8)
        world.record(f"bad client {number}: {answer[:12]!r} after {now_ms() - began:.0f} ms")
        if answer:
            turned_away.append(number)
        await asyncio.sleep(4)
        writer.close()
    except (OSError, asyncio.TimeoutError) as problem:
        world.record(f"bad client {number}: {type(problem).__name__}")


async def short_client(world, port, closed):
    """A usual client with little time left: when that is over it closes its connection and has gone."""
    identity = request_id()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes(identity, "caption-draft", LITTLE_TIME_MS))
        await writer.drain()
        sent = now_ms()
        world.record(f"client sent {identity} remaining={LITTLE_TIME_MS}")
        try:
            answer = Answer()
            await asyncio.wait_for(read_answer(reader, answer), LITTLE_TIME_MS / 1000.0)
            world.record(f"client {identity} was answered {answer.status}")
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()
        closed[identity] = now_ms()
        world.record(f"client {identity} closed after {closed[identity] - sent:.0f} ms")
    except OSError as problem:
        world.record(f"client {identity}: {type(problem).__name__}")


async def case(world):
    world.memory_mb, world.sockets = 64, 256
    world.add_hosts(3, 3)
    for host in world.hosts:
        host.events, host.event_ms = 100, 60.0
    await world.start()
    port = world.dispatchers[0].port
    streams = [asyncio.ensure_future(ask(world, port)) for _ in range(STREAMS)]
    await asyncio.sleep(1.0)
    bad, short, closed, turned_away = [], [], {}, []
    if TROUBLE:
        world.record(f"{BAD_CLIENTS} bad clients connect")
        bad = [asyncio.ensure_future(bad_client(world, port, number, turned_away)) for number in range(BAD_CLIENTS)]
    # The usual clients with little time come once the bad ones have got their errors, which takes some 2 s.
    until = now_ms() + 2_500
    while now_ms() < until and len(turned_away) < 75:
        await asyncio.sleep(0.005)
    for _ in range(12):
        short.append(asyncio.ensure_future(short_client(world, port, closed)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*short)
    await asyncio.gather(*streams)
    for task in bad:
        task.cancel()
    breaks, checked = [], 0
    for at, host, identity in world.attempts:
        if identity in closed:
            checked += 1
            if at > closed[identity] + GONE_MS + SLACK_MS:
                breaks.append(f"{host} got an attempt of {identity} {at - closed[identity]:.0f} ms after its client "
                              f"had closed its connection")
    world.record(f"{len(closed)} short requests, {checked} attempts of them, {len(breaks)} for clients that had gone")
    print(f"{len(closed)} short requests, {checked} attempts of them, {len(breaks)} for clients that had gone")
    return breaks


play(os.path.dirname(os.path.abspath(__file__)), case)
