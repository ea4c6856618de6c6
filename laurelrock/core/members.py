"""Members: the daemons that a daemon knows of."""

import collections.abc
import typing

__all__ = ["Member", "Role"]

Role = typing.Literal["entry", "relay"]


class Member(typing.NamedTuple):
    """One daemon.

    Attributes:
        vm: Name of its VM.
        role: What it does.
        address: IP number and port of its bus.
        failure_domain: Where it runs.
        region: Where its failure domain is.
        start_id: Random id of this start of the process.
        state: "leaving" members receive no new work.
    """

    vm: str
    role: Role
    address: str
    failure_domain: str
    region: str
    start_id: str
    state: typing.Literal["live", "leaving"] = "live"


#: Returns the members that can be used now, by role.
Roster = collections.abc.Callable[[Role], list[Member]]
