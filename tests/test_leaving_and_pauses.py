"""Tests of searchers that say that they leave, or that they want no calls.

Both hold whatever the registry says: a leaving searcher may still be listed as
ready, and its entry may be deleted and return.
"""

import asyncio
import unittest

from fakes import shards
from laurelrock.core import registry
from laurelrock.core import replicas
from laurelrock.gateways import upstreams
from laurelrock.platform import header_codec
from tests import gateway_builders as build
from tests import gateways
from tests import test_fleet_gateways as fleets

#: Time in seconds after a 503 from which its pause has to be respected.
GRACE_S = 0.5
PAUSE_S = 1.2


def leaving(searcher, request):
    """Serves a request, and says that the searcher leaves."""
    stamp = f"X-Server-Stamp: {searcher.name}.{request.id}"
    body = searcher.records or request.body
    return shards.ScriptedResponse(
        (
            (
                0,
                shards.encode_response(
                    request, "200 OK", body, stamp, "Server-Leaving: 1"
                ),
            ),
        )
    )


def refusing(*headers):
    """Returns the script of a searcher that refuses each request."""

    def script(searcher, request):
        raw = shards.encode_response(
            request, "503 Busy", b"", "X-Not-Executed: 1", *headers
        )
        return shards.ScriptedResponse(((0, raw),))

    return script


PAUSING = refusing(f"Retry-After: {PAUSE_S}")


class HeadersTest(unittest.TestCase):
    def pause(self, text, status=503):
        headers = [(b"retry-after", text)]
        return header_codec.read_searcher_headers(status, headers).pause_s

    def test_pause(self):
        for text, pause_s in (
            (b"2", 2.0),
            (b" 0.25 ", 0.25),
            (b"1e9", 1e9),
            (b"0", None),
            (b"-1", None),
            (b"inf", None),
            (b"nan", None),
            (b"soon", None),
            (b"", None),
            (b"Fri, 31 Dec 1999 23:59:59 GMT", None),
        ):
            with self.subTest(text):
                self.assertEqual(self.pause(text), pause_s)

    def test_only_a_refusal_asks_for_a_pause(self):
        for status in (200, 429, 500):
            self.assertIsNone(self.pause(b"2", status))

    def test_leaving(self):
        for text, found in ((b"1", True), (b"0", False), (b"", False)):
            headers = [(b"server-leaving", text)]
            self.assertEqual(
                header_codec.read_searcher_headers(200, headers).leaving, found
            )


class ReplicaTest(unittest.TestCase):
    def setUp(self):
        self.row, self.other = build.replica("one"), build.replica("two")

    def test_pause_ends_at_the_longest_time_given(self):
        self.row.record_pause(2.0, 10.0)
        self.row.record_pause(0.5, 10.1)
        both = [self.row, self.other]
        self.assertEqual(replicas.usable(both, 11.9), [self.other])
        self.assertEqual(replicas.usable(both, 12.0), both)

    def test_pause_is_respected_if_all_searchers_asked_for_one(self):
        self.row.record_pause(2.0, 10.0)
        self.other.record_pause(3.0, 10.0)
        both = [self.row, self.other]
        self.assertEqual(replicas.usable(both, 11.0), [])
        self.assertFalse(replicas.any_reachable(both, 11.0))
        self.assertAlmostEqual(replicas.resume_in_s(both, 11.0), 1.0)

    def test_absurd_pause_is_limited(self):
        self.row.record_pause(1e9, 10.0)
        end_s = 10.0 + replicas.MAX_PAUSE_S
        self.assertEqual(replicas.usable([self.row], end_s), [self.row])

    def test_leaving_searcher_never_resumes(self):
        self.row.leaving = True
        self.assertEqual(replicas.usable([self.row], 1e6), [])
        self.assertEqual(replicas.resume_in_s([self.row], 1.0), float("inf"))

    def test_time_until_enough_shards_accept_calls(self):
        waits = [0.0, 3.0, 1.0, float("inf")]
        for needed, wait_s in ((1, 0.0), (2, 1.0), (3, 3.0), (4, 0.0)):
            self.assertEqual(replicas.retry_in_s(waits, needed), wait_s)


class UpstreamsTest(unittest.IsolatedAsyncioTestCase):
    """What a searcher said holds for its start, whatever its entry does."""

    async def asyncSetUp(self):
        self.known = upstreams.create_upstreams("a")
        self.searcher = build.searcher("s-1", started_ms=5)
        self.list(self.searcher)

    def list(self, searcher):
        change = registry.Change("s-1", searcher)
        self.known.apply([change], asyncio.get_running_loop().time())

    def replica(self):
        return self.known.by_id["s-1"].replica

    async def test_returning_entry_of_the_same_start(self):
        self.known.mark_leaving(self.searcher.start)
        self.known.pause(self.known.by_id["s-1"], 60.0, 10.0)
        self.list(None)
        self.list(self.searcher)
        self.assertTrue(self.replica().leaving)
        self.assertEqual(self.replica().resume_s, 70.0)

    async def test_next_start_with_the_same_id_and_address(self):
        self.known.mark_leaving(self.searcher.start)
        self.list(self.searcher._replace(started_ms=6))
        self.assertFalse(self.replica().leaving)

    async def test_notice_of_another_vm_before_the_entry(self):
        later = self.searcher._replace(started_ms=7)
        self.known.mark_leaving(later.start)
        self.assertFalse(self.replica().leaving)
        self.list(later)
        self.assertTrue(self.replica().leaving)

    async def test_kept_restrictions_are_limited(self):
        for number in range(upstreams.MAX_RESTRICTIONS + 10):
            self.known.mark_leaving(registry.Start(f"gone-{number}", 1))
        self.assertEqual(
            len(self.known.restrictions), upstreams.MAX_RESTRICTIONS
        )


