"""Upstreams: searchers as one relay sees them.

Decides which searcher takes a call from the relay's own observations. The
searchers' load reports, which lag and mislead, count for little.
"""

import collections.abc
import typing

from laurelrock import manifest

__all__ = ["Chooser", "Upstream", "choose_least_loaded", "choose_random"]

#: Weight of a new latency in the mean.
MEAN_WEIGHT = 0.05
#: Quantile of the latencies after which a call is slow.
SLOW_QUANTILE = 0.97
#: Relative step of the quantile's estimate.
QUANTILE_STEP = 0.1
#: Factor of the step for the first latencies, and how many halve it.
FIRST_STEP_FACTOR = 5.0
FIRST_STEP_REPLIES = 16
#: First estimate of the quantile, as a factor of the first latency.
FIRST_SLOW_FACTOR = 4.0
#: The same before any latency is known, in seconds.
FIRST_SLOW_S = 0.2
#: Latency expected of a searcher that was never called, in seconds.
FIRST_LATENCY_S = 0.02
#: Bounds of the estimates, in seconds.
MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 60.0
#: Failures in a row after which a searcher is ejected.
MAX_FAILURES = 3
#: First and longest time that an ejection lasts, in seconds.
EJECT_S = 0.5
MAX_EJECT_S = 8.0
#: Time over which a new or returned searcher gets its slots, in seconds.
RAMP_S = 2.0
#: First and longest wait before the health of a searcher that drains is asked
#: for, in seconds.
DRAIN_RECHECK_S = 2.0
MAX_DRAIN_RECHECK_S = 60.0
#: Wait before a snapshot that a searcher lacked is asked again, in seconds.
LACK_S = 0.5
#: Weight of a call that only the searcher's report shows.
REPORT_WEIGHT = 0.25
#: A searcher this many times slower than the fastest one is used less.
SLOW_FACTOR = 2.0
#: Part of a searcher's connections that one relay may open.
CONNECTION_SHARE = 0.4
#: Connections beyond the slots, for a hedge and a cancellation.
SPARE_CONNECTIONS = 2


