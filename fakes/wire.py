"""Small HTTP/1.1 server on asyncio protocols.

Requests of a connection are handled one at a time and answered by `reply`,
now or later. Used where thousands of calls a second go to many ports.
"""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

__all__ = ["Connection", "Handlers", "Request", "serve"]

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found"}


class Request(typing.NamedTuple):
    """One request with its whole body."""

    method: str
    path: str
    body: bytes


class Handlers(typing.NamedTuple):
    """What a server does.

    Attributes:
        opened: Called with each new connection; it may close it.
        requested: Called with each request.
        closed: Called once the connection has gone.
    """

    opened: collections.abc.Callable[["Connection"], None]
    requested: collections.abc.Callable[["Connection", Request], None]
    closed: collections.abc.Callable[["Connection"], None]


class Connection(asyncio.Protocol):
    """One connection.

    Attributes:
        used: Whether a request has been read.
        silent: Whether it neither reads nor writes any more.
    """

    def __init__(self, handlers: Handlers) -> None:
        self.handlers = handlers
        self.transport: typing.Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.body: list[bytes] = []
        self.used = False
        self.silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.handlers.opened(self)

    @property
    def source(self) -> str:
        """IP number of the client."""
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
        self.used = True

    def reply(self, status: int, value: typing.Any) -> None:
        """Answers with a JSON value, or with bytes as they are."""
        if self.silent or self.transport.is_closing():
            return
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (status, REASONS[status], len(body), body)
        )

    def silence(self) -> None:
        """Reads and writes nothing more, but stays open."""
        self.silent = True
        self.transport.pause_reading()


def ignore(connection: Connection) -> None:
    """Does nothing."""


async def serve(address: str, handlers: Handlers) -> asyncio.Server:
    """Listens on "host:port"."""
    host, _, port = address.partition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(handlers), host, int(port), backlog=1024
    )
