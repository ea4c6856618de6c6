"""Faults of the store in a soak."""

import asyncio
import collections.abc
import functools
import typing

from fakes import link
from fakes import objects

if typing.TYPE_CHECKING:
    from bench import random_faults

__all__ = ["Action", "faults"]

Action = collections.abc.Callable[[], typing.Any]

#: Age of the copy that the store comes back from (range), and the time after
#: which its writers write again, in seconds.
COPY_AGES_S, REWRITE_S = (0.5, 3.0), 1.0
#: Faults of all of the store's responses.
DEGRADED = {
    "store-down": objects.Faults(status=503),
    "store-hangs": objects.Faults(hang=True),
    "store-late": objects.Faults(delay_s=0.3),
    "store-spoils": objects.Faults(replacement_body=b"{"),
}


def faults(
    run: "random_faults.SoakRun",
) -> collections.abc.Mapping[str, Action]:
    """Returns the coroutine function of each fault by name."""
    degraded = {
        name: functools.partial(degrade_store, run, name, change)
        for name, change in DEGRADED.items()
    }
    lost = {
        name: functools.partial(lose_store_state, run, name)
        for name in ("store-forgets", "watchers-forgotten")
    }
    return (
        degraded
        | lost
        | {
            "store-cut": functools.partial(partition_store, run, False),
            "store-silent": functools.partial(partition_store, run, True),
            "restore": functools.partial(restore_store, run),
        }
    )


async def degrade_store(
    run: "random_faults.SoakRun", name: str, change: objects.Faults
) -> None:
    """Applies faults to the store for a random time."""
    started_s = run.loop.time()
    run.running.store.faults = change
    await asyncio.sleep(run.rng.uniform(0.5, 4.0))
    run.running.store.faults = objects.Faults()
    run.record_fault(name, "", started_s)


async def lose_store_state(run: "random_faults.SoakRun", name: str) -> None:
    """Makes the store lose its history or its watchers."""
    started_s = run.loop.time()
    if name == "store-forgets":
        run.running.store.drop_history()
    else:
        run.running.store.abandon_watches()
    run.record_fault(name, "", started_s)


async def partition_store(
    run: "random_faults.SoakRun", blackhole: bool
) -> None:
    """Partitions one VM from the store.

    Args:
        run: Soak run.
        blackhole: Whether to black-hole open connections instead of
            closing and refusing connections.
    """
    names = sorted(run.running.vms)
    vm = run.running.vms[run.rng.choice(names)]
    started_s = run.loop.time()
    if blackhole:
        vm.store_link.silence()
    else:
        vm.store_link.set_faults(link.Faults(cut=True))
        await asyncio.sleep(run.rng.uniform(0.5, 4.0))
        vm.store_link.set_faults(link.Faults())
    run.record_fault("store-cut", vm.name, started_s)


async def restore_store(run: "random_faults.SoakRun") -> None:
    """Makes the store come back from a copy some seconds old.

    Its writers write what it lost again; deletions follow later. A second
    restore waits, since it would lose what they wrote again.
    """
    async with run.restoring:
        await restore_once(run)


async def restore_once(run: "random_faults.SoakRun") -> None:
    """Makes the store come back from a copy once."""
    store = run.running.store
    started_s = run.loop.time()
    saved = store.copy()
    await asyncio.sleep(run.rng.uniform(*COPY_AGES_S))
    store.faults = objects.Faults(status=503)
    await asyncio.sleep(run.rng.uniform(0.2, 1.0))
    # Operators may have written while the store was away.
    present = store.copy()
    store.restore(saved)
    store.faults = objects.Faults()
    await asyncio.sleep(REWRITE_S)
    for kind in ("servers", "config"):
        before = present.objects_by_kind.get(kind, {})
        for name, row in before.items():
            now = store.objects_by_kind.get(kind, {}).get(name)
            if now is None or now["spec"] != row["spec"]:
                store.put(kind, name, row["spec"])
    for domain in run.running.evacuated:
        if domain not in store.objects_by_kind.get("evacuations", {}):
            store.put("evacuations", domain, {})
    await asyncio.sleep(REWRITE_S)
    # What operators deleted in this time must not come back for good.
    for domain in list(store.objects_by_kind.get("evacuations", {})):
        if domain not in run.running.evacuated:
            store.delete("evacuations", domain)
    for name in set(saved.objects_by_kind.get("servers", {})) - set(
        present.objects_by_kind.get("servers", {})
    ):
        store.delete("servers", name)
    run.record_fault("restore", "", started_s)
