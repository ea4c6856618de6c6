"""Reading and writing of the platform's request and response headers.

Implements `laurelrock.ports.header_codec`.
"""

import math

from laurelrock.adapters import http_wire
from laurelrock.ports import header_codec

__all__ = [
    "encode_call_headers",
    "encode_common_headers",
    "forwarded_headers",
    "gateway_response_headers",
    "query_response_headers",
    "read_caller_headers",
    "read_searcher_headers",
    "replace_key",
]

#: Id of one attempt of a caller; searchers echo it.
REQUEST_ID = b"x-request-id"
#: Time that the sender of the header has left, in milliseconds.
DEADLINE = b"x-deadline-ms"
#: Id of the only searcher that may run a call.
TARGET = b"x-target-instance"
#: Stamp by which a searcher proves that it ran the request.
STAMP = b"x-server-stamp"
#: Stamps of all shards that contributed to a query's response.
STAMPS = b"x-part-stamps"
#: Number of shards left out of a query's response.
MISSING = b"x-missing-parts"
#: Present if the searcher did not run the request.
NOT_RUN = b"x-not-executed"
#: Load of a searcher: running calls, waiting calls, slots.
LOAD = b"x-server-load"
ENCODING = b"content-encoding"
#: Present with the value 1 in all responses of a searcher that leaves.
LEAVING = b"server-leaving"
#: Time in seconds, with a fraction, for which a searcher wants no requests.
RETRY_AFTER = b"retry-after"
#: Requests per second, with a fraction, that a searcher takes from all VMs.
LIMIT = b"server-limit"
#: Time in milliseconds for which a searcher is still cold.
WARM_UP_LEFT = b"x-warmup-remaining-ms"
#: Key of the caller's workspace, which is not passed on.
KEY = b"api-key"
#: Name of the workspace, as searchers receive it.
WORKSPACE = b"x-tenant-id"

#: Headers of a caller that are set anew for each call to a searcher.
REWRITTEN_HEADERS = frozenset({DEADLINE, TARGET})
#: Status of a searcher that rejects a call meant for another searcher.
MISDIRECTED = 421
#: Status of a searcher that refuses a call for lack of room.
UNAVAILABLE = 503
#: Upper bound for the time that a caller's deadline header may give, in
#: seconds.
MAX_TIME_LEFT_S = 3600.0


def read_caller_headers(
    headers: http_wire.Headers,
) -> header_codec.CallerHeaders:
    """Reads the headers of a caller's request."""
    request_id = http_wire.header_value(headers, REQUEST_ID) or b""
    keys = {value.strip() for name, value in headers if name == KEY}
    key = keys.pop() if len(keys) == 1 else None
    text = http_wire.header_value(headers, DEADLINE)
    if text is None or not text.strip().isdigit():
        return header_codec.CallerHeaders(request_id, None, key)
    return header_codec.CallerHeaders(
        request_id, min(int(text) / 1000, MAX_TIME_LEFT_S), key
    )


def replace_key(
    headers: http_wire.Headers, workspace: str
) -> http_wire.Headers:
    """Returns a request's headers with the workspace instead of its key."""
    rows = [row for row in headers if row[0] not in (KEY, WORKSPACE)]
    if workspace:
        rows.append((WORKSPACE, workspace.encode()))
    return rows


def encode_common_headers(
    headers: http_wire.Headers, caller_headers: header_codec.CallerHeaders
) -> bytes:
    """Returns the header lines common to all calls of a request."""
    rows = http_wire.end_to_end(headers, REWRITTEN_HEADERS)
    return http_wire.encode_headers(rows)


def encode_call_headers(searcher: str, left_s: float) -> bytes:
    """Returns the header lines specific to one call."""
    return b"%b: %d\r\n%b: %b\r\n" % (
        DEADLINE,
        max(1, int(left_s * 1000)),
        TARGET,
        searcher.encode(),
    )


def read_searcher_headers(
    status: int, headers: http_wire.Headers
) -> header_codec.SearcherHeaders:
    """Reads the status and headers of a searcher's response."""
    found = dict(reversed(headers))
    misplaced = status == MISDIRECTED
    return header_codec.SearcherHeaders(
        request_id=found.get(REQUEST_ID),
        stamp=found.get(STAMP),
        not_run=misplaced or NOT_RUN in found,
        misplaced=misplaced,
        content_encoded=ENCODING in found,
        load=_read_load(found.get(LOAD)),
        leaving=found.get(LEAVING, b"").strip() == b"1",
        pause_s=(
            _read_positive(found.get(RETRY_AFTER))
            if status == UNAVAILABLE
            else None
        ),
        limit_per_s=_read_number(found.get(LIMIT)),
        warm_up_left_s=_read_milliseconds(found.get(WARM_UP_LEFT)),
    )


def forwarded_headers(headers: http_wire.Headers) -> http_wire.Headers:
    """Returns those of a searcher's headers that the caller receives."""
    return http_wire.end_to_end(headers)


def query_response_headers(
    caller_headers: header_codec.CallerHeaders,
    stamps: list[bytes],
    missing: int,
) -> http_wire.Headers:
    """Returns the headers of the response to a query over shards."""
    headers = gateway_response_headers(caller_headers)
    headers.append((STAMPS, b", ".join(stamps)))
    headers.append((MISSING, b"%d" % missing))
    return headers


def gateway_response_headers(
    caller_headers: header_codec.CallerHeaders,
) -> http_wire.Headers:
    """Returns the headers of a response that the gateway itself makes."""
    if not caller_headers.request_id:
        return []
    return [(REQUEST_ID, caller_headers.request_id)]


def _read_load(text: bytes | None) -> tuple[int, int] | None:
    """Returns running and waiting calls, or None if they are malformed."""
    if text is None:
        return None
    fields = text.split(b",")
    if len(fields) < 2 or not all(f.strip().isdigit() for f in fields[:2]):
        return None
    return int(fields[0]), int(fields[1])


def _read_number(text: bytes | None) -> float | None:
    """Returns a number of at least 0, or None if there is no valid one."""
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _read_milliseconds(text: bytes | None) -> float | None:
    """Returns a time in seconds, or None if there is no valid one."""
    number = _read_number(text)
    return None if number is None else number / 1000


def _read_positive(text: bytes | None) -> float | None:
    """Returns a number above 0, or None if there is no valid one."""
    return _read_number(text) or None
