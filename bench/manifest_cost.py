"""Measures what a manifest of the largest designed size costs one daemon."""

import json
import time
import tracemalloc
import typing

from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import catalog as catalogs
from laurelrock.core import delta

__all__ = ["measure"]

#: Number of searchers, number of shards in a snapshot, and failure domains.
SEARCHERS = 3100
SHARDS = 1100
DOMAINS = ("a", "b", "c", "d", "e")

#: Number of generations that are applied as deltas.
GENERATIONS = 10


def create_document(generation: int) -> dict[str, typing.Any]:
    """Returns a manifest document.

    In each generation, the state of another searcher is "leaving".
    """
    services: dict[str, list[typing.Any]] = {}
    for index in range(SEARCHERS):
        searcher = {
            "id": f"searcher-{index:04}",
            "address": f"10.{index // 250}.{index % 250}.7:9000",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "slots": 2,
            "connections": 25,
            "connect_ms": 6.0,
            "state": "leaving" if index == generation else "live",
        }
        services.setdefault(f"s{index % SHARDS:04}", []).append(searcher)
    shards = [
        {"id": f"shard-{index:04}", "service": f"s{index:04}"}
        for index in range(SHARDS)
    ]
    snapshots = [{"version": "v2", "shards": shards}]
    return {
        "name": "large",
        "regions": {"r1": ["a", "b", "c"], "r2": ["d", "e"]},
        "applications": {
            "search": {"services": services, "snapshots": snapshots}
        },
        "callers": {},
    }


def encode_manifest(generation: int) -> bytes:
    """Returns the canonical encoding of a generation's manifest."""
    text = json.dumps(create_document(generation))
    return manifest.encode(manifest.decode(text))


def measure() -> dict[str, typing.Any]:
    """Returns sizes in bytes, times in milliseconds and memory in MB."""
    encoded_manifests = [
        encode_manifest(index + 1) for index in range(GENERATIONS + 1)
    ]
    tracemalloc.start()
    catalog = catalogs.Catalog()
    digest = manifest.digest_of(encoded_manifests[0])
    catalogs.apply_full(catalog, 1, digest, encoded_manifests[0])
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started_s = time.process_time()
    catalogs.apply_full(catalogs.Catalog(), 1, digest, encoded_manifests[0])
    copy_ms = 1000 * (time.process_time() - started_s)
    deltas = []
    for index in range(1, GENERATIONS + 1):
        before = json.loads(encoded_manifests[index - 1])
        change = delta.diff(before, json.loads(encoded_manifests[index]))
        digest = manifest.digest_of(encoded_manifests[index])
        deltas.append(messages.ManifestDelta(index + 1, digest, change))
    started_s = time.process_time()
    for manifest_delta in deltas:
        catalogs.apply_deltas(catalog, [manifest_delta])
    step_ms = 1000 * (time.process_time() - started_s) / GENERATIONS
    return {
        "bench": "control-manifest",
        "searchers": SEARCHERS,
        "shards": SHARDS,
        "copy_bytes": len(encoded_manifests[0]),
        "delta_bytes": round(sum(len(s.delta) for s in deltas) / GENERATIONS),
        "copy_ms": round(copy_ms, 1),
        "step_ms": round(step_ms, 1),
        "memory_mb": round(memory_mb, 1),
    }
