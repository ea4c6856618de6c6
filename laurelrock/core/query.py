"""Tracks one attempt at a query and merges the replies of its shards.

A query pins one snapshot and its shards. Only hits from that snapshot are
merged, each shard at most once, and coverage is computed over the pinned
shards.
"""

import typing

from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import hits

__all__ = [
    "Query",
    "choose_restart_snapshot",
    "create_query",
    "group_by_service",
    "mark_failed",
    "mark_pending",
    "merge_reply",
]

#: Shard outcomes after which a restart with another snapshot may succeed.
RESTART_STATUSES = frozenset(["version-gone", "version-unknown"])


class Query:
    """State of one attempt at a query.

    Attributes:
        query_id: Identifier that is unique within this process.
        snapshot: Pinned snapshot.
        limit: Maximum number of hits in the response.
        pending: Shards without an outcome.
        covered: Shards whose hits were merged.
        failed: Last outcome of each failed shard.
        possibly_run: Shards requested from a relay that stopped responding, so
            that they may have been searched.
        hits: Hits merged so far, best first.
        retry_after_ms: Longest retry delay requested by a relay, in
            milliseconds.
    """

    def __init__(
        self, query_id: str, snapshot: manifest.Snapshot, limit: int
    ) -> None:
        self.query_id = query_id
        self.snapshot = snapshot
        self.limit = limit
        self.pending = {shard.id for shard in snapshot.shards}
        self.covered: set[str] = set()
        self.failed: dict[str, messages.ShardStatus] = {}
        self.possibly_run: set[str] = set()
        self.hits: list[messages.Hit] = []
        self.retry_after_ms = 0.0

    @property
    def done(self) -> bool:
        """Whether every shard has an outcome."""
        return not self.pending

    @property
    def fraction(self) -> float:
        """Fraction of the pinned shards that is covered."""
        total = len(self.snapshot.shards)
        return len(self.covered) / total if total else 1.0

    def missing(self) -> list[messages.ShardOutcome]:
        """Returns each pinned shard that is not covered, with the reason."""
        return [
            messages.ShardOutcome(
                shard.id, self.failed.get(shard.id, "deadline")
            )
            for shard in self.snapshot.shards
            if shard.id not in self.covered
        ]


def create_query(
    query_id: str, snapshot: manifest.Snapshot, limit: int
) -> Query:
    """Returns a query that pins a snapshot."""
    return Query(query_id, snapshot, limit)


def group_by_service(
    snapshot: manifest.Snapshot, wanted: set[str]
) -> list[messages.ServiceShards]:
    """Groups the wanted shards of a snapshot by service."""
    by_service: dict[str, list[str]] = {}
    for shard in snapshot.shards:
        if shard.id in wanted:
            by_service.setdefault(shard.service, []).append(shard.id)
    return [
        messages.ServiceShards(name, ids) for name, ids in by_service.items()
    ]


def merge_reply(query: Query, reply: messages.SearchReply) -> bool:
    """Merges a reply into a query.

    Replies for another snapshot and hits for shards that are already covered
    are ignored, so late, duplicate and misdirected replies are harmless.

    Returns:
        Whether the reply changed the outcome of any shard.
    """
    if reply.snapshot != query.snapshot.version:
        return False
    known = {shard.id for shard in query.snapshot.shards}
    fresh = set()
    changed = False
    for outcome in reply.outcomes:
        shard = outcome.shard
        if shard not in known or shard in query.covered:
            continue
        if outcome.status == "ok":
            fresh.add(shard)
            query.failed.pop(shard, None)
        elif shard in query.pending:
            query.failed[shard] = outcome.status
        else:
            continue
        query.pending.discard(shard)
        changed = True
    query.covered |= fresh
    found = [hit for hit in reply.hits if hit.shard in fresh]
    query.hits = hits.merge([query.hits, found], query.limit)
    query.retry_after_ms = max(query.retry_after_ms, reply.retry_after_ms)
    return changed


def mark_failed(
    query: Query, shards: list[str], status: messages.ShardStatus
) -> None:
    """Sets the outcome of pending shards that fail without a reply."""
    for shard in query.pending & set(shards):
        query.failed[shard] = status
    query.pending -= set(shards)


def mark_pending(query: Query, shards: list[str]) -> None:
    """Marks failed shards as pending again."""
    again = set(shards) & query.failed.keys()
    for shard in again:
        del query.failed[shard]
    query.pending |= again


def choose_restart_snapshot(
    query: Query,
    snapshots: list[manifest.Snapshot],
    tried: set[str],
) -> manifest.Snapshot | None:
    """Chooses the snapshot with which a whole query is restarted.

    Args:
        query: Attempt in which every shard has an outcome.
        snapshots: Snapshots of the manifest in force, newest first.
        tried: Versions of the snapshots that were pinned before.

    Returns:
        The newest untried snapshot if a searcher no longer holds the pinned one
        or has not loaded it yet; otherwise None.
    """
    if not RESTART_STATUSES & set(query.failed.values()):
        return None
    for snapshot in snapshots:
        if snapshot.version not in tried:
            return snapshot
    return None


class Coverage(typing.TypedDict):
    """Coverage as reported to callers."""

    fraction: float
    shards: int
    missing: list[dict[str, str]]


def coverage_of(query: Query) -> Coverage:
    """Returns the coverage of a query in the form reported to callers."""
    return {
        "fraction": query.fraction,
        "shards": len(query.snapshot.shards),
        "missing": [
            {"shard": outcome.shard, "reason": outcome.status}
            for outcome in query.missing()
        ],
    }
