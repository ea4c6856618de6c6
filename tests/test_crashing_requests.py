"""Tests of requests that crash each searcher that begins to run them."""

import asyncio
import collections
import random
import typing
import unittest

import msgspec
import xxhash

from laurelrock.adapters import http_server
from laurelrock.core import crash_suspects
from laurelrock.core import routes
from laurelrock.gateways import calls
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(6))
QUERY = build.query_route(SHARDS, min_shard_share=0.5)
READ = build.single_route()
ONCE = build.single_route(name="once", attempts=1)
SEARCHERS = 6
POISON = b"/poison"
#: Time in seconds after the third crash from which sends count, and how many of
#: them are allowed.
CONTACT_S, MAX_LATER = 4.0, 3
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]


class Load(typing.NamedTuple):
    """Callers of a fleet, one of whom sends a request that crashes searchers.

    Attributes:
        vms: The number of VMs.
        connections: The connections that each searcher accepts.
        route: The route of the request that crashes searchers.
        every_s: The time in seconds between its attempts.
        others_per_s: The other requests per second, over all VMs.
        seconds: The duration of the load, in seconds.
        repeated: Whether a refused or failed caller tries once more at once.
    """

    vms: int = 9
    connections: int = 26
    route: routes.Route = READ
    every_s: float = 1.7
    others_per_s: float = 15.0
    seconds: float = 30.0
    repeated: bool = True


class Played(typing.NamedTuple):
    """The simulation, and the outcomes of both kinds of requests.

    Attributes:
        simulation: The simulation.
        poisoned: The outcomes of the request that crashes searchers, with the
            times of its attempts in seconds and their durations.
        others: The statuses of the other requests.
    """

    simulation: simulations.Simulation
    poisoned: list[tuple[float, float, int]]
    others: collections.Counter[int]


def create_fleet(load: Load, behaviours=ANSWERED) -> simulations.Simulation:
    """Returns simulated VMs with six searchers of each service."""
    configuration = build.configuration(QUERY, READ, ONCE)
    services = {
        name: service._replace(connections=load.connections)
        for name, service in configuration.services.items()
    }
    simulation = simulations.Simulation(
        configuration._replace(services=services), behaviours
    )
    for number in range(load.vms):
        node = simulation.add_node(number, "abc"[number % 3], load.vms)
        for service in (*SHARDS, "files"):
            for n in range(SEARCHERS):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    simulation.crashing.add(POISON)
    everyone = [node.me for node in simulation.nodes]
    for node in simulation.nodes:
        node.set_vms(everyone)
        simulation.run(node.crash_watch.run())
    return simulation


