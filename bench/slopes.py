"""Measures processor time and bytes of single operations.

Usage: `python -m bench.slopes`. Prints one JSON object per line; the results
are for docs/CAPACITY.md. Times are the processor time of this process; the
searcher that the HTTP calls reach runs in another process.
"""

import argparse
import asyncio
import json
import random
import sys
import time
import typing

from aiohttp import web
import msgspec

from bench import light_endpoints
from bench import manifest_cost
from laurelrock import manifest
from laurelrock import messages
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import searcher as searchers
from laurelrock.core import hits
from laurelrock.core import membership_handlers
from laurelrock.core import records
from laurelrock.core import view as views
from laurelrock.ports import searcher as searcher_port

__all__ = ["main"]

#: Numbers of sub-queries in one message or call.
BATCH_SIZES = (1, 28)

#: Number of hits of each sub-query, and maximum number in a merged answer.
HITS_PER_ITEM = 3
HIT_LIMIT = 10

#: Number of rounds of each measurement.
ROUNDS = 400

#: Address of the searcher for the HTTP calls.
SEARCHER_ADDRESS = "127.0.0.1:7152"


def records_of(size: int) -> list[records.Record]:
    """Returns the membership records of a fleet."""
    return [light_endpoints.record_of(index) for index in range(size)]


def measure_records() -> dict[str, typing.Any]:
    """Measures the size of records and heartbeats and the time of a merge."""
    rows = records_of(760)
    view = views.View(rows[0], random.Random(1), 0.0, [])
    frames = messages.encode(
        messages.MembershipRecords("127.40.0.1:7402", rows)
    )
    digest = "0" * 32
    heartbeat = messages.Heartbeat(
        rows[0].address, rows[0].start_id, 2**63, 9, digest
    )
    started_s = time.process_time()
    message = messages.decode(frames)
    membership_handlers.on_records(view, message, 0.0)
    first_s = time.process_time() - started_s
    started_s = time.process_time()
    for _ in range(4):
        membership_handlers.on_records(view, messages.decode(frames), 0.0)
    repeated_s = (time.process_time() - started_s) / 4
    return {
        "bench": "slope-records",
        "record_bytes": round(sum(map(len, frames)) / len(rows), 1),
        "heartbeat_bytes": sum(map(len, messages.encode(heartbeat))),
        "first_us": round(1e6 * first_s / len(rows), 2),
        "again_us": round(1e6 * repeated_s / len(rows), 2),
    }


def create_search(batch: int) -> messages.Search:
    """Returns a search message with one shard for each of some services."""
    parts = [
        messages.ServiceShards(f"service-{index:04}", [f"shard-{index:04}"])
        for index in range(batch)
    ]
    query = b'{"text":"panel 400 W","kind":"price"}'
    return messages.Search(
        "q1",
        "s" * 16,
        "r" * 32,
        "search",
        "v1",
        100.0,
        0,
        HIT_LIMIT,
        query,
        parts,
    )


def create_reply(batch: int) -> messages.SearchReply:
    """Returns the merged answer to a message of `create_search`."""
    outcomes = [
        messages.ShardOutcome(f"shard-{index:04}", "ok")
        for index in range(batch)
    ]
    rows = [
        messages.Hit(1.0 / (index + 1), f"d{index}", "shard-0000", {"p": 1})
        for index in range(HIT_LIMIT)
    ]
    return messages.SearchReply("q1", "s" * 16, "v1", outcomes, rows)


