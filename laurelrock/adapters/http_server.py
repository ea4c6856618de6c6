"""HTTP/1.1 server for callers' requests, with persistent connections.

Each connection handles one request at a time, so responses keep the order of
the requests. Requests are parsed with httptools. uvicorn and starlette aren't
used, since they need more memory than the platform's VMs have and give less
control over limits and over closing connections.
"""

import asyncio
import collections
import collections.abc
import typing

import httptools

from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import routes

__all__ = ["Request", "Response", "Server", "open_server"]

#: Maximum number of bytes, per byte of the body, that its transfer encoding may
#: add, and the size of a request line and of the ends of lines, in bytes.
MAX_FRAMING_RATIO, FRAMING_SLACK_BYTES = 8, 1024
#: Number of waiting requests at which reading from a connection pauses.
MAX_PIPELINED = 8
#: Interval between two checks for idle and slow connections, in seconds.
SWEEP_INTERVAL_S = 0.2
#: Time for a caller to read the last response before its connection is closed,
#: in seconds.
LINGER_S = 0.5
#: Time for which a stopping process waits for the first request of a connection
#: that it accepted, in seconds.
FIRST_REQUEST_GRACE_S = 1.0
#: Maximum number of connections that wait in the kernel to be accepted.
BACKLOG = 1024

_log = logs.get_logger(__name__)


class Request(typing.NamedTuple):
    """A complete request.

    Attributes:
        method: Method, as sent.
        target: Path and query, as sent.
        headers: Header fields in the order sent, their names in lower case.
        body: Body, with its transfer encoding removed.
        received_s: Loop time at which the first byte was received.
        caller_start_s: Estimated loop time at which the caller started, before
            it opened the connection if this is its first request. Derived from
            the kernel's round-trip time.
        response_delay_s: Estimated time that the first byte of a response takes
            to the caller, in seconds.
    """

    method: bytes
    target: bytes
    headers: http_wire.Headers
    body: bytes
    received_s: float
    caller_start_s: float
    response_delay_s: float


class Response(typing.NamedTuple):
    """Response to a caller.

    Attributes:
        status: HTTP status code.
        headers: Header fields without those of connection and framing.
        body: Whole body.
        close: Whether the connection is closed after the response.
    """

    status: int
    headers: http_wire.Headers
    body: bytes = b""
    close: bool = False


Handler = collections.abc.Callable[
    [Request], collections.abc.Coroutine[typing.Any, typing.Any, Response]
]


