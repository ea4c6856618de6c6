"""Measures latency, coverage and extra load of policy variants.

Usage: `python -m bench.policy [--long] [--only EXPERIMENT]`. Runs the variants
one after another and prints one JSON object for each. Compare variants only
within the same run.
"""

import argparse
import asyncio
import collections.abc
import contextlib
import os
import pathlib
import sys
import tempfile
import time
import typing

import aiohttp
import msgspec

from bench import baseline
from bench import cluster
from fakes import load
from laurelrock import manifest

__all__ = ["main"]

SEED = 20261203
TOKEN = "franchise-tablets-token"
#: Lane of the benchmark's deployment; see `cluster.create_lane`.
LANE = 9
#: Applications of the highest and the second-highest priority class.
TOP_APPLICATION = "cotizador"
SECOND_APPLICATION = "portal-franquicia"
#: Time of load before the first measurement of a cluster, in seconds.
WARM_UP_S = 3.0
#: Mean call time of the searchers, in milliseconds.
CALL_TIME_MS = 32.0
#: Queries per second that the searchers of one service can run: two searchers
#: with two slots each.
CAPACITY_QPS = 4 / (CALL_TIME_MS / 1000)
#: Mean call time, in milliseconds, and capacity in queries per second of the
#: searchers in the overload experiments.
OVERLOAD_CALL_TIME_MS = 64.0
OVERLOAD_QPS = 4 / (OVERLOAD_CALL_TIME_MS / 1000)
#: Time between a change of the searchers and the next measurement, in seconds.
SETTLE_S = 2.0
#: Clock ticks per second of the processor times in /proc.
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

Setup = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Usage(typing.NamedTuple):
    """Values of the counters at one time.

    Attributes:
        ran: Number of sub-queries that the searchers ran.
        cpu_s: Processor time of the entries and relays, in seconds.
        busy_s: Processor time of the whole machine, in seconds.
        stolen_s: Steal time of the machine, which its host gave to others, in
            seconds.
    """

    ran: int
    cpu_s: float
    busy_s: float
    stolen_s: float

    def since(self, before: "Usage") -> "Usage":
        """Returns the difference to the counters at an earlier time."""
        return Usage(
            self.ran - before.ran,
            self.cpu_s - before.cpu_s,
            self.busy_s - before.busy_s,
            self.stolen_s - before.stolen_s,
        )


