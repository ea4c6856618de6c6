"""Tests of evacuations with gateways, a store and searchers on loopback."""

import asyncio
import unittest.mock

from fakes import objects
from fakes import shards
from laurelrock.gateways import state_sharing
from laurelrock.gateways import upstreams
from tests import gateway_builders as build
from tests import gateways
from tests import test_evacuations
from tests import test_fleet_gateways

KIND = "evacuations"
TARGET_S = test_evacuations.TARGET_S
EVACUATE_S = test_evacuations.EVACUATE_S


class SingleVmTest(gateways.GatewayCase):
    async def start_one(self, **fields):
        fields.setdefault("follows_evacuations", True)
        self.searcher = await shards.start("s-1", shards.healthy)
        await self.start(
            build.store_configuration(build.store_single()),
            [("files", self.searcher)],
            **fields,
        )

    async def status(self, number):
        answer = await self.ask(
            gateways.encode_request("/single/x", f"r-{number}")
        )
        return answer.status

    async def test_requests_stop_in_time_and_return(self):
        await self.start_one()
        self.assertEqual(await self.status(1), 200)
        self.store.put(KIND, "a", {})
        await asyncio.sleep(TARGET_S)
        before = len(self.searcher.requests)
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        self.assertEqual(await self.status(2), 503)
        self.assertLess(loop.time() - begun_s, 0.5)
        self.assertEqual(len(self.searcher.requests), before)
        row = self.log_events[-1]
        self.assertEqual(
            (row["event"], row["reason"]), ("request", upstreams.EVACUATED)
        )
        self.assertTrue(self.gateway.ready)
        self.store.delete(KIND, "a")
        await asyncio.sleep(TARGET_S)
        self.assertEqual(await self.status(3), 200)
        self.assertEqual(
            self.gateway.follower.evacuations.counts,
            {"applied": 1, "ended": 1, "refused": 1},
        )
        self.assertIn(
            b'laurelrock_evacuations_total{kind="applied"} 1',
            self.gateway.metrics.export(),
        )

    async def test_other_deployments_make_no_additional_call(self):
        await self.start_one(follows_evacuations=False)
        self.store.put(KIND, "a", {})
        await asyncio.sleep(TARGET_S)
        self.assertEqual(await self.status(1), 200)
        self.assertNotIn(KIND, {kind for _, kind in self.store.calls})
        self.assertEqual(self.source.client.limit, 4)

    async def test_vm_is_not_ready_before_it_knows_the_evacuations(self):
        with unittest.mock.patch.object(
            objects.ObjectStore, "list_page", fail_evacuations
        ):
            ports = await self.start_platform([])
            self.store.put(
                "config",
                "main",
                build.store_configuration(build.store_single()),
            )
            self.store.put(KIND, "b", {})
            options = build.options(
                *[(gateways.HOST, port) for port in ports[1:4]],
                *((gateways.HOST, ports[0]), ports[5]),
            )._replace(follows_evacuations=True)
            opened = await self.open(options, ports[4])
            self.address = options.callers
            await self.until(
                lambda: (
                    opened.follower.table and opened.follower.searchers_read
                ),
                15.0,
            )
            await asyncio.sleep(TARGET_S)
            self.assertFalse(opened.ready)
            self.assertEqual(await self.status(1), 503)
        await self.until(lambda: opened.ready, 3.0)
        self.assertEqual(opened.known.evacuated, {"b"})

    async def test_restarted_vm_learns_from_another_one_without_the_store(self):
        await self.start_one()
        self.store.put(KIND, "a", {})
        await self.until(
            lambda: self.gateway.known.evacuated == {"a"}, TARGET_S
        )
        first = self.gateway
        self.store.faults = objects.Faults(status=503)
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
        # It may have to follow the platform itself before it asks others.
        await self.until(lambda: second.ready, 8.0)
        self.assertEqual(second.known.evacuated, {"a"})
        before = len(self.searcher.requests)
        self.address = options.callers
        self.assertEqual(await self.status(9), 503)
        self.assertEqual(len(self.searcher.requests), before)

    async def test_slow_store_does_not_delay_an_evacuation_past_the_bound(self):
        await self.start_one()
        self.store.faults = objects.Faults(delay_s=1.0)
        for number, domains in enumerate(({"a"}, {"a", "b"}, {"b"})):
            await asyncio.sleep(0.7 * number)
            for name in ("a", "b"):
                if name in domains:
                    self.store.put(KIND, name, {})
                else:
                    self.store.delete(KIND, name)
            await self.until(
                lambda expected=domains: (
                    self.gateway.known.evacuated == expected
                ),
                EVACUATE_S,
            )

    async def test_copy_of_the_store_counts_once_it_was_read(self):
        await self.start_one()
        saved = self.store.copy()
        self.store.put(KIND, "a", {})
        await self.until(
            lambda: self.gateway.known.evacuated == {"a"}, TARGET_S
        )
        self.store.faults = objects.Faults(status=503)
        self.store.restore(saved)
        await asyncio.sleep(2)
        self.assertEqual(self.gateway.known.evacuated, {"a"})
        self.store.faults = objects.Faults()
        await self.until(
            lambda: self.gateway.known.evacuated == set(), EVACUATE_S
        )
        self.assertEqual(self.gateway.follower.evacuations.state.era, 2)


