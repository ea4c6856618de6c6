"""Fuzz tests of keys through the HTTP server."""

import asyncio
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from laurelrock.adapters import exposition
from laurelrock.adapters import http_connection
from laurelrock.adapters import http_server
from laurelrock.core import routes
from laurelrock.gateways import gateway
from laurelrock.gateways import gateway_metrics
from laurelrock.gateways import outcomes
from laurelrock.gateways.workspaces import cap_accounts
from laurelrock.gateways.workspaces import keys
from laurelrock.platform import header_codec
from laurelrock.platform import objects
from tests import gateway_builders as build
from tests import gateways
from tests import test_fuzz
from tests import virtual_time

KEY = b"zqqa5yu2bsp73yswk9dw"
#: The part of a key that must not appear anywhere, whatever surrounds it.
SECRET = KEY[4:]
WORKSPACE = b"ralo620"
BOUNDED = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)


def change_case(name: bytes) -> strategies.SearchStrategy[bytes]:
    bits = strategies.integers(0, 2 ** len(name) - 1)
    return bits.map(
        lambda n: bytes(
            ord(chr(c).upper()) if n >> i & 1 else c for i, c in enumerate(name)
        )
    )


SPACES = strategies.sampled_from([b"", b" ", b"\t", b"  "])
VALUES = strategies.sampled_from(
    [KEY, KEY, KEY, b"", KEY + b"x", KEY.upper(), b"\xff\xfe" + KEY, b"other"]
) | strategies.binary(max_size=8).map(
    lambda raw: bytes(c for c in raw if c >= 32 and c != 127)
)
LINES = strategies.tuples(
    change_case(b"api-key") | change_case(b"x-tenant-id"),
    strategies.tuples(SPACES, VALUES, SPACES).map(b"".join),
)
REQUESTS = strategies.tuples(
    strategies.lists(LINES, max_size=4), strategies.lists(LINES, max_size=2)
)


