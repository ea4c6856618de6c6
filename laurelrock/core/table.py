"""Table of membership records with a digest for each bucket.

Two tables are equal where their digests are; where they differ, only the
records of the differing buckets need to travel.
"""

import xxhash

from laurelrock.core import records

__all__ = ["BUCKETS", "Table", "bucket_of"]

#: Buckets of a table.
BUCKETS = 64

#: How long the record of a dead daemon is kept, in seconds.
DEAD_KEPT_S = 1800.0


def bucket_of(address: str) -> int:
    """Returns the bucket of an address."""
    return xxhash.xxh3_64_intdigest(address.encode()) % BUCKETS


class Table:
    """Records by address.

    Attributes:
        records: The highest record seen of each address.
        dead_since_s: When each dead daemon died, on this process's clock.
        digests: XOR of the fingerprints of each bucket's records.
        digest: XOR of all fingerprints.
        version: Grows with each change.
    """

    def __init__(self) -> None:
        self.records: dict[str, records.Record] = {}
        self.dead_since_s: dict[str, float] = {}
        self.digests = [0] * BUCKETS
        self.digest = 0
        self.version = 0

    def put(self, record: records.Record, now_s: float) -> bool:
        """Keeps a record if it is higher than the one held.

        Returns:
            Whether the table changed.
        """
        held = self.records.get(record.address)
        if held is not None and records.rank(held) >= records.rank(record):
            return False
        if record.dead_for_s > DEAD_KEPT_S:
            return False
        self._drop(record.address)
        self.records[record.address] = record._replace(dead_for_s=0.0)
        self._toggle(record)
        if record.state == "dead":
            self.dead_since_s[record.address] = now_s - record.dead_for_s
        self.version += 1
        return True

    def forget_dead(self, now_s: float) -> None:
        """Drops the records of daemons that died `DEAD_KEPT_S` ago."""
        for address, since_s in list(self.dead_since_s.items()):
            if now_s - since_s > DEAD_KEPT_S:
                self._drop(address)
                self.version += 1

    def outgoing(self, address: str, now_s: float) -> records.Record:
        """Returns a record as it is sent to others."""
        record = self.records[address]
        since_s = self.dead_since_s.get(address)
        if since_s is None:
            return record
        return record._replace(dead_for_s=round(now_s - since_s, 1))

    def in_buckets(self, buckets: set[int]) -> list[str]:
        """Returns the addresses in some buckets."""
        return [a for a in self.records if bucket_of(a) in buckets]

    def differing(self, digests: list[int]) -> set[int]:
        """Returns the buckets whose digest differs from another table's."""
        return {
            bucket
            for bucket, (ours, theirs) in enumerate(
                zip(self.digests, digests, strict=False)
            )
            if ours != theirs
        }

    def _drop(self, address: str) -> None:
        record = self.records.pop(address, None)
        self.dead_since_s.pop(address, None)
        if record is not None:
            self._toggle(record)

    def _toggle(self, record: records.Record) -> None:
        fingerprint = records.fingerprint(record)
        self.digests[bucket_of(record.address)] ^= fingerprint
        self.digest ^= fingerprint
