"""Soak: gateway processes under random faults, checked from outside.

Usage: `python -m bench.soak [--seed N] [--seeds N] [--minutes M]
[--scenario NAME] [--lane N] [--regressions]`. Prints one JSON object a case and
one in all; keeps the logs of a case that failed; exits 1 on a violation.
Several processes can run side by side, each with a lane of its own.
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
from bench import trouble

__all__ = ["REGRESSIONS", "SHAPES", "Case", "main", "run_case"]

#: Violations that are printed of each promise.
MAX_PRINTED = 3
#: Width of the progress bar, in characters.
BAR = 40
SHAPES = {
    "direct": fleet.Shape(vms=4, shards=6),
    "owners": fleet.Shape(vms=5, shards=18, connections=6, allowance=200),
    "shared": fleet.Shape(vms=18, shards=9, connections=16, allowance=200),
}


class Case(typing.NamedTuple):
    """What is played.

    Attributes:
        seed: Of all that is drawn.
        shape: Name of the fleet's shape.
        faults: Instead of drawn ones.
    """

    seed: int
    shape: str
    faults: tuple[str, ...] = ()


#: Cases that failed once, played before new ones.
REGRESSIONS = (
    # Polls after a lost history never ended; a failed connection hung a call.
    Case(
        3,
        "shared",
        (
            *("watchers-forgotten", "store-forgets", "kill"),
            *("store-spoils", "watchers-forgotten", "storm"),
        ),
    ),
    # Polls that were given up kept their connections.
    Case(
        107,
        "owners",
        (
            *("watchers-forgotten", "watchers-forgotten", "storm"),
            *("freeze", "kill", "drain", "watchers-forgotten"),
            *("reshard", "kill"),
        ),
    ),
)


async def run_case(
    case: Case, lane: int, folder: pathlib.Path
) -> dict[str, typing.Any]:
    """Plays one case; returns its line."""
    chosen = random.Random(case.seed)
    begun_s = time.monotonic()
    shape = SHAPES[case.shape]._replace(lane=lane)
    async with fleet.open_fleet(shape, folder) as running:
        names, history = await trouble.Soak(running, chosen, case.faults).run()
    verdicts = promises.check(history)
    statuses: collections.Counter[str] = collections.Counter(
        f"{row.kind} {row.status}" for row in history.records
    )
    return {
        "seed": case.seed,
        "scenario": case.shape,
        "faults": names,
        "seconds": round(time.monotonic() - begun_s, 1),
        "requests": len(history.records),
        "ends": dict(sorted(statuses.items())),
        "exercised": {name: v.exercised for name, v in verdicts.items()},
        "violations": {
            name: len(v.violations)
            for name, v in verdicts.items()
            if v.violations
        },
        "examples": {
            name: v.violations[:MAX_PRINTED]
            for name, v in verdicts.items()
            if v.violations
        },
    }


async def run_all(cases: list[Case], lane: int, minutes: float) -> int:
    """Plays cases one after another; returns the exit code.

    Only one at a time: what a second one does in this process would delay
    callers and searchers of the first.
    """
    until_s = time.monotonic() + minutes * 60
    kept = pathlib.Path("reports") / "soak"
    lines = []
    for case in cases:
        if time.monotonic() > until_s:
            break
        with tempfile.TemporaryDirectory(prefix="laurelrock-") as name:
            folder = pathlib.Path(name)
            line = await run_case(case, lane, folder)
            if line["violations"]:
                target = kept / f"seed-{case.seed}"
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
            "failed": [row["seed"] for row in lines if row["violations"]],
            "exercised": dict(exercised),
            "violations": dict(violations),
        }
    )
    return int(bool(violations))


def show_progress(played: int, cases: int) -> None:
    """Draws a bar on a terminal; elsewhere nothing."""
    if sys.stderr.isatty():
        done = round(BAR * played / cases)
        bar = "#" * done + "." * (BAR - done)
        print(f"\r[{bar}] {played} of {cases}", end="", file=sys.stderr)


def main(argv: list[str]) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Soak of gateway processes.")
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument("--scenario", action="append", choices=SHAPES)
    parser.add_argument(
        "--lane", type=int, default=0, help="loopback network of this process"
    )
    options = parser.parse_args(argv[1:])
    seeds = range(options.seed, options.seed + options.seeds)
    shapes = options.scenario or ["direct", "owners"]
    cases = [Case(seed, shapes[seed % len(shapes)]) for seed in seeds]
    if options.regressions:
        cases = list(REGRESSIONS)
    # Processes are ended however this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    return asyncio.run(run_all(cases, options.lane, options.minutes))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
