"""scripts/life on the logs of two dispatchers, one in each format."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

LIFE = pathlib.Path(__file__).parent.parent / "scripts" / "life"
TEXT = """[2026-12-02 05:00:00.000] [stonewing] [info] phase name=n1 phase=serving held=0 owed=0
[2026-12-02 05:00:01.000] [stonewing] [debug] callback.taken callback=00ab12 type=order destination=7 left_ms=8000.0
[2026-12-02 05:00:01.001] [stonewing] [debug] callback.taken callback=00ab123 type=order destination=7 left_ms=8000.0
[2026-12-02 05:00:01.500] [stonewing] [debug] launch.sent callback=00ab12 launch=0 endpoint=s-1 time_out_ms=900.0
[2026-12-02 05:00:03.000] [stonewing] [info] phase name=n1 phase=leaving held=1 owed=0
noise that is no event
"""
JSON = """{"time":"2026-12-02T05:00:02.000000Z","level":"debug","program":"stonewing","event":"callback.restored","callback":"00ab12","launches":1}
{"time":"2026-12-02T05:00:02.100000Z","level":"debug","event":"launch.ended","callback":"00ab99"}
{"time":"broken","event":
"""


class Life(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        below = pathlib.Path(self.folder.name) / "deep"
        below.mkdir()
        (below / "n1.log").write_text(TEXT)
        (below / "n2.log").write_text(JSON)

    def life(self, *words):
        return subprocess.run([sys.executable, LIFE, *words], capture_output=True, text=True)

    def test_puts_one_callback_of_both_formats_in_order_of_time(self):
        for id in ("00ab12", "ab12"):
            told = self.life(self.folder.name, id)
            self.assertEqual(told.returncode, 0, told.stderr)
            rows = [line.split()[2:4] for line in told.stdout.splitlines()]
            self.assertEqual(rows, [["n1", "callback.taken"], ["n1", "launch.sent"], ["n2", "callback.restored"],
                                    ["n1", "phase"]])  # that of its dispatcher, once it had it
            self.assertIn("endpoint=s-1", told.stdout)

    def test_says_what_is_wrong(self):
        for words, says in (((), "scripts/life FOLDER ID"),
                            ((self.folder.name + "/nowhere", "00ab12"), "no *.log below"),
                            ((self.folder.name, "77"), "no line of callback '77'")):
            told = self.life(*words)
            self.assertEqual(told.returncode, 1)
            self.assertIn(says, told.stderr)


if __name__ == "__main__":
    unittest.main()
