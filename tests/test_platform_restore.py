"""Tests of a platform that comes back from a copy some seconds old.

Revisions go back and are given out again, and what was written since the copy
is gone until its writers write it again.
"""

import asyncio
import unittest

from fakes import objects
from fakes import shards
from laurelrock import errors
from laurelrock.core import registry
from laurelrock.gateways import platform_follower
from laurelrock.platform import store
from tests import gateway_builders as build
from tests import gateways

SINGLE = build.store_single()
ADDED = build.store_single(name="r-added", path_prefix="/added/")
VM = {
    "vm": "vm-9",
    "failure_domain": "a",
    "address": "10.0.0.9:1",
    "cores": 1.0,
}


def change(name="s-1", **fields):
    return registry.Change(name, build.searcher(name, **fields))


class RegistryTest(unittest.TestCase):
    """Entries of a copy are told from later ones by their number of writes."""

    def setUp(self):
        self.registry = registry.create_registry()
        self.registry.replace([change(seq=7), change("s-2", seq=3)], 0.0)

    def restore(self, *rows, now_s=10.0):
        return self.registry.replace(rows, now_s, restored=True)

    def live(self):
        return {
            name
            for name, row in self.registry.searchers.items()
            if row.state == "live"
        }

    def test_draining_searcher_stays_so(self):
        self.registry.apply([change(seq=9, state="draining")], 5.0)
        self.restore(change(seq=7), change("s-2", seq=3))
        self.assertEqual(self.live(), {"s-2"})

    def test_searcher_that_left_is_not_used_again(self):
        self.registry.apply([registry.Change("s-1", None, 9)], 5.0)
        self.assertEqual(self.restore(change(seq=8), change("s-2", seq=3)), [])
        self.assertEqual(self.live(), {"s-2"})

    def test_last_write_before_the_deletion_may_be_unknown(self):
        self.registry.apply([registry.Change("s-1", None)], 5.0)
        self.restore(change(seq=30), change("s-2", seq=3))
        self.assertEqual(self.live(), {"s-2"})
        self.assertTrue(self.registry.suspects)

    def test_later_write_shows_that_the_searcher_lives(self):
        self.registry.apply([registry.Change("s-1", None)], 5.0)
        self.restore(change(seq=30), change("s-2", seq=3))
        rows = [change(seq=31), change("s-2", seq=3)]
        self.assertEqual(self.registry.replace(rows, 11.0), rows[:1])
        self.assertEqual(self.live(), {"s-1", "s-2"})
        self.assertFalse(self.registry.suspects)

    def test_next_start_with_the_same_id_is_used(self):
        self.registry.apply([registry.Change("s-1", None, 9)], 5.0)
        self.restore(change(seq=1, started_ms=2))
        self.assertIn("s-1", self.live())

    def test_searcher_that_the_copy_lacks_is_kept_for_a_time(self):
        self.restore(change("s-2", seq=3), now_s=10.0)
        self.assertEqual(self.live(), {"s-1", "s-2"})
        self.registry.remove_expired(10.0 + registry.RETENTION_S)
        self.assertEqual(self.live(), {"s-2"})

    def test_entries_of_another_vm_are_checked_too(self):
        self.registry.apply([registry.Change("s-1", None, 9)], 5.0)
        self.registry.apply([change("s-2", seq=5, state="draining")], 5.0)
        rows = [change(seq=8), change("s-2", seq=3)]
        self.assertEqual(self.registry.apply_peer_changes(rows, True), [])
        self.assertEqual(self.live(), set())

    def test_heartbeat_alone_is_no_change(self):
        rows = [change(seq=8), change("s-2", seq=4)]
        self.assertEqual(self.registry.replace(rows, 1.0), [])

    def test_remembered_deletions_are_limited(self):
        for number in range(registry.MAX_GONE + 10):
            row = change(f"x-{number}", seq=1)
            self.registry.apply([row], 1.0)
            self.registry.apply([registry.Change(row.id, None)], 1.0)
        self.assertEqual(len(self.registry.gone), registry.MAX_GONE)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fake = objects.ObjectStore()
        port = gateways.free_ports(1)[0]
        runner = await objects.start(self.fake, gateways.HOST, port)
        self.addAsyncCleanup(runner.cleanup)
        self.store = store.open_store((gateways.HOST, port))
        self.addCleanup(self.store.close)
        self.fake.put("servers", "s-1", build.store_searcher())

    async def test_revision_that_exists_again_is_not_watched_from(self):
        saved = self.fake.copy()
        self.fake.put("servers", "s-2", build.store_searcher())
        found = await self.store.read_searchers()
        self.fake.restore(saved)
        # The new change gets the revision of the one that was lost.
        self.fake.put("servers", "s-3", build.store_searcher())
        self.assertEqual(self.fake.revision, found.revision)
        with self.assertRaises(errors.StoreEraError):
            await self.store.watch_searchers(found.revision, 0.05)
        again = await self.store.read_searchers()
        self.assertEqual([row.id for row in again.rows], ["s-1", "s-3"])

    async def test_watches_end_when_another_call_sees_the_era(self):
        found = await self.store.read_searchers()
        watch = asyncio.create_task(
            self.store.watch_searchers(found.revision, 20.0)
        )
        await asyncio.sleep(0.05)
        self.fake.restore(self.fake.copy())
        await self.store.read_vms()
        async with asyncio.timeout(1.0):
            with self.assertRaises(errors.StoreEraError):
                await watch

    async def test_kind_that_was_not_read_anew_is_not_watched(self):
        configuration = await self.store.read_configuration()
        self.fake.restore(self.fake.copy())
        await self.store.read_searchers()
        with self.assertRaises(errors.StoreEraError):
            await self.store.watch_configuration(configuration.revision, 0.05)

    async def test_list_whose_pages_span_two_eras(self):
        for number in range(objects.PAGE_SIZE * 2):
            self.fake.put("servers", f"t-{number:03}", build.store_searcher())
        await self.store.read_vms()
        list_page = self.fake.list_page

        def restore_after_first_page(kind, after):
            if not after and self.fake.era == 1:
                saved = self.fake.copy()
                asyncio.get_running_loop().call_soon(self.fake.restore, saved)
            return list_page(kind, after)

        self.fake.list_page = restore_after_first_page
        with self.assertRaises(errors.StoreEraError):
            await self.store.read_searchers()
        found = await self.store.read_searchers()
        self.assertEqual(len(found.rows), objects.PAGE_SIZE * 2 + 1)

    async def test_stale_answer_of_an_earlier_era_is_refused(self):
        self.fake.put("laurelrock-vms", "vm-9", VM)
        saved = self.fake.copy()
        await self.store.read_vms()
        self.fake.delete("laurelrock-vms", "vm-9")
        self.fake.restore(self.fake.copy())
        await self.store.read_searchers()
        self.fake.stale_copy = (saved, 1)
        with self.assertRaises(errors.StoreError):
            await self.store.read_vms()

    async def test_vm_is_not_removed_by_a_revision_of_an_earlier_era(self):
        self.fake.put("laurelrock-vms", "vm-9", VM)
        read = self.store.request

        async def restore_between(method, path, *rest):
            response = await read(method, path, *rest)
            if method == "GET" and path.endswith("vm-9"):
                self.fake.restore(self.fake.copy())
                await read("GET", "/api/objects/servers")
            return response

        self.store.request = restore_between
        self.assertFalse(await self.store.remove_vm("vm-9", "10.0.0.9"))
        self.assertIn("vm-9", self.fake.objects_by_kind["laurelrock-vms"])


