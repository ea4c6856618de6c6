"""Tests of the observed state of searchers and the choice between them."""

import unittest

from laurelrock.core import domain_choice
from laurelrock.core import replicas
from tests import gateway_builders as build


def is_local(row):
    return row.searcher.failure_domain == "a"


def stats_of(latency_s):
    stats = replicas.LatencyStats()
    for _ in range(50):
        stats.record(latency_s)
    return stats


class ChoiceTest(unittest.TestCase):
    """Each test sets up a load and checks which searcher is chosen."""

    def setUp(self):
        self.stats = stats_of(0.02)
        self.one = build.replica("one")
        self.two = build.replica("two")
        self.unconnected = []

    def choose(self, now_s=10.0, objective_s=0.05):
        chosen = domain_choice.choose_nearby(
            [self.one, self.two],
            self.stats,
            is_local,
            lambda row: row not in self.unconnected,
            objective_s,
            now_s,
        )
        return chosen.searcher.id

    def test_local_is_preferred_to_remote(self):
        self.one = build.replica("one", failure_domain="b")
        self.assertEqual(self.choose(), "two")

    def test_idle_connection_is_preferred_to_a_new_one(self):
        self.unconnected = [self.one]
        self.assertEqual(self.choose(), "two")

    def test_remote_is_preferred_to_local_without_a_free_slot(self):
        self.one = build.replica("one", failure_domain="b")
        self.two.begin_call(9.995)
        self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.04), "one")

    def test_local_is_preferred_while_it_meets_the_objective(self):
        # A remote searcher would respond earlier, but the caller gains nothing
        # and traffic between failure domains is billed.
        self.one = build.replica("one", failure_domain="b")
        self.two.begin_call(9.995)
        self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.15), "two")
        for _ in range(4):
            self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.15), "one")

    def test_stalled_searcher_gets_no_new_call(self):
        self.one.begin_call(9.9)
        self.two.begin_call(9.99)
        self.two.begin_call(9.99)
        self.assertTrue(self.one.is_stalled(self.stats, 10.0))
        self.assertEqual(self.choose(), "two")

    def test_slow_searcher_is_avoided(self):
        for _ in range(10):
            self.one.record_success(0.2, self.stats, 9.9)
        self.assertEqual(self.choose(), "two")

    def test_slow_searcher_is_tried_again_later(self):
        for _ in range(10):
            self.one.record_success(0.2, self.stats, 10.0)
        late_s = 10.0 + replicas.SLOWNESS_DECAY_S
        fresh = build.replica("fresh").expected_latency_s(self.stats, late_s)
        self.assertAlmostEqual(
            self.one.expected_latency_s(self.stats, late_s), fresh
        )

    def test_searcher_in_warm_up_is_avoided(self):
        self.one = build.replica("one", now_s=9.0, warm_up_left_s=3.0)
        self.assertEqual(self.choose(), "two")
        self.assertEqual(self.choose(13.0), "one")

    def test_full_searcher_is_avoided(self):
        self.one.full(9.99)
        self.assertEqual(self.choose(), "two")

    def test_failing_searcher_is_avoided(self):
        self.one.record_error()
        self.assertEqual(self.choose(), "two")

    def test_recent_load_report_is_used(self):
        self.one.record_load(4, 2, 9.95)
        self.assertEqual(self.choose(), "two")

    def test_wait_for_a_slot_does_not_make_a_searcher_slow(self):
        # Guards against searchers that all seem late under load, idle or not.
        self.assertEqual(self.one.waiting_rounds(10.0), 0.0)
        for _ in range(9):
            self.one.begin_call(9.99)
        rounds = self.one.waiting_rounds(10.0)
        self.assertEqual(rounds, 4.0)
        # Two connections: one other call has been sent.
        self.assertEqual(self.one.waiting_rounds(10.0, max_own=1), 0.0)
        for _ in range(50):
            self.stats.record(0.1, rounds)
            self.one.record_success(0.1, self.stats, 10.0, rounds)
        self.assertAlmostEqual(self.stats.work_s, 0.02)
        self.assertAlmostEqual(self.one.slowness, 1.0)
        self.assertGreater(self.stats.mean_s, 0.08)

    def test_old_load_report_is_ignored(self):
        self.one.record_load(4, 2, 8.0)
        self.assertEqual(self.choose(), "one")


