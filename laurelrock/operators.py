"""Operators: publish a manifest and see where it is in force.

The coroutines behind the command line and the verbs of the package.
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

#: Timeout of one question to a daemon, in seconds.
ADMIN_TIMEOUT_S = 1.0


class Target(typing.NamedTuple):
    """The deployment that is asked.

    Attributes:
        url: Base URL of the platform.
        timeout_s: Of one request to the platform.
        ports: Admin ports of the daemons.
    """

    url: str
    timeout_s: float = 2.0
    ports: fleet.Ports = fleet.Ports()


class Overview(typing.NamedTuple):
    """Head and daemons of a deployment.

    Attributes:
        head: None where there is none or it is malformed.
        malformed: Whether the head is there but malformed.
        places: One for each daemon.
    """

    head: heads.Head | None
    malformed: bool
    places: list[fleet.Place]


async def publish(
    target: Target,
    text: bytes | str,
    *,
    publish_id: str | None = None,
    base: int | None = None,
    above: int = 0,
    timeout_s: float = 30.0,
) -> publisher.Outcome:
    """Puts a manifest in force; see `core.publish.publish`.

    Args:
        target: The deployment.
        text: JSON document.
        publish_id: Of an earlier run whose outcome is unknown.
        base: Generation that must be in force now, if given.
        above: The new generation exceeds this one.
        timeout_s: How long failures of the platform are retried.

    Raises:
        ManifestError: The manifest is bad; the platform was not asked.
        PublishConflictError: Another manifest was published first.
        PublishUnknownError: The outcome is unknown.
        PlatformError: The platform failed; nothing is in force.
    """
    publish_id = publish_id or secrets.token_hex(8)
    request = publisher.create_request(text, publish_id, base, above)
    store = platform.open_platform(target.url, target.timeout_s)
    try:
        outcome = await publisher.publish(
            store, request, create_retry(timeout_s)
        )
        with contextlib.suppress(errors.PlatformError):
            await publisher.prune(store)
        return outcome
    finally:
        await store.close()


def create_retry(
    timeout_s: float,
) -> collections.abc.Callable[
    [errors.PlatformError], collections.abc.Awaitable[None]
]:
    """Returns a function that pauses, or raises once the time is over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    attempt = 0

    async def pause(error: errors.PlatformError) -> None:
        nonlocal attempt
        length_s = retry.pause_s(attempt, random.random())
        if loop.time() + length_s > until:
            raise error
        attempt += 1
        await asyncio.sleep(length_s)

    return pause


async def wait_in_force(
    target: Target, generation: int, timeout_s: float
) -> list[fleet.Place]:
    """Waits for a generation; see `fleet.wait_in_force`."""
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
    """Returns the head and the state of every daemon.

    Raises:
        PlatformError: The platform does not answer.
    """
    store = platform.open_platform(target.url, target.timeout_s)
    client = admin.open_admin(ADMIN_TIMEOUT_S)
    try:
        present = await publisher.read_head(store)
        vms = await store.vms()
        places = await fleet.survey(client, vms, target.ports)
    finally:
        await client.close()
        await store.close()
    malformed = present.version > 0 and present.head is None
    return Overview(present.head, malformed, places)
