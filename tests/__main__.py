"""Test runner.

Runs every test below this folder. Failures of tests listed in KNOWN-RED.txt
are printed and passed over; a listed test that passes fails the run, so that
the list stays true.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    """Returns the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test: ").strip()
        for line in lines
        if line.startswith("test: ")
    }


def main(names: list[str]) -> int:
    """Runs the named tests, or all of them; returns the exit code."""
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    listed = known_red_tests()
    bad = {test.id() for test, _ in result.failures + result.errors}
    bad |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(bad & listed):
        print(f"known red: {name}")
    unlisted = bad - listed
    stale = set() if names else listed - bad
    for name in sorted(stale):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {len(unlisted) + len(stale)} failed")
    return 1 if unlisted or stale or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
