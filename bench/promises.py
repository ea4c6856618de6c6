"""Checks the promises of the gateway over the history of a soak run.

The history holds what callers and searchers saw. `check` returns, for each
promise, how often it was exercised and which requests violated it.
"""

import collections

from bench import checker
from bench import cut_faults
from bench import place_promises
from bench import searcher_promises
from bench import searcher_replies
from bench import soak_history
from bench import soak_workspaces
from bench import workspace_promises

__all__ = ["PROMISES", "check"]

#: Maximum time until a configuration is in force, in seconds, as the stated
#: target requires.
IN_FORCE_S = 3.0
#: Time after a caller's timeout at which a missing response is a violation, in
#: seconds.
LATE_TOLERANCE_S = 0.5
#: Time after the last fault at which requests must succeed again, in seconds,
#: and the minimum share of them that must.
RECOVERY_S = 5.0
MIN_SERVED_SHARE = 0.9
#: Window of the budget of extra calls, in seconds, and its ratio of extra calls
#: to first calls.
BUDGET_WINDOW_S, BUDGET_FRACTION = 10.0, 0.2


def _by_request(
    history: soak_history.History,
) -> dict[str, list[soak_history.Arrival]]:
    by_request = collections.defaultdict(list)
    for arrival in history.arrivals:
        by_request[arrival.request_id].append(arrival)
    return by_request


def at_most_once(history: soak_history.History) -> checker.CheckResult:
    """A save runs at most once."""
    arrivals = _by_request(history)
    saves = [record for record in history.records if record.kind == "save"]
    violations = [
        f"{record.request_id}: ran {runs} times"
        for record in saves
        if (runs := sum(a.ran for a in arrivals[record.request_id])) > 1
    ]
    return checker.CheckResult(len(saves), violations)


def true_refusals(history: soak_history.History) -> checker.CheckResult:
    """A refused request never runs, neither before nor after the refusal."""
    arrivals = _by_request(history)
    refused = [
        record
        for record in history.records
        if record.status in (408, 421, 429, 503)
    ]
    violations = [
        f"{record.request_id}: {record.status}, but it ran"
        for record in refused
        if any(a.ran for a in arrivals[record.request_id])
    ]
    return checker.CheckResult(len(refused), violations)


def own_answers(history: soak_history.History) -> checker.CheckResult:
    """A success is a searcher's complete response to the same request."""
    successes = [
        record
        for record in history.records
        if record.status == 200 and record.kind != "query"
    ]
    violations = []
    for record in successes:
        service, _, rest = record.headers.get("x-server-stamp", "").partition(
            "."
        )
        expected = searcher_replies.record_of(service, record.request_id)
        if (
            not rest.endswith("." + record.request_id)
            or record.body != expected
        ):
            violations.append(
                f"{record.request_id}: {record.headers} {record.body!r}"
            )
    return checker.CheckResult(len(successes), violations)


def _coverage_fault(
    record: soak_history.Record, shard_lists: set[tuple[str, ...]]
) -> str:
    stamps = record.headers.get("x-part-stamps", "").split(", ")
    parts = [stamp.split(".") for stamp in stamps]
    services = [part[0] for part in parts]
    missing = int(record.headers.get("x-missing-parts", "-1"))
    if any(part[-1] != record.request_id for part in parts):
        return "stamp of another request"
    if len(set(services)) != len(services):
        return "service listed twice"
    if not any(
        len(names) == len(services) + missing and set(services) <= set(names)
        for names in shard_lists
    ):
        return f"{len(services)} parts and {missing} missing match no list"
    if len(services) < 0.6 * (len(services) + missing):
        return "coverage below the minimum share"
    records = [
        searcher_replies.record_of(service, record.request_id)
        for service in services
    ]
    if record.body != b"".join(sorted(records, reverse=True)):
        return "records differ from those of the listed parts"
    return ""


