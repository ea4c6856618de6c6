"""Tests of the fake searchers' API, load and fault injection."""

import asyncio
import typing
import unittest

import aiohttp

from fakes import contract
from fakes import corpus
from fakes import searcher
from fakes import slots
from laurelrock import document
from tests import builders

#: Mean service time of calls that must still run when a test checks them, in
#: milliseconds.
LONG_MS = 60_000.0


class Case(typing.NamedTuple):
    """Control call and the expected response to a search after it.

    Attributes:
        control: Body of the control call.
        status: Status of the sub-query; "" means no valid response.
        hits: Number of hits.
        item: Fields of the sub-query to replace.
    """

    control: dict
    status: str
    hits: int = 0
    item: dict = {}


V2 = {
    "application": builders.APPLICATION,
    "snapshot": document.unstructure(
        builders.snapshot("v2", service0=2, service1=2)
    ),
}
V1_DROPPED = [{"application": builders.APPLICATION, "version": "v1"}]

CASES = {
    "plain": Case({}, "ok", 10),
    "small limit": Case({}, "ok", 3, {"limit": 3}),
    "another service's shard": Case({}, "ok", 0, {"shards": ["s1"]}),
    "unknown version": Case({}, "version-unknown", 0, {"snapshot": "v2"}),
    "added version": Case(
        {"add": [V2]}, "ok", 10, {"snapshot": "v2", "shards": ["s1"]}
    ),
    "dropped version": Case({"drop": V1_DROPPED}, "version-gone"),
    "draining": Case({"behaviour": {"state": "draining"}}, "draining"),
    "shedding": Case({"behaviour": {"queue_bound": 0}}, "shed"),
    "deadline": Case(
        {"behaviour": {"mean_ms": LONG_MS}},
        "deadline",
        0,
        {"time_left_ms": 5.0},
    ),
    "no time left": Case({}, "deadline", 0, {"time_left_ms": 0.0}),
    "crash": Case({"behaviour": {"fault": "crash"}}, ""),
    "garbage": Case({"behaviour": {"fault": "garbage"}}, ""),
    "lost reply": Case({"behaviour": {"fault": "lose-reply"}}, ""),
    "hang": Case({"behaviour": {"fault": "hang"}}, ""),
}

FAST = {"mean_ms": 1.0, "straggler_fraction": 0.0}


class SearcherCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.manifest = builders.small_manifest(services=2, replicas=1)
        self.fleet = await searcher.start(self.manifest)
        self.addAsyncCleanup(self.fleet.close)
        self.held = self.fleet.searchers["service0-r0"]
        self.base = f"http://{self.held.spec.address}"
        self.session = self.new_session()
        self.control({"behaviour": FAST})

    def new_session(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            self.base, timeout=aiohttp.ClientTimeout(total=30)
        )
        self.addAsyncCleanup(session.close)
        return session

    def control(self, change: dict) -> None:
        searcher.control(
            self.fleet, document.structure(contract.ControlCall, change)
        )

    async def post(self, path: str, body: dict, total_s: float = 30):
        timeout = aiohttp.ClientTimeout(total=total_s)
        async with self.session.post(path, json=body, timeout=timeout) as reply:
            return await reply.json()

    async def search(self, **item) -> dict:
        body = {"items": [builders.search_item(**item)]}
        reply = await self.post("/v1/search", body)
        return reply["results"][0]

    async def until(self, name: str, count: int) -> None:
        """Waits until a counter of the searcher has reached a value."""
        await builders.wait_until(lambda: self.held.counts[name] >= count)


