"""Tests of scripts/check-terms, on small generated trees and on this repository."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECK_TERMS = ROOT / "scripts" / "check-terms"


class CheckTerms(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.root = pathlib.Path(self.folder.name)

    def write(self, path: str, text: str) -> None:
        file = self.root / path
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text, encoding="utf-8")

    def run_on_tree(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, CHECK_TERMS, "--root", self.root, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def words_in(self, path: str) -> list[str]:
        """The findings in a file, each as 'LINE: WORD'."""
        result = self.run_on_tree(path)
        self.assertEqual(result.returncode, 0, result.stderr)
        return [line.split(":", 1)[1] for line in result.stdout.splitlines()]

    def test_finds_identifiers_by_their_words(self) -> None:
        self.write(
            "src/policy/a.cpp",
            "struct Launch {};\nint submitCallback(int outerLimit_);\nconstexpr int kSlotsMost = 3;\n"
            "int held_;\n",
        )
        self.assertEqual(
            self.words_in("src/policy/a.cpp"),
            ["1: Launch", "2: submitCallback", "2: outerLimit_", "3: kSlotsMost", "4: held_"],
        )

    def test_finds_wordings_in_comments(self) -> None:
        self.write(
            "src/policy/a.h",
            "// a callback that was Withdrawn\n/* taken over\n   its outer limit */\n"
            "int x;  // is taken on here\n",
        )
        self.assertEqual(
            self.words_in("src/policy/a.h"),
            ["1: callback", "1: Withdrawn", "3: outer limit", "4: is taken on"],
        )

    def test_leaves_literals_numbers_and_includes_alone(self) -> None:
        self.write(
            "src/settings/reader.cpp",
            '#include "x/launch.h"\nauto a = read("receipted", \'"\');  // a key\n'
            'auto b = R"(held "launch" // callback)";\nauto c = 1\'000;\nauto d = "\\"launch";\n',
        )
        self.assertEqual(self.words_in("src/settings/reader.cpp"), [])

    def test_leaves_standard_words_alone(self) -> None:
        self.write(
            "src/net/a.cpp",
            "Buffer(const Buffer&) = delete;  // no copies: it holds the lock\n"
            "// the writer gives up after a second, and the write is given up with it\n"
            "std::copy(row.begin(), row.end(), out);\nRoute route; AttemptRecord record; EventLoop loop;\n"
            "enum class Result { malformed };\nMillis heldUpFor();\n"
            "int windowSize = coldness;  // the relaunched header's bedroom\n",
        )
        self.assertEqual(self.words_in("src/net/a.cpp"), [])

    def test_looks_at_the_prose_of_a_page_and_not_at_its_code(self) -> None:
        self.write("docs/a.md", "A launch, once `launch.sent`.\n\n    launch\n\n```\nlaunch\n```\nprobes\n")
        self.assertEqual(self.words_in("docs/a.md"), ["1: launch", "8: probes"])

    def test_looks_at_names_comments_and_docstrings_of_python(self) -> None:
        self.write(
            "scripts/tool",
            '#!/usr/bin/env python3\n"""A callback."""\ndef launched(x):\n    return "launch"  # a receipt\n',
        )
        self.assertEqual(self.words_in("scripts/tool"), ["2: callback", "3: launched", "4: receipt"])

    def test_counts_by_package_and_file(self) -> None:
        self.write("src/policy/a.cpp", "int held;\n")
        self.write("src/net/b.cpp", "int launches;\nint launches2;\n")
        self.write("docs/ROADMAP.md", "launch\n")
        result = self.run_on_tree()
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(
            [" ".join(line.split()) for line in result.stdout.splitlines()],
            [
                "2 src/net",
                "2 src/net/b.cpp: launches 1, launches2 1",
                "1 src/policy",
                "1 src/policy/a.cpp: held 1",
                "3 in all",
            ],
        )

    def test_fails_for_finished_paths_only(self) -> None:
        self.write("src/policy/a.cpp", "int launches;\n")
        self.write("src/policyholder/a.cpp", "int launches;\n")
        self.write("src/net/b.cpp", "int attempts;\n")
        self.assertEqual(self.run_on_tree("--finished", "src/net").returncode, 0)
        result = self.run_on_tree("--finished", "src/net", "--finished", "src/policy")
        self.assertEqual(result.returncode, 1)
        self.assertEqual(result.stderr, "src/policy/a.cpp:1: retired word 'launches' in a finished path\n")

    def test_refuses_a_finished_path_that_is_not_there(self) -> None:
        self.write("src/net/b.cpp", "int attempts;\n")
        result = self.run_on_tree("--finished", "src/gone")
        self.assertEqual(result.returncode, 2)
        self.assertIn("there is no 'src/gone'", result.stderr)

    def test_this_tree_keeps_its_finished_paths(self) -> None:
        result = subprocess.run([sys.executable, CHECK_TERMS], capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 0, result.stderr)


if __name__ == "__main__":
    unittest.main()
