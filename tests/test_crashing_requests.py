"""Tests of requests that crash each searcher that begins to run them."""

import asyncio
import collections
import random
import typing
import unittest

from laurelrock.core import routes
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(6))
QUERY = build.query_route(SHARDS, min_shard_share=0.5)
READ = build.single_route()
ONCE = build.single_route(name="once", attempts=1)
SEARCHERS = 6
POISON = b"/poison"
#: Time in seconds after the third crash from which sends count, and how many of
#: them are allowed.
CONTACT_S, MAX_LATER = 4.0, 3
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]


class Load(typing.NamedTuple):
    """Callers of a fleet, one of whom sends a request that crashes searchers.

    Attributes:
        vms: The number of VMs.
        connections: The connections that each searcher accepts.
        route: The route of the request that crashes searchers.
        every_s: The time in seconds between its attempts.
        others_per_s: The other requests per second, over all VMs.
        seconds: The duration of the load, in seconds.
        repeated: Whether a refused or failed caller tries once more at once.
    """

    vms: int = 9
    connections: int = 26
    route: routes.Route = READ
    every_s: float = 1.7
    others_per_s: float = 15.0
    seconds: float = 30.0
    repeated: bool = True


class Played(typing.NamedTuple):
    """The simulation, and the outcomes of both kinds of requests.

    Attributes:
        simulation: The simulation.
        poisoned: The outcomes of the request that crashes searchers, with the
            times of its attempts in seconds and their durations.
        others: The statuses of the other requests.
    """

    simulation: simulations.Simulation
    poisoned: list[tuple[float, float, int]]
    others: collections.Counter[int]


def create_fleet(load: Load) -> simulations.Simulation:
    """Returns simulated VMs with six searchers of each service."""
    configuration = build.configuration(QUERY, READ, ONCE)
    services = {
        name: service._replace(connections=load.connections)
        for name, service in configuration.services.items()
    }
    simulation = simulations.Simulation(
        configuration._replace(services=services), ANSWERED
    )
    for number in range(load.vms):
        node = simulation.add_node(number, "abc"[number % 3], load.vms)
        for service in (*SHARDS, "files"):
            for n in range(SEARCHERS):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    simulation.crashing.add(POISON)
    everyone = [node.me for node in simulation.nodes]
    for node in simulation.nodes:
        node.set_vms(everyone)
    return simulation


async def play(load: Load, seed: int = 1, events=()) -> Played:
    """Plays a load.

    Args:
        load: The load.
        seed: Seed of the times and VMs of the requests.
        events: Functions that change the simulation, with their times in
            seconds.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    simulation = create_fleet(load)
    begun_s = loop.time()
    for at_s, event in events:
        loop.call_at(begun_s + at_s, event, simulation)
    poisoned: list[tuple[float, float, int]] = []

    async def poison() -> None:
        while loop.time() < begun_s + load.seconds:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * load.every_s)
            for _ in range(1 + load.repeated):
                node = rng.choice(simulation.nodes)
                sent_s = loop.time()
                outcome = await node.run(
                    load.route, b"p-%d" % len(poisoned), 1.0, POISON
                )
                took_s = loop.time() - sent_s
                poisoned.append((sent_s, took_s, outcome.status))
                await asyncio.sleep(0.004)

    statuses: collections.Counter[int] = collections.Counter()

    async def other(number: int) -> None:
        target = b"/other-%d" % (number % 40)
        for turn in range(2):
            node = rng.choice(simulation.nodes)
            request_id = b"r-%d-%d" % (number, turn)
            route = READ if number % 2 else QUERY
            outcome = await node.run(route, request_id, 1.0, target)
            if outcome.status == 200:
                break
            await asyncio.sleep(0.05)
        statuses[outcome.status] += 1

    tasks = [asyncio.create_task(poison())]
    while loop.time() < begun_s + load.seconds:
        await asyncio.sleep(rng.expovariate(load.others_per_s))
        tasks.append(asyncio.create_task(other(len(tasks))))
    await asyncio.gather(*tasks)
    return Played(simulation, poisoned, statuses)


class CrashCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def later_sends(self, played):
        """Returns the sends that count: long after the third crash."""
        crashes = played.simulation.crashes
        self.assertGreaterEqual(len(crashes), 3)
        due_s = crashes[2][1] + CONTACT_S
        return [
            row
            for row in played.simulation.received_calls
            if row.request_id.startswith(b"p-") and row.received_s > due_s
        ]


class FleetTest(CrashCase):
    def check(self, load, seeds=range(3)):
        for seed in seeds:
            with self.subTest(seed=seed):
                played = virtual_time.run(play(load, seed))
                self.assertLessEqual(len(self.later_sends(played)), MAX_LATER)

    def test_crashing_request_comes_back_at_any_vm(self):
        self.check(Load(route=ONCE))

    def test_crashing_request_is_retried(self):
        self.check(Load(route=READ))

    def test_crashing_query_comes_back(self):
        self.check(Load(route=QUERY, every_s=3.0))

    def test_crashing_query_goes_through_owners(self):
        self.check(Load(route=QUERY, every_s=3.0, connections=8))

    def test_crashing_request_goes_through_other_vms(self):
        self.check(Load(route=READ, connections=8))
