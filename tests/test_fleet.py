"""Tests of waiting until a manifest is in force at every daemon."""

import collections
import unittest

from laurelrock import errors
from laurelrock import fleet
from laurelrock.ports import platform
from tests import memory_platform
from tests import virtual_time

PORTS = fleet.AdminPorts(1, 2)


class FakeAdmin:
    """Admin client whose daemons change generation with each status query.

    Attributes:
        generations: Generations that a VM's daemons report in turn; the last
            one repeats, and a negative one means that they don't respond.
        asked: Number of status queries by address.
    """

    def __init__(self, **generations: list[int]) -> None:
        self.generations = generations
        self.asked: collections.Counter[str] = collections.Counter()

    async def status(self, address: str) -> dict:
        host = address.partition(":")[0]
        steps = self.generations[host]
        step = min(self.asked[address], len(steps) - 1)
        self.asked[address] += 1
        if steps[step] < 0:
            raise errors.PeerSilentError("no response")
        return {"generation": steps[step]}


def wait_for_generation(
    client: FakeAdmin, vms: dict[str, str], script=(), timeout_s: float = 5.0
) -> list[fleet.ExpectedDaemon]:
    """Waits for generation 7 in virtual time; returns the last statuses."""
    store = memory_platform.MemoryStore()
    store.vms = [
        platform.Vm(name, name, "a", state) for name, state in vms.items()
    ]
    store.scripted_faults.extend(script)
    port = memory_platform.MemoryPlatform(store)
    return virtual_time.run(
        fleet.wait_in_force(port, client, PORTS, 7, timeout_s)
    )


class WaitTest(unittest.TestCase):
    def test_each_daemon_is_queried_until_it_has_the_generation(self):
        client = FakeAdmin(v1=[7], v2=[6, 6, 8], v3=[-1, 7])
        places = wait_for_generation(
            client, {"v1": "live", "v2": "live", "v3": "live"}
        )
        self.assertEqual(fleet.without_generation(places, 7), [])
        self.assertEqual(len(places), 6)
        self.assertEqual(
            client.asked,
            {"v1:1": 1, "v1:2": 1, "v2:1": 3, "v2:2": 3, "v3:1": 2, "v3:2": 2},
        )

    def test_daemons_without_the_generation_are_returned(self):
        cases = [
            ("behind", [6], "live", 2),
            ("unresponsive", [-1], "live", 2),
            ("leaving and behind", [6], "leaving", 2),
            ("leaving and unresponsive", [-1], "leaving", 0),
        ]
        for name, steps, state, late in cases:
            with self.subTest(name):
                client = FakeAdmin(v1=[7], v2=steps)
                places = wait_for_generation(
                    client, {"v1": "live", "v2": state}
                )
                names = [
                    place.vm for place in fleet.without_generation(places, 7)
                ]
                self.assertEqual(names, ["v2"] * late)

    def test_empty_list_of_vms(self):
        self.assertEqual(wait_for_generation(FakeAdmin(), {}), [])

    def test_platform_fails_after_the_first_list_of_vms(self):
        client = FakeAdmin(v1=[6, 6, 7])
        places = wait_for_generation(
            client, {"v1": "live"}, ["ok", "down", "down"]
        )
        self.assertEqual(fleet.without_generation(places, 7), [])

    def test_platform_never_recovers(self):
        with self.assertRaises(errors.PlatformError):
            wait_for_generation(
                FakeAdmin(v1=[7]), {"v1": "live"}, ["down"] * 99
            )
