"""Tests of searchers that are cold and take few requests."""

import asyncio
import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import routes
from laurelrock.core import shared_rate
from laurelrock.core import warm_up
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import searcher_limits
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import test_shared_rate
from tests import virtual_time

READ = build.single_route()
URGENT = build.single_route(name="urgent", priority=0)
LATER = build.single_route(name="later", priority=2)
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]
POLICY = warm_up.WarmUpPolicy()
PER_S = 8.0
WARM_UP_S = 20.0
NAMES = [f"files-{n}" for n in range(3)]


def bound(per_s: float) -> float:
    """Returns the most requests that a cold searcher may get in a second."""
    return per_s * POLICY.overage + POLICY.slack


class Fleet:
    """Simulated VMs in three failure domains, and one searcher in each."""

    def __init__(self, vms=9, per_s=PER_S, rows=(READ,), behaviours=ANSWERED):
        self.vms = vms
        configuration = build.configuration(*rows)
        services = {
            "files": routes.Service("/healthz", 100, WARM_UP_S, per_s),
        }
        configuration = configuration._replace(services=services)
        self.simulation = simulations.Simulation(configuration, behaviours)
        self.loop = asyncio.get_running_loop()
        self.everyone = []
        for number in range(vms):
            node = self.simulation.add_node(number, "abc"[number % 3], vms)
            self.everyone.append(node.me)
        for node in self.simulation.nodes:
            self.begin(node)

    @property
    def nodes(self):
        return self.simulation.nodes

    def begin(self, node):
        """Lets a VM that has just started learn its VMs and searchers."""
        node.set_vms(self.everyone)
        for name in NAMES:
            self.change(node, name)
        node.loops = [
            asyncio.create_task(node.limit_sharing.run()),
            asyncio.create_task(node.cold_searchers.run()),
        ]

    def change(self, node, name, started_ms=1, left_s=0.0):
        """Applies an entry at a VM."""
        self.simulation.change_searcher(
            node,
            name,
            "live",
            started_ms,
            warm_up_left_s=left_s,
            failure_domain="abc"[int(name[-1])],
        )

    def turn_cold(self, names, cold_s=WARM_UP_S):
        """Makes searchers cold, which all VMs learn from the entries."""
        for name in names:
            self.simulation.cold_until_s[name] = self.loop.time() + cold_s
            for node in self.nodes:
                self.change(node, name, left_s=cold_s)

    def restart_vm(self, number):
        """Replaces a VM by a new start of it, which knows nothing."""
        old = self.nodes[number]
        for task in old.loops:
            task.cancel()
        for link in list(old.links.values()):
            link.cut()
        node = simulations.GatewayNode(self.simulation, old.me, self.vms)
        node.known.configure(self.simulation.configuration)
        node.cold_searchers.configure(self.simulation.configuration)
        self.nodes[number] = node
        self.simulation.nodes_by_host[old.me.host] = node
        self.begin(node)
        for name in NAMES:
            left_s = self.simulation.warm_up_left_s(name)
            self.change(node, name, left_s=left_s)

    def cut_vms(self, numbers):
        """Cuts VMs from all others; an empty list ends the cut."""
        inside = {self.everyone[n].host for n in numbers}
        for node in self.nodes:
            hosts = {vm.host for vm in self.everyone}
            node.unreachable = (
                hosts - inside if node.me.host in inside else inside
            )

    async def load(self, per_s, seconds, seed=1, route=READ):
        """Sends requests to random VMs; returns the statuses."""
        rng = random.Random(seed)
        end_s = self.loop.time() + seconds
        tasks = []
        while self.loop.time() < end_s:
            await asyncio.sleep(rng.expovariate(per_s))
            node = self.nodes[rng.randrange(self.vms)]
            name = b"%s-%d" % (route.name.encode(), len(tasks))
            tasks.append(asyncio.create_task(node.run(route, name, 1.0)))
        ended = await asyncio.gather(*tasks)
        return collections.Counter(row.status for row in ended)

    def arrivals(self, name, begin_s=0.0):
        """Returns when requests reached a searcher, with those for health."""
        rows = [
            row.received_s
            for row in self.simulation.received_calls
            if row.searcher == name
        ]
        rows += [
            at_s
            for searcher, at_s in self.simulation.health_calls
            if searcher == name
        ]
        return sorted(at_s for at_s in rows if at_s > begin_s)


