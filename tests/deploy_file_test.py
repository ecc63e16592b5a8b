"""Tests that deploy/balancer.toml names existing files and every source and header of the policy."""

from __future__ import annotations

import pathlib
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))


class DeployFile(unittest.TestCase):
    def test_policy_lists_every_source_and_header_of_the_policy(self) -> None:
        sources = sorted(
            path.relative_to(ROOT).as_posix()
            for path in (ROOT / "src" / "policy").rglob("*")
            if path.suffix in (".cpp", ".h")
        )
        self.assertEqual(DEPLOY["policy"], sources)

    def test_node_names_files_or_folders_that_are_there(self) -> None:
        self.assertEqual([name for name in DEPLOY["node"] if not (ROOT / name).exists()], [])

    def test_packages_are_installed_by_the_project_too(self) -> None:
        needs = (ROOT / "scripts" / "needs").read_text(encoding="utf-8").split()
        self.assertEqual([name for name in DEPLOY["packages"] if name not in needs], [])


if __name__ == "__main__":
    unittest.main()
