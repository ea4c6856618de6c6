"""Tests requests that a gateway gets or runs while it stops."""

import asyncio
import unittest.mock

from fakes import callers
from fakes import shards
from laurelrock.gateways import gateway
from tests import gateway_builders as build
from tests import gateways

GRACE_S, NOTICE_S = 2.0, 0.3
#: A time limit longer than the grace period.
LONG_MS = 9000
READ = build.store_single(timeout_ms=LONG_MS)
SAVE = build.store_single(
    name="r-save",
    path_prefix="/save/",
    type="non_idempotent",
    timeout_ms=LONG_MS,
)
QUERY = build.store_query(
    ["files"], timeout_ms=LONG_MS, target_latency_ms=LONG_MS
)


def respond_after(delay_s):
    """Returns the script of a searcher that takes a time for each request."""

    def script(searcher, request):
        ((_, raw),) = shards.healthy(searcher, request).chunks
        at_once = request.target == shards.HEALTH_PATH
        return shards.ScriptedResponse(((0 if at_once else delay_s, raw),))

    return script


class StopTest(gateways.GatewayCase):
    async def start_with(self, script):
        self.enterContext(
            unittest.mock.patch.object(gateway, "SHUTDOWN_NOTICE_S", NOTICE_S)
        )
        self.searcher = await shards.start("s-0", script, records=b"f" * 16)
        limits = {"header_timeout_ms": LONG_MS, "idle_timeout_ms": LONG_MS}
        document = build.store_configuration(READ, SAVE, QUERY, limits=limits)
        rows = [("files", self.searcher)]
        await self.start(document, rows, grace_s=GRACE_S)
        self.gateway.set_vm_count(1)
        #: A writer that isn't referenced closes its connection.
        self.writers = []

    async def stop(self):
        """Stops the gateway and ends it, as the end of the process does."""
        await self.gateway.stop()
        await self.end(self.gateway)

    async def send(self, path, **fields):
        """Sends a request on a new connection; returns the reader."""
        reader, writer = await self.connect()
        self.writers.append(writer)
        writer.write(
            gateways.encode_request(path, deadline_ms=LONG_MS, **fields)
        )
        return reader

    async def test_requests_in_progress_get_an_answer_at_the_end(self):
        # Their connections ended without an answer.
        await self.start_with(respond_after(60))
        readers = [
            await self.send(path)
            for path in ("/single/a", "/save/a", "/query/a")
        ]
        await self.until(lambda: len(self.searcher.requests) == 3)
        await self.stop()
        for reader in readers:
            answer = await callers.read_response(reader)
            self.assertEqual(answer.status, 504)
            self.assertNotIn("retry-after", answer.headers)

    async def test_save_that_may_outlast_the_stop_is_refused(self):
        # It was passed on and cut at the end of the grace period.
        await self.start_with(shards.healthy)
        reader, writer = await self.connect()
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(0.05)
        raw = gateways.encode_request("/save/a", deadline_ms=LONG_MS)
        writer.write(raw)
        answer = await callers.read_response(reader)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(self.searcher.requests, [])
        await stop

    async def test_save_that_ends_before_the_stop_is_served(self):
        await self.start_with(shards.healthy)
        reader, writer = await self.connect()
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(0.05)
        writer.write(gateways.encode_request("/save/a", deadline_ms=500))
        answer = await callers.read_response(reader)
        self.assertEqual(answer.status, 200)
        await stop

    async def test_late_read_is_served_if_there_is_time(self):
        await self.start_with(shards.healthy)
        reader, writer = await self.connect()
        # A request that is partly received keeps its connection open.
        raw = gateways.encode_request("/single/a", deadline_ms=LONG_MS)
        writer.write(raw[:20])
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(1.0)
        writer.write(raw[20:])
        answer = await callers.read_response(reader)
        self.assertEqual(answer.status, 200)
        await stop

    async def test_read_that_comes_too_late_is_refused(self):
        await self.start_with(respond_after(0.6))
        for number in range(2):
            raw = gateways.encode_request(
                "/single/a", f"r-{number}", deadline_ms=LONG_MS
            )
            self.assertEqual((await self.ask(raw)).status, 200)
        reader, writer = await self.connect()
        writer.write(raw[:20])
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(1.4)
        writer.write(raw[20:])
        answer = await callers.read_response(reader)
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(self.searcher.requests), 2)
        await stop
