"""Cuts VMs from all searchers in a soak, and what callers must not notice.

See `bench.promises`.
"""

import asyncio
import typing

from bench import checker
from bench import soak_history
from fakes import link

if typing.TYPE_CHECKING:
    from bench import random_faults

__all__ = ["cut_from_searchers", "isolated_vms"]

#: How VMs lose all searchers: connections are reset and refused; open ones live
#: on and new ones are refused; open ones hang and new ones are refused.
KINDS = ("reset", "refuse", "hang")
#: Length of a cut and of a flap, in seconds (ranges). A cut of the first length
#: counts for some seconds after `soak_history.SETTLE_S`.
LENGTHS_S, FLAPS_S = (6.0, 9.0), (0.3, 1.5)
#: Least share of the requests served at isolated VMs, as a fraction of the
#: others' share, and the failures that are allowed all the same: a number and
#: a fraction of the requests at all VMs.
SERVED_FRACTION = 2 / 3
FAILED_REQUESTS, FAILED_FRACTION = 10, 1 / 50


async def cut_from_searchers(run: "random_faults.SoakRun") -> None:
    """Cuts one VM, some or all from all searchers, at times repeatedly."""
    rng, vms = run.rng, run.running.vms
    names = rng.sample(sorted(vms), rng.randint(1, len(vms)))
    sources = [vms[name].address for name in names]
    lengths_s = [rng.uniform(*LENGTHS_S)]
    if rng.random() < 0.3:
        lengths_s = [rng.uniform(*FLAPS_S) for _ in range(4)]
    for length_s in lengths_s:
        kind = rng.choice(KINDS)
        fault = link.Faults(refuse_from=sources)
        if kind == "reset":
            fault = link.Faults(cut_from=sources)
        started_s = run.loop.time()
        run.cut_faults.append(fault)
        apply_cuts(run)
        if kind == "hang":
            for server in run.running.servers.values():
                server.link.silence(sources)
        await asyncio.sleep(length_s)
        run.cut_faults.remove(fault)
        apply_cuts(run)
        run.cuts.append(
            soak_history.Cut(frozenset(names), started_s, run.loop.time())
        )
        await asyncio.sleep(rng.uniform(*FLAPS_S))


def apply_cuts(run: "random_faults.SoakRun") -> None:
    """Applies all present cuts to all links, also to those that follow."""
    run.running.cut = link.Faults(
        cut_from=[name for row in run.cut_faults for name in row.cut_from],
        refuse_from=[
            name for row in run.cut_faults for name in row.refuse_from
        ],
    )
    for server in run.running.servers.values():
        server.link.set_faults(run.running.cut)


def isolated_vms(history: soak_history.History) -> checker.CheckResult:
    """VMs that are cut from all searchers serve about as well as the others.

    Checked at VMs without another fault, from `soak_history.SETTLE_S` after the
    start of a cut.
    """
    violations, exercised = [], 0
    for cut in history.cuts:
        begin_s = cut.started_s + soak_history.SETTLE_S
        records = [
            record
            for record in history.records
            if begin_s <= record.sent_s < cut.ended_s
            and record.kind in ("query", "read", "save")
            and not record.caller_left
            and soak_history.is_undisturbed(
                history, record.vm, record.sent_s, record.ended_s
            )
        ]
        isolated = [row for row in records if row.vm in cut.vms]
        others = [row for row in records if row.vm not in cut.vms]
        if not isolated or not others:
            continue
        exercised += len(isolated)
        served = sum(row.status == 200 for row in isolated)
        others_served = sum(row.status == 200 for row in others)
        failed = len(isolated) - served
        if served / len(isolated) < SERVED_FRACTION * others_served / len(
            others
        ) and failed > FAILED_REQUESTS + FAILED_FRACTION * len(records):
            violations.append(
                f"{served} of {len(isolated)} served, at other VMs"
                f" {others_served} of {len(others)}"
            )
    return checker.CheckResult(exercised, violations)
