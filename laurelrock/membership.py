"""Membership service: keeps one daemon's view of the fleet.

Runs `core.membership` on the bus, the platform's list of VMs and the clock.
"""

import asyncio
import collections
import collections.abc
import functools
import random as randomness
import time
import typing

from laurelrock import errors
from laurelrock import messages
from laurelrock.adapters import logs
from laurelrock.core import exchange
from laurelrock.core import members
from laurelrock.core import membership as fleet
from laurelrock.core import pacing
from laurelrock.core import records
from laurelrock.core import spreading
from laurelrock.core import view as views
from laurelrock.ports import bus as buses
from laurelrock.ports import platform as platforms

__all__ = ["Membership", "Options", "open_membership"]

#: Time between two ticks, in seconds.
TICK_S = 0.25

#: Longest delay of the first read of the list of VMs, in seconds.
START_SPREAD_S = 1.5

#: Mean time between two reads of the list of VMs, in seconds.
LIST_S = 5.0

#: Rows of the list that a daemon reads a second on average, at most.
LIST_ROWS_PER_S = 4.0

_log = logs.get_logger(__name__)

HeartbeatListener = collections.abc.Callable[[messages.Heartbeat], None]


class Options(typing.NamedTuple):
    """What the settings say.

    Attributes:
        seeds: Addresses where other daemons may be.
        ports: Bus ports of the daemons of a VM, for the platform's list.
        list_s: Mean time between two reads of that list, in seconds.
        start_spread_s: Longest delay of the first one.
    """

    seeds: list[str]
    ports: list[int]
    list_s: float = LIST_S
    start_spread_s: float = START_SPREAD_S


