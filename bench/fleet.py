"""Runs a fleet of gateway processes on loopback with a fake platform.

The fake store, the fake searchers and the network links run in this process.
Each gateway is a separate process, started as on the platform.
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

from bench import searcher_replies
from bench import soak_history
from fakes import callers
from fakes import link
from fakes import objects
from fakes import shards
from laurelrock.core import owners

__all__ = ["ROOT", "Fleet", "Shape", "Vm", "open_fleet"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "soak.example"
#: Ports of each VM; every VM has its own address.
CALLER_PORT, READINESS_PORT, PEER_PORT, PEER_LINK_PORT = 8080, 8081, 8082, 7380
#: Port of the store, and port of the first VM's link to it.
STORE_PORT, STORE_LINK_PORT = 7100, 7101
#: Lower bound of the ports of the searchers' links.
FIRST_SEARCHER_PORT = 20_000
#: Start time of new searchers, in milliseconds since 1970.
FIRST_START_MS = 1_790_000_000_000
#: Maximum time for the fleet to become ready, in seconds.
START_TIMEOUT_S = 40.0
#: Maximum time for a response to a readiness check, in seconds.
READINESS_TIMEOUT_S = 0.5


class Shape(typing.NamedTuple):
    """Size of a fleet.

    Attributes:
        lane: Number of the loopback network; fleets on different lanes can run
            in parallel.
        vms: Number of gateways; they alternate between two failure domains.
        shards: Number of shards of a query; each has two searchers.
        connections: Maximum number of connections to a searcher.
        retry_slack: Extra calls to a service allowed in ten seconds in
            addition to the share of first calls.
        code: Folder of the code that gateways run when they are started.
    """

    lane: int = 0
    vms: int = 4
    shards: int = 6
    connections: int = 26
    retry_slack: int = 58
    code: pathlib.Path = ROOT

    @property
    def calls_directly(self) -> bool:
        """Whether each gateway calls all searchers itself."""
        return owners.all_vms_can_call(self.connections, self.vms)


#: Time in seconds after which the store notices that a searcher crashed, and
#: after which the searcher is back.
CRASH_NOTICE_S, CRASHED_S = 0.8, 2.0


class Vm:
    """One VM and its gateway process.

    Attributes:
        name: Name of the VM.
        address: IPv4 address.
        store_link: Link from the VM to the store.
        front: Link from callers to the VM.
        exchange: Link from other VMs to the VM.
        process: Last process that was started; None before the first start.
        start_count: Number of processes started so far.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store_link: link.Link,
        front: link.Link,
        exchange: link.Link,
    ) -> None:
        self.name = name
        self.address = address
        self.store_link = store_link
        self.front = front
        self.exchange = exchange
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0

    @property
    def callers(self) -> tuple[str, int]:
        """Host and port that callers connect to."""
        return caller_address(self.address), CALLER_PORT

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Returns whether the process is running."""
        return self.process is not None and self.process.poll() is None


class Server:
    """A searcher and the link through which gateways reach it."""

    def __init__(
        self,
        searcher: shards.ScriptedSearcher,
        searcher_link: link.Link,
        service: str,
        port: int,
    ) -> None:
        self.searcher = searcher
        self.link = searcher_link
        self.service = service
        self.port = port
        self.started_ms = FIRST_START_MS
        #: Number of the last write of its entry.
        self.seq = 0
        #: How it responds to requests; see `searcher_replies.create_reply`.
        self.behaviour = "healthy"
        #: Whether all of its responses say that it leaves.
        self.leaving = False
        #: Requests per second that all of its responses name as its limit; 0
        #: for none.
        self.limit = 0.0
        #: Whether it crashed and is not back yet.
        self.crashed = False

    @property
    def notices(self) -> tuple[str, ...]:
        """The headers of all of its responses."""
        leaving = ("Server-Leaving: 1",) if self.leaving else ()
        limit = (f"Server-Limit: {self.limit}",) if self.limit else ()
        return (*leaving, *limit)


class Fleet:
    """State of a running fleet.

    Attributes:
        shape: Size of the fleet.
        folder: Folder of the settings and logs.
        network: First two numbers of all addresses.
        store: Fake of the platform's store.
        vms: VMs by name.
        servers: Searchers by id.
        arrivals: Requests that arrived at the searchers.
        versions: Loop time at which each configuration version was written.
        shard_lists: Services of the query's shards by configuration version.
        searchers_started: Number of searchers added so far.
        crashes: Searchers that crashed and are not back yet.
        cut: Faults of all searchers' links that have no other fault.
    """

    def __init__(self, shape: Shape, folder: pathlib.Path) -> None:
        self.shape = shape
        self.folder = folder
        self.network = f"127.{60 + shape.lane}"
        self.store = objects.ObjectStore()
        self.vms: dict[str, Vm] = {}
        self.servers: dict[str, Server] = {}
        self.arrivals: list[soak_history.Arrival] = []
        self.versions: dict[int, float] = {}
        self.shard_lists: dict[int, tuple[str, ...]] = {}
        self.searchers_started = 0
        self.crashes: set[asyncio.Task[None]] = set()
        self.cut = link.Faults()
        self.runner: web.AppRunner | None = None
        self.loop = asyncio.get_running_loop()

    # Searchers

    def respond(
        self, searcher: shards.ScriptedSearcher, request: shards.Request
    ) -> shards.ScriptedResponse:
        """Records a request and responds according to the behaviour set."""
        server = self.servers[searcher.name]
        reply = searcher_replies.create_reply(
            server.service,
            searcher.name,
            server.behaviour,
            request,
            server.notices,
        )
        if request.target == shards.HEALTH_PATH:
            return reply.response
        self.arrivals.append(
            soak_history.Arrival(
                *(request.id, server.service, searcher.name),
                *(self.loop.time(), reply.ran),
                server.leaving,
                reply.pause_s,
                server.limit,
                reply.crashes and not server.crashed,
            )
        )
        if reply.crashes and not server.crashed:
            server.crashed = True
            task = self.loop.create_task(self.crash(server))
            self.crashes.add(task)
            task.add_done_callback(self.crashes.discard)
        return reply.response

    async def crash(self, server: "Server") -> None:
        """Ends a searcher without notice, and starts it again."""
        name = server.searcher.name
        await asyncio.sleep(searcher_replies.CRASH_DELAY_S)
        await server.searcher.stop()
        await server.link.close()
        await asyncio.sleep(CRASH_NOTICE_S)
        self.store.delete("servers", name)
        await asyncio.sleep(CRASHED_S - CRASH_NOTICE_S)
        server.link = await link.start(
            f"{self.network}.2.1:{server.port}", server.link.target
        )
        server.link.set_faults(self.cut)
        server.crashed = False
        await self.restart_searcher(server)

    async def add_searcher(self, service: str) -> Server:
        """Starts a searcher behind a link and registers it in the store."""
        self.searchers_started += 1
        name = f"s-{self.searchers_started}"
        searcher = await shards.start(name, self.respond)
        port = FIRST_SEARCHER_PORT + self.searchers_started
        searcher_link = await link.start(
            f"{self.network}.2.1:{port}", ":".join(map(str, searcher.address))
        )
        searcher_link.set_faults(self.cut)
        server = self.servers[name] = Server(
            searcher, searcher_link, service, port
        )
        self.list_searcher(name, "ready")
        return server

    async def restart_searcher(self, server: Server) -> None:
        """Stops a searcher and starts one with the same id and address."""
        name = server.searcher.name
        await server.searcher.stop()
        server.searcher = await shards.start(name, self.respond)
        server.link.target = ":".join(map(str, server.searcher.address))
        server.started_ms += 1000
        server.seq, server.leaving, server.limit = 0, False, 0.0
        self.list_searcher(name, "ready")

    def list_searcher(self, name: str, state: str) -> None:
        """Writes the entry of a searcher to the store."""
        server = self.servers[name]
        server.seq += 1
        domain = f"d{server.port % 2}"
        spec = {
            "service": server.service,
            "address": f"{self.network}.2.1:{server.port}",
            "zone": domain,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": 0,
            "seq": server.seq,
            "born": server.started_ms,
        }
        self.store.put("servers", name, spec)

    def searchers_of(self, service: str) -> list[str]:
        """Returns the ids of the searchers of a service."""
        servers = self.servers.items()
        return [name for name, server in servers if server.service == service]

    # Configuration

    def configure(self, shard_names: tuple[str, ...]) -> int:
        """Writes the next configuration and returns its version.

        In addition to the fixed routes, each version has a route of its own,
        so that a response shows which version a VM uses.
        """
        version = len(self.versions) + 1
        self.versions[version] = self.loop.time()
        self.shard_lists[version] = shard_names
        single = {"host": HOST, "timeout_ms": 1500, "target_latency_ms": 300}
        routes = [
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
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": shards.HEALTH_PATH,
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
        """Creates a VM: opens its links and writes its settings."""
        address = f"{self.network}.1.{number + 1}"
        port = STORE_LINK_PORT + number
        store_link = await link.start(
            f"{self.network}.0.1:{port}", f"{self.network}.0.1:{STORE_PORT}"
        )
        peer_host = peer_address(address)
        vm = Vm(
            f"vm-{number}",
            address,
            store_link,
            await link.start(
                f"{caller_address(address)}:{CALLER_PORT}",
                f"{address}:{CALLER_PORT}",
            ),
            await link.start(
                f"{peer_host}:{PEER_LINK_PORT}", f"{address}:{PEER_LINK_PORT}"
            ),
        )
        self.vms[vm.name] = vm
        seeds = [f"{self.network}.3.{n + 1}:{PEER_PORT}" for n in range(3)]
        settings = {
            "node_name": vm.name,
            "ip": address,
            "zone": f"d{number % 2}",
            "region": "r",
            "listen_addrs": {
                "front": f"{address}:{CALLER_PORT}",
                "readiness_addr": f"{address}:{READINESS_PORT}",
                "control": f"{peer_host}:{PEER_PORT}",
            },
            "port_range": [PEER_LINK_PORT, PEER_LINK_PORT + 9],
            "seed_nodes": seeds,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1},
            "policy_limits": {
                "retry_budget_ratio": 0.2,
                "retry_slack": self.shape.retry_slack,
                "retry_window_s": 10,
                "grace_period_s": 6,
            },
            "platform": {"address": f"{self.network}.0.1:{port}"},
        }
        self.settings_path(vm).write_text(json.dumps(settings), "utf-8")
        return vm

    def settings_path(self, vm: Vm) -> pathlib.Path:
        """Returns the path of the settings file of a VM."""
        return self.folder / f"{vm.name}.json"

    def start_vm(self, vm: Vm) -> None:
        """Starts the process of a VM with a new log file."""
        vm.start_count += 1
        path = self.folder / f"{vm.name}-{vm.start_count}.log"
        env = {**os.environ, "LAURELROCK_CONFIG": str(self.settings_path(vm))}
        with path.open("wb") as log:
            vm.process = subprocess.Popen(  # noqa: S603
                [
                    *(sys.executable, "-m", "bench.bound_gateway"),
                    *(vm.address, "gateway"),
                ],
                cwd=self.shape.code,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, vm: Vm) -> bool:
        """Returns whether a VM reports that it is ready for callers."""
        caller = callers.Caller((vm.address, READINESS_PORT))
        try:
            raw = callers.encode_request("balancer", "/api/readiness")
            answer = await caller.ask(raw, READINESS_TIMEOUT_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            caller.close()
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Waits until all VMs are ready.

        Raises:
            TimeoutError: If they are not ready after `START_TIMEOUT_S`.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms.values():
                while not await self.is_ready(vm):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Stops all processes and fakes of this fleet."""
        for vm in self.vms.values():
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
            for vm_link in (vm.store_link, vm.front, vm.exchange):
                await vm_link.close()
        for task in self.crashes:
            task.cancel()
        for server in self.servers.values():
            await server.searcher.stop()
            await server.link.close()
        if self.runner is not None:
            await self.runner.cleanup()


def caller_address(address: str) -> str:
    """Returns the address of the link through which callers reach a VM."""
    first, second, _, last = address.split(".")
    return f"{first}.{second}.4.{last}"


def peer_address(address: str) -> str:
    """Returns the address that a VM advertises to other VMs.

    Its port for peer links belongs to a network link in front of the VM.
    """
    first, second, _, last = address.split(".")
    return f"{first}.{second}.3.{last}"


@contextlib.asynccontextmanager
async def open_fleet(
    shape: Shape, folder: pathlib.Path
) -> collections.abc.AsyncIterator[Fleet]:
    """Starts a fleet, waits until it is ready, and stops it at the end."""
    fleet = Fleet(shape, folder)
    try:
        address = f"{fleet.network}.0.1"
        fleet.runner = await objects.start(fleet.store, address, STORE_PORT)
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
