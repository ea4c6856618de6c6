"""Queue of sub-queries that wait for a slot at a set of searchers.

Within a priority class the earliest deadline goes first. The highest class goes
first, but each lower class with waiting sub-queries keeps its share of the
slots. A sub-query that cannot meet its deadline at the current drain rate is
refused at once.
"""

import bisect
import typing

__all__ = ["CapacityEstimate", "Entry", "Queue", "Refusal", "create_queue"]

#: Minimum share of a class, which prevents starvation.
MIN_SHARE = 0.01
#: Maximum number of turns that a class can be owed.
MAX_OWED_TURNS = 8.0
#: Shortest retry delay given with a refusal, in milliseconds.
MIN_RETRY_MS = 20.0
#: Longest retry delay given with a refusal, in milliseconds.
MAX_RETRY_MS = 5000.0

Order = typing.Literal["edf", "fifo"]
Item = typing.TypeVar("Item")


class Entry(typing.NamedTuple, typing.Generic[Item]):
    """One queued sub-query; entries sort by their first two fields.

    Attributes:
        sort_key: Sort key: the deadline, or 0 for order of arrival.
        arrival_number: Position in the order of arrival.
        deadline_s: Deadline on the event loop's clock, in seconds.
        item: Queued item.
    """

    sort_key: float
    arrival_number: int
    deadline_s: float
    item: Item


class CapacityEstimate(typing.NamedTuple):
    """Estimated capacity of the searchers when a sub-query is offered.

    Attributes:
        rate_per_s: Calls per second that the searchers complete at full load; 0
            if unknown.
        call_time_s: Typical duration of a call, in seconds.
        has_free_slot: Whether a slot is free.
    """

    rate_per_s: float
    call_time_s: float
    has_free_slot: bool


class Refusal(typing.NamedTuple):
    """Reason why a sub-query was not queued.

    Attributes:
        wait_ms: Expected wait for a slot, in milliseconds.
        retry_after_ms: Retry delay for the sender, in milliseconds.
    """

    wait_ms: float
    retry_after_ms: float


