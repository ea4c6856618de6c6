"""Queue: sub-queries that wait for a slot of a set of searchers.

Earliest deadline first within a class. The highest class goes first, but each
lower class that waits keeps its share of the slots. What can't meet its
deadline at the present drain rate is refused at once.
"""

import bisect
import typing

__all__ = ["Entry", "Forecast", "Queue", "Refusal", "create_queue"]

#: Least share of a class, so that none starves.
MIN_SHARE = 0.01
#: Most turns that a class can be owed.
MAX_CREDIT = 8.0
#: Least wait that a refusal names, in milliseconds.
MIN_RETRY_MS = 20.0
#: Longest wait that a refusal names, in milliseconds.
MAX_RETRY_MS = 5000.0

Order = typing.Literal["edf", "fifo"]
Item = typing.TypeVar("Item")


class Entry(typing.NamedTuple, typing.Generic[Item]):
    """One sub-query in the queue; sorted by its first two fields.

    Attributes:
        rank: Its deadline, or 0 for arrival order.
        sequence: Order of arrival.
        deadline_s: On the loop's clock.
        item: What waits.
    """

    rank: float
    sequence: int
    deadline_s: float
    item: Item


class Forecast(typing.NamedTuple):
    """What is known of the searchers when a sub-query is offered.

    Attributes:
        rate_per_s: Calls that the searchers finish at full use; 0 is unknown.
        service_s: Time that a call usually takes.
        idle: Whether a slot is free.
    """

    rate_per_s: float
    service_s: float
    idle: bool


class Refusal(typing.NamedTuple):
    """Why a sub-query is not queued.

    Attributes:
        wait_ms: Expected wait for a slot.
        retry_after_ms: When to come back.
    """

    wait_ms: float
    retry_after_ms: float


class Lane(typing.Generic[Item]):
    """Sub-queries of one class.

    Attributes:
        share: Least fraction of the turns while it waits.
        credit: Turns that it is owed.
        entries: Sorted.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.credit = 0.0
        self.entries: list[Entry[Item]] = []


class Queue(typing.Generic[Item]):
    """Sub-queries of all classes.

    Attributes:
        order: "edf" or "fifo" within a class.
        lanes: By priority.
        sequence: Sub-queries offered so far.
    """

    def __init__(self, order: Order) -> None:
        self.order = order
        self.lanes: dict[int, Lane[Item]] = {}
        self.sequence = 0

    def __len__(self) -> int:
        return sum(len(lane.entries) for lane in self.lanes.values())

    def offer(
        self,
        item: Item,
        priority: int,
        share: float,
        deadline_s: float,
        now_s: float,
        forecast: Forecast,
    ) -> Refusal | None:
        """Queues an item, or refuses it.

        Args:
            item: What waits.
            priority: Class, 0 is the highest.
            share: Of the class.
            deadline_s: Of the item, on the loop's clock.
            now_s: Present time.
            forecast: Of the searchers.

        Returns:
            The refusal, or None where the item waits.
        """
        lane = self.lanes.setdefault(priority, Lane(MIN_SHARE))
        lane.share = max(MIN_SHARE, share)
        self.sequence += 1
        rank = deadline_s if self.order == "edf" else 0.0
        entry = Entry(rank, self.sequence, deadline_s, item)
        wait_s = self.expected_wait_s(priority, entry, forecast)
        late_s = now_s + wait_s + forecast.service_s - deadline_s
        if late_s > 0 and not (forecast.idle and not len(self)):
            retry_ms = min(max(late_s * 1000, MIN_RETRY_MS), MAX_RETRY_MS)
            return Refusal(wait_s * 1000, retry_ms)
        bisect.insort(lane.entries, entry)
        return None

    def expected_wait_s(
        self, priority: int, entry: Entry[Item], forecast: Forecast
    ) -> float:
        """Returns how long an entry would wait for a slot."""
        if not forecast.rate_per_s or (forecast.idle and not len(self)):
            return 0.0
        lane = self.lanes[priority]
        ahead = bisect.bisect(lane.entries, entry) + 1
        higher = lower_share = 0.0
        for other, rival in self.lanes.items():
            if other < priority:
                higher += len(rival.entries)
            elif other > priority and rival.entries:
                lower_share += rival.share
        own_share = max(lane.share, 1.0 - lower_share)
        in_turn = (higher + ahead) / own_share
        guaranteed = ahead / min(1.0, lane.share)
        return min(in_turn, guaranteed) / forecast.rate_per_s

    def pop(
        self, now_s: float, service_s: float
    ) -> tuple[Entry[Item] | None, list[Entry[Item]]]:
        """Takes the next entry.

        Args:
            now_s: Present time.
            service_s: Time that a call takes at least.

        Returns:
            The entry or None, and those dropped because they would end
            after their deadlines.
        """
        dropped: list[Entry[Item]] = []
        for lane in self.lanes.values():
            dropped += _drop_late(lane, now_s + service_s)
        waiting = {
            priority: lane
            for priority, lane in self.lanes.items()
            if lane.entries
        }
        if not waiting:
            return None, dropped
        lane = waiting[_choose(waiting)]
        _charge(self.lanes, lane)
        return lane.entries.pop(0), dropped

    def put_back(self, priority: int, entry: Entry[Item]) -> None:
        """Returns an entry that could not be used to its place."""
        bisect.insort(self.lanes[priority].entries, entry)

    def remove(self, item: Item) -> bool:
        """Takes an item out; False where it does not wait."""
        for lane in self.lanes.values():
            for index, entry in enumerate(lane.entries):
                if entry.item is item:
                    del lane.entries[index]
                    return True
        return False


def create_queue(order: Order = "edf") -> Queue[typing.Any]:
    """Returns an empty queue."""
    return Queue(order)


def _drop_late(lane: Lane[Item], end_s: float) -> list[Entry[Item]]:
    """Takes out the entries at the front that are late."""
    entries = lane.entries
    count = 0
    while count < len(entries) and entries[count].deadline_s < end_s:
        count += 1
    late = entries[:count]
    del entries[:count]
    return late


def _choose(waiting: dict[int, Lane[Item]]) -> int:
    """Returns the class that is owed a turn, else the highest one."""
    owed = [p for p, lane in waiting.items() if lane.credit >= 1.0]
    if owed:
        return max(owed, key=lambda p: (waiting[p].credit, -p))
    return min(waiting)


def _charge(lanes: dict[int, Lane[Item]], taken: Lane[Item]) -> None:
    total = sum(lane.share for lane in lanes.values() if lane.entries)
    scale = 1.0 / max(1.0, total)
    for lane in lanes.values():
        if lane.entries:
            credit = lane.credit + lane.share * scale
            lane.credit = min(MAX_CREDIT, credit)
        else:
            lane.credit = 0.0
    taken.credit = max(0.0, taken.credit - 1.0)
