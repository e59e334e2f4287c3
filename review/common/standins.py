"""Stand-ins for the users' platform, written from their protocol page: discovery, model hosts and clients, and the start
of dispatchers by the deploy file. Standard library only; loopback addresses and the real clock."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    """Milliseconds on a clock that does not jump."""
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, one line each, with the time since the start in milliseconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, *parts):
        self.file.write(f"{now() - self.start:10.1f} " + " ".join(str(part) for part in parts) + "\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------- HTTP/1.1


class Closed(Exception):
    pass


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; Closed if the connection ended before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(getattr(error, "partial", b"")) from error
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_exactly(reader, count):
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed() from error


async def read_chunk(reader):
    """The next chunk of a chunked body; empty for the last one."""
    try:
        line = await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed() from error
    size = int(line.split(b";")[0], 16)
    data = await read_exactly(reader, size + 2)
    return data[:-2]


def is_closed(reader):
    """Whether the other side has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


def chunk(text):
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def plain(status, body=b"", headers=""):
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


# ---------------------------------------------------------------------------------------------- discovery


class Discovery:
    """Discovery's agent: answers at once with what it has; a watch waits for something newer."""

    def __init__(self, record):
        self.record = record
        self.revision = 41
        self.members = {}
        self.changed_at = {}
        self.changed = asyncio.Event()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, host, phase="up", up_since_ms=0):
        self.revision += 1
        self.members[host.name] = {
            "id": host.name, "host_port": host.address, "locality": host.zone, "flavor": host.flavor,
            "cell": host.cell, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}
        self.changed_at[host.name] = self.revision
        self.record("discovery has", host.name, phase, "revision", self.revision)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def full(self):
        members = [member for member in self.members.values() if member["phase"] != "removed"]
        return {"revision": self.revision, "complete": True, "members": members}

    def since(self, after):
        members = [self.members[name] for name, at in self.changed_at.items() if at > after]
        return {"revision": self.revision, "complete": False, "members": members}

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                path = line.split(" ")[1]
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
                if "after" not in query:
                    answer = self.full()
                else:
                    after, wait = int(query["after"]), float(query.get("wait_ms", 0)) / 1000.0
                    if self.revision <= after and wait > 0:
                        try:
                            await asyncio.wait_for(self.changed.wait(), wait)
                        except asyncio.TimeoutError:
                            pass
                    answer = self.since(after)
                writer.write(plain("200 OK", json.dumps(answer).encode(), "Content-Type: application/json\r\n"))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------- model hosts


class Fleet:
    """What all model hosts share: which reader holds the state of which request."""

    def __init__(self, record):
        self.record = record
        self.states = {}
        self.attempts = []

    def release(self, request):
        if self.states.pop(request, None) is not None:
            self.record("state released", request)


