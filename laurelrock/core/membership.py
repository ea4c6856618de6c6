"""Membership: who is in the fleet, as one daemon sees it.

A state machine: ticks, messages (see `exchange`) and the platform's list of
VMs go in with the present time; messages to send and events come out.
"""

import collections.abc
import random as randomness

from laurelrock import messages
from laurelrock.core import detector
from laurelrock.core import exchange
from laurelrock.core import members
from laurelrock.core import records
from laurelrock.core import view as views

__all__ = [
    "announce",
    "flush",
    "leave",
    "make",
    "on_listed",
    "roster",
    "roster_key",
    "tick",
]

#: Time that changes are gathered before they are passed on, in seconds.
GATHER_S = 0.05

#: How long a random member is kept as a neighbour, in seconds.
ROTATE_S = 30.0

#: Time between two attempts to reach a dead or unknown daemon, in seconds.
HEAL_S = 5.0

#: The same before this daemon has joined, in seconds.
JOIN_S = 0.5

#: Part of the addresses given that may be unknown once it has joined.
UNKNOWN_SHARE = 0.75

#: Members that are asked to probe a silent one.
HELPERS = 2


def make(
    me: records.Record,
    random: randomness.Random,
    now_s: float,
    seeds: list[str],
) -> views.View:
    """Returns the view of a daemon that knows only itself.

    Args:
        me: Its record; the epoch is its start in wall-clock milliseconds.
        random: Source of random choices.
        now_s: Present time on a monotonic clock.
        seeds: Addresses where other daemons may be.
    """
    return views.View(me, random, now_s, seeds)


def tick(view: views.View, now_s: float) -> None:
    """Does what is due; call it every 0.25 s or more often."""
    _arrange(view, now_s)
    _judge(view, now_s)
    if now_s >= view.next_heartbeat_s:
        view.next_heartbeat_s = now_s + detector.HEARTBEAT_S
        view.table.forget_dead(now_s)
        view.holds.forget_old(now_s)
        announce(view)
    if now_s >= view.next_heal_s:
        _reach_out(view, now_s)
    flush(view, now_s)


def announce(view: views.View) -> None:
    """Sends a heartbeat to each neighbour."""
    beat = exchange.heartbeat(view)
    for address in view.neighbours:
        views.send(view, address, beat)


def flush(view: views.View, now_s: float) -> None:
    """Passes changed records on, at most once in `GATHER_S`."""
    if not view.unsent or now_s < view.next_flush_s:
        return
    view.next_flush_s = now_s + GATHER_S
    _arrange(view, now_s)
    for neighbour in view.neighbours:
        changed = [
            view.table.outgoing(address, now_s)
            for address, source in view.unsent.items()
            if source != neighbour and address in view.table.records
        ]
        if changed:
            message = messages.Records(view.me.address, changed)
            views.send(view, neighbour, message)
    if view.neighbours:
        view.unsent.clear()


def leave(view: views.View, now_s: float) -> None:
    """Announces that this daemon receives no new work."""
    view.left_by_list = False
    if view.me.state == "live":
        leaving = view.me._replace(state="leaving")
        views.declare(view, leaving, now_s, "shutdown")
        view.next_flush_s = now_s
        flush(view, now_s)


def on_listed(
    view: views.View, states: dict[str, str], addresses: set[str], now_s: float
) -> None:
    """Takes in the platform's list of VMs.

    A daemon whose VM is newly listed as leaving is told, so that it announces
    it; the reader itself believes the list at once.

    Args:
        view: What it is taken into.
        states: "live" or "leaving" by name of the VM.
        addresses: Where daemons of the listed VMs may be.
        now_s: Present time.
    """
    leaving = {vm for vm, state in states.items() if state == "leaving"}
    for record in _others(view):
        if record.vm in leaving - view.listed_leaving:
            view.events.append(views.Event("leaving", record, "vm-list"))
            if record.state == "live":
                notice = messages.VmLeaving(record.vm)
                views.send(view, record.address, notice)
    view.listed_leaving = leaving
    view.listed = addresses - {view.me.address}
    if view.me.vm in leaving:
        exchange.on_vm_leaving(view, messages.VmLeaving(view.me.vm), now_s)
    elif states.get(view.me.vm) == "live" and view.left_by_list:
        view.left_by_list = False
        raised = view.me._replace(
            state="live", incarnation=view.me.incarnation + 1
        )
        views.declare(view, raised, now_s, "vm-list")


