"""Tests of owners that are silent, in virtual time."""

import asyncio
import collections
import unittest

from tests import gateway_builders as build
from tests import gateway_worlds as worlds
from tests import gateways
from tests import virtual

SHARDS = tuple(f"shard-{n}" for n in range(27))
ROUTE = build.query_route(SHARDS)
#: What a query takes with an owner that is silent, at least, in seconds.
WAITED_S = 0.04


def create_world():
    """Returns six VMs of two failure domains; owners call all shards."""
    configuration = build.configuration(ROUTE)
    services = {
        name: service._replace(connections=6)
        for name, service in configuration.services.items()
    }
    world = worlds.World(
        configuration._replace(services=services),
        [worlds.Behaviour("answer", 0.005)],
    )
    for number in range(6):
        node = world.add_node(number, "ab"[number % 2], 6)
        for service in SHARDS:
            for n in range(2):
                world.change(node, f"{service}-{n}", "live")
    for node in world.nodes:
        node.groups.assignment.set_vms([other.me for other in world.nodes])
    return world


def split_world():
    """Returns a world, a VM that asks, and an owner that it asks."""
    world = create_world()
    asker = world.nodes[0]
    _, away = asker.groups.split(ROUTE)
    owner = asker.groups.assignment.ranked(away[0][0])[0]
    return world, asker, world.by_host[owner.host]


class SilentOwnerTest(unittest.TestCase):
    def setUp(self):
        self.lines = collections.deque(maxlen=10_000)
        self.enterContext(gateways.keep_lines(self.lines))
        self.numbers = iter(range(10_000))

    async def ask(self, node):
        """Runs a query; returns how long it took."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        request_id = b"r-%d" % next(self.numbers)
        outcome = await node.run(ROUTE, request_id, 1.0)
        self.assertEqual(outcome.kind, "answered")
        return loop.time() - begun_s

    def test_callers_pay_once_for_a_silent_owner(self):
        async def play():
            _, asker, owner = split_world()
            owner.deaf = True
            took = []
            for _ in range(20):
                took.append(await self.ask(asker))
                await asyncio.sleep(1.5)
            return took

        took = virtual.run(play())
        self.assertGreater(took[0], WAITED_S)
        self.assertLess(max(took[1:]), WAITED_S)

    def test_owner_that_is_back_is_asked_again(self):
        async def play():
            _, asker, owner = split_world()
            owner.deaf = True
            await self.ask(asker)
            await asyncio.sleep(12.0)
            owner.deaf = False
            before = owner.groups.counts["served"]
            await asyncio.sleep(6.0)
            await self.ask(asker)
            return before, owner.groups.counts["served"]

        before, after = virtual.run(play())
        self.assertGreater(after, before)
        events = collections.Counter(row["event"] for row in self.lines)
        self.assertEqual(events["owner-passed"], 1)
        self.assertEqual(events["owner-back"], 1)

    def test_vm_that_reaches_no_owner_calls_itself(self):
        async def play():
            world, asker, _ = split_world()
            for node in world.nodes:
                node.deaf = node is not asker
            first = await self.ask(asker)
            await asyncio.sleep(1.5)
            return first, await self.ask(asker)

        first, second = virtual.run(play())
        self.assertLess(second, WAITED_S)
        self.assertLess(second, first)

    def test_owner_that_is_no_longer_listed_is_forgotten(self):
        async def play():
            world, asker, owner = split_world()
            owner.deaf = True
            await self.ask(asker)
            asker.groups.assignment.set_vms(
                [node.me for node in world.nodes if node is not owner]
            )
            await asyncio.sleep(10.0)
            return asker.groups.passed

        self.assertEqual(virtual.run(play()), {})
