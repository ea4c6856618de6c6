"""A network of membership views in virtual time.

Messages take a random time, are lost between addresses that are cut from one
another, and wait for a process that is paused. A connection can go silent;
it stays so until the sender opens a new one.
"""

import collections
import heapq
import itertools
import random as randomness

from laurelrock.core import exchange
from laurelrock.core import membership
from laurelrock.core import records
from laurelrock.core import view as views
from tests import fleet

#: Time between two ticks of a process, in seconds.
TICK_S = 0.25


class Process:
    """One start of a daemon."""

    def __init__(self, view: views.View, clock_skew_s: float) -> None:
        self.view = view
        self.clock_skew_s = clock_skew_s
        self.paused = False
        self.waiting: list = []


class Network:
    """Processes by address, and the messages between them."""

    def __init__(self, seed: int) -> None:
        self.random = randomness.Random(seed)
        self.now_s = 1000.0
        self.queue: list = []
        self.count = itertools.count()
        self.processes: dict[str, Process] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.silent: set[tuple[str, str]] = set()
        self.sent = collections.Counter()
        self.starts = itertools.count(1)

    def start(
        self,
        member,
        seeds: list[str] | None = None,
        clock_skew_s: float = 0.0,
    ) -> Process:
        """Starts a process at the member's address, in place of any other."""
        me = records.Record(
            address=member.address,
            vm=member.vm,
            role=member.role,
            failure_domain=member.failure_domain,
            region=member.region,
            start_id=f"s{next(self.starts)}",
            epoch=int((self.now_s + clock_skew_s) * 1000),
        )
        view = membership.make(
            me,
            randomness.Random(self.random.random()),
            self.now_s + clock_skew_s,
            list(self.processes) if seeds is None else seeds,
        )
        process = Process(view, clock_skew_s)
        self.processes[member.address] = process
        offset = self.random.uniform(0, TICK_S)
        self.push(offset, ("tick", member.address, process))
        return process

    def stop(self, address: str) -> None:
        del self.processes[address]

    def pause(self, address: str) -> None:
        self.processes[address].paused = True

    def resume(self, address: str) -> None:
        process = self.processes[address]
        process.paused = False
        self.push(0.0, ("tick", address, process))
        waiting, process.waiting = process.waiting, []
        for message in waiting:
            self.push(0.001, ("message", address, message))

    def cut(self, ones: list[str], others: list[str]) -> None:
        """Loses all messages between two groups of addresses."""
        for one, other in itertools.product(ones, others):
            self.cut_pairs |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.cut_pairs.clear()

    def push(self, delay_s: float, item: tuple) -> None:
        entry = (self.now_s + delay_s, next(self.count), item)
        heapq.heappush(self.queue, entry)

    def run(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, (kind, address, item) = heapq.heappop(self.queue)
            if kind == "tick":
                self.tick(address, item)
            else:
                self.deliver(address, item)
        self.now_s = end_s

    def tick(self, address: str, process: Process) -> None:
        if self.processes.get(address) is not process or process.paused:
            return
        now_s = self.now_s + process.clock_skew_s
        membership.tick(process.view, now_s)
        self.drain(address, process)
        self.push(TICK_S, ("tick", address, process))

    def deliver(self, address: str, message) -> None:
        process = self.processes.get(address)
        if process is None:
            return
        if process.paused:
            process.waiting.append(message)
            return
        handler = exchange.HANDLERS[type(message)]
        now_s = self.now_s + process.clock_skew_s
        handler(process.view, message, now_s)
        membership.flush(process.view, now_s)
        self.drain(address, process)

    def drain(self, address: str, process: Process) -> None:
        outbox, process.view.outbox = process.view.outbox, []
        for outgoing in outbox:
            pair = (address, outgoing.address)
            self.sent[type(outgoing.message).__name__] += 1
            if outgoing.fresh:
                self.silent.discard(pair)
            if pair in self.cut_pairs or pair in self.silent:
                continue
            delay_s = self.random.uniform(0.0002, 0.02)
            item = ("message", outgoing.address, outgoing.message)
            self.push(delay_s, item)

    # Observations

    def live(self) -> set[str]:
        """Returns the addresses that run and are not paused."""
        return {a for a, p in self.processes.items() if not p.paused}

    def seen_by(self, address: str) -> dict[str, tuple]:
        """Returns the live members that a process knows, with their starts."""
        view = self.processes[address].view
        return {
            record.address: record.start_id
            for record in view.table.records.values()
            if record.state == "live"
        }

    def disagreements(self) -> list[str]:
        """Names what differs between the views and the truth."""
        truth = {
            address: process.view.me.start_id
            for address, process in self.processes.items()
            if process.view.me.state == "live" and not process.paused
        }
        wrong = []
        for address in sorted(self.live()):
            seen = self.seen_by(address)
            if seen != truth:
                extra = sorted(seen.items() - truth.items())[:3]
                lacks = sorted(truth.items() - seen.items())[:3]
                wrong.append(f"{address}: extra {extra}, lacks {lacks}")
        return wrong


def started(seed: int, size: int, domains: int) -> Network:
    """Returns a network whose members have joined."""
    network = Network(seed)
    plan = fleet.relays(size, domains)
    seeds = [member.address for member in plan]
    for member in plan:
        network.start(member, seeds)
    network.run(10.0)
    return network
