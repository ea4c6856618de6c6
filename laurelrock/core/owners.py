"""Chooses which VMs call the searchers of a service or a group of shards.

If the VMs that serve callers need more connections than a searcher accepts, the
shards of a query are split into groups. In each failure domain one VM owns a
group. It is chosen by rendezvous hashing weighted by CPU cores, so that a VM
that joins or leaves moves only its own share. A service that answers single
requests is called by as many VMs as the connections of its searchers allow,
chosen the same way. VMs with different views of the VM list use more
connections, but never give a wrong response.
"""

import collections
import collections.abc
import math
import typing

import xxhash

__all__ = [
    "Vm",
    "all_callers",
    "all_vms_can_call",
    "local_caller_count",
    "max_callers_per_searcher",
    "rank",
    "rank_callers",
    "rank_owners",
    "split_into_groups",
]

#: Target number of shards in a group. A query costs its VM about one message
#: per group, and an owner one call per shard; at 90 shards the two costs are
#: equal with about 9 shards per group.
GROUP_SHARDS = 9
#: Connections that a VM needs to a searcher: one for a call and one for a
#: concurrent call.
CONNECTIONS_PER_CALLER = 2
#: Fraction of a searcher's connections that is assigned to VMs.
PLANNED_CONNECTION_FRACTION = 0.8
#: Number of VMs in a failure domain that may call the searchers of a group at
#: the same time: the owner and its stand-by.
CALLERS_PER_DOMAIN = 2
#: Number of values of the 64-bit hash, used to scale a hash to (0, 1].
_HASH_RANGE = 2.0**64


class Vm(typing.NamedTuple):
    """A listed VM, as announced by itself.

    Attributes:
        name: Unique name of the VM.
        failure_domain: Failure domain in which the VM runs.
        host: IPv4 address of the VM.
        cores: CPU cores available to the VM.
    """

    name: str
    failure_domain: str
    host: str
    cores: float


def all_vms_can_call(connections: int, vms: int) -> bool:
    """Tells whether a searcher accepts enough connections for all VMs."""
    return (
        connections * PLANNED_CONNECTION_FRACTION
        >= vms * CONNECTIONS_PER_CALLER
    )


def max_callers_per_searcher(domains: int) -> int:
    """Returns the number of VMs that call a searcher of an owned group."""
    return max(1, domains) * CALLERS_PER_DOMAIN


def local_caller_count(connections: int, vms: int, domains: int) -> int:
    """Returns the number of VMs per failure domain that call a searcher.

    This applies to services that answer single requests.

    Args:
        connections: Number of connections that a searcher accepts.
        vms: Number of listed VMs.
        domains: Number of failure domains that have listed VMs.

    Returns:
        The number of VMs, or 0 if every VM may have its own connection.
    """
    planned = connections * PLANNED_CONNECTION_FRACTION
    if planned >= vms:
        return 0
    return max(1, int(planned / (max(1, domains) * CONNECTIONS_PER_CALLER)))


def split_into_groups(shards: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Splits the shards of a query into groups of about equal size."""
    count = max(1, round(len(shards) / GROUP_SHARDS))
    bounds = [round(len(shards) * n / count) for n in range(count + 1)]
    return [
        shards[low:high] for low, high in zip(bounds, bounds[1:], strict=False)
    ]


def rank(key: str, vms: collections.abc.Iterable[Vm]) -> list[Vm]:
    """Ranks VMs for a key, the same way on all VMs."""
    seed = _key_hash(key)
    return sorted(vms, key=lambda vm: (-_rendezvous_score(seed, vm), vm.name))


def all_callers(
    key: str, vms: collections.abc.Iterable[Vm], local_count: int
) -> list[Vm]:
    """Returns the top VMs of each failure domain for a key."""
    counts: collections.Counter[str] = collections.Counter()
    rows = []
    for vm in rank(key, vms):
        counts[vm.failure_domain] += 1
        if counts[vm.failure_domain] <= local_count:
            rows.append(vm)
    return rows


def rank_owners(
    key: str,
    vms: collections.abc.Iterable[Vm],
    domain: str,
    local_count: int = CALLERS_PER_DOMAIN,
) -> list[Vm]:
    """Ranks the VMs that may own a group, as seen from a failure domain.

    Args:
        key: Key of the group.
        vms: All listed VMs.
        domain: Failure domain of the VM that asks.
        local_count: Maximum number of VMs returned from that failure domain.

    Returns:
        The owner in the failure domain and its stand-bys, followed by the owner
        in each other failure domain.
    """
    rows = rank(key, vms)
    local = [vm for vm in rows if vm.failure_domain == domain]
    remote: dict[str, Vm] = {}
    for vm in rows:
        if vm.failure_domain != domain:
            remote.setdefault(vm.failure_domain, vm)
    return [*local[:local_count], *remote.values()]


def rank_callers(key: str, callers: list[Vm], requester: Vm) -> list[Vm]:
    """Ranks the VMs that call a service, to balance the requests sent to them.

    Args:
        key: Key of the service.
        callers: VMs that call the service.
        requester: VM that sends a request to one of them.

    Returns:
        The callers in the requester's failure domain, in an order specific to
        the requester, followed by the other callers.
    """
    seed = xxhash.xxh3_64_intdigest(requester.name.encode(), _key_hash(key))
    return sorted(
        callers,
        key=lambda vm: (
            vm.failure_domain != requester.failure_domain,
            -_rendezvous_score(seed, vm),
            vm.name,
        ),
    )


def _key_hash(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())


def _rendezvous_score(seed: int, vm: Vm) -> float:
    """Returns the weighted rendezvous score of a VM."""
    number = xxhash.xxh3_64_intdigest(vm.name.encode(), seed)
    return -vm.cores / math.log((number + 1) / (_HASH_RANGE + 2))
