"""Tests that the shares of a rate never add up to more than the whole."""

import heapq
import itertools
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import shared_rate
from laurelrock.core import warm_up

STEP_S = 0.05
SERVICE = "files"
POLICY = warm_up.WarmUpPolicy()


class Event(typing.NamedTuple):
    """Something that happens to several VMs.

    Attributes:
        at_s: When, in seconds of true time.
        kind: "cut" from the other VMs, "heal", "restart", or "demand".
        first: The first VM to which it happens.
        share: The share of the VMs to which it happens.
    """

    at_s: float
    kind: str
    first: int
    share: float


class Vm:
    """A VM with a clock of its own, as a member and as a keeper."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        rng = fleet.rng
        self.fleet = fleet
        self.name = f"vm-{number}"
        self.number = number
        self.offset_s = rng.uniform(-1e4, 1e4)
        self.rate = rng.uniform(0.98, 1.02)
        self.demand = rng.choice((0.0, 0.0, 1.0, 50.0))
        self.side = 0
        self.start()

    def start(self) -> None:
        """Starts the process; nothing of an earlier start is left."""
        now_s = self.now_s()
        self.start_id = f"{self.name}/{next(self.fleet.start_numbers)}"
        self.member = shared_rate.create_member(now_s)
        self.grants = shared_rate.create_grants()
        self.demands: dict[str, float] = {}
        self.keeper = 0
        self.silent_since_s = now_s
        self.next_report_s = now_s + self.fleet.rng.random()
        share = shared_rate.Share(0.0)
        per_s = self.fleet.per_s
        self.limit = warm_up.create_cold_limit(per_s, POLICY, share, now_s)

    def now_s(self) -> float:
        return self.offset_s + self.rate * self.fleet.true_s

    def share(self) -> shared_rate.Share:
        equal = 1.0 / len(self.fleet.vms)
        return self.member.share(SERVICE, equal, True, self.now_s())

    def fraction(self) -> float:
        """Returns the fraction that the bucket uses now."""
        share = self.limit.share
        return share.fraction if self.now_s() < share.until_s else share.after

    def step(self) -> None:
        now_s = self.now_s()
        if now_s >= self.next_report_s:
            self.next_report_s = now_s + 1.0
            self.report(now_s)
        while self.demand and not self.limit.wait_s(now_s):
            self.limit.take(now_s)
            self.fleet.sent_s.append(self.fleet.true_s)

    def report(self, now_s: float) -> None:
        if now_s - self.silent_since_s > 2.5:
            self.keeper, self.silent_since_s = 1 - self.keeper, now_s
            self.member.forget_keeper()
        offers = self.member.begin_offer(now_s)
        self.limit.set_share(self.share(), now_s)
        amount = (1 - shared_rate.KEPT_FRACTION) / len(self.fleet.vms)
        keeper, stamp_s = self.member.keeper, self.member.stamp_s
        self.fleet.send(
            self,
            self.fleet.vms[self.keeper],
            lambda vm: vm.answer(
                self, now_s, self.demand, amount if offers else None, keeper,
                stamp_s,
            ),
        )  # fmt: skip

    def answer(self, sender, sent_s, demand, amount, keeper, stamp_s) -> None:
        now_s, start = self.now_s(), sender.start_id
        self.demands[sender.name] = demand
        extra = 0.0
        if amount is not None and keeper == self.start_id:
            self.grants.record_offer(sender.name, amount, stamp_s)
            vms = len(self.fleet.vms)
            wanted = shared_rate.divide(self.demands, vms)[sender.name]
            wanted -= shared_rate.KEPT_FRACTION / vms
            extra = self.grants.grant(sender.name, wanted, now_s)
        row = (self.start_id, now_s, sent_s, [(SERVICE, extra)])
        self.fleet.send(self, sender, lambda vm: vm.apply(start, row))

    def apply(self, start: str, row) -> None:
        # The connection of an earlier start is gone.
        if start == self.start_id:
            now_s = self.now_s()
            self.silent_since_s = now_s
            self.member.record_reply(*row, now_s)
            self.limit.set_share(self.share(), now_s)


class Fleet:
    """VMs that send requests to one cold searcher as often as they may."""

    def __init__(self, count: int, per_s: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.is_faulty = True
        self.true_s = 0.0
        self.start_numbers = itertools.count()
        self.messages: list = []
        self.numbers = itertools.count()
        self.sent_s: list[float] = []
        self.worst_sum = 0.0
        self.lent = False
        self.vms: list[Vm] = []
        self.vms += [Vm(self, number) for number in range(count)]

    def send(self, sender: Vm, receiver: Vm, deliver) -> None:
        """Sends a message, which may be late, lost or sent twice."""
        if sender.side != receiver.side:
            return
        if self.rng.random() < 0.05 * self.is_faulty:
            return
        for _ in range(1 + (self.rng.random() < 0.1 * self.is_faulty)):
            late = self.rng.random() < 0.1 * self.is_faulty
            at_s = self.true_s + (self.rng.uniform(0.0, 4.0) if late else 0.01)
            row = (at_s, next(self.numbers), receiver, deliver)
            heapq.heappush(self.messages, row)

    def apply(self, event: Event) -> None:
        count = len(self.vms)
        for n in range(max(1, round(count * event.share))):
            vm = self.vms[(event.first + n) % count]
            if event.kind == "restart":
                vm.start()
            elif event.kind == "demand":
                vm.demand = self.rng.choice((0.0, 0.0, 1.0, 50.0))
            else:
                vm.side = int(event.kind == "cut")

    def run(self, events: list[Event], seconds: float) -> None:
        events = sorted(events)
        while self.true_s < seconds:
            self.true_s += STEP_S
            while events and events[0].at_s <= self.true_s:
                self.apply(events.pop(0))
            while self.messages and self.messages[0][0] <= self.true_s:
                _, _, vm, deliver = heapq.heappop(self.messages)
                deliver(vm)
            for vm in self.vms:
                vm.step()
            fractions = [vm.fraction() for vm in self.vms]
            self.worst_sum = max(self.worst_sum, sum(fractions))
            self.lent |= max(fractions) > 1.01 / len(self.vms)


def busiest_second(times: list[float]) -> int:
    """Returns the most requests of any window of one second."""
    most, begin = 0, 0
    for end, at_s in enumerate(times):
        while times[begin] <= at_s - 1.0 + 1e-9:
            begin += 1
        most = max(most, end - begin + 1)
    return most


EVENTS = strategies.lists(
    strategies.builds(
        Event,
        strategies.floats(0.0, 25.0),
        strategies.sampled_from(("cut", "heal", "restart", "demand")),
        strategies.integers(0, 40),
        strategies.sampled_from((0.01, 0.2, 0.5, 1.0)),
    ),
    max_size=14,
)


class SumTest(unittest.TestCase):
    @hypothesis.settings(max_examples=120, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(2, 30),
        strategies.sampled_from((2.0, 10.0, 40.0, 300.0)),
        strategies.integers(0, 2**32),
        EVENTS,
    )
    def test_cuts_restarts_and_clocks_exceed_the_bound(
        self, count, per_s, seed, events
    ):
        fleet = Fleet(count, per_s, seed)
        fleet.run(events, 30.0)
        self.assertLessEqual(fleet.worst_sum, 1.0 + 1e-9)
        bound = per_s * POLICY.overage + POLICY.slack
        self.assertLessEqual(busiest_second(fleet.sent_s), bound)

    def test_half_of_the_vms_restart_while_their_shares_are_lent(self):
        for at_s in (10.0, 10.3, 10.6, 10.9):
            fleet = Fleet(20, 40.0, 1)
            fleet.is_faulty = False
            for number, vm in enumerate(fleet.vms):
                vm.demand = 50.0 if number < 2 else 0.0
            fleet.run([Event(at_s, "restart", 2, 0.9)], 20.0)
            self.assertTrue(fleet.lent)
            self.assertLessEqual(fleet.worst_sum, 1.0 + 1e-9)

    def test_vm_offers_its_share_to_two_keepers(self):
        member = shared_rate.create_member(0.0)
        member.record_reply("one", 5.0, 9.0, [], 9.0)
        self.assertTrue(member.begin_offer(10.0))
        for now_s in (11.0, 10.0 + shared_rate.OFFER_S):
            member.record_reply("other", 5.0, now_s, [], now_s)
            self.assertFalse(member.begin_offer(now_s))
        self.assertTrue(member.begin_offer(10.1 + shared_rate.OFFER_S))

    def test_keeper_counts_an_offer_that_ends_before_the_grant(self):
        grants = shared_rate.create_grants()
        grants.record_offer("vm-1", 0.5, 10.0)
        self.assertEqual(grants.grant("vm-2", 1.0, 11.0), 0.5)
        self.assertEqual(grants.grant("vm-3", 1.0, 11.0), 0.0)
        late_s = 10.0 + shared_rate.OFFER_S - shared_rate.GRANT_S
        self.assertEqual(grants.grant("vm-2", 1.0, late_s), 0.0)

    def test_one_busy_vm_gets_what_the_others_leave(self):
        fleet = Fleet(8, 12.0, 1)
        fleet.is_faulty = False
        for number, vm in enumerate(fleet.vms):
            vm.demand = 50.0 if number == 3 else 0.0
        fleet.run([], 30.0)
        late = [at_s for at_s in fleet.sent_s if at_s > 10.0]
        # An equal share is 1.5 requests a second, half of the rate 6.
        self.assertGreater(len(late), 6.0 * 20)

    def test_cut_vms_return_to_their_equal_shares(self):
        fleet = Fleet(10, 40.0, 1)
        for vm in fleet.vms:
            vm.demand = 50.0
        fleet.run([Event(5.0, "cut", 2, 0.4)], 20.0)
        for vm in fleet.vms[2:5]:
            self.assertAlmostEqual(vm.fraction(), 0.1)


class PeakTest(unittest.TestCase):
    def test_vms_that_are_cut_off_keep_the_old_number_of_callers(self):
        peak = shared_rate.RecentPeak()
        self.assertEqual(peak.record(60, 0.0), 60)
        self.assertEqual(peak.record(30, 400.0), 60)
        self.assertEqual(peak.record(31, shared_rate.PEAK_S), 60)
        self.assertEqual(peak.record(30, shared_rate.PEAK_S + 1.0), 31)
