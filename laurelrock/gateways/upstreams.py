"""Upstreams: the searchers of all services, with their connections."""

import asyncio
import collections
import collections.abc

from laurelrock.adapters import http_client
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import replicas
from laurelrock.core import routes
from laurelrock.core import throughput

__all__ = ["Upstream", "Upstreams", "create_upstreams"]

#: Part of a searcher's connections that all VMs together open; the rest is
#: for connections of processes that ended, which the searcher still counts.
CONNECTION_SHARE = 0.8
#: Most connections of one VM to one searcher.
MAX_CONNECTIONS = 8
#: Interval at which ejected searchers are looked at, in seconds.
PROBE_CHECK_INTERVAL_S = 0.1
#: Interval between connections that are opened ahead of need, in seconds.
WARM_INTERVAL_S = 0.02

_log = logs.get_logger(__name__)


class Upstream:
    """One searcher: what is known of it, and its connections."""

    def __init__(
        self, replica: replicas.Replica, client: http_client.Client
    ) -> None:
        self.replica = replica
        self.client = client

    @property
    def searcher(self) -> registry.Searcher:
        """Its entry in the registry."""
        return self.replica.searcher


class Upstreams:
    """State of all searchers.

    Attributes:
        failure_domain: Of this VM.
        vms: That call the searchers.
        domains: Failure domains of those VMs.
        services: Configured, by name.
        sharded: Names of the services that hold a query's shard.
        by_id: All searchers.
        by_service: The same, by service and id.
        typical: Latencies by kind of call.
        throughputs: Rates at which calls end, by service.
        opened: Connections opened to searchers that are gone.
    """

    def __init__(self, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.vms = 0
        self.domains = 1
        self.sharded: set[str] = set()
        self.services: dict[str, routes.Service] = {}
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, dict[str, Upstream]] = (
            collections.defaultdict(dict)
        )
        self.typical_latencies: dict[str, replicas.Typical] = (
            collections.defaultdict(replicas.Typical)
        )
        self.throughputs: dict[str, throughput.Throughput] = (
            collections.defaultdict(throughput.create_throughput)
        )
        self.opened = 0

    def is_local(self, replica: replicas.Replica) -> bool:
        """Tells whether a searcher is in this VM's failure domain."""
        return replica.searcher.failure_domain == self.failure_domain

    def searchers_of(self, service: str) -> collections.abc.Iterable[Upstream]:
        """Returns the searchers of a service."""
        return self.by_service.get(service, {}).values()

    def backlog(self, service: str, now_s: float) -> throughput.Backlog:
        """Returns the calls ahead of a new one at a service."""
        ahead = sum(
            len(row.replica.flights) for row in self.searchers_of(service)
        )
        return throughput.Backlog(ahead, self.throughputs[service].per_s(now_s))

    def service(self, name: str) -> routes.Service:
        """Returns what is configured of a service."""
        return self.services.get(name, routes.Service())

    def callers_per_domain(self, service: str) -> int:
        """Returns the VMs of a failure domain that call for single requests.

        0 stands for all of them; see `owners.near_callers`.
        """
        connections = self.service(service).connections
        return owners.near_callers(connections, self.vms, self.domains)

    def callers(self, service: str) -> int:
        """Returns the VMs that call the searchers of a service."""
        callers = max(1, self.vms)
        if service in self.sharded:
            fits = owners.fits(self.service(service).connections, callers)
            return callers if fits else owners.callers_of(self.domains)
        return self.callers_per_domain(service) * self.domains or callers

    def limit(self, service: str) -> int:
        """Returns the connections to one searcher of a service."""
        connections = self.service(service).connections
        share = connections * CONNECTION_SHARE / self.callers(service)
        return max(1, min(MAX_CONNECTIONS, int(share)))

    def configure(self, configuration: routes.Configuration) -> None:
        """Takes the services of a configuration."""
        self.services = configuration.services
        self.sharded = {
            name for route in configuration.routes for name in route.shards
        }
        names = {route.name for route in configuration.routes}
        for name in [row for row in self.typical_latencies if row not in names]:
            del self.typical_latencies[name]
        for name in [
            row for row in self.throughputs if row not in self.services
        ]:
            del self.throughputs[name]
        self.set_vms(self.vms, self.domains)

    def set_vms(self, count: int, domains: int) -> None:
        """Notes how many VMs share the searchers' connections."""
        self.vms = count
        self.domains = domains
        for upstream in self.by_id.values():
            upstream.client.limit = self.limit(upstream.searcher.service)

    def apply(
        self,
        changes: collections.abc.Iterable[registry.Change],
        now_s: float,
    ) -> None:
        """Takes changes of the registry."""
        for change in changes:
            self.apply_one(change, now_s)

    def apply_one(self, change: registry.Change, now_s: float) -> None:
        known = self.by_id.get(change.id)
        searcher = change.searcher
        if known is not None and (
            searcher is None or not same_start(known.searcher, searcher)
        ):
            self.remove(known)
            known = None
        if searcher is None:
            _log.info("searcher-gone", searcher=change.id)
            return
        _log.info(
            "searcher-known",
            searcher=searcher.id,
            service=searcher.service,
            state=searcher.state,
            warm_up_ms=round(searcher.warm_up_s * 1000),
        )
        if known is not None:
            known.replica.searcher = searcher
            known.replica.cold_until_s = now_s + searcher.warm_up_s
            return
        client = http_client.open_client(
            searcher.address, self.limit(searcher.service)
        )
        upstream = Upstream(replicas.create_replica(searcher, now_s), client)
        self.by_id[searcher.id] = upstream
        self.by_service[searcher.service][searcher.id] = upstream

    def remove(self, upstream: Upstream) -> None:
        """Forgets a searcher; its calls in flight go on."""
        upstream.client.close()
        self.opened += upstream.client.opened
        del self.by_id[upstream.searcher.id]
        del self.by_service[upstream.searcher.service][upstream.searcher.id]

    async def probe(self) -> None:
        """Tries ejected searchers until they can be reached again."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_CHECK_INTERVAL_S)
            due = [row for row in self.by_id.values() if probe_due(row, loop)]
            if due:
                await asyncio.gather(*[self.probe_one(row) for row in due])

    async def probe_one(self, upstream: Upstream) -> None:
        """Opens a connection to an ejected searcher."""
        replica = upstream.replica
        if await upstream.client.probe():
            replica.probed = True
            _log.info("searcher-reached", searcher=replica.searcher.id)
        else:
            replica.went_silent(asyncio.get_running_loop().time())

    def remote_domains_silent(self, now_s: float) -> bool:
        """Tells whether all other failure domains fell silent."""
        rows = [row.replica for row in self.by_id.values()]
        return replicas.far_silent(rows, self.is_local, now_s)

    async def warm(self, names: collections.abc.Iterable[str]) -> None:
        """Opens a first connection to each searcher of some services."""
        for name in names:
            for upstream in list(self.searchers_of(name)):
                if not upstream.client.connections:
                    upstream.client.warm()
                    await asyncio.sleep(WARM_INTERVAL_S)


def probe_due(upstream: Upstream, loop: asyncio.AbstractEventLoop) -> bool:
    """Tells whether a searcher is ejected and to be probed now."""
    replica = upstream.replica
    return bool(
        replica.ejections
        and not replica.probed
        and loop.time() >= replica.probe_s
    )


def same_start(one: registry.Searcher, other: registry.Searcher) -> bool:
    """Tells whether two entries speak of one start of a searcher."""
    return (one.born_ms, one.service, one.address) == (
        other.born_ms,
        other.service,
        other.address,
    )


def create_upstreams(failure_domain: str) -> Upstreams:
    """Returns the state with no searcher known."""
    return Upstreams(failure_domain)
