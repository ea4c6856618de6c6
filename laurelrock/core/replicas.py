"""Tracks searchers from the view of one VM and chooses one for each call.

The choice uses the VM's own observations: the calls in flight, the latency of a
searcher relative to the others on the same route, and whether it has stopped
responding. The load reported by a searcher counts only while the report is
recent.
"""

import collections.abc
import math
import typing

from laurelrock.core import registry
from laurelrock.core import request_limit
from laurelrock.core import warm_up

__all__ = [
    "LatencyStats",
    "Replica",
    "create_replica",
    "resume_in_s",
    "retry_in_s",
    "usable",
]

#: Weight of a new value in an exponential moving average.
MEAN_WEIGHT = 0.15
#: Bounds of a searcher's latency relative to the typical latency.
MIN_SLOWNESS, MAX_SLOWNESS = 0.3, 20.0
#: Latency expected on a route without measurements, in seconds.
INITIAL_LATENCY_S = 0.03
#: Latency quantile above which a call counts as late.
LATE_QUANTILE = 0.92
#: Relative step of the quantile estimate.
QUANTILE_STEP = 0.06
#: First estimate of the quantile, as a multiple of the first latency.
INITIAL_QUANTILE_FACTOR = 1.8
#: A searcher counts as stalled if a call takes longer than its typical latency
#: times this factor, or than the typical latency plus `STALL_S` seconds,
#: whichever is longer.
STALL_FACTOR = 2.5
STALL_S = 0.025
#: Latency added to the estimate for a stalled searcher, in seconds.
STALL_PENALTY_S = 0.1
#: Time for which a load report is used, in seconds.
REPORT_VALIDITY_S = 0.1
#: Consecutive calls that got no connection, or no response in time, after which
#: a searcher is ejected.
MAX_UNANSWERED = 2
#: Consecutive calls whose connection ended without a response after which a
#: searcher is ejected. Responses may be lost at random: if half of them are,
#: five in a row are lost in 3 of 100 cases.
MAX_LOST = 5
#: First and longest time before an ejected searcher is probed, in seconds.
EJECT_S = 0.3
MAX_EJECT_S = 2.0
#: Cost of a failure to a caller, as a multiple of the typical latency.
FAILURE_PENALTY_FACTOR = 3.0
#: Time for which a searcher that refused a call because it was full is avoided,
#: in seconds.
OVERLOAD_PAUSE_S = 0.03
#: Longest time for which a searcher that asked for a pause gets no calls, in
#: seconds. A longer one would exclude it for good by mistake.
MAX_PAUSE_S = 300.0
#: Latency factor of a searcher that has just started.
WARM_UP_FACTOR = 1.6
#: Minimum number of unresponsive searchers in other failure domains that
#: indicates a network partition.
MIN_UNRESPONSIVE_REMOTE = 4
#: Time without a successful response from any of them that indicates a
#: partition, in seconds. It is more than twice as long as a searcher's pauses.
REMOTE_SILENCE_S = 0.35
#: Latency added if a connection must be opened first, in seconds; the searcher
#: spends some milliseconds of a slot on it.
CONNECT_PENALTY_S = 0.008
#: Time after which a slow searcher is tried again as if it were not slow, in
#: seconds.
SLOWNESS_DECAY_S = 3.0


class LatencyStats:
    """Latency statistics of one kind of call, over all searchers.

    Attributes:
        mean_s: Moving average of the latency, in seconds.
        work_s: Moving average of the latency of a call that doesn't wait for a
            slot, in seconds.
        late_after_s: Estimated `LATE_QUANTILE` of the latency, in seconds.
        count: Number of latencies recorded.
    """

    def __init__(self) -> None:
        self.mean_s = self.work_s = INITIAL_LATENCY_S
        self.late_after_s = INITIAL_LATENCY_S * INITIAL_QUANTILE_FACTOR
        self.count = 0

    def record(self, latency_s: float, rounds: float = 0.0) -> None:
        """Adds a latency.

        Args:
            latency_s: The latency, in seconds.
            rounds: Number of calls that took the slot before, one after the
                other.
        """
        work_s = latency_s / (1 + rounds)
        if not self.count:
            self.mean_s = latency_s
            self.work_s = work_s
            self.late_after_s = latency_s * INITIAL_QUANTILE_FACTOR
        self.count += 1
        bounded = min(latency_s, 4 * self.mean_s)
        self.mean_s += 0.05 * (bounded - self.mean_s)
        self.work_s += 0.05 * (min(work_s, 4 * self.work_s) - self.work_s)
        if latency_s > self.late_after_s:
            self.late_after_s *= 1 + QUANTILE_STEP * LATE_QUANTILE
        else:
            self.late_after_s *= 1 - QUANTILE_STEP * (1 - LATE_QUANTILE)
        self.late_after_s = max(self.late_after_s, self.mean_s * 1.1)


