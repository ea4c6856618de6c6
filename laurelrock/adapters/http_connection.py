"""One connection of a caller to the HTTP server.

Each connection handles one request at a time, so responses keep the order of
the requests. Further requests are read only as far as the caller reads the
responses.
"""

import asyncio
import collections
import typing

from laurelrock.adapters import http_messages
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.adapters import request_parser
from laurelrock.core import evictions
from laurelrock.core import routes

if typing.TYPE_CHECKING:
    from laurelrock.adapters import http_server

__all__ = ["Connection"]

#: Number of waiting requests at which reading from a connection pauses.
MAX_PIPELINED = 8
#: Number of bytes that are parsed at a time. A read may hold thousands of
#: requests, each of which takes far more memory than its bytes.
PARSED_BYTES = 2048
#: Memory that a request takes besides its bytes.
REQUEST_OVERHEAD_BYTES = 1024
#: Number of copies of its body that exist while it is sent to a searcher.
BODY_COPIES = 2
#: Time for a caller to read the last response before its connection is closed,
#: in seconds.
LINGER_S = 0.5
#: Time for which a connection without a request counts as new, in seconds.
FIRST_REQUEST_GRACE_S = 1.0
#: Header of the refusal of a request for which memory is short. The caller's
#: next connection leads to another VM.
RETRY_HEADER = (b"retry-after", b"0.1")

