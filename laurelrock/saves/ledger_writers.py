"""Applies changes to the ledgers on the platform in grouped updates.

Each ledger in use has a writer with at most one platform call in flight.
Changes that arrive during a call join the next group. The writer caches the
ledger that it last read or wrote, so that a group costs one conditional
update if no other daemon wrote the ledger. After a conflict the writer reads
the ledger again. After a lost reply it also reads the ledger again, which
shows whether its changes were written.
"""

import asyncio
import collections.abc
import contextlib
import typing

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import ledger as ledgers
from laurelrock.ports import platform

__all__ = ["LedgerWriters", "Tuning"]

#: Maximum number of changes in one group.
MAX_GROUP = 500
#: Maximum number of pending changes in one daemon; more are rejected.
MAX_PENDING = 20_000
#: Consecutive failed calls after which unwritten claims are rejected.
MAX_FAILURES = 2
#: Time for which writing an outcome is retried while the platform is down.
OUTCOME_TIMEOUT_S = 600.0
#: Number of writers beyond which idle ones and their caches are dropped.
MAX_WRITERS = 64
#: Kinds of outcomes that need a fresh read, since a cached ledger does not
#: prove them.
KINDS_TO_RECHECK = ("pending", "unknown", "gone")

log = logs.get_logger(__name__)


class Tuning(typing.NamedTuple):
    """Timing and grouping of ledger writes.

    Attributes:
        group: Whether changes are grouped; False writes each one alone.
        spacing_s: Minimum time between two writes to a ledger.
        linger_s: Maximum time an outcome waits to share a write with a
            claim.
        backoff_s: First pause after a conflict or a failure; doubles.
        max_backoff_s: Maximum pause after a conflict or a failure.
    """

    group: bool = True
    spacing_s: float = 0.02
    linger_s: float = 0.1
    backoff_s: float = 0.01
    max_backoff_s: float = 1.0


class PendingChange:
    """A change that waits for its outcome.

    Attributes:
        change: The change to apply.
        outcome: Future that is resolved when the change is applied or given
            up.
        deadline_s: Event loop time at which the change is given up.
        may_be_written: Whether a write that includes the change may have
            taken effect without a reply.
    """

    def __init__(
        self,
        change: ledgers.Change,
        outcome: "asyncio.Future[ledgers.Outcome]",
        deadline_s: float,
    ) -> None:
        self.change = change
        self.outcome = outcome
        self.deadline_s = deadline_s
        self.may_be_written = False

    def give_up(self) -> None:
        """Fails the change with an error that says if it may be written."""
        if self.outcome.done():
            return
        if self.may_be_written:
            error: errors.LaurelrockError = errors.WriteUnsettledError(
                "the platform did not confirm that it wrote the change"
            )
        else:
            error = errors.PlatformError(
                "the platform did not write the change"
            )
        self.outcome.set_exception(error)


class Writer:
    """State of the writes to one ledger.

    Attributes:
        index: Number of the ledger.
        last_seen: Version and contents of the ledger when last read or
            written, or None if unknown.
        unsettled: Version that a write with an unknown result expected, or
            None.
        queue: Pending changes, oldest first.
        wake: Event that is set when a change is queued.
        task: Task that writes groups while changes are pending, or None.
        last_write_s: Event loop time of the last write.
        failures: Number of consecutive platform failures.
        retry_count: Number of consecutive conflicts and failures.
    """

    def __init__(self, index: int) -> None:
        self.index = index
        self.last_seen: tuple[int, ledgers.Ledger] | None = None
        self.unsettled: int | None = None
        self.queue: list[PendingChange] = []
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.last_write_s = -1.0
        self.failures = 0
        self.retry_count = 0


