"""Measures the platform calls and the time that claims add to a save.

Usage: `python -m bench.ledger [--seconds N] [--variants NAME ...]`. Prints one
JSON object for each variant and rate. Each measurement uses its own fake
platform with its default rate limits, and nine entries in this process.

Variants:

- "key-objects" writes one object for each key.
- "ungrouped" writes each change to a ledger separately.
- "grouped" lets the changes of one entry share a write.
- "owned" makes the entries forward changes to the owner of each ledger.
- "spaced" is "owned" with at least `SPACING_S` between two writes of a ledger.
- "regions" is "owned" with an owner in each of two regions.
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

from laurelrock import errors
from laurelrock.adapters import platform
from laurelrock.core import ledger
from laurelrock.core import members
from laurelrock.ports import platform as platform_port
from laurelrock.saves import claim_routing
from laurelrock.saves import ledger_writers
from laurelrock.saves import save_runner

__all__ = ["main"]

ENTRIES = 9
RATES_PER_S = (1.0, 50.0, 500.0)
VARIANTS = ("key-objects", "ungrouped", "grouped", "owned", "spaced", "regions")
#: Variants in which entries forward changes to the owner of the ledger.
FORWARDING_VARIANTS = ("owned", "spaced", "regions")
#: Minimum interval between two writes of a ledger in the "spaced" variant, in
#: seconds.
SPACING_S = 0.05
#: Delay that the fake platform adds to each call, in milliseconds.
PLATFORM_DELAY_MS = 4.0
#: One-way delay between entries, in seconds.
PEER_DELAY_S = 0.0005
#: Time of the call to the searcher, in seconds.
SEARCHER_CALL_S = 0.01
#: Deadline of a save, in seconds.
DEADLINE_S = 2.0
#: Log level CRITICAL.
LOG_LEVEL = 50
SEED = 20261203


class CountingPlatform:
    """A platform client that counts its calls by method, and its bytes."""

    def __init__(self, client: platform.HttpPlatform) -> None:
        self.client = client
        self.counts: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> platform_port.StoredObject | None:
        self.counts["get"] += 1
        stored = await self.client.get(key)
        self.counts["bytes"] += len(stored.body) if stored else 0
        return stored

    async def put(self, key: str, body: bytes, expected: int) -> int:
        self.counts["put"] += 1
        self.counts["bytes"] += len(body)
        return await self.client.put(key, body, expected)


class KeyObjects:
    """Stores each claim in a separate object."""

    def __init__(self, store: platform_port.Platform) -> None:
        self.platform = store
        self.held: dict[bytes, tuple[int, ledger.Claim]] = {}

    async def reserve(
        self, change: ledger.Reserve, time_left_s: float
    ) -> ledger.Outcome:
        claim = ledger.Claim(change.attempt, change.digest)
        key = f"saves/key/{change.key.hex()}"
        body = msgspec.msgpack.encode(claim)
        version = await self.platform.put(key, body, platform_port.ABSENT)
        self.held[change.key] = (version, claim)
        return ledger.Outcome("held", claim)

    async def settle(self, change: ledger.Settle) -> ledger.Outcome:
        version, claim = self.held.pop(change.key)
        claim = claim._replace(state=change.state, result=change.result)
        key = f"saves/key/{change.key.hex()}"
        body = msgspec.msgpack.encode(claim)
        await self.platform.put(key, body, version)
        return ledger.Outcome("settled", claim)

    def retry_after_s(self) -> float:
        return 1.0

    def stop_batching(self) -> None:
        pass


class RateResult(typing.NamedTuple):
    """Result of one variant at one rate.

    Attributes:
        platforms: Platform clients of the entries.
        stores: Ledger writers of the entries.
        latency_s: Time of each successful save without the call to the
            searcher, in seconds.
        refused: Number of refused saves by error code.
    """

    platforms: list[CountingPlatform]
    stores: list[ledger_writers.LedgerWriters]
    latency_s: list[float]
    refused: collections.Counter[str]


def create_entries(
    variant: str, platforms: list[CountingPlatform]
) -> tuple[list[save_runner.SaveRunner], list[ledger_writers.LedgerWriters]]:
    """Returns the save runner and the ledger writers of each entry."""
    rng = random.Random(SEED)
    tuning = ledger_writers.Tuning()
    if variant == "ungrouped":
        tuning = ledger_writers.Tuning(group=False, spacing_s=0.0, linger_s=0.0)
    elif variant == "spaced":
        tuning = ledger_writers.Tuning(spacing_s=SPACING_S)
    clients = [
        typing.cast(platform_port.Platform, client) for client in platforms
    ]
    local = [
        ledger_writers.LedgerWriters(client, rng.random, tuning)
        for client in clients
    ]
    entries = [
        members.Member(
            f"e{i}", "entry", str(i), "abcdef"[i % 6], region_of(variant, i), ""
        )
        for i in range(len(platforms))
    ]

    async def forward(
        address: str, change: ledger.Change, time_left_s: float
    ) -> ledger.Outcome:
        await asyncio.sleep(PEER_DELAY_S)
        outcome = await local[int(address)].submit(change, time_left_s)
        await asyncio.sleep(PEER_DELAY_S)
        return outcome

    stores: list[save_runner.ClaimStore] = list(local)
    if variant == "key-objects":
        stores = [KeyObjects(client) for client in clients]
    elif variant in FORWARDING_VARIANTS:
        stores = [
            claim_routing.ClaimRouter(
                store, entry, usable_members(entry, entries), forward
            )
            for store, entry in zip(local, entries, strict=True)
        ]
    runners = [
        save_runner.SaveRunner(
            store, lambda: time.time() * 1000, lambda: secrets.token_bytes(12)
        )
        for store in stores
    ]
    return runners, local


def region_of(variant: str, number: int) -> str:
    """Returns the region of an entry."""
    return f"r{number % 2}" if variant == "regions" else "r0"


def usable_members(
    own: members.Member, entries: list[members.Member]
) -> collections.abc.Callable[[], list[members.Member]]:
    """Returns a function that returns the usable members of an entry."""
    peers = [entry for entry in entries if entry.region == own.region]
    return lambda: peers


def new_key() -> str:
    """Returns a UUID of version 7."""
    value = int(time.time() * 1000) << 80
    value |= secrets.randbits(80)
    value &= ~((0xF << 76) | (3 << 62))
    return str(uuid.UUID(int=value | (7 << 76) | (2 << 62)))


async def execute() -> save_runner.Outcome:
    """Simulates the call to the searcher."""
    await asyncio.sleep(SEARCHER_CALL_S)
    return save_runner.Outcome("yes", b'{"saved":"0123456789abcdef"}')


async def save_once(entry: save_runner.SaveRunner, result: RateResult) -> None:
    """Makes one save and records its time or its refusal."""
    request = save_runner.Request("r", "a", "c", new_key(), b"1", DEADLINE_S)
    started_s = time.monotonic()
    try:
        await entry.run(request, execute)
    except errors.RefusalError as refusal:
        result.refused[refusal.code] += 1
    else:
        result.latency_s.append(time.monotonic() - started_s - SEARCHER_CALL_S)


async def measure_rate(
    url: str, variant: str, rate_per_s: float, seconds: float
) -> dict[str, typing.Any]:
    """Runs one variant at one rate and returns its JSON object."""
    rng = random.Random(SEED)
    clients = [platform.open_platform(url, 2.0) for _ in range(ENTRIES)]
    platforms = [CountingPlatform(client) for client in clients]
    entries, local = create_entries(variant, platforms)
    result = RateResult(platforms, local, [], collections.Counter())
    loop = asyncio.get_running_loop()
    started_s = next_s = loop.time()
    tasks = []
    while next_s < started_s + seconds:
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        tasks.append(
            asyncio.ensure_future(save_once(rng.choice(entries), result))
        )
        next_s += rng.expovariate(rate_per_s)
    await asyncio.gather(*tasks)
    for entry in entries:
        await entry.close()
    for client in clients:
        await client.close()
    return report(result, variant, rate_per_s, seconds, len(tasks))


def report(
    result: RateResult,
    variant: str,
    rate_per_s: float,
    seconds: float,
    sent: int,
) -> dict[str, typing.Any]:
    """Returns the JSON object for the result of one variant at one rate."""
    total = sum(
        (client.counts for client in result.platforms), collections.Counter()
    )
    ordered = sorted(result.latency_s) or [0.0]
    succeeded = len(result.latency_s)
    return {
        "variant": variant,
        "saves_per_s": rate_per_s,
        "saves": sent,
        "answered": succeeded,
        "refused": dict(result.refused),
        "writes_per_s": round(total["put"] / seconds, 1),
        "reads_per_s": round(total["get"] / seconds, 1),
        "calls_per_save": round(
            (total["put"] + total["get"]) / max(succeeded, 1), 2
        ),
        "kilobytes_per_s": round(total["bytes"] / seconds / 1000, 1),
        "conflicts": sum(store.counts["conflict"] for store in result.stores),
        "failures": sum(store.counts["failure"] for store in result.stores),
        "added_p50_ms": round(ordered[len(ordered) // 2] * 1000, 1),
        "added_p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 1),
    }


@contextlib.asynccontextmanager
async def open_platform() -> collections.abc.AsyncIterator[str]:
    """Starts a fake platform and yields its URL."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "fakes.platform", "--listen", address
    )
    url = f"http://{address}"
    try:
        await set_faults(url, {"slow_ms": PLATFORM_DELAY_MS})
        yield url
    finally:
        process.terminate()
        await process.wait()


async def set_faults(url: str, faults: dict[str, typing.Any]) -> None:
    """Sets the faults of the fake platform as soon as it listens."""
    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(url + "/control", json=faults):
                    return
            await asyncio.sleep(0.1)


async def run(seconds: float, variants: list[str]) -> None:
    """Runs the variants at every rate and prints the results.

    Args:
        seconds: Minimum duration of a measurement; low rates run for longer,
            until about 20 saves are made.
        variants: Names of the variants.
    """
    for rate_per_s in RATES_PER_S:
        for variant in variants:
            duration_s = max(seconds, 20 / rate_per_s)
            async with open_platform() as url:
                row = await measure_rate(url, variant, rate_per_s, duration_s)
            print(msgspec.json.encode(row).decode(), flush=True)


def main(argv: list[str]) -> int:
    """Runs the variants that command-line arguments select."""
    parser = argparse.ArgumentParser(description="Measures what claims cost.")
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
