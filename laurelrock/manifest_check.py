"""Converts a manifest to the form in which configurations are checked.

Each snapshot of an application counts as a route over its shards, and saves as
a route to one service. Callers count as workspaces, and their tokens as keys.
"""

import collections.abc
import re
import typing

import msgspec

from laurelrock import configuration_file
from laurelrock import errors
from laurelrock import manifest
from laurelrock.core import configuration_check
from laurelrock.core import routes
from laurelrock.core import tenancy

__all__ = ["add_keys", "is_manifest", "read"]

#: Names of the attributes in a manifest.
TERMS = {
    "routes": "applications",
    "services": "applications",
    "workspaces": "callers",
    "keys": "token_sha256",
    "timeout_s": "policy.max_deadline_ms",
    "objective_s": "policy.deadline_ms",
    "min_shard_share": "policy.min_coverage",
    "priority": "policy.priority",
}
#: Fields that hold digests of tokens, and a wrong name under which an operator
#: may write a token itself.
KEY_FIELDS = frozenset({"token_sha256", "token"})


def is_manifest(document: typing.Any) -> bool:
    """Tells whether a decoded document is meant as a manifest."""
    return isinstance(document, dict) and "applications" in document


def add_keys(
    document: typing.Any, placeholders: configuration_file.Placeholders
) -> None:
    """Adds placeholders for the tokens' digests in a manifest."""
    configuration_file.add_keys(
        document, KEY_FIELDS.__contains__, placeholders, create_placeholder
    )


def create_placeholder(number: int, key: str) -> str:
    """Returns a placeholder that is a digest if the key is one."""
    if re.fullmatch("[0-9a-f]{64}", key):
        return f"{number:064x}"
    return configuration_file.text_placeholder(number, key)


def read(
    document: typing.Any, placeholders: configuration_file.Placeholders
) -> configuration_check.Subject:
    """Converts a decoded manifest.

    The limit on a manifest's size applies without white space here.

    Args:
        document: Decoded JSON.
        placeholders: Placeholders of the keys; see `add_keys`.

    Returns:
        The manifest to check; what is invalid is among its findings.
    """
    document, found = configuration_file.hide_keys(
        document, KEY_FIELDS.__contains__, placeholders
    )
    try:
        source = manifest.decode(msgspec.json.encode(document))
    except errors.ManifestError as error:
        path, separator, reason = error.message.partition(": ")
        if not separator:
            path, reason = "$", error.message
        finding = configuration_check.Finding(
            "error", "manifest-invalid", path, reason
        )
        return _empty((finding, *found))
    return convert(source, tuple(found))


def _empty(
    findings: tuple[configuration_check.Finding, ...],
) -> configuration_check.Subject:
    return configuration_check.Subject(
        routes.Configuration(0, (), {}),
        (),
        (),
        (),
        TERMS,
        findings,
        configuration_check.EVERYTHING,
        versioned=False,
    )


def convert(
    source: manifest.Manifest,
    findings: tuple[configuration_check.Finding, ...] = (),
) -> configuration_check.Subject:
    """Returns a valid manifest as a configuration to check."""
    services = {
        f"{name}/{service}": (f"$.applications.{name}.services.{service}", rows)
        for name, application in source.applications.items()
        for service, rows in application.services.items()
    }
    found = [
        row
        for name, application in source.applications.items()
        for row in _routes(name, application)
    ]
    return configuration_check.Subject(
        routes.Configuration(
            0,
            tuple(route for _, route in found),
            {name: _service(rows) for name, (_, rows) in services.items()},
            workspaces=tuple(
                tenancy.Workspace(name, (caller.token_sha256.encode(),))
                for name, caller in source.callers.items()
            ),
        ),
        tuple(path for path, _ in found),
        tuple((name, path) for name, (path, _) in services.items()),
        tuple(f"$.callers.{name}" for name in source.callers),
        TERMS,
        findings,
        region_paths={name: f"$.regions.{name}" for name in source.regions},
        domains={name: tuple(rows) for name, rows in source.regions.items()},
        searchers={
            name: sum(1 for row in rows if row.state == "live")
            for name, (_, rows) in services.items()
        },
        versioned=False,
    )


def _routes(
    name: str, application: manifest.Application
) -> collections.abc.Iterator[tuple[str, routes.Route]]:
    """Yields path and route of each snapshot and of the saves.

    The limits are those of the queries that are pinned to the first snapshot.
    """
    path = f"$.applications.{name}"
    policy = application.policy
    for index, snapshot in enumerate(application.snapshots):
        route = routes.Route(
            name=f"{name} {snapshot.version}",
            host="",
            prefix=f"/{name}/snapshots/{snapshot.version}/",
            idempotent=True,
            timeout_s=policy.max_deadline_ms / 1e3,
            objective_s=policy.deadline_ms / 1e3,
            priority=policy.priority,
            shards=tuple(f"{name}/{row.service}" for row in snapshot.shards),
            min_shard_share=policy.min_coverage,
        )
        if index:
            route = route._replace(
                timeout_s=0.0, objective_s=0.0, min_shard_share=0.0
            )
        yield f"{path}.snapshots[{index}]" if index else path, route
    if application.save_service is not None:
        service = f"{name}/{application.save_service}"
        yield (
            path,
            routes.Route(
                name=f"saves of {name}",
                host="",
                prefix=f"/{name}/saves/",
                idempotent=False,
                timeout_s=0.0,
                objective_s=0.0,
                weighted_services=(routes.WeightedService(service),),
            ),
        )


def _service(rows: list[manifest.Searcher]) -> routes.Service:
    connections = min((row.connections for row in rows), default=0)
    return routes.Service(connections=connections)
