"""Routes: which services may answer a request.

A configuration is whole and immutable; requests keep the one that they began
with.
"""

import collections.abc
import typing

__all__ = [
    "Configuration",
    "Limits",
    "Part",
    "Route",
    "Service",
    "Split",
    "Table",
    "create_table",
    "find",
]


class Limits(typing.NamedTuple):
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Of the request line and the headers.
        body_bytes: Of the decoded body.
        header_s: From the first byte of a request to its end.
        idle_s: Between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_s: float = 10.0
    idle_s: float = 60.0


class Part(typing.NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(typing.NamedTuple):
    """How the requests below one prefix are served.

    Attributes:
        name: For logs.
        host: In lower case, without a port.
        prefix: Of the path, with a slash at both ends.
        repeatable: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Latency within which an answer has its full use.
        rank: Of the route under load, 0 first.
        parts: Services of which one answers; empty for queries.
        shards: Services that all answer a query; empty for single requests.
        attempts: Searchers that one request, or one shard's part, may reach.
        top: Records that a query's answer holds at most.
        least_share: Of the shards, below which a query fails.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    objective_s: float
    rank: int = 0
    parts: tuple[Part, ...] = ()
    shards: tuple[str, ...] = ()
    attempts: int = 1
    top: int = 0
    least_share: float = 0.0

    @property
    def least_shards(self) -> int:
        """Fewest shards of a successful query."""
        count = len(self.shards)
        least = next(
            (n for n in range(1, count) if n / count >= self.least_share),
            count,
        )
        return max(1, least)


class Service(typing.NamedTuple):
    """What is configured of a service's searchers.

    Attributes:
        health_path: Asked by health checks.
        connections: That one searcher takes from all callers.
    """

    health_path: str = "/"
    connections: int = 16


class Configuration(typing.NamedTuple):
    """One version of everything that operators configure."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits = Limits()


class Table(typing.NamedTuple):
    """A configuration's routes by host, longest prefix first."""

    configuration: Configuration
    by_host: dict[str, tuple[Route, ...]]


def create_table(configuration: Configuration) -> Table:
    """Returns the look-up table of a configuration."""
    by_host: dict[str, list[Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    return Table(
        configuration,
        {
            host: tuple(sorted(rows, key=lambda row: -len(row.prefix)))
            for host, rows in by_host.items()
        },
    )


def find(table: Table, host: str, target: str) -> Route | None:
    """Returns the route of a request, or None.

    Args:
        table: In force.
        host: As the caller sent it, with or without a port.
        target: Path and query.
    """
    name = host.strip().lower()
    if ":" in name and not name.startswith("["):
        name = name.partition(":")[0]
    path = target.partition("?")[0]
    for route in table.by_host.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


class Split:
    """Shares requests between the parts of routes by their weights.

    Each route's part with the largest debt is next (smooth weighted round
    robin), so that shares hold over short spans too.

    Attributes:
        debts: By route and part.
    """

    def __init__(self) -> None:
        self.debts: dict[tuple[str, tuple[Part, ...]], list[float]] = {}

    def next(self, route: Route) -> str:
        """Returns the service of a route's next request."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        key = (route.name, parts)
        debts = self.debts.setdefault(key, [0.0] * len(parts))
        for index, part in enumerate(parts):
            debts[index] += part.weight
        chosen = max(range(len(parts)), key=debts.__getitem__)
        debts[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service

    def keep(self, routes: collections.abc.Iterable[Route]) -> None:
        """Forgets the routes that are gone."""
        keys = {(route.name, route.parts) for route in routes}
        self.debts = {k: v for k, v in self.debts.items() if k in keys}
