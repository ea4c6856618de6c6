"""Manifest: schema and validation of the deployment's configuration.

A manifest is a JSON document of at most 1 MB that describes the regions, the
applications with their services and searchers, the snapshots that queries may
be pinned to, and the callers with their permissions.
"""

import collections.abc
import typing

import msgspec
import xxhash

from laurelrock import document
from laurelrock import errors

__all__ = ["Manifest", "decode", "digest_of", "encode"]

#: Maximum size of an encoded manifest, in bytes.
MAX_MANIFEST_BYTES = 1_000_000

#: Name of an object, which may be part of a URL path.
Name = typing.Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._-]+$"),
]
#: IPv4 address and port, as `IP:port`.
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
#: Duration in milliseconds, at most one minute.
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=60_000)]
#: Fraction from 0 to 1.
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Searcher(typing.NamedTuple):
    """One replica of a service.

    Attributes:
        id: Name of the searcher, unique in the manifest.
        address: Address of the searcher as `IP:port`.
        failure_domain: Failure domain that the searcher runs in.
        slots: Number of calls that the searcher executes concurrently.
        connections: Maximum number of connections to the searcher, summed
            over all daemons.
        connect_ms: Typical time to open a connection, in milliseconds.
        state: State of the searcher; one that is "leaving" receives no new
            work.
    """

    id: Name
    address: Address
    failure_domain: Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1024)]
    connections: typing.Annotated[int, msgspec.Meta(ge=2, le=100_000)]
    connect_ms: float = 1.0
    state: typing.Literal["live", "leaving"] = "live"


class Shard(typing.NamedTuple):
    """One shard of a snapshot and the service that stores it."""

    id: Name
    service: Name


class Snapshot(typing.NamedTuple):
    """One version of an application's index and its shards."""

    version: Name
    shards: list[Shard]


class Policy(typing.NamedTuple):
    """Scheduling, deadlines and coverage of an application's queries.

    Attributes:
        priority: Priority class in the queue; 0 is the highest.
        share: Minimum fraction of the slots that the priority class keeps
            under overload.
        deadline_ms: Default deadline of a query, in milliseconds.
        max_deadline_ms: Maximum deadline that a caller may request, in
            milliseconds.
        partial: When to send a partial response: "wait" waits for full
            coverage until the deadline; "early" responds once `early_ms` have
            passed and the coverage is at least the minimum.
        early_ms: Time after which `partial` "early" may respond, in
            milliseconds.
        min_coverage: Minimum coverage of a response, as a fraction of the
            shards.
    """

    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=7)] = 0
    share: Fraction = 0.1
    deadline_ms: Milliseconds = 1000.0
    max_deadline_ms: Milliseconds = 10_000.0
    partial: typing.Literal["wait", "early"] = "wait"
    early_ms: Milliseconds = 200.0
    min_coverage: Fraction = 0.0


class Application(typing.NamedTuple):
    """One searchable application.

    Attributes:
        services: Searchers of each service, by service name.
        snapshots: Snapshots, newest first; queries are pinned to the first.
        save_service: Name of the service that executes saves, or None if the
            application has none.
        policy: Scheduling, deadlines and coverage of the queries.
    """

    services: dict[Name, list[Searcher]]
    snapshots: typing.Annotated[list[Snapshot], msgspec.Meta(min_length=1)]
    save_service: Name | None = None
    policy: Policy = Policy()


class Caller(typing.NamedTuple):
    """A caller's credentials and permissions.

    Attributes:
        token_sha256: SHA-256 digest of the bearer token, in hexadecimal.
        applications: Names of the applications that the caller may use.
        saves: Whether the caller may send saves.
    """

    token_sha256: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    applications: list[Name]
    saves: bool = True


class Manifest(typing.NamedTuple):
    """Complete configuration of one deployment.

    Attributes:
        name: Name of the deployment.
        regions: Failure domains of each region, by region name.
        applications: Applications by name.
        callers: Callers by name.
    """

    name: Name
    regions: dict[Name, list[Name]]
    applications: dict[Name, Application]
    callers: dict[Name, Caller]


