"""Tests of searchers that name the requests per second that they take."""

import asyncio
import collections
import math
import random
import typing
import unittest

import msgspec

from laurelrock.core import request_limit
from laurelrock.core import return_times
from laurelrock.core import routes
from laurelrock.core import shared_rate
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import searcher_limits
from laurelrock.platform import header_codec
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(6))
QUERY = build.query_route(SHARDS, min_shard_share=0.8)
READ = build.single_route()
#: Length of the windows in which requests are counted, in seconds.
WINDOW_S = 4.0
#: Requests that a window may hold: a factor of what the limit allows, and a
#: number in addition.
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]


class Load(typing.NamedTuple):
    """Callers of a fleet.

    Attributes:
        vms: The number of VMs.
        connections: The connections that each searcher accepts.
        route: The route of the requests.
        per_s: The requests per second, over all VMs.
        first_share: The share of them that the first VM gets.
        seconds: The duration of the load, in seconds.
    """

    vms: int = 9
    connections: int = 26
    route: routes.Route = READ
    per_s: float = 60.0
    first_share: float = 0.5
    seconds: float = 14.0


Change = tuple[float, str, float | None]


class Played(typing.NamedTuple):
    """The calls that searchers received, and the statuses of the answers."""

    simulation: simulations.Simulation
    statuses: collections.Counter[int]


def create_fleet(load: Load, behaviours=ANSWERED) -> simulations.Simulation:
    """Returns simulated VMs that know two searchers of each service."""
    configuration = build.configuration(QUERY, READ)
    services = {
        name: service._replace(connections=load.connections)
        for name, service in configuration.services.items()
    }
    configuration = configuration._replace(services=services)
    simulation = simulations.Simulation(configuration, behaviours)
    for number in range(load.vms):
        node = simulation.add_node(number, "abc"[number % 3], load.vms)
        for service in (*SHARDS, "files"):
            for n in range(2):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    everyone = [node.me for node in simulation.nodes]
    for node in simulation.nodes:
        node.set_vms(everyone)
        simulation.run(node.limit_sharing.run())
    return simulation


async def play(
    load: Load,
    changes: list[Change],
    behaviours=ANSWERED,
    seed: int = 1,
    events=(),
) -> Played:
    """Plays a load while searchers change the limits that they name.

    Args:
        load: The load.
        changes: When searchers change their limits, in seconds.
        behaviours: How searchers respond.
        seed: Seed of the times and VMs of the requests.
        events: Functions that change the simulation, with their times in
            seconds.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    simulation = create_fleet(load, behaviours)
    begun_s = loop.time()
    for at_s, searcher, limit in changes:
        loop.call_at(begun_s + at_s, name_limit, simulation, searcher, limit)
    for at_s, event in events:
        loop.call_at(begun_s + at_s, event, simulation)
    tasks = []
    while loop.time() < begun_s + load.seconds:
        await asyncio.sleep(rng.expovariate(load.per_s))
        first = rng.random() < load.first_share
        node = simulation.nodes[0 if first else rng.randrange(load.vms)]
        work = node.run(load.route, b"r-%d" % len(tasks), 1.0)
        tasks.append(asyncio.create_task(work))
    ended = await asyncio.gather(*tasks)
    return Played(simulation, collections.Counter(row.status for row in ended))


def name_limit(
    simulation: simulations.Simulation, searcher: str, limit: float | None
) -> None:
    """Makes a searcher name a limit; None makes it name none."""
    simulation.limits.pop(searcher, None)
    if limit is not None:
        simulation.limits[searcher] = limit


def busiest_window(times: list[float]) -> int:
    """Returns the most requests of any window."""
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


class LimitCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def arrivals(self, played, searcher, begin_s=0.0, end_s=1e9):
        """Returns when requests reached a searcher, from the load's start."""
        calls = played.simulation.received_calls
        return [
            at_s
            for row in calls
            if row.searcher == searcher
            and begin_s <= (at_s := row.received_s - 1000.0) < end_s
        ]

    def check_limit(self, played, searcher, limit, begin_s, end_s=1e9):
        allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
        times = self.arrivals(played, searcher, begin_s, end_s)
        self.assertLessEqual(busiest_window(times), allowed)
        return times


def create_limit(per_s: float, fraction: float) -> request_limit.RequestLimit:
    """Returns a limit that was named at 0 s."""
    share = shared_rate.Share(fraction)
    return request_limit.create_request_limit(per_s, share, 0.0, 0.0)


