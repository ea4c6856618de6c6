"""Lends this VM's shares of the caps of workspaces to their keepers.

Each slot of workspaces has a main and a spare keeper, which the VMs choose by
rendezvous hashing (`core.token_leases`). Once a second a VM lends its shares to
them. A share is lent to one keeper at a time: before it goes to another one,
the first has confirmed that it is returned, or the time for which it was lent
has passed. Deployments without caps send nothing.
"""

import collections.abc
import itertools
import typing

import xxhash

from laurelrock.core import owners
from laurelrock.core import token_buckets
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import cap_messages

__all__ = ["ShareLending", "create_share_lending", "slot_of"]

#: Interval of reports in seconds.
REPORT_INTERVAL_S = 1.0
#: Time in seconds for which a keeper that was silent has to reply again before
#: it gets shares.
RECOVERY_S = 3.0
#: Time in seconds after a change of a slot's main keeper for which the spare
#: keeper stays, whose bucket would be empty elsewhere.
SPARE_HOLD_S = 10.0
#: Time in seconds for which the number of VMs is still taken as the larger one
#: after it fell, since other VMs may not know yet.
COUNT_HOLD_S = 10.0
#: Number of VMs at the beginning of a ranking that are asked whether they reply
#: while one of the first two is silent. A VM that is partitioned from the other
#: failure domains finds one of its own among them soon.
PROBED_CANDIDATES = 8


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


