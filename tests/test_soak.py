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
OWNERS_SHAPE = SHAPE._replace(vms=4, connections=6, retry_slack=200)
PLACES_SHAPE = OWNERS_SHAPE._replace(workspaces=True, warm_up_per_s=4.0)
SEED = 7
#: Seed that evacuates the region of a workspace and makes it cold at the end.
COLD_SEED = 16
FAULTS = ("stop", "configure", "searcher", "kill")


class SoakTest(unittest.TestCase):
    def play(self, shape, faults, seed=SEED, **times):
        """Plays faults and checks all promises; returns the results."""

        async def play_in(folder):
            async with fleet.open_fleet(shape, folder) as running:
                run = random_faults.SoakRun(
                    running, random.Random(seed), faults
                )
                return await run.run(
                    **{"after_s": promises.RECOVERY_S + 1.0, **times}
                )

        with tempfile.TemporaryDirectory() as name:
            _, history = asyncio.run(play_in(pathlib.Path(name)))
        self.assertGreater(len(history.records), 100)
        results = promises.check(history)
        for name, result in results.items():
            with self.subTest(name):
                self.assertEqual(result.violations[:3], [])
        return results

    def test_short_run(self):
        self.play(SHAPE, FAULTS)

    def test_searchers_that_answer_twice_or_fail_below_500(self):
        # Owners sent failures below 500 as parts, and a save that had run was
        # called refused.
        results = self.play(OWNERS_SHAPE, ("stutter", "stutter", "stutter"))
        self.check_exercised(results, "true-coverage", "own-answers")

    def test_vms_without_searchers(self):
        for shape in (SHAPE, OWNERS_SHAPE):
            with self.subTest(vms=shape.vms):
                results = self.play(shape, ("cut", "configure"))
                self.assertGreater(results["isolated-vms"].exercised, 0)

    def check_exercised(self, results, *names):
        for name in names:
            with self.subTest(name):
                self.assertGreater(results[name].exercised, 0)

    def test_keys_and_bursts_of_workspaces(self):
        """A run in which no workspace is judged would show nothing."""
        results = self.play(
            PLACES_SHAPE, ("burst", "keys"), after_s=2.0, spread_s=1.0
        )
        self.check_exercised(
            results, "homes", "tenant-cap", "known-key", "key-kept-back", "fair"
        )

    def test_evacuation_that_ends_at_cold_searchers(self):
        results = self.play(
            *(PLACES_SHAPE, ("evacuate",), COLD_SEED),
            after_s=1.0,
            spread_s=1.0,
        )
        self.check_exercised(results, "evacuated", "cold-rate", "homes")

    def test_limits_and_crashing_requests(self):
        for shape in (SHAPE, OWNERS_SHAPE):
            with self.subTest(vms=shape.vms):
                faults = ("limit", "crashing", "configure", "limit")
                results = self.play(shape, faults)
                self.assertGreater(results["limited-searchers"].exercised, 0)
                self.assertGreater(results["crashing-requests"].exercised, 0)
