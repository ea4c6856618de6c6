"""Measures what membership and configuration cost one daemon.

Usage: `python -m bench.control [SIZE ...]`. For each size of the fleet, runs
one real daemon among light endpoints that use the same protocol, and prints
one JSON object: the daemon's processor time, bytes, memory and platform calls
when idle, the time until a manifest is in force everywhere, and the time until
all members know that one has died.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from bench import light_endpoints
from bench import manifest_cost
from fakes import platform as fake_platform
from fakes import simulated_fleet
from laurelrock import head as heads
from laurelrock import manifest
from laurelrock.core import distribution

__all__ = ["main"]

#: Default sizes of the fleet, in daemons.
SIZES = (9, 50, 200, 400, 760)

#: Number of members in one process of light endpoints.
MEMBERS_PER_PROCESS = 95

#: Duration of the measurement of the idle daemon, in seconds.
QUIET_S = 10.0

#: Duration of a partition before a manifest is published, in seconds.
PARTITION_S = 6.0

#: Maximum time for the fleet to join, and for each outcome, in seconds.
JOIN_TIMEOUT_S = 40.0
OUTCOME_TIMEOUT_S = 20.0

#: Size of the IP and TCP headers of one segment, in bytes.
HEADER_BYTES = 52

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: Address of the fake platform.
PLATFORM = "127.0.0.1:7151"

#: Port of the real daemon's admin endpoint.
ADMIN_PORT = 9452

#: Template of the real daemon's settings file.
SETTINGS = """\
[vm]
name = e0
address = {address}
failure_domain = a
region = r1

[platform]
url = http://{platform}

[relay]
bus_port = {port}
admin_port = {admin}
shutdown_notice_ms = 100

