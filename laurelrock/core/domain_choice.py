"""Decides whether a part is sent to a searcher in another failure domain.

Traffic between failure domains is slower and billed, and a response within the
objective gains nothing from being earlier. A part therefore stays while its
local searcher is expected to respond within the time left, and leaves when only
a remote one is. If both are full, nobody gains from exchanging work.

VMs decide at the same moment on the same figures. Only the share of parts that
the remote searchers have spare capacity for leaves, drawn at random.
"""

import collections.abc
import typing

from laurelrock.core import replicas

__all__ = [
    "Choice",
    "Inputs",
    "Selection",
    "Side",
    "choose_nearby",
    "choose_searcher",
    "create_side",
    "decide",
    "is_hedge_useful",
    "parts_deciding",
]

#: Time for which VMs may decide on the same figures, in seconds: the age up to
#: which load reports are used.
FIGURES_AGE_S = 0.1
#: Minimum gain of leaving if it doesn't bring the response below the objective
#: or the deadline, or if a local slot is free, as a fraction of the objective.
#: Measured on four deployments: up to 0.2, fewer bytes crossed and callers were
#: served as well; at 0.35, fewer were served.
MIN_GAIN_FRACTION = 0.2
#: Latency added for a searcher in another failure domain where the load isn't
#: weighed, as a fraction of the objective, for the same reason.
REMOTE_PENALTY_FRACTION = MIN_GAIN_FRACTION
#: Margin of the local searcher, in spreads. It is wider than that of a remote
#: one, since the parts that are drawn to stay queue there as well.
LOCAL_MARGIN = 3.0
#: Time after a response of a searcher for which its latency is known, in
#: seconds. It spans several of its pauses' lengths.
RESPONSE_AGE_S = 1.0
#: Least fraction of the parts that counts as more than the local searcher can
#: process. At most twice as many parts leave as the remote ones have spare
#: capacity for, which is the case if all parts find the local searcher full.
MIN_EXCESS_FRACTION = 0.5
#: Fraction of a remote searcher's queue that parts from other failure domains
#: may fill. The rest is for its own failure domain, which would otherwise send
#: its parts away in turn.
QUEUE_FRACTION = 0.75
#: Loss of a caller by the grade of the response, in objectives: in time, after
#: the objective, after the deadline.
GRADE_LOSS = (0.0, 1.0, 2.0)

#: Grades of an expected response, from the best.
IN_TIME, LATE, MISSED = 0, 1, 2


class Side(typing.NamedTuple):
    """What is expected of a searcher.

    Attributes:
        latency_s: Expected latency of the next call, in seconds.
        spread_s: Time by which a call may exceed it, in seconds.
        work_s: Expected latency of a call that doesn't wait, in seconds.
        ahead: Number of calls ahead of the next one.
        slots: Number of calls that the searcher runs at the same time.
        cold: Whether it is cold and takes only a limited rate of requests.
        known: Whether it reported its load or responded lately. Otherwise only
            this VM's own calls are known, and it seems idle to every VM.
    """

    latency_s: float
    spread_s: float
    work_s: float
    ahead: int
    slots: int
    cold: bool = False
    known: bool = True

    @property
    def free_slots(self) -> int:
        """Number of calls that it would start at once."""
        return max(0, self.slots - self.ahead)


class Inputs(typing.NamedTuple):
    """What the choice of a part depends on, besides the searchers.

    Attributes:
        left_s: Time left to the objective, in seconds.
        deadline_left_s: Time left to the deadline, in seconds.
        objective_s: Latency objective of the route, in seconds.
        size_mb: Size of request and response, in MB.
        price_per_mb: Price of traffic between failure domains, in objectives
            per MB.
        deciding: Number of parts that are decided on the same figures by all
            VMs.
        draw: Random number from 0 up to 1. It belongs to the part, so that a
            part that is decided repeatedly doesn't leave more often.
    """

    left_s: float
    deadline_left_s: float
    objective_s: float
    size_mb: float = 0.0
    price_per_mb: float = 0.0
    deciding: float = 1.0
    draw: float = 0.0

    @property
    def price(self) -> float:
        """Price of leaving, in objectives."""
        return self.size_mb * self.price_per_mb


class Choice(typing.NamedTuple):
    """Where a part is sent.

    Attributes:
        remote: Index of the remote searcher; None for the local one.
        reason: Why, for logs.
        share: Share of such parts that leave.
    """

    remote: int | None
    reason: str
    share: float = 0.0


def parts_deciding(own_per_s: float, callers: int, domains: int) -> float:
    """Returns how many parts all VMs decide on the same figures.

    Args:
        own_per_s: Parts for the service that this VM decides per second.
        callers: Number of VMs that call the service.
        domains: Number of failure domains that these VMs are in. Those in the
            remote searcher's own one don't leave for it.
    """
    leaving = callers * (domains - 1) / domains if domains > 1 else callers
    return max(1.0, own_per_s * FIGURES_AGE_S * leaving)


