"""Routes requests to services by host and path prefix.

A configuration is complete and immutable; a request uses the configuration with
which it started until it ends.
"""

import collections.abc
import typing

from laurelrock.core import tenancy

__all__ = [
    "Configuration",
    "Limits",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
    "WeightedSplit",
    "create_table",
    "find_route",
    "time_limit_s",
]


class Limits(typing.NamedTuple):
    """Limits on the size and duration of callers' requests.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers, in
            bytes.
        max_body_bytes: Maximum size of the decoded body, in bytes.
        header_timeout_s: Maximum time to receive a request, from its first byte
            to its end, in seconds.
        idle_timeout_s: Maximum time between two requests on a connection, in
            seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class WeightedService(typing.NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(typing.NamedTuple):
    """How the requests for one host and path prefix are served.

    Attributes:
        name: Name of the route, used in logs.
        host: Host name in lower case, without a port.
        prefix: Path prefix that starts and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Maximum time until the caller gets a response, in seconds.
        objective_s: Latency objective in seconds; a response within it has its
            full value.
        priority: Priority of the route under load; 0 is the highest.
        weighted_services: Services of which one answers a single request; empty
            for queries.
        shards: Services that together answer a query; empty for single
            requests.
        attempts: Maximum number of searchers called for a single request, or
            for one shard of a query.
        max_records: Maximum number of records in the response to a query.
        min_shard_share: Fraction of the shards below which a query fails.
        public: Whether requests need no key.
        regions: Regions whose searchers may run the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int = 0
    weighted_services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    attempts: int = 1
    max_records: int = 0
    min_shard_share: float = 0.0
    public: bool = False
    regions: tuple[str, ...] = ()

    @property
    def min_shards(self) -> int:
        """Minimum number of shards for a successful query."""
        count = len(self.shards)
        minimum = next(
            (n for n in range(1, count) if n / count >= self.min_shard_share),
            count,
        )
        return max(1, minimum)


class Service(typing.NamedTuple):
    """Configuration of a service's searchers.

    Attributes:
        health_path: URL path requested by health checks.
        connections: Number of connections that one searcher accepts from all
            callers together.
        warm_up_s: Time after its start for which a searcher is cold, in
            seconds.
        warm_up_per_s: Requests per second that a cold searcher takes from all
            VMs together; 0 for no limit.
    """

    health_path: str = "/"
    connections: int = 16
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


class Configuration(typing.NamedTuple):
    """One version of everything that operators configure.

    Attributes:
        version: The version; a higher one replaces a lower one.
        routes: The routes.
        services: The services, by name.
        limits: The limits on callers' requests.
        workspaces: The workspaces; if there are any, a request needs the key of
            one unless its route is public.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()
    workspaces: tuple[tenancy.Workspace, ...] = ()


class RouteTable(typing.NamedTuple):
    """A configuration, prepared for lookups.

    Attributes:
        configuration: The configuration.
        by_host: The routes by host, longest prefix first.
        by_key: The workspaces by the digests of their keys.
    """

    configuration: Configuration
    by_host: dict[str, tuple[Route, ...]]
    by_key: dict[bytes, tenancy.Workspace] = {}


def create_table(configuration: Configuration) -> RouteTable:
    """Returns the routing table of a configuration."""
    by_host: dict[str, list[Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        configuration,
        {
            host: tuple(sorted(rows, key=lambda row: -len(row.prefix)))
            for host, rows in by_host.items()
        },
        {key: row for row in configuration.workspaces for key in row.keys},
    )


def time_limit_s(route: Route, time_left_s: float | None) -> float:
    """Returns the time that a request may take, in seconds.

    Args:
        route: The route of the request.
        time_left_s: The time that its caller waits; None if it didn't say.
    """
    if time_left_s is None:
        return route.timeout_s
    return min(route.timeout_s, time_left_s)


def find_route(table: RouteTable, host: str, target: str) -> Route | None:
    """Returns the route of a request, or None if no route matches.

    Args:
        table: Routing table to search.
        host: Host header as sent by the caller, with or without a port.
        target: Request target, with path and query string.
    """
    name = host.strip().lower()
    if ":" in name and not name.startswith("["):
        name = name.partition(":")[0]
    path = target.partition("?")[0]
    for route in table.by_host.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


class WeightedSplit:
    """Distributes requests over the services of a route by weight.

    Uses smooth weighted round robin: the service with the highest credit is
    next, so the shares also hold over short sequences.

    Attributes:
        credits: Credit of each service, by route name and weighted services.
    """

    def __init__(self) -> None:
        self.credits: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def next_service(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        key = (route.name, services)
        credit = self.credits.setdefault(key, [0.0] * len(services))
        for index, row in enumerate(services):
            credit[index] += row.weight
        chosen = max(range(len(services)), key=credit.__getitem__)
        credit[chosen] -= sum(row.weight for row in services)
        return services[chosen].service

    def retain(self, routes: collections.abc.Iterable[Route]) -> None:
        """Drops the state of all routes but the given ones."""
        keys = {(route.name, route.weighted_services) for route in routes}
        self.credits = {k: v for k, v in self.credits.items() if k in keys}
