"""Lending: extra calls that one VM lets another one make.

In a large fleet the allowance of extra calls is concentrated (`core.repeats`):
in each failure domain the VM that ranks first for a service has most of it.
The others ask that VM, one message there and back, before they repeat a call
beyond what their own requests allow.
"""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import repeats

__all__ = ["KINDS", "Borrow", "Lending", "Lent", "create_lending"]

#: Time for the lender's reply, in seconds: some times what a message needs
#: there and back on a loaded VM.
REPLY_TIMEOUT_S = 0.03

_log = logs.get_logger(__name__)

OnReply = collections.abc.Callable[[bool], None]


class Borrow(typing.NamedTuple):
    """Asks for one extra call; the sender's number names the question."""

    number: int
    service: str


class Lent(typing.NamedTuple):
    """Says whether the call may be made."""

    number: int
    granted: bool


KINDS: dict[int, type] = {9: Borrow, 10: Lent}


class PendingBorrow(typing.NamedTuple):
    """A question without an answer yet."""

    lender: str
    service: str
    done: OnReply
    timer: asyncio.TimerHandle


class Lending:
    """State of what this VM borrows.

    Attributes:
        budget: Of extra calls.
        exchange: Messages between VMs.
        me: This VM.
        port: Of all VMs' exchanges.
        vms: Listed.
        domains: Failure domains of those VMs.
        keys: Names under which services are ranked, where that is not the
            service's own; a shard goes with its group.
        ranks: VMs of this failure domain that have a part, by such a name.
        asked: Questions without an answer, by number.
        numbers: Questions so far.
        counts: Answers by kind, for the metrics.
    """

    def __init__(
        self,
        budget: repeats.Budget,
        exchange: frames.Exchange,
        me: owners.Vm,
        port: int,
    ) -> None:
        self.budget = budget
        self.exchange = exchange
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
        """Notes the VMs that share the allowance."""
        self.vms = vms
        self.domains = len({vm.failure_domain for vm in vms})
        self.ranked_lenders.clear()
        concentrated = repeats.is_concentrated(self.budget.rule, len(vms))
        self.budget.part = self.allowance_share if concentrated else None

    def set_groups(self, groups: list[tuple[str, ...]]) -> None:
        """Notes the groups of shards that are called by owners."""
        self.ranking_keys = {
            name: group[0] for group in groups for name in group
        }
        self.ranked_lenders.clear()

    def lenders(self, service: str) -> list[owners.Vm]:
        """Returns the VMs of this failure domain that have a part."""
        key = self.ranking_keys.get(service, service)
        rows = self.ranked_lenders.get(key)
        if rows is None:
            domain = self.me.failure_domain
            near = [vm for vm in self.vms if vm.failure_domain == domain]
            rows = owners.ranked(key, near, domain, len(repeats.RANK_PARTS))
            self.ranked_lenders[key] = rows
        return rows

    def allowance_share(self, service: str) -> float:
        """Returns this VM's part of the allowance; see `repeats.Budget`."""
        rows = self.lenders(service)
        rank = rows.index(self.me) if self.me in rows else None
        return repeats.part_of(rank, self.domains)

    def borrow(self, service: str, done: OnReply) -> bool:
        """Asks for an extra call.

        Args:
            service: That is called.
            done: Called once with whether it may be.

        Returns:
            Whether there is a VM to ask.
        """
        if self.budget.part is None:
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
        link = self.exchange.link((lender.host, self.port))
        link.send(Borrow(number, service))
        return True

    def settle(self, number: int, outcome: str) -> None:
        """Passes a lender's reply on."""
        question = self.pending.pop(number, None)
        if question is None:
            return
        question.timer.cancel()
        self.counts[outcome] += 1
        _log.info(
            "extra-call",
            lender=question.lender,
            service=question.service,
            outcome=outcome,
        )
        question.done(outcome == "lent")

    def take(self, link: frames.Link, message: Borrow | Lent) -> None:
        """Takes a message of another VM."""
        if isinstance(message, Lent):
            self.settle(
                message.number, "lent" if message.granted else "declined"
            )
            return
        granted = self.budget.take(message.service, self.loop.time())
        link.send(Lent(message.number, granted))


def create_lending(
    budget: repeats.Budget,
    exchange: frames.Exchange,
    me: owners.Vm,
    port: int,
) -> Lending:
    """Returns the state without a question."""
    return Lending(budget, exchange, me, port)
