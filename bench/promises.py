"""Promises of the gateway, checked over what callers and searchers saw.

`check` takes the history of one soak and returns, for each promise, how often
it was put to the test and what broke it.
"""

import collections
import typing

from bench import checker
from bench import fleet

__all__ = ["History", "PROMISES", "Record", "Span", "check"]

#: Undisturbed time after which the promises with a time hold for a VM, in
#: seconds (the deployments' smallest).
CALM_S = 4.0
#: Longest time until a configuration is in force, in seconds (letter 1).
IN_FORCE_S = 3.0
#: Longest time until a searcher that drains gets nothing new, in seconds.
DRAIN_S = 3.0
#: Time over a caller's patience after which a missing answer is a fault, in
#: seconds.
OVER_S = 0.5
#: Time after the last fault from which callers are served again, in seconds,
#: and the share of them that is.
RECOVERY_S = 5.0
RECOVERED = 0.9
#: Window of the budget of extra calls, in seconds, and its fraction.
WINDOW_S, FRACTION = 10.0, 0.2


class Record(typing.NamedTuple):
    """A caller's request.

    Attributes:
        kind: "query", "read", "save" or "version".
        request_id: Of the attempt.
        vm: That was asked.
        start: Number of its process when the request was sent.
        sent_s: Loop time.
        ended_s: Loop time of the answer or the failure.
        patience_s: That the caller told.
        status: Of the answer; 0 for none.
        headers: Of the answer.
        body: Of the answer.
        version: That a "version" request asked for.
        left: Whether the caller left before the answer.
        fresh: Whether the connection was new.
    """

    kind: str
    request_id: str
    vm: str
    start: int
    sent_s: float
    ended_s: float
    patience_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    version: int = 0
    left: bool = False
    fresh: bool = False


class Span(typing.NamedTuple):
    """A fault, planned or not.

    Attributes:
        name: Of the fault.
        vm: That it concerns; empty for all.
        begun_s: Loop time.
        ended_s: Loop time.
        planned: Whether it is a stop that may cut nothing.
    """

    name: str
    vm: str
    begun_s: float
    ended_s: float
    planned: bool = False


class History(typing.NamedTuple):
    """What happened in one soak.

    Attributes:
        records: Of the callers.
        arrivals: At the searchers.
        spans: Faults.
        versions: Loop time at which each configuration was written.
        lists: Services of the query's shards, by version.
        drained: Loop time at which a searcher's draining was written.
        allowance: Extra calls of a service in a window.
        ended_s: Loop time of the end of the load.
    """

    records: list[Record]
    arrivals: list[fleet.Arrival]
    spans: list[Span]
    versions: dict[int, float]
    lists: dict[int, tuple[str, ...]]
    drained: dict[str, float]
    allowance: int
    ended_s: float


def _disturbs(span: Span, begin_s: float, end_s: float) -> bool:
    """Tells whether a fault lies in a time, or shortly before it."""
    return span.begun_s <= end_s and span.ended_s + CALM_S >= begin_s


def calm(history: History, vm: str, begin_s: float, end_s: float) -> bool:
    """Tells whether nothing disturbed a VM in a span and before it."""
    return not any(
        span.vm in ("", vm) and _disturbs(span, begin_s, end_s)
        for span in history.spans
    )


def _by_request(
    history: History,
) -> dict[str, list[fleet.Arrival]]:
    found = collections.defaultdict(list)
    for arrival in history.arrivals:
        found[arrival.request_id].append(arrival)
    return found


def at_most_once(history: History) -> checker.Verdict:
    """A save runs once at most."""
    found = _by_request(history)
    saves = [row for row in history.records if row.kind == "save"]
    broken = [
        f"{row.request_id}: ran {runs} times"
        for row in saves
        if (runs := sum(a.ran for a in found[row.request_id])) > 1
    ]
    return checker.Verdict(len(saves), broken)


