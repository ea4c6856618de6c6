"""Runs caller load and injects random faults on one fleet of gateways."""

import asyncio
import collections
import collections.abc
import functools
import math
import random
import signal
import typing

from bench import cut_faults
from bench import fleet
from bench import fleet_members
from bench import place_faults
from bench import platform_documents
from bench import searcher_faults
from bench import soak_history
from bench import soak_workspaces
from bench import store_faults
from fakes import callers
from fakes import link

__all__ = ["SoakRun"]

#: Time of load before the first fault, mean time over which faults start, and
#: time of load after the last fault, in seconds.
BEFORE_S, FAULTS_S, AFTER_S = 1.0, 10.0, 9.0
#: Minimum and maximum number of faults in a run.
MIN_FAULTS, MAX_FAULTS = 4, 9
#: Callers per VM, and the mean pause between two requests of a caller, in
#: seconds.
CALLERS_PER_VM, MEAN_PAUSE_S = 4, 0.05
#: Mean pause between two requests of a caller that stays with its VM, in
#: seconds, and the number of VMs from which it grows, which bounds their load.
STAYING_PAUSE_S, MAX_STAYING = 0.1, 6
#: Interval at which the load balancer polls readiness, in seconds.
READINESS_POLL_S = 0.5
#: Interval at which this process looks whether it ran, and the time from which
#: it did not, in seconds.
STANDSTILL_POLL_S, MIN_STANDSTILL_S = 0.02, 0.12
#: Maximum time for a process to stop, in seconds.
STOP_TIMEOUT_S = 8.0
#: Relative probability of each fault; 1 if not listed. Faults that exercise
#: only one or two promises get a higher weight.
FAULT_WEIGHTS = collections.defaultdict(
    lambda: 1, stop=4, drain=3, storm=2, reshard=2, kill=2
)
FAULT_WEIGHTS |= {"pause": 3, "leave": 3, "restore": 2}
FAULT_WEIGHTS |= {"evacuate": 6, "cold": 6, "keys": 4, "burst": 6}
FAULT_WEIGHTS |= {"limit": 5, "crashing": 4, "cut": 5}
#: Faults of a network link; None black-holes its open connections.
LINK_FAULTS = (
    ("cut", link.Faults(cut=True)),
    ("late", link.Faults(delay_ms=60)),
    ("silent", None),
)
#: Faulty behaviours of a searcher; see `fleet.Fleet.respond`.
BEHAVIOURS = ("slow", "failing", "full", "mute", "resetting", "cut")
STUTTERING_BEHAVIOURS = ("rejecting", "stuttering", "stutter-fail")
ENDLESS_BEHAVIOURS = ("endless-head", "endless-body")


