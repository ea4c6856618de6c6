"""Tests on sockets of searchers with a limit and of crashing requests."""

import asyncio

from fakes import shards
from tests import gateway_builders as build
from tests import gateways

CRASH = "/single/crash"


class GatewayTest(gateways.GatewayCase):
    async def start_singles(self, *scripts):
        self.searchers = [
            await shards.start(f"s-{n}", script, records=b"file")
            for n, script in enumerate(scripts)
        ]
        document = build.store_configuration(build.store_single())
        await self.start(document, [("files", row) for row in self.searchers])
        self.gateway.set_vm_count(1)

    async def single(self, number, target="/single/a"):
        raw = gateways.encode_request(target, f"r-{number}")
        return await self.ask(raw)

    async def test_limited_searcher_gets_what_it_takes_until_it_names_none(
        self,
    ):
        await self.start_singles(shards.name_limit(4.0))
        loop = asyncio.get_running_loop()
        begun_s, number = loop.time(), 0
        refused = []
        while loop.time() < begun_s + 2.0:
            number += 1
            answer = await self.single(number)
            if answer.status == 503:
                refused.append(answer)
            await asyncio.sleep(0.01)
        # The first request, and four a second.
        self.assertLessEqual(len(self.searchers[0].requests), 1 + 2 * 4)
        self.assertGreaterEqual(len(self.searchers[0].requests), 5)
        self.assertTrue(all("retry-after" in row.headers for row in refused))
        self.searchers[0].script = shards.healthy
        async with asyncio.timeout(5.0):
            while self.gateway.known.limited:
                number += 1
                await self.single(number)
                await asyncio.sleep(0.05)
        for _ in range(20):
            number += 1
            self.assertEqual((await self.single(number)).status, 200)

    async def test_health_of_a_cold_searcher_ends_its_limit(self):
        """The entry says that it is cold, its health that it is warm."""

        def script(searcher, request):
            if request.target != shards.HEALTH_PATH:
                return shards.healthy(searcher, request)
            header = f"X-Warmup-Remaining-Ms: {self.left_ms}"
            raw = shards.encode_response(request, "200 OK", b"", header)
            return shards.ScriptedResponse(((0, raw),))

        self.left_ms = 60_000
        one = await shards.start("s-0", script, records=b"file")
        document = build.store_configuration(build.store_single())
        document["services"][0] |= {"warmup_s": 60.0, "warmup_per_s": 8.0}
        await self.start(document, [("files", one)])
        known = self.gateway.known
        self.assertEqual(known.cold, {})
        self.add_searcher("files", one, warmup_left_ms=60_000, seq=5)
        await self.until(lambda: known.cold)
        counts = self.gateway.cold_searchers.counts
        await self.until(lambda: counts["health"] >= 1)
        self.assertIn("s-0", known.cold)
        self.left_ms = 0
        await self.until(lambda: not known.cold, 10.0)
        self.assertEqual((await self.single(1)).status, 200)

    async def test_request_that_crashes_searchers_is_refused(self):
        await self.start_singles(*[shards.crash_on(CRASH)] * 6)
        statuses = []
        for number in range(6):
            answer = await self.single(number, CRASH)
            statuses.append(answer.status)
            await asyncio.sleep(0.15)
        self.assertEqual(statuses, [502, 502, *[503] * 4])
        self.assertGreater(float(answer.headers["retry-after"]), 50.0)
        crashed = [row for row in self.searchers if not row.server.is_serving()]
        # Two in the first attempt, one in the second, which is a suspect.
        self.assertEqual(len(crashed), 3)
        self.assertEqual((await self.single(9)).status, 200)
