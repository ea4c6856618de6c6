"""Merges ranked lists of hits.

Lists are sorted by descending score, then by ascending id.
"""

import collections.abc
import heapq

from laurelrock import messages

__all__ = ["merge", "sort_key"]


def sort_key(hit: messages.Hit) -> tuple[float, str]:
    """Returns the key by which hits are sorted."""
    return (-hit.score, hit.id)


def merge(
    lists: collections.abc.Iterable[list[messages.Hit]], limit: int
) -> list[messages.Hit]:
    """Returns the best `limit` hits of several sorted lists."""
    merged = heapq.merge(*lists, key=sort_key)
    return [hit for hit, _ in zip(merged, range(limit), strict=False)]
