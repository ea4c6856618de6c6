"""Removes departed VMs from the platform's list.

A VM has departed if it is permanently gone. Entries on the platform don't
expire, and replaced VMs never come back. Each entry counts: in the shares of
budgets and connections, and as an owner.
"""

import asyncio
import random

from laurelrock import errors
from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import departures
from laurelrock.core import owners
from laurelrock.gateways import group_messages
from laurelrock.ports import directory

__all__ = ["VmRemoval", "create_vm_removal"]

#: Mean interval between two checks, in seconds.
CHECK_INTERVAL_S = 10.0
#: Time in seconds in which a VM has to reply; it includes opening a connection.
REPLY_TIMEOUT_S = 1.0

_log = logs.get_logger(__name__)


class VmRemoval:
    """State of the checks that this VM makes.

    Attributes:
        source: The platform's list.
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        vms: The listed VMs, by name.
        departures: The results of the checks.
        awaiting_reply: The names of the VMs whose reply is outstanding.
        counts: The number of events by kind, for the metrics.
    """

    def __init__(
        self,
        source: directory.Directory,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
    ) -> None:
        self.source = source
        self.peer_links = peer_links
        self.me = me
        self.port = port
        self.vms: dict[str, owners.Vm] = {}
        self.departures = departures.DepartureDetector()
        self.awaiting_reply: set[str] = set()
        self.counts = {"checked": 0, "silent": 0, "removed": 0}
        self.loop = asyncio.get_running_loop()

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs."""
        self.vms = {vm.name: vm for vm in vms}
        self.departures.retain(self.vms)

    def record_reply(self, name: str) -> None:
        """Records the reply of a VM."""
        self.awaiting_reply.discard(name)
        self.departures.record_reply(name)

    async def run(self) -> None:
        """Runs checks forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            await self.check()

    async def check(self) -> None:
        """Checks the next VM, and removes departed VMs from the list."""
        names = departures.peers_to_check(
            self.me.name, self.vms, self.departures.unresponsive
        )
        self.awaiting_reply = set(names)
        for name in names:
            self.counts["checked"] += 1
            link = self.peer_links.link((self.vms[name].host, self.port))
            link.send(group_messages.Ping(self.me.name))
        await asyncio.sleep(REPLY_TIMEOUT_S)
        for name in self.awaiting_reply & self.vms.keys():
            self.record_missed(name)
        for name in self.departures.departed(len(self.vms), self.loop.time()):
            await self.remove(self.vms[name])

    def record_missed(self, name: str) -> None:
        """Records that a VM didn't reply."""
        if name not in self.departures.unresponsive:
            self.counts["silent"] += 1
            _log.info("vm-unresponsive", peer=name)
        self.departures.record_failure(name, self.loop.time())

    async def remove(self, vm: owners.Vm) -> None:
        """Removes a VM from the list."""
        silence = self.departures.unresponsive[vm.name]
        try:
            removed = await self.source.remove_vm(vm.name, vm.host)
        except errors.StoreError as error:
            _log.info("vm-removal-failed", peer=vm.name, reason=error.message)
            return
        self.departures.record_reply(vm.name)
        self.counts["removed"] += removed
        _log.warning(
            "vm-removed",
            peer=vm.name,
            removed=removed,
            silent_s=round(self.loop.time() - silence.first_failure_s),
            checks=silence.failed_checks,
        )


def create_vm_removal(
    source: directory.Directory,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
) -> VmRemoval:
    """Returns the state before the first check."""
    return VmRemoval(source, peer_links, me, port)
