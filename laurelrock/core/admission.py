"""Adaptive limits on the requests that an entry runs at a time.

Each application has a limit with additive increase and multiplicative decrease:
it grows by one per window of good responses and shrinks by a factor on
congestion. A request beyond the limit is refused at once with a retry delay.
"""

import typing

__all__ = ["Admission", "ApplicationLimit", "Outcome"]

#: Concurrent requests allowed to an application at first.
INITIAL_LIMIT = 16.0
#: Smallest limit, in concurrent requests.
MIN_LIMIT = 1.0
#: Factor applied to a limit on congestion.
DECREASE_FACTOR = 0.85
#: Fraction of the deadline above which a response indicates congestion.
LATE_FRACTION = 0.5
#: Weight of a new latency in the exponential moving average.
LATENCY_WEIGHT = 0.1
#: Fraction of a limit that must be in use for the limit to grow.
MIN_UTILIZATION = 0.8
#: Fraction of the total that each priority class leaves free for every class
#: above it.
CLASS_RESERVE_FRACTION = 0.1
#: Shortest and longest retry delay given with a refusal, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0


class Outcome(typing.NamedTuple):
    """Result of an admitted request.

    Attributes:
        elapsed_s: Time from admission to the response, in seconds.
        time_limit_s: Time allowed for the request, in seconds.
        congested: Whether a searcher shed any part of the request.
        complete: Whether the response is complete. A response that is
            incomplete for a reason other than overload leaves the limit
            unchanged.
    """

    elapsed_s: float
    time_limit_s: float
    congested: bool
    complete: bool = True


class ApplicationLimit:
    """Concurrency limit and counters of one application.

    Attributes:
        limit: Number of requests that may be in flight.
        in_flight: Number of requests in flight.
        mean_latency_s: Moving average of the latency, in seconds.
        last_decrease_s: Time of the last decrease of the limit, in seconds.
        refused: Number of requests refused so far.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.mean_latency_s = 0.0
        self.last_decrease_s = 0.0
        self.refused = 0


class Admission:
    """Admission control of one entry.

    Attributes:
        max_in_flight: Maximum number of requests in flight over all
            applications.
        adaptive: Whether each application has its own adaptive limit.
        limits: State of each application, by application name.
    """

    def __init__(self, max_in_flight: int, adaptive: bool) -> None:
        self.max_in_flight = max_in_flight
        self.adaptive = adaptive
        self.limits: dict[str, ApplicationLimit] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests in flight over all applications."""
        return sum(row.in_flight for row in self.limits.values())

    def admit(self, application: str, priority: int, share: float) -> float:
        """Admits or refuses a request.

        Args:
            application: Name of the application that the request is for.
            priority: Priority class of the application; 0 is the highest.
            share: Fraction of the total up to which the application is admitted
                even if its class may use no more of the total.

        Returns:
            0 if the request was admitted, otherwise the retry delay in seconds.
        """
        row = self.limits.setdefault(application, ApplicationLimit())
        open_to_class = self.max_in_flight * max(
            0.0, 1 - CLASS_RESERVE_FRACTION * priority
        )
        within_total = self.in_flight < open_to_class
        within_share = row.in_flight < self.max_in_flight * share
        within_limit = not self.adaptive or row.in_flight < row.limit
        if within_limit and (within_total or within_share):
            row.in_flight += 1
            return 0.0
        row.refused += 1
        return min(max(row.mean_latency_s, MIN_RETRY_S), MAX_RETRY_S)

    def release(self, application: str, outcome: Outcome, now_s: float) -> None:
        """Records the end of an admitted request and adapts the limit."""
        row = self.limits[application]
        was_in_use = row.in_flight >= MIN_UTILIZATION * row.limit
        row.in_flight -= 1
        weight = LATENCY_WEIGHT if row.mean_latency_s else 1.0
        row.mean_latency_s += weight * (outcome.elapsed_s - row.mean_latency_s)
        late = outcome.elapsed_s > LATE_FRACTION * outcome.time_limit_s
        if outcome.congested or (outcome.complete and late):
            if now_s - row.last_decrease_s >= row.mean_latency_s:
                row.limit = max(MIN_LIMIT, row.limit * DECREASE_FACTOR)
                row.last_decrease_s = now_s
        elif outcome.complete and was_in_use:
            row.limit = min(
                float(self.max_in_flight), row.limit + 1 / row.limit
            )
