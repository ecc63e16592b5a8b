"""Stand-ins for the cases of this review: platform with discovery, endpoints, clients, and the dispatcher's process.

All of them speak the published protocol on loopback addresses. Everything runs in one event loop; the dispatcher is
started by the command `run` of deploy/balancer.toml, from the root of the repository.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from signal import Signals
from typing import Any, Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]


class CouldNotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def now_ms() -> float:
    return time.monotonic() * 1000


class Record:
    """What was sent, answered and run, one line each, with milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start = now_ms()

    def write(self, who: str, text: str) -> None:
        self.file.write(f"{now_ms() - self.start:10.1f} {who:<12} {text}\n")
        self.file.flush()


class Call:
    """One message in one request to an endpoint. `at` is when the request's last byte had come."""

    def __init__(self, at: float, endpoint: "Endpoint", ref: str, key: str, body: bytes, batch: int) -> None:
        self.at = at
        self.endpoint = endpoint
        self.ref = ref
        self.key = key
        self.body = body
        self.batch = batch


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def response(status: str, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


Answer = Callable[["Endpoint", list[Call], asyncio.StreamWriter], Awaitable[bytes]]


async def deliver(endpoint: "Endpoint", calls: list[Call], writer: asyncio.StreamWriter) -> bytes:
    """A sound endpoint: runs every message after its latency and says so."""
    await asyncio.sleep(endpoint.latency)
    if len(calls) == 1 and calls[0].batch == 1:
        return response("200 OK")
    return response("200 OK", b"".join(f"{call.ref} ok\r\n".encode() for call in calls))


class Endpoint:
    """An endpoint of one destination, which answers calls by `answer`."""

    MAX_BODY = 64 * 1024

    def __init__(self, record: Record, name: str, cell: int, kind: str, zone: str, per_call: int = 1) -> None:
        self.record = record
        self.name = name
        self.cell = cell
        self.kind = kind
        self.zone = zone
        self.per_call = per_call
        self.latency = 0.02
        self.answer: Answer = deliver
        self.calls: list[Call] = []
        self.oversized: list[int] = []  # bytes of the bodies that were over the limit
        self.answered: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.address = ""
        self.state = "in_service"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def has_left(self, writer: asyncio.StreamWriter) -> bool:
        """Whether the dispatcher has ended the connection, or its sending on it."""
        reader = self.readers.get(writer)
        return reader is None or reader.at_eof() or reader.exception() is not None

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": self.cell,
            "state": self.state,
            "weight": 50.0,
            "started_ms": 0,
        }

    def parse(self, line: str, headers: dict[str, str], body: bytes) -> tuple[list[Call], bytes]:
        """The messages of a request, or the answer of an endpoint that cannot use it."""
        at = now_ms()
        if len(body) > self.MAX_BODY:
            self.oversized.append(len(body))
            return [], response("413 Content Too Large")
        if line.startswith("POST /v1/messages:batch "):
            calls = []
            rest = body
            while rest:
                head, _, rest = rest.partition(b"\r\n")
                match = re.fullmatch(rb"(\S+) (\S+) (\d+)", head)
                if not match:
                    return [], response("400 Bad Request")
                length = int(match[3])
                calls.append(Call(at, self, match[1].decode(), match[2].decode(), rest[:length], 0))
                if rest[length : length + 2] != b"\r\n":
                    return [], response("400 Bad Request")
                rest = rest[length + 2 :]
            if not calls or len({call.ref for call in calls}) < len(calls):
                return [], response("400 Bad Request")
            if len(calls) > self.per_call:
                return [], response("413 Content Too Large")
            for call in calls:
                call.batch = len(calls) + 1
            return calls, b""
        if line.startswith("POST /v1/messages ") and "x-request-id" in headers:
            return [Call(at, self, headers["x-request-id"], headers.get("idempotency-key", "-"), body, 1)], b""
        return [], response("400 Bad Request")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.readers[writer] = reader
        try:
            while True:
                line, headers, body = await read_http(reader)
                if line.startswith("GET /ping "):
                    writer.write(response("200 OK"))
                    await writer.drain()
                    continue
                calls, refusal = self.parse(line, headers, body)
                if refusal:
                    status = refusal.split(b"\r\n", 1)[0].decode()
                    self.record.write(self.name, f"{line} with {len(body)} bytes of body: answered {status}")
                    writer.write(refusal)
                    await writer.drain()
                    continue
                for call in calls:
                    self.calls.append(call)
                    self.record.write(self.name, f"call with {call.ref} (one of {len(calls)})")
                answer = await self.answer(self, calls, writer)
                for call in calls:
                    self.answered[call.ref] = now_ms()
                if answer:
                    self.record.write(self.name, f"answers {answer.split(bytes([13]), 1)[0].decode()}")
                    writer.write(answer)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.readers.pop(writer, None)
            writer.close()

    async def stop(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Link:
    """A way between two rooms: a proxy that holds back what passes, in order, each way by its own time.

    `down` gives the time on the way, in milliseconds, for each answer that an endpoint writes.
    """

    def __init__(self, endpoint: Endpoint, up_ms: float, down: Callable[[int], float]) -> None:
        self.endpoint = endpoint
        self.up_ms = up_ms
        self.down = down
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def entry(self) -> dict[str, Any]:
        return {**self.endpoint.entry(), "addr": self.address}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.endpoint.address.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self.pass_on(reader, far_writer, lambda _: self.up_ms, False),
                self.pass_on(far_reader, writer, self.down, True),
            )
        except asyncio.CancelledError:
            pass

    async def pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delay_ms: Callable[[int], float],
        is_answer: bool,
    ) -> None:
        count = 0
        last = 0.0
        pending: list[asyncio.TimerHandle] = []
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(1 << 16):
                # Heads that came together are passed on one by one: these answers have no body.
                pieces = [head + b"\r\n\r\n" for head in data.split(b"\r\n\r\n") if head] if is_answer else [data]
                for piece in pieces:
                    last = max(last, loop.time() + delay_ms(count) / 1000)
                    pending.append(loop.call_at(last, self.write, writer, piece, is_answer))
                    count += 1
        except (ConnectionError, asyncio.CancelledError):
            pass
        loop.call_at(max(last, loop.time() + delay_ms(count) / 1000), writer.close)

    def write(self, writer: asyncio.StreamWriter, piece: bytes, is_answer: bool) -> None:
        if is_answer:
            line = piece.split(b"\r\n", 1)[0].decode()
            self.endpoint.record.write("link", f"{line} from {self.endpoint.name} reaches the dispatcher")
        writer.write(piece)

    async def stop(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform:
    """Discovery's agent and the receiver of notices, at one address."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.notices: dict[str, tuple[float, str]] = {}
        self.server: asyncio.Server | None = None
        self.address = ""
        self.silent = False
        self.given_up = 0  # requests that the dispatcher ended while discovery was silent

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def listed(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def add(self, *endpoints: "Endpoint | Link") -> None:
        for endpoint in endpoints:
            entry = endpoint.entry()
            self.entries[entry["id"]] = entry

    def change(self, *entries: dict[str, Any]) -> None:
        self.version += 1
        for entry in entries:
            self.changes.append((self.version, entry))
            self.record.write("discovery", f"version {self.version}: {entry['id']} is {entry['state']}")
            if entry["state"] == "terminated":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, _, body = await read_http(reader)
                if line.startswith("POST /reports "):
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.setdefault(notice["ref"], (now_ms(), notice["result"]))
                        self.record.write("platform", f"notice {text}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif line.startswith("GET /catalog/members"):
                    writer.write(await self.members(line, reader))
                else:
                    writer.write(response("404 Not Found"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def while_silent(self, reader: asyncio.StreamReader) -> None:
        while self.silent:
            if reader.at_eof() or reader.exception() is not None:
                self.given_up += 1
                raise ConnectionResetError
            await asyncio.sleep(0.002)

    async def members(self, line: str, reader: asyncio.StreamReader) -> bytes:
        """The answer to a request for the list or its changes; none while discovery is down."""
        await self.while_silent(reader)
        match = re.search(r"since=(\d+)&timeout_ms=(\d+)", line)
        if not match:
            return response("200 OK", json.dumps(self.listed()).encode())
        since = int(match[1])
        if self.version <= since:
            try:
                await asyncio.wait_for(self.changed.wait(), int(match[2]) / 1000)
            except asyncio.TimeoutError:
                pass
        await self.while_silent(reader)
        newest = {entry["id"]: entry for version, entry in self.changes if version > since}
        answer = {"version": self.version, "full": False, "servers": list(newest.values())}
        return response("200 OK", json.dumps(answer).encode())


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Dispatcher:
    """The dispatcher as a process, with a folder that outlives it."""

    def __init__(self, record: Record, folder: Path, platform: Platform, settings: dict[str, Any], **more: Any) -> None:
        self.record = record
        self.folder = folder
        self.state = folder / "state"
        self.state.mkdir()
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": platform.address,
            "state": str(self.state),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": platform.listed(),
            "settings": settings,
            **more,
        }
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = os.environ.get("REVIEW_RUN") or tomllib.load(file)["run"]

    def write_config(self) -> None:
        path = self.folder / "config.json"
        fresh = self.folder / "config.json.new"
        fresh.write_text(json.dumps(self.config), encoding="utf-8")
        fresh.replace(path)

    async def start(self) -> None:
        self.starts += 1
        self.config["seed"] = f"{0x8C1F30D27A5BE964 + self.starts:x}"
        self.write_config()
        log = (self.folder / f"log-{self.starts}.txt").open("wb")
        environment: dict[str, str] = {
            **os.environ,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": str(self.config["listen"]),
            "EDGE_DISCOVERY": str(self.config["discovery"]),
            "EDGE_STATE": str(self.state),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        self.record.write("dispatcher", f"start {self.starts}")
        await self.wait_ready()

    async def wait_ready(self) -> None:
        for _ in range(500):
            if self.process is not None and self.process.returncode is not None:
                raise CouldNotRun(f"the dispatcher ended with {self.process.returncode} before it was ready")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record.write("dispatcher", "ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CouldNotRun("the dispatcher did not answer PING within 10 s")

    def signal(self, number: Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)
            self.record.write("dispatcher", f"{number.name}")

    async def wait_ended(self) -> int:
        assert self.process is not None
        return await self.process.wait()

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def command(ref: str, fields: str, body: bytes, order: str = "0000000000000000") -> bytes:
    words = [b"SUBMIT", order.encode(), ref.encode(), fields.encode(), body]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Client:
    """A client connection that submits one message at a time."""

    def __init__(self, record: Record, dispatcher: Dispatcher) -> None:
        self.record = record
        self.dispatcher = dispatcher
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.dispatcher.port, limit=1 << 20)

    async def submit(self, ref: str, fields: str, body: bytes, order: str = "0000000000000000") -> str:
        """Returns the dispatcher's answer; empty if the connection ended or 400 ms passed."""
        if self.writer is None:
            await self.connect()
        assert self.reader is not None and self.writer is not None
        self.writer.write(command(ref, fields, body, order))
        try:
            line = await asyncio.wait_for(self.reader.readline(), 0.4)
        except (asyncio.TimeoutError, ConnectionError):
            line = b""
        if not line.endswith(b"\n"):
            self.close()
        answer = line.decode().strip()
        self.record.write("client", f"submit {ref} {fields} ({len(body)} bytes): {answer or 'no answer'}")
        return answer

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Settings of a small deployment; `changes` replace keys of the first level or, as dictionaries, parts of them."""
    result: dict[str, Any] = {
        "request-classes": classes,
        "clients": {"marks-retry": True},
        "family": "deliver",
        "family-info": {"call-slots": 16, "decay": "linear", "kind-apart": [False], "per-call": [1]},
        "kinds": ["small-partner"],
        "layer": 0,
        "limits": {
            "cancel": True,
            "conn-idle-s": 10.0,
            "connect-timeout-s": 1.0,
            "max-attempts": 12,
            "max-retry-after-s": 2.0,
            "may-duplicate": True,
            "multiplex": 1,
            "open-cap": 147,
            "peers": False,
            "probes": True,
            "retry-after": True,
        },
        "me": 0,
        "replicas-of-me": 1,
        "registry-mode": "push",
        "report": {"fields": [], "source": "off"},
        "rules": {
            "answer-slack-s": 0.02,
            "ask-within-s": 10.0,
            "cold-from": 0.24,
            "cold-s": 12.0,
            "drain-grace-s": 0.5,
            "fall-multiple": 1.5,
            "fall-s": 1.5,
        },
        "tiers": ["reseller-systems"],
        "value-by": "request",
        "weight-source": "nominal",
        "zone": 0,
        "zones": ["galway-1"],
    }
    for key, value in changes.items():
        name = key.replace("_", "-")
        if isinstance(value, dict) and isinstance(result.get(name), dict):
            result[name] = {**result[name], **value}
        else:
            result[name] = value
    return result


def play(folder: Path, case: Callable[[Record, Path, bool], Awaitable[int]]) -> int:
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = Path(tempfile.mkdtemp(prefix="stonewing-review-"))

    async def limited() -> int:
        return await asyncio.wait_for(case(record, scratch, trouble), float(os.environ.get("REVIEW_LIMIT", "110")))

    try:
        result = asyncio.run(limited())
    except (CouldNotRun, OSError, asyncio.TimeoutError) as problem:
        record.write("case", f"could not run: {type(problem).__name__} {problem}")
        print(f"could not run: {problem}")
        result = 2
    finally:
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(scratch, ignore_errors=True)
    record.write("case", f"exit {result}")
    return result
