"""Tests single requests in a fleet where only some VMs call the searchers."""

import asyncio
import unittest.mock

from fakes import shards
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import shard_groups
from tests import builders
from tests import gateway_builders as build
from tests import gateways

HOSTS = [builders.vm_address(10 + n) for n in range(4)]
SAVE = build.store_single(
    name="r-save", path_prefix="/save/", type="non_idempotent"
)


def document():
    """Returns a configuration whose searchers accept few connections."""
    found = build.store_configuration(build.store_single(), SAVE)
    for row in found["services"]:
        row["max_connections"] = 4
    return found


class SinglesCase(gateways.GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The timeout is longer than a message and its reply take on a loaded
        # machine.
        self.enterContext(
            unittest.mock.patch.object(shard_groups, "ACCEPT_TIMEOUT_S", 0.5)
        )

    async def start(self, script=shards.healthy, count=2):
        self.searchers = [
            await shards.start(f"s-{n}", script, b"found") for n in range(count)
        ]
        rows = [("files", searcher) for searcher in self.searchers]
        await self.start_fleet(document(), rows, HOSTS)

    async def ask_vm(self, vm, request_id="r-1", path="/single/a", **fields):
        fields.setdefault("deadline_ms", 4000)
        self.address = vm.deployment.callers
        return await self.ask(
            gateways.encode_request(path, request_id, **fields)
        )

    def owners_of(self, vm):
        """Returns the gateways that a gateway asks, in order of preference."""
        rows = vm.groups.assignment.owners_to_ask("files")
        by_host = {row.deployment.address: row for row in self.gateways}
        return [by_host[row.host] for row in rows]

    def requester(self):
        """Returns a gateway that doesn't call the searchers itself."""
        return next(vm for vm in self.gateways if self.owners_of(vm))

    def seen(self):
        return sum(len(row.requests) for row in self.searchers)


class SinglesTest(SinglesCase):
    async def test_few_vms_open_connections(self):
        await self.start()
        for number, vm in enumerate(self.gateways):
            answer = await self.ask_vm(vm, f"r-{number}")
            self.assertEqual((answer.status, answer.body), (200, b"found"))
            self.assertIn("x-server-stamp", answer.headers)
        for searcher in self.searchers:
            callers = sum(
                1
                for vm in self.gateways
                if vm.known.by_id[searcher.name].client.opened
            )
            self.assertLessEqual(callers, 2)
            self.assertLessEqual(searcher.connections, 4)

    async def test_error_response_is_forwarded(self):
        def missing(searcher, request):
            stamp = f"X-Server-Stamp: {searcher.name}"
            body = shards.encode_response(
                request, "404 Not Found", b"none", stamp
            )
            return shards.ScriptedResponse(((0, body),))

        await self.start(missing)
        answer = await self.ask_vm(self.requester())
        self.assertEqual((answer.status, answer.body), (404, b"none"))
        self.assertIn("x-server-stamp", answer.headers)
        self.assertEqual(self.seen(), 1)

    async def test_saturated_searchers_lead_to_a_refusal(self):
        def full(searcher, request):
            note = "X-Not-Executed: 1"
            body = shards.encode_response(request, "503 Unavailable", b"", note)
            return shards.ScriptedResponse(((0, body),))

        await self.start(full)
        answer = await self.ask_vm(self.requester(), path="/save/a")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    async def test_service_without_searchers_is_refused_without_messages(self):
        # All VMs know the searchers: asking other VMs costs six messages for
        # each request, and 144 VMs got 60 such requests a second.
        await self.start(count=0)
        for vm in self.gateways:
            answer = await self.ask_vm(vm)
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
        self.assertEqual(
            [vm.groups.counts["asked"] for vm in self.gateways],
            [0] * len(self.gateways),
        )

    async def test_body_and_method_reach_the_searcher(self):
        await self.start()
        await self.ask_vm(self.requester(), method="POST", body=b"some body")
        seen = [row for one in self.searchers for row in one.requests]
        self.assertEqual(
            [(row.method, row.target, row.body) for row in seen],
            [("POST", "/single/a", b"some body")],
        )

    async def test_unresponsive_vm_is_skipped(self):
        await self.start()
        requester = self.requester()
        unresponsive = self.owners_of(requester)[0]
        unresponsive.peer_links.handle = lambda link, message: None
        answer = await self.ask_vm(requester, path="/save/a")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.seen(), 1)

    async def test_vm_that_reads_a_request_late_calls_no_searcher(self):
        await self.start()
        requester = self.requester()
        late = self.owners_of(requester)[0]
        handle, held = late.peer_links.handle, []
        late.peer_links.handle = lambda *row: held.append(row)
        answer = await self.ask_vm(requester, path="/save/a")
        self.assertEqual(answer.status, 200)
        for link, message in held:
            handle(link, message)
        await asyncio.sleep(0.1)
        self.assertEqual(self.seen(), 1)

    async def test_stopping_vm_declines(self):
        await self.start()
        requester = self.requester()
        self.owners_of(requester)[0].groups.owned.stopping = True
        answer = await self.ask_vm(requester, path="/save/a")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.seen(), 1)

    async def test_stopping_vm_that_reaches_no_other_makes_the_call(self):
        await self.start()
        requester = self.requester()
        for vm in self.gateways:
            if vm is not requester:
                vm.groups.owned.stopping = True
        requester.groups.owned.stopping = True
        answer = await self.ask_vm(requester, path="/save/a")
        self.assertEqual(answer.status, 200)

    async def test_vm_lost_after_the_start_fails_the_request(self):
        def hang(searcher, request):
            return shards.ScriptedResponse(end="hang")

        await self.start(hang)
        requester = self.requester()
        lost = self.owners_of(requester)[0]
        asking = asyncio.create_task(self.ask_vm(requester, path="/save/a"))
        await self.until(lambda: self.seen() == 1)
        lost.peer_links.close()
        answer = await asking
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.seen(), 1)

    async def test_missing_response_times_out(self):
        def hang(searcher, request):
            return shards.ScriptedResponse(end="hang")

        await self.start(hang)
        answer = await self.ask_vm(
            self.requester(), path="/save/a", deadline_ms=300
        )
        self.assertEqual(answer.status, 504)
        self.assertEqual(self.seen(), 1)

    async def test_disconnect_of_the_caller_ends_the_call(self):
        def hang(searcher, request):
            return shards.ScriptedResponse(end="hang")

        await self.start(hang)
        self.address = self.requester().deployment.callers
        _, writer = await self.connect()
        writer.write(gateways.encode_request("/single/a", deadline_ms=4000))
        await self.until(lambda: self.seen() == 1)
        writer.transport.abort()
        await self.until(
            lambda: all(row.clients_disconnected for row in self.searchers)
        )
        self.assertLess(calls.ABANDONED_GRACE_S + calls.SWEEP_INTERVAL_S, 0.5)
        self.assertFalse(any(vm.groups.owned.serving for vm in self.gateways))
        self.assertFalse(any(vm.groups.remote for vm in self.gateways))

    async def test_outcome_is_transferred_between_vms(self):
        await self.start()
        requester = self.requester()
        kinds = []
        handle = requester.peer_links.handle

        def record(link, message):
            kinds.append(type(message))
            handle(link, message)

        requester.peer_links.handle = record
        await self.ask_vm(requester)
        self.assertEqual(
            kinds, [group_messages.GroupAccepted, group_messages.SingleResult]
        )
