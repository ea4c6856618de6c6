"""Refusals of requests before any searcher is called."""

from laurelrock.core import fair_queue
from laurelrock.core import replicas
from laurelrock.core import routes
from laurelrock.core import throughput
from laurelrock.gateways import calls
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import shard_groups
from laurelrock.gateways import upstreams

__all__ = [
    "check_overload",
    "refuse_blocked",
    "refuse_single",
    "refuse_unreachable",
]


def refuse_blocked(
    route: routes.Route, placement: parts.CallPlacer
) -> outcomes.Outcome | None:
    """Returns a refusal if the places of searchers leave too few shards."""
    if not route.regions and not placement.known.evacuated:
        return None
    blocker = placement.known.blocker
    reasons = [blocker(name, route.regions) for name in route.shards]
    blocked = [reason for reason in reasons if reason]
    if len(reasons) - len(blocked) >= route.min_shards:
        return None
    evacuated = upstreams.EVACUATED in blocked
    return outcomes.Outcome(
        "refused",
        503,
        shards=len(route.shards),
        reason=upstreams.EVACUATED if evacuated else blocked[0],
    )


def refuse_unreachable(
    route: routes.Route,
    reachable: int,
    placement: parts.CallPlacer,
    group_state: shard_groups.ShardGroups,
) -> outcomes.Outcome:
    """Returns the refusal of a query that reaches too few shards."""
    group_state.reachability.query_owners(route)
    count = len(route.shards)
    own, _ = group_state.split_shards(route)
    needed = route.min_shards - (count - len(own))
    return outcomes.Outcome(
        "refused",
        503,
        shards=count,
        reason=f"searchers of only {reachable} of {count} shards reachable",
        resume_in_s=placement.record_refusal(
            route.name,
            own,
            needed,
            group_state.reachability.resume_in_s(route),
        ),
    )


def check_overload(
    context: calls.RequestContext, placement: parts.CallPlacer
) -> outcomes.Outcome | None:
    """Returns a refusal if a query would queue for too long, else None."""
    route, shares = context.route, placement.calls.shares
    now_s = placement.calls.loop.time()
    rows = [placement.known.backlog(name, now_s) for name in route.shards]
    wait_s = throughput.expected_s(rows, route.min_shards)
    factor = 1.0
    if wait_s and context.workspace and shares.overloaded(now_s):
        ratio = shares.ratio(context.workspace, now_s)
        factor = fair_queue.limit_factor(ratio, 0)
    if throughput.is_in_time(wait_s, route.objective_s * factor):
        return None
    shares.record_refusal(now_s)
    return outcomes.Outcome(
        "refused",
        503,
        shards=len(route.shards),
        reason=f"expected latency is {wait_s * 1000:.0f} ms",
        retry_after_s=min(wait_s, throughput.MAX_RETRY_AFTER_S),
        overloaded=True,
    )


def refuse_single(
    service: str, route: routes.Route, placement: parts.CallPlacer
) -> outcomes.Outcome:
    """Returns the refusal of a request that no searcher accepts."""
    blocker = placement.known.blocker(service, route.regions)
    if blocker:
        return outcomes.Outcome("refused", 503, reason=blocker)
    resume_in_s = placement.record_refusal(
        route.name,
        [service],
        1,
        replicas.retry_in_s([placement.resume_in_s(service)], 1),
    )
    reason = (
        f"searchers take no calls for {resume_in_s * 1000:.0f} ms"
        if resume_in_s
        else "no searcher"
    )
    return outcomes.Outcome(
        "refused", 503, reason=reason, resume_in_s=resume_in_s
    )
