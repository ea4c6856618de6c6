"""Shares the platform's state among the VMs of a large fleet.

The platform counts each call, and its rate limits grow more slowly than the
fleet. In a failure domain two VMs, chosen by rendezvous hashing, follow the
platform. The others subscribe to one of these, which pushes each change and
sends heartbeats with the age of its data. A subscriber whose source is
unresponsive or out of date changes to the next in the ranking; one that tried
all of them follows the platform itself. A VM that has subscribers follows the
platform, so that no two VMs can each rely on the other's data. During an outage
of the platform this adds one VM per failure domain every few seconds, not all
of them at once.
"""

import asyncio
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import evacuations
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import routes
from laurelrock.gateways import platform_follower

__all__ = [
    "KINDS",
    "StateSharing",
    "StateUpdate",
    "Subscribe",
    "create_state_sharing",
]

#: Maximum size of a fleet in which every VM follows the platform itself.
MAX_DIRECT_VMS = 16
#: Number of VMs of a failure domain that follow the platform.
SOURCES = 2
#: Key under which the sources are ranked.
SOURCE_RANKING_KEY = "platform"
#: Interval in seconds of heartbeats and of checks of the subscription.
HEARTBEAT_S = 0.4
#: Time in seconds without a message, three heartbeats, after which the next
#: source is tried.
SOURCE_TIMEOUT_S = 1.2
#: Number of VMs of a failure domain that a subscriber tries.
CANDIDATES = 5
#: Age in seconds of a source's data from which the next source is tried, and
#: the time in seconds that a new source has to provide fresher data.
STALE_S = 2.0
NEW_SOURCE_GRACE_S = 1.0
#: Time in seconds after the start from which a VM that knows no other follows
#: the platform itself; a new fleet has registered itself by then.
SOLO_START_S = 4.0
#: Minimum time in seconds for which a VM follows the platform once it began to.
MIN_POLLING_S = 10.0

_log = logs.get_logger(__name__)


class Subscribe(typing.NamedTuple):
    """Subscribes to another VM's state.

    Attributes:
        version: The version of the subscriber's configuration.
    """

    version: int


class StateUpdate(typing.NamedTuple):
    """A change of a source's state, or a heartbeat if nothing changed.

    Attributes:
        configuration: A configuration that is newer than the last one sent.
        full: Whether `searchers` lists all searchers, not just changed ones.
        searchers: The searchers that are new or changed.
        gone: The ids of searchers that are gone.
        vms: The listed VMs, if they changed.
        age_s: The age in seconds of the source's data on searchers.
        gone_seqs: The numbers of the last writes of `gone`, in the same order.
        evacuated: The evacuations in force, unless they may be outdated.
    """

    configuration: routes.Configuration | None
    full: bool
    searchers: list[registry.Searcher]
    gone: list[str]
    vms: list[owners.Vm] | None
    age_s: float
    gone_seqs: tuple[int, ...] = ()
    evacuated: evacuations.State | None = None


KINDS: dict[int, type] = {5: Subscribe, 6: StateUpdate}