class SearchTest(SearcherCase):
    async def test_cases(self):
        for name, case in CASES.items():
            with self.subTest(name):
                await self.fleet.close()
                await self.asyncSetUp()
                self.control(case.control)
                body = {"items": [builders.search_item(**case.item)]}
                wait_s = 0.1 if name == "hang" else 30
                try:
                    reply = await self.post("/v1/search", body, wait_s)
                except (aiohttp.ClientError, TimeoutError, ValueError):
                    self.assertEqual("", case.status)
                    continue
                result = reply["results"][0]
                found = (result["status"], len(result["hits"]))
                self.assertEqual(found, (case.status, case.hits))
                self.assertEqual(result["request_id"], "q1")

    async def test_hits_match_the_corpus(self):
        result = await self.search()
        right = corpus.expected_hits(
            {"text": "panel"}, "v1", ["s0", "s1"], {"s0"}, 10
        )
        self.assertEqual(result["hits"], right)

    async def test_wrong_id(self):
        self.control({"behaviour": {"fault": "wrong-id"}})
        result = await self.search()
        self.assertNotEqual(result["request_id"], "q1")

    async def test_fault_ends_after_its_number_of_calls(self):
        fault = {"fault": "wrong-id", "fault_calls": 2}
        self.control({"behaviour": fault})
        ids = [(await self.search())["request_id"] for _ in range(4)]
        self.assertEqual(ids, ["q1x", "q1x", "q1", "q1"])

    async def test_call_with_many_items_occupies_one_slot(self):
        self.control({"behaviour": {"mean_ms": LONG_MS}})
        items = [builders.search_item(request_id=f"q{i}") for i in range(5)]
        call = asyncio.create_task(self.post("/v1/search", {"items": items}))
        await self.until("ran", 5)
        self.assertEqual(self.held.load(), contract.Load(1, 0, 2))
        call.cancel()

    async def test_cancel_stops_running_and_queued_calls(self):
        self.control({"behaviour": {"mean_ms": LONG_MS}})
        calls = [
            asyncio.create_task(self.search(request_id=f"q{index}"))
            for index in range(3)
        ]
        await self.until("asked", 3)
        self.assertEqual(self.held.load(), contract.Load(2, 1, 2))
        names = [{"request_id": f"q{i}", "start_id": "e1"} for i in range(3)]
        self.assertEqual(await self.post("/v1/cancel", {"items": names}), {})
        for result in await asyncio.gather(*calls):
            self.assertEqual(result["status"], "deadline")
        self.assertEqual(self.held.load(), contract.Load(0, 0, 2))
        self.assertEqual(self.held.counts["cancelled"], 3)

    async def test_malformed_bodies(self):
        for path in ("/v1/search", "/v1/save", "/v1/cancel"):
            for body in (b"{", b"{}", b"[]", b'{"items": 1}'):
                async with self.session.post(path, data=body) as answer:
                    self.assertEqual(answer.status, 400, (path, body))
        self.assertEqual((await self.search())["status"], "ok")


class ConnectionTest(SearcherCase):
    async def test_connection_over_the_limit_is_closed(self):
        host, _, port = self.held.spec.address.partition(":")
        ends = []
        for _ in range(self.held.spec.connections + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.close)
            ends.append(reader)
        self.assertEqual(await ends[-1].read(1), b"")
        self.assertEqual(len(self.held.connections), 4)
        self.assertEqual(self.held.counts["connections_refused"], 1)

    async def test_silence_does_not_affect_new_connections(self):
        await self.search()
        self.control({"silence": True})
        item = {"items": [builders.search_item()]}
        with self.assertRaises(TimeoutError):
            await self.post("/v1/search", item, total_s=0.1)
        self.session = self.new_session()
        self.assertEqual((await self.search())["status"], "ok")