class ClassQueue(typing.Generic[Item]):
    """Sub-queries of one priority class.

    Attributes:
        share: Minimum fraction of the turns while sub-queries are waiting.
        owed_turns: Number of turns that the class is owed.
        entries: Waiting sub-queries in sorted order.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.owed_turns = 0.0
        self.entries: list[Entry[Item]] = []


class Queue(typing.Generic[Item]):
    """Waiting sub-queries of all priority classes.

    Attributes:
        order: Order within a class: "edf" (earliest deadline first) or "fifo".
        classes: Sub-queries of each class, by priority.
        arrivals: Number of sub-queries offered so far.
    """

    def __init__(self, order: Order) -> None:
        self.order = order
        self.classes: dict[int, ClassQueue[Item]] = {}
        self.arrivals = 0

    def __len__(self) -> int:
        return sum(
            len(class_queue.entries) for class_queue in self.classes.values()
        )

    def offer(
        self,
        item: Item,
        priority: int,
        share: float,
        deadline_s: float,
        now_s: float,
        estimate: CapacityEstimate,
    ) -> Refusal | None:
        """Queues an item or refuses it.

        Args:
            item: Item to queue.
            priority: Priority class of the item; 0 is the highest.
            share: Minimum fraction of the turns for the class.
            deadline_s: Deadline of the item on the event loop's clock, in
                seconds.
            now_s: Current loop time, in seconds.
            estimate: Estimated capacity of the searchers.

        Returns:
            The refusal, or None if the item was queued.
        """
        class_queue = self.classes.setdefault(priority, ClassQueue(MIN_SHARE))
        class_queue.share = max(MIN_SHARE, share)
        self.arrivals += 1
        sort_key = deadline_s if self.order == "edf" else 0.0
        entry = Entry(sort_key, self.arrivals, deadline_s, item)
        wait_s = self.expected_wait_s(priority, entry, estimate)
        late_s = now_s + wait_s + estimate.call_time_s - deadline_s
        if late_s > 0 and not (estimate.has_free_slot and not len(self)):
            retry_ms = min(max(late_s * 1000, MIN_RETRY_MS), MAX_RETRY_MS)
            return Refusal(wait_s * 1000, retry_ms)
        bisect.insort(class_queue.entries, entry)
        return None

    def expected_wait_s(
        self, priority: int, entry: Entry[Item], estimate: CapacityEstimate
    ) -> float:
        """Returns the expected wait of an entry for a slot, in seconds."""
        if not estimate.rate_per_s or (
            estimate.has_free_slot and not len(self)
        ):
            return 0.0
        class_queue = self.classes[priority]
        ahead = bisect.bisect(class_queue.entries, entry) + 1
        higher = lower_share = 0.0
        for other, other_queue in self.classes.items():
            if other < priority:
                higher += len(other_queue.entries)
            elif other > priority and other_queue.entries:
                lower_share += other_queue.share
        own_share = max(class_queue.share, 1.0 - lower_share)
        in_turn = (higher + ahead) / own_share
        guaranteed = ahead / min(1.0, class_queue.share)
        return min(in_turn, guaranteed) / estimate.rate_per_s

    def pop(
        self, now_s: float, min_call_time_s: float
    ) -> tuple[Entry[Item] | None, list[Entry[Item]]]:
        """Takes the next entry from the queue.

        Args:
            now_s: Current loop time, in seconds.
            min_call_time_s: Minimum duration of a call, in seconds.

        Returns:
            The next entry or None, and the entries dropped because they could
            no longer meet their deadlines.
        """
        dropped: list[Entry[Item]] = []
        for class_queue in self.classes.values():
            dropped += _drop_late(class_queue, now_s + min_call_time_s)
        waiting = {
            priority: class_queue
            for priority, class_queue in self.classes.items()
            if class_queue.entries
        }
        if not waiting:
            return None, dropped
        class_queue = waiting[_next_class(waiting)]
        _update_owed_turns(self.classes, class_queue)
        return class_queue.entries.pop(0), dropped

    def requeue(self, priority: int, entry: Entry[Item]) -> None:
        """Requeues an entry that could not be used, in its former place."""
        bisect.insort(self.classes[priority].entries, entry)

    def remove(self, item: Item) -> bool:
        """Removes an item; returns False if it is not queued."""
        for class_queue in self.classes.values():
            for index, entry in enumerate(class_queue.entries):
                if entry.item is item:
                    del class_queue.entries[index]
                    return True
        return False


def create_queue(order: Order = "edf") -> Queue[typing.Any]:
    """Returns an empty queue."""
    return Queue(order)


def _drop_late(
    class_queue: ClassQueue[Item], end_s: float
) -> list[Entry[Item]]:
    """Removes the entries at the front that cannot meet their deadlines."""
    entries = class_queue.entries
    count = 0
    while count < len(entries) and entries[count].deadline_s < end_s:
        count += 1
    late = entries[:count]
    del entries[:count]
    return late


def _next_class(waiting: dict[int, ClassQueue[Item]]) -> int:
    """Returns the class owed the most turns, or else the highest class."""
    owed = [
        p for p, class_queue in waiting.items() if class_queue.owed_turns >= 1.0
    ]
    if owed:
        return max(owed, key=lambda p: (waiting[p].owed_turns, -p))
    return min(waiting)


def _update_owed_turns(
    classes: dict[int, ClassQueue[Item]], served: ClassQueue[Item]
) -> None:
    total = sum(
        class_queue.share
        for class_queue in classes.values()
        if class_queue.entries
    )
    scale = 1.0 / max(1.0, total)
    for class_queue in classes.values():
        if class_queue.entries:
            credit = class_queue.owed_turns + class_queue.share * scale
            class_queue.owed_turns = min(MAX_OWED_TURNS, credit)
        else:
            class_queue.owed_turns = 0.0
    served.owed_turns = max(0.0, served.owed_turns - 1.0)
