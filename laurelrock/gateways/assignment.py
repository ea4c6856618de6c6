"""Decides which VMs call the searchers of a service.

All VMs call them if a searcher accepts that many connections. Otherwise the
owners of a query's shard groups do, or, for a service with single requests,
some VMs of each failure domain. The other VMs send requests to these.
"""

import random

from laurelrock.core import homes
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.gateways import upstreams

__all__ = ["Assignment", "create_assignment"]


#: Maximum number of rankings that are cached.
MAX_RANKINGS = 256


class Assignment:
    """The assignment of services to VMs, as this VM sees it.

    Attributes:
        known: The services, with the connections that their searchers accept.
        me: This VM.
        vms: The listed VMs, including this one.
        groups: The shard groups that owners call.
        keys: The first shard of its group, by shard.
        groups_by_key: The groups, by their first shards.
        ranked_owners: Cached owners, by key and number of VMs in this failure
            domain.
        callers: Cached VMs that call a service, by service.
        rankings: Cached rankings of all VMs, by key.
        forbidden: Cached names of the VMs that must not receive the bodies of
            requests, by the regions that the requests may run in.
    """

    def __init__(self, known: upstreams.Upstreams, me: owners.Vm) -> None:
        self.known = known
        self.me = me
        self.vms: list[owners.Vm] = []
        self.groups: list[tuple[str, ...]] = []
        self.keys: dict[str, str] = {}
        self.groups_by_key: dict[str, tuple[str, ...]] = {}
        self.ranked_owners: dict[tuple[str, int], list[owners.Vm]] = {}
        self.callers: dict[str, list[owners.Vm]] = {}
        self.rankings: dict[str, list[owners.Vm]] = {}
        self.forbidden: dict[tuple[str, ...], frozenset[str]] = {}

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs."""
        self.vms = vms
        self.ranked_owners.clear()
        self.callers.clear()
        self.rankings.clear()
        self.forbidden.clear()

    def configure(self, configuration: routes.Configuration) -> None:
        """Applies the groups of a configuration; call `set_vms` first."""
        self.groups = [
            group
            for route in configuration.routes
            if route.shards and self.uses_owners(route)
            for group in owners.split_into_groups(route.shards)
        ]
        self.keys = {name: row[0] for row in self.groups for name in row}
        self.groups_by_key = {row[0]: row for row in self.groups}
        self.ranked_owners.clear()
        self.callers.clear()
        self.forbidden.clear()
        self.known.apply_limits()

    def forbidden_vms(self, regions: tuple[str, ...]) -> frozenset[str]:
        """Returns the names of the VMs that must not receive a request's body.

        Args:
            regions: The regions in which the request may run; empty for all.
        """
        names = self.forbidden.get(regions)
        if names is None:
            names = self.forbidden[regions] = homes.forbidden_vms(
                regions, self.vms, self.me, self.known.regions
            )
        return names

    def is_planned(self, service: str) -> bool:
        """Returns whether this VM is one of those that call a service.

        A VM that doesn't know the list of VMs calls all searchers, but so do
        others that have just started.
        """
        if not self.vms:
            # `all_call` counts the VMs of the list.
            return bool(self.known.vms) and self.known.all_vms_call(service)
        if service in self.keys:
            return self.me in self.rank_owners(self.keys[service])
        local_count = self.known.local_caller_count(service)
        if (
            # Queries of the previous configuration may still need it.
            service not in self.known.services
            or service in self.known.sharded
            or not local_count
        ):
            return True
        return self.me in self.rank_owners(service, local_count)

    def members(self, key: str) -> tuple[str, ...]:
        """Returns the services of a group, given its first one."""
        return self.groups_by_key.get(key, (key,))

    def uses_owners(self, route: routes.Route) -> bool:
        """Returns whether owners call the shards of a query."""
        return bool(self.vms) and not all(
            owners.all_vms_can_call(
                self.known.service(name).connections, len(self.vms)
            )
            for name in route.shards[:1]
        )

    def rank_owners(
        self, key: str, local_count: int = owners.CALLERS_PER_DOMAIN
    ) -> list[owners.Vm]:
        """Returns the top VMs for a key; see `owners.rank_owners`."""
        row = self.ranked_owners.get((key, local_count))
        if row is None:
            domain = self.me.failure_domain
            row = owners.rank_owners(key, self.vms, domain, local_count)
            self.ranked_owners[key, local_count] = row
        return row

    def called_shards(self, route: routes.Route) -> list[str]:
        """Returns the shards that this VM calls for its failure domain."""
        if not self.uses_owners(route):
            return list(route.shards)
        return [
            name
            for group in owners.split_into_groups(route.shards)
            if self.rank_owners(group[0])[0] == self.me
            for name in group
        ]

    def callers_of(self, service: str) -> list[owners.Vm]:
        """Returns the VMs of all failure domains that call a service."""
        rows = self.callers.get(service)
        if rows is None:
            key = self.keys.get(service, service)
            local_count = (
                owners.CALLERS_PER_DOMAIN
                if service in self.keys
                else self.known.local_caller_count(service)
            )
            rows = self.vms
            if local_count:
                rows = owners.all_callers(key, self.vms, local_count)
            self.callers[service] = rows
        return rows

    def rank(self, key: str) -> list[owners.Vm]:
        """Ranks all VMs for a key, the same way on all VMs."""
        rows = self.rankings.get(key)
        if rows is None:
            if len(self.rankings) >= MAX_RANKINGS:
                self.rankings.clear()
            rows = self.rankings[key] = owners.rank(key, self.vms)
        return rows

    def all_call(self, service: str) -> bool:
        """Returns whether every VM calls the searchers of a service."""
        if service in self.known.services and service not in self.known.sharded:
            return not self.known.local_caller_count(service)
        connections = self.known.service(service).connections
        return owners.all_vms_can_call(connections, len(self.vms))

    def owners_of(self, service: str) -> list[owners.Vm]:
        """Returns the VMs that may call a service, in order of preference.

        If every VM calls it, these are all others in random order, so that no
        VM gets all requests that this one passes on.
        """
        if self.all_call(service):
            others = [vm for vm in self.vms if vm != self.me]
            return random.sample(others, len(others))
        if service in self.known.services and service not in self.known.sharded:
            local_count = self.known.local_caller_count(service)
            rows = self.rank_owners(service, local_count)
            return owners.rank_callers(service, rows, self.me)
        return self.rank_owners(self.keys.get(service, service))

    def owners_to_ask(self, service: str) -> list[owners.Vm]:
        """Returns the VMs to ask for single requests, in order of preference.

        The list is empty if this VM calls the searchers itself.
        """
        if not self.vms:
            return []
        if service in self.keys:
            rows = self.rank_owners(self.keys[service])
            return [] if rows[0] == self.me else rows
        local_count = self.known.local_caller_count(service)
        if not local_count:
            return []
        rows = self.rank_owners(service, local_count)
        if self.me in rows:
            return []
        return owners.rank_callers(service, rows, self.me)


def create_assignment(known: upstreams.Upstreams, me: owners.Vm) -> Assignment:
    """Returns an assignment without other VMs: this VM calls everything."""
    assigned = Assignment(known, me)
    known.is_planned = assigned.is_planned
    return assigned
