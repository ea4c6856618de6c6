"""Registry: the searchers that the platform lists, as one VM knows them.

A deletion seen while the platform is in touch is final at once. Just after an
outage the list may lack searchers that only could not renew their entries, so
for a short time those are kept and used.
"""

import collections.abc
import typing

__all__ = ["Change", "Registry", "Searcher", "State", "create_registry"]

State = typing.Literal["live", "draining"]

#: Time after an outage for which entries that are missing are kept, in
#: seconds; searchers that live have registered again by then.
HOLD_S = 2.0
#: Entries that go at once, as a part of all and at least, which are taken for
#: the end of an outage that this VM did not see.
MASS_FRACTION = 0.25
MASS_LEAST = 4


class Searcher(typing.NamedTuple):
    """One start of a searcher.

    Attributes:
        id: Given by the searcher.
        born_ms: Unix time of its start; tells two starts under one id apart.
        service: That it serves.
        address: Host and port.
        failure_domain: Where it runs.
        slots: Requests that it runs at a time.
        state: By its own word.
        warm_up_s: How much longer it is slow after its start.
    """

    id: str
    born_ms: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    state: State = "live"
    warm_up_s: float = 0.0


class Change(typing.NamedTuple):
    """One entry that changed; None where it is gone or unusable."""

    id: str
    searcher: Searcher | None


class Registry:
    """State of the list.

    Attributes:
        searchers: Usable, by id.
        missing: Loop time until which a missing entry is kept, by id.
        held_until_s: End of the time after the last outage.
    """

    def __init__(self) -> None:
        self.searchers: dict[str, Searcher] = {}
        self.missing: dict[str, float] = {}
        self.held_until_s = 0.0

    def outage_ended(self, now_s: float) -> None:
        """Notes that the platform answers again."""
        self.held_until_s = now_s + HOLD_S

    def replace(
        self, rows: collections.abc.Iterable[Change], now_s: float
    ) -> list[Change]:
        """Takes a whole list; returns what changed."""
        listed = {row.id: row for row in rows}
        gone = [
            Change(name, None) for name in self.searchers if name not in listed
        ]
        return self.apply([*gone, *listed.values()], now_s)

    def apply(
        self, changes: collections.abc.Iterable[Change], now_s: float
    ) -> list[Change]:
        """Takes changes; returns those that take effect now."""
        changes = list(changes)
        gone = sum(
            1
            for row in changes
            if row.searcher is None and row.id in self.searchers
        )
        if gone >= max(MASS_LEAST, MASS_FRACTION * len(self.searchers)):
            self.outage_ended(now_s)
        effective = []
        for change in changes:
            known = self.searchers.get(change.id)
            if change.searcher is None:
                if known is None:
                    continue
                if now_s < self.held_until_s:
                    self.missing.setdefault(change.id, self.held_until_s)
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

    def accept(
        self, changes: collections.abc.Iterable[Change], full: bool
    ) -> list[Change]:
        """Takes what another VM has in effect; returns what changed.

        Args:
            changes: Entries, all of them or those that changed.
            full: Whether entries that are not listed are gone.
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

    def expire(self, now_s: float) -> list[Change]:
        """Returns the entries that were missing for too long."""
        late = [name for name, end in self.missing.items() if now_s >= end]
        for name in late:
            del self.missing[name]
            self.searchers.pop(name, None)
        return [Change(name, None) for name in late]


def create_registry() -> Registry:
    """Returns an empty registry."""
    return Registry()
