"""ASGI server of the daemons: uvicorn with limits for its clients.

uvicorn limits neither the header of a request nor the time until it is
complete, parses all requests of a read at once, and accepts connections until
the process has no descriptors.
"""

import asyncio
import collections.abc
import contextlib
import resource
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl

from laurelrock import errors
from laurelrock.adapters import acceptor
from laurelrock.adapters import logs
from laurelrock.core import client_limits
from laurelrock.core import client_memory
from laurelrock.core import evictions

__all__ = ["Protocol", "Server", "create_server"]

#: Maximum size in bytes of a request line with its header fields.
MAX_HEADER_BYTES = 65_536
#: Time limit for receiving a request, from its first byte to its end, in
#: seconds.
REQUEST_TIMEOUT_S = 30.0
#: Time in seconds after which a connection without a request is closed, and one
#: whose client doesn't read a response.
IDLE_TIMEOUT_S = 75.0
#: Number of bytes that are parsed at a time, and number of waiting requests
#: from which no more are parsed.
PARSED_BYTES, MAX_PIPELINED = 2048, 8
#: Memory in bytes that a request and a header field take besides their bytes.
REQUEST_OVERHEAD_BYTES, HEADER_OVERHEAD_BYTES = 4096, 160
#: Memory in bytes of a daemon, of which clients get a fraction.
PROCESS_BYTES = 256_000_000
#: Interval between two checks of the time limits, in seconds.
SWEEP_INTERVAL_S = 0.5
#: Age in seconds up to which a connection without a request is new.
NEW_S = 1.0

_log = logs.get_logger(__name__)


class Protocol(httptools_impl.HttpToolsProtocol):
    """One connection of a client.

    Attributes:
        owner: Server that accepted the connection.
        unparsed: Bytes received that are not parsed yet.
        begun_s: Loop time at which the request being received began, or 0.
        phase_start_s: Loop time at which the connection was opened or last
            ended a request.
        progress_s: Loop time at which the client last sent or read something.
        header_bytes: Size of what was received of the request before its body
            or, later, after the last piece with a part of it.
        header_count: Number of its header fields and trailers.
        body_bytes: Size of its body received so far.
        requests: Number of complete requests received.
        unsent_bytes: Size of what was not sent at the last check.
    """

    def __init__(self, owner: "Server", **fields: typing.Any) -> None:
        super().__init__(**fields)
        self.owner = owner
        self.unparsed = b""
        self.begun_s = 0.0
        self.phase_start_s = self.progress_s = self.loop.time()
        self.header_bytes = self.header_count = self.body_bytes = 0
        self.requests = self.unsent_bytes = 0

    @property
    def handling(self) -> bool:
        """Whether a complete request is being handled."""
        cycle = self.cycle
        return bool(
            cycle and not cycle.response_complete and not cycle.more_body
        )

    # asyncio.Protocol

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.unparsed = b""
        self.pipeline.clear()
        self.owner.release(self)

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self.progress_s = self.loop.time()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self.parse()

    def resume_writing(self) -> None:
        self.progress_s = self.loop.time()
        super().resume_writing()

    # Parsing

    def parse(self) -> None:
        """Parses what was received, until too many requests wait."""
        data = self.unparsed
        at = 0
        while at < len(data) and not self.transport.is_closing():
            if len(self.pipeline) >= MAX_PIPELINED:
                self.flow.pause_reading()
                break
            piece = data[at : at + PARSED_BYTES]
            at += len(piece)
            begun_s, body_bytes = self.begun_s, self.body_bytes
            super().data_received(piece)
            if self.body_bytes != body_bytes:
                self.header_bytes = 0
            elif begun_s and begun_s == self.begun_s:
                self.header_bytes += len(piece)
            self.check_header()
        self.unparsed = b"" if self.transport.is_closing() else data[at:]
        self.record_memory()

    def check_header(self) -> None:
        """Ends a connection whose request has too large a header."""
        if self.header_bytes > MAX_HEADER_BYTES:
            _log.info("request-refused", status=431, bytes=self.header_bytes)
            self.transport.abort()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.begun_s = self.loop.time()
        self.header_bytes = self.header_count = self.body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_count += 1
        super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self.requests += 1
        self.begun_s = 0.0
        self.header_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        self.phase_start_s = self.loop.time()
        super().on_response_complete()
        if self.unparsed:
            self.parse()
        else:
            self.record_memory()

    # Limits

    def record_memory(self) -> None:
        """Records the memory that is held for the client."""
        held = 0
        if not self.transport.is_closing():
            held = len(self.unparsed) + self.transport.get_write_buffer_size()
            held += REQUEST_OVERHEAD_BYTES * len(self.pipeline)
            if self.begun_s or self.handling:
                held += self.body_bytes + self.header_bytes
                held += HEADER_OVERHEAD_BYTES * self.header_count
        self.owner.memory.set(self, held)

    def shed(self) -> None:
        """Ends the connection because memory is short."""
        _log.info("connection-shed", handling=self.handling)
        self.transport.abort()

    def check_timeouts(self, now_s: float) -> None:
        """Ends the connection if it exceeds a time limit."""
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.progress_s = now_s
        self.record_memory()
        reason = ""
        if unsent:
            if now_s - self.progress_s > IDLE_TIMEOUT_S:
                reason = "response not read"
        elif self.begun_s and now_s - self.begun_s > REQUEST_TIMEOUT_S:
            reason = "request not complete"
        elif not self.requests and now_s - self.phase_start_s > IDLE_TIMEOUT_S:
            reason = "no request"
        if reason:
            _log.info("connection-ended", reason=reason)
            self.transport.abort()

    def eviction_state(self, now_s: float) -> evictions.ConnectionState:
        """Returns what decides whether the connection is closed for another."""
        return evictions.ConnectionState(
            handling=self.handling,
            ended=self.transport.is_closing(),
            unsent=self.transport.get_write_buffer_size() > 0,
            used=self.requests > 0,
            new=now_s - self.phase_start_s < NEW_S,
        )


