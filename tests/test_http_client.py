"""Tests of the HTTP client against misbehaving searchers."""

import asyncio
import functools
import typing
import unittest

from fakes import shards
from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_wire
from laurelrock.core import call_order


class Row(typing.NamedTuple):
    """One way in which a searcher responds.

    Attributes:
        name: Name of the case.
        play: Function that returns the searcher's actions for a request.
        body: Body of the response that the call ends with; None for a failure.
        kept: Whether the connection may be reused.
        failure: Type of the exception that the call raises, or None.
    """

    name: str
    play: typing.Callable[[shards.Request], shards.ScriptedResponse]
    body: bytes | None
    kept: bool
    failure: type[Exception] | None = None


def matching(request, body=b"good"):
    return shards.encode_response(request, "200 OK", body)


def stale(request):
    return shards.encode_response(
        request._replace(headers={}), "200 OK", b"old"
    )


def sends(*makers, end="keep", wait_s=0.0):
    def play(request):
        chunks = tuple((wait_s, maker(request)) for maker in makers)
        return shards.ScriptedResponse(chunks, end)

    return play


def raw(text):
    return lambda request: text


def mismatched(request):
    headers = {"x-request-id": "another"}
    return shards.encode_response(
        request._replace(headers=headers), "200 OK", b"old"
    )


BROKEN = errors.CallBrokenError
GARBLED = errors.CallGarbledError
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
CHUNK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
OPEN = b"HTTP/1.1 200 OK\r\n\r\nwhole"
CLOSES = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
INTERIM = raw(b"HTTP/1.1 103 Early Hints\r\n\r\n")

ROWS = (
    Row("complete", sends(matching), b"good", True),
    Row("complete, in pieces", sends(raw(CLOSES[:30]), raw(CLOSES[30:])),
        b"ok", False),
    Row("chunked", sends(raw(CHUNK + b"2\r\nok\r\n0\r\n\r\n")), b"ok", True),
    Row("chunked, cut short", sends(raw(CHUNK + b"2\r\nok\r\n"), end="close"),
        None, False, BROKEN),
    Row("Connection: close", sends(raw(CLOSES)), b"ok", False),
    Row("interim response before", sends(INTERIM, matching), b"good", True),
    Row("no length, closed", sends(raw(OPEN), end="close"), b"whole", False),
    Row("no length, reset", sends(raw(OPEN), end="reset", wait_s=0.01),
        None, False, BROKEN),
    Row("ends early", sends(raw(TRUNCATED), end="close"), None, False, BROKEN),
    Row("reset early", sends(raw(TRUNCATED), end="reset"), None, False, BROKEN),
    Row("closed without response", sends(end="close"), None, False, BROKEN),
    Row("reset without response", sends(end="reset"), None, False, BROKEN),
    Row("not HTTP", sends(raw(b"\x00\x01 no answer\r\n\r\n")),
        None, False, GARBLED),
    Row("bytes after the response", sends(lambda r: matching(r) + b"junk"),
        b"good", False),
    Row("second response after it", sends(lambda r: matching(r) + stale(r)),
        b"good", False),
    Row("response to an earlier request first", sends(mismatched, matching),
        b"good", False),
    Row("only a response to another request", sends(mismatched, end="close"),
        None, False, BROKEN),
)  # fmt: skip


