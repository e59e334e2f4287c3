"""A model host sends a second answer some milliseconds after a good stream. Every client has to get the events of its own
request, or an error."""

import asyncio
import pathlib
import random
import re
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (CLASSES, TROUBLE, Discovery, Dispatcher, Fleet, Host, chunk, new_id,  # noqa: E402
                      now, read_answer, request_bytes, run)

SECONDS = 45.0
DISPATCHERS = 2
# Sessions of each dispatcher, and the mean pause between two requests of one: some 30 requests a second.
SESSIONS = 8
PAUSE_MS = 120.0
# One good stream in this many has a second answer behind it, so many milliseconds later.
SECOND_ANSWER_ONE_IN = 8
SECOND_ANSWER_AFTER_MS = (3.0, 8.0)


async def second_answer(host, writer, request):
    """The same answer once more, whole, some milliseconds after the first one."""
    if not TROUBLE or host.random.randrange(SECOND_ANSWER_ONE_IN):
        return
    delay = host.random.uniform(*SECOND_ANSWER_AFTER_MS)

    async def later():
        await asyncio.sleep(delay / 1000.0)
        if not writer.is_closing():
            host.record("host", host.name, f"sends a second answer to {request}, {delay:.1f} ms after the first")
            writer.write(host.HEAD + b"".join(chunk(event) for event in host.stream_of(request)) + b"0\r\n\r\n")

    asyncio.get_running_loop().create_task(later())


async def session(record, dispatcher, results, end):
    """A client: one request at a time on a connection that it keeps; a new one when the dispatcher has closed it."""
    connection = None
    await asyncio.sleep(random.random() * PAUSE_MS / 1000.0)
    while now() < end:
        request, lane = new_id(), random.choice(CLASSES)
        if connection is None:
            connection = await asyncio.open_connection("127.0.0.1", dispatcher.port)
        reader, writer = connection
        record("client sends", request, lane["name"], "to", dispatcher.name)
        writer.write(request_bytes(request, lane["name"], lane["giveUp"] // 1000))
        status, headers, text, whole = await read_answer(reader)
        record("client got", request, status, "whole" if whole else "not whole")
        results.append((request, lane["name"], status, text, whole))
        if not whole or headers.get("connection", "") == "close":
            writer.close()
            connection = None
        await asyncio.sleep(random.expovariate(1.0) * PAUSE_MS / 1000.0)
    if connection is not None:
        connection[1].close()


async def case(record, folder, dispatchers):
    fleet, discovery = Fleet(record), Discovery(record)
    await discovery.start()
    hosts = [Host(fleet, record, f"s-{flavor[0]}{number}", flavor, first_ms=25.0) for flavor in ("prefill", "decode")
             for number in range(2)]
    for host in hosts:
        await host.start()
        host.after_stream = second_answer
        discovery.put(host)
    for number in range(DISPATCHERS):
        dispatchers.append(Dispatcher(record, folder, number, DISPATCHERS, discovery))
        dispatchers[-1].start()
    for dispatcher in dispatchers:
        if not await dispatcher.ready():
            raise RuntimeError(f"{dispatcher.name} did not get ready")
    results, end = [], now() + SECONDS * 1000.0
    await asyncio.gather(*(session(record, dispatcher, results, end)
                           for dispatcher in dispatchers for _ in range(SESSIONS)))
    served = [result for result in results if result[2] == 200]
    foreign = []
    for request, lane, status, text, whole in served:
        others = {name for name in re.findall(r'"content": "([0-9a-f]{16})/', text) if name != request}
        if others:
            foreign.append((request, lane, whole, others))
            record("FOREIGN:", request, lane, "whole" if whole else "not whole", "got the events of", *others)
    print(f"{len(results)} requests, {len(served)} served, {len(foreign)} with the events of another request")
    if len(served) < 100:
        raise RuntimeError("too few requests were served for a verdict")
    if foreign:
        return f"{len(foreign)} of {len(served)} served clients got the answer to another client's request"
    return None


run(case, pathlib.Path(__file__).parent)
