"""Tests of the registry of searchers."""

import unittest

from laurelrock.core import registry
from tests import gateway_builders as build


def change(name, **fields):
    return registry.Change(name, build.searcher(name, **fields))


def deleted(name):
    return registry.Change(name, None)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry.create_registry()
        self.registry.replace([change(f"s-{n}") for n in range(20)], 0.0)

    def test_deleted_entry_is_removed_at_once(self):
        effective = self.registry.apply([deleted("s-1")], 1.0)
        self.assertEqual(effective, [deleted("s-1")])

    def test_unchanged_entry_has_no_effect(self):
        self.assertEqual(self.registry.apply([change("s-1")], 1.0), [])

    def test_draining_takes_effect_right_after_an_outage(self):
        self.registry.record_outage_end(1.0)
        row = change("s-1", state="draining")
        self.assertEqual(self.registry.apply([row], 1.1), [row])

    def test_entry_registered_again_after_an_outage_is_kept(self):
        self.registry.record_outage_end(1.0)
        self.assertEqual(self.registry.apply([deleted("s-1")], 1.1), [])
        self.registry.apply([change("s-1")], 2.0)
        self.assertEqual(self.registry.remove_expired(10.0), [])
        self.assertIn("s-1", self.registry.searchers)

    def test_entry_missing_for_too_long_is_removed(self):
        self.registry.record_outage_end(1.0)
        self.registry.apply([deleted("s-1")], 1.1)
        self.assertEqual(self.registry.remove_expired(2.9), [])
        self.assertEqual(self.registry.remove_expired(3.0), [deleted("s-1")])
        self.assertNotIn("s-1", self.registry.searchers)

    def test_entry_missing_in_a_complete_list_after_an_outage(self):
        self.registry.record_outage_end(1.0)
        rows = [change(f"s-{n}") for n in range(1, 20)]
        self.assertEqual(self.registry.replace(rows, 1.1), [])
        self.assertEqual(self.registry.remove_expired(3.1), [deleted("s-0")])

    def test_mass_removal_is_treated_as_an_unobserved_outage(self):
        rows = [deleted(f"s-{n}") for n in range(10)]
        self.assertEqual(self.registry.apply(rows, 1.0), [])
        self.registry.apply([change(f"s-{n}") for n in range(9)], 2.0)
        self.assertEqual(self.registry.remove_expired(3.0), [deleted("s-9")])

    def test_deletion_of_an_unknown_entry_has_no_effect(self):
        self.assertEqual(self.registry.apply([deleted("other")], 1.0), [])

    def test_new_process_with_the_same_id_is_a_change(self):
        row = change("s-1", started_ms=2)
        self.assertEqual(self.registry.apply([row], 1.0), [row])
