"""Detects whether this VM is partitioned from the other failure domains.

A partitioned VM reports not ready, so that the balancer sends callers
elsewhere.
"""

import asyncio

from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.gateways import group_messages
from laurelrock.gateways import platform_follower
from laurelrock.gateways import shard_groups
from laurelrock.gateways import upstreams

__all__ = ["PartitionDetector", "create_partition_detector"]

#: Interval in seconds at which a partition is looked for.
CHECK_INTERVAL_S = 0.2
#: Time in seconds for which a hint from another VM counts. An owner's report
#: and the platform's timeout take about one second.
HINT_VALID_S = 2.0

_log = logs.get_logger(__name__)


class PartitionDetector:
    """State of the partition detection of this VM.

    Attributes:
        known: The searchers.
        groups: The shard groups, with the reports of their owners.
        follower: Checks whether the platform answers.
        me: This VM.
        partitioned: Whether this VM reaches no other failure domain.
        hinted_s: The loop time at which another VM of the same failure domain
            reported that it is partitioned.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        groups: shard_groups.ShardGroups,
        follower: platform_follower.PlatformFollower,
        me: owners.Vm,
    ) -> None:
        self.known = known
        self.groups = groups
        self.follower = follower
        self.me = me
        self.partitioned = False
        self.loop = asyncio.get_running_loop()
        self.hinted_s = self.loop.time() - HINT_VALID_S

    async def run(self) -> None:
        """Checks for a partition, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Checks once.

        Unresponsive searchers alone may be down or partitioned themselves, so
        the platform is checked too. A VM that calls few searchers relies on
        what the owners of its groups report about remote failure domains.
        """
        hinted = self.recently_hinted()
        self.request_reports()
        partitioned = self.known.remote_domains_silent(self.loop.time())
        partitioned = partitioned or self.groups.reachability.partitioned()
        if partitioned and not self.partitioned:
            partitioned = not await self.follower.platform_reachable()
        if partitioned == self.partitioned:
            return
        self.partitioned = partitioned
        _log.warning(
            "partition-detected" if partitioned else "partition-ended",
            hinted=hinted,
        )
        if partitioned and not hinted:
            self.notify_domain()

    def request_reports(self) -> None:
        """Requests reports, which don't come in while there are no callers."""
        table = self.follower.table
        if table is None or not (self.partitioned or self.recently_hinted()):
            return
        for row in table.configuration.routes:
            if row.shards and self.groups.assignment.uses_owners(row):
                self.groups.reachability.query_owners(row)

    def record_hint(self) -> None:
        """Records that another VM of this failure domain is partitioned."""
        self.hinted_s = self.loop.time()

    def recently_hinted(self) -> bool:
        """Returns whether another VM reported a partition recently."""
        return self.loop.time() - self.hinted_s < HINT_VALID_S

    def notify_domain(self) -> None:
        """Tells the VMs of this failure domain to check as well."""
        for vm in self.groups.assignment.vms:
            if vm.failure_domain == self.me.failure_domain and vm != self.me:
                self.groups.send(vm, group_messages.PartitionHint(self.me.name))


def create_partition_detector(
    known: upstreams.Upstreams,
    groups: shard_groups.ShardGroups,
    follower: platform_follower.PlatformFollower,
    me: owners.Vm,
) -> PartitionDetector:
    """Returns the state of a VM that is not partitioned."""
    return PartitionDetector(known, groups, follower, me)
