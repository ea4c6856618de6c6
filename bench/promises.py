"""Checks the promises of the gateway over the history of a soak run.

The history holds what callers and searchers saw. `check` returns, for each
promise, how often it was exercised and which requests violated it.
"""

import collections
import typing

from bench import checker
from bench import fleet

__all__ = ["History", "PROMISES", "Record", "FaultSpan", "check"]

#: Time without faults after which promises with a time limit hold for a VM, in
#: seconds; the smallest such time of the deployments.
SETTLE_S = 4.0
#: Maximum time until a configuration is in force, in seconds; required by
#: letter 1.
IN_FORCE_S = 3.0
#: Maximum time until a draining searcher gets no new requests, in seconds.
DRAIN_S = 3.0
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


class Record(typing.NamedTuple):
    """A request of a caller with its response.

    Attributes:
        kind: "query", "read", "save" or "version".
        request_id: Id of the request.
        vm: Name of the VM that the request was sent to.
        start_count: Number of processes that the VM had started when the
            request was sent; it identifies the process.
        sent_s: Loop time at which the request was sent, in seconds.
        ended_s: Loop time of the response or the failure, in seconds.
        timeout_s: Time limit in the request, in seconds.
        status: HTTP status of the response; 0 if there was none.
        headers: Headers of the response.
        body: Body of the response.
        version: Configuration version that a "version" request asked for.
        caller_left: Whether the caller disconnected before the response.
        new_connection: Whether the request opened a new connection.
    """

    kind: str
    request_id: str
    vm: str
    start_count: int
    sent_s: float
    ended_s: float
    timeout_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    version: int = 0
    caller_left: bool = False
    new_connection: bool = False


class FaultSpan(typing.NamedTuple):
    """A fault and the time that it lasted.

    Attributes:
        name: Name of the fault.
        vm: Name of the affected VM; "" for all VMs, "-" for none.
        started_s: Loop time at which the fault started, in seconds.
        ended_s: Loop time at which the fault ended, in seconds.
        planned: Whether it is a graceful stop, which must not break off
            requests.
    """

    name: str
    vm: str
    started_s: float
    ended_s: float
    planned: bool = False


class History(typing.NamedTuple):
    """History of one soak run.

    Attributes:
        records: Requests of the callers.
        arrivals: Requests that arrived at the searchers, in order of time.
        fault_spans: Faults that were injected.
        versions: Loop time at which each configuration version was written.
        shard_lists: Services of the query's shards by configuration version.
        drained: Loop time at which each searcher was set to drain, by id.
        retry_slack: Extra calls to a service allowed in a window in addition
            to the share of first calls.
        ended_s: Loop time at which the load ended, in seconds.
    """

    records: list[Record]
    arrivals: list[fleet.Arrival]
    fault_spans: list[FaultSpan]
    versions: dict[int, float]
    shard_lists: dict[int, tuple[str, ...]]
    drained: dict[str, float]
    retry_slack: int
    ended_s: float


def _affects(span: FaultSpan, begin_s: float, end_s: float) -> bool:
    """Returns whether a fault overlaps a period or ended shortly before it."""
    return span.started_s <= end_s and span.ended_s + SETTLE_S >= begin_s


def is_undisturbed(
    history: History, vm: str, begin_s: float, end_s: float
) -> bool:
    """Returns whether no fault affected a VM in a period or before it."""
    return not any(
        span.vm in ("", vm) and _affects(span, begin_s, end_s)
        for span in history.fault_spans
    )


def _by_request(
    history: History,
) -> dict[str, list[fleet.Arrival]]:
    found = collections.defaultdict(list)
    for arrival in history.arrivals:
        found[arrival.request_id].append(arrival)
    return found


def at_most_once(history: History) -> checker.CheckResult:
    """A save runs at most once."""
    arrivals = _by_request(history)
    saves = [row for row in history.records if row.kind == "save"]
    broken = [
        f"{row.request_id}: ran {runs} times"
        for row in saves
        if (runs := sum(a.ran for a in arrivals[row.request_id])) > 1
    ]
    return checker.CheckResult(len(saves), broken)


