"""Reach: whether this VM is cut off from the other failure domains.

It then reports not ready, so that the balancer takes callers elsewhere.
"""

import asyncio

from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.gateways import following
from laurelrock.gateways import groups
from laurelrock.gateways import questions
from laurelrock.gateways import upstreams

__all__ = ["Reach", "create_reach"]

#: Interval at which a cut is looked for, in seconds.
REACH_S = 0.2
#: Time for which a VM looks whether it is cut off too, in seconds: an owner's
#: word and the platform's silence take about one.
HINT_S = 2.0

_log = logs.get_logger(__name__)


class Reach:
    """State of the search for a cut.

    Attributes:
        known: Searchers that this VM calls.
        groups: Shards that other VMs call.
        following: The platform.
        me: This VM.
        cut: Whether this VM reaches no other failure domain.
        hinted_s: Loop time at which another VM of the same failure domain
            said that it is cut off.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        others: groups.Groups,
        followed: following.Following,
        me: owners.Vm,
    ) -> None:
        self.known = known
        self.groups = others
        self.following = followed
        self.me = me
        self.cut = False
        self.loop = asyncio.get_running_loop()
        self.hinted_s = self.loop.time() - HINT_S

    async def run(self) -> None:
        """Notes when this VM is cut off from the others, and when not."""
        while True:
            await asyncio.sleep(REACH_S)
            await self.look()

    async def look(self) -> None:
        """Looks once.

        Silent searchers alone may be down or cut off themselves, so the
        platform is asked too. A VM that calls few searchers goes by what the
        owners of its groups hear from afar.
        """
        hinted = self.hinted()
        self.ask_owners()
        cut = self.known.far_silent(self.loop.time())
        cut = cut or self.groups.surveys.cut_off()
        if cut and not self.cut:
            cut = not await self.following.reaches_platform()
        if cut == self.cut:
            return
        self.cut = cut
        _log.warning("cut-off" if cut else "cut-ended", hinted=hinted)
        if cut and not hinted:
            self.tell_near()

    def ask_owners(self) -> None:
        """Asks for the word that does not come while there are no callers."""
        table = self.following.table
        if table is None or not (self.cut or self.hinted()):
            return
        for row in table.configuration.routes:
            if row.shards and self.groups.assignment.needed(row):
                self.groups.surveys.ask(row)

    def hint(self) -> None:
        """Notes that another VM of this failure domain is cut off."""
        self.hinted_s = self.loop.time()

    def hinted(self) -> bool:
        """Tells whether another VM said so lately."""
        return self.loop.time() - self.hinted_s < HINT_S

    def tell_near(self) -> None:
        """Tells the VMs of this failure domain to look as well."""
        for vm in self.groups.assignment.vms:
            if vm.failure_domain == self.me.failure_domain and vm != self.me:
                self.groups.send(vm, questions.Look(self.me.name))


def create_reach(
    known: upstreams.Upstreams,
    others: groups.Groups,
    followed: following.Following,
    me: owners.Vm,
) -> Reach:
    """Returns the state of a VM that is not cut off."""
    return Reach(known, others, followed, me)
