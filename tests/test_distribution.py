"""Tests of the manifest's distribution, in virtual time."""

import collections
import random
import unittest

from fakes import simulated_fleet
from laurelrock import head
from laurelrock import manifest
from laurelrock import membership
from laurelrock.core import detector
from laurelrock.core import distribution
from laurelrock.core import pacing

#: Limit of the fleet's reads, in reads per second: half of the platform's
#: capacity.
MAX_READS_PER_S = 1000

#: Number of daemons in the fleet that the design targets.
FLEET_SIZE = 760

#: Time within which a published manifest must be in force everywhere, in
#: seconds.
MAX_DISTRIBUTION_S = 3.0


class DistributionTest(unittest.TestCase):
    def assert_generations_only_rise(self, net) -> None:
        for process in net.processes.values():
            history = process.generation_history
            self.assertEqual(history, sorted(set(history)))

    def test_in_force_everywhere_within_the_time_limit(self):
        for size in (1, 2, 9, 60):
            with self.subTest(size):
                net = simulated_fleet.start(size, size, 3)
                self.assertEqual(net.generations_in_force(), {1})
                for index in range(2, 6):
                    net.publish(simulated_fleet.manifest_with_text(f"g{index}"))
                    net.run(MAX_DISTRIBUTION_S)
                    self.assertEqual(net.generations_in_force(), {index})
                self.assert_generations_only_rise(net)

    def test_changes_in_quick_succession(self):
        # The second manifest is announced while the first one is still being
        # requested. No daemon may have to wait for the next heartbeat, a
        # second later, to learn of it.
        net = simulated_fleet.start(1, 4, 1)
        for gap_s in (0.02, 0.05, 0.1, 0.15, 0.2, 0.25):
            with self.subTest(gap_s):
                net.publish(
                    simulated_fleet.manifest_with_text(f"first-{gap_s}")
                )
                net.run(gap_s)
                net.publish(
                    simulated_fleet.manifest_with_text(f"second-{gap_s}")
                )
                net.run(detector.HEARTBEAT_INTERVAL_S / 2)
                self.assertEqual(net.generations_in_force(), {net.generation})
                net.run(5.0)

    def test_partitioned_domain_catches_up_after_healing(self):
        net = simulated_fleet.start(1, 15, 5)
        inside = net.addresses_in_domain("d")
        outside = [a for a in net.processes if a not in inside]
        net.cut(inside, outside)
        net.partitioned_from_platform |= set(inside)
        net.publish(simulated_fleet.manifest_with_text("second"))
        net.run(30.0)
        self.assertEqual(net.generations_in_force(), {1, 2})
        net.heal_partitions()
        net.run(15.0)
        self.assertEqual(net.generations_in_force(), {2})

    def test_domain_without_platform_gets_the_manifest_from_peers(self):
        net = simulated_fleet.start(2, 15, 5)
        net.partitioned_from_platform |= set(net.addresses_in_domain("d"))
        net.publish(simulated_fleet.manifest_with_text("second"))
        net.run(MAX_DISTRIBUTION_S)
        self.assertEqual(net.generations_in_force(), {2})

    def test_start_without_platform(self):
        net = simulated_fleet.start(3, 9, 3)
        net.platform_down = True
        seeds = list(net.processes)
        for member in simulated_fleet.relay_members(9, 3):
            if member.failure_domain == "b":
                net.start(member, seeds)
        net.run(5.0)
        self.assertEqual(net.generations_in_force(), {1})

    def test_invalid_manifest_leaves_the_last_valid_one_in_force(self):
        bad = [(b"{}", None), (b"not json", None), (b"", "0" * 32)]
        for raw, digest in bad:
            with self.subTest(raw):
                net = simulated_fleet.start(4, 9, 3)
                key = "manifest/full/2-p"
                good = simulated_fleet.manifest_with_text("second")
                net.publish(good, digest or manifest.digest_of(raw))
                net.put_object(key, raw)
                net.objects.pop("manifest/delta/2-p")
                net.run(20.0)
                self.assertEqual(net.generations_in_force(), {1})
                rejections = [
                    p.distribution_state.rejections
                    for p in net.processes.values()
                ]
                self.assertTrue(any(rejections))
                net.publish(simulated_fleet.manifest_with_text("third"))
                net.run(30.0)
                self.assertEqual(net.generations_in_force(), {3})

    def test_invalid_delta_falls_back_to_the_full_manifest(self):
        net = simulated_fleet.start(5, 9, 3)
        net.publish(simulated_fleet.manifest_with_text("second"))
        net.put_object("manifest/delta/2-p", b"\xc1")
        net.run(10.0)
        self.assertEqual(net.generations_in_force(), {2})

    def test_random_histories(self):
        for seed in range(15):
            with self.subTest(seed):
                self.check_history(seed)

    def check_history(self, seed: int) -> None:
        members = simulated_fleet.relay_members(15, 5)
        net = simulated_fleet.start(seed, 15, 5)
        seeds = [member.address for member in members]
        for count in range(30):
            self.step(net, members, seeds, count)
            net.run(net.random.uniform(0.1, 8.0))
            self.assert_generations_only_rise(net)
        net.heal_partitions()
        net.platform_down = False
        for address, process in list(net.processes.items()):
            if process.paused:
                net.resume(address)
        net.run(60.0)
        self.assertEqual(net.generations_in_force() - {net.generation}, set())
        self.assert_generations_only_rise(net)

    def step(self, net, members, seeds, count) -> None:
        action = net.random.choice(
            ["publish", "publish", "start", "stop", "pause", "cut", "heal"]
            + ["down", "up"]
        )
        member = net.random.choice(members)
        if action == "publish":
            net.publish(simulated_fleet.manifest_with_text(f"{count}"))
        elif action == "start":
            net.start(member, seeds)
        elif action == "stop":
            net.stop(member.address)
        elif action == "pause" and member.address in net.processes:
            net.processes[member.address].paused = True
        elif action == "cut":
            domain = net.addresses_in_domain(member.failure_domain)
            net.cut(domain, [a for a in seeds if a not in domain])
            net.partitioned_from_platform |= set(domain)
        elif action == "heal":
            net.heal_partitions()
        elif action in ("down", "up"):
            net.platform_down = action == "down"


