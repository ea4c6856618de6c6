"""Tests of extra calls that one VM lends to another."""

import asyncio
import collections
import unittest

from laurelrock.core import retry_budget
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

ROUTE = build.single_route(attempts=3)
CONFIGURATION = build.configuration(ROUTE)
POLICY = retry_budget.Policy(0.0, 60, 10)
VMS = 40


def create_simulation(behaviours, delays=(0.001,)):
    """Returns a fleet that knows three searchers of one service."""
    simulation = simulations.Simulation(
        CONFIGURATION, behaviours, delays, policy=POLICY
    )
    for number in range(VMS):
        node = simulation.add_node(number, "ab"[number % 2], VMS)
        for n in range(3):
            simulation.change_searcher(node, f"files-{n}", "live")
    everyone = [node.me for node in simulation.nodes]
    for node in simulation.nodes:
        node.lending.set_vms(everyone)
    return simulation


def borrowers(simulation):
    """Returns the nodes without a share of the allowance."""
    return [
        node
        for node in simulation.nodes
        if not node.lending.allowance_share("files")
    ]


async def ask(simulation, node, count=1):
    """Runs requests one after the other and returns their outcomes."""
    ended = []
    for number in range(count):
        request_id = b"%b-%d" % (node.me.name.encode(), number)
        ended.append(await node.run(ROUTE, request_id, 1.0))
    return ended


class LendingTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def play(self, behaviours, history, **fields):
        async def run():
            simulation = create_simulation(behaviours, **fields)
            return simulation, await history(simulation)

        return virtual_time.run(run())

    def test_failed_call_is_retried_in_a_large_fleet(self):
        kinds = ("error", "answer")
        rows = [simulations.ScriptedCall(kind, 0.01) for kind in kinds]

        async def history(simulation):
            return await ask(simulation, borrowers(simulation)[0], 3)

        simulation, ended = self.play(rows, history)
        self.assertEqual([row.kind for row in ended], ["answered"] * 3)
        self.assertEqual(borrowers(simulation)[0].lending.counts["lent"], 3)

    def test_allowance_holds_over_all_vms(self):
        rows = [simulations.ScriptedCall("error", 0.01)]

        async def history(simulation):
            await asyncio.gather(
                *[ask(simulation, n, 4) for n in simulation.nodes]
            )

        simulation, _ = self.play(rows, history)
        extras = len(simulation.received_calls) - 4 * VMS
        self.assertLessEqual(extras, POLICY.allowance)
        self.assertGreaterEqual(extras, 0.3 * POLICY.allowance)

    def test_unresponsive_lender_fails_the_request_soon(self):
        rows = [simulations.ScriptedCall("error", 0.01)]

        async def history(simulation):
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            ended = await ask(simulation, borrowers(simulation)[0])
            return ended, loop.time() - begun_s

        simulation, (ended, took_s) = self.play(rows, history, delays=(5.0,))
        self.assertEqual(ended[0].kind, "failed")
        self.assertLess(took_s, 0.1)
        self.assertEqual(borrowers(simulation)[0].lending.counts["silent"], 1)

    def test_late_lender_reply_starts_no_call(self):
        rows = [simulations.ScriptedCall("error", 0.01)]

        async def history(simulation):
            node = borrowers(simulation)[0]
            task = asyncio.create_task(ask(simulation, node))
            await asyncio.sleep(0.015)
            task.cancel()
            await asyncio.sleep(1.0)

        simulation, _ = self.play(rows, history, delays=(0.01,))
        self.assertEqual(len(simulation.received_calls), 1)
