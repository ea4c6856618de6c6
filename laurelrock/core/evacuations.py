"""Decides which state of the evacuations is the newest.

Operators evacuate a failure domain to keep all requests away from its
searchers. Every VM holds the newest state that it or another VM read from the
store.
"""

import collections.abc
import typing

__all__ = [
    "State",
    "Transition",
    "advance",
    "apply_changes",
    "create_state",
    "is_newer",
]


class State(typing.NamedTuple):
    """The evacuated failure domains at one revision of the store.

    Attributes:
        era: Era of the store's data; revisions of an earlier one are outdated.
        revision: Revision of the store.
        failure_domains: Evacuated failure domains, sorted.
    """

    era: int
    revision: int
    failure_domains: tuple[str, ...] = ()


class Transition(typing.NamedTuple):
    """The difference between two states.

    Attributes:
        state: Newer state.
        begun: Failure domains whose evacuation began.
        ended: Failure domains whose evacuation ended.
    """

    state: State
    begun: tuple[str, ...]
    ended: tuple[str, ...]


def create_state(
    era: int, revision: int, failure_domains: collections.abc.Iterable[str]
) -> State:
    """Returns a state with its failure domains sorted."""
    return State(era, revision, tuple(sorted(set(failure_domains))))


def apply_changes(
    state: State,
    changes: collections.abc.Iterable[tuple[str, bool]],
    revision: int,
) -> State:
    """Returns a state after changes, in the order in which they were made.

    Args:
        state: State before the changes.
        changes: Failure domains, and whether each is evacuated.
        revision: Revision of the store after the changes.
    """
    failure_domains = set(state.failure_domains)
    for failure_domain, evacuated in changes:
        if evacuated:
            failure_domains.add(failure_domain)
        else:
            failure_domains.discard(failure_domain)
    return create_state(state.era, revision, failure_domains)


def is_newer(present: State | None, found: State) -> bool:
    """Tells whether a state is newer than the present one.

    The era counts first: the store may come back from a copy, after which its
    revisions are lower.
    """
    return present is None or (found.era, found.revision) > (
        present.era,
        present.revision,
    )


def advance(present: State | None, found: State) -> Transition | None:
    """Returns the transition to a state, or None if it isn't newer."""
    if not is_newer(present, found):
        return None
    before = set(present.failure_domains if present else ())
    after = set(found.failure_domains)
    return Transition(
        found, tuple(sorted(after - before)), tuple(sorted(before - after))
    )
