"""A model host hangs in the middle of its streams for a little under four seconds; the dispatcher is held up for 0.14 s at
the end of that. The events that came meanwhile have to be passed on, and the streams to their ends."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common"))
from standins import (TROUBLE, Discovery, Dispatcher, Fleet, Host, chunk, new_id, now, plain,  # noqa: E402
                      read_answer, request_bytes, run)

DISPATCHERS = 2
ROUNDS = 8
STREAMS = 6
# How long the writers hang, from their last event, and when the dispatcher is held up, from the same moment.
HANG_MS = 3930.0
HELD_FROM_MS, HELD_MS = 3900.0, 140.0
CLASSES = [{"name": "dealer-query", "effect": "safe", "keyScope": "all", "dedupWindow": 5000000, "aim": 1500000,
            "giveUp": 7500000, "importance": 1.0, "lateShare": 0.3, "stream": True}]


class Writer(Host):
    """Writes three events, hangs with all its streams until it is told to go on, and writes the rest."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.go_on = asyncio.Event()
        self.last_event_at = 0.0
        self.finished = {}

    async def write(self, reader, writer, headers, body):
        request = self.begins(headers)
        if self.fleet.states.pop(request, None) is None:
            writer.write(plain("410 Gone", b"", "X-Turned-Away: 1\r\n"))
            return
        events = self.stream_of(request)
        writer.write(self.HEAD + chunk(events[0]))
        await writer.drain()
        await self.work(reader, 20.0)
        writer.write(chunk(events[1]))
        await writer.drain()
        self.last_event_at = max(self.last_event_at, now())
        self.record("host", self.name, "wrote two events of", request)
        if TROUBLE:
            self.fleet.hanging += 1
            await self.go_on.wait()
            self.record("host", self.name, "goes on with", request)
        for event in events[2:]:
            writer.write(chunk(event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished[request] = now()
        self.record("host", self.name, "wrote the rest of", request)


async def client(record, dispatcher, request, results):
    reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
    writer.write(request_bytes(request, "dealer-query", 7500))
    status, _, text, whole = await read_answer(reader)
    record("client got", request, status, "whole" if whole else "NOT WHOLE", f"{text.count('data:')} events")
    results.append((request, status, whole, now()))
    writer.close()


async def case(record, folder, dispatchers):
    fleet, discovery = Fleet(record), Discovery(record)
    fleet.hanging = 0
    await discovery.start()
    writers = []
    for number in range(2):
        for kind, flavor in ((Host, "prefill"), (Writer, "decode")):
            host = kind(fleet, record, f"s-{flavor[0]}{number}", flavor)
            await host.start()
            discovery.put(host)
            writers += [host] if flavor == "decode" else []
    for number in range(DISPATCHERS):
        dispatchers.append(Dispatcher(record, folder, number, DISPATCHERS, discovery, classes=CLASSES, resume=False,
                                      drain_grace=500000))
        dispatchers[-1].start()
    for dispatcher in dispatchers:
        if not await dispatcher.ready():
            raise RuntimeError(f"{dispatcher.name} did not get ready")
    results = []
    for number in range(ROUNDS):
        dispatcher = dispatchers[number % DISPATCHERS]
        fleet.hanging = 0
        for writer in writers:
            writer.go_on.clear()
            writer.last_event_at = 0.0
        clients = [asyncio.create_task(client(record, dispatcher, new_id(), results)) for _ in range(STREAMS)]
        if TROUBLE:
            while fleet.hanging < STREAMS:
                await asyncio.sleep(0.005)
            begin = max(writer.last_event_at for writer in writers)
            await asyncio.sleep((begin + HELD_FROM_MS - now()) / 1000.0)
            dispatcher.signal(signal.SIGSTOP)
            await asyncio.sleep((begin + HANG_MS - now()) / 1000.0)
            for writer in writers:
                writer.go_on.set()
            await asyncio.sleep((begin + HELD_FROM_MS + HELD_MS - now()) / 1000.0)
            dispatcher.signal(signal.SIGCONT)
        await asyncio.gather(*clients)
        await asyncio.sleep(0.2)
    finished = {request: at for writer in writers for request, at in writer.finished.items()}
    cut = [request for request, status, whole, at in results if status == 200 and not whole and request in finished
           and finished[request] < at]
    print(f"{len(results)} streams, {sum(whole for _, _, whole, _ in results)} whole; "
          f"cut although the host had written the rest before: {len(cut)}")
    if cut:
        return f"{len(cut)} streams were cut although their events had come"
    return None


run(case, pathlib.Path(__file__).parent)