class Contact:
    """What this VM knows of a keeper.

    Attributes:
        start: Random number of its process; 0 if unknown.
        keeper_s: Its time in the last receipt, in seconds.
        received_s: Time of that receipt, in seconds.
        number: Number of that receipt.
        unanswered_s: Time of the first report without a receipt; 0 if none.
        suspect: Whether it was silent.
        recovered_s: Time of the first reply after it was silent.
    """

    def __init__(self) -> None:
        self.start = 0
        self.keeper_s = 0.0
        self.received_s = 0.0
        self.number = 0
        self.unanswered_s = 0.0
        self.suspect = False
        self.recovered_s = 0.0


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
        candidates: The names of the VMs in the order in which they become
            keepers, by slot.
        active: The slots that have capped workspaces.
        contacts: The keepers by name.
        loans: The shares that are lent, by pool.
        free_since_s: Time since which a pool's share is not lent, by pool.
        chosen: The chosen keeper, by pool.
        start_end_s: Time after which this VM lends no start shares.
        changed_s: Time of the last change of the main keeper, by slot.
        last_reports: As keeper: start and number of the last report, by VM.
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
        self.ranks = [0] * token_leases.SLOTS
        self.reserve_from_s = [now_s + self.window_s] * token_leases.SLOTS
        self.candidates: list[list[str]] = [[] for _ in self.ranks]
        self.active: set[int] = set()
        self.contacts: dict[str, Contact] = {}
        self.loans: dict[int, Loan] = {}
        # An earlier process of this VM may have lent its shares, or used its
        # reserve.
        free_s = now_s + token_leases.VALID_S + token_leases.VALID_MARGIN_S
        pools = range(token_leases.KINDS * token_leases.SLOTS)
        self.free_since_s = dict.fromkeys(pools, free_s)
        for slot in range(token_leases.SLOTS):
            start = token_leases.pool_of(slot, token_leases.START)
            self.free_since_s[start] = now_s
        self.start_end_s = now_s + self.window_s
        self.chosen: dict[int, str] = {}
        self.changed_s: dict[int, float] = {}
        self.numbers = itertools.count(1)
        self.last_reports: dict[str, tuple[int, int]] = {}
        self.leaving = False

    def set_vms(self, vms: list[owners.Vm], now_s: float) -> None:
        """Sets the list of VMs."""
        self.vms = {vm.name: vm for vm in vms}
        if len(vms) < self.count:
            self.count_hold_s = now_s + COUNT_HOLD_S
        self.count = max(self.count, len(vms))
        for slot in range(token_leases.SLOTS):
            ranked = owners.rank(f"caps-{slot}", vms)
            self.candidates[slot] = [vm.name for vm in ranked]
            rank = ranked.index(self.me) if self.me in ranked else len(ranked)
            if rank != self.ranks[slot]:
                self.ranks[slot] = rank
                self.reserve_from_s[slot] = max(
                    self.reserve_from_s[slot], now_s + self.window_s
                )
        for name in [name for name in self.contacts if name not in self.vms]:
            del self.contacts[name]

    def fraction(self, now_s: float) -> float:
        """Returns this VM's share; 0 if the list of VMs isn't known."""
        if now_s >= self.count_hold_s:
            self.count = len(self.vms)
        return 1.0 / self.count if self.me.name in self.vms else 0.0

    def own_share(self, slot: int, now_s: float) -> tuple[float, float]:
        """Returns this VM's share and the time since which it isn't lent."""
        pool = token_leases.pool_of(slot, token_leases.MAIN)
        loan = self.loans.get(pool)
        free_s = loan.end_s if loan else self.free_since_s[pool]
        return self.fraction(now_s), free_s

    def reserve(self, slot: int, now_s: float) -> int:
        """Returns how many requests the reserve has in a window."""
        if now_s < self.reserve_from_s[slot] or self.me.name not in self.vms:
            return 0
        return token_buckets.reserved_tokens(
            self.keeper.policy.slack, len(self.vms), self.ranks[slot]
        )

    # Choice of keepers

    def contact(self, name: str) -> Contact:
        """Returns what is known of a keeper."""
        return self.contacts.setdefault(name, Contact())

    def usable(self, name: str, now_s: float) -> bool:
        """Tells whether a VM may become keeper."""
        if name == self.me.name:
            return not self.leaving
        if name not in self.contacts:
            return True
        contact = self.contacts[name]
        return not contact.suspect and now_s >= contact.recovered_s + RECOVERY_S

    def record_silence(self, name: str) -> None:
        """Records that a VM is out of reach."""
        if name in self.contacts:
            self.contacts[name].suspect = True
            self.contacts[name].unanswered_s = 0.0

    def record_reply(self, name: str, now_s: float) -> None:
        """Records that a VM replied."""
        contact = self.contact(name)
        if contact.suspect:
            contact.suspect = False
            contact.recovered_s = now_s

    def keeper_of(self, slot: int, kind: int, now_s: float) -> str:
        """Returns the keeper to ask for tokens; empty if there is none."""
        loan = self.loans.get(token_leases.pool_of(slot, kind))
        for name in (
            loan.keeper if loan else "",
            self.chosen.get(token_leases.pool_of(slot, kind), ""),
        ):
            if name and name in self.vms and not self.is_suspect(name):
                return name
        main, spare = self.choose(slot, now_s)
        return main if kind == token_leases.MAIN else spare

    def is_suspect(self, name: str) -> bool:
        """Tells whether a VM was silent when it was last needed."""
        return name in self.contacts and self.contacts[name].suspect

    def choose(self, slot: int, now_s: float) -> tuple[str, str]:
        """Returns the main and the spare keeper of a slot."""
        usable = (
            name for name in self.candidates[slot] if self.usable(name, now_s)
        )
        rows = list(itertools.islice(usable, 2))
        main, spare = (rows + rows + ["", ""])[:2]
        held = self.chosen.get(
            token_leases.pool_of(slot, token_leases.SPARE), ""
        )
        hold_s = self.changed_s.get(slot, -SPARE_HOLD_S) + SPARE_HOLD_S
        if held in self.vms and self.usable(held, now_s) and now_s < hold_s:
            spare = held
        return main, spare

    # Reports

    def report(self, now_s: float) -> None:
        """Lends this VM's shares; called at regular intervals."""
        if not self.active and not self.loans:
            return
        for name, contact in self.contacts.items():
            late_s = now_s - contact.unanswered_s
            if contact.unanswered_s and late_s > REPORT_INTERVAL_S / 2:
                self.record_silence(name)
        by_keeper = self.choose_all(now_s)
        for name, pools in by_keeper.items():
            self.send_report(name, pools, now_s)

    def choose_all(self, now_s: float) -> dict[str, list[int]]:
        """Returns the pools to lend to each keeper that gets a report."""
        by_keeper: dict[str, list[int]] = {}
        for slot in self.active:
            main, _ = self.choose(slot, now_s)
            pool = token_leases.pool_of(slot, token_leases.MAIN)
            if self.chosen.get(pool, main) != main:
                self.changed_s[slot] = now_s
            _, spare = self.choose(slot, now_s)
            for kind, name in enumerate((main, spare)):
                self.chosen[token_leases.pool_of(slot, kind)] = name
            self.choose_start(slot, main, now_s)
            first = self.candidates[slot][:PROBED_CANDIDATES]
            if any(self.is_suspect(name) for name in first):
                for name in first:
                    by_keeper.setdefault(name, [])
            elif first and main != first[0]:
                by_keeper.setdefault(first[0], [])
        for pool, loan in list(self.loans.items()):
            if loan.end_s <= now_s:
                del self.loans[pool]
                self.free_since_s[pool] = loan.end_s
            elif loan.keeper in self.vms:
                by_keeper.setdefault(loan.keeper, [])
        for pool, name in self.chosen.items():
            taken = self.loans.get(pool)
            if name in self.vms and pool // token_leases.KINDS in self.active:
                pools = by_keeper.setdefault(name, [])
                if taken is None or taken.keeper == name:
                    pools.append(pool)
        return by_keeper

    def choose_start(self, slot: int, main: str, now_s: float) -> None:
        """Chooses the keeper of the start share, only once."""
        pool = token_leases.pool_of(slot, token_leases.START)
        if now_s >= self.start_end_s:
            self.chosen.pop(pool, None)
        elif main and pool not in self.chosen:
            self.chosen[pool] = main

    def send_report(self, name: str, pools: list[int], now_s: float) -> None:
        """Lends the shares of some pools to a keeper."""
        valid_s = token_leases.VALID_S + token_leases.VALID_MARGIN_S
        fraction = self.fraction(now_s)
        pools = [row for row in pools if now_s >= self.free_since_s[row]]
        if not fraction:
            pools = []
        if name == self.me.name:
            share = token_leases.Share(fraction, now_s + token_leases.VALID_S)
            self.keeper.set_shares(name, pools, share, now_s)
            for pool, loan in list(self.loans.items()):
                if loan.keeper == name and pool not in pools:
                    self.end_loan(pool, now_s)
            for pool in pools:
                self.loans[pool] = Loan(name, now_s + valid_s, 0)
            return
        contact = self.contact(name)
        number = next(self.numbers)
        end_s = contact.received_s + valid_s
        if contact.suspect or not contact.start or end_s <= now_s:
            pools = []
        for pool in pools:
            self.loans[pool] = Loan(name, end_s, number)
        contact.unanswered_s = contact.unanswered_s or now_s
        self.send(
            self.vms[name],
            cap_messages.ShareReport(
                *(self.me.name, self.start, number, self.count, pools),
                *(contact.start, contact.keeper_s),
            ),
        )

    def end_loan(self, pool: int, now_s: float) -> None:
        """Records that a share is back."""
        del self.loans[pool]
        self.free_since_s[pool] = now_s

    def answer_report(
        self, report: cap_messages.ShareReport, now_s: float
    ) -> cap_messages.ShareReceipt:
        """As keeper: records the shares of a VM and returns the receipt."""
        start, number = self.last_reports.get(report.sender, (0, 0))
        if start != report.start or number < report.number:
            self.last_reports[report.sender] = (report.start, report.number)
            valid = report.keeper_start == self.start and report.vms > 0
            valid = valid and not self.leaving
            share = token_leases.Share(
                1.0 / max(1, report.vms, self.count),
                min(report.keeper_s, now_s) + token_leases.VALID_S,
            )
            pools = report.pools if valid else []
            self.keeper.set_shares(report.sender, pools, share, now_s)
        return cap_messages.ShareReceipt(
            self.me.name, self.start, report.number, now_s, self.leaving
        )

    def leave(self, now_s: float) -> None:
        """Returns the shares lent to this VM before it stops.

        Other VMs need not wait until they end.
        """
        self.leaving = True
        names = {name for pool in self.keeper.pools for name in pool.shares}
        for name in names:
            share = token_leases.Share(0.0, now_s)
            self.keeper.set_shares(name, [], share, now_s)
        for pool, loan in list(self.loans.items()):
            if loan.keeper == self.me.name:
                self.end_loan(pool, now_s)
        for name in names & self.vms.keys() - {self.me.name}:
            number = self.last_reports[name][1]
            self.send(
                self.vms[name],
                cap_messages.ShareReceipt(
                    self.me.name, self.start, number, now_s, leaving=True
                ),
            )

    def handle_receipt(
        self, receipt: cap_messages.ShareReceipt, now_s: float
    ) -> None:
        """Handles a keeper's receipt."""
        name = receipt.sender
        contact = self.contact(name)
        if receipt.leaving and receipt.start == contact.start:
            self.handle_leaving(name, now_s)
            return
        # A receipt of an earlier process must not end what a later one holds.
        if name not in self.vms or receipt.number <= contact.number:
            return
        self.record_reply(name, now_s)
        contact.number = receipt.number
        contact.unanswered_s = 0.0
        is_new = contact.start != receipt.start
        contact.start = receipt.start
        contact.keeper_s = receipt.now_s
        contact.received_s = now_s
        ended = [
            pool
            for pool, loan in self.loans.items()
            if loan.keeper == name and (loan.number < receipt.number or is_new)
        ]
        for pool in ended:
            self.end_loan(pool, now_s)
        if is_new or ended:
            # The shares need not wait for the next interval.
            by_keeper = self.choose_all(now_s)
            names = {self.chosen.get(pool, "") for pool in ended} or {name}
            for target in names & by_keeper.keys():
                self.send_report(target, by_keeper[target], now_s)

    def handle_leaving(self, name: str, now_s: float) -> None:
        """Takes back the shares of a keeper that stops."""
        ended = [
            pool for pool, loan in self.loans.items() if loan.keeper == name
        ]
        self.record_silence(name)
        for pool in ended:
            self.end_loan(pool, now_s)
        if ended:
            by_keeper = self.choose_all(now_s)
            for target in {self.chosen.get(pool, "") for pool in ended} - {""}:
                self.send_report(target, by_keeper[target], now_s)


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