async def measure_bus(batch: int) -> dict[str, typing.Any]:
    """Measures a round trip on the bus, with the time of both ends."""
    relay = bus.open_bus("127.0.0.1:7153")
    entry = bus.open_bus("127.0.0.1:7154")
    answer = create_reply(batch)
    done = asyncio.Event()

    def on_search(sender: bytes, search: messages.Search) -> None:
        relay.reply(sender, answer)

    relay.on(messages.Search, on_search)
    entry.on(messages.SearchReply, lambda sender, _: done.set())
    started_s = 0.0
    for round_number in range(ROUNDS + 50):
        if round_number == 50:
            started_s = time.process_time()
        done.clear()
        entry.send("127.0.0.1:7153", create_search(batch))
        await done.wait()
    elapsed_s = time.process_time() - started_s
    sizes = [
        sum(map(len, messages.encode(m)))
        for m in (create_search(batch), answer)
    ]
    entry.close()
    relay.close()
    return {
        "bench": "slope-bus",
        "batch": batch,
        "round_trip_us": round(1e6 * elapsed_s / ROUNDS, 1),
        "item_us": round(1e6 * elapsed_s / ROUNDS / batch, 2),
        "item_bytes": round(sum(sizes) / batch, 1),
    }


async def measure_http(batch: int) -> dict[str, typing.Any]:
    """Measures the caller's time of one call to a searcher."""
    row = manifest.Searcher("s1", SEARCHER_ADDRESS, "a", 2, 25)
    client = searchers.open_searcher(row, 4, "127.0.0.1")
    items = [
        searcher_port.Item(
            request_id=f"{index:032}",
            start_id="s" * 16,
            snapshot="v1",
            time_left_ms=100.0,
            limit=HIT_LIMIT,
            service=f"service-{index:04}",
            shards=[f"shard-{index:04}"],
            query=msgspec.Raw(b'{"text":"panel 400 W","kind":"price"}'),
        )
        for index in range(batch)
    ]
    started_s = 0.0
    for round_number in range(ROUNDS + 50):
        if round_number == 50:
            started_s = time.process_time()
        results = await client.search(items, 5.0)
        hits.merge(
            [[messages.Hit(**hit) for hit in r["hits"]] for r in results],
            HIT_LIMIT,
        )
    elapsed_s = time.process_time() - started_s
    await client.close()
    return {
        "bench": "slope-http",
        "batch": batch,
        "call_us": round(1e6 * elapsed_s / ROUNDS, 1),
        "item_us": round(1e6 * elapsed_s / ROUNDS / batch, 2),
    }


async def answer_search(request: web.Request) -> web.Response:
    """Responds to a search call like a searcher, without delay."""
    body = msgspec.json.decode(await request.read())
    results = [
        {
            "request_id": item["request_id"],
            "start_id": item["start_id"],
            "status": "ok",
            "snapshot": item["snapshot"],
            "hits": [
                {"score": 0.5, "id": f"d{n}", "shard": item["shards"][0]}
                for n in range(HITS_PER_ITEM)
            ],
            "retry_after_ms": 0,
        }
        for item in body["items"]
    ]
    load = {"busy": 1, "queued": 0, "slots": 2}
    reply = msgspec.json.encode({"results": results, "load": load})
    return web.Response(body=reply, content_type="application/json")


def serve() -> None:
    """Runs the searcher for the HTTP calls."""
    app = web.Application()
    app.router.add_post("/v1/search", answer_search)
    host, _, port = SEARCHER_ADDRESS.partition(":")
    web.run_app(app, host=host, port=int(port), print=None, access_log=None)


async def run() -> None:
    """Makes all measurements and prints the results."""
    for line in (manifest_cost.measure(), measure_records()):
        print(json.dumps(line), flush=True)
    for batch in BATCH_SIZES:
        print(json.dumps(await measure_bus(batch)), flush=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.slopes", "--serve"
    )
    try:
        await asyncio.sleep(1.5)
        for batch in BATCH_SIZES:
            print(json.dumps(await measure_http(batch)), flush=True)
    finally:
        process.terminate()
        await process.wait()


def main() -> None:
    """Runs the measurements, or the searcher with `--serve`."""
    parser = argparse.ArgumentParser(description="Measures single operations.")
    parser.add_argument("--serve", action="store_true")
    args = parser.parse_args()
    logs.configure("error")
    if args.serve:
        serve()
    else:
        asyncio.run(run())


if __name__ == "__main__":
    main()
