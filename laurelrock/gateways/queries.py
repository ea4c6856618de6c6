"""Runs queries and single requests, from their parts to the caller's answer."""

import asyncio
import typing

from laurelrock.core import answer_schedule
from laurelrock.core import replicas
from laurelrock.core import routes
from laurelrock.gateways import calls
from laurelrock.gateways import group_overload
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import refusals
from laurelrock.gateways import remote_groups
from laurelrock.gateways import shard_groups

__all__ = ["run_query", "run_single"]


class GatherState:
    """Progress of a request that waits for its parts.

    Attributes:
        own_parts: The parts that this VM calls.
        unreachable_parts: Those of them whose searchers can't be reached.
        groups: The groups of shards that other VMs call.
        changed: Set when a part or a group changed.
        enough_s: The loop time at which the minimum of parts had completed; 0
            before.
    """

    def __init__(
        self, context: calls.RequestContext, services: tuple[str, ...]
    ) -> None:
        self.own_parts = [
            parts.create_part(context, service, self.record_finished)
            for service in services
        ]
        self.unreachable_parts: list[parts.Part] = []
        self.groups: list[remote_groups.RemoteGroup] = []
        self.open_parts = len(self.own_parts)
        self.answered_parts = 0
        self.changed = asyncio.Event()
        self.enough_s = 0.0

    def record_finished(self, part: parts.Part) -> None:
        """Records the end of a part."""
        self.open_parts -= 1
        self.answered_parts += part.state is parts.PartState.ANSWERED
        self.changed.set()

    @property
    def pending(self) -> int:
        """The number of parts that may still complete."""
        return self.open_parts + sum(group.pending for group in self.groups)

    @property
    def unreachable(self) -> int:
        """The number of pending parts whose searchers can't be reached."""
        own = sum(
            row.state is parts.PartState.OPEN for row in self.unreachable_parts
        )
        return own + sum(group.unreachable for group in self.groups)

    @property
    def answered(self) -> int:
        """The number of completed parts."""
        return self.answered_parts + sum(row.answered for row in self.groups)

    @property
    def attempts(self) -> int:
        """The number of calls that may have reached a searcher.

        It includes the calls of other VMs as far as these reported them.
        """
        own = sum(part.attempts for part in self.own_parts)
        return own + sum(group.calls for group in self.groups)

    def abandon(self, now_s: float) -> None:
        """Abandons all parts that this VM calls."""
        for part in self.own_parts:
            part.abandon(now_s)
        self.open_parts = 0

    def missing(self) -> tuple[str, ...]:
        """Returns the shards without an answer, with the reason if known."""
        own = [
            f"{part.service}: {part.failure_reason()}"
            for part in self.own_parts
            if part.answer is None
        ]
        remote = (name for row in self.groups for name in sorted(row.missing))
        return (*own, *remote)

    def bodies(self) -> tuple[bytes, ...]:
        """Returns the records of the completed parts."""
        answers = [part.answer for part in self.own_parts if part.answer]
        own = [row.reply.body for row in answers if row.reply]
        return (*own, *(body for row in self.groups for body in row.records))

    def stamps(self) -> tuple[bytes, ...]:
        """Returns the server stamps of the completed parts."""
        own = [part.answer.stamp for part in self.own_parts if part.answer]
        return (*own, *(stamp for row in self.groups for stamp in row.stamps))


async def wait_until_ready(
    progress: GatherState,
    placement: parts.CallPlacer,
    schedule: answer_schedule.AnswerSchedule,
    typical: replicas.LatencyStats,
) -> None:
    """Waits until a request can be answered or too few parts are left.

    The answer schedule decides when the parts that completed suffice.
    """
    loop = placement.calls.loop
    next_check_s = loop.time() + typical.late_after_s
    while True:
        now_s = loop.time()
        if not progress.enough_s and progress.answered >= schedule.min_shards:
            progress.enough_s = now_s
        if answer_schedule.ready(
            schedule, progress.answered, progress.pending, now_s
        ):
            return
        may_come = progress.pending - progress.unreachable
        if progress.answered + may_come < schedule.min_shards:
            return
        if now_s >= next_check_s:
            next_check_s = parts.hedge_late_parts(
                progress.own_parts, placement, typical, now_s
            )
        progress.changed.clear()
        wake_s = min(
            next_check_s, answer_schedule.next_decision_s(schedule, now_s)
        )
        timer = loop.call_at(wake_s, progress.changed.set)
        await progress.changed.wait()
        timer.cancel()


