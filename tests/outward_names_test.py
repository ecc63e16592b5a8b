"""Tests of scripts/check-outward-names, on small generated trees and on this repository."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECK_OUTWARD_NAMES = ROOT / "scripts" / "check-outward-names"


def run(root: pathlib.Path) -> subprocess.CompletedProcess[str]:
    """Check a whole tree."""
    return subprocess.run(
        [sys.executable, CHECK_OUTWARD_NAMES, "--root", root], capture_output=True, text=True, check=False
    )


class CheckOutwardNames(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)

    def write(self, path: str, text: str) -> None:
        file = self.root / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text, encoding="utf-8")

    def missing(self, name_list: str) -> list[str]:
        """The lines of the names that are missing, without the count in the last line."""
        self.write("docs/outward-names.txt", name_list)
        result = run(self.root)
        lines = result.stdout.splitlines()[:-1]
        self.assertEqual(result.returncode, 1 if lines else 0, result.stderr)
        return lines

    def test_finds_a_name_that_is_gone(self) -> None:
        self.write("src/log.cpp", 'log("message.sent", {{"left_ms", 1}});\n')
        self.assertEqual(self.missing("message.sent\t1\tsrc/log.cpp\nleft_ms\t1\tsrc/log.cpp\n"), [])
        self.assertEqual(
            self.missing("message.taken\t1\tsrc/log.cpp\n"),
            ["'message.taken' stands in 0 places; the list has 1"],
        )

    def test_finds_a_name_that_stands_in_fewer_places(self) -> None:
        self.write("src/a.cpp", 'f("version");\n')
        self.write("src/b.cpp", 'g("version");\n')
        self.assertEqual(self.missing("version\t2\tsrc/a.cpp\tsrc/b.cpp\n"), [])
        self.assertEqual(
            self.missing("version\t3\tsrc/a.cpp\n"), ["'version' stands in 2 places; the list has 3"]
        )

    def test_counts_neither_comments_nor_identifiers(self) -> None:
        self.write("src/a.cpp", '// the key "room"\nint room = 0;\n#include "room"\n')
        self.assertEqual(self.missing("room\t1\tsrc/a.cpp\n"), ["'room' stands in 0 places; the list has 1"])

    def test_lets_a_wire_code_change_its_identifier_but_not_its_number(self) -> None:
        self.write("src/wire_codes.h", "enum class Code {\n  timerFired = 17,\n};\n")
        self.assertEqual(self.missing("alarm=17\t1\tsrc/wire_codes.h\n"), [])
        self.assertEqual(
            self.missing("alarm=18\t1\tsrc/wire_codes.h\n"), ["'alarm=18' stands in 0 places; the list has 1"]
        )

    def test_finds_a_wire_code_that_is_gone_while_another_has_its_number(self) -> None:
        self.write("src/wire_codes.h", "enum class Code {\n  timerFired = 1,\n};\n")
        self.assertEqual(
            self.missing("timerFired=1\t1\tsrc/wire_codes.h\naccepted=1\t1\tsrc/wire_codes.h\n"),
            ["'accepted=1' stands in 0 places; the list has 1"],
        )

    def test_finds_a_text_as_it_stands(self) -> None:
        self.write("src/a.cpp", 'f("GET /ping HTTP/1.1");\n')
        self.assertEqual(self.missing("# remark\nGET /ping HTTP/1.1\n"), [])
        self.assertEqual(
            self.missing("GET /pong HTTP/1.1\n"),
            ["'GET /pong HTTP/1.1' does not stand in src, deploy, example any more"],
        )

    def test_reads_the_keys_of_a_toml_file(self) -> None:
        self.write("deploy/site.toml", '[servers]\n"quoted" = 1\nwarm_by = "both"\n')
        self.assertEqual(self.missing("servers\t1\tdeploy/site.toml\nwarm_by\t1\tdeploy/site.toml\n"), [])

    def test_says_which_list_cannot_be_read(self) -> None:
        result = run(self.root)
        self.assertEqual(result.returncode, 2)
        self.assertIn("docs/outward-names.txt", result.stderr)

    def test_finds_every_listed_name_in_this_tree(self) -> None:
        result = run(ROOT)
        self.assertEqual(result.returncode, 0, result.stdout)


if __name__ == "__main__":
    unittest.main()
