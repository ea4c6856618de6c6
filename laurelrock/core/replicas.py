"""Replicas: searchers as one VM sees them, and which takes the next call.

Decides from the VM's own observations: calls in flight, how slow a searcher
is against the others on the same route, whether it has gone silent. What the
searcher reports of its load counts while it is fresh.
"""

import collections.abc
import typing

from laurelrock.core import registry

__all__ = ["Replica", "Typical", "choose", "create_replica", "usable"]

#: Weight of a new latency in a mean.
MEAN_WEIGHT = 0.15
#: Bounds of a searcher's slowness against its kind.
MIN_SLOWNESS, MAX_SLOWNESS = 0.3, 20.0
#: Latency expected on a route that nothing is known of, in seconds.
FIRST_LATENCY_S = 0.03
#: Quantile of the latencies after which a call is late.
LATE_QUANTILE = 0.92
#: Relative step of the quantile's estimate.
QUANTILE_STEP = 0.06
#: First estimate of the quantile as a factor of the first latency.
FIRST_LATE_FACTOR = 1.8
#: A call this many times over the typical latency, or this many seconds over
#: it where that is more, shows that its searcher has stalled.
STALL_FACTOR = 2.5
STALL_S = 0.025
#: Time that a stalled searcher is expected to need besides, in seconds.
STALL_COST_S = 0.1
#: Time for which a report of load counts, in seconds.
REPORT_S = 0.1
#: Calls in a row that found no connection, or no answer in their time, after
#: which a searcher is ejected.
MAX_SILENT = 2
#: First and longest time before an ejected searcher is probed, in seconds.
EJECT_S = 0.3
MAX_EJECT_S = 2.0
#: Time that a failure costs a caller, as a factor of the typical latency.
FAILURE_FACTOR = 3.0
#: Time without new work after a searcher said that it is full, in seconds.
FULL_S = 0.03
#: Factor of the latency of a searcher that has just started.
COLD_FACTOR = 1.6
#: Time that a call to another failure domain costs besides, as a fraction of
#: the route's objective. Bytes between failure domains are paid for, and an
#: answer within the objective is of no more use for being earlier.
FAR_FRACTION = 0.2
#: Fewest searchers of other failure domains that tell of a cut.
LEAST_FAR = 4
#: Time without an answer from any of them, in seconds: over twice as long as
#: a searcher pauses.
FAR_SILENCE_S = 0.35
#: Time that a call costs besides where a connection has to be opened first,
#: in seconds; the searcher spends some milliseconds of a slot on it.
CONNECT_COST_S = 0.008
#: Longest time before a searcher is tried anew that was slow, in seconds.
FORGET_S = 3.0


class Typical:
    """Latencies of one kind of call, over all searchers.

    Attributes:
        mean_s: Moving mean.
        late_s: Estimate of the `LATE_QUANTILE`.
        count: Latencies noted.
    """

    def __init__(self) -> None:
        self.mean_s = FIRST_LATENCY_S
        self.late_s = FIRST_LATENCY_S * FIRST_LATE_FACTOR
        self.count = 0

    def note(self, latency_s: float) -> None:
        """Adds a latency."""
        if not self.count:
            self.mean_s = latency_s
            self.late_s = latency_s * FIRST_LATE_FACTOR
        self.count += 1
        bounded = min(latency_s, 4 * self.mean_s)
        self.mean_s += 0.05 * (bounded - self.mean_s)
        if latency_s > self.late_s:
            self.late_s *= 1 + QUANTILE_STEP * LATE_QUANTILE
        else:
            self.late_s *= 1 - QUANTILE_STEP * (1 - LATE_QUANTILE)
        self.late_s = max(self.late_s, self.mean_s * 1.1)


