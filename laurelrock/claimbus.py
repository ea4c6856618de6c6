"""Claims over the bus: asks a peer to write one, and writes for peers.

`create_saves` puts an entry's saves together.
"""

import asyncio
import itertools
import random
import secrets
import time
import typing

from laurelrock import claims
from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import ledgers as writers
from laurelrock import messages
from laurelrock import saves
from laurelrock.core import ledger
from laurelrock.core import members

__all__ = ["ClaimBus", "create_claim_bus", "create_saves"]

#: Size of the random id of an attempt.
ATTEMPT_BYTES = 12


class ClaimBus:
    """Both ends of the messages about claims.

    Attributes:
        daemon: Process that they run in.
        ledgers: The ledgers as this daemon uses them.
        waiting: Questions without a reply, by query id.
        ids: Source of query ids.
        dropped: Replies that matched no question.
    """

    def __init__(self, daemon: daemons.Daemon, store: writers.Ledgers) -> None:
        self.daemon = daemon
        self.ledgers = store
        self.waiting: dict[str, asyncio.Future[messages.ClaimReply]] = {}
        self.ids = itertools.count(1)
        self.dropped = 0

    async def ask(
        self, address: str, change: ledger.Change, time_left_s: float
    ) -> ledger.Verdict:
        """Has a peer submit a change; see `claims.Claims`."""
        query_id = str(next(self.ids))
        loop = asyncio.get_running_loop()
        waiting = self.waiting[query_id] = loop.create_future()
        message = self.message_of(change, query_id, time_left_s * 1000)
        try:
            if not self.daemon.bus.send(address, message):
                raise errors.PlatformError("the peer's queue is full")
            async with asyncio.timeout(time_left_s):
                return verdict_of(await waiting)
        except TimeoutError:
            raise errors.WriteUnsettledError("the peer is silent") from None
        finally:
            del self.waiting[query_id]

    def message_of(
        self, change: ledger.Change, query_id: str, time_left_ms: float
    ) -> messages.Claim | messages.ClaimOutcome:
        """Returns the message that carries a change."""
        start_id = self.daemon.start_id
        if isinstance(change, ledger.Reserve):
            return messages.Claim(query_id, start_id, time_left_ms, *change)
        return messages.ClaimOutcome(query_id, start_id, time_left_ms, *change)

    def on_reply(self, sender: bytes, reply: messages.ClaimReply) -> None:
        """Hands out a reply; one that matches no question is dropped."""
        waiting = self.waiting.get(reply.query_id)
        ours = reply.start_id == self.daemon.start_id
        if waiting is None or waiting.done() or not ours:
            self.dropped += 1
            return
        waiting.set_result(reply)

    def on_claim(self, sender: bytes, message: messages.Claim) -> None:
        """Claims a key for a peer."""
        change = ledger.Reserve(message.key, message.attempt, message.digest)
        self.daemon.spawn(self.answer(sender, message, change))

    def on_outcome(self, sender: bytes, message: messages.ClaimOutcome) -> None:
        """Records an outcome for a peer."""
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
        """Submits a peer's change and replies."""
        left_s = message.time_left_ms / 1000
        try:
            verdict = await self.ledgers.submit(change, left_s)
        except errors.WriteUnsettledError:
            kind, claim = "unsettled", None
        except errors.PlatformError:
            kind, claim = "failed", None
        else:
            kind, claim = verdict.kind, verdict.claim
        reply = messages.ClaimReply(
            message.query_id, message.start_id, kind, *(claim or ())
        )
        self.daemon.bus.reply(sender, reply)


def verdict_of(reply: messages.ClaimReply) -> ledger.Verdict:
    """Returns the verdict in a reply, or raises the failure in it."""
    if reply.kind == "failed":
        raise errors.PlatformError("the peer could not write the claim")
    if reply.kind == "unsettled":
        raise errors.WriteUnsettledError("the peer does not know")
    kind = typing.cast(ledger.Kind, reply.kind)
    if not reply.state:
        return ledger.Verdict(kind)
    state = typing.cast(ledger.State, reply.state)
    claim = ledger.Claim(reply.attempt, reply.digest, state, reply.result)
    return ledger.Verdict(kind, claim)


def create_claim_bus(
    daemon: daemons.Daemon, store: writers.Ledgers
) -> ClaimBus:
    """Returns the claims of an entry, connected to its bus."""
    claim_bus = ClaimBus(daemon, store)
    daemon.bus.on(messages.Claim, claim_bus.on_claim)
    daemon.bus.on(messages.ClaimOutcome, claim_bus.on_outcome)
    daemon.bus.on(messages.ClaimReply, claim_bus.on_reply)
    return claim_bus


def create_saves(daemon: daemons.Daemon) -> saves.Saves:
    """Returns the saves of an entry, over its platform and its peers."""
    store = writers.Ledgers(daemon.platform, random.random, writers.Tuning())
    vm = daemon.settings.vm
    own = members.Member(
        vm=vm.name,
        role="entry",
        address=f"{vm.address}:{daemon.settings.entry.bus_port}",
        failure_domain=vm.failure_domain,
        region=vm.region,
        start_id=daemon.start_id,
    )
    shared = claims.Claims(
        store,
        own,
        lambda: daemon.members.roster("entry"),
        create_claim_bus(daemon, store).ask,
    )
    created = saves.Saves(
        shared,
        lambda: time.time() * 1000,
        lambda: secrets.token_bytes(ATTEMPT_BYTES),
    )
    _register_metrics(daemon, store, shared, created)
    return created


def _register_metrics(
    daemon: daemons.Daemon,
    store: writers.Ledgers,
    shared: claims.Claims,
    created: saves.Saves,
) -> None:
    meters = daemon.metrics
    meters.counters(
        "laurelrock_saves", lambda: dict(created.counts), "Saves by decision"
    )
    meters.counters(
        "laurelrock_claims", lambda: dict(shared.counts), "Claims by writer"
    )
    meters.counters(
        "laurelrock_ledger_calls",
        lambda: dict(store.counts),
        "Groups, changes, conflicts and failures of ledgers",
    )
    meters.gauge(
        "laurelrock_ledger_waiting",
        lambda: store.waiting,
        "Claims and outcomes that wait for the platform",
    )
