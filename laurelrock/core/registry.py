"""Tracks the searchers listed by the platform, as known to one VM.

While the platform is reachable, a deleted entry is removed at once. Just after
an outage the list may lack searchers that only failed to renew their entries,
so missing entries are kept and used for a short time.
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
]

State = typing.Literal["live", "draining"]

#: Time after an outage for which missing entries are kept, in seconds; live
#: searchers have registered again by then.
RETENTION_S = 2.0
#: Removing this fraction of the entries at once, and at least this number, is
#: taken as the end of an outage that this VM did not observe.
MASS_REMOVAL_FRACTION = 0.25
MASS_REMOVAL_MIN = 4


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
    """

    id: str
    started_ms: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    state: State = "live"
    warm_up_left_s: float = 0.0

    @property
    def start(self) -> "Start":
        """What identifies this start of the searcher."""
        return Start(self.id, self.started_ms)


class Start(typing.NamedTuple):
    """Identifies one start of a searcher; see `Searcher`."""

    id: str
    started_ms: int


class Change(typing.NamedTuple):
    """A changed entry; `searcher` is None if it was deleted or is unusable."""

    id: str
    searcher: Searcher | None


class Registry:
    """Searchers that are known to this VM.

    Attributes:
        searchers: Usable searchers, by id.
        missing: Loop time until which a missing entry is kept, in seconds, by
            id.
        retain_until_s: Loop time until which missing entries are kept after the
            last outage, in seconds.
    """

    def __init__(self) -> None:
        self.searchers: dict[str, Searcher] = {}
        self.missing: dict[str, float] = {}
        self.retain_until_s = 0.0

    def record_outage_end(self, now_s: float) -> None:
        """Records that the platform is reachable again."""
        self.retain_until_s = now_s + RETENTION_S

    def replace(
        self, rows: collections.abc.Iterable[Change], now_s: float
    ) -> list[Change]:
        """Applies a complete list and returns the changes in effect."""
        listed = {row.id: row for row in rows}
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
        effective = []
        for change in changes:
            known = self.searchers.get(change.id)
            if change.searcher is None:
                if known is None:
                    continue
                if now_s < self.retain_until_s:
                    self.missing.setdefault(change.id, self.retain_until_s)
                    continue
                del self.searchers[change.id]
                self.missing.pop(change.id, None)
                effective.append(change)
                continue
            self.missing.pop(change.id, None)
            if change.searcher != known:
                self.searchers[change.id] = change.searcher
                effective.append(change)
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
        effective = []
        for change in rows.values():
            self.missing.pop(change.id, None)
            if change.searcher == self.searchers.get(change.id):
                continue
            if change.searcher is None:
                del self.searchers[change.id]
            else:
                self.searchers[change.id] = change.searcher
            effective.append(change)
        return effective

    def remove_expired(self, now_s: float) -> list[Change]:
        """Removes and returns the entries that were missing for too long."""
        late = [name for name, end in self.missing.items() if now_s >= end]
        for name in late:
            del self.missing[name]
            self.searchers.pop(name, None)
        return [Change(name, None) for name in late]


def create_registry() -> Registry:
    """Returns an empty registry."""
    return Registry()
