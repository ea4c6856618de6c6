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

__all__ = ["Hit", "digest_of", "expected", "shard_hits"]

#: Documents in each snapshot.
DOCUMENTS = 400

#: Queries whose scores are remembered.
CACHED_SHARDS = 50_000

#: Bits of a double's mantissa.
SCORE_BITS = 53


class Hit(typing.NamedTuple):
    """One document found."""

    score: float
    id: str
    shard: str
    document: dict[str, str]


def digest_of(query: typing.Any) -> str:
    """Returns the digest of a query's canonical JSON, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(query, order="sorted"))


def score_of(digest: str, document_id: str, version: str) -> float:
    """Returns a score in [0, 1) that depends on all three arguments."""
    text = f"{digest}/{document_id}/{version}"
    number = xxhash.xxh3_64_intdigest(text.encode())
    return (number >> (64 - SCORE_BITS)) / (1 << SCORE_BITS)


def rank(hit: Hit) -> tuple[float, str]:
    """Returns the sort key of a hit: score falling, then id rising."""
    return -hit.score, hit.id


@functools.lru_cache(maxsize=CACHED_SHARDS)
def shard_hits(
    digest: str, version: str, shard: str, position: int, count: int
) -> tuple[Hit, ...]:
    """Returns all documents of one shard, best first.

    Args:
        digest: Of the query.
        version: Of the snapshot.
        shard: Id of the shard.
        position: Of the shard in the snapshot's list.
        count: Shards in the snapshot.
    """
    document = {"version": version, "query": digest}
    hits = []
    for number in range(position, DOCUMENTS, count):
        name = f"d{number}"
        hits.append(Hit(score_of(digest, name, version), name, shard, document))
    return tuple(sorted(hits, key=rank))


def expected(
    query: typing.Any,
    version: str,
    shards: collections.abc.Sequence[str],
    covered: collections.abc.Collection[str],
    limit: int,
) -> list[Hit]:
    """Returns the right hits of a query.

    Args:
        query: Decoded JSON.
        version: Of the snapshot.
        shards: Ids of all shards of the snapshot, in its order.
        covered: Ids of the shards that count.
        limit: Most hits.
    """
    digest = digest_of(query)
    hits: list[Hit] = []
    for position, shard in enumerate(shards):
        if shard in covered:
            found = shard_hits(digest, version, shard, position, len(shards))
            hits.extend(found[:limit])
    hits.sort(key=rank)
    return hits[:limit]
