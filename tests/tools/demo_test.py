"""Tests of the demo's reports and of the choice of ports, without processes of lovagefront."""

import contextlib
import io
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "measure.d"))

import demo as demos  # noqa: E402
import ports  # noqa: E402
from fleet import FleetError  # noqa: E402


class FakeFleet:
    folder = "/tmp/logs-of-the-fleet"
    keeps_folder = False


def raise_error(error):
    raise error


class DemoReport(unittest.TestCase):
    # name, what the second of three steps does, steps that are announced, texts of the report, result
    CASES = (
        ("all pass", lambda demo: demo.check(True, "fine"), 3, (), True),
        ("a check fails", lambda demo: demo.check(False, "3 of 4"), 3,
         ('step "second"', "expected: result of second", "3 of 4", FakeFleet.folder), False),
        ("a process does not start", lambda demo: raise_error(FleetError("engine-0 is not ready")), 2,
         ('step "second"', "expected: result of second", "engine-0 is not ready", FakeFleet.folder), False),
        ("a tool hangs", lambda demo: raise_error(subprocess.TimeoutExpired("lovagectl", 120)), 2,
         ('step "second"', "lovagectl", FakeFleet.folder), False),
        ("a status lacks a field", lambda demo: raise_error(KeyError("phase")), 2,
         ('step "second"', "phase", FakeFleet.folder), False),
    )

    def test_reports(self):
        """Guards against a demo that fails without its step, what was expected and where the logs are."""
        for name, act, announced, texts, result in self.CASES:
            with self.subTest(name):
                demo = demos.Demo(FakeFleet())
                runs = (lambda: None, lambda d=demo, a=act: a(d), lambda: None)
                demo.steps = lambda r=runs: tuple(
                    demos.Step(title, f"result of {title}", run)
                    for title, run in zip(("first", "second", "third"), r))
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    self.assertEqual(demo.run(), result)
                for number in (1, 2, 3):
                    self.assertEqual(f"[{number}/3]" in output.getvalue(), number <= announced)
                for text in texts:
                    self.assertIn(text, output.getvalue())
                self.assertEqual(demo.fleet.keeps_folder, not result)


class Ports(unittest.TestCase):
    def test_two_processes(self):
        """Guards against two demos that choose the same port before either listens on it."""
        port = ports.reserve_port()
        script = f"import ports; print(ports.reserve_port(range({port}, {port + 3})))"
        other = subprocess.run([sys.executable, "-B", "-c", script], cwd=ROOT / "tools" / "measure.d",
                               capture_output=True, text=True, timeout=10, check=True)
        self.assertNotEqual(int(other.stdout), port)


if __name__ == "__main__":
    unittest.main()