def true_refusals(history: History) -> checker.CheckResult:
    """A refused request never runs, neither before nor after the refusal."""
    arrivals = _by_request(history)
    refused = [
        row for row in history.records if row.status in (408, 421, 429, 503)
    ]
    broken = [
        f"{row.request_id}: {row.status}, but it ran"
        for row in refused
        if any(a.ran for a in arrivals[row.request_id])
    ]
    return checker.CheckResult(len(refused), broken)


def own_answers(history: History) -> checker.CheckResult:
    """A success is a searcher's complete response to the same request."""
    successes = [
        row
        for row in history.records
        if row.status == 200 and row.kind != "query"
    ]
    broken = []
    for row in successes:
        service, _, rest = row.headers.get("x-server-stamp", "").partition(".")
        expected = fleet.record_of(service, row.request_id)
        if not rest.endswith("." + row.request_id) or row.body != expected:
            broken.append(f"{row.request_id}: {row.headers} {row.body!r}")
    return checker.CheckResult(len(successes), broken)


def _coverage_fault(row: Record, shard_lists: set[tuple[str, ...]]) -> str:
    stamps = row.headers.get("x-part-stamps", "").split(", ")
    parts = [proof.split(".") for proof in stamps]
    services = [part[0] for part in parts]
    missing = int(row.headers.get("x-missing-parts", "-1"))
    if any(part[-1] != row.request_id for part in parts):
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
    records = [fleet.record_of(service, row.request_id) for service in services]
    if row.body != b"".join(sorted(records, reverse=True)):
        return "records differ from those of the listed parts"
    return ""


def true_coverage(history: History) -> checker.CheckResult:
    """The response to a query lists its parts and counts missing ones."""
    shard_lists = set(history.shard_lists.values())
    successes = [
        row
        for row in history.records
        if row.status == 200 and row.kind == "query"
    ]
    faults = [(row, _coverage_fault(row, shard_lists)) for row in successes]
    broken = [f"{row.request_id}: {fault}" for row, fault in faults if fault]
    return checker.CheckResult(len(successes), broken)


def bounded_attempts(history: History) -> checker.CheckResult:
    """A request reaches at most two searchers of a service."""
    counts = collections.Counter(
        (row.request_id, row.service) for row in history.arrivals
    )
    broken = [f"{key}: {count}" for key, count in counts.items() if count > 2]
    return checker.CheckResult(len(counts), broken)


def bounded_repeats(history: History) -> checker.CheckResult:
    """Extra calls to a service stay within the budget in every window."""
    by_service = collections.defaultdict(list)
    for arrival in history.arrivals:
        by_service[arrival.service].append(arrival)
    broken, exercised = [], 0
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
                broken.append(
                    f"{service}: {extra_count} extra, {first_count} first"
                )
    return checker.CheckResult(exercised, broken)


def _served_versions(
    history: History,
) -> dict[tuple[str, int], list[Record]]:
    found = collections.defaultdict(list)
    for row in history.records:
        if row.kind == "version" and row.status == 200:
            found[row.vm, row.start_count].append(row)
    return found


def never_back(history: History) -> checker.CheckResult:
    """A process never serves an older version than it served before."""
    broken, exercised = [], 0
    for (vm, _), rows in _served_versions(history).items():
        for row in rows:
            newest = max(
                (o.version for o in rows if o.ended_s < row.sent_s), default=0
            )
            exercised += newest > 0
            if row.version < newest:
                broken.append(f"{vm}: {row.version} after {newest}")
    return checker.CheckResult(exercised, broken)


