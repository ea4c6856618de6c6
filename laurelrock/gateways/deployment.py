"""Deployment: what a gateway's process is told at its start."""

import typing

from laurelrock.core import repeats

__all__ = ["Deployment"]

Address = tuple[str, int]


class Deployment(typing.NamedTuple):
    """Checked settings.

    Attributes:
        vm: Name of this VM.
        address: IPv4 number of this VM.
        failure_domain: Where it runs.
        region: Of the failure domain.
        callers: Where callers connect.
        readiness: Where the balancer asks whether callers may come.
        peers: Where other VMs ask what this one knows.
        seeds: The same of some other VMs, which may be down.
        exchange_port: Of messages between VMs, the same on all of them.
        cores: Processor that the process has.
        link_bytes_per_s: Rate of this VM's network link.
        store: The platform's store.
        repeats: Bounds of extra calls, over all VMs.
        grace_s: From SIGTERM until the process is killed.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    callers: Address
    readiness: Address
    peers: Address
    seeds: tuple[Address, ...]
    exchange_port: int
    cores: float
    link_bytes_per_s: float
    store: Address
    repeats: repeats.Rule
    grace_s: float
