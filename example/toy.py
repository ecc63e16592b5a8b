#!/usr/bin/env python3
"""Toy servers on loopback for one dispatcher: discovery, the platform and two endpoints.

`toy.py serve` runs them until it is interrupted; `toy.py submit [COUNT]` submits messages to the dispatcher
of example/config.json and prints its replies.
"""
from __future__ import annotations

import argparse
import http.server
import json
import random
import socket
import threading
import time
import uuid
from collections.abc import Sequence

DISPATCHER = ("127.0.0.1", 6379)
DISCOVERY = ("127.0.0.1", 8500)
ENDPOINTS = [("127.0.0.1", 8001), ("127.0.0.1", 8002)]
DESTINATION = 7

# Discovery ends a watch after this time, since its list never changes.
WATCH_S = 2
# Endpoints respond after an exponentially distributed time with this mean.
MEAN_RESPONSE_S = 0.125
# The share of requests that an endpoint rejects, and the wait before a retry that it asks for.
REJECTED_SHARE = 0.1
RETRY_AFTER_MS = 200

# Message kinds of example/config.json with their time to the deadline, in milliseconds.
KINDS = [("repair-order", 16000), ("lamp-status", 5000)]
TENANT = "stadt-grauwies"

ENDPOINT_LIST = {
    "version": 1,
    "full": True,
    "servers": [
        {
            "id": f"s-{port}",
            "addr": f"{host}:{port}",
            "zone": "office",
            "kind": "town-works",
            "cell": DESTINATION,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }
        for host, port in ENDPOINTS
    ],
}
NO_CHANGES = {"version": 1, "full": False, "servers": []}


class RequestHandler(http.server.BaseHTTPRequestHandler):
    """Bodies with a Content-Length on persistent connections, without a log line per request."""

    protocol_version = "HTTP/1.1"

    def respond(self, status: int, body: bytes = b"", headers: Sequence[tuple[str, str]] = ()) -> None:
        """Send a complete response."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        if status != http.HTTPStatus.NO_CONTENT:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read_body(self) -> bytes:
        """The whole body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def log_message(self, *_: object) -> None:
        """Log nothing; the handlers print each delivery, rejection and notification."""


class DiscoveryHandler(RequestHandler):
    """Discovery, whose endpoint list never changes, and the platform, which confirms every notification."""

    def do_GET(self) -> None:
        """The endpoint list, or a watch of it that ends without a change."""
        if "since=1" in self.path:
            time.sleep(WATCH_S)
            self.respond(200, json.dumps(NO_CHANGES).encode())
        else:
            self.respond(200, json.dumps(ENDPOINT_LIST).encode())

    def do_POST(self) -> None:
        """Notifications of final outcomes."""
        print("notified ", self.read_body().decode().strip(), flush=True)
        self.respond(204)


class EndpointHandler(RequestHandler):
    """An endpoint that is slow at times and rejects some of its requests."""

    def do_GET(self) -> None:
        """A health check."""
        self.respond(200)

    def do_POST(self) -> None:
        """An attempt to deliver a message."""
        body = self.read_body()
        time.sleep(random.expovariate(1 / MEAN_RESPONSE_S))
        if random.random() < REJECTED_SHARE:
            print("rejected ", self.headers["X-Request-Id"], flush=True)
            self.respond(429, headers=[("X-Backoff-Ms", str(RETRY_AFTER_MS))])
            return
        port = self.connection.getsockname()[1]
        print("delivered", self.headers["X-Request-Id"], "at", port, body, flush=True)
        self.respond(200, b"ok")


def serve() -> None:
    """Run discovery, the platform and the endpoints until the process is interrupted."""
    servers = [http.server.ThreadingHTTPServer(DISCOVERY, DiscoveryHandler)]
    servers += [http.server.ThreadingHTTPServer(address, EndpointHandler) for address in ENDPOINTS]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass


def resp_command(words: Sequence[bytes]) -> bytes:
    """Encode a RESP2 command, which is an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def submit(count: int) -> None:
    """Submit this many messages, each of a random kind, and print the reply to each."""
    with socket.create_connection(DISPATCHER) as connection:
        replies = connection.makefile("rb")
        for number in range(count):
            kind, deadline_ms = random.choice(KINDS)
            reference = uuid.uuid4().hex[:16]
            key = uuid.uuid4().hex[:16]
            fields = f"c={kind},t={TENANT},d={deadline_ms},k={key},dest={DESTINATION}"
            body = b"lamp %d is dark" % number
            command = [b"SUBMIT", b"0000000000000000", reference.encode(), fields.encode(), body]
            connection.sendall(resp_command(command))
            print(reference, replies.readline().decode().strip())


def main() -> None:
    """Parse the command line and run its command."""
    parser = argparse.ArgumentParser(description="Toy servers on loopback for one dispatcher.")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("serve", help="run discovery, the platform and two endpoints until interrupted")
    submits = commands.add_parser("submit", help="submit messages to the dispatcher and print its replies")
    submits.add_argument("count", metavar="COUNT", type=int, nargs="?", default=5, help="5 if not given")
    options = parser.parse_args()
    if options.command == "serve":
        serve()
    else:
        submit(options.count)


if __name__ == "__main__":
    main()
