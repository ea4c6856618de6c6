"""Divides a rate that applies to all VMs together.

Each VM has a token bucket with a share of the rate. Without redistribution
these shares are equal. A VM keeps a fixed fraction of its equal share and may
offer the rest to a keeper for a limited time. The keeper grants what it was
offered to the VMs that need it, for a shorter time than the offers last. The
sum of the shares never exceeds the whole, whatever messages are lost, delayed
or duplicated, and whichever VMs start again:

- A grant is used from the time at which its report was sent, and the keeper
  counts it from the later time of its reply.
- An offer binds from the time at which its report was sent. The report echoes
  a time stamp of the keeper, from which the keeper counts the offer.
- A keeper counts only offers that echo a stamp of its own start.
- A VM offers to one keeper at a time, and to another one only after all of its
  offers to the first have ended.
- A VM that has just started may have offered before, so it uses only the
  fraction that it never offers until such an offer has ended.

All times are durations on monotonic clocks, so VMs need not agree on the time;
`CLOCK_DRIFT` bounds how much faster one may run than another.
"""

import collections.abc
import math
import typing

__all__ = [
    "KEPT_FRACTION",
    "Grants",
    "Member",
    "RecentPeak",
    "Share",
    "TokenBucket",
    "create_grants",
    "create_member",
    "divide",
]

#: Fraction of an equal share that a VM keeps whatever its demand, so that it
#: can serve its first callers before the keeper knows of them.
KEPT_FRACTION = 0.25
#: Demand in requests per second of a VM without any; it divides a limit that
#: nobody uses.
MIN_DEMAND_PER_S = 0.1
#: Time in seconds for which an offer binds, and for which a grant may be used.
#: Reports are sent once a second and echo a time stamp that is a second old; an
#: offer has to count until the next report even so.
OFFER_S, GRANT_S = 5.0, 1.75
#: Age in seconds of the keeper's last reply up to which an offer is useful: the
#: keeper counts it from its time stamp, and it has to outlast a grant.
MAX_STAMP_AGE_S = 2.0
#: Time in seconds for which the share from a keeper of the previous version
#: counts. Other VMs of that version use theirs for 2.5 s, and report once a
#: second.
OLDER_SHARE_S = 3.5
#: Relative difference in speed of two VMs' clocks that is allowed for.
CLOCK_DRIFT = 0.05
#: Time in seconds for which the largest number of callers counts. A VM that is
#: removed from the list may be cut off, and use the old number for as long.
PEAK_S = 900.0


class Share(typing.NamedTuple):
    """A VM's share of a rate.

    Attributes:
        fraction: Fraction of the requests that the VM may send.
        turn: Position among the VMs without a share, from 1; 0 with a share.
        until_s: Time at which the share ends, in seconds.
        after: Fraction that applies from then on.
        equal: Fraction without redistribution.
    """

    fraction: float
    turn: int = 0
    until_s: float = math.inf
    after: float = 0.0
    equal: float = 0.0


class TokenBucket:
    """This VM's requests within a rate that applies to all VMs together.

    Attributes:
        share: This VM's share of the rate.
        tokens: Requests that this VM may send at `updated_s`.
        updated_s: Time at which `tokens` was computed, in seconds.
    """

    def __init__(self, share: Share, now_s: float) -> None:
        self.share = share
        self.tokens = 0.0
        self.updated_s = now_s

    @property
    def total_per_s(self) -> float:
        """Requests per second that all VMs together may send."""
        raise NotImplementedError

    @property
    def burst(self) -> float:
        """Maximum number of requests that are saved up."""
        raise NotImplementedError

    @property
    def room(self) -> float:
        """Maximum number of requests that may be saved up at present."""
        return self.burst

    @property
    def own_per_s(self) -> float:
        """Requests per second that this VM may send."""
        return self.total_per_s * self.share.fraction

    def set_share(self, share: Share, now_s: float) -> None:
        """Sets this VM's share."""
        self._refill(now_s)
        self.share = share
        self.tokens = min(self.tokens, self.room)

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent, in seconds.

        It is 0 if one may be sent now, and infinite without a share.
        """
        self._refill(now_s)
        if self.tokens >= 1.0:
            return 0.0
        if not self.own_per_s or self.burst < 1.0:
            return math.inf
        return (1.0 - self.tokens) / self.own_per_s

    def is_plentiful(self, now_s: float) -> bool:
        """Tells whether a call that isn't needed may be made."""
        self._refill(now_s)
        return self.tokens >= 1.0 + self.burst / 2

    def take(self, now_s: float) -> None:
        """Counts a request."""
        self._refill(now_s)
        self.tokens -= 1.0

    def give_back(self) -> None:
        """Returns a request that was not sent."""
        self.tokens = min(self.room, self.tokens + 1.0)

    def _refill(self, now_s: float) -> None:
        share, begin_s = self.share, self.updated_s
        shared_s = max(0.0, min(now_s, share.until_s) - begin_s)
        after_s = max(0.0, now_s - max(begin_s, share.until_s))
        gained = self.total_per_s * (
            shared_s * share.fraction + after_s * share.after
        )
        # Rounding up keeps a caller that returns after `wait_s` from being a
        # fraction of a token short.
        self.tokens = min(self.room, self.tokens + gained + 1e-9)
        self.updated_s = max(begin_s, now_s)