_log = logs.get_logger(__name__)


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
        transport: Transport of the connection.
        server: Server that accepted the connection.
        loop: Event loop of the connection.
        parser: Parser of the requests.
        task: Task that handles the current request; None if there is none.
        waiting: Requests received after the current one, each with whether
            the caller keeps the connection open after it and its memory.
        unparsed: Bytes received that are not parsed yet.
        write_paused: Whether the caller doesn't read its responses.
        unsent_bytes: Size of what was not sent at the last check.
        handled_bytes: Memory that the current request takes.
        refusal_status: Status code of the refusal to send before the
            connection is closed; 0 if there is none.
        phase_start_s: Loop time at which the current request began to arrive
            or, on an idle connection, the last response was written.
        progress_s: Loop time at which the caller last sent or read something.
        round_trip_s: Round-trip time of the connection, in seconds.
        requests: Number of complete requests received.
    """

    transport: asyncio.Transport

    def __init__(self, server: "http_server.Server") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = request_parser.RequestParser(self)
        self.task: asyncio.Task[None] | None = None
        self.waiting: collections.deque[
            tuple[http_messages.Request, bool, int]
        ] = collections.deque()
        self.unparsed = b""
        self.write_paused = False
        self.unsent_bytes = 0
        self.handled_bytes = 0
        self.refusal_status = 0
        self.phase_start_s = self.progress_s = self.loop.time()
        self.round_trip_s = 0.0
        self.requests = 0

    @property
    def limits(self) -> routes.Limits:
        """Limits of the request that is being received."""
        return self.server.limits

    @property
    def handling(self) -> bool:
        """Whether a request is being handled."""
        return self.task is not None

    @property
    def blocked(self) -> bool:
        """Whether no further requests are read for now."""
        return self.write_paused or len(self.waiting) >= MAX_PIPELINED

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        http_wire.set_socket_options(transport)
        self.round_trip_s = http_wire.round_trip_s(transport)
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        self.server.memory.release(self)
        self.waiting.clear()
        if self.task is not None:
            self.server.counts["caller-left"] += 1
            self.task.cancel()
        if self.server.listener is not None:
            self.server.listener.release()

    def data_received(self, data: bytes) -> None:
        if self.parser.stopped:
            return
        self.progress_s = self.loop.time()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.parse()

    def pause_writing(self) -> None:
        self.write_paused = True
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.progress_s = self.loop.time()
        self.proceed()

    # Receiving of requests

    def parse(self) -> None:
        """Parses what was received, until too many requests wait."""
        data = self.unparsed
        at = 0
        while at < len(data) and not self.parser.stopped and not self.blocked:
            self.parser.feed(data[at : at + PARSED_BYTES])
            at += PARSED_BYTES
        self.unparsed = b"" if self.parser.stopped else data[at:]
        if self.blocked:
            self.transport.pause_reading()
        self.record_memory()

    def begin(self) -> None:
        self.phase_start_s = self.loop.time()

    def receive(self, message: request_parser.Message) -> None:
        one_way_s = self.round_trip_s / 2
        # Before its first request, the caller waited for the connection to
        # open, which takes one round trip.
        opening_s = 0.0 if self.requests else self.round_trip_s
        self.requests += 1
        request = http_messages.Request(
            message.method,
            message.target,
            message.headers,
            message.body,
            self.phase_start_s,
            self.phase_start_s - one_way_s - opening_s,
            one_way_s,
        )
        held = message.held_bytes + REQUEST_OVERHEAD_BYTES
        self.waiting.append((request, message.keep_open, held))
        self.start_next()

    def send_continue(self) -> None:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Handling of requests, in their order

    def start_next(self) -> None:
        """Starts to handle the next request if none is being handled."""
        if self.task is None and self.waiting and not self.write_paused:
            request, keep_open, held = self.waiting.popleft()
            self.handled_bytes = held + BODY_COPIES * len(request.body)
            self.task = self.loop.create_task(self.run(request, keep_open))

    def proceed(self) -> None:
        """Continues after a response, or once the caller reads again."""
        self.start_next()
        if self.unparsed and not self.blocked:
            self.parse()
        if not self.parser.stopped and not self.blocked and not self.unparsed:
            self.transport.resume_reading()

    async def run(
        self, request: http_messages.Request, keep_open: bool
    ) -> None:
        """Handles one request and writes the response."""
        try:
            response = await self.server.handle(request)
        except Exception as error:
            # Any exception ends the request, so that the caller gets a final
            # response at once.
            _log.error("handler-failed", reason=repr(error), exc_info=True)
            self.server.counts["handler-failed"] += 1
            response = http_messages.Response(500, [], close=True)
        self.task = None
        self.handled_bytes = 0
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
        if not keep_open:
            self.close_gracefully()
        elif self.parser.stopped and not self.waiting:
            self.send_refusal()
        else:
            self.proceed()
        self.record_memory()

    # Ends of the connection

    def refuse(self, status: int) -> None:
        """Refuses the request being received and ends the connection.

        Requests that were received before it are answered first.
        """
        if self.parser.stopped:
            return
        self.parser.stop()
        self.unparsed = b""
        self.server.counts[f"refused-{status}"] += 1
        _log.info(
            "request-refused", status=status, bytes=self.parser.header_bytes
        )
        self.refusal_status = status
        if self.task is None and not self.waiting:
            self.send_refusal()

    def send_refusal(self) -> None:
        """Sends the refusal, if there is one, and ends the connection."""
        if self.refusal_status:
            headers = [RETRY_HEADER] if self.refusal_status == 503 else []
            self.transport.write(
                http_wire.encode_response(
                    self.refusal_status, headers, b"", False, False
                )
            )
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Closes the connection, after time to read the last response."""
        self.parser.stop()
        self.unparsed = b""
        self.waiting.clear()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        # Closing a connection with unread input would reset it.
        self.transport.resume_reading()
        self.loop.call_later(LINGER_S, self.transport.close)

    def abandon(self) -> None:
        """Closes the connection at once; a request in progress is cancelled."""
        self.parser.stop()
        self.unparsed = b""
        self.waiting.clear()
        if self.task is None and not self.transport.get_write_buffer_size():
            self.transport.close()
        else:
            http_wire.reset(self.transport)

    def check_timeouts(self, now_s: float) -> None:
        """Ends the connection if it exceeds a time limit.

        A request that arrives too slowly gets status 408. While a request is
        handled, no limit applies.
        """
        limits = self.server.limits
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.progress_s = now_s
        if self in self.server.memory.held:
            self.record_memory()
        if unsent:
            if now_s - self.progress_s > limits.idle_timeout_s:
                self.server.counts["unread-closed"] += 1
                _log.info("responses-unread", bytes=unsent)
                self.abandon()
            return
        if self.task is not None or self.parser.stopped:
            return
        if self.parser.receiving:
            if now_s - self.phase_start_s > limits.header_timeout_s:
                self.refuse(408)
        elif now_s - self.phase_start_s > limits.idle_timeout_s:
            self.server.counts["idle-closed"] += 1
            self.transport.close()

    # Limits over all connections

    def record_memory(self) -> None:
        """Records the memory that is held for the caller."""
        held = 0
        if not self.transport.is_closing():
            held = self.parser.held_bytes + len(self.unparsed)
            held += self.handled_bytes + sum(row[2] for row in self.waiting)
            held += self.transport.get_write_buffer_size()
        self.server.memory.set(self, held)

    def shed(self) -> None:
        """Ends the connection because memory is short.

        A request of which nothing was run yet is refused; others may run.
        """
        self.server.counts["shed"] += 1
        _log.info("connection-shed", handling=self.handling)
        is_read = not self.transport.get_write_buffer_size()
        if self.parser.receiving and is_read and not self.handling:
            self.refuse(503)
        else:
            self.abandon()

    def eviction_state(self, now_s: float) -> evictions.ConnectionState:
        """Returns what decides whether the connection is closed for another."""
        return evictions.ConnectionState(
            handling=self.handling,
            ended=self.parser.stopped,
            unsent=self.transport.get_write_buffer_size() > 0,
            used=self.requests > 0,
            new=now_s - self.phase_start_s < FIRST_REQUEST_GRACE_S,
        )
