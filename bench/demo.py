"""Runs a demo deployment under load while its snapshot changes.

Usage: `python -m bench.demo`. Starts the fakes and 9 VMs of Techos del Sol,
sends queries and saves, publishes a repartitioned snapshot under load and
prints a JSON object as its last line. Exits with 1 if an answer was wrong or a
save ran twice.
"""

import asyncio
import sys
import time
import typing

import aiohttp
import msgspec

from bench import cluster
from examples import generate
from fakes import checks
from fakes import load
from laurelrock import document
from laurelrock import manifest

__all__ = ["main"]

#: Duration of the load, in seconds.
SECONDS = 30.0
#: Time from the start at which the second manifest is published, in seconds.
PUBLISH_AT_S = 12.0
#: Applications with the caller's token, queries per second and saves.
TARGETS = [
    load.ApplicationLoad("cotizador", "franchise-tablets-token", 60.0, 60),
    load.ApplicationLoad("portal-franquicia", "franchise-tablets-token", 15.0),
    load.ApplicationLoad("expedientes", "back-office-token", 10.0),
]
SEED = 20261203


class Ledger(typing.NamedTuple):
    """Counts of what the searchers of a deployment ran.

    Attributes:
        search_items: Number of items in the search calls received.
        ran: Number of search items that were run.
        saved: Keys of the saves that were run.
    """

    search_items: int
    ran: int
    saved: list[str]


async def read_ledger(
    running: cluster.Cluster, session: aiohttp.ClientSession
) -> Ledger:
    """Returns the sum of the ledgers of all failure domains."""
    search_items = ran = 0
    saved: list[str] = []
    for domain in running.domains:
        url = f"{running.control_url(domain)}/control/ledger"
        async with session.get(url) as response:
            body = await response.json()
        for row in body["searchers"].values():
            search_items += row.get("asked", 0)
            ran += row.get("ran", 0)
        saved += [row["key"] for row in body["saves"]]
    return Ledger(search_items, ran, saved)


async def publish_snapshot(
    running: cluster.Cluster,
    session: aiohttp.ClientSession,
    second: manifest.Manifest,
) -> None:
    """Makes the searchers load the second snapshot, then publishes it."""
    await asyncio.sleep(PUBLISH_AT_S)
    added = [
        {
            "application": name,
            "snapshot": document.unstructure(application.snapshots[0]),
        }
        for name, application in second.applications.items()
    ]
    for domain in running.domains:
        url = f"{running.control_url(domain)}/control"
        await cluster.post(session, url, {"add": added})
    path = running.folder / "second.json"
    path.write_bytes(manifest.encode(second))
    started_s = time.monotonic()
    await cluster.publish(running, path, "--wait")
    elapsed_s = time.monotonic() - started_s
    print(f"second manifest in force everywhere after {elapsed_s:.2f} s")


def summarize(
    result: load.Result, ledger: Ledger, min_items: int
) -> dict[str, typing.Any]:
    """Returns the JSON object to print as the last line.

    Args:
        result: Result of the load.
        ledger: What the searchers ran.
        min_items: Number of search items that the queries need without
            retries and hedges.
    """
    summary = load.summary(result)
    faults = checks.find_save_violations(result.save_attempts, ledger.saved)
    wrong = summary.get("wrong", 0) + len(faults.denied)
    wrong += len(faults.invented) + len(faults.crossed)
    return {
        "queries": summary["queries"],
        "whole": summary.get("whole", 0),
        "partial": summary.get("partial", 0),
        "refused": summary.get("refused", 0),
        "errors": summary.get("errors", 0),
        "wrong": wrong,
        "saves": summary.get("saves", 0),
        "saves_run_twice": len(faults.run_twice),
        "saves_yes": summary.get("saves_yes", 0),
        "saves_no": summary.get("saves_no", 0),
        "saves_unknown": summary.get("saves_unknown", 0),
        "snapshots": summary["snapshots"],
        "codes": summary["codes"],
        "p50_ms": round(summary["p50_ms"], 1),
        "p99_ms": round(summary["p99_ms"], 1),
        "extra_load": round(ledger.ran / min_items, 4) if min_items else 0.0,
        "examples": summary["examples"],
    }


async def run(log_level: str) -> dict[str, typing.Any]:
    """Runs the demo and returns the JSON object of the last line."""
    first = manifest.decode(cluster.TECHOS.manifest.read_bytes())
    second = generate.repartitioned(first)
    async with (
        aiohttp.ClientSession() as session,
        cluster.open_cluster(cluster.TECHOS, log_level) as running,
    ):
        print(f"{len(running.processes)} processes are ready")
        plan = load.Plan(
            entry_urls=running.entry_urls,
            manifests=[first, second],
            application_loads=TARGETS,
            seconds=SECONDS,
            seed=SEED,
        )
        publishing = asyncio.create_task(
            publish_snapshot(running, session, second)
        )
        result = await load.run(plan)
        await publishing
        ledger = await read_ledger(running, session)
        min_items = sum(
            histogram.get_total_count() * len(first.applications[name].services)
            for name, histogram in result.latency_us.items()
        )
        return summarize(result, ledger, min_items)


def main(argv: list[str]) -> int:
    """Runs the demo; the first argument is the log level of the daemons."""
    level = argv[1] if len(argv) > 1 else "warning"
    summary = asyncio.run(run(level))
    print(msgspec.json.encode(summary).decode())
    return 1 if summary["wrong"] or summary["saves_run_twice"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
