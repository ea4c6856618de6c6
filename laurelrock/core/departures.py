"""Departures: which listed VMs are gone for good.

Each VM checks the next one on a ring, and the one behind it while that is
silent. So every VM is checked by the first live one before it, with one
connection each, whatever the size of the fleet.
"""

import collections.abc
import typing

import xxhash

__all__ = ["Departures", "checked"]

#: Time for which a VM is silent before it is taken as gone, in seconds. One
#: that starts anew is back within seconds; one that is only cut off lists
#: itself again.
GONE_S = 300.0
#: Checks without a reply that it takes besides; one VM that was paused itself
#: has made few.
LEAST_CHECKS = 5


class Silence(typing.NamedTuple):
    """Since when a VM is silent, and checks since."""

    since_s: float
    checks: int


class Departures:
    """What this VM's checks found.

    Attributes:
        silent: VMs without a reply, by name.
    """

    def __init__(self) -> None:
        self.silent: dict[str, Silence] = {}

    def heard(self, name: str) -> None:
        """Notes a reply."""
        self.silent.pop(name, None)

    def missed(self, name: str, now_s: float) -> None:
        """Notes a check without a reply."""
        since_s, checks = self.silent.get(name, Silence(now_s, 0))
        self.silent[name] = Silence(since_s, checks + 1)

    def keep(self, names: collections.abc.Container[str]) -> None:
        """Forgets VMs that are not listed any more."""
        for name in [row for row in self.silent if row not in names]:
            del self.silent[name]

    def gone(self, listed: int, now_s: float) -> list[str]:
        """Returns the VMs that are gone for good.

        Args:
            listed: VMs, this one included. Where half of the others or more
                are silent it is this one that is cut off.
            now_s: Present time.
        """
        if 2 * len(self.silent) >= listed - 1 > 1:
            return []
        return [
            name
            for name, row in self.silent.items()
            if now_s - row.since_s >= GONE_S and row.checks >= LEAST_CHECKS
        ]


def checked(
    me: str,
    names: collections.abc.Iterable[str],
    silent: collections.abc.Container[str],
) -> list[str]:
    """Returns the VMs that one checks, the next on the ring first.

    Args:
        me: Name of the VM that checks.
        names: Listed.
        silent: Those that did not reply; the one behind them is checked too.
    """
    ring = sorted({*names, me}, key=_place)
    at = ring.index(me)
    found = []
    for name in [*ring[at + 1 :], *ring[:at]]:
        found.append(name)
        if name not in silent:
            break
    return found


def _place(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
