"""Clients that write slowly, and a dispatcher that is held up for 0.14 s just as the last bytes of their requests come.
Each request that was read has to get an answer."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (TROUBLE, Discovery, Dispatcher, Fleet, Host, new_id, now, read_answer, request_bytes,  # noqa: E402
                      run)

ROUNDS = 6
DISPATCHERS = 2
SLOW_CLIENTS = 12
# A slow client writes its request in pieces; the last one comes so long after the first.
WRITE_MS = 1930.0
PIECES = 8
# The dispatcher is held up from shortly before the last piece.
HELD_FROM_MS, HELD_MS = 1900.0, 140.0
# Usual clients that send a request each at that moment.
USUAL_CLIENTS = 40


async def usual_clients(record, dispatcher, count):
    """Usual clients with a connection each; returns what sends one request on each of them at once."""
    connections = [await asyncio.open_connection("127.0.0.1", dispatcher.port) for _ in range(count)]
    for reader, writer in connections:
        writer.write(request_bytes(new_id(), "caption-draft", 4000))
        await read_answer(reader)

    def burst():
        for _, writer in connections:
            writer.write(request_bytes(new_id(), "caption-draft", 4000))

    async def answers():
        statuses = [(await read_answer(reader))[0] for reader, _ in connections]
        record("usual clients got", sorted(set(statuses)))
        for _, writer in connections:
            writer.close()

    return burst, answers


async def slow_client(record, dispatcher, begin, lost, counts):
    """One usual request first, so that the connection rests; then one that is written slowly."""
    reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
    first = new_id()
    writer.write(request_bytes(first, "caption-draft", 4000))
    status, _, _, whole = await read_answer(reader)
    record("client got", first, status, "whole" if whole else "not whole")
    if status != 200 or not whole:
        writer.close()
        counts["not begun"] += 1
        return
    await begin.wait()
    request = new_id()
    message = request_bytes(request, "proof-send", 10000, text="send the proof " * 40)
    size = len(message) // PIECES
    start = now()
    for number in range(PIECES):
        await asyncio.sleep(max(0.0, start + WRITE_MS * number / (PIECES - 1) - now()) / 1000.0)
        last = number == PIECES - 1
        writer.write(message[number * size:] if last else message[number * size:(number + 1) * size])
    record("client has written", request, f"to {dispatcher.name}, the last byte {now() - start:.0f} ms after the first")
    status, _, _, whole = await read_answer(reader)
    waited = now() - start
    record("client got", request, status or "NO ANSWER, connection closed", f"{waited:.0f} ms after the first byte")
    counts[status] = counts.get(status, 0) + 1
    if status == 0:
        lost.append(request)
    writer.close()


async def case(record, folder, dispatchers):
    fleet, discovery = Fleet(record), Discovery(record)
    await discovery.start()
    for number in range(2):
        for flavor in ("prefill", "decode"):
            host = Host(fleet, record, f"s-{flavor[0]}{number}", flavor)
            await host.start()
            discovery.put(host)
    for number in range(DISPATCHERS):
        dispatchers.append(Dispatcher(record, folder, number, DISPATCHERS, discovery))
        dispatchers[-1].start()
    for dispatcher in dispatchers:
        if not await dispatcher.ready():
            raise RuntimeError(f"{dispatcher.name} did not get ready")
    lost, counts = [], {"not begun": 0}
    for number in range(ROUNDS):
        dispatcher, begin = dispatchers[number % DISPATCHERS], asyncio.Event()
        clients = [asyncio.create_task(slow_client(record, dispatcher, begin, lost, counts))
                   for _ in range(SLOW_CLIENTS)]
        burst, answers = await usual_clients(record, dispatcher, USUAL_CLIENTS)
        await asyncio.sleep(0.5)
        begin.set()
        await asyncio.sleep(HELD_FROM_MS / 1000.0)
        burst()
        if TROUBLE:
            dispatcher.signal(signal.SIGSTOP)
            await asyncio.sleep(HELD_MS / 1000.0)
            dispatcher.signal(signal.SIGCONT)
        await asyncio.gather(answers(), *clients)
        await asyncio.sleep(0.5)
    run_ids = {request for _, _, _, request in fleet.attempts}
    read = [request for request in lost if request in run_ids]
    for request in lost:
        record("LOST:", request, "closed with no answer;",
               "a model host got it, so it had been read" if request in run_ids else "no model host got it")
    print(f"answers by status (0: none): {counts}; without an answer {len(lost)}, of these {len(read)} had been read and "
          "sent on")
    answered = sum(count for status, count in counts.items() if status != "not begun")
    if answered < ROUNDS * SLOW_CLIENTS // 2:
        raise RuntimeError("too few requests were sent for a verdict")
    if read:
        return f"{len(read)} requests were read and sent on, and their connections closed with no answer"
    return None


run(case, pathlib.Path(__file__).parent)