class Grant(typing.NamedTuple):
    """A fraction of a rate, and the time at which it ends, in seconds."""

    fraction: float
    until_s: float


class Member:
    """What this VM offered to a keeper and was granted.

    Attributes:
        started_s: Time of the VM's start, in seconds.
        keeper: Start id of the keeper that replied last.
        stamp_s: The time stamp of that reply, by the keeper's clock.
        replied_s: Time at which the report of that reply was sent, in seconds.
        offered_to: Start id of the keeper that got the last offer.
        offered_s: Time of the last offer, in seconds.
        grants: The grants by service.
        older_shares: What keepers of the previous version gave this VM, by
            service.
    """

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.keeper = ""
        self.stamp_s = 0.0
        self.replied_s = -math.inf
        self.offered_to = ""
        self.offered_s = -math.inf
        self.grants: dict[str, Grant] = {}
        self.older_shares: dict[str, Grant] = {}

    def can_offer(self, now_s: float) -> bool:
        """Tells whether an offer to the keeper that replied last is safe."""
        if not self.keeper or now_s - self.replied_s > MAX_STAMP_AGE_S:
            return False
        return self.offered_to == self.keeper or not self._is_bound(now_s)

    def begin_offer(self, now_s: float) -> bool:
        """Begins an offer to the keeper that replied last, if that is safe.

        The caller sends it without waiting in between.
        """
        if not self.can_offer(now_s):
            return False
        self.offered_to, self.offered_s = self.keeper, now_s
        return True

    def _is_bound(self, now_s: float, started_s: float = -math.inf) -> bool:
        """Tells whether an offer of this VM may still be in force."""
        return now_s - max(self.offered_s, started_s) <= OFFER_S

    def record_reply(
        self,
        keeper: str,
        stamp_s: float,
        sent_s: float,
        extras: collections.abc.Iterable[tuple[str, float]],
        now_s: float,
    ) -> None:
        """Records a keeper's reply.

        Args:
            keeper: Start id of the keeper.
            stamp_s: Time of the reply by the keeper's clock.
            sent_s: Time at which this VM sent the report.
            extras: The services and the fractions that were granted.
            now_s: Current time, in seconds.
        """
        if not self.started_s <= sent_s <= now_s:
            return
        if sent_s >= self.replied_s:
            self.keeper, self.stamp_s, self.replied_s = keeper, stamp_s, sent_s
        for service, fraction in extras:
            if 0.0 <= fraction <= 1.0:
                self.grants[service] = Grant(fraction, sent_s + GRANT_S)

    def record_older_reply(
        self,
        shares: collections.abc.Iterable[tuple[str, float]],
        now_s: float,
    ) -> None:
        """Records the reply of a keeper of the previous version.

        It divides the whole rate by demand, and VMs of that version use their
        shares at once.

        Args:
            shares: The services and this VM's shares of their rates.
            now_s: Current time, in seconds.
        """
        for service, fraction in shares:
            if 0.0 <= fraction <= 1.0:
                until_s = now_s + OLDER_SHARE_S
                self.older_shares[service] = Grant(fraction, until_s)

    def forget_keeper(self) -> None:
        """Offers nothing more until a keeper has replied."""
        self.keeper = ""

    def share(
        self, service: str, equal: float, strict: bool, now_s: float
    ) -> Share:
        """Returns this VM's share of a service's rates.

        Args:
            service: The service.
            equal: The share without redistribution.
            strict: Whether to count offers that an earlier start of this VM may
                have made.
            now_s: Current time, in seconds.
        """
        share = self._present_share(service, equal, strict, now_s)
        older = self.older_shares.get(service)
        if older is None:
            return share
        if now_s >= older.until_s:
            del self.older_shares[service]
            return share
        return share._replace(
            fraction=min(share.fraction, older.fraction),
            after=min(share.after, older.fraction),
        )

    def _present_share(
        self, service: str, equal: float, strict: bool, now_s: float
    ) -> Share:
        """Returns the share among VMs of this version; see `share`."""
        started_s = self.started_s if strict else -math.inf
        if not self._is_bound(now_s, started_s):
            return Share(equal, equal=equal)
        kept = equal * KEPT_FRACTION
        grant = self.grants.get(service)
        if grant is None or now_s >= grant.until_s:
            return Share(kept, equal=equal)
        return Share(
            kept + grant.fraction,
            until_s=grant.until_s,
            after=kept,
            equal=equal,
        )


