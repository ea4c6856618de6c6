"""Queries and single requests: from parts to a caller's answer."""

import asyncio
import typing

from laurelrock.adapters import http_client
from laurelrock.core import gathering
from laurelrock.core import replicas
from laurelrock.gateways import calls
from laurelrock.gateways import parts

__all__ = ["Outcome", "gather", "single"]

#: Least interval between two looks for late calls, in seconds.
LEAST_LOOK_S = 0.003


class Outcome(typing.NamedTuple):
    """How a request ended.

    Attributes:
        kind: For logs and metrics.
        status: Of the answer.
        reply: Of a searcher, passed on unchanged.
        bodies: Of the parts of a query's answer.
        proofs: Of the same parts.
        shards: Asked by a query.
        attempts: Calls made.
        reason: Of a failure, for logs.
    """

    kind: typing.Literal["answered", "partial", "refused", "failed", "late"]
    status: int
    reply: http_client.Reply | None = None
    bodies: tuple[bytes, ...] = ()
    proofs: tuple[bytes, ...] = ()
    shards: int = 0
    attempts: int = 0
    reason: str = ""


class Gathering:
    """A request that waits for its parts.

    Attributes:
        rows: Parts.
        changed: Set when a part changed.
    """

    def __init__(self, work: calls.Work, services: tuple[str, ...]) -> None:
        self.rows = [
            parts.create_part(work, service, self.note) for service in services
        ]
        self.left = len(self.rows)
        self.answered = 0
        self.changed = asyncio.Event()

    def note(self, part: parts.Part) -> None:
        """Takes the end of a part."""
        self.left -= 1
        self.answered += part.state is parts.State.ANSWERED
        self.changed.set()

    def abandon(self, now_s: float) -> None:
        """Ends all parts."""
        for part in self.rows:
            part.abandon(now_s)

    @property
    def attempts(self) -> int:
        """Searchers that were asked."""
        return sum(part.attempts for part in self.rows)


def look(
    gathered: Gathering,
    placement: parts.Placement,
    typical: replicas.Typical,
    now_s: float,
) -> float:
    """Hedges late parts; returns when the next one may be late."""
    next_s = now_s + typical.late_s
    for part in gathered.rows:
        if part.state is not parts.State.OPEN or len(part.flights) != 1:
            continue
        late_s = part.flights[0].begun_s + typical.late_s
        if now_s >= late_s:
            placement.hedge(part)
        else:
            next_s = min(next_s, late_s)
    return max(next_s, now_s + LEAST_LOOK_S)


async def wait(
    gathered: Gathering,
    placement: parts.Placement,
    plan: gathering.Plan,
    typical: replicas.Typical,
) -> None:
    """Waits until a request can be answered by its plan."""
    loop = placement.calls.loop
    look_s = loop.time() + typical.late_s
    while True:
        now_s = loop.time()
        if gathering.ready(plan, gathered.answered, gathered.left, now_s):
            return
        if now_s >= look_s:
            look_s = look(gathered, placement, typical, now_s)
        gathered.changed.clear()
        wake_s = min(look_s, gathering.wake_s(plan, now_s))
        timer = loop.call_at(wake_s, gathered.changed.set)
        await gathered.changed.wait()
        timer.cancel()


async def gather(
    work: calls.Work, placement: parts.Placement, asked_s: float
) -> Outcome:
    """Runs a query over many shards.

    Args:
        work: The query.
        placement: Places its calls.
        asked_s: Loop time at which the caller first asked.
    """
    route = work.route
    gathered = Gathering(work, route.shards)
    count = len(route.shards)
    reachable = sum(1 for part in gathered.rows if placement.candidates(part))
    if reachable < route.least_shards:
        reason = f"searchers for {reachable} of {count} shards"
        return Outcome("refused", 503, shards=count, reason=reason)
    plan = gathering.create_plan(
        count, route.least_shards, asked_s, route.objective_s, work.end_s
    )
    typical = placement.known.typical[route.name]
    try:
        for part in gathered.rows:
            if not placement.start(part):
                part.reason = "no searcher"
                part.finish(parts.State.FAILED)
        await wait(gathered, placement, plan, typical)
    finally:
        gathered.abandon(placement.calls.loop.time())
    answers = [part.answer for part in gathered.rows if part.answer]
    if len(answers) < route.least_shards:
        late = placement.calls.loop.time() >= work.end_s
        return query_failure(gathered, route.least_shards, late)
    return Outcome(
        "answered" if len(answers) == count else "partial",
        200,
        bodies=tuple(row.reply.body for row in answers if row.reply),
        proofs=tuple(row.proof for row in answers),
        shards=count,
        attempts=gathered.attempts,
    )


def query_failure(gathered: Gathering, least: int, late: bool) -> Outcome:
    """Returns the outcome of a query that lacks too many shards."""
    count = len(gathered.rows)
    reasons = {part.reason or "no answer" for part in gathered.rows}
    reason = (
        f"{gathered.answered} of {count} shards, {least} needed:"
        f" {'; '.join(sorted(reasons)[:3])}"
    )
    ran = gathered.left > 0 or any(
        part.may_have_run or part.state is parts.State.ANSWERED
        for part in gathered.rows
    )
    status = 504 if late else 502 if ran else 503
    kind: typing.Literal["late", "failed", "refused"] = "failed"
    if late:
        kind = "late"
    elif not ran:
        kind = "refused"
    return Outcome(
        kind, status, shards=count, attempts=gathered.attempts, reason=reason
    )


async def single(
    work: calls.Work, service: str, placement: parts.Placement
) -> Outcome:
    """Runs a request that one searcher answers."""
    gathered = Gathering(work, (service,))
    part = gathered.rows[0]
    plan = gathering.Plan(1, 1, work.end_s, work.end_s, work.end_s)
    typical = placement.known.typical[work.route.name]
    try:
        if not placement.reachable(service) or not placement.start(part):
            return Outcome("refused", 503, reason="no searcher")
        await wait(gathered, placement, plan, typical)
        sent = any(flight.call.sent for flight in part.flights)
    finally:
        gathered.abandon(placement.calls.loop.time())
    if part.answer is not None:
        reply = part.answer.reply
        status = reply.status if reply else 502
        return Outcome("answered", status, reply, attempts=part.attempts)
    ran = part.may_have_run or sent
    if part.erred is not None and not sent:
        reply = part.erred.reply
        status = reply.status if reply else 502
        return Outcome(
            "failed", status, reply, attempts=part.attempts, reason=part.reason
        )
    reason = part.reason or "no answer"
    attempts = part.attempts
    if not ran:
        return Outcome("refused", 503, attempts=attempts, reason=reason)
    if sent:
        return Outcome("late", 504, attempts=attempts, reason=reason)
    return Outcome("failed", 502, attempts=attempts, reason=reason)
