"""Tests of the division of capacity between workspaces, in virtual time."""

import collections
import unittest

from laurelrock.core import fair_queue
from tests import gateways
from tests import load_builders as load
from tests import virtual_time

#: Large queries per second that keep all slots of a shard busy.
LIMIT_PER_S = 4 / load.LARGE.work_s
SMALL_WORKSPACES = [f"w-{n}" for n in range(8)]


class FairSharesTest(unittest.TestCase):
    def test_no_state_without_workspaces(self):
        shares = fair_queue.create_fair_shares()
        for n in range(100):
            shares.record("", 0.03, n / 10)
        self.assertEqual((shares.work, shares.total), ({}, 0.0))
        self.assertEqual(shares.ratio("", 10.0), 0.0)

    def test_counters_are_bounded_and_keep_the_most_active(self):
        # Guards against memory that grows with the number of workspaces.
        shares = fair_queue.create_fair_shares()
        for n in range(1000):
            shares.record("busy", 0.03, n / 1000)
            shares.record(f"w-{n}", 0.01, n / 1000)
        self.assertEqual(len(shares.work), fair_queue.MAX_WORKSPACES)
        self.assertGreater(shares.ratio("busy", 1.0), 10.0)

    def test_shares_follow_recent_work(self):
        # Guards against figures that are old: a burst that has ended.
        shares = fair_queue.create_fair_shares()
        for n in range(2000):
            now_s = n / 100
            shares.record("steady", 0.01, now_s)
            if n < 500:
                shares.record("burst", 0.09, now_s)
        self.assertAlmostEqual(shares.ratio("steady", 20.0), 1.0, delta=0.1)
        self.assertEqual(shares.ratio("burst", 20.0), 0.0)

    def test_limit_decreases_with_share_and_urgency(self):
        factors = [fair_queue.limit_factor(row, 0) for row in (0, 1, 2, 4, 64)]
        self.assertEqual(factors, [1.0, 1.0, 0.75, 0.5, 0.5])
        urgent, other = (fair_queue.limit_factor(1.0, row) for row in (0, 1))
        self.assertGreater(urgent, other)

    def test_waiting_calls_are_deferred_only_under_overload(self):
        shares = fair_queue.create_fair_shares()
        shares.record("big", 9.0, 1.0)
        shares.record("little", 1.0, 1.0)
        self.assertEqual(shares.deferral("big", 1.0), 0)
        shares.record_refusal(1.0)
        self.assertEqual(shares.deferral("big", 1.5), 1)
        self.assertEqual(shares.deferral("little", 1.5), 0)
        late_s = 1.0 + fair_queue.OVERLOAD_VALID_S
        self.assertEqual(shares.deferral("big", late_s), 0)


class BurstTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def play(self, rows, kinds):
        async def run():
            routes = [load.query_route(kind) for kind in kinds]
            return await load.play_fleet(load.owned_fleet(routes), rows)

        return virtual_time.run(run())

    def test_burst_of_one_workspace_does_not_push_others_out(self):
        # Eight workspaces use 0.4 of the limit; one adds twice the limit.
        rows = load.arrivals(load.LARGE, 2 * LIMIT_PER_S, 1.0, 4.0, "big")
        for name in SMALL_WORKSPACES:
            per_s = 0.05 * LIMIT_PER_S
            rows += load.arrivals(load.LARGE, per_s, 0.0, 4.0, name)
        served = collections.defaultdict(list)
        for row in self.play(rows, [load.LARGE]):
            if row.arrival.at_s > 1.0:
                served[row.arrival.workspace].append(row.in_time)
        shares = {name: sum(row) / len(row) for name, row in served.items()}
        others = [shares[name] for name in SMALL_WORKSPACES]
        mean = sum(others) / len(others)
        self.assertGreaterEqual(min(others), 0.8 * mean)
        # The large workspace uses what the others leave.
        self.assertGreater(mean, 2 * shares["big"])
        total = sum(map(sum, served.values())) / 3.0
        self.assertGreaterEqual(total, 0.8 * LIMIT_PER_S)

    def test_less_urgent_queries_are_refused_first(self):
        # Guards against a refusal that ignores the priority.
        low = load.LARGE._replace(name="low", priority=2)
        load.KINDS[low.target] = low
        self.addCleanup(load.KINDS.pop, low.target)
        rows = load.arrivals(load.LARGE, LIMIT_PER_S, 0.0, 3.0)
        rows += load.arrivals(low, LIMIT_PER_S, 0.0, 3.0)
        counts = collections.Counter(
            row.arrival.kind.name
            for row in self.play(rows, [load.LARGE, low])
            if row.outcome.kind == "refused"
        )
        self.assertGreater(counts["low"], 1.2 * counts["large"])
