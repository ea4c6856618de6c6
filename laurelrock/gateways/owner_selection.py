"""Chooses the VMs that are asked to run a group of shards or a single request.

VMs that don't respond are skipped and pinged until they reply. VMs that have
lost all searchers, or those of some shards of a group, say so when they are
asked, and are skipped for a short time.
"""

import asyncio
import collections.abc
import random
import typing

from laurelrock.adapters import logs
from laurelrock.core import owner_delays
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
#: They are asked one after another, a message and its reply each.
MAX_STAND_INS = 64
#: Number of VMs that may stand in for owners that are all unresponsive. Without
#: any, all VMs that find them so call the searchers themselves, and searchers
#: reset the connections above their maximum. Each that is unresponsive as well
#: costs the time limit of a reply.
MAX_UNRESPONSIVE_STAND_INS = 3

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
        older: The links of the VMs that run the previous version, by name, as
            far as it matters. They aren't asked for groups whose request has
            what that version ignores.
        isolated: The loop times until which VMs count as isolated, by name.
        disconnected: The loop times until which VMs count as having lost
            searchers of a group, by name and the first service of the group.
        delays: The delays of the VMs' replies.
    """

    def __init__(self, assigned: assignment.Assignment, send: Send) -> None:
        self.assignment = assigned
        self.known = assigned.known
        self.me = assigned.me
        self.send = send
        self.unresponsive: dict[str, remote_groups.UnresponsiveOwner] = {}
        self.older: dict[str, group_messages.Link] = {}
        self.isolated: dict[str, float] = {}
        self.disconnected: dict[tuple[str, str], float] = {}
        self.delays = owner_delays.create_owner_delays()
        self.loop = asyncio.get_running_loop()

    def is_isolated(self, vm: owners.Vm) -> bool:
        """Returns whether a VM said of late that it has lost all searchers."""
        if vm == self.me:
            return self.known.isolated
        return self.isolated.get(vm.name, 0.0) > self.loop.time()

    def is_disconnected(self, vm: owners.Vm, key: str) -> bool:
        """Returns whether a VM has lost all searchers of a shard of a group.

        Args:
            vm: The VM.
            key: The first service of the group.
        """
        if vm == self.me:
            return not all(
                map(self.known.connected, self.assignment.members(key))
            )
        return self.disconnected.get((vm.name, key), 0.0) > self.loop.time()

    def first_owner(
        self,
        candidates: list[owners.Vm],
        tried: set[str],
        key: str,
        barred: collections.abc.Container[str] = (),
    ) -> owners.Vm | None:
        """Returns the VM to ask for a group.

        Args:
            candidates: The owners of the group, in order of preference.
            tried: The names of the VMs that were asked.
            key: The first service of the group.
            barred: The names of the VMs whose version can't run the group.

        Returns:
            The first owner that responds and reaches the searchers, or a VM
            that stands in if owners are isolated or all are unresponsive or
            barred; None if there is none.
        """
        isolated = False
        candidates = self.choked_last(candidates)
        usable = [vm for vm in candidates if vm.name not in barred]
        for vm in usable:
            if vm.name in self.unresponsive:
                continue
            isolated = isolated or self.is_isolated(vm)
            if self.may_ask(vm, tried, key):
                return vm
        stand_ins = MAX_STAND_INS if isolated else MAX_UNRESPONSIVE_STAND_INS
        responsive = any(vm.name not in self.unresponsive for vm in usable)
        if self.assignment.all_call(key) or (responsive and not isolated):
            return None
        # All VMs choose the same ones, so that few more call a searcher.
        ranked = self.assignment.rank(self.assignment.keys.get(key, key))
        if barred:
            ranked = [vm for vm in ranked if vm.name not in barred]
        for vm in ranked[: len(candidates) + stand_ins]:
            if self.may_ask(vm, tried, key):
                return vm
        return None

    def choked_last(self, candidates: list[owners.Vm]) -> list[owners.Vm]:
        """Returns the VMs in order of preference, choked ones last."""
        if not self.delays.choked_until_s:
            return candidates
        now_s = self.loop.time()
        return sorted(
            candidates, key=lambda vm: self.delays.is_choked(vm.name, now_s)
        )

    def record_reply(self, vm: owners.Vm, delay_s: float) -> None:
        """Records the time from a request for a group to the reply."""
        if vm == self.me:
            return
        now_s = self.loop.time()
        known = self.delays.is_choked(vm.name, now_s)
        choked = self.delays.record(vm.name, delay_s, now_s, random.random())
        if choked and not known:
            names = {row.name for row in self.assignment.vms}
            self.delays.retain(names)
            _log.info(
                "owner-choked",
                owner=vm.name,
                delay_ms=round(delay_s * 1000, 1),
                usual_ms=round(self.delays.usual_s * 1000, 1),
            )

    def may_ask(self, vm: owners.Vm, tried: set[str], key: str) -> bool:
        """Returns whether a VM may be asked and reaches the searchers."""
        return not (
            vm.name in tried
            or vm.name in self.unresponsive
            or self.is_isolated(vm)
            or self.is_disconnected(vm, key)
        )

    def next_owner(
        self,
        candidates: list[owners.Vm],
        tried: set[str],
        key: str,
        barred: collections.abc.Container[str] = (),
    ) -> owners.Vm | None:
        """Returns the VM to ask for a group, also if none reaches all of it.

        Some searchers of the group may be down for all VMs. See `first_owner`
        for the arguments.
        """
        vm = self.first_owner(candidates, tried, key, barred)
        if vm is not None:
            return vm
        # This VM comes last, so that it keeps hearing how the others fare.
        candidates = self.choked_last(candidates)
        for vm in sorted(candidates, key=lambda vm: vm == self.me):
            if (
                vm.name not in tried
                and vm.name not in barred
                and vm.name not in self.unresponsive
                and not self.is_isolated(vm)
            ):
                return vm
        return None

    def owner_of(self, group: tuple[str, ...]) -> owners.Vm | None:
        """Returns the owner of a group that is asked first."""
        candidates = self.assignment.owners_of(group[0])
        return self.next_owner(candidates, set(), group[0])

    def reaching_owner(
        self,
        group: tuple[str, ...],
        forbidden: collections.abc.Iterable[str] = (),
    ) -> owners.Vm | None:
        """Returns the owner of a group, unless all have lost searchers.

        Args:
            group: The services of the group.
            forbidden: The names of the VMs that may not be asked.
        """
        candidates = self.assignment.owners_of(group[0])
        return self.first_owner(candidates, set(forbidden), group[0])

    def passes_on(
        self,
        services: tuple[str, ...],
        needed: int,
        regions: tuple[str, ...] = (),
    ) -> bool:
        """Returns whether other VMs should call services for this one.

        Args:
            services: The services of a request that this VM calls otherwise.
            needed: The number of them that have to respond.
            regions: The regions in which the request may run; empty for all.
        """
        connected = sum(
            self.known.connected(name, regions) for name in services
        )
        if not services or connected >= needed:
            return False
        forbidden = self.assignment.forbidden_vms(regions)
        vm = self.reaching_owner(services, forbidden)
        return vm not in (None, self.me)

    def mark_older(self, vm: str, link: group_messages.Link) -> None:
        """Records that a VM runs the previous version, while a link is open."""
        if vm not in self.older:
            _log.info("owner-older", owner=vm)
        self.older[vm] = link

    def link_ended(self, link: group_messages.Link) -> None:
        """Forgets the version of the VM at the other end of a link."""
        for name in [name for name, row in self.older.items() if row is link]:
            del self.older[name]

    def mark_isolated(self, vm: str) -> None:
        """Skips a VM that has lost all searchers for a short time."""
        drop_past(self.isolated, self.loop.time())
        self.isolated[vm] = self.loop.time() + LOST_VALID_S
        _log.info("owner-isolated", owner=vm)

    def mark_disconnected(self, vm: str, key: str) -> None:
        """Skips a VM that has lost searchers of a group for a short time.

        Args:
            vm: The name of the VM.
            key: The first service of the group.
        """
        drop_past(self.disconnected, self.loop.time())
        self.disconnected[vm, key] = self.loop.time() + LOST_VALID_S
        _log.info("owner-disconnected", owner=vm, service=key)

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


def drop_past(times: dict[typing.Any, float], now_s: float) -> None:
    """Drops the entries whose time has passed."""
    for key in [key for key, end_s in times.items() if end_s <= now_s]:
        del times[key]


def create_owner_selection(
    assigned: assignment.Assignment, send: Send
) -> OwnerSelection:
    """Returns the state in which all VMs may be asked."""
    return OwnerSelection(assigned, send)
