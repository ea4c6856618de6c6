"""The shares lent to a keeper, and the token buckets that they fill.

`core.token_leases` explains how the sum over all keepers stays within bounds.
"""

import math
import typing

from laurelrock.core import tenancy
from laurelrock.core import token_buckets

__all__ = ["Account", "Balance", "Pool", "Share"]

#: Kinds of a slot's pools of shares.
MAIN, SPARE, START = 0, 1, 2
KINDS = 3
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


class Share(typing.NamedTuple):
    """A VM's share that is lent to a keeper.

    Attributes:
        fraction: Fraction of rate and burst.
        end_s: Time at which it is no longer lent, in seconds.
    """

    fraction: float
    end_s: float


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