class Grants:
    """A keeper's record of the offers and grants of one service.

    Attributes:
        offers: What each VM offered, and until when it is bound at least.
        granted: What each VM was granted and may still use.
    """

    def __init__(self) -> None:
        self.offers: dict[str, Grant] = {}
        self.granted: dict[str, list[Grant]] = {}

    def record_offer(self, vm: str, fraction: float, stamp_s: float) -> None:
        """Records an offer that echoes a time stamp of this keeper."""
        if 0.0 <= fraction <= 1.0:
            until_s = stamp_s + OFFER_S * (1 - CLOCK_DRIFT)
            self.offers[vm] = Grant(fraction, until_s)

    def grant(self, vm: str, wanted: float, now_s: float) -> float:
        """Grants a VM a fraction of what was offered and isn't in use."""
        until_s = now_s + GRANT_S * (1 + CLOCK_DRIFT)
        pool = math.fsum(
            row.fraction
            for row in self.offers.values()
            if row.until_s >= until_s
        )
        self.drop_ended(now_s)
        others = math.fsum(
            max(row.fraction for row in rows)
            for name, rows in self.granted.items()
            if name != vm
        )
        # A larger grant that the VM may still use is part of what it gets.
        fraction = max(0.0, min(wanted, pool - others))
        if fraction:
            self.granted.setdefault(vm, []).append(Grant(fraction, until_s))
        return fraction

    def drop_ended(self, now_s: float) -> None:
        """Drops the grants and offers that have ended."""
        self.offers = {
            name: row
            for name, row in self.offers.items()
            if row.until_s > now_s
        }
        self.granted = {
            name: live
            for name, rows in self.granted.items()
            if (live := [row for row in rows if row.until_s > now_s])
        }


class RecentPeak:
    """The largest number of callers of late.

    Attributes:
        rows: Numbers, decreasing, with the times at which they were last seen,
            in seconds.
    """

    def __init__(self) -> None:
        self.rows: list[tuple[int, float]] = []

    def record(self, count: int, now_s: float) -> int:
        """Records a number and returns the largest one of late."""
        while self.rows and self.rows[-1][0] <= count:
            self.rows.pop()
        self.rows.append((count, now_s))
        while now_s - self.rows[0][1] > PEAK_S:
            self.rows.pop(0)
        return self.rows[0][0]


def divide(
    demands: collections.abc.Mapping[str, float], callers: int
) -> dict[str, float]:
    """Divides the limits of a service's searchers by demand.

    Args:
        demands: Requests per second that callers want of the service, by the
            name of the VM that reported them.
        callers: Number of VMs that may call the searchers; those that didn't
            report keep their equal shares.

    Returns:
        The share of each VM that reported.
    """
    equal = 1.0 / max(1, callers, len(demands))
    bounded = {
        vm: max(per_s, MIN_DEMAND_PER_S) for vm, per_s in demands.items()
    }
    total = sum(bounded.values())
    pool = equal * len(demands) * (1.0 - KEPT_FRACTION)
    return {
        vm: equal * KEPT_FRACTION + pool * per_s / total
        for vm, per_s in bounded.items()
    }


def create_member(started_s: float) -> Member:
    """Returns the state of a VM that has just started."""
    return Member(started_s)


def create_grants() -> Grants:
    """Returns the record of a keeper that has just started."""
    return Grants()
