"""Checks where requests run over the history of a soak run.

See `bench.promises`.
"""

from bench import checker
from bench import soak_history

__all__ = ["cold_rate", "evacuated", "homes"]

#: Maximum time until an evacuation is applied, in seconds (`evacuate_ms`).
EVACUATE_S = 5.0
#: Factor on the rate that a cold searcher names, and the requests beyond that,
#: in any window of a second (`warmup_overage`, `warmup_slack`).
COLD_FACTOR, COLD_EXCESS, COLD_WINDOW_S = 1.5, 5, 1.0


def evacuated(history: soak_history.History) -> checker.CheckResult:
    """Searchers of an evacuated failure domain get no requests.

    Counted from VMs that had no fault in `EVACUATE_S`, or shortly before it.
    Requests for their health count too.
    """
    violations, exercised = [], 0
    requests = [*history.arrivals, *history.places.health]
    for row in history.places.evacuations:
        for arrival in requests:
            if (
                not row.started_s + EVACUATE_S < arrival.at_s < row.ended_s
                or arrival.misplaced
                or not soak_history.is_undisturbed(
                    history,
                    arrival.vm,
                    arrival.at_s - (EVACUATE_S - soak_history.SETTLE_S),
                    arrival.at_s,
                )
            ):
                continue
            exercised += 1
            if arrival.domain == row.name:
                violations.append(
                    f"{arrival.searcher}: {arrival.request_id or 'health'}"
                    f" from {arrival.vm}"
                    f" {arrival.at_s - row.started_s:.2f} s after the start"
                )
    return checker.CheckResult(exercised, violations)


def cold_rate(history: soak_history.History) -> checker.CheckResult:
    """A cold searcher gets few requests in any second, from all VMs together.

    Requests for its health count too. No VM could know of it where the store
    had a fault when the searcher's entry changed.
    """
    violations, exercised = [], 0
    by_searcher: dict[str, list[float]] = {}
    for arrival in (*history.arrivals, *history.places.health):
        if not arrival.misplaced:
            by_searcher.setdefault(arrival.searcher, []).append(arrival.at_s)
    allowed = COLD_FACTOR * history.places.warm_up_per_s + COLD_EXCESS
    for row in history.places.colds:
        if not soak_history.is_undisturbed(history, "", row.told_s, row.due_s):
            continue
        times_s = [
            at_s
            for at_s in sorted(by_searcher.get(row.searcher, ()))
            if row.due_s <= at_s < row.ended_s
        ]
        exercised += len(times_s)
        count, at_s = soak_history.most_within(times_s, COLD_WINDOW_S)
        if count > allowed:
            violations.append(
                f"{row.searcher}: {count} in the second before"
                f" {at_s - row.told_s:.2f} s after it said that it is cold"
            )
    return checker.CheckResult(exercised, violations)


def homes(history: soak_history.History) -> checker.CheckResult:
    """Requests stay in their regions, and their bodies leave only from there.

    A body may also be at a VM in the region of the VM that the caller reached.
    """
    records = {
        record.request_id: record
        for record in history.records
        if record.regions
    }
    regions = history.places.regions
    violations, exercised = [], 0
    for arrival in history.arrivals:
        record = records.get(arrival.request_id)
        if record is not None:
            exercised += 1
            if regions.get(arrival.domain) not in record.regions:
                violations.append(
                    f"{record.request_id} of {record.regions} at"
                    f" {arrival.searcher} in {arrival.domain}"
                )
    for request_id, vm in history.places.bodies:
        record = records.get(request_id)
        if record is not None:
            exercised += 1
            allowed = (*record.regions, regions.get(record.vm))
            if regions.get(vm) not in allowed:
                violations.append(
                    f"{request_id} of {record.regions} from {record.vm}: its"
                    f" body reached {vm}"
                )
    return checker.CheckResult(exercised, violations)