def decide(
    local: Side | None,
    remotes: collections.abc.Sequence[Side],
    inputs: Inputs,
) -> Choice:
    """Decides whether a part stays or leaves.

    Args:
        local: The best local searcher, if there is one.
        remotes: The remote searchers; not empty if there is no local one.
        inputs: The situation of the part.
    """
    if local is None:
        return choose_without_local(remotes, inputs)
    if not remotes:
        return Choice(None, "no remote searcher")
    local = local._replace(spread_s=local.spread_s * LOCAL_MARGIN)
    local_grade = grade(local, inputs)
    if local_grade == IN_TIME and not local.cold:
        return Choice(None, "local in time")
    grades = [grade(row, inputs) for row in remotes]
    spare = [
        spare_calls(local, local_grade, row, row_grade, inputs)
        for row, row_grade in zip(remotes, grades, strict=True)
    ]
    usable = [place for place, count in enumerate(spare) if count]
    if not usable:
        return Choice(None, reason_to_stay(local_grade, remotes, grades))
    best = min(grades[place] for place in usable)
    usable = [place for place in usable if grades[place] == best]
    usable = [
        place
        for place in usable
        if is_worth_price(local, remotes[place], inputs)
    ]
    if not usable:
        return Choice(None, "price")
    leaving = inputs.deciding
    if any(remotes[place].known for place in usable):
        leaving = excess(local, leaving)
    share = min(1.0, sum(spare[place] for place in usable) / leaving)
    remote = pick(remotes, usable, spare, inputs.draw * leaving)
    return Choice(remote, "share" if remote is None else "remote better", share)


def excess(local: Side, deciding: float) -> float:
    """Returns how many of the parts a local searcher cannot process."""
    processed = local.slots * FIGURES_AGE_S / max(local.work_s, 0.0001)
    return max(1.0, deciding - processed, deciding * MIN_EXCESS_FRACTION)


def choose_without_local(
    remotes: collections.abc.Sequence[Side], inputs: Inputs
) -> Choice:
    """Chooses among remote searchers, in proportion to their spare capacity."""
    grades = [grade(row, inputs) for row in remotes]
    best = min(grades)
    usable = [place for place, row in enumerate(grades) if row == best]
    warm = [place for place in usable if not remotes[place].cold]
    usable = warm or usable
    spare = [
        calls_until(row, limit_s(best, inputs)) if best != MISSED else 0
        for row in remotes
    ]
    total = sum(spare[place] for place in usable)
    if not total:
        fastest = min(usable, key=lambda place: remotes[place].latency_s)
        return Choice(fastest, "local gone", 1.0)
    point = inputs.draw * inputs.deciding % total
    return Choice(pick(remotes, usable, spare, point), "local gone", 1.0)


def is_hedge_useful(
    remotes: collections.abc.Iterable[Side], inputs: Inputs
) -> bool:
    """Tells whether a late part may be hedged at remote searchers.

    The late call is taken to miss the objective. A full searcher that would
    miss it as well gets no hedge.
    """
    for row in remotes:
        row_grade = grade(row, inputs)
        if row_grade == IN_TIME and inputs.price < GRADE_LOSS[LATE]:
            return True
        if row.free_slots and inputs.price < MIN_GAIN_FRACTION:
            return True
    return False


def grade(side: Side, inputs: Inputs) -> int:
    """Returns the grade of the response that a searcher would give."""
    expected_s = side.latency_s + side.spread_s
    if expected_s <= inputs.left_s:
        return IN_TIME
    return LATE if expected_s <= inputs.deadline_left_s else MISSED


def limit_s(response_grade: int, inputs: Inputs) -> float:
    """Returns the time left for a response of a grade, in seconds."""
    if response_grade == IN_TIME:
        return inputs.left_s
    return inputs.deadline_left_s


def loss(side: Side, inputs: Inputs) -> float:
    """Returns what a caller loses by waiting, in objectives."""
    response_grade = grade(side, inputs)
    if response_grade == IN_TIME:
        return 0.0
    delay_s = side.latency_s + side.spread_s - inputs.left_s
    return GRADE_LOSS[response_grade] + delay_s / max(inputs.objective_s, 0.001)


def is_worth_price(local: Side, remote: Side, inputs: Inputs) -> bool:
    """Tells whether leaving saves a caller more than it costs."""
    gain = loss(local, inputs) - loss(remote, inputs)
    if local.cold:
        return gain >= inputs.price
    return gain > inputs.price


def spare_calls(
    local: Side,
    local_grade: int,
    remote: Side,
    remote_grade: int,
    inputs: Inputs,
) -> int:
    """Returns how many parts a remote searcher can take from a local one.

    It is 0 if the caller gains nothing.
    """
    if remote.cold:
        # The rate of a cold searcher is for its own failure domain.
        return 0
    gain_s = local.latency_s - remote.latency_s
    gains = gain_s > MIN_GAIN_FRACTION * inputs.objective_s
    if local.cold and remote_grade == IN_TIME:
        return calls_until(remote, inputs.left_s)
    if remote_grade < local_grade and (gains or not local.free_slots):
        if not remote.known:
            return 1
        return calls_until(remote, limit_s(remote_grade, inputs))
    if remote_grade == local_grade and gains:
        return remote.free_slots
    return 0


