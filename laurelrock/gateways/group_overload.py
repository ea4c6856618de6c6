"""Declines groups of shards for overload, and refuses their queries.

An owner declines a group before any call if too few of its shards are expected
to respond in time (`core.throughput`). The VM that has the caller asks the next
owner, and refuses the query if none accepts. While owners decline, queries are
started in two steps, so that a refused query has not run: all groups are
accepted first, and started then. This costs a round trip; otherwise each group
is started as soon as it is accepted, and a query that has begun when a group is
declined is completed, late.
"""

import math
import typing

from laurelrock.adapters import logs
from laurelrock.core import event_rate
from laurelrock.core import fair_queue
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.core import throughput
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import parts
from laurelrock.gateways import remote_groups

__all__ = ["GroupOverload", "create_group_overload", "needed_of"]

#: Time in seconds after a declined group for which queries are started in two
#: steps. Figures of an owner are out of date after this time.
DECLINE_VALID_S = 1.0
#: Time in seconds for which the objective and the priority of a kind of request
#: are respected by other kinds.
DEMAND_VALID_S = 1.0
#: Time constant of the rate at which requests complete, in seconds.
COMPLETION_TIME_CONSTANT_S = 2.0

_log = logs.get_logger(__name__)


class Claim(typing.NamedTuple):
    """What a group is judged by.

    Attributes:
        route: The name of the route.
        workspace: The name of the caller's workspace; empty if there is none.
        priority: The priority of the request; 0 is the highest.
        due_in_s: The time in seconds until the result is due.
        remaining_s: The time in seconds until the caller gives up.
    """

    route: str
    workspace: str
    priority: int
    due_in_s: float
    remaining_s: float


class Demand(typing.NamedTuple):
    """The groups of a route that need some shards.

    Attributes:
        due_in_s: The time in seconds in which they are due.
        priority: Their highest priority.
        seen_s: The loop time of the last one.
    """

    due_in_s: float
    priority: int
    seen_s: float