def roster(
    view: views.View, role: members.Role, now_s: float
) -> list[members.Member]:
    """Returns the members of a role that can be used now, by address.

    Relays that came back lately are left out, except in a region that has no
    others. A daemon that hears nobody counts on nobody else.
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
        usable = _without_held(view, usable, now_s)
    usable.sort(key=lambda record: record.address)
    return [records.as_member(record) for record in usable]


def roster_key(view: views.View, now_s: float) -> collections.abc.Hashable:
    """Returns a value that changes whenever a roster may."""
    leaving = frozenset(view.listed_leaving)
    held = view.holds.held(now_s)
    return view.table.version, view.detector.isolated, leaving, held


def _without_held(
    view: views.View, usable: list[records.Record], now_s: float
) -> list[records.Record]:
    held = view.holds.held(now_s)
    free = [record for record in usable if record.address not in held]
    regions = {record.region for record in free}
    return free + [r for r in usable if r.region not in regions]


def _arrange(view: views.View, now_s: float) -> None:
    """Chooses the neighbours anew where the fleet changed."""
    rotate = now_s >= view.next_rotation_s
    if view.arranged_version == view.rings.version and not rotate:
        return
    view.arranged_version = view.rings.version
    if rotate or view.visitor not in view.rings.members:
        view.next_rotation_s = now_s + ROTATE_S
        addresses = list(view.rings.members)
        view.visitor = view.random.choice(addresses) if addresses else ""
        view.mismatches.clear()
        view.compared_s.clear()
    view.neighbours = view.rings.successors()
    if view.visitor and view.visitor not in view.neighbours:
        view.neighbours.append(view.visitor)
    view.detector.expect(view.rings.predecessors(), now_s)


def _judge(view: views.View, now_s: float) -> None:
    verdicts = detector.check(view.detector, now_s)
    for address in verdicts.probe:
        _probe(view, address)
    for address in verdicts.dead:
        held = view.table.records.get(address)
        if held is not None and held.state != "dead":
            dead = held._replace(state="dead", dead_for_s=0.0)
            views.merge(view, dead, "", now_s, reason="silent")


def _probe(view: views.View, target: str) -> None:
    question = messages.Probe(view.me.address, target)
    views.send(view, target, question, fresh=True)
    helpers = [address for address in view.rings.members if address != target]
    count = min(HELPERS, len(helpers))
    for helper in view.random.sample(helpers, count):
        views.send(view, helper, question)


def _others(view: views.View) -> list[records.Record]:
    return [
        record
        for record in view.table.records.values()
        if record.state != "dead" and record.address != view.me.address
    ]


def _reach_out(view: views.View, now_s: float) -> None:
    """Calls a daemon that is dead or unknown, so that cuts heal."""
    held = view.table.records
    given = view.seeds | view.listed
    unknown = [address for address in given if address not in held]
    joined = view.joined and len(unknown) <= UNKNOWN_SHARE * len(given)
    wait_s = HEAL_S if joined else JOIN_S
    view.next_heal_s = now_s + wait_s * view.random.uniform(0.75, 1.25)
    dead = [a for a in view.table.dead_since_s if a != view.me.address]
    if view.called in unknown + dead:
        view.closing.append(view.called)
    view.called = ""
    if unknown or dead:
        view.called = view.random.choice(sorted(unknown + dead))
        beat = exchange.heartbeat(view)
        views.send(view, view.called, beat, fresh=True)
    if held[view.me.address].start_id != view.me.start_id:
        views.probe_own_address(view)
