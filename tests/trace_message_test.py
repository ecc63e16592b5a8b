"""Tests of scripts/trace-message: logs in both formats, with the current and the old event names."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import unittest

TRACE_MESSAGE = pathlib.Path(__file__).resolve().parent.parent / "scripts" / "trace-message"


def text_line(time: str, level: str, event: str) -> str:
    """A line in the text format, as spdlog writes it."""
    return f"[2026-12-02 {time}] [stonewing] [{level}] {event}\n"


# Logs with the names of events and fields before their renaming.
OLD_TEXT = (
    text_line("05:00:00.000", "info", "phase name=n1 phase=serving held=0 owed=0")
    + text_line(
        "05:00:01.000", "debug", "callback.taken callback=00ab12 type=order destination=7 left_ms=8000.0"
    )
    + text_line(
        "05:00:01.001", "debug", "callback.taken callback=00ab123 type=order destination=7 left_ms=8000.0"
    )
    + text_line(
        "05:00:01.500", "debug", "launch.sent callback=00ab12 launch=0 endpoint=s-1 time_out_ms=900.0"
    )
    + text_line("05:00:03.000", "info", "phase name=n1 phase=leaving held=1 owed=0")
    + "noise that is no event\n"
)
OLD_JSON = (
    '{"time":"2026-12-02T05:00:02.000000Z","level":"debug","program":"stonewing","event":"callback.restored",'
    '"callback":"00ab12","launches":1}\n'
    '{"time":"2026-12-02T05:00:02.100000Z","level":"debug","event":"launch.ended","callback":"00ab99"}\n'
    '{"time":"broken","event":\n'
)
NEW_TEXT = (
    text_line("06:00:00.000", "info", "lifecycle.changed name=n1 state=serving in_flight=0")
    + text_line(
        "06:00:01.000", "debug", "message.accepted message=00ab12 type=order destination=7 left_ms=8000.0"
    )
    + text_line(
        "06:00:01.001", "debug", "message.accepted message=00ab123 type=order destination=7 left_ms=8000.0"
    )
    + text_line(
        "06:00:01.500", "debug", "attempt.sent message=00ab12 attempt=0 endpoint=s-1 timeout_ms=900.0"
    )
    + text_line("06:00:03.000", "info", "lifecycle.changed name=n1 state=draining in_flight=1")
    + "noise that is no event\n"
)
NEW_JSON = (
    '{"time":"2026-12-02T06:00:02.000000Z","level":"debug","program":"stonewing","event":"message.recovered",'
    '"message":"00ab12","attempts":1}\n'
    '{"time":"2026-12-02T06:00:02.100000Z","level":"debug","event":"attempt.finished","message":"00ab99"}\n'
    '{"level":"debug","event":"attempt.finished","message":"00ab12"}\n'
    '{"time":"broken","event":\n'
)


class TraceMessage(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.below = pathlib.Path(self.folder.name) / "deep"
        self.below.mkdir()

    def write_logs(self, **logs: str) -> None:
        for dispatcher, text in logs.items():
            (self.below / f"{dispatcher}.log").write_text(text, encoding="utf-8")

    def trace(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, TRACE_MESSAGE, *arguments], capture_output=True, text=True, check=False
        )

    def rows(self, reference: str) -> list[list[str]]:
        """Dispatcher and event of each line that is printed for a message."""
        result = self.trace(self.folder.name, reference)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("endpoint=s-1", result.stdout)
        return [line.split()[2:4] for line in result.stdout.splitlines()]

    def test_puts_one_message_of_both_formats_in_order_of_time(self) -> None:
        self.write_logs(n1=NEW_TEXT, n2=NEW_JSON)
        for reference in ("00ab12", "ab12"):
            self.assertEqual(
                self.rows(reference),
                [
                    ["n1", "message.accepted"],
                    ["n1", "attempt.sent"],
                    ["n2", "message.recovered"],
                    ["n1", "lifecycle.changed"],  # only n1's changes since its first event
                ],
            )

    def test_reads_the_vocabulary_before_the_renaming(self) -> None:
        self.write_logs(n1=OLD_TEXT, n2=OLD_JSON)
        for reference in ("00ab12", "ab12"):
            self.assertEqual(
                self.rows(reference),
                [
                    ["n1", "callback.taken"],
                    ["n1", "launch.sent"],
                    ["n2", "callback.restored"],
                    ["n1", "phase"],
                ],
            )

    def test_joins_dispatchers_of_either_vocabulary(self) -> None:
        self.write_logs(n1=OLD_TEXT, n2=NEW_JSON)
        self.assertEqual(
            self.rows("00ab12"),
            [
                ["n1", "callback.taken"],
                ["n1", "launch.sent"],
                ["n1", "phase"],
                ["n2", "message.recovered"],
            ],
        )

    def test_prints_the_time_without_its_zone(self) -> None:
        self.write_logs(n2=NEW_JSON)
        result = self.trace(self.folder.name, "00ab12")
        self.assertEqual(
            result.stdout,
            f"2026-12-02 06:00:02.000  n2       {'message.recovered':24} message=00ab12 attempts=1\n",
        )

    def test_says_what_is_wrong(self) -> None:
        self.write_logs(n1=NEW_TEXT)
        cases: tuple[tuple[tuple[str, ...], int, str], ...] = (
            ((), 2, "scripts/trace-message [-h] FOLDER REFERENCE"),
            ((self.folder.name, "two words"), 2, "'two words' is not a message reference"),
            ((self.folder.name + "/nowhere", "00ab12"), 1, "no *.log below"),
            ((self.folder.name, "77"), 1, "no log line of message '77'"),
        )
        for arguments, code, expected_error in cases:
            with self.subTest(expected_error):
                result = self.trace(*arguments)
                self.assertEqual(result.returncode, code)
                self.assertIn(expected_error, result.stderr)


if __name__ == "__main__":
    unittest.main()
