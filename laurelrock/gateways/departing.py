"""Departing: takes VMs that are gone for good from the platform's list.

Nothing on the platform expires by itself, and replaced VMs never come back.
Each row counts: in the parts of budgets and connections, and as an owner.
"""

import asyncio
import random

from laurelrock import errors
from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import departures
from laurelrock.core import owners
from laurelrock.gateways import questions
from laurelrock.ports import directory

__all__ = ["VmRemoval", "create_vm_removal"]

#: Mean time between two checks, in seconds.
CHECK_INTERVAL_S = 10.0
#: Time for a reply, in seconds: a connection has to open first.
REPLY_S = 1.0

_log = logs.get_logger(__name__)


class VmRemoval:
    """State of this VM's checks.

    Attributes:
        source: The platform's list.
        exchange: Messages between VMs.
        me: This VM.
        port: Of all VMs' exchanges.
        vms: Listed, by name.
        found: What the checks found.
        waiting: VMs whose reply is waited for.
        counts: Events by kind, for the metrics.
    """

    def __init__(
        self,
        source: directory.Directory,
        exchange: frames.Exchange,
        me: owners.Vm,
        port: int,
    ) -> None:
        self.source = source
        self.exchange = exchange
        self.me = me
        self.port = port
        self.vms: dict[str, owners.Vm] = {}
        self.found = departures.Departures()
        self.waiting: set[str] = set()
        self.counts = {"checked": 0, "silent": 0, "removed": 0}
        self.loop = asyncio.get_running_loop()

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Takes the list of VMs."""
        self.vms = {vm.name: vm for vm in vms}
        self.found.keep(self.vms)

    def note_reply(self, name: str) -> None:
        """Takes a VM's reply."""
        self.waiting.discard(name)
        self.found.heard(name)

    async def run(self) -> None:
        """Checks for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            await self.check()

    async def check(self) -> None:
        """Checks the next VM, and takes those that are gone from the list."""
        names = departures.checked(self.me.name, self.vms, self.found.silent)
        self.waiting = set(names)
        for name in names:
            self.counts["checked"] += 1
            link = self.exchange.link((self.vms[name].host, self.port))
            link.send(questions.Ping(self.me.name))
        await asyncio.sleep(REPLY_S)
        for name in self.waiting & self.vms.keys():
            self.note_missed(name)
        for name in self.found.gone(len(self.vms), self.loop.time()):
            await self.remove(self.vms[name])

    def note_missed(self, name: str) -> None:
        """Notes a VM that didn't reply."""
        if name not in self.found.silent:
            self.counts["silent"] += 1
            _log.info("vm-silent", peer=name)
        self.found.missed(name, self.loop.time())

    async def remove(self, vm: owners.Vm) -> None:
        """Takes a VM from the list."""
        silence = self.found.silent[vm.name]
        try:
            removed = await self.source.withdraw(vm.name, vm.host)
        except errors.StoreError as error:
            _log.info("vm-not-removed", peer=vm.name, reason=error.message)
            return
        self.found.heard(vm.name)
        self.counts["removed"] += removed
        _log.warning(
            "vm-gone",
            peer=vm.name,
            removed=removed,
            silent_s=round(self.loop.time() - silence.since_s),
            checks=silence.checks,
        )


def create_vm_removal(
    source: directory.Directory,
    exchange: frames.Exchange,
    me: owners.Vm,
    port: int,
) -> VmRemoval:
    """Returns the state before any check."""
    return VmRemoval(source, exchange, me, port)
