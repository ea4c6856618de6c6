"""Minimal HTTP/1.1 server on asyncio protocols.

The requests of a connection are handled one at a time; a handler responds with
`Connection.reply`, at once or later. Used for fakes that serve thousands of
calls per second on many ports.
"""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

__all__ = ["Connection", "Handlers", "Request", "serve"]

REASON_PHRASES = {200: b"OK", 400: b"Bad Request", 404: b"Not Found"}


class Request(typing.NamedTuple):
    """HTTP request with its complete body."""

    method: str
    path: str
    body: bytes


class Handlers(typing.NamedTuple):
    """Callbacks of a server.

    Attributes:
        opened: Callback for a new connection; it may close the connection.
        requested: Callback for a request.
        closed: Callback for a connection that has ended.
    """

    opened: collections.abc.Callable[["Connection"], None]
    requested: collections.abc.Callable[["Connection", Request], None]
    closed: collections.abc.Callable[["Connection"], None]


class Connection(asyncio.Protocol):
    """Server side of one connection.

    Attributes:
        handlers: Callbacks of the server.
        transport: Transport of the connection.
        parser: HTTP parser of the received bytes.
        path: Request target of the request being parsed.
        body: Body chunks of the request being parsed.
        served_request: Whether at least one request has been handled.
        blackholed: Whether the connection stays open, but neither reads nor
            writes.
    """

    def __init__(self, handlers: Handlers) -> None:
        self.handlers = handlers
        self.transport: typing.Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.body: list[bytes] = []
        self.served_request = False
        self.blackholed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.handlers.opened(self)

    @property
    def source(self) -> str:
        """IP address of the client."""
        return str(self.transport.get_extra_info("peername")[0])

    def connection_lost(self, exc: Exception | None) -> None:
        self.handlers.closed(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        self.path = b""
        self.body = []

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        path, body = self.path.decode("latin-1"), b"".join(self.body)
        self.handlers.requested(self, Request(method, path, body))
        self.served_request = True

    def reply(self, status: int, value: typing.Any) -> None:
        """Sends a response whose body is a JSON value, or bytes as given."""
        if self.blackholed or self.transport.is_closing():
            return
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (status, REASON_PHRASES[status], len(body), body)
        )

    def silence(self) -> None:
        """Stops reading and writing without closing the connection."""
        self.blackholed = True
        self.transport.pause_reading()


def ignore_event(connection: Connection) -> None:
    """Does nothing; for handlers that have no use for an event."""


async def serve(address: str, handlers: Handlers) -> asyncio.Server:
    """Starts a server on an address, given as "host:port"."""
    host, _, port = address.partition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(handlers), host, int(port), backlog=1024
    )