class Replica:
    """State of one searcher, as observed by this VM.

    Attributes:
        searcher: Entry of the searcher in the registry.
        calls_in_flight: Start time of each call in flight, in seconds, by call
            number.
        call_count: Number of calls started.
        slowness: Moving average of its latency relative to the typical latency,
            without the time that calls wait for a slot.
        last_success_s: Time of its last successful response, in seconds.
        failure_rate: Moving average of call results, with 1 for a failure and 0
            for a success.
        unanswered: Number of consecutive calls without any response.
        lost: Number of consecutive calls whose connection ended without a
            response.
        silent_since_s: Time of the first call since its last response that
            ended without one, in seconds; infinitely early if there is none.
        ejections: Number of consecutive ejections; above 0 while it is ejected.
        next_probe_s: Loop time from which it may be probed, in seconds.
        probe_succeeded: Whether a probe has succeeded since its ejection.
        overloaded_until_s: Loop time until which it is avoided because it was
            full, in seconds.
        reported_calls: Number of running and waiting calls in its last load
            report.
        reported_at_s: Time of the last load report, in seconds.
        warm_up_end_s: Loop time at which its warm-up ends, in seconds.
        misplaced: Whether a different searcher responded at its address.
        leaving: Whether it declared that it is about to leave.
        resume_s: Loop time until which it asked for no calls, in seconds.
        limit: The limit of requests that it named; None if there is none.
        unlimited_s: Loop time of its last response that named no limit, in
            seconds.
        evacuated: Whether its failure domain is evacuated, so that it gets no
            calls.
        cold: The limit of requests while it is cold; None while it is warm.
    """

    def __init__(self, searcher: registry.Searcher, now_s: float) -> None:
        self.searcher = searcher
        self.calls_in_flight: dict[int, float] = {}
        self.call_count = 0
        self.slowness = 1.0
        self.last_success_s = now_s
        self.failure_rate = 0.0
        self.unanswered = 0
        self.lost = 0
        self.silent_since_s = -math.inf
        self.ejections = 0
        self.next_probe_s = 0.0
        self.probe_succeeded = False
        self.overloaded_until_s = 0.0
        self.reported_calls = 0
        self.reported_at_s = 0.0
        self.warm_up_end_s = now_s + searcher.warm_up_left_s
        self.misplaced = False
        self.leaving = False
        self.resume_s = 0.0
        self.limit: request_limit.RequestLimit | None = None
        self.unlimited_s = -math.inf
        self.evacuated = False
        self.cold: warm_up.ColdLimit | None = None

    def begin_call(self, now_s: float) -> int:
        """Records the start of a call and returns the call's number."""
        self.call_count += 1
        self.calls_in_flight[self.call_count] = now_s
        if self.limit is not None:
            self.limit.take(now_s)
        if self.cold is not None:
            self.cold.take(now_s)
        return self.call_count

    def end_call(self, number: int) -> None:
        """Records the end of a call, whatever its result."""
        self.calls_in_flight.pop(number, None)

    def record_success(
        self,
        latency_s: float,
        typical: LatencyStats,
        now_s: float,
        rounds: float = 0.0,
    ) -> None:
        """Records a successful response and its latency.

        See `LatencyStats.record` for `rounds`.
        """
        self.record_response()
        self.failure_rate *= 1 - MEAN_WEIGHT
        ratio = latency_s / (1 + rounds) / max(typical.work_s, 0.001)
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness += MEAN_WEIGHT * (ratio - self.slowness)
        self.last_success_s = now_s

    def record_response(self) -> None:
        """Records any response, including errors, and ends an ejection."""
        self.unanswered = self.ejections = self.lost = 0
        self.silent_since_s = -math.inf
        self.probe_succeeded = False

    def record_no_response(self, now_s: float) -> bool:
        """Records a call without any response.

        Returns:
            Whether the searcher is ejected by this call.
        """
        if self.silent_since_s == -math.inf:
            self.silent_since_s = now_s
        self.unanswered += 1
        self.record_failure()
        if not self.ejections and self.unanswered < MAX_UNANSWERED:
            return False
        self.eject(now_s)
        return True

    def eject(self, now_s: float) -> None:
        """Ejects the searcher for longer than the last time."""
        eject_s = min(EJECT_S * 2**self.ejections, MAX_EJECT_S)
        self.ejections = min(self.ejections + 1, 8)
        self.next_probe_s = now_s + eject_s
        self.probe_succeeded = False

    def record_failure(self) -> None:
        """Adds a failure to the failure rate."""
        self.failure_rate += MEAN_WEIGHT * (1 - self.failure_rate)

    def record_lost(self, now_s: float) -> bool:
        """Records a call whose connection ended before the response.

        Returns:
            Whether the searcher is ejected by this call.
        """
        if self.silent_since_s == -math.inf:
            self.silent_since_s = now_s
        self.lost += 1
        self.record_failure()
        if self.lost < MAX_LOST:
            return False
        self.eject(now_s)
        return True

    @property
    def reachable(self) -> bool:
        """Whether the searcher is not ejected or has passed a probe since."""
        return not self.ejections or self.probe_succeeded

    def record_error(self) -> None:
        """Records a response that reports an error."""
        self.record_response()
        self.record_failure()

    def full(self, now_s: float) -> None:
        """Records that the searcher refused a call because it was full."""
        self.record_response()
        self.overloaded_until_s = now_s + OVERLOAD_PAUSE_S

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Records that the searcher asked for no calls for a time."""
        end_s = now_s + min(pause_s, MAX_PAUSE_S)
        self.resume_s = max(self.resume_s, end_s)

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Records the load reported by the searcher."""
        self.reported_calls = running + waiting
        self.reported_at_s = now_s

    def oldest_call_age_s(self, now_s: float) -> float:
        """Returns the age of the oldest call in flight, in seconds."""
        if not self.calls_in_flight:
            return 0.0
        return now_s - next(iter(self.calls_in_flight.values()))

    def is_stalled(self, typical: LatencyStats, now_s: float) -> bool:
        """Tells whether a call is taking far longer than expected."""
        slowness = max(1.0, self.slowness)
        limit = typical.mean_s * slowness
        limit = max(limit * STALL_FACTOR, limit + STALL_S)
        return self.oldest_call_age_s(now_s) > limit

    def calls_ahead(self, now_s: float, max_own: float = math.inf) -> int:
        """Returns the number of calls ahead of the next one.

        A load report counts only while it is recent.

        Args:
            now_s: The loop time, in seconds.
            max_own: Maximum number of calls of this VM that are counted.
        """
        ahead = int(min(len(self.calls_in_flight), max_own))
        if now_s - self.reported_at_s < REPORT_VALIDITY_S:
            ahead = max(ahead, self.reported_calls)
        return ahead

    def waiting_rounds(self, now_s: float, max_own: float = math.inf) -> float:
        """Returns how many calls take the slot before the next call does.

        See `calls_ahead` for the arguments.
        """
        slots = self.searcher.slots
        return max(0, self.calls_ahead(now_s, max_own) + 1 - slots) / slots

    def expected_latency_s(self, typical: LatencyStats, now_s: float) -> float:
        """Returns the expected latency of the next call, in seconds.

        Penalties for failures, overload and a stalled searcher are included.
        """
        slowness = self.slowness
        if slowness > 1.0:
            age = min(1.0, (now_s - self.last_success_s) / SLOWNESS_DECAY_S)
            slowness -= (slowness - 1.0) * age
        if now_s < self.warm_up_end_s:
            slowness *= WARM_UP_FACTOR
        work_s = typical.work_s * slowness
        cost = work_s * (1 + self.waiting_rounds(now_s))
        cost += typical.work_s * FAILURE_PENALTY_FACTOR * self.failure_rate
        if now_s < self.overloaded_until_s:
            cost += self.overloaded_until_s - now_s + work_s
        if self.is_stalled(typical, now_s):
            cost += STALL_PENALTY_S
        return cost


