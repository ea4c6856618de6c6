"""Test runner that tolerates the failures listed in KNOWN-RED.txt.

Runs the named tests, or all tests of this directory. A failure of a listed
test is printed and doesn't fail the run. When all tests run, a listed test
that passes fails the run, so that the list stays accurate.
"""

import pathlib
import sys
import typing
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class PassCountingResult(unittest.TextTestResult):
    """Test result that also counts the tests that passed.

    Attributes:
        passed: Number of tests without a failure, an error or a skip in the
            test or in any of its subtests.
    """

    passed = 0

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed += 1


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


def run(
    suite: unittest.TestSuite, stream: typing.Any = None
) -> PassCountingResult:
    """Runs a suite and prints its failures to `stream`, by default stderr."""
    runner = unittest.TextTestRunner(stream, resultclass=PassCountingResult)
    return typing.cast(PassCountingResult, runner.run(suite))


def failed_tests(result: PassCountingResult) -> list[unittest.TestCase]:
    """Returns the failed tests and subtests, each subtest separately."""
    failed = [test for test, _ in result.failures + result.errors]
    return [*failed, *result.unexpectedSuccesses]


def parent_test(test: unittest.TestCase) -> unittest.TestCase:
    """Returns the test that a subtest belongs to, or the test itself."""
    return getattr(test, "test_case", test)


def main(names: list[str]) -> int:
    """Runs the named tests, or all of them; returns the exit code."""
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = run(suite)
    known_red = known_red_tests()
    failed_ids = {test.id() for test in failed_tests(result)}
    for name in sorted(failed_ids & known_red):
        print(f"known red: {name}")
    unlisted = failed_ids - known_red
    stale = set() if names else known_red - failed_ids
    failed = {
        parent_test(test).id()
        for test in failed_tests(result)
        if test.id() in unlisted
    }
    for name in sorted(stale):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    print(f"{result.passed} passed, {len(failed) + len(stale)} failed")
    return 1 if unlisted or stale or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
