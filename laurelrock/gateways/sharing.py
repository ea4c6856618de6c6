"""Sharing: few VMs of a large fleet follow the platform for all.

The platform counts each call, and its rates grow more slowly than the fleet.
In a failure domain two VMs, chosen by rendezvous hashing, follow it; the others
subscribe to one of these and get each change pushed, and a heartbeat with the
age of what it knows. A subscriber whose source is silent or out of date goes
to the next in the ranking; one that went through all of them follows the
platform itself. A VM that is subscribed to follows the platform, so that no
two VMs can believe each other; while the platform is down, one more VM a
failure domain does so every few seconds, not all of them.
"""

import asyncio
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import routes
from laurelrock.gateways import following

__all__ = [
    "KINDS",
    "StateSharing",
    "StateUpdate",
    "Subscribe",
    "create_state_sharing",
]

#: Largest fleet of which every VM follows the platform itself.
MAX_DIRECT_VMS = 16
#: VMs of a failure domain that follow the platform.
SOURCES = 2
#: Name under which the sources are ranked.
SOURCE_RANKING_KEY = "platform"
#: Interval of heartbeats and of looking after the subscription, in seconds.
HEARTBEAT_S = 0.4
#: Silence after which the next source is tried: three heartbeats, in seconds.
SOURCE_TIMEOUT_S = 1.2
#: VMs of a failure domain that a subscriber goes through.
CANDIDATES = 5
#: Age of a source's knowledge from which the next source is tried, and the
#: time that a new source has to do better, both in seconds.
STALE_S = 2.0
NEW_SOURCE_GRACE_S = 1.0
#: Time after the start from which a VM that knows no other follows the
#: platform itself, in seconds; a new fleet has announced itself by then.
SOLO_START_S = 4.0
#: Time for which a VM that began to follow the platform goes on, in seconds.
MIN_POLLING_S = 10.0

_log = logs.get_logger(__name__)


class Subscribe(typing.NamedTuple):
    """Subscribes to what another VM knows."""

    version: int


class StateUpdate(typing.NamedTuple):
    """What changed at a source; a heartbeat where nothing did.

    Attributes:
        configuration: Newer than the last one sent.
        full: Whether all searchers are listed, not just those that changed.
        searchers: That are new or changed.
        gone: Ids of searchers that are gone.
        vms: Listed, where that changed.
        age_s: Of what the source knows of the searchers.
    """

    configuration: routes.Configuration | None
    full: bool
    searchers: list[registry.Searcher]
    gone: list[str]
    vms: list[owners.Vm] | None
    age_s: float


KINDS: dict[int, type] = {5: Subscribe, 6: StateUpdate}