class IsLocal(typing.Protocol):
    """Tells whether a searcher is in this VM's failure domain."""

    def __call__(self, replica: Replica) -> bool: ...


class HasIdleConnection(typing.Protocol):
    """Tells whether a connection to a searcher is idle."""

    def __call__(self, replica: Replica) -> bool: ...


def usable(
    replicas: collections.abc.Iterable[Replica], now_s: float
) -> list[Replica]:
    """Returns the searchers that accept new work at present.

    An ejected searcher that passed a probe gets one call at a time until it
    responds. If all searchers are ejected, all of them are returned.
    """
    live = [row for row in replicas if accepts_work(row, now_s)]
    working = [
        row
        for row in live
        if not row.ejections
        or (row.probe_succeeded and not row.calls_in_flight)
    ]
    return working or live


def is_live(row: Replica) -> bool:
    """Tells whether a searcher is live and its address is correct."""
    return (
        row.searcher.state == "live" and not row.misplaced and not row.leaving
    )


def stays(row: Replica) -> bool:
    """Tells whether a searcher is live and not evacuated.

    No request is sent to a searcher for which this is false.
    """
    return is_live(row) and not row.evacuated


def has_resumed(row: Replica, now_s: float) -> bool:
    """Tells whether a searcher stays and has not asked for a pause."""
    return stays(row) and now_s >= row.resume_s


