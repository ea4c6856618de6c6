"""Orders the calls that wait for a connection to one searcher.

Calls of one kind are taken in the order of their objectives, which is that of
their arrival. Between the first calls of several kinds, `choose` decides.
"""

import collections.abc
import typing

__all__ = ["WaitingCall", "choose", "rank"]

#: Time by which each level of priority defers a call, in seconds. It is longer
#: than the objectives of queries, so that a higher priority goes first, and
#: shorter than their deadlines, so that a lower one is still served.
PRIORITY_STEP_S = 0.25
#: Time by which a call that completes a request goes before one that adds
#: nothing, in seconds: about one call at a searcher.
COVERAGE_STEP_S = 0.02
#: Time that a call needs at least, as a fraction of the mean latency. A call
#: that is dropped by mistake costs more than one that is made in vain.
MIN_CALL_FRACTION = 0.8
#: One of so many calls is of the kind that waited longest without a call being
#: taken, so that nothing starves.
AGE_TURNS = 8


class WaitingCall(typing.NamedTuple):
    """A call that waits for a connection.

    Attributes:
        route: Name of the route.
        priority: Priority of the route or workspace; 0 is the highest.
        received_s: Loop time at which the request arrived, in seconds.
        objective_s: Latency objective, in seconds.
        deadline_s: Loop time at which the caller gives up, in seconds.
        coverage: Fraction of the request that the call completes.
        mean_s: Mean latency of such calls, in seconds; 0 if none was measured.
    """

    route: str
    priority: int
    received_s: float
    objective_s: float
    deadline_s: float
    coverage: float
    mean_s: float

    @property
    def kind(self) -> tuple[str, int, float]:
        """What calls have in common that keep the order of their arrival."""
        return self.route, self.priority, self.coverage

    @property
    def latest_start_s(self) -> float:
        """Loop time after which the call can't return before its deadline."""
        return self.deadline_s - self.mean_s * MIN_CALL_FRACTION

    @property
    def due_s(self) -> float:
        """Loop time of the objective, or of the latest start if earlier."""
        return min(self.received_s + self.objective_s, self.latest_start_s)


def rank(row: WaitingCall, now_s: float) -> float:
    """Returns the rank of a call; the lowest goes first.

    It is the time of the objective, or the latest start if the objective can't
    be met any more, moved by the priority and by the coverage that is added.
    """
    in_time = now_s + row.mean_s <= row.received_s + row.objective_s
    return (
        (row.due_s if in_time else row.latest_start_s)
        + row.priority * PRIORITY_STEP_S
        - row.coverage * COVERAGE_STEP_S
    )


def choose(
    heads: collections.abc.Sequence[WaitingCall],
    taken_s: collections.abc.Sequence[float],
    now_s: float,
    turn: int,
) -> int:
    """Returns the index of the call to be taken.

    Answers the load of a burst, or of slow searchers, in which calls of several
    kinds wait for the same connections. Those that still meet their objective
    go before those that only meet their deadline: if late calls came first, one
    overloaded kind of request would make all kinds late.

    Args:
        heads: First call of each kind.
        taken_s: Loop time at which a call of each kind was last taken.
        now_s: Current loop time, in seconds.
        turn: Number of calls that were taken before.
    """
    if turn % AGE_TURNS == AGE_TURNS - 1:
        return min(
            range(len(heads)),
            key=lambda n: max(heads[n].received_s, taken_s[n]),
        )
    return min(range(len(heads)), key=lambda n: rank(heads[n], now_s))
