"""Tests of the completion rate, and of refusing queries under overload."""

import asyncio
import collections
import math
import unittest

from laurelrock.core import throughput
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(20))
ROUTE = build.query_route(SHARDS, objective_s=0.1, min_shard_share=0.9)

# Backlog of each shard, and the expected time in seconds until 11 shards have
# responded.
BACKLOGS = (
    ([], 0.0),
    # Too few calls for an estimate.
    ([throughput.Backlog(throughput.MIN_AHEAD - 1, 1.0)] * 20, 0.0),
    ([throughput.Backlog(8, 100.0)] * 20, 0.08),
    # Some shards are unreachable.
    (
        [throughput.Backlog(50, 0.0)] * 9 + [throughput.Backlog(4, 100.0)] * 11,
        0.04,
    ),
    ([throughput.Backlog(50, 0.0)] * 20, math.inf),
)


class ThroughputTest(unittest.TestCase):
    def test_steady_rate(self):
        rate = throughput.create_completion_rate()
        for n in range(400):
            rate.record(n / 100)
        self.assertAlmostEqual(rate.per_s(4.0), 100.0, delta=5.0)

    def test_rate_decays(self):
        rate = throughput.create_completion_rate()
        self.assertEqual(rate.per_s(0.0), 0.0)
        rate.record(1.0)
        self.assertLess(
            rate.per_s(1.0 + 10 * throughput.TIME_CONSTANT_S), 0.001
        )

    def test_expected_time(self):
        for rows, expected in BACKLOGS:
            with self.subTest(rows=rows[:1]):
                self.assertAlmostEqual(
                    throughput.expected_s(rows, 11), expected
                )


class QueueingClient(simulations.Client):
    """Client of a searcher with two slots and a queue; calls take 20 ms.

    A waiting call is dropped if its connection was reset.
    """

    def __init__(self, simulation, service, searcher):
        super().__init__(simulation, service, searcher)
        self.waiting = collections.deque()
        self.running = 0

    def call(self, encode, accept, bodiless=False, describe=None):
        loop = asyncio.get_running_loop()
        call = simulations.Call(loop.create_future())
        call.sent = True
        call.sent_at_s = loop.time()
        self.waiting.append((call, encode))
        self.run_next()
        return call

    def run_next(self):
        while self.waiting and self.running < 2:
            call, encode = self.waiting.popleft()
            if call.future.done():
                continue
            self.running += 1
            began_s = call.sent_at_s
            self.send(call, encode, "answer", 0.02)
            call.sent_at_s = began_s
            asyncio.get_running_loop().call_later(0.02, self.end)

    def end(self):
        self.running -= 1
        self.run_next()


async def run_queries(per_s, seconds):
    """Runs queries at a steady rate; returns outcomes with their latencies."""
    simulation = simulations.Simulation(
        build.configuration(ROUTE), [simulations.ScriptedCall("answer", 0.0)]
    )
    simulation.client_class = QueueingClient
    node = simulation.add_node(0, "a", 1)
    for name in SHARDS:
        for n in range(2):
            simulation.change_searcher(node, f"{name}-{n}", "live")
    loop = asyncio.get_running_loop()

    async def one(number):
        begun_s = loop.time()
        outcome = await node.run(ROUTE, b"r-%d" % number, 1.0)
        return outcome, loop.time() - begun_s

    tasks = []
    for number in range(int(per_s * seconds)):
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*tasks)


class OverloadTest(unittest.TestCase):
    """Two searchers with two slots run 200 calls per second for each shard."""

    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def goodput(self, per_s):
        """Returns the responses per second that meet the objective."""
        rows = virtual_time.run(run_queries(per_s, 4.0))
        whole = [
            took_s
            for outcome, took_s in rows
            if outcome.kind in ("answered", "partial") and took_s <= 0.1
        ]
        return len(whole) / 4.0

    def test_no_query_is_refused_below_capacity(self):
        rows = virtual_time.run(run_queries(150, 4.0))
        kinds = {outcome.kind for outcome, _ in rows}
        self.assertEqual(kinds, {"answered"})

    def test_goodput_stays_near_peak_at_twice_the_capacity(self):
        peak = max(self.goodput(per_s) for per_s in (150, 190))
        for per_s in (300, 400):
            with self.subTest(per_s=per_s):
                self.assertGreaterEqual(self.goodput(per_s), 0.9 * peak)

    def test_refusals_are_immediate_and_give_a_retry_delay(self):
        rows = virtual_time.run(run_queries(400, 4.0))
        refused = [row for row in rows if row[0].kind == "refused"]
        self.assertGreater(len(refused), 100)
        for outcome, took_s in refused:
            self.assertEqual(took_s, 0.0)
            self.assertGreater(outcome.retry_after_s, 0.04)
            self.assertEqual(outcome.attempts, 0)
