"""Lends this VM's shares of the caps of workspaces to their keepers.

Each slot of workspaces has seats, the VMs to which its shares belong, and a
main and a spare keeper among them (`keeper_choice`). A seat lends its shares to
them at regular intervals. A share is lent to one keeper at a time: before it
goes to another one, the first has confirmed that it is returned, or the time
for which it was lent has passed. Deployments without caps send nothing.

A VM that has just started doesn't know what its earlier process lent. It asks
all seats: a keeper that still has its share goes on, and if no seat has it, it
is free. If some don't reply, it is free after the time of a loan.
"""

import collections.abc
import itertools
import random
import typing

import xxhash

from laurelrock.core import owners
from laurelrock.core import share_pools
from laurelrock.core import token_buckets
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import cap_messages
from laurelrock.gateways.workspaces import keeper_choice

__all__ = ["ShareLending", "create_share_lending", "slot_of"]

#: Interval of reports in seconds.
REPORT_INTERVAL_S = 0.8
#: Time in seconds after which this VM uses a share of a slot in which it got a
#: seat, and for which the number of VMs is still taken as the larger one after
#: it fell, since other VMs may not know yet.
COUNT_HOLD_S = 10.0
#: Time in seconds for which the reports of an earlier process of a VM are
#: ignored, which may still be on their way.
RETIRED_S = 10.0


class Loan(typing.NamedTuple):
    """A share that is lent.

    Attributes:
        keeper: Name of the keeper.
        end_s: Time at which the keeper no longer uses it, in seconds.
        number: Number of the last report that lends it.
    """

    keeper: str
    end_s: float
    number: int


Send = collections.abc.Callable[[owners.Vm, typing.Any], None]


