"""Measures how a whole fleet recovers from large faults, in virtual time.

Usage: `python -m bench.recovery [SIZE]`. Runs the cores of all daemons in one
process and prints one JSON object for each scenario: the virtual seconds until
all views agree and the newest manifest is in force everywhere, and the mean
traffic sent by a daemon, as encoded messages without headers.
"""

import argparse
import json
import time
import typing

from fakes import simulated_fleet as fleets

__all__ = ["main"]

#: Number of failure domains, and names of those in the second region.
DOMAIN_COUNT = 5
SECOND_REGION = ("d", "e")

#: Number of members in a rack.
RACK_SIZE = 20

#: Interval between checks for recovery, in virtual seconds.
POLL_S = 0.5

#: Duration of a scenario, over which bytes are counted, in virtual seconds.
SCENARIO_S = 60.0

#: Duration of a partition, in virtual seconds.
PARTITION_S = 60.0


def has_recovered(fleet: fleets.Fleet) -> bool:
    """Returns whether all views agree and the newest manifest is in force."""
    if fleet.generations_in_force() != {fleet.generation}:
        return False
    return not fleet.view_differences()


def measure_scenario(
    fleet: fleets.Fleet, scenario: str
) -> dict[str, typing.Any]:
    """Runs for `SCENARIO_S` and returns the JSON object of the scenario."""
    fleet.sent.clear()
    fleet.sent_bytes = 0
    fleet.reads_by_second.clear()
    started_s, wall_s = fleet.now_s, time.monotonic()
    recovered_s = -1.0
    while fleet.now_s - started_s < SCENARIO_S:
        fleet.run(POLL_S)
        if recovered_s < 0 and has_recovered(fleet):
            recovered_s = fleet.now_s - started_s
    size = len(fleet.processes)
    return {
        "bench": "recovery",
        "scenario": scenario,
        "members": size,
        "recovered_s": round(recovered_s, 1),
        "sent_bytes_per_s": round(fleet.sent_bytes / size / SCENARIO_S),
        "sent_per_s": round(sum(fleet.sent.values()) / size / SCENARIO_S, 1),
        "peak_reads_per_s": max(fleet.reads_by_second.values(), default=0),
        "wall_s": round(time.monotonic() - wall_s, 1),
    }


def start_all(size: int) -> fleets.Fleet:
    """Returns a fleet whose members all start at the same time."""
    return fleets.start(1, size, DOMAIN_COUNT, join_s=0.0, counts_bytes=True)


def restart_domain(fleet: fleets.Fleet, size: int) -> None:
    """Restarts all members of a failure domain while the platform is down."""
    fleet.platform_down = True
    seeds = list(fleet.processes)
    for member in fleets.relay_members(size, DOMAIN_COUNT):
        if member.failure_domain == "b":
            fleet.start(member, seeds)


def stop_rack(fleet: fleets.Fleet) -> None:
    """Brings the platform back and stops the members of a rack abruptly."""
    fleet.platform_down = False
    for address in fleet.addresses_in_domain("c")[:RACK_SIZE]:
        fleet.stop(address)


def partition_region(fleet: fleets.Fleet) -> None:
    """Partitions the second region, publishes a manifest and heals it."""
    inside = [
        a for name in SECOND_REGION for a in fleet.addresses_in_domain(name)
    ]
    outside = [a for a in fleet.processes if a not in set(inside)]
    fleet.cut(inside, outside)
    fleet.partitioned_from_platform |= set(inside)
    fleet.run(PARTITION_S)
    fleet.publish(fleets.manifest_with_text("while-cut"))
    fleet.run(1.0)
    fleet.heal_partitions()


def main() -> None:
    """Runs all scenarios on a fleet of the size on the command line."""
    parser = argparse.ArgumentParser(
        description="Measures the recovery of a fleet."
    )
    parser.add_argument("size", nargs="?", type=int, default=760)
    size = parser.parse_args().size
    fleet = start_all(size)
    print(json.dumps(measure_scenario(fleet, "all start at once")), flush=True)
    print(json.dumps(measure_scenario(fleet, "rest")), flush=True)
    restart_domain(fleet, size)
    line = measure_scenario(fleet, "domain restarts, platform down")
    print(json.dumps(line), flush=True)
    stop_rack(fleet)
    print(
        json.dumps(measure_scenario(fleet, "rack lost, platform back")),
        flush=True,
    )
    partition_region(fleet)
    print(json.dumps(measure_scenario(fleet, "regions heal")), flush=True)


if __name__ == "__main__":
    main()
