"""Tracks the searchers listed by the platform, as known to one VM.

While the platform is reachable, a deleted entry is removed at once. Just after
an outage the list may lack searchers that only failed to renew their entries,
so missing entries are kept and used for a short time.

The platform may also come back from a copy that is some seconds old. It then
lists searchers that have left since, and calls searchers live that are
draining. An entry is outdated if the searcher wrote a later one, or if it was
deleted after this one.
"""

import collections.abc
import typing

__all__ = [
    "Change",
    "Registry",
    "Searcher",
    "Start",
    "State",
    "create_registry",
    "is_same_start",
]

State = typing.Literal["live", "draining"]

#: Time after an outage for which missing entries are kept, in seconds; live
#: searchers have registered again by then.
RETENTION_S = 2.0
#: Removing this fraction of the entries at once, and at least this number, is
#: taken as the end of an outage that this VM did not observe.
MASS_REMOVAL_FRACTION = 0.25
MASS_REMOVAL_MIN = 4
#: Maximum number of deleted entries that are remembered.
MAX_GONE = 4096


class Searcher(typing.NamedTuple):
    """One process instance of a searcher.

    Attributes:
        id: Identifier chosen by the searcher.
        started_ms: Unix time at which the process started, in milliseconds;
            distinguishes two processes that use the same id.
        service: Name of the service that the searcher serves.
        address: Host and port of the searcher.
        failure_domain: Failure domain in which the searcher runs.
        slots: Number of requests that the searcher runs concurrently.
        state: State reported by the searcher.
        warm_up_left_s: Remaining time of slow operation after the start, in
            seconds.
        seq: Number of the searcher's last write of its entry since its start;
            0 if unknown. An entry that differs in it alone has not changed.
    """

    id: str
    started_ms: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    state: State = "live"
    warm_up_left_s: float = 0.0
    seq: int = 0

    @property
    def start(self) -> "Start":
        """What identifies this start of the searcher."""
        return Start(self.id, self.started_ms)


class Start(typing.NamedTuple):
    """Identifies one start of a searcher; see `Searcher`."""

    id: str
    started_ms: int


class Change(typing.NamedTuple):
    """A changed entry.

    Attributes:
        id: Id of the searcher.
        searcher: The entry; None if it was deleted or is unusable.
        last_seq: Number of the last write of a deleted entry; 0 if unknown.
    """

    id: str
    searcher: Searcher | None
    last_seq: int = 0


class Registry:
    """Searchers that are known to this VM.

    Attributes:
        searchers: Usable searchers, by id.
        missing: Loop time until which a missing entry is kept, in seconds, by
            id.
        gone: Number of the last known write of searchers whose entry was
            deleted, by start.
        suspects: Starts that are listed although they are gone. A later write
            shows that the searcher lives.
        retain_until_s: Loop time until which missing entries are kept after the
            last outage, in seconds.
    """

    def __init__(self) -> None:
        self.searchers: dict[str, Searcher] = {}
        self.missing: dict[str, float] = {}
        self.gone: dict[Start, int] = {}
        self.suspects: set[Start] = set()
        self.retain_until_s = 0.0

    def record_outage_end(self, now_s: float) -> None:
        """Records that the platform is reachable again."""
        self.retain_until_s = now_s + RETENTION_S

    def record_gone(self, searcher: Searcher, last_seq: int) -> None:
        """Records that an entry was deleted."""
        if not searcher.started_ms:
            return
        self.gone[searcher.start] = last_seq
        if len(self.gone) > MAX_GONE:
            del self.gone[next(iter(self.gone))]

    def is_outdated(self, searcher: Searcher) -> bool:
        """Tells whether a later write of the same start is known."""
        known = self.searchers.get(searcher.id)
        if known is not None and known.start == searcher.start:
            return 0 < searcher.seq < known.seq
        last_seq = self.gone.get(searcher.start)
        if last_seq is None or not searcher.seq:
            return False
        if searcher.seq > last_seq:
            del self.gone[searcher.start]
            return False
        self.suspects.add(searcher.start)
        return True

    def accept(self, change: Change) -> list[Change]:
        """Stores an entry, or deletes it; returns the change in effect."""
        searcher, known = change.searcher, self.searchers.get(change.id)
        if searcher is None:
            if known is None:
                return []
            del self.searchers[change.id]
            last_seq = max(known.seq, change.last_seq)
            self.record_gone(known, last_seq)
            return [change._replace(last_seq=last_seq)]
        if self.is_outdated(searcher):
            return []
        self.searchers[change.id] = searcher
        if known is not None:
            if known.start != searcher.start:
                self.record_gone(known, known.seq)
            elif known._replace(seq=searcher.seq) == searcher:
                return []
        return [change]

    def replace(
        self,
        rows: collections.abc.Iterable[Change],
        now_s: float,
        restored: bool = False,
    ) -> list[Change]:
        """Applies a complete list and returns the changes in effect.

        Args:
            rows: All entries.
            now_s: Loop time in seconds.
            restored: Whether this is the first list since the platform came
                back from a copy. Its entries of searchers that are gone are
                from before they went.
        """
        listed = {row.id: row for row in rows}
        self.suspects.clear()
        if restored:
            self.record_outage_end(now_s)
            for row in listed.values():
                if row.searcher is not None and row.searcher.start in self.gone:
                    start = row.searcher.start
                    self.gone[start] = max(self.gone[start], row.searcher.seq)
        gone = [
            Change(name, None) for name in self.searchers if name not in listed
        ]
        return self.apply([*gone, *listed.values()], now_s)

    def apply(
        self, changes: collections.abc.Iterable[Change], now_s: float
    ) -> list[Change]:
        """Applies changes and returns those that take effect now."""
        changes = list(changes)
        gone = sum(
            1
            for row in changes
            if row.searcher is None and row.id in self.searchers
        )
        if gone >= max(
            MASS_REMOVAL_MIN, MASS_REMOVAL_FRACTION * len(self.searchers)
        ):
            self.record_outage_end(now_s)
        effective: list[Change] = []
        for change in changes:
            kept = change.searcher is None and now_s < self.retain_until_s
            if kept and change.id in self.searchers:
                self.missing.setdefault(change.id, self.retain_until_s)
                continue
            self.missing.pop(change.id, None)
            effective += self.accept(change)
        return effective

    def apply_peer_changes(
        self, changes: collections.abc.Iterable[Change], full: bool
    ) -> list[Change]:
        """Applies entries received from another VM; returns what changed.

        Args:
            changes: Entries in effect at the other VM, either all or the
                changed ones.
            full: Whether `changes` is complete, so that unlisted entries are
                deleted.
        """
        rows = {row.id: row for row in changes}
        if full:
            gone = [name for name in self.searchers if name not in rows]
            rows |= {name: Change(name, None) for name in gone}
        effective: list[Change] = []
        for change in rows.values():
            self.missing.pop(change.id, None)
            effective += self.accept(change)
        return effective

    def remove_expired(self, now_s: float) -> list[Change]:
        """Removes and returns the entries that were missing for too long."""
        late = [name for name, end in self.missing.items() if now_s >= end]
        for name in late:
            del self.missing[name]
        return [
            change
            for name in late
            for change in self.accept(Change(name, None))
        ]


def is_same_start(one: Searcher, other: Searcher) -> bool:
    """Returns whether two entries describe the same start of a searcher."""
    return (one.started_ms, one.service, one.address) == (
        other.started_ms,
        other.service,
        other.address,
    )


def create_registry() -> Registry:
    """Returns an empty registry."""
    return Registry()
