"""Limits the requests of a workspace to its cap over all VMs.

The rate and the burst of a workspace are divided into equal shares, one for
each of its seats, which are the first VMs of a ranking. A seat lends its share
to a keeper for a limited time. The keeper
holds one token bucket for all shares lent to it and grants tokens to any VM.
A share is never in two hands, so that the sum over all VMs stays within the
bound whatever fails. A share that changes hands without its tokens gains only
its rate at first. Its burst follows after a window: what an earlier holder
granted is then outside of every window that contains it.

The bound of a window W is (r W + b) (1 + o) + s, with the rate r, the burst b,
the overage o and the slack s. It is used up as follows:

- r W + b + s/10: main buckets. The part s/10 raises small buckets to one token.
- o (r W + b): tokens leased in advance, and grants that are on their way.
- s/2: spare buckets, which serve while the main bucket is out of reach or
  has not yet filled.
- 0.35 s: start buckets, for which a VM has a share only in its first seconds.
  This part holds if a VM and the keeper that it reports to don't both start
  twice within three windows; a keeper fills the start share of a VM only once
  in that time.
- s/20: requests that single VMs admit if they reach no keeper.
"""

import collections.abc
import typing

from laurelrock.core import share_pools
from laurelrock.core import tenancy
from laurelrock.core import token_buckets

__all__ = [
    "Grant",
    "Keeper",
    "create_keeper",
    "pool_of",
]

#: Number of parts into which the workspaces are divided, each with a keeper.
SLOTS = 12
#: Number of VMs that have a share of a slot. A keeper's traffic grows with it,
#: but not with the number of VMs.
SEATS = 12
#: Kinds of a slot's pools of shares.
MAIN, SPARE, START = share_pools.MAIN, share_pools.SPARE, share_pools.START
#: Time in seconds for which a share is lent.
VALID_S = 2.0
#: Time in seconds by which a VM waits longer than `VALID_S` before it uses a
#: share again, for clocks that run at different speeds.
VALID_MARGIN_S = 0.1
#: Time in seconds after which a leased token may not be used any more.
LEASE_S = 1.0
#: Largest number of requests that one message asks tokens for.
MAX_ASKED = 1024


class Grant(typing.NamedTuple):
    """A keeper's decision about a request for tokens.

    Attributes:
        granted: Number of the waiting requests that may run.
        leased: Number of further tokens, which expire after `LEASE_S`.
        spare: Number of the other waiting requests that are within the cap and
            may run if there are spare tokens.
        turns_s: Times in seconds after which the remaining ones may return.
    """

    granted: int
    leased: int = 0
    spare: int = 0
    turns_s: list[float] = []


