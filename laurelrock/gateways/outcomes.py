"""Outcomes: how callers' requests end."""

import typing

from laurelrock.adapters import http_client

__all__ = ["Kind", "Outcome"]

Kind = typing.Literal["answered", "partial", "refused", "failed", "late"]


class Outcome(typing.NamedTuple):
    """How a request ended.

    Attributes:
        kind: For logs and metrics.
        status: Of the answer.
        reply: Of a searcher, passed on unchanged.
        bodies: Of the parts of a query's answer.
        proofs: Of the same parts.
        shards: Asked by a query.
        attempts: Calls made.
        missing: Shards that are not in a query's answer.
        reason: Of a failure, for logs.
        retry_after_s: Until a refused caller may come back; 0 for the usual.
    """

    kind: Kind
    status: int
    reply: http_client.Reply | None = None
    bodies: tuple[bytes, ...] = ()
    proofs: tuple[bytes, ...] = ()
    shards: int = 0
    attempts: int = 0
    missing: tuple[str, ...] = ()
    reason: str = ""
    retry_after_s: float = 0.0
