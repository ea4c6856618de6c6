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

from laurelrock.adapters import logs
from laurelrock.core import event_rate
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
#: Time in seconds for which the objective of a kind of request is respected by
#: other kinds.
OBJECTIVE_VALID_S = 1.0
#: Time constant of the rate at which requests complete, in seconds.
COMPLETION_TIME_CONSTANT_S = 2.0

_log = logs.get_logger(__name__)


class GroupOverload:
    """What this VM knows about overload, as an owner and as a requester.

    Attributes:
        placement: Makes the calls of this VM.
        declined_s: The loop time of the last group that an owner declined.
        completions: The rates at which requests complete here, by route.
        objectives: By the first service of a group and the route, the time in
            seconds in which groups are due, and the loop time of the last one.
    """

    def __init__(self, placement: parts.CallPlacer) -> None:
        self.placement = placement
        self.declined_s = -math.inf
        self.completions: dict[str, event_rate.EventRate] = {}
        self.objectives: dict[str, dict[str, tuple[float, float]]] = {}

    # At the owner

    def expected_wait_s(
        self, route: str, services: tuple[str, ...], needed: int
    ) -> float:
        """Returns the time until enough shards of a group respond.

        Args:
            route: The name of the route.
            services: The services of the group, one per shard.
            needed: The number of them that have to respond.
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
            if backlog.ahead < throughput.MIN_AHEAD:
                continue
            capacity_per_s = sum(
                row.searcher.slots / (mean_s * row.replica.slowness)
                for row in known.searchers_of(name)
                if row.replica.reachable
            )
            rows[-1] = backlog._replace(capacity_per_s=capacity_per_s)
        return throughput.expected_s(rows, needed)

    def excess_wait_s(
        self,
        route: str,
        services: tuple[str, ...],
        needed: int,
        due_in_s: float,
        remaining_s: float,
    ) -> float:
        """Returns the expected wait for a group if it is too long, else 0."""
        shortest_s = self.shortest_due_s(route, services[0], due_in_s)
        wait_s = self.expected_wait_s(route, services, needed)
        mean_s = self.placement.known.typical_latencies[route].mean_s
        if throughput.accepts_group(
            wait_s, due_in_s, remaining_s, mean_s, shortest_s
        ):
            return 0.0
        return min(wait_s, throughput.MAX_RETRY_AFTER_S)

    def shortest_due_s(self, route: str, key: str, due_in_s: float) -> float:
        """Returns the shortest time in which groups of the shards are due.

        Args:
            route: The name of the route of a group.
            key: The first service of the group.
            due_in_s: The time in seconds until its result is due.
        """
        now_s = self.placement.calls.loop.time()
        rows = self.objectives.setdefault(key, {})
        last_due_s, last_s = rows.get(route, (0.0, -math.inf))
        if now_s - last_s < OBJECTIVE_VALID_S:
            # Groups that were declined elsewhere are due a little earlier.
            due_in_s = max(due_in_s, last_due_s)
        rows[route] = (due_in_s, now_s)
        return min(
            due_s
            for due_s, seen_s in rows.values()
            if now_s - seen_s < OBJECTIVE_VALID_S
        )

    def check(self, request: group_messages.GroupRequest) -> float:
        """Returns the wait for which a group is declined; 0 if it is accepted.

        The wait is the time in seconds until the group could be completed.
        """
        wait_s = self.excess_wait_s(
            *(request.route, request.services, request.needed),
            *(request.due_in_s, request.remaining_s),
        )
        if not wait_s:
            return 0.0
        _log.info(
            "group-declined",
            request=request.request_id.decode("latin-1"),
            reason="overloaded",
            service=request.services[0],
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
                *(route.name, group, needed_of(route, group)),
                *(due_s - now_s, context.end_s - now_s),
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
        self.objectives.clear()


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
