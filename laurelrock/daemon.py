"""Daemon: what both roles share.

Opens the logs, metrics, platform client, bus and admin port of one process
and ends them in order on SIGTERM.
"""

import asyncio
import collections.abc
import contextlib
import secrets
import signal
import typing

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn

from laurelrock import errors
from laurelrock import manifest
from laurelrock import settings
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.adapters import platform
from laurelrock.core import members
from laurelrock.ports import platform as platform_port

__all__ = ["Daemon", "open_daemon"]

#: Between reads of the manifest's head while the platform does not answer.
RETRY_S = 0.5
#: Longest wait of one watch of the manifest's head.
WATCH_S = 20.0

_log = logs.get_logger(__name__)


class Head(typing.TypedDict):
    """Body of the object `manifest/head`."""

    generation: int
    digest: str
    publish_id: str
    full: str


class Daemon:
    """State of one process.

    Attributes:
        settings: Checked settings.
        role: "entry" or "relay".
        start_id: Random id of this start of the process.
        platform: Object API.
        bus: Messages between daemons.
        metrics: Of this process.
        manifest: In force, or None before the first one.
        generation: Of the manifest in force.
        vms: Last list of VMs.
        ready: Whether the balancer may send callers here.
        stopping: Set by SIGTERM.
        tasks: Background work, cancelled at the end.
    """

    def __init__(
        self,
        options: settings.Settings,
        role: members.Role,
        store: platform.HttpPlatform,
        channel: bus.ZmqBus,
        meters: metrics.Metrics,
    ) -> None:
        self.settings = options
        self.role = role
        self.start_id = secrets.token_hex(8)
        self.platform = store
        self.bus = channel
        self.metrics = meters
        self.manifest: manifest.Manifest | None = None
        self.generation = 0
        self.vms: list[platform_port.Vm] = []
        self.ready = False
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> asyncio.Task[typing.Any]:
        """Runs work in the background until it ends or the daemon does."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def relays(self, region: str) -> list[members.Member]:
        """Returns the live relays of a region."""
        port = self.settings.relay.bus_port
        domains = self.domains_of(region)
        return [
            members.Member(
                vm=row.vm,
                role="relay",
                address=f"{row.address}:{port}",
                failure_domain=row.failure_domain,
                region=region,
                start_id="",
            )
            for row in self.vms
            if row.state == "live" and row.failure_domain in domains
        ]

    def domains_of(self, region: str) -> list[str]:
        """Returns the failure domains of a region."""
        if self.manifest is None:
            return []
        return self.manifest.regions.get(region, [])


async def open_daemon(options: settings.Settings, role: members.Role) -> Daemon:
    """Opens everything that both roles need."""
    vm = options.vm
    logs.configure(
        options.log.level,
        vm=vm.name,
        role=role,
        failure_domain=vm.failure_domain,
    )
    port = options.entry.bus_port if role == "entry" else options.relay.bus_port
    store = platform.open_platform(
        options.platform.url, options.platform.timeout_ms / 1000, vm.address
    )
    channel = bus.open_bus(f"{vm.address}:{port}")
    daemon = Daemon(
        options, role, store, channel, metrics.create_metrics(vm.name, role)
    )
    daemon.spawn(follow_manifest(daemon))
    daemon.spawn(follow_vms(daemon))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stopping.set)
    _register_metrics(daemon)
    return daemon


async def close_daemon(daemon: Daemon) -> None:
    """Ends the background work and closes everything."""
    for task in list(daemon.tasks):
        task.cancel()
    await asyncio.gather(*daemon.tasks, return_exceptions=True)
    await daemon.platform.close()
    daemon.bus.close()


async def follow_vms(daemon: Daemon) -> None:
    """Keeps the list of VMs; the last one stays while the platform is out."""
    while True:
        try:
            daemon.vms = await daemon.platform.vms()
        except errors.PlatformError as error:
            _log.warning("vms-unavailable", reason=error.message)
        await asyncio.sleep(daemon.settings.peers.vms_poll_ms / 1000)


async def follow_manifest(daemon: Daemon) -> None:
    """Keeps the newest manifest in force; never an older one."""
    seen = 0
    while True:
        try:
            head = await daemon.platform.watch("manifest/head", seen, WATCH_S)
            if head is None:
                await asyncio.sleep(RETRY_S if seen == 0 else 0)
                continue
            await adopt(daemon, head.body)
            seen = head.version
        except errors.LaurelrockError as error:
            _log.warning(
                "manifest-unavailable", code=error.code, reason=error.message
            )
            await asyncio.sleep(RETRY_S)


async def adopt(daemon: Daemon, raw: bytes) -> None:
    """Puts the manifest that a head names in force, if it is newer."""
    try:
        head = msgspec.json.decode(raw, type=Head)
    except msgspec.MsgspecError as error:
        raise errors.ManifestError(f"manifest/head: {error}") from None
    if head["generation"] <= daemon.generation:
        return
    stored = await daemon.platform.get(head["full"])
    if stored is None:
        raise errors.ManifestError(f"{head['full']} does not exist")
    if manifest.digest_of(stored.body) != head["digest"]:
        raise errors.ManifestError(f"{head['full']} has another digest")
    daemon.manifest = manifest.decode(stored.body)
    daemon.generation = head["generation"]
    _log.info(
        "manifest-in-force",
        generation=daemon.generation,
        publish_id=head["publish_id"],
    )


class Server(uvicorn.Server):
    """HTTP server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        yield


