"""Tests of the caps of workspaces over all VMs."""

import asyncio
import random
import unittest

from tests import cap_simulation
from tests import virtual_time

SIZES = (8, 60, 144)
#: Time in seconds after the start at which requests come: shares are lent again
#: and buckets have filled.
SETTLED_S = 15.0
#: Targets of the design page: requests refused below the cap, requests admitted
#: above it.
MAX_REFUSED, MAX_ADMITTED = 1 / 200, 1.05
#: Traffic for control at one VM, in bytes per second, of docs/DEVELOPING.md.
MAX_BYTES_PER_S = 3000
Arrival = cap_simulation.Arrival


def refused_share(fleet) -> float:
    refused = sum(map(len, fleet.refused.values()))
    return refused / (refused + sum(map(len, fleet.admitted.values())))


def long_tail(rng, count, length_s, load=0.8):
    """Returns caps of 72 workspaces and requests below them.

    The mean is 0.3 requests per second, and a few are large.
    """
    weights = [1.0 / (n + 1) for n in range(72)]
    scale = 72 * 0.3 / load / sum(weights)
    caps = {
        f"w-{n}": (weight * scale, max(3.0, weight * scale))
        for n, weight in enumerate(weights)
    }
    arrivals = [
        Arrival(at_s, name, rng.randrange(count))
        for name, (per_s, burst) in caps.items()
        for at_s in cap_simulation.conforming_times(
            rng, per_s, burst, load, length_s
        )
    ]
    return caps, arrivals


class ReplayTest(unittest.TestCase):
    """Replays of requests at 8, 60 and 144 VMs."""

    def replay(self, count, caps, arrivals, events=None, seed=1):
        """Replays requests; `events` is a coroutine that runs beside them."""

        async def run():
            fleet = cap_simulation.Fleet(seed)
            fleet.start(count, caps)
            await asyncio.sleep(SETTLED_S)
            fleet.reset_counts()
            beside = asyncio.ensure_future(events(fleet)) if events else None
            await fleet.replay(arrivals)
            if beside:
                await beside
            self.assertLessEqual(max(fleet.waits_s), 0.0401)
            return fleet

        return virtual_time.run(run())

    def assert_within_bound(self, fleet, caps):
        for name, (per_s, burst) in caps.items():
            excess = cap_simulation.worst_excess(
                fleet.admitted[name], per_s, burst
            )
            self.assertLessEqual(excess, 0, name)

    def test_long_tail_below_the_caps_is_not_refused(self):
        for count in SIZES:
            caps, arrivals = long_tail(random.Random(count), count, 30.0)
            fleet = self.replay(count, caps, arrivals)
            self.assertLessEqual(refused_share(fleet), MAX_REFUSED)
            self.assert_within_bound(fleet, caps)
            per_s = max(fleet.bytes.values()) / 30.0
            mean = sum(fleet.bytes.values()) / count / 30.0
            messages = sum(fleet.messages.values()) / count / 30.0
            print(
                f"{count} VMs: {messages:.1f} messages/s and {mean:.0f} bytes/s"
                f" a VM, {per_s:.0f} bytes/s at the busiest,"
                f" {refused_share(fleet):.4f} refused"
            )
            self.assertLessEqual(mean, MAX_BYTES_PER_S)
