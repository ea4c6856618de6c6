"""Tests the dispatcher with faulty in-memory searchers."""

import asyncio
import collections
import functools
import unittest

from laurelrock import dispatch
from laurelrock import errors
from laurelrock import messages
from laurelrock import pools
from laurelrock.core import hedge
from laurelrock.core import upstreams
from tests import builders
from tests import virtual_time

#: Default service time of the in-memory searchers.
FAST_S = 0.001
#: Service time far above the minimum hedge delay.
SLOW_S = 0.5


def setUpModule():  # noqa: N802
    virtual_time.suppress_logs()


def in_virtual_time(test):
    @functools.wraps(test)
    def run(self):
        virtual_time.run(test(self))

    return run


class MemorySearcher:
    """Implements `ports.searcher.Searcher` with faults set by tests."""

    def __init__(self, searcher):
        self.searcher = searcher
        self.load = {"busy": 0, "queued": 0, "slots": searcher.slots}
        self.fault = "none"
        self.delay_s = FAST_S
        self.requests = []
        self.cancelled = []
        self.dropped = 0
        self.running = 0
        self.max_running = 0
        self.stops = collections.defaultdict(asyncio.Event)

    async def search(self, items, timeout_s):
        [item] = items
        self.requests.append(item)
        if self.fault == "refused":
            raise errors.SearcherError("connection refused", False)
        if self.fault == "crossed":
            raise errors.SearcherProtocolError("another id", True)
        status = self.fault if self.fault in dispatch.calls.NOT_RUN else "ok"
        if status == "ok":
            status = await self.run_subquery(item)
        snapshot = "v0" if self.fault == "other-version" else item["snapshot"]
        hits = [
            {"score": 1.0, "id": f"d-{shard}", "shard": shard}
            for shard in [*item["shards"], "not-asked"]
        ]
        return [
            {
                "request_id": item["request_id"],
                "start_id": item["start_id"],
                "status": status,
                "snapshot": snapshot,
                "hits": hits if status == "ok" else [],
                "retry_after_ms": 7.0 if status == "shed" else 0.0,
            }
        ]

    async def run_subquery(self, item):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        stop = self.stops[item["request_id"]]
        try:
            if self.fault == "hang":
                await asyncio.Event().wait()
            await asyncio.wait_for(stop.wait(), self.delay_s)
        except TimeoutError:
            return "ok"
        except asyncio.CancelledError:
            self.dropped += 1
            raise
        finally:
            self.running -= 1
        return "deadline"

    async def cancel(self, items, timeout_s):
        self.cancelled += items
        for item in items:
            self.stops[item["request_id"]].set()

    async def state(self, timeout_s):
        return "ready"

    async def release(self):
        pass

    async def close(self):
        pass


