"""Process: a gateway on the users' platform, put together."""

import asyncio
import gc
import sys

from laurelrock.adapters import logs
from laurelrock.gateways import gateway
from laurelrock.platform import settings
from laurelrock.platform import store
from laurelrock.platform import wire

__all__ = ["run"]

ROLE = "gateway"


def run() -> None:
    """Runs a gateway until SIGTERM; raises `SettingsError`."""
    options = settings.load(settings.find())
    logs.configure(
        "info",
        sys.stdout.buffer,
        vm=options.vm,
        role=ROLE,
        failure_domain=options.failure_domain,
    )
    gc.freeze()
    asyncio.run(start(options))


async def start(options: settings.deployment.Deployment) -> None:
    """Opens the adapters and runs the gateway."""
    source = store.open_store(options.store)
    await gateway.run(options, wire, source)
