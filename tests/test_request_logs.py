"""Tests that log lines explain each outcome of a request."""

import asyncio
import typing

from fakes import shards
from tests import gateway_builders as build
from tests import gateways

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
DOCUMENT = build.store_configuration(
    build.store_query(SHARDS, target_latency_ms=150),
    build.store_single(timeout_ms=300),
)
#: Fields of the line of each request: inputs of decisions, and their ages.
FIELDS = frozenset(
    {
        *("request", "route", "version", "outcome", "status", "ms"),
        *("before_ms", "patience_ms", "shards", "included", "missing"),
        *("attempts", "reason", "configured_ms", "searchers_age_ms"),
    }
)


def mute(searcher, request):
    return shards.ScriptedResponse((), "hang")


def failing(searcher, request):
    stamp = f"X-Server-Stamp: {searcher.name}.{request.id}"
    status = "500 Internal Server Error"
    return shards.ScriptedResponse(
        ((0, shards.encode_response(request, status, b"", stamp)),)
    )


def full(searcher, request):
    status = "503 Service Unavailable"
    answer = shards.encode_response(request, status, b"", "X-Not-Executed: 1")
    return shards.ScriptedResponse(((0, answer),))


class Row(typing.NamedTuple):
    """An outcome that is tested.

    Attributes:
        outcome: The outcome in the log line.
        status: The HTTP status of the answer.
        target: The target of the request.
        script: The behaviour of the searcher of `files` and of the last shard.
        reason: A part of the line's reason.
        missing: A part of the line's missing shards.
        before: The event of another line of the same request.
    """

    outcome: str
    status: int
    target: str
    script: typing.Any = shards.healthy
    reason: str = ""
    missing: str = ""
    before: str = ""


ROWS = (
    Row("answered", 200, "/query/a"),
    Row("partial", 200, "/query/a", mute, missing="shard-3: no answer from"),
    Row("partial", 200, "/query/a", failing, "", "500", "call-failed"),
    Row("answered", 200, "/single/a"),
    Row("late", 504, "/single/a", mute, "no answer from"),
    Row("failed", 500, "/single/a", failing, "500", before="call-failed"),
    Row("refused", 503, "/single/a", full, "503", before="call-failed"),
)


class RequestLogTest(gateways.GatewayCase):
    async def start_with(self, script):
        """Starts a gateway with a scripted searcher of each kind."""
        rows = await gateways.start_shard_searchers(len(SHARDS) - 1)
        for service in (SHARDS[-1], "files"):
            searcher = await shards.start(f"s-{service}", script, b"x" * 16)
            rows.append((service, searcher))
        await self.start(DOCUMENT, rows)

    def line_of(self, request_id):
        """Returns the only line of the end of a request."""
        (line,) = [
            line
            for line in self.log_events
            if line["event"] in ("request", "request-refused")
            and line.get("request") == request_id
        ]
        return line

    async def check(self, row):
        await self.start_with(row.script)
        self.log_events.clear()
        answer = await self.ask(gateways.encode_request(row.target, "r-9"))
        self.assertEqual(answer.status, row.status)
        line = self.line_of("r-9")
        self.assertLessEqual(FIELDS, set(line))
        self.assertEqual(line["outcome"], row.outcome)
        self.assertEqual(line["status"], row.status)
        self.assertEqual(line["version"], 2)
        self.assertIn(row.reason, line["reason"])
        self.assertIn(row.missing, " ".join(line["missing"]))
        self.assertGreaterEqual(line["configured_ms"], 0)
        self.assertEqual(line["searchers_age_ms"], 0)
        if row.before:
            events = {
                other["event"]
                for other in self.log_events
                if other.get("request") == "r-9"
            }
            self.assertIn(row.before, events)

    async def test_disconnect_of_the_caller(self):
        await self.start_with(mute)
        _, writer = await self.connect()
        writer.write(gateways.encode_request("/single/a", "r-9"))
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await self.until(
            lambda: any(row.get("request") == "r-9" for row in self.log_events)
        )
        line = self.line_of("r-9")
        self.assertEqual(line["reason"], "caller left")
        self.assertLessEqual(FIELDS, set(line))

    async def test_no_route(self):
        await self.start_with(shards.healthy)
        answer = await self.ask(gateways.encode_request("/other/a", "r-9"))
        self.assertEqual(answer.status, 404)
        line = self.line_of("r-9")
        self.assertIn("no route for", line["reason"])
        self.assertEqual(line["version"], 2)
        self.assertGreaterEqual(line["configured_ms"], 0)

    async def test_no_configuration(self):
        await self.start(None, [])
        answer = await self.ask(gateways.encode_request("/single/a", "r-9"))
        self.assertEqual(answer.status, 503)
        line = self.line_of("r-9")
        self.assertEqual(line["reason"], "no configuration")
        self.assertEqual(line["version"], 0)


def add(row: Row, number: int) -> None:
    """Adds the test of a row."""

    async def test(self):
        await self.check(row)

    setattr(RequestLogTest, f"test_row_{number}_{row.outcome}", test)


for index, table_row in enumerate(ROWS):
    add(table_row, index)
