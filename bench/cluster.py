"""Starts and stops the processes of one deployment on loopback.

These are the fake platform, the fake searchers and the daemons of every VM.
"""

import asyncio
import collections.abc
import contextlib
import fcntl
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp

from examples import generate
from laurelrock import manifest

__all__ = [
    "TECHOS",
    "VANDERPLAS",
    "Cluster",
    "Deployment",
    "create_lane",
    "open_cluster",
]

#: Maximum time for processes to become ready, and to end, in seconds.
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
#: Interval between attempts to acquire the lock of a deployment, in seconds.
LOCK_POLL_S = 0.2

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"

#: Template of a daemon's settings file.
SETTINGS = """\
[vm]
name = {vm}
address = {address}
failure_domain = {failure_domain}
region = {region}

[platform]
url = {platform}

[peers]
vms_poll_ms = 1000

[entry]
shutdown_notice_ms = {notice_ms}

[relay]
shutdown_notice_ms = {notice_ms}

[log]
level = {log_level}
"""


class Deployment(typing.NamedTuple):
    """Files and addresses of a deployment.

    Attributes:
        manifest: Path of the manifest's JSON file.
        vms: Path of the JSON file with the platform's list of VMs.
        region: Region of all VMs.
        platform: `IP:port` of the fake platform.
        control: First port of the searchers' control endpoints.
        vms_per_domain: Number of VMs to start in each failure domain.
    """

    manifest: pathlib.Path
    vms: pathlib.Path
    region: str
    platform: str
    control: int
    vms_per_domain: int = 3


TECHOS = Deployment(
    EXAMPLES / "techos.json",
    EXAMPLES / "vms-techos.json",
    "gt-central",
    "127.0.0.1:7100",
    7201,
)
VANDERPLAS = Deployment(
    EXAMPLES / "vanderplas.json",
    EXAMPLES / "vms-vanderplas.json",
    "vlaanderen",
    "127.0.0.1:7101",
    7211,
)


def create_lane(folder: pathlib.Path, index: int) -> Deployment:
    """Returns a copy of Techos del Sol that uses its own addresses.

    Args:
        folder: Folder to write the manifest and the list of VMs to.
        index: Number of the lane, 0 to 9; lanes with different numbers can run
            in parallel.
    """
    source = generate.TECHOS._replace(
        searcher_network=f"127.{30 + index}.2",
        vm_network=f"127.{30 + index}.1",
    )
    path = folder / f"lane-{index}.json"
    path.write_bytes(manifest.encode(generate.build(source)))
    vms = folder / f"lane-{index}-vms.json"
    rows = {"vms": generate.vms(source)}
    vms.write_text(json.dumps(rows), encoding="utf-8")
    return Deployment(
        path,
        vms,
        source.region,
        f"127.{30 + index}.0.1:7100",
        7300 + 10 * index,
        2,
    )


