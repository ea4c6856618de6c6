"""Forwards claims to peers over the bus and writes claims for peers.

`create_save_runner` assembles the components that run an entry's saves.
"""

import asyncio
import itertools
import random
import secrets
import time
import typing

from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import messages
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.saves import claim_routing
from laurelrock.saves import ledger_writers as writers
from laurelrock.saves import save_runner

__all__ = ["ClaimForwarder", "create_claim_forwarder", "create_save_runner"]

#: Length of the random id of an attempt.
ATTEMPT_BYTES = 12


class ClaimForwarder:
    """Sends and handles the bus messages about claims.

    Attributes:
        daemon: The process that the forwarder runs in.
        ledgers: Ledger access of this daemon.
        pending_replies: Futures of the awaited replies by query id.
        query_ids: Counter that generates query ids.
        dropped: Number of replies that matched no pending forwarded change.
    """

    def __init__(
        self, daemon: daemons.Daemon, ledgers: writers.LedgerWriters
    ) -> None:
        self.daemon = daemon
        self.ledgers = ledgers
        self.pending_replies: dict[
            str, asyncio.Future[messages.ClaimReply]
        ] = {}
        self.query_ids = itertools.count(1)
        self.dropped = 0

    async def forward(
        self, address: str, change: ledger.Change, time_left_s: float
    ) -> ledger.Outcome:
        """Has a peer submit a change and returns the ledger's outcome.

        Raises:
            PlatformError: The change was certainly not written.
            WriteUnsettledError: The change may have been written.
        """
        query_id = str(next(self.query_ids))
        loop = asyncio.get_running_loop()
        pending = self.pending_replies[query_id] = loop.create_future()
        message = self.message_of(change, query_id, time_left_s * 1000)
        try:
            if not self.daemon.bus.send(address, message):
                raise errors.PlatformError("the send queue to the peer is full")
            async with asyncio.timeout(time_left_s):
                return outcome_of(await pending)
        except TimeoutError:
            raise errors.WriteUnsettledError("peer reply timed out") from None
        finally:
            del self.pending_replies[query_id]

    def message_of(
        self, change: ledger.Change, query_id: str, time_left_ms: float
    ) -> messages.Claim | messages.ClaimOutcome:
        """Returns the message that carries a change."""
        start_id = self.daemon.start_id
        if isinstance(change, ledger.Reserve):
            return messages.Claim(query_id, start_id, time_left_ms, *change)
        return messages.ClaimOutcome(query_id, start_id, time_left_ms, *change)

    def on_reply(self, sender: bytes, reply: messages.ClaimReply) -> None:
        """Delivers a reply, or drops it if no change waits for it."""
        pending = self.pending_replies.get(reply.query_id)
        addressed_here = reply.start_id == self.daemon.start_id
        if pending is None or pending.done() or not addressed_here:
            self.dropped += 1
            return
        pending.set_result(reply)

    def on_claim(self, sender: bytes, message: messages.Claim) -> None:
        """Handles a peer's request to claim a key."""
        change = ledger.Reserve(message.key, message.attempt, message.digest)
        self.daemon.spawn(self.answer(sender, message, change))

    def on_outcome(self, sender: bytes, message: messages.ClaimOutcome) -> None:
        """Handles a peer's request to record an outcome."""
        state = typing.cast(ledger.State, message.state)
        change = ledger.Settle(
            message.key, message.attempt, state, message.result
        )
        self.daemon.spawn(self.answer(sender, message, change))

    async def answer(
        self,
        sender: bytes,
        message: messages.Claim | messages.ClaimOutcome,
        change: ledger.Change,
    ) -> None:
        """Submits a peer's change and sends the ledger's outcome."""
        time_left_s = message.time_left_ms / 1000
        try:
            outcome = await self.ledgers.submit(change, time_left_s)
        except errors.WriteUnsettledError:
            kind, claim = "unsettled", None
        except errors.PlatformError:
            kind, claim = "failed", None
        else:
            kind, claim = outcome.kind, outcome.claim
        reply = messages.ClaimReply(
            message.query_id, message.start_id, kind, *(claim or ())
        )
        self.daemon.bus.reply(sender, reply)


def outcome_of(reply: messages.ClaimReply) -> ledger.Outcome:
    """Returns the ledger's outcome that a reply carries.

    Raises:
        PlatformError: The peer certainly did not write the change.
        WriteUnsettledError: The peer may have written the change.
    """
    if reply.kind == "failed":
        raise errors.PlatformError("the peer could not write the claim")
    if reply.kind == "unsettled":
        raise errors.WriteUnsettledError("the peer could not confirm the write")
    kind = typing.cast(ledger.OutcomeKind, reply.kind)
    if not reply.state:
        return ledger.Outcome(kind)
    state = typing.cast(ledger.State, reply.state)
    claim = ledger.Claim(reply.attempt, reply.digest, state, reply.result)
    return ledger.Outcome(kind, claim)


def create_claim_forwarder(
    daemon: daemons.Daemon, ledgers: writers.LedgerWriters
) -> ClaimForwarder:
    """Returns a forwarder that receives messages from the daemon's bus."""
    forwarder = ClaimForwarder(daemon, ledgers)
    daemon.bus.on(messages.Claim, forwarder.on_claim)
    daemon.bus.on(messages.ClaimOutcome, forwarder.on_outcome)
    daemon.bus.on(messages.ClaimReply, forwarder.on_reply)
    return forwarder


def create_save_runner(daemon: daemons.Daemon) -> save_runner.SaveRunner:
    """Returns the `SaveRunner` of an entry, with its platform and peers."""
    ledgers = writers.LedgerWriters(
        daemon.platform, random.random, writers.Tuning()
    )
    vm = daemon.settings.vm
    own = members.Member(
        vm=vm.name,
        role="entry",
        address=f"{vm.address}:{daemon.settings.entry.bus_port}",
        failure_domain=vm.failure_domain,
        region=vm.region,
        start_id=daemon.start_id,
    )
    shared = claim_routing.ClaimRouter(
        ledgers,
        own,
        lambda: daemon.members.usable_members("entry"),
        create_claim_forwarder(daemon, ledgers).forward,
    )
    runner = save_runner.SaveRunner(
        shared,
        lambda: time.time() * 1000,
        lambda: secrets.token_bytes(ATTEMPT_BYTES),
    )
    _register_metrics(daemon, ledgers, shared, runner)
    return runner


def _register_metrics(
    daemon: daemons.Daemon,
    ledgers: writers.LedgerWriters,
    shared: claim_routing.ClaimRouter,
    runner: save_runner.SaveRunner,
) -> None:
    meters = daemon.metrics
    meters.counters(
        "laurelrock_saves", lambda: dict(runner.counts), "Saves by decision"
    )
    meters.counters(
        "laurelrock_claims", lambda: dict(shared.counts), "Claims by writer"
    )
    meters.counters(
        "laurelrock_ledger_calls",
        lambda: dict(ledgers.counts),
        "Groups, changes, conflicts and failures of ledgers",
    )
    meters.gauge(
        "laurelrock_ledger_waiting",
        lambda: ledgers.pending_count,
        "Claims and outcomes that wait for the platform",
    )