class Benchmark:
    """Runs measurements on one cluster.

    Attributes:
        running: Processes of the cluster.
        session: HTTP client for the control endpoints.
        source: Manifest in force.
        scale: Factor for the durations of the measurements.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        session: aiohttp.ClientSession,
        scale: float,
    ) -> None:
        self.running = running
        self.session = session
        self.scale = scale
        path = running.deployment.manifest
        self.source = manifest.decode(path.read_bytes())

    async def control(self, body: dict[str, typing.Any]) -> None:
        """Sends a change to the searchers of every failure domain.

        If the change names searchers, each domain gets only its own.
        """
        named = body.get("searchers")
        for domain in self.running.domains:
            change = dict(body)
            if named is not None:
                local_ids = self.searchers_of(domain)
                change["searchers"] = [
                    name for name in named if name in local_ids
                ]
            url = f"{self.running.control_url(domain)}/control"
            await cluster.post(self.session, url, change)

    def searchers_of(self, domain: str) -> set[str]:
        """Returns the ids of the searchers in a failure domain."""
        return {
            row.id
            for application in self.source.applications.values()
            for rows in application.services.values()
            for row in rows
            if row.failure_domain == domain
        }

    async def usage(self) -> Usage:
        """Returns the current values of the counters."""
        ran = 0
        for domain in self.running.domains:
            url = f"{self.running.control_url(domain)}/control/ledger"
            async with self.session.get(url) as response:
                body = await response.json()
            ran += sum(row.get("ran", 0) for row in body["searchers"].values())
        cpu_s = sum(
            process_cpu_s(process.pid)
            for name, process in self.running.processes.items()
            if name.startswith(("entry-", "relay-"))
        )
        return Usage(ran, cpu_s, *machine_cpu_s())

    async def measure(
        self,
        experiment: str,
        variant: str,
        rates: dict[str, float],
        seconds: float,
        **more: typing.Any,
    ) -> None:
        """Runs load on a variant and prints its JSON object.

        Args:
            experiment: Name of the experiment.
            variant: Name of the variant.
            rates: Queries per second by application.
            seconds: Duration of the load.
            **more: Additional fields of the JSON object.
        """
        plan = load.Plan(
            entry_urls=self.running.entry_urls,
            manifests=[self.source],
            application_loads=[
                load.ApplicationLoad(name, TOKEN, rate)
                for name, rate in rates.items()
            ],
            seconds=seconds,
            seed=SEED,
        )
        before = await self.usage()
        result = await load.run(plan)
        after = await self.usage()
        used = after.since(before)
        row = {
            "experiment": experiment,
            "variant": variant,
            "offered_qps": sum(rates.values()),
            "seed": SEED,
            **format_results(result, used, seconds),
            **more,
        }
        print(msgspec.json.encode(row).decode(), flush=True)


def format_results(
    result: load.Result, used: Usage, seconds: float
) -> dict[str, typing.Any]:
    """Returns the measured fields of the JSON object of one variant."""
    summary = load.summary(result)
    counts = result.counts
    shards = counts["shards"]
    missing = counts["shards_missing"]
    covered = shards - missing
    refusals = result.refusal_latency_us
    by_application = {
        name: round(row["p99_ms"], 1)
        for name, row in summary["applications"].items()
    }
    return {
        "p50_ms": round(summary["p50_ms"], 1),
        "p99_ms": round(summary["p99_ms"], 1),
        "p999_ms": round(summary["p999_ms"], 1),
        "coverage": round(covered / shards, 5) if shards else 0.0,
        "goodput_qps": round(counts["whole"] / seconds, 1),
        "refused": counts["refused"],
        "extra_load": round(used.ran / covered, 4) if covered else 0.0,
        "cpu_us_per_subquery": (
            round(used.cpu_s / shards * 1e6, 1) if shards else 0.0
        ),
        "machine_cores_busy": round(used.busy_s / seconds, 2),
        "machine_cores_stolen": round(used.stolen_s / seconds, 2),
        "queries": counts["queries"],
        "partial": counts["partial"],
        "wrong": counts["wrong"],
        "errors": counts["errors"],
        "refusal_p99_ms": round(load.percentile_ms(refusals, 99), 1),
        "p99_ms_by_application": by_application,
        "codes": summary["codes"],
    }


def process_cpu_s(pid: int) -> float:
    """Returns the processor time of a process in seconds; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def machine_cpu_s() -> tuple[float, float]:
    """Returns the machine's busy time and steal time, in seconds."""
    text = pathlib.Path("/proc/stat").read_text(encoding="utf-8")
    ticks = [int(field) for field in text.splitlines()[0].split()[1:9]]
    user, nice, system, _, _, irq, softirq, stolen = ticks
    busy = user + nice + system + irq + softirq
    return busy / TICKS_PER_S, stolen / TICKS_PER_S


