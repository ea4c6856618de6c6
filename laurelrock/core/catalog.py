"""Catalog: the manifest in force and the last steps that led to it.

The generation only rises. A copy or a step that cannot be read, does not
match its digest or is no valid manifest leaves the last good one in force.
"""

import collections
import typing

import msgspec

from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import delta

__all__ = ["Catalog", "offer_copy", "offer_steps", "steps_after"]

#: Steps that are kept for peers.
KEPT_STEPS = 64


class Catalog:
    """The manifest in force.

    Attributes:
        generation: 0 while there is none.
        digest: Of `raw`.
        raw: Canonical JSON.
        document: `raw`, decoded.
        manifest: `raw`, decoded and checked.
        steps: The last generations as deltas; the newest leads to
            `generation`.
        refused: Digests of committed manifests that were not valid.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.digest = ""
        self.raw = b""
        self.document: typing.Any = None
        self.manifest: manifest.Manifest | None = None
        self.steps: collections.deque[messages.ManifestStep] = (
            collections.deque(maxlen=KEPT_STEPS)
        )
        self.refused: set[str] = set()


def is_ahead(catalog: Catalog, generation: int, digest: str) -> bool:
    """Tells whether a generation is worth asking for.

    Raises:
        GenerationConflictError: It is the one in force under another digest.
    """
    if generation == catalog.generation and digest != catalog.digest:
        raise errors.GenerationConflictError(
            f"generation {generation} is {catalog.digest} and {digest}"
        )
    return generation > catalog.generation and digest not in catalog.refused


def offer_copy(
    catalog: Catalog, generation: int, digest: str, raw: bytes
) -> bool:
    """Puts a whole manifest in force if it is newer.

    Args:
        catalog: What it is offered to.
        generation: Of the manifest.
        digest: That its head names.
        raw: Canonical JSON.

    Returns:
        Whether the generation rose.

    Raises:
        ManifestError: It is not a valid manifest.
        DigestError: It does not match its digest.
        GenerationConflictError: See `is_ahead`.
    """
    if not is_ahead(catalog, generation, digest):
        return False
    _check_digest(generation, digest, raw)
    checked = _checked(catalog, digest, raw)
    document = msgspec.json.decode(raw)
    if generation == catalog.generation + 1 and catalog.generation:
        change = delta.diff(catalog.document, document)
        step = messages.ManifestStep(generation, digest, change)
        catalog.steps.append(step)
    else:
        catalog.steps.clear()
    _put_in_force(catalog, generation, digest, raw, document, checked)
    return True


def offer_steps(catalog: Catalog, steps: list[messages.ManifestStep]) -> bool:
    """Puts the last of some consecutive generations in force.

    Returns:
        Whether the generation rose; not where steps are missing.

    Raises:
        ManifestError: The last one is not a valid manifest.
        DeltaError: A step does not fit the document.
        DigestError: A step does not lead to its digest.
        GenerationConflictError: See `is_ahead`.
    """
    ahead = [s for s in steps if is_ahead(catalog, s.generation, s.digest)]
    first = catalog.generation + 1
    wanted = list(range(first, first + len(ahead)))
    if not ahead or [step.generation for step in ahead] != wanted:
        return False
    if catalog.document is None:
        return False
    document, raw = catalog.document, catalog.raw
    for step in ahead:
        document = delta.apply(document, step.delta)
        raw = delta.canonical(document)
        _check_digest(step.generation, step.digest, raw)
    last = ahead[-1]
    checked = _checked(catalog, last.digest, raw)
    catalog.steps.extend(ahead)
    _put_in_force(catalog, last.generation, last.digest, raw, document, checked)
    return True


def steps_after(
    catalog: Catalog, generation: int
) -> list[messages.ManifestStep] | None:
    """Returns the steps from a generation to the present one.

    Returns:
        None where a step is no longer kept.
    """
    steps = [step for step in catalog.steps if step.generation > generation]
    missing = catalog.generation - generation - len(steps)
    return steps if steps and missing == 0 else None


def _check_digest(generation: int, digest: str, raw: bytes) -> None:
    found = manifest.digest_of(raw)
    if found != digest:
        raise errors.DigestError(
            f"generation {generation} is {found}, its head names {digest}"
        )


def _checked(catalog: Catalog, digest: str, raw: bytes) -> manifest.Manifest:
    try:
        return manifest.decode(raw)
    except errors.ManifestError:
        catalog.refused.add(digest)
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
