"""Parses the requests that arrive on one connection, within size limits."""

import typing

import httptools

from laurelrock.adapters import http_wire
from laurelrock.core import routes

__all__ = ["Message", "Receiver", "RequestParser"]

#: Maximum number of bytes, per byte of the body, that its transfer encoding may
#: add, and the size of a request line and of the ends of lines, in bytes.
MAX_FRAMING_RATIO, FRAMING_SLACK_BYTES = 8, 1024
#: Memory that a header field takes besides its bytes.
HEADER_OVERHEAD_BYTES = 160


class Message(typing.NamedTuple):
    """A parsed request.

    Attributes:
        method: Method, as sent.
        target: Path and query, as sent.
        headers: Header fields in the order sent, their names in lower case.
        body: Body, with its transfer encoding removed.
        keep_open: Whether the caller keeps the connection open after it.
        held_bytes: Memory that the request takes.
    """

    method: bytes
    target: bytes
    headers: http_wire.Headers
    body: bytes
    keep_open: bool
    held_bytes: int


class Receiver(typing.Protocol):
    """The connection whose requests are parsed."""

    @property
    def limits(self) -> routes.Limits:
        """Limits of the request that is being received."""

    def begin(self) -> None:
        """Records the first byte of a request."""

    def receive(self, message: Message) -> None:
        """Receives a complete request."""

    def refuse(self, status: int) -> None:
        """Refuses the request being received; calls `stop`."""

    def send_continue(self) -> None:
        """Asks for the body of a request that waits for that."""


class RequestParser:
    """Parser of the requests of one connection.

    Attributes:
        receiver: The connection.
        parser: Parser of HTTP.
        stopped: Whether further input is ignored.
        receiving: Whether a request is partly received.
        target: Path and query of the request being received.
        headers_complete: Whether all of its header fields are received.
        headers: Header fields of the request being received.
        header_bytes: Size of target and header fields received so far.
        body: Body received so far.
        body_bytes: Size of the body received so far.
        begun: Number of requests that began to arrive.
        later_bytes: Size of what was received of the request after the piece
            in which it began.
        trailing_bytes: Size of what was received after the last piece with a
            part of the body.
    """

    def __init__(self, receiver: Receiver) -> None:
        self.receiver = receiver
        self.parser = httptools.HttpRequestParser(self)
        self.stopped = False
        self.receiving = False
        self.target = b""
        self.headers_complete = False
        self.headers: http_wire.Headers = []
        self.header_bytes = 0
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.begun = 0
        self.later_bytes = self.trailing_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the request being received takes."""
        if not self.receiving:
            return 0
        held = self.body_bytes + self.header_bytes
        held += HEADER_OVERHEAD_BYTES * len(self.headers)
        incomplete = (
            self.trailing_bytes if self.headers_complete else self.later_bytes
        )
        return held + incomplete

    def stop(self) -> None:
        """Ignores further input and drops what is partly received."""
        self.stopped = True
        self.receiving = False
        self.headers = []
        self.body = b""

    def feed(self, data: bytes) -> None:
        """Parses received bytes."""
        begun, body_bytes = self.begun, self.body_bytes
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.stop()
        except httptools.HttpParserError:
            self.receiver.refuse(400)
        if self.receiving and not self.stopped:
            if self.begun == begun:
                self.later_bytes += len(data)
                self.trailing_bytes += len(data)
            if self.body_bytes != body_bytes:
                self.trailing_bytes = 0
            self.check_size()

    def check_size(self) -> None:
        """Refuses a request that exceeds the size limits.

        The parser reports a header or a trailer when it is complete, and the
        framing of a body never; all may come without end.
        """
        max_bytes = self.receiver.limits.max_header_bytes
        framing = self.later_bytes - self.body_bytes
        max_framing = max_bytes + FRAMING_SLACK_BYTES
        max_framing += MAX_FRAMING_RATIO * self.body_bytes
        trailing = self.trailing_bytes if self.headers_complete else 0
        if (
            self.header_bytes > max_bytes
            or framing > max_framing
            or trailing > max_bytes + FRAMING_SLACK_BYTES
        ):
            self.receiver.refuse(431)
        elif self.body_bytes > self.receiver.limits.max_body_bytes:
            self.receiver.refuse(413)

    # httptools

    def on_message_begin(self) -> None:
        if self.stopped:
            return
        self.receiving = True
        self.receiver.begin()
        self.target = b""
        self.headers_complete = False
        self.headers = []
        self.body = b""
        self.header_bytes = self.body_bytes = 0
        self.later_bytes = self.trailing_bytes = 0
        self.begun += 1

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_bytes += len(name) + len(value) + 4
        if self.headers_complete or self.stopped:
            # Trailers must not pass as headers, such as a key.
            return
        if self.header_bytes <= self.receiver.limits.max_header_bytes:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        if self.stopped:
            return
        self.headers_complete = True
        # Headers beyond the limit were dropped, so that others may seem faulty.
        self.check_size()
        if self.stopped:
            return
        fault = http_wire.find_header_fault(
            self.headers, self.parser.get_http_version()
        )
        if fault or not self.target:
            self.receiver.refuse(400)
            return
        length = http_wire.header_value(self.headers, b"content-length")
        if (
            length is not None
            and int(length) > self.receiver.limits.max_body_bytes
        ):
            self.receiver.refuse(413)
            return
        if http_wire.header_value(self.headers, b"expect") is not None:
            self.receiver.send_continue()

    def on_body(self, data: bytes) -> None:
        self.body_bytes += len(data)
        max_bytes = self.receiver.limits.max_body_bytes
        if self.stopped or self.body_bytes > max_bytes:
            return
        if not self.body:
            self.body = data
            return
        # A list of small chunks would take many times their size.
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += data

    def on_message_complete(self) -> None:
        if self.stopped:
            return
        self.check_size()
        if self.stopped:
            return
        held = self.held_bytes
        self.receiving = False
        message = Message(
            self.parser.get_method(),
            self.target,
            self.headers,
            bytes(self.body),
            self.parser.should_keep_alive(),
            held,
        )
        self.headers, self.body = [], b""
        self.receiver.receive(message)
