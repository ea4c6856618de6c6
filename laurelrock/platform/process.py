"""Entry point of a gateway process on the users' platform."""

import asyncio
import collections.abc
import gc
import sys

from laurelrock.adapters import exposition
from laurelrock.adapters import logs
from laurelrock.gateways import deployment
from laurelrock.gateways import runner
from laurelrock.platform import header_codec
from laurelrock.platform import settings
from laurelrock.platform import store

__all__ = ["run"]

ROLE = "gateway"


def run() -> None:
    """Runs a gateway until SIGTERM.

    Raises:
        SettingsError: The settings file is missing or invalid.
    """
    path = settings.find_path()
    options = settings.load(path)
    gc.freeze()
    asyncio.run(start(options, settings.watch(path)))


async def start(
    options: deployment.Deployment,
    reload: collections.abc.Callable[[], deployment.Deployment | None],
) -> None:
    """Opens the adapters and runs the gateway.

    Args:
        options: Settings of this process.
        reload: Function that returns the settings if they changed, otherwise
            None.
    """
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
        await runner.run(options, header_codec, source, meters, reload)
    finally:
        sink.flush()
