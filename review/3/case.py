"""Usual clients that write slowly: the last bytes of their requests come two seconds after the first. Each request that
was read and sent on has to get an answer on its connection, a failure at least."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (TROUBLE, Discovery, Dispatcher, Fleet, Host, new_id, read_answer, request_bytes,  # noqa: E402
                      run)

DISPATCHERS = 2
CLIENTS = 60
# Clients of each dispatcher that send usual requests all the time, about five a second each.
USUAL_CLIENTS = 5
# The time from a request's first byte to its last one, a round each.
WRITE_MS = [1996.0 + 0.25 * step for step in range(17)]


async def round_of(record, dispatcher, write_ms, lost, counts):
    """Each client has had an answer on its connection; then each writes a request, in two pieces."""
    connections = [await asyncio.open_connection("127.0.0.1", dispatcher.port) for _ in range(CLIENTS)]
    for _, writer in connections:
        writer.write(request_bytes(new_id(), "caption-draft", 4000))
    for reader, _ in connections:
        status, _, _, whole = await read_answer(reader)
        if status != 200 or not whole:
            raise RuntimeError(f"a usual request got {status}")
    await asyncio.sleep(0.2)
    requests = [new_id() for _ in connections]
    messages = [request_bytes(request, "proof-send", 10000, text="send the proof " * 10) for request in requests]
    first = 200 if TROUBLE else 0
    start = time.monotonic()
    for (_, writer), message in zip(connections, messages):
        writer.write(message[:first])
    record(f"{CLIENTS} clients have begun a request to {dispatcher.name}" if TROUBLE else "no request has begun")
    end = start + write_ms / 1000.0
    await asyncio.sleep(max(0.0, end - time.monotonic() - 0.003))
    while time.monotonic() < end:
        pass
    for (_, writer), message in zip(connections, messages):
        writer.write(message[first:])
    record(f"{CLIENTS} clients have written the last byte to {dispatcher.name}, {write_ms} ms after the first")
    for (reader, writer), request in zip(connections, requests):
        status, _, _, whole = await read_answer(reader)
        record("client got", request, status or "NO ANSWER, the connection closed", "whole" if whole else "not whole")
        counts[status] = counts.get(status, 0) + 1
        if status == 0:
            lost.append(request)
        writer.close()


async def usual_client(record, dispatcher, counts):
    """Background: one request after another on a connection that it keeps."""
    connection = None
    try:
        while True:
            if connection is None:
                connection = await asyncio.open_connection("127.0.0.1", dispatcher.port)
            reader, writer = connection
            request = new_id()
            writer.write(request_bytes(request, "caption-draft", 4000))
            status, headers, _, whole = await read_answer(reader)
            counts[status] = counts.get(status, 0) + 1
            if not whole or headers.get("connection", "") == "close":
                writer.close()
                connection = None
            await asyncio.sleep(random.expovariate(1.0) * 0.15)
    finally:
        if connection is not None:
            connection[1].close()


async def case(record, folder, dispatchers):
    fleet, discovery = Fleet(record), Discovery(record)
    await discovery.start()
    for flavor, count in (("prefill", 4), ("decode", 2)):
        for number in range(count):
            host = Host(fleet, record, f"s-{flavor[0]}{number}", flavor, read_ms=8.0)
            await host.start()
            discovery.put(host)
    for number in range(DISPATCHERS):
        dispatchers.append(Dispatcher(record, folder, number, DISPATCHERS, discovery))
        dispatchers[-1].start()
    for dispatcher in dispatchers:
        if not await dispatcher.ready():
            raise RuntimeError(f"{dispatcher.name} did not get ready")
    lost, counts, usual_counts = [], {}, {}
    usual = [asyncio.create_task(usual_client(record, dispatcher, usual_counts))
             for dispatcher in dispatchers for _ in range(USUAL_CLIENTS)]
    await asyncio.sleep(1.0)
    for number, write_ms in enumerate(WRITE_MS):
        await round_of(record, dispatchers[number % DISPATCHERS], write_ms, lost, counts)
    for task in usual:
        task.cancel()
    await asyncio.gather(*usual, return_exceptions=True)
    sent_on = {request for _, _, _, request in fleet.attempts}
    read = [request for request in lost if request in sent_on]
    for request in lost:
        record("no answer:", request, "LOST: a model host has got it, so it had been read"
               if request in sent_on else "no model host has got it")
    print(f"usual clients' answers by status: {usual_counts}; slow clients'")
    print(f"answers by status (0: none): {counts}; without an answer {len(lost)}, of these read and sent on: {len(read)}")
    if read:
        return f"{len(read)} requests were read and sent on, and their connections closed with no answer"
    return None


run(case, pathlib.Path(__file__).parent)
