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

__all__ = ["Part", "Placement", "State", "create_part", "look"]

#: Least interval between two looks for late calls, in seconds.
LEAST_LOOK_S = 0.003
#: Least time left for which another searcher is asked, as a factor of the
#: typical latency.
LEAST_LEFT_FACTOR = 0.8

_log = logs.get_logger(__name__)


class State(enum.Enum):
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
        changed: Called when the state changes.
    """

    def __init__(
        self,
        work: calls.Work,
        service: str,
        changed: collections.abc.Callable[["Part"], None],
    ) -> None:
        self.work = work
        self.service = service
        self.state = State.OPEN
        self.answer: calls.Ended | None = None
        self.erred: calls.Ended | None = None
        self.flights: list[calls.Flight] = []
        self.tried: set[str] = set()
        self.attempts = 0
        self.may_have_run = False
        self.reason = ""
        self.changed = changed

    def finish(self, state: State) -> None:
        """Sets the final state and tells of it."""
        if self.state is State.OPEN:
            self.state = state
            self.changed(self)

    def why(self) -> str:
        """Returns why there is no answer, for logs."""
        return self.reason or f"no answer from {', '.join(sorted(self.tried))}"

    def abandon(self, now_s: float) -> None:
        """Ends the part; nobody waits for it any more."""
        if self.state is State.OPEN:
            self.state = State.FAILED
        for flight in self.flights:
            flight.abandon(now_s)
        self.flights.clear()


class Placement:
    """What places the calls of parts.

    Attributes:
        calls: In flight.
        known: Searchers.
        budget: Of repeats.
        counts: Decisions by kind, for the metrics.
    """

    def __init__(
        self,
        flying: calls.Calls,
        known: upstreams.Upstreams,
        budget: repeats.Budget,
    ) -> None:
        self.calls = flying
        self.known = known
        self.budget = budget
        self.counts = {"first": 0, "retry": 0, "hedge": 0, "no-budget": 0}

    def candidates(self, part: Part) -> list[upstreams.Upstream]:
        """Returns the searchers that a part may still ask."""
        rows = {
            row.replica: row
            for row in self.known.of(part.service)
            if row.searcher.id not in part.tried
        }
        working = replicas.usable(rows)
        return [rows[replica] for replica in working]

    def reachable(self, service: str) -> bool:
        """Tells whether any searcher of a service may be reached."""
        return replicas.any_reachable(
            row.replica for row in self.known.of(service)
        )

    def pick(
        self, part: Part, rows: list[upstreams.Upstream]
    ) -> upstreams.Upstream:
        """Returns the searcher that is expected to answer first."""
        typical = self.known.typical[part.work.route.name]
        by_replica = {row.replica: row for row in rows}
        chosen = replicas.choose(
            list(by_replica),
            typical,
            self.known.near,
            lambda replica: bool(by_replica[replica].client.idle),
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
        self.call(part, self.pick(part, rows))
        return True

    def call(self, part: Part, upstream: upstreams.Upstream) -> None:
        """Asks one searcher."""
        part.attempts += 1
        part.tried.add(upstream.searcher.id)

        def ended(flight: calls.Flight, end: calls.Ended) -> None:
            self.ended(part, flight, end)

        part.flights.append(self.calls.begin(part.work, upstream, ended))

    def ended(self, part: Part, flight: calls.Flight, end: calls.Ended) -> None:
        """Takes the end of one of a part's calls."""
        part.flights.remove(flight)
        if part.state is not State.OPEN:
            return
        if end.fate is calls.Fate.ANSWERED:
            part.answer = end
            now_s = self.calls.loop.time()
            for other in part.flights:
                other.abandon(now_s)
            part.flights.clear()
            part.finish(State.ANSWERED)
            return
        part.reason = end.reason
        if end.fate is calls.Fate.ERRED:
            part.erred = end
        if end.fate in (calls.Fate.ERRED, calls.Fate.BROKEN):
            part.may_have_run = True
        if end.fate is calls.Fate.UNSENT:
            part.attempts -= 1
            self.budget.give_back(part.service, self.calls.loop.time())
        self.retry(part, flight, end)

    def retry(self, part: Part, flight: calls.Flight, end: calls.Ended) -> None:
        """Asks another searcher after a failure, or ends the part."""
        route = part.work.route
        allowed = route.repeatable or not part.may_have_run
        again = allowed and self.again(part, "retry")
        _log.info(
            "call-failed",
            request=part.work.ticket.request_id.decode("latin-1"),
            service=part.service,
            searcher=flight.upstream.searcher.id,
            fate=end.fate.value,
            reason=end.reason,
            attempts=part.attempts,
            again=again,
        )
        if not again and not part.flights:
            part.finish(State.FAILED)

    def hedge(self, part: Part) -> bool:
        """Asks another searcher beside one that is late."""
        return part.work.route.repeatable and self.again(part, "hedge")

    def again(self, part: Part, kind: str) -> bool:
        """Asks one more searcher, if that is allowed and worth it."""
        now_s = self.calls.loop.time()
        typical = self.known.typical[part.work.route.name]
        left_s = part.work.end_s - now_s
        if part.attempts >= part.work.route.attempts:
            return False
        if left_s < typical.mean_s * LEAST_LEFT_FACTOR:
            return False
        rows = self.candidates(part)
        if kind == "hedge":
            rows = [
                row
                for row in rows
                if not row.replica.stalled(typical, now_s)
                and not row.replica.ejections
            ]
        if not rows:
            return False
        if not self.budget.take(part.service, now_s):
            self.counts["no-budget"] += 1
            return False
        self.counts[kind] += 1
        chosen = self.pick(part, rows)
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
        return True


def look(
    rows: list[Part],
    placement: Placement,
    typical: replicas.Typical,
    now_s: float,
) -> float:
    """Hedges late parts; returns when the next one may be late."""
    next_s = now_s + typical.late_s
    for part in rows:
        if part.state is not State.OPEN or len(part.flights) != 1:
            continue
        late_s = part.flights[0].begun_s + typical.late_s
        if now_s >= late_s:
            placement.hedge(part)
        else:
            next_s = min(next_s, late_s)
    return max(next_s, now_s + LEAST_LOOK_S)


def create_part(
    work: calls.Work,
    service: str,
    changed: collections.abc.Callable[[Part], None],
) -> Part:
    """Returns a part without a call."""
    return Part(work, service, changed)