class ColdCase(unittest.TestCase):
    def setUp(self):
        self.log = self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def check_bound(self, fleet, names, per_s=PER_S, begin_s=0.0):
        for name in names:
            times = fleet.arrivals(name, begin_s)
            self.assertLessEqual(
                test_shared_rate.busiest_second(times), bound(per_s)
            )


class FleetTest(ColdCase):
    def test_failure_domain_turns_cold_at_once(self):
        """Warm searchers in other failure domains take the requests."""

        async def play():
            fleet = Fleet()
            await fleet.load(60.0, 3.0)
            fleet.turn_cold(["files-0"])
            begun_s = fleet.loop.time()
            statuses = await fleet.load(60.0, 10.0, seed=2)
            return fleet, begun_s, statuses

        fleet, begun_s, statuses = virtual_time.run(play())
        self.assertEqual(set(statuses), {200})
        self.check_bound(fleet, ["files-0"], begin_s=begun_s)
        requests = [
            row
            for row in fleet.simulation.received_calls
            if row.searcher == "files-0" and row.received_s > begun_s
        ]
        self.assertEqual(requests, [])

    def test_all_failure_domains_turn_cold_at_once(self):
        """What the searchers accept is used, and not more."""

        async def play():
            fleet = Fleet()
            await fleet.load(60.0, 6.0)
            fleet.turn_cold(NAMES)
            begun_s = fleet.loop.time()
            statuses = await fleet.load(120.0, 15.0, seed=2)
            return fleet, begun_s, statuses

        fleet, begun_s, statuses = virtual_time.run(play())
        self.check_bound(fleet, NAMES, begin_s=begun_s)
        self.assertGreater(statuses[200], 0.6 * PER_S * len(NAMES) * 15.0)

    def test_evacuation_ends_with_cold_searchers(self):
        """Requests return at the rate of cold searchers until one is warm."""

        async def play():
            fleet = Fleet()
            await fleet.load(60.0, 6.0)
            begun_s = fleet.loop.time()
            for node in fleet.nodes:
                for domain in "abc":
                    node.cold_searchers.presume_cold(domain)
            fleet.simulation.cold_until_s = dict.fromkeys(
                NAMES[:2], begun_s + 8.0
            )
            load = asyncio.create_task(fleet.load(120.0, 6.0, seed=2))
            await asyncio.sleep(5.9)
            cold = [set(node.known.cold) for node in fleet.nodes]
            await load
            return fleet, begun_s, cold

        fleet, begun_s, cold = virtual_time.run(play())
        self.check_bound(fleet, NAMES[:2], begin_s=begun_s)
        # The health of the third one showed that it is warm.
        self.assertEqual(cold, [set(NAMES[:2])] * len(cold))

    @hypothesis.settings(max_examples=12, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from((2.0, 8.0, 30.0)),
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 9.0),
                strategies.sampled_from(("cut", "heal", "restart")),
                strategies.integers(0, 8),
            ),
            max_size=5,
        ),
    )
    def test_cuts_and_restarts_exceed_the_bound(self, per_s, seed, events):
        """Half of the VMs are cut off, or killed and restarted at once."""

        async def play():
            fleet = Fleet(per_s=per_s)
            await fleet.load(60.0, 4.0, seed)
            fleet.turn_cold(NAMES)
            begun_s = fleet.loop.time()
            for at_s, kind, first in events:
                numbers = [(first + n) % fleet.vms for n in range(5)]
                fleet.loop.call_later(at_s, happen, fleet, kind, numbers)
            await fleet.load(200.0, 10.0, seed + 1)
            return fleet, begun_s

        def happen(fleet, kind, numbers):
            if kind == "restart":
                for number in numbers:
                    fleet.restart_vm(number)
            else:
                fleet.cut_vms(numbers if kind == "cut" else [])

        fleet, begun_s = virtual_time.run(play())
        self.check_bound(fleet, NAMES, per_s, begun_s)

    def test_calls_that_wait_for_connections_are_sent_at_once(self):
        async def play():
            waits = [
                simulations.ScriptedCall("queued", delay_s)
                for delay_s in (0.8, 0.6, 0.4, 0.2, 0.01)
            ]
            fleet = Fleet(behaviours=waits)
            await fleet.load(60.0, 6.0)
            begun_s = fleet.loop.time()
            fleet.turn_cold(NAMES)
            await fleet.load(200.0, 10.0, seed=2)
            return fleet, begun_s

        fleet, begun_s = virtual_time.run(play())
        self.check_bound(fleet, NAMES, begin_s=begun_s)

    def test_requests_of_low_priority_leave_capacity_to_urgent_ones(self):
        async def play():
            fleet = Fleet(vms=2, rows=(URGENT, LATER))
            fleet.turn_cold(NAMES)
            await asyncio.sleep(6.0)
            return await asyncio.gather(
                fleet.load(15.0, 10.0, 1, URGENT),
                fleet.load(15.0, 10.0, 2, LATER),
            )

        urgent, later = virtual_time.run(play())
        self.assertGreater(urgent[200], 2 * later[200])

    def test_hedges_use_cold_searchers(self):
        async def play():
            slow = [simulations.ScriptedCall("answer", 0.4)]
            fleet = Fleet(vms=1, behaviours=slow)
            fleet.turn_cold(NAMES[1:])
            await asyncio.sleep(6.0)
            node = fleet.nodes[0]
            typical = node.known.typical_latencies["single"]
            for _ in range(20):
                typical.record(0.02)
            # The warm searcher meets this objective, so only hedges could go
            # to the cold ones.
            route = READ._replace(objective_s=5.0)
            statuses = await fleet.load(4.0, 5.0, route=route)
            return statuses, node.placement.counts

        statuses, counts = virtual_time.run(play())
        self.assertEqual(set(statuses), {200})
        self.assertEqual(counts["hedge"], 0)

    def test_service_without_a_rate_has_no_limit(self):
        async def play():
            fleet = Fleet(per_s=0.0)
            fleet.turn_cold(NAMES)
            for node in fleet.nodes:
                node.cold_searchers.presume_cold("a")
            statuses = await fleet.load(100.0, 3.0)
            return fleet, statuses

        fleet, statuses = virtual_time.run(play())
        self.assertEqual(set(statuses), {200})
        self.assertEqual(fleet.nodes[0].known.cold, {})
        self.assertEqual(fleet.simulation.health_calls, [])


