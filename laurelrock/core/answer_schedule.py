"""Decides when a query over many shards is answered, and merges the records.

A response within the route's latency objective has its full value, so a partial
response is sent just before the objective if the minimum number of shards has
responded. After the objective, completeness adds little while the caller still
waits, so the response is sent as soon as the minimum is reached and a short
grace period for the other shards has passed.
"""

import collections.abc
import heapq
import typing

__all__ = [
    "AnswerSchedule",
    "create_schedule",
    "merge_top_records",
    "next_decision_s",
    "owner_advance_s",
    "owner_due_s",
    "ready",
    "transfer_time_s",
]

#: Size of a record, in bytes.
RECORD_BYTES = 16
#: Time that a loaded event loop needs to merge and send a response, in seconds.
SEND_MARGIN_S = 0.006
#: Time before a partial response at which another VM sends the parts that it
#: has, in seconds. Its event loop may send late, and this one may read late; a
#: query waits for the slowest of many VMs. With 4 ms, a third of the late
#: queries on a busy day had their minimum within 12 ms after this time.
OWNER_MARGIN_S = 2 * SEND_MARGIN_S
#: Maximum fraction of the time until an owner's result is due by which it is
#: sent earlier. An owner sends each part that completes later by itself.
MAX_ADVANCE_FRACTION = 0.5
#: Approximate size of the stamp of one shard in a response, in bytes.
SHARD_STAMP_BYTES = 32
#: Grace period for missing shards after the objective, as a fraction of the
#: objective.
GRACE_FRACTION = 0.25


class AnswerSchedule(typing.NamedTuple):
    """Times at which one query is answered, on the event loop's clock.

    Attributes:
        shards: Number of shards queried.
        min_shards: Minimum number of shards for a successful response.
        partial_at_s: Loop time at which a partial response is sent to meet the
            objective, in seconds.
        late_partial_at_s: Loop time at which a partial response is sent if the
            objective was missed, in seconds.
        deadline_s: Loop time at which the query fails, in seconds.
    """

    shards: int
    min_shards: int
    partial_at_s: float
    late_partial_at_s: float
    deadline_s: float


def transfer_time_s(
    shards: int, max_records: int, link_bytes_per_s: float
) -> float:
    """Returns the time to send a response over the VM's link, in seconds."""
    size = shards * SHARD_STAMP_BYTES + max_records * RECORD_BYTES
    return size / link_bytes_per_s


def create_schedule(
    shards: int,
    min_shards: int,
    caller_start_s: float,
    objective_s: float,
    response_delay_s: float,
    deadline_s: float,
) -> AnswerSchedule:
    """Returns the answer schedule of a query.

    Args:
        shards: Number of shards queried.
        min_shards: Minimum number of shards for a successful response.
        caller_start_s: Loop time at which the caller sent its first attempt, in
            seconds.
        objective_s: Latency objective of the route, in seconds.
        response_delay_s: Time for the response to reach the caller, in seconds.
        deadline_s: Loop time at which the caller gives up, in seconds.
    """
    partial_at_s = (
        caller_start_s + objective_s - response_delay_s - SEND_MARGIN_S
    )
    late_partial_at_s = partial_at_s + objective_s * GRACE_FRACTION
    return AnswerSchedule(
        shards, min_shards, partial_at_s, late_partial_at_s, deadline_s
    )


def owner_due_s(partial_at_s: float) -> float:
    """Returns when another VM sends the parts that it has, in seconds.

    It sends the others as they complete.
    """
    return partial_at_s - OWNER_MARGIN_S


def owner_advance_s(round_trip_s: float, due_in_s: float) -> float:
    """Returns how much earlier an owner sends its first result, in seconds.

    The owner counts the time until the result is due from the arrival of the
    request, and the result then takes its way back. With loaded event loops
    the round trip exceeds the margin of `owner_due_s`.

    Args:
        round_trip_s: Time from the request to the owner's reply, in seconds.
        due_in_s: Time from the request until the result is due, in seconds.
    """
    return min(round_trip_s, max(0.0, due_in_s) * MAX_ADVANCE_FRACTION)


def ready(
    schedule: AnswerSchedule,
    answered_shards: int,
    pending_shards: int,
    now_s: float,
) -> bool:
    """Tells whether the query should be answered now.

    Args:
        schedule: Answer schedule of the query.
        answered_shards: Number of shards that have responded.
        pending_shards: Number of shards that may still respond.
        now_s: Current loop time, in seconds.
    """
    if not pending_shards or now_s >= schedule.deadline_s:
        return True
    if answered_shards + pending_shards < schedule.min_shards:
        return True
    if answered_shards < schedule.min_shards:
        return False
    if now_s >= schedule.late_partial_at_s:
        return True
    return (
        schedule.partial_at_s <= now_s < schedule.partial_at_s + SEND_MARGIN_S
    )


def next_decision_s(schedule: AnswerSchedule, now_s: float) -> float:
    """Returns the next loop time at which the result of `ready` may change."""
    for moment in (schedule.partial_at_s, schedule.late_partial_at_s):
        if now_s < moment:
            return min(moment, schedule.deadline_s)
    return schedule.deadline_s


def merge_top_records(
    bodies: collections.abc.Iterable[bytes], max_records: int
) -> bytes:
    """Returns the greatest records of several parts in descending order.

    Records are compared bytewise and duplicates are kept. Trailing bytes that
    do not fill a record are ignored.
    """
    records = [
        body[at : at + RECORD_BYTES]
        for body in bodies
        for at in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(max_records, records))
