"""Cost of a manifest of the size that the design is for, on one daemon."""

import json
import time
import tracemalloc
import typing

from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import catalog as catalogs
from laurelrock.core import delta

__all__ = ["measure"]

#: Searchers, shards of a snapshot and failure domains.
SEARCHERS = 3100
SHARDS = 1100
DOMAINS = ("a", "b", "c", "d", "e")

#: Generations that are applied.
STEPS = 10


def document_of(generation: int) -> dict[str, typing.Any]:
    """Returns a manifest; each generation changes one searcher's state."""
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


def encoded(generation: int) -> bytes:
    """Returns the canonical manifest of a generation."""
    text = json.dumps(document_of(generation))
    return manifest.encode(manifest.decode(text))


def measure() -> dict[str, typing.Any]:
    """Returns sizes in bytes, times in ms and memory in MB."""
    raws = [encoded(index + 1) for index in range(STEPS + 1)]
    tracemalloc.start()
    catalog = catalogs.Catalog()
    digest = manifest.digest_of(raws[0])
    catalogs.offer_copy(catalog, 1, digest, raws[0])
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began_s = time.process_time()
    catalogs.offer_copy(catalogs.Catalog(), 1, digest, raws[0])
    copy_ms = 1000 * (time.process_time() - began_s)
    steps = []
    for index in range(1, STEPS + 1):
        before = json.loads(raws[index - 1])
        change = delta.diff(before, json.loads(raws[index]))
        digest = manifest.digest_of(raws[index])
        steps.append(messages.ManifestStep(index + 1, digest, change))
    began_s = time.process_time()
    for step in steps:
        catalogs.offer_steps(catalog, [step])
    step_ms = 1000 * (time.process_time() - began_s) / STEPS
    return {
        "bench": "control-manifest",
        "searchers": SEARCHERS,
        "shards": SHARDS,
        "copy_bytes": len(raws[0]),
        "delta_bytes": round(sum(len(s.delta) for s in steps) / STEPS),
        "copy_ms": round(copy_ms, 1),
        "step_ms": round(step_ms, 1),
        "memory_mb": round(memory_mb, 1),
    }
