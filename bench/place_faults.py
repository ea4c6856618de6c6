"""Evacuations, cold searchers, changes of keys and bursts of a workspace."""

import asyncio
import collections.abc
import typing

from bench import fleet
from bench import soak_history
from bench import store_faults

if typing.TYPE_CHECKING:
    from bench import random_faults

__all__ = ["faults"]

#: Failure domains, and the time for which one is evacuated (range), in seconds:
#: longer than VMs may take to apply it.
#: The last number is how often the second one is evacuated at the same time.
DOMAINS, EVACUATED_S, ALL_EVACUATED = ("d0", "d1"), (7.0, 10.0), 0.3
#: Time for which searchers become cold, in seconds, and how often these are all
#: of a failure domain instead of one.
COLD_S, DOMAIN_COLD = 8.0, 0.7
#: Length of a burst and mean pause between two requests of each of its callers,
#: in seconds, and their number. It sends about 150 requests per second.
BURST_S, BURST_PAUSE_S, BURST_CALLERS = 5.0, 0.04, 8
#: Workspaces that send bursts: one above its cap, and one without a cap.
BURSTING = ("capped", "resident")


def faults(
    run: "random_faults.SoakRun",
) -> collections.abc.Mapping[str, store_faults.Action]:
    """Returns the coroutine function of each fault by name."""
    return {
        "evacuate": lambda: evacuate(run),
        "cold": lambda: make_cold(run),
        "keys": lambda: change_keys(run),
        "burst": lambda: send_burst(run),
    }


async def evacuate(run: "random_faults.SoakRun") -> None:
    """Evacuates a failure domain; its searchers may become cold at the end."""
    domain = run.rng.choice(DOMAINS)
    # All searchers are evacuated in some runs; most requests are refused then.
    if run.running.evacuated and (
        domain in run.running.evacuated or run.rng.random() > ALL_EVACUATED
    ):
        return
    started_s = run.loop.time()
    run.running.evacuated.add(domain)
    run.running.store.put("evacuations", domain, {})
    await asyncio.sleep(run.rng.uniform(*EVACUATED_S))
    if run.rng.random() < 0.5:
        cool(run, domain, None)
    run.running.evacuated.discard(domain)
    run.running.store.delete("evacuations", domain)
    run.running.places.evacuations.append(
        soak_history.Span(domain, started_s, run.loop.time())
    )
    run.record_fault("evacuate", "-", started_s)


def cool(
    run: "random_faults.SoakRun", domain: str, searcher: str | None
) -> None:
    """Makes a searcher cold, or all of a failure domain if it is None."""
    for name, server in run.running.servers.items():
        if searcher not in (None, name) or server.domain != domain:
            continue
        if name not in run.drained and not server.leaving | server.crashed:
            run.running.cool(name, COLD_S, fleet.ENTRY_NOTICE_S)
            run.running.list_searcher(name, "ready")


async def make_cold(run: "random_faults.SoakRun") -> None:
    """Makes a searcher, or all of a failure domain, cold."""
    server = run.pick_searcher()
    name = server.searcher.name if run.rng.random() > DOMAIN_COLD else None
    started_s = run.loop.time()
    cool(run, server.domain, name)
    await asyncio.sleep(COLD_S)
    run.record_fault("cold", "-", started_s)


async def change_keys(run: "random_faults.SoakRun") -> None:
    """Adds one key and removes another with a new configuration."""
    run.running.key_changes += 1
    await run.configure(1)


async def send_burst(run: "random_faults.SoakRun") -> None:
    """Makes a workspace send many times its usual rate."""
    workspace = run.rng.choice(BURSTING)
    started_s = run.loop.time()
    burst = workspace, started_s + BURST_S
    await asyncio.gather(
        *[
            run.run_caller(run.rng.randrange(2**32), "", BURST_PAUSE_S, burst)
            for _ in range(BURST_CALLERS)
        ]
    )
    run.running.workspaces.bursts.append(
        soak_history.Span(workspace, started_s, started_s + BURST_S)
    )
    run.record_fault("burst", "-", started_s)
