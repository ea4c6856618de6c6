"""What claims cost: platform calls and time a save, by variant.

Usage: `python -m bench.ledger [--seconds N] [--variants NAME ...]`. Prints
one JSON object a variant and rate. Each point has a stand-in of the
platform of its own with the brief's rates, and nine entries in this process.

Variants: "key-objects" writes one object a key; "ungrouped" writes each
change to a ledger alone; "grouped" lets the changes of one entry share a
write; "owned" lets the entries pass them to each ledger's owner; "spaced"
also keeps `SPACED_S` between two writes of a ledger; "regions" has an owner
in each of two regions.
"""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import random
import secrets
import socket
import sys
import time
import typing
import uuid

import aiohttp
import msgspec
import structlog

from laurelrock import claims
from laurelrock import errors
from laurelrock import ledgers
from laurelrock import saves
from laurelrock.adapters import platform
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.ports import platform as platform_port

__all__ = ["main"]

ENTRIES = 9
RATES_PER_S = (1.0, 50.0, 500.0)
VARIANTS = ("key-objects", "ungrouped", "grouped", "owned", "spaced", "regions")
#: Variants in which entries pass changes to the owner.
OWNED = ("owned", "spaced", "regions")
#: Between two writes of a ledger in the last variant, in seconds.
SPACED_S = 0.05
#: Added by the stand-in to each call, in milliseconds.
PLATFORM_MS = 4.0
#: One way between entries, in seconds.
PEER_S = 0.0005
#: Of the searcher's call, in seconds.
EXECUTE_S = 0.01
DEADLINE_S = 2.0
LOG_LEVEL = 50
SEED = 20261203


class Meter:
    """A platform client that counts its calls by method, and bytes."""

    def __init__(self, client: platform.HttpPlatform) -> None:
        self.client = client
        self.counts: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> platform_port.Stored | None:
        self.counts["get"] += 1
        stored = await self.client.get(key)
        self.counts["bytes"] += len(stored.body) if stored else 0
        return stored

    async def put(self, key: str, body: bytes, expected: int) -> int:
        self.counts["put"] += 1
        self.counts["bytes"] += len(body)
        return await self.client.put(key, body, expected)


class KeyObjects:
    """Keeps each claim in an object of its own."""

    def __init__(self, store: platform_port.Platform) -> None:
        self.platform = store
        self.held: dict[bytes, tuple[int, ledger.Claim]] = {}

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Verdict:
        claim = ledger.Claim(change.attempt, change.digest)
        key = f"saves/key/{change.key.hex()}"
        body = msgspec.msgpack.encode(claim)
        version = await self.platform.put(key, body, platform_port.ABSENT)
        self.held[change.key] = (version, claim)
        return ledger.Verdict("held", claim)

    async def settle(self, change: ledger.Settle) -> ledger.Verdict:
        version, claim = self.held.pop(change.key)
        claim = claim._replace(state=change.state, result=change.result)
        key = f"saves/key/{change.key.hex()}"
        body = msgspec.msgpack.encode(claim)
        await self.platform.put(key, body, version)
        return ledger.Verdict("settled", claim)

    def retry_after_s(self) -> float:
        return 1.0

    def hurry(self) -> None:
        pass


class Point(typing.NamedTuple):
    """What one variant did at one rate."""

    meters: list[Meter]
    stores: list[ledgers.Ledgers]
    latency_s: list[float]
    refused: collections.Counter[str]


def create_entries(
    variant: str, meters: list[Meter]
) -> tuple[list[saves.Saves], list[ledgers.Ledgers]]:
    """Returns the saves of the entries, and their ledgers."""
    rng = random.Random(SEED)
    tuning = ledgers.Tuning()
    if variant == "ungrouped":
        tuning = ledgers.Tuning(group=False, spacing_s=0.0, linger_s=0.0)
    elif variant == "spaced":
        tuning = ledgers.Tuning(spacing_s=SPACED_S)
    clients = [typing.cast(platform_port.Platform, meter) for meter in meters]
    local = [ledgers.Ledgers(client, rng.random, tuning) for client in clients]
    entries = [
        members.Member(
            f"e{i}", "entry", str(i), "abcdef"[i % 6], region_of(variant, i), ""
        )
        for i in range(len(meters))
    ]

    async def ask(
        address: str, change: ledger.Change, time_left_s: float
    ) -> ledger.Verdict:
        await asyncio.sleep(PEER_S)
        verdict = await local[int(address)].submit(change, time_left_s)
        await asyncio.sleep(PEER_S)
        return verdict

    stores: list[saves.Store] = list(local)
    if variant == "key-objects":
        stores = [KeyObjects(client) for client in clients]
    elif variant in OWNED:
        stores = [
            claims.Claims(store, entry, peers_of(entry, entries), ask)
            for store, entry in zip(local, entries, strict=True)
        ]
    made = [
        saves.Saves(
            store, lambda: time.time() * 1000, lambda: secrets.token_bytes(12)
        )
        for store in stores
    ]
    return made, local