class RequestLimitTest(unittest.TestCase):
    def test_requests_are_spaced_after_those_that_were_saved_up(self):
        limit = create_limit(8.0, 0.5)
        self.assertAlmostEqual(limit.wait_s(0.0), 0.25, 6)
        sent = []
        for step in range(1000):
            now_s = 10.0 + step / 100
            while not limit.wait_s(now_s):
                limit.take(now_s)
                sent.append(now_s)
        burst = int(request_limit.BURST_S * 4.0)
        self.assertEqual(sent[:burst], [10.0] * burst)
        self.assertAlmostEqual(len(sent), burst + 40, delta=1)

    def test_request_that_was_not_sent_is_given_back(self):
        limit = create_limit(4.0, 1.0)
        self.assertFalse(limit.wait_s(0.25))
        limit.take(0.25)
        self.assertTrue(limit.wait_s(0.25))
        limit.give_back()
        self.assertFalse(limit.wait_s(0.25))

    def test_vm_without_a_share_sends_nothing(self):
        limit = create_limit(4.0, 0.0)
        self.assertEqual(limit.wait_s(1e6), math.inf)

    def test_limit_of_zero_lets_its_end_be_noticed(self):
        limit = create_limit(0.0, 1.0)
        self.assertEqual(limit.wait_s(4.0), 0.0)

    def test_shares_follow_demand_and_never_exceed_the_whole(self):
        rng = random.Random(3)
        for _ in range(300):
            callers = rng.randint(1, 20)
            reported = rng.randint(1, callers)
            demands = {
                f"vm-{n}": rng.choice((0.0, 0.5, 3.0, 900.0))
                for n in range(reported)
            }
            shares = shared_rate.divide(demands, callers)
            total = sum(shares.values())
            self.assertAlmostEqual(total, reported / callers)
            by_demand = sorted(demands, key=lambda vm: demands[vm])
            ranked = [shares[vm] for vm in by_demand]
            self.assertEqual(ranked, sorted(ranked))
            floor = shared_rate.KEPT_FRACTION / callers
            self.assertGreaterEqual(min(ranked), floor)

    def test_vms_that_a_keeper_does_not_list_do_not_raise_the_whole(self):
        demands = {f"vm-{n}": 1.0 for n in range(5)}
        shares = shared_rate.divide(demands, 2)
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_saved_up_requests_of_all_callers_fit_the_rule(self):
        for per_s in (0.0, 0.3, 1.0, 2.5, 10.0, 300.0):
            callers = request_limit.max_callers(per_s)
            applied = max(per_s, request_limit.MIN_PER_S)
            burst = max(1.0, request_limit.BURST_S * applied / callers)
            most = WINDOW_S * applied + callers * burst
            allowed = EXCESS_FACTOR * per_s * WINDOW_S + EXCESS_REQUESTS
            self.assertLessEqual(most, allowed)


class ReturnTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = return_times.create_return_times()

    def test_refused_callers_return_one_after_another(self):
        told = [
            self.times.reserve("read", 0.2, 4.0, 10.0 + n / 100)
            for n in range(4)
        ]
        turns = [10.0 + n / 100 + told[n] for n in range(4)]
        for number, turn_s in enumerate(turns):
            self.assertAlmostEqual(turn_s, 10.2 + number / 4)

    def test_turns_are_not_told_for_ever(self):
        told = [self.times.reserve("read", 0.2, 4.0, 10.0) for _ in range(99)]
        self.assertEqual(max(told), return_times.MAX_TURN_S)

    def test_pause_without_a_limit_is_told_as_it_is(self):
        for _ in range(3):
            told = self.times.reserve("read", 2.0, math.inf, 10.0)
            self.assertEqual(told, 2.0)
        self.assertEqual(self.times.next_s, {})


class HeaderTest(unittest.TestCase):
    def test_limit(self):
        for text, limit in (
            (b"12.5", 12.5),
            (b" 3 ", 3.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"many", None),
        ):
            with self.subTest(text):
                found = header_codec.read_searcher_headers(
                    200, [(b"server-limit", text)]
                )
                self.assertEqual(found.limit_per_s, limit)