class Cluster:
    """Processes of a running deployment.

    Attributes:
        deployment: Files and addresses of the deployment.
        folder: Folder of the settings and logs.
        processes: Processes by name, such as `relay-e1` or `searcher-gt-a`.
        vms: Entries of the platform's list for the VMs that are started.
        domains: Names of the failure domains.
        log_level: Log level of the daemons.
        extra_settings: Sections appended to the settings of the daemons.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: pathlib.Path,
        log_level: str,
        extra_settings: str,
    ) -> None:
        self.deployment = deployment
        self.folder = folder
        self.log_level = log_level
        self.extra_settings = extra_settings
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        rows = json.loads(deployment.vms.read_text(encoding="utf-8"))["vms"]
        self.domains = sorted({row["failure_domain"] for row in rows})
        self.vms: list[dict[str, str]] = [
            row
            for domain in self.domains
            for row in [r for r in rows if r["failure_domain"] == domain][
                : deployment.vms_per_domain
            ]
        ]

    @property
    def platform_url(self) -> str:
        return f"http://{self.deployment.platform}"

    @property
    def entry_urls(self) -> list[str]:
        return [f"http://{row['address']}:8080" for row in self.vms]

    def control_url(self, domain: str) -> str:
        """Returns the URL that controls the searchers of a failure domain."""
        port = self.deployment.control + self.domains.index(domain)
        return f"http://127.0.0.1:{port}"

    def start(self, name: str, *arguments: str) -> None:
        """Starts a Python module as a process with a log file."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def start_daemon(self, role: str, vm: str) -> None:
        """Writes the settings of a VM's daemon and starts it."""
        path = self.folder / f"{vm}.ini"
        row = next(row for row in self.vms if row["vm"] == vm)
        path.write_text(
            SETTINGS.format(
                vm=vm,
                address=row["address"],
                failure_domain=row["failure_domain"],
                region=self.deployment.region,
                platform=self.platform_url,
                notice_ms=500,
                log_level=self.log_level,
            )
            + self.extra_settings,
            encoding="utf-8",
        )
        arguments = ["laurelrock", role, "--settings", str(path)]
        self.start(f"{role}-{vm}", *arguments)

    def start_fakes(self) -> None:
        """Starts the fake platform and the fake searchers of each domain."""
        deployment = self.deployment
        self.start(
            "platform", "fakes.platform", "--listen", deployment.platform
        )
        for index, domain in enumerate(self.domains):
            self.start(
                f"searcher-{domain}",
                "fakes.searcher",
                "--manifest",
                str(deployment.manifest),
                "--domain",
                domain,
                "--seed",
                str(index + 1),
                "--control",
                f"127.0.0.1:{deployment.control + index}",
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this cluster started."""
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """Ends every process that was started, daemons before fakes."""
        daemons = ("entry-", "relay-")
        self.end(lambda name: name.startswith(daemons))
        self.end(lambda name: True)

    def end(self, is_selected: collections.abc.Callable[[str], bool]) -> None:
        """Terminates the selected processes and waits for them.

        Processes that still run after `STOP_TIMEOUT_S` are killed.
        """
        running = [
            process
            for name, process in self.processes.items()
            if is_selected(name) and process.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        limit = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def wait_for(
    probe: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    condition: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Waits until a probe returns true.

    Raises:
        TimeoutError: If it does not in time; the message has the condition.
    """
    limit = time.monotonic() + timeout_s
    while not await probe():
        if time.monotonic() > limit:
            raise TimeoutError(f"{condition}: timeout after {timeout_s} s")
        await asyncio.sleep(0.05)


async def is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    """Returns whether a GET request returns status 200 within a second."""
    try:
        timeout = aiohttp.ClientTimeout(total=1)
        async with session.get(url, timeout=timeout) as response:
            return response.status == 200
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False


async def post(
    session: aiohttp.ClientSession, url: str, body: typing.Any
) -> None:
    """Posts a control message; raises `aiohttp.ClientError` on failure."""
    async with session.post(url, json=body) as response:
        response.raise_for_status()


@contextlib.asynccontextmanager
async def open_cluster(
    deployment: Deployment, log_level: str = "warning", extra_settings: str = ""
) -> collections.abc.AsyncIterator[Cluster]:
    """Starts a deployment with its manifest in force and stops it at the end.

    SIGTERM ends the program like SIGINT, so that no process is left running.
    The addresses are fixed, so a second deployment at the same addresses waits
    until the first one has ended.
    """
    with tempfile.TemporaryDirectory(prefix="laurelrock-") as folder:
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        lock = await acquire_lock(deployment)
        cluster = Cluster(
            deployment, pathlib.Path(folder), log_level, extra_settings
        )
        try:
            await start_all(cluster)
            yield cluster
        finally:
            await asyncio.to_thread(cluster.close)
            lock.close()


async def acquire_lock(deployment: Deployment) -> typing.IO[bytes]:
    """Waits for the lock on the addresses of a deployment and returns it."""
    name = f"laurelrock-{deployment.platform.replace(':', '-')}.lock"
    path = pathlib.Path(tempfile.gettempdir()) / name
    lock = open(path, "wb")  # noqa: ASYNC230, SIM115
    while True:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            await asyncio.sleep(LOCK_POLL_S)
        else:
            return lock


async def start_all(cluster: Cluster) -> None:
    """Starts all processes and waits until every daemon is ready."""
    cluster.start_fakes()
    async with aiohttp.ClientSession() as session:
        url = cluster.platform_url

        async def platform_up() -> bool:
            return await is_ok(session, f"{url}/v1/vms")

        await wait_for(platform_up, "waiting for the platform")
        await post(session, f"{url}/control", {"vms": cluster.vms})
        for row in cluster.vms:
            cluster.start_daemon("relay", row["vm"])
            cluster.start_daemon("entry", row["vm"])
        await publish(cluster, cluster.deployment.manifest)

        async def all_ready() -> bool:
            check_running(cluster)
            probes = [
                is_ok(session, f"http://{row['address']}:{port}/readyz")
                for row in cluster.vms
                for port in (9401, 9402)
            ]
            return all(await asyncio.gather(*probes))

        await wait_for(all_ready, "waiting for the daemons to be ready")


def check_running(cluster: Cluster) -> None:
    """Raises OSError if a process has ended by itself."""
    for name, process in cluster.processes.items():
        if process.poll() is not None:
            log = cluster.folder / f"{name}.log"
            text = log.read_text(encoding="utf-8", errors="replace")
            raise OSError(f"{name} ended unexpectedly: {text[-500:]}")


async def publish(cluster: Cluster, path: pathlib.Path, *options: str) -> None:
    """Publishes a manifest with the `publish` command."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "laurelrock",
        "publish",
        str(path),
        "--platform",
        cluster.platform_url,
        *options,
        cwd=ROOT,
    )
    if await process.wait():
        raise OSError(f"could not publish {path}")
