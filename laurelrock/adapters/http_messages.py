"""Requests of callers and the responses to them."""

import collections.abc
import typing

from laurelrock.adapters import http_wire

__all__ = ["Handler", "Request", "Response"]


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
