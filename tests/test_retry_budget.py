"""Tests of the budget of extra calls over all VMs."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import retry_budget

RULE = retry_budget.Policy(fraction=0.2, allowance=58, window_s=10)

# A step: index of the VM, pause before the step in seconds, kind of event; a
# `repeat` is an extra call.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 8),
        strategies.floats(0, 0.1),
        strategies.sampled_from(["request", "repeat", "restart"]),
    ),
    min_size=50,
    max_size=600,
)


def counted(events, start_s, end_s):
    return sum(1 for moment in events if start_s <= moment < end_s)


class BudgetTest(unittest.TestCase):
    def test_no_extra_call_without_requests_or_vms(self):
        budget = retry_budget.create_budget(RULE)
        self.assertFalse(budget.try_take("s", 0.0))

    def test_fraction_of_own_requests(self):
        budget = retry_budget.create_budget(RULE._replace(allowance=0))
        for _ in range(100):
            budget.record_request("s", 1.0)
        taken = sum(budget.try_take("s", 1.0) for _ in range(100))
        self.assertLessEqual(taken, 20)
        self.assertGreaterEqual(taken, 10)

    def test_services_have_separate_budgets(self):
        budget = retry_budget.create_budget(RULE)
        budget.set_vms(1)
        while budget.try_take("s", 0.0):
            pass
        self.assertTrue(budget.try_take("t", 0.0))

    def test_budget_is_restored_after_the_window(self):
        budget = retry_budget.create_budget(RULE)
        budget.set_vms(4)
        while budget.try_take("s", 0.0):
            pass
        self.assertFalse(budget.try_take("s", 9.9))
        self.assertTrue(budget.try_take("s", 11.1))

    def test_only_services_idle_for_a_window_are_dropped(self):
        budget = retry_budget.create_budget(RULE)
        budget.record_request("old", 0.0)
        budget.record_request("new", 8.0)
        budget.drop_idle_services(12.0)
        self.assertEqual(list(budget.usage), ["new"])

    def test_unsent_call_is_returned_to_the_budget(self):
        budget = retry_budget.create_budget(RULE)
        budget.set_vms(9)
        while budget.try_take("s", 0.0):
            pass
        budget.refund("s", 0.0)
        self.assertTrue(budget.try_take("s", 0.0))
        self.assertFalse(budget.try_take("s", 0.0))

    def test_allowance_is_concentrated_in_a_large_fleet(self):
        rule = RULE._replace(allowance=200)
        self.assertFalse(retry_budget.is_concentrated(rule, 9))
        self.assertTrue(retry_budget.is_concentrated(rule, 85))
        for domains in (1, 3, 5):
            parts = [
                retry_budget.allowance_fraction(rank, domains)
                for rank in (0, 1, 2, None)
            ]
            # The parts may be used twice in a window in which services move to
            # other VMs.
            self.assertLessEqual(2 * domains * sum(parts), 1.0 + 1e-9)
            self.assertEqual(parts[2:], [0.0, 0.0])

    def test_concentrated_part_is_a_fraction_of_the_allowance(self):
        budget = retry_budget.create_budget(RULE._replace(allowance=200))
        budget.set_vms(85)
        budget.own_allowance_fraction = lambda service: (
            0.1 if service == "owned" else 0.0
        )
        self.assertFalse(budget.try_take("other", 0.0))
        self.assertEqual(
            sum(budget.try_take("owned", 0.0) for _ in range(99)), 20
        )

    @hypothesis.settings(
        max_examples=120, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(STEPS)
    def test_all_vms_together_stay_within_the_limits(self, steps):
        vms = 9
        budgets = [retry_budget.create_budget(RULE) for _ in range(vms)]
        for budget in budgets:
            budget.set_vms(vms)
        requests, extras, restarts = [], [], 0
        now_s = 0.0
        for vm, pause_s, kind in steps:
            now_s += pause_s
            budget = budgets[vm]
            if kind == "request":
                budget.record_request("s", now_s)
                requests.append(now_s)
            elif kind == "repeat":
                if budget.try_take("s", now_s):
                    extras.append(now_s)
            elif restarts < 4:
                # A restarted process has lost its counts.
                restarts += 1
                budgets[vm] = retry_budget.create_budget(RULE)
                budgets[vm].set_vms(vms)
        for end_s in extras:
            start_s = end_s - RULE.window_s
            wanted = max(
                counted(requests, start_s - back, end_s - back + 1e-9)
                for back in (0, RULE.window_s / 2, RULE.window_s)
            )
            limit = RULE.fraction * wanted + RULE.allowance
            self.assertLessEqual(counted(extras, start_s, end_s + 1e-9), limit)
