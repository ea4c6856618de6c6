"""Tests of caps with gateways, a fake store and fake searchers on sockets."""

import asyncio

from fakes import shards
from tests import builders
from tests import gateway_builders as build
from tests import gateways

KEY = "zqqa5yu2bsp73yswk9dw"


def document(version=2, **cap):
    return build.store_configuration(
        build.store_single(),
        version=version,
        tenants=[
            {"name": "capped", "api_keys": [KEY], **cap},
            {"name": "free", "api_keys": ["free-key"]},
        ],
    )


def request(key=KEY, number=0):
    return gateways.encode_request(
        "/single/x", f"r-{number}", headers=[f"Api-Key: {key}"]
    )


class CapTest(gateways.GatewayCase):
    async def start_gateways(self, **cap):
        self.searcher = await shards.start("s-1", shards.healthy)
        hosts = [builders.vm_address(n) for n in range(2)]
        rows = [("files", self.searcher)]
        await self.start_fleet(document(**cap), rows, hosts)
        # Shares are lent when those of an earlier process would have ended,
        # and buckets are empty then.
        await self.until(
            lambda: all(
                len(row.cap_sharing.lending.loans) for row in self.gateways
            ),
            10.0,
        )
        await asyncio.sleep(3.2)

    async def send(self, count, key=KEY):
        """Sends requests to both gateways in turn."""
        answers = []
        for number in range(count):
            self.address = self.gateways[number % 2].deployment.callers
            answers.append(await self.ask(request(key, number)))
        return answers

    async def test_cap_applies_over_all_vms(self):
        await self.start_gateways(rate_per_s=1.0, burst=3.0)
        answers = await self.send(12)
        statuses = [answer.status for answer in answers]
        served = statuses.count(200)
        # The burst, what comes in the time of the test, and nothing else.
        self.assertGreaterEqual(served, 3)
        self.assertLessEqual(served, 5)
        self.assertEqual(statuses.count(429), 12 - served)
        self.assertEqual(len(self.searcher.requests), served)
        waits_s = [
            float(answer.headers["retry-after"])
            for answer in answers
            if answer.status == 429
        ]
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertEqual(len(set(waits_s)), len(waits_s))
        rows = [row for row in self.log_events if row["event"] == "cap-refused"]
        self.assertEqual(len(rows), len(waits_s))
        self.assertEqual({row["workspace"] for row in rows}, {"capped"})
        self.assertTrue({row["keeper"] for row in rows} <= {"vm-0", "vm-1"})
        self.assertNotIn(KEY, repr(self.log_events))
        refused = sum(row.counts["refused-429"] for row in self.gateways)
        self.assertEqual(refused, len(waits_s))

        # A workspace without a cap isn't affected.
        answers = await self.send(12, "free-key")
        self.assertEqual({answer.status for answer in answers}, {200})

        # A raised cap applies while requests are refused.
        self.store.put("config", "main", document(3, rate_per_s=500, burst=50))
        await self.until(
            lambda: all(row.follower.version == 3 for row in self.gateways)
        )
        await asyncio.sleep(0.2)
        answers = await self.send(12)
        self.assertEqual({answer.status for answer in answers}, {200})
