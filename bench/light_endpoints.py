"""Runs the control planes of many daemons in one process.

Each of these light endpoints runs the membership and manifest distribution
services over its own sockets on its own loopback address; all share one event
loop and one ZeroMQ context. The process reads commands as JSON lines from
standard input and writes reports as JSON lines to standard output.
"""

import argparse
import asyncio
import collections.abc
import json
import os
import random
import sys
import time
import typing

import aiohttp
import zmq

from laurelrock import errors
from laurelrock import manifest_distribution
from laurelrock import membership
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import platform as http_platform
from laurelrock.core import members
from laurelrock.core import records
from laurelrock.ports import platform

__all__ = ["PORT", "address_of", "member_of"]

#: Bus port of every daemon in the benchmark.
PORT = 7402

#: Region of each failure domain.
DOMAINS = {"a": "r1", "b": "r1", "c": "r1", "d": "r2", "e": "r2"}

#: Interval at which endpoints are polled for dead members, in seconds.
DEATH_POLL_S = 0.02


def address_of(index: int) -> str:
    """Returns the IP address of a member."""
    return f"127.40.{index // 200}.{index % 200 + 1}"


def member_of(index: int) -> members.Member:
    """Returns a member of the fleet."""
    domain = list(DOMAINS)[index % len(DOMAINS)]
    return members.Member(
        vm=f"e{index}",
        role="relay",
        address=f"{address_of(index)}:{PORT}",
        failure_domain=domain,
        region=DOMAINS[domain],
        start_id=f"{os.getpid():08x}{index:08x}",
    )


def record_of(index: int) -> records.Record:
    """Returns the membership record of a member."""
    member = member_of(index)
    return records.Record(
        address=member.address,
        vm=member.vm,
        role=member.role,
        failure_domain=member.failure_domain,
        region=member.region,
        start_id=member.start_id,
        epoch=0,
    )


class InterruptiblePlatform:
    """A platform client whose calls can be made to fail.

    Attributes:
        down: Whether reads fail as if the platform were unreachable.
    """

    def __init__(self, store: http_platform.HttpPlatform) -> None:
        self.store = store
        self.down = False

    async def fail_if_down(
        self, call: collections.abc.Awaitable[typing.Any]
    ) -> typing.Any:
        """Awaits a call; raises `PlatformError` if `down` is set."""
        found = await call
        if self.down:
            raise errors.PlatformError("platform is unreachable")
        return found

    async def get(self, key: str) -> platform.StoredObject | None:
        found: platform.StoredObject | None = await self.fail_if_down(
            self.store.get(key)
        )
        return found

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> platform.StoredObject | None:
        found: platform.StoredObject | None = await self.fail_if_down(
            self.store.watch(key, after, wait_s)
        )
        return found

    async def vms(self) -> list[platform.Vm]:
        found: list[platform.Vm] = await self.fail_if_down(self.store.vms())
        return found

    async def put(self, key: str, body: bytes, expected: int) -> int:
        return await self.store.put(key, body, expected)

    async def delete(self, key: str, expected: int) -> None:
        await self.store.delete(key, expected)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        return await self.store.list_versions(prefix)


class PartitionableBus(bus.ZmqBus):
    """A bus that drops messages to the other side of a partition.

    Attributes:
        blocked: Addresses on the other side of the partition.
    """

    blocked: set[str] = set()

    def send(self, address: str, message: typing.Any) -> bool:
        if address in self.blocked:
            return True
        return super().send(address, message)


def open_partitionable_bus(
    context: zmq.Context, address: str
) -> PartitionableBus:
    """Binds a bus to an address, on a shared ZeroMQ context."""
    router = context.socket(zmq.ROUTER)
    bus._set_options(router)
    router.bind(f"tcp://{address}")
    loop = asyncio.get_running_loop()
    created = PartitionableBus(loop, context, router, address.partition(":")[0])
    created.register_reader(router, None)
    return created


