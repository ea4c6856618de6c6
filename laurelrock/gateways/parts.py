"""Parts: one service's share of a request, with its calls.

A single request is one part; a query has one for each shard. A part begins
with one call. After a failure, or when the call is late, another searcher is
asked, within the route's attempts and the budget of repeats.
"""

import collections.abc
import enum

from laurelrock.adapters import logs
from laurelrock.core import repeats
from laurelrock.core import replicas
from laurelrock.gateways import calls
from laurelrock.gateways import upstreams

__all__ = ["Part", "PartState", "Placement", "create_part", "hedge_late_parts"]

#: Least interval between two looks for late calls, in seconds.
MIN_CHECK_INTERVAL_S = 0.003
#: Least time left for which another searcher is asked, as a factor of the
#: typical latency.
MIN_TIME_LEFT_FACTOR = 0.8

_log = logs.get_logger(__name__)


class PartState(enum.Enum):
    """Of a part."""

    OPEN = "open"
    ANSWERED = "answered"
    FAILED = "failed"


class Part:
    """State of one part.

    Attributes:
        work: The request.
        service: That answers it.
        state: Whether it is open.
        answer: Of the searcher, once answered.
        erred: Last answer that told of a failure.
        flights: Calls without an end.
        tried: Searchers asked, by id.
        attempts: Calls that may have reached a searcher.
        may_have_run: Whether a call that failed may have been run.
        reason: Of the last failure, for logs.
        borrowed: Whether another VM was asked for an extra call.
        borrowing: Whether its reply is still to come.
        changed: Called when the state changes.
    """

    def __init__(
        self,
        work: calls.Work,
        service: str,
        on_finish: collections.abc.Callable[["Part"], None],
    ) -> None:
        self.work = work
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
        self.on_finish = on_finish

    def finish(self, state: PartState) -> None:
        """Sets the final state and tells of it."""
        if self.state is PartState.OPEN:
            self.state = state
            self.on_finish(self)

    def failure_reason(self) -> str:
        """Returns why there is no answer, for logs."""
        return self.reason or f"no answer from {', '.join(sorted(self.tried))}"

    def abandon(self, now_s: float) -> None:
        """Ends the part; nobody waits for it any more."""
        if self.state is PartState.OPEN:
            self.state = PartState.FAILED
        for flight in self.pending_calls:
            flight.abandon(now_s)
        self.pending_calls.clear()


Borrow = collections.abc.Callable[
    [str, collections.abc.Callable[[bool], None]], bool
]