class GroupOverload:
    """What this VM knows about overload, as an owner and as a requester.

    Attributes:
        placement: Makes the calls of this VM.
        declined_s: The loop time of the last group that an owner declined.
        completions: The rates at which requests complete here, by route.
        demands: The recent demands, by the first service of a group and by
            route.
    """

    def __init__(self, placement: parts.CallPlacer) -> None:
        self.placement = placement
        self.declined_s = -math.inf
        self.completions: dict[str, event_rate.EventRate] = {}
        self.demands: dict[str, dict[str, Demand]] = {}

    # At the owner

    def expected_wait_s(
        self,
        route: str,
        services: tuple[str, ...],
        needed: int,
        strict: bool = False,
    ) -> float:
        """Returns the time until enough shards of a group respond.

        Args:
            route: The name of the route.
            services: The services of the group, one per shard.
            needed: The number of them that have to respond.
            strict: Whether the searchers are known to be busy, so that the rate
                of completion is all that they can do for this VM, and each call
                ahead counts.
        """
        if needed <= 0:
            return 0.0
        known = self.placement.known
        now_s = self.placement.calls.loop.time()
        mean_s = known.typical_latencies[route].mean_s
        rows = []
        for name in services:
            backlog = known.backlog(name, now_s)
            rows.append(backlog)
            if strict or backlog.ahead < throughput.MIN_AHEAD:
                continue
            waits = [
                max(
                    0, len(row.replica.calls_in_flight) + 1 - row.searcher.slots
                )
                * (mean_s * row.replica.slowness / row.searcher.slots)
                for row in known.searchers_of(name)
                if row.replica.reachable
            ]
            rows[-1] = backlog._replace(
                best_wait_s=min(waits, default=math.inf)
            )
        min_ahead = 1 if strict else throughput.MIN_AHEAD
        return throughput.expected_s(rows, needed, min_ahead)

    def excess_wait_s(
        self, claim: Claim, services: tuple[str, ...], needed: int
    ) -> float:
        """Returns the expected wait for a group if it is too long, else 0."""
        now_s = self.placement.calls.loop.time()
        shares = self.placement.calls.shares
        shortest_s, levels = self.compare(claim, services[0], now_s)
        mean_s = self.placement.known.typical_latencies[claim.route].mean_s
        limits = (claim.due_in_s, claim.remaining_s, mean_s, shortest_s)
        wait_s = self.expected_wait_s(claim.route, services, needed)
        if not throughput.accepts_group(wait_s, *limits):
            shares.record_refusal(now_s)
            return min(wait_s, throughput.MAX_RETRY_AFTER_S)
        if not shares.overloaded(now_s):
            return 0.0
        # These refusals don't prolong the overload, so that it can't outlast
        # the requests that caused it.
        wait_s = self.expected_wait_s(claim.route, services, needed, True)
        ratio = shares.ratio(claim.workspace, now_s)
        factor = fair_queue.limit_factor(ratio, levels)
        if throughput.accepts_group(wait_s, *limits, factor):
            return 0.0
        return min(wait_s, throughput.MAX_RETRY_AFTER_S)

    def compare(
        self, claim: Claim, key: str, now_s: float
    ) -> tuple[float, int]:
        """Compares a group with others that need the same shards.

        Args:
            claim: The group.
            key: The first service of the group.
            now_s: The loop time.

        Returns:
            The shortest time in seconds in which groups are due, and the number
            of levels by which others are more urgent.
        """
        rows = self.demands.setdefault(key, {})
        last = rows.get(claim.route)
        due_in_s, priority = claim.due_in_s, claim.priority
        if last is not None and now_s - last.seen_s < DEMAND_VALID_S:
            # Groups that were declined elsewhere are due a little earlier.
            due_in_s = max(due_in_s, last.due_in_s)
            priority = min(priority, last.priority)
        rows[claim.route] = Demand(due_in_s, priority, now_s)
        recent = [
            row for row in rows.values() if now_s - row.seen_s < DEMAND_VALID_S
        ]
        levels = claim.priority - min(row.priority for row in recent)
        return min(row.due_in_s for row in recent), levels

    def check(self, request: group_messages.GroupRequest) -> float:
        """Returns the wait for which a group is declined; 0 if it is accepted.

        The wait is the time in seconds until the group could be completed.
        """
        wait_s = self.excess_wait_s(
            Claim(
                request.route,
                request.workspace,
                request.priority,
                request.due_in_s,
                request.remaining_s,
            ),
            *(request.services, request.needed),
        )
        if not wait_s:
            return 0.0
        _log.info(
            "group-declined",
            request=request.request_id.decode("latin-1"),
            reason="overloaded",
            service=request.services[0],
            workspace=request.workspace,
            needed=request.needed,
            expected_ms=round(wait_s * 1000),
            due_ms=round(request.due_in_s * 1000),
        )
        return wait_s

    # At the requester

    def split_own(
        self,
        context: calls.RequestContext,
        own: tuple[str, ...],
        due_s: float,
    ) -> tuple[tuple[str, ...], list[tuple[str, ...]]]:
        """Returns the shards that this VM can call in time, and other groups.

        Args:
            context: The query.
            own: The shards that this VM owns.
            due_s: The loop time until which they should respond.
        """
        route, now_s = context.route, self.placement.calls.loop.time()
        accepted: list[str] = []
        declined = []
        for group in owners.split_into_groups(route.shards):
            if group[0] not in own:
                continue
            wait_s = self.excess_wait_s(
                Claim(
                    *(route.name, context.workspace, route.priority),
                    *(due_s - now_s, context.end_s - now_s),
                ),
                *(group, needed_of(route, group)),
            )
            if wait_s:
                declined.append(group)
                self.declined_s = now_s
            else:
                accepted += group
        return tuple(accepted), declined

    def record_declined(
        self, group: remote_groups.RemoteGroup, retry_in_s: float
    ) -> None:
        """Records that an owner declined a group for overload."""
        self.declined_s = self.placement.calls.loop.time()
        before_s = group.retry_in_s or math.inf
        group.retry_in_s = min(before_s, retry_in_s)

    def declines_lately(self) -> bool:
        """Returns whether an owner declined a group of late."""
        age_s = self.placement.calls.loop.time() - self.declined_s
        return age_s < DECLINE_VALID_S

    def record_completion(self, route: str) -> None:
        """Records a request that was answered."""
        if route not in self.completions:
            self.completions[route] = event_rate.create_event_rate(
                COMPLETION_TIME_CONSTANT_S
            )
        self.completions[route].record(self.placement.calls.loop.time())

    def retry_after_s(self, route: str, wait_s: float) -> float:
        """Returns the time after which a refused caller may retry.

        Callers are given turns at the rate at which requests complete.
        """
        now_s = self.placement.calls.loop.time()
        rate = self.completions.get(route)
        per_s = rate.per_s(now_s) if rate else 0.0
        return self.placement.return_times.reserve(
            f"overload {route}", wait_s, per_s, now_s
        )

    def retain(self, names: set[str]) -> None:
        """Drops the rates of all routes but the given ones."""
        self.completions = {
            name: rate
            for name, rate in self.completions.items()
            if name in names
        }
        self.demands.clear()


def needed_of(route: routes.Route, services: tuple[str, ...]) -> int:
    """Returns how many shards of a group a query needs.

    The query can do without the others if all other groups are complete, so
    that single slow shards are no reason to decline a group.
    """
    spare = len(route.shards) - route.min_shards
    return max(0, len(services) - spare)


def create_group_overload(placement: parts.CallPlacer) -> GroupOverload:
    """Returns the state in which no group was declined."""
    return GroupOverload(placement)
