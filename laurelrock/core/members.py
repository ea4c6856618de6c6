"""Defines the members of the fleet, as other components see them."""

import collections.abc
import typing

__all__ = ["Member", "Role"]

Role = typing.Literal["entry", "relay"]


class Member(typing.NamedTuple):
    """One daemon of the fleet.

    Attributes:
        vm: Name of the VM that the daemon runs on.
        role: Role of the daemon, "entry" or "relay".
        address: IP address and port of the daemon's bus.
        failure_domain: Failure domain that the daemon runs in.
        region: Region that the failure domain belongs to.
        start_id: Random id, new with each start of the process.
        state: State of the member; one that is "leaving" receives no new
            work.
    """

    vm: str
    role: Role
    address: str
    failure_domain: str
    region: str
    start_id: str
    state: typing.Literal["live", "leaving"] = "live"


#: Returns the members of a role that can currently be used.
UsableMembers = collections.abc.Callable[[Role], list[Member]]