class FleetTest(LimitCase):
    def test_vms_exceed_the_limit_of_a_searcher_together(self):
        load = Load()
        played = virtual_time.run(play(load, [(1.0, "files-0", 6.0)]))
        times = self.check_limit(played, "files-0", 6.0, 2.0)
        # What the limit allows is used.
        self.assertGreater(len(times), 0.6 * 6.0 * (load.seconds - 2.0))
        self.assertEqual(set(played.statuses), {200})

    def test_queries_exceed_the_limits_of_their_shards(self):
        changes = [(1.0, f"shard-{n}-0", 8.0) for n in range(6)]
        load = Load(route=QUERY, per_s=30.0)
        played = virtual_time.run(play(load, changes))
        for _, searcher, limit in changes:
            self.check_limit(played, searcher, limit, 2.0)

    def test_owners_exceed_the_limits_of_their_shards(self):
        changes = [(1.0, f"shard-{n}-0", 8.0) for n in range(6)]
        load = Load(connections=8, route=QUERY, per_s=30.0)
        played = virtual_time.run(play(load, changes))
        for _, searcher, limit in changes:
            self.check_limit(played, searcher, limit, 2.0)

    def test_retries_exceed_the_limit_of_a_searcher(self):
        behaviours = [
            simulations.ScriptedCall("error", 0.01),
            simulations.ScriptedCall("answer", 0.02),
        ]
        changes = [(1.0, "files-0", 4.0), (1.0, "files-1", 4.0)]
        played = virtual_time.run(play(Load(), changes, behaviours))
        for _, searcher, limit in changes:
            self.check_limit(played, searcher, limit, 2.0)

    def test_limit_is_lowered_and_ends(self):
        changes = [
            (1.0, "files-0", 12.0),
            (8.0, "files-0", 3.0),
            (18.0, "files-0", None),
        ]
        load = Load(seconds=24.0)
        played = virtual_time.run(play(load, changes))
        self.check_limit(played, "files-0", 12.0, 2.0, 8.0)
        self.check_limit(played, "files-0", 3.0, 9.0, 18.0)
        later = self.arrivals(played, "files-0", 20.0, 24.0)
        self.assertGreater(len(later), 4 * 12.0)

    def test_limit_below_the_number_of_vms(self):
        for limit in (0.0, 0.5, 1.0):
            with self.subTest(limit):
                load = Load(vms=30, connections=100, seconds=20.0)
                played = virtual_time.run(play(load, [(1.0, "files-0", limit)]))
                self.check_limit(played, "files-0", limit, 2.0)
                self.assertEqual(set(played.statuses), {200})

    def test_silent_keepers(self):
        def silence(simulation):
            for slot in range(limit_sharing.SLOTS):
                keeper = simulation.nodes[0].limit_sharing.keeper_of(slot)
                node = simulation.nodes_by_host[keeper.host]
                node.drops_messages = True

        load = Load(seconds=20.0)
        events = [(6.0, silence)]
        played = virtual_time.run(
            play(load, [(1.0, "files-0", 6.0)], events=events)
        )
        times = self.check_limit(played, "files-0", 6.0, 2.0)
        self.assertGreater(len(times), 0.6 * 6.0 * 15.0)

    def test_vms_that_lose_sight_of_each_other(self):
        def partition(simulation):
            for node in simulation.nodes[:4]:
                node.unreachable = {row.me.host for row in simulation.nodes[4:]}
            for node in simulation.nodes[4:]:
                node.unreachable = {row.me.host for row in simulation.nodes[:4]}

        load = Load(seconds=20.0)
        events = [(6.0, partition)]
        played = virtual_time.run(
            play(load, [(1.0, "files-0", 6.0)], events=events)
        )
        self.check_limit(played, "files-0", 6.0, 2.0)

    def test_vm_that_starts_knows_the_limits(self):
        async def start_one():
            load = Load()
            simulation = create_fleet(load)
            name_limit(simulation, "files-0", 6.0)
            for number, node in enumerate(simulation.nodes):
                for turn in range(4):
                    await node.run(READ, b"r-%d-%d" % (number, turn), 1.0)
            await asyncio.sleep(2.5)
            node = simulation.add_node(9, "a", 10)
            for n in range(2):
                simulation.change_searcher(node, f"files-{n}", "live")
            node.set_vms([row.me for row in simulation.nodes])
            simulation.run(node.limit_sharing.run())
            await asyncio.sleep(0.1)
            return node

        node = virtual_time.run(start_one())
        limit = node.known.by_id["files-0"].replica.limit
        self.assertEqual(limit.named_per_s, 6.0)

    def test_busy_vm_gets_the_share_that_others_leave(self):
        load = Load(per_s=10.0, first_share=1.0, seconds=20.0)
        changes = [(1.0, "files-0", 8.0), (1.0, "files-1", 8.0)]
        played = virtual_time.run(play(load, changes))
        ended = sum(played.statuses.values())
        # Equal shares would serve 1.8 of 10 requests a second.
        self.assertGreater(played.statuses[200], 0.8 * ended)

    def test_refused_callers_are_told_to_return_one_after_another(self):
        async def refuse():
            simulation = create_fleet(Load(vms=1))
            for n in range(2):
                name_limit(simulation, f"files-{n}", 2.0)
            node = simulation.nodes[0]
            for number in range(4):
                await node.run(READ, b"first-%d" % number, 1.0)
            return [
                await node.run(READ, b"r-%d" % number, 1.0)
                for number in range(5)
            ]

        refused = virtual_time.run(refuse())
        self.assertEqual({row.status for row in refused}, {503})
        told = [row.resume_in_s for row in refused]
        for one, other in zip(told, told[1:], strict=False):
            self.assertAlmostEqual(other - one, 0.25, 3)


