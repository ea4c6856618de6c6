"""Measures the CPU time of aiohttp calls to a searcher, without daemons.

It is the baseline for the cost of a sub-query, which makes one such call.
"""

import asyncio
import time
import typing

import aiohttp
import msgspec

from laurelrock import manifest

__all__ = ["cpu_us_per_call"]

#: Number of calls in flight.
CONCURRENCY = 8


async def cpu_us_per_call(
    searcher: manifest.Searcher, snapshot: str, seconds: float
) -> float:
    """Returns the CPU time of this process for one call, in microseconds.

    It includes encoding and decoding JSON.

    Args:
        searcher: Searcher to call.
        snapshot: Version of the snapshot to search.
        seconds: Duration of the measurement.
    """
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

    async def worker(session: aiohttp.ClientSession, stop_at_s: float) -> None:
        nonlocal count
        while loop.time() < stop_at_s:
            count += 1
            await call(session, count)

    async with aiohttp.ClientSession(connector=connector) as session:
        started_s = time.process_time()
        until_s = loop.time() + seconds
        workers = [worker(session, until_s) for _ in range(CONCURRENCY)]
        await asyncio.gather(*workers)
        return (time.process_time() - started_s) / max(1, count) * 1e6