class Bench:
    """A dispatcher with in-memory searchers of one service."""

    def __init__(self, replicas=2, **options):
        self.searchers = {}
        self.config = builders.small_manifest(1, replicas)
        self.dispatcher = dispatch.create_dispatcher(
            "start", pools.PlacementOptions(**options), self.open, self.spawn
        )
        self.tasks = set()
        self.apply_manifest(self.config)
        for channel in self.dispatcher.channels.values():
            channel.upstream.ramp_start_s -= upstreams.RAMP_S

    def open(self, searcher, connections):
        return self.searchers.setdefault(searcher.id, MemorySearcher(searcher))

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def apply_manifest(self, config):
        self.config = config
        self.dispatcher.apply_manifest(config)

    def leave(self, index):
        """Applies a manifest in which one searcher is leaving."""
        application = self.config.applications[builders.APPLICATION]
        rows = list(application.services["service0"])
        rows[index] = rows[index]._replace(state="leaving")
        changed = application._replace(services={"service0": rows})
        self.apply_manifest(
            self.config._replace(applications={builders.APPLICATION: changed})
        )

    def replica(self, index):
        return self.searchers[f"service0-r{index}"]

    def submit(self, left_s=5.0, service="service0"):
        """Submits a sub-query; returns it and the future of its result."""
        loop = asyncio.get_running_loop()
        part = messages.ServiceShards(service, ["s0"])
        search = messages.Search(
            "1",
            "e",
            "r",
            builders.APPLICATION,
            "v1",
            left_s * 1000,
            0,
            10,
            b"1",
            [part],
        )
        finished = loop.create_future()
        subquery = pools.Subquery(
            search,
            part,
            loop.time() + left_s,
            pools.HedgeAllowance(1),
            lambda *result: finished.set_result(result),
        )
        dispatch.submit(self.dispatcher, subquery)
        return subquery, finished

    async def run(self, **fields):
        return await self.submit(**fields)[1]

    async def settle(self):
        """Waits until no call is in flight."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    @property
    def requests(self):
        return sum(len(row.requests) for row in self.searchers.values())


class FaultTest(unittest.TestCase):
    @in_virtual_time
    async def test_one_faulty_searcher_of_two(self):
        faults = [
            "refused",
            "crossed",
            "other-version",
            "hang",
            "shed",
            "draining",
            "version-gone",
            "version-unknown",
        ]
        for fault in faults:
            with self.subTest(fault):
                bench = Bench()
                bench.replica(0).fault = fault
                for _ in range(20):
                    status, hits, _ = await bench.run()
                    self.assertEqual(status, "ok")
                    self.assertEqual([hit.shard for hit in hits], ["s0"])
                await bench.settle()
                self.assertGreater(len(bench.replica(0).requests), 0)
                self.assertLess(len(bench.replica(0).requests), 10)

    @in_virtual_time
    async def test_all_searchers_faulty(self):
        cases = [
            ("refused", "unreachable", 2),
            ("crossed", "protocol", 2),
            ("other-version", "protocol", 2),
            ("shed", "shed", 2),
            ("draining", "draining", 2),
            ("version-gone", "version-gone", 2),
        ]
        for fault, expected, requests in cases:
            with self.subTest(fault):
                bench = Bench()
                for row in bench.searchers.values():
                    row.fault = fault
                status, hits, retry_after_ms = await bench.run()
                self.assertEqual((status, hits), (expected, []))
                self.assertEqual(bench.requests, requests)
                if fault == "shed":
                    self.assertEqual(retry_after_ms, 7.0)

    @in_virtual_time
    async def test_refusal_does_not_replace_an_uncertain_status(self):
        for order in ((0, 1), (1, 0)):
            with self.subTest(order):
                bench = Bench()
                for index, fault in zip(
                    order, ("crossed", "shed"), strict=True
                ):
                    bench.replica(index).fault = fault
                self.assertEqual((await bench.run())[0], "protocol")
                self.assertEqual(bench.requests, 2)

    @in_virtual_time
    async def test_retry_budget_limits_calls_to_a_failing_service(self):
        bench = Bench()
        for row in bench.searchers.values():
            row.fault = "refused"
        for _ in range(200):
            await bench.run()
        most = 200 * (1 + hedge.RETRY_FRACTION)
        self.assertLessEqual(bench.requests, most + hedge.MAX_TOKENS)

    @in_virtual_time
    async def test_unknown_service(self):
        status, _, _ = await Bench().run(service="none")
        self.assertEqual(status, "unknown-service")

    @in_virtual_time
    async def test_leaving_searcher_gets_no_new_subqueries(self):
        bench = Bench()
        bench.leave(0)
        for _ in range(10):
            await bench.run()
        self.assertEqual(len(bench.replica(0).requests), 0)
        bench.leave(1)
        self.assertEqual((await bench.run())[0], "unreachable")


class HedgeTest(unittest.TestCase):
    @in_virtual_time
    async def test_slower_call_is_cancelled_and_its_late_reply_dropped(self):
        bench = Bench()
        bench.replica(0).delay_s = SLOW_S
        bench.replica(1).delay_s = SLOW_S
        subquery, finished = bench.submit()
        [first] = subquery.calls
        faster = next(
            row
            for row in bench.searchers.values()
            if row is not first.channel.client
        )
        faster.delay_s = FAST_S
        self.assertEqual((await finished)[0], "ok")
        await bench.settle()
        slower = first.channel.client
        [cancelled] = slower.cancelled
        self.assertEqual(cancelled["request_id"], first.request_id)
        self.assertNotEqual(
            faster.requests[0]["request_id"], slower.requests[0]["request_id"]
        )
        # The connection is kept: the reply is read, not aborted.
        self.assertEqual(slower.dropped, 0)
        self.assertEqual(bench.dispatcher.counts["late"], 1)
        self.assertEqual(first.channel.upstream.in_flight, 0)

    @in_virtual_time
    async def test_hedge_waits_for_a_free_slot(self):
        bench = Bench()
        for row in bench.searchers.values():
            row.delay_s = SLOW_S
        for channel in bench.dispatcher.channels.values():
            channel.upstream.slow_after_s = FAST_S
        rows = [bench.submit() for _ in range(4)]
        counts = bench.dispatcher.counts
        await builders.wait_until(lambda: counts["hedge-no-slot"] >= 4)
        self.assertEqual(bench.requests, 4)
        [kept] = rows[0][0].calls
        for subquery, _ in rows:
            [attempt] = subquery.calls
            if attempt.channel is not kept.channel:
                searcher = attempt.channel.client
                searcher.delay_s = FAST_S
                searcher.stops[attempt.request_id].set()
        self.assertEqual((await rows[0][1])[0], "ok")
        self.assertGreaterEqual(counts["hedge"], 1)
        await bench.settle()

    @in_virtual_time
    async def test_unanswered_abandoned_call_frees_its_slot(self):
        bench = Bench()
        for row in bench.searchers.values():
            row.fault = "hang"
        subquery, finished = bench.submit()
        await builders.wait_until(lambda: len(subquery.calls) == 2)
        attempts = list(subquery.calls)
        dispatch.expire(bench.dispatcher, subquery)
        self.assertEqual((await finished)[0], "deadline")
        await bench.settle()
        for attempt in attempts:
            self.assertEqual(attempt.channel.client.dropped, 1)
            self.assertEqual(attempt.channel.upstream.in_flight, 0)

    @in_virtual_time
    async def test_no_hedges_when_disabled(self):
        bench = Bench(hedge_fraction=0.0)
        for row in bench.searchers.values():
            row.delay_s = 0.1
        await bench.run()
        self.assertEqual(bench.requests, 1)


class LoadTest(unittest.TestCase):
    @in_virtual_time
    async def test_slot_limits_hold_and_overload_is_refused_at_once(self):
        bench = Bench(hedge_fraction=0.0)
        for row in bench.searchers.values():
            row.delay_s = 0.02
        ends = [bench.submit(left_s=0.5)[1] for _ in range(400)]
        refused = sum(end.done() for end in ends)
        self.assertGreater(refused, 0)
        results = await asyncio.gather(*ends)
        statuses = collections.Counter(row[0] for row in results)
        self.assertEqual(statuses["shed"], refused)
        self.assertGreater(statuses["ok"], 0)
        self.assertTrue(all(r[2] > 0 for r in results if r[0] == "shed"))
        for row in bench.searchers.values():
            self.assertLessEqual(row.max_running, row.searcher.slots)
        self.assertEqual(dispatch.queued_count(bench.dispatcher), 0)

    @in_virtual_time
    async def test_abandoned_subqueries_are_cancelled(self):
        bench = Bench(replicas=1)
        bench.replica(0).delay_s = SLOW_S
        rows = [bench.submit() for _ in range(5)]
        await asyncio.sleep(0)
        for subquery, _ in rows:
            dispatch.abandon(bench.dispatcher, subquery, notify_searcher=True)
        self.assertEqual(dispatch.queued_count(bench.dispatcher), 0)
        await bench.settle()
        self.assertEqual(len(bench.replica(0).cancelled), 2)
        self.assertEqual(bench.requests, 2)
        self.assertFalse(any(end.done() for _, end in rows))

    @in_virtual_time
    async def test_queued_subquery_ends_at_its_deadline(self):
        bench = Bench(replicas=1)
        bench.replica(0).delay_s = SLOW_S
        rows = [bench.submit() for _ in range(3)]
        subquery, finished = rows[-1]
        dispatch.expire(bench.dispatcher, subquery)
        self.assertEqual((await finished)[0], "deadline")
        self.assertEqual(dispatch.queued_count(bench.dispatcher), 0)

    @in_virtual_time
    async def test_queued_subqueries_move_to_a_new_manifest(self):
        bench = Bench(replicas=1)
        ends = [bench.submit()[1] for _ in range(6)]
        bench.apply_manifest(builders.small_manifest(1, 2))
        results = await asyncio.gather(*ends)
        self.assertEqual({row[0] for row in results}, {"ok"})