def decode(text: bytes | str) -> Manifest:
    """Decodes and validates a manifest.

    Args:
        text: Manifest as a JSON document.

    Returns:
        The manifest.

    Raises:
        ManifestError: The manifest is invalid; the message names the path and
            the value.
    """
    raw = text.encode() if isinstance(text, str) else text
    if len(raw) > MAX_MANIFEST_BYTES:
        raise errors.ManifestError(
            f"the manifest has {len(raw)} bytes; the maximum is"
            f" {MAX_MANIFEST_BYTES}"
        )
    try:
        value = msgspec.json.decode(raw)
        manifest = document.structure(Manifest, value)
    except msgspec.DecodeError as error:
        raise errors.ManifestError(f"$: not JSON: {error}") from None
    except document.DocumentError as error:
        raise errors.ManifestError(str(error)) from None
    except RecursionError:
        raise errors.ManifestError("$: nested too deeply") from None
    for path, reason in _inconsistencies(manifest):
        raise errors.ManifestError(f"{path}: {reason}")
    return manifest


def encode(manifest: Manifest) -> bytes:
    """Encodes a manifest as canonical JSON, with sorted keys."""
    return msgspec.json.encode(document.unstructure(manifest), order="sorted")


def digest_of(raw: bytes) -> str:
    """Returns the XXH3 128-bit digest of an encoded manifest as hex digits."""
    return xxhash.xxh3_128_hexdigest(raw)


def _inconsistencies(
    manifest: Manifest,
) -> collections.abc.Iterator[tuple[str, str]]:
    domains: set[str] = set()
    for region, names in manifest.regions.items():
        for name in names:
            if name in domains:
                yield f"$.regions.{region}", f"{name!r} is a duplicate"
            domains.add(name)
    for name, application in manifest.applications.items():
        path = f"$.applications.{name}"
        yield from _application_inconsistencies(application, path, domains)
    for name, caller in manifest.callers.items():
        for target in caller.applications:
            if target not in manifest.applications:
                path = f"$.callers.{name}.applications"
                yield path, f"unknown application {target!r}"


def _application_inconsistencies(
    application: Application, path: str, domains: set[str]
) -> collections.abc.Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for service, searchers in application.services.items():
        for index, searcher in enumerate(searchers):
            item_path = f"{path}.services.{service}[{index}]"
            if searcher.failure_domain not in domains:
                domain = searcher.failure_domain
                yield (
                    f"{item_path}.failure_domain",
                    f"unknown failure domain {domain!r}",
                )
            if searcher.id in seen:
                yield f"{item_path}.id", f"{searcher.id!r} is a duplicate"
            if not _is_endpoint(searcher.address):
                yield (
                    f"{item_path}.address",
                    f"{searcher.address!r} is not IP:port",
                )
            seen.add(searcher.id)
    save_service = application.save_service
    if save_service is not None and save_service not in application.services:
        yield f"{path}.save_service", f"unknown service {save_service!r}"
    versions: set[str] = set()
    for index, snapshot in enumerate(application.snapshots):
        item_path = f"{path}.snapshots[{index}]"
        if snapshot.version in versions:
            yield f"{item_path}.version", f"{snapshot.version!r} is a duplicate"
        versions.add(snapshot.version)
        shard_ids: set[str] = set()
        for position, shard in enumerate(snapshot.shards):
            if shard.id in shard_ids:
                yield (
                    f"{item_path}.shards[{position}].id",
                    f"{shard.id!r} is a duplicate",
                )
            if shard.service not in application.services:
                reason = f"unknown service {shard.service!r}"
                yield f"{item_path}.shards[{position}].service", reason
            shard_ids.add(shard.id)


def _is_endpoint(address: str) -> bool:
    host, _, port = address.partition(":")
    numbers = [int(part) for part in host.split(".")]
    return all(number <= 255 for number in numbers) and 0 < int(port) < 65536
