"""Tests of the HTTP client of searchers, against a fake searcher."""

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
        [self.fake_searcher] = self.fleet.searchers.values()
        self.behave(mean_ms=0.1, straggler_fraction=0.0)
        self.client = searcher.open_searcher(
            self.fake_searcher.spec, 3, "127.0.0.1"
        )
        self.addAsyncCleanup(self.client.close)

    def behave(self, **fields):
        self.fake_searcher.behaviour = self.fake_searcher.behaviour._replace(
            **fields
        )

    async def search(self, number):
        return await self.client.search([item(number)], TIMEOUT_S)

    async def test_connection_is_reused(self):
        for number in range(5):
            [result] = await self.search(number)
            self.assertEqual(result["status"], "ok")
        self.assertEqual(self.fake_searcher.counts["connections"], 1)

    async def test_invalid_reply_ends_the_use_of_its_connection(self):
        for fault in ("wrong-id", "garbage"):
            with self.subTest(fault):
                await self.search(1)
                before = self.fake_searcher.counts["connections"]
                self.behave(fault=fault)
                with self.assertRaises(errors.SearcherProtocolError):
                    await self.search(2)
                self.behave(fault="none")
                await self.search(3)
                after = self.fake_searcher.counts["connections"]
                self.assertEqual(after - before, 1)

    async def test_errors_tell_whether_the_request_was_sent(self):
        self.behave(fault="hang")
        with self.assertRaises(errors.SearcherError) as caught:
            await self.client.search([item(1)], 0.05)
        self.assertTrue(caught.exception.sent)
        await self.fleet.close()
        with self.assertRaises(errors.SearcherError) as caught:
            await self.search(2)
        self.assertFalse(caught.exception.sent)

    async def test_cancelled_call_returns_on_its_connection(self):
        self.behave(mean_ms=5000.0)
        call = asyncio.create_task(self.search(1))
        await builders.wait_until(lambda: len(self.fake_searcher.running) == 1)
        call_id = {"request_id": "q1", "start_id": "e1"}
        await self.client.cancel([call_id], TIMEOUT_S)
        [result] = await call
        self.assertEqual(result["status"], "deadline")
        self.behave(mean_ms=0.1)
        await self.search(2)
        self.assertEqual(self.fake_searcher.counts["connections"], 2)

    async def test_release_closes_idle_connections_only(self):
        await self.search(1)
        await self.client.release()
        await builders.wait_until(lambda: not self.fake_searcher.connections)
        self.behave(mean_ms=5000.0)
        call = asyncio.create_task(self.search(2))
        await builders.wait_until(lambda: len(self.fake_searcher.running) == 1)
        await self.client.release()
        call_id = {"request_id": "q2", "start_id": "e1"}
        await self.client.cancel([call_id], TIMEOUT_S)
        [result] = await call
        self.assertEqual(result["status"], "deadline")

    async def test_state(self):
        self.behave(state="draining")
        self.assertEqual(await self.client.state(TIMEOUT_S), "draining")
