"""Saves: requests that run at most once.

A save's key is claimed in its ledger for this attempt before anything is
sent. An attempt that holds the claim runs the save once; the claim passes to
another attempt only after its own attempt recorded that the save certainly
was not run. What may be said at each point is in docs/design/saves.md.
"""

import asyncio
import collections.abc
import contextlib
import typing

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import ledger

__all__ = ["Answer", "Outcome", "Request", "Saves"]

#: First pause before a claim of another attempt is looked at again; doubles.
POLL_S = 0.05
MAX_POLL_S = 0.8
#: Time left below which a claimed save is not sent.
MIN_TIME_LEFT_S = 0.001
#: Seconds that a daemon that ends gives to recording outcomes.
CLOSE_S = 15.0

log = logs.get_logger(__name__)


class Request(typing.NamedTuple):
    """A save as the caller asked for it.

    Attributes:
        request_id: For logs.
        application: Name in the manifest.
        caller: Name in the manifest.
        key: The idempotency key's text.
        body: The save's body as JSON text.
        time_left_s: Until the caller's deadline.
    """

    request_id: str
    application: str
    caller: str
    key: str
    body: bytes
    time_left_s: float


class Outcome(typing.NamedTuple):
    """What became of the one run of a save.

    Attributes:
        ran: "no" only where it is certain.
        result: The searcher's result as JSON text.
        retry_after_s: When to come back, where it was not run.
    """

    ran: errors.Ran
    result: bytes = b""
    retry_after_s: float | None = None


class Answer(typing.NamedTuple):
    """A save that ran: its result, and whether an earlier attempt ran it."""

    result: bytes
    replayed: bool


Execute = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, Outcome]
]


class Attempt(typing.NamedTuple):
    """One attempt at a save.

    Attributes:
        request: As the caller asked.
        claim: What is to be written to the ledger.
        until_s: Loop time of the deadline.
    """

    request: Request
    claim: ledger.Reserve
    until_s: float

    def time_left_s(self) -> float:
        """Returns the time until the caller's deadline."""
        return self.until_s - asyncio.get_running_loop().time()


class Store(typing.Protocol):
    """Takes claims and outcomes; `ledgers.Ledgers` or `claims.Claims`."""

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Verdict:
        """Claims a key; see `ledgers.Ledgers.submit`."""

    async def settle(self, change: ledger.Settle) -> ledger.Verdict:
        """Records an outcome; see `ledgers.Ledgers.submit`."""

    def retry_after_s(self) -> float:
        """Returns when the platform will be tried again."""

    def hurry(self) -> None:
        """Lets outcomes wait no longer for a claim to share their write."""


