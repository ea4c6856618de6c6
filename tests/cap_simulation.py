"""Simulates the caps of workspaces over many VMs in virtual time.

The code above the sockets is real; links between VMs are replaced by fakes with
delays, cuts, and counts of messages and bytes.
"""

import asyncio
import collections
import random
import typing

import msgspec

from laurelrock.adapters import frames
from laurelrock.core import owners
from laurelrock.core import routes
from laurelrock.core import tenancy
from laurelrock.core import token_leases
from laurelrock.gateways.workspaces import cap_sharing

PORT = 7000
#: Size of a frame's header in bytes.
FRAME_HEADER_BYTES = 5
#: Largest delay of a message, in seconds; VMs in other domains are 0.9 ms away.
MAX_DELAY_S = 0.002
#: The bound of the deployments that have workspaces.
POLICY = tenancy.CapPolicy(5.0, 0.1, 20.0)


class Arrival(typing.NamedTuple):
    """One request: time since the start of the load, workspace and VM."""

    at_s: float
    workspace: str
    vm: int


class FakeLink:
    """One direction of a connection; messages keep their order."""

    def __init__(self, fleet: "Fleet", source: "Node", host: str) -> None:
        self.fleet = fleet
        self.source = source
        self.address = (host, PORT)
        self.arrival_s = 0.0

    def send(self, message: typing.Any) -> None:
        fleet, source = self.fleet, self.source
        size = len(msgspec.msgpack.encode(message)) + FRAME_HEADER_BYTES
        fleet.messages[source.vm.name] += 1
        fleet.bytes[source.vm.name] += size
        delay_s = fleet.random.uniform(0.0003, MAX_DELAY_S)
        delay_s *= fleet.slowness.get(source.vm.host, 1.0)
        loop = asyncio.get_running_loop()
        self.arrival_s = max(self.arrival_s, loop.time() + delay_s)
        loop.call_at(self.arrival_s, self.deliver, message)

    def deliver(self, message: typing.Any) -> None:
        node = self.fleet.nodes.get(self.address[0])
        pair = {self.source.vm.host, self.address[0]}
        if node is None or not self.fleet.reaches(*sorted(pair)):
            return
        node.sharing.handle_message(
            typing.cast(frames.Link, node.link((self.source.vm.host, PORT))),
            message,
        )


class Node:
    """One VM; stands in for `frames.PeerLinks` as well."""

    def __init__(self, fleet: "Fleet", vm: owners.Vm) -> None:
        self.fleet = fleet
        self.vm = vm
        self.links: dict[str, FakeLink] = {}
        offset_s, rate = fleet.clocks.get(vm.host, (0.0, 1.0))
        loop = asyncio.get_running_loop()
        self.sharing = cap_sharing.CapSharing(
            typing.cast(frames.PeerLinks, self),
            *(vm, PORT, fleet.policy),
            lambda: offset_s + loop.time() * rate,
        )
        self.task = loop.create_task(self.sharing.run())

    def link(self, address: tuple[str, int]) -> FakeLink:
        host = address[0]
        if host not in self.links:
            self.links[host] = FakeLink(self.fleet, self, host)
        return self.links[host]


