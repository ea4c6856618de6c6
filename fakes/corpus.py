"""Documents of the stand-in searchers.

The corpus holds documents d0, d1, ...; a document belongs to the shard at
position (number modulo shard count) of the snapshot's shard list. Scores are
hashes, so that any process can work out the right answer of any query.
"""

import collections.abc
import functools
import typing

import msgspec
import xxhash

__all__ = ["Hit", "best_hits", "digest_of", "expected"]

#: Documents in each snapshot.
DOCUMENTS = 400

#: Ids of all documents.
NAMES = [f"d{number}" for number in range(DOCUMENTS)]

#: Shards of queries whose ranks are remembered.
CACHED_SHARDS = 50_000

#: Answers that are remembered.
CACHED_ANSWERS = 5_000

#: Bits of a hash that do not fit the mantissa of a double.
UNUSED_BITS = 11
#: Distance of two scores.
SCORE_UNIT = 2.0**-53


class Hit(typing.TypedDict):
    """One document found."""

    score: float
    id: str
    shard: str
    document: dict[str, str]


def digest_of(query: typing.Any) -> str:
    """Returns the digest of a query's canonical JSON, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(query, order="sorted"))


def seed_of(digest: str, version: str) -> int:
    """Returns the seed of a query's scores on one snapshot."""
    return xxhash.xxh3_64_intdigest(f"{digest}/{version}".encode())


def score_of(seed: int, document_id: str) -> float:
    """Returns a score in [0, 1)."""
    number = xxhash.xxh3_64_intdigest(document_id.encode(), seed)
    return (number >> UNUSED_BITS) * SCORE_UNIT


def rank(hit: Hit) -> tuple[float, str]:
    """Returns the sort key of a hit: score falling, then id rising."""
    return -hit["score"], hit["id"]


@functools.lru_cache(maxsize=CACHED_SHARDS)
def shard_ranks(
    digest: str, version: str, position: int, count: int
) -> tuple[tuple[float, str], ...]:
    """Returns the sort keys of all documents of one shard, best first.

    Args:
        digest: Of the query.
        version: Of the snapshot.
        position: Of the shard in the snapshot's list.
        count: Shards in the snapshot.
    """
    seed = seed_of(digest, version)
    keys = [(-score_of(seed, name), name) for name in NAMES[position::count]]
    return tuple(sorted(keys))


@functools.lru_cache(maxsize=CACHED_ANSWERS)
def best_hits(
    digest: str,
    version: str,
    shards: tuple[str, ...],
    covered: frozenset[str],
    limit: int,
) -> tuple[Hit, ...]:
    """Returns the best hits of some shards.

    Args:
        digest: Of the query.
        version: Of the snapshot.
        shards: Ids of all shards of the snapshot, in its order.
        covered: Ids of the shards that count.
        limit: Most hits.
    """
    found = []
    for position, shard in enumerate(shards):
        if shard in covered:
            ranks = shard_ranks(digest, version, position, len(shards))
            found += [(key, shard) for key in ranks[:limit]]
    document = {"version": version, "query": digest}
    return tuple(
        {"score": -negated, "id": name, "shard": shard, "document": document}
        for (negated, name), shard in sorted(found)[:limit]
    )


def expected(
    query: typing.Any,
    version: str,
    shards: collections.abc.Sequence[str],
    covered: collections.abc.Collection[str],
    limit: int,
) -> list[Hit]:
    """Returns the right hits of a query; see `best_hits`."""
    held = tuple(shards), frozenset(covered)
    return list(best_hits(digest_of(query), version, *held, limit))