class ShareLending:
    """State of this VM's shares, and of those lent to it.

    Attributes:
        keeper: The shares lent to this VM.
        me: This VM.
        start: Random number of this process.
        send: Sends a message to another VM.
        vms: The listed VMs by name.
        count: The number of VMs of which this VM uses one share.
        count_hold_s: Time until which `count` doesn't fall, in seconds.
        reserve_from_s: Time from which this VM may use the reserve, by slot.
        ranks: This VM's position in the ranking, by slot.
        candidates: The names of the seats, by slot.
        active: The slots that have capped workspaces.
        choice: The keepers that this VM knows of.
        loans: The shares that are lent, by pool.
        free_since_s: Time since which a pool's share is not lent, by pool.
        origins: The processes that had a share and left, by pool.
        start_end_s: Time after which this VM lends no start shares.
        numbers: The numbers of reports. They begin at a random one, so that a
            receipt for an earlier process isn't taken for one of this process.
        sent: The number of the last report.
        last_reports: As keeper: start and number of the last report, by VM.
        retired: As keeper: the times until which earlier processes are ignored.
        heirs: The VMs to which this VM handed over its pools.
        window_s: The window of the bound, in seconds.
        leaving: Whether this VM stops.
    """

    def __init__(
        self,
        keeper: token_leases.Keeper,
        me: owners.Vm,
        start: int,
        send: Send,
        now_s: float,
    ) -> None:
        self.keeper = keeper
        self.me = me
        self.start = start
        self.send = send
        self.vms: dict[str, owners.Vm] = {}
        self.count = 0
        self.count_hold_s = 0.0
        self.window_s = keeper.policy.window_s
        slots = range(token_leases.SLOTS)
        self.ranks = [0 for _ in slots]
        self.reserve_from_s = [now_s + self.window_s for _ in slots]
        self.candidates: list[list[str]] = [[] for _ in slots]
        self.active: set[int] = set()
        self.choice = keeper_choice.create_keeper_choice(keeper, me, now_s)
        self.loans: dict[int, Loan] = {}
        # An earlier process of this VM may have lent its shares, or used its
        # reserve.
        free_s = now_s + token_leases.VALID_S + token_leases.VALID_MARGIN_S
        pools = range(share_pools.KINDS * token_leases.SLOTS)
        self.free_since_s = dict.fromkeys(pools, free_s)
        for slot in slots:
            start_pool = token_leases.pool_of(slot, share_pools.START)
            self.free_since_s[start_pool] = now_s
        self.origins: dict[int, int] = {}
        self.start_end_s = now_s + self.window_s
        self.numbers = itertools.count(random.getrandbits(30) + 1)
        self.first_number = self.sent = next(self.numbers)
        self.last_reports: dict[str, tuple[int, int]] = {}
        self.retired: dict[tuple[str, int], float] = {}
        self.heirs: dict[int, str] = {}

    @property
    def leaving(self) -> bool:
        """Whether this VM stops."""
        return self.choice.leaving

    def set_vms(self, vms: list[owners.Vm], now_s: float) -> None:
        """Sets the list of VMs."""
        is_first = not self.vms
        self.vms = self.choice.vms = {vm.name: vm for vm in vms}
        if len(vms) < self.count:
            self.count_hold_s = now_s + COUNT_HOLD_S
        self.count = max(self.count, len(vms))
        for name in self.choice.contacts.keys() - self.vms.keys():
            del self.choice.contacts[name]
        for slot in range(token_leases.SLOTS):
            ranked = owners.rank(f"caps-{slot}", vms)
            had_seat = self.choice.has_seat(slot)
            self.candidates[slot] = [
                vm.name for vm in ranked[: token_leases.SEATS]
            ]
            self.choice.set_seats(slot, self.candidates[slot])
            if self.choice.has_seat(slot) and not had_seat and not is_first:
                self.hold_shares(slot, now_s)
            rank = ranked.index(self.me) if self.me in ranked else len(ranked)
            if rank != self.ranks[slot]:
                self.ranks[slot] = rank
                self.reserve_from_s[slot] = max(
                    self.reserve_from_s[slot], now_s + self.window_s
                )

    def hold_shares(self, slot: int, now_s: float) -> None:
        """Waits before this VM uses a share that another VM may still use."""
        for kind in range(share_pools.KINDS):
            pool = token_leases.pool_of(slot, kind)
            self.free_since_s[pool] = now_s + COUNT_HOLD_S

    def fraction(self, slot: int, now_s: float) -> float:
        """Returns this VM's share; 0 if it has no seat."""
        if now_s >= self.count_hold_s:
            self.count = len(self.vms)
        if not self.choice.has_seat(slot):
            return 0.0
        return 1.0 / min(self.count, token_leases.SEATS)

    def own_share(self, slot: int, now_s: float) -> tuple[float, float]:
        """Returns this VM's share and the time since which it isn't lent."""
        pool = token_leases.pool_of(slot, share_pools.MAIN)
        loan = self.loans.get(pool)
        free_s = loan.end_s if loan else self.free_since_s[pool]
        return self.fraction(slot, now_s), free_s

    def reserve(self, slot: int, now_s: float) -> int:
        """Returns how many requests the reserve has in a window."""
        if now_s < self.reserve_from_s[slot] or self.me.name not in self.vms:
            return 0
        return token_buckets.reserved_tokens(
            self.keeper.policy.slack, len(self.vms), self.ranks[slot]
        )

    def keeper_of(self, slot: int, kind: int, now_s: float) -> str:
        """Returns the keeper to ask for tokens; empty if there is none."""
        loan = self.loans.get(token_leases.pool_of(slot, kind))
        if loan and not self.choice.is_out(loan.keeper):
            return loan.keeper
        return self.choice.choose(slot, now_s)[kind]

    # Reports

    def report(self, now_s: float) -> None:
        """Lends this VM's shares; called at regular intervals."""
        if not self.active and not self.loans:
            return
        for name, contact in self.choice.contacts.items():
            late_s = now_s - contact.unanswered_s
            if contact.unanswered_s and late_s > REPORT_INTERVAL_S / 2:
                self.choice.record_silence(name)
        by_keeper = self.choose_all(now_s)
        for name in sorted(self.choice.silent_seats(self.active, now_s)):
            by_keeper.setdefault(name, [])
        for name, pools in by_keeper.items():
            self.send_report(name, pools, now_s)

    def choose_all(self, now_s: float) -> dict[str, list[int]]:
        """Returns the pools to lend to each keeper that gets a report."""
        by_keeper: dict[str, list[int]] = {}
        for pool, loan in list(self.loans.items()):
            if loan.end_s <= now_s:
                self.end_loan(pool, loan.end_s)
            elif loan.keeper in self.vms:
                by_keeper.setdefault(loan.keeper, [])
        for slot in self.active:
            if not self.choice.has_seat(slot):
                continue
            self.choice.update(slot, now_s)
            self.choose_start(slot, now_s)
            for kind in range(share_pools.KINDS):
                pool = token_leases.pool_of(slot, kind)
                name = self.choice.chosen.get(pool, "")
                if name in self.vms:
                    pools = by_keeper.setdefault(name, [])
                    taken = self.loans.get(pool)
                    if taken is None or taken.keeper == name:
                        pools.append(pool)
        return by_keeper

    def choose_start(self, slot: int, now_s: float) -> None:
        """Chooses the keeper of the start share, only once."""
        pool = token_leases.pool_of(slot, share_pools.START)
        main = token_leases.pool_of(slot, share_pools.MAIN)
        chosen = self.choice.chosen
        if now_s >= self.start_end_s:
            chosen.pop(pool, None)
        elif chosen.get(main) and pool not in chosen:
            chosen[pool] = chosen[main]

    def send_report(self, name: str, pools: list[int], now_s: float) -> None:
        """Lends the shares of some pools to a keeper."""
        valid_s = token_leases.VALID_S + token_leases.VALID_MARGIN_S
        pools = [
            pool
            for pool in pools
            if now_s >= self.free_since_s[pool]
            and self.fraction(pool // share_pools.KINDS, now_s)
        ]
        if name == self.me.name:
            self.lend_to_self(pools, now_s)
            return
        contact = self.choice.contact(name)
        self.sent = number = next(self.numbers)
        end_s = contact.received_s + valid_s
        if not contact.start or self.choice.is_out(name) or end_s <= now_s:
            pools = []
        for pool in pools:
            self.loans[pool] = Loan(name, end_s, number)
        contact.unanswered_s = contact.unanswered_s or now_s
        rows = {row: self.origins[row] for row in pools if row in self.origins}
        self.send(
            self.vms[name],
            cap_messages.ShareReport(
                *(self.me.name, self.start, number, self.count, pools),
                *(contact.start, contact.keeper_s, rows),
            ),
        )

    def lend_to_self(self, pools: list[int], now_s: float) -> None:
        """Lends the shares of some pools to this VM itself."""
        name = self.me.name
        if self.leaving:
            pools = []
        end_s = now_s + token_leases.VALID_S
        count = max(1, min(self.count, token_leases.SEATS))
        share = share_pools.Share(1.0 / count, end_s)
        self.keeper.set_shares(name, pools, share, now_s, self.origins)
        for pool, loan in list(self.loans.items()):
            if loan.keeper == name and pool not in pools:
                self.end_loan(pool, now_s)
        for pool in pools:
            self.loans[pool] = Loan(name, end_s, 0)

    def end_loan(self, pool: int, now_s: float) -> None:
        """Records that a share is back."""
        del self.loans[pool]
        self.origins.pop(pool, None)
        self.free_since_s[pool] = now_s

    def answer_report(
        self, report: cap_messages.ShareReport, now_s: float
    ) -> cap_messages.ShareReceipt:
        """As keeper: records the shares of a VM and returns the receipt."""
        name, held = report.sender, list[int]()
        start, number = self.last_reports.get(name, (0, 0))
        retired = now_s < self.retired.get((name, report.start), 0.0)
        if not retired and (start != report.start or number < report.number):
            self.last_reports[name] = (report.start, report.number)
            valid = report.keeper_start == self.start and report.vms > 0
            valid = valid and not self.leaving
            count = min(max(report.vms, self.count), token_leases.SEATS)
            share = share_pools.Share(
                1.0 / max(1, count),
                min(report.keeper_s, now_s) + token_leases.VALID_S,
            )
            if start != report.start and not self.leaving:
                self.greet(name, now_s)
            if start not in (0, report.start):
                self.retire(name, start, now_s)
                self.keeper.drop_expired(now_s)
                held = self.keeper.lent_by(name)
            if not held:
                pools = report.pools if valid else []
                self.keeper.set_shares(
                    name, pools, share, now_s, report.origins
                )
        numbers = range(len(self.keeper.pools))
        keeping = [row for row in numbers if self.keeper.keeps(row)]
        return cap_messages.ShareReceipt(
            *(self.me.name, self.start, report.number, now_s, self.leaving),
            *(held, keeping, self.heirs),
        )

    def greet(self, name: str, now_s: float) -> None:
        """Asks a VM that has just started whether it has this VM's shares."""
        pending = self.choice.pending
        if any(name in pending[slot] for slot in self.active):
            self.send_report(name, [], now_s)

    def retire(self, name: str, start: int, now_s: float) -> None:
        """Records that a VM has a later process."""
        self.retired = {
            row: until_s
            for row, until_s in self.retired.items()
            if now_s < until_s
        }
        self.retired[name, start] = now_s + RETIRED_S
        contact = self.choice.contacts.get(name)
        if contact is None:
            return
        # What was lent to the earlier process is free.
        contact.keeping = frozenset()

    def handle_receipt(
        self, receipt: cap_messages.ShareReceipt, now_s: float
    ) -> None:
        """Handles a keeper's receipt."""
        name = receipt.sender
        contact = self.choice.contact(name)
        if receipt.leaving and receipt.start == contact.start:
            self.handle_leaving(receipt, now_s)
            return
        # A receipt of an earlier process must not end what a later one holds.
        number = receipt.number
        is_mine = self.first_number < number <= self.sent
        if name not in self.vms or number <= contact.number or not is_mine:
            return
        self.choice.record_reply(name, now_s)
        contact.number = number
        contact.unanswered_s = 0.0
        is_new = contact.start != receipt.start
        contact.start = receipt.start
        contact.keeper_s = receipt.now_s
        contact.received_s = now_s
        gained = frozenset(receipt.keeping) - contact.keeping
        contact.keeping = frozenset(receipt.keeping)
        ended = [
            pool
            for pool, loan in self.loans.items()
            if loan.keeper == name and (loan.number < number or is_new)
        ]
        for pool in ended:
            self.end_loan(pool, now_s)
        freed = self.handle_held(name, receipt.held, now_s)
        if is_new or ended or freed or gained:
            # The shares need not wait for the next interval.
            self.lend_now(now_s, {name} if is_new else set())

    def handle_held(self, name: str, held: list[int], now_s: float) -> bool:
        """Handles what a seat has of the shares lent by an earlier process.

        Returns:
            Whether shares became free.
        """
        valid_s = token_leases.VALID_S + token_leases.VALID_MARGIN_S
        for pool in held:
            if pool not in self.loans and now_s < self.free_since_s[pool]:
                self.loans[pool] = Loan(name, now_s + valid_s, self.sent)
                self.choice.set_chosen(pool, name, now_s)
        freed = False
        for slot, pending in enumerate(self.choice.pending):
            if name not in pending:
                continue
            pending.discard(name)
            if pending:
                continue
            freed = True
            for kind in (share_pools.MAIN, share_pools.SPARE):
                pool = token_leases.pool_of(slot, kind)
                # A later time belongs to a seat that this VM got since.
                late_s = self.choice.begun_s + valid_s
                if pool not in self.loans and self.free_since_s[pool] <= late_s:
                    self.free_since_s[pool] = min(
                        now_s, self.free_since_s[pool]
                    )
        return freed

    def lend_now(self, now_s: float, names: set[str]) -> None:
        """Lends shares that are free, and reports to some VMs."""
        by_keeper = self.choose_all(now_s)
        for name, pools in by_keeper.items():
            is_free = any(
                row not in self.loans and now_s >= self.free_since_s[row]
                for row in pools
            )
            if is_free or name in names:
                self.send_report(name, pools, now_s)

    # VMs that stop

    def leave(self, now_s: float) -> None:
        """Hands over the shares lent to this VM before it stops.

        Other VMs need not wait until they end.
        """
        self.choice.leaving = True
        by_heir: dict[str, dict[int, typing.Any]] = {}
        for slot in range(token_leases.SLOTS):
            chosen = self.choice.choose(slot, now_s)
            for kind in (share_pools.MAIN, share_pools.SPARE):
                number = token_leases.pool_of(slot, kind)
                pool = self.keeper.pools[number]
                name = chosen[kind]
                if not pool.shares or name not in self.vms:
                    continue
                self.heirs[number] = name
                balance = pool.balance(now_s)
                rows = by_heir.setdefault(name, {})
                rows[number] = (balance.fraction, balance.tokens)
        for name, rows in by_heir.items():
            self.send(self.vms[name], cap_messages.Balances(self.start, rows))
        names = {name for pool in self.keeper.pools for name in pool.shares}
        for name in names:
            share = share_pools.Share(0.0, now_s)
            self.keeper.set_shares(name, [], share, now_s)
        for name in sorted(names & self.vms.keys() - {self.me.name}):
            number = self.last_reports[name][1]
            self.send(
                self.vms[name],
                cap_messages.ShareReceipt(
                    *(self.me.name, self.start, number, now_s, True),
                    heirs=self.heirs,
                ),
            )
        self.end_loans_of(self.me.name, self.start, self.heirs, now_s)

    def handle_leaving(
        self, receipt: cap_messages.ShareReceipt, now_s: float
    ) -> None:
        """Takes back the shares of a keeper that stops."""
        contact = self.choice.contact(receipt.sender)
        contact.leaving = contact.start
        contact.keeping = frozenset()
        contact.unanswered_s = 0.0
        self.end_loans_of(receipt.sender, receipt.start, receipt.heirs, now_s)

    def end_loans_of(
        self, name: str, start: int, heirs: dict[int, str], now_s: float
    ) -> None:
        """Lends what a keeper that stops had to the ones that it names."""
        ended = [
            pool for pool, loan in self.loans.items() if loan.keeper == name
        ]
        for pool in ended:
            self.end_loan(pool, now_s)
            self.origins[pool] = start
            heir = heirs.get(pool, "")
            if heir and not self.choice.is_out(heir):
                self.choice.set_chosen(pool, heir, now_s)
        if ended:
            self.lend_now(now_s, set())


def slot_of(workspace: str) -> int:
    """Returns the slot of a workspace, the same on all VMs."""
    digest = xxhash.xxh3_64_intdigest(workspace.encode())
    return digest % token_leases.SLOTS


def create_share_lending(
    keeper: token_leases.Keeper,
    me: owners.Vm,
    start: int,
    send: Send,
    now_s: float,
) -> ShareLending:
    """Returns the state of a process that has just started."""
    return ShareLending(keeper, me, start, send, now_s)