list_page = objects.ObjectStore.list_page


def fail_evacuations(store, kind, after):
    """Lists a page, but fails to list evacuations."""
    if kind == KIND:
        return objects.web.json_response({}, status=503)
    return list_page(store, kind, after)


class SharingTest(test_fleet_gateways.FleetCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name, value in (
            *(("MAX_DIRECT_VMS", 1), ("SOURCES", 1)),
            ("MIN_POLLING_S", 0.2),
        ):
            self.enterContext(
                unittest.mock.patch.object(state_sharing, name, value)
            )
        options = build.options

        def following(*arguments):
            return options(*arguments)._replace(follows_evacuations=True)

        self.enterContext(
            unittest.mock.patch.object(build, "options", following)
        )
        await self.start()
        await self.until(lambda: len(self.subscribers()) == 2, 10.0)

    def subscribers(self):
        return [vm for vm in self.gateways if not vm.follower.direct]

    async def until_evacuated(self, names, timeout_s, vms=()):
        await self.until(
            lambda: all(
                vm.known.evacuated == names for vm in vms or self.gateways
            ),
            timeout_s,
        )

    async def test_subscribers_learn_in_time_and_call_the_store_never(self):
        calls = [vm.source.calls for vm in self.subscribers()]
        for names in ({"d0"}, {"d0", "d1"}, {"d1"}, set()):
            for name in ("d0", "d1"):
                if name in names:
                    self.store.put(KIND, name, {})
                else:
                    self.store.delete(KIND, name)
            await self.until_evacuated(names, TARGET_S)
            self.assertTrue(all(vm.ready for vm in self.gateways))
        self.assertEqual(calls, [vm.source.calls for vm in self.subscribers()])

    async def test_query_is_refused_at_every_vm_after_the_last_domain(self):
        # All searchers of the fleet are in failure domain "a".
        self.store.put(KIND, "a", {})
        await self.until_evacuated({"a"}, TARGET_S)
        before = [len(searcher.requests) for _, searcher in self.rows]
        for number in range(4):
            answer = await self.ask_vm(number, f"r-{number}")
            self.assertEqual(answer.status, 503)
        after = [len(searcher.requests) for _, searcher in self.rows]
        self.assertEqual(before, after)
        self.assertFalse(any(vm.known.isolated for vm in self.gateways))

    async def test_vm_that_the_store_refuses_learns_from_others(self):
        vm = next(row for row in self.gateways if row.follower.direct)
        vm.source.host = "refused"
        self.store.refused_host = "refused"
        self.store.abandon_watches()
        await asyncio.sleep(3)
        self.store.put(KIND, "d1", {})
        await self.until_evacuated({"d1"}, EVACUATE_S)
