"""Runs saves at most once.

Before a save is sent, its idempotency key is claimed in a ledger for one
attempt. The attempt that holds the claim sends the save once. Another attempt
can take over the claim only after the holder recorded that the save certainly
did not run. docs/design/saves.md describes what callers may be told at each
point.
"""

import asyncio
import collections.abc
import contextlib
import typing

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import ledger

__all__ = ["Answer", "Outcome", "Request", "SaveRunner"]

#: First pause before a key held by another attempt is claimed again; doubles.
FIRST_POLL_S = 0.05
#: Maximum pause between two attempts to claim a key.
MAX_POLL_S = 0.8
#: Minimum remaining time for sending a claimed save.
MIN_TIME_LEFT_S = 0.001
#: Maximum time for recording outcomes during shutdown.
CLOSE_TIMEOUT_S = 15.0

log = logs.get_logger(__name__)


class Request(typing.NamedTuple):
    """A save as requested by a caller.

    Attributes:
        request_id: Request id for logs.
        application: Name of the application in the manifest.
        caller: Name of the caller in the manifest.
        key: Idempotency key in its textual form.
        body: Body of the save as JSON text.
        time_left_s: Time until the caller's deadline, in seconds.
    """

    request_id: str
    application: str
    caller: str
    key: str
    body: bytes
    time_left_s: float


class Outcome(typing.NamedTuple):
    """The outcome of sending a save.

    Attributes:
        ran: Whether the save ran; "no" only if that is certain.
        result: The searcher's result as JSON text.
        retry_after_s: Seconds until a retry makes sense if the save did not
            run, or None.
    """

    ran: errors.Ran
    result: bytes = b""
    retry_after_s: float | None = None


class Answer(typing.NamedTuple):
    """The answer for a save that ran.

    Attributes:
        result: The searcher's result as JSON text.
        replayed: Whether an earlier attempt ran the save.
    """

    result: bytes
    replayed: bool


#: Sends a claimed save and returns its outcome; see `SaveRunner.run`.
Execute = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, Outcome]
]


class Attempt(typing.NamedTuple):
    """One attempt at a save.

    Attributes:
        request: The caller's request.
        claim: The claim on the key, as written to the ledger.
        deadline_s: Event loop time of the deadline, in seconds.
    """

    request: Request
    claim: ledger.Reserve
    deadline_s: float

    def time_left_s(self) -> float:
        """Returns the time until the caller's deadline, in seconds."""
        return self.deadline_s - asyncio.get_running_loop().time()


class ClaimStore(typing.Protocol):
    """Stores claims and outcomes, directly or through other daemons."""

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Outcome:
        """Claims a key and returns the ledger's outcome.

        Raises:
            PlatformError: The change was certainly not written.
            WriteUnsettledError: The change may have been written.
        """

    async def settle(self, change: ledger.Settle) -> ledger.Outcome:
        """Records an outcome and returns the ledger's outcome.

        Raises:
            LaurelrockError: Writing the outcome was not confirmed.
        """

    def retry_after_s(self) -> float:
        """Returns the seconds until the platform is tried again."""

    def stop_batching(self) -> None:
        """Writes outcomes at once instead of batching them with claims."""


