"""Tests of the memory that is held for clients, and of evictions."""

import typing
import unittest

from laurelrock.core import client_limits
from laurelrock.core import client_memory
from laurelrock.core import evictions


class Client:
    """A connection that records that it was shed."""

    def __init__(self, progress_s=0.0, handling=False):
        self.progress_s = progress_s
        self.handling = handling
        self.ended = False

    def shed(self):
        self.ended = True


class ClientMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = client_memory.create_client_memory(100)

    def hold(self, count, **fields):
        client = Client(**fields)
        self.memory.set(client, count)
        return client

    def test_nothing_is_shed_up_to_the_limit(self):
        clients = [self.hold(50), self.hold(50)]
        self.assertFalse(any(row.ended for row in clients))
        self.assertEqual(self.memory.held_bytes, 100)

    def test_stalled_client_is_shed_before_one_that_sends(self):
        stalled = self.hold(40, progress_s=1.0)
        sending = self.hold(45, progress_s=9.0)
        late = self.hold(20, progress_s=8.0)
        self.assertTrue(stalled.ended)
        self.assertFalse(sending.ended or late.ended)
        self.assertEqual(self.memory.held_bytes, 65)

    def test_small_client_stays(self):
        small = self.hold(5, progress_s=0.0)
        large = self.hold(96, progress_s=9.0)
        self.assertTrue(large.ended)
        self.assertFalse(small.ended)

    def test_request_that_is_handled_is_shed_last(self):
        handled = self.hold(60, progress_s=0.0, handling=True)
        sending = self.hold(60, progress_s=9.0)
        self.assertTrue(sending.ended)
        self.assertFalse(handled.ended)

    def test_handled_request_stays_although_it_is_the_largest(self):
        stalled = [self.hold(20, progress_s=number) for number in range(4)]
        handled = self.hold(50, progress_s=9.0, handling=True)
        self.assertFalse(handled.ended)
        self.assertEqual([row.ended for row in stalled], [True] * 3 + [False])

    def test_handled_requests_are_shed_if_the_others_are_small(self):
        small = self.hold(5, progress_s=0.0)
        handled = [self.hold(50, handling=True) for _ in range(2)]
        self.assertEqual([row.ended for row in handled], [True, False])
        self.assertFalse(small.ended)

    def test_several_clients_are_shed_at_a_time(self):
        clients = [self.hold(1, progress_s=number) for number in range(101)]
        ended = [row for row in clients if row.ended]
        self.assertEqual(ended, clients[:14])
        self.assertEqual(self.memory.shed, 14)

    def test_only_client_is_shed(self):
        self.assertTrue(self.hold(101).ended)
        self.assertEqual(self.memory.held_bytes, 0)

    def test_changed_and_released_bytes(self):
        client = self.hold(30)
        self.memory.set(client, 10)
        self.assertEqual(self.memory.held_bytes, 10)
        self.memory.set(client, 0)
        self.assertEqual(self.memory.held, {})
        self.memory.set(client, 20)
        self.memory.release(client)
        self.memory.release(client)
        self.assertEqual(self.memory.held_bytes, 0)


class Row(typing.NamedTuple):
    """A connection's state and its expected rank."""

    rank: int | None
    handling: bool = False
    ended: bool = False
    unsent: bool = False
    used: bool = True
    new: bool = False


class EvictionTest(unittest.TestCase):
    ROWS = (
        Row(None, handling=True),
        Row(None, handling=True, ended=True),
        Row(0, ended=True),
        Row(0, ended=True, unsent=True),
        Row(1, used=False),
        Row(2, unsent=True),
        Row(3),
        Row(3, new=True),
        Row(4, used=False, new=True),
    )

    def test_ranks(self):
        for row in self.ROWS:
            with self.subTest(row):
                state = evictions.ConnectionState(*row[1:])
                self.assertEqual(evictions.eviction_rank(state), row.rank)


class ConnectionLimitsTest(unittest.TestCase):
    """The limits on the smallest and the largest of the users' VMs."""

    def test_all_limits_fit(self):
        for memory_bytes, descriptors in ((152e6, 2870), (552e6, 8192)):
            with self.subTest(memory_bytes):
                limits = client_limits.create_connection_limits(
                    memory_bytes, descriptors
                )
                accepted = limits.callers + 3 * limits.others + limits.links
                # A quarter stays for the connections of the process itself.
                self.assertLess(accepted, 0.75 * (descriptors - 200))
                unread = limits.callers * client_limits.UNREAD_BYTES
                memory = client_limits.create_memory(memory_bytes)
                self.assertLessEqual(
                    unread + memory.max_bytes, memory_bytes / 2
                )

    def test_all_other_vms_of_a_large_fleet_can_connect(self):
        limits = client_limits.create_connection_limits(152e6, 2870)
        self.assertGreater(limits.links, 760)

    def test_few_descriptors_still_allow_connections(self):
        limits = client_limits.create_connection_limits(100e6, 50)
        self.assertGreater(min(limits), 0)
