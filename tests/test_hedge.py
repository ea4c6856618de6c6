"""Tests of the targets and budgets of hedged calls."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import hedge
from laurelrock.core import upstreams
from tests import builders

NOW_S = upstreams.RAMP_S


def upstream(name, in_flight=0):
    row = builders.searcher(name, address="127.0.0.1:1")
    created = upstreams.Upstream(row, 0.0)
    created.in_flight = in_flight
    return created


class TargetTest(unittest.TestCase):
    def test_choice_of_target(self):
        cases = [
            ("another searcher", [1, 0], 0, "b"),
            ("no free slot", [1, 2], 0, None),
            ("sub-queries queued", [1, 0], 1, None),
            ("only searcher: another connection", [1], 0, "a"),
            ("only searcher and full", [2], 0, None),
        ]
        for name, in_flight, queued, expected in cases:
            with self.subTest(name):
                rows = [
                    upstream(label, count)
                    for label, count in zip("abc", in_flight, strict=False)
                ]
                chosen = hedge.choose_target(
                    rows,
                    rows[:1],
                    queued,
                    NOW_S,
                    upstreams.choose_least_loaded,
                )
                found = chosen.searcher.id if chosen else None
                self.assertEqual(found, expected)


class BudgetTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.booleans(), max_size=500),
        strategies.floats(0.01, 0.5),
    )
    def test_taken_tokens_stay_within_the_fraction(self, events, fraction):
        budget = hedge.TokenBucket(fraction)
        earned = taken = 0
        for is_call in events:
            if is_call:
                budget.add_call()
                earned += 1
            else:
                taken += budget.try_take()
        most = hedge.MAX_TOKENS + fraction * earned
        self.assertLessEqual(taken, most + 1e-6)

    def test_no_tokens_at_fraction_zero(self):
        budget = hedge.TokenBucket(0.0)
        budget.add_call()
        self.assertFalse(budget.try_take())

    def test_query_limit(self):
        for parts, expected in ((1, 1), (4, 1), (20, 5), (1100, 275)):
            self.assertEqual(hedge.max_hedges_per_query(parts), expected)
