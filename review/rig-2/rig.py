"""Stand-ins for the second review: discovery with the platform, endpoints, clients, and the dispatcher's process.

Everything runs on loopback addresses and the real clock, in one asyncio loop. The stand-ins do what the users' pages
say, and what a sound server does where the pages are silent. Times are seconds of time.monotonic().
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024
CLIENT_WAIT_S = 0.4

REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large"}


def free_port() -> int:
    """A port below those that the system gives to outgoing connections, so that it stays free over a restart."""
    draw = random.SystemRandom()
    for _ in range(1000):
        port = draw.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.begin = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> float:
        """Add a line with the present time, and return that time."""
        now = time.monotonic()
        self.lines.append(f"{now - self.begin:9.3f}  {text}")
        return now

    def write(self, path: Path) -> None:
        """Write all lines."""
        path.write_text("\n".join(self.lines) + "\n")


def http_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """A whole HTTP/1.1 response."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in (headers or {}).items():
        head += f"{name}: {value}\r\n"
    if status != 204:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


@dataclass
class Request:
    """One HTTP request, whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader, max_body: int = 1 << 30) -> Request | None:
    """Read one request; None at the end of the connection. Of a body over max_body only the head is read."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    if length > max_body:
        return Request(method, path, headers, b"")
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, headers, body)