class Placement:
    """What places the calls of parts.

    Attributes:
        calls: In flight.
        known: Searchers.
        budget: Of repeats.
        borrow: Asks another VM for an extra call of a service; returns
            whether there is one to ask.
        counts: Decisions by kind, for the metrics.
    """

    def __init__(
        self,
        flying: calls.Calls,
        known: upstreams.Upstreams,
        budget: repeats.Budget,
        borrow: Borrow,
    ) -> None:
        self.calls = flying
        self.known = known
        self.budget = budget
        self.borrow = borrow
        self.counts = {"first": 0, "retry": 0, "hedge": 0, "no-budget": 0}

    def candidates(self, part: Part) -> list[upstreams.Upstream]:
        """Returns the searchers that a part may still ask."""
        rows = {
            row.replica: row
            for row in self.known.searchers_of(part.service)
            if row.searcher.id not in part.tried
        }
        working = replicas.usable(rows)
        return [rows[replica] for replica in working]

    def reachable(self, service: str) -> bool:
        """Tells whether any searcher of a service may be reached."""
        return replicas.any_reachable(
            row.replica for row in self.known.searchers_of(service)
        )

    def choose_fastest(
        self, part: Part, rows: list[upstreams.Upstream]
    ) -> upstreams.Upstream:
        """Returns the searcher that is expected to answer first."""
        typical = self.known.typical_latencies[part.work.route.name]
        by_replica = {row.replica: row for row in rows}
        chosen = replicas.choose(
            list(by_replica),
            typical,
            self.known.is_local,
            lambda replica: bool(by_replica[replica].client.idle),
            part.work.route.objective_s,
            self.calls.loop.time(),
        )
        return by_replica[chosen]

    def start(self, part: Part) -> bool:
        """Makes the first call of a part; False if there is no searcher."""
        rows = self.candidates(part)
        if not rows:
            return False
        self.budget.request(part.service, self.calls.loop.time())
        self.counts["first"] += 1
        self.call(part, self.choose_fastest(part, rows))
        return True

    def call(self, part: Part, upstream: upstreams.Upstream) -> None:
        """Asks one searcher."""
        part.attempts += 1
        part.tried.add(upstream.searcher.id)

        def handle_end(
            flight: calls.PendingCall, end: calls.CallResult
        ) -> None:
            self.ended(part, flight, end)

        part.pending_calls.append(
            self.calls.start(part.work, upstream, handle_end)
        )

    def ended(
        self, part: Part, flight: calls.PendingCall, end: calls.CallResult
    ) -> None:
        """Takes the end of one of a part's calls."""
        part.pending_calls.remove(flight)
        if part.state is not PartState.OPEN:
            return
        if end.status is calls.CallStatus.ANSWERED:
            part.answer = end
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
            self.budget.give_back(part.service, self.calls.loop.time())
        self.retry(part, flight, end)

    def retry(
        self, part: Part, flight: calls.PendingCall, end: calls.CallResult
    ) -> None:
        """Asks another searcher after a failure, or ends the part."""
        route = part.work.route
        repeat_blocker = "not repeatable"
        if route.repeatable or not part.may_have_run:
            repeat_blocker = self.try_another(part, "retry")
        _log.info(
            "call-failed",
            request=part.work.ticket.request_id.decode("latin-1"),
            service=part.service,
            searcher=flight.upstream.searcher.id,
            fate=end.status.value,
            reason=end.reason,
            attempts=part.attempts,
            repeat_blocker=repeat_blocker,
        )
        self.fail_if_idle(part)

    def fail_if_idle(self, part: Part) -> None:
        """Ends a part for which nothing is under way."""
        if not part.pending_calls and not part.awaiting_lender:
            part.finish(PartState.FAILED)

    def hedge(self, part: Part) -> None:
        """Asks another searcher beside one that is late."""
        if part.work.route.repeatable and not part.awaiting_lender:
            self.try_another(part, "hedge")

    def try_another(self, part: Part, kind: str) -> str:
        """Asks one more searcher, if that is allowed and worth it.

        Returns:
            What hinders it, for logs; empty where one was asked.
        """
        now_s = self.calls.loop.time()
        hindrance = self.hindrance(part, now_s)
        if hindrance:
            return hindrance
        rows = self.repeat_candidates(part, kind)
        if not rows:
            return "no searcher"
        if self.budget.take(part.service, now_s):
            self.repeat(part, kind, rows)
            return ""
        self.counts["no-budget"] += 1
        if part.asked_lender:
            return "no budget"

        def done(granted: bool) -> None:
            self.handle_lender_reply(part, kind, granted)

        part.asked_lender = True
        part.awaiting_lender = self.borrow(part.service, done)
        return "asks for budget" if part.awaiting_lender else "no budget"

    def hindrance(self, part: Part, now_s: float) -> str:
        """Returns why no more searcher may be asked; empty where one may."""
        if part.attempts >= part.work.route.attempts:
            return "attempts"
        typical = self.known.typical_latencies[part.work.route.name]
        if part.work.end_s - now_s < typical.mean_s * MIN_TIME_LEFT_FACTOR:
            return "no time"
        return ""

    def repeat_candidates(
        self, part: Part, kind: str
    ) -> list[upstreams.Upstream]:
        """Returns the searchers that a part may ask besides."""
        rows = self.candidates(part)
        if kind != "hedge":
            return rows
        typical = self.known.typical_latencies[part.work.route.name]
        now_s = self.calls.loop.time()
        return [
            row
            for row in rows
            if not row.replica.stalled(typical, now_s)
            and not row.replica.ejections
        ]

    def handle_lender_reply(self, part: Part, kind: str, granted: bool) -> None:
        """Takes the reply of the VM that was asked for an extra call."""
        part.awaiting_lender = False
        if part.state is not PartState.OPEN:
            return
        rows = self.repeat_candidates(part, kind)
        now_s = self.calls.loop.time()
        if granted and rows and not self.hindrance(part, now_s):
            self.repeat(part, kind, rows)
        self.fail_if_idle(part)

    def repeat(
        self, part: Part, kind: str, rows: list[upstreams.Upstream]
    ) -> None:
        """Asks the best of some searchers, beyond the first call."""
        typical = self.known.typical_latencies[part.work.route.name]
        now_s = self.calls.loop.time()
        self.counts[kind] += 1
        chosen = self.choose_fastest(part, rows)
        _log.info(
            "call-repeated",
            request=part.work.ticket.request_id.decode("latin-1"),
            service=part.service,
            kind=kind,
            searcher=chosen.searcher.id,
            before=sorted(part.tried),
            late_ms=round(typical.late_s * 1000, 1),
            budget_left=round(self.budget.left(part.service, now_s), 1),
        )
        self.call(part, chosen)


def hedge_late_parts(
    rows: list[Part],
    placement: Placement,
    typical: replicas.Typical,
    now_s: float,
) -> float:
    """Hedges late parts; returns when the next one may be late."""
    next_s = now_s + typical.late_s
    for part in rows:
        if part.state is not PartState.OPEN or len(part.pending_calls) != 1:
            continue
        late_s = part.pending_calls[0].begun_s + typical.late_s
        if now_s >= late_s:
            placement.hedge(part)
        else:
            next_s = min(next_s, late_s)
    return max(next_s, now_s + MIN_CHECK_INTERVAL_S)


def create_part(
    work: calls.Work,
    service: str,
    changed: collections.abc.Callable[[Part], None],
) -> Part:
    """Returns a part without a call."""
    return Part(work, service, changed)
