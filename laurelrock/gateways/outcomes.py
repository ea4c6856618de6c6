"""Outcomes of callers' requests."""

import math
import random
import typing

from laurelrock.adapters import http_client

__all__ = [
    "REFUSAL_STATUSES",
    "Kind",
    "Outcome",
    "exact_retry_header",
    "retry_after_header",
]

#: Statuses that promise callers that a request has not run and never will.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})

Kind = typing.Literal["answered", "partial", "refused", "failed", "late"]


class Outcome(typing.NamedTuple):
    """How a request ended.

    Attributes:
        kind: The kind of outcome, for logs and metrics.
        status: The HTTP status of the answer.
        reply: The searcher's answer that is forwarded unchanged, if any.
        bodies: The records of the parts of a query's answer.
        stamps: The server stamps of the same parts.
        shards: The number of shards of the query.
        attempts: The number of calls made.
        missing: The shards that a query's answer lacks.
        reason: The reason of a failure, for logs.
        retry_after_s: The time in seconds after which a refused caller may
            retry; 0 for the default.
        resume_in_s: The time in seconds before which a retry is certainly in
            vain, because searchers asked for no calls; 0 if unknown.
        enough_s: The loop time at which a query had its minimum of shards; 0 if
            it never had.
        overloaded: Whether the request was refused because it was expected to
            wait for too long.
    """

    kind: Kind
    status: int
    reply: http_client.Reply | None = None
    bodies: tuple[bytes, ...] = ()
    stamps: tuple[bytes, ...] = ()
    shards: int = 0
    attempts: int = 0
    missing: tuple[str, ...] = ()
    reason: str = ""
    retry_after_s: float = 0.0
    resume_in_s: float = 0.0
    enough_s: float = 0.0
    overloaded: bool = False


def retry_after_header(
    seconds: float, earliest_s: float = 0.0
) -> tuple[bytes, bytes]:
    """Returns the header with the time after which a caller may retry.

    The time is randomized, so that callers refused together don't retry
    together.

    Args:
        seconds: The typical time.
        earliest_s: The time before which a retry is in vain.
    """
    randomized_s = seconds * (0.75 + random.random() / 2)
    if earliest_s:
        randomized_s = earliest_s + seconds * random.random() / 2
    return b"retry-after", b"%.2f" % randomized_s


def exact_retry_header(seconds: float) -> tuple[bytes, bytes]:
    """Returns the header with the time after which a caller has its turn."""
    return b"retry-after", b"%.2f" % (math.ceil(seconds * 100) / 100)