async def play(load: Load, seed: int = 1, events=()) -> Played:
    """Plays a load.

    Args:
        load: The load.
        seed: Seed of the times and VMs of the requests.
        events: Functions that change the simulation, with their times in
            seconds.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    simulation = create_fleet(load)
    begun_s = loop.time()
    for at_s, event in events:
        loop.call_at(begun_s + at_s, event, simulation)
    poisoned: list[tuple[float, float, int]] = []

    async def poison() -> None:
        while loop.time() < begun_s + load.seconds:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * load.every_s)
            for _ in range(1 + load.repeated):
                node = rng.choice(simulation.nodes)
                sent_s = loop.time()
                outcome = await node.run(
                    load.route, b"p-%d" % len(poisoned), 1.0, POISON
                )
                took_s = loop.time() - sent_s
                poisoned.append((sent_s, took_s, outcome.status))
                await asyncio.sleep(0.004)

    statuses: collections.Counter[int] = collections.Counter()

    async def other(number: int) -> None:
        target = b"/other-%d" % (number % 40)
        for turn in range(2):
            node = rng.choice(simulation.nodes)
            request_id = b"r-%d-%d" % (number, turn)
            route = READ if number % 2 else QUERY
            outcome = await node.run(route, request_id, 1.0, target)
            if outcome.status == 200:
                break
            await asyncio.sleep(0.05)
        statuses[outcome.status] += 1

    tasks = [asyncio.create_task(poison())]
    while loop.time() < begun_s + load.seconds:
        await asyncio.sleep(rng.expovariate(load.others_per_s))
        tasks.append(asyncio.create_task(other(len(tasks))))
    await asyncio.gather(*tasks)
    return Played(simulation, poisoned, statuses)


class CrashCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def later_sends(self, played):
        """Returns the sends that count: long after the third crash."""
        crashes = played.simulation.crashes
        self.assertGreaterEqual(len(crashes), 3)
        due_s = crashes[2][1] + CONTACT_S
        return [
            row
            for row in played.simulation.received_calls
            if row.request_id.startswith(b"p-") and row.received_s > due_s
        ]


class FleetTest(CrashCase):
    def check(self, load, seeds=range(3)):
        for seed in seeds:
            with self.subTest(seed=seed):
                played = virtual_time.run(play(load, seed))
                self.assertLessEqual(len(self.later_sends(played)), MAX_LATER)

    def test_crashing_request_comes_back_at_any_vm(self):
        self.check(Load(route=ONCE))

    def test_crashing_request_is_retried(self):
        self.check(Load(route=READ))

    def test_crashing_query_comes_back(self):
        self.check(Load(route=QUERY, every_s=3.0))

    def test_crashing_query_goes_through_owners(self):
        self.check(Load(route=QUERY, every_s=3.0, connections=8))

    def test_crashing_request_goes_through_other_vms(self):
        self.check(Load(route=READ, connections=8))

    def test_callers_of_a_quarantined_request_are_refused_at_once(self):
        played = virtual_time.run(play(Load(route=ONCE)))
        known_s = played.simulation.crashes[2][1] + 0.2
        refused = [row for row in played.poisoned if row[0] > known_s]
        self.assertGreater(len(refused), 20)
        self.assertEqual({row[2] for row in refused}, {503})
        self.assertLess(max(row[1] for row in refused), 0.001)

    def test_other_requests_are_not_shut_out(self):
        for route in (ONCE, READ, QUERY):
            for seed in range(3):
                with self.subTest(route=route.name, seed=seed):
                    load = Load(route=route, every_s=3.0, others_per_s=40.0)
                    played = virtual_time.run(play(load, seed))
                    for node in played.simulation.nodes:
                        quarantined = [
                            row
                            for row in node.crash_watch.table.rows.values()
                            if row.quarantines
                        ]
                        self.assertEqual(len(quarantined), 1)

    def test_crash_of_many_searchers_shuts_out_no_request(self):
        def crash_many(simulation):
            for service in (*SHARDS, "files"):
                for n in range(4):
                    simulation.crash(f"{service}-{n}")

        events = [(at_s, crash_many) for at_s in (3.0, 7.0, 11.0)]
        load = Load(every_s=1000.0, others_per_s=200.0, seconds=15.0)
        played = virtual_time.run(play(load, events=events))
        for node in played.simulation.nodes:
            rows = node.crash_watch.table.rows.values()
            self.assertFalse(any(row.quarantines for row in rows))

    def test_popular_query_is_not_shut_out_by_one_that_crashes_searchers(self):
        """All other queries are repeats of one another."""

        async def query():
            simulation = create_fleet(Load())
            loop = asyncio.get_running_loop()
            statuses = collections.Counter()

            async def popular(number):
                node = simulation.nodes[number % 9]
                request_id = b"r-%d" % number
                outcome = await node.run(QUERY, request_id, 1.0, b"/popular")
                statuses[outcome.status, loop.time() > 1008.0] += 1

            async def crash():
                for number in range(4):
                    node = simulation.nodes[number]
                    await node.run(QUERY, b"p-%d" % number, 1.0, POISON)

            tasks = []
            for number in range(1500):
                if number % 300 == 150:
                    tasks.append(asyncio.create_task(crash()))
                tasks.append(asyncio.create_task(popular(number)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            return simulation, statuses

        simulation, statuses = virtual_time.run(query())
        for node in simulation.nodes:
            rows = node.crash_watch.table.rows.values()
            self.assertEqual(sum(row.quarantines > 0 for row in rows), 1)
        self.assertEqual(statuses[503, True], 0)

    def test_crashes_of_a_query_over_many_shards_are_all_explained(self):
        table = crash_suspects.create_suspect_table()
        many = list(range(40))
        for attempt, crashed in (("a", many), ("b", [50])):
            table.record(crash_suspects.CrashReport(1, attempt, crashed), 10.0)
        self.assertTrue(table.judge(1, 10.1))
        for attempt, crashed in (("c", many[:5]), ("d", many[20:25])):
            table.record(crash_suspects.CrashReport(2, attempt, crashed), 11.0)
        self.assertFalse(table.judge(2, 11.1))

    def test_request_loses_few_searchers_before_it_waits_for_an_answer(self):
        async def query():
            simulation = create_fleet(Load())
            await simulation.nodes[0].run(QUERY, b"p-0", 1.0, POISON)
            first = len(simulation.crashes)
            await asyncio.sleep(0.1)
            await simulation.nodes[1].run(QUERY, b"p-1", 1.0, POISON)
            return first, len(simulation.crashes)

        first, both = virtual_time.run(query())
        # The first call of each shard, and two retries.
        self.assertLessEqual(first, len(SHARDS) + 2)
        # The repeat is tried at one searcher only.
        self.assertEqual(both, first + 1)

    def test_query_without_any_answer_is_sent_to_one_searcher_a_shard(self):
        async def query(connections):
            # Searchers crash so late that the calls count as late before.
            simulation = create_fleet(
                Load(connections=connections),
                [simulations.ScriptedCall("answer", 0.2)],
            )
            await simulation.nodes[0].run(QUERY, b"p-0", 1.0, POISON)
            await asyncio.sleep(1.0)
            return len(simulation.crashes)

        for connections in (26, 8):
            with self.subTest(connections=connections):
                crashes = virtual_time.run(query(connections))
                # The first call of each shard, and two retries.
                self.assertLessEqual(crashes, len(SHARDS) + 2)

    def test_query_that_crashed_a_searcher_by_chance_is_answered(self):
        async def query():
            simulation = create_fleet(Load())
            node = simulation.nodes[0]
            simulation.crashing.add(b"/bad-luck")
            await node.run(QUERY, b"r-0", 1.0, b"/bad-luck")
            await asyncio.sleep(0.1)
            simulation.crashing.discard(b"/bad-luck")
            outcome = await node.run(QUERY, b"r-1", 1.0, b"/bad-luck")
            await asyncio.sleep(0.1)
            return outcome, [
                row.crash_watch.is_suspect(
                    next(iter(node.crash_watch.table.rows))
                )
                for row in simulation.nodes
            ]

        outcome, suspected = virtual_time.run(query())
        self.assertEqual(outcome.kind, "answered")
        self.assertFalse(any(suspected))

    def test_vm_that_was_partitioned_or_starts_learns_of_a_quarantine(self):
        def cut(simulation):
            simulation.nodes[0].drops_messages = True

        def heal(simulation):
            simulation.nodes[0].drops_messages = False

        events = [(0.0, cut), (20.0, heal)]
        load = Load(route=ONCE, every_s=1.0, seconds=26.0)
        played = virtual_time.run(play(load, events=events))
        rows = played.simulation.nodes[0].crash_watch.table.rows.values()
        self.assertEqual([row.quarantines for row in rows], [1])

        async def start_one():
            simulation = create_fleet(load)
            # Each attempt crashes a searcher, if one of the service is up.
            for number in range(3):
                node = simulation.nodes[number]
                await node.run(ONCE, b"p-%d" % number, 1.0, POISON)
                await asyncio.sleep(simulations.RESTART_S + 0.1)
            node = simulation.add_node(9, "a", 10)
            for number in range(4):
                simulation.change_searcher(node, f"files-{number}", "live")
            node.set_vms([row.me for row in simulation.nodes])
            await asyncio.sleep(0.01)
            crashes = len(simulation.crashes)
            outcome = await node.run(ONCE, b"p-9", 1.0, POISON)
            return node, outcome, len(simulation.crashes) - crashes

        node, outcome, crashes = virtual_time.run(start_one())
        rows = node.crash_watch.table.rows.values()
        self.assertEqual([row.quarantines for row in rows], [1])
        self.assertEqual((outcome.status, crashes), (503, 0))

    def test_cut_that_refuses_connections_is_no_crash(self):
        async def query():
            simulation = create_fleet(Load())
            cut_nodes = simulation.nodes[:3]
            running = [
                asyncio.create_task(node.run(QUERY, b"r-%d" % n, 1.0, b"/x"))
                for n, node in enumerate(cut_nodes)
            ]
            await asyncio.sleep(0.01)
            simulation.cut("reset", cut_nodes)
            await asyncio.gather(*running)
            await asyncio.sleep(0.5)
            suspected = [
                len(row.crash_watch.table.rows) for row in simulation.nodes
            ]
            outcome = await simulation.nodes[5].run(QUERY, b"r-5", 1.0, b"/x")
            return suspected, outcome.status

        suspected, status = virtual_time.run(query())
        self.assertEqual(suspected, [0] * 9)
        self.assertEqual(status, 200)

    def test_large_fleet_is_told_through_the_vms_with_subscribers(self):
        async def tell():
            simulation = create_fleet(Load(vms=60, connections=200))
            relays = {
                vm.name: simulation.nodes_by_host[vm.host]
                for vm in simulation.nodes[0].crash_watch.direct_targets()
            }
            relays.pop("vm-0", None)
            for number, node in enumerate(simulation.nodes):
                source = list(relays.values())[number % len(relays)]
                if node.me.name not in relays:
                    source.subscribers.append(
                        source.link((node.me.host, simulations.PORT))
                    )
            simulation.sent_bytes.clear()
            for number in range(3):
                node = simulation.nodes[number * 7]
                await node.run(ONCE, b"p-%d" % number, 1.0, POISON)
                await asyncio.sleep(simulations.RESTART_S + 0.1)
            return simulation

        simulation = virtual_time.run(tell())
        for node in simulation.nodes:
            rows = node.crash_watch.table.rows.values()
            self.assertEqual([row.quarantines for row in rows], [1])
        self.assertLess(max(simulation.sent_bytes.values()), 10_000)


def hash_of(name: str) -> int:
    """Returns the hash of the start of a searcher."""
    return xxhash.xxh3_64_intdigest(name.encode())


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = crash_suspects.create_suspect_table()

    def crash(self, fingerprint, attempt, *crashed, at_s=10.0):
        report = crash_suspects.CrashReport(
            fingerprint, attempt, [hash_of(name) for name in crashed]
        )
        self.table.record(report, at_s)
        return self.table.judge(fingerprint, at_s)

    def test_three_crashes_in_two_attempts(self):
        self.assertFalse(self.crash(1, "a", "x"))
        self.assertFalse(self.crash(1, "b", "y"))
        self.assertTrue(self.crash(1, "c", "z"))
        self.assertGreater(self.table.release_in_s(1, 10.0), 0.0)

    def test_crashes_of_one_attempt_do_not_suffice(self):
        self.assertFalse(self.crash(1, "a", "w", "x", "y", "z"))

    def test_attempts_that_lose_the_same_searchers_count_once(self):
        for attempt in "abcd":
            self.assertFalse(self.crash(1, attempt, *"uvwxyz"))

    def test_answer_clears_a_request(self):
        self.crash(1, "a", "x", "y")
        self.assertTrue(self.table.clear(1, 11.0))
        self.assertFalse(self.crash(1, "b", "z", at_s=12.0))

    def test_crashes_that_another_request_explains(self):
        self.crash(1, "a", "v", "w")
        self.crash(2, "q", "v", "w")
        self.assertTrue(self.crash(1, "b", "x"))
        self.assertFalse(self.crash(2, "r", "x"))
        self.assertFalse(self.crash(2, "s", "y"))
        self.assertEqual(self.table.release_in_s(2, 10.0), 0.0)

    def test_requests_that_share_all_crashes_wait_for_more_evidence(self):
        self.crash(1, "a", "v", "w")
        self.crash(2, "q", "v", "w")
        for fingerprint, attempt in ((2, "r"), (1, "b")):
            report = crash_suspects.CrashReport(
                fingerprint, attempt, [hash_of("x")]
            )
            self.table.record(report, 10.0)
        self.assertFalse(self.table.judge(2, 10.1))
        self.assertFalse(self.table.judge(1, 10.1))
        self.assertTrue(self.crash(1, "c", "y"))
        self.assertEqual(self.table.release_in_s(2, 10.0), 0.0)

    def test_quarantine_lapses_and_doubles(self):
        for attempt, searcher in zip("abc", "xyz", strict=True):
            self.crash(1, attempt, searcher)
        end_s = 10.0 + crash_suspects.QUARANTINE_S
        self.assertGreater(self.table.release_in_s(1, end_s - 0.1), 0.0)
        self.assertEqual(self.table.release_in_s(1, end_s), 0.0)
        self.assertTrue(self.table.is_suspect(1))
        self.assertTrue(self.crash(1, "d", "w", at_s=end_s + 1.0))
        left_s = self.table.release_in_s(1, end_s + 1.0)
        self.assertEqual(left_s, 2 * crash_suspects.QUARANTINE_S)

    def test_evidence_lapses(self):
        self.crash(1, "a", "x", "y")
        later_s = 10.1 + crash_suspects.EVIDENCE_VALID_S
        self.assertFalse(self.crash(1, "b", "z", at_s=later_s))
        self.table.drop_outdated(later_s + crash_suspects.EVIDENCE_VALID_S + 1)
        self.assertEqual(self.table.rows, {})

    def test_memory_is_bounded_and_quarantines_are_kept(self):
        for attempt, searcher in zip("abc", "xyz", strict=True):
            self.crash(1, attempt, searcher)
        for number in range(5000):
            many = [f"s-{number}-{n}" for n in range(80)]
            self.crash(100 + number, f"r-{number}", *many)
        self.assertEqual(len(self.table.rows), crash_suspects.MAX_SUSPECTS)
        for row in self.table.rows.values():
            self.assertLessEqual(len(row.crashed), crash_suspects.MAX_CRASHES)
            self.assertLessEqual(len(row.attempts), crash_suspects.MAX_ATTEMPTS)
        self.assertGreater(self.table.release_in_s(1, 10.0), 0.0)

    def test_list_of_another_vm(self):
        for attempt, searcher in zip("abc", "xyz", strict=True):
            self.crash(1, attempt, searcher)
        other = crash_suspects.create_suspect_table()
        for suspect in self.table.suspects(30.0, 10):
            raw = msgspec.msgpack.encode(suspect)
            suspect = msgspec.msgpack.decode(raw, type=crash_suspects.Suspect)
            self.assertTrue(other.merge(suspect, 130.0))
        self.assertAlmostEqual(
            other.release_in_s(1, 130.0), self.table.release_in_s(1, 30.0), 2
        )

    def test_list_of_another_vm_does_not_revive_what_an_answer_refuted(self):
        self.crash(1, "a", "x", "y")
        outdated = self.table.suspects(10.5, 10)
        self.table.clear(1, 11.0)
        for suspect in outdated:
            suspect = suspect._replace(evidence_age_s=2.0)
            self.assertFalse(self.table.merge(suspect, 12.0))
        self.assertFalse(self.table.is_suspect(1))

    def test_answer_that_another_vm_saw_clears(self):
        other = crash_suspects.create_suspect_table()
        report = crash_suspects.CrashReport(
            1, "a", [hash_of("x"), hash_of("y")]
        )
        other.record(report, 10.0)
        self.crash(1, "a", "x", "y")
        self.table.clear(1, 11.0)
        for suspect in self.table.suspects(12.0, 10):
            other.merge(suspect, 12.0)
        self.assertFalse(other.is_suspect(1))


class FingerprintTest(unittest.TestCase):
    def fingerprint(self, target=b"/a", body=b"", **headers):
        rows = {
            "host": "h",
            "x-request-id": "r",
            "x-deadline-ms": "9",
            **headers,
        }
        encoded = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in rows.items()
        ]
        return calls.fingerprint_of(
            http_server.Request(b"POST", target, encoded, body, 0.0, 0.0, 0.0)
        )

    def test_repeats_have_the_same_fingerprint(self):
        again = self.fingerprint(**{"x-request-id": "s", "x-deadline-ms": "1"})
        self.assertEqual(self.fingerprint(), again)

    def test_other_requests_have_another_one(self):
        found = {
            self.fingerprint(),
            self.fingerprint(target=b"/b"),
            self.fingerprint(body=b"x"),
            self.fingerprint(host="i"),
            self.fingerprint(authorization="Bearer t"),
        }
        self.assertEqual(len(found), 5)
