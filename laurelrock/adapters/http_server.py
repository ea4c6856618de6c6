"""HTTP server: callers' requests on kept connections.

httptools parses; uvicorn and starlette weigh more memory than the VMs of the
platform give, and leave less control over limits and over connections that
end. One request at a time is handled on a connection; the order of answers is
the order of requests.
"""

import asyncio
import collections
import collections.abc
import typing

import httptools

from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import routes

__all__ = ["Answer", "Request", "Server", "open_server"]

#: Requests of one connection that wait for their turn; reading pauses above.
MAX_PIPELINED = 8
#: Interval at which idle and slow connections are looked for, in seconds.
SWEEP_S = 0.2
#: Time for a caller to read a refusal before its connection ends, in seconds.
LINGER_S = 0.5
#: Connections that the kernel keeps for the process to accept.
BACKLOG = 1024

_log = logs.get_logger(__name__)


class Request(typing.NamedTuple):
    """One request, whole.

    Attributes:
        method: As sent.
        target: Path and query as sent.
        headers: Names in lower case, in the order sent.
        body: Decoded.
        received_s: Loop time of the first byte.
        asked_s: Loop time at which the caller began, with the connection that
            it may have opened first, by the kernel's round trip.
        return_s: Time that an answer's first byte takes to the caller.
    """

    method: bytes
    target: bytes
    headers: http_wire.Headers
    body: bytes
    received_s: float
    asked_s: float
    return_s: float


class Answer(typing.NamedTuple):
    """What a caller gets; headers without those of the connection."""

    status: int
    headers: http_wire.Headers
    body: bytes = b""
    close: bool = False


Handler = collections.abc.Callable[
    [Request], collections.abc.Coroutine[typing.Any, typing.Any, Answer]
]


