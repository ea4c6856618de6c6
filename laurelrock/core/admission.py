"""Admission: how many requests of an application an entry has in flight.

The limit of each application grows by one for each window of good answers and
shrinks by a factor on congestion. A request beyond it is refused at once,
with a time to come back.
"""

import typing

__all__ = ["Admission", "Limits", "Outcome"]

#: Requests in flight that an application begins with.
FIRST_LIMIT = 16.0
#: Least limit.
MIN_LIMIT = 1.0
#: Factor of a limit on congestion.
DECREASE = 0.85
#: Fraction of the deadline above which an answer shows congestion.
LATE_FRACTION = 0.5
#: Weight of a new latency in the mean.
MEAN_WEIGHT = 0.1
#: Part of a limit that has to be in use for it to grow.
IN_USE = 0.8
#: Part of the total that each lower class leaves to those above it.
RESERVE = 0.1
#: Least and longest wait that a refusal names, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0


class Outcome(typing.NamedTuple):
    """What an admitted request came to.

    Attributes:
        elapsed_s: Time to the answer.
        deadline_s: That it had.
        congested: Whether parts were shed.
        whole: Whether nothing is missing. What is missing for another
            reason than overload changes no limit.
    """

    elapsed_s: float
    deadline_s: float
    congested: bool
    whole: bool = True


class Limits:
    """State of one application.

    Attributes:
        limit: Requests that may be in flight.
        in_flight: Requests in flight.
        mean_s: Moving mean of the latencies.
        shrunk_s: Time of the last decrease.
        refused: Requests refused.
    """

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self.mean_s = 0.0
        self.shrunk_s = 0.0
        self.refused = 0


class Admission:
    """State of one entry.

    Attributes:
        total: Requests in flight of all applications at most.
        adaptive: Whether applications have limits of their own.
        limits: By application.
    """

    def __init__(self, total: int, adaptive: bool) -> None:
        self.total = total
        self.adaptive = adaptive
        self.limits: dict[str, Limits] = {}

    @property
    def in_flight(self) -> int:
        """Requests in flight of all applications."""
        return sum(row.in_flight for row in self.limits.values())

    def admit(self, application: str, priority: int, share: float) -> float:
        """Takes a request, or refuses it.

        Args:
            application: That is asked.
            priority: Its class, 0 is the highest.
            share: Least part of the total that the class keeps.

        Returns:
            0 where the request was taken, else the seconds after which
            another attempt makes sense.
        """
        row = self.limits.setdefault(application, Limits())
        open_to_class = self.total * max(0.0, 1 - RESERVE * priority)
        within_total = self.in_flight < open_to_class
        within_share = row.in_flight < self.total * share
        within_limit = not self.adaptive or row.in_flight < row.limit
        if within_limit and (within_total or within_share):
            row.in_flight += 1
            return 0.0
        row.refused += 1
        return min(max(row.mean_s, MIN_RETRY_S), MAX_RETRY_S)

    def leave(self, application: str, outcome: Outcome, now_s: float) -> None:
        """Notes the end of a request that was taken."""
        row = self.limits[application]
        was_in_use = row.in_flight >= IN_USE * row.limit
        row.in_flight -= 1
        weight = MEAN_WEIGHT if row.mean_s else 1.0
        row.mean_s += weight * (outcome.elapsed_s - row.mean_s)
        late = outcome.elapsed_s > LATE_FRACTION * outcome.deadline_s
        if outcome.congested or (outcome.whole and late):
            if now_s - row.shrunk_s >= row.mean_s:
                row.limit = max(MIN_LIMIT, row.limit * DECREASE)
                row.shrunk_s = now_s
        elif outcome.whole and was_in_use:
            row.limit = min(float(self.total), row.limit + 1 / row.limit)