class GatewayTest(gateways.GatewayCase):
    """A drill while callers send requests."""

    async def start_gateway(self, *rows):
        self.searchers = [
            await shards.start(f"s-{n}", records=b"file") for n in range(2)
        ]
        self.rows = [("files", searcher) for searcher in self.searchers]
        document = build.store_configuration(*(rows or (SINGLE,)))
        await self.start(document, self.rows)
        self.gateway.set_vm_count(1)

    def write(self, number, seq, **fields):
        self.add_searcher("files", self.searchers[number], seq=seq, **fields)

    async def single(self, target="/single/a"):
        return await self.ask(gateways.encode_request(target))

    def used(self):
        return {
            name
            for name, row in self.gateway.known.by_id.items()
            if row.searcher.state == "live"
        }

    async def read_anew(self):
        await self.until(
            lambda: (
                self.source.eras_read.get("servers") == self.store.era
                and self.source.eras_read.get("config") == self.store.era
            ),
            8.0,
        )

    async def test_configuration_never_goes_back(self):
        await self.start_gateway()
        saved = self.store.copy()
        document = build.store_configuration(SINGLE, ADDED, version=3)
        self.store.put("config", "main", document)
        await self.until(lambda: self.gateway.follower.version == 3)
        self.store.restore(saved)
        await self.read_anew()
        self.assertEqual(self.gateway.follower.version, 3)
        self.assertEqual((await self.single("/added/a")).status, 200)
        document = build.store_configuration(SINGLE, version=4)
        self.store.put("config", "main", document)
        await self.until(lambda: self.gateway.follower.version == 4, 3.0)
        self.assertEqual((await self.single("/added/a")).status, 404)

    async def test_two_drills_in_a_row_during_a_storm(self):
        await self.start_gateway()
        version = 2
        for _ in range(2):
            saved = self.store.copy()
            for _ in range(3):
                version += 1
                document = build.store_configuration(SINGLE, version=version)
                self.store.put("config", "main", document)
                await asyncio.sleep(0.05)
            await self.until(
                lambda expected=version: (
                    self.gateway.follower.version == expected
                )
            )
            self.store.restore(saved)
            await asyncio.sleep(0.2)
        await self.read_anew()
        self.assertEqual(self.gateway.follower.version, version)
        document = build.store_configuration(SINGLE, version=version + 1)
        self.store.put("config", "main", document)
        await self.until(
            lambda: self.gateway.follower.version == version + 1, 3.0
        )

    async def test_searcher_that_left_is_not_used_again(self):
        await self.start_gateway()
        self.write(1, 8)
        saved = self.store.copy()
        self.write(1, 9, state="draining")
        self.store.delete("servers", "s-1")
        await self.until(lambda: self.used() == {"s-0"})
        await self.searchers[1].stop()
        self.store.restore(saved)
        await self.read_anew()
        for _ in range(10):
            self.assertEqual(self.used(), {"s-0"})
            self.assertEqual((await self.single()).status, 200)
            await asyncio.sleep(0.05)

    async def test_living_searcher_is_used_again_after_a_heartbeat(self):
        await self.start_gateway()
        self.write(1, 8)
        saved = self.store.copy()
        self.store.delete("servers", "s-1")
        await self.until(lambda: self.used() == {"s-0"})
        self.store.restore(saved)
        await self.read_anew()
        self.assertEqual(self.used(), {"s-0"})
        # A heartbeat raises the number of writes, without any event.
        row = self.store.objects_by_kind["servers"]["s-1"]
        row["spec"] = {**row["spec"], "seq": 9}
        await self.until(lambda: self.used() == {"s-0", "s-1"})

    async def test_searcher_that_the_copy_lacks(self):
        await self.start_gateway()
        saved = self.store.copy()
        del saved.objects_by_kind["servers"]["s-1"]
        self.store.restore(saved)
        await self.read_anew()
        self.assertEqual(self.used(), {"s-0", "s-1"})
        await asyncio.sleep(registry.RETENTION_S + 0.5)
        self.assertEqual(self.used(), {"s-0"})

    async def test_vm_registers_itself_again(self):
        await self.start_gateway()
        await self.until(lambda: self.gateway.follower.registered)
        saved = self.store.copy()
        saved.objects_by_kind["laurelrock-vms"] = {"vm-9": {
            "meta": {"name": "vm-9", "revision": 1, "finalizers": []},
            "spec": VM,
        }}  # fmt: skip
        self.store.restore(saved)
        await self.until(
            lambda: "vm-1" in self.store.objects_by_kind["laurelrock-vms"],
            3 * platform_follower.VM_LIST_INTERVAL_S,
        )

    async def test_configuration_that_only_another_vm_holds(self):
        await self.start_gateway()
        saved = self.store.copy()
        document = build.store_configuration(SINGLE, ADDED, version=3)
        self.store.put("config", "main", document)
        await self.until(lambda: self.gateway.follower.version == 3)
        self.store.restore(saved)
        first = self.gateway
        ports = gateways.free_ports(5)
        options = first.deployment._replace(
            vm="vm-2",
            callers=(gateways.HOST, ports[0]),
            readiness=(gateways.HOST, ports[1]),
            peers=(gateways.HOST, ports[2]),
            seeds=(first.deployment.peers,),
            peer_links_port=ports[3],
        )
        second = await self.open(options, ports[4])
        await self.until(lambda: second.follower.version == 3, 3.0)
        self.assertEqual(first.follower.version, 3)
