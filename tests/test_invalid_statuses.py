"""Tests searchers whose responses have a status that HTTP doesn't define."""

import asyncio
import itertools

from fakes import shards
from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_wire
from tests import gateway_builders as build
from tests import gateways

STATUSES = (b"000", b"001", b"099", b"600", b"999")
BODY = b"x" * 16
#: Headers and body in each framing, and how the connection ends.
RESPONSES = {
    "length": (b"Content-Length: 16\r\n\r\n" + BODY, "keep"),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n10\r\n" + BODY + b"\r\n0\r\n\r\n",
        "keep",
    ),
    "end of the connection": (b"\r\n" + BODY, "close"),
    "no body": (b"Content-Length: 0\r\n\r\n", "close"),
}


def send(status: bytes, framing: str) -> shards.Script:
    """Returns the script of a searcher that answers with a status."""
    rest, end = RESPONSES[framing]

    def script(searcher, request):
        if request.target == shards.HEALTH_PATH:
            return shards.healthy(searcher, request)
        head = (
            b"HTTP/1.1 %b No\r\nX-Request-Id: r-1\r\nX-Server-Stamp: s.r-1\r\n"
        )
        raw = head % status + rest
        return shards.ScriptedResponse(((0, raw),), end)

    return script


class InvalidStatusTest(gateways.GatewayCase):
    async def test_client_rejects_the_response_at_once(self):
        searcher = await shards.start()
        self.addAsyncCleanup(searcher.stop)
        client = http_client.open_client(searcher.address, 1)
        self.addCleanup(client.close)
        request = http_wire.encode_request(b"GET", b"/", b"host: h\r\n", b"")
        for status, framing in itertools.product(STATUSES, RESPONSES):
            searcher.script = send(status, framing)
            with self.subTest(status=status, framing=framing):
                call = client.call(lambda: request, lambda *_: True)
                with self.assertRaises(errors.CallGarbledError):
                    async with asyncio.timeout(1):
                        await call.future

    async def test_callers_do_not_get_the_response(self):
        query = build.store_query(["files"])
        for status, framing, (route, path) in itertools.product(
            (b"000", b"999"),
            RESPONSES,
            ((build.store_single(), "/single/a"), (query, "/query/a")),
        ):
            with self.subTest(status=status, framing=framing, path=path):
                row = await shards.start("s-0", send(status, framing))
                document = build.store_configuration(route)
                await self.start(document, [("files", row)])
                self.gateway.set_vm_count(1)
                answer = await self.ask(gateways.encode_request(path, "r-1"))
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.body, b"")
                self.assertNotIn("x-server-stamp", answer.headers)
                self.assertEqual(len(row.requests), 1)