class Host:
    """A model host. `flavor` is `prefill` (a reader) or `decode` (a writer)."""

    def __init__(self, fleet, record, name, flavor, zone="klein-windhoek", cell=0, events=5, read_ms=15.0,
                 first_ms=15.0, gap_ms=15.0):
        self.fleet, self.record = fleet, record
        self.name, self.flavor, self.zone, self.cell = name, flavor, zone, cell
        self.events, self.read_ms, self.first_ms, self.gap_ms = events, read_ms, first_ms, gap_ms
        self.server = None
        self.address = None
        self.after_stream = None
        self.random = random.Random(name)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_exactly(reader, int(headers.get("content-length", "0")))
                method, path, _ = line.split(" ")
                if method == "DELETE":
                    self.fleet.release(path.rpartition("/")[2])
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif path in ("/-/load", "/-/healthy"):
                    writer.write(plain("200 OK", b'{"util":0.2,"queue":0,"x0":0.1}'))
                elif self.flavor == "prefill":
                    await self.read(reader, writer, headers, body)
                else:
                    await self.write(reader, writer, headers, body)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def begins(self, headers):
        request = headers["x-txn"]
        self.record("host", self.name, "attempt", request, "lane", headers.get("x-lane"), "remaining",
                    headers.get("x-remaining-ms"))
        self.fleet.attempts.append((now(), self.name, self.flavor, request))
        return request

    async def work(self, reader, delay_ms):
        """Works for a time; Closed if the dispatcher closes the connection meanwhile."""
        end = now() + delay_ms
        while now() < end:
            if is_closed(reader):
                raise Closed()
            await asyncio.sleep(max(0.0, min(5.0, end - now()) / 1000.0))

    async def read(self, reader, writer, headers, body):
        request = self.begins(headers)
        await self.work(reader, self.read_ms * (0.5 + self.random.random()))
        self.fleet.states[request] = self.name
        self.record("host", self.name, "has read", request)
        writer.write(plain("202 Accepted", b'{"cached_tokens":0}', "Content-Type: application/json\r\n"))

    def stream_of(self, request):
        """The events of the answer to a request; each one names the request."""
        events = [{"choices": [{"index": 0, "delta": {"content": f"{request}/{number} "}, "finish_reason": None}]}
                  for number in range(self.events)]
        events.append({"choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": "stop"}]})
        events.append({"choices": [], "usage": {"prompt_tokens": 256, "completion_tokens": 4 * self.events,
                                                "prompt_tokens_details": {"cached_tokens": 0}}})
        return [f"data: {json.dumps(event)}\n\n" for event in events] + ["data: [DONE]\n\n"]

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def write(self, reader, writer, headers, body):
        request = self.begins(headers)
        if self.fleet.states.pop(request, None) is None:
            self.record("host", self.name, "has no state for", request)
            writer.write(plain("410 Gone", b"", "X-Turned-Away: 1\r\n"))
            return
        self.record("host", self.name, "runs", request)
        await self.work(reader, self.first_ms * (0.5 + self.random.random()))
        events = self.stream_of(request)
        writer.write(self.HEAD)
        for event in events[:self.events]:
            writer.write(chunk(event))
            await writer.drain()
            await self.work(reader, self.gap_ms * (0.5 + self.random.random()))
        writer.write(b"".join(chunk(event) for event in events[self.events:]) + b"0\r\n\r\n")
        await writer.drain()
        self.record("host", self.name, "has answered", request)
        if self.after_stream is not None:
            await self.after_stream(self, writer, request)


# ---------------------------------------------------------------------------------------------- dispatchers

CLASSES = [
    {"name": "caption-draft", "effect": "safe", "keyScope": "all", "dedupWindow": 5000000, "aim": 1000000,
     "giveUp": 4000000, "importance": 2.0, "lateShare": 0.3, "stream": True},
    {"name": "proof-send", "effect": "unsafe", "keyScope": "all", "dedupWindow": 5000000, "aim": 2500000,
     "giveUp": 10000000, "importance": 3.0, "lateShare": 0.1, "stream": True},
]


def settings(number, dispatchers, classes=None, resume=True, drain_grace=2000000, release=500000):
    """The settings of one dispatcher: the example of the users' wire page, as nested JSON."""
    return {
        "me": number, "replicasOfMe": dispatchers, "zone": 0,
        "zones": ["klein-windhoek", "eros", "southern-ind"], "tick": 4000, "tier": 0, "stages": ["model-fleet"],
        "discovery": "automatic", "family": "twostage", "shapes": ["prefill", "decode"], "orgs": [],
        "overShareWorth": 0.1, "weightSource": "off", "worthBy": "work", "callers": {"marksRetry": False},
        "familyInfo": {"kindRole": ["read", "write"], "tokensByKind": [268275, 195537], "release": release,
                       "resume": resume, "mayReserve": False, "localRead": False, "moveFee": 0.04,
                       "aimUsPer1000PromptTokens": [40000.0, 40000.0], "tokenAim": [60000.0, 80000.0]},
        "limits": {"cancel": True, "connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 500000, "maxAttempts": 4, "maxRetryAfter": 2000000, "mayDuplicate": True,
                   "mostHeld": 20000, "peers": True, "probes": True, "retryAfter": False, "streamsPerConn": 100},
        "prices": {"crossZone": 0.0087, "lateFail": 0.08, "peer": 0.0026, "probe": 0.004, "waste": 0.03},
        "rules": {"askWithin": 10000000, "drainGrace": drain_grace, "fallMultiple": 4.0, "graceToAnswer": 16000,
                  "overloadFor": 3000000, "rampTime": 14000000, "startCapacity": 0.32},
        "services": classes or CLASSES,
        "stats": {"columns": ["cpu", "waiting", "x0"], "source": "on_probe"},
    }