class Server:
    """One listening port and its connections.

    Attributes:
        handle: Handler that returns the response to a request; it is cancelled
            if the caller disconnects.
        limits: Size and time limits for requests that begin now; the gateway
            replaces them with each new configuration.
        closing: Whether each response closes its connection, so that the
            caller has to open a new one.
        connections: Open connections.
        counts: Numbers of events by kind, for the metrics.
        listener: Listening socket; None once closed.
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
        """Number of connections with a running or a waiting request."""
        return sum(
            1
            for connection in self.connections
            if connection.task or connection.waiting
        )

    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones continue."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Closes the connections without a request.

        The first request of a connection that was just accepted may still be
        on its way; the caller gets no answer if it is closed.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            age_s = now_s - connection.phase_start_s
            expects_first = (
                not connection.requests and age_s < FIRST_REQUEST_GRACE_S
            )
            if (
                not connection.task
                and not connection.waiting
                and not connection.receiving
                and not expects_first
            ):
                connection.transport.close()

    def sweep(self, now_s: float) -> None:
        """Ends the connections that exceed a time limit."""
        for connection in list(self.connections):
            connection.check_timeouts(now_s)


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
        transport: Transport of the connection.
        server: Server that accepted the connection.
        loop: Event loop of the connection.
        parser: Parser of the requests.
        task: Task that handles the current request; None if there is none.
        waiting: Requests received after the current one, each with whether
            the caller keeps the connection open after it.
        receiving: Whether a request is partly received.
        input_closed: Whether further input is ignored.
        refusal_status: Status code of the refusal to send before the
            connection is closed; 0 if there is none.
        phase_start_s: Loop time at which the current request began to arrive
            or, on an idle connection, the last response was written.
        round_trip_s: Round-trip time of the connection, in seconds.
        requests: Number of complete requests received.
        target: Path and query of the request being received.
        headers_complete: Whether all of its header fields are received.
        headers: Header fields of the request being received.
        header_bytes: Size of target and header fields received so far.
        body: Parts of the body received so far.
        body_bytes: Size of the body received so far.
        begun: Number of requests that began to arrive.
        later_bytes: Size of what was received of the request after the read in
            which it began.
    """

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
        self.input_closed = False
        self.refusal_status = 0
        self.phase_start_s = self.loop.time()
        self.round_trip_s = 0.0
        self.requests = 0
        self.target = b""
        self.headers: http_wire.Headers = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.begun = 0
        self.later_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        http_wire.set_socket_options(transport)
        self.round_trip_s = http_wire.round_trip_s(transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.task is not None:
            self.server.counts["caller-left"] += 1
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        if self.input_closed:
            return
        begun = self.begun
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.input_closed = True
        except httptools.HttpParserError:
            self.refuse(400)
        if self.receiving and not self.input_closed:
            if self.begun == begun:
                self.later_bytes += len(data)
            self.check_size()

    def check_size(self) -> None:
        """Refuses a request that exceeds the size limits.

        The parser reports a header when it is complete, and the framing of a
        body never; both may come without end.
        """
        max_bytes = self.server.limits.max_header_bytes
        framing = self.later_bytes - self.body_bytes
        max_framing = max_bytes + FRAMING_SLACK_BYTES
        max_framing += MAX_FRAMING_RATIO * self.body_bytes
        if self.header_bytes > max_bytes or framing > max_framing:
            self.refuse(431)
        elif self.body_bytes > self.server.limits.max_body_bytes:
            self.refuse(413)

    # httptools

    def on_message_begin(self) -> None:
        self.receiving = True
        self.phase_start_s = self.loop.time()
        self.target = b""
        self.headers_complete = False
        self.headers = []
        self.body = []
        self.header_bytes = self.body_bytes = self.later_bytes = 0
        self.begun += 1

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value) + 4
        if self.headers_complete:
            # Trailers must not pass as headers, such as a key.
            return
        if self.header_bytes <= self.server.limits.max_header_bytes:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.headers_complete = True
        # Headers beyond the limit were dropped, so that others may seem faulty.
        self.check_size()
        if self.input_closed:
            return
        fault = http_wire.find_header_fault(
            self.headers, self.parser.get_http_version()
        )
        if fault or not self.target:
            self.refuse(400)
            return
        length = http_wire.header_value(self.headers, b"content-length")
        if (
            length is not None
            and int(length) > self.server.limits.max_body_bytes
        ):
            self.refuse(413)
        expects = http_wire.header_value(self.headers, b"expect")
        if expects is not None and not self.input_closed:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_bytes <= self.server.limits.max_body_bytes:
            self.body.append(data)

    def on_message_complete(self) -> None:
        self.receiving = False
        if not self.input_closed:
            self.check_size()
        if self.input_closed:
            return
        one_way_s = self.round_trip_s / 2
        # Before its first request, the caller waited for the connection to
        # open, which takes one round trip.
        opening_s = 0.0 if self.requests else self.round_trip_s
        self.requests += 1
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.phase_start_s,
            self.phase_start_s - one_way_s - opening_s,
            one_way_s,
        )
        self.waiting.append((request, self.parser.should_keep_alive()))
        if len(self.waiting) >= MAX_PIPELINED:
            self.transport.pause_reading()
        self.start_next()

    # Handling of requests, in their order

    def start_next(self) -> None:
        """Starts to handle the next request if none is being handled."""
        if self.task is None and self.waiting:
            request, keep_open = self.waiting.popleft()
            self.task = self.loop.create_task(self.run(request, keep_open))

    async def run(self, request: Request, keep_open: bool) -> None:
        """Handles one request and writes the response."""
        try:
            response = await self.server.handle(request)
        except Exception as error:
            # Any exception ends the request, so that the caller gets a final
            # response at once.
            _log.error("handler-failed", reason=repr(error), exc_info=True)
            self.server.counts["handler-failed"] += 1
            response = Response(500, [], close=True)
        self.task = None
        if self.transport.is_closing():
            return
        keep_open = keep_open and not response.close and not self.server.closing
        self.transport.write(
            http_wire.encode_response(
                response.status,
                response.headers,
                response.body,
                keep_open,
                request.method == b"HEAD",
            )
        )
        self.phase_start_s = self.loop.time()
        if keep_open and self.input_closed and not self.waiting:
            self.send_refusal()
            return
        if not keep_open:
            self.close_gracefully()
            return
        if self.waiting and not self.input_closed:
            self.transport.resume_reading()
        self.start_next()

    def refuse(self, status: int) -> None:
        """Refuses the request being received and ends the connection.

        Requests that were received before it are answered first.
        """
        if self.input_closed:
            return
        self.input_closed = True
        self.receiving = False
        self.server.counts[f"refused-{status}"] += 1
        _log.info("request-refused", status=status, bytes=self.header_bytes)
        self.refusal_status = status
        if self.task is None and not self.waiting:
            self.send_refusal()

    def send_refusal(self) -> None:
        """Sends the refusal, if there is one, and ends the connection."""
        if self.refusal_status:
            self.transport.write(
                http_wire.encode_response(
                    self.refusal_status, [], b"", False, False
                )
            )
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Closes the connection, after time to read the last response."""
        self.input_closed = True
        self.waiting.clear()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def check_timeouts(self, now_s: float) -> None:
        """Ends the connection if it exceeds a time limit.

        A request that arrives too slowly gets status 408. While a request is
        handled, no limit applies.
        """
        if self.task is not None or self.input_closed:
            return
        limits = self.server.limits
        if self.receiving:
            if now_s - self.phase_start_s > limits.header_timeout_s:
                self.refuse(408)
        elif now_s - self.phase_start_s > limits.idle_timeout_s:
            self.server.counts["idle-closed"] += 1
            self.transport.close()


async def open_server(
    handle: Handler, address: tuple[str, int], limits: routes.Limits
) -> Server:
    """Starts a server on an address; raises `OSError` if it can't listen."""
    loop = asyncio.get_running_loop()
    server = Server(handle, limits)
    server.listener = await loop.create_server(
        lambda: Connection(server), *address, backlog=BACKLOG
    )

    def sweep() -> None:
        server.sweep(loop.time())
        loop.call_later(SWEEP_INTERVAL_S, sweep)

    sweep()
    return server
