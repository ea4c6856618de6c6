"""Runs a gateway: its ports, background loops and signals."""

import asyncio
import collections.abc
import functools
import signal

from laurelrock.adapters import http_server
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.core import client_limits
from laurelrock.core import routes
from laurelrock.gateways import deployment
from laurelrock.gateways import gateway
from laurelrock.gateways import gateway_metrics
from laurelrock.gateways import searcher_connections
from laurelrock.ports import directory
from laurelrock.ports import header_codec

__all__ = ["open_gateway", "run"]

#: Port of the metrics; the deploy file tells it to the platform.
METRICS_PORT = 9464
#: Interval in seconds at which the settings are checked for changes, since they
#: may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 1.0

_log = logs.get_logger(__name__)


async def open_gateway(
    opened: gateway.Gateway, metrics_port: int = METRICS_PORT
) -> None:
    """Opens the ports and starts to follow the platform."""
    options = opened.deployment
    limits = client_limits.create_connection_limits(
        options.memory_bytes, options.max_descriptors
    )
    metrics_address = (options.address, metrics_port)
    for handle, address, max_connections in (
        (opened.answer, options.callers, limits.callers),
        (opened.answer_readiness, options.readiness, limits.others),
        (opened.peers.answer, options.peers, limits.others),
        (opened.answer_metrics, metrics_address, limits.others),
    ):
        server = await http_server.open_server(
            *(handle, address, routes.Limits()),
            *(opened.client_memory, max_connections),
        )
        opened.servers.append(server)
    await opened.peer_links.listen(
        (options.address, options.peer_links_port), limits.links
    )
    gateway_metrics.register(opened)
    for run_loop in (
        opened.follower.expire_entries,
        opened.follower.maintain_vm_list,
        opened.sharing.run,
        opened.limit_sharing.run,
        opened.cap_sharing.run,
        opened.cold_searchers.run,
        opened.crash_watch.run,
        opened.vm_removal.run,
        opened.peers.run,
        functools.partial(searcher_connections.probe, opened.known),
        opened.partition_detector.run,
        opened.isolation_detector.run,
    ):
        opened.spawn_loop(run_loop)
    if options.follows_evacuations:
        opened.spawn_loop(opened.follower.read_unconfirmed_evacuations)


async def run(
    options: deployment.Deployment,
    platform: header_codec.HeaderCodec,
    source: directory.Directory,
    meters: metrics.Metrics,
    reload: collections.abc.Callable[[], deployment.Deployment | None],
) -> None:
    """Runs a gateway until SIGTERM.

    Args:
        options: The validated settings.
        platform: Encodes and decodes the headers of callers and searchers.
        source: The platform's store.
        meters: The metrics of this process.
        reload: Returns the settings if they changed, else None.
    """
    opened = gateway.Gateway(options, platform, source, meters)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        opened.loop.add_signal_handler(number, stop.set)

    def reload_settings() -> None:
        changed = reload()
        if changed is not None:
            opened.reload(changed)

    async def reload_periodically() -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            reload_settings()

    opened.loop.add_signal_handler(signal.SIGHUP, reload_settings)
    await open_gateway(opened)
    opened.spawn_loop(reload_periodically)
    _log.info("started", callers=options.callers, domain=options.failure_domain)
    await stop.wait()
    await opened.stop()
    for task in list(opened.tasks):
        task.cancel()
