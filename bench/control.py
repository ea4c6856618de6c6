"""Control plane: what membership and configuration cost one daemon.

Usage: `python -m bench.control [SIZE ...]`. For each size of the fleet, runs
one real daemon among light endpoints that speak the same protocol, and prints
one JSON object: its processor time, bytes, memory and platform calls while
nothing happens, the time until a manifest is in force everywhere and the
time until a death is known to all.
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

from bench import light
from bench import manifests
from fakes import fleet
from fakes import platform as fake_platform
from laurelrock import head as heads
from laurelrock import manifest
from laurelrock.core import spreading

__all__ = ["main"]

SIZES = (9, 50, 200, 400, 760)

#: Members of one light process.
GROUP = 95

#: Length of the quiet measurement, in seconds.
QUIET_S = 10.0

#: Length of a cut before a manifest is published, in seconds.
CUT_S = 6.0

#: Longest wait for the fleet to join, and for one outcome, in seconds.
JOIN_S = 40.0
OUTCOME_S = 20.0

#: Bytes of the IP and TCP headers of one segment.
HEADER_BYTES = 52

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM = "127.0.0.1:7151"

#: Admin port of the real daemon.
ADMIN_PORT = 9452

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
    """What a process has used.

    Attributes:
        cpu_s: Processor time, user and system.
        rss_mb: Resident memory.
    """

    cpu_s: float
    rss_mb: float


class Traffic:
    """Bytes and segments of the real daemon's connections.

    Connections that end between two samples lose what they carried since.

    Attributes:
        seen: Bytes and segments of each open connection.
        total_bytes: Payload sent and received, to daemons and platform.
        segments: TCP segments sent and received.
    """

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, int]] = {}
        self.total_bytes = 0
        self.segments = 0

    def sample(self) -> None:
        """Adds what was carried since the last sample."""
        source = f"( src {light.address_of(0)} and sport != :{ADMIN_PORT} )"
        listing = subprocess.run(
            ["ss", "-tinH", source], capture_output=True, text=True, check=True
        ).stdout
        lines = listing.splitlines()
        seen = {}
        for head, detail in zip(lines[::2], lines[1::2], strict=False):
            name = " ".join(head.split()[3:5])
            carried = _sum(r"bytes_(?:sent|received):(\d+)", detail)
            segments = _sum(r" segs_(?:out|in):(\d+)", detail)
            before = self.seen.get(name, (0, 0))
            self.total_bytes += max(0, carried - before[0])
            self.segments += max(0, segments - before[1])
            seen[name] = (carried, segments)
        self.seen = seen


class Point:
    """One size of the fleet while it runs.

    Attributes:
        size: Daemons, the real one included.
        daemon: The real one.
        groups: Processes with the light ones.
        platform: The stand-in, in this process.
        generation: Last one committed.
        reads: Reads of the platform in each second.
    """

    def __init__(self, size: int, store: fake_platform.Platform) -> None:
        self.size = size
        self.platform = store
        self.generation = 0
        self.reads: dict[int, int] = {}
        self.daemon: subprocess.Popen[bytes] | None = None
        self.groups: list[subprocess.Popen[str]] = []

    def start(self, folder: pathlib.Path) -> None:
        """Starts the daemon and the light processes."""
        path = folder / "e0.ini"
        text = SETTINGS.format(
            address=light.address_of(0),
            platform=PLATFORM,
            port=light.PORT,
            admin=ADMIN_PORT,
        )
        path.write_text(text, encoding="utf-8")
        command = [sys.executable, "-m", "laurelrock", "relay"]
        self.daemon = subprocess.Popen(
            [*command, "--settings", str(path)], cwd=ROOT
        )
        for first in range(1, self.size, GROUP):
            last = min(first + GROUP, self.size)
            command = [sys.executable, "-m", "bench.light"]
            command += ["--first", str(first), "--last", str(last)]
            command += ["--platform", f"http://{PLATFORM}"]
            group = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self.groups.append(group)

    def stop(self) -> None:
        """Ends every process that was started."""
        for group in self.groups:
            if group.stdin is not None:
                group.stdin.close()
        if self.daemon is not None:
            self.daemon.terminate()
            self.groups_end(self.daemon)
        for group in self.groups:
            self.groups_end(group)

    def groups_end(self, process: subprocess.Popen[typing.Any]) -> None:
        """Waits for a process, and kills it where it does not end."""
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def command(self, **fields: typing.Any) -> None:
        """Sends a command to all light processes."""
        for group in self.groups:
            assert group.stdin is not None
            group.stdin.write(json.dumps(fields) + "\n")
            group.stdin.flush()

    async def reports(self) -> list[dict[str, typing.Any]]:
        """Returns what all light processes saw."""
        self.command(do="report")
        found = []
        for group in self.groups:
            assert group.stdout is not None
            line = await asyncio.to_thread(group.stdout.readline)
            found.append(json.loads(line))
        return found

    def publish(self) -> float:
        """Commits a manifest; returns when."""
        self.generation += 1
        raw = fleet.small_manifest(f"g{self.generation}-{self.size}")
        key = heads.full_key(self.generation, "bench")
        digest = manifest.digest_of(raw)
        head = heads.Head(self.generation, digest, "bench", key)
        self.platform.put(key, raw)
        self.platform.put(heads.HEAD_KEY, heads.encode(head))
        return time.monotonic()


def usage_of(pid: int) -> Usage:
    """Reads what a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    cpu_s = (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rss = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert rss is not None
    return Usage(cpu_s, int(rss[1]) / 1024)


def _sum(pattern: str, text: str) -> int:
    return sum(map(int, re.findall(pattern, text)))


async def calls_of() -> float:
    """Reads the daemon's count of platform calls."""
    url = f"http://{light.address_of(0)}:{ADMIN_PORT}/metrics"
    text = await asyncio.to_thread(
        lambda: (
            subprocess.run(
                ["curl", "-s", url], capture_output=True, text=True, check=True
            ).stdout
        )
    )
    found = re.search(r"^laurelrock_platform_calls\S* ([\d.e+]+)", text, re.M)
    return float(found[1]) if found else 0.0


async def wait_joined(point: Point) -> float:
    """Waits until every light endpoint knows everybody."""
    began_s = time.monotonic()
    while time.monotonic() - began_s < JOIN_S:
        known = [n for r in await point.reports() for n in r["known"]]
        if known and min(known) == point.size:
            return time.monotonic() - began_s
        await asyncio.sleep(0.25)
    return -1.0


async def measure_quiet(point: Point) -> dict[str, typing.Any]:
    """Measures the daemon while nothing happens."""
    assert point.daemon is not None
    pid = point.daemon.pid
    traffic = Traffic()
    traffic.sample()
    traffic.total_bytes = traffic.segments = 0
    before, calls_before = usage_of(pid), await calls_of()
    began_s = time.monotonic()
    while time.monotonic() - began_s < QUIET_S:
        await asyncio.sleep(1.0)
        traffic.sample()
    after, calls_after = usage_of(pid), await calls_of()
    took_s = time.monotonic() - began_s
    wire = traffic.total_bytes + traffic.segments * HEADER_BYTES
    cpu_s = after.cpu_s - before.cpu_s
    calls = calls_after - calls_before
    return {
        "cpu_percent": round(100 * cpu_s / took_s, 2),
        "payload_bytes_per_s": round(traffic.total_bytes / took_s),
        "segments_per_s": round(traffic.segments / took_s, 1),
        "wire_bytes_per_s": round(wire / took_s),
        "rss_mb": round(after.rss_mb, 1),
        "platform_calls_per_s": round(calls / took_s, 2),
    }


async def measure_in_force(
    point: Point, expected: set[int]
) -> dict[str, typing.Any]:
    """Publishes and measures the time until it is in force on some members."""
    committed_s = point.publish()
    generation = str(point.generation)
    took: dict[int, float] = {}
    limit_s = committed_s + OUTCOME_S
    while len(took) < len(expected) and time.monotonic() < limit_s:
        await asyncio.sleep(0.5)
        for report in await point.reports():
            for index, times in report["in_force"].items():
                if generation in times and int(index) in expected:
                    took[int(index)] = times[generation] - committed_s
    return {
        "members": len(expected),
        "reached": len(took),
        "median_s": round(statistics.median(took.values()), 3) if took else -1,
        "last_s": round(max(took.values()), 3) if took else -1,
    }


def watcher(size: int) -> int:
    """Returns a member that watches the head."""
    records = [light.record_of(index) for index in range(size)]
    for index in range(1, size):
        if spreading.is_watcher(records[index], records):
            return index
    return 1


async def measure_death(point: Point) -> dict[str, typing.Any]:
    """Stops a member and measures the time until all others know."""
    victim = point.size - 1
    address = f"{light.address_of(victim)}:{light.PORT}"
    point.command(do="stop", member=victim)
    stopped_s = time.monotonic()
    took: dict[str, float] = {}
    expected = point.size - 2
    while len(took) < expected and time.monotonic() < stopped_s + OUTCOME_S:
        await asyncio.sleep(0.5)
        for report in await point.reports():
            for index, times in report["dead"].items():
                if address in times:
                    took[index] = times[address] - stopped_s
    return {
        "members": expected,
        "reached": len(took),
        "median_s": round(statistics.median(took.values()), 3) if took else -1,
        "last_s": round(max(took.values()), 3) if took else -1,
    }


async def measure(point: Point) -> dict[str, typing.Any]:
    """Makes all measurements of one size."""
    size = point.size
    everyone = set(range(1, size))
    joined_s = await wait_joined(point)
    result: dict[str, typing.Any] = {
        "bench": "control",
        "members": size,
        "joined_s": round(joined_s, 2),
    }
    result["start_peak_reads_per_s"] = max(point.reads.values(), default=0)
    await asyncio.sleep(2.0)
    result["quiet"] = await measure_quiet(point)
    result["in_force"] = await measure_in_force(point, everyone)
    # One of the daemons that watch the head alone reaches the platform.
    point.command(do="platform", down=sorted(everyone - {watcher(size)}))
    faults = {"refuse_from": [light.address_of(0)]}
    point.platform.control(dict(faults))
    result["in_force_one_reader"] = await measure_in_force(point, everyone)
    point.command(do="platform", down=[])
    point.platform.control({"refuse_from": []})
    cut = set(range(1, max(2, size // 10 + 1)))
    point.command(do="cut", members=sorted(cut), size=size)
    await asyncio.sleep(CUT_S)
    result["in_force_tenth_cut"] = await measure_in_force(point, everyone - cut)
    point.command(do="cut", members=[], size=size)
    result["in_force_after_cut"] = await measure_in_force(point, everyone)
    result["views_agree_after_cut_s"] = round(await wait_joined(point), 2)
    await asyncio.sleep(1.0)
    result["death_known"] = await measure_death(point)
    return result


async def count_reads(point: Point) -> None:
    """Notes the platform's reads of each second."""
    kinds = ("reads", "watches")
    before = 0
    while True:
        total = sum(point.platform.counts[kind] for kind in kinds)
        point.reads[int(time.monotonic())] = total - before
        before = total
        await asyncio.sleep(1.0)


async def run(sizes: list[int]) -> None:
    """Measures each size and prints a JSON object a line."""
    sys.stdout.write(json.dumps(manifests.measure()) + "\n")
    for size in sizes:
        store = fake_platform.Platform(time.monotonic)
        store.set_vms(
            [
                {
                    "vm": f"e{index}",
                    "address": light.address_of(index),
                    "failure_domain": light.member_of(index).failure_domain,
                    "state": "live",
                }
                for index in range(size)
            ]
        )
        runner = await fake_platform.start(store, PLATFORM)
        point = Point(size, store)
        counting = asyncio.create_task(count_reads(point))
        try:
            with tempfile.TemporaryDirectory(prefix="laurelrock-") as folder:
                point.publish()
                point.start(pathlib.Path(folder))
                sys.stdout.write(json.dumps(await measure(point)) + "\n")
                sys.stdout.flush()
        finally:
            counting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await counting
            await asyncio.to_thread(point.stop)
            await runner.cleanup()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", nargs="*", type=int, default=list(SIZES))
    args = parser.parse_args()
    asyncio.run(run(args.sizes))


if __name__ == "__main__":
    main()
