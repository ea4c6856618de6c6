"""Objects of the platform's store, decoded.

Entries may come from any writer: what lacks a field, or has one of another
type, is reported as unusable and never as an error of the whole list.
"""

import typing

import msgspec

from laurelrock import errors
from laurelrock.core import registry
from laurelrock.core import routes

__all__ = ["decode_body", "read_configuration", "read_searcher"]

Json = typing.Any

#: Words of the store for a searcher's state.
STATES: dict[str, registry.State] = {"ready": "live", "draining": "draining"}
#: Kind of route whose requests may run more than once.
REPEATABLE = "idempotent"
MAX_PORT = 65_535


class Fields:
    """Reads typed fields of an object; `FieldError` names a bad one."""

    def __init__(self, row: Json) -> None:
        if not isinstance(row, dict):
            raise errors.FieldError(f"{type(row).__name__} is not an object")
        self.row = row

    def text(self, name: str) -> str:
        value = self.row.get(name)
        if not isinstance(value, str) or not value:
            raise errors.FieldError(f"{name}: {value!r} is not a text")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.row.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise errors.FieldError(f"{name}: {value!r} is not a number")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.row.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise errors.FieldError(f"{name}: {value!r} is not whole")
        return value

    def rows(self, name: str) -> list[Json]:
        value = self.row.get(name, [])
        if value is None:
            return []
        if not isinstance(value, list):
            raise errors.FieldError(f"{name}: {value!r} is not a list")
        return value


def decode_body(body: bytes) -> Json:
    """Decodes JSON; raises `StoreError`.

    Bytes that are not UTF-8 spoil the text that holds them, not the list.
    """
    try:
        return msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        text = body.decode(errors="replace")
        try:
            return msgspec.json.decode(text)
        except msgspec.DecodeError:
            raise errors.StoreError(f"not JSON: {error}") from None


def read_searcher(name: str, spec: Json) -> registry.Searcher:
    """Returns a searcher from its entry; raises `FieldError`."""
    fields = Fields(spec)
    state = STATES.get(fields.text("state"))
    if state is None:
        raise errors.FieldError(f"state: {spec['state']!r} is unknown")
    slots = fields.whole("capacity")
    if slots < 1:
        raise errors.FieldError(f"capacity: {slots} is below 1")
    return registry.Searcher(
        id=name,
        # Unix milliseconds of the searcher's start; older ones lack it.
        born_ms=fields.whole("born", 0),
        service=fields.text("service"),
        address=read_address(fields.text("address")),
        failure_domain=fields.text("zone"),
        slots=slots,
        state=state,
        warm_up_s=max(0.0, fields.number("warmup_left_ms", 0) / 1000),
    )


def read_address(text: str) -> tuple[str, int]:
    """Returns host and port of `IP:port`; raises `FieldError`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise errors.FieldError(f"address: {text!r} is not IP:port")
    return host, int(port)


def read_configuration(spec: Json) -> routes.Configuration:
    """Returns a configuration; raises `FieldError`."""
    fields = Fields(spec)
    limits = Fields(fields.row.get("limits") or {})
    defaults = routes.Limits()
    return routes.Configuration(
        version=fields.whole("version"),
        routes=tuple(read_route(row) for row in fields.rows("routes")),
        services=dict(read_service(row) for row in fields.rows("services")),
        limits=routes.Limits(
            limits.whole("max_header_bytes", defaults.header_bytes),
            limits.whole("max_body_bytes", defaults.body_bytes),
            limits.number("header_timeout_ms", defaults.header_s * 1e3) / 1e3,
            limits.number("idle_timeout_ms", defaults.idle_s * 1e3) / 1e3,
        ),
    )


def read_route(row: Json) -> routes.Route:
    """Returns one route; raises `FieldError`."""
    fields = Fields(row)
    timeout_s = fields.number("timeout_ms") / 1000
    shards = tuple(str(name) for name in fields.rows("fanout"))
    return routes.Route(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("path_prefix"),
        repeatable=bool(shards) or row.get("type") == REPEATABLE,
        timeout_s=timeout_s,
        # Latency for which callers pay in full, not a limit.
        objective_s=fields.number("target_latency_ms", timeout_s * 1e3) / 1e3,
        rank=fields.whole("priority", 0),
        parts=() if shards else read_parts(fields),
        shards=shards,
        # Searchers that one attempt of a caller may reach, a shard.
        attempts=max(1, fields.whole("max_attempts", 1)),
        top=fields.whole("top_k", 0),
        least_share=fields.number("min_success_share", 0.0),
    )


def read_parts(fields: Fields) -> tuple[routes.Part, ...]:
    """Returns the services that share a route's requests."""
    rows = [Fields(row) for row in fields.rows("backends")]
    if rows:
        return tuple(
            routes.Part(row.text("service"), row.number("weight", 1.0))
            for row in rows
        )
    return (routes.Part(fields.text("service")),)


def read_service(row: Json) -> tuple[str, routes.Service]:
    """Returns one service by its name; raises `FieldError`."""
    fields = Fields(row)
    return fields.text("name"), routes.Service(
        fields.row.get("health_path") or "/",
        # All callers of one searcher together.
        fields.whole("max_connections", routes.Service().connections),
    )