def calls_until(side: Side, left_s: float) -> int:
    """Returns how many more calls a searcher can answer within a time."""
    room_s = left_s - side.latency_s - side.spread_s
    if room_s < 0:
        return 0
    work_s = max(side.work_s, 0.0001)
    # A free slot takes one call after the other while the figures are used.
    started = side.free_slots * (1 + FIGURES_AGE_S / work_s)
    queued = QUEUE_FRACTION * side.slots * room_s / work_s
    return max(1, int(started + queued))


def pick(
    remotes: collections.abc.Sequence[Side],
    usable: collections.abc.Iterable[int],
    spare: collections.abc.Sequence[int],
    point: float,
) -> int | None:
    """Returns the searcher whose part of the spare capacity holds a point.

    The searchers are ordered by latency. It is None beyond the last one.
    """
    for place in sorted(usable, key=lambda row: remotes[row].latency_s):
        point -= spare[place]
        if point < 0:
            return place
    return None


def reason_to_stay(
    local_grade: int,
    remotes: collections.abc.Sequence[Side],
    grades: collections.abc.Sequence[int],
) -> str:
    """Returns why no remote searcher is worth a call, for logs."""
    if min(grades) < local_grade and all(row.cold for row in remotes):
        return "remote cold"
    if any(row.free_slots for row in remotes):
        return "no gain"
    return "both full"


class Selection(typing.NamedTuple):
    """The searcher that is chosen for a call, and why.

    Attributes:
        replica: The searcher.
        choice: Whether the part leaves the failure domain.
        local: What is expected of the best local searcher, if there is one.
        remote: What is expected of the best remote searcher, if there is one.
    """

    replica: replicas.Replica
    choice: Choice
    local: Side | None
    remote: Side | None


def create_side(
    row: replicas.Replica,
    typical: replicas.LatencyStats,
    has_idle_connection: replicas.HasIdleConnection,
    now_s: float,
) -> Side:
    """Returns what is expected of a searcher."""
    connect_s = 0.0 if has_idle_connection(row) else replicas.CONNECT_PENALTY_S
    # Under load, the quantile contains the waits that `latency_s` counts.
    spread_s = min(typical.late_after_s - typical.mean_s, typical.work_s)
    if row.is_stalled(typical, now_s):
        # How long a searcher stays stalled is a guess.
        spread_s += replicas.STALL_PENALTY_S
    return Side(
        row.expected_latency_s(typical, now_s) + connect_s,
        spread_s,
        typical.work_s * max(1.0, row.slowness),
        row.calls_ahead(now_s),
        row.searcher.slots,
        row.cold is not None,
        bool(row.call_count)
        and now_s - max(row.reported_at_s, row.last_success_s) < RESPONSE_AGE_S,
    )


def choose_nearby(
    candidates: collections.abc.Sequence[replicas.Replica],
    typical: replicas.LatencyStats,
    is_local: replicas.IsLocal,
    has_idle_connection: replicas.HasIdleConnection,
    objective_s: float,
    now_s: float,
) -> replicas.Replica:
    """Returns the searcher with the lowest expected latency.

    A searcher in another failure domain is chosen only if it is faster by a
    fraction of the route's objective, whatever the load. This is the rule where
    the settings don't call for `choose_searcher`.
    """

    def cost(row: replicas.Replica) -> tuple[float, int, int]:
        remote_s = (
            0.0 if is_local(row) else REMOTE_PENALTY_FRACTION * objective_s
        )
        connect_s = (
            0.0 if has_idle_connection(row) else replicas.CONNECT_PENALTY_S
        )
        expected_s = (
            row.expected_latency_s(typical, now_s) + remote_s + connect_s
        )
        return expected_s, len(row.calls_in_flight), row.call_count

    return min(candidates, key=cost)


def choose_searcher(
    candidates: collections.abc.Sequence[replicas.Replica],
    typical: replicas.LatencyStats,
    is_local: replicas.IsLocal,
    has_idle_connection: replicas.HasIdleConnection,
    inputs: Inputs,
    now_s: float,
) -> Selection:
    """Chooses the searcher of a call.

    In each failure domain, the one with the lowest expected latency is the
    best; `decide` chooses between the failure domains.
    """
    sides = {
        row: create_side(row, typical, has_idle_connection, now_s)
        for row in candidates
    }

    def cost(row: replicas.Replica) -> tuple[float, int, int]:
        return sides[row].latency_s, len(row.calls_in_flight), row.call_count

    remotes = sorted([row for row in sides if not is_local(row)], key=cost)
    local = min((row for row in sides if is_local(row)), key=cost, default=None)
    local_side = None if local is None else sides[local]
    remote_sides = [sides[row] for row in remotes]
    choice = decide(local_side, remote_sides, inputs)
    chosen = local if choice.remote is None else remotes[choice.remote]
    assert chosen is not None
    return Selection(
        chosen, choice, local_side, remote_sides[0] if remote_sides else None
    )