class Fleet:
    """Simulated VMs.

    Attributes:
        policy: How far caps may be exceeded.
        nodes: The running VMs by IP address.
        groups: The group of each cut VM; VMs of different groups don't reach
            each other.
        slowness: Factor on the delays of a VM's messages, by IP address.
        clocks: Offset and rate of a VM's clock, by IP address.
        admitted: Times of admitted requests by workspace.
        refused: Times and return times of refused requests by workspace.
        waits_s: Times that requests waited.
    """

    def __init__(self, seed: int, clocks=None, policy=POLICY) -> None:
        self.policy = policy
        self.random = random.Random(seed)
        self.vms: list[owners.Vm] = []
        self.nodes: dict[str, Node] = {}
        self.groups: dict[str, int] = {}
        self.slowness: dict[str, float] = {}
        self.clocks: dict[str, tuple[float, float]] = clocks or {}
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waits_s: list[float] = []
        self.workspaces: dict[str, tenancy.Workspace] = {}

    def start(self, count: int, caps: dict[str, tuple[float, float]]) -> None:
        """Starts VMs in four failure domains with capped workspaces."""
        self.set_caps(caps, apply=False)
        self.list_vms(count)
        for vm in self.vms:
            self.start_vm(vm)

    def list_vms(self, count: int) -> None:
        """Sets the list of VMs without starting them."""
        self.vms = [
            owners.Vm(f"vm-{n}", f"d{n % 4}", f"10.0.0.{n}", 1.0)
            for n in range(count)
        ]

    async def start_spread(self, length_s: float) -> None:
        """Starts all VMs at random times within a span."""
        times = sorted(
            (self.random.uniform(0.0, length_s), vm) for vm in self.vms
        )
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        for at_s, vm in times:
            await asyncio.sleep(begun_s + at_s - loop.time())
            self.start_vm(vm)

    def start_vm(self, vm: owners.Vm) -> None:
        node = self.nodes[vm.host] = Node(self, vm)
        node.sharing.set_vms(self.vms)
        self.configure(node)

    def configure(self, node: Node) -> None:
        rows = tuple(self.workspaces.values())
        node.sharing.configure(routes.Configuration(1, (), {}, workspaces=rows))

    def set_caps(self, caps, apply=True) -> None:
        """Changes the caps at all VMs."""
        self.workspaces = {
            name: tenancy.Workspace(name, requests_per_s=rate, burst=burst)
            for name, (rate, burst) in caps.items()
        }
        for node in self.nodes.values() if apply else ():
            self.configure(node)

    def kill(self, vm: owners.Vm, reset: bool = True) -> None:
        """Ends a VM; with `reset`, others see that their connections end."""
        node = self.nodes.pop(vm.host, None)
        if node is None:
            return
        node.task.cancel()
        for other in self.nodes.values() if reset else ():
            if vm.host in other.links:
                link = other.links.pop(vm.host)
                other.sharing.link_ended(typing.cast(frames.Link, link))

    def stop(self, vm: owners.Vm) -> None:
        """Lets a VM return the shares lent to it, and then ends it."""
        node = self.nodes.get(vm.host)
        if node is not None:
            node.sharing.lending.leave(node.sharing.clock())
            asyncio.get_running_loop().call_later(1.0, self.kill, vm)

    def reaches(self, one: str, other: str) -> bool:
        return self.groups.get(one, 0) == self.groups.get(other, 0)

    def vm_number(self, name: str) -> int:
        return next(n for n, vm in enumerate(self.vms) if vm.name == name)

    async def ask(self, workspace: str, vm: owners.Vm) -> bool:
        """Sends one request; returns whether it was admitted."""
        node = self.nodes.get(vm.host)
        if node is None:
            return False
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        admission = await node.sharing.admit(
            self.workspaces[workspace], node.sharing.clock()
        )
        if self.nodes.get(vm.host) is not node:
            return False
        now_s = loop.time()
        self.waits_s.append(now_s - begun_s)
        if admission.granted:
            self.admitted[workspace].append(now_s)
        else:
            self.refused[workspace].append(
                (now_s, now_s + admission.retry_after_s)
            )
        return admission.granted

    def running_vm(self, number: int) -> owners.Vm:
        """Returns a VM, or the next one that runs if it doesn't."""
        count = len(self.vms)
        rows = (self.vms[(number + step) % count] for step in range(count))
        return next(
            (vm for vm in rows if vm.host in self.nodes),
            self.vms[number % count],
        )

    async def replay(self, arrivals: list[Arrival]) -> None:
        """Sends requests at their times and waits for the decisions."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        tasks = []
        for row in sorted(arrivals):
            await asyncio.sleep(begun_s + row.at_s - loop.time())
            vm = self.running_vm(row.vm)
            tasks.append(loop.create_task(self.ask(row.workspace, vm)))
        await asyncio.gather(*tasks)

    def held_shares(self, slot: int, kind: int) -> float:
        """Returns the sum of a slot's shares in use, as a fraction."""
        pool = token_leases.pool_of(slot, kind)
        total = 0.0
        for node in self.nodes.values():
            sharing = node.sharing
            now_s = sharing.clock()
            sharing.keeper.drop_expired(now_s)
            total += sharing.keeper.pools[pool].fraction
            if kind == token_leases.MAIN:
                fraction, free_s = sharing.lending.own_share(slot, now_s)
                total += fraction if now_s > free_s else 0.0
        return total

    def reset_counts(self) -> None:
        self.messages.clear()
        self.bytes.clear()


def conforming_times(
    rng: random.Random, per_s: float, burst: float, load: float, end_s: float
) -> list[float]:
    """Returns random times that one token bucket would admit all of."""
    times, tokens, last_s, now_s = [], burst, 0.0, 0.0
    while (now_s := now_s + rng.expovariate(per_s * load)) < end_s:
        tokens = min(burst, tokens + (now_s - last_s) * per_s)
        last_s = now_s
        if tokens >= 1.0:
            tokens -= 1.0
            times.append(now_s)
    return times


def worst_excess(
    times: list[float], per_s: float, burst: float, policy=POLICY
) -> float:
    """Returns by how much the worst window exceeds its bound."""
    bound = (per_s * policy.window_s + burst) * (1 + policy.overage)
    bound += policy.slack
    times = sorted(times)
    first, worst = 0, -bound
    for last, at_s in enumerate(times):
        while times[first] < at_s - policy.window_s:
            first += 1
        worst = max(worst, last - first + 1 - bound)
    return worst
