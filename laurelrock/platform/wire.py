"""Headers of callers and searchers."""

from laurelrock.adapters import http_wire
from laurelrock.ports import wire

__all__ = [
    "encode_head",
    "encode_target",
    "gathered",
    "passed_on",
    "read_facts",
    "read_ticket",
    "refused",
]

#: Id of one attempt of a caller, echoed by searchers.
REQUEST_ID = b"x-request-id"
#: Time left to the sender of the header, in milliseconds.
DEADLINE = b"x-deadline-ms"
#: Id of the only searcher that may run a call.
TARGET = b"x-target-instance"
#: A searcher's proof that it ran the request.
PROOF = b"x-server-stamp"
#: Proofs of the shards in a query's answer.
PROOFS = b"x-part-stamps"
#: Shards left out of a query's answer.
MISSING = b"x-missing-parts"
#: Declares that a request did not run.
NOT_RUN = b"x-not-executed"
#: Running and waiting calls and slots of a searcher.
LOAD = b"x-server-load"
ENCODING = b"content-encoding"

#: Headers of a caller that calls carry in a form of their own.
REPLACED = frozenset({DEADLINE, TARGET})
#: Status by which a searcher declines a call meant for another one.
MISDIRECTED = 421
#: Longest patience that is believed, in seconds.
MAX_PATIENCE_S = 3600.0


def read_ticket(headers: http_wire.Headers) -> wire.Ticket:
    """Reads a caller's headers; see `ports.wire`."""
    request_id = http_wire.value_of(headers, REQUEST_ID) or b""
    text = http_wire.value_of(headers, DEADLINE)
    if text is None or not text.strip().isdigit():
        return wire.Ticket(request_id, None)
    return wire.Ticket(request_id, min(int(text) / 1000, MAX_PATIENCE_S))


def encode_head(headers: http_wire.Headers, ticket: wire.Ticket) -> bytes:
    """Returns the header lines that all calls of a request share."""
    rows = http_wire.end_to_end(headers, REPLACED)
    return http_wire.encode_headers(rows)


def encode_target(searcher: str, left_s: float) -> bytes:
    """Returns the header lines of one call."""
    return b"%b: %d\r\n%b: %b\r\n" % (
        DEADLINE,
        max(1, int(left_s * 1000)),
        TARGET,
        searcher.encode(),
    )


def read_facts(status: int, headers: http_wire.Headers) -> wire.Facts:
    """Reads a searcher's headers; see `ports.wire`."""
    found = dict(reversed(headers))
    misplaced = status == MISDIRECTED
    return wire.Facts(
        request_id=found.get(REQUEST_ID),
        proof=found.get(PROOF),
        not_run=misplaced or NOT_RUN in found,
        misplaced=misplaced,
        encoded=ENCODING in found,
        load=_read_load(found.get(LOAD)),
    )


def passed_on(headers: http_wire.Headers) -> http_wire.Headers:
    """Returns the headers of an answer that a caller gets."""
    return http_wire.end_to_end(headers)


def gathered(
    ticket: wire.Ticket, proofs: list[bytes], missing: int
) -> http_wire.Headers:
    """Returns the headers of a query's answer."""
    headers = refused(ticket)
    headers.append((PROOFS, b", ".join(proofs)))
    headers.append((MISSING, b"%d" % missing))
    return headers


def refused(ticket: wire.Ticket) -> http_wire.Headers:
    """Returns the headers of an answer of one's own."""
    if not ticket.request_id:
        return []
    return [(REQUEST_ID, ticket.request_id)]


def _read_load(text: bytes | None) -> tuple[int, int] | None:
    """Returns running and waiting calls; None where they can't be read."""
    if text is None:
        return None
    fields = text.split(b",")
    if len(fields) < 2 or not all(f.strip().isdigit() for f in fields[:2]):
        return None
    return int(fields[0]), int(fields[1])
