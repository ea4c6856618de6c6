"""Token buckets of the caps of workspaces; see `core.token_leases`."""

import collections

from laurelrock.core import tenancy

__all__ = [
    "Bucket",
    "OwnTokens",
    "Turns",
    "create_bucket",
    "create_own_tokens",
    "create_turns",
    "reserved_tokens",
]

#: Fraction of the slack that VMs may use without a keeper.
RESERVE_FRACTION = 0.05
#: Longest time in seconds that a refused caller is told. Callers behind it are
#: spread over the last half of that time.
MAX_TURN_S = 30.0
#: Multiples of this number modulo 1 are evenly spread.
GOLDEN_RATIO = 0.6180339887498949
#: Tokens that are locked until times this close together are unlocked together,
#: at the last one of them, in seconds.
LOCK_STEP_S = 0.05
#: Rounding error of the number of tokens that is accepted.
EPSILON = 1e-9


class Turns:
    """The times at which refused callers of a workspace may return.

    Attributes:
        next_s: Time of the next turn, in seconds.
        late: Number of callers whose turn was too far away.
    """

    def __init__(self) -> None:
        self.next_s = 0.0
        self.late = 0

    def reserve(self, wait_s: float, per_s: float, now_s: float) -> float:
        """Returns the time until a refused caller's turn, in seconds.

        Args:
            wait_s: Time until the next token, in seconds.
            per_s: Tokens per second.
            now_s: Current time, in seconds.
        """
        turn_s = max(self.next_s, now_s + wait_s)
        if turn_s - now_s > MAX_TURN_S:
            self.late += 1
            fraction = self.late * GOLDEN_RATIO % 1.0
            return MAX_TURN_S * (0.5 + fraction / 2)
        self.next_s = turn_s + 1.0 / per_s
        return turn_s - now_s


class Bucket:
    """A token bucket whose rate and size depend on the shares lent.

    Attributes:
        per_s: Tokens per second with all shares.
        burst: Size with all shares.
        rounding: Further tokens, with all shares, that may raise the size to
            one token.
        tokens: Tokens at `updated_s`.
        locked: Further tokens that may be used later: the times in seconds and
            the numbers of tokens. Together with `tokens` they never exceed the
            size.
        updated_s: Time in seconds.
    """

    def __init__(
        self, per_s: float, burst: float, rounding: float, now_s: float
    ) -> None:
        self.per_s = per_s
        self.burst = burst
        self.rounding = rounding
        self.tokens = 0.0
        self.locked: list[tuple[float, float]] = []
        self.updated_s = now_s

    def size(self, fraction: float) -> float:
        """Returns the maximum number of tokens with a fraction of the shares.

        A bucket smaller than one token would never serve a request.
        """
        return max(
            fraction * self.burst,
            min(1.0, fraction * (self.burst + self.rounding)),
        )

    def refill(self, fraction: float, now_s: float) -> None:
        """Adds the tokens since the last change, and those locked until now."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        size = self.size(fraction)
        self.tokens = min(size, self.tokens + elapsed_s * self.per_s * fraction)
        self.updated_s = max(now_s, self.updated_s)
        if not self.locked:
            return
        room, kept = size - self.tokens, []
        for unlock_s, tokens in self.locked:
            tokens = min(tokens, room)
            room -= tokens
            if unlock_s <= now_s:
                self.tokens += tokens
            elif tokens > EPSILON:
                kept.append((unlock_s, tokens))
        self.locked = kept

    def lock(self, tokens: float, until_s: float) -> None:
        """Adds tokens that may be used from a later time on."""
        if self.locked and until_s - self.locked[-1][0] < LOCK_STEP_S:
            tokens += self.locked.pop()[1]
        if tokens > 0.0:
            self.locked.append((until_s, tokens))

    def take(self, wanted: int) -> int:
        """Takes up to `wanted` tokens and returns their number."""
        taken = max(0, min(wanted, int(self.tokens + EPSILON)))
        self.tokens = max(0.0, self.tokens - taken)
        return taken


class OwnTokens:
    """Requests of one workspace that a VM admits without a keeper.

    Attributes:
        bucket: The bucket of the VM's own share.
        used_s: Times of the requests admitted from the reserve, in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self.bucket = create_bucket(0.0, 0.0, 0.0, now_s)
        self.used_s: collections.deque[float] = collections.deque()

    def take(
        self,
        workspace: tenancy.Workspace,
        share: tuple[float, float],
        reserve: tuple[int, float],
        now_s: float,
    ) -> bool:
        """Tells whether a request may run, and counts it if so.

        Args:
            workspace: The workspace.
            share: The VM's share of the cap, and the time since which it is not
                lent; in the future while it is.
            reserve: Number of requests of the reserve in a window, and the
                window's length in seconds.
            now_s: Current time, in seconds.
        """
        fraction, free_since_s = share
        count, window_s = reserve
        bucket = self.bucket
        if bucket.updated_s < free_since_s:
            bucket.tokens, bucket.updated_s = 0.0, free_since_s
        bucket.per_s, bucket.burst = workspace.requests_per_s, workspace.burst
        if now_s > free_since_s:
            bucket.refill(fraction, now_s)
            if bucket.take(1):
                return True
        while self.used_s and self.used_s[0] <= now_s - window_s:
            self.used_s.popleft()
        if len(self.used_s) >= count:
            return False
        self.used_s.append(now_s)
        return True


def reserved_tokens(slack: float, vms: int, rank: int) -> int:
    """Returns how many requests a VM may admit in a window without a keeper.

    Args:
        slack: Slack of the bound.
        vms: Number of listed VMs.
        rank: Position of the VM in a ranking of them, from 0.
    """
    total = int(slack * RESERVE_FRACTION)
    return total // max(1, vms) + (rank < total % max(1, vms))


def create_bucket(
    per_s: float, burst: float, rounding: float, now_s: float
) -> Bucket:
    """Returns an empty bucket."""
    return Bucket(per_s, burst, rounding, now_s)


def create_own_tokens(now_s: float) -> OwnTokens:
    """Returns the state before the first request."""
    return OwnTokens(now_s)


def create_turns() -> Turns:
    """Returns the state before the first refusal."""
    return Turns()
