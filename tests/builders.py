"""Builders of manifests, addresses and other test data for daemons."""

import asyncio
import collections.abc
import hashlib
import itertools
import os
import uuid

from laurelrock import manifest

#: First port to listen on; below the range of ephemeral client ports.
FIRST_PORT = 10_000

#: Interval between two checks of a condition, in seconds.
POLL_S = 0.001

#: Name of the caller in the test manifest.
CALLER = "caller"
#: Bearer token of that caller.
TOKEN = "caller-token"
#: Name of the application in the test manifest.
APPLICATION = "quotes"
#: Wall-clock time of the tests, in milliseconds since 1970.
NOW_MS = 1_790_000_000_000


port_numbers = itertools.count(FIRST_PORT)


def process_host() -> str:
    """Returns a loopback IP address that depends on the process id.

    Test processes that run at the same time thus use different addresses.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 64}.{pid % 256}.1"


def free_address() -> str:
    """Returns an unused listening address of this process, as "host:port"."""
    return f"{process_host()}:{next(port_numbers)}"


def vm_address(number: int) -> str:
    """Returns the loopback IP address of a simulated VM of this process."""
    return process_host().rpartition(".")[0] + f".{number + 1}"


def searcher(name: str = "r0", **fields) -> manifest.Searcher:
    """Returns the manifest entry of a searcher at a free address."""
    defaults = {
        "address": free_address(),
        "failure_domain": "a",
        "slots": 2,
        "connections": 4,
        "connect_ms": 1.0,
    }
    return manifest.Searcher(id=name, **(defaults | fields))


def snapshot(version: str = "v1", **services: int) -> manifest.Snapshot:
    """Returns a snapshot with a number of shards for each named service."""
    names = [name for name, count in services.items() for _ in range(count)]
    return manifest.Snapshot(
        version,
        [manifest.Shard(f"s{i}", name) for i, name in enumerate(names)],
    )


def application(
    services: int = 2, replicas: int = 2, **fields
) -> manifest.Application:
    """Returns an application whose services each hold one shard."""
    domains = ("a", "b", "c")
    names = [f"service{index}" for index in range(services)]
    searchers_by_service = {
        name: [
            searcher(
                f"{name}-r{replica}",
                failure_domain=domains[(index + replica) % len(domains)],
            )
            for replica in range(replicas)
        ]
        for index, name in enumerate(names)
    }
    snapshot_v1 = snapshot("v1", **dict.fromkeys(names, 1))
    defaults = {
        "services": searchers_by_service,
        "snapshots": [snapshot_v1],
        "save_service": names[0],
    }
    return manifest.Application(**(defaults | fields))


def with_searcher_prefix(
    application: manifest.Application, prefix: str
) -> manifest.Application:
    """Returns a copy of an application with a prefix before searcher ids."""
    services = {
        name: [row._replace(id=prefix + row.id) for row in group]
        for name, group in application.services.items()
    }
    return application._replace(services=services)


def caller(
    token: str, applications: list[str], saves: bool = True
) -> manifest.Caller:
    """Returns the manifest entry of a caller with a token."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return manifest.Caller(digest, applications, saves)


def small_manifest(services: int = 2, replicas: int = 2) -> manifest.Manifest:
    """Returns a manifest with one application and one caller."""
    return manifest.Manifest(
        name="small",
        regions={"r": ["a", "b", "c"]},
        applications={APPLICATION: application(services, replicas)},
        callers={CALLER: caller(TOKEN, [APPLICATION])},
    )


def search_item(**fields) -> dict:
    """Returns one sub-query of a search call to a searcher."""
    defaults = {
        "request_id": "q1",
        "start_id": "e1",
        "snapshot": "v1",
        "time_left_ms": 5000.0,
        "limit": 10,
        "service": "service0",
        "shards": ["s0"],
        "query": {"text": "panel"},
    }
    return defaults | fields


async def wait_until(is_true: collections.abc.Callable[[], bool]) -> None:
    """Waits until a condition in the test's own process holds."""
    while not is_true():  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)


def save_key(number: int = 0, time_ms: int = NOW_MS) -> str:
    """Returns a valid idempotency key: a version 7 UUID."""
    value = (time_ms << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))
