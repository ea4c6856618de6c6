"""Tracks searchers from the view of one relay and chooses one for each call.

The choice is based on the relay's own observations. Load reports of the
searchers have little weight, because they lag and can mislead.
"""

import collections.abc
import typing

from laurelrock import manifest

__all__ = ["Chooser", "Upstream", "choose_least_loaded", "choose_random"]

#: Weight of a new latency in the exponential moving average.
MEAN_WEIGHT = 0.05
#: Latency quantile above which a call counts as slow.
SLOW_QUANTILE = 0.97
#: Relative step of the quantile estimate.
QUANTILE_STEP = 0.1
#: Factor of the step at the first latencies, and the number of replies after
#: which the extra step is halved.
INITIAL_STEP_FACTOR = 5.0
STEP_HALVING_REPLIES = 16
#: First estimate of the quantile, as a multiple of the first latency.
INITIAL_SLOW_FACTOR = 4.0
#: Estimate of the quantile before any latency is known, in seconds.
INITIAL_SLOW_S = 0.2
#: Expected latency of a searcher that was never called, in seconds.
INITIAL_LATENCY_S = 0.02
#: Bounds of the latency estimates, in seconds.
MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 60.0
#: Consecutive failures after which a searcher is ejected.
MAX_FAILURES = 3
#: First and longest duration of an ejection, in seconds.
EJECT_S = 0.5
MAX_EJECT_S = 8.0
#: Time over which a new or returning searcher is ramped up to all its slots, in
#: seconds.
RAMP_S = 2.0
#: First and longest wait between health checks of a draining searcher, in
#: seconds.
DRAIN_RECHECK_S = 2.0
MAX_DRAIN_RECHECK_S = 60.0
#: Wait before a searcher is asked again for a snapshot that it lacked, in
#: seconds.
MISSING_SNAPSHOT_RETRY_S = 0.5
#: Weight of a call that is known only from the searcher's load report.
REPORTED_CALL_WEIGHT = 0.25
#: A searcher gets fewer calls if it is slower than the fastest one by more than
#: this factor.
SLOW_FACTOR = 2.0
#: Fraction of a searcher's connections that one relay may open.
CONNECTION_SHARE = 0.4
#: Connections beyond the slots, used for a hedge and a cancellation.
SPARE_CONNECTIONS = 2


class Upstream:
    """State of one searcher, as observed by this relay.

    Attributes:
        searcher: Entry of the searcher in the manifest.
        in_flight: Number of calls in flight.
        calls: Number of calls started.
        replies: Number of latencies recorded.
        mean_s: Moving average of the latency, in seconds.
        slow_after_s: Estimated `SLOW_QUANTILE` of the latency, in seconds.
        failures: Number of failures since the last reply.
        ejections: Number of consecutive ejections.
        ejected_until_s: Time at which the current ejection ends, in seconds.
        shed_until_s: Time before which it gets no new work because it shed a
            call, in seconds.
        draining: Whether it reported that it drains; it gets no new work until
            a health check reports otherwise.
        drain_count: Number of consecutive times that it reported draining
            without having run a call in between.
        recheck_at_s: Time of the next health check while it drains, in seconds.
        ramp_start_s: Time at which the ramp-up of its slots started, in
            seconds.
        missing_snapshots: Time until which it is not asked for a snapshot that
            it lacks, in seconds, by snapshot version.
        reported: Number of calls in its last load report.
    """

    def __init__(self, searcher: manifest.Searcher, now_s: float) -> None:
        self.searcher = searcher
        self.in_flight = 0
        self.calls = 0
        self.replies = 0
        self.mean_s = INITIAL_LATENCY_S
        self.slow_after_s = INITIAL_SLOW_S
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.shed_until_s = 0.0
        self.draining = False
        self.drain_count = 0
        self.recheck_at_s = 0.0
        self.ramp_start_s = now_s
        self.missing_snapshots: dict[str, float] = {}
        self.reported = 0

    @property
    def ejected(self) -> bool:
        """Whether the searcher was ejected and has not replied since."""
        return self.ejections > 0

    def slot_limit(self, now_s: float) -> int:
        """Returns the number of calls that may be in flight now."""
        if self.ejected:
            return 1
        part = min(1.0, max(0.0, now_s - self.ramp_start_s) / RAMP_S)
        return max(1, int(self.searcher.slots * part))

    def accepts_work(self, now_s: float) -> bool:
        """Tells whether the searcher accepts new work at all."""
        return (
            self.searcher.state == "live"
            and not self.draining
            and now_s >= self.shed_until_s
            and now_s >= self.ejected_until_s
        )

    def has_slot(self, now_s: float) -> bool:
        """Tells whether another call may be sent to the searcher now."""
        return self.in_flight < self.slot_limit(now_s)

    def record_reply(self, latency_s: float, now_s: float, slow: bool) -> None:
        """Records a reply to a call that was run.

        Args:
            latency_s: Latency of the call, in seconds.
            now_s: Current time, in seconds.
            slow: Whether the call was already reported to `record_slow_call`.
        """
        self.record_activity(now_s)
        self.drain_count = 0
        self.record_latency(latency_s)
        if slow:
            return
        if latency_s > self.slow_after_s:
            self.record_slow_call()
            return
        step = self.quantile_step() * (1 - SLOW_QUANTILE)
        self.slow_after_s = max(MIN_LATENCY_S, self.slow_after_s * (1 - step))

    def record_latency(self, latency_s: float) -> None:
        """Adds a latency, or the time spent on a lost call, to the average."""
        latency_s = min(max(latency_s, MIN_LATENCY_S), MAX_LATENCY_S)
        weight = MEAN_WEIGHT
        if not self.replies:
            weight = 1.0
            self.slow_after_s = INITIAL_SLOW_FACTOR * latency_s
        self.replies += 1
        self.mean_s += weight * (latency_s - self.mean_s)

    def record_slow_call(self) -> None:
        """Records that a call takes longer than `slow_after_s`."""
        step = self.quantile_step() * SLOW_QUANTILE
        self.slow_after_s = min(MAX_LATENCY_S, self.slow_after_s * (1 + step))

    def quantile_step(self) -> float:
        """Returns the relative step; it is larger for the first latencies."""
        extra = (INITIAL_STEP_FACTOR - 1) / (
            1 + self.replies / STEP_HALVING_REPLIES
        )
        return QUANTILE_STEP * (1 + extra)

    def record_activity(self, now_s: float) -> None:
        """Records any reply, which ends an ejection."""
        if self.ejected:
            self.ramp_start_s = now_s
        self.failures = self.ejections = 0
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float, others_work: bool) -> bool:
        """Records a call without a reply.

        Args:
            now_s: Current time, in seconds.
            others_work: Whether another searcher can take the work. If not, the
                searcher is not ejected.

        Returns:
            Whether the searcher is ejected by this call.
        """
        self.failures += 1
        if not others_work:
            return False
        if not self.ejected and self.failures < MAX_FAILURES:
            return False
        eject_s = min(EJECT_S * 2**self.ejections, MAX_EJECT_S)
        self.ejections = min(self.ejections + 1, 16)
        self.ejected_until_s = now_s + eject_s
        return True

    def record_refusal(
        self, status: str, snapshot: str, retry_s: float, now_s: float
    ) -> None:
        """Records a reply which says that nothing was run.

        Args:
            status: Status of the sub-query in the reply.
            snapshot: Version of the requested snapshot.
            retry_s: Retry delay that the reply asks for, in seconds.
            now_s: Current time, in seconds.
        """
        self.record_activity(now_s)
        if status == "draining":
            self.record_draining(now_s)
        elif status == "shed":
            self.shed_until_s = now_s + min(retry_s, DRAIN_RECHECK_S)
        elif status in ("version-gone", "version-unknown"):
            self.missing_snapshots[snapshot] = now_s + MISSING_SNAPSHOT_RETRY_S

    def record_draining(self, now_s: float) -> None:
        """Records that the searcher drains, from a reply or a health check."""
        if not self.draining:
            self.drain_count += 1
        self.draining = True
        wait_s = DRAIN_RECHECK_S * 2 ** (self.drain_count - 1)
        self.recheck_at_s = now_s + min(wait_s, MAX_DRAIN_RECHECK_S)

    def record_resumed(self, now_s: float) -> None:
        """Records that the health check no longer reports draining."""
        self.draining = False
        self.ramp_start_s = now_s

    def may_hold(self, snapshot: str, now_s: float) -> bool:
        """Tells whether the searcher may hold a snapshot.

        It may, unless it recently reported that it lacks the snapshot.
        """
        return now_s >= self.missing_snapshots.get(snapshot, 0.0)


