"""HTTP/1.1 server for callers' requests, with persistent connections.

Requests are parsed with httptools. uvicorn and starlette aren't used, since
they need more memory than the platform's VMs have and give less control over
limits and over closing connections.
"""

import asyncio
import collections

from laurelrock.adapters import acceptor
from laurelrock.adapters import http_connection
from laurelrock.adapters import http_messages
from laurelrock.adapters import logs
from laurelrock.core import client_memory
from laurelrock.core import evictions
from laurelrock.core import routes

__all__ = ["Request", "Response", "Server", "open_server"]

#: Interval between two checks for idle and slow connections, in seconds.
SWEEP_INTERVAL_S = 0.2
#: Maximum number of open connections if the settings give none.
DEFAULT_CONNECTIONS = 1024

Request = http_messages.Request
Response = http_messages.Response

_log = logs.get_logger(__name__)


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
        memory: Memory that is held for callers; other servers may share it.
        listener: Listening socket; None once closed.
    """

    def __init__(
        self,
        handle: http_messages.Handler,
        limits: routes.Limits,
        memory: client_memory.ClientMemory | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.closing = False
        self.connections: set[http_connection.Connection] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.memory = memory or client_memory.create_client_memory()
        self.listener: acceptor.Acceptor | None = None

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
                not connection.requests
                and age_s < http_connection.FIRST_REQUEST_GRACE_S
            )
            if (
                not connection.task
                and not connection.waiting
                and not connection.parser.receiving
                and not expects_first
            ):
                connection.transport.close()

    def sweep(self, now_s: float) -> None:
        """Ends the connections that exceed a time limit."""
        for connection in list(self.connections):
            connection.check_timeouts(now_s)
        if self.listener is not None and self.listener.paused:
            self.evict()

    def evict(self) -> None:
        """Closes the connections that can best be spared, to accept others."""
        if self.listener is None:
            return
        evicted = evictions.choose(
            self.connections,
            asyncio.get_running_loop().time(),
            self.listener.max_connections,
        )
        for connection in evicted:
            self.counts["evicted"] += 1
            connection.abandon()
        _log.info(
            "connections-evicted",
            count=len(evicted),
            open=len(self.connections),
        )


async def open_server(
    handle: http_messages.Handler,
    address: tuple[str, int],
    limits: routes.Limits,
    memory: client_memory.ClientMemory | None = None,
    max_connections: int = DEFAULT_CONNECTIONS,
) -> Server:
    """Starts a server on an address.

    Args:
        handle: Handler that returns the response to a request.
        address: IPv4 address and port.
        limits: Size and time limits for requests.
        memory: Memory that is held for the callers of several servers.
        max_connections: Maximum number of open connections.

    Raises:
        OSError: The address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    server = Server(handle, limits, memory)
    server.listener = acceptor.open_acceptor(
        address,
        lambda: http_connection.Connection(server),
        server.evict,
        max_connections,
    )

    def sweep() -> None:
        server.sweep(loop.time())
        loop.call_later(SWEEP_INTERVAL_S, sweep)

    sweep()
    return server
