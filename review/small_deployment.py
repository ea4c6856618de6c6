"""A small deployment on loopback for the scripts of the second review.

The gateways are started with the command of the deploy file. The store and the
searchers are the project's own fakes, in this process. `Record` writes what a
script saw.
"""

import asyncio
import collections.abc
import json
import os
import pathlib
import random
import subprocess
import tempfile
import time
import tomllib
import traceback
import types
import typing

from aiohttp import web

from fakes import objects

__all__ = [
    "Deployment",
    "HOST",
    "Record",
    "Route",
    "add_searcher",
    "configure",
    "encode_request",
    "is_ready",
    "kill_all",
    "open_deployment",
    "run_case",
    "start_gateway",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "small.example"
#: Ports of each VM; every VM has its own address.
FRONT_PORT, READINESS_PORT, CONTROL_PORT, STORE_PORT = 8080, 8081, 8082, 7100
#: Time in seconds in which all gateways have to be ready.
START_TIMEOUT_S = 20.0
#: Figures of the sites' sheets.
POLICY_LIMITS = {
    "contact_ms": 4000,
    "config_apply_ms": 3000,
    "drain_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "retry_budget_ratio": 0.2,
    "retry_slack": 58,
    "retry_window_s": 10,
    "recovery_s": 12,
}
LIMITS = {
    "max_header_bytes": 8192,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 10_000,
}


class Route(typing.NamedTuple):
    """A route of the desired state."""

    name: str
    kind: str
    services: tuple[str, ...]
    is_query: bool = False
    timeout_ms: int = 5000


class Searcher(typing.Protocol):
    """A stand-in of a searcher."""

    address: typing.Any

    async def stop(self) -> None:
        """Stops listening and ends all connections."""


#: Starts a searcher, given its id and its number among those of its service.
StartSearcher = collections.abc.Callable[
    [str, int], collections.abc.Coroutine[typing.Any, typing.Any, Searcher]
]


class Record:
    """Lines with the time since the start, which are also printed."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.start_s = time.monotonic()
        path.write_text("", "utf-8")

    def write(self, text: str) -> None:
        """Appends a line."""
        line = f"{time.monotonic() - self.start_s:8.3f} s  {text}"
        print(line, flush=True)
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


class Deployment:
    """The processes and stand-ins of a small deployment."""

    def __init__(self, folder: pathlib.Path, count: int) -> None:
        self.folder = folder
        self.count = count
        # Scripts that run at the same time use other addresses.
        self.network = f"127.{random.randrange(100, 250)}"
        self.network += f".{random.randrange(1, 250)}"
        self.store = objects.ObjectStore()
        self.searchers: dict[str, Searcher] = {}
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.runner: web.AppRunner | None = None

    def address(self, number: int) -> str:
        """Returns the address of a VM."""
        return f"{self.network}.{number + 10}"


def write_settings(
    deployment: Deployment, number: int, retry_slack: int = 58
) -> pathlib.Path:
    """Writes the settings file of a VM and returns its path."""
    address = deployment.address(number)
    document = {
        "node_name": f"front-{number}",
        "ip": address,
        "zone": f"z{number % 2}",
        "region": "r",
        "zones": {"z0": "r", "z1": "r"},
        "listen_addrs": {
            "front": f"{address}:{FRONT_PORT}",
            "readiness_addr": f"{address}:{READINESS_PORT}",
            "control": f"{address}:{CONTROL_PORT}",
        },
        "port_range": [7380, 7395],
        "seed_nodes": [f"{deployment.address(0)}:{CONTROL_PORT}"],
        "limits": {
            "cpu_share": 0.537,
            "cpu_cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
        },
        "policy_limits": POLICY_LIMITS | {"retry_slack": retry_slack},
        "platform": {"address": f"{deployment.network}.1:{STORE_PORT}"},
    }
    path = deployment.folder / f"front-{number}.json"
    path.write_text(json.dumps(document), "utf-8")
    return path


def start_gateway(deployment: Deployment, number: int) -> None:
    """Starts the gateway of a VM with the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text("utf-8")
    command = tomllib.loads(text)["roles"]["gateway"]["run"].split(" ")
    environment = {
        "PATH": os.environ["PATH"],
        "HOME": str(deployment.folder),
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "LAURELROCK_CONFIG": str(write_settings(deployment, number)),
    }
    log = deployment.folder / f"front-{number}.log"
    with log.open("ab") as file:
        deployment.processes[number] = subprocess.Popen(  # noqa: S603
            command, cwd=ROOT, env=environment, stdout=file, stderr=file
        )


def configure(
    deployment: Deployment,
    routes: tuple[Route, ...],
    keys: collections.abc.Mapping[str, str],
) -> None:
    """Writes the desired state.

    Args:
        deployment: The deployment.
        routes: The routes, whose services get searchers.
        keys: The keys by the names of tenants; without any, requests need none.
    """
    rows = []
    for route in routes:
        row = {
            "name": route.name,
            "host": HOST,
            "path_prefix": f"/{route.name}/",
            "type": route.kind,
            "priority": 1,
            "timeout_ms": route.timeout_ms,
            "target_latency_ms": 500,
            "max_attempts": 2,
        }
        if route.is_query:
            row |= {"fanout": list(route.services), "top_k": 10}
            row |= {"min_success_share": 0.6}
        else:
            row |= {"service": route.services[0]}
        rows.append(row)
    names = sorted({name for route in routes for name in route.services})
    services = [
        {"name": name, "health_path": "/healthz", "max_connections": 110}
        for name in names
    ]
    document: dict[str, typing.Any] = {
        "version": deployment.store.revision,
        "routes": rows,
    }
    document |= {"services": services, "limits": LIMITS}
    if keys:
        document["tenants"] = [
            {"name": name, "api_keys": [key]} for name, key in keys.items()
        ]
    deployment.store.put("config", "main", document)


async def is_ready(deployment: Deployment, number: int) -> bool:
    """Returns whether a VM reports that it is ready."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(
                deployment.address(number), READINESS_PORT
            )
            writer.write(
                b"GET /api/readiness HTTP/1.1\r\nHost: balancer\r\n\r\n"
            )
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


async def add_searcher(
    deployment: Deployment,
    service: str,
    copy: int,
    start_searcher: StartSearcher,
    slots: int,
) -> None:
    """Starts a searcher and registers it in the store."""
    name = f"i-{service}-{copy}"
    searcher = await start_searcher(name, copy)
    deployment.searchers[name] = searcher
    host, port = searcher.address[:2]
    entry = {
        "service": service,
        "address": f"{host}:{port}",
        "zone": f"z{copy % 2}",
        "version": "v1",
        "capacity": slots,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 1,
    }
    deployment.store.put("servers", name, entry)


async def open_deployment(
    folder: pathlib.Path,
    count: int,
    routes: tuple[Route, ...],
    start_searcher: StartSearcher,
    counts: collections.abc.Mapping[str, int] = types.MappingProxyType({}),
    slots: int = 8,
    keys: collections.abc.Mapping[str, str] = types.MappingProxyType({}),
) -> Deployment:
    """Starts store, searchers and gateways, and waits until all are ready.

    Raises:
        TimeoutError: The gateways aren't ready in time.
    """
    deployment = Deployment(folder, count)
    deployment.runner = await objects.start(
        deployment.store, f"{deployment.network}.1", STORE_PORT
    )
    for service in sorted({n for route in routes for n in route.services}):
        for copy in range(counts.get(service, 2)):
            await add_searcher(deployment, service, copy, start_searcher, slots)
    configure(deployment, routes, keys)
    for number in range(count):
        start_gateway(deployment, number)
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            for number in range(count):
                while not await is_ready(deployment, number):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
    except TimeoutError:
        await kill_all(deployment)
        raise
    return deployment


async def kill_all(deployment: Deployment) -> None:
    """Ends all processes and stand-ins."""
    for process in deployment.processes.values():
        if process.poll() is None:
            process.kill()
        process.wait()
    for searcher in deployment.searchers.values():
        await searcher.stop()
    if deployment.runner is not None:
        await deployment.runner.cleanup()


def encode_request(
    method: str, path: str, request_id: str, deadline_ms: int
) -> bytes:
    """Returns the bytes of a consumer's request without a body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def run_case(
    run: collections.abc.Callable[
        [pathlib.Path, bool],
        collections.abc.Coroutine[typing.Any, typing.Any, int],
    ],
) -> int:
    """Runs a case in a temporary folder; 2 stands for a failure of its own."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(run(pathlib.Path(folder), trouble))
    except Exception:
        # Python's own exit code for it is 1, which says that a rule was broken.
        traceback.print_exc()
        return 2
