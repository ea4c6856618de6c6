"""Tests of clients that keep within no limit, on the process of a gateway.

Each crowd stays connected while an ordinary request is sent. The process has to
live, to stay within the memory and the descriptors that its settings allow, and
to answer the ordinary request.
"""

import asyncio

from fakes import callers
from laurelrock.adapters import frames
from tests import client_crowds
from tests import gateway_builders as build
from tests import gateway_process

MAX_BODY_BYTES, MAX_HEADER_BYTES = 1_048_576, 16_384
#: Limits of requests; none of them ends a client of a crowd within its test.
LIMITS = {
    "max_body_bytes": MAX_BODY_BYTES,
    "max_header_bytes": MAX_HEADER_BYTES,
    "header_timeout_ms": 60_000,
    "idle_timeout_ms": 120_000,
}
HOST_LINE = b"Host: %b\r\n" % build.HOST.encode()
CHUNKED = (
    b"POST /single/x HTTP/1.1\r\n"
    + HOST_LINE
    + b"Transfer-Encoding: chunked\r\n\r\n"
)
PORTS = {
    "callers": gateway_process.CALLERS_PORT,
    "readiness": gateway_process.READINESS_PORT,
    "peers": gateway_process.PEERS_PORT,
    "metrics": gateway_process.METRICS_PORT,
}


class CrowdTest(gateway_process.GatewayProcessCase):
    async def check(self, count, script, port=gateway_process.CALLERS_PORT):
        """Runs a crowd and checks what has to hold meanwhile and after it."""
        crowd = await client_crowds.open_crowd((self.host, port), count, script)
        self.addCleanup(crowd.close)
        self.assert_alive()
        self.assert_within_limits()
        await self.assert_served()
        await self.assert_ready()
        self.assert_alive()
        self.assert_within_limits()


