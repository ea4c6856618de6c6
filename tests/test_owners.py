"""Tests of the assignment of groups of shards to owning VMs."""

import collections
import unittest

from laurelrock.core import owners

SHARDS = tuple(f"shard-{n}" for n in range(90))


def fleet(count, domains=3, cores=1.0):
    return [
        owners.Vm(f"vm-{n}", f"d{n % domains}", f"10.0.0.{n}", cores)
        for n in range(count)
    ]


def first_owners(vms, domain="d0"):
    return {
        group[0]: owners.rank_owners(group[0], vms, domain)[0].name
        for group in owners.split_into_groups(SHARDS)
    }


class CutTest(unittest.TestCase):
    def test_groups_hold_all_shards_in_order(self):
        for count in (1, 4, 9, 20, 90, 135, 1100):
            with self.subTest(count):
                shards = tuple(str(n) for n in range(count))
                groups = owners.split_into_groups(shards)
                joined = tuple(name for row in groups for name in row)
                self.assertEqual(joined, shards)
                sizes = {len(group) for group in groups}
                self.assertLessEqual(max(sizes) - min(sizes), 1)


class FitTest(unittest.TestCase):
    def test_searcher_accepts_all_vms(self):
        for connections, vms, fits in (
            (26, 8, True),
            (26, 9, True),
            (63, 82, False),
            (64, 85, False),
            (550, 82, True),
            (110, 300, False),
            (110, 760, False),
        ):
            with self.subTest(connections=connections, vms=vms):
                self.assertEqual(
                    owners.all_vms_can_call(connections, vms), fits
                )

    def test_callers_stay_within_the_connections(self):
        for domains in (1, 3, 4, 5):
            self.assertLessEqual(
                owners.max_callers_per_searcher(domains)
                * owners.CONNECTIONS_PER_CALLER,
                63 * 0.8,
            )


class RankTest(unittest.TestCase):
    def test_local_owners_then_one_of_each_remote_domain(self):
        rows = owners.rank_owners("k", fleet(30), "d1")
        domains = [vm.failure_domain for vm in rows]
        self.assertEqual(domains[:2], ["d1", "d1"])
        self.assertEqual(sorted(domains[2:]), ["d0", "d2"])

    def test_ranking_ignores_the_order_of_vms(self):
        vms = fleet(30)
        self.assertEqual(first_owners(vms), first_owners(vms[::-1]))

    def test_leaving_vm_moves_only_its_groups(self):
        vms = fleet(30)
        before = first_owners(vms)
        gone = before[SHARDS[0]]
        after = first_owners([vm for vm in vms if vm.name != gone])
        moved = {key for key in before if before[key] != after[key]}
        self.assertEqual(moved, {key for key in before if before[key] == gone})

    def test_groups_are_weighted_by_cores(self):
        vms = fleet(8, domains=1) + [
            owners.Vm("big", "d0", "10.0.1.1", 4.0),
        ]
        taken = collections.Counter(
            owners.rank_owners(f"key-{n}", vms, "d0")[0].name
            for n in range(3000)
        )
        self.assertAlmostEqual(taken["big"] / 3000, 4 / 12, delta=0.03)

    def test_domain_without_vms_uses_remote_owners(self):
        rows = owners.rank_owners("k", fleet(9), "elsewhere")
        self.assertEqual(len(rows), 3)
