"""Decides whether a part is sent to a searcher in another failure domain.

Traffic between failure domains is slower and billed, and a response within the
objective gains nothing from being earlier. A part therefore leaves only for a
searcher that is faster by more than a constant, and only if it is then more
likely to be in time. The probability is continuous in the expected latency, so
that parts begin to leave before the local searcher is late. If both are late,
nobody gains from exchanging work.

VMs decide at the same moment on the same figures. Only the share of parts that
the remote searchers have spare capacity for leaves, drawn at random. A searcher
without recent figures is tried, and rarely once a try found it full.
"""

import collections.abc
import math
import typing

from laurelrock.core import replicas

__all__ = [
    "Choice",
    "Inputs",
    "Selection",
    "Side",
    "callers_deciding",
    "choose_nearby",
    "choose_searcher",
    "create_side",
    "decide",
    "is_hedge_useful",
    "parts_deciding",
]

#: Time for which VMs may decide on the same figures, in seconds: the age up to
#: which load reports are used.
FIGURES_AGE_S = replicas.REPORT_VALIDITY_S
#: Minimum time by which a remote searcher is faster if a part leaves for it, as
#: a fraction of the objective. Measured on four deployments: up to 0.2, fewer
#: bytes crossed and callers were served as well; at 0.35, fewer were served.
MIN_GAIN_FRACTION = 0.2
#: Latency added for a searcher in another failure domain where the load isn't
#: weighed, as a fraction of the objective, for the same reason.
REMOTE_PENALTY_FRACTION = MIN_GAIN_FRACTION
#: Error of an expected latency, as a fraction of the objective: the scale of
#: the logistic probability of being late.
LATENCY_ERROR_FRACTION = 0.25
#: Minimum decrease of the probability of being late if a part leaves. At 0.9
#: of the limit everywhere, 0.12 of the calls were remote and 0.989 in time with
#: 0.1, 0.17 and 0.992 with 0.05.
MIN_PROBABILITY_GAIN = 0.04
#: Time after a response of a searcher for which its latency is known, in
#: seconds. It spans several of its pauses' lengths.
RESPONSE_AGE_S = 1.0
#: Time by which a searcher was late as of its last report if it counts as full
#: without recent figures, in objectives. At 0, VMs didn't learn of remote
#: searchers that were free again: at 0.95 of the limit everywhere 0.88 instead
#: of 0.89 of the parts were in time.
LASTING_OBJECTIVES = 1.5
#: Share of parts that leave for a searcher that this VM hasn't heard of lately.
#: It seems idle to all VMs, and they all try it at once, each with one part.
UNHEARD_SHARE = 0.5
#: Fraction of a remote searcher's queue that parts from other failure domains
#: may fill. The rest is for its own failure domain, which would otherwise send
#: its parts away in turn.
QUEUE_FRACTION = 0.75


