"""Tests of groups that owners decline under overload, in virtual time."""

import asyncio
import collections
import unittest
import unittest.mock

from laurelrock.core import throughput
from laurelrock.gateways import group_overload
from laurelrock.gateways import outcomes
from tests import gateways
from tests import load_builders as load
from tests import virtual_time

QUERIES = (load.LARGE, load.SMALL)
#: Queries per second of each kind that keep all slots of a shard busy.
SMALL_PER_S = 4 / (3 * load.LARGE.work_s + load.SMALL.work_s)
RATES = {load.LARGE: 3 * SMALL_PER_S, load.SMALL: SMALL_PER_S}


def arrivals(factor, seconds):
    return [
        row
        for kind, per_s in RATES.items()
        for row in load.arrivals(kind, factor * per_s, 0.0, seconds)
    ]


class OverloadCase(unittest.TestCase):
    def setUp(self):
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.capture_log_events(self.lines))

    def play(self, rows, prepare=lambda simulation: None, **fields):
        """Plays arrivals at six VMs; returns the results and the VMs."""

        async def run():
            routes = [load.query_route(kind) for kind in QUERIES]
            simulation = load.owned_fleet(routes, **fields)
            prepare(simulation)
            return await load.play_fleet(simulation, rows), simulation

        return virtual_time.run(run())

    def goodput(self, results, kind, seconds):
        return (
            sum(row.in_time for row in results if row.arrival.kind == kind)
            / seconds
        )


class AcceptTest(unittest.TestCase):
    """Expected wait, due, remaining, mean, shortest due, and the decision."""

    ROWS = (
        (0.05, 0.2, 1.0, 0.03, 0.2, True),
        (0.15, 0.2, 1.0, 0.03, 0.2, False),
        # Another kind of request has less time.
        (0.05, 0.2, 1.0, 0.03, 0.06, False),
        # The objective is missed without any load.
        (0.15, 0.01, 1.0, 0.03, 0.06, True),
        (0.90, 0.01, 1.0, 0.03, 0.06, False),
    )

    def test_decisions(self):
        for *inputs, accepted in self.ROWS:
            with self.subTest(inputs=inputs):
                self.assertEqual(throughput.accepts_group(*inputs), accepted)

    def test_idle_owner_is_not_overloaded(self):
        # Guards against a rate of completion that is low for want of requests.
        row = throughput.Backlog(3, 2.0, 0.015)
        self.assertAlmostEqual(throughput.expected_s([row], 1), 0.015)

    def test_group_needs_what_the_query_can_not_do_without(self):
        route = load.query_route(load.LARGE)
        self.assertEqual(route.min_shards, 16)
        for size, needed in ((9, 7), (2, 0), (1, 0), (18, 16)):
            self.assertEqual(
                group_overload.needed_of(route, load.SHARDS[:size]), needed
            )


class OverloadTest(OverloadCase):
    def test_goodput_of_each_kind_at_twice_the_limit(self):
        # Guards against queues at owners that make all queries late.
        seconds = 3.0
        good = {}
        for factor in (0.75, 1.0, 2.0):
            results, _ = self.play(arrivals(factor, seconds))
            for kind in QUERIES:
                good[factor, kind] = self.goodput(results, kind, seconds)
        for kind in QUERIES:
            best = max(good[factor, kind] for factor in (0.75, 1.0, 2.0))
            self.assertGreaterEqual(good[2.0, kind], 0.9 * best)

    def test_refused_queries_have_not_run_and_are_spread(self):
        # Guards against a 503 for a query that ran, and against callers that
        # return all at once.
        results, _ = self.play(arrivals(3.0, 1.5))
        refused = [row for row in results if row.outcome.status == 503]
        self.assertGreater(len(refused), 100)
        returns = collections.Counter()
        # The metrics of workspaces count them as refused because of overload.
        self.assertTrue(all(row.outcome.overloaded for row in refused))
        for row in refused:
            self.assertEqual((row.calls, row.outcome.attempts), (0, 0))
            self.assertLess(row.took_s, 0.02)
            self.assertGreater(row.outcome.retry_after_s, 0.0)
            wait_s = row.outcome.retry_after_s
            _, header = outcomes.retry_after_header(wait_s)
            at_s = row.arrival.at_s + row.took_s + float(header)
            returns[int(at_s * 10)] += 1
        self.assertLess(max(returns.values()), 0.1 * len(refused))
        reasons = {
            row["reason"]
            for row in self.lines
            if row["event"] == "group-declined"
        }
        self.assertEqual(reasons, {"overloaded"})

    def test_nothing_changes_without_overload(self):
        # Guards against slower quiet days: same calls at the same times.
        rows = arrivals(0.25, 4.0)
        results, _ = self.play(rows)
        with unittest.mock.patch.object(
            group_overload, "needed_of", lambda route, services: 0
        ):
            unchanged, _ = self.play(rows)
        self.assertEqual(
            [(row.took_s, row.outcome.kind) for row in results],
            [(row.took_s, row.outcome.kind) for row in unchanged],
        )
        self.assertEqual({row.outcome.kind for row in results}, {"answered"})

    def test_slow_shards_that_the_query_can_do_without(self):
        # Guards against a group that is declined for single slow shards.
        def slow_down(simulation):
            for name in ("shard-1", "shard-12"):
                for n in range(load.SEARCHERS):
                    simulation.slots.factors[f"{name}-{n}"] = 10.0

        results, simulation = self.play(arrivals(0.25, 4.0), slow_down)
        kinds = {row.outcome.kind for row in results}
        self.assertLessEqual(kinds, {"answered", "partial"})
        for node in simulation.nodes:
            self.assertEqual(node.groups.counts["overloaded"], 0)

    def test_slow_searchers_are_no_overload(self):
        # Guards against refusals where the other searchers have free slots: one
        # of two searchers of every third shard is ten times slower.
        def slow_down(simulation):
            for name in load.SHARDS[::3]:
                simulation.slots.factors[f"{name}-0"] = 10.0

        results, _ = self.play(arrivals(0.3, 3.0), slow_down)
        served = [
            row
            for row in results
            if row.outcome.kind in ("answered", "partial")
        ]
        self.assertGreaterEqual(len(served), 0.99 * len(results))


