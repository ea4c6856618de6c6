"""Tracks the members of the fleet with a gossip protocol.

The protocol is a state machine without I/O. Its inputs are ticks, messages
(see `membership_handlers`) and the platform's list of VMs, each with the
current time; its outputs are messages to send and events to log. All times are
in seconds on this process's monotonic clock.
"""

import collections.abc
import random as randomness

from laurelrock import messages
from laurelrock.core import detector
from laurelrock.core import members
from laurelrock.core import membership_handlers
from laurelrock.core import records
from laurelrock.core import view as views

__all__ = [
    "announce",
    "create_view",
    "flush",
    "leave",
    "on_vm_list",
    "tick",
    "usable_members",
    "usable_members_key",
]

#: Minimum time between two transmissions of changed records, in seconds.
MIN_FLUSH_INTERVAL_S = 0.05

#: Time between two choices of the random neighbour, in seconds.
ROTATION_INTERVAL_S = 30.0

#: Mean time between two attempts to contact a dead or unknown daemon, in
#: seconds.
RECONNECT_INTERVAL_S = 5.0

#: Mean time between two such attempts before this daemon has joined, in
#: seconds.
JOIN_INTERVAL_S = 0.5

#: Largest share of the seeds and listed addresses that may be unknown to a
#: daemon that has joined.
MAX_UNKNOWN_SHARE = 0.75

#: Number of members that are asked to probe an unresponsive one.
PROBE_FORWARDERS = 2


def create_view(
    me: records.Record,
    random: randomness.Random,
    now_s: float,
    seeds: list[str],
) -> views.View:
    """Creates the view of a daemon that knows only itself.

    Args:
        me: Record of the daemon; its epoch is the time of its start in
            wall-clock milliseconds.
        random: Source of random choices.
        now_s: Current time.
        seeds: Addresses at which other daemons may run.
    """
    return views.View(me, random, now_s, seeds)


def tick(view: views.View, now_s: float) -> None:
    """Runs the periodic work that is due; call it at least every 0.25 s."""
    _update_neighbours(view, now_s)
    _detect_failures(view, now_s)
    if now_s >= view.next_heartbeat_s:
        view.next_heartbeat_s = now_s + detector.HEARTBEAT_INTERVAL_S
        view.table.forget_dead(now_s)
        view.hold_down.drop_expired(now_s)
        announce(view)
    if now_s >= view.next_reconnect_s:
        _contact_missing(view, now_s)
    flush(view, now_s)


def announce(view: views.View) -> None:
    """Sends a heartbeat to each neighbour."""
    beat = membership_handlers.heartbeat(view)
    for address in view.neighbours:
        views.send(view, address, beat)


def flush(view: views.View, now_s: float) -> None:
    """Sends changed records to the neighbours.

    It sends at most once in `MIN_FLUSH_INTERVAL_S`. A record is not sent back
    to the peer that it came from.
    """
    if not view.unsent or now_s < view.next_flush_s:
        return
    view.next_flush_s = now_s + MIN_FLUSH_INTERVAL_S
    _update_neighbours(view, now_s)
    for neighbour in view.neighbours:
        changed = [
            view.table.record_to_send(address, now_s)
            for address, source in view.unsent.items()
            if source != neighbour and address in view.table.records
        ]
        if changed:
            message = messages.MembershipRecords(view.me.address, changed)
            views.send(view, neighbour, message)
    if view.neighbours:
        view.unsent.clear()


def leave(view: views.View, now_s: float) -> None:
    """Announces that this daemon shuts down and receives no new work."""
    view.leaving_by_list = False
    if view.me.state == "live":
        leaving = view.me._replace(state="leaving")
        views.update_own_record(view, leaving, now_s, "shutdown")
        view.next_flush_s = now_s
        flush(view, now_s)


def on_vm_list(
    view: views.View, states: dict[str, str], addresses: set[str], now_s: float
) -> None:
    """Processes the platform's list of VMs.

    A daemon whose VM is newly listed as leaving is notified, so that it
    announces this to the fleet. The daemon that read the list stops using
    those members at once.

    Args:
        view: The view to update.
        states: State of each VM, "live" or "leaving", by name of the VM.
        addresses: Addresses at which daemons of the listed VMs may run.
        now_s: Current time.
    """
    leaving = {vm for vm, state in states.items() if state == "leaving"}
    for record in _other_members(view):
        if record.vm in leaving - view.listed_leaving:
            view.events.append(views.Event("leaving", record, "vm-list"))
            if record.state == "live":
                notice = messages.VmLeaving(record.vm)
                views.send(view, record.address, notice)
    view.listed_leaving = leaving
    view.listed = addresses - {view.me.address}
    if view.me.vm in leaving:
        membership_handlers.on_vm_leaving(
            view, messages.VmLeaving(view.me.vm), now_s
        )
    elif states.get(view.me.vm) == "live" and view.leaving_by_list:
        view.leaving_by_list = False
        own_record = view.me._replace(
            state="live", incarnation=view.me.incarnation + 1
        )
        views.update_own_record(view, own_record, now_s, "vm-list")