class Listener:
    """A TCP server whose connections can be counted, closed and reset."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.server: asyncio.base_events.Server | None = None
        self.writers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20, backlog=512)

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones, as when a process dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        self.writers[writer] = reader
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.handle(reader, writer)
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until its end."""
        raise NotImplementedError


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Agent(Listener):
    """Discovery and the platform at one address: the list, watches of it, and notices."""

    def __init__(self, record: Record, port: int = 0) -> None:
        super().__init__(port)
        self.record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.silent = False
        self.notices: list[tuple[float, str, str]] = []

    def put(self, entry: dict[str, Any]) -> None:
        """Add an endpoint to the list, or change it. Discovery has it from now on."""
        self.version += 1
        self.entries[entry["id"]] = entry
        self.changed_at[entry["id"]] = self.version
        self.record.add(
            f"list version {self.version}: {entry['id']} at {entry['addr']} for {entry['cell']} {entry['state']}"
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """The whole list."""
        servers = [entry for entry in self.entries.values() if entry["state"] != "terminated"]
        return {"version": self.version, "full": True, "servers": servers}

    def changes(self, since: int) -> dict[str, Any]:
        """What changed after a version."""
        servers = [self.entries[name] for name, version in self.changed_at.items() if version > since]
        return {"version": self.version, "full": False, "servers": servers}

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if request.method == "POST":
                status = self.take_notices(request.body)
                writer.write(http_response(status))
                await writer.drain()
                continue
            while self.silent:
                await asyncio.sleep(0.02)
            answer = await self.answer(request)
            body = json.dumps(answer).encode()
            writer.write(http_response(200, body, {"Content-Type": "application/json"}))
            await writer.drain()

    async def answer(self, request: Request) -> dict[str, Any]:
        """The answer to a poll: at once, or when its watch ends."""
        if "?" not in request.path:
            return self.full()
        query = dict(item.split("=", 1) for item in request.path.split("?", 1)[1].split("&"))
        since, wait_s = int(query["since"]), min(60.0, float(query.get("timeout_ms", 0)) / 1000)
        until = time.monotonic() + wait_s
        while self.version <= since and time.monotonic() < until:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        while self.silent:
            await asyncio.sleep(0.02)
        return self.changes(since)

    def take_notices(self, body: bytes) -> int:
        """Record notices."""
        try:
            lines = [json.loads(line) for line in body.decode().splitlines() if line]
            rows = [(line["ref"], line["result"]) for line in lines]
        except (ValueError, KeyError):
            return 400
        for ref, result in rows:
            self.notices.append((self.record.add(f"notice {ref} {result}"), ref, result))
        return 204


@dataclass
class Arrival:
    """One message of one request, from the request's last byte on."""

    ref: str
    at: float
    endpoint: str
    body: bytes
    batch: int
    status: str = ""  # what was answered; empty as long as nothing was
    answered_at: float = 0.0


class Endpoint(Listener):
    """An endpoint. `behave` answers each request; by default all is delivered after `delay_s`."""

    def __init__(
        self, record: Record, name: str, cell: int, zone: str = "a", kind: str = "m1", port: int = 0
    ) -> None:
        super().__init__(port)
        self.record = record
        self.name, self.cell, self.zone, self.kind = name, cell, zone, kind
        self.delay_s = 0.03
        self.max_batch = 20
        self.max_body = MAX_BODY_BYTES
        self.arrivals: list[Arrival] = []
        self.too_large = 0
        self.behave: Callable[[Endpoint, list[Arrival], asyncio.StreamWriter], Awaitable[None]] = deliver
        self.on_connect: Callable[[], Awaitable[None]] | None = None

    def entry(self, state: str = "in_service", started_ms: int = 0) -> dict[str, Any]:
        """The endpoint in discovery's form."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": state,
            "weight": 50.0,
            "started_ms": started_ms,
        }

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.on_connect is not None:
            await self.on_connect()
        while (request := await read_request(reader, self.max_body)) is not None:
            if request.method == "GET":
                writer.write(http_response(200 if request.path == "/ping" else 404))
                continue
            length = int(request.headers.get("content-length", 0))
            if length > self.max_body:
                self.too_large += 1
                self.record.add(f"{self.name} got a request with a body of {length} bytes: 413, not read")
                await self.refuse_large(reader, writer, length)
                return
            messages = self.parse(request)
            if messages is None:
                self.record.add(f"{self.name} cannot read {request.path}: 400")
                writer.write(http_response(400))
                await writer.drain()
                continue
            now = time.monotonic()
            arrivals = [Arrival(ref, now, self.name, body, len(messages)) for ref, body in messages]
            self.arrivals += arrivals
            for arrival in arrivals:
                self.record.add(
                    f"{self.name} got {arrival.ref} ({len(arrival.body)} bytes, one of {arrival.batch})"
                )
            await self.behave(self, arrivals, writer)
            if writer.is_closing():
                return

    async def refuse_large(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, length: int
    ) -> None:
        """Answer 413 at once, drop the body, and end the connection."""
        writer.write(http_response(413, b"", {"Connection": "close"}))
        await writer.drain()
        while length > 0:
            data = await reader.read(min(length, 65536))
            if not data:
                break
            length -= len(data)

    def parse(self, request: Request) -> list[tuple[str, bytes]] | None:
        """The messages of a request; None if it cannot be read."""
        if request.path == "/v1/messages":
            return [(request.headers["x-request-id"], request.body)]
        messages = []
        rest = request.body
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            words = line.decode("latin-1").split(" ")
            if len(words) != 3:
                return None
            length = int(words[2])
            if rest[length : length + 2] != b"\r\n":
                return None
            messages.append((words[0], rest[:length]))
            rest = rest[length + 2 :]
        if not messages or len({ref for ref, _ in messages}) < len(messages):
            return None
        return messages

    async def answer(
        self,
        arrivals: list[Arrival],
        writer: asyncio.StreamWriter,
        status: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Answer all messages of a request alike: a status, or for several messages "ok" and so on."""
        if status.isdigit():
            data = http_response(int(status), b"", headers)
        else:
            data = http_response(200, "".join(f"{a.ref} {status}\r\n" for a in arrivals).encode(), headers)
        writer.write(data)
        now = time.monotonic()
        for arrival in arrivals:
            arrival.status, arrival.answered_at = status, now
            self.record.add(f"{self.name} answered {arrival.ref} {status} {headers or ''}")
        await writer.drain()


async def deliver(endpoint: Endpoint, arrivals: list[Arrival], writer: asyncio.StreamWriter) -> None:
    """Take the request and deliver all its messages."""
    await asyncio.sleep(endpoint.delay_s)
    await endpoint.answer(arrivals, writer, "200" if len(arrivals) == 1 else "ok")


async def hang(endpoint: Endpoint, arrivals: list[Arrival], writer: asyncio.StreamWriter) -> None:
    """Take the request and answer nothing, until the dispatcher ends the connection."""
    del arrivals
    while writer in endpoint.writers and not endpoint.writers[writer].at_eof():
        await asyncio.sleep(0.05)
    writer.close()


@dataclass
class Submission:
    """A message that a client handed in."""

    ref: str
    kind: str
    sent_at: float
    time_s: float
    reply: str = ""  # the first line of the reply; empty: none
    replied_at: float = 0.0
    dest: int = 0
    extra: dict[str, Any] = field(default_factory=dict)


def resp_command(*words: bytes) -> bytes:
    """A RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Client:
    """A client that keeps one connection, and opens a new one where that has ended."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        """Connect; False if that is refused."""
        if (
            self.writer is not None
            and not self.writer.is_closing()
            and self.reader is not None
            and not self.reader.at_eof()
        ):
            return True
        try:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            self.reader = self.writer = None
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def submit(
        self,
        ref: str,
        kind: str,
        tenant: str,
        time_s: float,
        dest: int,
        body: bytes,
        key: str = "",
        order: str = "0000000000000000",
    ) -> Submission:
        """Hand in a message and wait for its answer."""
        fields = f"c={kind},t={tenant},d={int(time_s * 1000)},dest={dest}"
        if key:
            fields += f",k={key}"
        done = Submission(ref, kind, time.monotonic(), time_s, dest=dest)
        if not await self.connect():
            self.record.add(f"submit {ref} {kind}: no connection")
            return done
        assert self.reader is not None and self.writer is not None
        done.sent_at = self.record.add(
            f"submit {ref} {kind} d={int(time_s * 1000)} dest={dest} ({len(body)} bytes)"
        )
        try:
            self.writer.write(resp_command(b"SUBMIT", order.encode(), ref.encode(), fields.encode(), body))
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), CLIENT_WAIT_S)
            done.reply = line.decode("latin-1").strip()
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as problem:
            done.extra["why"] = type(problem).__name__
            self.record.add(f"no reply to {ref}: {type(problem).__name__}")
            self.close()
            return done
        done.replied_at = self.record.add(f"reply to {ref}: {done.reply}")
        return done


class Dispatcher:
    """The dispatcher's process, started with the command of the deploy file."""

    def __init__(self, record: Record, config: dict[str, Any], folder: Path) -> None:
        self.record, self.config, self.folder = record, config, folder
        self.port = free_port()
        state = folder / f"state-{self.port}"
        state.mkdir()
        self.config = {
            "name": "n1",
            "seed": "8c1f30d27a5be964",
            "listen": f"{HOST}:{self.port}",
            "state": str(state),
            **config,
        }
        self.config_path = folder / f"config-{self.port}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"log-{self.port}.txt"
        self.down: list[tuple[float, float]] = []  # from its end's beginning until ready again
        self.ended_at: float | None = None
        self.crashed = False
        self.expects_end = False

    def write_config(self, changes: dict[str, Any] | None = None) -> None:
        """Write the configuration file, whole at once."""
        self.config.update(changes or {})
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self, changes: dict[str, Any] | None = None, wait_s: float = 20) -> None:
        """Start the process and wait until it has answered PING."""
        self.write_config(changes)
        log = self.log_path.open("ab")
        command = os.environ.get("DISPATCHER_RUN", "exec build/stonewing serve")
        level = os.environ.get("DISPATCHER_LOG")
        if level:
            command += f" --log {level}"
        environment = {**os.environ, "EDGE_CONFIG": str(self.config_path)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.expects_end = False
        self.record.add(f"dispatcher started, pid {self.process.pid}")
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError("the dispatcher ended at its start: " + self.log_path.read_text()[-500:])
            if await self.ping():
                now = self.record.add("dispatcher ready")
                if self.ended_at is not None:
                    self.down.append((self.ended_at, now))
                    self.ended_at = None
                return
            await asyncio.sleep(0.01)
        raise RuntimeError("the dispatcher is not ready in time")

    async def ping(self) -> bool:
        """Whether it answers PING."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(resp_command(b"PING"))
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 0.4)
            writer.close()
            return line == b"+PONG\r\n"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expects_end = True
            if self.ended_at is None:
                self.ended_at = time.monotonic()
        if self.process.poll() is None:
            self.record.add(f"{number.name} to the dispatcher")
            self.process.send_signal(number)

    async def wait_end(self, timeout_s: float) -> bool:
        """Wait for the end of the process."""
        assert self.process is not None
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.record.add(f"dispatcher ended with {self.process.returncode}")
                return True
            await asyncio.sleep(0.01)
        return False

    async def kill(self) -> None:
        """End it as SIGKILL does, and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait_end(5)

    def check_alive(self) -> bool:
        """Whether it runs, where nobody asked it to end."""
        return self.process is not None and (self.expects_end or self.process.poll() is None)

    def peak_memory_kb(self) -> int:
        """The most memory it has had, in KB."""
        assert self.process is not None
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0

    def end(self) -> None:
        """End the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment. Keys with a dot replace a value inside a table."""
    base: dict[str, Any] = {
        "request-classes": [
            {
                "name": "order",
                "aim-s": 1.0,
                "deadline-s": 6.0,
                "importance": 2.0,
                "late-worth": 0.5,
                "effect": "unsafe",
            },
            {
                "name": "notice",
                "aim-s": 1.0,
                "deadline-s": 6.0,
                "importance": 1.0,
                "late-worth": 0.5,
                "effect": "keyed",
                "group": "all",
                "repeat-window-s": 4.0,
            },
            {
                "name": "local",
                "aim-s": 1.0,
                "deadline-s": 6.0,
                "importance": 1.0,
                "late-worth": 0.5,
                "effect": "keyed",
                "group": "zone",
                "repeat-window-s": 4.0,
            },
            {
                "name": "status",
                "aim-s": 1.0,
                "deadline-s": 5.0,
                "importance": 1.0,
                "late-worth": 0.1,
                "effect": "safe",
                "group": "all",
                "repeat-window-s": 5.0,
            },
        ],
        "orgs": [{"name": "acme", "fraction": 1.0, "quota-per-s": 200.0}],
        "kinds": ["m1", "m2"],
        "zones": ["a", "b"],
        "zone": 0,
        "me": 0,
        "replicas-of-me": 1,
        "registry-mode": "push",
        "weight-source": "rough",
        "over-share-worth": 0.05,
        "family": "deliver",
        "family-info": {
            "call-slots": 24,
            "decay": "linear",
            "kind-apart": [False, False],
            "per-call": [1, 20],
        },
        "limits": {
            "open-cap": 400,
            "max-attempts": 12,
            "may-duplicate": True,
            "cancel": True,
            "probes": True,
            "retry-after": True,
            "max-retry-after-s": 2.0,
            "conn-idle-s": 15.0,
            "connect-timeout-s": 1.5,
        },
        "report": {"fields": [], "source": "off"},
        "rules": {
            "answer-slack-s": 0.25,
            "ask-within-s": 10.0,
            "cold-from": 0.2,
            "cold-s": 10.0,
            "drain-grace-s": 0.5,
            "fall-multiple": 2.5,
            "fall-s": 1.5,
        },
    }
    for name, value in changes.items():
        base[name] = value
    return base


class Case:
    """A run of a case: its temporary folder, its record, and the end of all it started."""

    def __init__(self, record_path: Path) -> None:
        self.record_path = record_path
        self.record = Record()
        self.temporary = Path(tempfile.mkdtemp(prefix="stonewing-review-"))
        self.dispatchers: list[Dispatcher] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def dispatcher(self, config: dict[str, Any]) -> Dispatcher:
        """A dispatcher that ends with the case."""
        self.dispatchers.append(Dispatcher(self.record, config, self.temporary))
        return self.dispatchers[-1]

    def finish(self) -> None:
        """End all processes, and write the record."""
        for dispatcher in self.dispatchers:
            dispatcher.end()
        self.record.write(self.record_path)
        keep = os.environ.get("KEEP_LOG")
        if keep:
            for dispatcher in self.dispatchers:
                shutil.copy(dispatcher.log_path, keep)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(record_path: Path, body: Callable[[Case], Awaitable[list[str]]], limit_s: float = 110) -> int:
    """Run a case. Returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    case = Case(record_path)
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(body(case), limit_s))
        for line in broken:
            case.record.add("BROKEN: " + line)
        code = 1 if broken else 0
        case.record.add(
            f"the rule {'was broken' if broken else 'held'} (trouble: {'on' if case.trouble else 'off'})"
        )
    except Exception as problem:  # pylint: disable=broad-except
        case.record.add(f"the case could not run: {type(problem).__name__}: {problem}")
    finally:
        case.finish()
    print(
        "\n".join(
            line for line in case.record.lines if "BROKEN" in line or "the rule" in line or "the case" in line
        )
    )
    return code
