"""Follows the configuration and the searchers on the platform.

Two long polls follow the platform, and a third one where failure domains may
be evacuated. After a poll that fails, or that finds that changes were missed,
everything is read again. A configuration older than the one in force is never
applied.
"""

import asyncio
import collections.abc
import math
import random
import typing

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import registry
from laurelrock.core import retry
from laurelrock.core import routes
from laurelrock.gateways import upstreams
from laurelrock.gateways.places import evacuations
from laurelrock.ports import directory

__all__ = ["BackgroundLoop", "PlatformFollower", "run_restarting"]

#: Longest wait of a poll, in seconds. The platform may drop a poll without a
#: response while its connection stays open; with the client's own timeout the
#: poll then ends within 4 s, the shortest time after which a VM counts as in
#: touch.
POLL_WAIT_S = 2.4
#: Interval in seconds at which a VM that learns no evacuations from its source
#: reads them from the store, before it knows any and later.
FIRST_EVACUATION_READ_S = 1.0
EVACUATION_READ_S = 4.0
#: Wait in seconds between an answer and the next poll. Changes come in bursts,
#: and the platform counts each poll as a call.
POLL_GAP_S = 0.15
#: Longest wait in seconds for the answer that shows that the platform is
#: reachable.
PLATFORM_CHECK_TIMEOUT_S = 0.5
#: Interval in seconds at which entries kept after an outage are checked.
EXPIRY_CHECK_INTERVAL_S = 0.25
#: Interval in seconds at which the list of VMs is read.
VM_LIST_INTERVAL_S = 5.0
#: Wait in seconds after registering until that list is read; all VMs of a new
#: deployment have registered by then.
FIRST_VM_LIST_DELAY_S = 1.5

#: Longest pause in seconds between two failing polls. Together with a call that
#: hangs it is shorter than the 3 s within which a configuration has to be in
#: force.
MAX_RETRY_PAUSE_S = 0.6
#: Wait in seconds before a failed background loop is restarted.
RESTART_DELAY_S = 0.5
#: Time in seconds after a start, or after the platform came back from a copy,
#: for which other VMs are asked for a newer configuration.
ASK_PEERS_S = 1.2
#: Time in seconds after the platform came back from a copy for which listed
#: searchers that had left are looked at again, and the interval of that. The
#: platform removes an entry after three heartbeats of its searcher.
SUSPICION_S = 10.0
RELIST_INTERVAL_S = 1.0
#: Names of the polls.
CONFIGURATION, SEARCHERS, EVACUATIONS = (
    "configuration",
    "searchers",
    "evacuations",
)

_log = logs.get_logger(__name__)


BackgroundLoop = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


async def run_restarting(run_loop: BackgroundLoop) -> None:
    """Runs a background loop forever; restarts it after a failure."""
    while True:
        try:
            await run_loop()
        except Exception as error:
            _log.error(
                "background-loop-failed", reason=repr(error), exc_info=True
            )
        await asyncio.sleep(RESTART_DELAY_S)


class Poll(typing.NamedTuple):
    """The operations of a poll.

    Attributes:
        name: The name of the poll, for logs.
        read: Reads everything and returns the revision.
        watch: Waits for changes after a revision and returns the next one.
    """

    name: str
    read: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ]
    watch: collections.abc.Callable[
        [int], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ]


