"""Gathering: when a query over many shards is answered, and with what.

An answer within the route's objective has its full use, so a partial answer
goes out just before it, once the least share of shards is in. After the
objective an answer is worth little more for being whole, and the caller still
waits, so it goes out as soon as the least share is in and a short grace for
the rest has passed.
"""

import collections.abc
import heapq
import typing

__all__ = [
    "Plan",
    "create_plan",
    "greatest",
    "ready",
    "sending_s",
    "wake_s",
]

#: Size of a record, in bytes.
RECORD_BYTES = 16
#: Time that a loaded loop needs to merge and send an answer, in seconds.
MERGE_S = 0.006
#: Bytes of one shard's proof in an answer, about.
PROOF_BYTES = 32
#: Time after the objective that missing parts are given, as a fraction of
#: the objective.
GRACE_FRACTION = 0.25


class Plan(typing.NamedTuple):
    """When one query is answered.

    Attributes:
        shards: Asked.
        least: Fewest shards of a success.
        objective_s: Loop time at which a partial answer goes out.
        grace_s: Loop time at which one goes out that missed the objective.
        end_s: Loop time at which the query fails.
    """

    shards: int
    least: int
    objective_s: float
    grace_s: float
    end_s: float


def sending_s(shards: int, top: int, link_bytes_per_s: float) -> float:
    """Returns the time that a query's answer takes on the VM's link."""
    size = shards * PROOF_BYTES + top * RECORD_BYTES
    return size / link_bytes_per_s


def create_plan(
    shards: int,
    least: int,
    asked_s: float,
    objective_s: float,
    return_s: float,
    end_s: float,
) -> Plan:
    """Returns the plan of a query.

    Args:
        shards: Asked.
        least: Fewest of a success.
        asked_s: Loop time at which the caller first asked.
        objective_s: Of the route.
        return_s: Time that an answer takes to the caller.
        end_s: Loop time at which the caller gives up.
    """
    aim_s = asked_s + objective_s - return_s - MERGE_S
    grace_s = aim_s + objective_s * GRACE_FRACTION
    return Plan(shards, least, aim_s, grace_s, end_s)


def ready(plan: Plan, included: int, open_parts: int, now_s: float) -> bool:
    """Tells whether a query is answered now.

    Args:
        plan: Of the query.
        included: Shards that are in.
        open_parts: Shards that may still come.
        now_s: Present time.
    """
    if not open_parts or now_s >= plan.end_s:
        return True
    if included + open_parts < plan.least:
        return True
    if included < plan.least:
        return False
    if now_s >= plan.grace_s:
        return True
    return plan.objective_s <= now_s < plan.objective_s + MERGE_S


def wake_s(plan: Plan, now_s: float) -> float:
    """Returns the loop time at which `ready` may change by itself."""
    for moment in (plan.objective_s, plan.grace_s):
        if now_s < moment:
            return min(moment, plan.end_s)
    return plan.end_s


def greatest(bodies: collections.abc.Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of several parts, greatest first.

    Records are compared byte by byte and equal ones all count. A remainder
    shorter than a record is left out.
    """
    records = [
        body[at : at + RECORD_BYTES]
        for body in bodies
        for at in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
