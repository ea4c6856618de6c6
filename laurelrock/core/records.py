"""Membership records: what one daemon tells of another.

Records of one address are ordered by epoch, start id, incarnation and state;
the higher one wins everywhere. An epoch is the process's start in wall-clock
milliseconds, raised above any epoch already known for the address, so clocks
that differ do not decide. Only the process itself raises its epoch and its
incarnation.
"""

import typing

import xxhash

from laurelrock.core import members

__all__ = ["Record", "as_member", "fingerprint", "rank"]

State = typing.Literal["live", "leaving", "dead"]

#: Rank of a state within one incarnation.
STATE_RANKS: dict[State, int] = {"live": 0, "leaving": 1, "dead": 2}


class Record(typing.NamedTuple):
    """One daemon as another one knows it.

    Attributes:
        address: IP number and port of its bus; the key of the record.
        vm: Name of its VM.
        role: What it does.
        failure_domain: Where it runs.
        region: Where its failure domain is.
        start_id: Random id of this start of the process.
        epoch: Orders the starts at one address.
        incarnation: Raised by the daemon to refute a record of itself.
        state: "leaving" daemons receive no new work.
        dead_for_s: Seconds since it was declared dead; a duration, as clocks
            differ.
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
    """Returns the sort key that decides between records of one address."""
    state = STATE_RANKS[record.state]
    return record.epoch, record.start_id, record.incarnation, state


def fingerprint(record: Record) -> int:
    """Returns a 64-bit hash of the address and the rank."""
    text = f"{record.address} {rank(record)}"
    return xxhash.xxh3_64_intdigest(text.encode())


def as_member(record: Record) -> members.Member:
    """Returns the member that a record of a daemon not dead describes."""
    return members.Member(
        vm=record.vm,
        role=record.role,
        address=record.address,
        failure_domain=record.failure_domain,
        region=record.region,
        start_id=record.start_id,
        state="live" if record.state == "live" else "leaving",
    )
