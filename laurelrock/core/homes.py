"""Decides where a request may run, and which VMs may receive its body.

A route and a workspace may each name the regions whose searchers may run a
request.
"""

import collections.abc

from laurelrock.core import owners

__all__ = ["NOWHERE", "allows", "combine", "forbidden_vms"]

#: Region of a request that may run nowhere; no failure domain is in it.
NOWHERE = ""

Regions = collections.abc.Mapping[str, str]


def combine(one: tuple[str, ...], other: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the regions that two lists allow; an empty list allows all."""
    if not one or not other:
        return one or other
    return tuple(name for name in one if name in other) or (NOWHERE,)


def allows(
    allowed: tuple[str, ...], failure_domain: str, regions: Regions
) -> bool:
    """Tells whether a request may run in a failure domain.

    Args:
        allowed: Regions in which it may run; empty for all.
        failure_domain: Failure domain of a searcher.
        regions: Region of each failure domain. One whose region is unknown is
            in no region.
    """
    return not allowed or regions.get(failure_domain) in allowed


def forbidden_vms(
    allowed: tuple[str, ...],
    vms: collections.abc.Iterable[owners.Vm],
    entry: owners.Vm,
    regions: Regions,
) -> frozenset[str]:
    """Returns the names of the VMs that must not receive a request's body.

    Args:
        allowed: Regions in which the request may run; empty for all.
        vms: All listed VMs.
        entry: VM that received the request. The VMs of its region may receive
            the body, since it has been there already.
        regions: Region of each failure domain.
    """
    if not allowed:
        return frozenset()
    own = regions.get(entry.failure_domain)
    receiving = (*allowed, own) if own else allowed
    return frozenset(
        vm.name
        for vm in vms
        if vm.failure_domain != entry.failure_domain
        and not allows(receiving, vm.failure_domain, regions)
    )
