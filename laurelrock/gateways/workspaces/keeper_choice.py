"""Chooses the keepers of the caps of workspaces.

A slot's shares belong to its seats, the first VMs of a ranking. One of them is
the main keeper and another one the spare keeper. A keeper that most seats lend
to stays keeper, also if a VM before it in the ranking comes back: a share that
moves has to fill again. If no keeper has most shares, the first usable seat is
chosen, on which all VMs agree.
"""

import collections.abc

from laurelrock.core import owners
from laurelrock.core import share_pools
from laurelrock.core import token_leases

__all__ = ["Contact", "KeeperChoice", "create_keeper_choice"]

#: Time in seconds for which a keeper that was silent has to reply again before
#: it gets shares.
RECOVERY_S = 3.0
#: Time in seconds after its choice in which a keeper may have few shares.
SETTLE_S = 1.0
#: Time in seconds that a VM that has just started waits for the replies of all
#: seats, and that it waits for those of most seats, before it chooses among
#: those that replied. If all VMs start one after another, they thus choose the
#: same keeper.
ALL_SEATS_S, MOST_SEATS_S = 0.1, 2.0
#: Number of seats of a slot that a VM without a seat asks at its start, and the
#: time in seconds for which it does.
ASKED_SEATS, ASKED_S = 4, 3.0


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
        leaving: Random number of a process of it that stops.
        keeping: The pools of which it has most shares.
    """

    def __init__(self) -> None:
        self.start = 0
        self.keeper_s = 0.0
        self.received_s = 0.0
        self.number = 0
        self.unanswered_s = 0.0
        self.suspect = False
        self.recovered_s = float("-inf")
        self.leaving = 0
        self.keeping: frozenset[int] = frozenset()


class KeeperChoice:
    """The keepers that this VM knows of.

    Attributes:
        keeper: The shares lent to this VM.
        me: This VM.
        vms: The listed VMs by name.
        seats: The names of the VMs to which a slot's shares belong, by slot.
        contacts: The keepers by name.
        chosen: The chosen keeper, by pool.
        changed_s: Time of the last change of the chosen keeper, by pool.
        hints: The keepers that another VM named, by pool.
        pending: The seats that haven't replied yet, by slot.
        begun_s: Time of the start of this process, in seconds.
        leaving: Whether this VM stops.
    """

    def __init__(
        self, keeper: token_leases.Keeper, me: owners.Vm, now_s: float
    ) -> None:
        self.keeper = keeper
        self.me = me
        self.vms: dict[str, owners.Vm] = {}
        self.seats: list[list[str]] = [[] for _ in keeper.slots]
        self.contacts: dict[str, Contact] = {}
        self.chosen: dict[int, str] = {}
        self.changed_s: dict[int, float] = {}
        self.hints: dict[int, str] = {}
        self.pending: list[set[str]] = [set() for _ in keeper.slots]
        self.begun_s = now_s
        self.leaving = False

    def has_seat(self, slot: int) -> bool:
        """Tells whether a share of a slot belongs to this VM."""
        return self.me.name in self.seats[slot]

    def set_seats(self, slot: int, names: list[str]) -> None:
        """Sets the seats of a slot."""
        self.seats[slot] = names
        self.pending[slot] = {
            name
            for name in names
            if name != self.me.name and not self.contact(name).start
        }

    def contact(self, name: str) -> Contact:
        """Returns what is known of a keeper."""
        return self.contacts.setdefault(name, Contact())

    def is_out(self, name: str) -> bool:
        """Tells whether a VM was silent when it was last needed, or stops."""
        if name == self.me.name:
            return self.leaving
        contact = self.contacts.get(name)
        if contact is None:
            return name not in self.vms
        left = contact.leaving and contact.leaving == contact.start
        return bool(contact.suspect or left or name not in self.vms)

    def usable(self, slot: int, name: str, now_s: float) -> bool:
        """Tells whether a VM may become keeper of a slot."""
        if self.is_out(name):
            return False
        contact = self.contacts.get(name)
        if name == self.me.name or contact is None:
            return True
        if not contact.start and self.has_seat(slot):
            return False
        return now_s >= contact.recovered_s + RECOVERY_S

    def record_silence(self, name: str) -> None:
        """Records that a VM is out of reach."""
        if name in self.vms and name != self.me.name:
            contact = self.contact(name)
            contact.suspect = True
            contact.unanswered_s = 0.0
            contact.keeping = frozenset()

    def record_reply(self, name: str, now_s: float) -> None:
        """Records that a VM replied."""
        contact = self.contact(name)
        if contact.suspect:
            contact.suspect = False
            if contact.start:
                contact.recovered_s = now_s

    def keeps(self, pool: int, name: str) -> bool:
        """Tells whether a VM has most shares of a pool, as far as known."""
        if name == self.me.name:
            return self.keeper.keeps(pool)
        contact = self.contacts.get(name)
        return contact is not None and pool in contact.keeping

    def settled(
        self, slot: int, kind: int, now_s: float, exclude: str = ""
    ) -> str:
        """Returns the keeper that stays; empty if one has to be found."""
        pool = token_leases.pool_of(slot, kind)
        current = self.chosen.get(pool, "")
        settling = now_s < self.changed_s.get(pool, -SETTLE_S) + SETTLE_S
        rows = [current] if self.keeps(pool, current) else []
        rows.append(self.hints.get(pool, ""))
        rows += [name for name in self.seats[slot] if self.keeps(pool, name)]
        rows += [current] if settling else []
        for name in rows:
            if name and name != exclude and not self.is_out(name):
                return name
        return ""

    def first(self, slot: int, now_s: float, exclude: str) -> str:
        """Returns the first usable seat; empty if there is none."""
        if self.has_seat(slot):
            pending = len(self.pending[slot])
            many = 2 * pending >= len(self.seats[slot])
            limit_s = MOST_SEATS_S if many else ALL_SEATS_S
            if pending and now_s < self.begun_s + limit_s:
                return ""
        for name in self.seats[slot]:
            if name != exclude and self.usable(slot, name, now_s):
                return name
        return ""

    def choose(self, slot: int, now_s: float) -> tuple[str, str]:
        """Returns the main and the spare keeper of a slot.

        If the main keeper is lost, another VM than the spare keeper follows,
        so that the spare tokens stay in use.
        """
        main = self.settled(slot, share_pools.MAIN, now_s)
        spare = self.settled(slot, share_pools.SPARE, now_s, main)
        main = main or self.first(slot, now_s, spare) or spare
        spare = spare or self.first(slot, now_s, main) or main
        return main, spare

    def update(self, slot: int, now_s: float) -> None:
        """Chooses the keepers of a slot anew."""
        for kind, name in enumerate(self.choose(slot, now_s)):
            self.set_chosen(token_leases.pool_of(slot, kind), name, now_s)

    def set_chosen(self, pool: int, name: str, now_s: float) -> None:
        """Sets the keeper of a pool."""
        if self.chosen.get(pool, "") != name:
            self.chosen[pool] = name
            self.changed_s[pool] = now_s

    def silent_seats(
        self, slots: collections.abc.Iterable[int], now_s: float
    ) -> set[str]:
        """Returns the VMs that are to be asked whether they reply.

        A VM that is partitioned from others, or that lends to a keeper with few
        shares, asks all seats for one with most shares.
        """
        names = set()
        for slot in slots:
            seats = self.seats[slot]
            pool = token_leases.pool_of(slot, share_pools.MAIN)
            settled = self.keeps(pool, self.chosen.get(pool, ""))
            for name in seats if self.has_seat(slot) else ():
                if (
                    not settled
                    or self.is_out(name)
                    or name in self.pending[slot]
                ):
                    names.add(name)
            if not self.has_seat(slot):
                names |= {name for name in seats if self.is_out(name)}
                if now_s < self.begun_s + ASKED_S:
                    names |= self.pending[slot] & set(seats[:ASKED_SEATS])
        return names - {self.me.name}


def create_keeper_choice(
    keeper: token_leases.Keeper, me: owners.Vm, now_s: float
) -> KeeperChoice:
    """Returns the state of a process that has just started."""
    return KeeperChoice(keeper, me, now_s)
