"""View: the fleet as one daemon knows it, and what changes it.

Messages to send are left in `outbox`, decisions in `events`.
"""

import random as randomness
import typing

from laurelrock import messages
from laurelrock.core import detector
from laurelrock.core import holddown
from laurelrock.core import records
from laurelrock.core import rings
from laurelrock.core import table

__all__ = ["Event", "Outgoing", "View", "declare", "defend", "merge", "send"]


class Outgoing(typing.NamedTuple):
    """A message to send.

    Attributes:
        address: Of the receiver.
        message: From `laurelrock.messages`.
        fresh: Whether the present connection must not be used.
    """

    address: str
    message: messages.Message
    fresh: bool = False


class Event(typing.NamedTuple):
    """A decision, for the log.

    Attributes:
        kind: What was decided.
        record: About whom.
        reason: Why.
    """

    kind: str
    record: records.Record
    reason: str


class View:
    """State of the membership protocol.

    Attributes:
        me: This daemon's own record.
        random: Source of random choices.
        table: Records of all daemons, this one included.
        rings: The other members that are not dead.
        detector: Signs of life of the expected members.
        holds: Members that came back lately.
        generation: Of the manifest in force, for the heartbeats.
        digest: Of the manifest in force.
        seeds: Addresses from the settings where daemons may be.
        listed: Addresses from the platform's list where daemons may be.
        left_by_list: Whether this daemon left as the list said so.
        listed_leaving: VMs that the platform's list calls leaving.
        neighbours: Members that receive this daemon's heartbeats.
        visitor: The one neighbour that is chosen at random.
        called: The dead or unknown daemon that was called last.
        closing: Addresses whose connections are to be closed.
        unsent: Changed records to pass on, with the peer each came from.
        joined: Whether any peer's table was received.
        superseded: Whether another process has this address.
        mismatches: Heartbeats in a row with another digest, by sender.
        compared_s: When tables were last compared, by peer.
        arranged_version: Version of the rings that `neighbours` is from.
        outbox: Messages to send.
        events: Decisions since the last log.
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
        self.holds = holddown.HoldDown()
        self.generation = 0
        self.digest = ""
        self.seeds = set(seeds) - {me.address}
        self.listed: set[str] = set()
        self.left_by_list = False
        self.listed_leaving: set[str] = set()
        self.neighbours: list[str] = []
        self.visitor = ""
        self.called = ""
        self.closing: list[str] = []
        self.unsent: dict[str, str] = {me.address: ""}
        self.joined = False
        self.superseded = False
        self.mismatches: dict[str, int] = {}
        self.compared_s: dict[str, float] = {}
        self.arranged_version = -1
        self.next_heartbeat_s = now_s
        self.next_heal_s = now_s
        self.next_rotation_s = now_s
        self.next_flush_s = now_s
        self.outbox: list[Outgoing] = []
        self.events: list[Event] = []


def send(
    view: View, address: str, message: messages.Message, fresh: bool = False
) -> None:
    """Leaves a message in the outbox."""
    view.outbox.append(Outgoing(address, message, fresh))


def merge(
    view: View,
    record: records.Record,
    source: str,
    now_s: float,
    passed_on: bool = True,
    reason: str = "peer",
) -> None:
    """Takes in a record.

    Args:
        view: What it is taken into.
        record: From a peer, or this daemon's own verdict.
        source: Address of the peer, or empty.
        now_s: Present time.
        passed_on: Whether the neighbours are told if it is new.
        reason: For the log.
    """
    if record.address == view.me.address:
        defend(view, record, now_s)
        return
    held = view.table.records.get(record.address)
    if not view.table.put(record, now_s):
        return
    if record.state == "dead":
        view.rings.drop(record.address)
    else:
        near = record.failure_domain == view.me.failure_domain
        view.rings.put(record.address, near)
    if passed_on:
        view.unsent[record.address] = source
    came_back = held is not None and (
        held.state == "dead" or held.start_id != record.start_id
    )
    if came_back and record.state == "live":
        hold_s = view.holds.returned(record.address, now_s)
        reason = f"{reason}, held down {hold_s:g} s"
    if held is None or came_back or held.state != record.state:
        view.events.append(Event(record.state, record, reason))


def defend(view: View, record: records.Record, now_s: float) -> None:
    """Answers a record of this daemon's own address.

    A record of this start is refuted by a higher incarnation. Of two starts
    the one that answers at the address is the present one.
    """
    if records.rank(record) <= records.rank(view.me):
        return
    if record.start_id == view.me.start_id:
        raised = view.me._replace(incarnation=record.incarnation + 1)
        declare(view, raised, now_s, f"refutes {record.state}")
    elif record.state == "dead":
        raised = view.me._replace(epoch=record.epoch + 1)
        declare(view, raised, now_s, "an earlier start is dead")
    else:
        view.table.put(record, now_s)
        probe_own_address(view)


def probe_own_address(view: View) -> None:
    """Asks which start answers at this daemon's address."""
    address = view.me.address
    send(view, address, messages.Probe(address, address), fresh=True)


def settle_address(view: View, answer: records.Record, now_s: float) -> None:
    """Decides between two starts by who answered at the address."""
    if answer.start_id != view.me.start_id:
        if not view.superseded:
            view.events.append(Event("superseded", answer, "answers"))
        view.superseded = True
        return
    view.superseded = False
    held = view.table.records[view.me.address]
    if held.start_id != view.me.start_id:
        raised = view.me._replace(epoch=held.epoch + 1)
        declare(view, raised, now_s, "answers at this address")


def declare(
    view: View, record: records.Record, now_s: float, reason: str
) -> None:
    """Changes this daemon's own record and tells the neighbours."""
    view.me = record
    view.table.put(record, now_s)
    view.unsent[record.address] = ""
    view.events.append(Event(record.state, record, reason))
