"""Shard groups and single requests that this VM runs as their owner.

Another VM, or this one, asks for a group (`shard_groups`). This VM accepts or
declines it, starts it when told to, and sends the results.
"""

import asyncio
import collections.abc

from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import group_overload
from laurelrock.gateways import group_runs
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import reachability_reports
from laurelrock.ports import header_codec

__all__ = ["OwnedGroups", "RunSingle", "create_owned_groups"]

RunSingle = collections.abc.Callable[
    [calls.RequestContext, str, parts.CallPlacer],
    collections.abc.Awaitable[outcomes.Outcome],
]


class OwnedGroups:
    """State of the groups that this VM runs.

    Attributes:
        placement: Makes the calls of the groups.
        platform: Encodes the headers of calls.
        reachability: Counts the shards that this VM can't reach.
        overload: Declines groups for overload.
        run_single: Runs a request that one searcher answers.
        counts: The number of events by kind, shared with `ShardGroups`.
        offered: The groups that this VM was asked for and not yet told to
            start, with the loop time of the request.
        serving: The groups that this VM runs, by link and number.
        stopping: Whether this VM accepts no more groups.
    """

    def __init__(
        self,
        placement: parts.CallPlacer,
        platform: header_codec.HeaderCodec,
        reachability: reachability_reports.ReachabilityReports,
        overload: group_overload.GroupOverload,
        run_single: RunSingle,
        counts: dict[str, int],
    ) -> None:
        self.placement = placement
        self.platform = platform
        self.reachability = reachability
        self.overload = overload
        self.run_single = run_single
        self.counts = counts
        self.offered: dict[
            tuple[group_messages.Link, int],
            tuple[group_messages.GroupRequest, float],
        ] = {}
        self.serving: dict[
            tuple[group_messages.Link, int], asyncio.Task[None]
        ] = {}
        self.stopping = False
        self.loop = asyncio.get_running_loop()

    def handle_request(
        self,
        link: group_messages.Link,
        group_request: group_messages.GroupRequest,
        own: bool,
    ) -> None:
        """Accepts or declines a group.

        Args:
            link: The link to the VM that asks.
            group_request: The request.
            own: Whether this VM itself asks, as the last one.
        """
        reason = self.decline_reason()
        if reason is not None and not own:
            link.send(
                group_messages.GroupDeclined(group_request.number, reason)
            )
            return
        wait_s = self.overload.check(group_request)
        if wait_s:
            link.send(
                group_messages.GroupDeclined(
                    group_request.number, "overloaded", wait_s
                )
            )
            return
        self.offered[link, group_request.number] = (
            group_request,
            self.loop.time(),
        )
        regions = group_request.regions
        unreachable = self.reachability.count_unreachable(
            group_request.services, regions
        )
        link.send(
            group_messages.GroupAccepted(
                group_request.number,
                unreachable,
                self.reachability.remote_domains_silent(),
                self.reachability.latest_resume_s(group_request.services),
                self.reachability.count_disconnected(
                    group_request.services, regions
                ),
            )
        )

    def decline_reason(self) -> group_messages.DeclineReason | None:
        """Returns why this VM can't run a group; None if it can."""
        if self.stopping:
            return "stopping"
        known = self.placement.known
        # A VM that doesn't know the evacuations yet calls no searcher.
        return "isolated" if known.isolated or known.evacuated is None else None

    def start(
        self, link: group_messages.Link, message: group_messages.StartGroup
    ) -> None:
        """Starts to run a group that this VM accepted."""
        key = (link, message.number)
        offer = self.offered.pop(key, None)
        if offer is None:
            return
        task = self.loop.create_task(
            self.serve(link, *offer, message.advance_s)
        )
        self.serving[key] = task
        task.add_done_callback(lambda _: self.serving.pop(key, None))

    def cancel(self, link: group_messages.Link, number: int) -> None:
        """Cancels a group, whether it was started or not."""
        self.offered.pop((link, number), None)
        task = self.serving.get((link, number))
        if task is not None:
            task.cancel()

    def link_ended(self, link: group_messages.Link) -> None:
        """Cancels the groups of a link that ended."""
        for key in [row for row in self.offered if row[0] is link]:
            del self.offered[key]
        for (task_link, _), task in list(self.serving.items()):
            if task_link is link:
                task.cancel()

    async def serve(
        self,
        link: group_messages.Link,
        group_request: group_messages.GroupRequest,
        asked_s: float,
        advance_s: float,
    ) -> None:
        """Runs a group or a single request and sends its results."""
        self.counts["served"] += 1
        context = group_runs.create_context(
            self.platform, group_request, asked_s
        )
        if group_request.single:
            outcome = await self.run_single(
                context, group_request.services[0], self.placement
            )
            leaving = self.placement.known.leaving(group_request.services)
            link.send(
                group_messages.encode_outcome(
                    group_request.number, outcome, leaving
                )
            )
            return
        served = group_runs.GroupRun(
            *(self.placement, link, group_request, context),
            context.request.received_s + group_request.due_in_s - advance_s,
        )
        try:
            await served.run()
        finally:
            served.abandon()


def create_owned_groups(
    placement: parts.CallPlacer,
    platform: header_codec.HeaderCodec,
    reachability: reachability_reports.ReachabilityReports,
    overload: group_overload.GroupOverload,
    run_single: RunSingle,
    counts: dict[str, int],
) -> OwnedGroups:
    """Returns the state without groups."""
    return OwnedGroups(
        *(placement, platform, reachability, overload, run_single, counts)
    )
