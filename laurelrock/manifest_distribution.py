"""Distribution service: keeps the newest manifest in force on one daemon.

Connects the distribution protocol in `core.distribution` to the message bus,
the platform and the clock.
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
from laurelrock.core import distribution
from laurelrock.ports import bus as buses
from laurelrock.ports import platform as platforms

__all__ = ["ManifestDistribution", "open_distribution"]

#: Interval between two checks for a read that is due, in seconds.
POLL_INTERVAL_S = 0.1

#: Maximum time to wait for the first read of the list of VMs, in seconds.
FIRST_LIST_TIMEOUT_S = 3.0

_log = logs.get_logger(__name__)

#: Function that receives each generation and manifest that come into force.
GenerationListener = collections.abc.Callable[[int, manifest.Manifest], None]


class ManifestDistribution:
    """Distribution service of one daemon.

    Attributes:
        state: State of the distribution protocol; its catalog contains the
            manifest.
        members: Membership service of this daemon.
        bus: Message bus that connects the daemons.
        platform: Platform client, which provides the head, the full manifests
            and the deltas.
        listeners: Functions that are called with each generation and manifest
            that come into force.
        refused: Number of rejected manifests and unexpected errors by error
            code, for the metrics.
    """

    def __init__(
        self,
        state: distribution.DistributionState,
        members: membership.Membership,
        bus: buses.Bus,
        platform: platforms.Platform,
    ) -> None:
        self.state = state
        self.members = members
        self.bus = bus
        self.platform = platform
        self.listeners: list[GenerationListener] = []
        self.refused: collections.Counter[str] = collections.Counter()

    @property
    def generation(self) -> int:
        """Generation in force, 0 if there is none yet."""
        return self.state.catalog.generation

    @property
    def manifest(self) -> manifest.Manifest | None:
        """Manifest in force, or None if there is none yet."""
        return self.state.catalog.manifest

    async def run(self) -> None:
        """Runs the service until it is cancelled."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.members.vm_list_attempted.wait()
        except TimeoutError:
            pass
        vm_count = len(self.members.view.listed)
        distribution.start(self.state, vm_count or None, _now_s())
        while True:
            watcher = self.members.is_watcher()
            fetch = distribution.next_fetch(self.state, watcher, _now_s())
            if fetch is None:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                await self.fetch_safely(fetch, watcher)
            self.log_rejected_manifests()

    async def fetch_safely(
        self, fetch: distribution.Fetch, watcher: bool
    ) -> None:
        """Fetches and applies an object; backs off on unexpected errors too."""
        try:
            await self.fetch_and_apply(fetch, watcher)
        except Exception:
            self.refused["internal"] += 1
            _log.exception("manifest-fetch-failed", kind=fetch.kind)
            distribution.on_failure(self.state, _now_s())

    async def fetch_and_apply(
        self, fetch: distribution.Fetch, watcher: bool
    ) -> None:
        """Reads an object from the platform and applies it to the state."""
        before = self.generation
        try:
            stored = await self.read_object(fetch)
        except errors.PlatformError as error:
            _log.warning(
                "manifest-read-failed", kind=fetch.kind, error=error.message
            )
            distribution.on_failure(self.state, _now_s())
            return
        raw = stored.body if stored else None
        if fetch.head is not None:
            distribution.on_body(self.state, fetch, raw, watcher, _now_s())
            self.announce_new_generation(before, "platform")
        else:
            version = stored.version if stored else 0
            distribution.on_head(self.state, version, raw, watcher, _now_s())

    async def read_object(
        self, fetch: distribution.Fetch
    ) -> platforms.StoredObject | None:
        """Reads the object that the protocol requested from the platform."""
        if fetch.kind == "watch":
            wait_s = distribution.WATCH_TIMEOUT_S
            return await self.platform.watch(
                heads.HEAD_KEY, fetch.after, wait_s
            )
        if fetch.head is None:
            return await self.platform.get(heads.HEAD_KEY)
        if fetch.kind == "delta":
            return await self.platform.get(fetch.head.delta)
        return await self.platform.get(fetch.head.full)

    def on_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Requests a newer generation from the peer that announced it."""
        request = distribution.on_heartbeat(self.state, heartbeat, _now_s())
        if request is not None:
            self.bus.send(heartbeat.address, request)
        self.log_rejected_manifests()

    def on_manifest_request(
        self, sender: buses.Sender, message: messages.ManifestRequest
    ) -> None:
        """Sends a peer the deltas or the full manifest that it requested."""
        reply = distribution.on_manifest_request(self.state, message, _now_s())
        if reply is not None:
            self.bus.send(message.address, reply)

    def on_deltas(
        self, sender: buses.Sender, message: messages.ManifestDeltas
    ) -> None:
        """Applies deltas from a peer."""
        before = self.generation
        distribution.on_manifest_deltas(self.state, message)
        self.announce_new_generation(before, message.address)
        self.request_announced()

    def on_full_manifest(
        self, sender: buses.Sender, message: messages.FullManifest
    ) -> None:
        """Applies a full manifest from a peer."""
        before = self.generation
        distribution.on_full_manifest(self.state, message)
        self.announce_new_generation(before, message.address)
        self.request_announced()

    def request_announced(self) -> None:
        """Requests a generation announced while a request was pending."""
        announcement = distribution.on_peer_reply(self.state, _now_s())
        if announcement is not None:
            self.on_heartbeat(announcement)

    def announce_new_generation(self, before: int, source: str) -> None:
        """Notifies listeners and neighbours if the generation has changed.

        Args:
            before: Generation in force before the update.
            source: Origin of the update for the logs, "platform" or the bus
                address of a peer.
        """
        self.log_rejected_manifests()
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
        self.members.announce_generation()
        for listener in self.listeners:
            listener(catalog.generation, catalog.manifest)

    def log_rejected_manifests(self) -> None:
        """Logs rejected manifests; the last valid one stays in force."""
        rejections, self.state.rejections = self.state.rejections, []
        for error in rejections:
            self.refused[error.code] += 1
            _log.error(
                "manifest-rejected",
                code=error.code,
                error=error.message,
                generation=self.generation,
            )


def open_distribution(
    members: membership.Membership,
    bus: buses.Bus,
    platform: platforms.Platform,
    random: randomness.Random,
) -> ManifestDistribution:
    """Creates a daemon's distribution service; `run` is started separately."""
    address = members.view.me.address
    state = distribution.DistributionState(address, random, _now_s())
    service = ManifestDistribution(state, members, bus, platform)
    members.listeners.append(service.on_heartbeat)
    bus.on(messages.ManifestRequest, service.on_manifest_request)
    bus.on(messages.ManifestDeltas, service.on_deltas)
    bus.on(messages.FullManifest, service.on_full_manifest)
    return service


def _now_s() -> float:
    return time.monotonic()
