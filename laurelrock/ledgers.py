"""Ledgers on the platform: grouped conditional updates.

Each ledger that is in use has a writer with one platform call in flight.
Changes that arrive meanwhile join the next group. The writer keeps the ledger
that it saw last, so that a group costs one call where no other daemon wrote
the ledger; after a conflict it reads again. After a lost reply it reads again
and finds its attempts in the ledger, or does not.
"""

import asyncio
import collections.abc
import contextlib
import typing

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import ledger as ledgers
from laurelrock.ports import platform

__all__ = ["Ledgers", "Tuning"]

#: Changes of one group.
MAX_GROUP = 500
#: Changes that wait in one daemon; more are refused.
MAX_WAITING = 20_000
#: Failed calls in a row after which claims not yet written are refused.
MAX_FAILURES = 2
#: Seconds that a recorded outcome is kept for a platform that is down.
SETTLE_PATIENCE_S = 600.0
#: Writers whose last ledger is kept.
MAX_WRITERS = 64
#: Verdicts that a ledger seen earlier does not prove.
STALE_KINDS = ("pending", "unknown", "gone")

log = logs.get_logger(__name__)


class Tuning(typing.NamedTuple):
    """Pace of the writers, in seconds.

    Attributes:
        group: False writes each change alone.
        spacing_s: Least time between two writes of a ledger.
        linger_s: How long an outcome waits for a claim to share its write.
        backoff_s: First pause after a conflict or a failure; doubles.
        max_backoff_s: Longest pause.
    """

    group: bool = True
    spacing_s: float = 0.02
    linger_s: float = 0.1
    backoff_s: float = 0.01
    max_backoff_s: float = 1.0


class Waiting:
    """A change that waits for its verdict.

    Attributes:
        change: What to apply.
        verdict: Set when it is applied or given up.
        until_s: Loop time at which it is given up.
        written: Whether a write with it may have taken effect unseen.
    """

    def __init__(
        self,
        change: ledgers.Change,
        verdict: "asyncio.Future[ledgers.Verdict]",
        until_s: float,
    ) -> None:
        self.change = change
        self.verdict = verdict
        self.until_s = until_s
        self.written = False

    def give_up(self) -> None:
        """Fails the change, saying whether it may have been written."""
        if self.verdict.done():
            return
        if self.written:
            error: errors.LaurelrockError = errors.WriteUnsettledError(
                "the platform did not say whether it took the claim"
            )
        else:
            error = errors.PlatformError("the platform did not take the claim")
        self.verdict.set_exception(error)


class Writer:
    """State of the writes to one ledger.

    Attributes:
        index: Number of the ledger.
        seen: Version and contents seen last, None when not known.
        unsettled: Version that a write of unknown fate expected, or None.
        queue: Changes that wait, oldest first.
        wake: Set when a change is queued.
        task: Runs while changes wait.
        written_s: Loop time of the last write.
        failures: Platform failures in a row.
        tries: Conflicts and failures in a row.
    """

    def __init__(self, index: int) -> None:
        self.index = index
        self.seen: tuple[int, ledgers.Ledger] | None = None
        self.unsettled: int | None = None
        self.queue: list[Waiting] = []
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.written_s = -1.0
        self.failures = 0
        self.tries = 0