[log]
level = error
"""


class Usage(typing.NamedTuple):
    """Resources that a process has used.

    Attributes:
        cpu_s: User and system processor time, in seconds.
        rss_mb: Resident memory, in MiB.
    """

    cpu_s: float
    rss_mb: float


class Traffic:
    """Counts the bytes and segments of the real daemon's connections.

    Traffic of a connection after the last sample before it closes is not
    counted.

    Attributes:
        last_counts: Bytes and segments of each open connection at the last
            sample.
        total_bytes: Payload exchanged with daemons and platform, in bytes.
        segments: Number of TCP segments sent and received.
    """

    def __init__(self) -> None:
        self.last_counts: dict[str, tuple[int, int]] = {}
        self.total_bytes = 0
        self.segments = 0

    def sample(self) -> None:
        """Adds the traffic since the last sample to the totals."""
        source = (
            f"( src {light_endpoints.address_of(0)}"
            f" and sport != :{ADMIN_PORT} )"
        )
        listing = subprocess.run(
            ["ss", "-tinH", source], capture_output=True, text=True, check=True
        ).stdout
        lines = listing.splitlines()
        counts = {}
        for head, detail in zip(lines[::2], lines[1::2], strict=False):
            name = " ".join(head.split()[3:5])
            payload_bytes = _sum(r"bytes_(?:sent|received):(\d+)", detail)
            segments = _sum(r" segs_(?:out|in):(\d+)", detail)
            previous = self.last_counts.get(name, (0, 0))
            self.total_bytes += max(0, payload_bytes - previous[0])
            self.segments += max(0, segments - previous[1])
            counts[name] = (payload_bytes, segments)
        self.last_counts = counts


class FleetRun:
    """A running fleet of one size.

    Attributes:
        size: Number of daemons, including the real one.
        daemon: Process of the real daemon; None before the start.
        light_processes: Processes of the light endpoints.
        platform: Fake platform in this process.
        generation: Last generation that was committed.
        read_counts: Number of reads from the platform by second of the
            monotonic clock.
    """

    def __init__(self, size: int, store: fake_platform.Platform) -> None:
        self.size = size
        self.platform = store
        self.generation = 0
        self.read_counts: dict[int, int] = {}
        self.daemon: subprocess.Popen[bytes] | None = None
        self.light_processes: list[subprocess.Popen[str]] = []

    def start(self, folder: pathlib.Path) -> None:
        """Starts the daemon and the processes of the light endpoints."""
        path = folder / "e0.ini"
        text = SETTINGS.format(
            address=light_endpoints.address_of(0),
            platform=PLATFORM,
            port=light_endpoints.PORT,
            admin=ADMIN_PORT,
        )
        path.write_text(text, encoding="utf-8")
        command = [sys.executable, "-m", "laurelrock", "relay"]
        self.daemon = subprocess.Popen(
            [*command, "--settings", str(path)], cwd=ROOT
        )
        for first in range(1, self.size, MEMBERS_PER_PROCESS):
            last = min(first + MEMBERS_PER_PROCESS, self.size)
            command = [sys.executable, "-m", "bench.light_endpoints"]
            command += ["--first", str(first), "--last", str(last)]
            command += ["--platform", f"http://{PLATFORM}"]
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.light_processes.append(process)

    def stop(self) -> None:
        """Ends every process that was started."""
        for process in self.light_processes:
            if process.stdin is not None:
                process.stdin.close()
        if self.daemon is not None:
            self.daemon.terminate()
            self.wait_or_kill(self.daemon)
        for process in self.light_processes:
            self.wait_or_kill(process)

    def wait_or_kill(self, process: subprocess.Popen[typing.Any]) -> None:
        """Waits for a process to end; kills it after 5 seconds."""
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def command(self, **fields: typing.Any) -> None:
        """Sends a command to all processes of light endpoints."""
        for process in self.light_processes:
            assert process.stdin is not None
            process.stdin.write(json.dumps(fields) + "\n")
            process.stdin.flush()

    async def reports(self) -> list[dict[str, typing.Any]]:
        """Returns the reports of all processes of light endpoints."""
        self.command(do="report")
        found = []
        for process in self.light_processes:
            assert process.stdout is not None
            line = await asyncio.to_thread(process.stdout.readline)
            found.append(json.loads(line))
        return found

    def publish(self) -> float:
        """Commits a manifest and returns the monotonic time of the commit."""
        self.generation += 1
        raw = simulated_fleet.manifest_with_text(
            f"g{self.generation}-{self.size}"
        )
        key = heads.full_key(self.generation, "bench")
        digest = manifest.digest_of(raw)
        head = heads.Head(self.generation, digest, "bench", key)
        self.platform.put_object(key, raw)
        self.platform.put_object(heads.HEAD_KEY, heads.encode(head))
        return time.monotonic()


def read_usage(pid: int) -> Usage:
    """Returns the resources that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    cpu_s = (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rss = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert rss is not None
    return Usage(cpu_s, int(rss[1]) / 1024)


def _sum(pattern: str, text: str) -> int:
    return sum(map(int, re.findall(pattern, text)))


async def read_platform_calls() -> float:
    """Returns the number of platform calls from the daemon's metrics."""
    url = f"http://{light_endpoints.address_of(0)}:{ADMIN_PORT}/metrics"
    text = await asyncio.to_thread(
        lambda: (
            subprocess.run(
                ["curl", "-s", url], capture_output=True, text=True, check=True
            ).stdout
        )
    )
    found = re.search(r"^laurelrock_platform_calls\S* ([\d.e+]+)", text, re.M)
    return float(found[1]) if found else 0.0


async def wait_joined(fleet_run: FleetRun) -> float:
    """Waits until every light endpoint knows all members.

    Returns:
        The time waited in seconds, or -1 after `JOIN_TIMEOUT_S`.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s < JOIN_TIMEOUT_S:
        known = [n for r in await fleet_run.reports() for n in r["known"]]
        if known and min(known) == fleet_run.size:
            return time.monotonic() - started_s
        await asyncio.sleep(0.25)
    return -1.0


async def measure_quiet(fleet_run: FleetRun) -> dict[str, typing.Any]:
    """Measures the idle daemon."""
    assert fleet_run.daemon is not None
    pid = fleet_run.daemon.pid
    traffic = Traffic()
    traffic.sample()
    traffic.total_bytes = traffic.segments = 0
    before, calls_before = read_usage(pid), await read_platform_calls()
    started_s = time.monotonic()
    while time.monotonic() - started_s < QUIET_S:
        await asyncio.sleep(1.0)
        traffic.sample()
    after, calls_after = read_usage(pid), await read_platform_calls()
    elapsed_s = time.monotonic() - started_s
    wire = traffic.total_bytes + traffic.segments * HEADER_BYTES
    cpu_s = after.cpu_s - before.cpu_s
    calls = calls_after - calls_before
    return {
        "cpu_percent": round(100 * cpu_s / elapsed_s, 2),
        "payload_bytes_per_s": round(traffic.total_bytes / elapsed_s),
        "segments_per_s": round(traffic.segments / elapsed_s, 1),
        "wire_bytes_per_s": round(wire / elapsed_s),
        "rss_mb": round(after.rss_mb, 1),
        "platform_calls_per_s": round(calls / elapsed_s, 2),
    }


async def measure_in_force(
    fleet_run: FleetRun, expected: set[int]
) -> dict[str, typing.Any]:
    """Publishes a manifest and measures when it is in force on members."""
    committed_s = fleet_run.publish()
    generation = str(fleet_run.generation)
    delays_s: dict[int, float] = {}
    deadline_s = committed_s + OUTCOME_TIMEOUT_S
    while len(delays_s) < len(expected) and time.monotonic() < deadline_s:
        await asyncio.sleep(0.5)
        for report in await fleet_run.reports():
            for index, times in report["in_force"].items():
                if generation in times and int(index) in expected:
                    delays_s[int(index)] = times[generation] - committed_s
    return {
        "members": len(expected),
        "reached": len(delays_s),
        "median_s": round(statistics.median(delays_s.values()), 3)
        if delays_s
        else -1,
        "last_s": round(max(delays_s.values()), 3) if delays_s else -1,
    }


def find_head_watcher(size: int) -> int:
    """Returns the index of a member that watches the manifest head."""
    records = [light_endpoints.record_of(index) for index in range(size)]
    for index in range(1, size):
        if distribution.is_watcher(records[index], records):
            return index
    return 1


async def measure_death(fleet_run: FleetRun) -> dict[str, typing.Any]:
    """Stops a member and measures the time until the others know."""
    stopped_member = fleet_run.size - 1
    address = (
        f"{light_endpoints.address_of(stopped_member)}:{light_endpoints.PORT}"
    )
    fleet_run.command(do="stop", member=stopped_member)
    stopped_s = time.monotonic()
    delays_s: dict[str, float] = {}
    expected = fleet_run.size - 2
    while (
        len(delays_s) < expected
        and time.monotonic() < stopped_s + OUTCOME_TIMEOUT_S
    ):
        await asyncio.sleep(0.5)
        for report in await fleet_run.reports():
            for index, times in report["dead"].items():
                if address in times:
                    delays_s[index] = times[address] - stopped_s
    return {
        "members": expected,
        "reached": len(delays_s),
        "median_s": round(statistics.median(delays_s.values()), 3)
        if delays_s
        else -1,
        "last_s": round(max(delays_s.values()), 3) if delays_s else -1,
    }


async def measure(fleet_run: FleetRun) -> dict[str, typing.Any]:
    """Makes all measurements at one size of the fleet."""
    size = fleet_run.size
    everyone = set(range(1, size))
    joined_s = await wait_joined(fleet_run)
    result: dict[str, typing.Any] = {
        "bench": "control",
        "members": size,
        "joined_s": round(joined_s, 2),
    }
    result["start_peak_reads_per_s"] = max(
        fleet_run.read_counts.values(), default=0
    )
    await asyncio.sleep(2.0)
    result["quiet"] = await measure_quiet(fleet_run)
    result["in_force"] = await measure_in_force(fleet_run, everyone)
    # Only one of the daemons that watch the head can reach the platform.
    fleet_run.command(
        do="platform", down=sorted(everyone - {find_head_watcher(size)})
    )
    faults = {"refuse_from": [light_endpoints.address_of(0)]}
    fleet_run.platform.control(dict(faults))
    result["in_force_one_reader"] = await measure_in_force(fleet_run, everyone)
    fleet_run.command(do="platform", down=[])
    fleet_run.platform.control({"refuse_from": []})
    cut = set(range(1, max(2, size // 10 + 1)))
    fleet_run.command(do="cut", members=sorted(cut), size=size)
    await asyncio.sleep(PARTITION_S)
    result["in_force_tenth_cut"] = await measure_in_force(
        fleet_run, everyone - cut
    )
    fleet_run.command(do="cut", members=[], size=size)
    result["in_force_after_cut"] = await measure_in_force(fleet_run, everyone)
    result["views_agree_after_cut_s"] = round(await wait_joined(fleet_run), 2)
    await asyncio.sleep(1.0)
    result["death_known"] = await measure_death(fleet_run)
    return result


async def count_reads(fleet_run: FleetRun) -> None:
    """Records the number of reads from the platform in each second."""
    kinds = ("reads", "watches")
    before = 0
    while True:
        total = sum(fleet_run.platform.call_counts[kind] for kind in kinds)
        fleet_run.read_counts[int(time.monotonic())] = total - before
        before = total
        await asyncio.sleep(1.0)


async def run(sizes: list[int]) -> None:
    """Measures each size of the fleet and prints one JSON object per line."""
    sys.stdout.write(json.dumps(manifest_cost.measure()) + "\n")
    for size in sizes:
        store = fake_platform.Platform(time.monotonic)
        store.set_vms(
            [
                {
                    "vm": f"e{index}",
                    "address": light_endpoints.address_of(index),
                    "failure_domain": light_endpoints.member_of(
                        index
                    ).failure_domain,
                    "state": "live",
                }
                for index in range(size)
            ]
        )
        runner = await fake_platform.start(store, PLATFORM)
        fleet_run = FleetRun(size, store)
        counting = asyncio.create_task(count_reads(fleet_run))
        try:
            with tempfile.TemporaryDirectory(prefix="laurelrock-") as folder:
                fleet_run.publish()
                fleet_run.start(pathlib.Path(folder))
                sys.stdout.write(json.dumps(await measure(fleet_run)) + "\n")
                sys.stdout.flush()
        finally:
            counting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await counting
            await asyncio.to_thread(fleet_run.stop)
            await runner.cleanup()


def main() -> None:
    """Runs the measurements for the sizes on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", nargs="*", type=int, default=list(SIZES))
    args = parser.parse_args()
    asyncio.run(run(args.sizes))


if __name__ == "__main__":
    main()
