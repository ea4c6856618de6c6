"""HTTP wire: what server and client share.

Headers are lists of pairs with names in lower case.
"""

import asyncio
import collections.abc
import http
import socket
import struct

__all__ = [
    "Headers",
    "encode_answer",
    "encode_request",
    "end_to_end",
    "fault_of",
    "keep_alive",
    "reset",
    "round_trip_s",
    "tune",
    "value_of",
]

Headers = list[tuple[bytes, bytes]]

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        *(b"connection", b"keep-alive", b"proxy-connection"),
        *(b"proxy-authenticate", b"proxy-authorization", b"te"),
        *(b"trailer", b"transfer-encoding", b"upgrade"),
    }
)
#: Headers that are written anew for each message.
FRAMING = HOP_BY_HOP | {b"content-length", b"expect"}
#: Time after which the kernel gives up bytes without acknowledgement, in ms.
USER_TIMEOUT_MS = 3000
#: Idle time before the kernel probes a connection, the interval between two
#: probes, both in seconds, and the probes without answer that end it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

#: Bytes of the kernel's `tcp_info` up to its round trip, and the place of that
#: in microseconds (linux/tcp.h).
TCP_INFO_BYTES = 72
ROUND_TRIP_AT = 68

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def tune(transport: asyncio.BaseTransport) -> None:
    """Sets the options of a connection's socket."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel find out when a connection has gone silent."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Returns the round trip of a connection as the kernel measured it."""
    sock = transport.get_extra_info("socket")
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (microseconds,) = struct.unpack_from("I", info, ROUND_TRIP_AT)
    return microseconds / 1e6


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection with a reset, so that bytes on their way are lost.

    A plain close leaves them to the kernel, which delivers them even seconds
    later, when a link that was cut works again.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def value_of(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(
    headers: Headers, without: collections.abc.Container[bytes] = ()
) -> Headers:
    """Returns the headers that are passed on to the other side."""
    dropped = FRAMING
    named = value_of(headers, b"connection")
    if named is not None and named.lower() not in (b"keep-alive", b"close"):
        options = {item.strip() for item in named.lower().split(b",")}
        dropped = FRAMING | options
    return [
        row
        for row in headers
        if row[0] not in dropped and row[0] not in without
    ]


def fault_of(headers: Headers, version: str) -> str:
    """Returns why a request's headers are ambiguous, or an empty text.

    Two lengths, a length beside an encoding, or two hosts may be read in two
    ways; passing one on could smuggle a second request.
    """
    names = [name for name, _ in headers]
    if names.count(b"content-length") > 1:
        return "two lengths"
    length = value_of(headers, b"content-length")
    if length is not None and not length.strip().isdigit():
        return "bad length"
    encoding = value_of(headers, b"transfer-encoding")
    if encoding is not None:
        if length is not None or version == "1.0":
            return "length and encoding"
        if encoding.strip().lower() != b"chunked":
            return "unknown encoding"
    if names.count(b"host") != 1 and version != "1.0":
        return "not one host"
    return ""


def encode_headers(headers: Headers) -> bytes:
    """Returns header lines, each with its end of line."""
    return b"".join([b"%b: %b\r\n" % row for row in headers])


def encode_answer(
    status: int, headers: Headers, body: bytes, keep: bool, bodiless: bool
) -> bytes:
    """Returns an answer's bytes.

    Args:
        status: Of the answer.
        headers: Without those of the framing.
        body: Whole.
        keep: Whether the connection goes on.
        bodiless: Whether the request's method has answers without a body.
    """
    end = b"" if keep else b"connection: close\r\n"
    if status not in (204, 304):
        end += b"content-length: %d\r\n" % len(body)
    head = b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (
        status,
        _REASONS.get(status, b""),
        encode_headers(headers),
        end,
    )
    return head if bodiless or status in (204, 304) else head + body


def encode_request(
    method: bytes, target: bytes, head: bytes, body: bytes
) -> bytes:
    """Returns a request's bytes.

    Args:
        method: Of the request.
        target: Path and query.
        head: Encoded headers.
        body: Whole; a length is sent where there is one or the method takes
            one.
    """
    length = b""
    if body or method in (b"POST", b"PUT", b"PATCH"):
        length = b"content-length: %d\r\n" % len(body)
    return b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (
        method,
        target,
        head,
        length,
        body,
    )
