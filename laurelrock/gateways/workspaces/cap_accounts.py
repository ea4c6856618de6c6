"""The requests of a capped workspace at one VM."""

import asyncio
import typing

from laurelrock.core import event_rate
from laurelrock.core import tenancy
from laurelrock.core import token_buckets

__all__ = ["GRANTED", "Account", "Admission", "Ask", "Waiter", "create_account"]

#: Number of messages per second with which a VM asks for tokens of one
#: workspace, and the number that it may send at once.
ASKS_PER_S, ASK_BURST = 10.0, 10.0
#: Requests per second at a VM from which it leases tokens in advance, and the
#: time in seconds that they last.
MIN_LEASE_PER_S, LEASE_AHEAD_S = 5.0, 0.2
#: Time constant in seconds of the rate of requests at this VM.
DEMAND_TIME_CONSTANT_S = 1.0


class Admission(typing.NamedTuple):
    """Whether a request may run.

    Attributes:
        granted: Whether it may run.
        retry_after_s: Time in seconds after which a refused caller may return.
        keeper: Name of the VM that decided.
    """

    granted: bool
    retry_after_s: float = 0.0
    keeper: str = ""


GRANTED = Admission(True)

Waiter = asyncio.Future[Admission]


class Ask(typing.NamedTuple):
    """A request for tokens without a reply so far.

    Attributes:
        account: The account of the workspace.
        waiters: The requests that wait for it.
        keeper: Name of the VM that was asked.
        sent_s: Time at which it was sent, in seconds.
        spare: Whether it asks for spare tokens.
        final: Whether no other keeper is asked for these requests.
        retried: Whether another VM named the keeper.
    """

    account: "Account"
    waiters: list[Waiter]
    keeper: str
    sent_s: float
    spare: bool
    final: bool = True
    retried: bool = False


class Account:
    """Requests of one workspace at this VM.

    Attributes:
        workspace: The workspace.
        waiting: The requests for which no keeper has been asked.
        asked: Number of the request for tokens in flight; 0 if none.
        collecting: Whether requests are being collected for the next one.
        asks: Number of messages that may be sent at `asks_s`.
        asks_s: Time in seconds.
        demand: Rate of requests at this VM.
        held: Leased tokens.
        held_until_s: Time at which they expire, in seconds.
        lessor: Name of the keeper that leased them.
        returning: Timer that returns unused tokens.
        own: What this VM admits without a keeper.
        turns: Turns of the callers that this VM refused by itself.
    """

    def __init__(self, workspace: tenancy.Workspace, now_s: float) -> None:
        self.workspace = workspace
        self.waiting: list[Waiter] = []
        self.asked = 0
        self.collecting = False
        self.asks = ASK_BURST
        self.asks_s = now_s
        self.demand = event_rate.create_event_rate(DEMAND_TIME_CONSTANT_S)
        self.held = 0
        self.held_until_s = 0.0
        self.lessor = ""
        self.returning: asyncio.TimerHandle | None = None
        self.own = token_buckets.create_own_tokens(now_s)
        self.turns = token_buckets.create_turns()

    def take_ask(self, now_s: float) -> bool:
        """Tells whether a message may be sent now, and counts it if so."""
        gained = (now_s - self.asks_s) * ASKS_PER_S
        self.asks = min(ASK_BURST, self.asks + gained)
        self.asks_s = now_s
        if self.asks < 1.0:
            return False
        self.asks -= 1.0
        return True

    def take_held(self, now_s: float) -> bool:
        """Takes a leased token."""
        if not self.held or now_s >= self.held_until_s:
            self.held = 0
            return False
        self.held -= 1
        return True

    def wanted(self, now_s: float) -> int:
        """Returns the number of tokens to lease in advance."""
        per_s = self.demand.per_s(now_s)
        if per_s < MIN_LEASE_PER_S:
            return 0
        return max(1, round(per_s * LEASE_AHEAD_S))


def create_account(workspace: tenancy.Workspace, now_s: float) -> Account:
    """Returns the account of a workspace without any requests."""
    return Account(workspace, now_s)