class Side(typing.NamedTuple):
    """What is expected of a searcher.

    Attributes:
        latency_s: Expected latency of the next call, in seconds.
        spread_s: Time by which a call may exceed it, in seconds.
        work_s: Expected latency of a call that doesn't wait, in seconds.
        ahead: Number of calls ahead of the next one.
        slots: Number of calls that the searcher runs at the same time.
        cold: Whether it is cold and takes only a limited rate of requests.
        own: Number of this VM's calls in flight.
        full_s: Latency of the next call as of the last load report, however
            old it is, in seconds; 0 if that report showed a free slot.
        age_s: Age of that report, in seconds. If it is above
            `FIGURES_AGE_S`, only this VM's own calls are known, and the
            searcher seems idle to every VM.
        heard: Whether it responded to this VM lately.
    """

    latency_s: float
    spread_s: float
    work_s: float
    ahead: int
    slots: int
    cold: bool = False
    own: int = 0
    full_s: float = 0.0
    age_s: float = FIGURES_AGE_S
    heard: bool = True

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
        callers: Number of VMs that decide on the same figures, with this one.
        draw: Random number from 0 up to 1. It belongs to the part, so that a
            part that is decided repeatedly doesn't leave more often.
    """

    left_s: float
    deadline_left_s: float
    objective_s: float
    size_mb: float = 0.0
    price_per_mb: float = 0.0
    deciding: float = 1.0
    callers: float = 1.0
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


def callers_deciding(callers: int, domains: int) -> float:
    """Returns how many VMs decide on the same figures.

    These are the ones of a failure domain. Those of another one have a local
    searcher of their own; if it is full as well, the remote one soon is, too.

    Args:
        callers: Number of VMs that call the service.
        domains: Number of failure domains that these VMs are in.
    """
    return max(1.0, callers / max(1, domains))


def parts_deciding(own_per_s: float, callers: int, domains: int) -> float:
    """Returns how many parts all VMs decide on the same figures.

    Args:
        own_per_s: Parts for the service that this VM decides per second.
        callers: Number of VMs that call the service.
        domains: Number of failure domains that these VMs are in.
    """
    per_s = own_per_s * callers_deciding(callers, domains)
    return max(1.0, per_s * FIGURES_AGE_S)


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
    usable = [
        place
        for place, row in enumerate(remotes)
        if is_gain(local, row, inputs)
    ]
    if not usable:
        return Choice(None, reason_to_stay(local, remotes, inputs))
    usable = [
        place
        for place in usable
        if is_worth_price(local, remotes[place], inputs)
    ]
    if not usable:
        return Choice(None, "price")
    leaving = parts_leaving(local, inputs)
    shares = [share_of(row, leaving, inputs) for row in remotes]
    share = min(1.0, sum(shares[place] for place in usable))
    remote = pick(remotes, usable, shares, inputs.draw)
    return Choice(remote, "share" if remote is None else "remote better", share)


def is_gain(local: Side, remote: Side, inputs: Inputs) -> bool:
    """Tells whether a caller is served better by a remote searcher."""
    if remote.cold:
        # The rate of a cold searcher is for its own failure domain.
        return False
    if local.cold and remote.latency_s < inputs.left_s:
        return True
    gain_s = local.latency_s - remote.latency_s
    if gain_s <= MIN_GAIN_FRACTION * inputs.objective_s:
        return False
    if inputs.left_s <= 0 and remote.free_slots:
        return True
    gain = misses(local, inputs) - misses(remote, inputs)
    return gain > MIN_PROBABILITY_GAIN


def choose_without_local(
    remotes: collections.abc.Sequence[Side], inputs: Inputs
) -> Choice:
    """Chooses among remote searchers, in proportion to their spare capacity."""
    warm = [place for place, row in enumerate(remotes) if not row.cold]
    usable = warm or list(range(len(remotes)))
    spare = [float(calls_until(row, inputs.left_s)) for row in remotes]
    if not sum(spare[place] for place in usable):
        spare = [
            float(calls_until(row, inputs.deadline_left_s)) for row in remotes
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
        gain = 1.0 - late_probability(row, inputs)
        if row.latency_s < inputs.left_s and gain > inputs.price:
            return True
        if row.free_slots and inputs.price < MIN_GAIN_FRACTION:
            return True
    return False


def late_probability(side: Side, inputs: Inputs) -> float:
    """Returns the probability that a response misses the objective."""
    return exceeds_probability(side, inputs.left_s, inputs)


def misses(side: Side, inputs: Inputs) -> float:
    """Returns how many of objective and deadline a response may miss."""
    missed = exceeds_probability(side, inputs.deadline_left_s, inputs)
    return late_probability(side, inputs) + missed


def exceeds_probability(side: Side, limit_s: float, inputs: Inputs) -> float:
    """Returns the probability that a call takes longer than a time."""
    error_s = LATENCY_ERROR_FRACTION * inputs.objective_s
    error_s = max(error_s, side.spread_s, 0.001)
    return 0.5 + 0.5 * math.tanh((side.latency_s - limit_s) / (2 * error_s))


def loss(side: Side, inputs: Inputs) -> float:
    """Returns what a caller is expected to lose by waiting, in objectives.

    A response after the objective loses one objective and its delay, one after
    the deadline one more.
    """
    delay_s = max(0.0, side.latency_s - inputs.left_s)
    return misses(side, inputs) + delay_s / max(inputs.objective_s, 0.001)


def is_worth_price(local: Side, remote: Side, inputs: Inputs) -> bool:
    """Tells whether leaving saves a caller more than it costs."""
    gain = loss(local, inputs) - loss(remote, inputs)
    if local.cold:
        return gain >= inputs.price
    return gain > inputs.price


def parts_leaving(local: Side, inputs: Inputs) -> float:
    """Returns how many parts of all VMs are expected to leave.

    The probability is squared, since VMs differ in what they know. Without the
    square, 0.31 instead of 0.35 were in time with 15 parts a step (60 VMs).
    """
    if local.cold:
        return inputs.deciding
    return inputs.deciding * late_probability(local, inputs) ** 2


def share_of(remote: Side, leaving: float, inputs: Inputs) -> float:
    """Returns the share of parts that a remote searcher can take.

    Args:
        remote: The remote searcher.
        leaving: Number of parts of all VMs that leave while figures are used.
        inputs: The situation of the part.
    """
    if remote.age_s <= FIGURES_AGE_S:
        # A recent report already contains most of the parts that left. Without
        # the square, 0.28 instead of 0.35 were in time under the same load.
        leaving *= (remote.age_s / FIGURES_AGE_S) ** 2
        return max(1, calls_until(remote, inputs.left_s)) / max(1.0, leaving)
    if remote.own and not remote.heard:
        # The result of the last try is still open.
        return 0.0
    # A VM's first try tells it whether to send more.
    tries = max(1.0, min(leaving, inputs.callers))
    if is_still_full(remote, inputs):
        # All VMs together try once in the time that the queue took.
        return 0.0 if remote.own else FIGURES_AGE_S / remote.full_s / tries
    if not remote.heard:
        return max(UNHEARD_SHARE, 1 / inputs.callers)
    work_s = max(remote.work_s, 0.0001)
    return remote.free_slots * (1 + FIGURES_AGE_S / work_s) / tries


def is_still_full(remote: Side, inputs: Inputs) -> bool:
    """Tells whether a searcher without recent figures counts as full.

    This is the case if its queue was far beyond the objective as of its last
    report. The longer it was, the longer it is taken to last.
    """
    lasting_s = LASTING_OBJECTIVES * inputs.objective_s
    if remote.full_s <= inputs.left_s + lasting_s:
        return False
    objective_s = max(inputs.objective_s, 0.001)
    return remote.age_s < remote.full_s**2 / objective_s


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
    spare: collections.abc.Sequence[float],
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
    local: Side,
    remotes: collections.abc.Sequence[Side],
    inputs: Inputs,
) -> str:
    """Returns why no remote searcher is worth a call, for logs."""
    if local.latency_s + local.spread_s <= inputs.left_s:
        return "local in time"
    if all(row.cold for row in remotes):
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
    work_s, slots = typical.work_s * max(1.0, row.slowness), row.searcher.slots
    return Side(
        row.expected_latency_s(typical, now_s) + connect_s,
        spread_s,
        work_s,
        row.calls_ahead(now_s),
        slots,
        row.cold is not None,
        len(row.calls_in_flight),
        work_s * (row.reported_calls + 1) / slots
        if row.reported_calls >= slots
        else 0.0,
        now_s - (row.reported_at_s or -math.inf),
        row.call_count > len(row.calls_in_flight)
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
