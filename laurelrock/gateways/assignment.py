"""Assignment: which VMs call the searchers of a service.

All of them, while a searcher takes that many connections; else the owners of
a query's group of shards, or some VMs of each failure domain for a service
with single requests. The others ask these.
"""

from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.gateways import upstreams

__all__ = ["Assignment", "create_assignment"]


class Assignment:
    """Who calls what, as this VM sees it.

    Attributes:
        known: Services, with the connections that their searchers take.
        me: This VM.
        vms: Listed, this one included.
        groups: Of shards that owners call.
        keys: First shard of the group of each shard in them.
        ranks: Owners by key and number of near ones, once looked up.
    """

    def __init__(self, known: upstreams.Upstreams, me: owners.Vm) -> None:
        self.known = known
        self.me = me
        self.vms: list[owners.Vm] = []
        self.groups: list[tuple[str, ...]] = []
        self.keys: dict[str, str] = {}
        self.ranked_owners: dict[tuple[str, int], list[owners.Vm]] = {}

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Takes the list of VMs."""
        self.vms = vms
        self.ranked_owners.clear()

    def configure(self, configuration: routes.Configuration) -> None:
        """Takes the groups of a configuration; call `set_vms` before."""
        self.groups = [
            group
            for route in configuration.routes
            if route.shards and self.uses_owners(route)
            for group in owners.cut(route.shards)
        ]
        self.keys = {name: row[0] for row in self.groups for name in row}
        self.ranked_owners.clear()

    def uses_owners(self, route: routes.Route) -> bool:
        """Tells whether a query's shards are called by owners."""
        return bool(self.vms) and not all(
            owners.fits(self.known.service(name).connections, len(self.vms))
            for name in route.shards[:1]
        )

    def ranked(
        self, key: str, near_count: int = owners.CALLING_OWNERS
    ) -> list[owners.Vm]:
        """Returns the VMs with the best claim on a key; see `owners.ranked`."""
        row = self.ranked_owners.get((key, near_count))
        if row is None:
            domain = self.me.failure_domain
            row = owners.ranked(key, self.vms, domain, near_count)
            self.ranked_owners[key, near_count] = row
        return row

    def called_shards(self, route: routes.Route) -> list[str]:
        """Returns the shards that this VM calls for its failure domain."""
        if not self.uses_owners(route):
            return list(route.shards)
        return [
            name
            for group in owners.cut(route.shards)
            if self.ranked(group[0])[0] == self.me
            for name in group
        ]

    def owners_to_ask(self, service: str) -> list[owners.Vm]:
        """Returns the VMs to ask for single requests, the first one first.

        Empty where this VM calls the searchers itself.
        """
        if not self.vms:
            return []
        if service in self.keys:
            rows = self.ranked(self.keys[service])
            return [] if rows[0] == self.me else rows
        near_count = self.known.callers_per_domain(service)
        if not near_count:
            return []
        rows = self.ranked(service, near_count)
        if self.me in rows:
            return []
        return owners.shared_out(service, rows, self.me)


def create_assignment(known: upstreams.Upstreams, me: owners.Vm) -> Assignment:
    """Returns the state without a list of VMs: this one calls everything."""
    return Assignment(known, me)