async def run_query(
    context: calls.RequestContext,
    placement: parts.CallPlacer,
    group_state: shard_groups.ShardGroups,
    link_bytes_per_s: float,
) -> outcomes.Outcome:
    """Runs a query over many shards.

    Args:
        context: The query.
        placement: Makes the calls of this VM.
        group_state: The other VMs that call groups of shards.
        link_bytes_per_s: The bandwidth in bytes per second with which answers
            leave this VM.
    """
    refusal = placement.begin_request(context)
    if refusal is not None:
        return refusal._replace(shards=len(context.route.shards))
    route = context.route
    count = len(route.shards)
    refusal = refusals.refuse_blocked(route, placement)
    if refusal is not None:
        return refusal
    reachable = group_state.reachability.reachable(route)
    schedule = create_schedule(context, link_bytes_per_s)
    own, remote = group_state.split_shards(route)
    if reachable < route.min_shards:
        needed = route.min_shards - (count - len(own))
        if not group_state.selection.passes_on(own, needed, route.regions):
            return refusals.refuse_unreachable(
                route, reachable, placement, group_state
            )
        own, remote = (), [*remote, own]
    owned = group_state.assignment.uses_owners(route)
    if not remote and not owned:
        outcome = refusals.check_overload(context, placement)
        if outcome is not None:
            return outcome
    declined: list[tuple[str, ...]] = []
    if owned and own:
        due_s = schedule.partial_at_s
        own, declined = group_state.overload.split_own(context, own, due_s)
    progress = GatherState(context, own)
    try:
        ask_owners(progress, context, group_state, schedule, remote, declined)
        if not await wait_until_accepted(progress, context, group_state):
            return refuse_declined(progress, route, group_state)
        start_parts(progress, placement)
        await gather_parts(progress, context, placement, group_state, schedule)
    finally:
        progress.abandon(placement.calls.loop.time())
        for group in progress.groups:
            group_state.drop(group)
        placement.end_request(context)
    outcome = finish_query(progress, context, placement)
    if outcome.status == 200:
        group_state.overload.record_completion(route.name)
    return outcome


def finish_query(
    progress: GatherState,
    context: calls.RequestContext,
    placement: parts.CallPlacer,
) -> outcomes.Outcome:
    """Returns the outcome of a query whose parts were gathered."""
    route, stamps = context.route, progress.stamps()
    if len(stamps) < route.min_shards:
        late = placement.calls.loop.time() >= context.end_s
        return fail_query(progress, route, late)
    return outcomes.Outcome(
        "answered" if len(stamps) == len(route.shards) else "partial",
        200,
        bodies=progress.bodies(),
        stamps=stamps,
        shards=len(route.shards),
        attempts=progress.attempts,
        missing=progress.missing(),
        enough_s=progress.enough_s,
    )


def ask_owners(
    progress: GatherState,
    context: calls.RequestContext,
    group_state: shard_groups.ShardGroups,
    schedule: answer_schedule.AnswerSchedule,
    remote: list[tuple[str, ...]],
    declined: list[tuple[str, ...]],
) -> None:
    """Asks the owners of a query's groups.

    Args:
        progress: The progress of the query, which has no groups yet.
        context: The query.
        group_state: The other VMs.
        schedule: The schedule of the query.
        remote: The groups that other VMs own.
        declined: The groups that this VM owns, but can't complete in time.
    """
    overload, me = group_state.overload, group_state.me.name
    held = overload.declines_lately()
    for services in (*remote, *declined):
        progress.groups.append(
            group_state.ask(
                *(context, services, schedule.partial_at_s),
                progress.changed.set,
                group_overload.needed_of(context.route, services),
                held,
                (me,) if services in declined else (),
            )
        )


async def wait_until_accepted(
    progress: GatherState,
    context: calls.RequestContext,
    group_state: shard_groups.ShardGroups,
) -> bool:
    """Waits until owners accepted all groups, if these are held.

    Returns:
        Whether the query is started; False if no owner accepts a group.
    """
    loop = group_state.loop
    held = [group for group in progress.groups if group.held]
    if not held:
        return True
    timer = loop.call_at(context.end_s, progress.changed.set)
    while loop.time() < context.end_s:
        if any(group.declined for group in held):
            timer.cancel()
            return False
        if all(group.accepted or not group.pending for group in held):
            break
        progress.changed.clear()
        await progress.changed.wait()
    timer.cancel()
    for group in held:
        group_state.release(group)
    return True


def refuse_declined(
    progress: GatherState,
    route: routes.Route,
    group_state: shard_groups.ShardGroups,
) -> outcomes.Outcome:
    """Returns the refusal of a query that owners can't complete in time."""
    rows = [group for group in progress.groups if group.declined]
    wait_s = max(group.retry_in_s for group in rows)
    return outcomes.Outcome(
        "refused",
        503,
        shards=len(route.shards),
        reason=(
            f"owners of {rows[0].services[0]} are overloaded,"
            f" expected latency is {wait_s * 1000:.0f} ms"
        ),
        retry_after_s=group_state.overload.retry_after_s(route.name, wait_s),
        overloaded=True,
    )


