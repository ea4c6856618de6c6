"""Asked: what other VMs work on for this one, and owners that were silent."""

import asyncio
import collections.abc

from laurelrock.core import owners
from laurelrock.gateways import calls
from laurelrock.gateways import questions

__all__ = ["RemoteGroup", "UnresponsiveOwner"]

#: First and longest time until an owner that was silent is pinged, in seconds.
MIN_PING_INTERVAL_S = 0.5
MAX_PING_INTERVAL_S = 4.0


class RemoteGroup:
    """A group that another VM works on.

    Attributes:
        work: The query.
        services: Of the group.
        owners: That may be asked, the first one first.
        aim_s: Loop time at which the first answer is due.
        changed: Called when parts came in or the group ended.
        whole: Whether it is a request that one searcher answers.
        reply: How such a request ended.
        tried: Owners asked, by name.
        owner: Asked now.
        link: To that owner.
        number: Of the group on the link.
        begun: Whether the owner was told to begin.
        proofs: Of the parts that are in.
        bodies: Their records.
        missing: Services whose parts are not in.
        left: Parts that may still come.
        blocked: Those of them whose searchers the owner can't reach.
        calls: Made for the group, as far as known.
        timer: Runs out when the owner doesn't say that it is there.
    """

    def __init__(
        self,
        work: calls.Work,
        services: tuple[str, ...],
        rows: list[owners.Vm],
        due_s: float,
        on_change: collections.abc.Callable[[], None],
        single: bool = False,
    ) -> None:
        self.work = work
        self.services = services
        self.owners = rows
        self.due_s = due_s
        self.on_change = on_change
        self.single = single
        self.reply: questions.SingleResult | None = None
        self.tried: set[str] = set()
        self.owner: owners.Vm | None = None
        self.link: questions.Link | None = None
        self.number = 0
        self.started = False
        self.proofs: list[bytes] = []
        self.bodies: list[bytes] = []
        self.missing = set(services)
        self.pending = len(services)
        self.unreachable = 0
        self.calls = 0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def answered(self) -> int:
        """Parts that are in."""
        return len(self.proofs)

    def stop_timer(self) -> None:
        """Ends the wait for the owner's word."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self) -> None:
        """Notes that nothing more comes."""
        self.stop_timer()
        if self.pending:
            self.pending = 0
            self.on_change()


class UnresponsiveOwner:
    """An owner that was silent, and is passed over until it replies.

    Attributes:
        vm: The owner.
        times: It was silent, in a row.
        timer: Of the next ping.
    """

    def __init__(self, vm: owners.Vm) -> None:
        self.vm = vm
        self.misses = 0
        self.timer: asyncio.TimerHandle | None = None

    def next_interval_s(self) -> float:
        """Returns the time until the next ping; it doubles."""
        self.misses += 1
        return min(
            MIN_PING_INTERVAL_S * 2 ** (self.misses - 1), MAX_PING_INTERVAL_S
        )

    def stop_timer(self) -> None:
        """Asks no more."""
        if self.timer is not None:
            self.timer.cancel()
