"""Knows which searchers are cold, and limits the requests to them.

A searcher is cold if its entry or one of its responses says so, for a time
after it started again under its id, and for a time after the evacuation of its
failure domain has ended. VMs request the health of cold searchers, within the
same limit, and tell each other what these say (`gateways.limit_sharing`).
"""

import asyncio
import math
import typing

from laurelrock.adapters import logs
from laurelrock.core import routes
from laurelrock.core import shared_rate
from laurelrock.core import warm_up
from laurelrock.gateways import calls
from laurelrock.gateways import health_checks
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import upstreams

__all__ = ["ColdSearchers", "create_cold_searchers"]

#: Interval in seconds at which ended warm-ups and due health requests are
#: looked for.
CHECK_INTERVAL_S = 0.1
#: Minimum interval in seconds of the health requests to a searcher, and the
#: fraction of the requests that it takes that they may use.
HEALTH_INTERVAL_S = 1.0
HEALTH_FRACTION = 0.1
#: Time in seconds by which the VMs that call a searcher request its health
#: after each other: one VM's news reach the others within a second.
HEALTH_TURN_S = 1.0
#: Time in seconds for which a searcher's response is told to other VMs.
NEWS_S = 8.0
#: Maximum number of searchers whose start is remembered after their entry was
#: deleted.
MAX_STARTS = 8192

_log = logs.get_logger(__name__)


class Known(typing.NamedTuple):
    """The latest evidence about a searcher.

    Attributes:
        started_ms: Start of the searcher, in milliseconds since 1970.
        evidence: What kind of evidence it is.
        learned_s: Loop time of the evidence, in seconds.
        left_s: Time for which the searcher was cold then, in seconds.
        changed_s: Loop time of the last change between cold and warm.
    """

    started_ms: int
    evidence: warm_up.Evidence
    learned_s: float
    left_s: float
    changed_s: float


