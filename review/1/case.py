"""A message that was taken on is never delivered and never ended: a second copy of another answer passes for its own.

Five partners with one endpoint each; the first stands in another room, 110 ms away, and gets a fifth of the messages.
With TROUBLE=1 its answer to one call brings a second copy directly behind, and after that answer the partner takes
calls and answers none for 8 s. With TROUBLE=0 the way between the rooms is the same, and all answers are sound.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig"))

from rig import Call, Client, CouldNotRun, Dispatcher, Endpoint, Link, Platform, Record  # noqa: E402
from rig import deliver, now_ms, play, response, settings  # noqa: E402

# The rooms are 110 ms apart, and times on the way vary by up to 0.34 of that: from 73 to 147 ms.
CALL_WAY_MS = 110.0
ANSWER_WAY_MS = 74.0
COPY_WAY_MS = 147.0
PARTNERS = 5
OTHERS = 2  # messages to each other partner
SILENT_MS = 8000
DEADLINE_MS = 5000
# Lost: no end 300 ms after its time, or half a second by the later page; each limit is 50 ms longer.
LOST_AFTER_MS = 550
ROUNDS = 3


def lamp_status() -> list[dict[str, object]]:
    return [
        {
            "name": "lamp-status",
            "aim-s": 1.0,
            "deadline-s": DEADLINE_MS / 1000,
            "effect": "safe",
            "group": "all",
            "importance": 1.0,
            "late-worth": 0.1,
            "stream": False,
        }
    ]


class Partner:
    """Answers one call twice, and is then silent for a while."""

    def __init__(self) -> None:
        self.doubled = ""  # the reference of the call that is answered twice
        self.silent_until = 0.0

    async def answer(self, endpoint: Endpoint, calls: list[Call], writer: asyncio.StreamWriter) -> bytes:
        if now_ms() < self.silent_until:
            await asyncio.sleep((self.silent_until - now_ms()) / 1000 + 3600)
        good = await deliver(endpoint, calls, writer)
        if calls[0].ref != self.doubled:
            return good
        self.silent_until = now_ms() + SILENT_MS
        endpoint.record.write(endpoint.name, "a second copy directly behind; silent from now on")
        return good + response("200 OK")


def reference(round_number: int, number: int) -> str:
    return f"{round_number:08x}{number:08x}"


async def wait_answered(endpoint: Endpoint, ref: str) -> None:
    for _ in range(3000):
        if ref in endpoint.answered:
            return
        await asyncio.sleep(0.001)
    raise CouldNotRun(f"{ref} was not answered within 3 s")


async def play_round(record: Record, scratch: Path, trouble: bool, round_number: int) -> list[str]:
    """Plays a day of its own; returns the references of the lost messages."""
    platform = Platform(record)
    await platform.start()
    zones = ["office"] + ["server-room"] * (PARTNERS - 1)
    endpoints = [Endpoint(record, f"s-{n + 1:08x}", n + 1, "town-works", zones[n]) for n in range(PARTNERS)]
    for endpoint in endpoints:
        await endpoint.start()
    partner = Partner()
    endpoints[0].answer = partner.answer
    endpoints[0].latency = 0.1
    link = Link(
        endpoints[0], CALL_WAY_MS, lambda count: COPY_WAY_MS if count == 1 and partner.doubled else ANSWER_WAY_MS
    )
    await link.start()
    platform.add(link, *endpoints[1:])
    folder = scratch / f"round-{round_number}"
    folder.mkdir()
    deployment = settings(
        lamp_status(),
        kinds=["town-works"],
        zones=["server-room", "office"],
        limits={"conn-idle-s": 15.0, "connect-timeout-s": 1.5},
        rules={"cold-from": 0.17, "cold-s": 14.0, "fall-multiple": 2.5},
    )
    dispatcher = Dispatcher(record, folder, platform, deployment)
    taken: dict[str, float] = {}
    try:
        await dispatcher.start()

        async def submit(number: int, cell: int) -> None:
            ref = reference(round_number, number)
            sent = now_ms()
            answer = await Client(record, dispatcher).submit(
                ref, f"c=lamp-status,d={DEADLINE_MS},dest={cell}", b"lamp 17 is on"
            )
            if answer.startswith("+"):
                taken[ref] = sent + DEADLINE_MS

        if trouble:
            partner.doubled = reference(round_number, 1)
        await submit(1, 1)
        await wait_answered(endpoints[0], reference(round_number, 1))
        # The answer is on its way. Messages go on coming, one of them to this partner while its connection rests.
        await asyncio.sleep((ANSWER_WAY_MS + 20) / 1000)
        others = [submit(3 + n, 2 + n % (PARTNERS - 1)) for n in range(OTHERS * (PARTNERS - 1))]
        await asyncio.gather(submit(2, 1), *others)
        await asyncio.sleep((DEADLINE_MS + LOST_AFTER_MS) / 1000 + 0.5)
    finally:
        await dispatcher.stop()
        await link.stop()
        for endpoint in endpoints:
            await endpoint.stop()
    answered = {ref for endpoint in endpoints for ref in endpoint.answered}
    lost = []
    for ref, due in taken.items():
        ended = platform.notices.get(ref)
        if ref not in answered and (ended is None or ended[0] > due + LOST_AFTER_MS):
            lost.append(ref)
            record.write(
                "check", f"{ref} was taken on, and is neither delivered nor ended {LOST_AFTER_MS} ms after its time"
            )
    return lost


async def case(record: Record, scratch: Path, trouble: bool) -> int:
    lost = [ref for number in range(ROUNDS) for ref in await play_round(record, scratch, trouble, number)]
    text = f"messages lost: {len(lost)} in {ROUNDS} rounds of {2 + OTHERS * (PARTNERS - 1)} messages"
    record.write("check", text)
    print(text)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(play(HERE, case))
