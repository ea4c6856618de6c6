"""Observe: what the end of a call says of its searcher."""

import collections

from laurelrock import calls
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import upstreams

__all__ = ["note"]

_log = logs.get_logger(__name__)


def note(
    pool: pools.Pool | None,
    attempt: pools.Call,
    reply: calls.Reply,
    now_s: float,
    counts: collections.Counter[str],
) -> None:
    """Updates the state of the searcher of a call that ended.

    Args:
        pool: Of the call's work, if the manifest still has it.
        attempt: The call.
        reply: How it ended.
        now_s: Present time.
        counts: Of unusual events.
    """
    upstream = attempt.channel.upstream
    elapsed_s = now_s - attempt.began_s
    load = attempt.channel.client.load
    upstream.reported = load["busy"] + load["queued"]
    if reply.status == "ok":
        upstream.replied(elapsed_s, now_s, attempt.slow)
    elif reply.status in calls.NOT_RUN:
        snapshot = attempt.work.search.snapshot
        retry_s = reply.retry_after_ms / 1000
        upstream.refused(reply.status, snapshot, retry_s, now_s)
        _log.info(
            "searcher-refused",
            searcher=upstream.searcher.id,
            status=reply.status,
        )
    elif reply.status == "deadline":
        upstream.note_alive(now_s)
        upstream.note_latency(elapsed_s)
    else:
        note_failure(pool, upstream, reply, now_s, counts)


def note_failure(
    pool: pools.Pool | None,
    upstream: upstreams.Upstream,
    reply: calls.Reply,
    now_s: float,
    counts: collections.Counter[str],
) -> None:
    """Notes a call without a good reply; the searcher may be ejected."""
    others = pool.upstreams() if pool is not None else []
    others_work = any(
        row is not upstream and row.takes_work(now_s) for row in others
    )
    if upstream.failed(now_s, others_work):
        counts["eject"] += 1
        _log.warning(
            "searcher-ejected",
            searcher=upstream.searcher.id,
            status=reply.status,
            for_ms=round((upstream.ejected_until_s - now_s) * 1000),
        )
