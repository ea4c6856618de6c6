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
import math
import typing

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
MAIN, SPARE, START = 0, 1, 2
KINDS = 3
#: Time in seconds for which a share is lent.
VALID_S = 2.0
#: Time in seconds by which a VM waits longer than `VALID_S` before it uses a
#: share again, for clocks that run at different speeds.
VALID_MARGIN_S = 0.1
#: Time in seconds after which a leased token may not be used any more.
LEASE_S = 1.0
#: Time in seconds after the request for it within which a token that was
#: granted to a waiting request is used. A VM that stood still for a moment may
#: still use what a keeper granted in time.
GRANT_VALID_S = 0.2
#: Fractions of the slack for the spare buckets, for the start buckets, and for
#: main buckets that would be smaller than one token.
SPARE_FRACTION, START_FRACTION, ROUNDING_FRACTION = 0.5, 0.35, 0.1
#: Number of windows after which a keeper fills the start share of the same VM
#: again. A start share ends within two windows, so that no window contains
#: tokens of both.
START_WINDOWS = 3
#: Size of the spare bucket, as a fraction of the spare tokens of a window. It
#: has to last until shares that were lent to a dead keeper are back.
SPARE_SIZE_FRACTION = 0.6
#: Factor on times after which buckets are full, for clocks that run at
#: different speeds.
LOCK_MARGIN = 1.01
#: Time in seconds for which the balances of a keeper that left are kept.
BALANCE_VALID_S = 5.0
#: Largest number of requests that one message asks tokens for.
MAX_ASKED = 1024


class Share(typing.NamedTuple):
    """A VM's share that is lent to a keeper.

    Attributes:
        fraction: Fraction of rate and burst.
        end_s: Time at which it is no longer lent, in seconds.
    """

    fraction: float
    end_s: float


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


class Balance(typing.NamedTuple):
    """The tokens of a pool whose keeper left.

    Attributes:
        fraction: Sum of the shares that it had.
        tokens: Tokens of its bucket and of its ideal bucket, by workspace.
        end_s: Time after which shares arrive without tokens, in seconds.
        credited: Parts that have arrived with their shares, by VM.
    """

    fraction: float
    tokens: dict[str, tuple[float, float]]
    end_s: float
    credited: dict[str, float]


class Account:
    """What the keeper knows of one workspace.

    Attributes:
        workspace: The workspace with its cap.
        main: The bucket of its rate and burst.
        spare: The bucket of the slack.
        start: The bucket of VMs that have just started; it isn't refilled.
        ideal: The bucket that one VM would have that served all requests and
            never failed. It tells which requests are within the cap.
        turns: The turns of refused callers.
        leases: Leased tokens and the times at which they expire, by VM.
    """

    def __init__(
        self,
        workspace: tenancy.Workspace,
        policy: tenancy.CapPolicy,
        now_s: float,
    ) -> None:
        self.workspace = workspace
        per_s, burst = workspace.requests_per_s, workspace.burst
        rounding = policy.slack * ROUNDING_FRACTION
        self.main = token_buckets.create_bucket(per_s, burst, rounding, now_s)
        # The bucket's size and what it gains in a window add up to the spare
        # tokens of a window.
        spare = policy.slack * SPARE_FRACTION
        size = spare * SPARE_SIZE_FRACTION
        self.spare = token_buckets.create_bucket(
            (spare - size) / policy.window_s, size, 0.0, now_s
        )
        self.start = token_buckets.create_bucket(
            0.0, policy.slack * START_FRACTION, 0.0, now_s
        )
        self.ideal = token_buckets.create_bucket(per_s, burst, rounding, now_s)
        self.ideal.tokens = self.ideal.size(1.0)
        self.turns = token_buckets.create_turns()
        self.leases: dict[str, tuple[int, float]] = {}

    def change(
        self, workspace: tenancy.Workspace, fraction: float, now_s: float
    ) -> None:
        """Applies a changed cap; no tokens are added."""
        self.workspace = workspace
        for bucket, part in ((self.main, fraction), (self.ideal, 1.0)):
            bucket.refill(part, now_s)
            bucket.per_s = workspace.requests_per_s
            bucket.burst = workspace.burst
            bucket.refill(part, now_s)
        self.turns = token_buckets.create_turns()

    def leased(self, now_s: float) -> int:
        """Returns the number of leased tokens that may still be used."""
        for vm in [vm for vm, row in self.leases.items() if row[1] <= now_s]:
            del self.leases[vm]
        return sum(tokens for tokens, _ in self.leases.values())