class NextOwnerTest(OverloadCase):
    """One query; an owner of its groups is overloaded or dies."""

    def ask_with(self, prepare):
        async def run():
            simulation = load.owned_fleet([load.query_route(load.LARGE)])
            requester = simulation.nodes[0]
            _, remote = requester.groups.split_shards(
                simulation.configuration.routes[0]
            )
            first = requester.groups.selection.owner_of(remote[0])
            owner = simulation.nodes_by_host[first.host]
            prepare(requester, owner)
            rows = [load.Arrival(0.0, load.LARGE)]
            simulation.nodes = [requester]
            results = await load.play_fleet(simulation, rows)
            await asyncio.sleep(0.1)
            return results[0], requester

        return virtual_time.run(run())

    def decline(self, node):
        self.enterContext(
            unittest.mock.patch.object(
                node.groups.overload, "check", lambda request: 0.3
            )
        )

    def test_next_owner_is_asked_at_once(self):
        result, requester = self.ask_with(lambda _, owner: self.decline(owner))
        self.assertEqual(result.outcome.kind, "answered")
        self.assertGreaterEqual(requester.groups.counts["overloaded"], 1)
        self.assertLess(result.took_s, load.LARGE.work_s + 0.02)

    def test_owner_dies_while_groups_are_held(self):
        # Guards against a query that waits for an owner that accepted it.
        def prepare(requester, owner):
            requester.groups.overload.declined_s = requester.groups.loop.time()

            def cut():
                link = requester.links.get(owner.me.host)
                if link is not None:
                    link.cut()
                owner.drops_messages = True

            # The request arrives after 1 ms, the acceptance after 2 ms.
            requester.groups.loop.call_later(0.0015, cut)

        result, requester = self.ask_with(prepare)
        self.assertEqual(result.outcome.kind, "answered")
        self.assertEqual(result.calls, len(load.SHARDS))
        self.assertEqual(requester.groups.counts["lost"], 1)

    def test_query_that_has_begun_is_completed(self):
        # Guards against a 503 after calls of the query were made.
        def prepare(requester, owner):
            for node in requester.simulation.nodes:
                check = node.groups.overload.check

                def decline(request, check=check):
                    mine = request.services[0] == remote_key
                    return 0.3 if mine and request.needed else check(request)

                self.enterContext(
                    unittest.mock.patch.object(
                        node.groups.overload, "check", decline
                    )
                )
            _, remote = requester.groups.split_shards(
                requester.simulation.configuration.routes[0]
            )
            remote_key = remote[0][0]

        result, requester = self.ask_with(prepare)
        self.assertEqual(result.outcome.kind, "answered")
        self.assertEqual(result.calls, len(load.SHARDS))

    def test_old_declines_are_forgotten(self):
        # Guards against queries that start in two steps long after a burst.
        async def run():
            simulation = load.owned_fleet([load.query_route(load.LARGE)])
            overload = simulation.nodes[0].groups.overload
            overload.declined_s = asyncio.get_running_loop().time()
            before = overload.declines_lately()
            await asyncio.sleep(group_overload.DECLINE_VALID_S)
            return before, overload.declines_lately()

        self.assertEqual(virtual_time.run(run()), (True, False))