class Ledgers:
    """The ledgers as this daemon uses them.

    Attributes:
        platform: Where the ledgers are.
        random: Returns a number in 0..1, for jitter.
        tuning: Pace of the writers.
        writers: By number of the ledger, the last used last.
        waiting: Changes that wait.
        down_until_s: Loop time before which claims are refused at once.
        counts: Conflicts, failures and groups, for the metrics.
    """

    def __init__(
        self,
        store: platform.Platform,
        random: collections.abc.Callable[[], float],
        tuning: Tuning,
    ) -> None:
        self.platform = store
        self.random = random
        self.tuning = tuning
        self.writers: dict[int, Writer] = {}
        self.waiting = 0
        self.down_until_s = 0.0
        self.counts = {"conflict": 0, "failure": 0, "group": 0, "change": 0}

    def retry_after_s(self) -> float:
        """Returns when the platform will be tried again."""
        left_s = self.down_until_s - asyncio.get_running_loop().time()
        return max(left_s, self.tuning.backoff_s)

    async def submit(
        self, change: ledgers.Change, time_left_s: float
    ) -> ledgers.Verdict:
        """Applies a change.

        Raises:
            PlatformError: The change was certainly not written.
            WriteUnsettledError: The change may have been written.
        """
        loop = asyncio.get_running_loop()
        claims = isinstance(change, ledgers.Reserve)
        if claims and loop.time() < self.down_until_s:
            raise errors.PlatformError("the platform cannot be used now")
        if self.waiting >= MAX_WAITING:
            raise errors.PlatformError("too many changes wait")
        waiting = self.enqueue(change, loop.time() + time_left_s)
        timer = loop.call_later(time_left_s, waiting.give_up)
        try:
            return await waiting.verdict
        finally:
            timer.cancel()

    async def reserve(
        self, change: ledgers.Reserve, time_left_s: float
    ) -> ledgers.Verdict:
        """Claims a key; see `submit`."""
        return await self.submit(change, time_left_s)

    async def settle(self, change: ledgers.Settle) -> ledgers.Verdict:
        """Records the outcome of an attempt; see `submit`."""
        return await self.submit(change, SETTLE_PATIENCE_S)

    def hurry(self) -> None:
        """Lets outcomes wait no longer for a claim to share their write."""
        self.tuning = self.tuning._replace(linger_s=0.0)
        for writer in self.writers.values():
            writer.wake.set()

    def enqueue(self, change: ledgers.Change, until_s: float) -> Waiting:
        """Queues a change at its ledger's writer, and starts the writer."""
        loop = asyncio.get_running_loop()
        writer = self.writer(ledgers.index_of(change.key))
        waiting = Waiting(change, loop.create_future(), until_s)
        writer.queue.append(waiting)
        self.waiting += 1
        writer.wake.set()
        if writer.task is None:
            writer.task = loop.create_task(self.drain(writer))
        return waiting

    def writer(self, index: int) -> Writer:
        """Returns the writer of a ledger."""
        writer = self.writers.pop(index, None) or Writer(index)
        self.writers[index] = writer
        if len(self.writers) > MAX_WRITERS:
            idle = [w for w in self.writers.values() if w.task is None]
            for old in idle[: len(self.writers) - MAX_WRITERS]:
                del self.writers[old.index]
        return writer

    async def drain(self, writer: Writer) -> None:
        """Writes groups until no change waits."""
        try:
            while writer.queue:
                await self.pace(writer)
                self.expire(writer)
                if writer.queue:
                    await self.turn(writer)
        finally:
            writer.task = None

    async def pace(self, writer: Writer) -> None:
        """Waits until the next write of a ledger is due."""
        loop = asyncio.get_running_loop()
        due_s = writer.written_s + self.tuning.spacing_s
        if loop.time() < due_s:
            await asyncio.sleep(due_s - loop.time())
        until_s = loop.time() + self.tuning.linger_s
        while all(isinstance(w.change, ledgers.Settle) for w in writer.queue):
            if loop.time() >= until_s or not self.tuning.linger_s:
                break
            writer.wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until_s):
                    await writer.wake.wait()

    def expire(self, writer: Writer) -> None:
        """Gives up the changes whose time is over and forgets settled ones."""
        now_s = asyncio.get_running_loop().time()
        for waiting in writer.queue:
            if waiting.until_s <= now_s:
                waiting.give_up()
        self.forget(writer)

    def forget(self, writer: Writer) -> None:
        """Drops the changes that have their verdict."""
        before = len(writer.queue)
        writer.queue = [w for w in writer.queue if not w.verdict.done()]
        self.waiting -= before - len(writer.queue)

    async def turn(self, writer: Writer) -> None:
        """Tries once to apply what waits."""
        limit = MAX_GROUP if self.tuning.group else 1
        group = writer.queue[:limit]
        try:
            verdicts = await self.apply(writer, group)
        except errors.VersionConflictError:
            self.counts["conflict"] += 1
            writer.seen = None
        except errors.LaurelrockError as error:
            self.fail(writer, error)
        else:
            self.succeed(writer, group, verdicts)
            return
        await asyncio.sleep(self.backoff(writer))

    def succeed(
        self,
        writer: Writer,
        group: list[Waiting],
        verdicts: list[ledgers.Verdict],
    ) -> None:
        """Hands out the verdicts of a group."""
        writer.failures = writer.tries = 0
        self.down_until_s = 0.0
        self.counts["group"] += 1
        self.counts["change"] += len(group)
        for waiting, verdict in zip(group, verdicts, strict=True):
            if not waiting.verdict.done():
                waiting.verdict.set_result(verdict)
        self.forget(writer)

    def fail(self, writer: Writer, error: errors.LaurelrockError) -> None:
        """Takes a failed call: claims not yet written are refused soon."""
        self.counts["failure"] += 1
        writer.seen = None
        writer.failures += 1
        log.warning(
            "ledger call failed",
            ledger=writer.index,
            code=error.code,
            reason=error.message,
            failures=writer.failures,
        )
        if writer.failures < MAX_FAILURES:
            return
        pause_s = min(
            self.tuning.max_backoff_s,
            self.tuning.backoff_s * 2**writer.failures,
        )
        self.down_until_s = asyncio.get_running_loop().time() + pause_s
        for waiting in writer.queue:
            claims = isinstance(waiting.change, ledgers.Reserve)
            if claims and not waiting.written:
                waiting.give_up()
        self.forget(writer)

    def backoff(self, writer: Writer) -> float:
        """Returns the next pause, with jitter."""
        writer.tries += 1
        pause_s = self.tuning.backoff_s * 2 ** min(writer.tries - 1, 20)
        pause_s = min(pause_s, self.tuning.max_backoff_s)
        return pause_s * (0.5 + self.random() / 2)

    async def apply(
        self, writer: Writer, group: list[Waiting]
    ) -> list[ledgers.Verdict]:
        """Applies a group by one conditional update."""
        fresh = writer.seen is None
        version, held = writer.seen or await self.read(writer)
        changed, verdicts = self.judge(held, group)
        stale = any(v.kind in STALE_KINDS for v in verdicts)
        if changed is held and not fresh and stale:
            version, held = await self.read(writer)
            changed, verdicts = self.judge(held, group)
        if changed is not held or writer.unsettled is not None:
            await self.write(writer, group, version, changed)
        return verdicts

    def judge(
        self, held: ledgers.Ledger, group: list[Waiting]
    ) -> tuple[ledgers.Ledger, list[ledgers.Verdict]]:
        """Drops what was given up from a group and applies the rest."""
        group[:] = [w for w in group if not w.verdict.done()]
        return ledgers.apply(held, [waiting.change for waiting in group])

    async def read(self, writer: Writer) -> tuple[int, ledgers.Ledger]:
        """Reads a ledger; settles the fate of earlier writes if it can."""
        stored = await self.platform.get(ledgers.object_key(writer.index))
        if stored is None:
            seen = platform.ABSENT, ledgers.Ledger()
        else:
            seen = stored.version, ledgers.decode(stored.body)
        if writer.unsettled is not None and seen[0] > writer.unsettled:
            self.settled(writer)
        writer.seen = seen
        return seen

    def settled(self, writer: Writer) -> None:
        """Notes that no earlier write can take effect any more."""
        writer.unsettled = None
        for waiting in writer.queue:
            waiting.written = False

    async def write(
        self,
        writer: Writer,
        group: list[Waiting],
        version: int,
        changed: ledgers.Ledger,
    ) -> None:
        """Writes a ledger over the version that was seen.

        A write that raises `VersionConflictError` may yet have been preceded
        by a copy of itself, so its fate too is settled by the next read.
        """
        for waiting in group:
            waiting.written = True
        writer.unsettled = version
        writer.written_s = asyncio.get_running_loop().time()
        body = ledgers.encode(changed)
        key = ledgers.object_key(writer.index)
        written = await self.platform.put(key, body, version)
        self.settled(writer)
        writer.seen = written, changed
