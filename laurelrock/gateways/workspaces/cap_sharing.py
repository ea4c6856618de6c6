"""Admits the requests of workspaces with a cap.

A VM asks the keeper of a workspace for tokens, with one message for all
requests that wait. It waits for at most `WAIT_S`, then admits what it may
without a keeper. The numbers are decided in `core.token_leases`.
"""

import asyncio
import collections
import collections.abc
import random
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.core import share_pools
from laurelrock.core import tenancy
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import cap_accounts
from laurelrock.gateways.workspaces import cap_messages
from laurelrock.gateways.workspaces import share_lending
from laurelrock.gateways.workspaces import token_replies

__all__ = ["CapSharing", "create_cap_sharing"]

#: Longest time in seconds that a request waits for a keeper.
WAIT_S = 0.04
#: Time in seconds after which the spare keeper is asked as well.
ASK_SPARE_AFTER_S = 0.015
#: Time in seconds for which requests are collected beyond that number. A reply
#: still arrives within `WAIT_S`.
COLLECT_S = 0.025
#: Part of a lease's time after which unused tokens are returned.
RETURN_FRACTION = 0.8
#: Time in seconds after which a caller may return that was refused because no
#: keeper replied: by then another VM has become keeper.
SILENT_RETRY_S = 1.0
#: Number of silent requests for tokens in a row after which the spare keeper
#: is asked first, and the time in seconds for which it is.
MAX_SILENT, SILENT_HOLD_S = 2, 0.5

_log = logs.get_logger(__name__)


