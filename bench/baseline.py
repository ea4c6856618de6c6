"""Baseline: one aiohttp call a sub-query, without any of the daemons."""

import asyncio
import time
import typing

import aiohttp
import msgspec

from laurelrock import manifest

__all__ = ["cpu_us_per_call"]

#: Calls in flight.
CONCURRENCY = 8


async def cpu_us_per_call(
    searcher: manifest.Searcher, snapshot: str, seconds: float
) -> float:
    """Returns this process's CPU time of a call and its JSON, in µs."""
    connector = aiohttp.TCPConnector(limit=CONCURRENCY)
    url = f"http://{searcher.address}/v1/search"
    loop = asyncio.get_running_loop()
    service = searcher.id.rpartition("-")[0]
    count = 0

    async def call(session: aiohttp.ClientSession, number: int) -> None:
        item: dict[str, typing.Any] = {
            "request_id": str(number),
            "start_id": "baseline",
            "snapshot": snapshot,
            "time_left_ms": 5000.0,
            "limit": 10,
            "service": service,
            "shards": [],
            "query": {"text": "panel"},
        }
        data = msgspec.json.encode({"items": [item]})
        async with session.post(url, data=data) as response:
            msgspec.json.decode(await response.read())

    async def work(session: aiohttp.ClientSession, until_s: float) -> None:
        nonlocal count
        while loop.time() < until_s:
            count += 1
            await call(session, count)

    async with aiohttp.ClientSession(connector=connector) as session:
        began = time.process_time()
        until_s = loop.time() + seconds
        workers = [work(session, until_s) for _ in range(CONCURRENCY)]
        await asyncio.gather(*workers)
        return (time.process_time() - began) / max(1, count) * 1e6
