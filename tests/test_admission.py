"""Tests of the adaptive limits of admission control, in virtual time."""

import heapq
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import admission

DEADLINE_S = 1.0
GOOD = admission.Outcome(0.05, DEADLINE_S, False)
LATE = GOOD._replace(elapsed_s=0.9)
SHED = GOOD._replace(congested=True)


def simulate(offered_per_s, capacity_per_s, adaptive, seconds=60.0):
    """Simulates one queue behind admission control; returns the goodput.

    Arrivals are evenly spaced and each request takes 1 / capacity. Goodput is
    the number of responses per second that meet the deadline, over the second
    half of the run.
    """
    limits = admission.Admission(10_000, adaptive)
    ends = []
    free_s = good = 0.0
    for index in range(int(offered_per_s * seconds)):
        now_s = index / offered_per_s
        while ends and ends[0][0] <= now_s:
            end_s, began_s = heapq.heappop(ends)
            outcome = admission.Outcome(end_s - began_s, DEADLINE_S, False)
            limits.release("a", outcome, end_s)
            good += end_s > seconds / 2 and end_s - began_s <= DEADLINE_S
        if limits.admit("a", 0, 1.0) == 0.0:
            free_s = max(now_s, free_s) + 1 / capacity_per_s
            heapq.heappush(ends, (free_s, now_s))
    return good / (seconds / 2)


class LimitTest(unittest.TestCase):
    def test_limit_follows_the_outcome(self):
        cases = [
            ("good", GOOD, 1),
            ("late", LATE, -1),
            ("shed", SHED, -1),
            (
                "late, incomplete after losing a searcher",
                LATE._replace(complete=False),
                0,
            ),
        ]
        for name, outcome, sign in cases:
            with self.subTest(name):
                limits = admission.Admission(1000, True)
                while limits.admit("a", 0, 1.0) == 0.0:
                    pass
                before = limits.limits["a"].limit
                limits.release("a", outcome, 10.0)
                change = limits.limits["a"].limit - before
                self.assertEqual((change > 0) - (change < 0), sign)

    def test_limit_decreases_once_per_latency(self):
        limits = admission.Admission(1000, True)
        for _ in range(5):
            limits.admit("a", 0, 1.0)
        for _ in range(5):
            limits.release("a", LATE, 10.0)
        expected = admission.INITIAL_LIMIT * admission.DECREASE_FACTOR
        self.assertAlmostEqual(limits.limits["a"].limit, expected)

    def test_goodput_stays_near_peak_at_twice_the_capacity(self):
        peak = simulate(95.0, 100.0, True)
        self.assertGreaterEqual(simulate(200.0, 100.0, True), 0.9 * peak)
        # Without limits the queue grows without bound and goodput collapses.
        self.assertLess(simulate(200.0, 100.0, False), 0.1 * peak)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("ab"),
                strategies.sampled_from([GOOD, LATE, SHED]),
                strategies.booleans(),
            ),
            max_size=200,
        )
    )
    def test_counts_match_the_admitted_requests(self, events):
        limits = admission.Admission(50, True)
        taken = {"a": 0, "b": 0}
        for number, (name, outcome, arrives) in enumerate(events):
            if arrives:
                taken[name] += limits.admit(name, 0, 0.5) == 0.0
            elif taken[name]:
                taken[name] -= 1
                limits.release(name, outcome, float(number))
        self.assertEqual(limits.in_flight, sum(taken.values()))
        for row in limits.limits.values():
            self.assertGreaterEqual(row.limit, admission.MIN_LIMIT)


class ClassTest(unittest.TestCase):
    def test_lower_classes_leave_reserve_and_keep_their_share(self):
        limits = admission.Admission(100, False)
        for _ in range(200):
            limits.admit("low", 3, 0.1)
        self.assertEqual(limits.limits["low"].in_flight, 70)
        for _ in range(200):
            limits.admit("top", 0, 0.4)
        self.assertEqual(limits.limits["top"].in_flight, 40)
        self.assertEqual(limits.admit("lowest", 7, 0.1), 0.0)

    def test_refusal_gives_a_retry_delay(self):
        limits = admission.Admission(1, True)
        limits.admit("a", 0, 0.0)
        self.assertGreaterEqual(
            limits.admit("a", 0, 0.0), admission.MIN_RETRY_S
        )
