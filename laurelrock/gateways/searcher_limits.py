"""The limits of requests that searchers named, applied to this VM.

A searcher's response may name the number of requests per second that it takes
from all VMs. This VM keeps to its share of it, and records the demand for the
services of such searchers. How the VMs agree on the shares is in
`limit_sharing`.
"""

import collections.abc

from laurelrock.adapters import logs
from laurelrock.core import event_rate
from laurelrock.core import replicas
from laurelrock.core import request_limit
from laurelrock.core import shared_rate
from laurelrock.gateways import upstreams

__all__ = [
    "end_limit",
    "limit_requests",
    "limited_rates",
    "record_demand",
    "record_limit",
    "share_limits",
]

#: Time constant of the demand for services with a limit, in seconds.
DEMAND_TIME_CONSTANT_S = 2.0

_log = logs.get_logger(__name__)


def record_demand(
    known: upstreams.Upstreams, service: str, now_s: float
) -> None:
    """Records a request that needs a service, whether it is served."""
    if not known.limited and not known.cold:
        return
    if service not in known.demands:
        known.demands[service] = event_rate.create_event_rate(
            DEMAND_TIME_CONSTANT_S
        )
    known.demands[service].record(now_s)


def limited_rates(
    known: upstreams.Upstreams, services: collections.abc.Iterable[str]
) -> list[float]:
    """Returns the requests per second that services take from this VM.

    See `replicas.limited_per_s`. The highest rate is the first.
    """
    rates = [
        replicas.limited_per_s(row.replica for row in known.searchers_of(name))
        for name in services
    ]
    return sorted(rates, reverse=True)


def limit_requests(
    known: upstreams.Upstreams,
    upstream: upstreams.Upstream,
    per_s: float,
    named_s: float,
    now_s: float,
) -> None:
    """Limits the requests to a searcher.

    Args:
        known: All searchers.
        upstream: The searcher.
        per_s: The requests per second that it takes from all VMs.
        named_s: The loop time of the response that named the limit.
        now_s: The loop time.
    """
    replica, searcher = upstream.replica, upstream.searcher
    limit = replica.limit
    if limit is None:
        share = named_share(known, upstream, per_s)
        replica.limit = request_limit.create_request_limit(
            per_s, share, named_s, now_s
        )
        known.limited[searcher.id] = upstream
        _log.info(
            "searcher-limited",
            searcher=searcher.id,
            service=searcher.service,
            per_s=per_s,
            share=round(share.fraction, 4),
        )
        return
    limit.named_s = max(limit.named_s, named_s)
    if per_s != limit.named_per_s:
        limit.change(per_s, named_share(known, upstream, per_s), now_s)


def record_limit(
    known: upstreams.Upstreams,
    upstream: upstreams.Upstream,
    per_s: float | None,
    sent_s: float,
    now_s: float,
) -> None:
    """Applies what a searcher's response says about its limit.

    Args:
        known: All searchers.
        upstream: The searcher.
        per_s: The limit that the response names; None if it names none,
            which ends the limit.
        sent_s: The loop time at which the request was sent. Responses may
            overtake each other on different connections.
        now_s: The loop time.
    """
    if known.by_id.get(upstream.searcher.id) is not upstream:
        # The response to a call of an earlier start says nothing of this.
        return
    if per_s is not None:
        limit_requests(known, upstream, per_s, now_s, now_s)
        return
    limit = upstream.replica.limit
    if limit is None or sent_s > limit.named_s:
        upstream.replica.unlimited_s = now_s
        end_limit(known, upstream, "no longer named")


def end_limit(
    known: upstreams.Upstreams, upstream: upstreams.Upstream, reason: str
) -> None:
    """Ends the limit of a searcher, if it has one."""
    if known.limited.pop(upstream.searcher.id, None) is None:
        return
    upstream.replica.limit = None
    _log.info(
        "searcher-limit-ended",
        searcher=upstream.searcher.id,
        reason=reason,
    )


def share_limits(known: upstreams.Upstreams, now_s: float) -> None:
    """Applies this VM's shares of all limits and ends those that lapsed."""
    for upstream in list(known.limited.values()):
        limit = upstream.replica.limit
        if limit is None or limit.has_lapsed(now_s):
            end_limit(known, upstream, "not named for a long time")
            continue
        per_s = limit.named_per_s
        limit.change(per_s, named_share(known, upstream, per_s), now_s)
    for upstream in known.cold.values():
        cold = upstream.replica.cold
        if cold is not None:
            share = known.share_of(upstream.searcher, cold.max_callers, True)
            cold.set_share(share, now_s)


def named_share(
    known: upstreams.Upstreams, upstream: upstreams.Upstream, per_s: float
) -> shared_rate.Share:
    """Returns this VM's share of a limit that a searcher named."""
    return known.share_of(
        upstream.searcher, request_limit.max_callers(per_s), False
    )