class Saves:
    """Runs saves at most once.

    Attributes:
        store: Takes claims and outcomes.
        wall_ms: Returns the time since 1970.
        new_id: Returns the random id of an attempt.
        tasks: Attempts and records under way.
        counts: Outcomes by kind, for the metrics.
    """

    def __init__(
        self,
        store: Store,
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
            execute: Sends the save and waits for its outcome until the
                deadline. Called at most once. Raising anything but a
                `RefusalError` counts as an unknown outcome.

        Raises:
            BadRequestError: The key is no UUID of version 7.
            KeyConflictError: The key was used for another request.
            KeyExpiredError: The key is no longer kept.
            OutcomeUnknownError: It cannot be told whether the save ran.
            ResultNotKeptError: It ran, the result was not kept.
            NotReadyError: The platform did not take the claim; not run.
            DeadlineError: The time was over before it was sent; not run.
            OverloadedError: No searcher took it; not run.
        """
        key = ledger.parse_key(request.key)
        ledger.check_ahead(key, self.wall_ms())
        digest = ledger.digest_of(
            request.application, request.caller, request.body
        )
        claim = ledger.Reserve(key, self.new_id(), digest)
        until_s = asyncio.get_running_loop().time() + request.time_left_s
        attempt = Attempt(request, claim, until_s)
        return await asyncio.shield(self.start(self.follow(attempt, execute)))

    async def close(self, time_left_s: float = CLOSE_S) -> None:
        """Waits for the attempts under way and records their outcomes."""
        self.store.hurry()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_left_s):
                while self.tasks:
                    await asyncio.wait(self.tasks)
        if self.tasks:
            log.warning("outcomes left unrecorded", count=len(self.tasks))

    def start(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> asyncio.Task[typing.Any]:
        """Starts a task that a caller's going away does not cancel."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def follow(self, attempt: Attempt, execute: Execute) -> Answer:
        """Takes one attempt from its claim to its answer."""
        verdict = await self.claim(attempt)
        self.note(attempt, verdict.kind)
        if verdict.kind != "held":
            return replay(verdict)
        if attempt.time_left_s() < MIN_TIME_LEFT_S:
            self.record(attempt, "not-run")
            raise errors.DeadlineError("the deadline passed before the save")
        running = self.start(self.execute(attempt, execute))
        await asyncio.wait([running], timeout=attempt.time_left_s())
        if not running.done():
            raise unknown("no searcher answered in time")
        return answer_of(running.result())

    async def claim(self, attempt: Attempt) -> ledger.Verdict:
        """Claims the key; waits while another attempt holds it."""
        pause_s = POLL_S
        while True:
            verdict = await self.reserve(attempt)
            left_s = attempt.time_left_s()
            if verdict.kind != "pending" or left_s <= pause_s:
                return verdict
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_POLL_S, 2 * pause_s)

    async def reserve(self, attempt: Attempt) -> ledger.Verdict:
        """Asks for the claim once; gives it up if its fate is not known."""
        try:
            return await self.store.reserve(
                attempt.claim, attempt.time_left_s()
            )
        except errors.WriteUnsettledError as error:
            self.record(attempt, "not-run")
            raise self.not_ready(attempt, error) from error
        except errors.PlatformError as error:
            raise self.not_ready(attempt, error) from error

    def not_ready(
        self, attempt: Attempt, error: errors.LaurelrockError
    ) -> errors.NotReadyError:
        """Returns the refusal of a save that was not claimed or sent."""
        self.note(attempt, error.code)
        after_s = self.store.retry_after_s()
        message = "the save was not sent: " + error.message
        return errors.NotReadyError(message, "no", after_s)

    async def execute(
        self, attempt: Attempt, execute: Execute
    ) -> Outcome | errors.RefusalError:
        """Runs the save and records its outcome, however late it comes."""
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
        self.note(attempt, f"ran-{outcome.ran}")
        self.record(attempt, states[outcome.ran], result)
        return outcome

    def record(
        self, attempt: Attempt, state: ledger.State, result: bytes | None = None
    ) -> None:
        """Writes the outcome to the ledger, without waiting for it."""
        key, attempt_id = attempt.claim.key, attempt.claim.attempt
        self.start(self.settle(ledger.Settle(key, attempt_id, state, result)))

    async def settle(self, change: ledger.Settle) -> None:
        """Records an outcome; if that fails, the key stays claimed."""
        try:
            verdict = await self.store.settle(change)
        except errors.LaurelrockError as error:
            log.warning(
                "outcome not recorded",
                key=change.key.hex(),
                state=change.state,
                code=error.code,
            )
            self.count("record-failed")
        else:
            self.count(f"record-{verdict.kind}")

    def note(self, attempt: Attempt, decision: str) -> None:
        """Logs and counts what was decided about an attempt."""
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
        """Counts an outcome."""
        self.counts[kind] = self.counts.get(kind, 0) + 1


def unknown(message: str) -> errors.OutcomeUnknownError:
    """Returns the refusal of a save that may have run."""
    return errors.OutcomeUnknownError(message, "unknown")


def replay(verdict: ledger.Verdict) -> Answer:
    """Answers for a key that another attempt used; raises a refusal."""
    if verdict.kind == "conflict":
        message = "the key was used for another request"
        raise errors.KeyConflictError(message, "no")
    if verdict.kind == "expired":
        message = "the key is older than what is kept; it may have run"
        raise errors.KeyExpiredError(message, "unknown")
    if verdict.kind != "done" or verdict.claim is None:
        raise unknown("an earlier attempt with this key may have run")
    if verdict.claim.result is None:
        raise errors.ResultNotKeptError(
            "it ran; its result was not kept", "yes"
        )
    return Answer(verdict.claim.result, True)


def answer_of(outcome: Outcome | errors.RefusalError) -> Answer:
    """Answers for the run of a save; raises a refusal if it did not run."""
    if isinstance(outcome, errors.RefusalError):
        raise outcome
    if outcome.ran == "yes":
        return Answer(outcome.result, False)
    if outcome.ran == "unknown":
        raise unknown("the searcher's answer was lost")
    message = "no searcher took the save"
    raise errors.OverloadedError(message, "no", outcome.retry_after_s)
