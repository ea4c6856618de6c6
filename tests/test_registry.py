"""Tests of the list of searchers."""

import unittest

from laurelrock.core import registry
from tests import gateway_builders as build


def change(name, **fields):
    return registry.Change(name, build.searcher(name, **fields))


def gone(name):
    return registry.Change(name, None)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry.create_registry()
        self.registry.replace([change(f"s-{n}") for n in range(20)], 0.0)

    def test_one_entry_goes_at_once(self):
        effective = self.registry.apply([gone("s-1")], 1.0)
        self.assertEqual(effective, [gone("s-1")])

    def test_same_entry_changes_nothing(self):
        self.assertEqual(self.registry.apply([change("s-1")], 1.0), [])

    def test_draining_takes_effect_after_an_outage_too(self):
        self.registry.outage_ended(1.0)
        row = change("s-1", state="draining")
        self.assertEqual(self.registry.apply([row], 1.1), [row])

    def test_entry_that_comes_back_after_an_outage_stays(self):
        self.registry.outage_ended(1.0)
        self.assertEqual(self.registry.apply([gone("s-1")], 1.1), [])
        self.registry.apply([change("s-1")], 2.0)
        self.assertEqual(self.registry.expire(10.0), [])
        self.assertIn("s-1", self.registry.searchers)

    def test_entry_that_stays_away_goes(self):
        self.registry.outage_ended(1.0)
        self.registry.apply([gone("s-1")], 1.1)
        self.assertEqual(self.registry.expire(2.9), [])
        self.assertEqual(self.registry.expire(3.0), [gone("s-1")])
        self.assertNotIn("s-1", self.registry.searchers)

    def test_list_without_an_entry_after_an_outage(self):
        self.registry.outage_ended(1.0)
        rows = [change(f"s-{n}") for n in range(1, 20)]
        self.assertEqual(self.registry.replace(rows, 1.1), [])
        self.assertEqual(self.registry.expire(3.1), [gone("s-0")])

    def test_many_entries_at_once_are_an_outage_not_seen(self):
        rows = [gone(f"s-{n}") for n in range(10)]
        self.assertEqual(self.registry.apply(rows, 1.0), [])
        self.registry.apply([change(f"s-{n}") for n in range(9)], 2.0)
        self.assertEqual(self.registry.expire(3.0), [gone("s-9")])

    def test_unknown_entry_that_goes_is_nothing(self):
        self.assertEqual(self.registry.apply([gone("other")], 1.0), [])

    def test_same_id_born_again_is_a_change(self):
        row = change("s-1", born_ms=2)
        self.assertEqual(self.registry.apply([row], 1.0), [row])
