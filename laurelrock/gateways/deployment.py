"""Settings of a gateway's process."""

import typing

from laurelrock.core import owners
from laurelrock.core import retry_budget
from laurelrock.core import tenancy
from laurelrock.core import warm_up
from laurelrock.ports import directory

__all__ = ["Deployment", "create_vm", "create_vm_entry", "regions_of"]

Address = tuple[str, int]


class Deployment(typing.NamedTuple):
    """Validated settings of a gateway's process.

    Attributes:
        vm: The name of this VM.
        address: The IPv4 address of this VM.
        failure_domain: The failure domain of this VM.
        region: The region of the failure domain.
        callers: The address on which callers connect.
        readiness: The address on which the balancer checks readiness.
        peers: The address on which other VMs request this VM's state.
        seeds: The `peers` addresses of some other VMs, which may be down.
        peer_links_port: The port of messages between VMs, the same on all VMs.
        cores: The number of processor cores available to the process.
        memory_bytes: The memory in bytes above which the process is killed.
        max_descriptors: The maximum number of descriptors of the process.
        link_bytes_per_s: The bandwidth of this VM's network link, in bytes per
            second.
        store: The address of the platform's store.
        extra_call_policy: The limits of extra calls, over all VMs.
        grace_s: The time in seconds between SIGTERM and SIGKILL.
        regions: The region of each failure domain.
        follows_evacuations: Whether operators may evacuate failure domains; a
            change applies from the next start.
        cap_policy: How far the requests of a workspace may exceed its cap.
        warm_up_policy: How far the requests to a cold searcher may exceed what
            it takes.
        weighs_domains: Whether the gateway decides by load and time when a
            searcher in another failure domain is called; otherwise such a
            searcher costs a constant fraction of the objective.
        crossing_price_per_mb: The price of traffic between failure domains, in
            objectives per MB: the wait, as a fraction of the objective, that a
            caller accepts to save 1 MB.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    peer_links_port: int
    cores: float
    memory_bytes: float
    link_bytes_per_s: float
    store: Address
    extra_call_policy: retry_budget.Policy
    grace_s: float
    regions: dict[str, str] = {}
    follows_evacuations: bool = False
    cap_policy: tenancy.CapPolicy = tenancy.CapPolicy()
    warm_up_policy: warm_up.WarmUpPolicy = warm_up.WarmUpPolicy()
    weighs_domains: bool = True
    crossing_price_per_mb: float = 0.0
    max_descriptors: int = 1024


def regions_of(options: Deployment) -> dict[str, str]:
    """Returns the region of each failure domain, including this VM's own."""
    return {options.failure_domain: options.region, **options.regions}


def create_vm_entry(options: Deployment) -> directory.VmEntry:
    """Returns this VM's entry for the list of VMs."""
    return directory.VmEntry(
        vm=options.vm,
        failure_domain=options.failure_domain,
        address=":".join(map(str, options.peers)),
        cores=options.cores,
    )


def create_vm(row: directory.VmEntry) -> owners.Vm:
    """Returns a VM from its entry in the list."""
    host = row["address"].rpartition(":")[0]
    return owners.Vm(row["vm"], row["failure_domain"], host, row["cores"])
