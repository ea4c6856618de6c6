"""Following: the configuration and the searchers, as the platform has them.

Two long polls follow the platform. A poll that ends without an answer, or
finds that changes were missed, starts with a whole read. A configuration
older than the one in force is never taken.
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
from laurelrock.ports import directory

__all__ = ["BackgroundLoop", "PlatformFollower", "run_restarting"]

#: Longest wait of a poll, in seconds. The platform may forget a poll without a
#: word on a connection that lives; with the client's own time limit the poll
#: then ends within 4 s, the shortest time after which a VM counts as in touch.
POLL_WAIT_S = 2.4
#: Wait after an answer before the next poll, in seconds. Changes come in
#: groups, and each poll is a call that the platform counts.
POLL_GAP_S = 0.15
#: Longest wait for an answer that shows that the platform is reached, in
#: seconds.
PLATFORM_CHECK_TIMEOUT_S = 0.5
#: Interval at which entries kept after an outage are looked at, in seconds.
EXPIRY_CHECK_INTERVAL_S = 0.25
#: Interval at which the list of VMs is read, in seconds.
VM_LIST_INTERVAL_S = 5.0
#: Wait after the start before that list is read first, in seconds; all VMs
#: of a new deployment have announced themselves by then.
FIRST_VM_LIST_DELAY_S = 1.5

#: Longest pause between two polls that fail, in seconds: with a call that
#: hangs it lies within the 3 s in which a configuration is in force.
MAX_RETRY_PAUSE_S = 0.6
#: Wait before a loop that failed is begun again, in seconds.
RESTART_DELAY_S = 0.5
#: Names of the polls.
CONFIGURATION, SEARCHERS = "configuration", "searchers"

_log = logs.get_logger(__name__)


BackgroundLoop = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


async def run_restarting(work: BackgroundLoop) -> None:
    """Runs a loop for ever; one that fails is told of and begun again."""
    while True:
        try:
            await work()
        except Exception as error:
            _log.error("loop-failed", reason=repr(error), exc_info=True)
        await asyncio.sleep(RESTART_DELAY_S)


class Poll(typing.NamedTuple):
    """What a poll does.

    Attributes:
        name: For logs.
        read: Reads everything; returns the revision.
        watch: Waits for changes after a revision; returns the next one.
    """

    name: str
    read: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ]
    watch: collections.abc.Callable[
        [int], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ]


class PlatformFollower:
    """State of what is followed.

    Attributes:
        source: The platform.
        me: This VM's row in the list of VMs.
        known: Searchers with their connections.
        registry: Entries of searchers.
        table: Routes in force; None before the first configuration.
        taken_s: Loop time at which they were taken.
        listed: Whether the searchers were read once.
        changed: Called with each new configuration.
        vms_changed: Called with the listed VMs.
        searchers_changed: Called with changes of the searchers.
        direct: Whether this VM polls the platform itself.
        started_s: Loop time of the start.
        down: Names of the polls that get no answer.
        announced: Whether this VM listed itself.
        fresh_s: Loop time at which the searchers were known for certain last;
            while the poll of searchers is answered, it is the present.
    """

    def __init__(
        self,
        source: directory.Directory,
        me: directory.VmRow,
        known: upstreams.Upstreams,
        on_configuration: collections.abc.Callable[
            [routes.Configuration], None
        ],
        on_vms: collections.abc.Callable[[list[directory.VmRow]], None],
        on_searchers: collections.abc.Callable[[list[registry.Change]], None],
    ) -> None:
        self.source = source
        self.me = me
        self.known = known
        self.registry = registry.create_registry()
        self.table: routes.Table | None = None
        self.applied_s = 0.0
        self.searchers_read = False
        self.on_configuration = on_configuration
        self.on_vms = on_vms
        self.on_searchers = on_searchers
        self.failing_polls: set[str] = set()
        self.announced = False
        self.confirmed_s = -math.inf
        self.direct = False
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self.table.configuration.version if self.table else 0

    def platform_answers(self) -> bool:
        """Tells whether this VM's own polls are answered."""
        return (
            self.direct
            and self.searchers_read
            and SEARCHERS not in self.failing_polls
        )

    def source_age_s(self, now_s: float) -> float:
        """Returns the age of what a source said; from the start at first."""
        return now_s - max(self.confirmed_s, self.started_s)

    def note_polls_stopped(self) -> None:
        """Notes that this VM's own polls have ended."""
        if self.platform_answers():
            self.confirmed_s = self.loop.time()
        self.direct = False
        self.failing_polls.clear()

    def age_s(self) -> float:
        """Returns the age of what is known of the searchers."""
        if self.platform_answers():
            return 0.0
        return self.loop.time() - self.confirmed_s

    def age_ms(self) -> int | None:
        """Returns the age of what is known of the searchers, for logs."""
        age_s = self.age_s()
        return None if math.isinf(age_s) else round(age_s * 1000)

    def accept_searchers(
        self, rows: list[registry.Change], full: bool, age_s: float
    ) -> None:
        """Takes entries of searchers from another VM."""
        self.apply_changes(self.registry.accept(rows, full))
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
                    "configuration-older", version=version, present=present
                )
            return
        self.table = routes.create_table(configuration)
        self.applied_s = self.loop.time()
        _log.info(
            "configuration-taken",
            version=version,
            before=present,
            routes=len(configuration.routes),
        )
        self.known.configure(configuration)
        self.on_configuration(configuration)

    def apply_changes(self, changes: list[registry.Change]) -> None:
        """Hands changes of the registry to the searchers."""
        if changes:
            self.known.apply(changes, self.loop.time())
            self.on_searchers(changes)

    async def read_configuration(self) -> int:
        """Reads the configuration."""
        found = await self.source.read_configuration()
        self.apply_configuration(found.configuration)
        return found.revision

    async def watch_configuration(self, revision: int) -> int:
        """Waits for a newer configuration."""
        if not revision:
            await asyncio.sleep(retry.pause_s(1, random.random()))
            return await self.read_configuration()
        found = await self.source.watch_configuration(revision, POLL_WAIT_S)
        self.apply_configuration(found.configuration)
        return found.revision

    async def read_searchers(self) -> int:
        """Reads the entries of all searchers."""
        found = await self.source.read_searchers()
        if SEARCHERS in self.failing_polls:
            self.registry.outage_ended(self.loop.time())
        self.apply_changes(self.registry.replace(found.rows, self.loop.time()))
        self.searchers_read = True
        return found.revision

    async def watch_searchers(self, revision: int) -> int:
        """Waits for changed entries."""
        found = await self.source.watch_searchers(revision, POLL_WAIT_S)
        self.apply_changes(self.registry.apply(found.rows, self.loop.time()))
        return found.revision

    async def run_poll(self, link: Poll) -> None:
        """Polls for ever."""
        revision, attempt = None, 0
        while True:
            try:
                if revision is None:
                    revision = await link.read()
                else:
                    revision = await link.watch(revision)
            except errors.StoreHistoryError as error:
                _log.info("history-lost", link=link.name, reason=error.message)
                revision = None
            except errors.StoreError as error:
                self.note_poll_failure(link, error)
                revision = None
                await asyncio.sleep(
                    retry.pause_s(attempt, random.random(), MAX_RETRY_PAUSE_S)
                )
                attempt += 1
            else:
                attempt = 0
                self.note_poll_success(link)
                await asyncio.sleep(POLL_GAP_S)

    def note_poll_failure(self, link: Poll, error: errors.StoreError) -> None:
        """Notes a poll without an answer."""
        if link.name in self.failing_polls:
            return
        if link.name == SEARCHERS and self.searchers_read:
            self.confirmed_s = self.loop.time()
        self.failing_polls.add(link.name)
        _log.warning("platform-lost", link=link.name, reason=error.message)

    def note_poll_success(self, link: Poll) -> None:
        """Notes a poll that was answered."""
        if link.name in self.failing_polls:
            self.failing_polls.discard(link.name)
            _log.info("platform-regained", link=link.name)

    async def platform_reachable(self) -> bool:
        """Tells whether the platform answers now."""
        try:
            async with asyncio.timeout(PLATFORM_CHECK_TIMEOUT_S):
                await self.source.read_vms()
        except (errors.StoreError, TimeoutError):
            return False
        return True

    async def expire_entries(self) -> None:
        """Drops the entries that an outage explains no longer."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.apply_changes(self.registry.expire(self.loop.time()))

    async def maintain_vm_list(self) -> None:
        """Announces this VM and reads the list of all.

        The list is read before, so that a VM that starts among others knows
        them at once. One that doesn't poll the platform gets it otherwise.
        """
        attempt = 0
        while True:
            try:
                if self.direct:
                    await self.read_vms()
                if not self.announced:
                    await self.read_vms(first=True)
                    await asyncio.sleep(random.random() / 4)
                    await self.source.announce(self.me)
                    self.announced = True
                    await asyncio.sleep(FIRST_VM_LIST_DELAY_S)
                    await self.read_vms()
            except errors.StoreError as error:
                _log.info("vms-unknown", reason=error.message)
                await asyncio.sleep(retry.pause_s(attempt, random.random()))
                attempt += 1
                continue
            attempt = 0
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    def note_listed(self, listed: bool) -> None:
        """Notes whether a list of VMs names this one, which it should."""
        if self.announced and not listed:
            self.announced = False
            _log.warning("unlisted")

    async def read_vms(self, first: bool = False) -> None:
        """Reads the list of VMs.

        The first list of a process counts only where it names this VM, which
        then was there before: else the fleet may be starting, and the list
        names those that were quicker.
        """
        rows = await self.source.read_vms()
        if first and self.me["vm"] not in {row["vm"] for row in rows}:
            return
        if rows:
            self.on_vms(rows)

    def poll_loops(self) -> list[BackgroundLoop]:
        """Returns the loops that follow the platform."""
        configuration = Poll(
            CONFIGURATION, self.read_configuration, self.watch_configuration
        )
        searchers = Poll(SEARCHERS, self.read_searchers, self.watch_searchers)
        return [
            lambda: self.run_poll(configuration),
            lambda: self.run_poll(searchers),
        ]
