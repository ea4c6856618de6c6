"""Checks what searchers ask for over the history of a soak run.

See `bench.promises`.
"""

from bench import checker
from bench import soak_history

__all__ = [
    "crashing_requests",
    "drained_searchers",
    "left_searchers",
    "limited_searchers",
    "paused_searchers",
]

#: Maximum time until a draining searcher gets no new requests, in seconds.
DRAIN_S = 3.0
#: Time after a refusal from which its pause holds, in seconds, and the maximum
#: number of requests that reach the searcher in it.
PAUSE_GRACE_S, MAX_IN_PAUSE = 0.5, 2
#: Time in seconds after a searcher's first response that names a limit from
#: which requests of the VMs that got one count.
LIMIT_NOTICE_S = 1.0
#: Length of the windows in which requests to a limited searcher are counted, in
#: seconds, the multiple of its limit that they may hold, and the requests
#: beyond that.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_EXCESS = 4.0, 1.5, 5
#: Number of crashes from which a request counts as a crashing one, and the
#: sends that are allowed from `soak_history.SETTLE_S` later.
MAX_CRASHES, MAX_LATER_SENDS = 3, 3


def drained_searchers(history: soak_history.History) -> checker.CheckResult:
    """A draining searcher gets no new requests after `DRAIN_S`."""
    by_id = {record.request_id: record for record in history.records}
    services = {
        arrival.searcher: arrival.service for arrival in history.arrivals
    }
    violations, exercised = [], 0
    for name, at_s in history.drained.items():
        for arrival in history.arrivals:
            record = by_id.get(arrival.request_id)
            if record is None or arrival.service != services.get(name):
                continue
            late = record.sent_s > at_s + DRAIN_S
            if late and soak_history.is_undisturbed(
                history, record.vm, at_s, arrival.at_s
            ):
                exercised += 1
                if arrival.searcher == name:
                    violations.append(f"{name}: {arrival.request_id}")
    return checker.CheckResult(exercised, violations)


def _later_arrivals(
    history: soak_history.History,
    since: soak_history.Arrival,
    begin_s: float,
    end_s: float,
) -> tuple[int, list[soak_history.Arrival]]:
    """Returns what a VM sent to a searcher in a time after its answer.

    Returns:
        The number of the VM's requests to the searcher's service in that time,
        and those that reached the searcher itself.
    """
    by_id = {record.request_id: record for record in history.records}
    told = by_id.get(since.request_id)
    later = [
        arrival
        for arrival in history.arrivals
        if told is not None
        and begin_s < arrival.at_s < end_s
        and arrival.service == since.service
        and (record := by_id.get(arrival.request_id)) is not None
        and (record.vm, record.start_count) == (told.vm, told.start_count)
        and record.sent_s > begin_s
    ]
    return len(later), [a for a in later if a.searcher == since.searcher]


def _was_told(
    history: soak_history.History, arrival: soak_history.Arrival
) -> bool:
    """Returns whether a searcher's response reached the caller's VM."""
    return any(
        f".{arrival.searcher}." in value
        for record in history.records
        if record.request_id == arrival.request_id and record.status == 200
        for name, value in record.headers.items()
        if name in ("x-server-stamp", "x-part-stamps")
    )


def left_searchers(history: soak_history.History) -> checker.CheckResult:
    """A searcher that said that it leaves gets no requests after `DRAIN_S`.

    Where other VMs call, the records don't tell which VM sent a request.
    """
    violations, exercised = [], 0
    for since in history.arrivals if history.direct else ():
        if since.leaving and _was_told(history, since):
            count, late = _later_arrivals(
                history, since, since.at_s + DRAIN_S, history.ended_s
            )
            exercised += count
            violations += [f"{a.searcher}: {a.request_id}" for a in late]
    return checker.CheckResult(exercised, violations)


def paused_searchers(history: soak_history.History) -> checker.CheckResult:
    """A searcher that asked for a pause gets at most two requests in it."""
    violations, exercised = [], 0
    for since in history.arrivals if history.direct else ():
        if since.pause_s:
            count, late = _later_arrivals(
                history,
                since,
                since.at_s + PAUSE_GRACE_S,
                since.at_s + since.pause_s,
            )
            exercised += count
            if len(late) > MAX_IN_PAUSE:
                violations.append(f"{since.searcher}: {len(late)} requests")
    return checker.CheckResult(exercised, violations)


def limited_searchers(history: soak_history.History) -> checker.CheckResult:
    """A searcher that names a limit gets little more than that in any window.

    Requests of a VM that had a fault are exempt. Where other VMs call, the
    records don't tell which VM sent a request, so that windows in which any VM
    had a fault are exempt.
    """
    violations, exercised = [], 0
    vms = {record.request_id: record.vm for record in history.records}
    by_searcher: dict[str, list[soak_history.Arrival]] = {}
    for arrival in history.arrivals:
        by_searcher.setdefault(arrival.searcher, []).append(arrival)
    for searcher, arrivals in by_searcher.items():
        since_s, previous = 0.0, 0.0
        for number, last in enumerate(arrivals):
            # A limit that was raised or lowered is judged as a new one.
            if last.limit != previous:
                since_s, previous = last.at_s, last.limit
            if not last.limit or last.at_s < since_s + soak_history.SETTLE_S:
                continue
            begin_s = max(last.at_s - LIMIT_WINDOW_S, since_s + LIMIT_NOTICE_S)
            excused = {
                span.vm
                for span in history.fault_spans
                if span.vm not in ("", "-")
                and soak_history.affects(span, begin_s, last.at_s)
            }
            if excused and not history.direct:
                continue
            count = sum(
                row.at_s > begin_s and vms.get(row.request_id) not in excused
                for row in arrivals[: number + 1]
            )
            exercised += 1
            allowed = LIMIT_FACTOR * last.limit * LIMIT_WINDOW_S + LIMIT_EXCESS
            if count > allowed:
                violations.append(
                    f"{searcher}: {count} at {last.limit} a second"
                )
    return checker.CheckResult(exercised, violations)


def crashing_requests(history: soak_history.History) -> checker.CheckResult:
    """A request that crashed three searchers is hardly sent any more."""
    violations, exercised = [], 0
    by_target: dict[str, list[soak_history.Record]] = {}
    for record in history.records:
        if record.kind == "crash":
            by_target.setdefault(record.target, []).append(record)
    for target, records in by_target.items():
        by_id = {record.request_id: record for record in records}
        sends = [row for row in history.arrivals if row.request_id in by_id]
        crashed_s = [a.at_s for a in sends if a.crashes]
        if len(crashed_s) < MAX_CRASHES:
            continue
        due_s = crashed_s[MAX_CRASHES - 1] + soak_history.SETTLE_S
        late = [
            a
            for a in sends
            if a.at_s > due_s
            and soak_history.is_undisturbed(
                history, by_id[a.request_id].vm, a.at_s, a.at_s
            )
        ]
        exercised += sum(record.sent_s > due_s for record in records)
        if len(late) > MAX_LATER_SENDS:
            violations.append(f"{target}: sent {len(late)} times more")
    return checker.CheckResult(exercised, violations)
