"""Defines the membership records that daemons exchange, and their order.

Records of one address are ordered by epoch, start id, incarnation and state,
and every daemon keeps the highest one. An epoch is the process's start in
wall-clock milliseconds, raised above any epoch already known for the address,
so that differences between clocks do not decide which start is the later.
Only the process itself raises its epoch and its incarnation.
"""

import typing

import xxhash

from laurelrock.core import members

__all__ = ["Record", "as_member", "fingerprint", "rank"]

State = typing.Literal["live", "leaving", "dead"]

#: Rank of each state among records of the same incarnation.
STATE_RANKS: dict[State, int] = {"live": 0, "leaving": 1, "dead": 2}


class Record(typing.NamedTuple):
    """State of one daemon, as another daemon knows it.

    Attributes:
        address: IP address and port of the daemon's bus; the key of the
            record.
        vm: Name of the VM that the daemon runs on.
        role: Role of the daemon, "entry" or "relay".
        failure_domain: Failure domain that the daemon runs in.
        region: Region that the failure domain belongs to.
        start_id: Random id, new with each start of the process.
        epoch: Number that orders the starts at one address.
        incarnation: Number that the daemon raises to refute a record of
            itself.
        state: State of the daemon; one that is "leaving" receives no new
            work.
        dead_for_s: Time since the daemon was declared dead, in seconds; a
            duration, because clocks differ between VMs.
    """

    address: str
    vm: str
    role: members.Role
    failure_domain: str
    region: str
    start_id: str
    epoch: int
    incarnation: int = 0
    state: State = "live"
    dead_for_s: float = 0.0


def rank(record: Record) -> tuple[int, str, int, int]:
    """Returns the sort key that orders the records of one address."""
    state = STATE_RANKS[record.state]
    return record.epoch, record.start_id, record.incarnation, state


def fingerprint(record: Record) -> int:
    """Returns a 64-bit hash of a record's address and rank."""
    text = f"{record.address} {rank(record)}"
    return xxhash.xxh3_64_intdigest(text.encode())


def as_member(record: Record) -> members.Member:
    """Returns the member that the record of a daemon not dead describes."""
    return members.Member(
        vm=record.vm,
        role=record.role,
        address=record.address,
        failure_domain=record.failure_domain,
        region=record.region,
        start_id=record.start_id,
        state="live" if record.state == "live" else "leaving",
    )
