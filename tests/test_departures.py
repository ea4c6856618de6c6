"""Tests of the detection and delisting of departed VMs."""

import asyncio
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from laurelrock.core import departures
from laurelrock.gateways import vm_removal
from tests import test_fleet_gateways

NAMES = tuple(f"vm-{n}" for n in range(12))


def unresponsive_since(since_s, checks=departures.MIN_FAILED_CHECKS):
    found = departures.DepartureDetector()
    for _ in range(checks):
        found.record_failure("vm-1", since_s)
    return found


class DeparturesTest(unittest.TestCase):
    def test_departed_after_a_long_time_without_replies(self):
        late_s = departures.DEPARTED_AFTER_S + 1.0
        for what, found, listed, now_s, gone in (
            (
                "unresponsive for long",
                unresponsive_since(0.0),
                9,
                late_s,
                ["vm-1"],
            ),
            (
                "unresponsive for a short time",
                unresponsive_since(0.0),
                9,
                60.0,
                [],
            ),
            ("few checks", unresponsive_since(0.0, 2), 9, late_s, []),
            (
                "half of the others unresponsive",
                unresponsive_since(0.0),
                3,
                late_s,
                [],
            ),
            ("only one other VM", unresponsive_since(0.0), 2, late_s, ["vm-1"]),
        ):
            with self.subTest(what):
                self.assertEqual(found.departed(listed, now_s), gone)

    def test_reply_resets_the_failed_checks(self):
        found = unresponsive_since(0.0)
        found.record_reply("vm-1")
        found.record_failure("vm-1", departures.DEPARTED_AFTER_S)
        self.assertEqual(
            found.departed(9, departures.DEPARTED_AFTER_S + 1.0), []
        )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.sets(strategies.sampled_from(NAMES), max_size=11)
    )
    def test_every_dead_vm_is_checked_by_a_live_one(self, dead):
        live = [name for name in NAMES if name not in dead]
        seen = set()
        for name in live:
            silent: set[str] = set()
            for _ in NAMES:
                asked = departures.peers_to_check(name, NAMES, silent)
                silent |= {row for row in asked if row in dead}
            seen |= silent
            self.assertNotIn(name, asked)
            # At most one live VM is checked, besides the dead ones before it.
            self.assertLessEqual(len(set(asked) - dead), 1)
        self.assertEqual(seen, dead)


class DepartingTest(test_fleet_gateways.FleetCase):
    async def test_departed_vm_is_delisted(self):
        await self.start()
        gone, *rest = self.gateways
        gone.peer_links.close()
        await self.end(gone)
        name = gone.deployment.vm
        for vm in rest:
            vm.vm_removal.departures.unresponsive.clear()
        self.patch_times()
        await self.check_all(rest, departures.MIN_FAILED_CHECKS)
        self.assertNotIn(name, self.store.objects_by_kind["laurelrock-vms"])
        await self.until(lambda: all(vm.known.vms == 3 for vm in rest), 12.0)
        self.assertIn("vm-removed", {row["event"] for row in self.log_events})

    async def test_live_vms_stay_listed(self):
        await self.start()
        self.patch_times()
        await self.check_all(self.gateways, departures.MIN_FAILED_CHECKS)
        self.assertEqual(len(self.store.objects_by_kind["laurelrock-vms"]), 4)

    async def test_delisted_live_vm_lists_itself_again(self):
        await self.start()
        vm = self.gateways[0]
        await self.until(lambda: vm.follower.registered)
        removed = await vm.source.remove_vm(
            "vm-0", test_fleet_gateways.HOSTS[0]
        )
        self.assertTrue(removed)
        await self.until(
            lambda: "vm-0" in self.store.objects_by_kind["laurelrock-vms"], 12.0
        )

    async def test_entry_with_another_address_is_not_removed(self):
        await self.start()
        removed = await self.gateways[0].source.remove_vm("vm-1", "127.0.0.99")
        self.assertFalse(removed)
        self.assertIn("vm-1", self.store.objects_by_kind["laurelrock-vms"])

    def patch_times(self):
        for module, name, value in (
            (departures, "DEPARTED_AFTER_S", 0.0),
            (vm_removal, "REPLY_TIMEOUT_S", 0.3),
        ):
            self.enterContext(unittest.mock.patch.object(module, name, value))

    async def check_all(self, vms, times):
        for _ in range(times):
            await asyncio.gather(*[vm.vm_removal.check() for vm in vms])