class StateSharing:
    """State of the subscriptions of this VM and to it.

    Attributes:
        known: What is followed.
        exchange: Messages between VMs.
        me: This VM.
        port: Of all VMs' exchanges.
        vms: Listed.
        vms_known: Called with the VMs that a source lists.
        subscribers: Links of VMs that subscribed, and whether each was sent
            all searchers yet.
        direct: Polls of the platform, while this VM makes them.
        direct_until_s: Loop time until which they go on at least.
        source: Subscribed to now.
        link: To the source.
        heard_s: Loop time of the source's last word.
        subscribed_s: Loop time of the subscription.
        useless: Sources passed over since one was of use, by name.
        listed: Set when the list of VMs changes.
    """

    def __init__(
        self,
        known: following.PlatformFollower,
        exchange: frames.Exchange,
        me: owners.Vm,
        port: int,
        on_vms: typing.Callable[[list[owners.Vm]], None],
    ) -> None:
        self.known = known
        self.exchange = exchange
        self.me = me
        self.port = port
        self.vms: list[owners.Vm] = []
        self.on_vms = on_vms
        self.subscribers: dict[frames.Link, bool] = {}
        self.direct: list[asyncio.Task[None]] = []
        self.direct_until_s = 0.0
        self.source: owners.Vm | None = None
        self.link: frames.Link | None = None
        self.last_message_s = 0.0
        self.subscribed_s = 0.0
        self.failed_sources: set[str] = set()
        self.vms_changed = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    def sources(self) -> list[owners.Vm]:
        """Returns the VMs to subscribe to, the best first."""
        domain = self.me.failure_domain
        return owners.ranked(SOURCE_RANKING_KEY, self.vms, domain, CANDIDATES)

    def is_source(self) -> bool:
        """Tells whether this VM follows the platform, also for others."""
        if not self.vms and not self.subscribers:
            return self.loop.time() - self.known.started_s > SOLO_START_S
        if len(self.vms) <= MAX_DIRECT_VMS or self.subscribers:
            return True
        near = [
            vm
            for vm in self.sources()
            if vm.failure_domain == self.me.failure_domain
        ]
        return self.me in near[:SOURCES]

    # Following the platform

    def follow_directly(self) -> None:
        """Begins to poll the platform, or goes on."""
        self.direct_until_s = self.loop.time() + MIN_POLLING_S
        if not self.direct:
            _log.info("follows-platform", subscribers=len(self.subscribers))
            self.direct = [
                self.loop.create_task(following.run_restarting(work))
                for work in self.known.poll_loops()
            ]
            self.known.direct = True

    def stop_following(self) -> None:
        """Ends the polls of the platform."""
        for task in self.direct:
            task.cancel()
        self.direct = []
        self.known.note_polls_stopped()

    async def run(self) -> None:
        """Looks after the subscription, and beats to subscribers."""
        while True:
            now_s = self.loop.time()
            if self.is_source():
                self.follow_directly()
                self.unsubscribe()
            elif self.vms:
                if not self.check_source(now_s):
                    self.follow_directly()
                elif self.direct and now_s > self.direct_until_s:
                    self.stop_following()
                    # Changes that came meanwhile were left to the polls.
                    self.subscribe(self.source, now_s)
            self.send_delayed_full_states()
            self.push_update(
                StateUpdate(None, False, [], [], None, self.known.age_s())
            )
            await self.wait_for_heartbeat()

    async def wait_for_heartbeat(self) -> None:
        """Waits for the next beat, or until the list of VMs changes."""
        self.vms_changed.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await self.vms_changed.wait()
        except TimeoutError:
            return

    def check_source(self, now_s: float) -> bool:
        """Goes to the next source where the present one is no use.

        Returns:
            Whether there is a source that was not found useless yet.
        """
        stale = (
            now_s - self.subscribed_s > NEW_SOURCE_GRACE_S
            and self.known.source_age_s(now_s) > STALE_S
        )
        silent = now_s - self.last_message_s > SOURCE_TIMEOUT_S
        if self.link is not None and not stale and not silent:
            return True
        if self.source is not None:
            self.failed_sources.add(self.source.name)
            _log.info("source-useless", source=self.source.name, silent=silent)
        rows = [vm for vm in self.sources() if vm != self.me]
        fresh = [vm for vm in rows if vm.name not in self.failed_sources]
        if not fresh:
            self.failed_sources.clear()
        self.subscribe(next(iter(fresh or rows), None), now_s)
        return bool(fresh)

    def subscribe(self, source: owners.Vm | None, now_s: float) -> None:
        """Asks a source for all that it knows and for each change."""
        self.unsubscribe()
        if source is None:
            return
        self.source = source
        self.last_message_s = self.subscribed_s = now_s
        self.link = self.exchange.link((source.host, self.port))
        self.link.send(Subscribe(self.known.version))
        _log.info("subscribed", source=source.name)

    def unsubscribe(self) -> None:
        """Takes no more from the present source."""
        self.source = None
        self.link = None

    # Messages

    def handle_message(
        self, link: frames.Link, message: Subscribe | StateUpdate
    ) -> None:
        """Takes a message of another VM."""
        if isinstance(message, Subscribe):
            self.follow_directly()
            self.subscribers[link] = self.known.searchers_read
            link.send(self.full_state(message.version))
        elif link is self.link:
            self.apply_update(message)

    def apply_update(self, state: StateUpdate) -> None:
        """Takes what a source says."""
        now_s = self.loop.time()
        self.last_message_s = now_s
        if state.age_s < STALE_S:
            self.failed_sources.clear()
        self.known.apply_configuration(state.configuration)
        rows = [registry.Change(row.id, row) for row in state.searchers]
        rows += [registry.Change(name, None) for name in state.gone]
        if self.known.platform_answers():
            rows.clear()
        self.known.accept_searchers(
            rows, state.full and bool(rows), state.age_s
        )
        if state.vms is not None:
            self.on_vms(state.vms)

    def link_ended(self, link: frames.Link) -> None:
        """Notes that a subscriber or the source is gone."""
        self.subscribers.pop(link, None)
        if link is self.link:
            self.last_message_s = 0.0

    # Subscribers

    def full_state(self, version: int) -> StateUpdate:
        """Returns all that this VM knows, for one that has a version."""
        table = self.known.table
        newer = table is not None and table.configuration.version > version
        return StateUpdate(
            table.configuration if table is not None and newer else None,
            self.known.searchers_read,
            list(self.known.registry.searchers.values()),
            [],
            self.vms or None,
            self.known.age_s(),
        )

    def send_delayed_full_states(self) -> None:
        """Sends all searchers to who subscribed before they were listed."""
        if not self.known.searchers_read:
            return
        for link, complete in self.subscribers.items():
            if not complete:
                self.subscribers[link] = True
                link.send(self.full_state(0))

    def push_update(self, state: StateUpdate) -> None:
        """Sends a change to all subscribers."""
        self.exchange.broadcast(self.subscribers, state)

    def share_configuration(self, configuration: routes.Configuration) -> None:
        """Passes a new configuration on."""
        age_s = self.known.age_s()
        self.push_update(StateUpdate(configuration, False, [], [], None, age_s))

    def share_changes(self, changes: list[registry.Change]) -> None:
        """Passes changes of the searchers on."""
        rows = [row.searcher for row in changes if row.searcher is not None]
        gone = [row.id for row in changes if row.searcher is None]
        age_s = self.known.age_s()
        self.push_update(StateUpdate(None, False, rows, gone, None, age_s))

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Takes the list of VMs and passes it on."""
        self.vms = vms
        self.vms_changed.set()
        self.push_update(
            StateUpdate(None, False, [], [], vms, self.known.age_s())
        )


def create_state_sharing(
    known: following.PlatformFollower,
    exchange: frames.Exchange,
    me: owners.Vm,
    port: int,
    vms_known: typing.Callable[[list[owners.Vm]], None],
) -> StateSharing:
    """Returns the state before any subscription."""
    return StateSharing(known, exchange, me, port, vms_known)
