"""Hits: merging ranked lists.

Lists are sorted by score falling, then id rising.
"""

import collections.abc
import heapq

from laurelrock import messages

__all__ = ["merge", "rank"]


def rank(hit: messages.Hit) -> tuple[float, str]:
    """Returns the sort key of a hit."""
    return (-hit.score, hit.id)


def merge(
    lists: collections.abc.Iterable[list[messages.Hit]], limit: int
) -> list[messages.Hit]:
    """Returns the best `limit` hits of several sorted lists."""
    merged = heapq.merge(*lists, key=rank)
    return [hit for hit, _ in zip(merged, range(limit), strict=False)]
