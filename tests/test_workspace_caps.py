"""Tests of the caps of workspaces over all VMs."""

import asyncio
import random
import unittest

from laurelrock.gateways.workspaces import share_lending
from tests import cap_simulation
from tests import virtual_time

SIZES = (8, 60, 144)
#: The design size, at which a keeper's traffic is bounded as well.
DESIGN_SIZE = 760
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


def low_rates(rng, count, length_s, load=0.8):
    """Returns caps of 72 workspaces of low rates and requests below them."""
    caps = {
        f"w-{n}": (0.1 * 50.0 ** (n / 71), 1.0 + n * 7 % 20) for n in range(72)
    }
    arrivals = [
        Arrival(at_s, name, rng.randrange(count))
        for name, (per_s, burst) in caps.items()
        for at_s in cap_simulation.conforming_times(
            rng, per_s, burst, load, length_s
        )
    ]
    return caps, arrivals


def uneven_rates(rng, count, length_s):
    """Returns caps with bursts of a second, and requests within the windows.

    The requests of a window of the bound are at most what the cap allows in it,
    but some of them are closer together than the burst.
    """
    caps = {f"w-{n}": (0.4 * 20.0 ** (n / 71),) * 2 for n in range(72)}
    arrivals = []
    for name, (per_s, burst) in caps.items():
        window_s = cap_simulation.POLICY.window_s
        times, now_s = [], 0.0
        while (now_s := now_s + rng.expovariate(per_s / 1.6)) < length_s:
            recent = sum(row > now_s - window_s for row in times)
            if recent + 1 <= per_s * window_s + burst:
                times.append(now_s)
        arrivals += [Arrival(row, name, rng.randrange(count)) for row in times]
    return caps, arrivals


class ReplayCase(unittest.TestCase):
    """Replays requests in virtual time."""

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

    def assert_within_window(self, times, per_s, burst):
        excess = cap_simulation.worst_excess(times, per_s, burst)
        self.assertLessEqual(excess, 0)