class WeighedChoiceTest(ChoiceTest):
    """The same loads, where load and time decide about failure domains."""

    def choose(self, now_s=10.0, objective_s=0.05):
        chosen = domain_choice.choose_searcher(
            [self.one, self.two],
            self.stats,
            is_local,
            lambda row: row not in self.unconnected,
            domain_choice.Inputs(objective_s, 1.0, objective_s),
            now_s,
        )
        return chosen.replica.searcher.id

    def test_remote_is_preferred_to_local_without_a_free_slot(self):
        self.one = build.replica("one", failure_domain="b")
        self.two.begin_call(9.995)
        self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.035), "one")

    def test_local_is_preferred_while_it_meets_the_objective(self):
        # A remote searcher would respond earlier, but the caller gains nothing
        # and traffic between failure domains is billed.
        self.one = build.replica("one", failure_domain="b")
        self.two.begin_call(9.995)
        self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.15), "two")
        for _ in range(12):
            self.two.begin_call(9.995)
        self.assertEqual(self.choose(objective_s=0.15), "one")


class EjectionTest(unittest.TestCase):
    def setUp(self):
        self.row = build.replica("one")
        self.other = build.replica("two")

    def eject(self):
        return [self.row.record_no_response(1.0) for _ in range(2)]

    def test_second_unanswered_call_ejects(self):
        self.assertEqual(self.eject(), [False, True])
        self.assertEqual(
            replicas.usable([self.row, self.other], 10.0), [self.other]
        )

    def test_response_in_between_prevents_ejection(self):
        self.row.record_no_response(1.0)
        self.row.record_response()
        self.assertFalse(self.row.record_no_response(1.1))

    def test_reset_alone_does_not_eject(self):
        for _ in range(20):
            self.row.record_failure()
        self.assertTrue(self.row.reachable)

    def test_searcher_that_resets_every_call_is_ejected(self):
        # A proxy accepts its connections and resets them.
        ejected = [self.row.record_lost(1.0) for _ in range(replicas.MAX_LOST)]
        self.assertEqual(ejected, [False] * (replicas.MAX_LOST - 1) + [True])
        self.assertFalse(self.row.reachable)

    def test_responses_between_lost_ones_prevent_ejection(self):
        for _ in range(20):
            for _ in range(replicas.MAX_LOST - 1):
                self.row.record_lost(1.0)
            self.row.record_response()
        self.assertTrue(self.row.reachable)

    def test_probed_searcher_takes_one_call_at_a_time(self):
        self.eject()
        self.row.probe_succeeded = True
        both = [self.row, self.other]
        self.assertEqual(replicas.usable(both, 10.0), both)
        self.row.begin_call(2.0)
        self.assertEqual(replicas.usable(both, 10.0), [self.other])
        self.row.record_response()
        self.assertEqual(replicas.usable(both, 10.0), both)

    def test_ejection_time_grows_to_its_maximum(self):
        self.eject()
        waits = []
        for _ in range(6):
            self.row.record_no_response(1.0)
            waits.append(self.row.next_probe_s - 1.0)
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[-1], replicas.MAX_EJECT_S)

    def test_all_are_used_if_all_are_ejected(self):
        self.eject()
        self.assertEqual(replicas.usable([self.row], 10.0), [self.row])
        self.assertFalse(replicas.any_reachable([self.row], 10.0))

    def test_draining_and_misplaced_searchers_are_never_used(self):
        leaving = build.replica("three", state="draining")
        self.other.misplaced = True
        self.assertEqual(replicas.usable([leaving, self.other], 10.0), [])


class RemoteSilenceTest(unittest.TestCase):
    def rows(self, unresponsive, answered_s=0.0):
        rows = [
            build.replica(f"remote-{n}", failure_domain="b") for n in range(8)
        ]
        for row in rows[:unresponsive]:
            row.record_no_response(9.0)
            row.record_no_response(9.0)
        rows[-1].last_success_s = answered_s
        return [*rows, build.replica("local")]

    def test_partition_if_no_remote_searcher_responds(self):
        self.assertTrue(
            replicas.remote_domains_silent(self.rows(4), is_local, 10.0)
        )

    def test_long_calls_in_flight_indicate_a_partition(self):
        rows = [
            build.replica(f"remote-{n}", failure_domain="b") for n in range(4)
        ]
        for row in rows:
            row.begin_call(9.4)
        self.assertTrue(replicas.remote_domains_silent(rows, is_local, 10.0))
        self.assertFalse(replicas.remote_domains_silent(rows, is_local, 9.5))
        rows[0].record_success(0.02, stats_of(0.02), 9.9)
        self.assertFalse(replicas.remote_domains_silent(rows, is_local, 10.0))

    def test_too_few_unresponsive_searchers_are_no_partition(self):
        self.assertFalse(
            replicas.remote_domains_silent(self.rows(3), is_local, 10.0)
        )

    def test_recent_remote_response_excludes_a_partition(self):
        rows = self.rows(7, answered_s=9.8)
        self.assertFalse(replicas.remote_domains_silent(rows, is_local, 10.0))
