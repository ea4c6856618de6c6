"""Trouble: callers' load and random faults on one fleet of gateways."""

import asyncio
import collections.abc
import functools
import random
import signal
import typing

from bench import fleet
from bench import promises
from fakes import callers
from fakes import link
from fakes import objects

__all__ = ["Soak"]

#: Load before the first fault, with faults, and after the last one begins, in
#: seconds.
BEFORE_S, FAULTS_S, AFTER_S = 1.0, 10.0, 9.0
#: Faults of one seed.
LEAST_FAULTS, MOST_FAULTS = 4, 9
#: Callers a VM, and the mean pause of each between two requests, in seconds.
CALLERS, PAUSE_S = 4, 0.05
#: Interval at which the balancer asks for readiness, in seconds.
BALANCER_S = 0.5
#: Longest time that a process may take to end, in seconds.
STOP_S = 8.0
#: How much more often than others a fault is drawn: those that only one or two
#: promises are about.
WEIGHTS = {"stop": 4, "drain": 3, "storm": 2, "reshard": 2, "kill": 2}
#: What a way to a VM does; None: what is open falls silent.
WAYS = (
    ("cut", link.Faults(cut=True)),
    ("late", link.Faults(delay_ms=60)),
    ("silent", None),
)
MANNERS = ("slow", "failing", "full", "mute", "resetting", "cut")


