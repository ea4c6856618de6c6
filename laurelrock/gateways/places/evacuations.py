"""Keeps all calls away from the searchers of evacuated failure domains.

The state comes from polls of the store and from other VMs; the newest one is in
force, also while the store doesn't answer. A VM that must follow evacuations
and knows none yet calls no searcher.
"""

import asyncio
import collections.abc
import math

from laurelrock.adapters import logs
from laurelrock.core import evacuations
from laurelrock.gateways import upstreams
from laurelrock.ports import directory

__all__ = ["Evacuations", "create_evacuations"]

#: Age in seconds of the last confirmation from which other ways to learn the
#: state are tried. A poll is answered within 1.2 s, and a source sends a
#: heartbeat every 0.4 s.
STALE_AFTER_S = 2.0

_log = logs.get_logger(__name__)


def ignore_change() -> None:
    """Does nothing; stands in for `Evacuations.on_change`."""


def ignore_end(failure_domain: str) -> None:
    """Does nothing; stands in for `Evacuations.on_evacuation_ended`."""


class Evacuations:
    """The evacuations in force at this VM.

    Attributes:
        upstreams: The searchers.
        followed: Whether failure domains may be evacuated in this deployment.
        state: The state in force; None before the first one.
        polled: The last state of this VM's own poll, which a state from
            another VM may be ahead of.
        confirmed_s: The loop time at which the state was last known to be up
            to date.
        on_change: Called after each change of the state.
        on_evacuation_ended: Called with each failure domain whose evacuation
            ended, before its searchers are called again.
        counts: The number of evacuations that began and ended, and of requests
            refused because of one, for the metrics.
    """

    def __init__(self, known: upstreams.Upstreams, followed: bool) -> None:
        self.upstreams = known
        self.followed = followed
        self.state: evacuations.State | None = None
        self.polled: evacuations.State | None = None
        self.confirmed_s = -math.inf
        self.on_change: collections.abc.Callable[[], None] = ignore_change
        self.on_evacuation_ended: collections.abc.Callable[[str], None] = (
            ignore_end
        )
        self.counts = {"applied": 0, "ended": 0, "refused": 0}
        self.loop = asyncio.get_running_loop()
        if followed:
            known.evacuate(None)

    @property
    def known(self) -> bool:
        """Whether the evacuations are known, or none are possible."""
        return not self.followed or self.state is not None

    def is_stale(self) -> bool:
        """Returns whether a newer state may exist for more than a moment."""
        return (
            self.followed
            and self.loop.time() - self.confirmed_s > STALE_AFTER_S
        )

    def confirmed_state(self) -> evacuations.State | None:
        """Returns the state in force unless it is stale.

        A subscriber that gets no state asks other VMs and the store.
        """
        return None if self.is_stale() else self.state

    def confirm(self) -> None:
        """Records that the state in force is up to date."""
        self.confirmed_s = self.loop.time()

    def record_list(self, found: directory.EvacuationEntries) -> None:
        """Applies all evacuations, as the poll read them from the store."""
        self.polled = state_of(found)
        self.offer(self.polled)
        self.confirm()

    def record_changes(self, found: directory.EvacuationEntries) -> None:
        """Applies changed evacuations from the poll."""
        if self.polled is not None:
            self.polled = evacuations.apply_changes(
                self.polled, found.rows, found.revision
            )
            self.offer(self.polled)
        self.confirm()

    def offer(self, found: evacuations.State | None) -> None:
        """Puts a state in force, unless it is no newer than the present one."""
        if found is None or not self.followed:
            return
        first = self.state is None
        transition = evacuations.advance(self.state, found)
        if transition is None:
            return
        self.state = found
        position = {"era": found.era, "revision": found.revision}
        for name in transition.begun:
            self.counts["applied"] += 1
            _log.warning("evacuation-applied", failure_domain=name, **position)
        for name in transition.ended:
            self.counts["ended"] += 1
            _log.warning("evacuation-ended", failure_domain=name, **position)
            self.on_evacuation_ended(name)
        if first or transition.begun or transition.ended:
            self.upstreams.evacuate(frozenset(found.failure_domains))
            self.on_change()

    def record_refusal(self, reason: str) -> None:
        """Counts a refused request if an evacuation is the reason."""
        if reason == upstreams.EVACUATED:
            self.counts["refused"] += 1


def state_of(found: directory.EvacuationEntries) -> evacuations.State:
    """Returns the state that a list of all evacuations stands for."""
    return evacuations.create_state(
        found.era,
        found.revision,
        (name for name, evacuated in found.rows if evacuated),
    )


def create_evacuations(
    known: upstreams.Upstreams, followed: bool = False
) -> Evacuations:
    """Returns the state before the first read."""
    return Evacuations(known, followed)
