"""Tests of VMs that reach no searcher but are reached by callers and VMs."""

import asyncio
import collections
import random
import typing
import unittest

from laurelrock.core import routes
from laurelrock.gateways import health_checks
from laurelrock.gateways import searcher_connections
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import test_searcher_limits
from tests import virtual_time

#: Time in seconds from the start of a cut from which requests count.
CONTACT_S = 4.0
#: Least share of the requests served at isolated VMs, as a fraction of the
#: others' share, and the requests that may fail at all VMs.
SERVED_FRACTION = 2 / 3
FAILED_FRACTION, FAILED_REQUESTS = 1 / 50, 10
#: Start and end of the cuts, from the start of the load, in seconds.
CUT_S, HEALED_S = 2.0, 12.0
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]
SAVE = build.single_route(name="save", idempotent=False)
ROUTES = (test_searcher_limits.QUERY, test_searcher_limits.READ, SAVE)


class Ended(typing.NamedTuple):
    """A request and how it ended.

    Attributes:
        isolated: Whether its VM is one of those that are cut.
        route: Its route.
        sent_s: When it was sent, from the start of the load, in seconds.
        request_id: Its id.
        status: The status of its answer.
        seconds: The time that it took.
    """

    isolated: bool
    route: routes.Route
    sent_s: float
    request_id: bytes
    status: int
    seconds: float


class Played(typing.NamedTuple):
    """Requests of a load, and the simulation in which they ran."""

    simulation: simulations.Simulation
    ended: list[Ended]


Event = tuple[float, collections.abc.Callable[[simulations.Simulation], None]]


