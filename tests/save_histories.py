"""Explores orders of events and faults for saves by several daemons.

The daemons run the real `saves` and `ledger_writers` modules over an in-memory
platform, in virtual time. Whenever all tasks wait, a choice function selects
the next event: a call gets its response, fails or is lost; a daemon pauses,
continues or dies; a delayed write takes effect; or time passes.
`find_violations` checks the resulting history.
"""

import asyncio
import collections
import collections.abc
import random
import typing

from laurelrock import errors
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.saves import claim_routing
from laurelrock.saves import ledger_writers
from laurelrock.saves import save_runner
from tests import builders
from tests import memory_platform
from tests import virtual_time

ChoiceFunction = collections.abc.Callable[[int], int]
CreateSaves = collections.abc.Callable[
    [save_runner.ClaimStore, str], save_runner.SaveRunner
]

#: Number of steps after which a history is ended.
MAX_STEPS = 400
#: Deadline of every request, in seconds.
DEADLINE_S = 2.0


class CallerRequest(typing.NamedTuple):
    """Request of a caller.

    Attributes:
        daemon: Name of the daemon that receives the request.
        key: Idempotency key of the save.
        delay_s: Time until the request is sent, in seconds.
        body: Body of the save.
        caller: Name of the caller.
    """

    daemon: str
    key: str
    delay_s: float = 0.0
    body: bytes = b"1"
    caller: str = "c"


class PendingCall(typing.NamedTuple):
    """Pending call whose outcome the choice function decides.

    Attributes:
        daemon: Name of the daemon that makes the call.
        kind: Kind of the call: "read" or "put" at the platform; "send" to a
            searcher; "ask" and "told" for the request and the reply of a
            change that is forwarded to another daemon.
        outcome: Future of the outcome.
    """

    daemon: str
    kind: str
    outcome: "asyncio.Future[str]"


class Event(typing.NamedTuple):
    """Event of a history.

    Attributes:
        request_index: Index of the request.
        kind: "sent", "ran", "answered", "replayed", or an error response as
            "ran:code".
        result: Result of the save, if any.
    """

    request_index: int
    kind: str
    result: bytes = b""


