"""Process: a gateway on the users' platform, put together."""

import asyncio
import collections.abc
import gc
import sys

from laurelrock.adapters import exposition
from laurelrock.adapters import logs
from laurelrock.gateways import deployment
from laurelrock.gateways import running
from laurelrock.platform import settings
from laurelrock.platform import store
from laurelrock.platform import wire

__all__ = ["run"]

ROLE = "gateway"


def run() -> None:
    """Runs a gateway until SIGTERM; raises `SettingsError`."""
    path = settings.find()
    options = settings.load(path)
    gc.freeze()
    asyncio.run(start(options, settings.watch(path)))


async def start(
    options: deployment.Deployment,
    reload: collections.abc.Callable[[], deployment.Deployment | None],
) -> None:
    """Opens the adapters and runs the gateway."""
    sink = logs.open_sink(sys.stdout.fileno())
    logs.configure(
        "info",
        sink,
        vm=options.vm,
        role=ROLE,
        failure_domain=options.failure_domain,
    )
    source = store.open_store(options.store)
    meters = exposition.create_metrics()
    try:
        await running.run(options, wire, source, meters, reload)
    finally:
        sink.flush()
