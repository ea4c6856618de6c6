"""Runs a fixed set of the fault scenarios on real processes.

Promises with a time limit in seconds are checked by `make faults` only, so that
the result of the test does not depend on how busy the machine is.
"""

import asyncio
import pathlib
import tempfile
import unittest

from bench import checker
from bench import cluster
from bench import faults

SEED = 20261203
#: Promises with a time limit.
TIMED = {"leaving-searcher", "manifest-in-force"}
#: Scenarios by lane; those of a lane run one after another.
LANES = {
    7: ["kill-relay", "repartition-drop"],
    8: ["platform-lost-replies", "searcher-wrong-id"],
}


async def run_lane(folder, index, names):
    deployment = cluster.create_lane(folder, index)
    histories = {}
    for name in names:
        scenario = faults.Scenario([name], SEED)
        histories[name] = await faults.run_scenario(scenario, deployment)
    return histories


async def run_lanes():
    with tempfile.TemporaryDirectory(prefix="laurelrock-") as folder:
        lanes = await asyncio.gather(
            *(
                run_lane(pathlib.Path(folder), index, names)
                for index, names in LANES.items()
            )
        )
    return {name: history for lane in lanes for name, history in lane.items()}


class FaultsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.histories = asyncio.run(run_lanes())

    def test_no_promise_is_broken(self):
        for name, history in self.histories.items():
            for promise, result in checker.check(history).items():
                if promise not in TIMED:
                    with self.subTest(name, promise=promise):
                        self.assertEqual(result.violations, [])

    def test_load_succeeds(self):
        for name, history in self.histories.items():
            with self.subTest(name):
                results = checker.check(history)
                self.assertGreater(results["own-answer"].exercised, 0)
                self.assertGreater(results["at-most-once"].exercised, 0)
