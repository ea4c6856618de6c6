"""Plays loads on simulated VMs and searchers of several failure domains."""

import asyncio
import collections.abc
import random
import typing

from laurelrock.core import routes
from laurelrock.gateways import outcomes
from laurelrock.gateways import searcher_connections
from tests import gateway_builders as build
from tests import gateway_simulation as simulations

SHARDS = [f"shard-{n}" for n in range(8)]
QUERY = build.query_route(SHARDS)
SINGLE = build.single_route("files")
SAVE = build.single_route("files", name="save", idempotent=False)
ANSWERED = [simulations.ScriptedCall("answer", 0.02)]
#: Outcomes of calls with every kind of failure, and slow responses.
FAULTS = (
    *ANSWERED * 12,
    simulations.ScriptedCall("queued", 0.3),
    simulations.ScriptedCall("silent", 0.02),
    simulations.ScriptedCall("full", 0.01),
    simulations.ScriptedCall("error", 0.02),
    simulations.ScriptedCall("unsent", 0.01),
    simulations.ScriptedCall("broken", 0.03),
    simulations.ScriptedCall("answer", 0.2),
)
#: Connections that a searcher accepts, so that all VMs call it, or owners do.
CONNECTIONS = (26, 6)


class Contact(typing.NamedTuple):
    """A request, probe or health request at a searcher."""

    host: str
    searcher: str
    at_s: float


class Client(simulations.Client):
    """Client that records every attempt to reach its searcher."""

    contacts: typing.ClassVar[list[Contact]] = []

    def record(self):
        now_s = asyncio.get_running_loop().time()
        self.contacts.append(Contact(self.host, self.searcher, now_s))

    async def try_connect(self):
        self.record()
        return await super().try_connect()

    def send(self, call, encode, kind, delay_s=0.02):
        if not call.future.done():
            self.record()
        super().send(call, encode, kind, delay_s)

    def call(self, encode, accept, bodiless=False, describe=None):
        if simulations.target_of(encode()) == simulations.HEALTH_PATH:
            self.record()
        return super().call(encode, accept, bodiless, describe)


class Ended(typing.NamedTuple):
    """A request: when it was sent, how long it took, and how it ended."""

    request_id: bytes
    sent_s: float
    seconds: float
    outcome: outcomes.Outcome


def create(domains, behaviours, connections) -> simulations.Simulation:
    """Returns two VMs, and a searcher of each service, in each domain."""
    configuration = build.configuration(QUERY, SINGLE, SAVE)
    services = {
        name: service._replace(connections=connections)
        for name, service in configuration.services.items()
    }
    simulation = simulations.Simulation(
        configuration._replace(services=services), behaviours
    )
    simulation.client_class = Client
    Client.contacts = []
    for number in range(2 * len(domains)):
        domain = domains[number % len(domains)]
        node = simulation.add_node(number, domain, 2 * len(domains))
        for service in (*SHARDS, "files"):
            for n, domain in enumerate(domains):
                simulation.failure_domains[f"{service}-{n}"] = domain
                simulation.change_searcher(node, f"{service}-{n}", "live")
    everyone = [node.me for node in simulation.nodes]
    for node in simulation.nodes:
        node.set_vms(everyone)
        simulation.run(searcher_connections.probe(node.known))
        simulation.run(node.isolation_detector.run())
    return simulation


async def play(
    simulation: simulations.Simulation,
    rng: random.Random,
    seconds: float,
    request: collections.abc.Callable[[int], tuple[routes.Route, bytes]],
) -> list[Ended]:
    """Plays 60 requests per second at random VMs.

    Args:
        simulation: The VMs.
        rng: Source of the times and VMs.
        seconds: Duration of the load.
        request: Returns the route and the id of a request by its number.
    """
    loop = asyncio.get_running_loop()
    begun_s = loop.time()

    async def send(number):
        sent_s = loop.time()
        route, request_id = request(number)
        node = rng.choice(simulation.nodes)
        outcome = await node.run(route, request_id, 1.0)
        taken_s = loop.time() - sent_s
        return Ended(request_id, sent_s - begun_s, taken_s, outcome)

    tasks = []
    while loop.time() < begun_s + seconds:
        await asyncio.sleep(rng.expovariate(60))
        tasks.append(asyncio.create_task(send(len(tasks))))
    return await asyncio.gather(*tasks)