class Keeper:
    """The shares lent to this VM, and the tokens that they fill.

    Attributes:
        policy: How far caps may be exceeded.
        slots: The accounts of the capped workspaces, by slot.
        pools: The pools by number; see `pool_of`.
        slot_of: The slot of each capped workspace.
    """

    def __init__(self, policy: tenancy.CapPolicy) -> None:
        self.policy = policy
        self.slots: list[dict[str, share_pools.Account]] = [
            {} for _ in range(SLOTS)
        ]
        self.pools = [
            share_pools.Pool(kind, accounts, policy.window_s)
            for accounts in self.slots
            for kind in range(share_pools.KINDS)
        ]
        self.slot_of: dict[str, int] = {}

    def configure(
        self,
        workspaces: collections.abc.Iterable[tuple[int, tenancy.Workspace]],
        now_s: float,
    ) -> None:
        """Applies the capped workspaces, each with its slot."""
        self.drop_expired(now_s)
        rows = {row.name: (slot, row) for slot, row in workspaces}
        for name in [name for name in self.slot_of if name not in rows]:
            del self.slots[self.slot_of.pop(name)][name]
        for name, (slot, workspace) in rows.items():
            account = self.slots[slot].get(name)
            if account is None:
                account = share_pools.Account(workspace, self.policy, now_s)
                self.slots[slot][name] = account
                self.slot_of[name] = slot
                for kind in (MAIN, SPARE):
                    self.pools[pool_of(slot, kind)].lock_new(account, now_s)
            elif account.workspace != workspace:
                fraction = self.pools[pool_of(slot, MAIN)].fraction
                account.change(workspace, fraction, now_s)

    def set_shares(
        self,
        vm: str,
        pools: collections.abc.Collection[int],
        share: share_pools.Share,
        now_s: float,
        origins: dict[int, int] | None = None,
    ) -> None:
        """Records that a VM lends its share of some pools, and of no others.

        Args:
            vm: Name of the VM.
            pools: Numbers of the pools.
            share: The share.
            now_s: Current time, in seconds.
            origins: The processes that had the share before and left, by pool.
        """
        self.drop_expired(now_s)
        for number, pool in enumerate(self.pools):
            if number in pools and share.end_s > now_s:
                arrived = vm not in pool.shares
                pool.set_share(vm, share, now_s)
                if arrived and origins and number in origins:
                    pool.origins[vm] = origins[number]
                    pool.credit(vm, now_s)
            elif vm in pool.shares:
                pool.set_share(vm, None, now_s)

    def keeps(self, pool: int) -> bool:
        """Tells whether this VM has most shares of a pool."""
        return self.pools[pool].fraction > 0.5 + token_buckets.EPSILON

    def expect(
        self,
        process: int,
        pools: dict[int, tuple[float, dict[str, tuple[float, float]]]],
        now_s: float,
    ) -> None:
        """Records what a keeper that stops hands over.

        Args:
            process: Random number of its process.
            pools: The sum of shares and the tokens; see `Balance`.
            now_s: Current time, in seconds.
        """
        for number, (fraction, tokens) in pools.items():
            if 0 <= number < len(self.pools):
                balance = share_pools.Balance(fraction, tokens, now_s, {})
                self.pools[number].expect(process, balance, now_s)

    def lent_by(self, vm: str) -> list[int]:
        """Returns the pools of which this VM has another one's share."""
        return [n for n, pool in enumerate(self.pools) if vm in pool.shares]

    def drop_expired(self, now_s: float) -> None:
        """Removes the shares that are no longer lent."""
        for pool in self.pools:
            pool.drop_expired(now_s)

    def ask(
        self,
        vm: str,
        workspace: str,
        waiting: int,
        ahead: tuple[int, int],
        now_s: float,
    ) -> Grant | None:
        """Decides about a VM's request for tokens of the main bucket.

        Args:
            vm: Name of the VM.
            workspace: Name of the workspace.
            waiting: Number of waiting requests.
            ahead: Number of leased tokens that the VM wants for later requests,
                and the number that it holds.
            now_s: Current time, in seconds.

        Returns:
            The decision; None if the workspace isn't known.
        """
        account = self.refilled(workspace, now_s)
        if account is None:
            return None
        waiting = max(0, min(waiting, MAX_ASKED))
        main, ideal = account.main, account.ideal
        fraction = self.pools[pool_of(self.slot_of[workspace], MAIN)].fraction
        if main.tokens >= main.size(1.0):
            account.turns = token_buckets.create_turns()
        granted = main.take(waiting)
        ideal.tokens = max(0.0, ideal.tokens - granted)
        spare = ideal.take(waiting - granted)
        started = account.start.take(spare)
        granted, spare = granted + started, spare - started
        refused = waiting - granted - spare
        wait_s = max(0.0, 1.0 - ideal.tokens) / ideal.per_s
        turns_s = [
            account.turns.reserve(wait_s, ideal.per_s, now_s)
            for _ in range(refused)
        ]
        leased = 0
        if ahead != (0, 0) or vm in account.leases:
            wanted = ahead[0] if granted == waiting else 0
            leased = self.lease(account, vm, wanted, ahead[1], fraction, now_s)
        return Grant(granted, leased, spare, turns_s)

    def lease(
        self,
        account: share_pools.Account,
        vm: str,
        wanted: int,
        held: int,
        fraction: float,
        now_s: float,
    ) -> int:
        """Leases tokens for later requests if the bucket is well filled.

        A negative number means that the VM may no longer use those it holds,
        since this keeper doesn't know of them.
        """
        workspace, policy = account.workspace, self.policy
        others = account.leased(now_s)
        lent = account.leases.pop(vm, (0, 0.0))[0]
        if held > lent:
            return -1
        others -= lent
        per_s, burst = workspace.requests_per_s, workspace.burst
        limit = fraction * (
            policy.overage * (per_s * policy.window_s + burst)
            - per_s * share_pools.GRANT_VALID_S
        )
        main = account.main
        leased = 0
        pool = self.pools[pool_of(self.slot_of[workspace.name], MAIN)]
        # Tokens that an earlier holder of a share leased may still be in use.
        if now_s - pool.grown_s > LEASE_S:
            free = min(main.tokens - main.size(fraction) / 2, limit - others)
            leased = main.take(max(0, min(wanted, int(free - held))))
            account.ideal.tokens = max(0.0, account.ideal.tokens - leased)
        if held + leased:
            account.leases[vm] = (held + leased, now_s + LEASE_S)
        return leased

    def ask_spare(
        self, workspace: str, waiting: int, counted: bool, now_s: float
    ) -> Grant | None:
        """Decides about a request that the VM's main keeper didn't serve.

        Args:
            workspace: Name of the workspace.
            waiting: Number of waiting requests.
            counted: Whether a main keeper has counted them as within the cap.
            now_s: Current time, in seconds.

        Returns:
            The decision; None if the workspace isn't known.
        """
        account = self.refilled(workspace, now_s)
        if account is None:
            return None
        waiting = max(0, min(waiting, MAX_ASKED))
        granted = account.main.take(waiting)
        granted += account.spare.take(waiting - granted)
        if not counted:
            account.ideal.tokens = max(0.0, account.ideal.tokens - granted)
        per_s = account.workspace.requests_per_s
        turns_s = [
            account.turns.reserve(1.0 / per_s, per_s, now_s)
            for _ in range(waiting - granted)
        ]
        return Grant(granted, turns_s=turns_s)

    def give_back(
        self, vm: str, workspace: str, tokens: int, now_s: float
    ) -> None:
        """Returns leased tokens that a VM didn't use."""
        account = self.refilled(workspace, now_s)
        if account is None:
            return
        account.leased(now_s)
        lent = account.leases.pop(vm, (0, 0.0))[0]
        slot = self.slot_of[workspace]
        fraction = self.pools[pool_of(slot, MAIN)].fraction
        for bucket, part in ((account.main, fraction), (account.ideal, 1.0)):
            bucket.tokens += max(0, min(tokens, lent))
            bucket.refill(part, now_s)

    def refilled(
        self, workspace: str, now_s: float
    ) -> share_pools.Account | None:
        """Returns the account of a workspace with the tokens of now."""
        self.drop_expired(now_s)
        slot = self.slot_of.get(workspace)
        if slot is None:
            return None
        account = self.slots[slot][workspace]
        for kind in range(share_pools.KINDS):
            pool = self.pools[pool_of(slot, kind)]
            pool.bucket(account).refill(pool.fraction, now_s)
        account.ideal.refill(1.0, now_s)
        return account


def pool_of(slot: int, kind: int) -> int:
    """Returns the number of a slot's pool."""
    return share_pools.KINDS * slot + kind


def create_keeper(policy: tenancy.CapPolicy) -> Keeper:
    """Returns a keeper without shares or tokens."""
    return Keeper(policy)
