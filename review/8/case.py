"""Case 8: a message is answered +OK and never delivered, since a bad client has used its id while it was open.

A client sends 900 messages at once. While they are open, a bad client sends a message of its own with the id of the
last of them. With TROUBLE=0 there is no bad client.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import HOST, Agent, Case, Client, Endpoint, resp_command, run_case, settings  # noqa: E402

ROUNDS = 5
AT_ONCE = 900
TIME_S = 6.0
BAD_BODY = b"this is not what the client sent"


def body_of(ref: str) -> bytes:
    """The body of the client's message with this id."""
    return b"refund " + ref.encode() + b" " + b"." * 40


async def body(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    record = case.record
    agent = Agent(record)
    await agent.start()
    endpoints = [Endpoint(record, f"s-{number}", number) for number in (1, 2)]
    for endpoint in endpoints:
        await endpoint.start()
        agent.put(endpoint.entry())
    deployment = settings()
    deployment["limits"]["open-cap"] = 1500
    deployment["family-info"]["call-slots"] = 64
    dispatcher = case.dispatcher(
        {
            "discovery": f"{HOST}:{agent.port}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
            "known": agent.full(),
            "settings": deployment,
        }
    )
    await dispatcher.start()
    warm = Client(record, dispatcher.port)
    for number in range(20):
        await warm.submit(f"a{number:015x}", "order", "acme", TIME_S, 1, b"warm")

    replies: dict[str, str] = {}
    for part in range(ROUNDS):
        refs = [f"{part + 1:x}{number:015x}" for number in range(AT_ONCE)]
        fields = f"c=order,t=acme,d={int(TIME_S * 1000)},dest=1".encode()
        commands = [resp_command(b"SUBMIT", b"0" * 16, ref.encode(), fields, body_of(ref)) for ref in refs]
        reader, writer = await asyncio.open_connection(HOST, dispatcher.port)
        bad_reader, bad_writer = await asyncio.open_connection(HOST, dispatcher.port)
        await asyncio.sleep(0.02)
        record.add(f"the client sends {AT_ONCE} messages at once, the last is {refs[-1]}")
        writer.write(b"".join(commands))
        if case.trouble:
            record.add(f"the bad client sends a message with the id {refs[-1]}, which is open")
            bad_fields = b"c=status,t=acme,d=2000,dest=2"
            bad_writer.write(resp_command(b"SUBMIT", b"0" * 16, refs[-1].encode(), bad_fields, BAD_BODY))
        began = time.monotonic()
        for ref in refs:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2.0)
            replies[ref] = line.decode().strip()
        accepted = sum(replies[ref].startswith("+OK") for ref in refs)
        record.add(f"{refs[0]} to {refs[-1]}: {accepted} of {len(refs)} are answered +OK")
        record.add(f"{refs[-1]} is answered {replies[refs[-1]]} after {time.monotonic() - began:.3f} s")
        if case.trouble:
            line = await asyncio.wait_for(bad_reader.readuntil(b"\r\n"), 2.0)
            record.add(f"the bad client is answered {line.decode().strip()}")
        writer.close()
        bad_writer.close()
        await asyncio.sleep(1.0)
    await asyncio.sleep(TIME_S + 1.0)

    ends = {ref: result for _, ref, result in agent.notices}
    broken = []
    for ref, reply in replies.items():
        if not reply.startswith("+OK"):
            continue
        ran = [
            (endpoint.name, arrival)
            for endpoint in endpoints
            for arrival in endpoint.arrivals
            if arrival.ref == ref
        ]
        if any(name == "s-1" and arrival.body == body_of(ref) for name, arrival in ran):
            continue
        others = [f"{name} ran {arrival.body!r}" for name, arrival in ran]
        if ref in ends and not others:
            continue
        broken.append(
            f"{ref} was answered {reply} and never came to destination 1; under its id {', '.join(others)}"
        )
    return broken


if __name__ == "__main__":
    # What was sent, answered and run is written to record.txt beside this file.
    sys.exit(run_case(Path(__file__).resolve().parent / "record.txt", body))
