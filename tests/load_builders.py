"""Loads as data, and searchers with slots that process them in virtual time.

The kinds of requests have the rates, processing times, objectives and deadlines
of `docs/design/places-tenants-load.md`.
"""

import asyncio
import collections
import heapq
import random
import typing

from laurelrock.adapters import call_queue
from laurelrock.core import call_order
from laurelrock.gateways import outcomes
from tests import gateway_builders as build
from tests import gateway_simulation as simulations


class Kind(typing.NamedTuple):
    """A kind of request: a query over shards, or a single request."""

    name: str
    work_s: float
    objective_s: float
    deadline_s: float
    priority: int = 0
    coverage: float = 1 / 90

    @property
    def target(self) -> bytes:
        return b"/" + self.name.encode()


LARGE = Kind("large", 0.030, 0.236, 2.531)
SMALL = Kind("small", 0.0101, 0.0739, 1.039)
SINGLE = Kind("single", 0.183, 0.681, 10.115, 2, 1.0)
KINDS = {kind.target: kind for kind in (LARGE, SMALL, SINGLE)}


class Arrival(typing.NamedTuple):
    """A request of a kind that arrives some seconds after the start."""

    at_s: float
    kind: Kind
    workspace: str = ""


def arrivals(
    kind: Kind, per_s: float, begin_s: float, end_s: float, workspace: str = ""
) -> list[Arrival]:
    """Returns requests at random times with a mean rate."""
    draw = random.Random(f"{kind.name} {workspace}")
    rows = []
    at_s = begin_s + draw.expovariate(per_s)
    while at_s < end_s:
        rows.append(Arrival(at_s, kind, workspace))
        at_s += draw.expovariate(per_s)
    return rows


class Served(typing.NamedTuple):
    """An arrival at one searcher; `start_s` is None if it was dropped."""

    arrival: Arrival
    start_s: float | None
    ended_s: float


