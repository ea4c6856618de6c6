"""Reports of owners on which shards of their groups they can't reach.

A VM whose shards are called by other VMs doesn't itself see searchers become
unresponsive. Owners report that with each group that they accept and on
request, so that a query that can't reach its minimum share of shards is refused
before it runs.
"""

import asyncio
import collections.abc
import math
import typing

from laurelrock.core import owners
from laurelrock.core import replicas
from laurelrock.core import routes
from laurelrock.gateways import assignment
from laurelrock.gateways import group_messages
from laurelrock.gateways import owner_selection
from laurelrock.gateways import parts

__all__ = ["ReachabilityReports", "create_reachability_reports"]

#: Time in seconds for which an owner's report counts.
REPORT_VALID_S = 1.0
#: Minimum interval in seconds between two queries for reports on a route.
MIN_QUERY_INTERVAL_S = 0.3


class TimedReport(typing.NamedTuple):
    """An owner's report on its group.

    Attributes:
        report: The report.
        received_s: The loop time at which it was received.
    """

    report: group_messages.ReachabilityReport
    received_s: float


Send = collections.abc.Callable[[owners.Vm, typing.Any], None]


class ReachabilityReports:
    """State of the owners' reports.

    Attributes:
        placement: Knows the searchers that this VM calls.
        assignment: The assignment of services to VMs.
        selection: Chooses the owners of groups.
        send: Sends a message to a VM.
        reports: The owners' reports, by the first shard of their groups.
        queried_s: The loop time of the last query, by route.
    """

    def __init__(
        self,
        placement: parts.CallPlacer,
        assigned: assignment.Assignment,
        selection: owner_selection.OwnerSelection,
        send: Send,
    ) -> None:
        self.placement = placement
        self.assignment = assigned
        self.selection = selection
        self.send = send
        self.reports: dict[str, TimedReport] = {}
        self.queried_s: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()

    def count_unreachable(
        self,
        services: collections.abc.Iterable[str],
        regions: tuple[str, ...] = (),
    ) -> int:
        """Returns how many services this VM can't reach.

        Args:
            services: The services.
            regions: The regions in which a request may run; empty for all.
        """
        reachable = self.placement.reachable
        return sum(1 for name in services if not reachable(name, regions))

    def count_disconnected(
        self,
        services: collections.abc.Iterable[str],
        regions: tuple[str, ...] = (),
    ) -> int:
        """Returns how many services have no searcher that responds.

        See `count_unreachable` for the arguments.
        """
        connected = self.placement.known.connected
        return sum(1 for name in services if not connected(name, regions))

    def resume_times_s(
        self, services: collections.abc.Iterable[str]
    ) -> list[float]:
        """Returns the time until each service accepts this VM's calls."""
        return [self.placement.resume_in_s(name) for name in services]

    def latest_resume_s(self, services: collections.abc.Iterable[str]) -> float:
        """Returns the longest of these times that is known; 0 if none is."""
        known = filter(math.isfinite, self.resume_times_s(services))
        return max(known, default=0.0)

    def remote_domains_silent(self) -> bool:
        """Returns whether no other failure domain responds to this VM."""
        return self.placement.known.remote_domains_silent(self.loop.time())

    def answer(
        self, query: group_messages.ReachabilityQuery
    ) -> group_messages.ReachabilityReport:
        """Returns this VM's report on a group."""
        services = query.services
        unreachable = self.count_unreachable(services)
        return group_messages.ReachabilityReport(
            services[0],
            unreachable,
            self.remote_domains_silent(),
            self.latest_resume_s(services),
            self.count_disconnected(services),
            self.assignment.me.name,
            self.placement.known.isolated,
        )

    def forget(self, key: str) -> None:
        """Forgets an owner's report on its group."""
        self.reports.pop(key, None)

    def record(self, report: group_messages.ReachabilityReport) -> None:
        """Records an owner's report on its group."""
        self.reports[report.key] = TimedReport(report, self.loop.time())

    def handle_report(self, report: group_messages.ReachabilityReport) -> None:
        """Records a report that this VM requested.

        If the owner has lost searchers of its group, another one is asked,
        whose report then replaces this one.
        """
        self.record(report)
        if report.isolated:
            self.selection.mark_isolated(report.vm)
        elif report.disconnected:
            self.selection.mark_disconnected(report.vm, report.key)
        else:
            return
        services = self.assignment.members(report.key)
        vm = self.selection.reaching_owner(services)
        if vm == self.assignment.me:
            self.forget(report.key)
        elif vm is not None:
            self.send(vm, group_messages.ReachabilityQuery(services))

    def reachable(self, route: routes.Route) -> int:
        """Returns how many shards of a query may be reached."""
        if not self.assignment.uses_owners(route):
            return len(route.shards) - self.count_unreachable(
                route.shards, route.regions
            )
        unreachable = 0
        for group in owners.split_into_groups(route.shards):
            owner = self.selection.owner_of(group)
            if owner == self.assignment.me:
                unreachable += self.count_unreachable(group, route.regions)
            elif owner is None and self.placement.known.isolated:
                unreachable += len(group)
            else:
                report = self.recent_report(group[0])
                unreachable += report.unreachable if report else 0
        return len(route.shards) - unreachable

    def resume_in_s(self, route: routes.Route) -> float:
        """Returns the time until enough shards of a query accept calls.

        It is 0 if that is unknown.
        """
        if not self.assignment.uses_owners(route):
            waits = self.resume_times_s(route.shards)
            return replicas.retry_in_s(waits, route.min_shards)
        waits = []
        for group in owners.split_into_groups(route.shards):
            if self.selection.owner_of(group) == self.assignment.me:
                waits += self.resume_times_s(group)
                continue
            report = self.recent_report(group[0])
            unreachable = report.unreachable if report else 0
            wait_s = report.resume_in_s if report else 0.0
            waits += [0.0] * (len(group) - unreachable)
            waits += [wait_s or math.inf] * unreachable
        return replicas.retry_in_s(waits, route.min_shards)

    def recent_report(
        self, key: str
    ) -> group_messages.ReachabilityReport | None:
        """Returns an owner's recent report, if there is one."""
        timed = self.reports.get(key)
        if timed is None:
            return None
        # After that time the shards that it calls unreachable accept calls.
        valid_s = min(timed.report.resume_in_s or math.inf, REPORT_VALID_S)
        if self.loop.time() - timed.received_s > valid_s:
            return None
        return timed.report

    def query_owners(self, route: routes.Route) -> None:
        """Requests reports on a route's groups, unless that was just done."""
        now_s = self.loop.time()
        if (
            now_s - self.queried_s.get(route.name, -MIN_QUERY_INTERVAL_S)
            < MIN_QUERY_INTERVAL_S
        ):
            return
        self.queried_s[route.name] = now_s
        for group in owners.split_into_groups(route.shards):
            vm = self.selection.owner_of(group)
            if vm is not None and vm != self.assignment.me:
                self.send(vm, group_messages.ReachabilityQuery(group))

    def partitioned(self) -> bool:
        """Returns whether there are recent reports and all show a partition.

        Unreachable shards are no sign of a partition: their searchers may be
        down for all VMs.
        """
        recent = [
            report for report in map(self.recent_report, self.reports) if report
        ]
        return bool(recent) and all(
            report.remote_domains_silent for report in recent
        )

    def configure(self, names: collections.abc.Container[str]) -> None:
        """Forgets routes and groups that are gone."""
        for name in [row for row in self.queried_s if row not in names]:
            del self.queried_s[name]
        keys = set(self.assignment.keys.values())
        for key in [row for row in self.reports if row not in keys]:
            del self.reports[key]


def create_reachability_reports(
    placement: parts.CallPlacer,
    assigned: assignment.Assignment,
    selection: owner_selection.OwnerSelection,
    send: Send,
) -> ReachabilityReports:
    """Returns the state without reports."""
    return ReachabilityReports(placement, assigned, selection, send)