class ReplayTest(ReplayCase):
    """Replays of requests at 8, 60 and 144 VMs."""

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

    def test_keeper_traffic_at_the_design_size(self):
        # With a report of each VM, a keeper would send 34 KB/s of receipts.
        for count in (*SIZES, DESIGN_SIZE):
            caps, arrivals = long_tail(random.Random(count), count, 10.0)
            fleet = self.replay(count, caps, arrivals)
            busiest = max(fleet.bytes.values()) / 10.0
            print(f"{count} VMs: {busiest:.0f} bytes/s at the busiest")
            self.assertLessEqual(busiest, MAX_BYTES_PER_S)
            self.assertLessEqual(refused_share(fleet), MAX_REFUSED)

    def test_all_requests_of_a_workspace_at_one_vm_are_served(self):
        # An equal share per VM would refuse nearly all of them.
        for count in SIZES:
            for per_s, burst in ((0.5, 3.0), (5.0, 10.0), (200.0, 100.0)):
                with self.subTest(vms=count, per_s=per_s):
                    rng = random.Random(count)
                    length_s = min(60.0, 1200.0 / per_s)
                    times = cap_simulation.conforming_times(
                        rng, per_s, burst, 0.9, length_s
                    )
                    # The whole burst comes at once.
                    at_once = [0.0] * int(burst)
                    later = [at_s + 2 * burst / per_s for at_s in times]
                    fleet = self.replay(
                        count,
                        {"w": (per_s, burst)},
                        [Arrival(at_s, "w", 3) for at_s in at_once + later],
                    )
                    self.assertLessEqual(refused_share(fleet), MAX_REFUSED)
                    asked = fleet.nodes["10.0.0.3"].sharing.counts
                    # About ten messages per second, not one per request.
                    seconds = length_s + 1.0
                    self.assertLessEqual(
                        asked["sent-TokenRequest"], 10 * seconds + 10
                    )

    def test_callers_that_move_to_another_vm_are_not_refused(self):
        for count in SIZES:
            for per_s, burst in ((0.5, 3.0), (20.0, 20.0)):
                with self.subTest(vms=count, per_s=per_s):
                    rng = random.Random(count)
                    times = cap_simulation.conforming_times(
                        rng, per_s, burst, 0.9, 30.0
                    )
                    moves = [
                        Arrival(at_s, "w", 1 + int(at_s / 3.0))
                        for at_s in times
                    ]
                    fleet = self.replay(count, {"w": (per_s, burst)}, moves)
                    self.assertLessEqual(refused_share(fleet), MAX_REFUSED)

    def test_requests_above_the_cap_are_refused(self):
        for count in SIZES:
            for per_s, burst in ((0.5, 3.0), (5.0, 10.0), (100.0, 50.0)):
                with self.subTest(vms=count, per_s=per_s):
                    rng = random.Random(count)
                    length_s = min(40.0, 1000.0 / per_s)
                    arrivals = [
                        Arrival(
                            rng.uniform(0, length_s), "w", rng.randrange(count)
                        )
                        for _ in range(int(3 * per_s * length_s))
                    ]
                    fleet = self.replay(count, {"w": (per_s, burst)}, arrivals)
                    cap = per_s * length_s + burst
                    admitted = len(fleet.admitted["w"])
                    self.assertLessEqual(admitted, MAX_ADMITTED * cap)
                    self.assertGreaterEqual(admitted, 0.9 * per_s * length_s)

    def test_refused_callers_return_one_after_another(self):
        # Callers refused together that returned together would be refused
        # again.
        arrivals = [Arrival(0.0, "w", n) for n in range(60)]
        fleet = self.replay(60, {"w": (5.0, 10.0)}, arrivals)
        self.assertEqual(len(fleet.admitted["w"]), 10)
        turns = sorted(turn_s for _, turn_s in fleet.refused["w"])
        gaps = [
            later - earlier
            for earlier, later in zip(turns, turns[1:], strict=False)
        ]
        # The shares of the turns that the delays of messages move.
        self.assertGreaterEqual(min(gaps), 0.2 - cap_simulation.MAX_DELAY_S)
        self.assertLessEqual(max(gaps), 0.2 + cap_simulation.MAX_DELAY_S)

        returned = [Arrival(0.01, "w", n) for n in range(50)]
        start_s = min(at_s for at_s, _ in fleet.refused["w"])
        again = [
            Arrival(turn_s - start_s + 0.01, "w", row.vm)
            for row, (_, turn_s) in zip(
                returned, fleet.refused["w"], strict=False
            )
        ]
        fleet = self.replay(60, {"w": (5.0, 10.0)}, arrivals + again)
        self.assertEqual(len(fleet.admitted["w"]), 60)

    def test_changed_cap_applies_while_tokens_are_leased(self):
        caps = {"w": (100.0, 50.0)}
        for count in SIZES:
            for per_s, burst in ((20.0, 10.0), (400.0, 200.0)):
                with self.subTest(vms=count, per_s=per_s):
                    rng = random.Random(count)
                    changed = {"w": (per_s, burst)}

                    async def change(fleet, changed=changed):
                        await asyncio.sleep(4.0)
                        fleet.set_caps(changed)
                        fleet.changed_s = asyncio.get_running_loop().time()

                    demand = 3 * max(per_s, 100.0)
                    arrivals = [
                        Arrival(rng.uniform(0, 12.0), "w", rng.randrange(2) + 1)
                        for _ in range(int(demand * 12.0))
                    ]
                    fleet = self.replay(count, caps, arrivals, change)
                    # Tokens that were leased before expire within a second.
                    later = [
                        at_s
                        for at_s in fleet.admitted["w"]
                        if at_s > fleet.changed_s + 1.0
                    ]
                    self.assert_within_window(later, per_s, burst)
                    self.assertLessEqual(
                        len(later), MAX_ADMITTED * (per_s * 7.0 + burst)
                    )
                    self.assertGreaterEqual(len(later), 0.9 * per_s * 7.0)

    def test_changed_cap_refuses_nothing_below_it(self):
        for count in SIZES:
            rng = random.Random(count)
            first = cap_simulation.conforming_times(rng, 2.0, 5.0, 0.9, 20.0)
            later = cap_simulation.conforming_times(rng, 1.0, 5.0, 0.9, 20.0)

            async def change(fleet):
                await asyncio.sleep(20.0)
                fleet.set_caps({"w": (1.0, 5.0)})

            arrivals = [Arrival(at_s, "w", rng.randrange(99)) for at_s in first]
            arrivals += [
                # The bucket is full again after five seconds.
                Arrival(at_s + 25.0, "w", rng.randrange(99))
                for at_s in later
            ]
            fleet = self.replay(count, {"w": (2.0, 5.0)}, arrivals, change)
            self.assertLessEqual(refused_share(fleet), MAX_REFUSED)