def encode(lines, trailers) -> bytes:
    head = b"POST /single/x HTTP/1.1\r\nHost: %b\r\nX-Request-Id: r-1\r\n"
    rows = [head % build.HOST.encode()]
    rows += [b"%b:%b\r\n" % row for row in lines]
    rows.append(b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n")
    rows += [b"%b:%b\r\n" % row for row in trailers]
    return b"".join([*rows, b"\r\n"])


def sent_keys(lines) -> set[bytes]:
    return {
        value.strip(b" \t")
        for name, value in lines
        if name.lower() == b"api-key"
    }


class Received:
    """One gateway without sockets, and the requests that it would run."""

    def __init__(self, age_s=0.0, **route):
        options = build.options(*[("127.0.0.1", n) for n in range(4)], 4)
        self.gateway = gateway.Gateway(
            options,
            header_codec,
            unittest.mock.Mock(calls=0),
            exposition.create_metrics(),
        )
        self.gateway.spawn = lambda coroutine: coroutine.close()
        self.gateway.run_request = self.run_request
        self.gateway.follower.age_s = lambda: age_s
        self.gateway.follower.searchers_read = True
        document = build.store_configuration(
            build.store_single(**route),
            tenants=[{"name": "ralo620", "api_keys": [KEY.decode()]}],
        )
        self.gateway.follower.apply_configuration(
            objects.read_configuration(document)
        )
        self.contexts = []

    async def run_request(self, context):
        self.contexts.append(context)
        return outcomes.Outcome("failed", 502, reason="not called")

    async def receive(self, raw: bytes) -> bytes:
        """Sends the bytes of a request; returns those of the response."""
        server = http_server.Server(
            self.gateway.answer, routes.Limits(2048, 100, 1, 1)
        )
        connection = http_connection.Connection(server)
        transport = test_fuzz.Transport()
        written: list[bytes] = []
        transport.write = written.append
        transport.writelines = written.extend
        connection.connection_made(transport)
        connection.data_received(raw)
        while connection.task:
            await connection.task
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return b"".join(written)


class KeyFuzzTest(unittest.TestCase):
    def setUp(self):
        self.log_events = []
        self.enterContext(gateways.capture_log_events(self.log_events))

    def play(self, request, **options):
        self.log_events.clear()

        async def run():
            received = Received(**options)
            response = await received.receive(encode(*request))
            received.metrics = received.gateway.metrics.export()
            return received, response

        return virtual_time.run(run())

    def assert_secret_kept(self, received, response):
        shown = repr(self.log_events).encode() + response + received.metrics
        for context in received.contexts:
            shown += repr(context).encode()
        self.assertFalse(SECRET.lower() in shown.lower())

    @BOUNDED
    @hypothesis.given(REQUESTS)
    def test_only_one_valid_key_is_accepted(self, request):
        received, response = self.play(request)
        status = int(response[9:12])
        if status != 400:
            accepted = sent_keys(request[0]) == {KEY}
            self.assertEqual(status, 502 if accepted else 401)
        for context in received.contexts:
            rows = context.request.headers
            self.assertNotIn(b"api-key", [name for name, _ in rows])
            names = [value for name, value in rows if name == b"x-tenant-id"]
            self.assertEqual(names, [WORKSPACE])
            common = context.head.lower()
            self.assertEqual(common.count(b"x-tenant-id"), 1)
            self.assertNotIn(b"api-key", common)
        self.assert_secret_kept(received, response)

    @BOUNDED
    @hypothesis.given(REQUESTS)
    def test_old_data_never_lead_to_401(self, request):
        age_s = keys.MAX_CONFIGURATION_AGE_S + 0.1
        received, response = self.play(request, age_s=age_s)
        status = int(response[9:12])
        if status != 400:
            accepted = sent_keys(request[0]) == {KEY}
            self.assertEqual(status, 502 if accepted else 503)
            self.assertEqual(b"retry-after" in response.lower(), status == 503)
        self.assert_secret_kept(received, response)

    @BOUNDED
    @hypothesis.given(REQUESTS)
    def test_public_routes_need_no_key_and_pass_none_on(self, request):
        received, response = self.play(request, public=True)
        if int(response[9:12]) != 400:
            self.assertEqual(len(received.contexts), 1)
            names = {
                value
                for name, value in received.contexts[0].request.headers
                if name == b"x-tenant-id"
            }
            found = sent_keys(request[0]) == {KEY}
            self.assertEqual(names, {WORKSPACE} if found else set())
        self.assert_secret_kept(received, response)

    def test_unanswered_poll_of_the_configuration_leads_to_503(self):
        # The searchers are up to date, but the configuration may be old.
        async def run():
            received = Received()
            received.gateway.follower.failing_polls.add("configuration")
            return await received.receive(encode([(b"api-key", b"new")], []))

        self.assertEqual(virtual_time.run(run())[9:12], b"503")

    def test_decisions_are_counted_by_workspace(self):
        # Guards against a decision that no metric or the wrong one counts.
        async def run():
            received = Received(public=True)
            node, mock = received.gateway, unittest.mock.AsyncMock
            gateway_metrics.register_places_and_workspaces(node, node.metrics)
            table = node.follower.table
            free = table.configuration.workspaces[0]
            outcome = outcomes.Outcome("refused", 503, overloaded=True)
            node.run_request = mock(
                side_effect=[outcomes.Outcome("answered", 200), outcome]
            )
            node.cap_sharing.admit = mock(
                return_value=cap_accounts.Admission(False, 1.0)
            )
            for workspace in (free, free, free._replace(requests_per_s=1.0)):
                by_key = dict.fromkeys(table.by_key, workspace)
                node.follower.table = table._replace(by_key=by_key)
                await received.receive(encode([(b"api-key", KEY)], []))
            return node.metrics.export().decode()

        text, prefix = virtual_time.run(run()), "laurelrock_workspace_"
        rows = {"requests": 3, "admitted": 1}
        for name, count in {
            **rows,
            "cap_refused": 1,
            "overload_refused": 1,
        }.items():
            row = f'{prefix}{name}_total{{kind="ralo620"}} {count}'
            self.assertIn(row, text)

    def test_refused_key_is_logged_without_the_key(self):
        received, _ = self.play(([(b"Api-Key", KEY + b"x")], []))
        rows = [row for row in self.log_events if row["event"] == "key-refused"]
        self.assertEqual(rows, [{**rows[0], "request": "r-1", "version": 2}])
        self.assertEqual(received.gateway.counts["refused-401"], 1)
