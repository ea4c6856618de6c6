"""Upgrades a small fleet of real processes from the previous version."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from bench import fleet
from bench import promises
from bench import upgrades

#: See `tests.test_soak.SHAPE`.
SHAPE = upgrades.SHAPE._replace(lane=10 + os.getpid() % 90)
SEED = 7
#: Maximum difference of the served shares of an upgrade and of a restart.
MAX_SERVED_LOSS = 0.01


class UpgradeTest(unittest.TestCase):
    def setUp(self):
        name = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(name)

    def replace_all(self, before, name):
        logs = self.folder / name
        logs.mkdir()
        replacement = upgrades.Replacement(before, fleet.ROOT)
        return asyncio.run(upgrades.replace_all(SHAPE, replacement, SEED, logs))

    def test_rolling_upgrade(self):
        # Guards against messages that the previous version drops, and against
        # requests that are lost because of that. Fails if the history lacks
        # that version.
        previous = self.folder / "previous"
        upgrades.extract(upgrades.PREVIOUS, previous)
        history = self.replace_all(previous, "upgrade")
        self.assertGreater(len(history.records), 1000)
        self.assertEqual(len(history.fault_spans), SHAPE.vms)
        for name, result in promises.check(history).items():
            with self.subTest(name):
                self.assertEqual(result.violations[:3], [])
        self.assertEqual(upgrades.dropped_frames(self.folder / "upgrade"), 0)
        served = upgrades.served_share(history)
        if served < 1.0 - MAX_SERVED_LOSS:
            # A rolling restart may serve less than all requests as well.
            restarted = self.replace_all(fleet.ROOT, "restart")
            least = upgrades.served_share(restarted) - MAX_SERVED_LOSS
            self.assertGreaterEqual(served, least)

    def test_missing_commit_is_named(self):
        with self.assertRaisesRegex(OSError, "0000.*history"):
            upgrades.extract("0" * 40, self.folder)
