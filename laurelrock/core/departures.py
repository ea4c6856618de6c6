"""Detects VMs that have left for good, so that they can be delisted.

The listed VMs form a hash ring. Each VM checks its successor, and while that
one does not reply, also the next. Every VM is thus checked by its first live
predecessor, with one connection per VM whatever the size of the fleet.
"""

import collections.abc
import typing

import xxhash

__all__ = ["DepartureDetector", "peers_to_check"]

#: Time without a reply after which a VM counts as departed, in seconds. A VM
#: that restarts is back within seconds, and one that was only partitioned from
#: the network lists itself again.
DEPARTED_AFTER_S = 300.0
#: Number of failed checks that is required as well. A VM that was itself paused
#: has made few checks in that time.
MIN_FAILED_CHECKS = 5


class Unresponsive(typing.NamedTuple):
    """Time of a VM's first failed check, and the number of failed checks."""

    first_failure_s: float
    failed_checks: int


class DepartureDetector:
    """Checks made by this VM, and the departures that they show.

    Attributes:
        unresponsive: Checks without a reply, by the name of the VM that did not
            reply.
    """

    def __init__(self) -> None:
        self.unresponsive: dict[str, Unresponsive] = {}

    def record_reply(self, name: str) -> None:
        """Records that a VM replied."""
        self.unresponsive.pop(name, None)

    def record_failure(self, name: str, now_s: float) -> None:
        """Records a check without a reply."""
        since_s, checks = self.unresponsive.get(name, Unresponsive(now_s, 0))
        self.unresponsive[name] = Unresponsive(since_s, checks + 1)

    def retain(self, names: collections.abc.Container[str]) -> None:
        """Drops the VMs that are no longer listed."""
        for name in [row for row in self.unresponsive if row not in names]:
            del self.unresponsive[name]

    def departed(self, vm_count: int, now_s: float) -> list[str]:
        """Returns the names of the VMs that have departed.

        Args:
            vm_count: Number of listed VMs, including this one. If there are
                several others and at least half of them do not reply, this VM
                is assumed to be the partitioned one, and no VM is returned.
            now_s: Current time, in seconds.
        """
        if 2 * len(self.unresponsive) >= vm_count - 1 > 1:
            return []
        return [
            name
            for name, row in self.unresponsive.items()
            if now_s - row.first_failure_s >= DEPARTED_AFTER_S
            and row.failed_checks >= MIN_FAILED_CHECKS
        ]


def peers_to_check(
    own_name: str,
    names: collections.abc.Iterable[str],
    unresponsive: collections.abc.Container[str],
) -> list[str]:
    """Returns the names of the VMs that a VM checks, in ring order.

    Args:
        own_name: Name of the VM that checks.
        names: Names of the listed VMs.
        unresponsive: Names of the VMs that did not reply; the successor of each
            is checked as well.
    """
    ring = sorted({*names, own_name}, key=_ring_key)
    at = ring.index(own_name)
    found = []
    for name in [*ring[at + 1 :], *ring[:at]]:
        found.append(name)
        if name not in unresponsive:
            break
    return found


def _ring_key(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
