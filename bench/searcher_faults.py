"""Faults of the searchers in a soak."""

import asyncio
import typing

from bench import fleet
from bench import searcher_replies
from bench import soak_history
from fakes import callers
from fakes import link

if typing.TYPE_CHECKING:
    from bench import random_faults

__all__ = [
    "degrade_searcher",
    "degrade_searcher_link",
    "drain",
    "leave",
    "limit_searchers",
    "repeat_crashing_request",
    "restart_searcher",
]

#: Requests per second that searchers name as their limit, and the time for
#: which they name one (range), in seconds.
LIMITS_PER_S, LIMITED_S = (1.5, 4.0, 12.0), (5.0, 7.0)
#: Time for which a request that crashes searchers is repeated, in seconds.
CRASHING_S = 14.0


async def restart_searcher(run: "random_faults.SoakRun") -> None:
    """Restarts a searcher under the same id."""
    server = run.pick_searcher()
    if server.searcher.name in run.drained:
        return
    started_s = run.loop.time()
    await run.running.restart_searcher(server)
    run.record_fault("born-again", "-", started_s)


async def degrade_searcher_link(
    run: "random_faults.SoakRun", change: link.Faults | None
) -> None:
    """Applies a fault to the link of a random searcher.

    Args:
        run: Soak run.
        change: Faults to set on the link; None black-holes its open
            connections.
    """
    server = run.pick_searcher()
    started_s = run.loop.time()
    if change is None:
        server.link.silence()
    else:
        server.link.set_faults(change)
        await asyncio.sleep(run.rng.uniform(0.5, 4.0))
        server.link.set_faults(run.running.cut)
    run.record_fault("searcher-link", "-", started_s)


async def degrade_searcher(
    run: "random_faults.SoakRun", *behaviours: str
) -> None:
    """Makes one searcher, or all searchers of a service, misbehave."""
    server = run.pick_searcher()
    affected = [server]
    if run.rng.random() < 0.3:
        names = run.running.searchers_of(server.service)
        affected = [run.running.servers[name] for name in names]
    started_s = run.loop.time()
    behaviour = run.rng.choice(behaviours)
    for target in affected:
        target.behaviour = behaviour
    await asyncio.sleep(run.rng.uniform(0.5, 4.0))
    for target in affected:
        target.behaviour = "healthy"
    run.record_fault(behaviour, "-", started_s)


async def drain(run: "random_faults.SoakRun") -> None:
    """Replaces a searcher: adds a new one, drains and stops the old one."""
    server = run.pick_searcher()
    name = server.searcher.name
    if name in run.drained:
        return
    started_s = run.loop.time()
    await run.running.add_searcher(server.service)
    run.drained[name] = run.loop.time()
    run.running.list_searcher(name, "draining")
    await asyncio.sleep(3.5)
    await run.running.remove_searcher(server)
    run.record_fault("drain", "-", started_s)


async def leave(run: "random_faults.SoakRun") -> None:
    """Makes a searcher say that it leaves, while it is listed as ready."""
    server = run.pick_searcher()
    name = server.searcher.name
    if name in run.drained or server.leaving:
        return
    started_s, server.leaving = run.loop.time(), True
    await run.running.add_searcher(server.service)
    await asyncio.sleep(3.5)
    run.drained[name] = run.loop.time()
    await run.running.remove_searcher(server)
    run.record_fault("leave", "-", started_s)


async def limit_searchers(run: "random_faults.SoakRun") -> None:
    """Makes a searcher, or all of a service, name limits that change."""
    server = run.pick_searcher()
    names = [server.searcher.name]
    if run.rng.random() < 0.5:
        names = run.running.searchers_of(server.service)
    started_s = run.loop.time()
    for _ in range(run.rng.randint(1, 2)):
        limit = run.rng.choice(LIMITS_PER_S)
        for name in names:
            run.running.servers[name].limit = limit
        await asyncio.sleep(run.rng.uniform(*LIMITED_S))
    for name in names:
        run.running.servers[name].limit = 0.0
    run.record_fault("limit", "-", started_s)


async def repeat_crashing_request(run: "random_faults.SoakRun") -> None:
    """Sends a request that crashes searchers, again and again, to any VM.

    Each failure is followed by one more attempt at once, as callers do.
    """
    kind = run.rng.choice(("query", "read"))
    target = f"/{kind}/{run.requests}{searcher_replies.CRASHING_SEGMENT}"
    started_s = run.loop.time()
    until_s = started_s + CRASHING_S
    crashed_s = started_s
    while run.loop.time() < until_s:
        for _ in range(2):
            names = sorted(run.ready) or sorted(run.running.vms)
            vm = run.running.vms[run.rng.choice(names)]
            caller = callers.Caller(vm.callers)
            run.records.append(
                await run.send_request(run.rng, caller, vm, target)
            )
            caller.close()
        await asyncio.sleep(run.rng.uniform(0.2, 0.8))
    ids = {row.request_id for row in run.records if row.target == target}
    for arrival in run.running.arrivals:
        if arrival.request_id in ids:
            crashed_s = arrival.at_s
    run.fault_spans.append(
        soak_history.FaultSpan(
            "crashing", "-", started_s, crashed_s + fleet.CRASHED_S
        )
    )
