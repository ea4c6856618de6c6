"""Tests invalid input on every interface of the processes of one VM.

Each invalid input must get the documented error. Afterwards the same
processes must still answer a valid search completely.
"""

import collections
import contextlib
import io
import json
import random
import socket
import types
import unittest

from starlette import requests
import zmq

from laurelrock import entry
from laurelrock import messages
from tests import builders
from tests import processes

ADDRESS = builders.vm_address(1)
HTTP_PORT, ENTRY_BUS_PORT, RELAY_BUS_PORT = 8080, 7401, 7402
QUOTES, OTHER = "quotes", "other"
TOKEN = {"Authorization": f"Bearer {builders.TOKEN}"}
READER_TOKEN = {"Authorization": "Bearer reader"}
KEY = {"Idempotency-Key": builders.save_key(1)}
VALID_BODY = {"query": {"text": "panel"}}
DEEPLY_NESTED = b"[" * 20_000
TOO_LONG = b'{"query": "' + b"x" * 70_000 + b'"}'

#: Number of times that each unexpected message is sent.
UNEXPECTED_REPEATS = 30

#: Application, headers, body, and the expected status and error code.
BAD_SEARCHES = [
    (QUOTES, {}, VALID_BODY, 401, "unauthorized"),
    (QUOTES, {"Authorization": "Bearer "}, VALID_BODY, 401, "unauthorized"),
    (QUOTES, {"Authorization": "Bearer x"}, VALID_BODY, 401, "unauthorized"),
    (QUOTES, {"Authorization": "Basic eDp5"}, VALID_BODY, 401, "unauthorized"),
    (
        QUOTES,
        {"Authorization": "Bearer \xe9\xff"},
        VALID_BODY,
        401,
        "unauthorized",
    ),
    (QUOTES, READER_TOKEN, VALID_BODY, 403, "forbidden"),
    ("none", TOKEN, VALID_BODY, 404, "unknown-application"),
    ("%00", TOKEN, VALID_BODY, 404, "unknown-application"),
    ("x" * 5000, TOKEN, VALID_BODY, 404, "unknown-application"),
    (QUOTES, TOKEN, b"", 400, "bad-request"),
    (QUOTES, TOKEN, b"{", 400, "bad-request"),
    (QUOTES, TOKEN, b"\xff\xfe", 400, "bad-request"),
    (QUOTES, TOKEN, b"[]", 400, "bad-request"),
    (QUOTES, TOKEN, b"null", 400, "bad-request"),
    (QUOTES, TOKEN, DEEPLY_NESTED, 400, "bad-request"),
    (QUOTES, TOKEN, b'{"query": ' + DEEPLY_NESTED, 400, "bad-request"),
    (QUOTES, TOKEN, b'{"query": NaN}', 400, "bad-request"),
    (QUOTES, TOKEN, TOO_LONG, 413, "body-too-large"),
    (QUOTES, TOKEN, {}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"limit": 0}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"limit": 10**30}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"limit": "ten"}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"limit": None}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"deadline_ms": 0}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"deadline_ms": -5}, 400, "bad-request"),
    (
        QUOTES,
        TOKEN,
        VALID_BODY | {"deadline_ms": 3_600_000},
        400,
        "bad-request",
    ),
    (QUOTES, TOKEN, VALID_BODY | {"deadline_ms": True}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"min_coverage": 1.1}, 400, "bad-request"),
    (QUOTES, TOKEN, VALID_BODY | {"min_coverage": [1]}, 400, "bad-request"),
]
BAD_SAVES = [
    (QUOTES, KEY, {"body": 1}, 401, "unauthorized"),
    (QUOTES, READER_TOKEN | KEY, {"body": 1}, 403, "forbidden"),
    ("none", TOKEN | KEY, {"body": 1}, 404, "unknown-application"),
    (OTHER, READER_TOKEN | KEY, {"body": 1}, 403, "forbidden"),
    (OTHER, TOKEN | KEY, {"body": 1}, 400, "bad-request"),
    (QUOTES, TOKEN, {"body": 1}, 400, "bad-request"),
    (QUOTES, TOKEN | {"Idempotency-Key": "7"}, {"body": 1}, 400, "bad-request"),
    (QUOTES, TOKEN | KEY, b"{", 400, "bad-request"),
    (QUOTES, TOKEN | KEY, {}, 400, "bad-request"),
    (QUOTES, TOKEN | KEY, {"body": "x" * 70_000}, 413, "body-too-large"),
    (QUOTES, TOKEN | KEY, {"body": 1, "deadline_ms": 0}, 400, "bad-request"),
    (QUOTES, TOKEN | KEY, {"body": 1, "deadline_ms": 1e9}, 400, "bad-request"),
]
#: Method, path, and the expected status and error code.
BAD_PATHS = [
    ("GET", "/", 404, "not-found"),
    ("POST", "/v1/applications/quotes", 404, "not-found"),
    ("GET", "/v1/applications/quotes/search", 405, "method-not-allowed"),
    ("DELETE", "/v1/applications/quotes/saves", 405, "method-not-allowed"),
]
POST = b"POST /v1/applications/quotes/search HTTP/1.1\r\nContent-Length: "
#: Bytes that are not a valid HTTP request.
BAD_BYTES = [
    b"\x00\xff" * 100,
    b"GET\r\n\r\n",
    POST + b"x\r\n\r\n",
    POST + b"9\r\n\r\n{",
    b"GET / HTTP/1.1\r\nX: " + b"y" * 200_000,
]


