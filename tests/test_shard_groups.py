"""Tests of unresponsive and partitioned owners, in virtual time."""

import asyncio
import collections
import itertools
import math
import unittest

from laurelrock.gateways import reachability_reports
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(27))
ROUTE = build.query_route(SHARDS)
#: Minimum duration in seconds of a query with an unresponsive owner.
MIN_UNRESPONSIVE_OWNER_S = 0.04


GOOD = simulations.ScriptedCall("answer", 0.005)


def create_simulation(behaviours=(GOOD,), vms=6):
    """Returns VMs in two failure domains; owners call all shards."""
    configuration = build.configuration(ROUTE)
    services = {
        name: service._replace(connections=6)
        for name, service in configuration.services.items()
    }
    simulation = simulations.Simulation(
        configuration._replace(services=services),
        behaviours,
    )
    for number in range(vms):
        node = simulation.add_node(number, "ab"[number % 2], vms)
        for service in SHARDS:
            for n in range(2):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    for node in simulation.nodes:
        node.groups.assignment.set_vms([other.me for other in simulation.nodes])
        node.groups.assignment.configure(configuration)
    return simulation


def create_requester_and_owner():
    """Returns a simulation, a VM that requests groups, and an owner it asks."""
    simulation = create_simulation()
    requester = simulation.nodes[0]
    _, remote = requester.groups.split_shards(ROUTE)
    owner = requester.groups.assignment.rank_owners(remote[0][0])[0]
    return simulation, requester, simulation.nodes_by_host[owner.host]


class UnreachableTest(unittest.TestCase):
    """Owners reach too few searchers, as in a partitioned failure domain."""

    def setUp(self):
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.capture_log_events(self.lines))

    def create_unreachable_simulation(self):
        """Returns a simulation where no VM reaches one shard in four."""
        simulation = create_simulation(
            [simulations.ScriptedCall("silent", 0.0)]
        )
        for node in simulation.nodes:
            for number, name in enumerate(SHARDS):
                if number % 4:
                    continue
                for row in node.known.searchers_of(name):
                    row.replica.ejections, row.replica.next_probe_s = (
                        1,
                        math.inf,
                    )
        requester = simulation.nodes[0]
        return simulation, requester

    async def ask(self, node, number):
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        outcome = await node.run(ROUTE, b"r-%d" % number, 1.0)
        return outcome, loop.time() - begun_s

    def test_unanswerable_query_is_refused_immediately(self):
        async def play():
            simulation, requester = self.create_unreachable_simulation()
            first = await self.ask(requester, 1)
            before = len(simulation.received_calls)
            second = await self.ask(requester, 2)
            return first, second, len(simulation.received_calls) - before

        (first, took_s), (second, refused_s), arrivals = virtual_time.run(
            play()
        )
        self.assertEqual(first.status, 502)
        self.assertLess(took_s, MIN_UNRESPONSIVE_OWNER_S)
        # The owners' reports on the first query are known by now, so that
        # nothing of the second one runs.
        self.assertEqual((second.kind, second.status), ("refused", 503))
        self.assertEqual((refused_s, arrivals), (0.0, 0))

    def test_reports_are_requested_while_queries_are_refused(self):
        async def play():
            simulation, requester = self.create_unreachable_simulation()
            await self.ask(requester, 1)
            outcomes = []
            for number in range(2, 12):
                await asyncio.sleep(reachability_reports.REPORT_VALID_S / 2)
                outcomes.append((await self.ask(requester, number))[0].status)
            for node in simulation.nodes:
                for row in node.known.by_id.values():
                    row.replica.record_response()
            simulation.behaviours = itertools.repeat(GOOD)
            await self.ask(requester, 12)
            await asyncio.sleep(reachability_reports.MIN_QUERY_INTERVAL_S)
            await self.ask(requester, 13)
            await asyncio.sleep(reachability_reports.MIN_QUERY_INTERVAL_S)
            last, _ = await self.ask(requester, 14)
            return outcomes, last

        outcomes, last = virtual_time.run(play())
        self.assertEqual(set(outcomes), {503})
        self.assertEqual(last.kind, "answered")

    def partitioned_states(self, remote_silent):
        """Returns `partitioned()` before and after reports of owners."""

        async def play():
            simulation, requester = self.create_unreachable_simulation()
            for node in simulation.nodes:
                node.known.remote_domains_silent = lambda now_s: remote_silent
            known = requester.groups.reachability
            found = [known.partitioned()]
            await self.ask(requester, 1)
            found.append(known.partitioned())
            await asyncio.sleep(reachability_reports.REPORT_VALID_S + 0.1)
            found.append(known.partitioned())
            known.query_owners(ROUTE)
            await asyncio.sleep(0.1)
            found.append(known.partitioned())
            return found

        return virtual_time.run(play())

    def test_vm_without_calls_detects_a_partition(self):
        self.assertEqual(
            self.partitioned_states(True), [False, True, False, True]
        )

    def test_shards_down_for_all_vms_are_no_partition(self):
        self.assertEqual(self.partitioned_states(False), [False] * 4)


class UnresponsiveOwnerTest(unittest.TestCase):
    def setUp(self):
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.capture_log_events(self.lines))
        self.numbers = iter(range(10_000))

    async def ask(self, node):
        """Runs a query and returns its duration in seconds."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        request_id = b"r-%d" % next(self.numbers)
        outcome = await node.run(ROUTE, request_id, 1.0)
        self.assertEqual(outcome.kind, "answered")
        return loop.time() - begun_s

    def test_unresponsive_owner_delays_only_one_query(self):
        async def play():
            _, requester, owner = create_requester_and_owner()
            owner.drops_messages = True
            took = []
            for _ in range(20):
                took.append(await self.ask(requester))
                await asyncio.sleep(1.5)
            return took

        took = virtual_time.run(play())
        self.assertGreater(took[0], MIN_UNRESPONSIVE_OWNER_S)
        self.assertLess(max(took[1:]), MIN_UNRESPONSIVE_OWNER_S)

    def test_recovered_owner_is_asked_again(self):
        async def play():
            _, requester, owner = create_requester_and_owner()
            owner.drops_messages = True
            await self.ask(requester)
            await asyncio.sleep(12.0)
            owner.drops_messages = False
            before = owner.groups.counts["served"]
            await asyncio.sleep(6.0)
            await self.ask(requester)
            return before, owner.groups.counts["served"]

        before, after = virtual_time.run(play())
        self.assertGreater(after, before)
        events = collections.Counter(row["event"] for row in self.lines)
        self.assertEqual(events["owner-unresponsive"], 1)
        self.assertEqual(events["owner-responsive"], 1)

    def test_vm_that_reaches_no_owner_makes_all_calls(self):
        async def play():
            simulation, requester, _ = create_requester_and_owner()
            for node in simulation.nodes:
                node.drops_messages = node is not requester
            first = await self.ask(requester)
            await asyncio.sleep(1.5)
            return first, await self.ask(requester)

        first, second = virtual_time.run(play())
        self.assertLess(second, MIN_UNRESPONSIVE_OWNER_S)
        self.assertLess(second, first)

    def test_unlisted_owner_is_forgotten(self):
        async def play():
            simulation, requester, owner = create_requester_and_owner()
            owner.drops_messages = True
            await self.ask(requester)
            requester.groups.assignment.set_vms(
                [node.me for node in simulation.nodes if node is not owner]
            )
            await asyncio.sleep(10.0)
            return requester.groups.selection.unresponsive

        self.assertEqual(virtual_time.run(play()), {})
