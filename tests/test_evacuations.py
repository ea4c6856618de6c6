"""Tests of evacuated failure domains, under load and during faults."""

import asyncio
import collections
import random
import typing
import unittest
import unittest.mock

from laurelrock import errors
from laurelrock.core import evacuations
from laurelrock.gateways import platform_follower
from laurelrock.gateways import upstreams
from laurelrock.gateways.places import evacuations as followed
from laurelrock.ports import directory
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import place_simulation
from tests import virtual_time

#: Time in seconds after the store's confirmation from which no request may
#: reach an evacuated searcher, as the platform sets it, and the project's own
#: target while the store is stable.
EVACUATE_S = 5.0
TARGET_S = 1.0
SHARDS = place_simulation.SHARDS
SINGLE, SAVE = place_simulation.SINGLE, place_simulation.SAVE
ANSWERED = place_simulation.ANSWERED
DOMAINS = ("a", "b", "c")
ME = directory.VmEntry(
    vm="vm-1", failure_domain="a", address="10.0.0.1:8082", cores=1.0
)


class StateTest(unittest.TestCase):
    """An old state must not replace a newer one."""

    def test_lower_revision_is_ignored(self):
        present = evacuations.State(1, 9, ("a",))
        found = evacuations.State(1, 8)
        self.assertIsNone(evacuations.advance(present, found))

    def test_later_era_with_a_lower_revision_is_applied(self):
        present = evacuations.State(1, 9, ("a",))
        found = evacuations.State(2, 3, ("b",))
        self.assertEqual(
            evacuations.advance(present, found),
            evacuations.Transition(found, ("b",), ("a",)),
        )

    def test_earlier_era_is_ignored(self):
        present = evacuations.State(2, 3, ("a",))
        self.assertIsNone(
            evacuations.advance(present, evacuations.State(1, 900))
        )

    def test_last_of_several_changes_counts(self):
        state = evacuations.apply_changes(
            evacuations.State(1, 3, ("a",)),
            [("a", False), ("b", True), ("a", True), ("b", False)],
            7,
        )
        self.assertEqual(state, evacuations.State(1, 7, ("a",)))


class Source:
    """Store in memory with evacuations; each call may be made to fail.

    Attributes:
        state: The present state.
        changes: Revision, failure domain and whether it is evacuated, for each
            change.
        fault: "down", "lost" (a watch gets no response) or empty.
        history_lost: Whether watches must begin anew.
    """

    def __init__(self):
        self.state = evacuations.State(1, 1)
        self.changes = []
        self.fault = ""
        self.history_lost = False
        self.changed = asyncio.Event()
        self.calls = 0

    def set(self, *failure_domains, era=None):
        before = set(self.state.failure_domains)
        self.state = evacuations.create_state(
            era or self.state.era, self.state.revision + 1, failure_domains
        )
        for name in sorted(before.symmetric_difference(failure_domains)):
            row = (self.state.revision, name, name in failure_domains)
            self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_evacuations(self):
        self.calls += 1
        await asyncio.sleep(0.01)
        if self.fault == "down":
            raise errors.StoreError("down")
        rows = [(name, True) for name in self.state.failure_domains]
        return directory.EvacuationEntries(
            rows, self.state.revision, self.state.era
        )

    async def watch_evacuations(self, revision, wait_s):
        self.calls += 1
        era = self.state.era
        try:
            async with asyncio.timeout(wait_s):
                if self.state.revision <= revision:
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.fault:
            await asyncio.sleep(1.5)
            raise errors.StoreError("timeout")
        if self.state.era != era:
            raise errors.StoreEraError("restored")
        if self.history_lost:
            self.history_lost = False
            raise errors.StoreHistoryError("lost")
        rows = [row[1:] for row in self.changes if row[0] > revision]
        return directory.EvacuationEntries(rows, self.state.revision)


class PollTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.enterContext(gateways.capture_log_events(self.events))

    def play(self, script):
        """Runs a script with a follower whose poll of evacuations runs."""

        async def run():
            source = Source()
            known = upstreams.create_upstreams("a")
            follower = platform_follower.PlatformFollower(
                *(source, ME, known, *[lambda _: None] * 3), True
            )
            poll = asyncio.create_task(follower.poll_loops()[2]())
            await script(source, follower)
            poll.cancel()

        virtual_time.run(run())

    def test_poll_exists_only_where_evacuations_are_followed(self):
        async def run():
            known = upstreams.create_upstreams("a")
            follower = platform_follower.PlatformFollower(
                Source(), ME, known, *[lambda _: None] * 3
            )
            self.assertEqual(len(follower.poll_loops()), 2)
            self.assertTrue(follower.evacuations.known)
            self.assertFalse(follower.evacuations.is_stale())
            self.assertEqual(known.evacuated, frozenset())

        virtual_time.run(run())

    def test_all_searchers_are_excluded_until_the_first_read(self):
        async def script(source, follower):
            source.fault = "down"
            await asyncio.sleep(3)
            self.assertFalse(follower.evacuations.known)
            self.assertIsNone(follower.known.evacuated)
            source.fault = ""
            await asyncio.sleep(TARGET_S)
            self.assertTrue(follower.evacuations.known)

        self.play(script)

    def test_change_is_applied_in_time(self):
        async def script(source, follower):
            await asyncio.sleep(2.7)
            source.set("b")
            await asyncio.sleep(TARGET_S)
            self.assertEqual(follower.known.evacuated, {"b"})
            source.set("b", "c")
            await asyncio.sleep(TARGET_S)
            self.assertEqual(follower.known.evacuated, {"b", "c"})
            source.set()
            await asyncio.sleep(TARGET_S)
            self.assertEqual(follower.known.evacuated, set())

        self.play(script)
        names = [row["event"] for row in self.events]
        self.assertEqual(names.count("evacuation-applied"), 2)
        self.assertEqual(names.count("evacuation-ended"), 2)
        row = next(r for r in self.events if r["event"] == "evacuation-applied")
        self.assertEqual(row["failure_domain"], "b")
        self.assertEqual((row["era"], row["revision"]), (1, 2))

    def test_state_stays_in_force_while_the_store_is_down(self):
        async def script(source, follower):
            source.set("b")
            await asyncio.sleep(TARGET_S)
            source.fault = "down"
            source.set()
            await asyncio.sleep(60)
            self.assertEqual(follower.known.evacuated, {"b"})
            self.assertTrue(follower.evacuations.is_stale())
            source.fault = ""
            await asyncio.sleep(EVACUATE_S)
            self.assertEqual(follower.known.evacuated, set())

        self.play(script)

    def test_lost_response_delays_an_evacuation_by_less_than_the_bound(self):
        # The longest pauses that the jitter allows.
        with unittest.mock.patch.object(random, "random", return_value=1.0):
            for tenths in range(14):

                async def script(source, follower, begin_s=tenths / 10):
                    await asyncio.sleep(1.0 + begin_s)
                    source.fault = "lost"
                    source.set("b")
                    asyncio.get_running_loop().call_later(
                        1.6, setattr, source, "fault", ""
                    )
                    await asyncio.sleep(EVACUATE_S)
                    self.assertEqual(follower.known.evacuated, {"b"})

                with self.subTest(tenths=tenths):
                    self.play(script)

    def test_lost_history_and_a_new_era_keep_the_state_until_the_next_read(
        self,
    ):
        async def script(source, follower):
            source.set("b")
            await asyncio.sleep(TARGET_S)
            source.history_lost = True
            for _ in range(200):
                await asyncio.sleep(0.01)
                self.assertEqual(follower.known.evacuated, {"b"})
            source.fault = "down"
            source.set(era=2)
            await asyncio.sleep(20)
            self.assertEqual(follower.known.evacuated, {"b"})
            source.fault = ""
            await asyncio.sleep(EVACUATE_S)
            self.assertEqual(follower.known.evacuated, set())

        self.play(script)

    def test_flapping_ends_in_the_last_state(self):
        async def script(source, follower):
            rng = random.Random(1)
            for _ in range(200):
                source.set(*rng.sample(DOMAINS, rng.randrange(3)))
                await asyncio.sleep(rng.random() / 5)
            await asyncio.sleep(TARGET_S)
            self.assertEqual(
                follower.known.evacuated, set(source.state.failure_domains)
            )

        self.play(script)

    def test_state_of_another_vm_is_not_undone_by_an_older_poll(self):
        async def script(source, follower):
            await asyncio.sleep(0.5)
            newer = evacuations.State(1, 50, ("c",))
            follower.evacuations.offer(newer)
            source.set("a")
            await asyncio.sleep(3)
            self.assertEqual(follower.known.evacuated, {"c"})

        self.play(script)

    def test_store_is_read_if_no_other_vm_tells(self):
        # The source may run a version that doesn't know evacuations.
        async def run():
            source = Source()
            source.set("b")
            known = upstreams.create_upstreams("a")
            follower = platform_follower.PlatformFollower(
                *(source, ME, known, *[lambda _: None] * 3), True
            )
            task = asyncio.create_task(follower.read_unconfirmed_evacuations())
            await asyncio.sleep(2)
            self.assertEqual(known.evacuated, {"b"})
            calls = source.calls
            for _ in range(100):
                follower.evacuations.confirm()
                await asyncio.sleep(0.4)
            self.assertEqual(source.calls, calls)
            task.cancel()

        virtual_time.run(run())

    def test_hook_is_called_before_searchers_are_called_again(self):
        async def script(source, follower):
            source.set("a", "b")
            await asyncio.sleep(TARGET_S)
            seen = []
            follower.evacuations.on_evacuation_ended = lambda name: seen.append(
                (name, follower.known.evacuated)
            )
            source.set("b")
            await asyncio.sleep(TARGET_S)
            self.assertEqual(seen, [("a", {"a", "b"})])
            self.assertEqual(follower.known.evacuated, {"b"})

        self.play(script)


