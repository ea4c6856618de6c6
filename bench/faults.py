"""Runs fault scenarios on real processes and checks the promises.

Usage: `python -m bench.faults [--only NAME] [--pairs N] [--lanes N]
[--seed N]`. Prints one JSON object for each scenario and a summary at the end;
exits with 1 on a violation. `--only` may be given several times.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import typing

import aiohttp
import msgspec

from bench import checker
from bench import cluster
from bench import scenarios
from fakes import checks
from fakes import load
from laurelrock import manifest

__all__ = ["main", "run_scenario"]

#: Time of load before the first event, in seconds.
BEFORE_S = 1.5
#: Time of load after the last event has started, in seconds.
AFTER_S = 6.0
#: Time between the starts of two events, in seconds.
BETWEEN_S = 1.0
#: Maximum number of violations printed for each promise, and of kinds of
#: failures for each scenario.
MAX_PRINTED = 3
#: Number of hits that each search asks for.
HIT_LIMIT = 10
#: Applications with the caller's token, queries per second and saves.
TARGETS = [
    load.ApplicationLoad("cotizador", "franchise-tablets-token", 25.0, 40),
    load.ApplicationLoad("expedientes", "back-office-token", 10.0),
]


class Scenario(typing.NamedTuple):
    """Events to run one after another, and the seed of the run."""

    events: list[str]
    seed: int

    @property
    def name(self) -> str:
        return "+".join(self.events)


def create_scenarios(seed: int, pairs: int) -> list[Scenario]:
    """Returns the scenarios of a full run.

    These are each event alone, random pairs of events, and some events twice.
    """
    names = [name for name in scenarios.EVENTS if name != "none"]
    rng = random.Random(seed)
    listed = [Scenario([name], seed) for name in scenarios.EVENTS]
    for index in range(pairs):
        pair = rng.sample(names, 2)
        listed.append(Scenario(pair, seed + index + 1))
    for name in ("kill-relay", "freeze-vm", "platform-outage"):
        listed.append(Scenario([name, name], seed))
    return listed


async def run_scenario(
    scenario: Scenario, deployment: cluster.Deployment
) -> checker.History:
    """Runs a scenario on a new deployment and returns its history."""
    first = manifest.decode(deployment.manifest.read_bytes())
    known = [first, scenarios.generate.repartitioned(first)]
    async with (
        aiohttp.ClientSession() as session,
        cluster.open_cluster(deployment) as running,
    ):
        run = scenarios.Run(running, session, first, scenario.seed)
        plan = load.Plan(
            entry_urls=running.entry_urls,
            manifests=known,
            application_loads=TARGETS,
            seconds=BEFORE_S + BETWEEN_S * len(scenario.events) + AFTER_S,
            seed=scenario.seed,
            limit=HIT_LIMIT,
            ready_urls={
                url: url.replace(":8080", ":9401") + "/readyz"
                for url in running.entry_urls
            },
            keep_records=True,
        )
        events = asyncio.create_task(inject_events(run, scenario))
        result = await load.run(plan)
        await events
        return await collect_history(run, result, known)


async def inject_events(run: scenarios.Run, scenario: Scenario) -> None:
    """Starts the events at fixed intervals and waits until all have ended."""
    await asyncio.sleep(BEFORE_S)
    tasks: list[asyncio.Task[None]] = []
    for name in scenario.events:
        tasks.append(asyncio.create_task(scenarios.EVENTS[name](run)))
        await asyncio.sleep(BETWEEN_S)
    await asyncio.gather(*tasks)


async def collect_history(
    run: scenarios.Run, result: load.Result, known: list[manifest.Manifest]
) -> checker.History:
    """Combines the callers' records with the searchers' ledgers."""
    saved: list[str] = []
    ran_ids: set[str] = set()
    late = leaving = 0
    for domain in run.running.domains:
        ledger = await scenarios.read_ledger(run, domain)
        saved += [row["key"] for row in ledger["saves"]]
        ran_ids |= set(ledger["ran_ids"])
        for counts in ledger["searchers"].values():
            late += counts.get("late", 0)
            leaving += counts.get("leaving", 0)
    return checker.History(
        records=result.records,
        shards=checks.map_shard_ids(known),
        limit=HIT_LIMIT,
        outcomes=result.save_attempts,
        saved=saved,
        ran_ids=ran_ids,
        late=late,
        leaving=leaving,
        shutdowns=run.shutdowns,
        publications=run.publications,
    )


def summarize(
    scenario: Scenario, history: checker.History
) -> dict[str, typing.Any]:
    """Returns the JSON object to print for one scenario."""
    searches = [r for r in history.records if r.kind == "search"]
    answered = [r for r in searches if r.status == 200]
    partial = [r for r in answered if r.response["partial"]]
    results = checker.check(history)
    failures = collections.Counter(
        f"{r.kind}: {r.error or r.response['code']}"
        for r in history.records
        if r.status != 200
    )
    return {
        "scenario": scenario.name,
        "seed": scenario.seed,
        "operations": len(history.records),
        "whole": len(answered) - len(partial),
        "partial": len(partial),
        "refused": sum(r.status not in (0, 200) for r in searches),
        "unanswered": sum(r.status == 0 for r in history.records),
        "failures": dict(failures.most_common(MAX_PRINTED)),
        "missing": dict(
            collections.Counter(
                row["reason"]
                for record in partial
                for row in record.response["coverage"]["missing"]
            )
        ),
        "promises": {
            name: {
                "exercised": result.exercised,
                "violations": len(result.violations),
            }
            for name, result in results.items()
        },
        "examples": {
            name: result.violations[:MAX_PRINTED]
            for name, result in results.items()
            if result.violations
        },
    }


def print_json(value: typing.Any) -> None:
    """Prints a value as one line of JSON."""
    print(msgspec.json.encode(value).decode(), flush=True)


async def run_lane(
    waiting: list[Scenario],
    deployment: cluster.Deployment,
    totals: dict[str, dict[str, int]],
) -> None:
    """Runs waiting scenarios one after another and adds to the totals."""
    while waiting:
        scenario = waiting.pop(0)
        history = await run_scenario(scenario, deployment)
        summary = summarize(scenario, history)
        print_json(summary)
        for name, row in summary["promises"].items():
            for kind, number in row.items():
                totals[name][kind] += number


async def run_all(listed: list[Scenario], lanes: int) -> int:
    """Runs scenarios in parallel lanes and returns the exit code."""
    totals = {
        name: {"exercised": 0, "violations": 0} for name in checker.PROMISES
    }
    waiting = list(listed)
    with tempfile.TemporaryDirectory(prefix="laurelrock-") as folder:
        await asyncio.gather(
            *(
                run_lane(
                    waiting,
                    cluster.create_lane(pathlib.Path(folder), index),
                    totals,
                )
                for index in range(lanes)
            )
        )
    print_json({"scenarios": len(listed), "promises": totals})
    return int(any(row["violations"] for row in totals.values()))


def main(argv: list[str]) -> int:
    """Runs the scenarios that command-line arguments select."""
    parser = argparse.ArgumentParser(
        description="Runs fault scenarios on processes."
    )
    parser.add_argument("--only", action="append", choices=scenarios.EVENTS)
    parser.add_argument("--pairs", type=int, default=6)
    parser.add_argument("--lanes", type=int, default=2)
    parser.add_argument("--seed", type=int, default=20261203)
    arguments = parser.parse_args(argv[1:])
    if arguments.only:
        listed = [Scenario([name], arguments.seed) for name in arguments.only]
    else:
        listed = create_scenarios(arguments.seed, arguments.pairs)
    return asyncio.run(run_all(listed, arguments.lanes))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
