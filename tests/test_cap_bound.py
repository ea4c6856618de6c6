"""Property test: no window exceeds the bound of a cap, whatever fails."""

import asyncio
import random
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import tenancy
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import share_lending
from tests import cap_simulation
from tests import virtual_time

#: Difference of the speeds of two clocks: that of uncorrected quartz clocks,
#: many times over.
MAX_DRIFT = 0.001
LENGTH_S = 24.0

CAPS = strategies.sampled_from(
    [(0.3, 1.0), (0.5, 3.0), (2.0, 10.0), (30.0, 0.0), (100.0, 20.0)]
)
#: Also a bound that leaves little room.
POLICIES = strategies.sampled_from(
    [cap_simulation.POLICY, tenancy.CapPolicy(5.0, 0.02, 4.0)]
)
FAULTS = ("cut", "heal", "kill", "restart", "slow", "stop")


def events(*kinds):
    return strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, LENGTH_S),
            strategies.sampled_from(kinds),
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
    elif kind == "stop":
        for vm in chosen:
            fleet.stop(vm)
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


def random_clocks(rng):
    return {
        f"10.0.0.{n}": (
            rng.uniform(0.0, 1e6),
            1.0 + rng.uniform(-MAX_DRIFT, MAX_DRIFT),
        )
        for n in range(16)
    }


async def run(count, cap, faults, policy, seed):
    """Sends many times the cap to all VMs, from their start on."""
    rng = random.Random(seed)
    fleet = cap_simulation.Fleet(seed, random_clocks(rng), policy)
    fleet.start(count, {"w": cap})
    loop = asyncio.get_running_loop()
    for at_s, kind, event_seed in faults:
        loop.call_later(at_s, apply, fleet, kind, event_seed)
    per_s = 4 * cap[0] + 6 * count
    arrivals = [
        cap_simulation.Arrival(rng.uniform(0.0, LENGTH_S), "w", n)
        for n in range(int(min(per_s, 250.0) * LENGTH_S))
    ]
    await fleet.replay(arrivals)
    return fleet


async def watch_shares(count, faults, seed):
    """Returns the largest sum of shares that were in use at once."""
    rng = random.Random(seed)
    fleet = cap_simulation.Fleet(seed, random_clocks(rng))
    fleet.start(count, {"w": (1.0, 5.0)})
    slot = share_lending.slot_of("w")
    loop = asyncio.get_running_loop()
    for at_s, kind, event_seed in faults:
        loop.call_later(at_s, apply, fleet, kind, event_seed)
    largest = 0.0
    for _ in range(int(LENGTH_S / 0.05)):
        await asyncio.sleep(0.05)
        for kind in (token_leases.MAIN, token_leases.SPARE):
            largest = max(largest, fleet.held_shares(slot, kind))
    return largest


class BoundTest(unittest.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(1, 9),
        *(CAPS, events(*FAULTS, "forget", "add"), POLICIES),
        strategies.integers(0, 999),
    )
    def test_sum_over_all_vms_stays_within_the_bound(
        self, count, cap, faults, policy, seed
    ):
        fleet = virtual_time.run(run(count, cap, faults, policy, seed))
        excess = cap_simulation.worst_excess(fleet.admitted["w"], *cap, policy)
        self.assertLessEqual(excess, 0)
        self.assertLessEqual(max(fleet.waits_s, default=0.0), 0.0401)

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(1, 9),
        *(events(*FAULTS), strategies.integers(0, 999)),
    )
    def test_no_share_is_in_two_hands(self, count, faults, seed):
        # The bound follows from this; a share used twice seldom exceeds it.
        largest = virtual_time.run(watch_shares(count, faults, seed))
        self.assertLessEqual(largest, 1.0 + 1e-6)