class FaultTest(ReplayCase):
    """Replays with faults; the bound holds and little is refused."""

    def replay_tail(self, count, events):
        caps, arrivals = long_tail(random.Random(7), count, 40.0)
        fleet = self.replay(count, caps, arrivals, events)
        self.assert_within_bound(fleet, caps)
        return fleet

    def test_killed_keeper_costs_few_requests(self):
        for reset in (True, False):

            async def kill(fleet, reset=reset):
                await asyncio.sleep(10.0)
                first = next(iter(fleet.nodes.values())).sharing.lending
                name = first.candidates[0][0]
                fleet.kill(fleet.vms[fleet.vm_number(name)], reset)

            fleet = self.replay_tail(60, kill)
            print(f"killed keeper: {refused_share(fleet):.4f} refused")
            self.assertLessEqual(refused_share(fleet), MAX_REFUSED)

    def test_rolling_restart_costs_few_requests(self):
        async def restart(fleet):
            for vm in fleet.vms:
                fleet.stop(vm)
                await asyncio.sleep(1.1)
                fleet.start_vm(vm)

        fleet = self.replay_tail(8, restart)
        print(f"rolling restart: {refused_share(fleet):.4f} refused")
        self.assertLessEqual(refused_share(fleet), MAX_REFUSED)

    def test_half_of_the_vms_killed_and_restarted(self):
        async def kill(fleet):
            await asyncio.sleep(10.0)
            for vm in fleet.vms[::2]:
                fleet.kill(vm)
            await asyncio.sleep(2.0)
            for vm in fleet.vms[::2]:
                fleet.start_vm(vm)

        fleet = self.replay_tail(60, kill)
        print(f"half killed: {refused_share(fleet):.4f} refused")

    def test_half_of_the_vms_cut_off(self):
        async def cut(fleet):
            await asyncio.sleep(10.0)
            fleet.groups = {vm.host: n % 2 for n, vm in enumerate(fleet.vms)}
            await asyncio.sleep(10.0)
            fleet.groups = {}

        fleet = self.replay_tail(60, cut)
        print(f"half cut: {refused_share(fleet):.4f} refused")

    def test_reply_that_is_read_late_still_counts(self):
        # A VM that stands still for 0.1 s reads a reply that came in time.
        async def run():
            fleet = cap_simulation.Fleet(1)
            fleet.start(8, {"w": (0.5, 3.0)})
            # No report is on its way then.
            await asyncio.sleep(SETTLED_S + 0.5)
            loop = asyncio.get_running_loop()
            lending = fleet.nodes["10.0.0.0"].sharing.lending
            keepers = lending.candidates[share_lending.slot_of("w")][:2]
            vm = next(vm for vm in fleet.vms if vm.name not in keepers)
            sharing = fleet.nodes[vm.host].sharing
            read = sharing.handle_message

            def read_late(link, message):
                loop.now_s += 0.1
                read(link, message)

            sharing.handle_message = read_late
            return await fleet.ask("w", vm)

        self.assertTrue(virtual_time.run(run()))

    def test_vm_that_hears_from_nobody_serves_within_the_slack(self):
        async def cut(fleet):
            fleet.groups = {vm.host: n for n, vm in enumerate(fleet.vms)}

        caps = {"w": (5.0, 10.0)}
        arrivals = [
            Arrival(at_s / 10, "w", vm) for at_s in range(300) for vm in (1, 2)
        ]
        fleet = self.replay(8, caps, arrivals, cut)
        self.assert_within_bound(fleet, caps)
        # An equal share of the rate for two of eight VMs.
        self.assertGreaterEqual(len(fleet.admitted["w"]), 0.9 * 30 * 5 / 4)


