"""Tests of the membership and distribution services over pyzmq."""

import asyncio
import random
import unittest

from fakes import simulated_fleet
from laurelrock import errors
from laurelrock import head
from laurelrock import manifest
from laurelrock import manifest_distribution
from laurelrock import membership
from laurelrock.adapters import bus
from laurelrock.core import members
from laurelrock.ports import platform
from tests import builders

#: Maximum time to wait for an expected state, in seconds.
TIMEOUT_S = 30.0


class MemoryPlatform:
    """Platform that keeps its objects in memory and can fail."""

    def __init__(self) -> None:
        self.objects = {}
        self.rows = []
        self.down = False
        self.broken = False

    def commit(self, generation: int, raw: bytes) -> None:
        full = head.full_key(generation, "p")
        digest = manifest.digest_of(raw)
        body = head.encode(head.Head(generation, digest, "p", full))
        self.objects[full] = platform.StoredObject(1, raw)
        self.objects[head.HEAD_KEY] = platform.StoredObject(generation, body)

    def check(self) -> None:
        if self.broken:
            self.broken = False
            raise ZeroDivisionError("broken")
        if self.down:
            raise errors.PlatformError("down")

    async def get(self, key):
        self.check()
        return self.objects.get(key)

    async def watch(self, key, after, wait_s):
        for _ in range(int(wait_s / 0.05)):
            self.check()
            if key in self.objects and self.objects[key].version > after:
                return self.objects[key]
            await asyncio.sleep(0.05)
        return None

    async def vms(self):
        self.check()
        return self.rows


class ControlPlaneNode:
    """Bus, membership and distribution services of one daemon."""

    def __init__(self, store, index: int, start_id: str) -> None:
        address = f"{builders.vm_address(index)}:7400"
        me = members.Member(
            f"e{index}", "relay", address, "ab"[index % 2], "r", start_id
        )
        options = membership.Options([], [7400], 0.5, 0.0)
        source = random.Random(index)
        self.bus = bus.open_bus(address)
        self.members = membership.open_membership(
            me, self.bus, store, options, source
        )
        self.distribution = manifest_distribution.open_distribution(
            self.members, self.bus, store, source
        )
        self.tasks = [
            asyncio.create_task(self.members.run()),
            asyncio.create_task(self.distribution.run()),
        ]

    def usable_members(self) -> set[tuple[str, str]]:
        found = self.members.usable_members("relay")
        return {(member.vm, member.start_id) for member in found}

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.bus.close()


class ControlPlaneTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryPlatform()
        self.store.rows = [
            platform.Vm(
                f"e{index}", builders.vm_address(index), "ab"[index % 2]
            )
            for index in range(1, 5)
        ]
        self.store.commit(1, simulated_fleet.manifest_with_text("first"))
        self.nodes = {}
        for index in range(1, 4):
            self.start_node(index, "s")
        await self.wait_until(self.members_agree, "the members agree")
        await self.wait_until(
            lambda: self.all_have_generation(1), "generation 1"
        )

    async def asyncTearDown(self):
        for node in self.nodes.values():
            await node.close()

    def start_node(self, index: int, start_id: str) -> None:
        self.nodes[index] = ControlPlaneNode(self.store, index, start_id)

    async def wait_until(self, reached, what: str) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() + TIMEOUT_S
        while not reached():
            found = [node.usable_members() for node in self.nodes.values()]
            self.assertLess(loop.time(), limit, f"{what}: {found}")
            await asyncio.sleep(0.02)

    def members_agree(self) -> bool:
        truth = {
            (f"e{index}", node.members.view.me.start_id)
            for index, node in self.nodes.items()
            if node.members.view.me.state == "live"
        }
        return all(
            node.usable_members() == truth for node in self.nodes.values()
        )

    def all_have_generation(self, generation: int) -> bool:
        return all(
            node.distribution.generation == generation
            for node in self.nodes.values()
        )

    async def test_leave_death_and_return(self):
        self.nodes[2].members.leave()
        await self.wait_until(self.members_agree, "e2 is leaving")
        await self.nodes.pop(2).close()
        await self.nodes.pop(3).close()
        await self.wait_until(self.members_agree, "e3 is dead")
        self.start_node(3, "again")
        await self.wait_until(self.members_agree, "e3 came back")

    async def test_invalid_manifest_is_rejected_and_counted(self):
        digest = manifest.digest_of(b"another")
        full = head.full_key(2, "p")
        body = head.encode(head.Head(2, digest, "p", full))
        self.store.objects[full] = platform.StoredObject(1, b"{}")
        self.store.objects[head.HEAD_KEY] = platform.StoredObject(2, body)
        nodes = self.nodes.values()
        await self.wait_until(
            lambda: any(node.distribution.refused for node in nodes),
            "a rejection",
        )
        self.assertTrue(self.all_have_generation(1))
        codes = {code for node in nodes for code in node.distribution.refused}
        self.assertEqual(codes, {"digest-mismatch"})

    async def test_services_survive_unexpected_exceptions(self):
        for generation in range(2, 5):
            self.store.broken = True
            await self.wait_until(lambda: not self.store.broken, "a failure")
            raw = simulated_fleet.manifest_with_text(f"g{generation}")
            self.store.commit(generation, raw)
            await self.wait_until(
                lambda wanted=generation: self.all_have_generation(wanted),
                "in force",
            )

    async def test_new_daemon_gets_the_manifest_while_platform_is_down(self):
        self.store.commit(2, simulated_fleet.manifest_with_text("second"))
        await self.wait_until(
            lambda: self.all_have_generation(2), "generation 2"
        )
        self.store.down = True
        self.start_node(4, "s")
        await self.wait_until(
            lambda: self.all_have_generation(2), "e4 has generation 2"
        )
        await self.wait_until(self.members_agree, "e4 joined")


if __name__ == "__main__":
    unittest.main()
