"""Manifest: schema and validator.

A manifest is a JSON document of at most 1 MB that describes the regions, the
applications with their services and searchers, the snapshots that queries may
pin, and the callers with their rights.
"""

import collections.abc
import typing

import msgspec
import xxhash

from laurelrock import document
from laurelrock import errors

__all__ = ["Manifest", "decode", "digest_of", "encode"]

#: Largest encoded manifest, in bytes.
MAX_MANIFEST_BYTES = 1_000_000

Name = typing.Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._-]+$"),
]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=60_000)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Searcher(typing.NamedTuple):
    """One replica of a service.

    Attributes:
        id: Unique name in the manifest.
        address: IP number and port.
        failure_domain: Where it runs.
        slots: Calls that it runs at the same time.
        connections: Most connections over all daemons.
        connect_ms: Usual time to open a connection.
        state: "leaving" searchers receive no new work.
    """

    id: Name
    address: Address
    failure_domain: Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1024)]
    connections: typing.Annotated[int, msgspec.Meta(ge=2, le=100_000)]
    connect_ms: float = 1.0
    state: typing.Literal["live", "leaving"] = "live"


class Shard(typing.NamedTuple):
    """One part of a snapshot and the service that holds it."""

    id: Name
    service: Name


class Snapshot(typing.NamedTuple):
    """One version of an application's index with its shards."""

    version: Name
    shards: list[Shard]


class Policy(typing.NamedTuple):
    """How an application's queries are treated.

    Attributes:
        priority: Class of the queue, 0 is the highest.
        share: Least fraction of the slots that the class keeps under
            overload.
        deadline_ms: Deadline where the caller gives none.
        max_deadline_ms: Largest deadline that a caller may give.
        partial: "wait" for whole coverage up to the deadline, or answer
            "early" once `early_ms` have passed and the coverage suffices.
        early_ms: See `partial`.
        min_coverage: Least coverage of an answer.
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
        services: Searchers of each service, by its name.
        snapshots: Newest first; queries pin the first one.
        save_service: Service that takes the application's saves, if any.
        policy: How its queries are treated.
    """

    services: dict[Name, list[Searcher]]
    snapshots: typing.Annotated[list[Snapshot], msgspec.Meta(min_length=1)]
    save_service: Name | None = None
    policy: Policy = Policy()


class Caller(typing.NamedTuple):
    """Who may ask what.

    Attributes:
        token_sha256: Hexadecimal digest of the bearer token.
        applications: Names of the applications it may ask.
        saves: Whether it may save.
    """

    token_sha256: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    applications: list[Name]
    saves: bool = True


class Manifest(typing.NamedTuple):
    """The whole configuration of one deployment.

    Attributes:
        name: Of the deployment.
        regions: Failure domains of each region, by its name.
        applications: By name.
        callers: By name.
    """

    name: Name
    regions: dict[Name, list[Name]]
    applications: dict[Name, Application]
    callers: dict[Name, Caller]


def decode(text: bytes | str) -> Manifest:
    """Reads and checks a manifest.

    Args:
        text: JSON document.

    Returns:
        The manifest.

    Raises:
        ManifestError: Names the path and the value that do not fit.
    """
    raw = text.encode() if isinstance(text, str) else text
    if len(raw) > MAX_MANIFEST_BYTES:
        raise errors.ManifestError(
            f"the manifest has {len(raw)} bytes, over {MAX_MANIFEST_BYTES}"
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
    for path, reason in _contradictions(manifest):
        raise errors.ManifestError(f"{path}: {reason}")
    return manifest


def encode(manifest: Manifest) -> bytes:
    """Returns the canonical JSON of a manifest, with sorted keys."""
    return msgspec.json.encode(document.unstructure(manifest), order="sorted")


def digest_of(raw: bytes) -> str:
    """Returns the 128-bit digest of an encoded manifest, in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(raw)


def _contradictions(
    manifest: Manifest,
) -> collections.abc.Iterator[tuple[str, str]]:
    domains: set[str] = set()
    for region, names in manifest.regions.items():
        for name in names:
            if name in domains:
                yield f"$.regions.{region}", f"{name!r} stands twice"
            domains.add(name)
    for name, application in manifest.applications.items():
        path = f"$.applications.{name}"
        yield from _application_contradictions(application, path, domains)
    for name, caller in manifest.callers.items():
        for target in caller.applications:
            if target not in manifest.applications:
                path = f"$.callers.{name}.applications"
                yield path, f"no application {target!r}"


def _application_contradictions(
    application: Application, path: str, domains: set[str]
) -> collections.abc.Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for service, searchers in application.services.items():
        for index, searcher in enumerate(searchers):
            where = f"{path}.services.{service}[{index}]"
            if searcher.failure_domain not in domains:
                domain = searcher.failure_domain
                yield f"{where}.failure_domain", f"no domain {domain!r}"
            if searcher.id in seen:
                yield f"{where}.id", f"{searcher.id!r} stands twice"
            if not _is_endpoint(searcher.address):
                yield f"{where}.address", f"{searcher.address!r} is no endpoint"
            seen.add(searcher.id)
    save_service = application.save_service
    if save_service is not None and save_service not in application.services:
        yield f"{path}.save_service", f"no service {save_service!r}"
    versions: set[str] = set()
    for index, snapshot in enumerate(application.snapshots):
        where = f"{path}.snapshots[{index}]"
        if snapshot.version in versions:
            yield f"{where}.version", f"{snapshot.version!r} stands twice"
        versions.add(snapshot.version)
        shard_ids: set[str] = set()
        for position, shard in enumerate(snapshot.shards):
            if shard.id in shard_ids:
                yield f"{where}.shards[{position}].id", f"{shard.id!r} twice"
            if shard.service not in application.services:
                reason = f"no service {shard.service!r}"
                yield f"{where}.shards[{position}].service", reason
            shard_ids.add(shard.id)


def _is_endpoint(address: str) -> bool:
    host, _, port = address.partition(":")
    numbers = [int(part) for part in host.split(".")]
    return all(number <= 255 for number in numbers) and 0 < int(port) < 65536
