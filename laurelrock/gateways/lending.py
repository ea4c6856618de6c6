"""Lends extra calls of a shared budget from one VM to another.

In a large fleet the allowance of extra calls is concentrated
(`core.retry_budget`): in each failure domain the VM that ranks first for a
service has most of it. The other VMs ask that VM, with one round trip, before
they make an extra call beyond what their own requests allow.
"""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import retry_budget

__all__ = ["KINDS", "BorrowReply", "BorrowRequest", "Lending", "create_lending"]

#: Time in seconds in which the lender has to reply: several times the round
#: trip of a message on a loaded VM.
REPLY_TIMEOUT_S = 0.03

_log = logs.get_logger(__name__)

OnReply = collections.abc.Callable[[bool], None]


class BorrowRequest(typing.NamedTuple):
    """Asks for one extra call.

    Attributes:
        number: Identifies the request among those of the sender.
        service: The service to be called.
    """

    number: int
    service: str


class BorrowReply(typing.NamedTuple):
    """Says whether the extra call may be made.

    Attributes:
        number: The number of the request.
        granted: Whether the call may be made.
    """

    number: int
    granted: bool


KINDS: dict[int, type] = {9: BorrowRequest, 10: BorrowReply}


class PendingBorrow(typing.NamedTuple):
    """A request for an extra call without a reply yet.

    Attributes:
        lender: The name of the VM that was asked.
        service: The service to be called.
        done: Called with whether the call may be made.
        timer: Expires if there is no reply in time.
    """

    lender: str
    service: str
    done: OnReply
    timer: asyncio.TimerHandle


class Lending:
    """State of the extra calls that this VM borrows.

    Attributes:
        budget: The budget of extra calls.
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        vms: The listed VMs.
        domains: The number of failure domains of those VMs.
        ranking_keys: The keys under which VMs are ranked for a service, if
            other than its name; a shard is ranked under its group's key.
        ranked_lenders: The VMs of this failure domain that have a share, by
            ranking key.
        pending: The requests without a reply, by number.
        last_number: The number of the last request.
        counts: The number of replies by kind, for the metrics.
    """

    def __init__(
        self,
        budget: retry_budget.Budget,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
    ) -> None:
        self.budget = budget
        self.peer_links = peer_links
        self.me = me
        self.port = port
        self.vms: list[owners.Vm] = []
        self.domains = 1
        self.ranking_keys: dict[str, str] = {}
        self.ranked_lenders: dict[str, list[owners.Vm]] = {}
        self.pending: dict[int, PendingBorrow] = {}
        self.last_number = 0
        self.counts = {"lent": 0, "declined": 0, "silent": 0}
        self.loop = asyncio.get_running_loop()

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the VMs that share the allowance."""
        self.vms = vms
        self.domains = len({vm.failure_domain for vm in vms})
        self.ranked_lenders.clear()
        concentrated = retry_budget.is_concentrated(
            self.budget.policy, len(vms)
        )
        self.budget.own_allowance_fraction = (
            self.allowance_share if concentrated else None
        )

    def set_groups(self, groups: list[tuple[str, ...]]) -> None:
        """Sets the groups of shards that owners call."""
        self.ranking_keys = {
            name: group[0] for group in groups for name in group
        }
        self.ranked_lenders.clear()

    def lenders(self, service: str) -> list[owners.Vm]:
        """Returns the VMs of this failure domain that have a share."""
        key = self.ranking_keys.get(service, service)
        rows = self.ranked_lenders.get(key)
        if rows is None:
            domain = self.me.failure_domain
            local_vms = [vm for vm in self.vms if vm.failure_domain == domain]
            rows = owners.rank_owners(
                key, local_vms, domain, len(retry_budget.RANK_FRACTIONS)
            )
            self.ranked_lenders[key] = rows
        return rows

    def allowance_share(self, service: str) -> float:
        """Returns this VM's share of the allowance of `retry_budget.Budget`."""
        rows = self.lenders(service)
        rank = rows.index(self.me) if self.me in rows else None
        return retry_budget.allowance_fraction(rank, self.domains)

    def borrow(self, service: str, done: OnReply) -> bool:
        """Asks another VM for an extra call.

        Args:
            service: The service to be called.
            done: Called once with whether the call may be made.

        Returns:
            Whether there is a VM to ask.
        """
        if self.budget.own_allowance_fraction is None:
            return False
        lender = next(iter(self.lenders(service)), None)
        if lender is None or lender == self.me:
            return False
        self.last_number += 1
        number = self.last_number
        timer = self.loop.call_later(
            REPLY_TIMEOUT_S, self.settle, number, "silent"
        )
        self.pending[number] = PendingBorrow(lender.name, service, done, timer)
        link = self.peer_links.link((lender.host, self.port))
        link.send(BorrowRequest(number, service))
        return True

    def settle(self, number: int, outcome: str) -> None:
        """Passes on a lender's reply, or that none came in time."""
        pending = self.pending.pop(number, None)
        if pending is None:
            return
        pending.timer.cancel()
        self.counts[outcome] += 1
        _log.info(
            "extra-call-reply",
            lender=pending.lender,
            service=pending.service,
            outcome=outcome,
        )
        pending.done(outcome == "lent")

    def handle_message(
        self, link: frames.Link, message: BorrowRequest | BorrowReply
    ) -> None:
        """Handles a message from another VM."""
        if isinstance(message, BorrowReply):
            self.settle(
                message.number, "lent" if message.granted else "declined"
            )
            return
        granted = self.budget.try_take(message.service, self.loop.time())
        link.send(BorrowReply(message.number, granted))


def create_lending(
    budget: retry_budget.Budget,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
) -> Lending:
    """Returns the state without pending requests."""
    return Lending(budget, peer_links, me, port)
