"""Soak test: runs gateway processes under random faults and load.

Usage: `python -m bench.soak [--seed N] [--seeds N] [--minutes M]
[--scenario NAME] [--fault NAME] [--lane N] [--regressions]`. Prints one JSON
object for each case and a summary at the end, keeps the logs of failed cases,
and exits with 1 on a violation. Several processes can run in parallel if each
uses its own lane.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing

from bench import faults
from bench import fleet
from bench import promises
from bench import random_faults

__all__ = ["REGRESSIONS", "SHAPES", "Case", "main", "run_case"]

#: Maximum number of violations printed for each promise.
MAX_PRINTED = 3
#: Width of the progress bar, in characters.
BAR_WIDTH = 40
#: Fleet sizes by scenario name.
SHAPES = {
    "direct": fleet.Shape(vms=4, shards=6),
    "owners": fleet.Shape(vms=5, shards=18, connections=6, retry_slack=200),
    "shared": fleet.Shape(vms=18, shards=9, connections=16, retry_slack=200),
    "workspaces": fleet.Shape(
        vms=5,
        shards=9,
        connections=6,
        retry_slack=200,
        workspaces=True,
        warm_up_per_s=4.0,
    ),
    "many": fleet.Shape(vms=60, shards=9, connections=40, retry_slack=200),
}


class Case(typing.NamedTuple):
    """One soak run.

    Attributes:
        seed: Seed of all random choices.
        shape: Name of the fleet size, a key of `SHAPES`.
        faults: Names of the faults to inject; random ones if empty.
    """

    seed: int
    shape: str
    faults: tuple[str, ...] = ()


def create_case(seed: int, shape: str, names: str) -> Case:
    """Returns a case with faults, which are separated by spaces."""
    return Case(seed, shape, tuple(names.split()))


#: Cases that failed in the past; `--regressions` runs them.
REGRESSIONS = (
    # Polling never ended after the store lost its history, and a failed
    # connection left a call hanging.
    create_case(
        3,
        "shared",
        "watchers-forgotten store-forgets kill store-spoils watchers-forgotten"
        " storm",
    ),
    # A popular query was quarantined with one that crashed searchers.
    create_case(5112, "direct", "store-spoils crashing crashing leave limit"),
    # Overlapping restores of the store lost what operators had written again.
    create_case(
        5212,
        "direct",
        "pause limit stop drain restore restore drain pause reshard",
    ),
    # A request that moved to another VM began anew with all attempts, and could
    # be called refused though it had run.
    create_case(
        6106, "direct", "pause stop front-cut pause cut drain stop leave"
    ),
    create_case(
        6105, "owners", "limit stop storm crashing pause crashing front-late"
    ),
    # Failures of searchers with a status below 500 were parts of answers, and a
    # save that had run was answered 408 or 429.
    create_case(1, "owners", "stutter stutter stutter stutter"),
    # With most of 60 VMs cut, too few were asked to find one that was not.
    create_case(7000, "many", "cut stop kill configure"),
    # Abandoned polls did not release their connections.
    create_case(
        107,
        "owners",
        "watchers-forgotten watchers-forgotten storm freeze kill drain"
        " watchers-forgotten reshard kill",
    ),
)


async def run_case(
    case: Case, lane: int, folder: pathlib.Path
) -> dict[str, typing.Any]:
    """Runs one case and returns the JSON object to print for it."""
    rng = random.Random(case.seed)
    started_s = time.monotonic()
    shape = SHAPES[case.shape]._replace(lane=lane)
    async with fleet.open_fleet(shape, folder) as running:
        names, history = await random_faults.SoakRun(
            running, rng, case.faults
        ).run()
    results = promises.check(history)
    broken = {
        name: result.violations
        for name, result in results.items()
        if result.violations
    }
    statuses: collections.Counter[str] = collections.Counter(
        f"{record.kind} {record.status}" for record in history.records
    )
    return {
        "seed": case.seed,
        "scenario": case.shape,
        "faults": names,
        "seconds": round(time.monotonic() - started_s, 1),
        "requests": len(history.records),
        "ends": dict(sorted(statuses.items())),
        "exercised": {
            name: result.exercised for name, result in results.items()
        },
        "violations": {name: len(rows) for name, rows in broken.items()},
        "examples": {n: rows[:MAX_PRINTED] for n, rows in broken.items()},
    }


async def run_all(cases: list[Case], lane: int, minutes: float) -> int:
    """Runs cases one after another and returns the exit code.

    Cases don't run concurrently: the work of a second case in this process
    would delay the callers and searchers of the first.
    """
    stop_at_s = time.monotonic() + minutes * 60
    logs_folder = pathlib.Path("reports") / "soak"
    lines = []
    for case in cases:
        if time.monotonic() > stop_at_s:
            break
        with tempfile.TemporaryDirectory(prefix="laurelrock-") as name:
            folder = pathlib.Path(name)
            line = await run_case(case, lane, folder)
            if line["violations"]:
                target = logs_folder / f"seed-{case.seed}"
                shutil.copytree(folder, target, dirs_exist_ok=True)
        faults.print_json(line)
        lines.append(line)
        show_progress(len(lines), len(cases))
    exercised: collections.Counter[str] = collections.Counter()
    violations: collections.Counter[str] = collections.Counter()
    for line in lines:
        exercised.update(line["exercised"])
        violations.update(line["violations"])
    faults.print_json(
        {
            "seeds": len(lines),
            "failed": [line["seed"] for line in lines if line["violations"]],
            "exercised": dict(exercised),
            "violations": dict(violations),
        }
    )
    return int(bool(violations))


def show_progress(completed: int, total: int) -> None:
    """Draws a progress bar if stderr is a terminal."""
    if sys.stderr.isatty():
        done = round(BAR_WIDTH * completed / total)
        bar = "#" * done + "." * (BAR_WIDTH - done)
        print(f"\r[{bar}] {completed} of {total}", end="", file=sys.stderr)


def main(argv: list[str]) -> int:
    """Runs the soak test from command-line arguments."""
    parser = argparse.ArgumentParser(description="Soaks gateway processes.")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument(
        "--fault",
        action="append",
        default=[],
        help="name of a fault to inject instead of random ones; repeatable",
    )
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument("--scenario", action="append", choices=SHAPES)
    parser.add_argument(
        "--lane", type=int, default=0, help="number of the loopback network"
    )
    options = parser.parse_args(argv[1:])
    seeds = range(options.seed, options.seed + options.seeds)
    shapes = options.scenario or ["direct", "owners"]
    cases = [
        Case(seed, shapes[seed % len(shapes)], tuple(options.fault))
        for seed in seeds
    ]
    if options.regressions:
        cases = list(REGRESSIONS)
    # On SIGTERM, exit normally so that the gateway processes are stopped too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    return asyncio.run(run_all(cases, options.lane, options.minutes))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