class LowRateTest(ReplayCase):
    """Replays of low rates at 60 VMs while VMs start and stop.

    Most workspaces send less than one request in the time in which a keeper
    changes, so that a keeper without tokens refuses all of it.
    """

    def replay_low(
        self,
        events,
        wait_s,
        length_s=30.0,
        since_s=0.0,
        count=60,
        rates=low_rates,
    ):
        """Returns the fraction refused after `since_s`, and the fleet."""
        rng = random.Random(11)
        caps, arrivals = rates(rng, count, length_s)

        async def run():
            fleet = cap_simulation.Fleet(5)
            if wait_s is None:
                fleet.start(0, caps)
                fleet.list_vms(count)
            else:
                fleet.start(count, caps)
                await asyncio.sleep(wait_s)
            fleet.reset_counts()
            begun_s = asyncio.get_running_loop().time()
            beside = asyncio.ensure_future(events(fleet)) if events else None
            await fleet.replay(arrivals)
            if beside:
                await beside
            self.assertLessEqual(max(fleet.waits_s), 0.0401)
            return fleet, begun_s + since_s

        fleet, from_s = virtual_time.run(run())
        self.assert_within_bound(fleet, caps)
        refused = sum(
            at_s >= from_s
            for rows in fleet.refused.values()
            for at_s, _ in rows
        )
        admitted = sum(
            at_s >= from_s for rows in fleet.admitted.values() for at_s in rows
        )
        share = refused / (refused + admitted)
        print(f"{self._testMethodName}: {refused} of {refused + admitted}")
        return share

    def test_calm_run_after_the_start(self):
        # Buckets of low rates take minutes to fill by their rate alone.
        share = self.replay_low(None, 16.0)
        self.assertLessEqual(share, MAX_REFUSED)

    def test_requests_closer_together_than_the_burst(self):
        # Guards against refusals of requests that the cap allows in a window.
        share = self.replay_low(None, 16.0, rates=uneven_rates)
        self.assertLessEqual(share, MAX_REFUSED)

    def test_first_seconds_of_the_fleet(self):
        # Shares that may be lent elsewhere are not usable for some seconds.
        async def start(fleet):
            await fleet.start_spread(0.001)

        share = self.replay_low(start, None, 10.0)
        self.assertLessEqual(share, MAX_REFUSED)

    def replay_start(self, since_s):
        """Returns the fraction refused when VMs start within a second."""

        async def start(fleet):
            await fleet.start_spread(1.0)

        return self.replay_low(start, None, 10.0, since_s=since_s)

    def test_first_seconds_of_vms_that_start_one_after_another(self):
        # Until all run, the others may be up and cut off, so that the first
        # ones have only their own shares. Requests count from then on.
        self.assertLessEqual(self.replay_start(1.0), MAX_REFUSED)

    def test_all_requests_while_vms_start_one_after_another(self):
        self.assertLessEqual(self.replay_start(0.0), MAX_REFUSED)

    def replay_loss_of_power(self, since_s):
        """Returns the fraction refused around a loss of power of all VMs."""

        async def lose_power(fleet):
            await asyncio.sleep(15.0)
            for vm in fleet.vms:
                fleet.kill(vm)
            await asyncio.sleep(2.0)
            await fleet.start_spread(1.0)

        return self.replay_low(lose_power, 16.0, 30.0, since_s=since_s)

    def test_all_vms_lose_power(self):
        # No VM knows anything of the tokens used before. Requests count from
        # when all VMs run again.
        self.assertLessEqual(self.replay_loss_of_power(18.0), MAX_REFUSED)

    def test_all_requests_from_a_loss_of_power(self):
        self.assertLessEqual(self.replay_loss_of_power(15.0), MAX_REFUSED)

    def test_rolling_restart(self):
        async def restart(fleet):
            for vm in fleet.vms:
                fleet.stop(vm)
                await asyncio.sleep(1.1)
                fleet.start_vm(vm)

        share = self.replay_low(restart, 16.0, 66.0)
        self.assertLessEqual(share, MAX_REFUSED)

    def test_vms_killed_one_after_another(self):
        for reset in (True, False):

            async def kill(fleet, reset=reset):
                for vm in fleet.vms:
                    fleet.kill(vm, reset)
                    await asyncio.sleep(1.1)
                    fleet.start_vm(vm)

            share = self.replay_low(kill, 16.0, 66.0)
            self.assertLessEqual(share, MAX_REFUSED)


class IdleTest(unittest.TestCase):
    def test_without_caps_nothing_is_sent_and_nothing_waits(self):
        async def run():
            fleet = cap_simulation.Fleet(1)
            fleet.start(8, {"w": (0.0, 5.0)})
            await asyncio.sleep(5.0)
            await fleet.replay([Arrival(0.0, "w", n) for n in range(100)])
            return fleet

        fleet = virtual_time.run(run())
        self.assertFalse(fleet.messages)
        self.assertEqual(set(fleet.waits_s), {0.0})
        self.assertEqual(len(fleet.admitted["w"]), 100)