class EvacuatedTest(ColdCase):
    def test_health_of_evacuated_searchers_is_not_requested(self):
        # Guards against health requests in an evacuated failure domain, whose
        # searchers became cold after the evacuation.
        async def play():
            fleet = Fleet()
            await fleet.load(60.0, 2.0)
            for node in fleet.nodes:
                node.known.evacuate(frozenset("a"))
            begun_s = fleet.loop.time()
            fleet.turn_cold(NAMES)
            await fleet.load(60.0, 3.0, seed=2)
            return fleet, begun_s

        fleet, begun_s = virtual_time.run(play())
        found = {
            name
            for name, at_s in fleet.simulation.health_calls
            if at_s > begun_s
        }
        # The first one is in the failure domain that is evacuated.
        self.assertEqual(found, set(NAMES[1:]))


class EvidenceTest(ColdCase):
    """Which evidence counts, at one VM."""

    def play(self, act):
        async def run():
            fleet = Fleet(vms=1)
            for task in fleet.nodes[0].loops:
                task.cancel()
            return await act(fleet, fleet.nodes[0])

        return virtual_time.run(run())

    def left_s(self, node, name="files-0"):
        cold = node.known.by_id[name].replica.cold
        now_s = asyncio.get_running_loop().time()
        return round(cold.until_s - now_s, 3) if cold else 0.0

    def test_searcher_that_restarts_under_its_id_begins_with_nothing(self):
        async def act(fleet, node):
            for _ in range(9):
                await node.run(READ, b"r", 1.0)
            old = node.known.by_id["files-0"]
            searcher_limits.limit_requests(node.known, old, 5.0, 1000.0, 1000.0)
            old.replica.record_pause(9.0, 1000.0)
            old.replica.leaving = True
            old.replica.record_no_response(1000.0)
            fleet.change(node, "files-0", started_ms=2)
            new = node.known.by_id["files-0"]
            self.assertEqual(self.left_s(node), WARM_UP_S)
            self.assertIsNone(new.replica.limit)
            self.assertFalse(new.replica.leaving)
            self.assertEqual(
                (new.replica.resume_s, new.replica.unanswered), (0.0, 0)
            )
            self.assertEqual(new.replica.call_count, 0)
            self.assertNotIn("files-0", node.known.limited)
            # A late response to a call of the earlier start.
            node.cold_searchers.record_response(old, 0.0)
            searcher_limits.record_limit(node.known, old, 1.0, 1000.0, 1000.0)
            self.assertEqual(self.left_s(node), WARM_UP_S)
            self.assertEqual(node.known.limited, {})

        self.play(act)

    def test_restart_is_noticed_after_the_entry_was_deleted(self):
        async def act(fleet, node):
            fleet.simulation.change_searcher(node, "files-0", None)
            node.cold_searchers.check()
            fleet.change(node, "files-0", started_ms=2)
            return self.left_s(node)

        self.assertEqual(self.play(act), WARM_UP_S)

    def test_entry_of_a_cold_searcher_is_deleted_and_returns(self):
        async def act(fleet, node):
            upstream = node.known.by_id["files-0"]
            node.cold_searchers.record_response(upstream, WARM_UP_S)
            await asyncio.sleep(5.0)
            fleet.simulation.change_searcher(node, "files-0", None)
            node.cold_searchers.check()
            fleet.change(node, "files-0", left_s=0.0)
            return self.left_s(node)

        self.assertEqual(self.play(act), WARM_UP_S - 5.0)

    def test_response_is_better_evidence_than_an_entry(self):
        async def act(fleet, node):
            upstream = node.known.by_id["files-0"]
            node.cold_searchers.record_response(upstream, 6.0)
            fleet.change(node, "files-0", left_s=0.001)
            before = self.left_s(node)
            node.cold_searchers.record_response(upstream, 0.0)
            return before, self.left_s(node)

        self.assertEqual(self.play(act), (6.0, 0.0))

    def test_older_report_of_another_vm_is_ignored(self):
        async def act(fleet, node):
            await asyncio.sleep(2.0)
            upstream = node.known.by_id["files-0"]
            node.cold_searchers.record_response(upstream, 0.0)
            row = limit_sharing.ColdReport("files", "files-0", 1, 9.0, 1.0)
            for other in (row, row._replace(started_ms=7, age_s=0.0)):
                self.assertFalse(node.cold_searchers.apply_report(other))
            before = self.left_s(node)
            await asyncio.sleep(2.0)
            self.assertTrue(node.cold_searchers.apply_report(row))
            return before, self.left_s(node)

        self.assertEqual(self.play(act), (0.0, 8.0))

    def test_request_that_waits_for_a_connection_takes_up_room(self):
        share = shared_rate.Share(1.0, equal=1.0)
        cold = warm_up.create_cold_limit(8.0, POLICY, share, 0.0)
        cold.wait_s(60.0)
        full = cold.tokens
        cold.take(60.0)
        cold.waiting += 1
        cold.wait_s(120.0)
        self.assertAlmostEqual(cold.tokens, full - 1.0)
