"""Operators: publishes manifests and reports where they are in force.

The command line and the package's public functions call these coroutines.
"""

import asyncio
import collections.abc
import contextlib
import random
import secrets
import typing

from laurelrock import errors
from laurelrock import fleet
from laurelrock import head as heads
from laurelrock.adapters import admin
from laurelrock.adapters import platform
from laurelrock.core import publish as publisher
from laurelrock.core import retry

__all__ = ["Target", "publish", "status", "wait_in_force"]

#: Timeout of one status query to a daemon, in seconds.
ADMIN_TIMEOUT_S = 1.0


class Target(typing.NamedTuple):
    """The deployment to operate on.

    Attributes:
        url: Base URL of the platform.
        timeout_s: Timeout of one request to the platform, in seconds.
        ports: Admin port of each role.
    """

    url: str
    timeout_s: float = 2.0
    ports: fleet.AdminPorts = fleet.AdminPorts()


class Overview(typing.NamedTuple):
    """Manifest head and daemons of a deployment.

    Attributes:
        head: Manifest head, or None if it is missing or malformed.
        malformed: Whether the head exists but is malformed.
        places: Status of each daemon that should be running.
    """

    head: heads.Head | None
    malformed: bool
    places: list[fleet.ExpectedDaemon]


async def publish(
    target: Target,
    text: bytes | str,
    *,
    publish_id: str | None = None,
    base: int | None = None,
    above: int = 0,
    timeout_s: float = 30.0,
) -> publisher.Outcome:
    """Publishes a manifest; see `core.publish.publish`.

    Args:
        target: Deployment to publish to.
        text: Manifest as a JSON document.
        publish_id: Publish id of an earlier run whose outcome is unknown, or
            None for a new run.
        base: Generation that must currently be in force, or None for any.
        above: Generation that the new one must exceed.
        timeout_s: Period during which platform failures are retried, in
            seconds.

    Raises:
        ManifestError: The manifest is invalid; nothing was sent to the
            platform.
        PublishConflictError: Another manifest was published first.
        PublishUnknownError: It is unknown whether the manifest was published.
        PlatformError: The platform failed; the manifest is not in force.
    """
    publish_id = publish_id or secrets.token_hex(8)
    request = publisher.create_request(text, publish_id, base, above)
    store = platform.open_platform(target.url, target.timeout_s)
    try:
        outcome = await publisher.publish(
            store, request, create_retry_pause(timeout_s)
        )
        with contextlib.suppress(errors.PlatformError):
            await publisher.prune(store)
        return outcome
    finally:
        await store.close()


def create_retry_pause(
    timeout_s: float,
) -> collections.abc.Callable[
    [errors.PlatformError], collections.abc.Awaitable[None]
]:
    """Returns a coroutine function that pauses before each retry.

    Once the timeout is over, it raises the error that it was called with.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    attempt = 0

    async def pause(error: errors.PlatformError) -> None:
        nonlocal attempt
        pause_s = retry.backoff_s(attempt, random.random())
        if loop.time() + pause_s > deadline_s:
            raise error
        attempt += 1
        await asyncio.sleep(pause_s)

    return pause


async def wait_in_force(
    target: Target, generation: int, timeout_s: float
) -> list[fleet.ExpectedDaemon]:
    """Waits until a generation is in force; see `fleet.wait_in_force`."""
    store = platform.open_platform(target.url, target.timeout_s)
    client = admin.open_admin(ADMIN_TIMEOUT_S)
    try:
        return await fleet.wait_in_force(
            store, client, target.ports, generation, timeout_s
        )
    finally:
        await client.close()
        await store.close()


async def status(target: Target) -> Overview:
    """Returns the manifest head and the status of every daemon.

    Raises:
        PlatformError: The platform did not respond.
    """
    store = platform.open_platform(target.url, target.timeout_s)
    client = admin.open_admin(ADMIN_TIMEOUT_S)
    try:
        stored_head = await publisher.read_head(store)
        vms = await store.vms()
        places = await fleet.query_fleet(client, vms, target.ports)
    finally:
        await client.close()
        await store.close()
    malformed = stored_head.version > 0 and stored_head.head is None
    return Overview(stored_head.head, malformed, places)
