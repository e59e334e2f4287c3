"""Bad clients begin a chunk of less than 256 KiB, stop before its end and stay; the process's memory is watched."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import *

BAD_CLIENTS = 150           # "hundreds"; the dispatcher may hold 512 descriptors
CHUNK = (256 << 10) - 16    # a body of less than the 256 KiB that a body may have


async def bad_client(world, port, number, ends):
    """Sends a head and nearly all of one chunk at full speed, then stays; reads what it is sent."""
    identity = request_id()
    began = now_ms()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {identity}\r\n"
                      f"X-Lane: caption-draft\r\nX-Entity: {identity}\r\nX-Remaining-Ms: 4000\r\n"
                      f"Transfer-Encoding: chunked\r\n\r\n{CHUNK:x}\r\n").encode() + b"x" * (CHUNK - 1024))
        await writer.drain()
        answer = await asyncio.wait_for(reader.read(200), 10)
        ends.append((now_ms() - began, answer[:12]))
        writer.close()
    except (OSError, asyncio.TimeoutError) as problem:
        ends.append((now_ms() - began, type(problem).__name__.encode()))
    world.record(f"bad client {number} ended after {ends[-1][0]:.0f} ms with {ends[-1][1]!r}")


async def platform(world, dispatcher, seen):
    """Over memory_mb the dispatcher is killed. Only the memory of its own counts here, no file's."""
    while dispatcher.alive():
        used = dispatcher.status_kb("RssAnon")
        seen["peak_kb"] = max(seen["peak_kb"], used)
        if used > world.memory_mb * 1024:
            seen["killed_at_kb"] = used
            world.record(f"platform: {used} kB are over {world.memory_mb} MB, the dispatcher is killed")
            dispatcher.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.005)


async def case(world):
    world.memory_mb, world.sockets = 32, 512
    world.add_hosts(3, 3)
    for host in world.hosts:
        host.events, host.event_ms = 10, 60.0
    await world.start()
    dispatcher = world.dispatchers[0]
    seen = {"peak_kb": 0}
    watch = asyncio.ensure_future(platform(world, dispatcher, seen))
    asked, bad, ends = [], [], []
    for step in range(60):
        if not dispatcher.alive():
            break
        asked.append(asyncio.ensure_future(ask(world, dispatcher.port)))
        if TROUBLE and step == 20:
            world.record(f"{BAD_CLIENTS} bad clients connect")
            bad = [asyncio.ensure_future(bad_client(world, dispatcher.port, number, ends))
                   for number in range(BAD_CLIENTS)]
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*asked)
    await asyncio.gather(*bad)
    watch.cancel()
    lost = [answer for answer in answers if answer.status is None or not answer.whole]
    world.record(f"peak {seen['peak_kb']} kB of {world.memory_mb * 1024}; {len(answers)} requests, {len(lost)} not whole")
    print(f"peak {seen['peak_kb']} kB of {world.memory_mb * 1024}; {len(lost)} of {len(answers)} usual requests not whole")
    breaks = []
    if "killed_at_kb" in seen:
        breaks.append(f"the dispatcher went over its memory limit: {seen['killed_at_kb']} kB of "
                      f"{world.memory_mb * 1024}; {len(lost)} usual requests that it had taken were cut off")
    elif not dispatcher.alive():
        breaks.append("the dispatcher ended")
    return breaks


play(os.path.dirname(os.path.abspath(__file__)), case)
