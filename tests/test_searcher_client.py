"""HTTP client of searchers against the stand-in searcher."""

import asyncio
import unittest

import msgspec

from fakes import searcher as fakes
from laurelrock import errors
from laurelrock.adapters import searcher
from tests import builders

TIMEOUT_S = 5.0


def item(number):
    return builders.search_item(
        request_id=f"q{number}", query=msgspec.Raw(b'{"text":"panel"}')
    )


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        config = builders.small_manifest(1, 1)
        self.fleet = await fakes.start(config)
        self.addAsyncCleanup(self.fleet.close)
        [self.stand_in] = self.fleet.searchers.values()
        self.behave(mean_ms=0.1, straggler_fraction=0.0)
        self.client = searcher.open_searcher(self.stand_in.spec, 3, "127.0.0.1")
        self.addAsyncCleanup(self.client.close)

    def behave(self, **fields):
        self.stand_in.behaviour = self.stand_in.behaviour._replace(**fields)

    async def search(self, number):
        return await self.client.search([item(number)], TIMEOUT_S)

    async def test_a_connection_is_used_again(self):
        for number in range(5):
            [result] = await self.search(number)
            self.assertEqual(result["status"], "ok")
        self.assertEqual(self.stand_in.counts["connections"], 1)

    async def test_a_bad_reply_ends_the_use_of_its_connection(self):
        for fault in ("wrong-id", "garbage"):
            with self.subTest(fault):
                await self.search(1)
                before = self.stand_in.counts["connections"]
                self.behave(fault=fault)
                with self.assertRaises(errors.SearcherProtocolError):
                    await self.search(2)
                self.behave(fault="none")
                await self.search(3)
                after = self.stand_in.counts["connections"]
                self.assertEqual(after - before, 1)

    async def test_failures_say_whether_anything_was_sent(self):
        self.behave(fault="hang")
        with self.assertRaises(errors.SearcherError) as caught:
            await self.client.search([item(1)], 0.05)
        self.assertTrue(caught.exception.sent)
        await self.fleet.close()
        with self.assertRaises(errors.SearcherError) as caught:
            await self.search(2)
        self.assertFalse(caught.exception.sent)

    async def test_a_cancelled_call_answers_on_its_connection(self):
        self.behave(mean_ms=5000.0)
        call = asyncio.create_task(self.search(1))
        await builders.until(lambda: len(self.stand_in.running) == 1)
        named = {"request_id": "q1", "start_id": "e1"}
        await self.client.cancel([named], TIMEOUT_S)
        [result] = await call
        self.assertEqual(result["status"], "deadline")
        self.behave(mean_ms=0.1)
        await self.search(2)
        self.assertEqual(self.stand_in.counts["connections"], 2)

    async def test_release_closes_what_is_idle_and_ends_no_call(self):
        await self.search(1)
        await self.client.release()
        await builders.until(lambda: not self.stand_in.connections)
        self.behave(mean_ms=5000.0)
        call = asyncio.create_task(self.search(2))
        await builders.until(lambda: len(self.stand_in.running) == 1)
        await self.client.release()
        named = {"request_id": "q2", "start_id": "e1"}
        await self.client.cancel([named], TIMEOUT_S)
        [result] = await call
        self.assertEqual(result["status"], "deadline")

    async def test_state(self):
        self.behave(state="draining")
        self.assertEqual(await self.client.state(TIMEOUT_S), "draining")