def accept(status, headers):
    found = http_wire.header_value(headers, b"x-request-id")
    return found in (None, b"id-1")


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, script, limit=1):
        self.searcher = await shards.start(script=script)
        self.addAsyncCleanup(self.searcher.stop)
        return http_client.open_client(self.searcher.address, limit)

    def call(self, client, method=b"GET", body=b""):
        head = b"host: x\r\nx-request-id: id-1\r\n"
        encode = functools.partial(
            http_wire.encode_request, method, b"/q", head, body
        )
        return client.call(encode, accept, method == b"HEAD")

    async def result(self, call):
        async with asyncio.timeout(5):
            return await call.future

    async def test_response_table(self):
        for row in ROWS:
            with self.subTest(row.name):
                client = await self.open(lambda _, r, row=row: row.play(r))
                call = self.call(client)
                if row.failure is None:
                    reply = await self.result(call)
                    self.assertEqual(reply.body, row.body)
                else:
                    with self.assertRaises(row.failure):
                        await self.result(call)
                    self.assertTrue(call.sent)
                self.assertEqual(len(client.idle), row.kept)

    async def test_request_is_not_resent_after_a_reset(self):
        client = await self.open(
            lambda *_: shards.ScriptedResponse(end="reset")
        )
        with self.assertRaises(errors.CallBrokenError):
            await self.result(self.call(client, b"POST", b"once"))
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.searcher.requests), 1)

    async def test_request_is_not_resent_after_a_reset_of_a_reused_connection(
        self,
    ):
        plays = [sends(matching), sends(end="reset")]
        client = await self.open(lambda _, r: plays.pop(0)(r))
        await self.result(self.call(client))
        with self.assertRaises(errors.CallBrokenError):
            await self.result(self.call(client, b"POST", b"once"))
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.searcher.requests), 2)
        self.assertEqual(self.searcher.connections, 1)

    async def test_unexpected_bytes_close_an_idle_connection(self):
        late = shards.ScriptedResponse(((0, CLOSES.replace(b"close", b"alive")),
                            (0.02, b"HTTP/1.1 200 OK\r\n")))  # fmt: skip
        client = await self.open(lambda *_: late)
        await self.result(self.call(client))
        await asyncio.sleep(0.1)
        self.assertEqual(client.idle, [])
        self.assertEqual(client.connections, set())

    async def test_connection_refused(self):
        client = await self.open(shards.healthy)
        await self.searcher.stop()
        call = self.call(client)
        with self.assertRaises(errors.ConnectError):
            await self.result(call)
        self.assertFalse(call.sent)

    async def test_response_before_the_request_is_read(self):
        refusal = b"HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n"

        async def early(reader, writer):
            await reader.read(100)
            writer.write(refusal)
            await asyncio.sleep(1)
            writer.close()

        server = await asyncio.start_server(early, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()
        client = http_client.open_client(address, 1)
        call = self.call(client, b"POST", b"x" * 20_000_000)
        reply = await self.result(call)
        self.assertEqual(reply.status, 413)
        self.assertEqual(client.idle, [])

    async def test_connection_limit(self):
        slow = sends(matching, wait_s=0.02)
        client = await self.open(lambda _, r: slow(r), limit=2)
        calls = [self.call(client) for _ in range(10)]
        replies = await asyncio.gather(*[self.result(call) for call in calls])
        self.assertEqual([row.body for row in replies], [b"good"] * 10)
        self.assertEqual(self.searcher.connections, 2)

    async def test_waiting_calls_are_ordered_and_dropped_in_time(self):
        # Guards against a pool that ignores the places of the calls.
        slow = sends(matching, wait_s=0.1)
        client = await self.open(lambda _, r: slow(r))
        encode = functools.partial(
            http_wire.encode_request, b"GET", b"/q", b"x-request-id: id-1\r\n"
        )
        now_s = client.loop.time()
        ended = []

        def start(name, priority, left_s):
            row = call_order.WaitingCall(
                *(name, priority, now_s, 0.2, now_s + left_s, 1.0, 0.0)
            )
            call = client.call(lambda: encode(b""), accept, False, lambda: row)
            call.future.add_done_callback(lambda _: ended.append(name))
            return call

        first = start("first", 0, 5.0)
        rows = [start("late", 2, 5.0), start("urgent", 0, 5.0)]
        short = start("short", 1, 0.05)
        await asyncio.gather(*[self.result(row) for row in (first, *rows)])
        self.assertEqual(ended, ["short", "first", "urgent", "late"])
        self.assertFalse(short.sent)
        self.assertIsInstance(short.future.exception(), errors.CallDroppedError)

    async def test_call_fails_if_connecting_fails_beside_a_busy_connection(
        self,
    ):
        client = await self.open(
            lambda *_: shards.ScriptedResponse((), "hang"), 2
        )
        busy = self.call(client)
        while not busy.sent:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        client.address = ("127.0.0.1", 1)
        late = self.call(client)
        with self.assertRaises(errors.ConnectError):
            async with asyncio.timeout(1.0):
                await late.future
        self.assertFalse(busy.future.done())
        busy.abort()

    async def test_aborted_call_frees_its_connection(self):
        client = await self.open(
            lambda _, r: (
                shards.ScriptedResponse(end="hang")
                if len(self.searcher.requests) == 1
                else sends(matching)(r)
            )
        )
        first = self.call(client)
        second = self.call(client)
        await asyncio.sleep(0.05)
        first.abort()
        reply = await self.result(second)
        self.assertEqual(reply.body, b"good")

    async def test_aborted_call_resets_its_connection(self):
        ends = []

        async def listen(reader, writer):
            await reader.read(100)
            try:
                ends.append(await reader.read(100))
            except ConnectionResetError as error:
                ends.append(type(error))

        server = await asyncio.start_server(listen, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()
        client = http_client.open_client(address, 1)
        call = self.call(client, b"POST", b"once")
        await asyncio.sleep(0.05)
        call.abort()
        await asyncio.sleep(0.05)
        self.assertEqual(ends, [ConnectionResetError])

    async def test_timed_out_call_frees_its_connection(self):
        client = await self.open(lambda *_: shards.ScriptedResponse(end="hang"))
        for _ in range(3):
            call = self.call(client)
            with self.assertRaises(TimeoutError):
                # The timeout cancels the future before the call is aborted.
                async with asyncio.timeout(0.05):
                    await call.future
            call.abort()
            await asyncio.sleep(0.02)
            self.assertEqual(len(client.connections), 0)
        self.assertEqual(len(self.searcher.requests), 3)

    async def test_call_aborted_before_sending_is_never_sent(self):
        slow = sends(matching, wait_s=0.05)
        client = await self.open(lambda _, r: slow(r))
        first, second = self.call(client), self.call(client)
        second.abort()
        await self.result(first)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.searcher.requests), 1)

    async def test_head_response_has_no_body(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
        client = await self.open(
            lambda *_: shards.ScriptedResponse(((0, head),))
        )
        reply = await self.result(self.call(client, b"HEAD"))
        self.assertEqual((reply.status, reply.body), (200, b""))

    async def test_keep_alive_timeout_of_the_server_is_respected(self):
        said = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\n"
        said += b"Content-Length: 0\r\n\r\n"
        client = await self.open(
            lambda *_: shards.ScriptedResponse(((0, said),))
        )
        await self.result(self.call(client))
        self.assertLess(client.idle[0].max_idle_s, 2)
        client.idle[0].idle_since_s -= 1.9
        await self.result(self.call(client))
        self.assertEqual(self.searcher.connections, 2)