class LedgerWriters:
    """Ledger access of one daemon.

    Attributes:
        platform: The platform that stores the ledgers.
        random: Function that returns a number in 0..1, for jitter.
        tuning: Timing and grouping of writes.
        writers: Writers by ledger number, least recently used first.
        pending_count: Number of pending changes.
        unavailable_until_s: Event loop time before which claims are rejected
            at once.
        counts: Number of conflicts, failures, groups and changes, for
            metrics.
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
        self.pending_count = 0
        self.unavailable_until_s = 0.0
        self.counts = {"conflict": 0, "failure": 0, "group": 0, "change": 0}

    def retry_after_s(self) -> float:
        """Returns the seconds until the platform is tried again."""
        left_s = self.unavailable_until_s - asyncio.get_running_loop().time()
        return max(left_s, self.tuning.backoff_s)

    async def submit(
        self, change: ledgers.Change, time_left_s: float
    ) -> ledgers.Outcome:
        """Applies a change to its ledger and returns the outcome.

        Raises:
            PlatformError: The change was certainly not written.
            WriteUnsettledError: The change may have been written.
        """
        loop = asyncio.get_running_loop()
        is_claim = isinstance(change, ledgers.Reserve)
        if is_claim and loop.time() < self.unavailable_until_s:
            raise errors.PlatformError("the platform is unavailable")
        if self.pending_count >= MAX_PENDING:
            raise errors.PlatformError("too many pending changes")
        pending = self.enqueue(change, loop.time() + time_left_s)
        timer = loop.call_later(time_left_s, pending.give_up)
        try:
            return await pending.outcome
        finally:
            timer.cancel()

    async def reserve(
        self, change: ledgers.Reserve, time_left_s: float
    ) -> ledgers.Outcome:
        """Claims a key; see `submit`."""
        return await self.submit(change, time_left_s)

    async def settle(self, change: ledgers.Settle) -> ledgers.Outcome:
        """Records the outcome of an attempt; see `submit`."""
        return await self.submit(change, OUTCOME_TIMEOUT_S)

    def stop_batching(self) -> None:
        """Writes outcomes at once instead of batching them with claims."""
        self.tuning = self.tuning._replace(linger_s=0.0)
        for writer in self.writers.values():
            writer.wake.set()

    def enqueue(
        self, change: ledgers.Change, deadline_s: float
    ) -> PendingChange:
        """Queues a change at its ledger's writer and starts the writer."""
        loop = asyncio.get_running_loop()
        writer = self.writer(ledgers.index_of(change.key))
        pending = PendingChange(change, loop.create_future(), deadline_s)
        writer.queue.append(pending)
        self.pending_count += 1
        writer.wake.set()
        if writer.task is None:
            writer.task = loop.create_task(self.drain(writer))
        return pending

    def writer(self, index: int) -> Writer:
        """Returns the writer of a ledger, evicting old idle writers."""
        writer = self.writers.pop(index, None) or Writer(index)
        self.writers[index] = writer
        if len(self.writers) > MAX_WRITERS:
            idle = [w for w in self.writers.values() if w.task is None]
            for evicted in idle[: len(self.writers) - MAX_WRITERS]:
                del self.writers[evicted.index]
        return writer

    async def drain(self, writer: Writer) -> None:
        """Writes groups until no change is pending."""
        try:
            while writer.queue:
                await self.wait_until_due(writer)
                self.expire(writer)
                if writer.queue:
                    await self.write_group(writer)
        finally:
            writer.task = None

    async def wait_until_due(self, writer: Writer) -> None:
        """Waits until the next write to a ledger is due."""
        loop = asyncio.get_running_loop()
        due_s = writer.last_write_s + self.tuning.spacing_s
        if loop.time() < due_s:
            await asyncio.sleep(due_s - loop.time())
        deadline_s = loop.time() + self.tuning.linger_s
        while all(
            isinstance(pending.change, ledgers.Settle)
            for pending in writer.queue
        ):
            if loop.time() >= deadline_s or not self.tuning.linger_s:
                break
            writer.wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    await writer.wake.wait()

    def expire(self, writer: Writer) -> None:
        """Gives up changes past their deadline and removes completed ones."""
        now_s = asyncio.get_running_loop().time()
        for pending in writer.queue:
            if pending.deadline_s <= now_s:
                pending.give_up()
        self.remove_completed(writer)

    def remove_completed(self, writer: Writer) -> None:
        """Removes the changes that have an outcome from the queue."""
        before = len(writer.queue)
        writer.queue = [
            pending for pending in writer.queue if not pending.outcome.done()
        ]
        self.pending_count -= before - len(writer.queue)

    async def write_group(self, writer: Writer) -> None:
        """Tries once to apply a group of pending changes."""
        limit = MAX_GROUP if self.tuning.group else 1
        group = writer.queue[:limit]
        try:
            outcomes = await self.apply(writer, group)
        except errors.VersionConflictError:
            self.counts["conflict"] += 1
            writer.last_seen = None
        except errors.LaurelrockError as error:
            self.record_failure(writer, error)
        else:
            self.complete_group(writer, group, outcomes)
            return
        await asyncio.sleep(self.backoff(writer))

    def complete_group(
        self,
        writer: Writer,
        group: list[PendingChange],
        outcomes: list[ledgers.Outcome],
    ) -> None:
        """Delivers the outcomes of a group."""
        writer.failures = writer.retry_count = 0
        self.unavailable_until_s = 0.0
        self.counts["group"] += 1
        self.counts["change"] += len(group)
        for pending, outcome in zip(group, outcomes, strict=True):
            if not pending.outcome.done():
                pending.outcome.set_result(outcome)
        self.remove_completed(writer)

    def record_failure(
        self, writer: Writer, error: errors.LaurelrockError
    ) -> None:
        """Handles a failed call; repeated failures reject unwritten claims."""
        self.counts["failure"] += 1
        writer.last_seen = None
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
        self.unavailable_until_s = asyncio.get_running_loop().time() + pause_s
        for pending in writer.queue:
            is_claim = isinstance(pending.change, ledgers.Reserve)
            if is_claim and not pending.may_be_written:
                pending.give_up()
        self.remove_completed(writer)

    def backoff(self, writer: Writer) -> float:
        """Returns the next pause in seconds, with jitter."""
        writer.retry_count += 1
        pause_s = self.tuning.backoff_s * 2 ** min(writer.retry_count - 1, 20)
        pause_s = min(pause_s, self.tuning.max_backoff_s)
        return pause_s * (0.5 + self.random() / 2)

    async def apply(
        self, writer: Writer, group: list[PendingChange]
    ) -> list[ledgers.Outcome]:
        """Applies a group with one conditional update."""
        fresh = writer.last_seen is None
        version, current = writer.last_seen or await self.read(writer)
        changed, outcomes = self.apply_group(current, group)
        stale = any(outcome.kind in KINDS_TO_RECHECK for outcome in outcomes)
        if changed is current and not fresh and stale:
            version, current = await self.read(writer)
            changed, outcomes = self.apply_group(current, group)
        if changed is not current or writer.unsettled is not None:
            await self.write(writer, group, version, changed)
        return outcomes

    def apply_group(
        self, current: ledgers.Ledger, group: list[PendingChange]
    ) -> tuple[ledgers.Ledger, list[ledgers.Outcome]]:
        """Removes completed changes from a group and applies the others."""
        group[:] = [pending for pending in group if not pending.outcome.done()]
        return ledgers.apply(current, [pending.change for pending in group])

    async def read(self, writer: Writer) -> tuple[int, ledgers.Ledger]:
        """Reads a ledger and clears `unsettled` if its version has advanced."""
        stored = await self.platform.get(ledgers.object_key(writer.index))
        if stored is None:
            stored_state = platform.ABSENT, ledgers.Ledger()
        else:
            stored_state = stored.version, ledgers.decode(stored.body)
        if writer.unsettled is not None and stored_state[0] > writer.unsettled:
            self.clear_unsettled(writer)
        writer.last_seen = stored_state
        return stored_state

    def clear_unsettled(self, writer: Writer) -> None:
        """Records that no earlier write can take effect any more."""
        writer.unsettled = None
        for pending in writer.queue:
            pending.may_be_written = False

    async def write(
        self,
        writer: Writer,
        group: list[PendingChange],
        version: int,
        changed: ledgers.Ledger,
    ) -> None:
        """Writes a ledger if its version is still the given one.

        A write that raises `VersionConflictError` may have been preceded by
        a duplicate of itself, so only the next read shows its result.
        """
        for pending in group:
            pending.may_be_written = True
        writer.unsettled = version
        writer.last_write_s = asyncio.get_running_loop().time()
        body = ledgers.encode(changed)
        key = ledgers.object_key(writer.index)
        written = await self.platform.put(key, body, version)
        self.clear_unsettled(writer)
        writer.last_seen = written, changed