class QueuedCall:
    """A call that waits for a connection; sent once a connection takes it."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


async def play_one_searcher(
    rows: list[Arrival], connections: int = 2, in_order: bool = False
) -> list[Served]:
    """Plays arrivals at one searcher; returns what became of them, in order.

    Args:
        rows: Arrivals.
        connections: Number of calls that run at the same time.
        in_order: Whether calls are taken in the order of their arrival.
    """
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    queue: call_queue.CallQueue[QueuedCall] = call_queue.CallQueue(loop)
    served: list[Served] = []
    free = connections

    def take() -> None:
        nonlocal free
        while free:
            call = queue.take()
            if call is None:
                return
            free -= 1
            loop.call_later(call.arrival.kind.work_s, end, call, loop.time())

    def end(call: QueuedCall, start_s: float) -> None:
        nonlocal free
        free += 1
        times = (start_s - begin_s, loop.time() - begin_s)
        served.append(Served(call.arrival, *times))
        call.future.set_result(None)
        take()

    calls = []
    for row in sorted(rows):
        await asyncio.sleep(max(0.0, begin_s + row.at_s - loop.time()))
        call = QueuedCall(row)

        def drop(future, row=row) -> None:
            if future.exception() is not None:
                served.append(Served(row, None, loop.time() - begin_s))

        call.future.add_done_callback(drop)
        calls.append(call.future)
        place = call_queue.arrival(loop.time())
        if not in_order:
            place = waiting_call(row, begin_s)
        queue.add(call, place)
        take()
    await asyncio.gather(*calls, return_exceptions=True)
    return served


def waiting_call(row: Arrival, begin_s: float) -> call_order.WaitingCall:
    """Returns what places a call of an arrival."""
    kind = row.kind
    arrived_s = begin_s + row.at_s
    return call_order.WaitingCall(
        kind.name,
        kind.priority,
        arrived_s,
        kind.objective_s,
        arrived_s + kind.deadline_s,
        kind.coverage,
        kind.work_s,
    )


class Slots:
    """Slots of the searchers, which all VMs share, in order of arrival.

    Attributes:
        factors: Factor of the processing time, by searcher.
    """

    def __init__(self, slots: int = 2) -> None:
        self.factors: dict[str, float] = {}
        self.free: dict[str, list[float]] = collections.defaultdict(
            lambda: [0.0] * slots
        )

    def run(self, searcher: str, work_s: float, now_s: float) -> float:
        """Runs a call; returns the time at which it ends."""
        free = self.free[searcher]
        start_s = max(now_s, heapq.heappop(free))
        end_s = start_s + work_s * self.factors.get(searcher, 1.0)
        heapq.heappush(free, end_s)
        return end_s


class SlotClient(simulations.Client):
    """Client with a few connections to a searcher with slots.

    The processing time follows from the target, as of `KINDS`. The simulation
    has an attribute `slots`.
    """

    MAX_BUSY = 2

    def __init__(self, simulation, service, searcher):
        super().__init__(simulation, service, searcher)
        self.busy = 0
        loop = asyncio.get_running_loop()
        self.queue: call_queue.CallQueue = call_queue.CallQueue(loop)

    def call(self, encode, accept, bodiless=False, describe=None):
        call = simulations.Call(asyncio.get_running_loop().create_future())
        call.accept = accept
        call.encode = encode
        if self.busy < self.MAX_BUSY:
            self.begin(call)
        else:
            self.queue.add(call, describe())
        return call

    def begin(self, call) -> None:
        loop = asyncio.get_running_loop()
        work_s = KINDS[simulations.target_of(call.encode())].work_s
        end_s = self.simulation.slots.run(self.searcher, work_s, loop.time())
        self.busy += 1
        self.send(call, call.encode, "answer", end_s - loop.time())
        loop.call_at(end_s, self.end)

    def end(self) -> None:
        self.busy -= 1
        call = self.queue.take()
        if call is not None:
            self.begin(call)


SHARDS = tuple(f"shard-{n}" for n in range(18))
#: Searchers per shard; each has two slots.
SEARCHERS = 2


def query_route(kind: Kind, shards=SHARDS):
    """Returns the route of a kind of query."""
    return build.query_route(
        shards,
        name=kind.name,
        objective_s=kind.objective_s,
        timeout_s=kind.deadline_s,
        priority=kind.priority,
        min_shard_share=0.85,
    )


def owned_fleet(routes, vms=6, shards=SHARDS, slots=2):
    """Returns VMs in two failure domains whose owners call all shards."""
    configuration = build.configuration(*routes)
    services = {
        name: service._replace(connections=6)
        for name, service in configuration.services.items()
    }
    configuration = configuration._replace(services=services)
    simulation = simulations.Simulation(
        configuration, [simulations.ScriptedCall("answer", 0.0)]
    )
    simulation.client_class = SlotClient
    simulation.slots = Slots(slots)
    for number in range(vms):
        node = simulation.add_node(number, "ab"[number % 2], vms)
        for name in shards:
            for n in range(SEARCHERS):
                simulation.change_searcher(node, f"{name}-{n}", "live")
    for node in simulation.nodes:
        node.set_vms([other.me for other in simulation.nodes])
    return simulation


class Result(typing.NamedTuple):
    """Outcome of a caller's request, without its retries."""

    arrival: Arrival
    outcome: outcomes.Outcome
    took_s: float
    calls: int

    @property
    def in_time(self) -> bool:
        """Whether the response met the objective."""
        whole = self.outcome.kind in ("answered", "partial")
        return whole and self.took_s <= self.arrival.kind.objective_s


async def play_fleet(simulation, rows: list[Arrival], seed=0, **fields):
    """Sends requests to random VMs; returns their results by arrival."""
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    draw = random.Random(f"fleet {seed}")
    routes = {row.name: row for row in simulation.configuration.routes}

    async def one(row: Arrival, number: int) -> Result:
        kind, request_id = row.kind, b"r-%d" % number
        node = draw.choice(simulation.nodes)
        started_s = loop.time()
        outcome = await node.run(
            *(routes[kind.name], request_id, kind.deadline_s, kind.target),
            row.workspace,
        )
        calls = len(simulation.received_calls_of(request_id))
        return Result(row, outcome, loop.time() - started_s, calls)

    tasks = []
    for number, row in enumerate(sorted(rows)):
        await asyncio.sleep(max(0.0, begin_s + row.at_s - loop.time()))
        tasks.append(asyncio.create_task(one(row, number)))
    return await asyncio.gather(*tasks)
