"""Checks a configuration before it is sent, and compares two versions.

A `Subject` is a configuration in a form that does not depend on its file
format. Its reader replaces each key by a placeholder, so that findings can't
contain a key.
"""

import collections
import collections.abc
import itertools
import typing

from laurelrock.core import routes
from laurelrock.core import tenancy

__all__ = ["Finding", "Severity", "Subject", "check", "exit_code"]

#: Kind of a finding. A "change" is a difference from the version in force.
Severity = typing.Literal["error", "warning", "change"]
Findings = collections.abc.Iterator["Finding"]

#: Parts of a configuration.
EVERYTHING = frozenset(
    {"version", "routes", "services", "workspaces", "limits"}
)
#: Maximum length of a name in a message, in characters.
MAX_NAME_LENGTH = 80


class Finding(typing.NamedTuple):
    """One result of a check.

    Attributes:
        severity: The severity.
        code: Stable identifier of the kind of finding.
        path: Path of the entry in its file, such as `$.routes[0]`.
        message: Description, without any key.
        line: Line of a syntax error, from 1; 0 if the path applies.
    """

    severity: Severity
    code: str
    path: str
    message: str
    line: int = 0


class Subject(typing.NamedTuple):
    """A configuration to check, and what is known about its deployment.

    Attributes:
        configuration: The readable entries.
        route_paths: Path of each route.
        services: Name and path of each service, duplicates included.
        workspace_paths: Path of each workspace.
        terms: The format's name of each attribute, by the attribute's name.
        findings: What was found while reading the file.
        unread: Those parts of `EVERYTHING` that were unreadable or of which
            some entries were.
        region_paths: Path of each region that the configuration defines.
        domains: Failure domains of each region, or None if not known.
        searchers: Number of searchers of each service, or None if not known.
        capacities: Requests per second of each service, over all its searchers;
            services of unknown capacity are missing.
        versioned: Whether the format has version numbers.
        root: Path of the configuration in its file.
    """

    configuration: routes.Configuration
    route_paths: tuple[str, ...]
    services: tuple[tuple[str, str], ...]
    workspace_paths: tuple[str, ...]
    terms: collections.abc.Mapping[str, str] = {}
    findings: tuple[Finding, ...] = ()
    unread: frozenset[str] = frozenset()
    region_paths: collections.abc.Mapping[str, str] = {}
    domains: collections.abc.Mapping[str, tuple[str, ...]] | None = None
    searchers: collections.abc.Mapping[str, int] | None = None
    capacities: collections.abc.Mapping[str, float] = {}
    versioned: bool = True
    root: str = "$"

    def term(self, name: str) -> str:
        """Returns the format's name of an attribute."""
        return self.terms.get(name, name)

    def routes(self) -> collections.abc.Iterator[tuple[str, routes.Route]]:
        """Returns the path and the value of each route."""
        return zip(self.route_paths, self.configuration.routes, strict=True)

    def workspaces(
        self,
    ) -> collections.abc.Iterator[tuple[str, tenancy.Workspace]]:
        """Returns the path and the value of each workspace."""
        rows = self.configuration.workspaces
        return zip(self.workspace_paths, rows, strict=True)


def check(subject: Subject) -> list[Finding]:
    """Returns the findings about a configuration, errors first."""
    checks = (
        _check_names,
        _check_keys,
        _check_caps,
        _check_regions,
        _check_common_regions,
        _check_matches,
        _check_services,
        _check_times,
        _check_shares,
        _check_searchers,
        _check_capacity,
    )
    found = [*subject.findings]
    found += itertools.chain.from_iterable(row(subject) for row in checks)
    return sort(found)


def sort(findings: collections.abc.Iterable[Finding]) -> list[Finding]:
    """Returns findings by severity, otherwise in the given order."""
    order = typing.get_args(Severity)
    return sorted(findings, key=lambda row: order.index(row.severity))


def exit_code(findings: collections.abc.Iterable[Finding]) -> int:
    """Returns 2 if there is an error, 1 if there is a warning, otherwise 0."""
    severities = {row.severity for row in findings}
    return 2 if "error" in severities else int("warning" in severities)


def quote(name: str) -> str:
    """Returns a name in quotes, truncated and without control characters."""
    if len(name) > MAX_NAME_LENGTH:
        name = name[:MAX_NAME_LENGTH] + "..."
    return repr(name)