def malformed_frames() -> list[list[bytes]]:
    """Returns frames that are not a valid message."""
    random.seed(20261203)
    kinds = [*messages.KINDS, b"", b"\xff", b"search"]
    bodies = [
        b"",
        b"\xc1",
        b"\x90",
        b"\x9f" + b"\xc0" * 15,
        random.randbytes(60),
    ]
    deep = b"\x96\xa1x\xa1x\xa1x\x90\x91\x94\xcb" + b"\x00" * 8
    bodies.append(deep + b"\xa1x\xa1x" + b"\x91" * 100_000)
    frames = [[kind, body] for kind in kinds for body in bodies]
    return [*frames, [], [b""], [b"q"], [b"q", b"", b""], [b"x" * 100_000]]


SEARCH = messages.Search(
    "1",
    "x",
    "r",
    QUOTES,
    "v1",
    1000.0,
    0,
    10,
    b'"x"',
    [messages.ServiceShards("service0", ["s0"])],
)


def unexpected_messages() -> list:
    """Returns well-formed messages that no daemon sends."""
    outcomes = [messages.ShardOutcome("s0", "ok")]
    hits = [messages.Hit(9.9, "forged", "s0")]
    return [
        messages.SearchReply("1", "x", "v1", outcomes, hits),
        messages.SaveReply("1", "x", "yes", b'"forged"'),
        messages.Cancel("none", "x"),
        messages.Pong("x", False),
        SEARCH._replace(time_left_ms=-1.0),
        SEARCH._replace(time_left_ms=float("nan")),
        SEARCH._replace(time_left_ms=float("inf")),
        SEARCH._replace(priority=-3),
        SEARCH._replace(limit=-1),
        SEARCH._replace(query=b"{"),
        SEARCH._replace(query=b'"\xff"'),
        SEARCH._replace(parts=[]),
        messages.Save("1", "x", "r", QUOTES, "none", "k", 1.0, b"{"),
        messages.Ping(""),
    ]


