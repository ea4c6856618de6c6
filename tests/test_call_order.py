"""Tests of the order of calls that wait for a connection, in virtual time."""

import asyncio
import collections
import unittest

from laurelrock.adapters import call_queue
from laurelrock.core import call_order
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import load_builders as load
from tests import virtual_time


def play(rows, **fields):
    return virtual_time.run(load.play_one_searcher(rows, **fields))


def on_time(rows, kind):
    """Returns the fraction of a kind's requests that met the objective."""
    rows = [row for row in rows if row.arrival.kind == kind]
    good = [
        row
        for row in rows
        if row.start_s is not None
        and row.ended_s - row.arrival.at_s <= kind.objective_s
    ]
    return len(good) / len(rows)


class OrderTest(unittest.TestCase):
    """One searcher with two connections: 66 large calls per second."""

    def test_one_kind_is_taken_in_order_of_arrival(self):
        # Guards against another order than before where nothing is at risk.
        for kind in (load.LARGE, load.SMALL, load.SINGLE):
            rows = load.arrivals(kind, 4.0 / kind.work_s, 0.0, 0.1)
            served = play(rows)
            starts = sorted(served, key=lambda row: row.start_s)
            self.assertEqual([row.arrival for row in starts], sorted(rows))

    def test_urgent_calls_go_first_in_a_burst(self):
        # Guards against a burst of large queries that delays the small ones.
        small = load.SMALL._replace(priority=0)
        rows = load.arrivals(load.LARGE, 75.0, 0.0, 3.0)
        rows += load.arrivals(small, 10.0, 0.0, 3.0)
        ordered, in_order = play(rows), play(rows, in_order=True)
        self.assertGreaterEqual(on_time(ordered, small), 0.95)
        self.assertLess(on_time(in_order, small), 0.5)

    def test_lower_priority_does_not_starve(self):
        # Guards against a priority that is served only when others are idle.
        low = load.LARGE._replace(name="low", priority=3)
        rows = load.arrivals(load.LARGE, 90.0, 0.0, 10.0)
        rows += load.arrivals(low, 10.0, 0.0, 10.0)
        served = [row for row in play(rows) if row.arrival.kind == low]
        counts = collections.Counter(
            int(row.ended_s) for row in served if row.start_s is not None
        )
        for second in range(3, 9):
            self.assertGreater(counts[second], 0)

    def test_late_calls_are_dropped_at_once_and_take_no_connection(self):
        # Guards against calls that are sent although nobody awaits them.
        rows = load.arrivals(load.SMALL, 500.0, 0.0, 5.0)
        kind = load.SMALL
        left_s = kind.work_s * call_order.MIN_CALL_FRACTION
        served = play(rows)
        dropped = [row for row in served if row.start_s is None]
        self.assertGreater(len(dropped), 500)
        for row in served:
            latest_s = row.arrival.at_s + kind.deadline_s - left_s
            if row.start_s is None:
                self.assertLessEqual(row.ended_s, latest_s + 1e-6)
            else:
                self.assertLessEqual(row.start_s, latest_s + 1e-6)

    def test_near_deadline_goes_first(self):
        # Guards against an order in which a caller's short limit is ignored.
        row = load.waiting_call(load.Arrival(0.0, load.LARGE), 0.0)
        near = row._replace(route="near", deadline_s=0.1)
        self.assertEqual(call_order.choose([row, near], [0.0, 0.0], 0.0, 0), 1)

    def test_coverage_decides_between_equal_calls(self):
        row = load.waiting_call(load.Arrival(0.0, load.LARGE), 0.0)
        whole = row._replace(coverage=1.0)
        self.assertEqual(call_order.choose([row, whole], [0.0, 0.0], 0.0, 0), 1)


class QueueTest(unittest.TestCase):
    def test_queue_is_bounded(self):
        # Guards against calls that pile up in memory at a slow searcher.
        async def fill():
            queue = call_queue.CallQueue(asyncio.get_running_loop())
            rows = load.arrivals(load.LARGE, 1000.0, 0.0, 1.0)
            calls = [load.QueuedCall(row) for row in rows]
            for call in reversed(calls):
                now_s = asyncio.get_running_loop().time()
                queue.add(call, load.waiting_call(call.arrival, now_s))
            await asyncio.sleep(0)
            return queue.count(), [row.future for row in calls]

        count, futures = virtual_time.run(fill())
        self.assertEqual(count, call_queue.MAX_WAITING)
        kept, dropped = futures[:count], futures[count:]
        self.assertFalse(any(row.done() for row in kept))
        for row in dropped:
            self.assertEqual(row.exception().message, call_queue.FULL)


class DroppedPartTest(unittest.TestCase):
    """A query whose calls to one shard wait for longer than its deadline."""

    def setUp(self):
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.capture_log_events(self.lines))

    def test_dropped_call_is_unsent_and_its_shard_missing(self):
        # Guards against a wait until the deadline, or an ejected searcher.
        shards = ("s-0", "s-1", "s-2", "s-3")
        route = build.query_route(shards, objective_s=0.2, timeout_s=0.4)

        async def run():
            simulation = simulations.Simulation(
                build.configuration(route),
                [simulations.ScriptedCall("answer", 0.0)],
            )
            simulation.client_class = load.SlotClient
            simulation.slots = load.Slots()
            node = simulation.add_node(0, "a", 1)
            for name in shards:
                simulation.change_searcher(node, f"{name}-0", "live")
            target = load.LARGE.target
            await node.run(route, b"first", 0.4, target)
            simulation.slots.factors["s-0-0"] = 40.0
            whole = route._replace(timeout_s=3.0, min_shard_share=1.0)
            busy = [
                asyncio.create_task(
                    node.run(whole, b"busy-%d" % n, 3.0, target)
                )
                for n in range(2)
            ]
            await asyncio.sleep(0.01)
            calls = len(simulation.received_calls)
            outcome = await node.run(route, b"last", 0.4, target)
            await asyncio.gather(*busy)
            await asyncio.sleep(3.0)
            sent = [
                row
                for row in simulation.received_calls[calls:]
                if row.searcher == "s-0-0" and row.request_id == b"last"
            ]
            return outcome, sent, node.calls.counts["unsent"]

        outcome, sent, unsent = virtual_time.run(run())
        self.assertEqual(outcome.kind, "partial")
        self.assertEqual(len(outcome.missing), 1)
        self.assertTrue(outcome.missing[0].startswith("s-0"))
        self.assertEqual(sent, [])
        self.assertEqual(unsent, 1)
        events = {row["event"] for row in self.lines}
        self.assertNotIn("searcher-ejected", events)