def region_of(variant: str, number: int) -> str:
    """Returns the region of an entry."""
    return f"r{number % 2}" if variant == "regions" else "r0"


def peers_of(
    own: members.Member, entries: list[members.Member]
) -> collections.abc.Callable[[], list[members.Member]]:
    """Returns the roster of an entry."""
    peers = [entry for entry in entries if entry.region == own.region]
    return lambda: peers


def new_key() -> str:
    """Returns a UUID of version 7."""
    value = int(time.time() * 1000) << 80
    value |= secrets.randbits(80)
    value &= ~((0xF << 76) | (3 << 62))
    return str(uuid.UUID(int=value | (7 << 76) | (2 << 62)))


async def execute() -> saves.Outcome:
    """The searcher's call."""
    await asyncio.sleep(EXECUTE_S)
    return saves.Outcome("yes", b'{"saved":"0123456789abcdef"}')


async def save_once(entry: saves.Saves, point: Point) -> None:
    """Makes one save and notes how it went."""
    request = saves.Request("r", "a", "c", new_key(), b"1", DEADLINE_S)
    began_s = time.monotonic()
    try:
        await entry.run(request, execute)
    except errors.RefusalError as refusal:
        point.refused[refusal.code] += 1
    else:
        point.latency_s.append(time.monotonic() - began_s - EXECUTE_S)


async def run_point(
    url: str, variant: str, rate_per_s: float, seconds: float
) -> dict[str, typing.Any]:
    """Runs one variant at one rate; returns its JSON object."""
    rng = random.Random(SEED)
    clients = [platform.open_platform(url, 2.0) for _ in range(ENTRIES)]
    meters = [Meter(client) for client in clients]
    entries, local = create_entries(variant, meters)
    point = Point(meters, local, [], collections.Counter())
    loop = asyncio.get_running_loop()
    began_s = due_s = loop.time()
    tasks = []
    while due_s < began_s + seconds:
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        tasks.append(
            asyncio.ensure_future(save_once(rng.choice(entries), point))
        )
        due_s += rng.expovariate(rate_per_s)
    await asyncio.gather(*tasks)
    for entry in entries:
        await entry.close()
    for client in clients:
        await client.close()
    return report(point, variant, rate_per_s, seconds, len(tasks))


def report(
    point: Point, variant: str, rate_per_s: float, seconds: float, asked: int
) -> dict[str, typing.Any]:
    """Returns the JSON object of a point."""
    total = sum((meter.counts for meter in point.meters), collections.Counter())
    ordered = sorted(point.latency_s) or [0.0]
    done = len(point.latency_s)
    return {
        "variant": variant,
        "saves_per_s": rate_per_s,
        "saves": asked,
        "answered": done,
        "refused": dict(point.refused),
        "writes_per_s": round(total["put"] / seconds, 1),
        "reads_per_s": round(total["get"] / seconds, 1),
        "calls_per_save": round(
            (total["put"] + total["get"]) / max(done, 1), 2
        ),
        "kilobytes_per_s": round(total["bytes"] / seconds / 1000, 1),
        "conflicts": sum(store.counts["conflict"] for store in point.stores),
        "failures": sum(store.counts["failure"] for store in point.stores),
        "added_p50_ms": round(ordered[len(ordered) // 2] * 1000, 1),
        "added_p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 1),
    }


@contextlib.asynccontextmanager
async def open_platform() -> collections.abc.AsyncIterator[str]:
    """Starts a stand-in of the platform; yields its URL."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "fakes.platform", "--listen", address
    )
    url = f"http://{address}"
    try:
        await set_faults(url, {"slow_ms": PLATFORM_MS})
        yield url
    finally:
        process.terminate()
        await process.wait()


async def set_faults(url: str, faults: dict[str, typing.Any]) -> None:
    """Sets the stand-in's faults once it listens."""
    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(url + "/control", json=faults):
                    return
            await asyncio.sleep(0.1)


async def run(seconds: float, variants: list[str]) -> None:
    """Runs the variants at every rate."""
    for rate_per_s in RATES_PER_S:
        for variant in variants:
            length_s = max(seconds, 20 / rate_per_s)
            async with open_platform() as url:
                row = await run_point(url, variant, rate_per_s, length_s)
            print(msgspec.json.encode(row).decode(), flush=True)


def main(argv: list[str]) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="What claims cost.")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--variants", nargs="+", choices=VARIANTS, default=VARIANTS
    )
    arguments = parser.parse_args(argv)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVEL)
    )
    asyncio.run(run(arguments.seconds, arguments.variants))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