def usable_members(
    view: views.View, role: members.Role, now_s: float
) -> list[members.Member]:
    """Returns the usable members of a role, sorted by address.

    Relays in hold-down are left out, except in a region that has no other
    relays. An isolated daemon uses no member but itself.
    """
    usable = [
        record
        for record in view.table.records.values()
        if record.role == role
        and record.state == "live"
        and record.vm not in view.listed_leaving
        and (record.address == view.me.address or not view.detector.isolated)
    ]
    if role == "relay":
        usable = _without_held_down(view, usable, now_s)
    usable.sort(key=lambda record: record.address)
    return [records.as_member(record) for record in usable]


def usable_members_key(
    view: views.View, now_s: float
) -> collections.abc.Hashable:
    """Returns a value that changes whenever the usable members may change."""
    leaving = frozenset(view.listed_leaving)
    held_down = view.hold_down.held_down(now_s)
    return view.table.version, view.detector.isolated, leaving, held_down


def _without_held_down(
    view: views.View, usable: list[records.Record], now_s: float
) -> list[records.Record]:
    held_down = view.hold_down.held_down(now_s)
    available = [record for record in usable if record.address not in held_down]
    regions = {record.region for record in available}
    return available + [r for r in usable if r.region not in regions]


def _update_neighbours(view: views.View, now_s: float) -> None:
    """Updates the neighbours if the members changed or a rotation is due.

    The neighbours are the successors on the rings and one random member.
    """
    rotate = now_s >= view.next_rotation_s
    if view.neighbours_version == view.rings.version and not rotate:
        return
    view.neighbours_version = view.rings.version
    if rotate or view.random_neighbour not in view.rings.members:
        view.next_rotation_s = now_s + ROTATION_INTERVAL_S
        addresses = list(view.rings.members)
        view.random_neighbour = (
            view.random.choice(addresses) if addresses else ""
        )
        view.mismatches.clear()
        view.last_sync_s.clear()
    view.neighbours = view.rings.successors()
    if view.random_neighbour and view.random_neighbour not in view.neighbours:
        view.neighbours.append(view.random_neighbour)
    view.detector.expect(view.rings.predecessors(), now_s)


def _detect_failures(view: views.View, now_s: float) -> None:
    result = detector.check(view.detector, now_s)
    for address in result.probe:
        _probe(view, address)
    for address in result.dead:
        known = view.table.records.get(address)
        if known is not None and known.state != "dead":
            dead = known._replace(state="dead", dead_for_s=0.0)
            views.merge(view, dead, "", now_s, reason="silent")


def _probe(view: views.View, target: str) -> None:
    probe = messages.Probe(view.me.address, target)
    views.send(view, target, probe, fresh=True)
    forwarders = [
        address for address in view.rings.members if address != target
    ]
    count = min(PROBE_FORWARDERS, len(forwarders))
    for forwarder in view.random.sample(forwarders, count):
        views.send(view, forwarder, probe)


def _other_members(view: views.View) -> list[records.Record]:
    return [
        record
        for record in view.table.records.values()
        if record.state != "dead" and record.address != view.me.address
    ]


def _contact_missing(view: views.View, now_s: float) -> None:
    """Contacts a random daemon that is dead or unknown.

    This reunites the fleet after a network partition.
    """
    known = view.table.records
    candidates = view.seeds | view.listed
    unknown = [address for address in candidates if address not in known]
    joined = view.joined and len(unknown) <= MAX_UNKNOWN_SHARE * len(candidates)
    wait_s = RECONNECT_INTERVAL_S if joined else JOIN_INTERVAL_S
    view.next_reconnect_s = now_s + wait_s * view.random.uniform(0.75, 1.25)
    dead = [a for a in view.table.dead_since_s if a != view.me.address]
    if view.last_contacted in unknown + dead:
        view.closing.append(view.last_contacted)
    view.last_contacted = ""
    if unknown or dead:
        view.last_contacted = view.random.choice(sorted(unknown + dead))
        beat = membership_handlers.heartbeat(view)
        views.send(view, view.last_contacted, beat, fresh=True)
    if known[view.me.address].start_id != view.me.start_id:
        views.probe_own_address(view)
