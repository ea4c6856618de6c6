"""Checks keys, caps and fair shares over the history of a soak run.

See `bench.promises`.
"""

import math

from bench import checker
from bench import soak_history
from bench import soak_workspaces

__all__ = ["fair", "key_kept_back", "known_key", "tenant_cap"]

#: Maximum time until a removed key is refused, in seconds (`config_apply_ms`).
APPLY_S = 5.0
#: Window in which a workspace's requests are counted, in seconds, the factor on
#: its cap, and the requests beyond that (`quota_window_s`, `quota_overage`,
#: `quota_slack`).
CAP_WINDOW_S, CAP_FACTOR, CAP_EXCESS = 5.0, 1.1, 20
#: Least share of the requests served of a workspace within its cap, as a
#: fraction of the mean of all, and the requests that it takes to judge that.
FAIR_FRACTION, MIN_REQUESTS = 0.8, 20
#: Stands for the time at which a key was removed that was in no version.
NEVER_KNOWN_S = -math.inf
#: Faults that take little capacity from searchers: the second searcher of each
#: service has enough for all requests.
HARMLESS_FAULTS = (
    *("burst", "configure", "reshard", "drain", "leave", "born-again"),
    "searcher-link",
)


def _first_runs(history: soak_history.History) -> dict[str, float]:
    """Returns the loop time at which each request ran first, by its id."""
    runs: dict[str, float] = {}
    for arrival in history.arrivals:
        if arrival.ran:
            runs.setdefault(arrival.request_id, arrival.at_s)
    return runs


def tenant_cap(history: soak_history.History) -> checker.CheckResult:
    """A workspace with a cap runs few requests more in any window."""
    violations, exercised = [], 0
    runs = _first_runs(history)
    for workspace, (per_s, burst) in history.workspaces.caps.items():
        times_s = sorted(
            runs[record.request_id]
            for record in history.records
            if record.workspace == workspace and record.request_id in runs
        )
        allowed = (per_s * CAP_WINDOW_S + burst) * CAP_FACTOR + CAP_EXCESS
        exercised += len(times_s)
        count, _ = soak_history.most_within(times_s, CAP_WINDOW_S)
        if count > allowed:
            violations.append(f"{workspace}: {count} ran, {allowed:.0f} may")
    return checker.CheckResult(exercised, violations)


def _removed_s(history: soak_history.History, key: str) -> float:
    """Returns when a key was removed; infinity if the newest version has it.

    Returns:
        Loop time in seconds; `NEVER_KNOWN_S` for a key that was in no version.
    """
    keys = history.workspaces.keys
    versions = [version for version, row in keys.items() if key in row]
    if not versions:
        return NEVER_KNOWN_S
    later = [version for version in keys if version > max(versions)]
    return history.versions[min(later)] if later else math.inf


def known_key(history: soak_history.History) -> checker.CheckResult:
    """Requests run with keys that are known, and those are never refused."""
    violations, exercised = [], 0
    runs = _first_runs(history)
    for record in history.records:
        if record.key is None:
            continue
        name = f"{record.vm} {record.request_id}: {record.key or 'no key'}"
        if history.workspaces.is_lasting(record.key):
            exercised += 1
            if record.status == 401:
                violations.append(f"{name} is in all versions, but got 401")
            continue
        removed_s = _removed_s(history, record.key)
        settled = soak_history.is_undisturbed(
            history,
            record.vm,
            record.sent_s - (APPLY_S - soak_history.SETTLE_S),
            record.sent_s,
        )
        if record.sent_s < removed_s + APPLY_S or not (
            settled or removed_s == NEVER_KNOWN_S
        ):
            continue
        exercised += 1
        if record.request_id in runs:
            violations.append(f"{name} is in no version in force, but it ran")
    return checker.CheckResult(exercised, violations)


def key_kept_back(history: soak_history.History) -> checker.CheckResult:
    """Searchers get the name of the workspace that holds the key, no key."""
    records = {
        record.request_id: record
        for record in history.records
        if record.key is not None
    }
    violations, exercised = [], 0
    for arrival in history.arrivals:
        record = records.get(arrival.request_id)
        if record is None:
            continue
        exercised += 1
        if arrival.key is not None:
            violations.append(f"{arrival.request_id}: its key was passed on")
        if arrival.workspace != (record.workspace or None):
            violations.append(
                f"{arrival.request_id} of {record.workspace}: as"
                f" {arrival.workspace}"
            )
    return checker.CheckResult(exercised, violations)


def _served_shares(
    history: soak_history.History, burst: soak_history.Span
) -> dict[str, tuple[int, float]]:
    """Returns the requests of each workspace in a burst, and the share served.

    Only those with keys of all versions at VMs without a fault count.
    """
    statuses: dict[str, list[int]] = {}
    for record in history.records:
        if (
            burst.started_s <= record.sent_s < burst.ended_s
            and record.kind in ("query", "read", "save")
            and not record.caller_left
            and record.workspace
            and history.workspaces.is_lasting(record.key)
            and record.regions != soak_workspaces.NOWHERE
            and soak_history.is_undisturbed(
                history, record.vm, record.sent_s, record.ended_s
            )
        ):
            statuses.setdefault(record.workspace, []).append(record.status)
    return {
        name: (len(rows), rows.count(200) / len(rows))
        for name, rows in statuses.items()
        if len(rows) >= MIN_REQUESTS
    }


def fair(history: soak_history.History) -> checker.CheckResult:
    """A burst of one workspace takes little from the others.

    Bursts in which a fault took capacity from searchers don't count.
    """
    violations, exercised = [], 0
    for burst in history.workspaces.bursts:
        if any(
            span.vm == "-"
            and span.name not in HARMLESS_FAULTS
            and soak_history.affects(span, burst.started_s, burst.ended_s)
            for span in history.fault_spans
        ):
            continue
        shares = _served_shares(history, burst)
        mean = sum(share for _, share in shares.values()) / max(1, len(shares))
        for workspace, (count, share) in shares.items():
            if workspace == burst.name:
                continue
            exercised += count
            if share < FAIR_FRACTION * mean:
                violations.append(
                    f"{workspace}: {share:.2f} of {count} served, {mean:.2f}"
                    f" on average, in a burst of {burst.name}"
                )
    return checker.CheckResult(exercised, violations)
