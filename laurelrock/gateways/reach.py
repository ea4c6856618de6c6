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

__all__ = ["IsolationDetector", "create_isolation_detector"]

#: Interval at which a cut is looked for, in seconds.
CHECK_INTERVAL_S = 0.2
#: Time for which a VM looks whether it is cut off too, in seconds: an owner's
#: word and the platform's silence take about one.
HINT_VALID_S = 2.0

_log = logs.get_logger(__name__)


class IsolationDetector:
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
        others: groups.ShardGroups,
        followed: following.PlatformFollower,
        me: owners.Vm,
    ) -> None:
        self.known = known
        self.groups = others
        self.following = followed
        self.me = me
        self.cut = False
        self.loop = asyncio.get_running_loop()
        self.hinted_s = self.loop.time() - HINT_VALID_S

    async def run(self) -> None:
        """Notes when this VM is cut off from the others, and when not."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Looks once.

        Silent searchers alone may be down or cut off themselves, so the
        platform is asked too. A VM that calls few searchers goes by what the
        owners of its groups hear from afar.
        """
        recently_hinted = self.hinted()
        self.request_reports()
        cut = self.known.remote_domains_silent(self.loop.time())
        cut = cut or self.groups.reachability.isolated()
        if cut and not self.cut:
            cut = not await self.following.platform_reachable()
        if cut == self.cut:
            return
        self.cut = cut
        _log.warning(
            "cut-off" if cut else "cut-ended", recently_hinted=recently_hinted
        )
        if cut and not recently_hinted:
            self.notify_domain()

    def request_reports(self) -> None:
        """Asks for the word that does not come while there are no callers."""
        table = self.following.table
        if table is None or not (self.cut or self.hinted()):
            return
        for row in table.configuration.routes:
            if row.shards and self.groups.assignment.uses_owners(row):
                self.groups.reachability.query_owners(row)

    def note_hint(self) -> None:
        """Notes that another VM of this failure domain is cut off."""
        self.hinted_s = self.loop.time()

    def hinted(self) -> bool:
        """Tells whether another VM said so lately."""
        return self.loop.time() - self.hinted_s < HINT_VALID_S

    def notify_domain(self) -> None:
        """Tells the VMs of this failure domain to look as well."""
        for vm in self.groups.assignment.vms:
            if vm.failure_domain == self.me.failure_domain and vm != self.me:
                self.groups.send(vm, questions.IsolationHint(self.me.name))


def create_isolation_detector(
    known: upstreams.Upstreams,
    others: groups.ShardGroups,
    followed: following.PlatformFollower,
    me: owners.Vm,
) -> IsolationDetector:
    """Returns the state of a VM that is not cut off."""
    return IsolationDetector(known, others, followed, me)
