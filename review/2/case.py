"""Usual clients that send many requests at once on a connection, with prompts of usual length. Each request that was read
and sent on has to get an answer on its connection, a failure at least."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from standins import (CLASSES, TROUBLE, Discovery, Dispatcher, Fleet, Host, new_id, now, read_answer,  # noqa: E402
                      request_bytes, run)

SECONDS = 20.0
DISPATCHERS = 2
CLIENTS = 3
# Requests that a client sends at once, and the length of their prompts in tokens of four characters: shared texts of
# 2,200 to 6,600 tokens and some hundreds of new ones.
AT_ONCE = 16
PROMPT_TOKENS = (2500, 7300)


async def client(record, dispatcher, results, end):
    while now() < end:
        lane = random.choice(CLASSES)
        reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
        requests = [new_id() for _ in range(AT_ONCE)]
        messages = [request_bytes(request, lane["name"], lane["giveUp"] // 1000,
                                  text="word" * random.randint(*PROMPT_TOKENS)) for request in requests]
        if TROUBLE:
            record("client sends", len(requests), lane["name"], "at once to", dispatcher.name,
                   sum(map(len, messages)), "bytes:", *requests)
            writer.write(b"".join(messages))
        for number, request in enumerate(requests):
            if not TROUBLE:
                record("client sends", request, lane["name"], "to", dispatcher.name, len(messages[number]), "bytes")
                writer.write(messages[number])
            status, headers, _, whole = await read_answer(reader)
            record("client got", request, status or "NO ANSWER, the connection closed", "whole" if whole else "not whole")
            results.append((request, lane["name"], number, status, dispatcher.name))
            if status == 0 or not whole or headers.get("connection", "") == "close":
                # What was not read is for the client to send again; it is not counted.
                results += [(later, lane["name"], number, 0, dispatcher.name) for later in requests[number + 1:] if TROUBLE]
                break
        writer.close()
        await asyncio.sleep(random.random() * 0.2)


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
    results, end = [], now() + SECONDS * 1000.0
    await asyncio.gather(*(client(record, dispatcher, results, end) for dispatcher in dispatchers for _ in range(CLIENTS)))
    sent_on = {request for _, _, _, request in fleet.attempts}
    lost = [result for result in results if result[3] == 0 and result[0] in sent_on]
    for request, lane, number, _, dispatcher in lost:
        record("LOST:", request, lane, f"number {number + 1} of {AT_ONCE} to {dispatcher}: a model host has got it, and "
               "its connection was closed with no answer")
    counts = {}
    for _, _, _, status, _ in results:
        counts[status] = counts.get(status, 0) + 1
    print(f"answers by status (0: none): {counts}; sent on to a model host and closed with no answer: {len(lost)}")
    if lost:
        return f"{len(lost)} requests were read and sent on, and their connections closed with no answer"
    return None


run(case, pathlib.Path(__file__).parent)
