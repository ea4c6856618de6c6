"""Tests of the times at which queries are answered, and of merging."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import answer_schedule

SCHEDULE = answer_schedule.create_schedule(20, 18, 0.0, 0.145, 0.001, 1.2)
PARTIAL_AT_S = SCHEDULE.partial_at_s

# Shards that have responded, pending shards, loop time in seconds, whether the
# query is answered.
MOMENTS = (
    (20, 0, 0.05, True),
    (19, 1, 0.05, False),
    (19, 1, PARTIAL_AT_S, True),
    (18, 2, PARTIAL_AT_S, True),
    (17, 3, PARTIAL_AT_S, False),
    # After the objective: a grace period for the rest, then a partial response.
    (18, 2, PARTIAL_AT_S + 0.02, False),
    (18, 2, SCHEDULE.late_partial_at_s, True),
    (17, 3, SCHEDULE.late_partial_at_s, False),
    # Too many shards have failed: the query fails at once.
    (10, 7, 0.02, True),
    # The caller's deadline has passed.
    (3, 17, 1.2, True),
    (18, 0, 0.02, True),
)


# One-way latency to the caller in seconds, link speed in Mbit/s, whether the
# connection was already open.
CONNECTIONS = (
    (0.0, 1000, True),
    (0.003, 25, True),
    (0.003, 25, False),
    (0.010, 10, False),
)


class OwnerTest(unittest.TestCase):
    def test_parts_of_loaded_owners_arrive_before_the_partial_response(self):
        # 16 owners send late by up to the delay of a loaded event loop, and the
        # messages take up to 2 ms; a query in which one of them was late waited
        # for a quarter of the objective, and was late itself.
        schedule = answer_schedule.create_schedule(
            135, 129, 0.0, 0.236, 0.002, 2.5
        )
        due_s = answer_schedule.owner_due_s(schedule.partial_at_s)
        late_s = [answer_schedule.SEND_MARGIN_S * n / 15 for n in range(16)]
        arrivals_s = [due_s + row + 0.002 for row in late_s]
        self.assertLess(max(arrivals_s), schedule.partial_at_s)
        self.assertTrue(
            answer_schedule.ready(schedule, 129, 6, schedule.partial_at_s)
        )


class ReadyTest(unittest.TestCase):
    def test_decision_at_each_time(self):
        for included, left, now_s, ready in MOMENTS:
            with self.subTest(included=included, left=left, now_s=now_s):
                found = answer_schedule.ready(SCHEDULE, included, left, now_s)
                self.assertEqual(found, ready)

    def test_partial_response_reaches_the_caller_in_time(self):
        for one_way_s, mbps, is_open in CONNECTIONS:
            with self.subTest(one_way_s=one_way_s, mbps=mbps, is_open=is_open):
                sending_s = answer_schedule.transfer_time_s(
                    90, 50, mbps * 1e6 / 8
                )
                # The caller sends at 0; a new connection adds a round trip.
                received_s = one_way_s if is_open else 3 * one_way_s
                schedule = answer_schedule.create_schedule(
                    90, 86, 0.0, 0.1, one_way_s + sending_s, 1.0
                )
                arrival_s = schedule.partial_at_s + sending_s + one_way_s
                self.assertLess(received_s, schedule.partial_at_s)
                self.assertLessEqual(arrival_s, 0.1 - 0.005)
                self.assertGreaterEqual(arrival_s, 0.1 - 0.010)

    def test_wakes_at_each_decision_time(self):
        moments = [0.0]
        while moments[-1] < SCHEDULE.deadline_s:
            moments.append(
                answer_schedule.next_decision_s(SCHEDULE, moments[-1])
            )
        self.assertEqual(
            moments[1:],
            [
                SCHEDULE.partial_at_s,
                SCHEDULE.late_partial_at_s,
                SCHEDULE.deadline_s,
            ],
        )

    def test_objective_after_the_deadline(self):
        schedule = answer_schedule.create_schedule(4, 4, 0.0, 5.0, 0.001, 1.0)
        self.assertEqual(answer_schedule.next_decision_s(schedule, 0.0), 1.0)
        self.assertTrue(answer_schedule.ready(schedule, 1, 3, 1.0))


class MergeTest(unittest.TestCase):
    def test_incomplete_record_is_ignored(self):
        body = b"b" * 16 + b"c" * 15
        self.assertEqual(
            answer_schedule.merge_top_records([body], 5), b"b" * 16
        )

    def test_duplicate_records_are_kept(self):
        bodies = [b"b" * 16 + b"a" * 16, b"b" * 16]
        self.assertEqual(
            answer_schedule.merge_top_records(bodies, 2), b"b" * 32
        )

    def test_no_records(self):
        self.assertEqual(
            answer_schedule.merge_top_records([b"", b"short"], 5), b""
        )

    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=70), max_size=6),
        strategies.integers(0, 6),
    )
    def test_equals_the_first_of_all_sorted_records(self, bodies, top):
        records = []
        for body in bodies:
            whole = len(body) // 16
            records += [body[16 * n : 16 * n + 16] for n in range(whole)]
        expected = b"".join(sorted(records, reverse=True)[:top])
        self.assertEqual(
            answer_schedule.merge_top_records(bodies, top), expected
        )