def show_number(value: float) -> str:
    """Returns a number without an exponent and trailing zeros."""
    return f"{round(value, 6):.15g}"


def services_of(route: routes.Route) -> tuple[str, ...]:
    """Returns the names of the services that a route uses."""
    return route.shards or tuple(row.service for row in route.weighted_services)


# Names, keys, caps and regions


def _check_names(subject: Subject) -> Findings:
    """Reports names that occur twice."""
    kinds: tuple[tuple[str, list[tuple[str, str]]], ...] = (
        ("route", [(row.name, path) for path, row in subject.routes()]),
        ("service", [*subject.services]),
        ("workspace", [(row.name, path) for path, row in subject.workspaces()]),
    )
    for kind, rows in kinds:
        first: dict[str, str] = {}
        for name, path in rows:
            if first.setdefault(name, path) != path:
                message = f"{kind} {quote(name)} is also at {first[name]}"
                yield Finding("error", "duplicate-name", path, message)


def _check_keys(subject: Subject) -> Findings:
    """Reports workspaces without keys, or with a key of another workspace."""
    holders: dict[bytes, int] = {}
    rows = subject.configuration.workspaces
    for index, (path, row) in enumerate(subject.workspaces()):
        path = f"{path}.{subject.term('keys')}"
        if not row.keys:
            message = f"workspace {quote(row.name)} has no key"
            yield Finding("warning", "no-keys", path, message)
        shared = collections.Counter(
            holders[key]
            for key in {*row.keys}
            if holders.setdefault(key, index) != index
        )
        for holder, number in shared.items():
            yield Finding(
                "error",
                "shared-key",
                path,
                f"workspace {quote(row.name)} has {count(number, 'key')} of"
                f" workspace {quote(rows[holder].name)}",
            )


def _check_caps(subject: Subject) -> Findings:
    """Reports caps that never allow a whole request."""
    for path, row in subject.workspaces():
        if row.requests_per_s > 0 and row.burst < 1:
            yield Finding(
                "error",
                "burst-below-one",
                f"{path}.{subject.term('burst')}",
                f"the cap of workspace {quote(row.name)} has a burst of"
                f" {show_number(row.burst)}, which is below one request",
            )


def _check_regions(subject: Subject) -> Findings:
    """Reports regions without a failure domain."""
    if subject.domains is None:
        return
    named = [(path, name) for name, path in subject.region_paths.items()]
    entries = [(path, row.regions) for path, row in subject.routes()]
    entries += [(path, row.regions) for path, row in subject.workspaces()]
    for path, names in entries:
        path = f"{path}.{subject.term('regions')}"
        named += [(path, name) for name in names]
    for path, name in named:
        if not subject.domains.get(name):
            message = f"region {quote(name)} contains no failure domain"
            yield Finding("error", "empty-region", path, message)


def _check_common_regions(subject: Subject) -> Findings:
    """Reports pairs of a route and a workspace without a common region."""
    limited = [(path, row) for path, row in subject.workspaces() if row.regions]
    for path, route in subject.routes():
        for other, workspace in limited:
            if route.regions and not {*route.regions} & {*workspace.regions}:
                yield Finding(
                    "error",
                    "disjoint-regions",
                    f"{path}.{subject.term('regions')}",
                    f"route {quote(route.name)} and workspace"
                    f" {quote(workspace.name)} ({other}) have no region in"
                    " common",
                )


# Entries that never match


def _check_matches(subject: Subject) -> Findings:
    """Reports routes that no request can match."""
    table = routes.create_table(subject.configuration)
    first: dict[tuple[str, str], str] = {}
    for path, row in subject.routes():
        name = quote(row.name)
        at = f"{path}.{subject.term('prefix')}"
        holder = first.setdefault((row.host, row.prefix), path)
        found = routes.find_route(table, row.host, row.prefix)
        if not row.prefix.startswith("/") or found is None:
            message = f"no request can match host and prefix of route {name}"
            yield Finding("error", "unmatchable-route", at, message)
        elif holder != path:
            message = f"route {name} has the host and prefix of {holder}"
            yield Finding("error", "shadowed-route", at, message)


def _check_services(subject: Subject) -> Findings:
    """Reports services that don't exist, and those that no route uses."""
    known = {name for name, _ in subject.services}
    used: set[str] = set()
    for path, row in subject.routes():
        names = dict.fromkeys(services_of(row))
        used.update(names)
        for name in names:
            if name not in known and "services" not in subject.unread:
                message = (
                    f"route {quote(row.name)} uses service {quote(name)},"
                    " which doesn't exist"
                )
                yield Finding("error", "unknown-service", path, message)
    if "routes" not in subject.unread:
        for name, path in subject.services:
            if name not in used:
                message = f"no route uses service {quote(name)}"
                yield Finding("warning", "unused-service", path, message)