class GatewayTest(gateways.GatewayCase):
    async def start_singles(self, *scripts):
        self.searchers = [
            await shards.start(f"s-{n}", script, records=b"file")
            for n, script in enumerate(scripts)
        ]
        document = build.store_configuration(build.store_single())
        await self.start(document, [("files", row) for row in self.searchers])
        self.gateway.set_vm_count(1)

    async def single(self, number):
        raw = gateways.encode_request("/single/a", f"r-{number}")
        return await self.ask(raw)

    async def test_leaving_searcher_gets_no_more_calls(self):
        await self.start_singles(leaving, shards.healthy)
        for number in range(20):
            self.assertEqual((await self.single(number)).status, 200)
        self.assertLessEqual(len(self.searchers[0].requests), 1)

    async def test_last_searcher_that_leaves(self):
        # The store still calls it ready.
        await self.start_singles(leaving)
        answers = [await self.single(number) for number in range(5)]
        self.assertEqual([row.status for row in answers], [200, *[503] * 4])
        self.assertEqual(len(self.searchers[0].requests), 1)

    async def test_calls_that_wait_for_a_connection_move_away(self):
        def slow_and_leaving(searcher, request):
            row = leaving(searcher, request)
            return row._replace(chunks=((0.1, row.chunks[0][1]),))

        await self.start_singles(slow_and_leaving)
        upstream = next(iter(self.gateway.known.by_id.values()))
        upstream.client.limit = 1
        answers = await asyncio.gather(*[self.single(n) for n in range(6)])
        statuses = sorted(row.status for row in answers)
        self.assertEqual(statuses, [200, *[503] * 5])
        self.assertEqual(len(self.searchers[0].requests), 1)

    async def test_pause_is_respected_and_callers_are_told_its_end(self):
        await self.start_singles(PAUSING)
        loop = asyncio.get_running_loop()
        first = await self.single(0)
        begun_s = loop.time()
        self.assertEqual(first.status, 503)
        while loop.time() < begun_s + PAUSE_S - 0.1:
            asked_s = loop.time()
            answer = await self.single(round(asked_s * 1000))
            self.assertEqual(answer.status, 503)
            left_s = begun_s + PAUSE_S - asked_s
            told_s = float(answer.headers["retry-after"])
            self.assertGreater(told_s, left_s - 0.05)
            await asyncio.sleep(0.05)
        self.assertEqual(len(self.searchers[0].requests), 1)
        self.searchers[0].script = shards.healthy
        await asyncio.sleep(0.2)
        self.assertEqual((await self.single(1)).status, 200)

    async def test_other_searchers_take_the_calls_during_a_pause(self):
        await self.start_singles(PAUSING, shards.healthy)
        for number in range(20):
            self.assertEqual((await self.single(number)).status, 200)
        self.assertLessEqual(len(self.searchers[0].requests), 1)

    async def test_query_without_its_minimum_of_shards_is_not_begun(self):
        rows = await gateways.start_shard_searchers(4)
        for _, searcher in rows[:2]:
            searcher.script = PAUSING
        names = [name for name, _ in rows]
        route = build.store_query(names, min_success_share=0.75)
        await self.start(build.store_configuration(route), rows)
        raw = gateways.encode_request("/query/a", "r-1")
        await self.ask(raw)
        before = [len(row.requests) for _, row in rows]
        answer = await self.ask(gateways.encode_request("/query/a", "r-2"))
        self.assertEqual(answer.status, 503)
        self.assertEqual([len(row.requests) for _, row in rows], before)
        self.assertGreater(float(answer.headers["retry-after"]), GRACE_S)


class OwnersTest(fleets.FleetCase):
    async def test_callers_vm_learns_from_the_owner(self):
        await self.start(leaving)
        others = [name for group in self.remote_groups_of(0) for name in group]
        self.assertTrue(others)
        self.assertEqual((await self.ask_vm(0)).status, 200)
        known = self.gateways[0].known
        self.assertTrue(
            all(
                row.replica.leaving
                for name in others
                for row in known.searchers_of(name)
            )
        )

    async def test_paused_searchers_get_no_calls_from_any_owner(self):
        await self.start(PAUSING)
        await asyncio.gather(
            *[self.ask_vm(n % 4, f"first-{n}") for n in range(8)]
        )
        counts = [len(row.requests) for _, row in self.rows]
        answers = [await self.ask_vm(n % 4, f"next-{n}") for n in range(8)]
        self.assertEqual([len(row.requests) for _, row in self.rows], counts)
        self.assertEqual({row.status for row in answers} - {502, 503}, set())
        refused = [row for row in answers if row.status == 503]
        self.assertTrue(refused)
        self.assertGreater(float(refused[-1].headers["retry-after"]), 0.1)
