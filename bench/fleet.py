"""Runs a fleet of gateway processes on loopback with a fake platform.

The fake store, the fake searchers and the network links run in this process.
Each gateway is a separate process, started as on the platform.
"""

import asyncio
import collections.abc
import contextlib
import functools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import typing

from aiohttp import web

from bench import fleet_members
from bench import platform_documents
from bench import searcher_replies
from bench import soak_history
from bench import soak_workspaces
from fakes import callers
from fakes import link
from fakes import objects
from fakes import shards
from laurelrock.core import owners

__all__ = ["ROOT", "Fleet", "Shape", "open_fleet"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Ports of each VM; every VM has its own address.
READINESS_PORT, PEER_PORT, PEER_LINK_PORT = 8081, 8082, 7380
#: Port of the store, and port of the first VM's link to it.
STORE_PORT, STORE_LINK_PORT = 7100, 7101
#: Lower bound of the ports of the searchers' links.
FIRST_SEARCHER_PORT = 20_000
#: Maximum time for the fleet to become ready, in seconds.
START_TIMEOUT_S = 40.0
#: Maximum time for a response to a readiness check, in seconds.
READINESS_TIMEOUT_S = 0.5
#: Time in seconds in which VMs learn that the entry of a searcher changed, as
#: the stated target requires.
ENTRY_NOTICE_S = 3.0
#: Body of the request with an id, where bodies are followed between VMs.
BODY_PATTERN = re.compile(rb"body-of-(r[0-9]+);")


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
        workspaces: Whether callers have keys of workspaces, some of which have
            caps or regions; each failure domain then is a region.
        warm_up_per_s: Requests per second that a searcher takes after its
            start; 0 for no limit.
    """

    lane: int = 0
    vms: int = 4
    shards: int = 6
    connections: int = 26
    retry_slack: int = 58
    code: pathlib.Path = ROOT
    workspaces: bool = False
    warm_up_per_s: float = 0.0

    @property
    def calls_directly(self) -> bool:
        """Whether each gateway calls all searchers itself."""
        return owners.all_vms_can_call(self.connections, self.vms)


#: Time in seconds after which the store notices that a searcher crashed, and
#: after which the searcher is back.
CRASH_NOTICE_S, CRASHED_S = 0.8, 2.0


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
        vm_names: Names of the VMs by address.
        key_changes: Number of times that the keys changed.
        evacuated: Failure domains that operators want to be evacuated.
        ready: Whether the fleet is ready; searchers that start later are cold.
        places: What happened to failure domains and regions so far.
        workspaces: What happened to workspaces so far.
    """

    def __init__(self, shape: Shape, folder: pathlib.Path) -> None:
        self.shape = shape
        self.folder = folder
        self.network = f"127.{60 + shape.lane}"
        self.store = objects.ObjectStore()
        self.vms: dict[str, fleet_members.Vm] = {}
        self.servers: dict[str, fleet_members.Server] = {}
        self.arrivals: list[soak_history.Arrival] = []
        self.versions: dict[int, float] = {}
        self.shard_lists: dict[int, tuple[str, ...]] = {}
        self.searchers_started = 0
        self.crashes: set[asyncio.Task[None]] = set()
        self.cut = link.Faults()
        self.vm_names: dict[str, str] = {}
        self.key_changes = 0
        self.evacuated: set[str] = set()
        self.ready = False
        self.places = soak_history.Places(
            {"d0": "r0", "d1": "r1"}, [], [], shape.warm_up_per_s, [], []
        )
        self.workspaces = soak_history.Workspaces({}, soak_workspaces.CAPS, [])
        self.runner: web.AppRunner | None = None
        self.loop = asyncio.get_running_loop()

    # Searchers

    def respond(
        self, searcher: shards.ScriptedSearcher, request: shards.Request
    ) -> shards.ScriptedResponse:
        """Records a request and responds according to the behaviour set."""
        server = self.servers[searcher.name]
        is_health = request.target == shards.HEALTH_PATH
        notices = server.notices
        if is_health and self.shape.warm_up_per_s:
            notices += (f"X-Warmup-Remaining-Ms: {self.cold_ms(server)}",)
        reply = searcher_replies.create_reply(
            *(server.service, searcher.name, server.behaviour),
            *(request, notices),
        )
        source = server.link.sources.get(request.client, "")
        arrivals = self.places.health if is_health else self.arrivals
        arrivals.append(
            soak_history.Arrival(
                *("" if is_health else request.id, server.service),
                searcher.name,
                *(self.loop.time(), reply.ran),
                server.leaving,
                reply.pause_s,
                server.limit,
                reply.crashes and not server.crashed,
                *(self.vm_names.get(source, ""), server.domain),
                reply.misplaced,
                request.headers.get("api-key"),
                request.headers.get("x-tenant-id"),
            )
        )
        if is_health:
            return reply.response
        if reply.crashes and not server.crashed:
            server.crashed = True
            task = self.loop.create_task(self.crash(server))
            self.crashes.add(task)
            task.add_done_callback(self.crashes.discard)
        return reply.response

    async def crash(self, server: fleet_members.Server) -> None:
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

    async def add_searcher(self, service: str) -> fleet_members.Server:
        """Starts a searcher behind a link and registers it in the store."""
        self.searchers_started += 1
        name = f"s-{self.searchers_started}"
        searcher = await shards.start(name, self.respond)
        port = FIRST_SEARCHER_PORT + self.searchers_started
        searcher_link = await link.start(
            f"{self.network}.2.1:{port}", ":".join(map(str, searcher.address))
        )
        searcher_link.set_faults(self.cut)
        server = self.servers[name] = fleet_members.Server(
            searcher, searcher_link, service, port
        )
        self.cool(name, platform_documents.WARM_UP_S, 0.0)
        self.list_searcher(name, "ready")
        return server

    async def remove_searcher(self, server: fleet_members.Server) -> None:
        """Deletes the entry of a searcher, and stops it."""
        self.store.delete("servers", server.searcher.name)
        await server.searcher.stop()
        await server.link.close()

    async def restart_searcher(self, server: fleet_members.Server) -> None:
        """Stops a searcher and starts one with the same id and address."""
        name = server.searcher.name
        await server.searcher.stop()
        server.searcher = await shards.start(name, self.respond)
        server.link.target = ":".join(map(str, server.searcher.address))
        server.started_ms += 1000
        server.seq, server.leaving, server.limit = 0, False, 0.0
        now_s = self.loop.time()
        colds = self.places.colds
        colds[:] = [
            row._replace(ended_s=min(row.ended_s, now_s))
            if row.searcher == name
            else row
            for row in colds
        ]
        self.cool(name, platform_documents.WARM_UP_S, ENTRY_NOTICE_S)
        # One that drains may crash, and goes on draining.
        self.list_searcher(name, server.state)

    def cool(self, name: str, length_s: float, notice_s: float) -> None:
        """Makes a searcher cold, where searchers have to warm up.

        The caller writes its entry.

        Args:
            name: Id of the searcher.
            length_s: Time in seconds for which it is cold.
            notice_s: Time in seconds in which VMs learn of it.
        """
        if self.ready and self.shape.warm_up_per_s:
            now_s = self.loop.time()
            self.servers[name].cold_until_s = now_s + length_s
            self.places.colds.append(
                soak_history.Cold(
                    name, now_s, now_s + notice_s, now_s + length_s
                )
            )

    def cold_ms(self, server: fleet_members.Server) -> int:
        """Returns the time for which a searcher is cold, in milliseconds."""
        left_s = server.cold_until_s - self.loop.time()
        return max(0, round(left_s * 1000))

    def list_searcher(self, name: str, state: str) -> None:
        """Writes the entry of a searcher to the store."""
        server = self.servers[name]
        server.seq += 1
        server.state = state
        spec = {
            "service": server.service,
            "address": f"{self.network}.2.1:{server.port}",
            "zone": server.domain,
            "version": "v1",
            "capacity": 4,
            "state": state,
            "warmup_left_ms": self.cold_ms(server),
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
        """Writes the next configuration and returns its version."""
        version = len(self.versions) + 1
        self.versions[version] = self.loop.time()
        self.shard_lists[version] = shard_names
        keys: dict[str, str] = {}
        if self.shape.workspaces:
            keys = soak_workspaces.keys_of(self.key_changes)
            self.workspaces.keys[version] = keys
        document = platform_documents.configuration(
            self.shape, version, shard_names, keys
        )
        self.store.put("config", "main", document)
        return version

    # Gateways

    async def add_vm(self, number: int) -> fleet_members.Vm:
        """Creates a VM: opens its links and writes its settings."""
        address = f"{self.network}.1.{number + 1}"
        port = STORE_LINK_PORT + number
        store_link = await link.start(
            f"{self.network}.0.1:{port}", f"{self.network}.0.1:{STORE_PORT}"
        )
        peer_host = peer_address(address)
        vm = fleet_members.Vm(
            f"vm-{number}",
            address,
            store_link,
            await link.start(
                f"{fleet_members.caller_address(address)}:{fleet_members.CALLER_PORT}",
                f"{address}:{fleet_members.CALLER_PORT}",
            ),
            await link.start(
                f"{peer_host}:{PEER_LINK_PORT}", f"{address}:{PEER_LINK_PORT}"
            ),
        )
        self.vms[vm.name] = vm
        self.vm_names[address] = vm.name
        self.places.regions[vm.name] = f"r{number % 2}"
        if self.shape.workspaces:
            vm.exchange.inspect = functools.partial(self.find_bodies, vm.name)
        seeds = [f"{self.network}.3.{n + 1}:{PEER_PORT}" for n in range(3)]
        addresses = {
            "ip": address,
            "listen_addrs": {
                "front": f"{address}:{fleet_members.CALLER_PORT}",
                "readiness_addr": f"{address}:{READINESS_PORT}",
                "control": f"{peer_host}:{PEER_PORT}",
            },
            "port_range": [PEER_LINK_PORT, PEER_LINK_PORT + 9],
            "seed_nodes": seeds,
            "platform": {"address": f"{self.network}.0.1:{port}"},
        }
        settings = platform_documents.settings(self.shape, number, addresses)
        self.settings_path(vm).write_text(json.dumps(settings), "utf-8")
        return vm

    def find_bodies(
        self, vm: str, source: str, leads_to_target: bool, data: bytes
    ) -> None:
        """Records the bodies in bytes that VMs send to each other."""
        receiver = vm if leads_to_target else self.vm_names.get(source, "")
        self.places.bodies.extend(
            (found[1].decode(), receiver)
            for found in BODY_PATTERN.finditer(data)
        )

    def settings_path(self, vm: fleet_members.Vm) -> pathlib.Path:
        """Returns the path of the settings file of a VM."""
        return self.folder / f"{vm.name}.json"

    def start_vm(self, vm: fleet_members.Vm) -> None:
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

    async def is_ready(self, vm: fleet_members.Vm) -> bool:
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
        fleet.ready = True
        yield fleet
    finally:
        await fleet.close()
