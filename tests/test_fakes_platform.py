"""Tests of the fake platform's API and fault injection."""

import asyncio
import typing
import unittest

import aiohttp

from fakes import platform
from tests import builders

KEY = "/v1/objects/a/b"


class Call(typing.NamedTuple):
    """Call and its expected response; the status "" means no response."""

    method: str
    path: str
    headers: dict
    status: int | str
    etag: str | None = None
    body: bytes = b""


def if_match(version: int) -> dict:
    return {"If-Match": f'"{version}"'}


CREATE = {"If-None-Match": "*"}

#: Calls made in order on one fresh platform.
SEQUENCES = {
    "missing": [
        Call("GET", KEY, {}, 404),
        Call("GET", KEY + "?after=0&wait_ms=10", {}, 304),
        Call("DELETE", KEY, if_match(1), 412),
        Call("PUT", KEY, if_match(1), 412),
    ],
    "versions": [
        Call("PUT", KEY, CREATE, 200, '"1"', b"x"),
        Call("PUT", KEY, CREATE, 412, '"1"'),
        Call("PUT", KEY, if_match(2), 412, '"1"'),
        Call("PUT", KEY, if_match(1), 200, '"2"', b"y"),
        Call("GET", KEY, {}, 200, '"2"'),
        Call("GET", KEY + "?after=1&wait_ms=10", {}, 200, '"2"'),
        Call("GET", KEY + "?after=2&wait_ms=10", {}, 304),
    ],
    "no condition": [
        Call("PUT", KEY, {}, 428),
        Call("DELETE", KEY, {}, 428),
    ],
    "versions grow over a delete": [
        Call("PUT", KEY, CREATE, 200, '"1"'),
        Call("DELETE", KEY, if_match(1), 204),
        Call("GET", KEY, {}, 404),
        Call("PUT", KEY, CREATE, 200, '"3"'),
    ],
    "size": [
        Call("PUT", KEY, CREATE, 413, None, bytes(1_000_001)),
        Call("PUT", KEY, CREATE, 200, '"1"', bytes(1_000_000)),
    ],
    "bad watch": [Call("GET", KEY + "?after=x", {}, 400)],
}


class Fault(typing.NamedTuple):
    """Injected faults and their effect on two writes of the same object.

    Attributes:
        faults: Body of the control call.
        first: Status of the first write; "" means no response.
        second: Status of the second write; "" means no response.
        version: Version stored afterwards; None if there is no object.
    """

    faults: dict
    first: int | str
    second: int | str
    version: int | None


FAULTS = {
    "none": Fault({}, 200, 412, 1),
    "outage": Fault({"outage": True}, 503, 503, None),
    "lost reply": Fault({"lose_replies": 1}, "", 412, 1),
    "source cut": Fault({"refuse_from": ["127.0.0.1"]}, "", "", None),
    "another source cut": Fault({"refuse_from": ["127.0.1.3"]}, 200, 412, 1),
    "over the rate": Fault({"writes_per_s": 0}, 429, 429, None),
    "slow": Fault({"slow_ms": 1}, 200, 412, 1),
}


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now_s = 0.0
        self.platform = platform.Platform(lambda: self.now_s)
        address = builders.free_address()
        runner = await platform.start(self.platform, address)
        self.addAsyncCleanup(runner.cleanup)
        self.session = aiohttp.ClientSession(f"http://{address}")
        # aiohttp would resend a PUT whose response is lost.
        self.session._retry_connection = False
        self.addAsyncCleanup(self.session.close)

    async def status_of(self, call: Call) -> tuple[int | str, str | None]:
        request = self.session.request(
            call.method, call.path, headers=call.headers, data=call.body
        )
        try:
            async with request as answer:
                return answer.status, answer.headers.get("ETag")
        except aiohttp.ClientError:
            return "", None


class ContractTest(PlatformCase):
    async def test_sequences(self):
        for name, calls in SEQUENCES.items():
            self.platform.objects.clear()
            for index, call in enumerate(calls):
                with self.subTest(name, index=index):
                    found = await self.status_of(call)
                    self.assertEqual(found, (call.status, call.etag))

    async def test_list_returns_keys_with_a_prefix(self):
        for key in ("a/b", "a/c", "d"):
            self.platform.put_object(key, b"")
        self.platform.put_object("a/c", None)
        async with self.session.get("/v1/list?prefix=a/") as answer:
            listed = await answer.json()
        self.assertEqual(listed, {"objects": [{"key": "a/b", "version": 1}]})

    async def test_watch_responds_to_a_write_and_is_counted_once(self):
        watch = Call("GET", KEY + "?after=0&wait_ms=60000", {}, 200)
        task = asyncio.create_task(self.status_of(watch))
        await builders.wait_until(lambda: bool(self.platform.watch_events))
        self.platform.put_object("a/b", b"x")
        self.assertEqual(await task, (200, '"1"'))
        self.assertEqual(self.platform.call_counts, {"watches": 1})
        self.assertEqual(self.platform.watch_events, {})


class FaultTest(PlatformCase):
    async def test_faults(self):
        call = Call("PUT", KEY, CREATE, 200)
        for name, fault in FAULTS.items():
            with self.subTest(name):
                self.now_s += 1.0
                self.platform.objects.clear()
                self.platform.faults = platform.Faults()
                self.platform.control(dict(fault.faults))
                first, _ = await self.status_of(call)
                second, _ = await self.status_of(call)
                held = self.platform.objects.get("a/b")
                version = held.version if held else None
                found = (first, second, version)
                self.assertEqual(found, tuple(fault)[1:])

    async def test_outage_ends_a_watch(self):
        watch = Call("GET", KEY + "?after=0&wait_ms=60000", {}, 503)
        task = asyncio.create_task(self.status_of(watch))
        await builders.wait_until(lambda: bool(self.platform.watch_events))
        self.platform.control({"outage": True})
        self.assertEqual(await task, (503, None))

    async def test_write_during_hang_is_handled_after_it(self):
        self.platform.control({"hang": True})
        call = Call("PUT", KEY, CREATE, 200)
        task = asyncio.create_task(self.status_of(call))
        other = Call("GET", "/control/stats", {}, 200)
        self.assertEqual((await self.status_of(other))[0], 200)
        self.assertEqual((task.done(), self.platform.objects), (False, {}))
        self.platform.control({"hang": False})
        self.assertEqual(await task, (200, '"1"'))

    async def test_rate_limit_recovers_over_time(self):
        self.platform.control({"writes_per_s": 2})
        call = Call("PUT", KEY, {}, 428)
        for now_s, status in ((0, 428), (0, 428), (0, 429), (0.5, 428)):
            self.now_s = now_s
            self.assertEqual((await self.status_of(call))[0], status)

    async def test_vm_list_lags(self):
        self.now_s = 10.0
        self.platform.control({"vms": [{"vm": "e1"}], "vms_lag_ms": 5000})
        cases = ((10.0, []), (14.0, []), (15.0, [{"vm": "e1"}]))
        for now_s, vms in cases:
            self.now_s = now_s
            async with self.session.get("/v1/vms") as answer:
                self.assertEqual(await answer.json(), {"vms": vms})

    async def test_invalid_control_call_is_rejected(self):
        body = {"slow_ms": "x"}
        async with self.session.post("/control", json=body) as answer:
            self.assertEqual(answer.status, 400)
        self.assertEqual(self.platform.faults, platform.Faults())
