"""Tests of queue ownership by rendezvous hashing."""

import unittest

import hypothesis
from hypothesis import strategies

from fakes import simulated_fleet
from laurelrock.core import members
from laurelrock.core import ownership

KEYS = [
    ownership.service_key("cotizador", f"s{index:02}", "gt-central")
    for index in range(400)
]


def owner_of(key: str, relays: list[members.Member]) -> str:
    return ownership.owners(key, relays)[0].vm


class OwnershipTest(unittest.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(2, 14),
        strategies.integers(1, 4),
        strategies.randoms(use_true_random=False),
    )
    def test_removed_relay_moves_only_its_own_keys(self, size, domains, random):
        relays = simulated_fleet.relay_members(size, domains)
        gone = random.choice(relays)
        rest = [relay for relay in relays if relay is not gone]
        for key in KEYS[:50]:
            before, after = owner_of(key, relays), owner_of(key, rest)
            self.assertTrue(before == after or before == gone.vm)

    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(1, 14),
        strategies.integers(1, 4),
        strategies.randoms(use_true_random=False),
    )
    def test_order_of_the_relays_does_not_matter(self, size, domains, random):
        relays = simulated_fleet.relay_members(size, domains)
        shuffled = random.sample(relays, size)
        for key in KEYS[:20]:
            ranked = ownership.owners(key, relays)
            self.assertEqual(ranked, ownership.owners(key, shuffled))
            self.assertEqual(set(ranked), set(relays))
            others = {relay.failure_domain for relay in relays}
            if len(others) > 1:
                first, second = ranked[:2]
                self.assertNotEqual(first.failure_domain, second.failure_domain)

    def test_restart_at_the_same_address_keeps_ownership(self):
        relays = simulated_fleet.relay_members(9, 3)
        restarted = [relays[0]._replace(start_id="new"), *relays[1:]]
        for key in KEYS:
            self.assertEqual(owner_of(key, relays), owner_of(key, restarted))

    def test_shares_are_even(self):
        relays = simulated_fleet.relay_members(8, 3)
        counts = {relay.vm: 0 for relay in relays}
        for key in KEYS:
            counts[owner_of(key, relays)] += 1
        # 400 keys over 8 relays: 50 each, standard deviation 6.6.
        self.assertLessEqual(max(counts.values()), 50 + 4 * 6.6)
        self.assertGreaterEqual(min(counts.values()), 50 - 4 * 6.6)


if __name__ == "__main__":
    unittest.main()
