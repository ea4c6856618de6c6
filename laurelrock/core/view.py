"""Holds one daemon's view of the fleet and merges records into it.

Messages to send are appended to `View.outbox`, events to log to
`View.events`.
"""

import random as randomness
import typing

from laurelrock import messages
from laurelrock.core import detector
from laurelrock.core import hold_down
from laurelrock.core import records
from laurelrock.core import rings
from laurelrock.core import table

__all__ = [
    "Event",
    "Outgoing",
    "View",
    "merge",
    "on_own_record",
    "send",
    "update_own_record",
]


class Outgoing(typing.NamedTuple):
    """A message to send.

    Attributes:
        address: Address of the receiver.
        message: The message to send.
        fresh: Whether to open a new connection instead of using the existing
            one.
    """

    address: str
    message: messages.Message
    fresh: bool = False


class Event(typing.NamedTuple):
    """A membership event to log.

    Attributes:
        kind: New state of the member, or "superseded".
        record: Record of the member.
        reason: Reason for the event.
    """

    kind: str
    record: records.Record
    reason: str


class View:
    """State of the membership protocol.

    All times are in seconds on this process's monotonic clock.

    Attributes:
        me: This daemon's own record.
        random: Source of random choices.
        table: Records of all known daemons, this one included.
        rings: Rings of the other members that are not dead.
        detector: Failure detector for the monitored members.
        hold_down: Hold-downs of the members that returned recently.
        generation: Generation of the manifest in force, sent in heartbeats.
        digest: Digest of the manifest in force, sent in heartbeats.
        seeds: Addresses from the settings at which daemons may run.
        listed: Addresses from the platform's list at which daemons may run.
        leaving_by_list: Whether this daemon leaves because the platform lists
            its VM as leaving.
        listed_leaving: Names of the VMs that the platform lists as leaving.
        neighbours: Addresses of the members that receive this daemon's
            heartbeats.
        random_neighbour: Address of the neighbour that is chosen at random,
            empty if there is none.
        last_contacted: Address of the dead or unknown daemon that was last
            contacted, empty if there is none.
        closing: Addresses whose connections are to be closed.
        unsent: Address of the peer that each changed record came from, empty
            for this daemon's own changes, by address of the record to send.
        joined: Whether a peer's table was received.
        superseded: Whether another process uses this daemon's address.
        mismatches: Number of consecutive heartbeats with a different table
            digest, by address of the sender.
        last_sync_s: Time of the last table comparison, by address of the
            peer.
        neighbours_version: Version of the rings that `neighbours` was chosen
            from.
        next_heartbeat_s: Time at which the next heartbeats are due.
        next_reconnect_s: Time at which the next attempt to contact a dead or
            unknown daemon is due.
        next_rotation_s: Time at which the next choice of the random neighbour
            is due.
        next_flush_s: Earliest time to send changed records.
        outbox: Messages to send.
        events: Events since the last log.
    """

    def __init__(
        self,
        me: records.Record,
        random: randomness.Random,
        now_s: float,
        seeds: list[str],
    ) -> None:
        self.me = me
        self.random = random
        self.table = table.Table()
        self.table.put(me, now_s)
        self.rings = rings.Rings(me.address)
        self.detector = detector.Detector(now_s)
        self.hold_down = hold_down.HoldDown()
        self.generation = 0
        self.digest = ""
        self.seeds = set(seeds) - {me.address}
        self.listed: set[str] = set()
        self.leaving_by_list = False
        self.listed_leaving: set[str] = set()
        self.neighbours: list[str] = []
        self.random_neighbour = ""
        self.last_contacted = ""
        self.closing: list[str] = []
        self.unsent: dict[str, str] = {me.address: ""}
        self.joined = False
        self.superseded = False
        self.mismatches: dict[str, int] = {}
        self.last_sync_s: dict[str, float] = {}
        self.neighbours_version = -1
        self.next_heartbeat_s = now_s
        self.next_reconnect_s = now_s
        self.next_rotation_s = now_s
        self.next_flush_s = now_s
        self.outbox: list[Outgoing] = []
        self.events: list[Event] = []


def send(
    view: View, address: str, message: messages.Message, fresh: bool = False
) -> None:
    """Appends a message to the outbox."""
    view.outbox.append(Outgoing(address, message, fresh))


def merge(
    view: View,
    record: records.Record,
    source: str,
    now_s: float,
    forward: bool = True,
    reason: str = "peer",
) -> None:
    """Merges a record into the view.

    Args:
        view: The view to update.
        record: A record that a peer sent or that this daemon's failure
            detector created.
        source: Address of the peer that sent the record, empty if none did.
        now_s: Current time.
        forward: Whether to send the record to the neighbours if it is new.
        reason: Reason to log.
    """
    if record.address == view.me.address:
        on_own_record(view, record, now_s)
        return
    known = view.table.records.get(record.address)
    if not view.table.put(record, now_s):
        return
    if record.state == "dead":
        view.rings.drop(record.address)
    else:
        same_domain = record.failure_domain == view.me.failure_domain
        view.rings.put(record.address, same_domain)
    if forward:
        view.unsent[record.address] = source
    came_back = known is not None and (
        known.state == "dead" or known.start_id != record.start_id
    )
    if came_back and record.state == "live":
        hold_s = view.hold_down.record_return(record.address, now_s)
        reason = f"{reason}, held down {hold_s:g} s"
    if known is None or came_back or known.state != record.state:
        view.events.append(Event(record.state, record, reason))


def on_own_record(view: View, record: records.Record, now_s: float) -> None:
    """Processes a record of this daemon's own address.

    A record of the current start is refuted with a higher incarnation. If the
    record is of another start, the process that replies at the address is the
    current one. A dead record of another start only requires a higher epoch.
    """
    if records.rank(record) <= records.rank(view.me):
        return
    if record.start_id == view.me.start_id:
        own_record = view.me._replace(incarnation=record.incarnation + 1)
        update_own_record(
            view, own_record, now_s, f"refutes {record.state} record"
        )
    elif record.state == "dead":
        own_record = view.me._replace(epoch=record.epoch + 1)
        update_own_record(
            view,
            own_record,
            now_s,
            "an earlier process at this address is dead",
        )
    else:
        view.table.put(record, now_s)
        probe_own_address(view)


def probe_own_address(view: View) -> None:
    """Probes this daemon's address to find out which process replies."""
    address = view.me.address
    send(view, address, messages.Probe(address, address), fresh=True)


def resolve_address_conflict(
    view: View, responder: records.Record, now_s: float
) -> None:
    """Decides which of two starts is current from the reply to a probe.

    Args:
        view: The view to update.
        responder: Record of the process that replied at this daemon's address.
        now_s: Current time.
    """
    if responder.start_id != view.me.start_id:
        if not view.superseded:
            view.events.append(Event("superseded", responder, "answers"))
        view.superseded = True
        return
    view.superseded = False
    known = view.table.records[view.me.address]
    if known.start_id != view.me.start_id:
        own_record = view.me._replace(epoch=known.epoch + 1)
        update_own_record(view, own_record, now_s, "answers at this address")


def update_own_record(
    view: View, record: records.Record, now_s: float, reason: str
) -> None:
    """Changes this daemon's own record and queues it for the neighbours."""
    view.me = record
    view.table.put(record, now_s)
    view.unsent[record.address] = ""
    view.events.append(Event(record.state, record, reason))
