"""Slopes: processor time and bytes of single steps, for docs/CAPACITY.md.

Usage: `python -m bench.slopes`. Prints one JSON object a line. Times are this
process's own; the searcher that the HTTP calls reach is another process.
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

from bench import light
from bench import manifests
from laurelrock import manifest
from laurelrock import messages
from laurelrock.adapters import bus
from laurelrock.adapters import logs
from laurelrock.adapters import searcher as searchers
from laurelrock.core import exchange
from laurelrock.core import hits
from laurelrock.core import records
from laurelrock.core import view as views
from laurelrock.ports import searcher as searcher_port

__all__ = ["main"]

#: Sub-queries that travel in one message or call.
BATCHES = (1, 28)

#: Hits of each sub-query and of a merged answer.
HITS = 3
LIMIT = 10

#: Rounds of each measurement.
ROUNDS = 400

#: Searcher of the HTTP calls.
SEARCHER = "127.0.0.1:7152"


def records_of(size: int) -> list[records.Record]:
    """Returns the records of a fleet."""
    return [light.record_of(index) for index in range(size)]


def measure_records() -> dict[str, typing.Any]:
    """Returns bytes and time of one membership record and one heartbeat."""
    rows = records_of(760)
    view = views.View(rows[0], random.Random(1), 0.0, [])
    frames = messages.encode(messages.Records("127.40.0.1:7402", rows))
    digest = "0" * 32
    beat = messages.Heartbeat(
        rows[0].address, rows[0].start_id, 2**63, 9, digest
    )
    began_s = time.process_time()
    message = messages.decode(frames)
    exchange.on_records(view, message, 0.0)
    merged_s = time.process_time() - began_s
    began_s = time.process_time()
    for _ in range(4):
        exchange.on_records(view, messages.decode(frames), 0.0)
    again_s = (time.process_time() - began_s) / 4
    return {
        "bench": "slope-records",
        "record_bytes": round(sum(map(len, frames)) / len(rows), 1),
        "heartbeat_bytes": sum(map(len, messages.encode(beat))),
        "first_us": round(1e6 * merged_s / len(rows), 2),
        "again_us": round(1e6 * again_s / len(rows), 2),
    }


def search_of(batch: int) -> messages.Search:
    """Returns a question for some shards."""
    parts = [
        messages.Part(f"service-{index:04}", [f"shard-{index:04}"])
        for index in range(batch)
    ]
    query = b'{"text":"panel 400 W","kind":"price"}'
    return messages.Search(
        "q1", "s" * 16, "r" * 32, "search", "v1", 100.0, 0, LIMIT, query, parts
    )


def reply_of(batch: int) -> messages.SearchReply:
    """Returns the merged answer to `search_of`."""
    outcomes = [
        messages.ShardOutcome(f"shard-{index:04}", "ok")
        for index in range(batch)
    ]
    rows = [
        messages.Hit(1.0 / (index + 1), f"d{index}", "shard-0000", {"p": 1})
        for index in range(LIMIT)
    ]
    return messages.SearchReply("q1", "s" * 16, "v1", outcomes, rows)


async def measure_bus(batch: int) -> dict[str, typing.Any]:
    """Returns the time of one round trip on the bus, both ends."""
    relay = bus.open_bus("127.0.0.1:7153")
    entry = bus.open_bus("127.0.0.1:7154")
    answer = reply_of(batch)
    done = asyncio.Event()

    def on_search(sender: bytes, search: messages.Search) -> None:
        relay.reply(sender, answer)

    relay.on(messages.Search, on_search)
    entry.on(messages.SearchReply, lambda sender, _: done.set())
    began_s = 0.0
    for round_number in range(ROUNDS + 50):
        if round_number == 50:
            began_s = time.process_time()
        done.clear()
        entry.send("127.0.0.1:7153", search_of(batch))
        await done.wait()
    took_s = time.process_time() - began_s
    sizes = [
        sum(map(len, messages.encode(m))) for m in (search_of(batch), answer)
    ]
    entry.close()
    relay.close()
    return {
        "bench": "slope-bus",
        "batch": batch,
        "round_trip_us": round(1e6 * took_s / ROUNDS, 1),
        "item_us": round(1e6 * took_s / ROUNDS / batch, 2),
        "item_bytes": round(sum(sizes) / batch, 1),
    }


async def measure_http(batch: int) -> dict[str, typing.Any]:
    """Returns the time of one call to a searcher, the caller's end."""
    row = manifest.Searcher("s1", SEARCHER, "a", 2, 25)
    client = searchers.open_searcher(row, 4, "127.0.0.1")
    items = [
        searcher_port.Item(
            request_id=f"{index:032}",
            start_id="s" * 16,
            snapshot="v1",
            time_left_ms=100.0,
            limit=LIMIT,
            service=f"service-{index:04}",
            shards=[f"shard-{index:04}"],
            query=msgspec.Raw(b'{"text":"panel 400 W","kind":"price"}'),
        )
        for index in range(batch)
    ]
    began_s = 0.0
    for round_number in range(ROUNDS + 50):
        if round_number == 50:
            began_s = time.process_time()
        results = await client.search(items, 5.0)
        hits.merge(
            [[messages.Hit(**hit) for hit in r["hits"]] for r in results], LIMIT
        )
    took_s = time.process_time() - began_s
    await client.close()
    return {
        "bench": "slope-http",
        "batch": batch,
        "call_us": round(1e6 * took_s / ROUNDS, 1),
        "item_us": round(1e6 * took_s / ROUNDS / batch, 2),
    }


async def answer_search(request: web.Request) -> web.Response:
    """Answers as a searcher does, at once."""
    body = msgspec.json.decode(await request.read())
    results = [
        {
            "request_id": item["request_id"],
            "start_id": item["start_id"],
            "status": "ok",
            "snapshot": item["snapshot"],
            "hits": [
                {"score": 0.5, "id": f"d{n}", "shard": item["shards"][0]}
                for n in range(HITS)
            ],
            "retry_after_ms": 0,
        }
        for item in body["items"]
    ]
    load = {"busy": 1, "queued": 0, "slots": 2}
    reply = msgspec.json.encode({"results": results, "load": load})
    return web.Response(body=reply, content_type="application/json")


def serve() -> None:
    """Runs the searcher of the HTTP calls."""
    app = web.Application()
    app.router.add_post("/v1/search", answer_search)
    host, _, port = SEARCHER.partition(":")
    web.run_app(app, host=host, port=int(port), print=None, access_log=None)


async def run() -> None:
    """Makes all measurements."""
    for line in (manifests.measure(), measure_records()):
        print(json.dumps(line), flush=True)
    for batch in BATCHES:
        print(json.dumps(await measure_bus(batch)), flush=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.slopes", "--serve"
    )
    try:
        await asyncio.sleep(1.5)
        for batch in BATCHES:
            print(json.dumps(await measure_http(batch)), flush=True)
    finally:
        process.terminate()
        await process.wait()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Slopes of single steps.")
    parser.add_argument("--serve", action="store_true")
    args = parser.parse_args()
    logs.configure("error")
    if args.serve:
        serve()
    else:
        asyncio.run(run())


if __name__ == "__main__":
    main()
