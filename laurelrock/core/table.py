"""Stores membership records with a digest for each bucket.

Two tables are taken as equal if their digests are equal. If they differ, only
the records of the buckets with different digests need to be exchanged.
"""

import xxhash

from laurelrock.core import records

__all__ = ["BUCKETS", "Table", "bucket_of"]

#: Number of buckets in a table.
BUCKETS = 64

#: Time for which the record of a dead daemon is kept, in seconds.
DEAD_RETENTION_S = 1800.0


def bucket_of(address: str) -> int:
    """Returns the bucket number of an address."""
    return xxhash.xxh3_64_intdigest(address.encode()) % BUCKETS


class Table:
    """The records of all known daemons.

    Attributes:
        records: The highest record seen of each address, by address.
        dead_since_s: Time since which a daemon is dead, in seconds on this
            process's clock, by address of the daemon.
        digests: XOR of the fingerprints of a bucket's records, by bucket
            number.
        digest: XOR of the fingerprints of all records.
        version: Number that grows with each change.
    """

    def __init__(self) -> None:
        self.records: dict[str, records.Record] = {}
        self.dead_since_s: dict[str, float] = {}
        self.digests = [0] * BUCKETS
        self.digest = 0
        self.version = 0

    def put(self, record: records.Record, now_s: float) -> bool:
        """Stores a record if it is higher than the known one.

        Records of daemons that died more than `DEAD_RETENTION_S` ago are not
        stored.

        Returns:
            Whether the table changed.
        """
        known = self.records.get(record.address)
        if known is not None and records.rank(known) >= records.rank(record):
            return False
        if record.dead_for_s > DEAD_RETENTION_S:
            return False
        self._drop(record.address)
        self.records[record.address] = record._replace(dead_for_s=0.0)
        self._xor_digests(record)
        if record.state == "dead":
            self.dead_since_s[record.address] = now_s - record.dead_for_s
        self.version += 1
        return True

    def forget_dead(self, now_s: float) -> None:
        """Drops records of daemons dead for more than `DEAD_RETENTION_S`."""
        for address, since_s in list(self.dead_since_s.items()):
            if now_s - since_s > DEAD_RETENTION_S:
                self._drop(address)
                self.version += 1

    def record_to_send(self, address: str, now_s: float) -> records.Record:
        """Returns a record to send, with the time since its daemon died."""
        record = self.records[address]
        since_s = self.dead_since_s.get(address)
        if since_s is None:
            return record
        return record._replace(dead_for_s=round(now_s - since_s, 1))

    def addresses_in(self, buckets: set[int]) -> list[str]:
        """Returns the addresses whose records are in any of the buckets."""
        return [a for a in self.records if bucket_of(a) in buckets]

    def differing_buckets(self, digests: list[int]) -> set[int]:
        """Returns the buckets whose digests differ from another table's."""
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
            self._xor_digests(record)

    def _xor_digests(self, record: records.Record) -> None:
        fingerprint = records.fingerprint(record)
        self.digests[bucket_of(record.address)] ^= fingerprint
        self.digest ^= fingerprint
