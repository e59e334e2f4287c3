"""Discovery is slow: its agent answers each call 0.1 s late. A model host begins to drain. Nothing new may reach it later
than the grace after the dispatchers count as told."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common"))
from standins import (CLASSES, TROUBLE, Closed, Discovery, Dispatcher, Fleet, Host, new_id, now, plain,  # noqa: E402
                      read_answer, read_head, request_bytes, run)

DISPATCHERS = 2
SESSIONS = 5
PAUSE_MS = 150.0
# How late the agent answers; the drain grace of oshakati-north.
LATE_MS = 100.0
GRACE_MS = 250.0
DRAIN_AFTER_MS = 5000.0
END_MS = 35000.0
# Whatever calls fail, a change counts as told at the latest 6 s after discovery had it; then the grace, 50 ms on every
# time limit, and 150 ms for a dispatcher that is held up.
TOLD_AFTER_MS = 6000.0
LIMIT_MS = TOLD_AFTER_MS + GRACE_MS + 50.0 + 150.0


class SlowDiscovery(Discovery):
    """Answers as the agent does, but each answer begins LATE_MS after it could; no call is refused or lost."""

    calls, answers = 0, 0

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                self.calls += 1
                path = line.split(" ")[1]
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
                if "after" in query and self.revision <= int(query["after"]) and float(query.get("wait_ms", 0)) > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), float(query["wait_ms"]) / 1000.0)
                    except asyncio.TimeoutError:
                        pass
                if TROUBLE:
                    await asyncio.sleep(LATE_MS / 1000.0)
                answer = self.since(int(query["after"])) if "after" in query else self.full()
                if reader.at_eof() or reader.exception() is not None:
                    raise Closed()
                writer.write(plain("200 OK", json.dumps(answer).encode(), "Content-Type: application/json\r\n"))
                await writer.drain()
                self.answers += 1
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def session(record, dispatcher, results, end):
    connection = None
    await asyncio.sleep(random.random() * PAUSE_MS / 1000.0)
    while now() < end:
        request, lane = new_id(), random.choice(CLASSES)
        if connection is None:
            connection = await asyncio.open_connection("127.0.0.1", dispatcher.port)
        reader, writer = connection
        record("client sends", request, lane["name"], "to", dispatcher.name)
        writer.write(request_bytes(request, lane["name"], lane["giveUp"] // 1000))
        status, headers, _, whole = await read_answer(reader)
        record("client got", request, status, "whole" if whole else "not whole")
        results[status] = results.get(status, 0) + 1
        if not whole or headers.get("connection", "") == "close":
            writer.close()
            connection = None
        await asyncio.sleep(random.expovariate(1.0) * PAUSE_MS / 1000.0)
    if connection is not None:
        connection[1].close()


async def case(record, folder, dispatchers):
    fleet, discovery = Fleet(record), SlowDiscovery(record)
    await discovery.start()
    hosts = []
    for number in range(3):
        for flavor in ("prefill", "decode"):
            hosts.append(Host(fleet, record, f"s-{flavor[0]}{number}", flavor))
            await hosts[-1].start()
            discovery.put(hosts[-1])
    for number in range(DISPATCHERS):
        dispatchers.append(Dispatcher(record, folder, number, DISPATCHERS, discovery, drain_grace=int(GRACE_MS * 1000),
                                      release=1000000))
        dispatchers[-1].start()
    for dispatcher in dispatchers:
        if not await dispatcher.ready():
            raise RuntimeError(f"{dispatcher.name} did not get ready")
    results, start = {}, now()
    sessions = [asyncio.create_task(session(record, dispatcher, results, start + END_MS))
                for dispatcher in dispatchers for _ in range(SESSIONS)]
    await asyncio.sleep(DRAIN_AFTER_MS / 1000.0)
    for host in hosts[:2]:
        discovery.put(host, "draining")
    drained_at, draining = now(), {host.name for host in hosts[:2]}
    await asyncio.gather(*sessions)
    late = [(at, name, request) for at, name, _, request in fleet.attempts
            if name in draining and at > drained_at + LIMIT_MS]
    for at, name, request in late:
        record("DRAIN BROKEN:", request, "sent to", name, f"{at - drained_at:.0f} ms after discovery had its drain")
    print(f"answers by status {results}; calls of discovery {discovery.calls}, answered before they were given up "
          f"{discovery.answers}; attempts at draining hosts over {LIMIT_MS:.0f} ms after the change: {len(late)}")
    if sum(results.values()) < 100:
        raise RuntimeError("too few requests for a verdict")
    if late:
        return f"{len(late)} attempts reached draining hosts, up to {late[-1][0] - drained_at:.0f} ms after the change"
    return None


run(case, pathlib.Path(__file__).parent)