class Server(uvicorn.Server):
    """HTTP server that leaves signal handling to the daemon.

    Attributes:
        memory: Memory that is held for clients.
        max_connections: Maximum number of open connections.
        listener: Accepts the connections; None before the start.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        memory: client_memory.ClientMemory,
        max_connections: int,
    ) -> None:
        super().__init__(config)
        self.memory = memory
        self.max_connections = max_connections
        self.listener: acceptor.Acceptor | None = None

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield

    async def startup(self, sockets: typing.Any = None) -> None:
        """Starts to listen.

        Raises:
            ListenError: The address can't be listened on.
        """
        address = (self.config.host, self.config.port)
        try:
            self.listener = acceptor.open_acceptor(
                *(address, self.create_protocol, self.evict),
                self.max_connections,
            )
        except OSError as error:
            raise errors.ListenError(
                f"cannot listen on {address}: {error}"
            ) from None
        self.servers = [typing.cast(asyncio.Server, self.listener)]
        self.started = True
        self.sweep()

    def create_protocol(self) -> Protocol:
        """Returns the protocol of a new connection."""
        return Protocol(
            self,
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    def connections(self) -> list[Protocol]:
        """Returns the open connections."""
        return typing.cast(list[Protocol], list(self.server_state.connections))

    def release(self, connection: Protocol) -> None:
        """Releases what a connection that ended held."""
        self.memory.release(connection)
        if self.listener is not None:
            self.listener.release()

    def sweep(self) -> None:
        """Ends the connections that exceed a time limit, again and again."""
        loop = asyncio.get_running_loop()
        for connection in self.connections():
            connection.check_timeouts(loop.time())
        if self.listener is not None and self.listener.paused:
            self.evict()
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def evict(self) -> None:
        """Closes the connections that can best be spared, to accept others."""
        evicted = evictions.choose(
            self.connections(),
            asyncio.get_running_loop().time(),
            self.max_connections,
        )
        for connection in evicted:
            connection.transport.abort()
        _log.info(
            "connections-evicted",
            count=len(evicted),
            open=len(self.server_state.connections),
        )


def create_server(app: typing.Any, address: str, port: int) -> Server:
    """Returns an HTTP server for an ASGI application; `serve` runs it."""
    config = uvicorn.Config(
        app,
        host=address,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_keep_alive=int(IDLE_TIMEOUT_S),
    )
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = client_limits.create_connection_limits(PROCESS_BYTES, descriptors)
    return Server(
        config, client_limits.create_memory(PROCESS_BYTES), limits.callers
    )