def unknown_searches() -> list:
    """Returns searches that an entry with another manifest may send."""
    [part] = SEARCH.parts
    return [
        SEARCH,
        SEARCH._replace(application="none"),
        SEARCH._replace(snapshot="none"),
        SEARCH._replace(parts=[part._replace(service="none")]),
        SEARCH._replace(parts=[part._replace(shards=["none"])]),
    ]


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_untyped_exception_is_answered_as_unknown(self):
        self.assertEqual(
            await self.call_failing_endpoint(0), (500, "internal", "unknown")
        )

    async def test_too_many_requests_run_nothing(self):
        self.assertEqual(
            await self.call_failing_endpoint(1), (503, "overloaded", "no")
        )

    async def call_failing_endpoint(self, in_flight):
        """Returns the status, code and `ran` for an endpoint that raises."""
        limits = types.SimpleNamespace(max_in_flight=1)
        settings = types.SimpleNamespace(entry=limits)
        stub = types.SimpleNamespace(
            daemon=types.SimpleNamespace(settings=settings),
            in_flight=in_flight,
            answers=collections.Counter(),
            latency=types.SimpleNamespace(record=lambda *_: None),
        )

        async def endpoint(request, request_id):
            raise ZeroDivisionError

        request = requests.Request({"type": "http", "path": "/", "headers": []})
        with self.assertNoLogs(), contextlib.redirect_stdout(io.StringIO()):
            answer = await entry.with_error_handling(stub, endpoint)(request)
        problem = json.loads(answer.body)
        self.assertEqual(stub.in_flight, in_flight)
        return answer.status_code, problem["code"], problem["ran"]


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        source = builders.small_manifest()
        quotes = source.applications[QUOTES]
        other = builders.application(save_service=None)
        reader = builders.caller("reader", [OTHER], saves=False)
        caller = builders.caller(builders.TOKEN, [QUOTES, OTHER])
        source = source._replace(
            applications={
                QUOTES: quotes,
                OTHER: builders.with_searcher_prefix(other, "o-"),
            },
            callers={builders.CALLER: caller, "reader": reader},
        )
        cls.source = source
        cls.deployment = processes.open_deployment(cls)
        cls.deployment.start_platform({"e1": ADDRESS})
        cls.manifest = cls.deployment.start_searchers(source)
        cls.deployment.start_daemon("relay", "e1")
        cls.deployment.start_daemon("entry", "e1")
        cls.deployment.publish(cls.manifest)
        processes.wait_until_serving(f"http://{ADDRESS}:9401/readyz")

    def tearDown(self):
        self.check_valid_search()
        for name, process in self.deployment.processes.items():
            self.assertIsNone(process.poll(), name)
            self.assertNotIn("Traceback", self.deployment.log(name))

    def check_valid_search(self, application: str = QUOTES) -> None:
        """Checks that a valid search is answered completely."""
        status, answer = self.ask(application, "search", TOKEN, VALID_BODY)
        self.assertEqual(status, 200, answer)
        self.assertFalse(answer["partial"], answer)
        self.assertNotIn("forged", {hit["id"] for hit in answer["hits"]})

    def ask(self, application, verb, headers, body) -> tuple[int, dict]:
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = (
            f"http://{ADDRESS}:{HTTP_PORT}/v1/applications/{application}/{verb}"
        )
        status, answer = processes.post(url, raw, headers)
        return status, json.loads(answer)

    def check_refused(self, answer: tuple[int, dict], status, code) -> None:
        self.assertEqual((answer[0], answer[1]["code"]), (status, code))
        self.assertEqual(answer[1]["ran"], "no")
        self.assertEqual(answer[1]["status"], status)
        self.assertTrue(answer[1]["request_id"])

    def metric(self, port: int, name: str) -> float:
        """Returns the sum of all samples of a metric."""
        text = processes.get(f"http://{ADDRESS}:{port}/metrics").decode()
        return sum(
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith(name) or f'"{name}"' in line
        )

    def test_invalid_searches(self):
        for application, headers, body, status, code in BAD_SEARCHES:
            with self.subTest(
                app=application[:9],
                code=code,
                body=body[:30] if isinstance(body, bytes) else body,
            ):
                answer = self.ask(application, "search", headers, body)
                self.check_refused(answer, status, code)
                self.check_valid_search()

    def test_invalid_saves(self):
        for application, headers, body, status, code in BAD_SAVES:
            with self.subTest(app=application, code=code, headers=headers):
                answer = self.ask(application, "saves", headers, body)
                self.check_refused(answer, status, code)
                self.check_valid_search()

    def test_invalid_paths(self):
        for method, path, status, code in BAD_PATHS:
            with self.subTest(method=method, path=path):
                answer = processes.send_request(
                    method, f"http://{ADDRESS}:8080{path}"
                )
                self.check_refused(
                    (answer[0], json.loads(answer[1])), status, code
                )

    def test_malformed_bytes_on_every_port(self):
        for port in (HTTP_PORT, 9401, 9402, ENTRY_BUS_PORT, RELAY_BUS_PORT):
            for raw in BAD_BYTES:
                with self.subTest(port=port, raw=raw[:20]):
                    with socket.create_connection((ADDRESS, port), 5) as peer:
                        peer.settimeout(0.2)
                        with contextlib.suppress(OSError):
                            peer.sendall(raw)
                            peer.shutdown(socket.SHUT_WR)
                            peer.recv(4096)
                    self.check_valid_search()

    def test_bad_messages_on_the_bus_ports(self):
        for port, admin in ((ENTRY_BUS_PORT, 9401), (RELAY_BUS_PORT, 9402)):
            with self.subTest(port=port), zmq.Context() as context:
                before = self.metric(admin, "bad_frames")
                with context.socket(zmq.DEALER) as peer:
                    peer.setsockopt(zmq.LINGER, 1000)
                    peer.connect(f"tcp://{ADDRESS}:{port}")
                    frames = malformed_frames()
                    for message in frames:
                        peer.send_multipart(message or [b""])
                    sent = (
                        unexpected_messages() * UNEXPECTED_REPEATS
                        + unknown_searches()
                    )
                    for message in sent:
                        peer.send_multipart(messages.encode(message))
                    self.check_valid_search()
                    # Messages of one connection are processed in order.
                    peer.send_multipart(messages.encode(messages.Ping("x")))
                    if admin == 9402:
                        self.wait_pong(peer)
                self.check_valid_search()
                found = self.metric(admin, "bad_frames") - before
                self.assertGreater(found, len(frames) / 2)
                role = "entry" if admin == 9401 else "relay"
                log = self.deployment.log(f"{role}-e1")
                self.assertEqual(self.metric(admin, "handler_errors"), 0, log)

    def wait_pong(self, peer: zmq.Socket) -> None:
        """Reads messages until the relay answers the ping."""
        while peer.poll(5000):
            message = messages.decode(peer.recv_multipart())
            if isinstance(message, messages.Pong):
                return
        self.fail("no answer to a valid message after the invalid ones")

    def test_searchers_that_violate_the_protocol(self):
        ids = [
            searcher.id
            for group in self.source.applications[QUOTES].services.values()
            for searcher in group
        ]
        first = self.source.applications[QUOTES].services["service0"]
        rows = [
            ("garbage", ids, 0.0),
            ("wrong-id", ids, 0.0),
            ("garbage", [row.id for row in first], 0.5),
            ("wrong-id", [row.id for row in first], 0.5),
        ]
        for fault, broken, coverage in rows:
            with self.subTest(fault=fault, coverage=coverage):
                self.deployment.control_searchers(broken, fault=fault)
                status, answer = self.ask(QUOTES, "search", TOKEN, VALID_BODY)
                if coverage:
                    self.assertEqual(status, 200)
                    self.assertEqual(answer["coverage"]["fraction"], coverage)
                    [missing] = answer["coverage"]["missing"]
                    self.assertEqual(missing["reason"], "protocol")
                else:
                    self.assertEqual(answer["code"], "coverage-too-low")
                    self.assertEqual(answer["ran"], "unknown")
                self.check_valid_search(OTHER)
                self.deployment.control_searchers(broken, fault="none")
                self.check_valid_search()