async def gather_parts(
    progress: GatherState,
    context: calls.RequestContext,
    placement: parts.CallPlacer,
    group_state: shard_groups.ShardGroups,
    schedule: answer_schedule.AnswerSchedule,
) -> None:
    """Waits for the parts of a query.

    If this VM loses the searchers that it calls meanwhile, other VMs are asked
    for what is missing, within the route's maximum of attempts.
    """
    loop = placement.calls.loop
    typical = placement.known.typical_latencies[context.route.name]
    await wait_until_ready(progress, placement, schedule, typical)
    route = context.route
    again = {
        part.service: part.attempts
        for part in progress.own_parts
        if part.answer is None and part.attempts < route.attempts
    }
    needed = route.min_shards - progress.answered
    if (
        loop.time() >= context.end_s
        or len(again) < needed
        or not group_state.selection.passes_on(
            tuple(again), needed, route.regions
        )
    ):
        return
    progress.abandon(loop.time())
    left = route._replace(attempts=route.attempts - max(again.values()))
    progress.groups += group_state.ask_groups(
        context._replace(route=left),
        *(tuple(again), schedule.partial_at_s, progress.changed.set),
    )
    await wait_until_ready(progress, placement, schedule, typical)


def start_parts(progress: GatherState, placement: parts.CallPlacer) -> None:
    """Makes the first calls of the parts that this VM calls."""
    progress.unreachable_parts = [
        part
        for part in progress.own_parts
        if not placement.reachable(part.service, part.context.route.regions)
    ]
    for part in progress.own_parts:
        if not placement.start(part):
            part.reason = placement.no_searcher_reason(part)
            part.finish(parts.PartState.FAILED)


def create_schedule(
    context: calls.RequestContext, link_bytes_per_s: float
) -> answer_schedule.AnswerSchedule:
    """Returns the schedule of when a query is answered."""
    route, request = context.route, context.request
    count = len(route.shards)
    sending_s = answer_schedule.transfer_time_s(
        count, route.max_records, link_bytes_per_s
    )
    return answer_schedule.create_schedule(
        count,
        route.min_shards,
        request.caller_start_s,
        route.objective_s,
        request.response_delay_s + sending_s,
        context.end_s,
    )


def fail_query(
    progress: GatherState, route: routes.Route, late: bool
) -> outcomes.Outcome:
    """Returns the outcome of a query that lacks too many shards."""
    count = len(route.shards)
    reasons = {
        part.failure_reason()
        for part in progress.own_parts
        if part.answer is None
    }
    reason = (
        f"{progress.answered} of {count} shards, {route.min_shards} needed:"
        f" {'; '.join(sorted(reasons)[:3])}"
    )
    ran = any(row.may_have_run for row in progress.groups) or any(
        part.may_have_run or part.state is parts.PartState.ANSWERED
        for part in progress.own_parts
    )
    status = 504 if late else 502 if ran else 503
    kind: typing.Literal["late", "failed", "refused"] = "failed"
    if late:
        kind = "late"
    elif not ran:
        kind = "refused"
    return outcomes.Outcome(
        kind,
        status,
        shards=count,
        attempts=progress.attempts,
        missing=progress.missing(),
        reason=reason,
    )


async def run_single(
    context: calls.RequestContext, service: str, placement: parts.CallPlacer
) -> outcomes.Outcome:
    """Runs a request that one searcher answers."""
    refusal = placement.begin_request(context)
    if refusal is not None:
        return refusal
    progress = GatherState(context, (service,))
    part = progress.own_parts[0]
    schedule = answer_schedule.AnswerSchedule(
        1, 1, context.end_s, context.end_s, context.end_s
    )
    typical = placement.known.typical_latencies[context.route.name]
    try:
        if not placement.reachable(
            service, context.route.regions
        ) or not placement.start(part):
            return refusals.refuse_single(service, context.route, placement)
        await wait_until_ready(progress, placement, schedule, typical)
        sent = any(
            pending_call.call.sent for pending_call in part.pending_calls
        )
    finally:
        progress.abandon(placement.calls.loop.time())
        placement.end_request(context)
    return finish_single(part, sent)


def finish_single(part: parts.Part, sent: bool) -> outcomes.Outcome:
    """Returns the outcome of a request that one searcher answers.

    Args:
        part: The request's only part.
        sent: Whether a call that hasn't ended was sent.
    """
    attempts, reason = part.attempts, part.failure_reason()
    end = part.answer or (None if sent else part.erred)
    if end is not None and end.reply is not None:
        status = end.reply.status
        if status in outcomes.REFUSAL_STATUSES:
            # Forwarded, the status would promise the caller more than the
            # searcher did, which didn't say that it has run nothing.
            return outcomes.Outcome(
                *("failed", 502),
                attempts=attempts,
                reason=f"status {status}, and the request may have run",
            )
        kind: outcomes.Kind = "failed" if part.answer is None else "answered"
        reason = part.reason if part.answer is None else ""
        return outcomes.Outcome(
            *(kind, status, end.reply), attempts=attempts, reason=reason
        )
    if not part.may_have_run and not sent:
        return outcomes.Outcome(
            "refused", 503, attempts=attempts, reason=reason
        )
    if sent:
        return outcomes.Outcome("late", 504, attempts=attempts, reason=reason)
    return outcomes.Outcome("failed", 502, attempts=attempts, reason=reason)
