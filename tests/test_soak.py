"""Runs a short soak with a fixed seed on real processes."""

import asyncio
import os
import pathlib
import random
import tempfile
import unittest

from bench import fleet
from bench import promises
from bench import random_faults

#: The lane depends on the process id, so that two test runs on one machine
#: rarely use the same addresses.
SHAPE = fleet.Shape(lane=10 + os.getpid() % 90, vms=3, shards=4)
SEED = 7
FAULTS = ("stop", "configure", "searcher", "kill")


class SoakTest(unittest.TestCase):
    def test_short_run(self):
        async def play(folder):
            async with fleet.open_fleet(SHAPE, folder) as running:
                run = random_faults.SoakRun(
                    running, random.Random(SEED), FAULTS
                )
                return await run.run(after_s=promises.RECOVERY_S + 1.0)

        with tempfile.TemporaryDirectory() as name:
            _, history = asyncio.run(play(pathlib.Path(name)))
        for name, result in promises.check(history).items():
            with self.subTest(name):
                self.assertEqual(result.violations[:3], [])
        self.assertGreater(len(history.records), 100)
