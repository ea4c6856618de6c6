"""Tests of the manifest's spread, in virtual time."""

import unittest

from laurelrock import manifest
from tests import fleet
from tests import spreadnet

#: Half of the platform's reads a second.
READ_LIMIT = 1000

#: Time in which an accepted manifest is in force everywhere, in seconds.
IN_FORCE_S = 3.0


def domain_of(net, domain: str) -> list[str]:
    return [
        address
        for address, process in net.processes.items()
        if process.view.me.failure_domain == domain
    ]


class SpreadTest(unittest.TestCase):
    def assert_only_rising(self, net) -> None:
        for history in net.in_force.values():
            self.assertEqual(history, sorted(set(history)))

    def test_in_force_everywhere_in_time(self):
        for size in (1, 2, 9, 60):
            with self.subTest(size):
                net = spreadnet.started(size, size, 3)
                self.assertEqual(net.generations(), {1})
                for index in range(2, 6):
                    net.publish(spreadnet.small_manifest(f"g{index}"))
                    net.run(IN_FORCE_S)
                    self.assertEqual(net.generations(), {index})
                self.assert_only_rising(net)

    def test_cut_off_domain_gets_it_after_healing(self):
        net = spreadnet.started(1, 15, 5)
        inside = domain_of(net, "d")
        outside = [a for a in net.processes if a not in inside]
        net.cut(inside, outside)
        net.cut_off |= set(inside)
        net.publish(spreadnet.small_manifest("second"))
        net.run(30.0)
        self.assertEqual(net.generations(), {1, 2})
        net.heal()
        net.run(15.0)
        self.assertEqual(net.generations(), {2})

    def test_domain_without_platform_gets_it_from_peers(self):
        net = spreadnet.started(2, 15, 5)
        net.cut_off |= set(domain_of(net, "d"))
        net.publish(spreadnet.small_manifest("second"))
        net.run(IN_FORCE_S)
        self.assertEqual(net.generations(), {2})

    def test_start_without_platform(self):
        net = spreadnet.started(3, 9, 3)
        net.platform.down = True
        seeds = list(net.processes)
        for member in fleet.relays(9, 3):
            if member.failure_domain == "b":
                net.start(member, seeds)
        net.run(5.0)
        self.assertEqual(net.generations(), {1})

    def test_bad_body_leaves_the_last_good_one(self):
        bad = [(b"{}", None), (b"not json", None), (b"", "0" * 32)]
        for raw, digest in bad:
            with self.subTest(raw):
                net = spreadnet.started(4, 9, 3)
                key = "manifest/full/2-p"
                good = spreadnet.small_manifest("second")
                net.publish(good, digest or manifest.digest_of(raw))
                net.platform.put(key, raw)
                net.platform.objects.pop("manifest/delta/2-p")
                net.run(20.0)
                self.assertEqual(net.generations(), {1})
                alarms = [p.spread.alarms for p in net.processes.values()]
                self.assertTrue(any(alarms))
                net.publish(spreadnet.small_manifest("third"))
                net.run(30.0)
                self.assertEqual(net.generations(), {3})

    def test_bad_delta_falls_back_to_the_copy(self):
        net = spreadnet.started(5, 9, 3)
        net.publish(spreadnet.small_manifest("second"))
        net.platform.put("manifest/delta/2-p", b"\xc1")
        net.run(10.0)
        self.assertEqual(net.generations(), {2})

    def test_random_histories(self):
        for seed in range(15):
            with self.subTest(seed):
                self.check_history(seed)

    def check_history(self, seed: int) -> None:
        plan = fleet.relays(15, 5)
        net = spreadnet.started(seed, 15, 5)
        seeds = [member.address for member in plan]
        for count in range(30):
            self.step(net, plan, seeds, count)
            net.run(net.random.uniform(0.1, 8.0))
            self.assert_only_rising(net)
        net.heal()
        net.cut_off.clear()
        net.platform.down = False
        for address, process in list(net.processes.items()):
            if process.paused:
                net.resume(address)
        net.run(60.0)
        self.assertEqual(net.generations() - {net.generation}, set())
        self.assert_only_rising(net)

    def step(self, net, plan, seeds, count) -> None:
        action = net.random.choice(
            ["publish", "publish", "start", "stop", "pause", "cut", "heal"]
            + ["down", "up"]
        )
        member = net.random.choice(plan)
        if action == "publish":
            net.publish(spreadnet.small_manifest(f"{count}"))
        elif action == "start":
            net.start(member, seeds)
        elif action == "stop":
            net.processes.pop(member.address, None)
        elif action == "pause" and member.address in net.processes:
            net.pause(member.address)
        elif action == "cut":
            domain = domain_of(net, member.failure_domain)
            net.cut(domain, [a for a in seeds if a not in domain])
            net.cut_off |= set(domain)
        elif action == "heal":
            net.heal()
            net.cut_off.clear()
        elif action in ("down", "up"):
            net.platform.down = action == "down"


class PlatformReadsTest(unittest.TestCase):
    """The fleet's reads in storms, against half of the platform's rate."""

    def test_mass_start_and_outage_of_a_large_fleet(self):
        net = spreadnet.SpreadNetwork(7)
        net.publish(spreadnet.small_manifest("first"))
        plan = fleet.relays(200, 5)
        seeds = [member.address for member in plan]
        for member in plan:
            net.start(member, seeds)
        net.run(15.0)
        self.assertEqual(net.generations(), {1})
        net.platform.down = True
        net.run(30.0)
        net.platform.down = False
        net.publish(spreadnet.small_manifest("second"))
        net.run(30.0)
        self.assertEqual(net.generations(), {2})
        # 200 daemons must stay within their share of what 760 may use.
        share = READ_LIMIT * 200 / 760
        self.assertLessEqual(max(net.platform.reads.values()), share)


if __name__ == "__main__":
    unittest.main()