class SoakRun:
    """State of one soak run.

    Attributes:
        running: The fleet under test.
        rng: Random generator of all choices.
        fault_names: Faults to inject; random ones if empty.
        records: Requests of the callers with their responses.
        fault_spans: Faults that have ended.
        drained: Loop time at which each searcher was told to drain, by id.
        ready: Names of the VMs that the load balancer sends callers to.
        busy: Names of the VMs whose process has a fault at present.
        stopped: Whether the callers should stop.
        restoring: Held while the store comes back from a copy.
        requests: Number of requests sent so far.
        cut_faults: Present faults of all searchers' links that cut VMs.
        cuts: Cuts that have ended.
        standstills: Start and end of each time in which this process did not
            run, as loop times in seconds.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        rng: random.Random,
        fault_names: tuple[str, ...] = (),
    ) -> None:
        self.running = running
        self.rng = rng
        self.fault_names = fault_names
        self.records: list[soak_history.Record] = []
        self.fault_spans: list[soak_history.FaultSpan] = []
        self.drained: dict[str, float] = {}
        self.ready = set(running.vms)
        self.busy: set[str] = set()
        self.stopped = False
        self.restoring = asyncio.Lock()
        self.requests = 0
        self.cut_faults: list[link.Faults] = []
        self.cuts: list[soak_history.Cut] = []
        self.standstills: list[tuple[float, float]] = []
        self.loop = asyncio.get_running_loop()

    # Callers

    async def poll_readiness(self) -> None:
        """Polls the readiness of each VM.

        Two failed polls in a row remove a VM from the ready set.
        """
        misses = dict.fromkeys(self.running.vms, 0)
        while True:
            for name, vm in self.running.vms.items():
                ready = await self.running.is_ready(vm)
                misses[name] = 0 if ready else misses[name] + 1
                if ready:
                    self.ready.add(name)
                elif misses[name] >= 2:
                    self.ready.discard(name)
            await asyncio.sleep(READINESS_POLL_S)

    async def record_standstills(self) -> None:
        """Records when this process doesn't run, as on a busy machine."""
        while True:
            started_s = self.loop.time()
            await asyncio.sleep(STANDSTILL_POLL_S)
            ended_s = self.loop.time()
            if ended_s > started_s + MIN_STANDSTILL_S:
                self.standstills.append((started_s, ended_s))

    async def run_caller(
        self,
        seed: int | str,
        own_vm: str = "",
        pause_s: float = MEAN_PAUSE_S,
        burst: tuple[str, float] = ("", math.inf),
    ) -> None:
        """Sends requests on one connection until it closes, then reconnects.

        Args:
            seed: Seed of its choices.
            own_vm: VM that it stays with, whatever that reports; if empty, it
                connects to any VM that is ready.
            pause_s: Mean pause between two requests, in seconds.
            burst: Workspace for which it sends all requests, if any, and the
                loop time at which it ends, in seconds.
        """
        rng = random.Random(seed)
        caller, vm = None, None
        workspace, end_s = burst
        while not self.stopped and self.loop.time() < end_s:
            await asyncio.sleep(rng.random() * 2 * pause_s)
            if caller is None or caller.writer is None:
                names = sorted(self.ready) or sorted(self.running.vms)
                names = [own_vm] if own_vm else names
                vm = self.running.vms[rng.choice(names)]
                caller = callers.Caller(vm.callers)
            assert vm is not None
            self.records.append(
                await self.send_request(rng, caller, vm, workspace=workspace)
            )

    async def send_request(
        self,
        rng: random.Random,
        caller: callers.Caller,
        vm: fleet_members.Vm,
        crashing: str = "",
        workspace: str = "",
    ) -> soak_history.Record:
        """Sends one request and returns its record.

        Args:
            rng: Random generator of the request.
            caller: Connection to use.
            vm: VM that it leads to.
            crashing: Path of a request that crashes searchers; if empty, a
                random other request is sent.
            workspace: Workspace that sends the request; if empty, a random one
                does, where there are any.
        """
        self.requests += 1
        request_id = f"r{self.requests}"
        kind = rng.choices(("query", "read", "save", "version"), (5, 3, 2, 2))[
            0
        ]
        newest = max(self.running.versions)
        version = max(1, newest - rng.randrange(2))
        path = f"v{version}" if kind == "version" else kind
        target = f"/{path}/x"
        if crashing:
            kind, target = "crash", crashing
            workspace = soak_workspaces.CHANGING
        options: dict[str, typing.Any] = {}
        origin: dict[str, typing.Any] = {}
        if self.running.shape.workspaces:
            origin, path, options["headers"] = soak_workspaces.pick_sender(
                rng, self.running.key_changes, workspace, kind
            )
            target = f"/{path}/x" if path else target
            # A body makes each request a different one, which must not be so
            # for requests that crash searchers.
            if origin["regions"] and not crashing:
                options["method"] = "POST"
                options["body"] = f"body-of-{request_id};".encode()
        timeout_s = rng.choice((0.3, 1.0, 1.0))
        disconnects = rng.random() < 0.03
        raw = callers.encode_request(
            platform_documents.HOST,
            target,
            request_id,
            int(timeout_s * 1000),
            **options,
        )
        new_connection = caller.writer is None
        sent_s, start_count = self.loop.time(), vm.start_count
        answer = callers.Response(0, {}, b"")
        try:
            wait_s = 0.01 if disconnects else timeout_s + 1.0
            answer = await caller.ask(raw, wait_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            caller.close()
        return soak_history.Record(
            *(kind, request_id, vm.name, start_count, sent_s, self.loop.time()),
            *(timeout_s, *answer, version),
            caller_left=disconnects and not answer.status,
            new_connection=new_connection,
            target=target,
            **origin,
        )

    # Faults

    def record_fault(
        self, name: str, vm: str, started_s: float, planned: bool = False
    ) -> None:
        """Records a fault that ends now."""
        ended_s = self.loop.time()
        self.fault_spans.append(
            soak_history.FaultSpan(name, vm, started_s, ended_s, planned)
        )

    def pick_vm(self) -> fleet_members.Vm | None:
        """Returns a random VM without a process fault, or None."""
        names = sorted(set(self.running.vms) - self.busy)
        return self.running.vms[self.rng.choice(names)] if names else None

    def pick_searcher(self) -> fleet_members.Server:
        names = sorted(self.running.servers)
        return self.running.servers[self.rng.choice(names)]

    async def run_process_fault(
        self, name: str, action: collections.abc.Callable[..., typing.Any]
    ) -> None:
        """Runs a process fault on a random VM."""
        vm = self.pick_vm()
        if vm is None:
            return
        self.busy.add(vm.name)
        started_s = self.loop.time()
        try:
            await action(vm)
        finally:
            self.busy.discard(vm.name)
            self.record_fault(name, vm.name, started_s, planned=name == "stop")

    async def restart(self, vm: fleet_members.Vm) -> None:
        """Starts the process of a VM and waits until it is ready."""
        self.running.start_vm(vm)
        async with asyncio.timeout(fleet.START_TIMEOUT_S):
            while not await self.running.is_ready(vm):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def kill(self, vm: fleet_members.Vm) -> None:
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await self.restart(vm)

    async def freeze(self, vm: fleet_members.Vm) -> None:
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        vm.signal(signal.SIGCONT)

    async def stop(self, vm: fleet_members.Vm) -> None:
        vm.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while vm.is_alive():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await self.restart(vm)

    async def reload(self, vm: fleet_members.Vm) -> None:
        vm.signal(signal.SIGHUP)

    async def degrade_vm_link(
        self, name: str, attribute: str, change: link.Faults | None
    ) -> None:
        """Applies a fault to the link from callers or other VMs to one VM.

        Args:
            name: Name of the fault.
            attribute: Attribute of the VM that holds the link.
            change: Faults to set on the link; None black-holes its open
                connections.
        """
        vm = self.running.vms[self.rng.choice(sorted(self.running.vms))]
        vm_link: link.Link = getattr(vm, attribute)
        started_s = self.loop.time()
        if change is None:
            vm_link.silence()
        else:
            vm_link.set_faults(change)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            vm_link.set_faults(link.Faults())
        self.record_fault(name, vm.name, started_s)

    async def configure(self, times: int) -> None:
        """Writes new configuration versions, one after another."""
        started_s = self.loop.time()
        for _ in range(times):
            newest = max(self.running.versions)
            self.running.configure(self.running.shard_lists[newest])
            await asyncio.sleep(0.2)
        self.record_fault("configure", "-", started_s)

    async def reshard(self) -> None:
        """Adds a shard to the index or removes one."""
        started_s = self.loop.time()
        names = self.running.shard_lists[max(self.running.versions)]
        if self.rng.random() < 0.5:
            names = names[:-1]
        else:
            new_shard = f"shard-{self.running.searchers_started}"
            for _ in range(2):
                await self.running.add_searcher(new_shard)
            names = (*names, new_shard)
        self.running.configure(names)
        self.record_fault("reshard", "-", started_s)

    def link_faults(
        self,
    ) -> collections.abc.Mapping[str, store_faults.Action]:
        """Returns the coroutine function of each fault of a link."""
        return {
            f"link-{name}": functools.partial(
                searcher_faults.degrade_searcher_link, self, change
            )
            for name, change in LINK_FAULTS
        } | {
            f"{attribute}-{name}": functools.partial(
                self.degrade_vm_link, f"{attribute}-{name}", attribute, change
            )
            for attribute in ("front", "exchange")
            for name, change in LINK_FAULTS
        }

    def faults(self) -> collections.abc.Mapping[str, store_faults.Action]:
        """Returns the coroutine function of each fault by name."""
        return {
            "kill": lambda: self.run_process_fault("kill", self.kill),
            "freeze": lambda: self.run_process_fault("freeze", self.freeze),
            "stop": lambda: self.run_process_fault("stop", self.stop),
            "reload": lambda: self.run_process_fault("reload", self.reload),
            **store_faults.faults(self),
            **self.link_faults(),
            "born-again": lambda: searcher_faults.restart_searcher(self),
            "searcher": lambda: searcher_faults.degrade_searcher(
                self, *BEHAVIOURS
            ),
            "stutter": lambda: searcher_faults.degrade_searcher(
                self, *STUTTERING_BEHAVIOURS
            ),
            "endless": lambda: searcher_faults.degrade_searcher(
                self, *ENDLESS_BEHAVIOURS
            ),
            "pause": lambda: searcher_faults.degrade_searcher(self, "pausing"),
            "limit": lambda: searcher_faults.limit_searchers(self),
            "crashing": lambda: searcher_faults.repeat_crashing_request(self),
            "drain": lambda: searcher_faults.drain(self),
            "configure": lambda: self.configure(1),
            "storm": lambda: self.configure(5),
            "reshard": self.reshard,
            "cut": lambda: cut_faults.cut_from_searchers(self),
            "leave": lambda: searcher_faults.leave(self),
            **(
                place_faults.faults(self)
                if self.running.shape.workspaces
                else {}
            ),
        }

    async def inject_faults(self, spread_s: float) -> list[str]:
        """Starts faults at random intervals, so that some of them overlap.

        Args:
            spread_s: Mean time over which they start, in seconds.

        Returns:
            Names of the injected faults.
        """
        actions = self.faults()
        count = self.rng.randint(MIN_FAULTS, MAX_FAULTS)
        all_names = sorted(actions)
        weights = [FAULT_WEIGHTS[name] for name in all_names]
        names = self.rng.choices(all_names, weights, k=count)
        if self.fault_names:
            names, count = list(self.fault_names), len(self.fault_names)
        tasks = []
        for name in names:
            await asyncio.sleep(self.rng.uniform(0, 2 * spread_s / count))
            tasks.append(asyncio.ensure_future(actions[name]()))
        await asyncio.gather(*tasks)
        return names

    async def run(
        self, after_s: float = AFTER_S, spread_s: float = FAULTS_S
    ) -> tuple[list[str], soak_history.History]:
        """Runs the load and injects the faults.

        Args:
            after_s: Time of load after the last fault, in seconds.
            spread_s: Mean time over which faults start, in seconds.

        Returns:
            Names of the injected faults, and the history of the run.
        """
        background = [
            asyncio.create_task(self.poll_readiness()),
            asyncio.create_task(self.record_standstills()),
        ]
        count = CALLERS_PER_VM * min(len(self.running.vms), 6)
        load = [
            asyncio.create_task(self.run_caller(self.rng.randrange(2**32)))
            for _ in range(count)
        ]
        # The others leave a VM that is cut from all searchers, since it reports
        # that it is not ready. The platform sends some requests to every VM.
        pause_s = STAYING_PAUSE_S * max(1, len(self.running.vms) / MAX_STAYING)
        load += [
            asyncio.create_task(self.run_caller(name, name, pause_s))
            for name in self.running.vms
        ]
        await asyncio.sleep(BEFORE_S)
        names = await self.inject_faults(spread_s)
        if self.running.shape.warm_up_per_s:
            after_s += platform_documents.WARM_UP_S
        await asyncio.sleep(after_s)
        self.stopped = True
        await asyncio.gather(*load)
        # Wait for refused requests that a searcher might still run.
        await asyncio.sleep(1.0)
        for task in background:
            task.cancel()
        return names, soak_history.History(
            *(self.records, self.running.arrivals, self.fault_spans),
            *(self.running.versions, self.running.shard_lists, self.drained),
            *(self.running.shape.retry_slack, self.loop.time()),
            # Requests of isolated VMs are sent by others.
            direct=self.running.shape.calls_directly and not self.cuts,
            cuts=tuple(self.cuts),
            places=self.running.places,
            workspaces=self.running.workspaces,
            standstills=tuple(self.standstills),
        )
