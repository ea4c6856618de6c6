"""Fuzz tests of the parsers for input of callers, searchers and the store."""

import asyncio
import json
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_connection
from laurelrock.adapters import http_server
from laurelrock.adapters import tolerant_json
from laurelrock.core import routes
from laurelrock.platform import header_codec
from laurelrock.platform import objects
from tests import gateway_builders as build

BOUNDED = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
HEADERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                *(b"x-request-id", b"x-deadline-ms", b"x-server-load"),
                *(b"x-server-stamp", b"connection", b"keep-alive", b"other"),
            ]
        ),
        strategies.binary(max_size=12),
    ),
    max_size=6,
)
PIECES = [
    *(b"GET /a HTTP/1.1\r\n", b"POST /a HTTP/1.1\r\n", b"Host: x\r\n"),
    *(b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b"\r\n"),
    *(b"abc", b"3\r\nabc\r\n", b"0\r\n\r\n", b"HTTP/1.1 200 OK\r\n"),
    *(b"HTTP/1.1 100 Continue\r\n\r\n", b"Connection: close\r\n", b"\x00"),
]
STREAMS = strategies.lists(
    strategies.sampled_from(PIECES) | strategies.binary(max_size=6),
    max_size=12,
)


class Socket:
    """Fake socket that accepts any option."""

    def setsockopt(self, *unused):
        pass

    def getsockopt(self, level, option, size):
        return bytes(size)


class Transport:
    """Fake transport that records the written bytes."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def get_extra_info(self, name):
        return Socket()

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def can_write_eof(self):
        return False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return 0


def with_field(row, name, value):
    return {**row, name: value}


class StoreFuzzTest(unittest.TestCase):
    @BOUNDED
    @hypothesis.given(strategies.binary(max_size=40))
    def test_bodies(self, body):
        try:
            objects.decode_body(body)
        except errors.StoreError:
            return

    @BOUNDED
    @hypothesis.given(VALUES, strategies.booleans())
    def test_values_beside_an_unreadable_one(self, value, indented):
        indent = 1 if indented else None
        text = json.dumps(value, indent=indent)
        hypothesis.assume("Infinity" not in text)
        raw = f'[{text}, 1e999, {{"of": {text}}}]'.encode()
        first, second, third = tolerant_json.decode(raw, 1)
        self.assertIsInstance(second, tolerant_json.Unreadable)
        self.assertEqual((first, third), (value, {"of": value}))

    @BOUNDED
    @hypothesis.given(
        strategies.sampled_from(sorted(build.store_searcher())), VALUES
    )
    def test_searchers(self, name, value):
        try:
            found = objects.read_searcher(
                "s", with_field(build.store_searcher(), name, value)
            )
        except errors.FieldError:
            return
        self.assertGreaterEqual(found.slots, 1)
        self.assertIn(found.state, ("live", "draining"))

    @BOUNDED
    @hypothesis.given(
        strategies.sampled_from(sorted(build.store_query([]))), VALUES
    )
    def test_routes(self, name, value):
        row = with_field(build.store_query(["a", "b"]), name, value)
        try:
            found = objects.read_configuration({"version": 1, "routes": [row]})
        except errors.FieldError:
            return
        routes.find_route(routes.create_table(found), build.HOST, "/query/a")

    @BOUNDED
    @hypothesis.given(HEADERS)
    def test_headers(self, headers):
        caller_headers = header_codec.read_caller_headers(headers)
        if caller_headers.time_left_s is not None:
            self.assertGreaterEqual(caller_headers.time_left_s, 0)
        header_codec.read_searcher_headers(200, headers)
        head = header_codec.encode_common_headers(headers, caller_headers)
        self.assertNotIn(b"x-deadline-ms", head)
        self.assertNotIn(b"connection:", head)


class HttpFuzzTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_streams(self):
        seen = []

        async def handle(request):
            seen.append(request)
            return http_server.Response(200, [], b"ok")

        @BOUNDED
        @hypothesis.given(STREAMS)
        def feed(stream):
            server = http_server.Server(handle, routes.Limits(200, 50, 1, 1))
            connection = http_connection.Connection(server)
            connection.connection_made(Transport())
            for piece in stream:
                connection.data_received(piece)
            connection.connection_lost(None)

        feed()
        await asyncio.sleep(0)
        for request in seen:
            self.assertLessEqual(len(request.body), 50)

    async def test_searchers(self):
        @BOUNDED
        @hypothesis.given(STREAMS)
        def feed(stream):
            client = http_client.open_client(("127.0.0.1", 1), 1)
            connection = http_client.Connection(client)
            connection.connection_made(Transport())
            client.connections.add(connection)
            future = client.loop.create_future()
            call = http_client.Call(lambda: b"", lambda *_: True, False, future)
            connection.send_request(call)
            for piece in stream:
                if not connection.transport.is_closing():
                    connection.data_received(piece)
            connection.eof_received()
            connection.connection_lost(None)
            self.assertTrue(future.done())
            if future.exception() is not None:
                self.assertIsInstance(
                    future.exception(), errors.CallBrokenError
                )

        feed()
