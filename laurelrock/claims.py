"""Claims: which daemon writes a claim.

Each ledger has an owner among the entries of all regions, by rendezvous
hashing, so that claims of many entries share its writes. The ledgers of all
slots with the same part have the same owner, which keeps an entry's
connections few. Ownership only saves platform calls:
any daemon may write any ledger, and the version check decides. A daemon that
gets no answer from the owner writes the claim itself; one that is cut off
from the platform passes it through a peer.
"""

import asyncio
import collections.abc

from laurelrock import errors
from laurelrock import ledgers as writers
from laurelrock.adapters import logs
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.core import ownership

__all__ = ["Claims"]

#: Daemons tried for one claim: the owner, this one, the stand-by.
MAX_HOPS = 3
#: Longest wait for a peer's answer to a claim.
HOP_S = 0.3
#: Longest wait for a peer's answer to an outcome.
SETTLE_HOP_S = 2.0
#: Pause between rounds over the daemons that may record an outcome.
SETTLE_PAUSE_S = 1.0
#: Seconds for which a silent peer is not asked.
SUSPECT_S = 2.0

Ask = collections.abc.Callable[
    [str, ledger.Change, float],
    collections.abc.Coroutine[None, None, ledger.Verdict],
]

log = logs.get_logger(__name__)


class Claims:
    """Claims and outcomes of one entry, on their way to the ledgers.

    Attributes:
        local: The ledgers as this daemon uses them.
        own: This daemon as a member.
        peers: Returns the live entries.
        ask: Has a peer submit a change; raises what `Ledgers.submit` does.
            Silence counts as `WriteUnsettledError`.
        suspects: Loop time until which a peer is not asked, by address.
        counts: Changes by the kind of daemon that took them.
    """

    def __init__(
        self,
        local: writers.Ledgers,
        own: members.Member,
        peers: collections.abc.Callable[[], list[members.Member]],
        ask: Ask,
    ) -> None:
        self.local = local
        self.own = own
        self.peers = peers
        self.ask = ask
        self.suspects: dict[str, float] = {}
        self.counts = {"owner": 0, "own": 0, "stand-by": 0}

    def retry_after_s(self) -> float:
        """Returns when the platform will be tried again."""
        return self.local.retry_after_s()

    def hurry(self) -> None:
        """Lets outcomes wait no longer for a claim to share their write."""
        self.local.hurry()

    def hops(self, key: bytes) -> list[members.Member]:
        """Returns the daemons that may write a key's ledger, in order."""
        now_s = asyncio.get_running_loop().time()
        live = [self.own]
        for peer in self.peers():
            fresh = self.suspects.get(peer.address, now_s) <= now_s
            if peer.vm != self.own.vm and fresh:
                live.append(peer)
        part = ledger.index_of(key) % ledger.LEDGERS_PER_SLOT
        ranked = ownership.owners(f"ledger/{part}", live)
        rest = [peer for peer in ranked[1:] if peer is not self.own]
        if ranked[0] is self.own:
            return [self.own, *rest][:MAX_HOPS]
        return [ranked[0], self.own, *rest][:MAX_HOPS]

    async def at(
        self, hop: members.Member, change: ledger.Change, time_left_s: float
    ) -> ledger.Verdict:
        """Has one daemon submit a change."""
        if hop is self.own:
            return await self.local.submit(change, time_left_s)
        try:
            return await self.ask(hop.address, change, time_left_s)
        except errors.WriteUnsettledError:
            now_s = asyncio.get_running_loop().time()
            self.suspects[hop.address] = now_s + SUSPECT_S
            raise

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Verdict:
        """Claims a key; see `Ledgers.submit`.

        An attempt that asks several daemons holds at most one claim: each
        finds the attempt's own id in the ledger.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + time_left_s
        hops = self.hops(change.key)
        written = False
        for number, hop in enumerate(hops):
            share_s = (until_s - loop.time()) / (len(hops) - number)
            if hop is not self.own:
                share_s = min(share_s, HOP_S)
            try:
                verdict = await self.at(hop, change, share_s)
            except errors.WriteUnsettledError:
                written = True
            except errors.PlatformError:
                continue
            else:
                self.note(hop, number, change)
                return verdict
        if written:
            raise errors.WriteUnsettledError("no daemon answered for the claim")
        raise errors.PlatformError("no daemon reached the platform")

    async def settle(self, change: ledger.Settle) -> ledger.Verdict:
        """Records an outcome through whichever daemon can write it."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + writers.SETTLE_PATIENCE_S
        while loop.time() < until_s:
            for number, hop in enumerate(self.hops(change.key)):
                try:
                    verdict = await self.at(hop, change, SETTLE_HOP_S)
                except (errors.WriteUnsettledError, errors.PlatformError):
                    continue
                self.note(hop, number, change)
                return verdict
            await asyncio.sleep(SETTLE_PAUSE_S)
        raise errors.PlatformError("the outcome could not be recorded")

    def note(
        self, hop: members.Member, number: int, change: ledger.Change
    ) -> None:
        """Counts and logs which daemon wrote a change."""
        kind = "own" if hop is self.own else "stand-by" if number else "owner"
        self.counts[kind] += 1
        log.debug(
            "claim-route",
            key=change.key.hex(),
            ledger=ledger.index_of(change.key),
            chosen=hop.vm,
            kind=kind,
        )