class Simulation:
    """Simulation that produces one history.

    Attributes:
        requests: Requests of the callers.
        choose: Choice function; returns a number below its argument.
        faults_left: Number of faults and delays that may still be injected.
        pending_calls: Pending calls.
        paused: Names of paused daemons, which may continue.
        dead: Names of daemons that have ended.
        events: History so far.
        runs: Number of runs of the save, by idempotency key.
        steps: Number of steps so far.
        store: In-memory platform.
        loop: Event loop in virtual time.
        ledgers: Ledgers of each daemon.
        daemons: Saves of each daemon.
    """

    def __init__(
        self,
        requests: list[CallerRequest],
        make: CreateSaves,
        choose: ChoiceFunction,
        faults: int,
        forwards_claims: bool = False,
    ) -> None:
        self.requests = requests
        self.choose = choose
        self.faults_left = faults
        self.pending_calls: list[PendingCall] = []
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.events: list[Event] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.steps = 0
        self.store = memory_platform.MemoryStore(self.decide_fault)
        self.loop = virtual_time.VirtualLoop(self.on_idle)
        names = sorted({item.daemon for item in requests})
        self.ledgers = {name: self.open_ledgers(name) for name in names}
        stores = {
            name: self.open_store(name, forwards_claims) for name in names
        }
        self.daemons = {name: make(stores[name], name) for name in names}

    def open_ledgers(self, name: str) -> ledger_writers.LedgerWriters:
        port = memory_platform.MemoryPlatform(self.store, name)
        tuning = ledger_writers.Tuning(spacing_s=0.0, linger_s=0.0)
        return ledger_writers.LedgerWriters(port, lambda: 0.5, tuning)

    def open_store(
        self, name: str, forwards_claims: bool
    ) -> save_runner.ClaimStore:
        """Returns a daemon's claim store.

        If `forwards_claims` is true, claims are forwarded to their owners.
        """
        if not forwards_claims:
            return self.ledgers[name]
        entries = {
            peer: members.Member(peer, "entry", peer, peer, "r", "")
            for peer in self.ledgers
        }
        return claim_routing.ClaimRouter(
            self.ledgers[name],
            entries[name],
            lambda: list(entries.values()),
            lambda *ask: self.forward_change(name, *ask),
        )

    async def forward_change(
        self, name: str, peer: str, change: ledger.Change, time_left_s: float
    ) -> ledger.Outcome:
        """Forwards a change to a peer and returns its outcome.

        The request or the response may be lost.
        """
        unsettled = errors.WriteUnsettledError("the peer is unresponsive")
        fate = await self.wait_for_outcome(name, "ask")
        if fate == "down":
            await asyncio.sleep(time_left_s)
            raise unsettled
        work = self.loop.create_task(
            self.ledgers[peer].submit(change, time_left_s)
        )
        work.add_done_callback(lambda done: done.exception())
        try:
            async with asyncio.timeout(time_left_s):
                outcome = await asyncio.shield(work)
        except TimeoutError:
            raise unsettled from None
        if await self.wait_for_outcome(name, "told") != "ok":
            raise unsettled
        return outcome

    async def decide_fault(
        self, call: memory_platform.Call
    ) -> memory_platform.Fault:
        kind = "put" if call.method == "put" else "read"
        return typing.cast(
            memory_platform.Fault,
            await self.wait_for_outcome(call.caller, kind),
        )

    async def wait_for_outcome(self, daemon: str, kind: str) -> str:
        pending = PendingCall(daemon, kind, self.loop.create_future())
        self.pending_calls.append(pending)
        return await pending.outcome

    async def call_searcher(self, number: int) -> save_runner.Outcome:
        """Simulates the single call of a request to the searcher."""
        asked = self.requests[number]
        self.events.append(Event(number, "sent"))
        fate = await self.wait_for_outcome(asked.daemon, "send")
        if fate == "refused":
            return save_runner.Outcome("no")
        self.runs[asked.key] += 1
        result = str(self.runs[asked.key]).encode()
        self.events.append(Event(number, "ran", result))
        return save_runner.Outcome(
            "unknown" if fate == "lost" else "yes", result
        )

    async def send_request(self, number: int) -> None:
        asked = self.requests[number]
        await asyncio.sleep(asked.delay_s)
        request = save_runner.Request(
            str(number), "a", asked.caller, asked.key, asked.body, DEADLINE_S
        )
        run = self.daemons[asked.daemon].run
        try:
            answer = await run(request, lambda: self.call_searcher(number))
        except errors.RefusalError as refusal:
            event = Event(number, f"{refusal.ran}:{refusal.code}")
        else:
            what = "replayed" if answer.replayed else "answered"
            event = Event(number, what, answer.result)
        self.events.append(event)

    def possible_events(
        self, timeout: float | None
    ) -> list[tuple[str, typing.Any]]:
        """Returns the possible next events, those without a fault first."""
        ready = [
            pending
            for pending in self.pending_calls
            if pending.daemon not in self.paused | self.dead
        ]
        found = [("ok", pending) for pending in ready]
        if timeout is not None and (self.faults_left or not ready):
            found.append(("time", timeout))
        if not self.faults_left:
            return found + [("continue", name) for name in sorted(self.paused)]
        faults = {
            "read": ["down"],
            "put": ["down", "lost", "late"],
            "send": ["refused", "lost"],
            "ask": ["down"],
            "told": ["lost"],
        }
        for pending in ready:
            found += [(fault, pending) for fault in faults[pending.kind]]
        for name in sorted({pending.daemon for pending in ready}):
            found += [("pause", name), ("die", name)]
        found += [("continue", name) for name in sorted(self.paused)]
        return found + [("land", None)] * bool(self.store.delayed_writes)

    def on_idle(self, timeout: float | None) -> float:
        """Performs the next event; returns the seconds that time advances."""
        self.steps += 1
        found = self.possible_events(timeout)
        if not found or self.steps > MAX_STEPS:
            self.loop.stop()
            return 0.0
        what, about = found[self.choose(len(found))]
        if what == "time":
            self.faults_left -= any(option == "ok" for option, _ in found)
            return float(about)
        if what == "continue":
            self.paused.discard(about)
        elif what == "pause":
            self.paused.add(about)
        elif what == "die":
            self.dead.add(about)
        elif what == "land":
            self.store.apply_delayed_writes()
        else:
            self.pending_calls.remove(about)
            about.outcome.set_result(what)
        self.faults_left -= what not in ("ok", "continue")
        return 0.0

    def run(self) -> list[Event]:
        """Runs the simulation to its end and returns the history."""
        for number in range(len(self.requests)):
            self.loop.create_task(self.send_request(number))
        self.loop.run_forever()
        self.loop.idle_callback = virtual_time.skip_to_timer
        self.loop.finish()
        return self.events


