"""Workspaces: the callers' organizations, their keys and their limits.

A configuration holds digests of the keys, so that a key can't appear in logs or
in messages between VMs.
"""

import hashlib
import typing

__all__ = ["CapPolicy", "Workspace", "digest_of"]

#: Size of a key's digest in bytes.
DIGEST_BYTES = 16


class CapPolicy(typing.NamedTuple):
    """How far the requests of a workspace may exceed its cap.

    Attributes:
        window_s: Length of the sliding window in which requests are counted, in
            seconds.
        overage: Fraction by which the requests of a window may exceed the cap.
        slack: Number of requests by which they may exceed it in addition.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


class Workspace(typing.NamedTuple):
    """An organization whose requests are identified by its keys.

    Attributes:
        name: Name of the workspace, which searchers receive.
        keys: Digests of the keys; see `digest_of`.
        priority: Priority of its requests, which goes before that of the
            route; None if the route's applies.
        requests_per_s: Requests per second that all VMs together may run; 0 for
            no limit.
        burst: Requests that may run in addition at once.
        regions: Regions whose searchers may run its requests; empty for all.
    """

    name: str
    keys: tuple[bytes, ...] = ()
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


def digest_of(key: bytes) -> bytes:
    """Returns the digest by which a key is looked up."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