def create_server(app: typing.Any, address: str, port: int) -> Server:
    """Returns an HTTP server for an application; run it with `serve`."""
    config = uvicorn.Config(
        app,
        host=address,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="httptools",
        timeout_keep_alive=75,
        backlog=4096,
    )
    return Server(config)


def create_admin(daemon: Daemon) -> Server:
    """Returns the server of the admin port."""

    async def healthz(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def readyz(request: requests.Request) -> responses.Response:
        status = 200 if daemon.ready else 503
        text = "ready\n" if daemon.ready else "not ready\n"
        return responses.PlainTextResponse(text, status)

    async def export(request: requests.Request) -> responses.Response:
        return responses.Response(
            daemon.metrics.export(), media_type="text/plain; version=0.0.4"
        )

    async def status(request: requests.Request) -> responses.Response:
        return responses.JSONResponse(status_of(daemon))

    app = applications.Starlette(
        routes=[
            routing.Route("/healthz", healthz),
            routing.Route("/readyz", readyz),
            routing.Route("/metrics", export),
            routing.Route("/status", status),
        ]
    )
    options = daemon.settings
    role = options.entry if daemon.role == "entry" else options.relay
    return create_server(app, options.vm.address, role.admin_port)


class Status(typing.TypedDict):
    """Answer to `GET /status` on the admin port."""

    vm: str
    role: str
    failure_domain: str
    start_id: str
    generation: int
    ready: bool


def status_of(daemon: Daemon) -> Status:
    """Returns what a daemon says of itself."""
    return {
        "vm": daemon.settings.vm.name,
        "role": daemon.role,
        "failure_domain": daemon.settings.vm.failure_domain,
        "start_id": daemon.start_id,
        "generation": daemon.generation,
        "ready": daemon.ready,
    }


async def serve(server: Server, name: str) -> None:
    """Runs a server; a port that is taken is a typed failure."""
    try:
        await server.serve()
    except SystemExit:
        port = server.config.port
        raise errors.ListenError(f"cannot open {name} port {port}") from None


def _register_metrics(daemon: Daemon) -> None:
    meters = daemon.metrics
    meters.gauge(
        "laurelrock_manifest_generation",
        lambda: daemon.generation,
        "Generation of the manifest in force",
    )
    meters.gauge(
        "laurelrock_ready", lambda: daemon.ready, "1 while callers may be sent"
    )
    meters.counter(
        "laurelrock_platform_calls",
        lambda: daemon.platform.calls,
        "Requests to the platform",
    )
    meters.counters(
        "laurelrock_bus",
        lambda: dict(daemon.bus.counts),
        "Messages, bytes and failures of the bus",
    )
