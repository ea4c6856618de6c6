"""Chooses the VMs that are asked to run a group of shards or a single request.

VMs that don't respond are skipped and pinged until they reply. VMs that have
lost their searchers say so when they decline, and are skipped for a short time.
"""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.gateways import assignment
from laurelrock.gateways import group_messages
from laurelrock.gateways import remote_groups

__all__ = ["OwnerSelection", "create_owner_selection"]

#: Time in seconds in which a pinged owner has to reply. No caller waits for it.
PONG_TIMEOUT_S = 0.3
#: Time in seconds for which a VM that has lost its searchers is not asked. It
#: costs a query one more message to ask a VM that hasn't got them back yet.
LOST_VALID_S = 1.0
#: Number of VMs that may stand in for owners that have lost their searchers.
MAX_STAND_INS = 8

_log = logs.get_logger(__name__)

Send = collections.abc.Callable[[owners.Vm, typing.Any], None]


class OwnerSelection:
    """State of the VMs that aren't asked at present.

    Attributes:
        assignment: The assignment of services to VMs.
        known: The searchers.
        me: This VM.
        send: Sends a message to a VM.
        unresponsive: The owners that are skipped until they reply, by name.
        lost: The VMs that have lost their searchers, with the loop time until
            which they aren't asked, by name and service; the service is empty
            if they have lost all searchers.
    """

    def __init__(self, assigned: assignment.Assignment, send: Send) -> None:
        self.assignment = assigned
        self.known = assigned.known
        self.me = assigned.me
        self.send = send
        self.unresponsive: dict[str, remote_groups.UnresponsiveOwner] = {}
        self.lost: dict[tuple[str, str], float] = {}
        self.loop = asyncio.get_running_loop()

    def reaches_searchers(self, vm: owners.Vm, service: str) -> bool:
        """Returns whether a VM hasn't said that it lost its searchers."""
        if vm == self.me:
            return not self.known.isolated
        now_s = self.loop.time()
        return all(
            self.lost.get((vm.name, lost), 0.0) <= now_s
            for lost in ("", service)
        )

    def first_owner(
        self, candidates: list[owners.Vm], tried: set[str], service: str
    ) -> owners.Vm | None:
        """Returns the VM to ask for a group.

        Args:
            candidates: The owners of the group, in order of preference.
            tried: The names of the VMs that were asked.
            service: The first service of the group.

        Returns:
            The first owner that responds and reaches searchers, or a VM that
            stands in if the owners have lost theirs; None if there is none.
        """
        lost = False
        for vm in candidates:
            if vm.name in self.unresponsive:
                continue
            reaches = self.reaches_searchers(vm, service)
            lost = lost or not reaches
            if reaches and vm.name not in tried:
                return vm
        if not lost or self.assignment.all_call(service):
            return None
        # All VMs choose the same ones, so that few more call a searcher.
        key = self.assignment.keys.get(service, service)
        ranked = self.assignment.rank(key)
        for vm in ranked[: len(candidates) + MAX_STAND_INS]:
            if (
                vm.name not in tried
                and vm.name not in self.unresponsive
                and self.reaches_searchers(vm, service)
            ):
                return vm
        return None

    def owner_of(self, group: tuple[str, ...]) -> owners.Vm | None:
        """Returns the owner of a group that is asked first."""
        candidates = self.assignment.owners_of(group[0])
        return self.first_owner(candidates, set(), group[0])

    def passes_on(self, services: tuple[str, ...], needed: int) -> bool:
        """Returns whether other VMs should call services for this one.

        Args:
            services: The services of a request that this VM calls otherwise.
            needed: The number of them that have to respond.
        """
        connected = self.known.connected
        if not services or sum(map(connected, services)) >= needed:
            return False
        return self.owner_of(services) not in (None, self.me)

    def mark_lost(self, vm: str, service: str = "") -> None:
        """Skips a VM that has lost its searchers for a short time.

        Args:
            vm: The name of the VM.
            service: The first service of the group whose searchers it lost;
                empty if it lost all.
        """
        now_s = self.loop.time()
        for key in [key for key, end_s in self.lost.items() if end_s <= now_s]:
            del self.lost[key]
        self.lost[vm, service] = now_s + LOST_VALID_S
        _log.info("owner-lost-searchers", owner=vm, service=service)

    def mark_unresponsive(self, vm: owners.Vm, cause: str) -> None:
        """Skips an owner from now on, and pings it until it replies."""
        if vm.name not in self.unresponsive:
            self.unresponsive[vm.name] = remote_groups.UnresponsiveOwner(vm)
            _log.info("owner-unresponsive", owner=vm.name, reason=cause)
            self.ping_later(self.unresponsive[vm.name])

    def ping_later(self, owner: remote_groups.UnresponsiveOwner) -> None:
        """Schedules the next ping of an unresponsive owner."""
        owner.timer = self.loop.call_later(
            owner.next_interval_s(), self.ping, owner
        )

    def ping(self, owner: remote_groups.UnresponsiveOwner) -> None:
        """Pings an unresponsive owner."""
        if owner.vm not in self.assignment.vms:
            self.unresponsive.pop(owner.vm.name, None)
            return
        self.send(owner.vm, group_messages.Ping(self.me.name))
        owner.timer = self.loop.call_later(
            PONG_TIMEOUT_S, self.ping_later, owner
        )

    def mark_responsive(self, name: str) -> None:
        """Marks an owner that responds again."""
        row = self.unresponsive.pop(name, None)
        if row is not None:
            row.stop_timer()
            _log.info("owner-responsive", owner=name)


def create_owner_selection(
    assigned: assignment.Assignment, send: Send
) -> OwnerSelection:
    """Returns the state in which all VMs may be asked."""
    return OwnerSelection(assigned, send)