class Server:
    """State of one listening port.

    Attributes:
        handle: Answers a request; cancelled when the caller leaves.
        limits: In force for requests that begin now.
        closing: Whether answers tell callers to connect anew.
        connections: Open now.
        counts: Events by kind, for the metrics.
        listener: Of the port; None once closed.
    """

    def __init__(self, handle: Handler, limits: routes.Limits) -> None:
        self.handle = handle
        self.limits = limits
        self.closing = False
        self.connections: set[Connection] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.listener: asyncio.Server | None = None

    @property
    def busy(self) -> int:
        """Connections with a request in hand."""
        return sum(1 for row in self.connections if row.task or row.waiting)

    def stop_listening(self) -> None:
        """Refuses new connections; open ones go on."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Closes the connections with no request in hand."""
        for row in list(self.connections):
            if not row.task and not row.waiting and not row.receiving:
                row.transport.close()

    def sweep(self, now_s: float) -> None:
        """Ends connections that are idle or slow beyond the limits."""
        for row in list(self.connections):
            row.check_time(now_s)


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    transport: asyncio.Transport

    def __init__(self, server: Server) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task[None] | None = None
        self.waiting: collections.deque[tuple[Request, bool]] = (
            collections.deque()
        )
        self.receiving = False
        #: Whether nothing more is read, and the status that says why.
        self.refused = False
        self.refusal = 0
        self.since_s = self.loop.time()
        self.round_trip_s = 0.0
        self.requests = 0
        self.target = b""
        self.headers: http_wire.Headers = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        http_wire.tune(transport)
        self.round_trip_s = http_wire.round_trip_s(transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.task is not None:
            self.server.counts["caller-left"] += 1
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        if self.refused:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refused = True
        except httptools.HttpParserError:
            self.refuse(400)
        if self.receiving and not self.refused:
            self.check_size()

    def check_size(self) -> None:
        """Refuses a request that is over the limits."""
        if self.header_bytes > self.server.limits.header_bytes:
            self.refuse(431)
        elif self.body_bytes > self.server.limits.body_bytes:
            self.refuse(413)

    # httptools

    def on_message_begin(self) -> None:
        self.receiving = True
        self.since_s = self.loop.time()
        self.target = b""
        self.headers = []
        self.body = []
        self.header_bytes = self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))
        self.header_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        if self.refused:
            return
        fault = http_wire.fault_of(self.headers, self.parser.get_http_version())
        if fault or not self.target:
            self.refuse(400)
            return
        self.check_size()
        length = http_wire.value_of(self.headers, b"content-length")
        if length is not None and int(length) > self.server.limits.body_bytes:
            self.refuse(413)
        expects = http_wire.value_of(self.headers, b"expect")
        if expects is not None and not self.refused:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_bytes <= self.server.limits.body_bytes:
            self.body.append(data)

    def on_message_complete(self) -> None:
        self.receiving = False
        if not self.refused:
            self.check_size()
        if self.refused:
            return
        return_s = self.round_trip_s / 2
        # The first request waited for its connection to open.
        opening_s = 0.0 if self.requests else self.round_trip_s
        self.requests += 1
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.since_s,
            self.since_s - return_s - opening_s,
            return_s,
        )
        self.waiting.append((request, self.parser.should_keep_alive()))
        if len(self.waiting) >= MAX_PIPELINED:
            self.transport.pause_reading()
        self.next()

    # Requests in their order

    def next(self) -> None:
        """Starts the next request, if none is in hand."""
        if self.task is None and self.waiting:
            request, keep = self.waiting.popleft()
            self.task = self.loop.create_task(self.run(request, keep))

    async def run(self, request: Request, keep: bool) -> None:
        """Answers one request."""
        try:
            answer = await self.server.handle(request)
        except Exception as error:
            # Whatever it is, the caller gets a final answer now.
            _log.error("handler-failed", reason=repr(error), exc_info=True)
            self.server.counts["handler-failed"] += 1
            answer = Answer(500, [], close=True)
        self.task = None
        if self.transport.is_closing():
            return
        keep = keep and not answer.close and not self.server.closing
        self.transport.write(
            http_wire.encode_answer(
                answer.status,
                answer.headers,
                answer.body,
                keep,
                request.method == b"HEAD",
            )
        )
        self.since_s = self.loop.time()
        if keep and self.refused and not self.waiting:
            self.answer_refusal()
            return
        if not keep:
            self.end()
            return
        if self.waiting and not self.refused:
            self.transport.resume_reading()
        self.next()

    def refuse(self, status: int) -> None:
        """Answers a request that was not read, and ends the connection."""
        if self.refused:
            return
        self.refused = True
        self.receiving = False
        self.server.counts[f"refused-{status}"] += 1
        _log.info("request-refused", status=status, bytes=self.header_bytes)
        self.refusal = status
        if self.task is None and not self.waiting:
            self.answer_refusal()

    def answer_refusal(self) -> None:
        """Tells why nothing more is read, and ends the connection."""
        if self.refusal:
            self.transport.write(
                http_wire.encode_answer(self.refusal, [], b"", False, False)
            )
        self.end()

    def end(self) -> None:
        """Closes the connection after the caller could read the answer."""
        self.refused = True
        self.waiting.clear()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def check_time(self, now_s: float) -> None:
        """Ends the connection where the caller takes too long."""
        if self.task is not None or self.refused:
            return
        limits = self.server.limits
        if self.receiving:
            if now_s - self.since_s > limits.header_s:
                self.refuse(408)
        elif now_s - self.since_s > limits.idle_s:
            self.server.counts["idle-closed"] += 1
            self.transport.close()


async def open_server(
    handle: Handler, address: tuple[str, int], limits: routes.Limits
) -> Server:
    """Listens on an address; raises `OSError` where it is taken."""
    loop = asyncio.get_running_loop()
    server = Server(handle, limits)
    server.listener = await loop.create_server(
        lambda: Connection(server), *address, backlog=BACKLOG
    )

    def sweep() -> None:
        server.sweep(loop.time())
        loop.call_later(SWEEP_S, sweep)

    sweep()
    return server
