"""Calls that wait for a connection to one address, in the order of the core.

The queue is bounded. Calls that can't return before their deadline are dropped
as soon as that is known. A dropped call fails with `CallDroppedError`.
"""

import asyncio
import heapq
import itertools
import math
import typing

from laurelrock import errors
from laurelrock.core import call_order

__all__ = ["DROP_REASONS", "CallQueue", "arrival"]

#: Maximum number of calls that wait for one address. It bounds the memory; at
#: the usual latencies and connections, calls behind so many others are late.
MAX_WAITING = 256
#: Reasons of a dropped call.
EXPIRED = "the call can't return before its deadline"
FULL = "too many calls wait for the searcher"
DROP_REASONS = (EXPIRED, FULL)


class Queueable(typing.Protocol):
    """A call whose future ends with the response or the failure."""

    future: asyncio.Future[typing.Any]


QueuedCall = typing.TypeVar("QueuedCall", bound=Queueable)


class Entry(typing.NamedTuple, typing.Generic[QueuedCall]):
    """A call in the queue; entries of a kind are compared by their first two.

    Attributes:
        due_s: Loop time at which the call is due, in seconds.
        number: Number of calls that were added before.
        waiting: What the order is based on.
        timer: Drops the call when it is too late; None if it has no deadline.
        call: The call.
    """

    due_s: float
    number: int
    waiting: call_order.WaitingCall
    timer: asyncio.TimerHandle | None
    call: QueuedCall


class CallQueue(typing.Generic[QueuedCall]):
    """The calls that wait for a connection.

    Attributes:
        heaps: The waiting calls by kind, with those that ended meanwhile.
        taken_s: Loop times at which calls of these kinds were last taken.
        numbers: Numbers of the calls.
        taken: Number of calls that were taken.
        loop: Event loop of the calls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.heaps: dict[tuple[str, int, float], list[Entry[QueuedCall]]] = {}
        self.taken_s: dict[tuple[str, int, float], float] = {}
        self.numbers = itertools.count()
        self.taken = 0
        self.loop = loop

    def count(self) -> int:
        """Returns the number of calls that wait."""
        return sum(
            not row.call.future.done()
            for heap in self.heaps.values()
            for row in heap
        )

    def add(self, call: QueuedCall, waiting: call_order.WaitingCall) -> None:
        """Adds a call; if there are too many, the last one is dropped."""
        timer = None
        if math.isfinite(waiting.latest_start_s):
            timer = self.loop.call_at(
                waiting.latest_start_s, drop, call, EXPIRED
            )
        number = next(self.numbers)
        entry = Entry(waiting.due_s, number, waiting, timer, call)
        heapq.heappush(self.heaps.setdefault(waiting.kind, []), entry)
        if sum(map(len, self.heaps.values())) > MAX_WAITING:
            self.drop_last()

    def drop_last(self) -> None:
        """Removes the calls that ended, and drops the last one of the others.

        It is dropped a little later, since it may be the one being added.
        """
        rows = [row for heap in self.heaps.values() for row in heap]
        rows = [row for row in rows if not has_ended(row)]
        if len(rows) > MAX_WAITING:
            now_s = self.loop.time()
            last = max(
                rows,
                key=lambda row: (
                    call_order.rank(row.waiting, now_s),
                    row.number,
                ),
            )
            rows.remove(last)
            stop_timer(last)
            self.loop.call_soon(drop, last.call, FULL)
        self.heaps.clear()
        for row in rows:
            heap = self.heaps.setdefault(row.waiting.kind, [])
            heapq.heappush(heap, row)

    def pop(self) -> Entry[QueuedCall] | None:
        """Removes and returns the next call that waits."""
        for kind, heap in list(self.heaps.items()):
            while heap and has_ended(heap[0]):
                heapq.heappop(heap)
            if not heap:
                del self.heaps[kind]
                self.taken_s.pop(kind, None)
        if not self.heaps:
            return None
        row = heapq.heappop(self.heaps[self.next_kind()])
        stop_timer(row)
        return row

    def next_kind(self) -> tuple[str, int, float]:
        """Returns the kind of the next call."""
        kinds = list(self.heaps)
        if len(kinds) == 1:
            return kinds[0]
        now_s = self.loop.time()
        index = call_order.choose(
            [self.heaps[kind][0].waiting for kind in kinds],
            [self.taken_s.get(kind, -math.inf) for kind in kinds],
            *(now_s, self.taken),
        )
        self.taken_s[kinds[index]] = now_s
        return kinds[index]

    def take(self) -> QueuedCall | None:
        """Removes and returns the next call that can return in time."""
        while True:
            row = self.pop()
            if row is None:
                return None
            if self.loop.time() <= row.waiting.latest_start_s:
                self.taken += 1
                return row.call
            drop(row.call, EXPIRED)

    def fail(self, error: errors.ConnectError, max_calls: int) -> None:
        """Fails up to `max_calls` calls in their order."""
        for _ in range(max_calls):
            row = self.pop()
            if row is None:
                return
            row.call.future.set_exception(error)


def arrival(now_s: float) -> call_order.WaitingCall:
    """Returns what places a call that has no objective or deadline."""
    return call_order.WaitingCall("", 0, now_s, 0.0, math.inf, 1.0, 0.0)


def drop(call: Queueable, reason: str) -> None:
    """Fails a call that won't be sent."""
    if not call.future.done():
        call.future.set_exception(errors.CallDroppedError(reason))


def has_ended(row: Entry[typing.Any]) -> bool:
    """Returns whether a call was aborted or dropped; stops its timer if so."""
    if row.call.future.done():
        stop_timer(row)
        return True
    return False


def stop_timer(row: Entry[typing.Any]) -> None:
    """Stops the timer of a call that left the queue."""
    if row.timer is not None:
        row.timer.cancel()
