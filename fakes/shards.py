"""Fake searcher of the users' platform that responds as a script decides.

A script is a function from a request to the bytes to send and to what then
happens to the connection. `healthy` is the script of a searcher without
faults.
"""

import asyncio
import collections.abc
import socket
import struct
import typing

import httptools

__all__ = [
    "Request",
    "ScriptedResponse",
    "ScriptedSearcher",
    "crash_on",
    "encode_response",
    "endless",
    "FAILURES_BELOW_500",
    "HEALTH_PATH",
    "healthy",
    "name_limit",
    "start",
]

#: Path of the searchers' health.
HEALTH_PATH = "/healthz"
#: Statuses of searchers that failed, though the status is below 500.
FAILURES_BELOW_500 = (
    "302 Found",
    "400 Bad Request",
    "404 Not Found",
    "408 Request Timeout",
    "409 Conflict",
    "429 Too Many Requests",
)

ConnectionEnd = typing.Literal["keep", "close", "reset", "hang", "crash"]


class Request(typing.NamedTuple):
    """HTTP request as the searcher received it.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: Headers by lower-case name; the values of several headers of
            one name are joined by commas.
        body: Body of the request.
        client: Host and port of the client.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int] = ("", 0)

    @property
    def id(self) -> str:
        """Value of X-Request-Id, or an empty string."""
        return self.headers.get("x-request-id", "")


class ScriptedResponse(typing.NamedTuple):
    """Scripted response to a request.

    Attributes:
        chunks: Chunks of bytes to send, each with the seconds to wait before.
        end: What happens to the connection after the chunks; "crash" ends the
            searcher with all of its connections.
        endless: Bytes that are sent over and over after the chunks, until the
            client ends the connection; if empty, none are.
        pace_s: Seconds to wait before each repetition.
    """

    chunks: tuple[tuple[float, bytes], ...] = ()
    end: ConnectionEnd = "keep"
    endless: bytes = b""
    pace_s: float = 0.0


Script = collections.abc.Callable[
    ["ScriptedSearcher", Request], ScriptedResponse
]


class ScriptedSearcher:
    """State of one searcher.

    Attributes:
        name: Id of the searcher.
        script: Function that decides how to respond to a request.
        records: Body of the responses; if empty, the request's body
            is echoed.
        requests: Requests received so far, without those for its health.
        connections: Number of connections accepted so far.
        endless_bytes: Number of bytes sent of endless responses.
        open: Open connections: the reader of each writer.
        server: Listening server, once started.
        address: Host and port on which it listens.
    """

    def __init__(self, name: str, script: Script, records: bytes) -> None:
        self.name = name
        self.script = script
        self.records = records
        self.requests: list[Request] = []
        self.connections = 0
        self.endless_bytes = 0
        self.open: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.server: asyncio.Server | None = None
        self.address = ("", 0)

    @property
    def clients_disconnected(self) -> bool:
        """Whether the clients have ended all of their connections."""
        return all(
            reader.at_eof() or reader.exception() is not None
            for reader in self.open.values()
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.connections += 1
        self.open[writer] = reader
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                client = writer.get_extra_info("peername")
                request = request._replace(client=client)
                if request.target != HEALTH_PATH:
                    self.requests.append(request)
                if not await self.send_response(
                    self.script(self, request), writer
                ):
                    break
        except (ConnectionError, asyncio.CancelledError):
            # The client disconnected, or the test has ended.
            return
        finally:
            self.open.pop(writer, None)
            writer.close()

    async def send_response(
        self, response: ScriptedResponse, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a response; returns whether the connection is kept."""
        for wait_s, chunk in response.chunks:
            await asyncio.sleep(wait_s)
            writer.write(chunk)
            await writer.drain()
        while response.endless:
            await asyncio.sleep(response.pace_s)
            writer.write(response.endless)
            await writer.drain()
            self.endless_bytes += len(response.endless)
        if response.end == "hang":
            await asyncio.sleep(3600)
        if response.end == "crash":
            await self.stop()
        if response.end == "reset":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return response.end == "keep"

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class _ParsedRequest:
    """Collects the parts of a request that httptools has parsed."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.complete = False
        self.body = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode().lower(), value.decode("latin-1")
        before = self.headers.get(key)
        self.headers[key] = text if before is None else f"{before}, {text}"

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; returns None at the end of the connection."""
    head = _ParsedRequest()
    parser = httptools.HttpRequestParser(head)
    while not head.complete:
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    method = parser.get_method().decode()
    return Request(method, head.target.decode(), head.headers, head.body)


def encode_response(
    request: Request, status: str, body: bytes, *headers: str
) -> bytes:
    """Returns the bytes of a complete response."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request.id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def endless(before: bytes, repeated: bytes) -> ScriptedResponse:
    """Returns a response that never ends.

    Args:
        before: Bytes that are sent once.
        repeated: Bytes that are sent over and over after them.
    """
    return ScriptedResponse(((0, before),), endless=repeated)


def healthy(searcher: ScriptedSearcher, request: Request) -> ScriptedResponse:
    """Responds like a searcher without faults."""
    target = request.headers.get("x-target-instance")
    if target not in (None, searcher.name):
        return ScriptedResponse(
            ((0, encode_response(request, "421 Misdirected Request", b"")),)
        )
    stamp_header = f"X-Server-Stamp: {searcher.name}.{request.id}"
    body = searcher.records or request.body
    return ScriptedResponse(
        ((0, encode_response(request, "200 OK", body, stamp_header)),)
    )


def crash_on(target: str, delay_s: float = 0.01) -> Script:
    """Returns the script of a searcher that crashes if it runs a request.

    Args:
        target: Target of the request; other requests are answered.
        delay_s: Time that the request runs before the searcher crashes, in
            seconds.
    """

    def script(
        searcher: ScriptedSearcher, request: Request
    ) -> ScriptedResponse:
        if request.target == target:
            return ScriptedResponse(((delay_s, b""),), "crash")
        return healthy(searcher, request)

    return script


def name_limit(per_s: float) -> Script:
    """Returns the script of a searcher that names a limit of requests."""

    def script(
        searcher: ScriptedSearcher, request: Request
    ) -> ScriptedResponse:
        stamp = f"X-Server-Stamp: {searcher.name}.{request.id}"
        limit = f"Server-Limit: {per_s}"
        body = searcher.records or request.body
        raw = encode_response(request, "200 OK", body, stamp, limit)
        return ScriptedResponse(((0, raw),))

    return script


async def start(
    name: str = "s-1", script: Script = healthy, records: bytes = b""
) -> ScriptedSearcher:
    """Starts a fake searcher on a free port of the loopback interface."""
    searcher = ScriptedSearcher(name, script, records)
    searcher.server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
    searcher.address = searcher.server.sockets[0].getsockname()
    return searcher
