"""Handles the membership messages that other daemons send.

Daemons keep their tables of records equal by anti-entropy: a daemon whose
table digest differs from a peer's sends its bucket digests, and both sides
then exchange the records of the buckets that differ.
"""

import collections.abc
import typing

from laurelrock import messages
from laurelrock.core import records
from laurelrock.core import view as views

__all__ = [
    "HANDLERS",
    "heartbeat",
    "on_bucket_records",
    "on_heartbeat",
    "on_probe",
    "on_probe_reply",
    "on_records",
    "on_table_digest",
    "on_vm_leaving",
    "send_table_digest",
]

#: Consecutive heartbeats with a different digest before tables are compared.
MISMATCHES_BEFORE_SYNC = 3

#: Minimum time between two comparisons with the same peer, in seconds.
MIN_SYNC_INTERVAL_S = 1.0


def heartbeat(view: views.View) -> messages.Heartbeat:
    """Returns the heartbeat message of this daemon."""
    return messages.Heartbeat(
        view.me.address,
        view.me.start_id,
        view.table.digest,
        view.generation,
        view.digest,
    )


def on_heartbeat(
    view: views.View, message: messages.Heartbeat, now_s: float
) -> None:
    """Records contact with the sender; compares tables if they differ.

    The tables are compared at once if the sender's start is unknown or
    recorded as dead, and otherwise after `MISMATCHES_BEFORE_SYNC` heartbeats,
    since a change may still be on its way.
    """
    view.detector.record_message(now_s)
    address = message.address
    known = view.table.records.get(address)
    if (
        known is None
        or known.start_id != message.start_id
        or known.state == "dead"
    ):
        send_table_digest(view, address, now_s)
        return
    view.detector.record_contact(address, now_s)
    if message.table_digest == view.table.digest:
        view.mismatches.pop(address, None)
        return
    count = view.mismatches.get(address, 0) + 1
    view.mismatches[address] = count
    if count >= MISMATCHES_BEFORE_SYNC:
        send_table_digest(view, address, now_s)


def send_table_digest(view: views.View, address: str, now_s: float) -> None:
    """Sends the bucket digests to a peer, which replies with what differs."""
    if (
        now_s - view.last_sync_s.get(address, -MIN_SYNC_INTERVAL_S)
        < MIN_SYNC_INTERVAL_S
    ):
        return
    view.last_sync_s[address] = now_s
    view.mismatches.pop(address, None)
    digests = list(view.table.digests)
    message = messages.TableDigests(view.me.address, digests)
    views.send(view, address, message)


def on_table_digest(
    view: views.View, message: messages.TableDigests, now_s: float
) -> None:
    """Replies with the records of the buckets whose digests differ."""
    view.detector.record_message(now_s)
    buckets = view.table.differing_buckets(message.digests)
    if not buckets:
        return
    sent = [
        view.table.record_to_send(address, now_s)
        for address in view.table.addresses_in(buckets)
    ]
    reply = messages.BucketRecords(view.me.address, sorted(buckets), sent)
    views.send(view, message.address, reply)


def on_bucket_records(
    view: views.View, message: messages.BucketRecords, now_s: float
) -> None:
    """Merges a peer's records and sends back those that it lacks."""
    view.detector.record_message(now_s)
    theirs = {record.address: record for record in message.records}
    missing = []
    for address in view.table.addresses_in(set(message.buckets)):
        own_record = view.table.record_to_send(address, now_s)
        their_record = theirs.get(address)
        if their_record is None or records.rank(their_record) < records.rank(
            own_record
        ):
            missing.append(own_record)
    for record in message.records:
        views.merge(view, record, message.address, now_s, view.joined)
    reply = messages.MembershipRecords(
        view.me.address, missing, from_comparison=True
    )
    views.send(view, message.address, reply)


def on_records(
    view: views.View, message: messages.MembershipRecords, now_s: float
) -> None:
    """Merges records and forwards the new ones to the neighbours.

    The records that a joining daemon receives from its first comparison of
    tables are not forwarded.
    """
    view.detector.record_message(now_s)
    forward = view.joined or not message.from_comparison
    for record in message.records:
        views.merge(view, record, message.address, now_s, forward)
    view.joined = view.joined or message.from_comparison


def on_probe(view: views.View, message: messages.Probe, now_s: float) -> None:
    """Replies to a probe of this daemon, or forwards it to the target."""
    view.detector.record_message(now_s)
    if message.target != view.me.address:
        forwarded = message._replace(forwarder=view.me.address)
        views.send(view, message.target, forwarded)
        return
    reply = messages.ProbeReply(message.requester, view.me)
    if message.forwarder:
        views.send(view, message.forwarder, reply)
    else:
        # A neighbour that probes has missed this daemon's heartbeats, so the
        # reply does not use the connection that they were sent over.
        missed_heartbeats = message.requester in view.neighbours
        views.send(view, message.requester, reply, fresh=missed_heartbeats)


def on_probe_reply(
    view: views.View, message: messages.ProbeReply, now_s: float
) -> None:
    """Records contact with the sender, or forwards the reply."""
    view.detector.record_message(now_s)
    record = message.record
    if message.requester != view.me.address:
        views.send(view, message.requester, message)
    elif record.address == view.me.address:
        views.resolve_address_conflict(view, record, now_s)
    else:
        views.merge(view, record, record.address, now_s)
        known = view.table.records.get(record.address)
        if known is not None and known.start_id == record.start_id:
            view.detector.record_contact(record.address, now_s)


def on_vm_leaving(
    view: views.View, message: messages.VmLeaving, now_s: float
) -> None:
    """Announces that this daemon leaves, if its VM is listed as leaving."""
    if message.vm == view.me.vm and view.me.state == "live":
        view.leaving_by_list = True
        leaving = view.me._replace(state="leaving")
        views.update_own_record(view, leaving, now_s, "vm-list")


#: Handler of each type of message.
HANDLERS: dict[
    type, collections.abc.Callable[[views.View, typing.Any, float], None]
] = {
    messages.Heartbeat: on_heartbeat,
    messages.MembershipRecords: on_records,
    messages.TableDigests: on_table_digest,
    messages.BucketRecords: on_bucket_records,
    messages.Probe: on_probe,
    messages.ProbeReply: on_probe_reply,
    messages.VmLeaving: on_vm_leaving,
}