def find_violations(
    requests: list[CallerRequest], events: list[Event]
) -> list[str]:
    """Returns descriptions of how a history violates the save guarantees."""
    violations = []
    ran: dict[str, list[Event]] = collections.defaultdict(list)
    for event in events:
        item, key = (
            requests[event.request_index],
            requests[event.request_index].key,
        )
        first = ran[key][0] if ran[key] else None
        own = [
            other
            for other in ran[key]
            if other.request_index == event.request_index
        ]
        ran_word, _, code = event.kind.partition(":")
        if event.kind == "ran":
            ran[key].append(event)
            if first:
                violations.append(f"{key} ran twice")
        elif event.kind in ("answered", "replayed"):
            if first is None or first.result != event.result:
                violations.append(f"{key}: {event.kind} with another result")
            elif requests[first.request_index].body != item.body:
                violations.append(f"{key}: {event.kind} for another body")
            elif requests[first.request_index].caller != item.caller:
                violations.append(f"{key}: {event.kind} to another caller")
        elif ran_word == "no" and own:
            violations.append(f"{key}: not run, said {code}, but it ran")
        elif ran_word == "yes" and not first:
            violations.append(f"{key}: run, said {code}, but it did not")
    refused = {
        event.request_index for event in events if event.kind.startswith("no:")
    }
    order = [(event.request_index, event.kind) for event in events]
    for number in refused:
        said = next(
            i
            for i, (n, w) in enumerate(order)
            if n == number and w[:3] == "no:"
        )
        if (number, "ran") in order[said:]:
            violations.append(
                f"{requests[number].key} ran after it was refused"
            )
    return violations


def prefer_no_faults(source: random.Random) -> ChoiceFunction:
    """Returns a random choice function that prefers events without a fault."""
    return lambda count: min(source.randrange(count) for _ in range(2))


def explore_histories(
    run: collections.abc.Callable[[ChoiceFunction], typing.Any], limit: int
) -> collections.abc.Iterator[typing.Any]:
    """Yields the result of `run` for every sequence of choices, up to `limit`.

    Args:
        run: Function that runs a history with a choice function.
        limit: Largest number of histories.
    """
    path: list[list[int]] = []
    for _ in range(limit):
        depth = 0

        def choose(count: int) -> int:
            nonlocal depth
            if depth == len(path):
                path.append([0, count])
            depth += 1
            return path[depth - 1][0]

        yield run(choose)
        while path and path[-1][0] + 1 == path[-1][1]:
            path.pop()
        if not path:
            return
        path[-1][0] += 1


def create_saves(
    store: save_runner.ClaimStore, name: str
) -> save_runner.SaveRunner:
    """Returns the save runner of a daemon, with deterministic identities."""
    identity = random.Random(name)
    return save_runner.SaveRunner(
        store, lambda: builders.NOW_MS, lambda: identity.randbytes(12)
    )
