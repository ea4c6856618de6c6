"""Daemon: the parts of a process that the entry and relay roles share.

Opens the logs, metrics, platform client, message bus and admin port of one
process and closes them in order on SIGTERM.
"""

import asyncio
import collections.abc
import random
import secrets
import signal
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from laurelrock import manifest
from laurelrock import manifest_distribution
from laurelrock import membership
from laurelrock import settings
from laurelrock.adapters import admin
from laurelrock.adapters import asgi_server
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.adapters import platform
from laurelrock.adapters import prometheus
from laurelrock.core import members

__all__ = ["Daemon", "open_daemon"]

_log = logs.get_logger(__name__)


class Daemon:
    """Shared state of one daemon process.

    Attributes:
        settings: Validated settings of the daemon.
        role: Role of the daemon, "entry" or "relay".
        start_id: Random id that identifies this run of the process.
        platform: Client of the platform's object API.
        bus: Message bus that connects the daemons.
        metrics: Registry of the process's metrics.
        members: Membership service, which tracks the other daemons.
        distribution: Distribution service, which keeps the newest manifest in
            force.
        ready: Whether the load balancer may route callers to this daemon.
        stopping: Event that SIGTERM or SIGINT sets.
        tasks: Background tasks, which are cancelled at shutdown.
    """

    def __init__(
        self,
        options: settings.Settings,
        role: members.Role,
        platform_client: platform.HttpPlatform,
        message_bus: bus.ZmqBus,
        registry: metrics.Metrics,
        member_service: membership.Membership,
        configuration: manifest_distribution.ManifestDistribution,
    ) -> None:
        self.settings = options
        self.role = role
        self.start_id = member_service.view.me.start_id
        self.platform = platform_client
        self.bus = message_bus
        self.metrics = registry
        self.members = member_service
        self.distribution = configuration
        self.ready = False
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> asyncio.Task[typing.Any]:
        """Starts a background task that is cancelled when the daemon stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    @property
    def manifest(self) -> manifest.Manifest | None:
        """Manifest in force, or None if there is none yet."""
        return self.distribution.manifest

    @property
    def generation(self) -> int:
        """Generation of the manifest in force, or 0 if there is none yet."""
        return self.distribution.generation

    def relays(self, region: str) -> list[members.Member]:
        """Returns the usable relays of a region."""
        return [
            relay
            for relay in self.members.usable_members("relay")
            if relay.region == region
        ]


async def open_daemon(options: settings.Settings, role: members.Role) -> Daemon:
    """Opens the resources that both roles need and starts their services."""
    vm = options.vm
    logs.configure(
        options.log.level,
        vm=vm.name,
        role=role,
        failure_domain=vm.failure_domain,
    )
    port = options.entry.bus_port if role == "entry" else options.relay.bus_port
    platform_client = platform.open_platform(
        options.platform.url, options.platform.timeout_ms / 1000, vm.address
    )
    address = f"{vm.address}:{port}"
    message_bus = bus.open_bus(address)
    me = members.Member(
        vm=vm.name,
        role=role,
        address=address,
        failure_domain=vm.failure_domain,
        region=vm.region,
        start_id=secrets.token_hex(8),
    )
    random_source = random.SystemRandom()
    member_service = membership.open_membership(
        me,
        message_bus,
        platform_client,
        _membership_options(options),
        random_source,
    )
    configuration = manifest_distribution.open_distribution(
        member_service, message_bus, platform_client, random_source
    )
    registry = prometheus.create_metrics(vm.name, role)
    daemon = Daemon(
        options,
        role,
        platform_client,
        message_bus,
        registry,
        member_service,
        configuration,
    )
    daemon.spawn(member_service.run())
    daemon.spawn(configuration.run())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stopping.set)
    _register_metrics(daemon)
    return daemon


def _membership_options(options: settings.Settings) -> membership.Options:
    return membership.Options(
        seeds=options.peers.seeds,
        ports=[options.entry.bus_port, options.relay.bus_port],
        list_interval_s=options.peers.vms_poll_ms / 1000,
    )


async def close_daemon(daemon: Daemon) -> None:
    """Cancels the background tasks and closes the daemon's connections."""
    for task in list(daemon.tasks):
        task.cancel()
    await asyncio.gather(*daemon.tasks, return_exceptions=True)
    await daemon.platform.close()
    daemon.bus.close()


def create_admin_server(daemon: Daemon) -> asgi_server.Server:
    """Returns the HTTP server of the admin port."""

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
    return asgi_server.create_server(app, options.vm.address, role.admin_port)


def status_of(daemon: Daemon) -> admin.Status:
    """Returns the daemon's status as `GET /status` reports it."""
    return {
        "vm": daemon.settings.vm.name,
        "role": daemon.role,
        "failure_domain": daemon.settings.vm.failure_domain,
        "start_id": daemon.start_id,
        "generation": daemon.generation,
        "ready": daemon.ready,
    }


def _register_metrics(daemon: Daemon) -> None:
    registry = daemon.metrics
    registry.gauge(
        "laurelrock_manifest_generation",
        lambda: daemon.generation,
        "Generation of the manifest in force",
    )
    registry.gauge(
        "laurelrock_ready",
        lambda: daemon.ready,
        "1 while callers may be sent",
    )
    registry.counter(
        "laurelrock_platform_calls",
        lambda: daemon.platform.calls,
        "Requests to the platform",
    )
    registry.counters(
        "laurelrock_bus",
        lambda: dict(daemon.bus.counts),
        "Messages, bytes and failures of the bus",
    )
    registry.counters(
        "laurelrock_membership",
        lambda: dict(daemon.members.counts),
        "Decisions about members by kind",
    )
    registry.gauge(
        "laurelrock_members",
        lambda: len(daemon.members.known_daemons()),
        "Daemons that are not dead, this one included",
    )
    registry.gauge(
        "laurelrock_isolated",
        lambda: daemon.members.view.detector.isolated,
        "1 while no other daemon is heard",
    )
    registry.counters(
        "laurelrock_manifest_refused",
        lambda: dict(daemon.distribution.refused),
        "Manifests that were not put in force by code",
    )
