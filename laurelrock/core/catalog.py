"""Holds the manifest in force and the most recent deltas that led to it.

The generation number never decreases. A full manifest or a delta that cannot
be decoded, does not match its digest or yields an invalid manifest is
rejected, and the last good manifest stays in force.
"""

import collections
import typing

import msgspec

from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import delta

__all__ = ["Catalog", "apply_deltas", "apply_full", "deltas_after"]

#: Number of recent deltas that are kept to be sent to peers.
KEPT_DELTAS = 64


class Catalog:
    """The manifest in force and the most recent deltas.

    Attributes:
        generation: Generation of the manifest in force, 0 if there is none.
        digest: Digest of `raw`.
        raw: The manifest in force as canonical JSON.
        document: The JSON value that `raw` decodes to.
        manifest: The validated manifest that `raw` decodes to.
        deltas: The most recent deltas in ascending order of generation; the
            last one leads to `generation`.
        invalid_digests: Digests of committed manifests that failed
            validation; they are not requested again.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.digest = ""
        self.raw = b""
        self.document: typing.Any = None
        self.manifest: manifest.Manifest | None = None
        self.deltas: collections.deque[messages.ManifestDelta] = (
            collections.deque(maxlen=KEPT_DELTAS)
        )
        self.invalid_digests: set[str] = set()


def is_ahead(catalog: Catalog, generation: int, digest: str) -> bool:
    """Returns whether a generation is newer and not known to be invalid.

    Raises:
        GenerationConflictError: The generation is in force with a different
            digest.
    """
    if generation == catalog.generation and digest != catalog.digest:
        raise errors.GenerationConflictError(
            f"generation {generation} is in force with digest"
            f" {catalog.digest}, but was announced with digest {digest}"
        )
    return (
        generation > catalog.generation
        and digest not in catalog.invalid_digests
    )


def apply_full(
    catalog: Catalog, generation: int, digest: str, raw: bytes
) -> bool:
    """Puts a full manifest in force if it is newer.

    Args:
        catalog: The catalog to update.
        generation: Generation of the manifest.
        digest: Digest that the manifest's head names.
        raw: The manifest as canonical JSON.

    Returns:
        Whether the manifest was put in force.

    Raises:
        ManifestError: The manifest is invalid.
        DigestError: The manifest does not match its digest.
        GenerationConflictError: The generation is in force with a different
            digest.
    """
    if not is_ahead(catalog, generation, digest):
        return False
    _check_digest(generation, digest, raw)
    checked = _decode_manifest(catalog, digest, raw)
    document = msgspec.json.decode(raw)
    if generation == catalog.generation + 1 and catalog.generation:
        change = delta.diff(catalog.document, document)
        entry = messages.ManifestDelta(generation, digest, change)
        catalog.deltas.append(entry)
    else:
        catalog.deltas.clear()
    _put_in_force(catalog, generation, digest, raw, document, checked)
    return True


def apply_deltas(
    catalog: Catalog, deltas: list[messages.ManifestDelta]
) -> bool:
    """Applies consecutive deltas and puts the last generation in force.

    Only the last generation is validated as a manifest.

    Args:
        catalog: The catalog to update.
        deltas: Deltas in ascending order of generation; those that are not
            newer than the manifest in force are skipped.

    Returns:
        Whether a newer generation was put in force; False if a delta between
        the one in force and the last one is missing.

    Raises:
        ManifestError: The last generation is an invalid manifest.
        DeltaError: A delta cannot be applied to the document.
        DigestError: The result of a delta does not match its digest.
        GenerationConflictError: A delta's generation is in force with a
            different digest.
    """
    newer = [
        entry
        for entry in deltas
        if is_ahead(catalog, entry.generation, entry.digest)
    ]
    first = catalog.generation + 1
    expected = list(range(first, first + len(newer)))
    if not newer or [entry.generation for entry in newer] != expected:
        return False
    if catalog.document is None:
        return False
    document, raw = catalog.document, catalog.raw
    for entry in newer:
        document = delta.apply(document, entry.delta)
        raw = delta.canonical(document)
        _check_digest(entry.generation, entry.digest, raw)
    last = newer[-1]
    checked = _decode_manifest(catalog, last.digest, raw)
    catalog.deltas.extend(newer)
    _put_in_force(catalog, last.generation, last.digest, raw, document, checked)
    return True


def deltas_after(
    catalog: Catalog, generation: int
) -> list[messages.ManifestDelta] | None:
    """Returns the deltas from a generation to the one in force.

    Returns:
        The deltas in ascending order, or None if there are none or if one of
        them is no longer kept.
    """
    deltas = [
        entry for entry in catalog.deltas if entry.generation > generation
    ]
    missing = catalog.generation - generation - len(deltas)
    return deltas if deltas and missing == 0 else None


def _check_digest(generation: int, digest: str, raw: bytes) -> None:
    found = manifest.digest_of(raw)
    if found != digest:
        raise errors.DigestError(
            f"generation {generation} has digest {found},"
            f" but its head names {digest}"
        )


def _decode_manifest(
    catalog: Catalog, digest: str, raw: bytes
) -> manifest.Manifest:
    try:
        return manifest.decode(raw)
    except errors.ManifestError:
        catalog.invalid_digests.add(digest)
        raise


def _put_in_force(
    catalog: Catalog,
    generation: int,
    digest: str,
    raw: bytes,
    document: typing.Any,
    checked: manifest.Manifest,
) -> None:
    catalog.generation = generation
    catalog.digest = digest
    catalog.raw = raw
    catalog.document = document
    catalog.manifest = checked