class SaveRunner:
    """Runs saves at most once.

    Attributes:
        store: Store of claims and outcomes.
        wall_ms: Function that returns the Unix time in milliseconds.
        new_id: Function that returns a random attempt id.
        tasks: Tasks of running attempts and of outcomes being recorded.
        counts: Number of decisions and outcomes by kind, for metrics.
    """

    def __init__(
        self,
        store: ClaimStore,
        wall_ms: collections.abc.Callable[[], float],
        new_id: collections.abc.Callable[[], bytes],
    ) -> None:
        self.store = store
        self.wall_ms = wall_ms
        self.new_id = new_id
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        self.counts: dict[str, int] = {}

    async def run(self, request: Request, execute: Execute) -> Answer:
        """Claims a save's key, runs it, and records its outcome.

        Args:
            request: The save.
            execute: Function that sends the save and waits for its outcome
                until the deadline. It is called at most once. An exception
                other than `RefusalError` counts as an unknown outcome.

        Raises:
            BadRequestError: The key is not a version 7 UUID.
            KeyConflictError: The key was used for another request.
            KeyExpiredError: The key is older than the retention period.
            OutcomeUnknownError: It is unknown whether the save ran.
            ResultNotKeptError: The save ran, but its result was not kept.
            NotReadyError: The claim was not stored; the save did not run.
            DeadlineError: The deadline passed before the save was sent; it
                did not run.
            OverloadedError: No searcher accepted the save; it did not run.
        """
        key = ledger.parse_key(request.key)
        ledger.check_key_time(key, self.wall_ms())
        digest = ledger.digest_of(
            request.application, request.caller, request.body
        )
        claim = ledger.Reserve(key, self.new_id(), digest)
        deadline_s = asyncio.get_running_loop().time() + request.time_left_s
        attempt = Attempt(request, claim, deadline_s)
        return await asyncio.shield(
            self.spawn(self.run_attempt(attempt, execute))
        )

    async def close(self, time_left_s: float = CLOSE_TIMEOUT_S) -> None:
        """Waits for running attempts and for their outcomes to be recorded."""
        self.store.stop_batching()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_left_s):
                while self.tasks:
                    await asyncio.wait(self.tasks)
        if self.tasks:
            log.warning("outcomes left unrecorded", count=len(self.tasks))

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> asyncio.Task[typing.Any]:
        """Starts a task that continues if the caller disconnects."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run_attempt(self, attempt: Attempt, execute: Execute) -> Answer:
        """Claims the key, runs the save if claimed, and returns the answer."""
        ledger_outcome = await self.claim(attempt)
        self.record_decision(attempt, ledger_outcome.kind)
        if ledger_outcome.kind != "held":
            return answer_from_ledger(ledger_outcome)
        if attempt.time_left_s() < MIN_TIME_LEFT_S:
            self.record_outcome(attempt, "not-run")
            raise errors.DeadlineError("the deadline passed before the save")
        running = self.spawn(self.execute(attempt, execute))
        await asyncio.wait([running], timeout=attempt.time_left_s())
        if not running.done():
            raise unknown_outcome("no searcher answered in time")
        return answer_of(running.result())

    async def claim(self, attempt: Attempt) -> ledger.Outcome:
        """Claims the key, waiting while another attempt holds it."""
        pause_s = FIRST_POLL_S
        while True:
            ledger_outcome = await self.reserve(attempt)
            time_left_s = attempt.time_left_s()
            if ledger_outcome.kind != "pending" or time_left_s <= pause_s:
                return ledger_outcome
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_POLL_S, 2 * pause_s)

    async def reserve(self, attempt: Attempt) -> ledger.Outcome:
        """Tries to claim the key once.

        If the claim may have been written, it is released by recording that
        the save did not run.
        """
        try:
            return await self.store.reserve(
                attempt.claim, attempt.time_left_s()
            )
        except errors.WriteUnsettledError as error:
            self.record_outcome(attempt, "not-run")
            raise self.not_ready(attempt, error) from error
        except errors.PlatformError as error:
            raise self.not_ready(attempt, error) from error

    def not_ready(
        self, attempt: Attempt, error: errors.LaurelrockError
    ) -> errors.NotReadyError:
        """Returns the refusal for a save that was not claimed and not sent."""
        self.record_decision(attempt, error.code)
        after_s = self.store.retry_after_s()
        message = "the save was not sent: " + error.message
        return errors.NotReadyError(message, "no", after_s)

    async def execute(
        self, attempt: Attempt, execute: Execute
    ) -> Outcome | errors.RefusalError:
        """Runs the save and records its outcome, even after the deadline."""
        outcome: Outcome | errors.RefusalError
        try:
            outcome = await execute()
        except errors.RefusalError as refusal:
            outcome = refusal
        except Exception as error:
            log.error("save failed", error=repr(error))
            outcome = Outcome("unknown")
        states: dict[errors.Ran, ledger.State]
        states = {"yes": "done", "no": "not-run", "unknown": "unknown"}
        result = outcome.result if isinstance(outcome, Outcome) else None
        self.record_decision(attempt, f"ran-{outcome.ran}")
        self.record_outcome(attempt, states[outcome.ran], result)
        return outcome

    def record_outcome(
        self, attempt: Attempt, state: ledger.State, result: bytes | None = None
    ) -> None:
        """Starts writing the outcome to the ledger in the background."""
        key, attempt_id = attempt.claim.key, attempt.claim.attempt
        self.spawn(self.settle(ledger.Settle(key, attempt_id, state, result)))

    async def settle(self, change: ledger.Settle) -> None:
        """Writes an outcome to the store; on failure the key stays claimed."""
        try:
            ledger_outcome = await self.store.settle(change)
        except errors.LaurelrockError as error:
            log.warning(
                "outcome not recorded",
                key=change.key.hex(),
                state=change.state,
                code=error.code,
            )
            self.count("record-failed")
        else:
            self.count(f"record-{ledger_outcome.kind}")

    def record_decision(self, attempt: Attempt, decision: str) -> None:
        """Logs and counts a decision about an attempt."""
        self.count(decision)
        log.info(
            "save",
            decision=decision,
            request_id=attempt.request.request_id,
            application=attempt.request.application,
            key=attempt.request.key,
            attempt=attempt.claim.attempt.hex(),
            ledger=ledger.index_of(attempt.claim.key),
            time_left_ms=round(attempt.time_left_s() * 1000, 1),
        )

    def count(self, kind: str) -> None:
        """Increments the count of a decision or outcome."""
        self.counts[kind] = self.counts.get(kind, 0) + 1


def unknown_outcome(message: str) -> errors.OutcomeUnknownError:
    """Returns the refusal for a save that may have run."""
    return errors.OutcomeUnknownError(message, "unknown")


def answer_from_ledger(ledger_outcome: ledger.Outcome) -> Answer:
    """Returns the answer for a key that another attempt used.

    Raises:
        RefusalError: The ledger holds no result that may be replayed.
    """
    if ledger_outcome.kind == "conflict":
        message = "the key was used for another request"
        raise errors.KeyConflictError(message, "no")
    if ledger_outcome.kind == "expired":
        message = "the key is older than what is kept; it may have run"
        raise errors.KeyExpiredError(message, "unknown")
    if ledger_outcome.kind != "done" or ledger_outcome.claim is None:
        raise unknown_outcome("an earlier attempt with this key may have run")
    if ledger_outcome.claim.result is None:
        raise errors.ResultNotKeptError(
            "it ran; its result was not kept", "yes"
        )
    return Answer(ledger_outcome.claim.result, True)


def answer_of(outcome: Outcome | errors.RefusalError) -> Answer:
    """Returns the answer for the outcome of a save.

    Raises:
        RefusalError: The save did not run, or it is unknown whether it ran.
    """
    if isinstance(outcome, errors.RefusalError):
        raise outcome
    if outcome.ran == "yes":
        return Answer(outcome.result, False)
    if outcome.ran == "unknown":
        raise unknown_outcome("the searcher's answer was lost")
    message = "no searcher took the save"
    raise errors.OverloadedError(message, "no", outcome.retry_after_s)