class Upstream:
    """State of one searcher.

    Attributes:
        searcher: From the manifest.
        in_flight: Calls without an end.
        calls: Calls begun.
        replies: Latencies noted.
        mean_s: Moving mean of the latencies.
        slow_s: Estimate of the latencies' `SLOW_QUANTILE`.
        failures: Since the last reply.
        ejections: In a row.
        ejected_until_s: End of the present ejection.
        closed_until_s: No new work before, by the searcher's own word.
        draining: Whether it said so; no new work until its health differs.
        drains: Times in a row that it said so, with no call run between.
        recheck_at_s: When its health is asked for while it drains.
        ramp_from_s: Start of the ramp of the slots.
        lacks: Time until which a snapshot is not asked, by version.
        reported: Calls that the searcher's last report shows.
    """

    def __init__(self, searcher: manifest.Searcher, now_s: float) -> None:
        self.searcher = searcher
        self.in_flight = 0
        self.calls = 0
        self.replies = 0
        self.mean_s = FIRST_LATENCY_S
        self.slow_s = FIRST_SLOW_S
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.closed_until_s = 0.0
        self.draining = False
        self.drains = 0
        self.recheck_at_s = 0.0
        self.ramp_from_s = now_s
        self.lacks: dict[str, float] = {}
        self.reported = 0

    @property
    def ejected(self) -> bool:
        """Whether it failed and has not answered since."""
        return self.ejections > 0

    def window(self, now_s: float) -> int:
        """Returns the calls that it may have in flight."""
        if self.ejected:
            return 1
        part = min(1.0, max(0.0, now_s - self.ramp_from_s) / RAMP_S)
        return max(1, int(self.searcher.slots * part))

    def takes_work(self, now_s: float) -> bool:
        """Tells whether it takes new work at all."""
        return (
            self.searcher.state == "live"
            and not self.draining
            and now_s >= self.closed_until_s
            and now_s >= self.ejected_until_s
        )

    def has_slot(self, now_s: float) -> bool:
        return self.in_flight < self.window(now_s)

    def replied(self, latency_s: float, now_s: float, slow: bool) -> None:
        """Notes a call that was run.

        Args:
            latency_s: Of the call.
            now_s: Present time.
            slow: Whether `note_slow` was told of the call before.
        """
        self.note_alive(now_s)
        self.drains = 0
        self.note_latency(latency_s)
        if slow:
            return
        if latency_s > self.slow_s:
            self.note_slow()
            return
        step = self.quantile_step() * (1 - SLOW_QUANTILE)
        self.slow_s = max(MIN_LATENCY_S, self.slow_s * (1 - step))

    def note_latency(self, latency_s: float) -> None:
        """Adds a latency, or the time that a lost call took, to the mean."""
        latency_s = min(max(latency_s, MIN_LATENCY_S), MAX_LATENCY_S)
        weight = MEAN_WEIGHT
        if not self.replies:
            weight = 1.0
            self.slow_s = FIRST_SLOW_FACTOR * latency_s
        self.replies += 1
        self.mean_s += weight * (latency_s - self.mean_s)

    def note_slow(self) -> None:
        """Notes that a call takes longer than `slow_s`."""
        step = self.quantile_step() * SLOW_QUANTILE
        self.slow_s = min(MAX_LATENCY_S, self.slow_s * (1 + step))

    def quantile_step(self) -> float:
        """Returns the relative step, larger for the first latencies."""
        extra = (FIRST_STEP_FACTOR - 1) / (
            1 + self.replies / FIRST_STEP_REPLIES
        )
        return QUANTILE_STEP * (1 + extra)

    def note_alive(self, now_s: float) -> None:
        """Notes any reply; ends an ejection."""
        if self.ejected:
            self.ramp_from_s = now_s
        self.failures = self.ejections = 0
        self.ejected_until_s = 0.0

    def failed(self, now_s: float, others_work: bool) -> bool:
        """Notes a call without a reply.

        Args:
            now_s: Present time.
            others_work: Whether another searcher can take the work.

        Returns:
            Whether it was ejected now.
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

    def refused(
        self, status: str, snapshot: str, retry_s: float, now_s: float
    ) -> None:
        """Notes a reply that says that nothing was run."""
        self.note_alive(now_s)
        if status == "draining":
            self.note_draining(now_s)
        elif status == "shed":
            self.closed_until_s = now_s + min(retry_s, DRAIN_RECHECK_S)
        elif status in ("version-gone", "version-unknown"):
            self.lacks[snapshot] = now_s + LACK_S

    def note_draining(self, now_s: float) -> None:
        """Notes that it drains, by a reply or by its health."""
        if not self.draining:
            self.drains += 1
        self.draining = True
        wait_s = DRAIN_RECHECK_S * 2 ** (self.drains - 1)
        self.recheck_at_s = now_s + min(wait_s, MAX_DRAIN_RECHECK_S)

    def resumed(self, now_s: float) -> None:
        """Notes that its health no longer says that it drains."""
        self.draining = False
        self.ramp_from_s = now_s

    def holds(self, snapshot: str, now_s: float) -> bool:
        """Tells whether it did not lately say that it lacks a snapshot."""
        return now_s >= self.lacks.get(snapshot, 0.0)


class Chooser(typing.Protocol):
    """Chooses one of several searchers that have a free slot."""

    def __call__(
        self, candidates: collections.abc.Sequence[Upstream]
    ) -> Upstream: ...


def choose_least_loaded(
    candidates: collections.abc.Sequence[Upstream],
) -> Upstream:
    """Returns the searcher that is expected to answer first."""
    fastest = min(upstream.mean_s for upstream in candidates)

    def cost(upstream: Upstream) -> tuple[float, int]:
        foreign = max(0, upstream.reported - upstream.in_flight)
        slots = upstream.searcher.slots
        load = upstream.in_flight + 1 + REPORT_WEIGHT * min(foreign, slots)
        ratio = upstream.mean_s / fastest
        return load / slots * (ratio if ratio > SLOW_FACTOR else 1.0), (
            upstream.calls
        )

    return min(candidates, key=cost)


def choose_random(draw: collections.abc.Callable[[], float]) -> Chooser:
    """Returns a chooser that draws; `draw` returns numbers in [0, 1)."""

    def choose(candidates: collections.abc.Sequence[Upstream]) -> Upstream:
        return candidates[int(draw() * len(candidates))]

    return choose


def usable(
    upstreams: collections.abc.Iterable[Upstream], snapshot: str, now_s: float
) -> list[Upstream]:
    """Returns the searchers that take a snapshot's work.

    Where all of them are ejected, all that neither leave nor drain are
    returned.
    """
    rows = [row for row in upstreams if row.searcher.state == "live"]
    working = [row for row in rows if row.takes_work(now_s)]
    if not working:
        working = [
            row
            for row in rows
            if now_s >= row.closed_until_s and not row.draining
        ]
    return [row for row in working if row.holds(snapshot, now_s)] or working


def drain_rate(upstreams: collections.abc.Iterable[Upstream]) -> float:
    """Returns the calls a second that searchers finish at full use."""
    return sum(row.searcher.slots / row.mean_s for row in upstreams)


def connection_limit(searcher: manifest.Searcher) -> int:
    """Returns the connections that one relay may open to a searcher.

    Two relays that both believe that they own the searcher stay within its
    limit.
    """
    wanted = 2 * searcher.slots + SPARE_CONNECTIONS
    share = int(searcher.connections * CONNECTION_SHARE)
    return max(1, min(wanted, share))
