"""Tests how the test runner counts passed and failed tests."""

import io
import unittest

from tests import __main__ as runner


class CountTest(unittest.TestCase):
    def test_failed_subtests_are_one_test(self):
        def fail_twice():
            for index in range(2):
                with failing.subTest(index):
                    failing.fail()

        failing = unittest.FunctionTestCase(fail_twice)
        skipped = unittest.FunctionTestCase(lambda: skipped.skipTest(""))
        passing = unittest.FunctionTestCase(lambda: None)
        suite = unittest.TestSuite([failing, skipped, passing])
        result = runner.run(suite, io.StringIO())
        self.assertEqual(result.testsRun, 3)
        failed = runner.failed_tests(result)
        self.assertEqual(len(failed), 2)
        self.assertEqual(
            {runner.parent_test(test) for test in failed}, {failing}
        )
        self.assertEqual(result.passed, 1)
