"""Converts a platform's configuration to the form in which it is checked.

Unlike `objects.read_configuration`, which fails at the first invalid field, the
conversion reports one error per entry and leaves the entry out.
"""

import collections
import collections.abc
import re
import typing

from laurelrock import configuration_file
from laurelrock import errors
from laurelrock.core import configuration_check
from laurelrock.core import routes
from laurelrock.platform import objects

__all__ = ["add_keys", "count_searchers", "read", "read_domains"]

Json = objects.Json
Value = typing.TypeVar("Value")

#: Names of the attributes in the platform's configuration.
TERMS = {
    "workspaces": "tenants",
    "keys": "api_keys",
    "requests_per_s": "rate_per_s",
    "regions": "allowed_regions",
    "prefix": "path_prefix",
    "idempotent": "type idempotent",
    "timeout_s": "timeout_ms",
    "objective_s": "target_latency_ms",
    "weighted_services": "backends",
    "shards": "fanout",
    "attempts": "max_attempts",
    "max_records": "top_k",
    "min_shard_share": "min_success_share",
    "connections": "max_connections",
    "warm_up_s": "warmup_s",
    "warm_up_per_s": "warmup_per_s",
    "header_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
}
#: Names of fields that hold keys, and others under which an operator may write
#: them, in lower case without separators.
KEY_FIELDS = frozenset({"apikeys", "apikey", "keys", "key"})
#: Numbers that must be above 0.
POSITIVE = (
    "timeout_ms",
    "target_latency_ms",
    "max_connections",
    "max_header_bytes",
    "max_body_bytes",
    "header_timeout_ms",
    "idle_timeout_ms",
)
#: Numbers that must not be below 0. The gateway takes a negative limit for
#: none.
NOT_NEGATIVE = (
    "max_attempts",
    "top_k",
    "min_success_share",
    "weight",
    "warmup_s",
    "warmup_per_s",
    "rate_per_s",
    "burst",
)


def is_key_field(name: str) -> bool:
    """Tells whether a field with this name may hold keys."""
    return re.sub("[^a-z0-9]", "", name.lower()) in KEY_FIELDS


def add_keys(
    document: Json, placeholders: configuration_file.Placeholders
) -> None:
    """Adds placeholders for the keys in a configuration."""
    configuration_file.add_keys(document, is_key_field, placeholders)


class Reader:
    """Reader of entries that collects their errors.

    Attributes:
        findings: The errors.
        unread: Parts that are unreadable or lack entries.
    """

    def __init__(self) -> None:
        self.findings: list[configuration_check.Finding] = []
        self.unread: set[str] = set()

    def attempt(
        self, path: str, decode: collections.abc.Callable[[], Value]
    ) -> Value | None:
        """Returns the result of a decoder, or None after an error."""
        try:
            return decode()
        except errors.FieldError as error:
            name, separator, reason = error.message.partition(": ")
            if separator and re.fullmatch("[a-z_]+", name):
                self.report(f"{path}.{name}", reason)
            else:
                self.report(path, error.message)
            return None

    def report(self, path: str, message: str) -> None:
        """Adds an error about an invalid field."""
        self.findings.append(
            configuration_check.Finding("error", "invalid-field", path, message)
        )

    def read_rows(
        self,
        fields: objects.Fields,
        root: str,
        part: str,
        decode: collections.abc.Callable[[Json], Value],
    ) -> list[tuple[str, Value]]:
        """Returns path and value of the readable entries of a part."""
        name = TERMS.get(part, part)
        path = f"{root}.{name}"
        rows = self.attempt(root, lambda: fields.rows(name))
        found = []
        for index, row in enumerate(rows or ()):
            at = f"{path}[{index}]"
            self.check_numbers(row, at)
            value = self.attempt(at, lambda row=row: decode(row))  # type: ignore[misc]
            if value is not None:
                found.append((at, value))
        if rows is None or len(found) < len(rows):
            self.unread.add(part)
        return found

    def check_numbers(self, row: Json, path: str) -> None:
        """Reports numbers that are too small."""
        if not isinstance(row, dict):
            return
        for names, reason in (
            (POSITIVE, "is not above 0"),
            (NOT_NEGATIVE, "is below 0"),
        ):
            for name in names:
                value = row.get(name)
                if isinstance(value, bool) or not isinstance(
                    value, int | float
                ):
                    continue
                if value < 0 or (value == 0 and names is POSITIVE):
                    self.report(f"{path}.{name}", f"{value!r} {reason}")

    def read_route(self, row: Json) -> routes.Route:
        """Decodes a route; raises `FieldError`."""
        backends = row.get("backends") if isinstance(row, dict) else None
        for index, item in enumerate(
            backends if isinstance(backends, list) else ()
        ):
            try:
                objects.read_weighted_service(item)
            except errors.FieldError as error:
                raise errors.FieldError(
                    f"backends: entry {index}: {error.message}"
                ) from None
        return objects.read_route(row)


