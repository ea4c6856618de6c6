"""Updates the state of searchers from the results of calls."""

import collections

from laurelrock import calls
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.core import upstreams

__all__ = ["record_result"]

_log = logs.get_logger(__name__)


def record_result(
    pool: pools.Pool | None,
    call: pools.Call,
    call_result: calls.CallResult,
    now_s: float,
    counts: collections.Counter[str],
) -> None:
    """Updates the state of a searcher from the result of a call to it.

    Args:
        pool: Pool of the call's sub-query, or None if the manifest no longer
            has its service.
        call: The call.
        call_result: The result of the call.
        now_s: Current event loop time, in seconds.
        counts: Counts of unusual events, updated in place.
    """
    upstream = call.channel.upstream
    elapsed_s = now_s - call.began_s
    load = call.channel.client.load
    upstream.reported = load["busy"] + load["queued"]
    if call_result.status == "ok":
        upstream.record_reply(elapsed_s, now_s, call.slow)
    elif call_result.status in calls.NOT_RUN:
        snapshot = call.subquery.search.snapshot
        retry_s = call_result.retry_after_ms / 1000
        upstream.record_refusal(call_result.status, snapshot, retry_s, now_s)
        _log.info(
            "searcher-refused",
            searcher=upstream.searcher.id,
            status=call_result.status,
        )
    elif call_result.status == "deadline":
        upstream.record_activity(now_s)
        upstream.record_latency(elapsed_s)
    else:
        record_failure(pool, upstream, call_result, now_s, counts)


def record_failure(
    pool: pools.Pool | None,
    upstream: upstreams.Upstream,
    call_result: calls.CallResult,
    now_s: float,
    counts: collections.Counter[str],
) -> None:
    """Records a failed call, after which the searcher may be ejected."""
    others = pool.upstreams() if pool is not None else []
    others_available = any(
        row is not upstream and row.accepts_work(now_s) for row in others
    )
    if upstream.record_failure(now_s, others_available):
        counts["eject"] += 1
        _log.warning(
            "searcher-ejected",
            searcher=upstream.searcher.id,
            status=call_result.status,
            for_ms=round((upstream.ejected_until_s - now_s) * 1000),
        )
