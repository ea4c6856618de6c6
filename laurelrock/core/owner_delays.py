"""Detects owners that are choked, from the delays of their replies.

An owner accepts or declines a group at once. If its event loop runs late, or
its link is full, the reply takes much longer than those of other owners, and so
would the group's results.
"""

import math
import typing

__all__ = ["OwnerDelays", "create_owner_delays"]

#: A reply is slow if it takes longer than this time, in seconds: several round
#: trips between failure domains, and less than the time limit of a reply.
MIN_SLOW_S = 0.012
#: A reply is slow if it takes longer than the usual one by this factor. If this
#: VM is late itself, all replies are.
SLOW_FACTOR = 4.0
#: Consecutive slow replies of a choked owner; one alone is a short pause.
MIN_SLOW_REPLIES = 2
#: Time after which a slow reply is out of date, in seconds.
REPLY_VALID_S = 1.0
#: Mean time for which a choked owner is asked after others, in seconds.
CHOKED_S = 0.5
#: Weight of a new delay in the usual one.
MEAN_WEIGHT = 0.05


class SlowReplies(typing.NamedTuple):
    """Number of consecutive slow replies, and the time of the last one."""

    number: int
    last_s: float


class OwnerDelays:
    """Delays of the owners' replies, as seen by one VM.

    Attributes:
        usual_s: Moving average of the delays of all owners, in seconds.
        slow: Slow replies, by the owner's name.
        choked_until_s: Times until which owners are choked, by name.
    """

    def __init__(self) -> None:
        self.usual_s = 0.0
        self.slow: dict[str, SlowReplies] = {}
        self.choked_until_s: dict[str, float] = {}

    def record(
        self, owner: str, delay_s: float, now_s: float, draw: float
    ) -> bool:
        """Records a reply; returns whether the owner becomes choked by it.

        Args:
            owner: Name of the owner.
            delay_s: Time from the request to the reply, in seconds.
            now_s: Current time, in seconds.
            draw: Random number in [0, 1). It spreads the times at which VMs ask
                the owner first again.
        """
        limit_s = max(MIN_SLOW_S, SLOW_FACTOR * self.usual_s)
        bounded_s = min(delay_s, limit_s)
        self.usual_s += MEAN_WEIGHT * (bounded_s - self.usual_s)
        if delay_s <= limit_s:
            self.slow.pop(owner, None)
            return False
        last = self.slow.get(owner, SlowReplies(0, -math.inf))
        recent = now_s - last.last_s < REPLY_VALID_S
        number = last.number + 1 if recent else 1
        self.slow[owner] = SlowReplies(number, now_s)
        if number < MIN_SLOW_REPLIES:
            return False
        self.choked_until_s[owner] = now_s + CHOKED_S * (0.5 + draw)
        return True

    def is_choked(self, owner: str, now_s: float) -> bool:
        """Tells whether an owner should be asked after others.

        Answers the load of VMs with little processor time or a full link, which
        the load balancer and the assignment don't know.
        """
        end_s = self.choked_until_s.get(owner)
        if end_s is None:
            return False
        if now_s >= end_s:
            del self.choked_until_s[owner]
            return False
        return True

    def retain(self, names: set[str]) -> None:
        """Drops the state of all owners but the given ones."""
        for name in set(self.slow) - names:
            del self.slow[name]
        for name in set(self.choked_until_s) - names:
            del self.choked_until_s[name]


def create_owner_delays() -> OwnerDelays:
    """Returns the state before any reply."""
    return OwnerDelays()