def read(
    document: Json,
    placeholders: configuration_file.Placeholders,
    domains: collections.abc.Mapping[str, tuple[str, ...]] | None = None,
    searchers: collections.abc.Mapping[str, int] | None = None,
    capacities: collections.abc.Mapping[str, float] | None = None,
) -> configuration_check.Subject:
    """Converts a configuration, alone or as an object of the store.

    Args:
        document: Decoded JSON.
        placeholders: Placeholders of the keys; see `add_keys`.
        domains: Failure domains of each region, or None if not known.
        searchers: Number of searchers of each service, or None if not known.
        capacities: Requests per second of each service.

    Returns:
        The configuration to check; what is invalid is among its findings.
    """
    document, found = configuration_file.hide_keys(
        document, is_key_field, placeholders
    )
    path, reader = "$", Reader()
    if isinstance(document, dict) and isinstance(document.get("spec"), dict):
        path, document = "$.spec", document["spec"]
    whole = reader.attempt(path, lambda: objects.Fields(document))
    fields = whole or objects.Fields({"version": 0})
    if whole is None:
        reader.unread.update(configuration_check.EVERYTHING)
    version = reader.attempt(path, lambda: fields.integer("version"))
    if version is None:
        reader.unread.add("version")
    rows = reader.read_rows(fields, path, "routes", reader.read_route)
    services = reader.read_rows(fields, path, "services", objects.read_service)
    workspaces = reader.read_rows(
        fields, path, "workspaces", objects.read_workspace
    )
    limits_row = fields.row.get("limits") or {}
    reader.check_numbers(limits_row, f"{path}.limits")
    limits = reader.attempt(
        f"{path}.limits", lambda: objects.read_limits(limits_row)
    )
    if limits is None:
        reader.unread.add("limits")
    return configuration_check.Subject(
        routes.Configuration(
            version or 0,
            tuple(row for _, row in rows),
            dict(row for _, row in services),
            limits or routes.Limits(),
            tuple(row for _, row in workspaces),
        ),
        tuple(at for at, _ in rows),
        tuple((name, at) for at, (name, _) in services),
        tuple(at for at, _ in workspaces),
        TERMS,
        (*reader.findings, *found),
        frozenset(reader.unread),
        domains=domains,
        searchers=searchers,
        capacities=capacities or {},
        root=path,
    )


def read_domains(settings: Json) -> dict[str, tuple[str, ...]]:
    """Returns the failure domains of each region from a VM's settings.

    Raises:
        FieldError: The settings name no failure domains.
    """
    zones = objects.Fields(settings).row.get("zones")
    if not isinstance(zones, dict):
        raise errors.FieldError("zones: not an object")
    domains: dict[str, tuple[str, ...]] = {}
    for domain, region in zones.items():
        domains[str(region)] = (*domains.get(str(region), ()), str(domain))
    return domains


def count_searchers(listed: Json) -> dict[str, int]:
    """Returns the number of live searchers of each service.

    Args:
        listed: The store's response to a list of the kind `servers`, or the
            list of its items. Invalid entries don't count.

    Raises:
        FieldError: It is no such list.
    """
    if isinstance(listed, list):
        listed = {"items": listed}
    counts: collections.Counter[str] = collections.Counter()
    for item in objects.Fields(listed).rows("items"):
        spec = item.get("spec") if isinstance(item, dict) else None
        try:
            searcher = objects.read_searcher("", spec)
        except errors.FieldError:
            continue
        if searcher.state == "live":
            counts[searcher.service] += 1
    return dict(counts)
