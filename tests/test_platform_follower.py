"""Tests of following the platform, in virtual time."""

import asyncio
import collections
import itertools
import random
import unittest
import unittest.mock

from laurelrock import errors
from laurelrock.gateways import platform_follower
from laurelrock.gateways import upstreams
from laurelrock.platform import store
from laurelrock.ports import directory
from tests import gateway_builders as build
from tests import gateways
from tests import virtual_time

ME = directory.VmEntry(
    vm="vm-1", failure_domain="a", address="10.0.0.1:8082", cores=1.0
)
#: Time in seconds within which a configuration has to be in force.
IN_FORCE_S = 3.0
#: Duration in seconds of a call that is refused.
CALL_S = 0.2


class Store:
    """A platform that is down for a time; each call takes the maximum time.

    Attributes:
        back_s: The loop time at which it answers again.
        asked: The loop times of the reads of the configuration.
    """

    def __init__(self, back_s):
        self.loop = asyncio.get_running_loop()
        self.back_s = back_s
        self.asked = []

    async def read_configuration(self):
        self.asked.append(self.loop.time())
        await asyncio.sleep(CALL_S)
        if self.loop.time() < self.back_s:
            raise errors.StoreError("down")
        return directory.VersionedConfiguration(
            build.configuration(build.single_route()), 1
        )

    async def watch_configuration(self, revision, wait_s):
        await asyncio.sleep(wait_s)
        return directory.VersionedConfiguration(None, revision)


class FollowingTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def test_recovered_platform_is_polled_soon(self):
        async def play(down_s):
            loop = asyncio.get_running_loop()
            source = Store(loop.time() + down_s)
            known = platform_follower.PlatformFollower(
                *(source, ME, upstreams.create_upstreams("a")),
                *[lambda _: None] * 3,
            )
            polls = [
                asyncio.create_task(work()) for work in known.poll_loops()[:1]
            ]
            await asyncio.sleep(down_s + 10)
            for poll in polls:
                poll.cancel()
            return source.asked

        # The longest pauses that the jitter allows.
        with unittest.mock.patch.object(random, "random", return_value=1.0):
            asked = virtual_time.run(play(60.0))
        pauses = [
            after - before - CALL_S
            for before, after in itertools.pairwise(asked)
        ]
        # After the platform returns, one call hangs and the next one gets the
        # configuration.
        self.assertLess(
            max(pauses) + store.TIMEOUT_S + store.TIMEOUT_S / 2, IN_FORCE_S
        )
