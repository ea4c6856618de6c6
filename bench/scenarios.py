"""Events that inject faults into a deployment under load.

An event is a coroutine function that takes a `Run`, injects one fault and, if
the fault is temporary, removes it after `FAULT_S`. `EVENTS` maps names to them.
"""

import asyncio
import collections.abc
import pathlib
import random
import signal
import typing

import aiohttp

from bench import checker
from bench import cluster
from examples import generate
from laurelrock import document
from laurelrock import manifest

__all__ = ["EVENTS", "Run"]

#: Duration of a temporary fault, in seconds.
FAULT_S = 2.0


class Run:
    """State of one run.

    Attributes:
        running: Processes of the deployment.
        session: HTTP client for control calls.
        first: Manifest in force at the start of the run.
        random: Random generator that chooses the targets of faults.
        shutdowns: Daemons that were told to shut down.
        publications: Manifests that were accepted.
        ledgers: Last ledgers of killed searchers by failure domain.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        session: aiohttp.ClientSession,
        first: manifest.Manifest,
        seed: int,
    ) -> None:
        self.running = running
        self.session = session
        self.first = first
        self.random = random.Random(seed)
        self.shutdowns: list[checker.Shutdown] = []
        self.publications: list[checker.Publication] = []
        self.ledgers: dict[str, typing.Any] = {}

    def now(self) -> float:
        """Returns the loop time in seconds."""
        return asyncio.get_running_loop().time()

    def vm(self) -> dict[str, str]:
        """Returns a random VM."""
        return self.random.choice(self.running.vms)

    def pick_domain(self) -> str:
        """Returns the name of a random failure domain."""
        return self.random.choice(self.running.domains)

    async def platform(self, **change: typing.Any) -> None:
        """Changes the behaviour of the fake platform."""
        url = f"{self.running.platform_url}/control"
        await cluster.post(self.session, url, change)

    async def searchers(self, domain: str, **change: typing.Any) -> None:
        """Changes the behaviour of the searchers of a failure domain."""
        url = f"{self.running.control_url(domain)}/control"
        await cluster.post(self.session, url, change)


Event = collections.abc.Callable[
    [Run], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def replicas_in(run: Run, domain: str) -> list[str]:
    """Returns the ids of the searchers in a failure domain.

    A service with two searchers has at most one of them in a domain.
    """
    return [
        searcher.id
        for application in run.first.applications.values()
        for group in application.services.values()
        for searcher in group
        if searcher.failure_domain == domain
    ]


async def read_ledger(run: Run, domain: str) -> typing.Any:
    """Returns what the searchers of a failure domain ran."""
    if domain in run.ledgers:
        return run.ledgers[domain]
    url = f"{run.running.control_url(domain)}/control/ledger"
    async with run.session.get(url) as response:
        return await response.json(content_type=None)


async def publish(run: Run, config: manifest.Manifest, name: str) -> None:
    """Publishes a manifest and records its generation."""
    path = run.running.folder / f"{name}.json"
    path.write_bytes(manifest.encode(config))
    await cluster.publish(run.running, path)
    await record_generation(run)


async def record_generation(run: Run) -> None:
    """Records the generation that the platform has accepted."""
    url = f"{run.running.platform_url}/v1/objects/manifest/head"
    async with run.session.get(url) as response:
        head = await response.json(content_type=None)
    accepted = checker.Publication(head["generation"], run.now())
    run.publications.append(accepted)


async def load_snapshots(
    run: Run, config: manifest.Manifest, domains: list[str]
) -> None:
    """Makes the searchers load the first snapshot of each application."""
    added = [
        {
            "application": name,
            "snapshot": document.unstructure(application.snapshots[0]),
        }
        for name, application in config.applications.items()
    ]
    for domain in domains:
        await run.searchers(domain, add=added)


async def run_without_fault(run: Run) -> None:
    """Injects no fault."""


def kill(role: str) -> Event:
    """Returns an event that kills and restarts daemons of a random VM.

    Args:
        role: "entry", "relay", or "vm" for both.
    """

    async def event(run: Run) -> None:
        vm = run.vm()["vm"]
        roles = ["entry", "relay"] if role == "vm" else [role]
        for name in roles:
            run.running.signal(f"{name}-{vm}", signal.SIGKILL)
        await asyncio.sleep(FAULT_S)
        for name in roles:
            run.running.start_daemon(name, vm)

    return event


def freeze(role: str) -> Event:
    """Returns an event that suspends daemons of a random VM for a while.

    Args:
        role: "entry", "relay", or "vm" for both.
    """

    async def event(run: Run) -> None:
        vm = run.vm()["vm"]
        roles = ["entry", "relay"] if role == "vm" else [role]
        for name in roles:
            run.running.signal(f"{name}-{vm}", signal.SIGSTOP)
        await asyncio.sleep(FAULT_S)
        for name in roles:
            run.running.signal(f"{name}-{vm}", signal.SIGCONT)

    return event


def terminate(role: str) -> Event:
    """Returns an event that shuts daemons down gracefully and restarts them.

    Args:
        role: "entry", "relay", or "vm" for both daemons of a random VM.
    """

    async def event(run: Run) -> None:
        row = run.vm()
        roles = ["entry", "relay"] if role == "vm" else [role]
        processes = []
        for name in roles:
            url = f"http://{row['address']}:8080" if name == "entry" else ""
            run.shutdowns.append(checker.Shutdown(url, run.now()))
            run.running.signal(f"{name}-{row['vm']}", signal.SIGTERM)
            processes.append(run.running.processes[f"{name}-{row['vm']}"])

        async def all_ended() -> bool:
            return all(process.poll() is not None for process in processes)

        await cluster.wait_for(all_ended, "waiting for the daemons to end")
        for name in roles:
            run.running.start_daemon(name, row["vm"])

    return event


async def freeze_domain(run: Run) -> None:
    """Suspends all daemons of a failure domain for a while."""
    domain = run.pick_domain()
    names = [
        f"{role}-{row['vm']}"
        for row in run.running.vms
        for role in ("entry", "relay")
        if row["failure_domain"] == domain
    ]
    for name in names:
        run.running.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FAULT_S)
    for name in names:
        run.running.signal(name, signal.SIGCONT)


def platform_fault(fault: typing.Any, healthy: typing.Any) -> Event:
    """Returns an event that applies a fault to the platform for a while."""

    async def event(run: Run) -> None:
        await run.platform(**fault)
        await asyncio.sleep(FAULT_S)
        await run.platform(**healthy)

    return event


async def cut_platform(run: Run) -> None:
    """Partitions a failure domain from the platform for a while."""
    domain = run.pick_domain()
    rows = [r for r in run.running.vms if r["failure_domain"] == domain]
    await run.platform(refuse_from=[row["address"] for row in rows])
    await asyncio.sleep(FAULT_S)
    await run.platform(refuse_from=[])


def searcher_fault(fault: str) -> Event:
    """Returns an event that makes the searchers of a domain misbehave."""

    async def event(run: Run) -> None:
        domain = run.pick_domain()
        ids = replicas_in(run, domain)
        await run.searchers(domain, searchers=ids, behaviour={"fault": fault})
        await asyncio.sleep(FAULT_S)
        await run.searchers(domain, searchers=ids, behaviour={"fault": "none"})

    return event


async def silence_searchers(run: Run) -> None:
    """Black-holes the open connections to the searchers of a domain."""
    await run.searchers(run.pick_domain(), silence=True)


async def kill_searchers(run: Run) -> None:
    """Kills all searchers of a failure domain.

    The searchers first close all connections and refuse new ones, so that they
    run nothing between the read of their ledger and the kill.
    """
    domain = run.pick_domain()
    await run.searchers(domain, behaviour={"fault": "crash"})
    run.ledgers[domain] = await read_ledger(run, domain)
    run.running.signal(f"searcher-{domain}", signal.SIGKILL)


async def drain_searchers(run: Run) -> None:
    """Makes the searchers of a domain announce draining in their replies."""
    domain = run.pick_domain()
    ids = replicas_in(run, domain)
    change = {"state": "draining"}
    await run.searchers(domain, searchers=ids, behaviour=change)


async def leave_by_manifest(run: Run) -> None:
    """Publishes a manifest that marks the searchers of a domain as leaving."""
    domain = run.pick_domain()
    applications = {}
    for name, application in run.first.applications.items():
        services = {
            service: [
                searcher._replace(state="leaving")
                if searcher.failure_domain == domain
                else searcher
                for searcher in group
            ]
            for service, group in application.services.items()
        }
        applications[name] = application._replace(services=services)
    config = run.first._replace(applications=applications)
    await publish(run, config, "leaving")
    await run.searchers(domain, behaviour={"leaving": True})


async def repartition(run: Run) -> None:
    """Publishes a repartitioned snapshot that all searchers have loaded."""
    second = generate.repartitioned(run.first)
    await load_snapshots(run, second, run.running.domains)
    await publish(run, second, "second")


async def repartition_and_drop(run: Run) -> None:
    """Publishes a new snapshot and drops the old one immediately."""
    await repartition(run)
    dropped = [
        {"application": name, "version": application.snapshots[0].version}
        for name, application in run.first.applications.items()
    ]
    for domain in run.running.domains:
        await run.searchers(domain, drop=dropped)


async def repartition_half_loaded(run: Run) -> None:
    """Publishes a snapshot that one failure domain loads only later."""
    second = generate.repartitioned(run.first)
    late_domain = run.pick_domain()
    others = [name for name in run.running.domains if name != late_domain]
    await load_snapshots(run, second, others)
    await publish(run, second, "second")
    await asyncio.sleep(FAULT_S)
    await load_snapshots(run, second, [late_domain])


async def publish_concurrently(run: Run) -> None:
    """Publishes two different manifests at the same time."""
    second = generate.repartitioned(run.first)
    await load_snapshots(run, second, run.running.domains)
    other = run.first._replace(callers=dict(run.first.callers))
    paths: list[pathlib.Path] = []
    for name, config in (("one", second), ("two", other)):
        path = run.running.folder / f"{name}.json"
        path.write_bytes(manifest.encode(config))
        paths.append(path)
    await asyncio.gather(
        *(cluster.publish(run.running, path) for path in paths),
        return_exceptions=True,
    )
    await record_generation(run)


async def publish_with_lost_replies(run: Run) -> None:
    """Publishes a manifest while the platform loses replies to writes."""
    await run.platform(lose_replies=2)
    await repartition(run)


async def write_invalid_head(run: Run) -> None:
    """Writes an invalid manifest head directly to the platform."""
    url = f"{run.running.platform_url}/v1/objects/manifest/head"
    async with run.session.get(url) as response:
        version = response.headers["ETag"]
    headers = {"If-Match": version}
    await run.session.put(url, data=b"{broken", headers=headers)


#: Events by name.
EVENTS: dict[str, Event] = {
    "none": run_without_fault,
    "kill-entry": kill("entry"),
    "kill-relay": kill("relay"),
    "kill-vm": kill("vm"),
    "freeze-entry": freeze("entry"),
    "freeze-relay": freeze("relay"),
    "freeze-vm": freeze("vm"),
    "freeze-domain": freeze_domain,
    "stop-entry": terminate("entry"),
    "stop-relay": terminate("relay"),
    "stop-vm": terminate("vm"),
    "platform-outage": platform_fault({"outage": True}, {"outage": False}),
    "platform-slow": platform_fault({"slow_ms": 400}, {"slow_ms": 0}),
    "platform-lost-replies": platform_fault(
        {"lose_replies": 5}, {"lose_replies": 0}
    ),
    "platform-cut": cut_platform,
    "searcher-crash": searcher_fault("crash"),
    "searcher-hang": searcher_fault("hang"),
    "searcher-garbage": searcher_fault("garbage"),
    "searcher-wrong-id": searcher_fault("wrong-id"),
    "searcher-silence": silence_searchers,
    "searcher-kill": kill_searchers,
    "searcher-drain": drain_searchers,
    "manifest-leaving": leave_by_manifest,
    "manifest-race": publish_concurrently,
    "manifest-lost-replies": publish_with_lost_replies,
    "manifest-broken": write_invalid_head,
    "repartition": repartition,
    "repartition-drop": repartition_and_drop,
    "repartition-half": repartition_half_loaded,
}