class IsolatedReader:
    """Daemon that receives nothing from its peers and reads the platform."""

    def __init__(self, source, watcher: bool, now_s: float) -> None:
        self.state = distribution.DistributionState("", source, now_s)
        self.list_pacing = pacing.Pacer(source, now_s)
        self.list_pacing.schedule_within(membership.MAX_START_DELAY_S, now_s)
        self.watcher = watcher
        self.started = False
        self.watch_end_s = 0.0

    def step(self, down: bool, committed: head.Head, raw: bytes, now_s) -> int:
        """Makes the platform reads that are due and returns their number."""
        reads = 0
        if self.list_pacing.is_due(now_s):
            reads += 1
            self.read_list(down, now_s)
        if not self.started or now_s < self.watch_end_s:
            return reads
        fetch = distribution.next_fetch(self.state, self.watcher, now_s)
        if fetch is None:
            return reads
        if down:
            distribution.on_failure(self.state, now_s)
        elif fetch.head:
            distribution.on_body(self.state, fetch, raw, self.watcher, now_s)
        else:
            version, body = committed.generation, head.encode(committed)
            if fetch.kind == "watch" and fetch.after >= version:
                body = None
                self.watch_end_s = now_s + distribution.WATCH_TIMEOUT_S
            distribution.on_head(self.state, version, body, self.watcher, now_s)
        return reads + 1

    def read_list(self, down: bool, now_s: float) -> None:
        if down:
            self.list_pacing.failed(now_s)
        else:
            mean_s = membership.list_interval_s(
                membership.LIST_INTERVAL_S, FLEET_SIZE
            )
            self.list_pacing.succeeded(mean_s, now_s)
        if not self.started:
            distribution.start(self.state, None if down else FLEET_SIZE, now_s)
            self.started = True


class PlatformReadsTest(unittest.TestCase):
    """Tests the read rate of 760 daemons that receive nothing from peers.

    It must stay within the limit when all of them start or lose the platform
    at the same time.
    """

    def setUp(self):
        self.random = random.Random(1)
        self.now_s = 0.0
        self.reads = collections.Counter()
        self.raw = simulated_fleet.manifest_with_text("first")
        digest = manifest.digest_of(self.raw)
        key = head.full_key(1, "p")
        self.head = head.Head(1, digest, "p", key)
        self.start_all()

    def start_all(self) -> None:
        # Three watchers in each of five failure domains.
        self.readers = [
            IsolatedReader(self.random, index < 15, self.now_s)
            for index in range(FLEET_SIZE)
        ]

    def run_for(self, duration_s: float, down: bool = False) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.05
            second = int(self.now_s)
            for reader in self.readers:
                self.reads[second] += reader.step(
                    down, self.head, self.raw, self.now_s
                )

    def behind(self) -> int:
        wanted = self.head.generation
        return sum(
            reader.state.catalog.generation < wanted for reader in self.readers
        )

    def assert_within_limit(self) -> None:
        self.assertLessEqual(max(self.reads.values()), MAX_READS_PER_S)

    def test_mass_start(self):
        self.run_for(15.0)
        self.assertEqual(self.behind(), 0)
        self.assert_within_limit()

    def test_mass_start_while_the_platform_is_down(self):
        self.run_for(20.0, down=True)
        self.run_for(40.0)
        self.assertEqual(self.behind(), 0)
        self.assert_within_limit()

    def test_mass_restart_in_the_minute_after_an_outage(self):
        self.run_for(20.0)
        self.run_for(20.0, down=True)
        self.start_all()
        self.run_for(60.0)
        self.assertEqual(self.behind(), 0)
        self.assert_within_limit()

    def test_new_generation_after_an_outage(self):
        self.run_for(20.0)
        self.run_for(20.0, down=True)
        self.raw = simulated_fleet.manifest_with_text("second")
        digest = manifest.digest_of(self.raw)
        self.head = head.Head(2, digest, "p", head.full_key(2, "p"))
        self.run_for(60.0)
        self.assertEqual(self.behind(), 0)
        self.assert_within_limit()


if __name__ == "__main__":
    unittest.main()
