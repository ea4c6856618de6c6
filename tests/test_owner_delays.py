"""Tests of owners that are choked, in virtual time."""

import asyncio
import collections
import itertools
import unittest
import unittest.mock

from laurelrock.core import owner_delays
from laurelrock.gateways import owner_selection
from tests import gateways
from tests import load_builders as load
from tests import virtual_time

LATE_S = 0.025


class OwnerDelaysTest(unittest.TestCase):
    def setUp(self):
        self.delays = owner_delays.create_owner_delays()
        for n in range(50):
            self.delays.record("other", 0.002, n / 100, 0.5)

    def test_two_slow_replies_choke_an_owner_for_a_short_time(self):
        self.delays.record("vm", LATE_S, 1.0, 0.5)
        self.assertTrue(self.delays.record("vm", LATE_S, 1.2, 0.5))
        self.assertTrue(self.delays.is_choked("vm", 1.3))
        self.assertFalse(
            self.delays.is_choked("vm", 1.21 + owner_delays.CHOKED_S)
        )

    def test_one_slow_reply_or_old_ones_change_nothing(self):
        # Guards against owners that change for a short pause.
        self.delays.record("vm", LATE_S, 1.0, 0.5)
        self.delays.record("vm", 0.002, 1.1, 0.5)
        self.delays.record("vm", LATE_S, 1.2, 0.5)
        late_s = 1.2 + owner_delays.REPLY_VALID_S
        self.delays.record("vm", LATE_S, late_s, 0.5)
        self.assertFalse(self.delays.is_choked("vm", late_s))

    def test_late_requester_blames_no_owner(self):
        # Guards against a VM that is late itself and avoids all owners.
        for n in range(200):
            self.delays.record(f"vm-{n % 7}", LATE_S, 1.0 + n / 50, 0.5)
        for n in range(7):
            self.assertFalse(self.delays.is_choked(f"vm-{n}", 5.0))


class ChokedOwnerTest(unittest.TestCase):
    """An owner handles messages late; five queries per second need it."""

    def setUp(self):
        self.enterContext(
            unittest.mock.patch.object(
                owner_selection.random, "random", lambda: 0.5
            )
        )
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.capture_log_events(self.lines))

    def play(self, late_s):
        async def run():
            simulation = load.owned_fleet([load.query_route(load.LARGE)])
            requester = simulation.nodes[0]
            route = simulation.configuration.routes[0]
            _, remote = requester.groups.split_shards(route)
            first = requester.groups.selection.owner_of(remote[0])
            owner = simulation.nodes_by_host[first.host]
            handle = owner.handle_message
            loop = asyncio.get_running_loop()
            choked = True

            def handle_late(link, message):
                delay_s = late_s if choked else 0.0
                loop.call_later(delay_s, handle, link, message)

            owner.handle_message = handle_late
            simulation.nodes = [requester]
            rows = [load.Arrival(n / 5, load.LARGE) for n in range(20)]
            during = await load.play_fleet(simulation, rows)
            served = owner.groups.counts["served"]
            choked = False
            await asyncio.sleep(1.0)
            after = await load.play_fleet(simulation, rows)
            return during, after, served, owner.groups.counts["served"]

        return virtual_time.run(run())

    def test_choked_owner_is_asked_after_others_and_returns(self):
        during, after, served, served_after = self.play(LATE_S)
        self.assertEqual(
            {row.outcome.kind for row in (*during, *after)}, {"answered"}
        )
        # It is tried again every 0.25 to 0.75 s, twice.
        self.assertLess(served, len(during))
        self.assertGreaterEqual(served_after - served, len(after))
        quick = [
            row for row in during if row.took_s < load.LARGE.work_s + LATE_S
        ]
        self.assertGreaterEqual(len(quick), len(during) / 3)
        events = {row["event"] for row in self.lines}
        self.assertIn("owner-choked", events)

    def test_nothing_changes_if_no_owner_is_late(self):
        during, _, served, _ = self.play(0.0)
        self.assertGreaterEqual(served, len(during))
        events = {row["event"] for row in self.lines}
        self.assertNotIn("owner-choked", events)


class SlowRoundTripTest(unittest.TestCase):
    """Messages between VMs take 12 ms each way; two shards respond late."""

    def play(self, kind):
        async def run():
            simulation = load.owned_fleet([load.query_route(kind)])
            simulation.delays = itertools.repeat(0.012)
            for name in (load.SHARDS[0], load.SHARDS[-1]):
                for n in range(load.SEARCHERS):
                    simulation.slots.factors[f"{name}-{n}"] = 30.0
            return await load.play_fleet(simulation, [load.Arrival(0.0, kind)])

        return virtual_time.run(run())[0]

    def test_parts_of_owners_arrive_before_the_partial_response(self):
        # Guards against results that arrive a round trip after they are due:
        # the query then waits for a quarter of the objective, and is late.
        for kind in (load.LARGE, load.SMALL):
            with self.subTest(kind.name):
                result = self.play(kind)
                self.assertEqual(result.outcome.kind, "partial")
                self.assertTrue(result.in_time, result.took_s)