def in_force(history: History) -> checker.CheckResult:
    """A configuration is in force in time on VMs without faults."""
    broken, exercised = [], 0
    for row in history.records:
        if row.kind != "version" or row.status not in (200, 404):
            continue
        due = [
            version
            for version, at_s in history.versions.items()
            if at_s + IN_FORCE_S < row.sent_s
        ]
        # Newest version that is due, and newest one written by the time of
        # the response.
        due_version = max(due, default=0)
        newest = max(
            v for v, at_s in history.versions.items() if at_s < row.ended_s
        )
        if not is_undisturbed(history, row.vm, row.sent_s, row.ended_s):
            continue
        exercised += 1
        old = row.status == 200 and row.version < due_version
        unknown = row.status == 404 and due_version == newest == row.version
        if old or unknown:
            broken.append(
                f"{row.vm} {row.request_id}: {row.status} for {row.version},"
                f" {due_version} is due"
            )
    return checker.CheckResult(exercised, broken)


def drained_searchers(history: History) -> checker.CheckResult:
    """A draining searcher gets no new requests after `DRAIN_S`."""
    by_id = {row.request_id: row for row in history.records}
    services = {row.searcher: row.service for row in history.arrivals}
    broken, exercised = [], 0
    for name, at_s in history.drained.items():
        for arrival in history.arrivals:
            row = by_id.get(arrival.request_id)
            if row is None or arrival.service != services.get(name):
                continue
            late = row.sent_s > at_s + DRAIN_S
            if late and is_undisturbed(history, row.vm, at_s, arrival.at_s):
                exercised += 1
                if arrival.searcher == name:
                    broken.append(f"{name}: {arrival.request_id}")
    return checker.CheckResult(exercised, broken)


def nothing_cut(history: History) -> checker.CheckResult:
    """A process that stops gracefully still responds to earlier requests.

    This also holds during faults of searchers and the store.
    """
    broken, exercised = [], 0
    unplanned = [
        span
        for span in history.fault_spans
        if span.vm not in ("", "-") and not span.planned
    ]
    for span in (span for span in history.fault_spans if span.planned):
        for row in history.records:
            if row.vm != span.vm or row.caller_left or row.new_connection:
                continue
            if not span.started_s - row.timeout_s <= row.sent_s <= span.ended_s:
                continue
            if any(
                other.vm == row.vm and _affects(other, row.sent_s, row.ended_s)
                for other in unplanned
            ):
                continue
            exercised += 1
            if not row.status and row.ended_s - row.sent_s < row.timeout_s:
                broken.append(f"{row.vm} {row.request_id}: request cut off")
    return checker.CheckResult(exercised, broken)


def answered_in_time(history: History) -> checker.CheckResult:
    """Callers get a final response within their timeout."""
    requests = [
        row
        for row in history.records
        if not row.caller_left
        and is_undisturbed(history, row.vm, row.sent_s, row.ended_s)
    ]
    broken = [
        f"{row.vm} {row.request_id}: {row.ended_s - row.sent_s:.2f} s"
        for row in requests
        if not row.status
        and row.ended_s - row.sent_s > row.timeout_s + LATE_TOLERANCE_S
    ]
    return checker.CheckResult(len(requests), broken)


def recovery(history: History) -> checker.CheckResult:
    """Requests succeed again after the last fault."""
    last_s = max((span.ended_s for span in history.fault_spans), default=0.0)
    requests = [
        row
        for row in history.records
        if row.sent_s > last_s + RECOVERY_S
        and not row.caller_left
        and row.kind != "version"
    ]
    served = sum(row.status == 200 for row in requests)
    broken = []
    if served < MIN_SERVED_SHARE * len(requests):
        broken.append(f"{served} of {len(requests)} served")
    return checker.CheckResult(len(requests), broken)


PROMISES = {
    "at-most-once": at_most_once,
    "true-refusals": true_refusals,
    "own-answers": own_answers,
    "true-coverage": true_coverage,
    "bounded-attempts": bounded_attempts,
    "bounded-repeats": bounded_repeats,
    "never-back": never_back,
    "in-force": in_force,
    "drained-searchers": drained_searchers,
    "nothing-cut": nothing_cut,
    "answered-in-time": answered_in_time,
    "recovery": recovery,
}


def check(history: History) -> dict[str, checker.CheckResult]:
    """Checks all promises over a history."""
    return {name: promise(history) for name, promise in PROMISES.items()}