class PlatformFollower:
    """State of what is followed on the platform.

    Attributes:
        source: The platform.
        me: This VM's entry in the list of VMs.
        known: The searchers with their connections.
        registry: The entries of searchers.
        table: The routes in force; None before the first configuration.
        applied_s: The loop time at which the routes were applied.
        searchers_read: Whether the searchers were read at least once.
        on_configuration: Called with each new configuration.
        on_vms: Called with the listed VMs.
        on_searchers: Called with changes of the searchers.
        direct: Whether this VM polls the platform itself.
        started_s: The loop time of the start.
        failing_polls: The names of the polls that get no answer.
        registered: Whether this VM registered itself in the list of VMs.
        ask_peers_until_s: The loop time until which other VMs are asked for a
            newer configuration, although the platform answers.
        eras: The era of the platform's data at the last read, by poll.
        restored_s: The loop time at which it last came back from a copy.
        confirmed_s: The loop time at which the searchers were last known to be
            up to date; while the poll of searchers is answered, that is now.
        evacuations: The evacuated failure domains.
    """

    def __init__(
        self,
        source: directory.Directory,
        me: directory.VmEntry,
        known: upstreams.Upstreams,
        on_configuration: collections.abc.Callable[
            [routes.Configuration], None
        ],
        on_vms: collections.abc.Callable[[list[directory.VmEntry]], None],
        on_searchers: collections.abc.Callable[[list[registry.Change]], None],
        follows_evacuations: bool = False,
    ) -> None:
        self.source = source
        self.me = me
        self.known = known
        self.registry = registry.create_registry()
        self.table: routes.RouteTable | None = None
        self.applied_s = 0.0
        self.searchers_read = False
        self.on_configuration = on_configuration
        self.on_vms = on_vms
        self.on_searchers = on_searchers
        self.failing_polls: set[str] = set()
        self.registered = False
        self.confirmed_s = -math.inf
        self.direct = False
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()
        self.ask_peers_until_s = self.started_s + ASK_PEERS_S
        self.eras: dict[str, int] = {}
        self.restored_s = -math.inf
        self.evacuations = evacuations.create_evacuations(
            known, follows_evacuations
        )

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        return self.table.configuration.version if self.table else 0

    def platform_answers(self) -> bool:
        """Returns whether the polls of this VM are answered."""
        return (
            self.direct
            and self.searchers_read
            and SEARCHERS not in self.failing_polls
        )

    def source_age_s(self, now_s: float) -> float:
        """Returns the age in seconds of the data on searchers.

        It counts from the start of this process if no data is newer.
        """
        return now_s - max(self.confirmed_s, self.started_s)

    def record_polls_stopped(self) -> None:
        """Records that this VM no longer polls the platform."""
        if self.platform_answers():
            self.confirmed_s = self.loop.time()
        self.direct = False
        self.failing_polls.clear()

    def age_s(self) -> float:
        """Returns the age in seconds of the data on searchers, inf if none."""
        if self.platform_answers():
            return 0.0
        return self.loop.time() - self.confirmed_s

    def may_be_outdated(self, max_age_s: float) -> bool:
        """Tells whether a newer configuration than this VM's may be in force.

        That is so if its data is older than `max_age_s`, if its polls of the
        configuration get no answer, or if the platform has just come back from
        a copy.
        """
        return (
            self.age_s() > max_age_s
            or CONFIGURATION in self.failing_polls
            or self.loop.time() - self.restored_s < ASK_PEERS_S
        )

    def age_ms(self) -> int | None:
        """Returns the age of the data on searchers in ms, for logs."""
        age_s = self.age_s()
        return None if math.isinf(age_s) else round(age_s * 1000)

    def accept_searchers(
        self, rows: list[registry.Change], full: bool, age_s: float
    ) -> None:
        """Applies entries of searchers from another VM."""
        self.apply_changes(self.registry.apply_peer_changes(rows, full))
        self.searchers_read = self.searchers_read or full
        if self.searchers_read:
            self.confirmed_s = max(self.confirmed_s, self.loop.time() - age_s)

    def apply_configuration(
        self, configuration: routes.Configuration | None
    ) -> None:
        """Puts a configuration in force, unless an equal or newer one is."""
        if configuration is None:
            return
        version = configuration.version
        present = self.table.configuration.version if self.table else None
        if present is not None and version <= present:
            if version < present:
                _log.warning(
                    "configuration-outdated", version=version, present=present
                )
            return
        self.table = routes.create_table(configuration)
        self.applied_s = self.loop.time()
        _log.info(
            "configuration-applied",
            version=version,
            before=present,
            routes=len(configuration.routes),
        )
        self.known.configure(configuration)
        self.on_configuration(configuration)

    def apply_changes(self, changes: list[registry.Change]) -> None:
        """Applies changes of the registry to the searchers."""
        if changes:
            self.known.apply(changes, self.loop.time())
            self.on_searchers(changes)

    async def read_configuration(self) -> int:
        """Reads the configuration and returns its revision."""
        found = await self.source.read_configuration()
        self.check_restored(CONFIGURATION, found.era)
        self.apply_configuration(found.configuration)
        return found.revision

    async def watch_configuration(self, revision: int) -> int:
        """Waits for a newer configuration; returns the revision reached."""
        if not revision:
            await asyncio.sleep(retry.backoff_s(1, random.random()))
            return await self.read_configuration()
        found = await self.source.watch_configuration(revision, POLL_WAIT_S)
        self.apply_configuration(found.configuration)
        return found.revision

    async def read_searchers(self) -> int:
        """Reads the entries of all searchers and returns their revision."""
        found = await self.source.read_searchers()
        if SEARCHERS in self.failing_polls:
            self.registry.record_outage_end(self.loop.time())
        restored = self.check_restored(SEARCHERS, found.era)
        self.apply_changes(
            self.registry.replace(found.rows, self.loop.time(), restored)
        )
        self.searchers_read = True
        return found.revision

    async def watch_searchers(self, revision: int) -> int:
        """Waits for changed entries; returns the revision reached.

        After the platform came back from a copy, searchers that had left are
        listed until the platform notices. Only a whole list shows whether one
        of them lives, since a mere heartbeat is no change.
        """
        restored_ago_s = self.loop.time() - self.restored_s
        if self.registry.suspects and restored_ago_s < SUSPICION_S:
            await asyncio.sleep(RELIST_INTERVAL_S)
            return await self.read_searchers()
        found = await self.source.watch_searchers(revision, POLL_WAIT_S)
        self.apply_changes(self.registry.apply(found.rows, self.loop.time()))
        return found.revision

    async def read_evacuations(self) -> int:
        """Reads the evacuations and returns their revision."""
        found = await self.source.read_evacuations()
        self.check_restored(EVACUATIONS, found.era)
        self.evacuations.record_list(found)
        return found.revision

    async def watch_evacuations(self, revision: int) -> int:
        """Waits for changed evacuations; returns the revision reached."""
        found = await self.source.watch_evacuations(revision, POLL_WAIT_S)
        self.evacuations.record_changes(found)
        return found.revision

    async def read_unconfirmed_evacuations(self) -> None:
        """Reads the evacuations if nothing else confirms them, forever.

        The source of a VM that doesn't poll the store may run an earlier
        version, which doesn't know evacuations.
        """
        followed = self.evacuations
        while True:
            interval_s = (
                EVACUATION_READ_S if followed.known else FIRST_EVACUATION_READ_S
            )
            await asyncio.sleep(interval_s * (0.75 + random.random() / 2))
            if self.direct or not followed.is_stale():
                continue
            try:
                found = await self.source.read_evacuations()
            except errors.StoreError as error:
                _log.info("evacuations-unavailable", reason=error.message)
                continue
            followed.offer(evacuations.state_of(found))
            followed.confirm()

    async def run_poll(self, poll: Poll) -> None:
        """Runs a poll forever."""
        revision, attempt = None, 0
        while True:
            try:
                if revision is None:
                    revision = await poll.read()
                else:
                    revision = await poll.watch(revision)
            except errors.StoreHistoryError as error:
                _log.info(
                    "change-history-lost", poll=poll.name, reason=error.message
                )
                revision = None
            except errors.StoreError as error:
                self.record_poll_failure(poll, error)
                revision = None
                await asyncio.sleep(
                    retry.backoff_s(attempt, random.random(), MAX_RETRY_PAUSE_S)
                )
                attempt += 1
            else:
                attempt = 0
                self.record_poll_success(poll)
                await asyncio.sleep(POLL_GAP_S)

    def check_restored(self, name: str, era: int) -> bool:
        """Returns whether the platform came back from a copy since a read.

        Other VMs may then hold a newer configuration than the platform.
        """
        restored = era > self.eras.get(name, era)
        self.eras[name] = era
        if restored:
            _log.warning("platform-read-anew", poll=name, era=era)
            self.restored_s = self.loop.time()
            self.ask_peers_until_s = self.restored_s + ASK_PEERS_S
        return restored

    def record_poll_failure(self, poll: Poll, error: errors.StoreError) -> None:
        """Records a poll without an answer."""
        if poll.name in self.failing_polls:
            return
        if poll.name == SEARCHERS and self.searchers_read:
            self.confirmed_s = self.loop.time()
        self.failing_polls.add(poll.name)
        _log.warning(
            "platform-unreachable", poll=poll.name, reason=error.message
        )

    def record_poll_success(self, poll: Poll) -> None:
        """Records a poll that was answered."""
        if poll.name in self.failing_polls:
            self.failing_polls.discard(poll.name)
            _log.info("platform-reachable", poll=poll.name)

    async def platform_reachable(self) -> bool:
        """Returns whether the platform answers at present."""
        try:
            async with asyncio.timeout(PLATFORM_CHECK_TIMEOUT_S):
                await self.source.read_vms()
        except (errors.StoreError, TimeoutError):
            return False
        return True

    async def expire_entries(self) -> None:
        """Removes expired entries, forever.

        Entries that are missing after an outage are kept for a time; see
        `core.registry`.
        """
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.apply_changes(self.registry.remove_expired(self.loop.time()))

    async def maintain_vm_list(self) -> None:
        """Registers this VM and reads the list of VMs, forever.

        The list is read before registering, so that a VM that joins a running
        fleet knows the others at once. A VM that doesn't poll the platform gets
        the list from its source.
        """
        attempt = 0
        while True:
            try:
                if self.direct:
                    await self.read_vms()
                if not self.registered:
                    await self.read_vms(first=True)
                    await asyncio.sleep(random.random() / 4)
                    await self.source.register_vm(self.me)
                    self.registered = True
                    await asyncio.sleep(FIRST_VM_LIST_DELAY_S)
                    await self.read_vms()
            except errors.StoreError as error:
                _log.info("vm-list-unavailable", reason=error.message)
                await asyncio.sleep(retry.backoff_s(attempt, random.random()))
                attempt += 1
                continue
            attempt = 0
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    def record_listed(self, listed: bool) -> None:
        """Records whether a list of VMs contains this one, which it should."""
        if self.registered and not listed:
            self.registered = False
            _log.warning("vm-unlisted")

    async def read_vms(self, first: bool = False) -> None:
        """Reads the list of VMs.

        The list read before registering counts only if it contains this VM,
        that is, if this VM was registered before. Otherwise the fleet may be
        starting, and the list contains only the VMs that registered earlier.
        """
        rows = await self.source.read_vms()
        if first and self.me["vm"] not in {row["vm"] for row in rows}:
            return
        if rows:
            self.on_vms(rows)

    def poll_loops(self) -> list[BackgroundLoop]:
        """Returns the background loops that follow the platform."""
        configuration = Poll(
            CONFIGURATION, self.read_configuration, self.watch_configuration
        )
        searchers = Poll(SEARCHERS, self.read_searchers, self.watch_searchers)
        loops: list[BackgroundLoop] = [
            lambda: self.run_poll(configuration),
            lambda: self.run_poll(searchers),
        ]
        if self.evacuations.followed:
            evacuated = Poll(
                EVACUATIONS, self.read_evacuations, self.watch_evacuations
            )
            loops.append(lambda: self.run_poll(evacuated))
        return loops