class Step(typing.NamedTuple):
    """A change of the evacuations, which VMs learn one after another.

    Attributes:
        at_s: Time from the start of the load, in seconds.
        failure_domains: The evacuated failure domains from then on.
    """

    at_s: float
    failure_domains: tuple[str, ...]


class Played(typing.NamedTuple):
    """A load, with the changes that each VM learned, by its IP address."""

    simulation: simulations.Simulation
    ended: list[place_simulation.Ended]
    contacts: list[place_simulation.Contact]
    learned: dict[str, list[Step]]


async def play(steps, behaviours, connections=26, seed=1):
    """Plays a load while failure domains are evacuated.

    Each VM learns a change at a random time within the target, so that entry VM
    and owner disagree.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    simulation = place_simulation.create(DOMAINS, behaviours, connections)
    learned = collections.defaultdict(list)
    for node in simulation.nodes:
        state = followed.create_evacuations(node.known, True)
        state.offer(evacuations.State(1, 0))
        for revision, step in enumerate(steps, 1):
            at_s = begun_s + step.at_s + rng.random() * TARGET_S
            learned[node.me.host].append(step._replace(at_s=at_s))
            found = evacuations.State(1, revision, step.failure_domains)
            loop.call_at(at_s, state.offer, found)
    routes = (place_simulation.QUERY, SINGLE, SAVE)
    ended = await place_simulation.play(
        *(simulation, rng, 10.0),
        lambda number: (rng.choices(routes, (4, 2, 1))[0], b"r-%d" % number),
    )
    contacts = list(place_simulation.Client.contacts)
    return Played(simulation, ended, contacts, learned)


class LoadTest(unittest.TestCase):
    """No VM contacts a searcher after it learned of its evacuation."""

    STEPS = (
        Step(1.0, ("a",)),
        Step(3.0, ("a", "b")),
        Step(5.0, DOMAINS),
        Step(7.0, ()),
    )

    def setUp(self):
        self.events = []
        self.enterContext(gateways.capture_log_events(self.events))

    def play(self, *arguments):
        """Plays a load and checks what holds in each."""
        self.events.clear()
        played = virtual_time.run(play(*arguments))
        for row in played.contacts:
            evacuated = ()
            for step in played.learned[row.host]:
                if row.at_s > step.at_s:
                    evacuated = step.failure_domains
            domain = played.simulation.failure_domains[row.searcher]
            self.assertNotIn(domain, evacuated, row)
        self.assertNotIn("isolated", {row["event"] for row in self.events})
        return played.ended

    def test_domains_one_after_the_other_and_the_last_one(self):
        for connections in place_simulation.CONNECTIONS:
            for seed in range(4):
                with self.subTest(connections=connections, seed=seed):
                    faults = place_simulation.FAULTS
                    ended = self.play(self.STEPS, faults, connections, seed)
                    self.check_last(ended)

    def check_last(self, ended):
        gone = [row for row in ended if 6.0 < row.sent_s < 7.0]
        back = [row for row in ended if row.sent_s > 8.0]
        self.assertTrue(gone and back)
        for row in gone:
            self.assertEqual(row.outcome.kind, "refused")
            self.assertEqual(row.outcome.status, 503)
            self.assertEqual(row.outcome.reason, upstreams.EVACUATED)
            self.assertLess(row.seconds, 0.01)
            self.assertEqual(row.outcome.attempts, 0)
        for row in back:
            self.assertNotEqual(row.outcome.reason, upstreams.EVACUATED)

    def test_healthy_searchers_elsewhere_serve_everything(self):
        steps = [Step(1.0, ("a",)), Step(3.0, ("a", "b")), Step(5.0, ())]
        for connections in place_simulation.CONNECTIONS:
            for row in self.play(steps, ANSWERED, connections):
                self.assertEqual(row.outcome.kind, "answered", row)

    def test_flapping_domain(self):
        steps = [
            Step(1.0 + n * 1.1, ("b",) if n % 2 == 0 else ()) for n in range(8)
        ]
        for row in self.play(steps, place_simulation.FAULTS):
            self.assertNotEqual(row.outcome.reason, upstreams.EVACUATED)


class NodeCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(gateways.capture_log_events([]))

    def create(self, behaviours, searchers):
        """Returns a simulated VM, given failure domains by searcher."""
        simulation = simulations.Simulation(
            build.configuration(place_simulation.QUERY, SINGLE, SAVE),
            behaviours,
        )
        node = simulation.add_node(1, "a", 1)
        simulation.failure_domains = searchers
        for name in searchers:
            simulation.change_searcher(node, name, "live")
        return simulation, node


class CallTest(NodeCase):
    def test_waiting_call_moves_and_counts_no_attempt(self):
        async def run():
            loop = asyncio.get_running_loop()
            simulation, node = self.create(
                [
                    simulations.ScriptedCall("queued", 0.5),
                    simulations.ScriptedCall("answer", 0.02),
                ],
                {"files-0": "a", "files-1": "b"},
            )
            loop.call_later(0.1, node.known.evacuate, frozenset({"a"}))
            begun_s = loop.time()
            outcome = await node.run(SAVE._replace(attempts=1), b"r", 1.0)
            self.assertEqual(outcome.kind, "answered")
            self.assertLess(loop.time() - begun_s, 0.2)
            self.assertEqual(
                [row.searcher for row in simulation.received_calls], ["files-1"]
            )

        virtual_time.run(run())

    def test_waiting_call_without_another_searcher_is_refused_at_once(self):
        async def run():
            loop = asyncio.get_running_loop()
            simulation, node = self.create(
                [simulations.ScriptedCall("queued", 0.5)], {"files-0": "a"}
            )
            loop.call_later(0.1, node.known.evacuate, frozenset({"a"}))
            begun_s = loop.time()
            outcome = await node.run(SINGLE, b"r", 1.0)
            self.assertEqual((outcome.kind, outcome.status), ("refused", 503))
            self.assertEqual(outcome.reason, upstreams.EVACUATED)
            self.assertLess(loop.time() - begun_s, 0.15)
            self.assertEqual(simulation.received_calls, [])

        virtual_time.run(run())

    def test_call_in_flight_completes(self):
        async def run():
            loop = asyncio.get_running_loop()
            _, node = self.create(
                [simulations.ScriptedCall("answer", 0.3)], {"files-0": "a"}
            )
            loop.call_later(0.1, node.known.evacuate, frozenset({"a"}))
            outcome = await node.run(SINGLE, b"r", 1.0)
            self.assertEqual(outcome.kind, "answered")

        virtual_time.run(run())

    def test_coverage_names_the_evacuated_shards(self):
        async def run():
            searchers = {f"{name}-0": "a" for name in SHARDS[:7]}
            _, node = self.create(
                ANSWERED,
                {**searchers, "shard-7-0": "b"},
            )
            node.known.evacuate(frozenset({"b"}))
            outcome = await node.run(place_simulation.QUERY, b"r", 1.0)
            self.assertEqual(outcome.kind, "partial")
            self.assertEqual(outcome.missing, ("shard-7: evacuated",))

        virtual_time.run(run())

    def test_searcher_that_appears_in_an_evacuated_domain_gets_no_calls(self):
        async def run():
            simulation, node = self.create(ANSWERED, {"files-0": "a"})
            node.known.evacuate(frozenset({"b"}))
            simulation.failure_domains["files-1"] = "b"
            simulation.change_searcher(node, "files-1", "live")
            simulation.change_searcher(node, "files-0", None)
            outcome = await node.run(SINGLE, b"r", 1.0)
            self.assertEqual(outcome.reason, upstreams.EVACUATED)
            self.assertEqual(simulation.received_calls, [])

        virtual_time.run(run())

    def test_evacuation_is_no_partition(self):
        async def run():
            now_s = asyncio.get_running_loop().time()
            searchers = {f"{name}-0": "b" for name in SHARDS}
            _, node = self.create(ANSWERED, searchers)
            for upstream in node.known.by_id.values():
                upstream.replica.record_no_response(now_s)
                upstream.replica.record_no_response(now_s)
            self.assertTrue(node.known.remote_domains_silent(now_s + 1))
            node.known.evacuate(frozenset({"b"}))
            self.assertFalse(node.known.remote_domains_silent(now_s + 1))
            self.assertTrue(all(map(node.known.connected, SHARDS)))

        virtual_time.run(run())

    def test_silent_calls_and_lost_ones_there_say_nothing(self):
        # Neither an isolation nor a crash, which would be looked into by calls.
        async def run():
            _, node = self.create(
                [simulations.ScriptedCall("silent", 0.0)], {"files-0": "a"}
            )
            upstream = node.known.by_id["files-0"]
            asking = asyncio.create_task(node.run(SINGLE, b"r", 3.0))
            await asyncio.sleep(0.9)
            self.assertEqual(node.isolation_detector.evidence().silent, 1)
            node.known.evacuate(frozenset({"a"}))
            self.assertEqual(node.isolation_detector.evidence().silent, 0)
            node.simulation.down.add("files-0")
            self.assertFalse(await node.crash_watch.has_crashed(upstream))
            await asking
            now_s = asyncio.get_running_loop().time()
            upstream.replica.record_no_response(now_s)
            self.assertEqual(node.isolation_detector.evidence().silent, 0)

        virtual_time.run(run())

    def test_vm_without_evacuations_declines_groups(self):
        async def run():
            _, node = self.create(ANSWERED, {"files-0": "a"})
            node.known.evacuate(None)
            self.assertEqual(node.groups.owned.decline_reason(), "isolated")
            node.known.evacuate(frozenset())
            self.assertIsNone(node.groups.owned.decline_reason())

        virtual_time.run(run())