async def play(
    isolated: typing.Sequence[int],
    events: typing.Sequence[Event],
    load: test_searcher_limits.Load,
    behaviours=ANSWERED,
    seed: int = 1,
    attempts: int = 2,
) -> Played:
    """Plays a load of queries, reads and saves at all VMs.

    Args:
        isolated: The numbers of the VMs that the events cut.
        events: Functions that change the simulation, with their times in
            seconds from the start of the load.
        load: The load.
        behaviours: How searchers respond.
        seed: Seed of the times, VMs and routes of the requests.
        attempts: The maximum of attempts of the routes.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    simulation = test_searcher_limits.create_fleet(load, behaviours)
    for node in simulation.nodes:
        simulation.run(searcher_connections.probe(node.known))
        simulation.run(node.isolation_detector.run())
    begun_s = loop.time()
    for at_s, event in events:
        loop.call_at(begun_s + at_s, event, simulation)

    async def send(number: int, vm: int, route: routes.Route) -> Ended:
        sent_s = loop.time()
        request_id = b"r-%d" % number
        target = b"/%d" % number
        node = simulation.nodes[vm]
        outcome = await node.run(route, request_id, 1.0, target)
        return Ended(
            *(vm in isolated, route, sent_s - begun_s, request_id),
            *(outcome.status, loop.time() - sent_s),
        )

    tasks = []
    while loop.time() < begun_s + load.seconds:
        await asyncio.sleep(rng.expovariate(load.per_s))
        route = rng.choices(ROUTES, (4, 2, 1))[0]._replace(attempts=attempts)
        work = send(len(tasks), rng.randrange(load.vms), route)
        tasks.append(asyncio.create_task(work))
    return Played(simulation, list(await asyncio.gather(*tasks)))


def cut(kind: str, numbers: typing.Iterable[int]):
    """Returns an event that cuts some VMs from all searchers."""
    return lambda simulation: simulation.cut(
        kind, [simulation.nodes[n] for n in numbers]
    )


def close_some_connections(simulation: simulations.Simulation) -> None:
    """Closes all connections to the searchers of two shards and of reads."""
    for node in simulation.nodes:
        for service in (*test_searcher_limits.SHARDS[:2], "files"):
            for upstream in node.known.searchers_of(service):
                client = typing.cast(simulations.Client, upstream.client)
                client.connected = False


def during(
    ended: list[Ended], begin_s: float, end_s: float, isolated: bool | None
) -> list[Ended]:
    """Returns the requests that were sent in a time, at some of the VMs."""
    return [
        row
        for row in ended
        if begin_s <= row.sent_s < end_s and isolated in (None, row.isolated)
    ]


def served_share(rows: list[Ended]) -> float:
    """Returns the share of requests that were served."""
    return sum(row.status == 200 for row in rows) / len(rows)


#: Every VM calls all searchers, or owners of groups do.
DIRECT = test_searcher_limits.Load(seconds=14.0)
OWNERS = DIRECT._replace(vms=12, connections=8)


class IsolatedVmsTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def play(self, isolated, kind, load, *args, **fields):
        events = [(CUT_S, cut(kind, isolated)), (HEALED_S, cut("", isolated))]
        return virtual_time.run(play(isolated, events, load, *args, **fields))

    def check_served(self, played):
        """Checks that isolated VMs serve about as often as the others."""
        begin_s, end_s = CUT_S + CONTACT_S, HEALED_S
        rows = during(played.ended, begin_s, end_s, isolated=True)
        others = during(played.ended, begin_s, end_s, isolated=False)
        self.assertGreater(len(rows), 100)
        least = SERVED_FRACTION * served_share(others)
        self.assertGreaterEqual(served_share(rows), least)
        self.check_saves(played)
        return [*rows, *others]

    def check_recovery(self, played):
        """Checks that a long cut makes few requests fail."""
        both = self.check_served(played)
        failed = sum(row.status != 200 for row in both)
        allowed = FAILED_REQUESTS + FAILED_FRACTION * len(both)
        self.assertLessEqual(failed, allowed)

    def check_saves(self, played):
        """Checks that saves run at most once, and refused requests not."""
        runs = collections.Counter(
            row.request_id
            for row in played.simulation.received_calls
            if row.ran
        )
        for row in played.ended:
            if row.status == 503:
                self.assertEqual(runs[row.request_id], 0)
            if not row.route.idempotent:
                self.assertLessEqual(runs[row.request_id], 1)

    def test_vms_without_searchers_serve_through_other_vms(self):
        for kind in simulations.CUT_KINDS:
            with self.subTest(kind):
                self.check_recovery(self.play(range(6), kind, DIRECT))

    def test_few_vms_that_are_left_serve_the_callers_of_all(self):
        load = OWNERS._replace(vms=60, connections=40, per_s=120.0)
        # None of the VMs that are left is among the first for any service.
        cut_vms = sorted({*range(60)} - {24, 44, 51})
        for kind in ("hang", "reset"):
            with self.subTest(kind):
                self.check_recovery(self.play(cut_vms, kind, load))

    def test_owners_that_lost_some_searchers_fail_no_queries(self):
        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                cut_vms = range(load.vms - 4)
                events = [
                    (CUT_S, cut("refuse", cut_vms)),
                    (CUT_S, close_some_connections),
                    (HEALED_S, cut("", cut_vms)),
                ]
                played = virtual_time.run(play(cut_vms, events, load))
                self.check_recovery(played)

    def test_requests_in_flight_move_to_other_vms(self):
        # A part that was hedged has attempts left.
        played = self.play(range(6), "hang", DIRECT, attempts=3)
        rows = during(played.ended, CUT_S - 0.3, CUT_S + 0.3, isolated=True)
        queries = [row for row in rows if row.route.shards]
        self.assertGreater(len(queries), 10)
        self.assertEqual({row.status for row in queries}, {200})

    def test_requests_are_spread_over_the_vms_that_help(self):
        played = self.play(range(6), "reset", DIRECT)
        nodes = played.simulation.nodes
        served = [node.groups.counts["served"] for node in nodes]
        self.assertGreater(min(served[6:]), 100)
        self.assertLess(max(served[6:]), 1.5 * min(served[6:]))
        # A request that was passed on stays where it was accepted.
        passed_on = sum(node.groups.counts["asked"] for node in nodes[:6])
        self.assertLessEqual(sum(served), passed_on)
        self.assertEqual([n.groups.counts["asked"] for n in nodes[6:]], [0] * 3)

    def test_requests_that_ran_before_a_cut_are_not_called_refused(self):
        slow = [simulations.ScriptedCall("answer", 0.3)]
        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                # The last VM loses its searchers when all others know that
                # they have lost theirs.
                last = load.vms - 1
                events = [
                    (CUT_S, cut("hang", range(last))),
                    (CUT_S + CONTACT_S, cut("hang", [last])),
                ]
                played = virtual_time.run(
                    play(range(load.vms), events, load, slow)
                )
                self.check_saves(played)

    def test_requests_reach_few_searchers_though_a_vm_is_isolated(self):
        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                everyone = range(load.vms)
                events = [
                    (CUT_S, cut(simulations.STANDSTILL, everyone)),
                    (CUT_S + 0.9, cut("", everyone)),
                ]
                played = virtual_time.run(play((), events, load))
                counts = collections.Counter(
                    (row.request_id, row.service)
                    for row in played.simulation.received_calls
                )
                most = max(counts.values())
                self.assertLessEqual(most, test_searcher_limits.QUERY.attempts)

    def test_cut_of_all_vms_leads_to_immediate_refusals(self):
        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                played = self.play(range(load.vms), "hang", load)
                begin_s = CUT_S + CONTACT_S
                rows = during(played.ended, begin_s, HEALED_S, True)
                self.assertGreater(len(rows), 300)
                self.assertEqual({row.status for row in rows}, {503})
                self.assertLess(max(row.seconds for row in rows), 0.1)
                rows = during(played.ended, HEALED_S + 1.0, 99.0, True)
                self.assertEqual({row.status for row in rows}, {200})
                self.check_saves(played)

    def test_cuts_that_move_and_flap(self):
        events = [(CUT_S, cut("hang", range(3)))]
        for turn in range(6):
            at_s = CUT_S + CONTACT_S + turn
            kind = simulations.CUT_KINDS[turn % 3]
            one, other = range(3), range(3, 6)
            before, now = (one, other) if turn % 2 == 0 else (other, one)
            events += [(at_s, cut("", before)), (at_s, cut(kind, now))]
        events.append((HEALED_S, cut("", range(9))))
        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                played = virtual_time.run(play(range(6), events, load))
                # Each cut is too short for the bound on failed requests.
                self.check_served(played)

    def test_vm_that_is_isolated_by_mistake_recovers_at_once(self):
        def mistake(simulation):
            for node in simulation.nodes[:4]:
                node.known.isolated = True

        for load in (DIRECT, OWNERS):
            with self.subTest(vms=load.vms):
                events = [(CUT_S, mistake)]
                played = virtual_time.run(play(range(4), events, load))
                self.assertEqual({row.status for row in played.ended}, {200})
                for node in played.simulation.nodes:
                    self.assertFalse(node.known.isolated)

    def test_health_of_unknown_services_is_not_requested(self):
        async def check():
            simulation = test_searcher_limits.create_fleet(DIRECT)
            node = simulation.nodes[0]
            asked = []
            for upstream in node.known.by_id.values():
                # Only reads are configured; the shards are those of an index
                # that is about to be used.
                upstream.client.call = (
                    lambda *args, service=(upstream.searcher.service): (
                        asked.append(service)
                        or simulations.Call(
                            asyncio.get_running_loop().create_future()
                        )
                    )
                )
            node.known.services = {"files": node.known.services["files"]}
            await health_checks.reaches_any(node.known)
            return asked

        self.assertEqual(virtual_time.run(check()), ["files", "files"])

    def test_searchers_that_are_down_isolate_no_vm(self):
        def crash(simulation):
            for service in test_searcher_limits.SHARDS[:2]:
                for number in range(2):
                    simulation.crash(f"{service}-{number}")

        for load in (DIRECT, OWNERS, DIRECT._replace(per_s=2.0)):
            with self.subTest(load=load):
                events = [(at_s, crash) for at_s in (2.0, 6.0, 10.0)]
                played = virtual_time.run(play((), events, load))
                for node in played.simulation.nodes:
                    counts = node.isolation_detector.counts
                    self.assertEqual(counts["isolated"], 0)

    def test_isolated_owners_fail_no_queries_of_other_vms(self):
        for kind in simulations.CUT_KINDS:
            with self.subTest(kind):
                self.check_recovery(self.play(range(8), kind, OWNERS))