def true_refusals(history: History) -> checker.Verdict:
    """What is refused has not run and does not run later."""
    found = _by_request(history)
    refused = [
        row for row in history.records if row.status in (408, 421, 429, 503)
    ]
    broken = [
        f"{row.request_id}: {row.status}, but it ran"
        for row in refused
        if any(a.ran for a in found[row.request_id])
    ]
    return checker.Verdict(len(refused), broken)


def own_answers(history: History) -> checker.Verdict:
    """A success is a searcher's whole answer to that very request."""
    rows = [
        row
        for row in history.records
        if row.status == 200 and row.kind != "query"
    ]
    broken = []
    for row in rows:
        service, _, rest = row.headers.get("x-server-stamp", "").partition(".")
        expected = fleet.record_of(service, row.request_id)
        if not rest.endswith("." + row.request_id) or row.body != expected:
            broken.append(f"{row.request_id}: {row.headers} {row.body!r}")
    return checker.Verdict(len(rows), broken)


def _coverage_fault(row: Record, lists: set[tuple[str, ...]]) -> str:
    proofs = row.headers.get("x-part-stamps", "").split(", ")
    parts = [proof.split(".") for proof in proofs]
    services = [part[0] for part in parts]
    missing = int(row.headers.get("x-missing-parts", "-1"))
    if any(part[-1] != row.request_id for part in parts):
        return "a proof of another request"
    if len(set(services)) != len(services):
        return "a service twice"
    if not any(
        len(names) == len(services) + missing and set(services) <= set(names)
        for names in lists
    ):
        return f"{len(services)} parts and {missing} missing fit no list"
    if len(services) < 0.6 * (len(services) + missing):
        return "less than the least share"
    records = [fleet.record_of(service, row.request_id) for service in services]
    if row.body != b"".join(sorted(records, reverse=True)):
        return "other records than those of the parts named"
    return ""


def true_coverage(history: History) -> checker.Verdict:
    """A query's answer names its parts and says how many are missing."""
    lists = set(history.lists.values())
    rows = [
        row
        for row in history.records
        if row.status == 200 and row.kind == "query"
    ]
    faults = [(row, _coverage_fault(row, lists)) for row in rows]
    broken = [f"{row.request_id}: {fault}" for row, fault in faults if fault]
    return checker.Verdict(len(rows), broken)


def bounded_attempts(history: History) -> checker.Verdict:
    """A request reaches two searchers of a service at most."""
    counts = collections.Counter(
        (row.request_id, row.service) for row in history.arrivals
    )
    broken = [f"{key}: {count}" for key, count in counts.items() if count > 2]
    return checker.Verdict(len(counts), broken)


def bounded_repeats(history: History) -> checker.Verdict:
    """Extra calls of a service stay within the rule in any window."""
    by_service = collections.defaultdict(list)
    for arrival in history.arrivals:
        by_service[arrival.service].append(arrival)
    broken, exercised = [], 0
    for service, arrivals in by_service.items():
        seen: set[str] = set()
        firsts: list[float] = []
        extras: list[float] = []
        for arrival in arrivals:
            again = arrival.request_id in seen
            (extras if again else firsts).append(arrival.at_s)
            seen.add(arrival.request_id)
        exercised += len(extras)
        for end_s in extras:
            start_s = end_s - WINDOW_S
            used = sum(start_s < at_s <= end_s for at_s in extras)
            asked = sum(start_s - WINDOW_S < at_s <= end_s for at_s in firsts)
            if used > FRACTION * asked + history.allowance:
                broken.append(f"{service}: {used} extra of {asked}")
    return checker.Verdict(exercised, broken)


def _served_versions(
    history: History,
) -> dict[tuple[str, int], list[Record]]:
    found = collections.defaultdict(list)
    for row in history.records:
        if row.kind == "version" and row.status == 200:
            found[row.vm, row.start].append(row)
    return found


