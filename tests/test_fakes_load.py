"""Tests of the load generator's counters, with entries of known behaviour."""

import collections.abc
import typing
import unittest

from aiohttp import web

from fakes import checks
from fakes import corpus
from fakes import load
from laurelrock import manifest
from tests import builders

MANIFEST = builders.small_manifest()
SHARDS = ["s0", "s1"]
REFUSAL = {"code": "overloaded", "ran": "no"}


def whole(query: typing.Any, limit: int) -> dict:
    """Returns the correct response over all shards."""
    return {
        "snapshot": "v1",
        "partial": False,
        "coverage": {"fraction": 1.0, "shards": 2, "missing": []},
        "hits": corpus.expected_hits(query, "v1", SHARDS, SHARDS, limit),
    }


def partial(query: typing.Any, limit: int) -> dict:
    """Returns the correct response without the second shard."""
    missing = [{"shard": "s1", "reason": "shed"}]
    return whole(query, limit) | {
        "partial": True,
        "coverage": {"fraction": 0.5, "shards": 2, "missing": missing},
        "hits": corpus.expected_hits(query, "v1", SHARDS, {"s0"}, limit),
    }


def right(body: dict) -> web.Response:
    return web.json_response(whole(body["query"], body["limit"]))


def half(body: dict) -> web.Response:
    return web.json_response(partial(body["query"], body["limit"]))


def crossed(body: dict) -> web.Response:
    return web.json_response(whole("another", body["limit"]))


def refused(body: dict) -> web.Response:
    return web.json_response(REFUSAL, status=503)


def refused_without_ran(body: dict) -> web.Response:
    return web.json_response({"code": "overloaded"}, status=503)


def garbage(body: dict) -> web.Response:
    return web.Response(text="<html>")


class Case(typing.NamedTuple):
    """Response to every search, and what each search adds to the counters."""

    answer: collections.abc.Callable[[dict], web.Response]
    counted: dict[str, int]


SEARCHES = {
    "whole": Case(right, {"whole": 1, "shards": 2, "shards_missing": 0}),
    "partial": Case(half, {"partial": 1, "shards": 2, "shards_missing": 1}),
    "another query's answer": Case(crossed, {"wrong": 1}),
    "refusal": Case(refused, {"refused": 1}),
    "refusal that does not say whether it ran": Case(
        refused_without_ran, {"wrong": 1}
    ),
    "not JSON": Case(garbage, {"errors": 1}),
}


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, path: str, answer) -> str:
        """Starts an entry that serves one path; returns its base URL."""

        async def handle(request: web.Request) -> web.Response:
            return answer(await request.json())

        app = web.Application()
        route = f"/v1/applications/{builders.APPLICATION}/{path}"
        app.router.add_post(route, handle)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        address = builders.free_address()
        host, _, port = address.partition(":")
        await web.TCPSite(runner, host, int(port)).start()
        return f"http://{address}"

    def plan(self, url: str, per_s: float, saves: int) -> load.Plan:
        decoded = manifest.decode(manifest.encode(MANIFEST))
        target = load.ApplicationLoad(
            builders.APPLICATION, "token", per_s, saves
        )
        return load.Plan(
            [url], [decoded], [target], 0.02, seed=3, resent_fraction=1.0
        )

    async def test_searches(self):
        for name, case in SEARCHES.items():
            with self.subTest(name):
                url = await self.serve("search", case.answer)
                result = await load.run(self.plan(url, 1000.0, 0))
                count = result.counts["queries"]
                self.assertGreater(count, 0)
                each = {"queries": 1} | case.counted
                expected = {kind: n * count for kind, n in each.items()}
                self.assertEqual(dict(result.counts), expected)

    async def test_saves_are_resent_and_recorded(self):
        def answer(body: dict) -> web.Response:
            saved = checks.expected_save_result(body["body"])
            return web.json_response({"result": saved, "ran": "yes"})

        url = await self.serve("saves", answer)
        result = await load.run(self.plan(url, 0.0, 5))
        self.assertEqual(result.counts["saves"], 5)
        self.assertEqual(result.counts["save_attempts"], 10)
        keys = [outcome.key for outcome in result.save_attempts]
        faults = checks.find_save_violations(result.save_attempts, keys)
        self.assertEqual(faults, checks.SaveViolations([], [], [], []))
        faults = checks.find_save_violations(result.save_attempts, keys * 2)
        self.assertEqual(sorted(faults.run_twice), sorted(keys))