def accepts_work(row: Replica, now_s: float) -> bool:
    """Tells whether a searcher takes a call of this VM now."""
    return has_resumed(row, now_s) and not limit_wait_s(row, now_s)


def limit_wait_s(row: Replica, now_s: float) -> float:
    """Returns the time until a searcher's limits allow a call, in seconds."""
    return max(
        row.limit.wait_s(now_s) if row.limit else 0.0,
        row.cold.wait_s(now_s) if row.cold else 0.0,
    )


def takes_extra_work(row: Replica, now_s: float) -> bool:
    """Tells whether a searcher takes a call that isn't needed yet."""
    return row.cold is None and (
        row.limit is None or row.limit.is_plentiful(now_s)
    )


def is_probe_due(row: Replica, now_s: float) -> bool:
    """Tells whether a searcher is ejected and due for a probe."""
    return bool(
        row.ejections
        and not row.evacuated
        and not row.probe_succeeded
        and now_s >= row.next_probe_s
    )


def any_reachable(
    replicas: collections.abc.Iterable[Replica], now_s: float
) -> bool:
    """Tells whether any searcher of a service may be reachable."""
    return any(accepts_work(row, now_s) and row.reachable for row in replicas)


def any_connected(replicas: collections.abc.Iterable[Replica]) -> bool:
    """Tells whether any searcher of a service responds, or isn't known not to.

    Unlike `any_reachable`, it counts those that ask for no calls at present.
    """
    return any(stays(row) and row.reachable for row in replicas)


def resume_in_s(
    replicas: collections.abc.Iterable[Replica], now_s: float
) -> float:
    """Returns the time until a searcher of a service accepts work, in seconds.

    It is 0 if one does so now, and infinite if nothing says when one will.
    """
    waits = [
        max(row.resume_s - now_s, limit_wait_s(row, now_s))
        for row in replicas
        if stays(row)
    ]
    return max(0.0, min(waits, default=math.inf))


def limited_per_s(replicas: collections.abc.Iterable[Replica]) -> float:
    """Returns the requests per second that a service takes from this VM.

    It is infinite if one of its searchers has no limit.
    """
    return math.fsum(
        min(
            row.limit.own_per_s if row.limit else math.inf,
            row.cold.own_per_s if row.cold else math.inf,
        )
        for row in replicas
        if stays(row)
    )


def retry_in_s(waits: collections.abc.Iterable[float], needed: int) -> float:
    """Returns the time until enough shards accept work, in seconds.

    Args:
        waits: Time until each shard does so, in seconds; infinite if unknown.
        needed: Number of shards that a query needs.

    Returns:
        The time, or 0 if it is unknown.
    """
    ranked = sorted(waits)
    if not 0 < needed <= len(ranked) or math.isinf(ranked[needed - 1]):
        return 0.0
    return ranked[needed - 1]


def remote_domains_silent(
    replicas: collections.abc.Iterable[Replica], is_local: IsLocal, now_s: float
) -> bool:
    """Tells whether searchers in other failure domains stopped responding.

    This is the case if several are ejected or have had a call in flight for a
    long time, and none has responded successfully of late. This failure domain
    may then be partitioned from the others.
    """
    remote = [
        row for row in replicas if has_resumed(row, now_s) and not is_local(row)
    ]
    unresponsive = sum(
        not row.reachable or row.oldest_call_age_s(now_s) > REMOTE_SILENCE_S
        for row in remote
    )
    last_success_s = max((row.last_success_s for row in remote), default=0.0)
    return (
        unresponsive >= MIN_UNRESPONSIVE_REMOTE
        and now_s - last_success_s > REMOTE_SILENCE_S
    )


def create_replica(searcher: registry.Searcher, now_s: float) -> Replica:
    """Returns the state of a searcher without observations."""
    return Replica(searcher, now_s)