@contextlib.asynccontextmanager
async def open_benchmark(
    scale: float, **policy: str
) -> collections.abc.AsyncIterator[Benchmark]:
    """Starts a cluster with the given settings in the section `policy`."""
    lines = [f"{name} = {value}" for name, value in policy.items()]
    extra_settings = "\n".join(["", "[policy]", *lines, ""])
    async with contextlib.AsyncExitStack() as stack:
        folder = tempfile.TemporaryDirectory(prefix="laurelrock-")
        lane = cluster.create_lane(
            pathlib.Path(stack.enter_context(folder)), LANE
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        running = await stack.enter_async_context(
            cluster.open_cluster(lane, "info", extra_settings)
        )
        bench = Benchmark(running, session, scale)
        await bench.control({"behaviour": {"mean_ms": CALL_TIME_MS}})
        plan = load.Plan(
            entry_urls=running.entry_urls,
            manifests=[bench.source],
            application_loads=[
                load.ApplicationLoad(TOP_APPLICATION, TOKEN, 0.3 * CAPACITY_QPS)
            ],
            seconds=WARM_UP_S,
            seed=SEED + 1,
        )
        await load.run(plan)
        yield bench


async def stragglers(scale: float) -> None:
    """Measures slow calls with hedges, without, and with the simplest policy.

    The simplest policy places calls at random, has first-in-first-out queues,
    and neither hedges nor admission control.
    """
    variants = {
        "hedge": {},
        "no-hedge": {"hedge_percent": "0"},
        "random-fifo": {
            "choice": "random",
            "order": "fifo",
            "hedge_percent": "0",
            "admission": "off",
        },
    }
    for name, policy in variants.items():
        async with open_benchmark(scale, **policy) as bench:
            for fraction in (0.0, 0.01):
                change = {"straggler_fraction": fraction}
                await bench.control({"behaviour": change})
                await asyncio.sleep(SETTLE_S)
                await bench.measure(
                    "stragglers",
                    f"{name}, {fraction:.0%} slow",
                    {TOP_APPLICATION: 0.3 * CAPACITY_QPS},
                    12 * scale,
                )


async def kill(scale: float) -> None:
    """Measures the failure and the return of one searcher of each service."""
    async with open_benchmark(scale) as bench:
        services = bench.source.applications[TOP_APPLICATION].services
        names = [rows[0].id for rows in services.values()]
        rates = {TOP_APPLICATION: 0.25 * CAPACITY_QPS}
        await bench.measure("searchers-killed", "before", rates, 8 * scale)
        await bench.control(
            {"searchers": names, "behaviour": {"fault": "crash"}}
        )
        for variant, seconds in (
            ("0 s to 2 s", 2.0),
            ("2 s to 5 s", 3.0),
            ("after 5 s", 8 * scale),
        ):
            await bench.measure("searchers-killed", variant, rates, seconds)
        await bench.control(
            {"searchers": names, "behaviour": {"fault": "none"}}
        )
        await asyncio.sleep(10)
        await bench.measure("searchers-killed", "back", rates, 8 * scale)


async def overload(scale: float) -> None:
    """Measures load of up to twice the capacity of the searchers."""
    for name in ("adaptive", "off"):
        async with open_benchmark(scale, admission=name) as bench:
            await bench.control(
                {"behaviour": {"mean_ms": OVERLOAD_CALL_TIME_MS}}
            )
            for factor in (0.5, 0.8, 2.0):
                await bench.measure(
                    "overload",
                    f"admission {name}, {factor:g} of capacity",
                    {TOP_APPLICATION: factor * OVERLOAD_QPS},
                    10 * scale,
                    deadline_ms=1000.0,
                )
            if name == "adaptive":
                await overload_lower_class(bench, scale)


async def overload_lower_class(bench: Benchmark, scale: float) -> None:
    """Measures the top class alone, then with an overloaded lower class."""
    await bench.control({"behaviour": {"mean_ms": OVERLOAD_CALL_TIME_MS}})
    await asyncio.sleep(SETTLE_S)
    rates_qps = {TOP_APPLICATION: 0.3 * OVERLOAD_QPS}
    await bench.measure("classes", "top class alone", rates_qps, 8 * scale)
    rates_qps[SECOND_APPLICATION] = 2.0 * OVERLOAD_QPS
    await bench.measure("classes", "beside overload", rates_qps, 8 * scale)


async def processor(scale: float) -> None:
    """Measures the processor time of bare HTTP calls and of the daemons."""
    async with open_benchmark(scale) as bench:
        spec = next(
            iter(bench.source.applications[TOP_APPLICATION].services.values())
        )[0]
        version = (
            bench.source.applications[TOP_APPLICATION].snapshots[0].version
        )
        cpu_us = await baseline.cpu_us_per_call(spec, version, 3 * scale)
        row = {
            "experiment": "processor",
            "variant": "one aiohttp call",
            "cpu_us_per_subquery": round(cpu_us, 1),
        }
        print(msgspec.json.encode(row).decode(), flush=True)
        before = await bench.usage()
        await asyncio.sleep(3)
        idle = (await bench.usage()).since(before).cpu_s / 3
        for part in (0.1, 0.3):
            rate = part * CAPACITY_QPS
            await bench.measure(
                "processor",
                f"entry and relay at {rate:g}/s",
                {TOP_APPLICATION: rate},
                8 * scale,
                idle_cores=round(idle, 3),
            )


EXPERIMENTS = {
    "stragglers": stragglers,
    "kill": kill,
    "overload": overload,
    "processor": processor,
}


async def run(names: list[str], scale: float) -> None:
    """Runs experiments one after another."""
    for name in names:
        await EXPERIMENTS[name](scale)


def main() -> int:
    """Runs the experiments that command-line arguments select."""
    parser = argparse.ArgumentParser(description="Measures policy variants.")
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--only", choices=sorted(EXPERIMENTS))
    args = parser.parse_args()
    started_s = time.monotonic()
    names = [args.only] if args.only else list(EXPERIMENTS)
    asyncio.run(run(names, 4.0 if args.long else 1.0))
    elapsed_s = time.monotonic() - started_s
    print(f"{elapsed_s:.0f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