class Membership:
    """One daemon's membership.

    Attributes:
        view: State of the protocol.
        bus: To the other daemons.
        platform: Gives the list of VMs.
        options: From the settings.
        listed: Set once the list of VMs was read or could not be.
        listeners: Called with each heartbeat received.
        counts: Decisions by kind, for the metrics.
        rosters: Usable members by role; a list is replaced when it changes.
        roster_key: What they were made from.
        watcher: Whether this daemon reads for its failure domain.
        watcher_version: Version of the table that `watcher` is from.
        flush_planned: Whether changed records wait to be passed on.
    """

    def __init__(
        self,
        view: views.View,
        bus: buses.Bus,
        platform: platforms.Platform,
        options: Options,
    ) -> None:
        self.view = view
        self.bus = bus
        self.platform = platform
        self.options = options
        self.listed = asyncio.Event()
        self.listeners: list[HeartbeatListener] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.rosters: dict[members.Role, list[members.Member]] = {}
        self.roster_key: collections.abc.Hashable = None
        self.watcher = True
        self.watcher_version = -1
        self.flush_planned = False
        self.refresh()

    def roster(self, role: members.Role) -> list[members.Member]:
        """Returns the usable members of a role, this daemon included."""
        return self.rosters[role]

    def leave(self) -> None:
        """Announces that this daemon receives no new work."""
        fleet.leave(self.view, _now_s())
        self.deliver()

    def announce(self) -> None:
        """Tells the neighbours of a new generation."""
        fleet.announce(self.view)
        self.deliver()

    def others(self) -> list[records.Record]:
        """Returns the records of all daemons that are not dead."""
        found = self.view.table.records.values()
        return [record for record in found if record.state != "dead"]

    def is_watcher(self) -> bool:
        """Tells whether this daemon reads for its failure domain."""
        version = self.view.table.version
        if self.watcher_version != version:
            self.watcher_version = version
            others = self.others()
            self.watcher = spreading.is_watcher(self.view.me, others)
        return self.watcher

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tick_forever())
            group.create_task(self.read_list_forever())

    async def tick_forever(self) -> None:
        while True:
            try:
                fleet.tick(self.view, _now_s())
                self.deliver()
                self.refresh()
            except Exception:
                self.counts["errors"] += 1
                _log.exception("membership-failed")
            await asyncio.sleep(TICK_S)

    async def read_list_forever(self) -> None:
        pace = pacing.Pace(self.view.random, _now_s())
        pace.spread(self.options.start_spread_s, _now_s())
        while True:
            await asyncio.sleep(max(0.0, pace.next_s - _now_s()))
            try:
                rows = await self.platform.vms()
            except errors.PlatformError as error:
                _log.warning("vm-list", error=error.message)
                pace.failed(_now_s())
            except Exception:
                self.counts["errors"] += 1
                _log.exception("vm-list-failed")
                pace.failed(_now_s())
            else:
                self.take_list(rows)
                mean_s = list_interval_s(self.options.list_s, len(rows))
                pace.succeeded(mean_s, _now_s())
            self.listed.set()

    def take_list(self, rows: list[platforms.Vm]) -> None:
        """Takes in the platform's list of VMs."""
        states: dict[str, str] = {row.vm: row.state for row in rows}
        addresses = {
            f"{row.address}:{port}"
            for row in rows
            for port in self.options.ports
        }
        fleet.on_listed(self.view, states, addresses, _now_s())
        self.deliver()
        self.refresh()

    def receive(
        self, kind: type, sender: buses.Sender, message: messages.Message
    ) -> None:
        """Takes in a message."""
        exchange.HANDLERS[kind](self.view, message, _now_s())
        if kind is messages.Heartbeat:
            for listener in self.listeners:
                listener(message)
        self.deliver()
        if self.view.unsent and not self.flush_planned:
            self.flush_planned = True
            loop = asyncio.get_running_loop()
            loop.call_later(fleet.GATHER_S, self.flush)

    def flush(self) -> None:
        """Passes changed records on."""
        self.flush_planned = False
        fleet.flush(self.view, _now_s())
        self.deliver()
        self.refresh()

    def deliver(self) -> None:
        """Sends what is in the outbox and logs what was decided."""
        closing, self.view.closing = self.view.closing, []
        for address in closing:
            self.bus.forget(address)
        outbox, self.view.outbox = self.view.outbox, []
        for outgoing in outbox:
            if outgoing.fresh:
                self.bus.forget(outgoing.address)
            self.bus.send(outgoing.address, outgoing.message)
        events, self.view.events = self.view.events, []
        for event in events:
            self.counts[event.kind] += 1
            _log.info(
                f"member-{event.kind}",
                vm=event.record.vm,
                address=event.record.address,
                start_id=event.record.start_id,
                epoch=event.record.epoch,
                incarnation=event.record.incarnation,
                reason=event.reason,
            )

    def refresh(self) -> None:
        """Brings the rosters up to date."""
        key = fleet.roster_key(self.view, _now_s())
        if key == self.roster_key:
            return
        self.roster_key = key
        roles: tuple[members.Role, ...] = ("entry", "relay")
        for role in roles:
            found = fleet.roster(self.view, role, _now_s())
            if self.rosters.get(role) != found:
                self.rosters[role] = found
                vms = [member.vm for member in found]
                _log.info("roster", role=role, size=len(vms), vms=vms[:20])


def list_interval_s(least_s: float, rows: int) -> float:
    """Returns the mean time between two reads of a list of that length."""
    return max(least_s, rows / LIST_ROWS_PER_S)


def open_membership(
    me: members.Member,
    bus: buses.Bus,
    platform: platforms.Platform,
    options: Options,
    random: randomness.Random,
) -> Membership:
    """Returns a daemon's membership; `run` does the work.

    Args:
        me: This daemon.
        bus: To the other daemons; handlers are registered on it.
        platform: Gives the list of VMs.
        options: From the settings.
        random: Source of random choices.
    """
    record = records.Record(
        address=me.address,
        vm=me.vm,
        role=me.role,
        failure_domain=me.failure_domain,
        region=me.region,
        start_id=me.start_id,
        epoch=int(time.time() * 1000),
    )
    view = fleet.make(record, random, _now_s(), options.seeds)
    service = Membership(view, bus, platform, options)
    for kind in exchange.HANDLERS:
        bus.on(kind, functools.partial(service.receive, kind))
    return service


def _now_s() -> float:
    return time.monotonic()
