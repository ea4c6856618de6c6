"""Tests of the queue's order, shares, refusals and drops, in virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from laurelrock import manifest
from laurelrock.core import groups
from laurelrock.core import queue
from tests import builders

IDLE = queue.CapacityEstimate(
    rate_per_s=100.0, call_time_s=0.01, has_free_slot=True
)
BUSY = IDLE._replace(has_free_slot=False)
#: Slots that become free in an hour, at 10 per second.
SLOTS_AN_HOUR = 36_000


def fill(target, rows):
    """Offers (item, priority, share, deadline) rows at time 0."""
    return [
        target.offer(item, priority, share, deadline_s, 0.0, BUSY)
        for item, priority, share, deadline_s in rows
    ]


def drain(target, now_s=0.0):
    items = []
    while (entry := target.pop(now_s, 0.0)[0]) is not None:
        items.append(entry.item)
    return items


class OrderTest(unittest.TestCase):
    def test_order_within_and_between_classes(self):
        rows = [("b", 0, 1, 9.0), ("a", 0, 1, 5.0), ("c", 0, 1, 9.0)]
        mixed = [("low", 1, 0.01, 5.0), ("top", 0, 0.9, 9.0)]
        cases = [
            ("edf", rows, ["a", "b", "c"]),
            ("fifo", rows, ["b", "a", "c"]),
            ("edf", mixed, ["top", "low"]),
        ]
        for order, offered, expected in cases:
            with self.subTest(order=order, offered=offered):
                target = queue.create_queue(order)
                fill(target, offered)
                self.assertEqual(drain(target), expected)

    def test_requeued_and_removed_items(self):
        target = queue.create_queue()
        item, other = object(), object()
        fill(target, [(item, 0, 1, 5.0), (other, 0, 1, 6.0)])
        entry, _ = target.pop(0.0, 0.0)
        target.requeue(0, entry)
        self.assertTrue(target.remove(other))
        self.assertFalse(target.remove(other))
        self.assertEqual(drain(target), [item])

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.floats(1.0, 100.0)
            ),
            max_size=60,
        )
    )
    def test_no_item_is_lost_or_duplicated(self, rows):
        target = queue.create_queue()
        kept = [
            index
            for index, (priority, deadline_s) in enumerate(rows)
            if target.offer(index, priority, 0.1, deadline_s, 0.0, BUSY) is None
        ]
        self.assertEqual(sorted(drain(target)), kept)


class ShareTest(unittest.TestCase):
    @hypothesis.settings(max_examples=20, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 1.0), min_size=2, max_size=5),
        strategies.integers(50, 400),
    )
    def test_each_class_with_waiting_items_gets_its_share(self, shares, turns):
        target = queue.create_queue("fifo")
        forecast = BUSY._replace(rate_per_s=0.0)
        for priority, share in enumerate(shares):
            for _ in range(turns):
                target.offer(priority, priority, share, 1e9, 0.0, forecast)
        taken = [target.pop(0.0, 0.0)[0].item for _ in range(turns)]
        total = max(1.0, sum(max(s, queue.MIN_SHARE) for s in shares))
        for priority, share in enumerate(shares):
            least = max(share, queue.MIN_SHARE) / total * turns
            owed = queue.MAX_OWED_TURNS + len(shares)
            self.assertGreaterEqual(taken.count(priority), least - owed)

    def test_no_class_starves_in_an_hour_of_overload(self):
        target = queue.create_queue()
        shares = {0: 0.4, 1: 0.2, 2: 0.1, 3: 0.0}
        served = dict.fromkeys(shares, 0)
        forecast = BUSY._replace(rate_per_s=10.0)
        for turn in range(SLOTS_AN_HOUR):
            now_s = turn / 10
            for priority, share in shares.items():
                target.offer(
                    priority, priority, share, now_s + 60.0, now_s, forecast
                )
            entry, _ = target.pop(now_s, 0.0)
            served[entry.item] += 1
        for priority, share in shares.items():
            least = max(share, queue.MIN_SHARE) * SLOTS_AN_HOUR
            self.assertGreaterEqual(served[priority], 0.95 * least)
        self.assertEqual(max(served, key=served.get), 0)


class RefusalTest(unittest.TestCase):
    def test_refused_if_the_deadline_cannot_be_met(self):
        # At 100 calls per second, the n-th in the queue waits n * 10 ms.
        cases = [
            ("fits", 4, 0.1, False),
            ("last that fits", 8, 0.101, False),
            ("first that does not fit", 10, 0.1, True),
            ("no time left at all", 1, 0.005, True),
        ]
        for name, ahead, left_s, refused in cases:
            with self.subTest(name):
                target = queue.create_queue("fifo")
                fill(target, [("x", 0, 1, 99.0)] * ahead)
                refusal = target.offer("y", 0, 1, left_s, 0.0, BUSY)
                self.assertEqual(refusal is not None, refused)
                if refusal is not None:
                    self.assertGreaterEqual(
                        refusal.retry_after_ms, queue.MIN_RETRY_MS
                    )

    def test_free_slot_accepts_an_item_close_to_its_deadline(self):
        target = queue.create_queue()
        self.assertIsNone(target.offer("x", 0, 1, 0.001, 0.0, IDLE))

    def test_low_class_is_not_refused_within_its_share(self):
        target = queue.create_queue("fifo")
        fill(target, [("x", 0, 0.5, 99.0)] * 1000)
        refusal = target.offer("y", 1, 0.5, 0.1, 0.0, BUSY)
        self.assertIsNone(refusal)

    def test_late_entries_are_dropped(self):
        target = queue.create_queue()
        fill(target, [("late", 0, 1, 1.0), ("good", 1, 1, 2.0)])
        entry, dropped = target.pop(0.995, 0.01)
        self.assertEqual([row.item for row in dropped], ["late"])
        self.assertEqual(entry.item, "good")


class GroupTest(unittest.TestCase):
    def test_services_that_share_a_searcher_are_grouped(self):
        row = builders.searcher("x")
        shared = manifest.Application(
            {
                "a": [row],
                "b": [row, builders.searcher("y")],
                "c": [builders.searcher("z")],
            },
            [],
        )
        config = manifest.Manifest("m", {}, {"one": shared}, {})
        names = [
            sorted(item.service for item in group)
            for group in groups.group_services(config)
        ]
        self.assertEqual(sorted(names), [["a", "b"], ["c"]])