def true_coverage(history: soak_history.History) -> checker.CheckResult:
    """The response to a query lists its parts and counts missing ones."""
    shard_lists = set(history.shard_lists.values())
    successes = [
        record
        for record in history.records
        if record.status == 200 and record.kind == "query"
    ]
    faults = [
        (record, _coverage_fault(record, shard_lists)) for record in successes
    ]
    violations = [
        f"{record.request_id}: {fault}" for record, fault in faults if fault
    ]
    return checker.CheckResult(len(successes), violations)


def bounded_attempts(history: soak_history.History) -> checker.CheckResult:
    """A request reaches at most two searchers of a service.

    Searchers that it had reached before a cut don't count after that.
    """
    counts = collections.Counter(
        (
            arrival.request_id,
            arrival.service,
            sum(cut.started_s < arrival.at_s for cut in history.cuts),
        )
        for arrival in history.arrivals
    )
    violations = [
        f"{key}: {count}" for key, count in counts.items() if count > 2
    ]
    return checker.CheckResult(len(counts), violations)


def bounded_repeats(history: soak_history.History) -> checker.CheckResult:
    """Extra calls to a service stay within the budget in every window."""
    by_service = collections.defaultdict(list)
    for arrival in history.arrivals:
        by_service[arrival.service].append(arrival)
    violations, exercised = [], 0
    for service, arrivals in by_service.items():
        seen: set[str] = set()
        firsts: list[float] = []
        extras: list[float] = []
        for arrival in arrivals:
            is_extra = arrival.request_id in seen
            (extras if is_extra else firsts).append(arrival.at_s)
            seen.add(arrival.request_id)
        exercised += len(extras)
        for end_s in extras:
            start_s = end_s - BUDGET_WINDOW_S
            extra_count = sum(start_s < at_s <= end_s for at_s in extras)
            first_count = sum(
                start_s - BUDGET_WINDOW_S < at_s <= end_s for at_s in firsts
            )
            if (
                extra_count
                > BUDGET_FRACTION * first_count + history.retry_slack
            ):
                violations.append(
                    f"{service}: {extra_count} extra, {first_count} first"
                )
    return checker.CheckResult(exercised, violations)


def _served_versions(
    history: soak_history.History,
) -> dict[tuple[str, int], list[soak_history.Record]]:
    by_process = collections.defaultdict(list)
    for record in history.records:
        if record.kind == "version" and record.status == 200:
            by_process[record.vm, record.start_count].append(record)
    return by_process


def never_back(history: soak_history.History) -> checker.CheckResult:
    """A process never serves an older version than it served before."""
    violations, exercised = [], 0
    for (vm, _), records in _served_versions(history).items():
        for record in records:
            newest = max(
                (o.version for o in records if o.ended_s < record.sent_s),
                default=0,
            )
            exercised += newest > 0
            if record.version < newest:
                violations.append(f"{vm}: {record.version} after {newest}")
    return checker.CheckResult(exercised, violations)


def in_force(history: soak_history.History) -> checker.CheckResult:
    """A configuration is in force in time on VMs without faults."""
    violations, exercised = [], 0
    for record in history.records:
        # A searcher's own failure shows too that the route was followed.
        ran = record.status == 200 or "x-server-stamp" in record.headers
        if record.kind != "version" or not (ran or record.status == 404):
            continue
        due = [
            version
            for version, at_s in history.versions.items()
            if at_s + IN_FORCE_S < record.sent_s
        ]
        # Newest version that is due, and newest one written by the time of
        # the response.
        due_version = max(due, default=0)
        newest = max(
            v for v, at_s in history.versions.items() if at_s < record.ended_s
        )
        if not soak_history.is_undisturbed(
            history, record.vm, record.sent_s, record.ended_s
        ):
            continue
        exercised += 1
        old = ran and record.version < due_version
        unknown = not ran and due_version == newest == record.version
        if old or unknown:
            violations.append(
                f"{record.vm} {record.request_id}: {record.status} for"
                f" {record.version}, {due_version} is due"
            )
    return checker.CheckResult(exercised, violations)


