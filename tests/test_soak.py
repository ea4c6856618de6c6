"""Short seeded run of the soak on real processes."""

import asyncio
import os
import pathlib
import random
import tempfile
import unittest

from bench import fleet
from bench import promises
from bench import trouble

#: Two runs on one machine do not meet.
SHAPE = fleet.Shape(lane=10 + os.getpid() % 90, vms=3, shards=4)
SEED = 7
FAULTS = ("stop", "configure", "searcher", "kill")


class SoakTest(unittest.TestCase):
    def test_short_run(self):
        async def play(folder):
            async with fleet.open_fleet(SHAPE, folder) as running:
                run = trouble.Soak(running, random.Random(SEED), FAULTS)
                return await run.run(after_s=promises.RECOVERY_S + 1.0)

        with tempfile.TemporaryDirectory() as name:
            _, history = asyncio.run(play(pathlib.Path(name)))
        for name, verdict in promises.check(history).items():
            with self.subTest(name):
                self.assertEqual(verdict.violations[:3], [])
        self.assertGreater(len(history.records), 100)
