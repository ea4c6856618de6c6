"""Property test: no window exceeds the bound of a cap, whatever fails."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies

from tests import cap_simulation
from tests import virtual_time

#: Difference of the speeds of two clocks: that of uncorrected quartz clocks,
#: many times over.
MAX_DRIFT = 0.001
LENGTH_S = 24.0

CAPS = strategies.sampled_from(
    [(0.3, 1.0), (0.5, 3.0), (2.0, 10.0), (30.0, 0.0), (100.0, 20.0)]
)
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, LENGTH_S),
        strategies.sampled_from(
            ("cut", "heal", "kill", "restart", "slow", "forget", "add")
        ),
        strategies.integers(0, 2**16),
    ),
    max_size=12,
)


def apply(fleet, kind, seed):
    """Applies a fault to the VMs that a seed chooses."""
    rng = random.Random(seed)
    chosen = [vm for vm in fleet.vms if rng.random() < 0.5]
    loop = asyncio.get_running_loop()
    if kind == "cut":
        parts = rng.choice((2, 2, 3, len(fleet.vms)))
        fleet.groups = {vm.host: rng.randrange(parts) for vm in fleet.vms}
    elif kind == "heal":
        fleet.groups = {}
        fleet.slowness = {}
    elif kind == "kill":
        for vm in chosen:
            fleet.kill(vm, rng.random() < 0.5)
    elif kind == "restart":
        for vm in fleet.vms:
            if vm.host not in fleet.nodes or vm in chosen:
                fleet.kill(vm, rng.random() < 0.5)
                fleet.start_vm(vm)
    elif kind == "slow":
        # Messages arrive after up to three seconds.
        fleet.slowness = {vm.host: rng.uniform(1, 1500) for vm in chosen}
    elif kind == "forget":
        # A VM that removes others from its list still counts their shares for
        # a while; the list comes back before that ends.
        node = rng.choice(list(fleet.nodes.values()) or [None])
        if node is not None:
            others = [vm for vm in fleet.vms if vm == node.vm]
            others += [vm for vm in chosen if vm != node.vm]
            node.sharing.set_vms(others)
            loop.call_later(5.0, node.sharing.set_vms, fleet.vms)
    elif len(fleet.vms) < 12:
        vm = fleet.vms[0]._replace(
            name=f"vm-{len(fleet.vms)}", host=f"10.0.0.{len(fleet.vms)}"
        )
        fleet.vms = [*fleet.vms, vm]
        fleet.start_vm(vm)
        for node in fleet.nodes.values():
            delay_s = rng.uniform(0.0, 2.0)
            loop.call_later(delay_s, node.sharing.set_vms, fleet.vms)


async def run(count, cap, events, seed):
    """Sends many times the cap to all VMs, from their start on."""
    rng = random.Random(seed)
    clocks = {
        f"10.0.0.{n}": (
            rng.uniform(0.0, 1e6),
            1.0 + rng.uniform(-MAX_DRIFT, MAX_DRIFT),
        )
        for n in range(16)
    }
    fleet = cap_simulation.Fleet(seed, clocks)
    fleet.start(count, {"w": cap})
    loop = asyncio.get_running_loop()
    for at_s, kind, event_seed in events:
        loop.call_later(at_s, apply, fleet, kind, event_seed)
    per_s = 4 * cap[0] + 6 * count
    arrivals = [
        cap_simulation.Arrival(rng.uniform(0.0, LENGTH_S), "w", n)
        for n in range(int(min(per_s, 250.0) * LENGTH_S))
    ]
    await fleet.replay(arrivals)
    return fleet


class BoundTest(unittest.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(1, 9), CAPS, EVENTS, strategies.integers(0, 999)
    )
    def test_sum_over_all_vms_stays_within_the_bound(
        self, count, cap, events, seed
    ):
        fleet = virtual_time.run(run(count, cap, events, seed))
        excess = cap_simulation.worst_excess(fleet.admitted["w"], *cap)
        self.assertLessEqual(excess, 0)
        self.assertLessEqual(max(fleet.waits_s, default=0.0), 0.0401)