class Chooser(typing.Protocol):
    """Chooses one of several searchers that have a free slot."""

    def __call__(
        self, candidates: collections.abc.Sequence[Upstream]
    ) -> Upstream: ...


def choose_least_loaded(
    candidates: collections.abc.Sequence[Upstream],
) -> Upstream:
    """Returns the searcher with the lowest load per slot.

    The load of a searcher that is slower than the fastest one by more than
    `SLOW_FACTOR` is multiplied by the ratio of their latencies.
    """
    fastest = min(upstream.mean_s for upstream in candidates)

    def cost(upstream: Upstream) -> tuple[float, int]:
        others_calls = max(0, upstream.reported - upstream.in_flight)
        slots = upstream.searcher.slots
        load = (
            upstream.in_flight
            + 1
            + REPORTED_CALL_WEIGHT * min(others_calls, slots)
        )
        ratio = upstream.mean_s / fastest
        return load / slots * (ratio if ratio > SLOW_FACTOR else 1.0), (
            upstream.calls
        )

    return min(candidates, key=cost)


def choose_random(draw: collections.abc.Callable[[], float]) -> Chooser:
    """Returns a random chooser; `draw` returns random numbers in [0, 1)."""

    def choose(candidates: collections.abc.Sequence[Upstream]) -> Upstream:
        return candidates[int(draw() * len(candidates))]

    return choose


def usable(
    upstreams: collections.abc.Iterable[Upstream], snapshot: str, now_s: float
) -> list[Upstream]:
    """Returns the searchers that accept work for a snapshot.

    If all of them are ejected, all that are neither leaving nor draining are
    returned.
    """
    rows = [row for row in upstreams if row.searcher.state == "live"]
    working = [row for row in rows if row.accepts_work(now_s)]
    if not working:
        working = [
            row
            for row in rows
            if now_s >= row.shed_until_s and not row.draining
        ]
    return [row for row in working if row.may_hold(snapshot, now_s)] or working


def service_rate_per_s(upstreams: collections.abc.Iterable[Upstream]) -> float:
    """Returns the calls per second that the searchers complete at full load."""
    return sum(row.searcher.slots / row.mean_s for row in upstreams)


def connection_limit(searcher: manifest.Searcher) -> int:
    """Returns the number of connections that a relay may open to a searcher.

    Two relays that both believe that they own the searcher together stay within
    the number of connections that it accepts.
    """
    wanted = 2 * searcher.slots + SPARE_CONNECTIONS
    share = int(searcher.connections * CONNECTION_SHARE)
    return max(1, min(wanted, share))
