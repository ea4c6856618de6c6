"""Membership service: tracks which daemons of the fleet are alive.

Connects the membership protocol in `core.membership` to the message bus, the
platform's list of VMs and the clock.
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
from laurelrock.core import distribution
from laurelrock.core import members
from laurelrock.core import membership as protocol
from laurelrock.core import membership_handlers
from laurelrock.core import pacing
from laurelrock.core import records
from laurelrock.core import view as views
from laurelrock.ports import bus as buses
from laurelrock.ports import platform as platforms

__all__ = ["Membership", "Options", "open_membership"]

#: Interval between two ticks of the membership protocol, in seconds.
TICK_S = 0.25

#: Maximum random delay before the first read of the list of VMs, in seconds.
MAX_START_DELAY_S = 1.5

#: Mean interval between two reads of the list of VMs, in seconds.
LIST_INTERVAL_S = 5.0

#: Maximum mean rate at which a daemon reads rows of the list of VMs, in rows
#: per second; longer lists are read less often.
MAX_LIST_ROWS_PER_S = 4.0

_log = logs.get_logger(__name__)

#: Function that receives each heartbeat from another daemon.
HeartbeatListener = collections.abc.Callable[[messages.Heartbeat], None]


class Options(typing.NamedTuple):
    """Options of the membership service, taken from the settings.

    Attributes:
        seeds: Bus addresses at which other daemons may be found.
        ports: Bus ports of the daemons on each VM; with an address from the
            list of VMs they form bus addresses.
        list_interval_s: Mean interval between two reads of the list of VMs, in
            seconds; long lists are read less often.
        max_start_delay_s: Maximum random delay before the first read of the
            list of VMs, in seconds.
    """

    seeds: list[str]
    ports: list[int]
    list_interval_s: float = LIST_INTERVAL_S
    max_start_delay_s: float = MAX_START_DELAY_S


class Membership:
    """Membership service of one daemon.

    Attributes:
        view: State of the membership protocol.
        bus: Message bus that connects the daemons.
        platform: Platform client, which provides the list of VMs.
        options: Options of the service, taken from the settings.
        vm_list_attempted: Event that is set once the first read of the list of
            VMs has succeeded or failed.
        listeners: Functions that are called with each heartbeat received.
        counts: Number of membership decisions and errors by kind, for the
            metrics.
        usable_by_role: Usable members by role; a list that changes is
            replaced, never modified.
        usable_members_key: Key of the protocol state that the lists of usable
            members reflect.
        watcher: Whether this daemon watches the manifest head on behalf of
            its failure domain.
        watcher_table_version: Version of the membership table from which
            `watcher` was computed.
        flush_scheduled: Whether a call that forwards changed records is
            scheduled.
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
        self.vm_list_attempted = asyncio.Event()
        self.listeners: list[HeartbeatListener] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.usable_by_role: dict[members.Role, list[members.Member]] = {}
        self.usable_members_key: collections.abc.Hashable = None
        self.watcher = True
        self.watcher_table_version = -1
        self.flush_scheduled = False
        self.refresh_usable_members()

    def usable_members(self, role: members.Role) -> list[members.Member]:
        """Returns the usable members of a role, including this daemon."""
        return self.usable_by_role[role]

    def leave(self) -> None:
        """Announces that this daemon is leaving and accepts no new work."""
        protocol.leave(self.view, _now_s())
        self.process_outputs()

    def announce_generation(self) -> None:
        """Announces a new manifest generation to the neighbours."""
        protocol.announce(self.view)
        self.process_outputs()

    def known_daemons(self) -> list[records.Record]:
        """Returns the records of all daemons not dead, including this one."""
        found = self.view.table.records.values()
        return [record for record in found if record.state != "dead"]

    def is_watcher(self) -> bool:
        """Tells whether this daemon watches the head for its failure domain."""
        version = self.view.table.version
        if self.watcher_table_version != version:
            self.watcher_table_version = version
            others = self.known_daemons()
            self.watcher = distribution.is_watcher(self.view.me, others)
        return self.watcher

    async def run(self) -> None:
        """Runs the service until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.run_ticks())
            group.create_task(self.poll_vm_list())

    async def run_ticks(self) -> None:
        """Runs the protocol's periodic work; continues after exceptions."""
        while True:
            try:
                protocol.tick(self.view, _now_s())
                self.process_outputs()
                self.refresh_usable_members()
            except Exception:
                self.counts["errors"] += 1
                _log.exception("membership-failed")
            await asyncio.sleep(TICK_S)

    async def poll_vm_list(self) -> None:
        """Reads the list of VMs repeatedly; continues after exceptions."""
        pace = pacing.Pacer(self.view.random, _now_s())
        pace.schedule_within(self.options.max_start_delay_s, _now_s())
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
                self.apply_vm_list(rows)
                mean_s = list_interval_s(
                    self.options.list_interval_s, len(rows)
                )
                pace.succeeded(mean_s, _now_s())
            self.vm_list_attempted.set()

    def apply_vm_list(self, rows: list[platforms.Vm]) -> None:
        """Updates the membership from the platform's list of VMs."""
        states: dict[str, str] = {row.vm: row.state for row in rows}
        addresses = {
            f"{row.address}:{port}"
            for row in rows
            for port in self.options.ports
        }
        protocol.on_vm_list(self.view, states, addresses, _now_s())
        self.process_outputs()
        self.refresh_usable_members()

    def receive(
        self, kind: type, sender: buses.Sender, message: messages.Message
    ) -> None:
        """Handles a message from another daemon."""
        membership_handlers.HANDLERS[kind](self.view, message, _now_s())
        if kind is messages.Heartbeat:
            for listener in self.listeners:
                listener(message)
        self.process_outputs()
        if self.view.unsent and not self.flush_scheduled:
            self.flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(protocol.MIN_FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Forwards changed records to other daemons."""
        self.flush_scheduled = False
        protocol.flush(self.view, _now_s())
        self.process_outputs()
        self.refresh_usable_members()

    def process_outputs(self) -> None:
        """Closes connections, sends queued messages and logs the decisions."""
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

    def refresh_usable_members(self) -> None:
        """Recomputes the usable members if the protocol state has changed."""
        key = protocol.usable_members_key(self.view, _now_s())
        if key == self.usable_members_key:
            return
        self.usable_members_key = key
        roles: tuple[members.Role, ...] = ("entry", "relay")
        for role in roles:
            found = protocol.usable_members(self.view, role, _now_s())
            if self.usable_by_role.get(role) != found:
                self.usable_by_role[role] = found
                vms = [member.vm for member in found]
                _log.info(
                    "usable-members-changed",
                    role=role,
                    size=len(vms),
                    vms=vms[:20],
                )


def list_interval_s(min_interval_s: float, rows: int) -> float:
    """Returns the mean interval between reads of the list of VMs, in seconds.

    Args:
        min_interval_s: Minimum mean interval, in seconds.
        rows: Number of rows in the list of VMs.
    """
    return max(min_interval_s, rows / MAX_LIST_ROWS_PER_S)


def open_membership(
    me: members.Member,
    bus: buses.Bus,
    platform: platforms.Platform,
    options: Options,
    random: randomness.Random,
) -> Membership:
    """Creates a daemon's membership service; `run` must be started separately.

    Args:
        me: Description of this daemon.
        bus: Message bus on which the service registers its handlers.
        platform: Platform client, which provides the list of VMs.
        options: Options of the service.
        random: Random number generator.
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
    view = protocol.create_view(record, random, _now_s(), options.seeds)
    service = Membership(view, bus, platform, options)
    for kind in membership_handlers.HANDLERS:
        bus.on(kind, functools.partial(service.receive, kind))
    return service


def _now_s() -> float:
    return time.monotonic()