class Endpoint:
    """Control plane of one daemon.

    Attributes:
        index: Index of the member.
        in_force_s: Monotonic time at which each generation came into force.
        dead_s: Monotonic time at which each address was first known as dead.
    """

    def __init__(
        self,
        index: int,
        context: zmq.Context,
        store: http_platform.HttpPlatform,
    ) -> None:
        self.index = index
        member = member_of(index)
        self.address = member.address
        self.platform = InterruptiblePlatform(store)
        self.bus = open_partitionable_bus(context, member.address)
        options = membership.Options([], [PORT])
        rng = random.Random(index)
        self.members = membership.open_membership(
            member, self.bus, self.platform, options, rng
        )
        self.distribution = manifest_distribution.open_distribution(
            self.members, self.bus, self.platform, rng
        )
        self.distribution.listeners.append(self.record_in_force)
        self.in_force_s: dict[int, float] = {}
        self.dead_s: dict[str, float] = {}
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.members.run()),
            loop.create_task(self.distribution.run()),
        ]

    def record_in_force(self, generation: int, config: typing.Any) -> None:
        """Records that a generation is in force now."""
        self.in_force_s[generation] = time.monotonic()

    def stop(self) -> None:
        """Stops abruptly, without a message to other members."""
        for task in self.tasks:
            task.cancel()
        for peer in list(self.bus.peers):
            self.bus.forget(peer)
        self.bus.loop.remove_reader(int(self.bus.router.fd))
        self.bus.router.close(linger=0)


class EndpointGroup:
    """The endpoints of one process.

    Attributes:
        endpoints: Running endpoints by index of the member.
        stopped_addresses: Addresses of the members that were stopped.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.stopped_addresses: set[str] = set()

    def cut(self, cut: list[int], size: int) -> None:
        """Partitions some members from all others and from the platform.

        Args:
            cut: Indexes of the partitioned members; an empty list ends the
                partition.
            size: Number of members of the fleet.
        """
        inside = {f"{address_of(index)}:{PORT}" for index in cut}
        everyone = {f"{address_of(index)}:{PORT}" for index in range(size)}
        for endpoint in self.endpoints.values():
            is_inside = endpoint.address in inside
            endpoint.bus.blocked = everyone - inside if is_inside else inside
            endpoint.platform.down = is_inside and bool(cut)
            if not cut:
                endpoint.bus.blocked = set()

    def report(self) -> dict[str, typing.Any]:
        """Returns what the endpoints have recorded."""
        return {
            "known": [
                len(endpoint.members.view.rings.members) + 1
                for endpoint in self.endpoints.values()
            ],
            "in_force": {
                index: endpoint.in_force_s
                for index, endpoint in self.endpoints.items()
            },
            "dead": {
                index: endpoint.dead_s
                for index, endpoint in self.endpoints.items()
            },
        }

    async def record_deaths(self) -> None:
        """Records when endpoints know that stopped members are dead."""
        while True:
            now_s = time.monotonic()
            for endpoint in self.endpoints.values():
                dead_since_s = endpoint.members.view.table.dead_since_s
                for address in self.stopped_addresses & dead_since_s.keys():
                    endpoint.dead_s.setdefault(address, now_s)
            await asyncio.sleep(DEATH_POLL_S)

    def run_command(self, command: dict[str, typing.Any]) -> None:
        """Runs a command from standard input."""
        if command["do"] == "cut":
            self.cut(command["members"], command["size"])
        elif command["do"] == "platform":
            for index, endpoint in self.endpoints.items():
                endpoint.platform.down = index in command["down"]
        elif command["do"] == "stop":
            self.stopped_addresses.add(
                f"{address_of(command['member'])}:{PORT}"
            )
            if command["member"] in self.endpoints:
                self.endpoints.pop(command["member"]).stop()
        elif command["do"] == "report":
            sys.stdout.write(json.dumps(self.report()) + "\n")
            sys.stdout.flush()


async def run(first: int, last: int, url: str) -> None:
    """Runs members until standard input is closed.

    Args:
        first: Index of the first member.
        last: Index after the last member.
        url: URL of the platform.
    """
    context = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 16_000)
    connector = aiohttp.TCPConnector(limit=0)
    session = aiohttp.ClientSession(connector=connector)
    store = http_platform.HttpPlatform(url, session, 2.0)
    group = EndpointGroup()
    for index in range(first, last):
        group.endpoints[index] = Endpoint(index, context, store)
    death_recorder = asyncio.create_task(group.record_deaths())
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        group.run_command(json.loads(line))
    death_recorder.cancel()
    os._exit(0)


def main() -> None:
    """Runs the members that command-line arguments select."""
    parser = argparse.ArgumentParser(description="Runs light endpoints.")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--last", type=int, required=True)
    parser.add_argument("--platform", required=True)
    args = parser.parse_args()
    logs.configure("error")
    asyncio.run(run(args.first, args.last, args.platform))


if __name__ == "__main__":
    main()
