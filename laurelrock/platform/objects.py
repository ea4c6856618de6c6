"""Decoding of the objects in the platform's store.

Any writer may have written an entry. An entry that lacks a field, or has a
field of the wrong type, is reported as unusable; it never makes the whole list
fail.
"""

import ipaddress
import reprlib
import typing

from laurelrock import errors
from laurelrock.adapters import tolerant_json
from laurelrock.core import registry
from laurelrock.core import routes
from laurelrock.core import tenancy

__all__ = ["decode_body", "read_configuration", "read_searcher"]

Json = typing.Any

#: State of a searcher by its name in the store.
STATES: dict[str, registry.State] = {"ready": "live", "draining": "draining"}
#: Type of a route whose requests may run more than once.
IDEMPOTENT_TYPE = "idempotent"
MAX_PORT = 65_535
#: Nested objects and lists between a body and the contents of its objects: the
#: body, its list, an event and the event's object.
BODY_LEVELS = 4
#: Members of an object that are decoded as a whole.
WHOLE_MEMBERS = frozenset({"meta", "spec", "status"})
#: Largest magnitude of a number. Larger integers don't fit a message between
#: VMs, and may not be convertible to floating point.
MAX_NUMBER = 2**63 - 1


class Fields:
    """Reader of typed fields of a decoded object.

    Every method raises `FieldError`, which names the field, if the value has
    the wrong type or is missing without a default.
    """

    def __init__(self, row: Json) -> None:
        if isinstance(row, tolerant_json.Unreadable):
            raise errors.FieldError(f"unreadable: {row.reason}")
        if not isinstance(row, dict):
            raise errors.FieldError(f"{type(row).__name__} is not an object")
        self.row = row

    def text(self, name: str) -> str:
        """Returns a non-empty string field."""
        value = self.row.get(name)
        if not isinstance(value, str) or not value:
            raise errors.FieldError(
                f"{name}: {reprlib.repr(value)} is not a text string"
            )
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns an integer or floating-point field."""
        value = self.row.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise errors.FieldError(
                f"{name}: {reprlib.repr(value)} is not a number"
            )
        if abs(value) > MAX_NUMBER:
            raise errors.FieldError(f"{name}: above {MAX_NUMBER:g}")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns an integer field."""
        value = self.row.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise errors.FieldError(
                f"{name}: {reprlib.repr(value)} is not an integer"
            )
        if abs(value) > MAX_NUMBER:
            raise errors.FieldError(f"{name}: above {MAX_NUMBER:g}")
        return value

    def rows(self, name: str) -> list[Json]:
        """Returns a list field; an absent or null one counts as empty.

        The error names only the type, since the field may hold keys.
        """
        value = self.row.get(name, [])
        if value is None:
            return []
        if not isinstance(value, list):
            kind = type(value).__name__
            raise errors.FieldError(f"{name}: {kind} is not a list")
        return value


def decode_body(body: bytes) -> Json:
    """Decodes JSON; raises `StoreError` if it is malformed as a whole.

    An object that can't be decoded affects no other one. Bytes that aren't
    UTF-8 are replaced, so that they affect only the string that contains them.
    """
    found = tolerant_json.decode(body, BODY_LEVELS, WHOLE_MEMBERS)
    if isinstance(found, tolerant_json.Unreadable):
        raise errors.StoreError(f"malformed JSON: {found.reason}")
    return found


def read_searcher(name: str, spec: Json) -> registry.Searcher:
    """Decodes the entry of a searcher; raises `FieldError`."""
    fields = Fields(spec)
    if not (name.isascii() and name.isprintable()):
        # The id is part of a header of each call.
        raise errors.FieldError(f"id: {reprlib.repr(name)} is not ASCII text")
    state = STATES.get(fields.text("state"))
    if state is None:
        text = reprlib.repr(spec["state"])
        raise errors.FieldError(f"state: {text} is unknown")
    slots = fields.integer("capacity")
    if slots < 1:
        raise errors.FieldError(f"capacity: {slots} is below 1")
    return registry.Searcher(
        id=name,
        # Start time of the searcher in Unix milliseconds; older searchers
        # don't report it.
        started_ms=fields.integer("born", 0),
        service=fields.text("service"),
        address=read_address(fields.text("address")),
        failure_domain=fields.text("zone"),
        slots=slots,
        state=state,
        warm_up_left_s=max(0.0, fields.number("warmup_left_ms", 0) / 1000),
        # Number of the searcher's last write, counted from its start.
        seq=fields.integer("seq", 0),
    )


