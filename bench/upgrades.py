"""Replaces the gateways of a fleet one after another, by another version.

Usage: `python -m bench.upgrades [--lane N] [--seed N]`. Runs a rolling restart
of the present version, an upgrade from `PREVIOUS` and a rollback to it, and
prints the results as JSON. Exits with 1 if a promise was broken or a message
could not be decoded.
"""

import argparse
import asyncio
import io
import pathlib
import random
import subprocess
import sys
import tarfile
import tempfile
import typing

from bench import faults
from bench import fleet
from bench import promises
from bench import random_faults
from bench import soak_history
from laurelrock.adapters import frames

__all__ = [
    "PREVIOUS",
    "SHAPE",
    "Replacement",
    "dropped_frames",
    "extract",
    "main",
    "replace_all",
    "served_share",
]

#: Commit of the version in service before the present one.
PREVIOUS = "bf9976318a06c941746d2e99f56b9d7442bf5a47"
#: Owners call the searchers, so that VMs send each other all requests.
SHAPE = fleet.Shape(vms=4, shards=4, connections=6, retry_slack=200)


class Replacement(typing.NamedTuple):
    """The code that gateways run before and after they are replaced."""

    before: pathlib.Path
    after: pathlib.Path


class ReplacementRun(random_faults.SoakRun):
    """A soak run whose only fault is that all gateways are replaced.

    Attributes:
        code: Folder of the code of the processes that are started.
    """

    def __init__(
        self, running: fleet.Fleet, rng: random.Random, code: pathlib.Path
    ) -> None:
        super().__init__(running, rng)
        self.code = code

    async def inject_faults(self, spread_s: float) -> list[str]:
        """Replaces one gateway after another, each once the last is ready."""
        del spread_s  # The next one is replaced as soon as possible.
        self.running.shape = self.running.shape._replace(code=self.code)
        for vm in list(self.running.vms.values()):
            started_s = self.loop.time()
            await self.stop(vm)
            self.record_fault("stop", vm.name, started_s, planned=True)
        return ["replace"]


def extract(commit: str, folder: pathlib.Path) -> None:
    """Writes the files of a commit of this repository to a folder.

    Raises:
        OSError: This clone's history doesn't contain the commit.
    """
    found = subprocess.run(
        ["git", "-C", str(fleet.ROOT), "archive", commit],
        capture_output=True,
        check=False,
    )
    if found.returncode:
        raise OSError(
            f"commit {commit} is not in this clone's history, which may be"
            f" shallow (see git fetch --unshallow): {found.stderr.decode()}"
        )
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(folder, filter="data")


async def replace_all(
    shape: fleet.Shape,
    replacement: Replacement,
    seed: int,
    folder: pathlib.Path,
    after_s: float = promises.RECOVERY_S + 1.0,
) -> soak_history.History:
    """Replaces all gateways of a new fleet while callers send requests.

    Args:
        shape: Size of the fleet.
        replacement: Code of the gateways before and after.
        seed: Seed of all random choices.
        folder: Existing folder for the settings and logs.
        after_s: Time of load after the last replacement, in seconds.
    """
    shape = shape._replace(code=replacement.before)
    async with fleet.open_fleet(shape, folder) as running:
        run = ReplacementRun(running, random.Random(seed), replacement.after)
        _, history = await run.run(after_s)
    return history


def served_share(history: soak_history.History) -> float:
    """Returns the share of requests that were answered with status 200.

    Requests whose callers left before the answer don't count.
    """
    rows = [row for row in history.records if not row.caller_left]
    return sum(row.status == 200 for row in rows) / max(1, len(rows))


def dropped_frames(folder: pathlib.Path) -> int:
    """Returns how many frames gateways could not decode, by their logs.

    The first frame of a connection, which tells the sender's version, doesn't
    count.
    """
    lines = [
        line
        for path in folder.glob("*.log")
        for line in path.read_text("utf-8", "replace").splitlines()
        if "frame-undecodable" in line or "frame-kind-unknown" in line
    ]
    return sum(f'"kind":{frames.VERSION_KIND},' not in line for line in lines)


async def run_all(shape: fleet.Shape, seed: int) -> int:
    """Runs and prints all replacements; returns the exit code."""
    broken = False
    with tempfile.TemporaryDirectory(prefix="laurelrock-") as name:
        folder, previous = pathlib.Path(name), pathlib.Path(name) / "previous"
        extract(PREVIOUS, previous)
        for kind, before, after in (
            ("restart", fleet.ROOT, fleet.ROOT),
            ("upgrade", previous, fleet.ROOT),
            ("rollback", fleet.ROOT, previous),
        ):
            logs = folder / kind
            logs.mkdir()  # noqa: ASYNC240
            history = await replace_all(
                shape, Replacement(before, after), seed, logs
            )
            results = promises.check(history)
            violations = {
                key: row.violations[:3]
                for key, row in results.items()
                if row.violations
            }
            broken = broken or bool(violations) or dropped_frames(logs) > 0
            faults.print_json(
                {
                    "kind": kind,
                    "seed": seed,
                    "requests": len(history.records),
                    "served": round(served_share(history), 4),
                    "dropped": dropped_frames(logs),
                    "violations": violations,
                }
            )
    return int(broken)


def main(argv: list[str]) -> int:
    """Runs all replacements from command-line arguments."""
    parser = argparse.ArgumentParser(description="Replaces gateways.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--lane", type=int, default=0, help="number of the loopback network"
    )
    options = parser.parse_args(argv[1:])
    return asyncio.run(run_all(SHAPE._replace(lane=options.lane), options.seed))


if __name__ == "__main__":
    sys.exit(main(sys.argv))
