"""Tests of following the platform, in virtual time."""

import asyncio
import collections
import itertools
import random
import unittest
import unittest.mock

from laurelrock import errors
from laurelrock.gateways import following
from laurelrock.gateways import upstreams
from laurelrock.platform import store
from laurelrock.ports import directory
from tests import gateway_builders as build
from tests import gateways
from tests import virtual

ME = directory.VmRow(
    vm="vm-1", failure_domain="a", address="10.0.0.1:8082", cores=1.0
)
#: Within which a configuration is in force, in seconds (letter 1).
IN_FORCE_S = 3.0
#: Of a call that is refused, in seconds.
CALL_S = 0.2


class Store:
    """Platform that is down for a time; each call takes as long as one may.

    Attributes:
        back_s: Loop time at which it answers again.
        asked: Loop times of the reads of the configuration.
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
        return directory.Configured(
            build.configuration(build.single_route()), 1
        )

    async def watch_configuration(self, revision, wait_s):
        await asyncio.sleep(wait_s)
        return directory.Configured(None, revision)


class FollowingTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(gateways.keep_lines(collections.deque(maxlen=1)))

    def test_platform_is_asked_soon_after_it_is_back(self):
        async def play(down_s):
            loop = asyncio.get_running_loop()
            source = Store(loop.time() + down_s)
            known = following.PlatformFollower(
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

        # The longest pauses that are drawn.
        with unittest.mock.patch.object(random, "random", return_value=1.0):
            asked = virtual.run(play(60.0))
        pauses = [
            after - before - CALL_S
            for before, after in itertools.pairwise(asked)
        ]
        # One that hangs and one that is answered lie between the return of
        # the platform and the configuration.
        self.assertLess(
            max(pauses) + store.TIMEOUT_S + store.TIMEOUT_S / 2, IN_FORCE_S
        )