def never_back(history: History) -> checker.Verdict:
    """A process that served a version serves no older one afterwards."""
    broken, exercised = [], 0
    for (vm, _), rows in _served_versions(history).items():
        for row in rows:
            newest = max(
                (o.version for o in rows if o.ended_s < row.sent_s), default=0
            )
            exercised += newest > 0
            if row.version < newest:
                broken.append(f"{vm}: {row.version} after {newest}")
    return checker.Verdict(exercised, broken)


def in_force(history: History) -> checker.Verdict:
    """A configuration is in force soon, at VMs that nothing disturbs."""
    broken, exercised = [], 0
    for row in history.records:
        if row.kind != "version" or row.status not in (200, 404):
            continue
        due = [
            version
            for version, at_s in history.versions.items()
            if at_s + IN_FORCE_S < row.sent_s
        ]
        # Versions that were written by the time of the answer.
        present = max(due, default=0)
        written = max(
            v for v, at_s in history.versions.items() if at_s < row.ended_s
        )
        if not calm(history, row.vm, row.sent_s, row.ended_s):
            continue
        exercised += 1
        old = row.status == 200 and row.version < present
        unknown = row.status == 404 and present == written == row.version
        if old or unknown:
            broken.append(
                f"{row.vm} {row.request_id}: {row.status} for {row.version},"
                f" {present} is due"
            )
    return checker.Verdict(exercised, broken)


def drained_searchers(history: History) -> checker.Verdict:
    """A searcher that drains gets nothing new after a while."""
    by_id = {row.request_id: row for row in history.records}
    services = {row.searcher: row.service for row in history.arrivals}
    broken, exercised = [], 0
    for name, at_s in history.drained.items():
        for arrival in history.arrivals:
            row = by_id.get(arrival.request_id)
            if row is None or arrival.service != services.get(name):
                continue
            late = row.sent_s > at_s + DRAIN_S
            if late and calm(history, row.vm, at_s, arrival.at_s):
                exercised += 1
                if arrival.searcher == name:
                    broken.append(f"{name}: {arrival.request_id}")
    return checker.Verdict(exercised, broken)


def nothing_cut(history: History) -> checker.Verdict:
    """A process that stops answers what it was asked before.

    Whatever happens to searchers and the store meanwhile is no excuse.
    """
    broken, exercised = [], 0
    harmed = [
        span
        for span in history.spans
        if span.vm not in ("", "-") and not span.planned
    ]
    for span in (span for span in history.spans if span.planned):
        for row in history.records:
            if row.vm != span.vm or row.left or row.fresh:
                continue
            if not span.begun_s - row.patience_s <= row.sent_s <= span.ended_s:
                continue
            if any(
                other.vm == row.vm and _disturbs(other, row.sent_s, row.ended_s)
                for other in harmed
            ):
                continue
            exercised += 1
            if not row.status and row.ended_s - row.sent_s < row.patience_s:
                broken.append(f"{row.vm} {row.request_id}: cut")
    return checker.Verdict(exercised, broken)


def answered_in_time(history: History) -> checker.Verdict:
    """Callers get a final answer in their time."""
    rows = [
        row
        for row in history.records
        if not row.left and calm(history, row.vm, row.sent_s, row.ended_s)
    ]
    broken = [
        f"{row.vm} {row.request_id}: {row.ended_s - row.sent_s:.2f} s"
        for row in rows
        if not row.status and row.ended_s - row.sent_s > row.patience_s + OVER_S
    ]
    return checker.Verdict(len(rows), broken)


def recovery(history: History) -> checker.Verdict:
    """After the last fault callers are served again."""
    last_s = max((span.ended_s for span in history.spans), default=0.0)
    rows = [
        row
        for row in history.records
        if row.sent_s > last_s + RECOVERY_S
        and not row.left
        and row.kind != "version"
    ]
    served = sum(row.status == 200 for row in rows)
    broken = []
    if served < RECOVERED * len(rows):
        broken.append(f"{served} of {len(rows)} served")
    return checker.Verdict(len(rows), broken)


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


def check(history: History) -> dict[str, checker.Verdict]:
    """Checks all promises."""
    return {name: promise(history) for name, promise in PROMISES.items()}