class ServiceTimeTest(unittest.TestCase):
    def draws(self, count: int = 2000, **behaviour) -> list[float]:
        """Returns random service times, drawn with the same seed each time."""
        held = slots.Searcher(builders.searcher(), "a", "s", [], 1, [])
        held.behaviour = contract.Behaviour(**behaviour)
        return [held.draw_service_time_ms(1) for _ in range(count)]

    def test_stragglers_take_longer(self):
        plain = self.draws(straggler_fraction=0.0)
        mixed = self.draws(straggler_fraction=0.01, straggler_factor=10.0)
        factors = [round(b / a) for a, b in zip(plain, mixed, strict=True)]
        self.assertEqual(set(factors), {1, 10})
        self.assertTrue(5 <= factors.count(10) <= 50)

    def test_searchers_in_state_cold_take_longer(self):
        warm, cold = self.draws(), self.draws(state="cold", cold_factor=3.0)
        for a, b in zip(warm, cold, strict=True):
            self.assertAlmostEqual(b, 3 * a)

    def test_service_times_are_bounded(self):
        longest = max(self.draws(mean_ms=2.0, straggler_fraction=0.0))
        self.assertLessEqual(longest, 2.0 * slots.MAX_SERVICE_TIME_FACTOR)


class DelaysTest(unittest.TestCase):
    def test_round_trip_delays(self):
        delays = searcher.NetworkDelays(
            0.5, {"127.0.1.1": "a", "127.0.1.4": "b"}
        )
        cases = (
            ("127.0.1.1", "a", 0.0),
            ("127.0.1.1", "b", 1.0),
            ("127.0.1.4", "a", 1.0),
            ("127.0.0.1", "a", 0.0),
        )
        for source, domain, expected in cases:
            with self.subTest(source=source, domain=domain):
                found = delays.round_trip_ms(source, domain)
                self.assertEqual(found, expected)


class HealthTest(SearcherCase):
    async def health(self) -> dict:
        async with self.session.get("/v1/health") as answer:
            return await answer.json()

    async def test_health(self):
        idle = {"busy": 0, "queued": 0, "slots": 2}
        lie = {"busy": 9, "queued": 9, "slots": 2}
        cases = (
            ({}, "ready", idle),
            ({"state": "cold"}, "cold", idle),
            ({"report_load": lie}, "cold", lie),
            ({"report_state": "ready"}, "ready", lie),
        )
        for behaviour, state, load in cases:
            with self.subTest(behaviour):
                self.control({"behaviour": behaviour})
                found = await self.health()
                expected = {"state": state, "snapshots": ["v1"], "load": load}
                self.assertEqual(found, expected)

    async def test_reported_load_lags(self):
        lagging = {"report_lag_ms": LONG_MS, "mean_ms": LONG_MS}
        self.control({"behaviour": lagging})
        call = asyncio.create_task(self.search())
        await self.until("ran", 1)
        self.assertEqual((await self.health())["load"]["busy"], 0)
        self.assertEqual(self.held.load().busy, 1)
        call.cancel()


class SaveTest(SearcherCase):
    BODY: typing.ClassVar = {
        "request_id": "q1",
        "start_id": "e1",
        "application": builders.APPLICATION,
        "key": "k1",
        "body": {"price": 3},
    }

    async def test_saves_that_ran_are_in_the_ledger(self):
        for _ in range(2):
            reply = await self.post("/v1/save", self.BODY)
            self.assertEqual((reply["status"], reply["ran"]), ("ok", True))
        keys = [item["key"] for item in searcher.ledger(self.fleet)["saves"]]
        self.assertEqual(keys, ["k1", "k1"])

    async def test_save_runs_although_its_response_is_lost(self):
        for fault in ("lose-reply", "garbage"):
            behaviour = {"fault": fault, "fault_calls": 1}
            self.control({"behaviour": behaviour})
            with self.assertRaises((aiohttp.ClientError, ValueError)):
                await self.post("/v1/save", self.BODY)
        keys = [item["key"] for item in searcher.ledger(self.fleet)["saves"]]
        self.assertEqual(keys, ["k1", "k1"])

    async def test_refused_saves_are_not_in_the_ledger(self):
        cases = (
            ({"queue_bound": 0}, "shed"),
            ({"state": "draining"}, "draining"),
        )
        for behaviour, status in cases:
            self.control({"behaviour": behaviour})
            reply = await self.post("/v1/save", self.BODY)
            self.assertEqual((reply["status"], reply["ran"]), (status, False))
        self.assertEqual(searcher.ledger(self.fleet)["saves"], [])