def free_port():
    import socket
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Dispatcher:
    """One dispatcher, started as the deploy file says: `run` by /bin/sh -c from the root."""

    def __init__(self, record, folder, number, dispatchers, discovery, sockets=512, memory_mb=128, **options):
        self.record, self.folder, self.number = record, pathlib.Path(folder), number
        self.name, self.port = f"n{number}", free_port()
        self.discovery, self.sockets, self.memory_mb = discovery, sockets, memory_mb
        self.settings = settings(number, dispatchers, **options)
        self.process, self.starts = None, 0
        self.log = self.folder / f"{self.name}.log"

    def configure(self, discovery=None):
        self.discovery = discovery or self.discovery
        self.starts += 1
        peer = f"127.0.0.1:{self.port}"
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery.address,
                  "seed": f"{random.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "peer_listen": peer, "peers": [peer], "peers_all": peer,
                  "known": self.discovery.full(), "settings": self.settings}
        path = self.folder / f"{self.name}.json"
        written = self.folder / f"{self.name}.json.new"
        written.write_text(json.dumps(config))
        written.rename(path)
        return path

    def start(self):
        path = self.configure()
        run = re.search(r'^run *= *"([^"]*)"', (ROOT / "deploy/balancer.toml").read_text(), re.MULTILINE).group(1)
        private = self.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        env = dict(os.environ, GW_NAME=self.name, GW_LISTEN=f"127.0.0.1:{self.port}",
                   GW_DISCOVERY=self.discovery.address, GW_CONFIG=str(path), TMPDIR=str(private))
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)
        self.record("dispatcher", self.name, "started")

    async def ready(self):
        end = now() + 30000.0
        while now() < end:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line + " ":
                    self.record("dispatcher", self.name, "ready")
                    return True
            except (Closed, OSError):
                pass
            await asyncio.sleep(0.02)
        return False

    def signal(self, which):
        self.record("dispatcher", self.name, "gets", signal.Signals(which).name)
        self.process.send_signal(which)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


# ---------------------------------------------------------------------------------------------- clients


def request_bytes(request, lane, remaining_ms, text="write a caption", headers="", session=None):
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 200,
                       "messages": [{"role": "user", "content": text}]}).encode()
    return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {request}\r\nX-Lane: {lane}\r\n"
            f"X-Entity: {session or request}\r\nX-Remaining-Ms: {remaining_ms}\r\n"
            f"X-Labels: prompt_len={len(body) // 4},max_out=200\r\n{headers}"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


async def read_answer(reader):
    """One answer: its status, its headers, the text of its body, and whether it came whole. Status 0 is no answer."""
    try:
        line, headers = await read_head(reader)
    except Closed:
        return 0, {}, "", False
    status = int(line.split(" ")[1])
    text = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                part = await read_chunk(reader)
                if not part:
                    await read_exactly(reader, 0)
                    return status, headers, text.decode(), True
                text += part
        text = await read_exactly(reader, int(headers.get("content-length", "0")))
        return status, headers, text.decode(), True
    except Closed:
        return status, headers, text.decode(errors="replace"), False


# ---------------------------------------------------------------------------------------------- the run


def run(case, folder):
    """Runs `case(record, folder)`, a coroutine that returns None if the rule held, or a text that says how it was
    broken; exits with 0, 1 or 2."""
    folder = pathlib.Path(folder)
    record = Record(folder / "record.txt")
    private = tempfile.mkdtemp(prefix="review-")
    dispatchers = []

    async def within():
        return await asyncio.wait_for(case(record, private, dispatchers), 110.0)

    code = 2
    try:
        if not (ROOT / "target/release/cindercleat").exists():
            raise RuntimeError("the program is not built")
        broken = asyncio.run(within())
        code = 0 if broken is None else 1
        print("held" if broken is None else f"broken: {broken}")
        record("held" if broken is None else f"broken: {broken}")
    except BaseException as error:  # the case couldn't run
        print(f"could not run: {error!r}")
        record(f"could not run: {error!r}")
    finally:
        for dispatcher in dispatchers:
            dispatcher.end()
        if os.environ.get("KEEP"):
            shutil.copytree(private, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(private, ignore_errors=True)
        record.close()
    sys.exit(code)