# Limits that contradict each other


def _check_times(subject: Subject) -> Findings:
    """Reports routes whose timeout ends before their objective."""
    for path, row in subject.routes():
        if row.timeout_s < row.objective_s:
            timeout = subject.term("timeout_s")
            yield Finding(
                "error",
                "timeout-below-objective",
                f"{path}.{timeout}",
                f"route {quote(row.name)}: {timeout}"
                f" ({show_number(row.timeout_s * 1e3)}) is below"
                f" {subject.term('objective_s')}"
                f" ({show_number(row.objective_s * 1e3)})",
            )


def _check_shares(subject: Subject) -> Findings:
    """Reports minimum shares that no response can reach."""
    for path, row in subject.routes():
        path = f"{path}.{subject.term('min_shard_share')}"
        name, share = quote(row.name), row.min_shard_share
        if share > 1:
            shown = show_number(share)
            message = f"route {name} requires a share of {shown}, above 1"
            yield Finding("error", "share-above-one", path, message)
        elif share > 0 and not row.shards:
            message = f"route {name} has no shards; its minimum share is unused"
            yield Finding("warning", "share-without-shards", path, message)


def _check_searchers(subject: Subject) -> Findings:
    """Reports routes that need more searchers than are known."""
    if subject.searchers is None:
        return
    counts = subject.searchers
    known = {name for name, _ in subject.services}
    for path, row in subject.routes():
        names = [
            name for name in dict.fromkeys(services_of(row)) if name in known
        ]
        if not names:
            continue
        absent = [name for name in names if not counts.get(name)]
        for name in absent:
            message = f"service {quote(name)} has no searcher"
            yield Finding("warning", "no-searchers", path, message)
        present = sum(1 for shard in row.shards if counts.get(shard))
        if row.shards and present < row.min_shards:
            yield Finding(
                "error",
                "share-above-shards",
                f"{path}.{subject.term('min_shard_share')}",
                f"route {quote(row.name)} requires {row.min_shards} of"
                f" {len(row.shards)} shards; {present} have a searcher",
            )
        fewest = min(names, key=lambda name: counts.get(name, 0))
        if not absent and counts[fewest] < row.attempts:
            yield Finding(
                "warning",
                "attempts-above-searchers",
                f"{path}.{subject.term('attempts')}",
                f"route {quote(row.name)} allows {row.attempts} attempts;"
                f" service {quote(fewest)} has"
                f" {count(counts[fewest], 'searcher')}",
            )


def _check_capacity(subject: Subject) -> Findings:
    """Reports caps whose sum exceeds what the services can serve."""
    rows = subject.configuration.workspaces
    total = sum(row.requests_per_s for row in rows)
    most = max_requests_per_s(subject.configuration.routes, subject.capacities)
    if most is not None and total > most:
        yield Finding(
            "warning",
            "caps-above-capacity",
            f"{subject.root}.{subject.term('workspaces')}",
            f"the caps of all workspaces allow {show_number(total)}"
            " requests/s; the routes' services can serve at most"
            f" {show_number(most)}",
        )


def max_requests_per_s(
    rows: collections.abc.Sequence[routes.Route],
    capacities: collections.abc.Mapping[str, float],
) -> float | None:
    """Returns an upper bound of the requests that routes can serve together.

    A query needs all its shards, a single request one service. Queries of the
    same shards share them.

    Args:
        rows: The routes.
        capacities: Requests per second of each service.

    Returns:
        Requests per second, or None if too few capacities are known.
    """
    singles: set[str] = set()
    groups: set[frozenset[str]] = set()
    for row in rows:
        if row.shards:
            groups.add(frozenset(row.shards))
        else:
            singles.update(services_of(row))
    limits = [
        min(
            (capacities[name] for name in group if name in capacities),
            default=None,
        )
        for group in groups
    ]
    limits += [capacities.get(name) for name in singles]
    known = [limit for limit in limits if limit is not None]
    return sum(known) if known and len(known) == len(limits) else None


def count(number: int, noun: str) -> str:
    """Returns a number and a noun in its singular or plural."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