class ColdSearchers:
    """The cold searchers.

    Attributes:
        known: The searchers.
        calls: The calls in flight.
        sharing: The shares of limits.
        policy: How far a limit may be exceeded.
        evidence: The latest evidence by searcher.
        starts: The last known start of each searcher, by id.
        asked_s: Loop times of the last health requests, by searcher.
        top_priorities: The best priority of the routes of each service.
        tasks: The health requests that haven't ended.
        counts: The number of events, for the metrics.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        in_flight: calls.Calls,
        sharing: limit_sharing.LimitSharing,
        policy: warm_up.WarmUpPolicy,
    ) -> None:
        self.known = known
        self.calls = in_flight
        self.sharing = sharing
        self.policy = policy
        self.loop = asyncio.get_running_loop()
        self.evidence: dict[str, Known] = {}
        self.starts: dict[str, int] = {}
        self.asked_s: dict[str, float] = {}
        self.top_priorities: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts = {"cold": 0, "warm": 0, "health": 0, "preferred-warm": 0}
        known.entry_applied = self.apply_entry
        in_flight.record_warm_up = self.record_response
        sharing.cold_news = self.news
        sharing.apply_cold = self.apply_report

    # Evidence

    def configure(self, configuration: routes.Configuration) -> None:
        """Applies the services and routes of a configuration."""
        self.top_priorities = {}
        for route in configuration.routes:
            names = {part.service for part in route.weighted_services}
            for name in names.union(route.shards):
                best = self.top_priorities.get(name, route.priority)
                self.top_priorities[name] = min(best, route.priority)
        now_s = self.loop.time()
        for upstream in list(self.known.by_id.values()):
            cold = upstream.replica.cold
            service = self.known.service(upstream.searcher.service)
            if cold is not None and cold.per_s != service.warm_up_per_s:
                self.end(upstream, "configuration")
            left_s = upstream.replica.warm_up_end_s - now_s
            if upstream.replica.cold is None and left_s > 0.0:
                kind = warm_up.Evidence.ENTRY
                self.learn(upstream, kind, now_s, left_s)

    def apply_entry(self, upstream: upstreams.Upstream, now_s: float) -> None:
        """Applies a new or changed entry of a searcher."""
        searcher = upstream.searcher
        last_ms = self.starts.pop(searcher.id, None)
        self.starts[searcher.id] = searcher.started_ms
        if len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        if last_ms != searcher.started_ms:
            self.evidence.pop(searcher.id, None)
            self.asked_s.pop(searcher.id, None)
        left_s = searcher.warm_up_left_s
        if left_s > 0.0 or last_ms in (None, searcher.started_ms):
            self.learn(upstream, warm_up.Evidence.ENTRY, now_s, left_s)
            self.restore(upstream, now_s)
            return
        # The entry of a start that this VM has seen may have been written
        # before the searcher knew that it is cold.
        self.presume(upstream, now_s)

    def restore(self, upstream: upstreams.Upstream, now_s: float) -> None:
        """Applies what is known about a searcher whose entry returned."""
        last = self.evidence.get(upstream.searcher.id)
        if last is not None and upstream.replica.cold is None:
            left_s = last.learned_s + last.left_s - now_s
            if left_s > 0.0:
                self.learn(upstream, last.evidence, now_s, left_s)

    def presume_cold(self, failure_domain: str) -> None:
        """Counts the searchers of a failure domain as cold.

        To be called when its evacuation has ended, before requests are sent
        there: its searchers may have become cold without requests. An entry or
        a response that is newer corrects it.
        """
        now_s = self.loop.time()
        for upstream in list(self.known.by_id.values()):
            if upstream.searcher.failure_domain == failure_domain:
                self.presume(upstream, now_s)

    def presume(self, upstream: upstreams.Upstream, now_s: float) -> None:
        """Counts a searcher as cold for the time that its service names."""
        service = self.known.service(upstream.searcher.service)
        kind = warm_up.Evidence.PRESUMED
        self.learn(upstream, kind, now_s, service.warm_up_s)

    def record_response(
        self, upstream: upstreams.Upstream, left_s: float
    ) -> None:
        """Records that a response says how long its searcher is cold.

        A response to a call of an earlier start is no evidence.
        """
        if self.known.by_id.get(upstream.searcher.id) is upstream:
            now_s = self.loop.time()
            kind = warm_up.Evidence.RESPONSE
            self.learn(upstream, kind, now_s, left_s)

    def apply_report(self, row: limit_sharing.ColdReport) -> bool:
        """Applies what another VM was told by a searcher.

        Returns:
            Whether the searcher became cold or warm by that.
        """
        upstream = self.known.by_id.get(row.searcher)
        if upstream is None or upstream.searcher.started_ms != row.started_ms:
            return False
        was_cold = upstream.replica.cold is not None
        learned_s = self.loop.time() - max(0.0, row.age_s)
        kind = warm_up.Evidence.RESPONSE
        self.learn(upstream, kind, learned_s, max(0.0, row.left_s))
        return was_cold != (upstream.replica.cold is not None)

    def news(self) -> list[limit_sharing.ColdReport]:
        """Returns what searchers that are or were cold lately said."""
        now_s = self.loop.time()
        rows = []
        for name, row in self.evidence.items():
            upstream = self.known.by_id.get(name)
            if (
                upstream is not None
                and row.evidence is warm_up.Evidence.RESPONSE
                and now_s - row.learned_s < NEWS_S
                and (row.left_s > 0.0 or now_s - row.changed_s < NEWS_S)
            ):
                rows.append(
                    limit_sharing.ColdReport(
                        upstream.searcher.service,
                        name,
                        row.started_ms,
                        round(row.left_s, 3),
                        round(now_s - row.learned_s, 3),
                    )
                )
        return rows

    def learn(
        self,
        upstream: upstreams.Upstream,
        evidence: warm_up.Evidence,
        learned_s: float,
        left_s: float,
    ) -> None:
        """Applies evidence, unless what is known is newer or better."""
        searcher, now_s = upstream.searcher, self.loop.time()
        per_s = self.known.service(searcher.service).warm_up_per_s
        if per_s <= 0.0:
            return
        last = self.evidence.get(searcher.id)
        if last is not None:
            if learned_s < last.learned_s:
                return
            # When an entry was written is unknown: it may be older than what
            # the searcher said since, and only prolongs that.
            known_until_s = last.learned_s + last.left_s
            if (
                evidence is warm_up.Evidence.ENTRY
                and last.evidence is warm_up.Evidence.RESPONSE
                and learned_s + left_s <= known_until_s
            ):
                return
        is_cold = learned_s + left_s > now_s
        changed_s = last.changed_s if last else -math.inf
        if is_cold != (upstream.replica.cold is not None):
            changed_s = now_s
        self.evidence[searcher.id] = Known(
            searcher.started_ms, evidence, learned_s, left_s, changed_s
        )
        if not is_cold:
            self.end(upstream, evidence.name.lower())
            return
        cold = upstream.replica.cold or self.begin(
            upstream, per_s, evidence, left_s
        )
        cold.until_s = learned_s + left_s
        upstream.replica.warm_up_end_s = cold.until_s

    # The limit

    def begin(
        self,
        upstream: upstreams.Upstream,
        per_s: float,
        evidence: warm_up.Evidence,
        left_s: float,
    ) -> warm_up.ColdLimit:
        """Limits the requests to a searcher."""
        searcher, now_s = upstream.searcher, self.loop.time()
        cold = warm_up.create_cold_limit(
            per_s, self.policy, shared_rate.Share(0.0), now_s
        )
        share = self.known.share_of(searcher, cold.max_callers, True)
        cold.set_share(share, now_s)
        upstream.replica.cold = cold
        self.known.cold[searcher.id] = upstream
        # These calls were placed without the limit.
        upstream.client.reject_waiting_calls("the searcher is cold")
        self.counts["cold"] += 1
        _log.info(
            "searcher-cold",
            searcher=searcher.id,
            service=searcher.service,
            left_ms=round(left_s * 1000),
            evidence=evidence.name.lower(),
            per_s=per_s,
            share=round(share.equal, 4),
        )
        return cold

    def end(self, upstream: upstreams.Upstream, reason: str) -> None:
        """Ends the limit of a searcher, if it is cold."""
        if upstream.replica.cold is None:
            return
        upstream.replica.cold = None
        upstream.replica.warm_up_end_s = 0.0
        self.known.cold.pop(upstream.searcher.id, None)
        self.counts["warm"] += 1
        _log.info("searcher-warm", searcher=upstream.searcher.id, reason=reason)

    async def run(self) -> None:
        """Ends warm-ups and requests the health of cold searchers, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Ends the warm-ups whose time is over, and sends health requests."""
        now_s = self.loop.time()
        for upstream in list(self.known.cold.values()):
            cold = upstream.replica.cold
            if cold is None or now_s >= cold.until_s:
                self.end(upstream, "time")
            elif self.is_health_due(upstream, cold, now_s):
                self.asked_s[upstream.searcher.id] = now_s
                self.counts["health"] += 1
                task = self.loop.create_task(self.request_health(upstream))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        for name in [
            name
            for name, row in self.evidence.items()
            if name not in self.known.by_id
            and now_s >= row.learned_s + row.left_s
        ]:
            del self.evidence[name]

    def is_health_due(
        self,
        upstream: upstreams.Upstream,
        cold: warm_up.ColdLimit,
        now_s: float,
    ) -> bool:
        """Tells whether this VM should request a cold searcher's health.

        The VMs that call the searcher do so after each other, if no news of
        those before them have arrived.
        """
        searcher = upstream.searcher
        if upstream.replica.evacuated or self.known.isolated:
            return False
        if cold.share.turn or cold.wait_s(now_s):
            return False
        interval_s = max(
            HEALTH_INTERVAL_S, 1.0 / (HEALTH_FRACTION * cold.per_s)
        )
        if now_s - self.asked_s.get(searcher.id, -math.inf) < interval_s:
            return False
        last = self.evidence.get(searcher.id)
        due_s = last.learned_s if last else now_s
        if last is not None and last.evidence is warm_up.Evidence.RESPONSE:
            due_s += interval_s
        if now_s < due_s:
            return False
        callers = self.sharing.assignment.callers_of(searcher.service)
        ranked = self.sharing.rank_callers(searcher, callers)
        me = self.sharing.me
        turn = ranked.index(me) if me in ranked else 0
        return now_s >= due_s + turn * HEALTH_TURN_S

    async def request_health(self, upstream: upstreams.Upstream) -> None:
        """Requests a cold searcher's health."""
        reply = await health_checks.request_health(self.known, upstream)
        if reply is None:
            return
        found = self.calls.platform.read_searcher_headers(
            reply.status, reply.headers
        )
        if found.warm_up_left_s is not None and not found.misplaced:
            self.record_response(upstream, found.warm_up_left_s)

    # Choice

    def prefer_warm(
        self,
        context: calls.RequestContext,
        service: str,
        rows: list[upstreams.Upstream],
    ) -> list[upstreams.Upstream]:
        """Returns the searchers that a request may be sent to.

        These are the warm ones, if one is expected to respond within the
        objective. Requests of less than the best priority that a service gets
        use a cold searcher only if there is capacity to spare.
        """
        warm = [row for row in rows if row.replica.cold is None]
        if len(warm) == len(rows):
            return rows
        now_s = self.loop.time()
        if warm:
            typical = self.known.typical_latencies[context.route.name]
            left_s = (
                context.request.received_s + context.route.objective_s - now_s
            )
            if any(
                row.replica.expected_latency_s(typical, now_s) <= left_s
                for row in warm
            ):
                self.counts["preferred-warm"] += 1
                return warm
        priority = context.route.priority
        if priority <= self.top_priorities.get(service, priority):
            return rows
        return [
            row
            for row in rows
            if row.replica.cold is None or row.replica.cold.is_spare(now_s)
        ]


def create_cold_searchers(
    known: upstreams.Upstreams,
    in_flight: calls.Calls,
    sharing: limit_sharing.LimitSharing,
    policy: warm_up.WarmUpPolicy,
) -> ColdSearchers:
    """Returns the state without cold searchers."""
    return ColdSearchers(known, in_flight, sharing, policy)