class Pool:
    """The shares of one slot that are lent to this VM.

    Attributes:
        kind: `MAIN`, `SPARE` or `START`.
        accounts: The accounts of the slot.
        lock_s: Time in seconds from the arrival of a share until its bucket may
            be full.
        window_s: The window of the bound, in seconds.
        filled_s: Times at which start shares were filled, by VM.
        origins: The process that had a share and left, by VM.
        balances: What keepers that left handed over, by process.
        shares: The shares by VM.
        fraction: Sum of the shares, at most 1.
        grown_s: Time at which the sum last grew, in seconds.
        first_end_s: Time before which no share ends, in seconds.
    """

    def __init__(
        self, kind: int, accounts: dict[str, Account], window_s: float
    ) -> None:
        self.kind = kind
        self.accounts = accounts
        self.window_s = window_s
        self.lock_s = (window_s + GRANT_VALID_S) * LOCK_MARGIN
        self.filled_s: dict[str, float] = {}
        self.origins: dict[str, int] = {}
        self.balances: dict[int, Balance] = {}
        self.shares: dict[str, Share] = {}
        self.fraction = 0.0
        self.grown_s = 0.0
        self.first_end_s = math.inf

    def bucket(self, account: Account) -> token_buckets.Bucket:
        """Returns the bucket that the pool's shares fill."""
        return (account.main, account.spare, account.start)[self.kind]

    def refill(self, now_s: float) -> None:
        """Adds tokens to all buckets."""
        for account in self.accounts.values():
            self.bucket(account).refill(self.fraction, now_s)

    def set_share(self, vm: str, share: Share | None, now_s: float) -> None:
        """Sets or removes a VM's share."""
        old = self.shares.get(vm)
        changed = (old and old.fraction) != (share and share.fraction)
        if changed:
            self.refill(now_s)
        if share is None:
            self.shares.pop(vm, None)
            self.origins.pop(vm, None)
        else:
            self.shares[vm] = share
            self.first_end_s = min(self.first_end_s, share.end_s)
        if not changed:
            return
        before = self.fraction
        total = sum(row.fraction for row in self.shares.values())
        self.fraction = 1.0 if total > 1.0 - token_buckets.EPSILON else total
        if self.fraction > before:
            self.grown_s = now_s
            self.add_burst(vm, before, now_s)
        elif self.fraction < before:
            self.refill(now_s)

    def balance(self, now_s: float) -> Balance:
        """Returns the tokens to hand over."""
        self.refill(now_s)
        tokens = {}
        for name, account in self.accounts.items():
            account.ideal.refill(1.0, now_s)
            tokens[name] = (self.bucket(account).tokens, account.ideal.tokens)
        return Balance(self.fraction, tokens, now_s, {})

    def expect(self, process: int, balance: Balance, now_s: float) -> None:
        """Records what another keeper handed over."""
        self.balances = {
            number: row
            for number, row in self.balances.items()
            if now_s < row.end_s
        }
        end_s = now_s + BALANCE_VALID_S
        self.balances[process] = balance._replace(end_s=end_s, credited={})
        if self.kind == MAIN:
            for name, (_, ideal) in balance.tokens.items():
                account = self.accounts.get(name)
                if account is not None:
                    account.ideal.refill(1.0, now_s)
                    account.ideal.tokens = min(account.ideal.tokens, ideal)
        for vm in list(self.origins):
            self.credit(vm, now_s)

    def credit(self, vm: str, now_s: float) -> None:
        """Adds the tokens with which a share arrived, once."""
        share = self.shares.get(vm)
        balance = self.balances.get(self.origins.get(vm, 0))
        if share is None or balance is None or now_s >= balance.end_s:
            return
        del self.origins[vm]
        if vm in balance.credited:
            return
        left = 1.0 - sum(balance.credited.values())
        part = min(left, share.fraction / max(share.fraction, balance.fraction))
        balance.credited[vm] = part
        self.refill(now_s)
        for name, (tokens, _) in balance.tokens.items():
            if name in self.accounts:
                bucket = self.bucket(self.accounts[name])
                bucket.tokens += part * max(0.0, tokens)
        self.refill(now_s)

    def lock_new(self, account: Account, now_s: float) -> None:
        """Adds the tokens of the pool's shares to a new account."""
        size = self.bucket(account).size(self.fraction)
        self.bucket(account).lock(size, now_s + self.lock_s)

    def add_burst(self, vm: str, before: float, now_s: float) -> None:
        """Adds the tokens of a share that arrived."""
        until_s = now_s + self.lock_s
        if self.kind == START:
            filled_s = self.filled_s.get(vm, -math.inf)
            if now_s < filled_s + START_WINDOWS * self.window_s:
                return
            self.filled_s[vm] = until_s = now_s
        for account in self.accounts.values():
            bucket = self.bucket(account)
            gained = bucket.size(self.fraction) - bucket.size(before)
            bucket.lock(gained, until_s)

    def drop_expired(self, now_s: float) -> None:
        """Removes the shares that are no longer lent.

        Each counts until its own end and no longer.
        """
        if now_s < self.first_end_s:
            return
        expired = [row for row in self.shares.items() if row[1].end_s <= now_s]
        for vm, share in sorted(expired, key=lambda row: row[1].end_s):
            self.set_share(vm, None, share.end_s)
        ends = (share.end_s for share in self.shares.values())
        self.first_end_s = min(ends, default=math.inf)


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
        self.slots: list[dict[str, Account]] = [{} for _ in range(SLOTS)]
        self.pools = [
            Pool(kind, accounts, policy.window_s)
            for accounts in self.slots
            for kind in range(KINDS)
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
                account = Account(workspace, self.policy, now_s)
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
        share: Share,
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
        account: Account,
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
            - per_s * GRANT_VALID_S
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

    def refilled(self, workspace: str, now_s: float) -> Account | None:
        """Returns the account of a workspace with the tokens of now."""
        self.drop_expired(now_s)
        slot = self.slot_of.get(workspace)
        if slot is None:
            return None
        account = self.slots[slot][workspace]
        for kind in range(KINDS):
            pool = self.pools[pool_of(slot, kind)]
            pool.bucket(account).refill(pool.fraction, now_s)
        account.ideal.refill(1.0, now_s)
        return account


def pool_of(slot: int, kind: int) -> int:
    """Returns the number of a slot's pool."""
    return KINDS * slot + kind


def create_keeper(policy: tenancy.CapPolicy) -> Keeper:
    """Returns a keeper without shares or tokens."""
    return Keeper(policy)