class SharingTest(LimitCase):
    def test_messages_of_195_vms_stay_small(self):
        """All VMs call 14 searchers, each of which names a limit."""

        async def measure():
            load = Load(vms=195, connections=500)
            simulation = create_fleet(load)
            for service in (*SHARDS, "files"):
                for n in range(2):
                    name_limit(simulation, f"{service}-{n}", 50.0)
            for number, node in enumerate(simulation.nodes):
                await node.run(QUERY, b"q-%d" % number, 1.0)
                await node.run(READ, b"r-%d" % number, 1.0)
            await asyncio.sleep(1.5)
            simulation.sent_bytes.clear()
            await asyncio.sleep(4.0)
            return simulation

        simulation = virtual_time.run(measure())
        self.assertLess(max(simulation.sent_bytes.values()) / 4.0, 60_000)
        others = sorted(simulation.sent_bytes.values())[:180]
        # Letter 1: 3 KB a second for control.
        self.assertLess(max(others) / 4.0, 3_000)

    def test_keeper_stores_a_bounded_number_of_reports(self):
        async def report():
            node = create_fleet(Load(vms=3)).nodes[0]
            for number in range(2000):
                name = f"s-{number}"
                row = request_limit.NamedLimit(name, name, 1, 1.0, 0.0)
                node.limit_sharing.answer(
                    limit_sharing.LimitReport("vm-1", 0, [(name, 1.0)], [row])
                )
            return node.limit_sharing

        state = virtual_time.run(report())
        self.assertLessEqual(len(state.limits), limit_sharing.MAX_STORED)
        self.assertLessEqual(len(state.demands), limit_sharing.MAX_STORED)

    def test_reports_of_vms_that_left_lapse(self):
        async def report():
            node = create_fleet(Load(vms=3)).nodes[0]
            row = request_limit.NamedLimit("files", "files-0", 1, 6.0, 0.0)
            node.limit_sharing.answer(
                limit_sharing.LimitReport("gone", 0, [("files", 9.0)], [row])
            )
            await asyncio.sleep(request_limit.LAPSE_S + 0.1)
            return node.limit_sharing.answer(
                limit_sharing.LimitReport("vm-1", 0, [("files", 1.0)], [])
            )

        reply = virtual_time.run(report())
        self.assertEqual(reply.limits, [])
        self.assertAlmostEqual(dict(reply.shares)["files"], 1 / 3)

    def test_told_limit_can_not_shut_out_a_searcher_that_names_none(self):
        async def tell():
            node = create_fleet(Load(vms=3)).nodes[0]
            for number in range(4):
                await node.run(READ, b"r-%d" % number, 1.0)
            outdated = request_limit.NamedLimit("files", "files-0", 1, 0.0, 5.0)
            other_start = outdated._replace(started_ms=9, age_s=0.0)
            for row in (outdated, other_start):
                node.limit_sharing.apply(
                    limit_sharing.LimitShares(0, [("files", -1.0)], [row])
                )
            return node.known

        known = virtual_time.run(tell())
        self.assertEqual(known.limited, {})

    def test_vms_without_a_share_let_a_limit_lapse_one_after_another(self):
        load = Load(vms=30, connections=100, seconds=60.0, per_s=30.0)

        def leave_shares_unused(simulation):
            name_limit(simulation, "files-0", 0.5)
            for node in simulation.nodes:
                upstream = node.known.by_id["files-0"]
                searcher_limits.limit_requests(
                    node.known, upstream, 0.5, 1000.0, 1000.0
                )
                if not upstream.replica.limit.share.turn:
                    upstream.replica.leaving = True

        events = [(0.0, leave_shares_unused)]
        played = virtual_time.run(play(load, [], events=events))
        times = self.check_limit(played, "files-0", 0.5, 2.0)
        self.assertTrue(times)

    def test_told_limit_that_no_response_confirms_lapses(self):
        async def tell():
            node = create_fleet(Load(vms=3)).nodes[0]
            row = request_limit.NamedLimit("files", "files-0", 1, 0.0, 0.0)
            node.limit_sharing.apply(limit_sharing.LimitShares(0, [], [row]))
            limited = set(node.known.limited)
            await asyncio.sleep(60.0)
            return limited, set(node.known.limited)

        before, after = virtual_time.run(tell())
        self.assertEqual((before, after), ({"files-0"}, set()))

    def test_messages_survive_their_encoding(self):
        row = request_limit.NamedLimit("files", "files-0", 1, 6.0, 0.5)
        for message in (
            limit_sharing.LimitReport("vm-1", 3, [("files", 1.5)], [row]),
            limit_sharing.LimitShares(3, [("files", 0.25)], [row]),
        ):
            raw = msgspec.msgpack.encode(message)
            found = msgspec.msgpack.decode(raw, type=type(message))
            self.assertEqual(found, message)
