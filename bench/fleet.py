"""Fleet: gateway processes on loopback, among stand-ins of the platform.

The store, the searchers and the links before them run in this process; each
gateway is a process of its own, started as on the platform.
"""

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

from aiohttp import web

from fakes import callers
from fakes import link
from fakes import objects
from fakes import shards
from laurelrock.core import gathering

__all__ = ["Arrival", "Fleet", "Shape", "Vm", "open_fleet", "record_of"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "soak.example"
#: Ports of each VM, at an address of its own.
CALLERS, READINESS, PEERS, EXCHANGE = 8080, 8081, 8082, 7380
#: Ports of the store and of its links, one a VM.
STORE, STORE_LINK = 7100, 7101
#: First port of the searchers' links.
SEARCHERS = 20_000
#: Start of the first searchers, in milliseconds since 1970.
FIRST_BORN_MS = 1_790_000_000_000
#: Longest wait for the fleet to be ready, in seconds.
START_S = 40.0


#: Longest time for an answer about readiness, in seconds.
READY_S = 0.5


class Shape(typing.NamedTuple):
    """What is started.

    Attributes:
        lane: Number of the loopback network; lanes can run side by side.
        vms: Gateways, in two failure domains by turns.
        shards: Of a query; each has two searchers.
        connections: That a searcher takes.
        allowance: Extra calls of a service in ten seconds.
    """

    lane: int = 0
    vms: int = 4
    shards: int = 6
    connections: int = 26
    allowance: int = 58


class Arrival(typing.NamedTuple):
    """A request as a searcher saw it."""

    request_id: str
    service: str
    searcher: str
    at_s: float
    ran: bool


class Vm:
    """One VM and its process.

    Attributes:
        name: Of the VM.
        address: IPv4 number.
        link: Between it and the store.
        front: Between callers and it.
        exchange: Between other VMs and it.
        process: Running, or ended.
        starts: Processes so far.
    """

    def __init__(
        self,
        name: str,
        address: str,
        way: link.Link,
        front: link.Link,
        exchange: link.Link,
    ) -> None:
        self.name = name
        self.address = address
        self.link = way
        self.front = front
        self.exchange = exchange
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def callers(self) -> tuple[str, int]:
        """Where callers connect."""
        return front_of(self.address), CALLERS

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it lives."""
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Tells whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Server:
    """A searcher and the link that callers reach it by."""

    def __init__(
        self, searcher: shards.Searcher, way: link.Link, service: str, port: int
    ) -> None:
        self.searcher = searcher
        self.link = way
        self.service = service
        self.port = port
        self.born_ms = FIRST_BORN_MS
        #: What it does with requests: see `Fleet.play`.
        self.manner = "healthy"


class Fleet:
    """State of a running fleet.

    Attributes:
        shape: What was started.
        folder: Of settings and logs.
        store: Stand-in of the platform's store.
        vms: By name.
        servers: Searchers by id.
        arrivals: Requests as the searchers saw them.
        versions: Each configuration with the loop time of its writing.
        lists: Services of the query's shards, by version.
    """

    def __init__(self, shape: Shape, folder: pathlib.Path) -> None:
        self.shape = shape
        self.folder = folder
        self.network = f"127.{60 + shape.lane}"
        self.store = objects.Objects()
        self.vms: dict[str, Vm] = {}
        self.servers: dict[str, Server] = {}
        self.arrivals: list[Arrival] = []
        self.versions: dict[int, float] = {}
        self.lists: dict[int, tuple[str, ...]] = {}
        self.births = 0
        self.runner: web.AppRunner | None = None
        self.loop = asyncio.get_running_loop()

    # Searchers

    def play(
        self, searcher: shards.Searcher, request: shards.Request
    ) -> shards.Play:
        """Answers as the searcher's manner says, and notes the request."""
        server = self.servers[searcher.name]
        manner, ran = server.manner, True
        target = request.headers.get("x-target-instance")
        if target not in (None, searcher.name):
            manner, ran = "misplaced", False
        elif manner == "full":
            ran = False
        self.arrivals.append(
            Arrival(
                *(request.id, server.service, searcher.name),
                *(self.loop.time(), ran),
            )
        )
        proof = f"X-Server-Stamp: {server.service}.{searcher.name}.{request.id}"
        body = record_of(server.service, request.id)
        good = shards.answer(request, "200 OK", body, proof)
        bad = shards.answer(request, "500 Internal Server Error", b"", proof)
        none = shards.answer(
            request, "503 Service Unavailable", b"", "X-Not-Executed: 1"
        )
        wrong = shards.answer(request, "421 Misdirected Request", b"")
        plays = {
            "healthy": shards.Play(((0.004, good),)),
            "slow": shards.Play(((0.25, good),)),
            "failing": shards.Play(((0.002, bad),)),
            "full": shards.Play(((0, none),)),
            "mute": shards.Play((), "hang"),
            "resetting": shards.Play(((0.002, b""),), "reset"),
            "cut": shards.Play(((0.002, good[:-4]),), "reset"),
            "misplaced": shards.Play(((0, wrong),)),
        }
        return plays[manner]

    async def add_searcher(self, service: str) -> Server:
        """Starts a searcher behind a link and lists it."""
        self.births += 1
        name = f"s-{self.births}"
        searcher = await shards.start(name, self.play)
        port = SEARCHERS + self.births
        way = await link.start(
            f"{self.network}.2.1:{port}", ":".join(map(str, searcher.address))
        )
        server = self.servers[name] = Server(searcher, way, service, port)
        self.list_searcher(name, "ready")
        return server

    async def bear_again(self, server: Server) -> None:
        """Ends a searcher and starts another one under its id and address."""
        name = server.searcher.name
        await server.searcher.stop()
        server.searcher = await shards.start(name, self.play)
        server.link.target = ":".join(map(str, server.searcher.address))
        server.born_ms += 1000
        self.list_searcher(name, "ready")

    def list_searcher(self, name: str, state: str) -> None:
        """Writes a searcher's entry."""
        server = self.servers[name]
        domain = f"d{server.port % 2}"
        spec = {
            "service": server.service,
            "address": f"{self.network}.2.1:{server.port}",
            "zone": domain,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "seq": 1,
            "born": server.born_ms,
        }
        self.store.put("servers", name, spec)

    def of(self, service: str) -> list[str]:
        """Returns the ids of a service's searchers."""
        rows = self.servers.items()
        return [name for name, row in rows if row.service == service]

    # Configuration

    def configure(self, shard_names: tuple[str, ...]) -> int:
        """Writes the next configuration; returns its version.

        Besides the fixed routes it has one that only this version has, so
        that an answer tells which version a VM follows.
        """
        version = len(self.versions) + 1
        self.versions[version] = self.loop.time()
        self.lists[version] = shard_names
        single = {"host": HOST, "timeout_ms": 1500, "target_latency_ms": 300}
        rows = [
            single
            | {
                "name": "query",
                "path_prefix": "/query/",
                "type": "idempotent",
                "priority": 1,
                "fanout": list(shard_names),
                "max_attempts": 2,
                "top_k": 50,
                "min_success_share": 0.6,
            },
            *[
                single
                | {
                    "name": name,
                    "path_prefix": f"/{name}/",
                    "type": kind,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 2,
                }
                for name, kind, service in (
                    ("read", "idempotent", "files"),
                    ("save", "non_idempotent", "saves"),
                    (f"v{version}", "idempotent", "files"),
                )
            ],
        ]
        services = {*shard_names, "files", "saves"}
        document = {
            "version": version,
            "routes": rows,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": self.shape.connections,
                }
                for name in sorted(services)
            ],
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 4096,
                "header_timeout_ms": 2000,
                "idle_timeout_ms": 20_000,
            },
        }
        self.store.put("config", "main", document)
        return version

    # Gateways

    async def add_vm(self, number: int) -> Vm:
        """Opens a VM's link to the store and writes its settings."""
        address = f"{self.network}.1.{number + 1}"
        port = STORE_LINK + number
        way = await link.start(
            f"{self.network}.0.1:{port}", f"{self.network}.0.1:{STORE}"
        )
        listed = listed_as(address)
        vm = Vm(
            f"vm-{number}",
            address,
            way,
            await link.start(
                f"{front_of(address)}:{CALLERS}", f"{address}:{CALLERS}"
            ),
            await link.start(f"{listed}:{EXCHANGE}", f"{address}:{EXCHANGE}"),
        )
        self.vms[vm.name] = vm
        seeds = [f"{self.network}.3.{n + 1}:{PEERS}" for n in range(3)]
        settings = {
            "node_name": vm.name,
            "ip": address,
            "zone": f"d{number % 2}",
            "region": "r",
            "listen_addrs": {
                "front": f"{address}:{CALLERS}",
                "readiness_addr": f"{address}:{READINESS}",
                "control": f"{listed}:{PEERS}",
            },
            "port_range": [EXCHANGE, EXCHANGE + 9],
            "seed_nodes": seeds,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1},
            "policy_limits": {
                "retry_budget_ratio": 0.2,
                "retry_slack": self.shape.allowance,
                "retry_window_s": 10,
                "grace_period_s": 6,
            },
            "platform": {"address": f"{self.network}.0.1:{port}"},
        }
        self.settings_of(vm).write_text(json.dumps(settings), "utf-8")
        return vm

    def settings_of(self, vm: Vm) -> pathlib.Path:
        """Returns the path of a VM's settings."""
        return self.folder / f"{vm.name}.json"

    def start_vm(self, vm: Vm) -> None:
        """Starts a VM's process; its log goes to a file."""
        vm.starts += 1
        path = self.folder / f"{vm.name}-{vm.starts}.log"
        env = {**os.environ, "LAURELROCK_CONFIG": str(self.settings_of(vm))}
        with path.open("wb") as log:
            vm.process = subprocess.Popen(  # noqa: S603
                [sys.executable, "-m", "laurelrock", "gateway"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, vm: Vm) -> bool:
        """Tells whether a VM says that callers may come."""
        caller = callers.Caller((vm.address, READINESS))
        try:
            raw = callers.encode("balancer", "/api/readiness")
            answer = await caller.ask(raw, READY_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Waits until all VMs are ready; raises `TimeoutError`."""
        async with asyncio.timeout(START_S):
            for vm in self.vms.values():
                while not await self.is_ready(vm):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all processes and stand-ins of this fleet."""
        for vm in self.vms.values():
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
            for way in (vm.link, vm.front, vm.exchange):
                await way.close()
        for server in self.servers.values():
            await server.searcher.stop()
            await server.link.close()
        if self.runner is not None:
            await self.runner.cleanup()


def front_of(address: str) -> str:
    """Returns where callers find a VM: a link to it."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.4.{last}"


def listed_as(address: str) -> str:
    """Returns the address that a VM lists; its exchange is behind a link."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.3.{last}"


def record_of(service: str, request_id: str) -> bytes:
    """Returns the one record of a part: who answers which request."""
    name = f"{service}/{request_id}".encode()[: gathering.RECORD_BYTES]
    return name.ljust(gathering.RECORD_BYTES, b".")


@contextlib.asynccontextmanager
async def open_fleet(
    shape: Shape, folder: pathlib.Path
) -> collections.abc.AsyncIterator[Fleet]:
    """Starts a fleet that is ready, and ends it."""
    fleet = Fleet(shape, folder)
    try:
        address = f"{fleet.network}.0.1"
        fleet.runner = await objects.start(fleet.store, address, STORE)
        names = tuple(f"shard-{n}" for n in range(shape.shards))
        for service in (*names, "files", "saves"):
            for _ in range(2):
                await fleet.add_searcher(service)
        fleet.configure(names)
        for number in range(shape.vms):
            fleet.start_vm(await fleet.add_vm(number))
        await fleet.wait_ready()
        yield fleet
    finally:
        await fleet.close()