class Soak:
    """State of one seed.

    Attributes:
        running: The fleet.
        chosen: Source of all that is drawn.
        listed: Faults instead of drawn ones.
        records: Of the callers.
        spans: Faults.
        drained: Searchers that were told to drain.
        ready: VMs that the balancer sends callers to.
        stopped: Whether the load has ended.
    """

    def __init__(
        self,
        running: fleet.Fleet,
        chosen: random.Random,
        listed: tuple[str, ...] = (),
    ) -> None:
        self.running = running
        self.chosen = chosen
        self.listed = listed
        self.records: list[promises.Record] = []
        self.spans: list[promises.Span] = []
        self.drained: dict[str, float] = {}
        self.ready = set(running.vms)
        self.busy: set[str] = set()
        self.stopped = False
        self.requests = 0
        self.loop = asyncio.get_running_loop()

    # Callers

    async def balance(self) -> None:
        """Asks the VMs whether they are ready; two misses take one out."""
        misses = dict.fromkeys(self.running.vms, 0)
        while True:
            for name, vm in self.running.vms.items():
                ready = await self.running.is_ready(vm)
                misses[name] = 0 if ready else misses[name] + 1
                if ready:
                    self.ready.add(name)
                elif misses[name] >= 2:
                    self.ready.discard(name)
            await asyncio.sleep(BALANCER_S)

    async def call(self, number: int) -> None:
        """Makes requests, on one connection while it lives."""
        chosen = random.Random(number)
        caller, vm = None, None
        while not self.stopped:
            await asyncio.sleep(chosen.random() * 2 * PAUSE_S)
            if caller is None or caller.writer is None:
                names = sorted(self.ready) or sorted(self.running.vms)
                vm = self.running.vms[chosen.choice(names)]
                caller = callers.Caller(vm.callers)
            assert vm is not None
            self.records.append(await self.ask(chosen, caller, vm))

    async def ask(
        self, chosen: random.Random, caller: callers.Caller, vm: fleet.Vm
    ) -> promises.Record:
        """Makes one request."""
        self.requests += 1
        request_id = f"r{self.requests}"
        kind = chosen.choices(
            ("query", "read", "save", "version"), (5, 3, 2, 2)
        )[0]
        newest = max(self.running.versions)
        version = max(1, newest - chosen.randrange(2))
        path = f"v{version}" if kind == "version" else kind
        patience_s = chosen.choice((0.3, 1.0, 1.0))
        leaves = chosen.random() < 0.03
        raw = callers.encode(
            fleet.HOST, f"/{path}/x", request_id, int(patience_s * 1000)
        )
        fresh = caller.writer is None
        sent_s, start = self.loop.time(), vm.starts
        answer = callers.Answer(0, {}, b"")
        try:
            wait_s = 0.01 if leaves else patience_s + 1.0
            answer = await caller.ask(raw, wait_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            caller.close()
        return promises.Record(
            *(kind, request_id, vm.name, start, sent_s, self.loop.time()),
            *(patience_s, *answer, version),
            left=leaves and not answer.status,
            fresh=fresh,
        )

    # Faults

    def note(
        self, name: str, vm: str, begun_s: float, planned: bool = False
    ) -> None:
        """Notes a fault that ends now."""
        ended_s = self.loop.time()
        self.spans.append(promises.Span(name, vm, begun_s, ended_s, planned))

    def pick_vm(self) -> fleet.Vm | None:
        """Returns a VM that no other fault of its process concerns."""
        names = sorted(set(self.running.vms) - self.busy)
        return self.running.vms[self.chosen.choice(names)] if names else None

    def pick_searcher(self) -> fleet.Server:
        names = sorted(self.running.servers)
        return self.running.servers[self.chosen.choice(names)]

    async def signal_vm(
        self, name: str, work: collections.abc.Callable[..., typing.Any]
    ) -> None:
        """Does something to the process of a VM."""
        vm = self.pick_vm()
        if vm is None:
            return
        self.busy.add(vm.name)
        begun_s = self.loop.time()
        try:
            await work(vm)
        finally:
            self.busy.discard(vm.name)
            self.note(name, vm.name, begun_s, planned=name == "stop")

    async def restart(self, vm: fleet.Vm) -> None:
        """Starts a VM's process and waits until it is ready."""
        self.running.start_vm(vm)
        async with asyncio.timeout(fleet.START_S):
            while not await self.running.is_ready(vm):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def kill(self, vm: fleet.Vm) -> None:
        vm.signal(signal.SIGKILL)
        await asyncio.sleep(self.chosen.uniform(0.1, 1.0))
        await self.restart(vm)

    async def freeze(self, vm: fleet.Vm) -> None:
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self.chosen.uniform(0.2, 3.0))
        vm.signal(signal.SIGCONT)

    async def stop(self, vm: fleet.Vm) -> None:
        vm.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_S):
            while vm.is_alive():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await self.restart(vm)

    async def reload(self, vm: fleet.Vm) -> None:
        vm.signal(signal.SIGHUP)

    async def store(self, name: str, change: objects.Faults) -> None:
        """Lets the store misbehave for a while."""
        begun_s = self.loop.time()
        self.running.store.faults = change
        await asyncio.sleep(self.chosen.uniform(0.5, 4.0))
        self.running.store.faults = objects.Faults()
        self.note(name, "", begun_s)

    async def forget(self, name: str) -> None:
        """Lets the store forget its history, or its watchers."""
        begun_s = self.loop.time()
        if name == "store-forgets":
            self.running.store.forget()
        else:
            self.running.store.forget_watchers()
        self.note(name, "", begun_s)

    async def cut_store(self, silent: bool) -> None:
        """Cuts one VM off from the store."""
        names = sorted(self.running.vms)
        vm = self.running.vms[self.chosen.choice(names)]
        begun_s = self.loop.time()
        if silent:
            vm.link.silence()
        else:
            vm.link.set_faults(link.Faults(cut=True))
            await asyncio.sleep(self.chosen.uniform(0.5, 4.0))
            vm.link.set_faults(link.Faults())
        self.note("store-cut", vm.name, begun_s)

    async def harm_way(
        self, name: str, way: str, change: link.Faults | None
    ) -> None:
        """Lets the way of callers, or of other VMs, to one VM misbehave.

        Args:
            name: Of the fault.
            way: Attribute of the VM that holds the link.
            change: Of the link; None silences what is open.
        """
        chosen = self.running.vms[self.chosen.choice(sorted(self.running.vms))]
        taken: link.Link = getattr(chosen, way)
        begun_s = self.loop.time()
        if change is None:
            taken.silence()
        else:
            taken.set_faults(change)
            await asyncio.sleep(self.chosen.uniform(0.5, 4.0))
            taken.set_faults(link.Faults())
        self.note(name, chosen.name, begun_s)

    async def bear_again(self) -> None:
        """Lets a searcher start anew under its id."""
        server = self.pick_searcher()
        if server.searcher.name in self.drained:
            return
        begun_s = self.loop.time()
        await self.running.bear_again(server)
        self.note("born-again", "-", begun_s)

    async def harm_link(self, change: link.Faults | None) -> None:
        """Lets the link of a searcher misbehave; None silences it."""
        server = self.pick_searcher()
        begun_s = self.loop.time()
        if change is None:
            server.link.silence()
        else:
            server.link.set_faults(change)
            await asyncio.sleep(self.chosen.uniform(0.5, 4.0))
            server.link.set_faults(link.Faults())
        self.note("searcher-link", "-", begun_s)

    async def harm_searcher(self) -> None:
        """Lets a searcher, or all of a service, misbehave."""
        server = self.pick_searcher()
        rows = [server]
        if self.chosen.random() < 0.3:
            names = self.running.of(server.service)
            rows = [self.running.servers[name] for name in names]
        begun_s = self.loop.time()
        manner = self.chosen.choice(MANNERS)
        for row in rows:
            row.manner = manner
        await asyncio.sleep(self.chosen.uniform(0.5, 4.0))
        for row in rows:
            row.manner = "healthy"
        self.note(manner, "-", begun_s)

    async def drain(self) -> None:
        """Replaces a searcher: another one comes, it drains and goes."""
        server = self.pick_searcher()
        name = server.searcher.name
        if name in self.drained:
            return
        begun_s = self.loop.time()
        await self.running.add_searcher(server.service)
        self.drained[name] = self.loop.time()
        self.running.list_searcher(name, "draining")
        await asyncio.sleep(3.5)
        self.running.store.delete("servers", name)
        await server.searcher.stop()
        await server.link.close()
        self.note("drain", "-", begun_s)

    async def configure(self, times: int) -> None:
        """Writes configurations, one after the other."""
        begun_s = self.loop.time()
        for _ in range(times):
            newest = max(self.running.versions)
            self.running.configure(self.running.lists[newest])
            await asyncio.sleep(0.2)
        self.note("configure", "-", begun_s)

    async def reshard(self) -> None:
        """Cuts the index in one shard more or fewer."""
        begun_s = self.loop.time()
        names = self.running.lists[max(self.running.versions)]
        if self.chosen.random() < 0.5:
            names = names[:-1]
        else:
            fresh = f"shard-{self.running.births}"
            for _ in range(2):
                await self.running.add_searcher(fresh)
            names = (*names, fresh)
        self.running.configure(names)
        self.note("reshard", "-", begun_s)

    def faults(self) -> dict[str, collections.abc.Callable[[], typing.Any]]:
        """Returns the faults by name."""
        return {
            "kill": lambda: self.signal_vm("kill", self.kill),
            "freeze": lambda: self.signal_vm("freeze", self.freeze),
            "stop": lambda: self.signal_vm("stop", self.stop),
            "reload": lambda: self.signal_vm("reload", self.reload),
            "store-down": lambda: self.store(
                "store-down", objects.Faults(status=503)
            ),
            "store-hangs": lambda: self.store(
                "store-hangs", objects.Faults(hang=True)
            ),
            "store-late": lambda: self.store(
                "store-late", objects.Faults(late_s=0.3)
            ),
            "store-spoils": lambda: self.store(
                "store-spoils", objects.Faults(spoil=b"{")
            ),
            "store-forgets": lambda: self.forget("store-forgets"),
            "watchers-forgotten": lambda: self.forget("watchers-forgotten"),
            "store-cut": lambda: self.cut_store(False),
            "store-silent": lambda: self.cut_store(True),
            "link-cut": lambda: self.harm_link(link.Faults(cut=True)),
            "link-late": lambda: self.harm_link(link.Faults(delay_ms=60)),
            "link-silent": lambda: self.harm_link(None),
            **{
                f"{way}-{name}": functools.partial(
                    self.harm_way, f"{way}-{name}", way, change
                )
                for way in ("front", "exchange")
                for name, change in WAYS
            },
            "born-again": self.bear_again,
            "searcher": self.harm_searcher,
            "drain": self.drain,
            "configure": lambda: self.configure(1),
            "storm": lambda: self.configure(5),
            "reshard": self.reshard,
        }

    async def harm(self) -> list[str]:
        """Makes faults in series, some of them overlapping."""
        table = self.faults()
        count = self.chosen.randint(LEAST_FAULTS, MOST_FAULTS)
        drawn = sorted(table)
        weights = [WEIGHTS.get(name, 1) for name in drawn]
        names = self.chosen.choices(drawn, weights, k=count)
        if self.listed:
            names, count = list(self.listed), len(self.listed)
        tasks = []
        for name in names:
            await asyncio.sleep(self.chosen.uniform(0, 2 * FAULTS_S / count))
            tasks.append(asyncio.ensure_future(table[name]()))
        await asyncio.gather(*tasks)
        return names

    async def run(
        self, after_s: float = AFTER_S
    ) -> tuple[list[str], promises.History]:
        """Plays the load with the faults.

        Args:
            after_s: Load after the last fault.

        Returns:
            Names of the faults, and what happened.
        """
        background = asyncio.create_task(self.balance())
        count = CALLERS * min(len(self.running.vms), 6)
        load = [
            asyncio.create_task(self.call(self.chosen.randrange(2**32)))
            for _ in range(count)
        ]
        await asyncio.sleep(BEFORE_S)
        names = await self.harm()
        await asyncio.sleep(after_s)
        self.stopped = True
        await asyncio.gather(*load)
        # What runs although it was refused comes later.
        await asyncio.sleep(1.0)
        background.cancel()
        return names, promises.History(
            *(self.records, self.running.arrivals, self.spans),
            *(self.running.versions, self.running.lists, self.drained),
            *(self.running.shape.allowance, self.loop.time()),
        )
