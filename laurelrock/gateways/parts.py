"""Parts: the share of one service in a request, with its calls.

A single request is one part; a query has one per shard. A part starts with one
call. After a failure, or when the call is late, another searcher is called,
within the route's maximum of attempts and the budget of extra calls.
"""

import collections.abc
import enum
import typing

from laurelrock.adapters import logs
from laurelrock.core import replicas
from laurelrock.core import retry_budget
from laurelrock.core import return_times
from laurelrock.gateways import calls
from laurelrock.gateways import domain_selection
from laurelrock.gateways import outcomes
from laurelrock.gateways import searcher_limits
from laurelrock.gateways import trials
from laurelrock.gateways import upstreams

__all__ = ["CallPlacer", "Part", "PartState", "create_part", "hedge_late_parts"]

#: Minimum interval in seconds between two checks for late calls.
MIN_CHECK_INTERVAL_S = 0.003
#: Minimum time left to call another searcher, as a factor of the mean latency.
MIN_TIME_LEFT_FACTOR = 0.8

_log = logs.get_logger(__name__)


class PartState(enum.Enum):
    """The state of a part."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"


class Part:
    """The state of one service's share of a request.

    Attributes:
        context: The caller's request.
        service: The service that answers this part.
        state: Whether the part is open, answered or failed.
        answer: The result with the searcher's answer, once answered.
        erred: The last result with an error response.
        pending_calls: The calls that haven't ended.
        tried: The ids of the searchers that were called.
        attempts: The number of calls that may have reached a searcher.
        may_have_run: Whether a call that failed may have run.
        reason: The reason of the last failure, for logs.
        asked_lender: Whether another VM was asked for an extra call.
        awaiting_lender: Whether that VM's reply is outstanding.
        parked: Whether a call waits until the request was answered elsewhere.
        draw: Random number that decides whether it leaves the failure domain;
            None before the first decision.
        left_domain: Whether a searcher in another failure domain was called.
        on_finish: Called when the final state is set.
    """

    def __init__(
        self,
        context: calls.RequestContext,
        service: str,
        on_finish: collections.abc.Callable[["Part"], None],
    ) -> None:
        self.context = context
        self.service = service
        self.state = PartState.OPEN
        self.answer: calls.CallResult | None = None
        self.erred: calls.CallResult | None = None
        self.pending_calls: list[calls.PendingCall] = []
        self.tried: set[str] = set()
        self.attempts = 0
        self.may_have_run = False
        self.reason = ""
        self.asked_lender = False
        self.awaiting_lender = False
        self.parked = False
        self.draw: float | None = None
        self.left_domain = False
        self.on_finish = on_finish

    def finish(self, state: PartState) -> None:
        """Sets the final state and calls `on_finish`."""
        if self.state is PartState.OPEN:
            self.state = state
            self.on_finish(self)

    def failure_reason(self) -> str:
        """Returns why there is no answer, for logs."""
        return self.reason or f"no answer from {', '.join(sorted(self.tried))}"

    def abandon(self, now_s: float) -> None:
        """Abandons the part, since its answer is no longer needed."""
        if self.state is PartState.OPEN:
            self.state = PartState.FAILED
        for pending_call in self.pending_calls:
            self.may_have_run = self.may_have_run or pending_call.call.sent
            pending_call.abandon(now_s)
        self.pending_calls.clear()


Borrow = collections.abc.Callable[
    [str, collections.abc.Callable[[bool], None]], bool
]


PreferWarm = collections.abc.Callable[
    [calls.RequestContext, str, list[upstreams.Upstream]],
    list[upstreams.Upstream],
]


class CrashGuard(typing.Protocol):
    """Knows the requests that crash searchers."""

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns whether a request crashed a searcher before."""

    def is_quarantined(self, fingerprint: int) -> bool:
        """Returns whether a request may not be sent any more."""

    def refusal(self, fingerprint: int) -> outcomes.Outcome | None:
        """Returns the refusal of a request that is quarantined, else None."""

    def finish(self, context: calls.RequestContext) -> None:
        """Draws the conclusions from an attempt that has ended."""


