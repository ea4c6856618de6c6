"""Spread service: keeps the newest manifest in force on one daemon.

Runs `core.spreading` on the bus, the platform and the clock.
"""

import asyncio
import collections
import collections.abc
import random as randomness
import time

from laurelrock import errors
from laurelrock import head as heads
from laurelrock import manifest
from laurelrock import membership
from laurelrock import messages
from laurelrock.adapters import logs
from laurelrock.core import spreading
from laurelrock.ports import bus as buses
from laurelrock.ports import platform as platforms

__all__ = ["Spread", "open_spread"]

#: Time between two looks at what is due, in seconds.
TICK_S = 0.1

#: How long the first list of VMs is waited for, in seconds.
LIST_WAIT_S = 3.0

_log = logs.get_logger(__name__)

ChangeListener = collections.abc.Callable[[int, manifest.Manifest], None]


class Spread:
    """One daemon's manifest.

    Attributes:
        state: State of the protocol; its catalog holds the manifest.
        members: This daemon's membership.
        bus: To the other daemons.
        platform: Holds the head and the bodies.
        listeners: Called with each generation that comes into force.
        refused: Failures by code, for the metrics.
    """

    def __init__(
        self,
        state: spreading.Spreading,
        members: membership.Membership,
        bus: buses.Bus,
        platform: platforms.Platform,
    ) -> None:
        self.state = state
        self.members = members
        self.bus = bus
        self.platform = platform
        self.listeners: list[ChangeListener] = []
        self.refused: collections.Counter[str] = collections.Counter()

    @property
    def generation(self) -> int:
        """Generation in force, 0 while there is none."""
        return self.state.catalog.generation

    @property
    def manifest(self) -> manifest.Manifest | None:
        """Manifest in force."""
        return self.state.catalog.manifest

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            async with asyncio.timeout(LIST_WAIT_S):
                await self.members.listed.wait()
        except TimeoutError:
            pass
        listed = len(self.members.view.listed)
        spreading.start(self.state, listed or None, _now_s())
        while True:
            watcher = self.members.is_watcher()
            fetch = spreading.next_fetch(self.state, watcher, _now_s())
            if fetch is None:
                await asyncio.sleep(TICK_S)
            else:
                await self.read_guarded(fetch, watcher)
            self.log_alarms()

    async def read_guarded(self, fetch: spreading.Fetch, watcher: bool) -> None:
        """Makes one read; an unexpected failure backs off like another."""
        try:
            await self.read(fetch, watcher)
        except Exception:
            self.refused["internal"] += 1
            _log.exception("spread-failed", kind=fetch.kind)
            spreading.on_failure(self.state, _now_s())

    async def read(self, fetch: spreading.Fetch, watcher: bool) -> None:
        """Makes one read of the platform and takes in its outcome."""
        before = self.generation
        try:
            stored = await self.make_read(fetch)
        except errors.PlatformError as error:
            _log.warning("manifest-read", kind=fetch.kind, error=error.message)
            spreading.on_failure(self.state, _now_s())
            return
        raw = stored.body if stored else None
        if fetch.head is not None:
            spreading.on_body(self.state, fetch, raw, watcher, _now_s())
            self.announce_change(before, "platform")
        else:
            version = stored.version if stored else 0
            spreading.on_head(self.state, version, raw, watcher, _now_s())

    async def make_read(
        self, fetch: spreading.Fetch
    ) -> platforms.Stored | None:
        """Makes one read of the platform."""
        if fetch.kind == "watch":
            wait_s = spreading.WATCH_S
            return await self.platform.watch(
                heads.HEAD_KEY, fetch.after, wait_s
            )
        if fetch.head is None:
            return await self.platform.get(heads.HEAD_KEY)
        if fetch.kind == "delta":
            return await self.platform.get(fetch.head.delta)
        return await self.platform.get(fetch.head.full)

    def on_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Asks a peer for a newer generation."""
        question = spreading.on_heartbeat(self.state, beat, _now_s())
        if question is not None:
            self.bus.send(beat.address, question)
        self.log_alarms()

    def on_wanted(
        self, sender: buses.Sender, message: messages.ManifestWanted
    ) -> None:
        """Gives a peer what it lacks."""
        answer = spreading.on_wanted(self.state, message, _now_s())
        if answer is not None:
            self.bus.send(message.address, answer)

    def on_steps(
        self, sender: buses.Sender, message: messages.ManifestSteps
    ) -> None:
        """Takes in deltas."""
        before = self.generation
        spreading.on_steps(self.state, message)
        self.announce_change(before, message.address)
        self.ask_next()

    def on_copy(
        self, sender: buses.Sender, message: messages.ManifestCopy
    ) -> None:
        """Takes in a whole manifest."""
        before = self.generation
        spreading.on_copy(self.state, message)
        self.announce_change(before, message.address)
        self.ask_next()

    def ask_next(self) -> None:
        """Asks for what was announced while a peer had still to answer."""
        heard = spreading.on_answered(self.state, _now_s())
        if heard is not None:
            self.on_heartbeat(heard)

    def announce_change(self, before: int, source: str) -> None:
        """Tells listeners and neighbours where the generation rose."""
        self.log_alarms()
        catalog = self.state.catalog
        if catalog.generation == before or catalog.manifest is None:
            return
        _log.info(
            "manifest-in-force",
            generation=catalog.generation,
            before=before,
            digest=catalog.digest,
            source=source,
        )
        self.members.view.generation = catalog.generation
        self.members.view.digest = catalog.digest
        self.members.announce()
        for listener in self.listeners:
            listener(catalog.generation, catalog.manifest)

    def log_alarms(self) -> None:
        """Logs what was refused; the last good manifest stays in force."""
        alarms, self.state.alarms = self.state.alarms, []
        for error in alarms:
            self.refused[error.code] += 1
            _log.error(
                "manifest-refused",
                code=error.code,
                error=error.message,
                generation=self.generation,
            )


def open_spread(
    members: membership.Membership,
    bus: buses.Bus,
    platform: platforms.Platform,
    random: randomness.Random,
) -> Spread:
    """Returns a daemon's spread; `run` does the work."""
    address = members.view.me.address
    state = spreading.Spreading(address, random, _now_s())
    service = Spread(state, members, bus, platform)
    members.listeners.append(service.on_heartbeat)
    bus.on(messages.ManifestWanted, service.on_wanted)
    bus.on(messages.ManifestSteps, service.on_steps)
    bus.on(messages.ManifestCopy, service.on_copy)
    return service


def _now_s() -> float:
    return time.monotonic()