class Replica:
    """State of one searcher.

    Attributes:
        searcher: From the registry.
        flights: Start of each call in flight, by its number.
        slowness: Mean of its latencies over the typical ones.
        noted_s: When a latency was noted last.
        failure_rate: Mean of 1 for a failure, 0 for an answer.
        silent: Calls in a row without any sign of life.
        ejections: In a row; above 0 while it is ejected.
        probe_s: Loop time at which it may be probed.
        probed: Whether a probe reached it since its ejection.
        full_until_s: No new work before.
        reported: Calls that its last report shows, running or waiting.
        reported_s: When that report came.
        cold_until_s: End of its warm-up.
        misplaced: Whether another searcher answered at its address.
    """

    def __init__(self, searcher: registry.Searcher, now_s: float) -> None:
        self.searcher = searcher
        self.flights: dict[int, float] = {}
        self.numbers = 0
        self.slowness = 1.0
        self.noted_s = now_s
        self.failure_rate = 0.0
        self.silent = 0
        self.ejections = 0
        self.probe_s = 0.0
        self.probed = False
        self.full_until_s = 0.0
        self.reported = 0
        self.reported_s = 0.0
        self.cold_until_s = now_s + searcher.warm_up_s
        self.misplaced = False

    def begin(self, now_s: float) -> int:
        """Notes a call; returns its number."""
        self.numbers += 1
        self.flights[self.numbers] = now_s
        return self.numbers

    def end(self, number: int) -> None:
        """Notes the end of a call, whatever it was."""
        self.flights.pop(number, None)

    def answered(
        self, latency_s: float, typical: Typical, now_s: float
    ) -> None:
        """Notes an answer."""
        self.alive()
        self.failure_rate *= 1 - MEAN_WEIGHT
        ratio = latency_s / max(typical.mean_s, 0.001)
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness += MEAN_WEIGHT * (ratio - self.slowness)
        self.noted_s = now_s

    def alive(self) -> None:
        """Notes any sign of life; ends an ejection."""
        self.silent = self.ejections = 0
        self.probed = False

    def went_silent(self, now_s: float) -> bool:
        """Notes a call without a sign of life.

        Returns:
            Whether the searcher is ejected now.
        """
        self.silent += 1
        self.note_failure()
        if not self.ejections and self.silent < MAX_SILENT:
            return False
        eject_s = min(EJECT_S * 2**self.ejections, MAX_EJECT_S)
        self.ejections = min(self.ejections + 1, 8)
        self.probe_s = now_s + eject_s
        self.probed = False
        return True

    def note_failure(self) -> None:
        """Counts a failure into the rate."""
        self.failure_rate += MEAN_WEIGHT * (1 - self.failure_rate)

    @property
    def reachable(self) -> bool:
        """Whether nothing speaks against its being reached."""
        return not self.ejections or self.probed

    def erred(self) -> None:
        """Notes an answer that tells of a failure."""
        self.alive()
        self.note_failure()

    def full(self, now_s: float) -> None:
        """Notes that it had no room."""
        self.alive()
        self.full_until_s = now_s + FULL_S

    def report(self, running: int, waiting: int, now_s: float) -> None:
        """Notes its own report of load."""
        self.reported = running + waiting
        self.reported_s = now_s

    def oldest_s(self, now_s: float) -> float:
        """Returns the age of its oldest call in flight."""
        if not self.flights:
            return 0.0
        return now_s - next(iter(self.flights.values()))

    def stalled(self, typical: Typical, now_s: float) -> bool:
        """Tells whether a call takes far longer than it should."""
        slowness = max(1.0, self.slowness)
        limit = typical.mean_s * slowness
        limit = max(limit * STALL_FACTOR, limit + STALL_S)
        return self.oldest_s(now_s) > limit

    def expected_s(self, typical: Typical, now_s: float) -> float:
        """Returns the latency expected of the next call."""
        slowness = self.slowness
        if slowness > 1.0:
            age = min(1.0, (now_s - self.noted_s) / FORGET_S)
            slowness -= (slowness - 1.0) * age
        if now_s < self.cold_until_s:
            slowness *= COLD_FACTOR
        work_s = typical.mean_s * slowness
        ahead = len(self.flights)
        if now_s - self.reported_s < REPORT_S:
            ahead = max(ahead, self.reported)
        rounds = max(0, ahead + 1 - self.searcher.slots) / self.searcher.slots
        cost = work_s * (1 + rounds)
        cost += typical.mean_s * FAILURE_FACTOR * self.failure_rate
        if now_s < self.full_until_s:
            cost += self.full_until_s - now_s + work_s
        if self.stalled(typical, now_s):
            cost += STALL_COST_S
        return cost


class Near(typing.Protocol):
    """Tells whether a searcher is in this VM's failure domain."""

    def __call__(self, replica: Replica) -> bool: ...


class Connected(typing.Protocol):
    """Tells whether a connection to a searcher is free."""

    def __call__(self, replica: Replica) -> bool: ...


def usable(
    replicas: collections.abc.Iterable[Replica],
) -> list[Replica]:
    """Returns the searchers that take new work.

    One that a probe reached takes one call at a time until it answers. Where
    all are ejected, all are returned.
    """
    live = [row for row in replicas if takes_work(row)]
    working = [
        row
        for row in live
        if not row.ejections or (row.probed and not row.flights)
    ]
    return working or live


def takes_work(row: Replica) -> bool:
    """Tells whether a searcher's entry and address are good."""
    return row.searcher.state == "live" and not row.misplaced


def any_reachable(replicas: collections.abc.Iterable[Replica]) -> bool:
    """Tells whether a service may be reached at all."""
    return any(takes_work(row) and row.reachable for row in replicas)


def far_silent(
    replicas: collections.abc.Iterable[Replica], near: Near, now_s: float
) -> bool:
    """Tells whether searchers outside this failure domain fell silent.

    Several are ejected, or have had a call for long, and none has answered
    lately: this failure domain may be cut off from the others.
    """
    far = [row for row in replicas if takes_work(row) and not near(row)]
    silent = sum(
        not row.reachable or row.oldest_s(now_s) > FAR_SILENCE_S for row in far
    )
    answered_s = max((row.noted_s for row in far), default=0.0)
    return silent >= LEAST_FAR and now_s - answered_s > FAR_SILENCE_S


def choose(
    candidates: collections.abc.Sequence[Replica],
    typical: Typical,
    near: Near,
    connected: Connected,
    objective_s: float,
    now_s: float,
) -> Replica:
    """Returns the searcher that is expected to answer first.

    One of another failure domain has to be faster by a fraction of the
    route's objective.
    """

    def cost(row: Replica) -> tuple[float, int, int]:
        far = 0.0 if near(row) else FAR_FRACTION * objective_s
        opening = 0.0 if connected(row) else CONNECT_COST_S
        expected_s = row.expected_s(typical, now_s) + far + opening
        return expected_s, len(row.flights), row.numbers

    return min(candidates, key=cost)


def create_replica(searcher: registry.Searcher, now_s: float) -> Replica:
    """Returns a searcher of which nothing is known yet."""
    return Replica(searcher, now_s)
