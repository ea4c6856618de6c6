"""Tests the readiness of an entry."""

import types
import unittest

from laurelrock import entry
from tests import builders


def daemon(config, relays):
    vm = types.SimpleNamespace(region="r")
    return types.SimpleNamespace(
        manifest=config,
        relays=lambda region: relays if region == "r" else [],
        settings=types.SimpleNamespace(vm=vm),
    )


class ReadinessTest(unittest.TestCase):
    def test_ready_only_with_manifest_and_relays(self):
        config = builders.small_manifest()
        cases = [
            ("nothing known", None, [], False),
            ("relays before a manifest", None, ["relay"], False),
            ("manifest before relays", config, [], False),
            ("both", config, ["relay"], True),
        ]
        for name, known, relays, ready in cases:
            with self.subTest(name):
                self.assertEqual(entry.is_ready(daemon(known, relays)), ready)
