"""Stand-ins of clients, model hosts, discovery and the platform for the second review's cases.

Written from the protocol page. Standard library only. Everything listens on loopback addresses with free ports.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now_ms():
    return time.monotonic() * 1000.0


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now_ms()
        self.lines = 0

    def __call__(self, text):
        self.lines += 1
        self.file.write(f"{now_ms() - self.start:10.1f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text, finish="null"):
    return (f'data: {{"choices":[{{"index":0,"delta":{{"content":"{text}"}},'
            f'"finish_reason":{finish}}}]}}\n\n').encode()


# ---------------------------------------------------------------- model hosts

class Link:
    """One connection of a model host."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.busy, self.silent = reader, writer, False, False
        self.used_at = 0.0


class ModelHost:
    """A model host: a reader answers 202, a writer streams events. `behave` may take a request over."""

    def __init__(self, world, name, flavor, read_ms=5.0, events=4, event_ms=30.0):
        self.world, self.name, self.flavor = world, name, flavor
        self.read_ms, self.events, self.event_ms = read_ms, events, event_ms
        self.behave, self.links = None, []
        self.after_release = None   # called behind the answer to a release
        self.hung = None        # an event while the host hangs: it takes connections and bytes and does nothing
        self.phase = "up"
        self.cell, self.zone, self.up_since_ms = 0, "a", 0
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": self.flavor,
                "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}

    def hang(self):
        self.world.record(f"host {self.name} hangs")
        self.hung = asyncio.Event()

    def go_on(self):
        self.world.record(f"host {self.name} goes on")
        event, self.hung = self.hung, None
        event.set()

    async def serve(self, reader, writer):
        link = Link(reader, writer)
        self.links.append(link)
        try:
            while True:
                start, headers = await read_head(reader)
                if link.silent:
                    # What came on a silent connection has not come at all; it stays open and says nothing.
                    await asyncio.sleep(3600)
                body = await read_body(reader, headers)
                link.busy, link.used_at = True, now_ms()
                if self.hung is not None:
                    await self.hung.wait()
                method, target, _ = start.split(" ", 2)
                if method == "DELETE":
                    self.world.on_release(self, target.rsplit("/", 1)[-1])
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    await writer.drain()
                    if self.after_release is not None:
                        self.after_release(self, writer)
                    link.busy = False
                    continue
                if method == "GET":
                    text = json.dumps({"util": 0.2, "queue": 0, "x0": 0.2}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                                 % (len(text), text) if self.world.probes else
                                 b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                request = headers.get("x-txn", "")
                self.world.on_attempt(self, request, headers, body)
                taken = await self.behave(self, request, reader, writer, headers) if self.behave is not None else False
                if taken == "more":     # answered, and the connection goes on
                    link.busy = False
                    continue
                if taken:
                    return
                if self.flavor == "p":
                    await asyncio.sleep(self.read_ms / 1000.0)
                    text = b'{"cached_tokens":0}'
                    self.world.on_read_done(self, request)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n%s" % (len(text), text))
                    await writer.drain()
                else:
                    await self.stream(request, writer)
                link.busy = False
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.links.remove(link)
            writer.close()

    async def stream(self, request, writer):
        self.world.on_run(self, request)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.events):
            last = number == self.events - 1
            writer.write(chunk(event(f"{request[:4]}-{number}", '"stop"' if last else "null")))
            await writer.drain()
            if not last:
                await asyncio.sleep(self.event_ms / 1000.0)
        writer.write(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()


# ---------------------------------------------------------------- discovery

class Discovery:
    """The agent: the whole list, and a watch that answers with the list once it is newer."""

    def __init__(self, world):
        self.world = world
        self.revision = 41
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return f"127.0.0.1:{self.port}"

    def list(self):
        return {"revision": self.revision, "complete": True,
                "members": [host.entry() for host in self.world.hosts if host.phase != "removed"]}

    def update(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                start, _ = await read_head(reader)
                target = start.split(" ")[1]
                after = re.search(r"after=(\d+)", target)
                wait = re.search(r"wait_ms=(\d+)", target)
                answer = None
                if after and int(after.group(1)) >= self.revision:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(wait.group(1)) / 1000.0 if wait else 0)
                    except asyncio.TimeoutError:
                        answer = {"revision": self.revision, "complete": False, "members": []}
                text = json.dumps(answer or self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- the platform and its dispatchers

def run_line():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            found = re.match(r'run\s*=\s*"([^"]*)"', line)
            if found:
                return found.group(1)
    raise CannotRun("no run line")


def free_port():
    import socket
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


DEFAULT_CLASSES = [
    {"name": "caption-draft", "effect": "safe", "keyScope": "all", "dedupWindow": 0, "aim": 1_000_000,
     "giveUp": 4_000_000, "importance": 2.0, "lateShare": 0.3, "stream": True},
    {"name": "proof-send", "effect": "unsafe", "keyScope": "all", "dedupWindow": 0, "aim": 2_500_000,
     "giveUp": 10_000_000, "importance": 3.0, "lateShare": 0.1, "stream": True},
]


class Dispatcher:
    def __init__(self, world, number=0):
        self.world, self.number = world, number
        self.port = free_port()
        self.path = os.path.join(world.folder, f"n{number}.json")
        self.starts = 0
        self.process = None

    def configure(self, discovery):
        world = self.world
        settings = {
            "me": self.number, "replicasOfMe": world.dispatcher_count, "zone": 0, "zones": ["a"], "tick": 4000,
            "discovery": world.discovery_mode, "shapes": ["p", "d"], "orgs": [], "stats": {"columns": []},
            "familyInfo": {"kindRole": ["read", "write"], "tokensByKind": [225000, 180000],
                           "release": world.release_us, "resume": world.resume,
                           "aimUsPer1000PromptTokens": [40000.0] * len(world.classes),
                           "tokenAim": [60000.0] * len(world.classes)},
            "limits": {"cancel": True, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 4,
                       "mostHeld": 20000, "probes": world.probes, "retryAfter": False},
            "rules": {"askWithin": 6_000_000, "drainGrace": world.drain_us, "graceToAnswer": 16000,
                      "fallMultiple": 4.0, "overloadFor": 3_000_000, "startCapacity": 0.32, "rampTime": 10_000_000},
            "services": world.classes,
        }
        settings.update(world.extra_settings)
        text = json.dumps({
            "name": f"n{self.number}", "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
            "seed": f"{0x8c1f30d27a5be964 + 7919 * self.number + self.starts:x}"[-16:], "peers": [],
            "limits": {"cores": 1.0, "memory_mb": world.memory_mb, "sockets": world.sockets},
            "known": world.known() if world.gives_known else None, "settings": settings})
        temporary = self.path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(temporary, self.path)

    async def start(self):
        self.starts += 1
        self.configure(self.world.discovery.address())
        environment = dict(os.environ, GW_NAME=f"n{self.number}", GW_LISTEN=f"127.0.0.1:{self.port}",
                           GW_DISCOVERY=self.world.discovery.address(), GW_CONFIG=self.path,
                           TMPDIR=self.world.folder)
        log = open(os.path.join(self.world.folder, f"n{self.number}-{self.starts}.log"), "w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_line(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.world.started.append(self)
        until = now_ms() + 10_000
        while now_ms() < until:
            if self.process.returncode is not None:
                raise CannotRun("the dispatcher ended at once")
            try:
                if await ready(self.port):
                    self.world.record(f"dispatcher n{self.number} is ready, process {self.process.pid}")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the dispatcher is not ready")

    def signal(self, what):
        if self.process.returncode is None:
            self.world.record(f"{what.name} to dispatcher n{self.number}")
            os.kill(self.process.pid, what)

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def status_kb(self, field):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0


async def ready(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
        start = await asyncio.wait_for(reader.readline(), 2)
        return b" 200 " in start
    except asyncio.TimeoutError:
        return False
    finally:
        writer.close()


class World:
    """One small deployment: model hosts, discovery, dispatchers, and what they were seen to do."""

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(case_folder)
        self.hosts, self.dispatchers, self.started = [], [], []
        self.helpers = []       # further processes of the case, ended with it
        self.dispatcher_count = 1
        self.discovery = Discovery(self)
        self.discovery_mode = "automatic"
        self.release_us, self.drain_us, self.resume = 500_000, 2_000_000, True
        self.memory_mb, self.sockets = 64, 512
        self.classes = [dict(entry) for entry in DEFAULT_CLASSES]
        self.extra_settings = {}
        self.probes = False
        self.gives_known = True
        self.attempts, self.runs, self.sent, self.held, self.released = [], [], {}, {}, []

    def known(self):
        return self.discovery.list()

    def add_hosts(self, readers, writers, **options):
        for number in range(readers):
            self.hosts.append(ModelHost(self, f"s-p{number}", "p", **options))
        for number in range(writers):
            self.hosts.append(ModelHost(self, f"s-d{number}", "d", **options))

    async def start(self, dispatchers=1):
        self.dispatcher_count = dispatchers
        for host in self.hosts:
            await host.start()
        await self.discovery.start()
        for number in range(dispatchers):
            dispatcher = Dispatcher(self, number)
            self.dispatchers.append(dispatcher)
            await dispatcher.start()

    def on_attempt(self, host, request, headers, body):
        self.attempts.append((now_ms(), host.name, request))
        self.record(f"host {host.name} got {request} remaining={headers.get('x-remaining-ms')} body={len(body)}")

    def on_read_done(self, host, request):
        self.held[request] = (host.name, now_ms())

    def on_run(self, host, request):
        self.runs.append((now_ms(), host.name, request))
        self.record(f"host {host.name} runs {request}")

    def on_release(self, host, request):
        self.released.append((now_ms(), host.name, request))

    async def end(self):
        for helper in self.helpers:
            if helper.returncode is None:
                helper.kill()
            await helper.wait()
        for dispatcher in self.started:
            if dispatcher.alive():
                os.kill(dispatcher.process.pid, signal.SIGKILL)
            if dispatcher.process is not None:
                await dispatcher.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


# ---------------------------------------------------------------- clients

def request_id():
    return os.urandom(8).hex()


def request_bytes(identity, lane, remaining_ms, body=None, extra="", entity=None):
    if body is None:
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 200,
                           "messages": [{"role": "user", "content": "write a caption " * 20}]}).encode()
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {identity}\r\nX-Lane: {lane}\r\n"
            f"X-Entity: {entity or os.urandom(8).hex()}\r\nX-Remaining-Ms: {remaining_ms}\r\n"
            f"X-Labels: prompt_len={max(1, len(body) // 4)},max_out=200\r\n{extra}Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


class Answer:
    def __init__(self):
        self.status, self.whole, self.error, self.at, self.body = None, False, None, None, b""
        self.sent_at = self.ended_at = None

    def __str__(self):
        took = f"{self.ended_at - self.sent_at:.0f} ms" if self.ended_at else "open"
        return f"status={self.status} whole={self.whole} error={self.error} after {took}"


async def ask(world, port, lane="caption-draft", remaining_ms=4000, wait_ms=None, identity=None, body=None,
              connection=None, entity=None):
    """A usual client: one request, on a new connection or the given one; waits for the answer's end."""
    identity = identity or request_id()
    answer = Answer()
    answer.id = identity
    writer = None
    try:
        reader, writer = connection or await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        writer.write(request_bytes(identity, lane, remaining_ms, body, entity=entity))
        await writer.drain()
        answer.sent_at = now_ms()
        world.record(f"client sent {identity} lane={lane} remaining={remaining_ms}")
        await asyncio.wait_for(read_answer(reader, answer), (wait_ms or remaining_ms + 8000) / 1000.0)
    except asyncio.TimeoutError:
        answer.error = "no answer"
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as problem:
        answer.error = type(problem).__name__
    finally:
        answer.sent_at = answer.sent_at or now_ms()
        answer.ended_at = now_ms()
        if writer is not None and connection is None:
            writer.close()
    world.record(f"client {identity}: {answer}")
    return answer


async def read_answer(reader, answer):
    start, headers = await read_head(reader)
    answer.status = int(start.split(" ")[1])
    answer.head_at = now_ms()
    answer.headers = headers
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += data[:-2]
    else:
        answer.body = await reader.readexactly(int(headers.get("content-length", "0")))
    answer.whole = True


# ---------------------------------------------------------------- a case

def play(case_folder, case, limit_s=110):
    """Runs `case(world)`; it returns a list of breaks. Exit code 1: broken, 0: kept, 2: could not run."""
    async def whole():
        world = World(case_folder)
        task = asyncio.ensure_future(case(world))
        for what in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(what, task.cancel)
        try:
            breaks = await asyncio.wait_for(task, limit_s)
        except CannotRun as problem:
            world.record(f"could not run: {problem}")
            print(f"could not run: {problem}")
            return 2
        except (asyncio.TimeoutError, asyncio.CancelledError):
            world.record("could not run: took too long, or was ended")
            return 2
        except Exception as problem:  # a fault of the case itself is no result
            world.record(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            return 2
        finally:
            await world.end()
        for line in breaks:
            world.record(f"BROKEN {line}")
            print(f"broken: {line}")
        world.record("result: " + ("broken" if breaks else "kept"))
        print("result:", "broken" if breaks else "kept")
        return 1 if breaks else 0
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _loop, _context: None)
    asyncio.set_event_loop(loop)
    code = loop.run_until_complete(whole())
    sys.stdout.flush()
    os._exit(code)
