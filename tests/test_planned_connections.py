"""Tests that VMs open no more connections than a searcher accepts."""

import asyncio
import collections
import unittest

from laurelrock.adapters import http_client
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import virtual_time

SHARDS = tuple(f"shard-{n}" for n in range(9))
MORE_SHARDS = (*SHARDS, *(f"more-{n}" for n in range(9)))
GOOD = simulations.ScriptedCall("answer", 0.02)
#: As many connections for each VM as on the deployment with 144 VMs, where a
#: searcher accepts 107.
VMS, CONNECTIONS = 36, 27


def create_configuration(shards, version=1):
    route = build.query_route(shards)
    configuration = build.configuration(route, version=version)
    services = {
        name: service._replace(connections=CONNECTIONS)
        for name, service in configuration.services.items()
    }
    return route, configuration._replace(services=services)


def create_simulation(shards=SHARDS, listed=True):
    """Returns VMs in three failure domains."""
    _, configuration = create_configuration(shards)
    simulation = simulations.Simulation(configuration, [GOOD])
    for number in range(VMS):
        node = simulation.add_node(number, "abc"[number % 3], VMS)
        for service in shards:
            for n in range(3):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    if listed:
        for node in simulation.nodes:
            node.set_vms([other.me for other in simulation.nodes])
    return simulation


def most_connections(simulation):
    """Returns the most connections that the VMs that called it may open."""
    used = collections.defaultdict(dict)
    for row in simulation.received_calls:
        used[row.searcher][row.client.host] = row.client.limit
    return max(sum(row.values()) for row in used.values())


async def query_everywhere(simulation, route):
    nodes = [row for row in simulation.nodes if not row.drops_messages]
    return await asyncio.gather(
        *[row.run(route, b"q-%d" % n, 1.0) for n, row in enumerate(nodes)]
    )


class PlannedConnectionsTest(unittest.TestCase):
    def test_unresponsive_owners(self):
        # Guards against every VM calling the searchers itself once it heard
        # from no owner: searchers reset what exceeds their maximum.
        async def play():
            simulation = create_simulation()
            route = simulation.configuration.routes[0]
            assigned = simulation.nodes[0].groups.assignment
            for vm in assigned.callers_of(SHARDS[0]):
                simulation.nodes_by_host[vm.host].drops_messages = True
            outcomes = await query_everywhere(simulation, route)
            return most_connections(simulation), outcomes

        connections, outcomes = virtual_time.run(play())
        self.assertLessEqual(connections, CONNECTIONS)
        self.assertEqual({row.kind for row in outcomes}, {"answered"})

    def test_unknown_vm_list(self):
        # Guards against started VMs that open connections as if each was the
        # only one. Of 36 VMs, 18 haven't read the list.
        async def play():
            simulation = create_simulation(listed=False)
            route = simulation.configuration.routes[0]
            vms = [row.me for row in simulation.nodes]
            for node in simulation.nodes[:18]:
                node.set_vms(vms)
            for node in simulation.nodes[18:]:
                node.known.set_vms(VMS, 1)
            for node in simulation.nodes[18:]:
                await node.run(route, b"q", 1.0)
            return most_connections(simulation)

        self.assertLessEqual(virtual_time.run(play()), CONNECTIONS)

    def test_change_of_the_shard_set(self):
        async def play():
            simulation = create_simulation(MORE_SHARDS)
            old, _ = create_configuration(SHARDS)
            new, changed = create_configuration(MORE_SHARDS[::-1], 2)
            await query_everywhere(simulation, old)
            for node in simulation.nodes[::2]:
                node.known.configure(changed)
                node.groups.assignment.configure(changed)
            for node in simulation.nodes:
                changes = node in simulation.nodes[::2]
                await node.run(new if changes else old, b"q", 1.0)
            return most_connections(simulation)

        self.assertLessEqual(virtual_time.run(play()), CONNECTIONS)


class ExcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_vm_that_is_no_longer_planned_closes_idle_connections(self):
        # Guards against former owners that keep all of their connections.
        accepted = []

        async def accept(reader, writer):
            accepted.append(writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        client = http_client.open_client(server.sockets[0].getsockname(), 4)
        for _ in range(4):
            await client.try_connect()
        self.assertEqual(len(client.idle), 4)
        client.set_limit(1)
        await asyncio.sleep(0.05)
        self.assertEqual((len(client.connections), len(client.idle)), (1, 1))
        await client.try_connect()
        await asyncio.sleep(0.05)
        self.assertEqual(len(client.connections), 1)
        client.close()
        server.close()
