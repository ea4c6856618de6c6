"""Tests of choice, ejection, ramp-up and drain of searchers."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import upstreams
from tests import builders

#: Time in seconds at which a searcher added at time 0 has all its slots.
WARM_S = upstreams.RAMP_S


def upstream(name="r0", **fields):
    row = builders.searcher(name, address="127.0.0.1:1", **fields)
    return upstreams.Upstream(row, 0.0)


def names(rows, snapshot="v1", now_s=WARM_S):
    return [row.searcher.id for row in upstreams.usable(rows, snapshot, now_s)]


class ChoiceTest(unittest.TestCase):
    def test_least_loaded(self):
        cases = [
            ("idle searcher", {"in_flight": 1}, {}, "b"),
            ("slow searcher", {"mean_s": 0.1}, {"in_flight": 1}, "b"),
            (
                "load report has little weight",
                {"reported": 9},
                {"in_flight": 1},
                "a",
            ),
            ("load report breaks a tie", {"reported": 1}, {}, "b"),
            ("fewest calls breaks a tie", {"calls": 5}, {"calls": 4}, "b"),
        ]
        for name, first, second, expected in cases:
            with self.subTest(name):
                rows = [upstream("a"), upstream("b")]
                for row, fields in zip(rows, (first, second), strict=True):
                    vars(row).update(fields)
                chosen = upstreams.choose_least_loaded(rows)
                self.assertEqual(chosen.searcher.id, expected)

    def test_random_choice_covers_all(self):
        rows = [upstream("a"), upstream("b")]
        for draw, expected in ((0.0, "a"), (0.99, "b")):
            chosen = upstreams.choose_random(lambda draw=draw: draw)(rows)
            self.assertEqual(chosen.searcher.id, expected)


class FaultTest(unittest.TestCase):
    def test_ejections_grow_until_a_reply(self):
        row = upstream()
        ejected = [row.record_failure(WARM_S, True) for _ in range(3)]
        self.assertEqual(ejected, [False, False, True])
        self.assertFalse(row.accepts_work(WARM_S))
        back_s = WARM_S + upstreams.EJECT_S
        self.assertTrue(row.accepts_work(back_s))
        self.assertEqual(row.slot_limit(back_s), 1)
        self.assertTrue(row.record_failure(back_s, True))
        self.assertFalse(row.accepts_work(back_s + upstreams.EJECT_S))
        row.record_reply(0.01, back_s, slow=False)
        self.assertTrue(row.accepts_work(back_s))
        self.assertEqual(row.slot_limit(back_s), 1)
        self.assertEqual(row.slot_limit(back_s + upstreams.RAMP_S), 2)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.booleans(),
                strategies.floats(0.0, 3.0),
            ),
            max_size=80,
        )
    )
    def test_some_searcher_is_always_usable(self, events):
        rows = [upstream(name) for name in "abc"]
        now_s = WARM_S
        for index, works, pause_s in events:
            now_s += pause_s
            row = rows[index]
            others = any(
                other is not row and other.accepts_work(now_s) for other in rows
            )
            if works:
                row.record_reply(0.01, now_s, slow=False)
            else:
                row.record_failure(now_s, others)
            self.assertTrue(upstreams.usable(rows, "v1", now_s))

    def test_searchers_that_accept_work(self):
        cases = [
            ("leaving", {"state": "leaving"}, None, ["b"]),
            ("draining", {}, ("draining", "v1", 0.0), ["b"]),
            ("shed", {}, ("shed", "v1", 0.1), ["b"]),
            ("missing the snapshot", {}, ("version-unknown", "v1", 0.0), ["b"]),
            (
                "missing another snapshot",
                {},
                ("version-gone", "v0", 0.0),
                ["a", "b"],
            ),
        ]
        for name, fields, refusal, expected in cases:
            with self.subTest(name):
                rows = [upstream("a", **fields), upstream("b")]
                if refusal is not None:
                    rows[0].record_refusal(*refusal, WARM_S)
                self.assertEqual(names(rows), expected)

    def test_draining_searchers_are_not_asked_but_missing_snapshots_are(self):
        rows = [upstream("a"), upstream("b")]
        for row in rows:
            row.record_refusal("version-unknown", "v1", 0.0, WARM_S)
        self.assertEqual(names(rows), ["a", "b"])
        for row in rows:
            row.record_refusal("draining", "v1", 0.0, WARM_S)
        self.assertEqual(names(rows), [])
        later_s = WARM_S + 10 * upstreams.DRAIN_RECHECK_S
        self.assertEqual(names(rows, now_s=later_s), [])
        for row in rows:
            row.record_resumed(later_s)
        self.assertEqual(names(rows, now_s=later_s), ["a", "b"])

    def test_drain_rechecks_back_off_if_health_is_wrong(self):
        row = upstream()
        waits = []
        for _ in range(8):
            row.record_refusal("draining", "v1", 0.0, WARM_S)
            waits.append(row.recheck_at_s - WARM_S)
            row.record_resumed(WARM_S)
        self.assertEqual(waits[:3], [2.0, 4.0, 8.0])
        self.assertEqual(waits[-1], upstreams.MAX_DRAIN_RECHECK_S)
        row.record_reply(0.01, WARM_S, slow=False)
        row.record_refusal("draining", "v1", 0.0, WARM_S)
        self.assertEqual(row.recheck_at_s - WARM_S, waits[0])


class EstimateTest(unittest.TestCase):
    def test_slow_quantile_follows_the_latencies(self):
        row = upstream()
        # 1 of 20 calls takes 100 ms, so the 97th percentile is above 10 ms.
        for index in range(4000):
            row.record_reply(
                0.1 if index % 20 == 0 else 0.01, WARM_S, slow=False
            )
        self.assertGreater(row.slow_after_s, 0.01)
        self.assertLess(row.slow_after_s, 0.2)
        for _ in range(4000):
            row.record_reply(0.005, WARM_S, slow=False)
        self.assertLess(row.slow_after_s, 0.01)

    def test_ramp_up_of_slots(self):
        row = upstream(slots=4)
        part_s = upstreams.RAMP_S / 4
        limits = [row.slot_limit(index * part_s) for index in range(6)]
        self.assertEqual(limits, [1, 1, 2, 3, 4, 4])

    @hypothesis.given(strategies.integers(1, 64), strategies.integers(2, 1000))
    def test_two_relays_stay_within_the_connections(self, slots, connections):
        row = builders.searcher(
            address="127.0.0.1:1", slots=slots, connections=connections
        )
        limit = upstreams.connection_limit(row)
        self.assertGreaterEqual(limit, 1)
        self.assertLessEqual(2 * limit, connections)
