"""HTTP/1.1 functions shared by server and client: headers, encoding, sockets.

Headers are lists of name and value pairs, with the names in lower case.
"""

import asyncio
import collections.abc
import http
import socket
import struct

__all__ = [
    "Headers",
    "enable_tcp_keepalive",
    "encode_request",
    "encode_response",
    "end_to_end",
    "find_header_fault",
    "header_value",
    "reset",
    "round_trip_s",
    "set_socket_options",
]

Headers = list[tuple[bytes, bytes]]

#: Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        *(b"connection", b"keep-alive", b"proxy-connection"),
        *(b"proxy-authenticate", b"proxy-authorization", b"te"),
        *(b"trailer", b"transfer-encoding", b"upgrade"),
    }
)
#: Headers that are not forwarded, but set anew for each message.
NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect"}
#: Time after which the kernel closes a connection whose sent data stays
#: unacknowledged, in milliseconds.
TCP_USER_TIMEOUT_MS = 3000
#: TCP keepalive: idle time before the first probe and interval between two
#: probes, both in seconds, and number of unanswered probes that end the
#: connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

#: Size of the kernel's `tcp_info` up to and with the smoothed round-trip time,
#: and the offset of that field, which is in microseconds (linux/tcp.h).
TCP_INFO_BYTES = 72
ROUND_TRIP_OFFSET = 68

_REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disables Nagle's algorithm and limits the time without acknowledgement.

    Applies to the transport's socket; see `TCP_USER_TIMEOUT_MS`.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def enable_tcp_keepalive(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel detect that the peer has become unreachable."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Returns the kernel's round-trip time of a connection, in seconds."""
    sock = transport.get_extra_info("socket")
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (microseconds,) = struct.unpack_from("I", info, ROUND_TRIP_OFFSET)
    return microseconds / 1e6


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a TCP reset, which discards unsent bytes.

    After a normal close the kernel would still deliver them, even seconds
    later, once a partitioned network is connected again.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None if it is absent."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(
    headers: Headers, without: collections.abc.Container[bytes] = ()
) -> Headers:
    """Returns the headers to forward (RFC 9110's end-to-end headers).

    Args:
        headers: Header fields of the received message.
        without: Further names of headers that are not forwarded.
    """
    dropped = NOT_FORWARDED
    named = header_value(headers, b"connection")
    if named is not None and named.lower() not in (b"keep-alive", b"close"):
        options = {item.strip() for item in named.lower().split(b",")}
        dropped = NOT_FORWARDED | options
    return [
        row
        for row in headers
        if row[0] not in dropped and row[0] not in without
    ]


def find_header_fault(headers: Headers, version: str) -> str:
    """Returns why a request's headers are ambiguous, or an empty string.

    Recipients may interpret two lengths, a length beside a transfer encoding,
    or two hosts differently. A forwarded request of that kind would allow
    request smuggling.
    """
    names = [name for name, _ in headers]
    if names.count(b"content-length") > 1:
        return "several Content-Length headers"
    length = header_value(headers, b"content-length")
    if length is not None and not length.strip().isdigit():
        return "invalid Content-Length"
    encoding = header_value(headers, b"transfer-encoding")
    if encoding is not None:
        if length is not None or version == "1.0":
            return "Content-Length with Transfer-Encoding"
        if encoding.strip().lower() != b"chunked":
            return "unsupported Transfer-Encoding"
    if names.count(b"host") != 1 and version != "1.0":
        return "missing or repeated host"
    return ""


def encode_headers(headers: Headers) -> bytes:
    """Returns the encoded header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % row for row in headers])


def encode_response(
    status: int, headers: Headers, body: bytes, keep: bool, bodiless: bool
) -> bytes:
    """Returns the bytes of a response.

    Args:
        status: HTTP status code.
        headers: Header fields without those of connection and framing.
        body: Whole body.
        keep: Whether the connection stays open.
        bodiless: Whether responses to the request's method have no body.
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
    """Returns the bytes of a request.

    Args:
        method: HTTP method.
        target: Path and query.
        head: Encoded header lines.
        body: Whole body. Its length is sent if it isn't empty or the method
            normally has a body.
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
