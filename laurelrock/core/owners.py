"""Owners: which VMs call the searchers of a group of shards.

Where more VMs serve callers than a searcher takes connections, the shards of
a query are cut in groups. In each failure domain one VM owns a group, chosen
by rendezvous hashing weighted by processor, so that a VM that comes or goes
moves only its own share. A service that answers single requests is called by
as many VMs as its searchers' connections allow, chosen the same way. VMs that
disagree on the list cost connections, never a wrong answer.
"""

import collections.abc
import math
import typing

import xxhash

__all__ = [
    "Vm",
    "callers_of",
    "cut",
    "fits",
    "near_callers",
    "ranked",
    "shared_out",
]

#: Shards of one group. A query costs its VM about one message a group, and an
#: owner one call a shard; at 90 shards the two are equal at about 9.
GROUP_SHARDS = 9
#: Connections that a VM needs to a searcher, for a call and its neighbour.
NEEDED_CONNECTIONS = 2
#: Part of a searcher's connections that are planned with.
PLANNED_FRACTION = 0.8
#: Owners of a group in a failure domain that may call at the same time: the
#: first, and the one that stands in for it.
CALLING_OWNERS = 2
#: Scale of the 64-bit hash to (0, 1].
_SCALE = 2.0**64


class Vm(typing.NamedTuple):
    """A VM as it announced itself.

    Attributes:
        name: Of the VM.
        failure_domain: Where it runs.
        host: IPv4 number.
        cores: Processor that it has.
    """

    name: str
    failure_domain: str
    host: str
    cores: float


def fits(connections: int, vms: int) -> bool:
    """Tells whether all VMs may call a searcher that takes connections."""
    return connections * PLANNED_FRACTION >= vms * NEEDED_CONNECTIONS


def callers_of(domains: int) -> int:
    """Returns the VMs that call a searcher where groups have owners."""
    return max(1, domains) * CALLING_OWNERS


def near_callers(connections: int, vms: int, domains: int) -> int:
    """Returns the VMs of a failure domain that make single requests' calls.

    Args:
        connections: That a searcher takes.
        vms: Listed.
        domains: Their failure domains.

    Returns:
        A number, or 0 where all VMs may have a connection of their own.
    """
    planned = connections * PLANNED_FRACTION
    if planned >= vms:
        return 0
    return max(1, int(planned / (max(1, domains) * NEEDED_CONNECTIONS)))


def cut(shards: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Cuts a query's shards in groups of about the same size."""
    count = max(1, round(len(shards) / GROUP_SHARDS))
    bounds = [round(len(shards) * n / count) for n in range(count + 1)]
    return [
        shards[low:high] for low, high in zip(bounds, bounds[1:], strict=False)
    ]


def ranked(
    key: str,
    vms: collections.abc.Iterable[Vm],
    domain: str,
    near_count: int = CALLING_OWNERS,
) -> list[Vm]:
    """Orders VMs by their claim on a group, as seen from a failure domain.

    Args:
        key: Of the group.
        vms: All that are listed.
        domain: Of the VM that asks.
        near_count: VMs of that domain that are returned at most.

    Returns:
        The owner of the domain and its stand-ins, then the owners of the
        other domains.
    """
    seed = _seed(key)
    rows = sorted(vms, key=lambda vm: (-_claim(seed, vm), vm.name))
    near = [vm for vm in rows if vm.failure_domain == domain]
    far: dict[str, Vm] = {}
    for vm in rows:
        if vm.failure_domain != domain:
            far.setdefault(vm.failure_domain, vm)
    return [*near[:near_count], *far.values()]


def shared_out(key: str, rows: list[Vm], me: Vm) -> list[Vm]:
    """Orders the VMs that call a service so that the others share them out.

    Args:
        key: Of the service.
        rows: That call it.
        me: The VM that asks one of them.

    Returns:
        Those of its failure domain in an order of its own, then the others.
    """
    seed = xxhash.xxh3_64_intdigest(me.name.encode(), _seed(key))
    return sorted(
        rows,
        key=lambda vm: (
            vm.failure_domain != me.failure_domain,
            -_claim(seed, vm),
            vm.name,
        ),
    )


def _seed(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _claim(seed: int, vm: Vm) -> float:
    """Returns the weighted rendezvous score."""
    number = xxhash.xxh3_64_intdigest(vm.name.encode(), seed)
    return -vm.cores / math.log((number + 1) / (_SCALE + 2))