def read_address(text: str) -> tuple[str, int]:
    """Decodes `IP:port` to host and port; raises `FieldError`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        if port.isdecimal() and 0 < int(port) <= MAX_PORT:
            return host, int(port)
    except ValueError:
        # Not an IP address, or a number with thousands of digits.
        pass
    raise errors.FieldError(f"address: {reprlib.repr(text)} is not IP:port")


def read_configuration(spec: Json) -> routes.Configuration:
    """Decodes a configuration; raises `FieldError`."""
    fields = Fields(spec)
    return routes.Configuration(
        version=fields.integer("version"),
        routes=tuple(read_route(row) for row in fields.rows("routes")),
        services=dict(read_service(row) for row in fields.rows("services")),
        limits=read_limits(fields.row.get("limits") or {}),
        workspaces=tuple(read_workspace(row) for row in fields.rows("tenants")),
    )


def read_limits(row: Json) -> routes.Limits:
    """Decodes the limits on callers' requests; raises `FieldError`."""
    fields, defaults = Fields(row), routes.Limits()
    return routes.Limits(
        fields.integer("max_header_bytes", defaults.max_header_bytes),
        fields.integer("max_body_bytes", defaults.max_body_bytes),
        fields.number("header_timeout_ms", defaults.header_timeout_s * 1e3)
        / 1e3,
        fields.number("idle_timeout_ms", defaults.idle_timeout_s * 1e3) / 1e3,
    )


def read_route(row: Json) -> routes.Route:
    """Decodes one route; raises `FieldError`."""
    fields = Fields(row)
    timeout_s = fields.number("timeout_ms") / 1000
    shards = tuple(str(name) for name in fields.rows("fanout"))
    return routes.Route(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("path_prefix"),
        idempotent=bool(shards) or row.get("type") == IDEMPOTENT_TYPE,
        timeout_s=timeout_s,
        # Target, not a limit: callers pay in full for responses within it.
        objective_s=fields.number("target_latency_ms", timeout_s * 1e3) / 1e3,
        priority=fields.integer("priority", 0),
        weighted_services=() if shards else read_weighted_services(fields),
        shards=shards,
        # Maximum number of searchers per shard for one attempt of a caller.
        attempts=max(1, fields.integer("max_attempts", 1)),
        max_records=fields.integer("top_k", 0),
        min_shard_share=fields.number("min_success_share", 0.0),
        public=row.get("public") is True,
        regions=read_names(fields, "allowed_regions"),
    )


def read_weighted_services(
    fields: Fields,
) -> tuple[routes.WeightedService, ...]:
    """Decodes the weighted services among which a route's requests are split.

    A route without them has the one service that it names.
    """
    rows = fields.rows("backends")
    if rows:
        return tuple(read_weighted_service(row) for row in rows)
    return (routes.WeightedService(fields.text("service")),)


def read_weighted_service(row: Json) -> routes.WeightedService:
    """Decodes one weighted service of a route; raises `FieldError`."""
    fields = Fields(row)
    return routes.WeightedService(
        fields.text("service"), fields.number("weight", 1.0)
    )


def read_service(row: Json) -> tuple[str, routes.Service]:
    """Decodes a service and returns it after its name; raises `FieldError`."""
    fields = Fields(row)
    return fields.text("name"), routes.Service(
        fields.text("health_path") if fields.row.get("health_path") else "/",
        # Limit for one searcher over all its callers together.
        fields.integer("max_connections", routes.Service().connections),
        max(0.0, fields.number("warmup_s", 0.0)),
        max(0.0, fields.number("warmup_per_s", 0.0)),
    )


def read_workspace(row: Json) -> tenancy.Workspace:
    """Decodes one workspace; raises `FieldError`."""
    fields = Fields(row)
    return tenancy.Workspace(
        name=fields.text("name"),
        keys=tuple(
            tenancy.digest_of(key.encode())
            for key in read_names(fields, "api_keys")
        ),
        priority=(
            fields.integer("priority")
            if row.get("priority") is not None
            else None
        ),
        requests_per_s=max(0.0, fields.number("rate_per_s", 0.0)),
        burst=max(0.0, fields.number("burst", 0.0)),
        regions=read_names(fields, "allowed_regions"),
    )


def read_names(fields: Fields, name: str) -> tuple[str, ...]:
    """Decodes a list of names; raises `FieldError`."""
    rows = fields.rows(name)
    if not all(isinstance(row, str) for row in rows):
        raise errors.FieldError(f"{name}: not a list of text strings")
    return tuple(rows)