def nothing_cut(history: soak_history.History) -> checker.CheckResult:
    """A process that stops gracefully still responds to earlier requests.

    This also holds during faults of searchers and the store.
    """
    violations, exercised = [], 0
    unplanned = [
        span
        for span in history.fault_spans
        if span.vm not in ("", "-") and not span.planned
    ]
    for span in (span for span in history.fault_spans if span.planned):
        for record in history.records:
            if (
                record.vm != span.vm
                or record.caller_left
                or record.new_connection
            ):
                continue
            if (
                not span.started_s - record.timeout_s
                <= record.sent_s
                <= span.ended_s
            ):
                continue
            if any(
                other.vm == record.vm
                and soak_history.affects(other, record.sent_s, record.ended_s)
                for other in unplanned
            ):
                continue
            exercised += 1
            if (
                not record.status
                and record.ended_s - record.sent_s < record.timeout_s
            ):
                violations.append(
                    f"{record.vm} {record.request_id}: request cut off"
                )
    return checker.CheckResult(exercised, violations)


def _elapsed_s(
    history: soak_history.History, record: soak_history.Record
) -> float:
    """Returns how long a request took, without standstills of the soak."""
    return (record.ended_s - record.sent_s) - sum(
        max(0.0, min(end_s, record.ended_s) - max(begin_s, record.sent_s))
        for begin_s, end_s in history.standstills
    )


def answered_in_time(history: soak_history.History) -> checker.CheckResult:
    """Callers get a final response within their timeout.

    Times in which callers, links and searchers stood still don't count.
    """
    requests = [
        record
        for record in history.records
        if not record.caller_left
        and soak_history.is_undisturbed(
            history, record.vm, record.sent_s, record.ended_s
        )
    ]
    violations = [
        f"{record.vm} {record.request_id}:"
        f" {record.ended_s - record.sent_s:.2f} s"
        for record in requests
        if not record.status
        and _elapsed_s(history, record) > record.timeout_s + LATE_TOLERANCE_S
    ]
    return checker.CheckResult(len(requests), violations)


def recovery(history: soak_history.History) -> checker.CheckResult:
    """Requests succeed again after the last fault."""
    ends_s = [row.ended_s for row in history.fault_spans]
    ends_s += [row.ended_s for row in history.places.colds]
    last_s = max(ends_s, default=0.0)
    requests = [
        record
        for record in history.records
        if record.sent_s > last_s + RECOVERY_S
        and not record.caller_left
        and record.kind not in ("version", "crash")
        and history.workspaces.is_lasting(record.key)
        and record.regions != soak_workspaces.NOWHERE
    ]
    served = sum(record.status == 200 for record in requests)
    violations = []
    if served < MIN_SERVED_SHARE * len(requests):
        violations.append(f"{served} of {len(requests)} served")
    return checker.CheckResult(len(requests), violations)


#: Check of each promise by name.
PROMISES = {
    "at-most-once": at_most_once,
    "true-refusals": true_refusals,
    "own-answers": own_answers,
    "true-coverage": true_coverage,
    "bounded-attempts": bounded_attempts,
    "bounded-repeats": bounded_repeats,
    "never-back": never_back,
    "in-force": in_force,
    "drained-searchers": searcher_promises.drained_searchers,
    "left-searchers": searcher_promises.left_searchers,
    "paused-searchers": searcher_promises.paused_searchers,
    "limited-searchers": searcher_promises.limited_searchers,
    "crashing-requests": searcher_promises.crashing_requests,
    "evacuated": place_promises.evacuated,
    "cold-rate": place_promises.cold_rate,
    "homes": place_promises.homes,
    "tenant-cap": workspace_promises.tenant_cap,
    "known-key": workspace_promises.known_key,
    "key-kept-back": workspace_promises.key_kept_back,
    "fair": workspace_promises.fair,
    "isolated-vms": cut_faults.isolated_vms,
    "nothing-cut": nothing_cut,
    "answered-in-time": answered_in_time,
    "recovery": recovery,
}


def check(history: soak_history.History) -> dict[str, checker.CheckResult]:
    """Checks all promises over a history."""
    return {name: promise(history) for name, promise in PROMISES.items()}