class CallPlacer:
    """Chooses searchers for parts and calls them.

    Attributes:
        calls: The calls in flight.
        known: The searchers.
        budget: The budget of extra calls.
        borrow: Asks another VM for an extra call of a service; returns whether
            there is a VM to ask.
        crash_guard: Knows the requests that crash searchers, if any does.
        prefer_warm: Returns those of some searchers of a service that a request
            may be sent to, which excludes cold ones if others will do.
        return_times: The times at which refused callers may return.
        counts: The number of decisions by kind, for the metrics.
        domains: Chooses between this failure domain and the others.
    """

    def __init__(
        self,
        in_flight: calls.Calls,
        known: upstreams.Upstreams,
        budget: retry_budget.Budget,
        borrow: Borrow,
    ) -> None:
        self.calls = in_flight
        self.known = known
        self.budget = budget
        self.borrow = borrow
        self.crash_guard: CrashGuard | None = None
        self.prefer_warm: PreferWarm = lambda context, service, rows: rows
        self.return_times = return_times.create_return_times()
        self.counts = {"first": 0, "retry": 0, "hedge": 0, "no-budget": 0}
        self.domains = domain_selection.create_domain_selection(
            known, self.counts, in_flight.loop
        )

    def begin_request(
        self, context: calls.RequestContext
    ) -> outcomes.Outcome | None:
        """Begins a request, or returns the refusal if it is quarantined."""
        guard = self.crash_guard
        if guard is None:
            return None
        context.trial.suspect = guard.is_suspect(context.fingerprint)
        return guard.refusal(context.fingerprint)

    def end_request(self, context: calls.RequestContext) -> None:
        """Ends a request, whose calls may continue."""
        if self.crash_guard is not None:
            self.crash_guard.finish(context)

    def is_quarantined(self, part: Part) -> bool:
        """Returns whether a part's request may not be sent any more."""
        guard = self.crash_guard
        return guard is not None and guard.is_quarantined(
            part.context.fingerprint
        )

    def candidates(self, part: Part) -> list[upstreams.Upstream]:
        """Returns the usable searchers that a part hasn't called yet."""
        if self.known.isolated:
            return []
        rows = {
            row.replica: row
            for row in self.known.searchers_of(
                part.service, part.context.route.regions
            )
            if row.searcher.id not in part.tried
        }
        working = replicas.usable(rows, self.calls.loop.time())
        found = [rows[replica] for replica in working]
        return self.prefer_warm(part.context, part.service, found)

    def reachable(self, service: str, regions: tuple[str, ...] = ()) -> bool:
        """Returns whether any searcher of a service may be reached."""
        return self.known.reachable(service, self.calls.loop.time(), regions)

    def no_searcher_reason(self, part: Part) -> str:
        """Returns why there is no searcher to call for a part, for logs."""
        regions = part.context.route.regions
        return self.known.blocker(part.service, regions) or "no searcher"

    def resume_in_s(self, service: str) -> float:
        """Returns the time until a service accepts calls, in seconds."""
        return self.known.resume_in_s(service, self.calls.loop.time())

    def record_refusal(
        self,
        kind: str,
        services: collections.abc.Sequence[str],
        needed: int,
        resume_in_s: float,
    ) -> float:
        """Records a request that is refused because services take no calls.

        Args:
            kind: The name of the route.
            services: The services that the request needs and this VM calls.
            needed: The number of them that have to answer.
            resume_in_s: The time in seconds until they accept calls; 0 if
                unknown.

        Returns:
            The time in seconds until the caller may return; 0 if unknown.
        """
        now_s = self.calls.loop.time()
        for service in services:
            searcher_limits.record_demand(self.known, service, now_s)
        if not resume_in_s or not 0 < needed <= len(services):
            return resume_in_s
        rates = searcher_limits.limited_rates(self.known, services)
        return self.return_times.reserve(
            kind, resume_in_s, rates[needed - 1], now_s
        )

    def start(self, part: Part) -> bool:
        """Makes the first call of a part.

        Returns:
            Whether there was a searcher to call, or the call waits.
        """
        if part.context.trial.must_wait():
            self.park(part, lambda: self.start(part))
            return True
        if self.is_quarantined(part):
            return False
        now_s = self.calls.loop.time()
        searcher_limits.record_demand(self.known, part.service, now_s)
        rows = self.candidates(part)
        if not rows:
            return False
        self.budget.record_request(part.service, now_s)
        self.counts["first"] += 1
        self.call(part, self.domains.choose(part, rows))
        self.domains.record_part(part.service)
        return True

    def park(
        self, part: Part, begin: collections.abc.Callable[[], object]
    ) -> None:
        """Lets a call of a part wait until the request is answered."""
        part.parked = True

        def resume() -> None:
            part.parked = False
            if part.state is PartState.OPEN:
                begin()
                self.fail_if_idle(part)

        def drop() -> None:
            part.parked = False
            part.reason = part.reason or "may crash searchers"
            self.fail_if_idle(part)

        part.context.trial.park(trials.ParkedCall(resume, drop))

    def call(self, part: Part, upstream: upstreams.Upstream) -> None:
        """Calls one searcher."""
        part.attempts += 1
        part.tried.add(upstream.searcher.id)

        def on_end(
            pending_call: calls.PendingCall, end: calls.CallResult
        ) -> None:
            self.handle_end(part, pending_call, end)

        # Each pending call of a part may complete it.
        shards = max(1, len(part.context.route.shards))
        coverage = 1.0 / shards / (1 + len(part.pending_calls))
        part.pending_calls.append(
            self.calls.start(part.context, upstream, on_end, coverage)
        )

    def handle_end(
        self, part: Part, pending_call: calls.PendingCall, end: calls.CallResult
    ) -> None:
        """Processes the end of one of a part's calls."""
        part.pending_calls.remove(pending_call)
        if part.state is not PartState.OPEN:
            return
        if end.status is calls.CallStatus.ANSWERED:
            part.answer = end
            if end.reply is not None:
                self.domains.record_answer(
                    part.context.route.name, len(end.reply.body)
                )
            now_s = self.calls.loop.time()
            for other in part.pending_calls:
                other.abandon(now_s)
            part.pending_calls.clear()
            part.finish(PartState.ANSWERED)
            return
        part.reason = end.reason
        if end.status is calls.CallStatus.ERRED:
            part.erred = end
        if end.status in (calls.CallStatus.ERRED, calls.CallStatus.BROKEN):
            part.may_have_run = True
        if end.status is calls.CallStatus.UNSENT:
            part.attempts -= 1
            self.budget.refund(part.service, self.calls.loop.time())
            part.reason = (
                self.known.blocker(part.service, part.context.route.regions)
                or part.reason
            )
        self.retry(part, pending_call, end)

    def retry(
        self, part: Part, pending_call: calls.PendingCall, end: calls.CallResult
    ) -> None:
        """Calls another searcher after a failure, or ends the part."""
        route = part.context.route
        retry_blocker = "not idempotent"
        if route.idempotent or not part.may_have_run:
            retry_blocker = self.try_another(part, "retry")
        _log.info(
            "call-failed",
            request=part.context.caller_headers.request_id.decode("latin-1"),
            service=part.service,
            searcher=pending_call.upstream.searcher.id,
            fingerprint=f"{part.context.fingerprint:016x}",
            result=end.status.value,
            reason=end.reason,
            attempts=part.attempts,
            retry_blocker=retry_blocker,
        )
        self.fail_if_idle(part)

    def fail_if_idle(self, part: Part) -> None:
        """Fails a part that waits for nothing."""
        waits = part.pending_calls or part.awaiting_lender or part.parked
        if not waits:
            part.finish(PartState.FAILED)

    def hedge(self, part: Part) -> None:
        """Calls another searcher in addition to a late one."""
        if (
            part.context.route.idempotent
            and not part.awaiting_lender
            and part.context.trial.may_hedge()
        ):
            self.try_another(part, "hedge")

    def try_another(self, part: Part, kind: str) -> str:
        """Calls one more searcher, if that is allowed and useful.

        Returns:
            Why no searcher was called, for logs; empty if one was.
        """
        now_s = self.calls.loop.time()
        blocker = self.extra_call_blocker(part, now_s)
        if blocker:
            return blocker
        if part.context.trial.must_wait():
            self.park(part, lambda: self.try_another(part, kind))
            return "may crash searchers"
        rows = self.extra_call_candidates(part, kind)
        if not rows:
            return "no searcher"
        if self.budget.try_take(part.service, now_s):
            self.make_extra_call(part, kind, rows)
            return ""
        self.counts["no-budget"] += 1
        if part.asked_lender:
            return "no budget"

        def done(granted: bool) -> None:
            self.handle_lender_reply(part, kind, granted)

        part.asked_lender = True
        part.awaiting_lender = self.borrow(part.service, done)
        return (
            "asking another VM for budget"
            if part.awaiting_lender
            else "no budget"
        )

    def extra_call_blocker(self, part: Part, now_s: float) -> str:
        """Returns why no extra call may be made; empty if one may."""
        if part.attempts >= part.context.route.attempts:
            return "attempts"
        if self.is_quarantined(part):
            return "quarantined"
        typical = self.known.typical_latencies[part.context.route.name]
        if part.context.end_s - now_s < typical.mean_s * MIN_TIME_LEFT_FACTOR:
            return "no time"
        return ""

    def extra_call_candidates(
        self, part: Part, kind: str
    ) -> list[upstreams.Upstream]:
        """Returns the searchers that an extra call may go to."""
        rows = self.candidates(part)
        if kind != "hedge":
            return rows
        typical = self.known.typical_latencies[part.context.route.name]
        now_s = self.calls.loop.time()
        rows = [
            row
            for row in rows
            if not row.replica.is_stalled(typical, now_s)
            and not row.replica.ejections
            and replicas.takes_extra_work(row.replica, now_s)
        ]
        return rows if self.domains.is_hedge_useful(part, rows) else []

    def handle_lender_reply(self, part: Part, kind: str, granted: bool) -> None:
        """Processes the reply of the VM that was asked for an extra call."""
        part.awaiting_lender = False
        if part.state is not PartState.OPEN:
            return
        rows = self.extra_call_candidates(part, kind)
        now_s = self.calls.loop.time()
        if part.context.trial.must_wait():
            granted = False
        if granted and rows and not self.extra_call_blocker(part, now_s):
            self.make_extra_call(part, kind, rows)
        self.fail_if_idle(part)

    def make_extra_call(
        self, part: Part, kind: str, rows: list[upstreams.Upstream]
    ) -> None:
        """Calls the best of some searchers, in addition to the first call."""
        typical = self.known.typical_latencies[part.context.route.name]
        now_s = self.calls.loop.time()
        self.counts[kind] += 1
        chosen = self.domains.choose(part, rows)
        _log.info(
            "extra-call-made",
            request=part.context.caller_headers.request_id.decode("latin-1"),
            service=part.service,
            kind=kind,
            searcher=chosen.searcher.id,
            before=sorted(part.tried),
            late_ms=round(typical.late_after_s * 1000, 1),
            budget_left=round(self.budget.available(part.service, now_s), 1),
        )
        self.call(part, chosen)


def hedge_late_parts(
    rows: list[Part],
    placement: CallPlacer,
    typical: replicas.LatencyStats,
    now_s: float,
) -> float:
    """Hedges late parts; returns the loop time when the next may be late."""
    next_s = now_s + typical.late_after_s
    for part in rows:
        if part.state is not PartState.OPEN or len(part.pending_calls) != 1:
            continue
        late_s = part.pending_calls[0].begun_s + typical.late_after_s
        if now_s >= late_s:
            placement.hedge(part)
        else:
            next_s = min(next_s, late_s)
    return max(next_s, now_s + MIN_CHECK_INTERVAL_S)


def create_part(
    context: calls.RequestContext,
    service: str,
    on_finish: collections.abc.Callable[[Part], None],
) -> Part:
    """Returns a part without calls."""
    return Part(context, service, on_finish)