class CapSharing:
    """State of the caps at this VM.

    Attributes:
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        clock: Returns the time in seconds.
        policy: How far caps may be exceeded.
        keeper: The shares lent to this VM and their tokens.
        lending: The shares of this VM.
        capped: The workspaces with a cap, by name.
        accounts: The accounts of workspaces with recent requests, by name.
        asks: The requests for tokens without a reply, by number.
        asked_count: The number of the last request for tokens.
        silent: Number of requests in a row without a reply in time, and the
            time until which the spare keeper is asked first, by keeper.
        counts: The number of requests and messages by kind.
    """

    def __init__(
        self,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
        policy: tenancy.CapPolicy,
        clock: collections.abc.Callable[[], float] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.peer_links = peer_links
        self.me = me
        self.port = port
        self.policy = policy
        self.clock = clock or self.loop.time
        self.keeper = token_leases.create_keeper(policy)
        start = random.getrandbits(32) + 1
        self.lending = share_lending.create_share_lending(
            *(self.keeper, me, start, self.send, self.clock())
        )
        self.capped: dict[str, tenancy.Workspace] = {}
        self.accounts: dict[str, cap_accounts.Account] = {}
        self.asks: dict[int, cap_accounts.Ask] = {}
        self.asked_count = random.getrandbits(32)
        self.silent: dict[str, tuple[int, float]] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs."""
        self.lending.set_vms(vms, self.clock())

    def configure(self, configuration: routes.Configuration) -> None:
        """Applies the caps of a configuration."""
        rows = {
            row.name: row
            for row in configuration.workspaces
            if row.requests_per_s
        }
        if rows == self.capped:
            return
        started = not self.capped
        now_s = self.clock()
        self.capped = rows
        slots = [
            (share_lending.slot_of(name), row) for name, row in rows.items()
        ]
        self.keeper.configure(slots, now_s)
        self.lending.active = {slot for slot, _ in slots}
        for name, account in list(self.accounts.items()):
            workspace = rows.get(name)
            if workspace is None:
                # The reserve of a window stays used if the cap comes back.
                if not account.own.used_s:
                    del self.accounts[name]
            elif workspace != account.workspace:
                account.workspace = workspace
                account.held = 0
        if started:
            self.lending.report(now_s)

    def link_ended(self, link: frames.Link) -> None:
        """Handles the end of a connection to another VM."""
        if link.address is None:
            return
        for vm in self.lending.vms.values():
            if (vm.host, self.port) == link.address:
                self.lending.choice.record_silence(vm.name)

    def send(self, vm: owners.Vm, message: typing.Any) -> None:
        """Sends a message to another VM."""
        self.counts[f"sent-{type(message).__name__}"] += 1
        self.peer_links.link((vm.host, self.port)).send(message)

    async def run(self) -> None:
        """Lends this VM's shares at regular intervals, forever."""
        while True:
            self.lending.report(self.clock())
            await asyncio.sleep(share_lending.REPORT_INTERVAL_S)

    # Requests of callers

    async def admit(
        self, workspace: tenancy.Workspace, now_s: float
    ) -> cap_accounts.Admission:
        """Decides whether a caller's request may run, and counts it.

        Args:
            workspace: The workspace of the request.
            now_s: Current time, in seconds.
        """
        if not workspace.requests_per_s:
            return cap_accounts.GRANTED
        account = self.account(workspace, now_s)
        account.demand.record(now_s)
        if account.take_held(now_s):
            self.counts["leased"] += 1
            self.renew_lease(account, now_s)
            return cap_accounts.GRANTED
        waiter: cap_accounts.Waiter = self.loop.create_future()
        account.waiting.append(waiter)
        self.ask(account, now_s)
        timer = self.loop.call_later(WAIT_S, self.expire, account, waiter)
        try:
            admission = await waiter
        finally:
            timer.cancel()
            if waiter in account.waiting:
                account.waiting.remove(waiter)
        self.counts["granted" if admission.granted else "refused"] += 1
        return admission

    def account(
        self, workspace: tenancy.Workspace, now_s: float
    ) -> cap_accounts.Account:
        """Returns the account of a workspace."""
        account = self.accounts.get(workspace.name)
        if account is None:
            account = cap_accounts.create_account(workspace, now_s)
            self.accounts[workspace.name] = account
        return account

    def expire(
        self, account: cap_accounts.Account, waiter: cap_accounts.Waiter
    ) -> None:
        """Decides about a request that waited for too long."""
        if waiter.done() or self.admit_alone(account, waiter):
            return
        wait_s = account.turns.reserve(
            *(SILENT_RETRY_S, account.workspace.requests_per_s, self.clock())
        )
        waiter.set_result(cap_accounts.Admission(False, wait_s))

    def admit_alone(
        self, account: cap_accounts.Account, waiter: cap_accounts.Waiter
    ) -> bool:
        """Admits a request if this VM may do so without a keeper."""
        now_s = self.clock()
        slot = self.slot(account)
        share = self.lending.own_share(slot, now_s)
        reserve = self.lending.reserve(slot, now_s), self.policy.window_s
        if not account.own.take(account.workspace, share, reserve, now_s):
            return False
        self.counts["granted-alone"] += 1
        waiter.set_result(cap_accounts.Admission(True, 0.0, self.me.name))
        return True

    def slot(self, account: cap_accounts.Account) -> int:
        """Returns the slot of an account's workspace."""
        return share_lending.slot_of(account.workspace.name)

    # Requests for tokens

    def ask(self, account: cap_accounts.Account, now_s: float) -> None:
        """Asks for tokens for the waiting requests, unless a reply is due."""
        if account.asked or account.collecting:
            return
        if account.take_ask(now_s):
            self.ask_now(account, now_s)
        else:
            account.collecting = True
            self.loop.call_later(COLLECT_S, self.end_collecting, account)

    def end_collecting(self, account: cap_accounts.Account) -> None:
        """Asks for tokens for the collected requests."""
        account.collecting = False
        if not account.asked:
            self.ask_now(account, self.clock())

    def ask_now(
        self,
        account: cap_accounts.Account,
        now_s: float,
        named: str = "",
    ) -> None:
        """Asks the keeper for tokens for the waiting requests.

        Args:
            account: The account of the workspace.
            now_s: Current time, in seconds.
            named: The keeper that another VM named, if one did.
        """
        waiters = [row for row in account.waiting if not row.done()]
        account.waiting = []
        wanted = account.wanted(now_s)
        if not waiters and not wanted:
            return
        slot = self.slot(account)
        name = named or self.lending.keeper_of(slot, share_pools.MAIN, now_s)
        silent, until_s = self.silent.get(name, (0, 0.0))
        if not name or (silent >= MAX_SILENT and now_s < until_s):
            self.ask_spare(account, waiters, now_s, silent=name)
            return
        if account.lessor != name or now_s >= account.held_until_s:
            account.held = 0
            account.lessor = name
        number = self.next_number()
        account.asked = number
        self.asks[number] = cap_accounts.Ask(
            account, waiters, name, now_s, False, retried=bool(named)
        )
        request = cap_messages.TokenRequest(
            *(self.me.name, number, account.workspace.name, len(waiters)),
            *(wanted, account.held),
        )
        if name == self.me.name:
            self.handle_reply(
                token_replies.answer(self.lending, request, self.clock())
            )
            return
        self.send(self.lending.vms[name], request)
        if waiters:
            self.loop.call_later(ASK_SPARE_AFTER_S, self.hedge, number)
        self.loop.call_later(WAIT_S, self.give_up, number)

    def next_number(self) -> int:
        """Returns the number of the next request for tokens."""
        self.asked_count += 1
        return self.asked_count

    def hedge(self, number: int) -> None:
        """Asks the spare keeper if the main keeper hasn't replied yet."""
        ask = self.asks.get(number)
        if ask is not None:
            self.ask_spare(
                *(ask.account, ask.waiters, self.clock()),
                final=False,
                silent=ask.keeper,
            )

    def give_up(self, number: int) -> None:
        """Ends a request for tokens that got no reply in time."""
        ask = self.asks.pop(number, None)
        if ask is None:
            return
        now_s = self.clock()
        self.counts["silent"] += 1
        silent = self.silent.get(ask.keeper, (0, 0.0))[0]
        self.silent[ask.keeper] = (silent + 1, now_s + SILENT_HOLD_S)
        if silent and not self.lending.choice.has_seat(self.slot(ask.account)):
            # A VM with a seat knows from its reports.
            self.lending.choice.record_silence(ask.keeper)
        if not ask.spare:
            self.end_ask(ask.account, number, now_s)

    def end_ask(
        self, account: cap_accounts.Account, number: int, now_s: float
    ) -> None:
        """Asks for the requests that came in the meantime."""
        if account.asked == number:
            account.asked = 0
            if any(not row.done() for row in account.waiting):
                self.ask(account, now_s)

    def ask_spare(
        self,
        account: cap_accounts.Account,
        waiters: list[cap_accounts.Waiter],
        now_s: float,
        final: bool = True,
        counted: bool = False,
        silent: str = "",
    ) -> None:
        """Asks the spare keeper for tokens for some requests."""
        waiters = [row for row in waiters if not row.done()]
        slot = self.slot(account)
        name = self.lending.keeper_of(slot, share_pools.SPARE, now_s)
        if not waiters or not name:
            return
        number = self.next_number()
        self.asks[number] = cap_accounts.Ask(
            account, waiters, name, now_s, True, final
        )
        request = cap_messages.TokenRequest(
            *(self.me.name, number, account.workspace.name, len(waiters)),
            spare=True,
            counted=counted,
            silent=silent,
        )
        if name == self.me.name:
            self.handle_reply(
                token_replies.answer(self.lending, request, self.clock())
            )
            return
        self.send(self.lending.vms[name], request)
        self.loop.call_later(WAIT_S, self.give_up, number)

    def handle_reply(self, reply: cap_messages.TokenReply) -> None:
        """Handles a keeper's reply to a request for tokens."""
        ask = self.asks.pop(reply.number, None)
        now_s = self.clock()
        # Tokens of a reply that is too late are lost: the keeper counts them
        # as used by then.
        if ask is None or now_s - ask.sent_s > share_pools.GRANT_VALID_S:
            return
        self.silent.pop(ask.keeper, None)
        self.lending.choice.record_reply(ask.keeper, now_s)
        account = ask.account
        waiters = [row for row in ask.waiters if not row.done()]
        granted = cap_accounts.GRANTED._replace(keeper=ask.keeper)
        for waiter in waiters[: reply.granted]:
            waiter.set_result(granted)
        rest = waiters[reply.granted :]
        if self.follow_hint(ask, reply, rest, now_s):
            return
        if reply.leased > 0:
            account.held += reply.leased
        elif reply.leased < 0:
            account.held = 0
        if not ask.spare and account.held:
            account.held_until_s = ask.sent_s + token_leases.LEASE_S
            self.schedule_return(account)
        self.refuse_rest(ask, rest, reply, now_s)
        if not ask.spare:
            self.end_ask(account, reply.number, now_s)

    def follow_hint(
        self,
        ask: cap_accounts.Ask,
        reply: cap_messages.TokenReply,
        rest: list[cap_accounts.Waiter],
        now_s: float,
    ) -> bool:
        """Asks the keepers that a VM with few shares named, once.

        Returns:
            Whether another keeper was asked for the remaining requests.
        """
        slot = self.slot(ask.account)
        choice = self.lending.choice
        for kind, name in enumerate(reply.keepers[:2]):
            if not choice.has_seat(slot) and not choice.is_out(name):
                choice.hints[token_leases.pool_of(slot, kind)] = name
        name = reply.keepers[0] if reply.keepers else ""
        if not name or name == ask.keeper or choice.is_out(name):
            return False
        if not rest or ask.retried or (ask.spare and not reply.moved):
            return False
        account = ask.account
        account.waiting = rest + account.waiting
        if account.asked == reply.number:
            account.asked = 0
        if ask.spare or not (account.asked or account.collecting):
            self.ask_now(account, now_s, name)
        return True

    def refuse_rest(
        self,
        ask: cap_accounts.Ask,
        rest: list[cap_accounts.Waiter],
        reply: cap_messages.TokenReply,
        now_s: float,
    ) -> None:
        """Passes on what a keeper said about requests that it didn't grant."""
        if not ask.spare:
            count = reply.spare if reply.known else len(rest)
            self.ask_spare(
                ask.account, rest[:count], now_s, counted=reply.known
            )
            self.refuse(rest[count:], reply.turns_s, ask.keeper)
        elif ask.final and reply.known:
            # These are within the cap, or the main keeper is out of reach.
            left = [
                row for row in rest if not self.admit_alone(ask.account, row)
            ]
            self.refuse(left, reply.turns_s, ask.keeper)

    def refuse(
        self,
        waiters: list[cap_accounts.Waiter],
        turns_s: list[float],
        keeper: str,
    ) -> None:
        """Refuses requests until their turns."""
        for waiter, turn_s in zip(waiters, turns_s, strict=False):
            if not waiter.done():
                waiter.set_result(
                    cap_accounts.Admission(False, max(0.0, turn_s), keeper)
                )

    # Leases

    def renew_lease(self, account: cap_accounts.Account, now_s: float) -> None:
        """Asks for tokens before the leased ones are used up."""
        busy = account.asked or account.collecting
        low = 2 * account.held < account.wanted(now_s)
        if low and not busy and account.take_ask(now_s):
            self.ask_now(account, now_s)

    def schedule_return(self, account: cap_accounts.Account) -> None:
        """Returns leased tokens later unless the lease is renewed."""
        if account.returning is None:
            delay_s = token_leases.LEASE_S * RETURN_FRACTION
            account.returning = self.loop.call_later(
                delay_s, self.return_lease, account
            )

    def return_lease(self, account: cap_accounts.Account) -> None:
        """Returns the leased tokens if the lease is about to expire."""
        account.returning = None
        now_s = self.clock()
        left_s = account.held_until_s - now_s
        if not account.held or left_s <= 0:
            return
        if left_s > token_leases.LEASE_S * (1.0 - RETURN_FRACTION):
            self.schedule_return(account)
            return
        tokens, account.held = account.held, 0
        self.give_back(account, account.lessor, tokens)

    def give_back(
        self, account: cap_accounts.Account, keeper: str, tokens: int
    ) -> None:
        """Returns tokens that this VM didn't use."""
        name = account.workspace.name
        if keeper == self.me.name:
            self.keeper.give_back(keeper, name, tokens, self.clock())
        elif keeper in self.lending.vms:
            request = cap_messages.TokenRequest(
                *(self.me.name, 0, name, 0), returned=tokens
            )
            self.send(self.lending.vms[keeper], request)

    # Messages

    def handle_message(self, link: frames.Link, message: typing.Any) -> None:
        """Handles a message from another VM."""
        now_s = self.clock()
        if isinstance(message, cap_messages.ShareReport):
            receipt = self.lending.answer_report(message, now_s)
            self.counts["sent-ShareReceipt"] += 1
            link.send(receipt)
        elif isinstance(message, cap_messages.ShareReceipt):
            self.lending.handle_receipt(message, now_s)
        elif isinstance(message, cap_messages.Balances):
            self.keeper.expect(message.start, message.pools, now_s)
        elif isinstance(message, cap_messages.TokenReply):
            self.handle_reply(message)
        elif message.returned:
            self.keeper.give_back(
                message.sender, message.workspace, message.returned, now_s
            )
        else:
            self.counts["sent-TokenReply"] += 1
            link.send(token_replies.answer(self.lending, message, now_s))


def create_cap_sharing(
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
    policy: tenancy.CapPolicy,
) -> CapSharing:
    """Returns the state of a process that has just started."""
    return CapSharing(peer_links, me, port, policy)
