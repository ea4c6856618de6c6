"""Light endpoints: the control planes of many daemons in one process.

Each runs the membership and spread services over sockets of its own, on a
loopback address of its own; all share one loop and one ZeroMQ context.
Commands come as JSON lines on standard input, reports leave as JSON lines.
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
from laurelrock import membership
from laurelrock import spread
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import platform as http_platform
from laurelrock.core import members
from laurelrock.core import records
from laurelrock.ports import platform

__all__ = ["PORT", "address_of", "member_of"]

#: Bus port of every daemon of the bench.
PORT = 7402

#: Failure domains and the region of each.
DOMAINS = {"a": "r1", "b": "r1", "c": "r1", "d": "r2", "e": "r2"}

#: Between two looks at whether a member is known to be dead, in seconds.
LOOK_S = 0.02


def address_of(index: int) -> str:
    """Returns the IP number of a member."""
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
    """Returns a member's record."""
    me = member_of(index)
    return records.Record(
        address=me.address,
        vm=me.vm,
        role=me.role,
        failure_domain=me.failure_domain,
        region=me.region,
        start_id=me.start_id,
        epoch=0,
    )


class LightPlatform:
    """The platform, which can be out of reach."""

    def __init__(self, store: http_platform.HttpPlatform) -> None:
        self.store = store
        self.down = False

    async def guarded(
        self, answer: collections.abc.Awaitable[typing.Any]
    ) -> typing.Any:
        found = await answer
        if self.down:
            raise errors.PlatformError("out of reach")
        return found

    async def get(self, key: str) -> platform.Stored | None:
        found: platform.Stored | None = await self.guarded(self.store.get(key))
        return found

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> platform.Stored | None:
        found: platform.Stored | None = await self.guarded(
            self.store.watch(key, after, wait_s)
        )
        return found

    async def vms(self) -> list[platform.Vm]:
        found: list[platform.Vm] = await self.guarded(self.store.vms())
        return found

    async def put(self, key: str, body: bytes, expected: int) -> int:
        return await self.store.put(key, body, expected)

    async def delete(self, key: str, expected: int) -> None:
        await self.store.delete(key, expected)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        return await self.store.list_versions(prefix)


class CutBus(bus.ZmqBus):
    """A bus that loses messages from and to the other side of a cut.

    Attributes:
        blocked: Addresses on the other side.
    """

    blocked: set[str] = set()

    def send(self, address: str, message: typing.Any) -> bool:
        if address in self.blocked:
            return True
        return super().send(address, message)


def open_cut_bus(context: zmq.Context, address: str) -> CutBus:
    """Binds a bus on a shared context."""
    router = context.socket(zmq.ROUTER)
    bus._set_options(router)
    router.bind(f"tcp://{address}")
    loop = asyncio.get_running_loop()
    created = CutBus(loop, context, router, address.partition(":")[0])
    created.watch(router, None)
    return created


class Endpoint:
    """One daemon's control plane.

    Attributes:
        index: Of the member.
        in_force_s: When each generation came into force.
        dead_s: When each address was first known to be dead.
    """

    def __init__(
        self,
        index: int,
        context: zmq.Context,
        store: http_platform.HttpPlatform,
    ) -> None:
        self.index = index
        me = member_of(index)
        self.address = me.address
        self.platform = LightPlatform(store)
        self.bus = open_cut_bus(context, me.address)
        options = membership.Options([], [PORT])
        source = random.Random(index)
        self.members = membership.open_membership(
            me, self.bus, self.platform, options, source
        )
        self.spread = spread.open_spread(
            self.members, self.bus, self.platform, source
        )
        self.spread.listeners.append(self.note)
        self.in_force_s: dict[int, float] = {}
        self.dead_s: dict[str, float] = {}
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.members.run()),
            loop.create_task(self.spread.run()),
        ]

    def note(self, generation: int, config: typing.Any) -> None:
        """Notes when a generation came into force."""
        self.in_force_s[generation] = time.monotonic()

    def stop(self) -> None:
        """Ends without a word."""
        for task in self.tasks:
            task.cancel()
        for peer in list(self.bus.peers):
            self.bus.forget(peer)
        self.bus.loop.remove_reader(int(self.bus.router.fd))
        self.bus.router.close(linger=0)


class Group:
    """The endpoints of one process."""

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.watched: set[str] = set()

    def cut(self, cut: list[int], size: int) -> None:
        """Cuts some members off from all others and the platform."""
        inside = {f"{address_of(index)}:{PORT}" for index in cut}
        everyone = {f"{address_of(index)}:{PORT}" for index in range(size)}
        for endpoint in self.endpoints.values():
            is_inside = endpoint.address in inside
            endpoint.bus.blocked = everyone - inside if is_inside else inside
            endpoint.platform.down = is_inside and bool(cut)
            if not cut:
                endpoint.bus.blocked = set()

    def report(self) -> dict[str, typing.Any]:
        """Returns what the endpoints saw."""
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

    async def look_forever(self) -> None:
        """Notes when members are known to be dead."""
        while True:
            now_s = time.monotonic()
            for endpoint in self.endpoints.values():
                held = endpoint.members.view.table.dead_since_s
                for address in self.watched & held.keys():
                    endpoint.dead_s.setdefault(address, now_s)
            await asyncio.sleep(LOOK_S)

    def obey(self, command: dict[str, typing.Any]) -> None:
        """Carries out a command from standard input."""
        if command["do"] == "cut":
            self.cut(command["members"], command["size"])
        elif command["do"] == "platform":
            for index, endpoint in self.endpoints.items():
                endpoint.platform.down = index in command["down"]
        elif command["do"] == "stop":
            self.watched.add(f"{address_of(command['member'])}:{PORT}")
            if command["member"] in self.endpoints:
                self.endpoints.pop(command["member"]).stop()
        elif command["do"] == "report":
            sys.stdout.write(json.dumps(self.report()) + "\n")
            sys.stdout.flush()


async def run(first: int, last: int, url: str) -> None:
    """Runs some members until standard input ends."""
    context = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 16_000)
    connector = aiohttp.TCPConnector(limit=0)
    session = aiohttp.ClientSession(connector=connector)
    store = http_platform.HttpPlatform(url, session, 2.0)
    group = Group()
    for index in range(first, last):
        group.endpoints[index] = Endpoint(index, context, store)
    looking = asyncio.create_task(group.look_forever())
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        group.obey(json.loads(line))
    looking.cancel()
    os._exit(0)


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Light endpoints.")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--last", type=int, required=True)
    parser.add_argument("--platform", required=True)
    args = parser.parse_args()
    logs.configure("error")
    asyncio.run(run(args.first, args.last, args.platform))


if __name__ == "__main__":
    main()
