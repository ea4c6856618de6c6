"""Recovery of a whole fleet from large faults, in virtual time.

Usage: `python -m bench.recovery [SIZE]`. Runs the cores of all daemons in one
process and prints one JSON object a scenario: virtual seconds until all views
agree and the newest manifest is in force everywhere, and what each daemon
sent meanwhile, encoded, without headers.
"""

import argparse
import json
import time
import typing

from fakes import fleet as fleets

__all__ = ["main"]

#: Failure domains, and those of the second region.
DOMAINS = 5
REGION = ("d", "e")

#: Members of a rack.
RACK = 20

#: Between two looks at the views, in virtual seconds.
LOOK_S = 0.5

#: Longest time of a scenario, and the time that bytes are counted.
LIMIT_S = 60.0

#: Length of a cut, in seconds.
CUT_S = 60.0


def recovered(fleet: fleets.Fleet) -> bool:
    """Tells whether views agree and the newest manifest is in force."""
    if fleet.generations() != {fleet.generation}:
        return False
    return not fleet.disagreements()


def watch(fleet: fleets.Fleet, scenario: str) -> dict[str, typing.Any]:
    """Runs for a minute and notes when the fleet recovered."""
    fleet.sent.clear()
    fleet.sent_bytes = 0
    fleet.reads.clear()
    begun_s, wall_s = fleet.now_s, time.monotonic()
    recovered_s = -1.0
    while fleet.now_s - begun_s < LIMIT_S:
        fleet.run(LOOK_S)
        if recovered_s < 0 and recovered(fleet):
            recovered_s = fleet.now_s - begun_s
    size = len(fleet.processes)
    return {
        "bench": "recovery",
        "scenario": scenario,
        "members": size,
        "recovered_s": round(recovered_s, 1),
        "sent_bytes_per_s": round(fleet.sent_bytes / size / LIMIT_S),
        "sent_per_s": round(sum(fleet.sent.values()) / size / LIMIT_S, 1),
        "peak_reads_per_s": max(fleet.reads.values(), default=0),
        "wall_s": round(time.monotonic() - wall_s, 1),
    }


def start_all(size: int) -> fleets.Fleet:
    """Returns a fleet whose members all start at once."""
    return fleets.start(1, size, DOMAINS, join_s=0.0, counts_bytes=True)


def restart_domain(fleet: fleets.Fleet, size: int) -> None:
    """Restarts a failure domain at once while the platform is down."""
    fleet.down = True
    seeds = list(fleet.processes)
    for member in fleets.plan(size, DOMAINS):
        if member.failure_domain == "b":
            fleet.start(member, seeds)


def lose_rack(fleet: fleets.Fleet) -> None:
    """Ends some members of a failure domain without a word."""
    fleet.down = False
    for address in fleet.domain("c")[:RACK]:
        fleet.stop(address)


def cut_region(fleet: fleets.Fleet) -> None:
    """Cuts the second region off for a while, publishes and heals."""
    inside = [a for name in REGION for a in fleet.domain(name)]
    outside = [a for a in fleet.processes if a not in set(inside)]
    fleet.cut(inside, outside)
    fleet.cut_off |= set(inside)
    fleet.run(CUT_S)
    fleet.publish(fleets.small_manifest("while-cut"))
    fleet.run(1.0)
    fleet.heal()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Recovery of a fleet.")
    parser.add_argument("size", nargs="?", type=int, default=760)
    size = parser.parse_args().size
    fleet = start_all(size)
    print(json.dumps(watch(fleet, "all start at once")), flush=True)
    print(json.dumps(watch(fleet, "rest")), flush=True)
    restart_domain(fleet, size)
    line = watch(fleet, "domain restarts, platform down")
    print(json.dumps(line), flush=True)
    lose_rack(fleet)
    print(json.dumps(watch(fleet, "rack lost, platform back")), flush=True)
    cut_region(fleet)
    print(json.dumps(watch(fleet, "regions heal")), flush=True)


if __name__ == "__main__":
    main()
