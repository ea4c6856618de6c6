"""Exchange: answers to the membership messages of other daemons."""

import collections.abc
import typing

from laurelrock import messages
from laurelrock.core import records
from laurelrock.core import view as views

__all__ = [
    "HANDLERS",
    "compare",
    "heartbeat",
    "on_bucket_records",
    "on_heartbeat",
    "on_probe",
    "on_probe_reply",
    "on_records",
    "on_table_digest",
    "on_vm_leaving",
]

#: Heartbeats in a row with another digest before tables are compared.
MISMATCHES = 3

#: Least time between two comparisons with the same peer, in seconds.
COMPARE_S = 1.0


def heartbeat(view: views.View) -> messages.Heartbeat:
    """Returns this daemon's heartbeat."""
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
    """Notes a sign of life; compares tables where they seem to differ."""
    view.detector.heard_anything(now_s)
    address = message.address
    held = view.table.records.get(address)
    if (
        held is None
        or held.start_id != message.start_id
        or held.state == "dead"
    ):
        compare(view, address, now_s)
        return
    view.detector.heard(address, now_s)
    if message.table == view.table.digest:
        view.mismatches.pop(address, None)
        return
    count = view.mismatches.get(address, 0) + 1
    view.mismatches[address] = count
    if count >= MISMATCHES:
        compare(view, address, now_s)


def compare(view: views.View, address: str, now_s: float) -> None:
    """Sends the table's digests to a peer, which answers what differs."""
    if now_s - view.compared_s.get(address, -COMPARE_S) < COMPARE_S:
        return
    view.compared_s[address] = now_s
    view.mismatches.pop(address, None)
    digests = list(view.table.digests)
    message = messages.TableDigest(view.me.address, digests)
    views.send(view, address, message)


def on_table_digest(
    view: views.View, message: messages.TableDigest, now_s: float
) -> None:
    """Answers with the records of the buckets that differ."""
    view.detector.heard_anything(now_s)
    buckets = view.table.differing(message.digests)
    if not buckets:
        return
    held = [
        view.table.outgoing(address, now_s)
        for address in view.table.in_buckets(buckets)
    ]
    answer = messages.BucketRecords(view.me.address, sorted(buckets), held)
    views.send(view, message.address, answer)


def on_bucket_records(
    view: views.View, message: messages.BucketRecords, now_s: float
) -> None:
    """Takes in a peer's records and returns what it lacks."""
    view.detector.heard_anything(now_s)
    theirs = {record.address: record for record in message.records}
    lacking = []
    for address in view.table.in_buckets(set(message.buckets)):
        ours = view.table.outgoing(address, now_s)
        other = theirs.get(address)
        if other is None or records.rank(other) < records.rank(ours):
            lacking.append(ours)
    for record in message.records:
        views.merge(view, record, message.address, now_s, view.joined)
    answer = messages.Records(view.me.address, lacking, bulk=True)
    views.send(view, message.address, answer)


def on_records(
    view: views.View, message: messages.Records, now_s: float
) -> None:
    """Takes in records; a newcomer's first table is not passed on."""
    view.detector.heard_anything(now_s)
    passed_on = view.joined or not message.bulk
    for record in message.records:
        views.merge(view, record, message.address, now_s, passed_on)
    view.joined = view.joined or message.bulk


def on_probe(view: views.View, message: messages.Probe, now_s: float) -> None:
    """Answers for itself, or passes the question on to the target."""
    view.detector.heard_anything(now_s)
    if message.target != view.me.address:
        passed_on = message._replace(helper=view.me.address)
        views.send(view, message.target, passed_on)
        return
    answer = messages.ProbeReply(message.asker, view.me)
    if message.helper:
        views.send(view, message.helper, answer)
    else:
        unheard = message.asker in view.neighbours
        views.send(view, message.asker, answer, fresh=unheard)


def on_probe_reply(
    view: views.View, message: messages.ProbeReply, now_s: float
) -> None:
    """Notes a sign of life, or passes it on to the asker."""
    view.detector.heard_anything(now_s)
    record = message.record
    if message.asker != view.me.address:
        views.send(view, message.asker, message)
    elif record.address == view.me.address:
        views.settle_address(view, record, now_s)
    else:
        views.merge(view, record, record.address, now_s)
        held = view.table.records.get(record.address)
        if held is not None and held.start_id == record.start_id:
            view.detector.heard(record.address, now_s)


def on_vm_leaving(
    view: views.View, message: messages.VmLeaving, now_s: float
) -> None:
    """Announces that this daemon's VM is listed as leaving."""
    if message.vm == view.me.vm and view.me.state == "live":
        view.left_by_list = True
        leaving = view.me._replace(state="leaving")
        views.declare(view, leaving, now_s, "vm-list")


#: What takes in each type of message.
HANDLERS: dict[
    type, collections.abc.Callable[[views.View, typing.Any, float], None]
] = {
    messages.Heartbeat: on_heartbeat,
    messages.Records: on_records,
    messages.TableDigest: on_table_digest,
    messages.BucketRecords: on_bucket_records,
    messages.Probe: on_probe,
    messages.ProbeReply: on_probe_reply,
    messages.VmLeaving: on_vm_leaving,
}