class StateSharing:
    """State of the subscriptions by this VM and to it.

    Attributes:
        known: The state that is followed.
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        vms: The listed VMs.
        on_vms: Called with the VMs that a source lists.
        subscribers: The links of subscribed VMs, and whether each was sent all
            searchers yet.
        direct: The tasks that poll the platform, while this VM does so.
        direct_until_s: The loop time until which they continue at least.
        source: The VM that this one is subscribed to.
        link: The connection to the source.
        last_message_s: The loop time of the source's last message.
        subscribed_s: The loop time of the subscription.
        failed_sources: The names of the sources that were given up since one
            last provided fresh data.
        older_sources: The links of the VMs that run the previous version, by
            name, as far as they were to be sources.
        vms_changed: Set when the list of VMs changes.
    """

    def __init__(
        self,
        known: platform_follower.PlatformFollower,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
        on_vms: typing.Callable[[list[owners.Vm]], None],
    ) -> None:
        self.known = known
        self.peer_links = peer_links
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
        self.older_sources: dict[str, frames.Link] = {}
        self.vms_changed = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    def sources(self) -> list[owners.Vm]:
        """Returns the VMs to subscribe to, in order of preference.

        VMs of the previous version aren't among them: they drop what they don't
        know of a configuration, such as workspaces and regions.
        """
        domain, vms = self.me.failure_domain, self.vms
        if self.older_sources:
            vms = [vm for vm in vms if vm.name not in self.older_sources]
        return owners.rank_owners(SOURCE_RANKING_KEY, vms, domain, CANDIDATES)

    def is_source(self) -> bool:
        """Returns whether this VM follows the platform, also for others."""
        if not self.vms and not self.subscribers:
            return self.loop.time() - self.known.started_s > SOLO_START_S
        if len(self.vms) <= MAX_DIRECT_VMS or self.subscribers:
            return True
        local_vms = [
            vm
            for vm in self.sources()
            if vm.failure_domain == self.me.failure_domain
        ]
        return self.me in local_vms[:SOURCES]

    # Following the platform

    def follow_directly(self) -> None:
        """Starts to poll the platform, or extends the time of doing so."""
        self.direct_until_s = self.loop.time() + MIN_POLLING_S
        if not self.direct:
            _log.info(
                "platform-polling-started", subscribers=len(self.subscribers)
            )
            self.direct = [
                self.loop.create_task(
                    platform_follower.run_restarting(run_loop)
                )
                for run_loop in self.known.poll_loops()
            ]
            self.known.direct = True

    def stop_following(self) -> None:
        """Stops polling the platform."""
        for task in self.direct:
            task.cancel()
        self.direct = []
        self.known.record_polls_stopped()

    async def run(self) -> None:
        """Maintains the subscription and sends heartbeats, forever."""
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
                    # Updates that arrived while polling were not applied.
                    self.subscribe(self.source, now_s)
            self.send_delayed_full_states()
            self.push_update(self.heartbeat())
            await self.wait_for_heartbeat()

    async def wait_for_heartbeat(self) -> None:
        """Waits for the next heartbeat, or until the list of VMs changes."""
        self.vms_changed.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await self.vms_changed.wait()
        except TimeoutError:
            return

    def check_source(self, now_s: float) -> bool:
        """Changes to the next source if the present one doesn't work.

        Returns:
            Whether there is a source that hasn't failed yet.
        """
        stale = (
            now_s - self.subscribed_s > NEW_SOURCE_GRACE_S
            and self.known.source_age_s(now_s) > STALE_S
        )
        unresponsive = now_s - self.last_message_s > SOURCE_TIMEOUT_S
        if self.link is not None and not stale and not unresponsive:
            return True
        if self.source is not None:
            self.failed_sources.add(self.source.name)
            _log.info(
                "source-failed", source=self.source.name, silent=unresponsive
            )
        rows = [vm for vm in self.sources() if vm != self.me]
        fresh = [vm for vm in rows if vm.name not in self.failed_sources]
        if not fresh:
            self.failed_sources.clear()
        self.subscribe(next(iter(fresh or rows), None), now_s)
        return bool(fresh)

    def subscribe(self, source: owners.Vm | None, now_s: float) -> None:
        """Subscribes to a source's whole state and its changes."""
        self.unsubscribe()
        if source is None:
            return
        self.source = source
        self.last_message_s = self.subscribed_s = now_s
        self.link = self.peer_links.link((source.host, self.port))
        self.link.send_whole(Subscribe(self.known.version))
        _log.info("subscribed", source=source.name)

    def unsubscribe(self) -> None:
        """Ignores the updates of the present source from now on."""
        self.source = None
        self.link = None

    # Messages

    def handle_message(
        self,
        link: frames.Link,
        message: Subscribe | StateUpdate | frames.NotSent,
    ) -> None:
        """Handles a message from another VM."""
        if isinstance(message, frames.NotSent):
            self.pass_over_older(link)
        elif isinstance(message, Subscribe):
            self.follow_directly()
            self.subscribers[link] = self.known.searchers_read
            link.send(self.full_state(message.version))
        elif link is self.link:
            self.apply_update(message)

    def pass_over_older(self, link: frames.Link) -> None:
        """Changes to the next source if one runs the previous version.

        Several may have to be tried, so that this VM follows the platform in
        the meantime.
        """
        if link is not self.link or self.source is None:
            return
        _log.info("source-older", source=self.source.name)
        self.older_sources[self.source.name] = link
        self.unsubscribe()
        self.follow_directly()
        self.vms_changed.set()

    def apply_update(self, state: StateUpdate) -> None:
        """Applies an update from the source."""
        now_s = self.loop.time()
        self.last_message_s = now_s
        if state.age_s < STALE_S:
            self.failed_sources.clear()
        self.known.apply_configuration(state.configuration)
        rows = [registry.Change(row.id, row) for row in state.searchers]
        seqs = dict(zip(state.gone, state.gone_seqs, strict=False))
        rows += [
            registry.Change(name, None, seqs.get(name, 0))
            for name in state.gone
        ]
        if self.known.platform_answers():
            rows.clear()
        self.known.accept_searchers(
            rows, state.full and bool(rows), state.age_s
        )
        if state.evacuated is not None:
            self.known.evacuations.offer(state.evacuated)
            if not state.full:
                self.known.evacuations.confirm()
        if state.vms is not None:
            self.on_vms(state.vms)

    def link_ended(self, link: frames.Link) -> None:
        """Handles the end of the connection to a subscriber or the source."""
        self.subscribers.pop(link, None)
        for name in [n for n, row in self.older_sources.items() if row is link]:
            del self.older_sources[name]
        if link is self.link:
            self.last_message_s = 0.0

    # Subscribers

    def full_state(self, version: int) -> StateUpdate:
        """Returns this VM's whole state.

        The configuration is included if it is newer than `version`.
        """
        table = self.known.table
        newer = table is not None and table.configuration.version > version
        return StateUpdate(
            table.configuration if table is not None and newer else None,
            self.known.searchers_read,
            list(self.known.registry.searchers.values()),
            [],
            self.vms or None,
            self.known.age_s(),
            evacuated=self.known.evacuations.state,
        )

    def send_delayed_full_states(self) -> None:
        """Sends all searchers to VMs that subscribed before they were read."""
        if not self.known.searchers_read:
            return
        for link, complete in self.subscribers.items():
            if not complete:
                self.subscribers[link] = True
                link.send(self.full_state(0))

    def heartbeat(self) -> StateUpdate:
        """Returns an update without changes."""
        return StateUpdate(
            *(None, False, [], [], None, self.known.age_s()),
            evacuated=self.known.evacuations.confirmed_state(),
        )

    def share_evacuations(self) -> None:
        """Sends changed evacuations to subscribers."""
        update = self.heartbeat()
        self.push_update(
            update._replace(evacuated=self.known.evacuations.state)
        )

    def push_update(self, state: StateUpdate) -> None:
        """Sends an update to all subscribers."""
        self.peer_links.broadcast(self.subscribers, state)

    def relay(self, message: typing.Any) -> None:
        """Sends a message of another kind to all subscribers."""
        self.peer_links.broadcast(self.subscribers, message)

    def share_configuration(self, configuration: routes.Configuration) -> None:
        """Sends a new configuration to subscribers."""
        age_s = self.known.age_s()
        self.push_update(StateUpdate(configuration, False, [], [], None, age_s))

    def share_changes(self, changes: list[registry.Change]) -> None:
        """Sends changes of the searchers to subscribers."""
        rows = [row.searcher for row in changes if row.searcher is not None]
        gone = [row for row in changes if row.searcher is None]
        names = [row.id for row in gone]
        seqs = tuple(row.last_seq for row in gone)
        age_s = self.known.age_s()
        self.push_update(
            StateUpdate(None, False, rows, names, None, age_s, seqs)
        )

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs and sends it to subscribers."""
        self.vms = vms
        self.vms_changed.set()
        self.push_update(
            StateUpdate(None, False, [], [], vms, self.known.age_s())
        )


def create_state_sharing(
    known: platform_follower.PlatformFollower,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
    on_vms: typing.Callable[[list[owners.Vm]], None],
) -> StateSharing:
    """Returns the state before any subscription."""
    return StateSharing(known, peer_links, me, port, on_vms)
