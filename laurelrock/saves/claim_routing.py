"""Routes claims to the entry that owns their ledger.

Rendezvous hashing assigns each ledger an owner among the entries of all
regions, so that the claims of many entries share one write. Ledgers of all
time slots with the same part number have the same owner, which keeps the
number of connections of an entry small. Ownership only saves platform calls:
any daemon may write any ledger, and the platform's version check resolves
conflicts. A daemon that gets no reply from the owner writes the claim
itself. A daemon that cannot reach the platform forwards the claim to a peer.
"""

import asyncio
import collections.abc

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.core import ownership
from laurelrock.saves import ledger_writers as writers

__all__ = ["ClaimRouter"]

#: Maximum number of daemons tried for one change: the owner, this daemon and
#: the stand-by.
MAX_CANDIDATES = 3
#: Maximum wait for a peer's reply to a claim.
PEER_CLAIM_TIMEOUT_S = 0.3
#: Maximum wait for a peer's reply to an outcome.
PEER_OUTCOME_TIMEOUT_S = 2.0
#: Pause before the daemons are tried again to record an outcome.
OUTCOME_RETRY_PAUSE_S = 1.0
#: Time for which an unresponsive peer is not tried.
SUSPECT_S = 2.0

#: Has the peer at a bus address submit a change, within a number of seconds.
Ask = collections.abc.Callable[
    [str, ledger.Change, float],
    collections.abc.Coroutine[None, None, ledger.Outcome],
]

log = logs.get_logger(__name__)


class ClaimRouter:
    """Routes the claims and outcomes of one entry to the ledger owners.

    Attributes:
        local: Ledger access of this daemon.
        own_member: The membership record of this daemon.
        peers: Function that returns the live entries.
        ask: Function that has a peer submit a change. It raises
            `PlatformError` if the change was certainly not written and
            `WriteUnsettledError` if it may have been written or the peer did
            not reply in time.
        suspects: Event loop time until which a peer is not tried, by
            address.
        counts: Number of changes by the kind of daemon that wrote them.
    """

    def __init__(
        self,
        local: writers.LedgerWriters,
        own_member: members.Member,
        peers: collections.abc.Callable[[], list[members.Member]],
        ask: Ask,
    ) -> None:
        self.local = local
        self.own_member = own_member
        self.peers = peers
        self.ask = ask
        self.suspects: dict[str, float] = {}
        self.counts = {"owner": 0, "own": 0, "stand-by": 0}

    def retry_after_s(self) -> float:
        """Returns the seconds until the platform is tried again."""
        return self.local.retry_after_s()

    def stop_batching(self) -> None:
        """Writes outcomes at once instead of batching them with claims."""
        self.local.stop_batching()

    def candidate_writers(self, key: bytes) -> list[members.Member]:
        """Returns the daemons to try for a key's ledger, in order."""
        now_s = asyncio.get_running_loop().time()
        live = [self.own_member]
        for peer in self.peers():
            responsive = self.suspects.get(peer.address, now_s) <= now_s
            if peer.vm != self.own_member.vm and responsive:
                live.append(peer)
        part = ledger.index_of(key) % ledger.LEDGERS_PER_SLOT
        ranked = ownership.owners(f"ledger/{part}", live)
        rest = [peer for peer in ranked[1:] if peer is not self.own_member]
        if ranked[0] is self.own_member:
            return [self.own_member, *rest][:MAX_CANDIDATES]
        return [ranked[0], self.own_member, *rest][:MAX_CANDIDATES]

    async def at(
        self, member: members.Member, change: ledger.Change, time_left_s: float
    ) -> ledger.Outcome:
        """Submits a change at one daemon, this one or a peer."""
        if member is self.own_member:
            return await self.local.submit(change, time_left_s)
        try:
            return await self.ask(member.address, change, time_left_s)
        except errors.WriteUnsettledError:
            now_s = asyncio.get_running_loop().time()
            self.suspects[member.address] = now_s + SUSPECT_S
            raise

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Outcome:
        """Claims a key and returns the ledger's outcome.

        An attempt that tries several daemons holds at most one claim, since
        each of them finds the id of the attempt in the ledger.

        Raises:
            PlatformError: The change was certainly not written.
            WriteUnsettledError: The change may have been written.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + time_left_s
        candidate_writers = self.candidate_writers(change.key)
        may_be_written = False
        for position, member in enumerate(candidate_writers):
            timeout_s = (deadline_s - loop.time()) / (
                len(candidate_writers) - position
            )
            if member is not self.own_member:
                timeout_s = min(timeout_s, PEER_CLAIM_TIMEOUT_S)
            try:
                outcome = await self.at(member, change, timeout_s)
            except errors.WriteUnsettledError:
                may_be_written = True
            except errors.PlatformError:
                continue
            else:
                self.record_route(member, position, change)
                return outcome
        if may_be_written:
            raise errors.WriteUnsettledError("no daemon answered for the claim")
        raise errors.PlatformError("no daemon reached the platform")

    async def settle(self, change: ledger.Settle) -> ledger.Outcome:
        """Records an outcome through any daemon that can write it.

        Raises:
            PlatformError: The outcome was not confirmed within
                `ledger_writers.OUTCOME_TIMEOUT_S`; it may still have been
                written.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + writers.OUTCOME_TIMEOUT_S
        while loop.time() < deadline_s:
            for position, member in enumerate(
                self.candidate_writers(change.key)
            ):
                try:
                    outcome = await self.at(
                        member, change, PEER_OUTCOME_TIMEOUT_S
                    )
                except (errors.WriteUnsettledError, errors.PlatformError):
                    continue
                self.record_route(member, position, change)
                return outcome
            await asyncio.sleep(OUTCOME_RETRY_PAUSE_S)
        raise errors.PlatformError("the outcome could not be recorded")

    def record_route(
        self, member: members.Member, position: int, change: ledger.Change
    ) -> None:
        """Logs and counts which daemon wrote a change."""
        kind = (
            "own"
            if member is self.own_member
            else "stand-by"
            if position
            else "owner"
        )
        self.counts[kind] += 1
        log.debug(
            "claim-route",
            key=change.key.hex(),
            ledger=ledger.index_of(change.key),
            chosen=member.vm,
            kind=kind,
        )
