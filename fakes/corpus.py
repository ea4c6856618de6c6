"""Synthetic document corpus of the fake searchers.

The corpus holds documents d0, d1, ...; a document belongs to the shard at
position (number modulo shard count) of the snapshot's shard list. Scores are
hashes, so that any process can compute the expected hits of any query.
"""

import collections.abc
import functools
import typing

import msgspec
import xxhash

__all__ = ["Hit", "best_hits", "canonical_digest", "expected_hits"]

#: Number of documents in each snapshot.
DOCUMENT_COUNT = 400

#: Ids of all documents, in order of their numbers.
DOCUMENT_IDS = [f"d{number}" for number in range(DOCUMENT_COUNT)]

#: Size of the cache of sorted documents, in pairs of query and shard.
MAX_CACHED_SHARDS = 50_000

#: Size of the cache of best hits, in queries.
MAX_CACHED_HIT_LISTS = 5_000

#: Number of bits of a 64-bit hash that exceed the mantissa of a double.
DISCARDED_HASH_BITS = 11
#: Smallest difference between two scores.
SCORE_STEP = 2.0**-53


class Hit(typing.TypedDict):
    """Document that matches a query."""

    score: float
    id: str
    shard: str
    document: dict[str, str]


def canonical_digest(query: typing.Any) -> str:
    """Returns the digest of a value's canonical JSON, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(query, order="sorted"))


def score_seed(digest: str, version: str) -> int:
    """Returns the hash seed of a query's scores on one snapshot."""
    return xxhash.xxh3_64_intdigest(f"{digest}/{version}".encode())


def document_score(seed: int, document_id: str) -> float:
    """Returns the score of a document, in [0, 1)."""
    hash_value = xxhash.xxh3_64_intdigest(document_id.encode(), seed)
    return (hash_value >> DISCARDED_HASH_BITS) * SCORE_STEP


def hit_sort_key(hit: Hit) -> tuple[float, str]:
    """Returns the sort key of a hit: descending score, then ascending id."""
    return -hit["score"], hit["id"]


@functools.lru_cache(maxsize=MAX_CACHED_SHARDS)
def shard_sort_keys(
    digest: str, version: str, position: int, shard_count: int
) -> tuple[tuple[float, str], ...]:
    """Returns the sort keys of all documents of one shard, best first.

    Args:
        digest: Digest of the query.
        version: Version of the snapshot.
        position: Index of the shard in the snapshot's shard list.
        shard_count: Number of shards in the snapshot.
    """
    seed = score_seed(digest, version)
    keys = [
        (-document_score(seed, name), name)
        for name in DOCUMENT_IDS[position::shard_count]
    ]
    return tuple(sorted(keys))


@functools.lru_cache(maxsize=MAX_CACHED_HIT_LISTS)
def best_hits(
    digest: str,
    version: str,
    shards: tuple[str, ...],
    covered: frozenset[str],
    limit: int,
) -> tuple[Hit, ...]:
    """Returns the best hits of a query over some shards.

    Args:
        digest: Digest of the query.
        version: Version of the snapshot.
        shards: Ids of all shards, in the order of the snapshot.
        covered: Ids of the shards to search.
        limit: Largest number of hits.
    """
    candidates = []
    for position, shard in enumerate(shards):
        if shard in covered:
            sort_keys = shard_sort_keys(digest, version, position, len(shards))
            candidates += [(key, shard) for key in sort_keys[:limit]]
    document = {"version": version, "query": digest}
    return tuple(
        {"score": -negated, "id": name, "shard": shard, "document": document}
        for (negated, name), shard in sorted(candidates)[:limit]
    )


def expected_hits(
    query: typing.Any,
    version: str,
    shards: collections.abc.Sequence[str],
    covered: collections.abc.Collection[str],
    limit: int,
) -> list[Hit]:
    """Returns the expected hits of a query; see `best_hits`."""
    shard_arguments = tuple(shards), frozenset(covered)
    return list(
        best_hits(canonical_digest(query), version, *shard_arguments, limit)
    )
