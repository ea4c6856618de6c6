"""Starts a gateway as a process, with a fake store and a fake searcher."""

import asyncio
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import typing
import unittest

from fakes import callers
from fakes import objects
from fakes import shards
from tests import builders
from tests import gateway_builders as build

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLERS_PORT, READINESS_PORT, PEERS_PORT = 8104, 8108, 8106
METRICS_PORT, PEER_LINKS_PORT, STORE_PORT = 9464, 7380, 8102
#: Descriptors of a process that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Longest wait for the process, in seconds.
TIMEOUT_S = 60.0
#: Interval between two measurements of the process's memory, in seconds.
SAMPLE_INTERVAL_S = 0.02


class Limits(typing.NamedTuple):
    """What the settings allow the process.

    Attributes:
        memory_mb: Memory in MB, with what was received and not yet read.
        max_fds: Number of descriptors.
    """

    memory_mb: int = 100
    max_fds: int = 2000


class GatewayProcessCase(unittest.IsolatedAsyncioTestCase):
    """Test case that starts the process of a gateway.

    Attributes:
        host: IP address of the gateway.
        limits: What the settings allow the process.
        process: The process.
        peak_bytes: Largest memory of the process that was measured, with what
            it had received and not yet read.
        peak_sockets: Largest number of its sockets that was counted.
    """

    async def start(self, limits: Limits, **request_limits: typing.Any) -> None:
        """Starts the gateway and waits until it is ready.

        Args:
            limits: What the settings allow the process.
            **request_limits: Limits of requests in the configuration.
        """
        asyncio.get_running_loop().set_debug(False)
        self.limits = limits
        self.host = builders.vm_address(1)
        self.peak_bytes = self.peak_sockets = 0
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        await self.start_platform(request_limits)
        self.start_process()
        self.addCleanup(self.end_process)
        async with asyncio.timeout(TIMEOUT_S):
            while await self.readiness() != 200:
                self.assert_alive()
                await asyncio.sleep(0.1)
        measuring = asyncio.create_task(self.measure())
        self.addCleanup(measuring.cancel)

    async def start_platform(self, request_limits):
        store = objects.ObjectStore()
        runner = await objects.start(store, builders.vm_address(0), STORE_PORT)
        self.addAsyncCleanup(runner.cleanup)
        searcher = await shards.start()
        self.addAsyncCleanup(searcher.stop)
        host, port = searcher.address
        row = build.store_searcher(address=f"{host}:{port}", capacity=50)
        store.put("servers", searcher.name, row)
        document = build.store_configuration(build.store_single())
        document["limits"] |= request_limits
        store.put("config", "main", document)

    def start_process(self):
        path = pathlib.Path(self.folder.name) / "settings.json"
        path.write_text(
            json.dumps(create_settings(self.host, self.limits)), "utf-8"
        )
        self.log_path = path.with_name("log")
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "laurelrock", "gateway"],
                cwd=ROOT,
                env={**os.environ, "LAURELROCK_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )
        fds = (self.limits.max_fds, self.limits.max_fds)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, fds)

    def end_process(self):
        self.process.kill()
        self.process.wait()

    def assert_alive(self):
        log = self.log_path.read_text("utf-8", "replace")[-2000:]
        self.assertIsNone(self.process.poll(), f"the process ended: {log}")

    async def readiness(self) -> int:
        """Returns the status of the readiness check; 0 without an answer."""
        return await self.ask_once(
            READINESS_PORT,
            callers.encode_request(build.HOST, "/api/readiness"),
        )

    async def ask_once(self, port: int, raw: bytes) -> int:
        """Sends one request on a new connection; returns the status, or 0."""
        caller = callers.Caller((self.host, port))
        try:
            return (await caller.ask(raw, 5.0)).status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            caller.close()

    async def assert_served(self):
        """Checks that an ordinary caller, who may retry, gets an answer."""
        async with asyncio.timeout(TIMEOUT_S):
            number = 0
            while True:
                raw = callers.encode_request(
                    build.HOST, "/single/x", f"ordinary-{number}"
                )
                if await self.ask_once(CALLERS_PORT, raw) == 200:
                    return
                number += 1
                self.assert_alive()
                await asyncio.sleep(0.1)

    async def assert_ready(self):
        """Checks that the balancer gets an answer that says ready."""
        async with asyncio.timeout(TIMEOUT_S):
            while await self.readiness() != 200:
                self.assert_alive()
                await asyncio.sleep(0.1)

    async def measure(self):
        """Measures memory and descriptors until the test ends."""
        while self.process.poll() is None:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        try:
            sockets = count_sockets(folder)
            resident = read_status(folder, "VmRSS")
            peak = read_status(folder, "VmHWM")
        except (OSError, KeyError):
            return
        self.peak_sockets = max(self.peak_sockets, sockets)
        unread = count_unread(self.host)
        self.peak_bytes = max(self.peak_bytes, peak, resident + unread)

    def assert_within_limits(self):
        """Checks the bounds that the settings give the process."""
        self.sample()
        self.assertLess(self.peak_bytes, self.limits.memory_mb * 1_000_000)
        self.assertLess(
            self.peak_sockets, self.limits.max_fds - FILE_DESCRIPTORS
        )


def create_settings(host: str, limits: Limits) -> dict[str, typing.Any]:
    """Returns the settings of the gateway as the platform writes them."""
    return {
        "node_name": "vm-1",
        "ip": host,
        "zone": "a",
        "region": "r",
        "listen_addrs": {
            "front": f"{host}:{CALLERS_PORT}",
            "readiness_addr": f"{host}:{READINESS_PORT}",
            "control": f"{host}:{PEERS_PORT}",
        },
        "port_range": [PEER_LINKS_PORT, PEER_LINKS_PORT + 15],
        "seed_nodes": [],
        "limits": {"cpu_share": 1.0, "cpu_cores": 1, **limits._asdict()},
        "policy_limits": {"grace_period_s": 6},
        "platform": {"address": f"{builders.vm_address(0)}:{STORE_PORT}"},
    }


def read_status(folder: pathlib.Path, name: str) -> int:
    """Returns a size in bytes from a process's status.

    Raises:
        KeyError: The process has ended.
    """
    rows = (folder / "status").read_text("utf-8").splitlines()
    sizes = dict(row.split(":", 1) for row in rows)
    return int(sizes[name].split()[0]) * 1024


def count_sockets(folder: pathlib.Path) -> int:
    """Returns the number of a process's sockets and pipes."""
    count = 0
    for path in (folder / "fd").iterdir():
        try:
            count += os.readlink(path).startswith(("socket:", "pipe:"))
        except OSError:
            continue
    return count


def count_unread(host: str) -> int:
    """Returns how many bytes wait to be read at an IPv4 address."""
    prefix = "".join(f"{int(part):02X}" for part in reversed(host.split(".")))
    total = 0
    with open("/proc/net/tcp") as file:
        for line in file:
            fields = line.split()
            is_listener = fields[3] == "0A"
            if fields[1].startswith(prefix) and not is_listener:
                total += int(fields[4].partition(":")[2], 16)
    return total