class BodyTest(CrowdTest):
    async def check_bodies(self, count, chunk_bytes):
        """Sends bodies in chunks that stop one byte short of their end."""
        await self.start(gateway_process.Limits(), **LIMITS)
        chunks = (MAX_BODY_BYTES - 1) // chunk_bytes
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        await self.check(count, client_crowds.Script(CHUNKED, chunk, chunks))

    async def test_large_chunks(self):
        await self.check_bodies(150, 16_384)

    async def test_small_chunks(self):
        await self.check_bodies(8, 2)

    async def test_complete_bodies(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        body = b"x" * MAX_BODY_BYTES
        raw = callers.encode_request(
            build.HOST, "/single/x", method="POST", body=body
        )
        await self.check(150, client_crowds.Script(raw))

    async def test_trailers_without_end(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        body = b"30d40\r\n%b\r\n0\r\nX: " % (b"x" * 200_000)
        script = client_crowds.Script(CHUNKED + body, b"y" * 10_000, 150)
        await self.check(100, script)

    async def test_bodies_on_other_listeners(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        chunk = b"4000\r\n%b\r\n" % (b"x" * 0x4000)
        script = client_crowds.Script(CHUNKED, chunk, 63)
        for name in ("readiness", "peers", "metrics"):
            with self.subTest(name):
                await self.check(60, script, PORTS[name])


class HeaderTest(CrowdTest):
    async def test_many_small_fields(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        before = b"GET /single/x HTTP/1.1\r\n" + HOST_LINE
        fields = (MAX_HEADER_BYTES - 1024) // 7
        script = client_crowds.Script(before, b"a: b\r\n", fields)
        await self.check(400, script)


class ReadAheadTest(CrowdTest):
    """Requests that are sent ahead, and whose answers are not read."""

    async def check_requests(self, request, count=40, listener="callers"):
        await self.start(gateway_process.Limits(), **LIMITS)
        script = client_crowds.Script(b"", request, 4_000_000 // len(request))
        await self.check(count, script, PORTS[listener])

    async def test_without_the_usual_headers(self):
        await self.check_requests(b"GET / HTTP/1.1\r\n" + HOST_LINE + b"\r\n")

    async def test_without_any_header(self):
        await self.check_requests(b"GET / HTTP/1.1\r\n\r\n")

    async def test_of_an_older_version(self):
        await self.check_requests(
            b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
        )

    async def test_that_searchers_run(self):
        await self.check_requests(
            b"GET /single/x HTTP/1.1\r\n" + HOST_LINE + b"\r\n"
        )

    async def test_that_expect_a_reply_before_their_body(self):
        await self.check_requests(
            b"POST / HTTP/1.1\r\n"
            + HOST_LINE
            + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"
        )

    async def test_with_long_answers(self):
        body = b"x" * 500_000
        raw = callers.encode_request(
            build.HOST, "/single/x", method="POST", body=body
        )
        await self.check_requests(raw, 40)

    async def test_at_the_path_that_says_ready(self):
        await self.check_requests(
            b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
            listener="readiness",
        )

    async def test_for_the_state_of_this_vm(self):
        await self.check_requests(
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", listener="peers"
        )

    async def test_for_the_metrics(self):
        await self.check_requests(
            b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", listener="metrics"
        )


class ConnectionTest(CrowdTest):
    """More connections than the process may have descriptors."""

    limits = gateway_process.Limits(max_fds=700)

    async def check_connections(self, sent, port=gateway_process.CALLERS_PORT):
        await self.start(self.limits, **LIMITS)
        await self.check(900, client_crowds.Script(sent), port)

    async def test_idle(self):
        await self.check_connections(b"")

    async def test_with_a_part_of_a_request(self):
        await self.check_connections(b"GET /single/x HTT")

    async def test_idle_after_a_request(self):
        await self.check_connections(
            b"GET / HTTP/1.1\r\n" + HOST_LINE + b"\r\n"
        )

    async def test_on_other_listeners(self):
        await self.start(self.limits, **LIMITS)
        for name in ("readiness", "peers", "metrics"):
            with self.subTest(name):
                await self.check(900, client_crowds.Script(), PORTS[name])

    async def test_of_other_vms(self):
        await self.check_connections(b"", gateway_process.PEER_LINKS_PORT)


class PeerLinkTest(CrowdTest):
    """Connections at the port for messages between VMs."""

    async def test_frames_cut_short(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        length = frames.MAX_FRAME_BYTES.to_bytes(frames.LENGTH_BYTES)
        script = client_crowds.Script(length, b"x" * 65_536, 63)
        await self.check(40, script, gateway_process.PEER_LINKS_PORT)

    async def test_replies_that_are_not_read(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        frame = (1).to_bytes(frames.LENGTH_BYTES) + b"\x7e"
        script = client_crowds.Script(b"", frame, 400_000)
        await self.check(40, script, gateway_process.PEER_LINKS_PORT)


class SeveralCrowdsTest(CrowdTest):
    async def test_at_the_same_time(self):
        await self.start(gateway_process.Limits(max_fds=1500), **LIMITS)
        body = b"4000\r\n%b\r\n" % (b"x" * 0x4000)
        ahead = b"GET / HTTP/1.1\r\n" + HOST_LINE + b"\r\n"
        fields = (MAX_HEADER_BYTES - 1024) // 7
        rows = (
            ("callers", 100, client_crowds.Script(CHUNKED, body, 63)),
            ("callers", 40, client_crowds.Script(b"", ahead, 50_000)),
            (
                "callers",
                200,
                client_crowds.Script(ahead[:-2], b"a: b\r\n", fields),
            ),
            ("callers", 600, client_crowds.Script()),
            ("readiness", 100, client_crowds.Script(b"", ahead, 50_000)),
            ("metrics", 100, client_crowds.Script(b"", ahead, 50_000)),
        )
        crowds = await asyncio.gather(
            *(
                client_crowds.open_crowd(
                    (self.host, PORTS[port]), count, script
                )
                for port, count, script in rows
            )
        )
        for crowd in crowds:
            self.addCleanup(crowd.close)
        self.assert_within_limits()
        await self.assert_served()
        await self.assert_ready()
        self.assert_within_limits()


class OrdinaryTest(gateway_process.GatewayProcessCase):
    """Single clients within the limits, without a crowd."""

    async def ask(self, raw):
        caller = callers.Caller((self.host, gateway_process.CALLERS_PORT))
        self.addCleanup(caller.close)
        return await caller.ask(raw, gateway_process.TIMEOUT_S)

    async def test_longest_body_in_small_chunks(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        head = callers.encode_request(
            build.HOST,
            "/single/x",
            deadline_ms=10_000,
            method="POST",
            headers=["Transfer-Encoding: chunked"],
        )
        body = b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n"
        answer = await self.ask(head + body)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"x" * MAX_BODY_BYTES)

    async def test_longest_headers_of_small_fields(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        fields = ["a: b"] * ((MAX_HEADER_BYTES - 1024) // 6)
        raw = callers.encode_request(
            build.HOST, "/single/x", deadline_ms=10_000, headers=fields
        )
        self.assertEqual((await self.ask(raw)).status, 200)

    async def test_requests_sent_ahead_are_all_answered(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        reader, writer = await asyncio.open_connection(
            self.host, gateway_process.CALLERS_PORT
        )
        self.addCleanup(writer.transport.abort)
        count = 500
        writer.write(
            b"".join(
                callers.encode_request(
                    build.HOST, "/single/x", f"r-{number}", 10_000
                )
                for number in range(count)
            )
        )
        for number in range(count):
            async with asyncio.timeout(gateway_process.TIMEOUT_S):
                answer = await callers.read_response(reader)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers["x-request-id"], f"r-{number}")

    async def test_answer_that_is_read_late(self):
        await self.start(gateway_process.Limits(), **LIMITS)
        reader, writer = await asyncio.open_connection(
            self.host, gateway_process.CALLERS_PORT, limit=4096
        )
        self.addCleanup(writer.transport.abort)
        body = b"x" * MAX_BODY_BYTES
        writer.write(
            callers.encode_request(
                build.HOST,
                "/single/x",
                deadline_ms=10_000,
                method="POST",
                body=body,
            )
        )
        await asyncio.sleep(1.5)
        async with asyncio.timeout(gateway_process.TIMEOUT_S):
            answer = await callers.read_response(reader)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, body)
