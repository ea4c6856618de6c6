"""Tests of requests that may run in some regions only, with two regions."""

import asyncio
import collections
import random
import typing
import unittest

from laurelrock.core import homes
from laurelrock.core import owners
from laurelrock.gateways import group_messages
from laurelrock.gateways import upstreams
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import place_simulation
from tests import virtual_time

REGIONS = {"a": "x", "b": "x", "c": "y", "d": "y"}
DOMAINS = tuple(REGIONS)
#: Regions that the requests of the load may run in.
ALLOWED = ((), ("x",), ("y",), ("x", "y"), (homes.NOWHERE,))
ANSWERED, FAULTS = place_simulation.ANSWERED, place_simulation.FAULTS
VM = owners.Vm("vm-1", "a", "10.0.0.1", 1.0)


class RegionsTest(unittest.TestCase):
    def test_both_lists_apply(self):
        self.assertEqual(homes.combine((), ()), ())
        self.assertEqual(homes.combine(("x",), ()), ("x",))
        self.assertEqual(homes.combine((), ("y",)), ("y",))
        self.assertEqual(homes.combine(("x", "y"), ("y", "z")), ("y",))

    def test_lists_without_a_common_region_allow_nothing(self):
        # An empty list would stand for all regions.
        found = homes.combine(("x",), ("y",))
        self.assertFalse(any(homes.allows(found, d, REGIONS) for d in DOMAINS))
        self.assertFalse(homes.allows(found, "unknown", REGIONS))

    def test_domain_without_a_region_is_not_allowed(self):
        self.assertFalse(homes.allows(("x",), "unknown", REGIONS))
        self.assertTrue(homes.allows((), "unknown", REGIONS))

    def test_vms_of_the_entry_vms_region_may_receive_the_body(self):
        vms = [owners.Vm(f"vm-{d}", d, "10.0.0.2", 1.0) for d in DOMAINS]
        self.assertEqual(
            homes.forbidden_vms(("x",), vms, VM, REGIONS), {"vm-c", "vm-d"}
        )
        self.assertEqual(homes.forbidden_vms(("y",), vms, VM, REGIONS), set())
        self.assertEqual(homes.forbidden_vms((), vms, VM, REGIONS), set())

    def test_vms_of_unknown_regions_must_not(self):
        vms = [owners.Vm("vm-e", "e", "10.0.0.2", 1.0), VM]
        self.assertEqual(homes.forbidden_vms(("y",), vms, VM, {}), {"vm-e"})


class Delivery(typing.NamedTuple):
    """A message with the body of a request, at the VM that received it."""

    request_id: bytes
    sender: str
    receiver: str


class Played(typing.NamedTuple):
    simulation: simulations.Simulation
    ended: dict[bytes, typing.Any]
    deliveries: list[Delivery]


def record_deliveries(node, deliveries):
    """Records the requests that a VM receives from other VMs."""
    handle = node.handle_message

    def record(link, message):
        if isinstance(message, group_messages.GroupRequest):
            deliveries.append(
                Delivery(
                    message.request_id,
                    link.remote_node.me.failure_domain,
                    node.me.failure_domain,
                )
            )
        handle(link, message)

    node.handle_message = record


async def play(connections, behaviours, events=(), seed=1):
    """Plays a load whose requests may run in some regions.

    The id of a request begins with the index of its regions in `ALLOWED`.
    """
    rng = random.Random(seed)
    simulation = place_simulation.create(DOMAINS, behaviours, connections)
    deliveries: list[Delivery] = []
    for node in simulation.nodes:
        node.known.set_regions(REGIONS)
        record_deliveries(node, deliveries)
    for at_s, event in events:
        asyncio.get_running_loop().call_later(at_s, event, simulation)

    def request(number):
        allowed = number % len(ALLOWED)
        route = rng.choice((place_simulation.QUERY, place_simulation.SINGLE))
        route = route._replace(regions=ALLOWED[allowed])
        return route, b"%d-%d" % (allowed, number)

    ended = await place_simulation.play(simulation, rng, 6.0, request)
    found = {row.request_id: row.outcome for row in ended}
    return Played(simulation, found, deliveries)


def allowed_of(request_id):
    return ALLOWED[int(request_id.partition(b"-")[0])]


def evacuate(domains):
    def apply(simulation):
        for node in simulation.nodes:
            node.known.evacuate(frozenset(domains))

    return apply


def cut(kind, numbers):
    return lambda simulation: simulation.cut(
        kind, [simulation.nodes[n] for n in numbers]
    )


class LoadTest(unittest.TestCase):
    """No request leaves its regions: first calls, hedges, groups, retries."""

    def setUp(self):
        self.events = collections.deque(maxlen=1)
        self.enterContext(gateways.capture_log_events(self.events))

    def check(self, played):
        simulation, _, deliveries = played
        for row in simulation.received_calls:
            allowed = allowed_of(row.request_id)
            domain = simulation.failure_domains[row.searcher]
            self.assertTrue(homes.allows(allowed, domain, REGIONS), row)
        for row in deliveries:
            allowed = allowed_of(row.request_id)
            own = REGIONS[row.sender] == REGIONS[row.receiver]
            self.assertTrue(
                own or homes.allows(allowed, row.receiver, REGIONS), row
            )

    def test_healthy_searchers_serve_every_request_that_may_run(self):
        for connections in place_simulation.CONNECTIONS:
            played = virtual_time.run(play(connections, ANSWERED))
            self.check(played)
            for request_id, outcome in played.ended.items():
                if homes.NOWHERE in allowed_of(request_id):
                    self.assertEqual(outcome.kind, "refused")
                    self.assertEqual(outcome.reason, upstreams.NOT_ALLOWED)
                else:
                    self.assertEqual(outcome.kind, "answered", request_id)
            # Both ways to call the searchers are tested.
            self.assertEqual(connections == 6, bool(played.deliveries))

    def test_failing_calls(self):
        for connections in place_simulation.CONNECTIONS:
            for seed in range(3):
                with self.subTest(connections=connections, seed=seed):
                    self.check(
                        virtual_time.run(play(connections, FAULTS, seed=seed))
                    )

    def test_vms_that_lost_their_searchers_pass_requests_on(self):
        for kind in ("hang", "reset", "refuse"):
            # Both VMs of "a", so that others stand in, and one of "c".
            events = [(1.0, cut(kind, (0, 2, 4))), (4.0, cut("", (0, 2, 4)))]
            for connections in place_simulation.CONNECTIONS:
                with self.subTest(kind=kind, connections=connections):
                    played = virtual_time.run(play(connections, FAULTS, events))
                    self.check(played)
                    self.assertTrue(played.deliveries)

    def test_region_whose_domains_are_evacuated(self):
        events = [(1.0, evacuate("a")), (2.0, evacuate("ab"))]
        for connections in place_simulation.CONNECTIONS:
            played = virtual_time.run(play(connections, ANSWERED, events))
            self.check(played)
            counts = collections.Counter(
                (allowed_of(request_id), outcome.kind, outcome.reason)
                for request_id, outcome in played.ended.items()
            )
            refused = ("refused", upstreams.EVACUATED)
            self.assertGreater(counts[("x",), *refused], 0)
            for allowed in ((), ("y",), ("x", "y")):
                self.assertEqual(counts[allowed, *refused], 0)

    def test_report_on_some_regions_refuses_no_other_requests(self):
        def pause(simulation):
            now_s = asyncio.get_running_loop().time()
            for node in simulation.nodes:
                for upstream in node.known.by_id.values():
                    if REGIONS[upstream.searcher.failure_domain] == "x":
                        upstream.replica.record_pause(4.0, now_s)

        played = virtual_time.run(play(6, ANSWERED, [(1.0, pause)]))
        self.check(played)
        for request_id, outcome in played.ended.items():
            if allowed_of(request_id) in ((), ("y",), ("x", "y")):
                self.assertEqual(outcome.kind, "answered", request_id)


class GatewayTest(gateways.GatewayCase):
    """Routes, workspaces and settings together decide at the gateway."""

    async def start_two_regions(self, route_regions, workspace_regions):
        self.searchers = {
            domain: await gateways.shards.start(domain, gateways.shards.healthy)
            for domain in ("b", "c")
        }
        workspace = {
            "name": "w",
            "api_keys": ["key-1"],
            "allowed_regions": workspace_regions,
        }
        document = build.store_configuration(
            build.store_single(allowed_regions=route_regions),
            tenants=[workspace],
        )
        await self.start(document, [], region="x", regions=REGIONS)
        for domain, searcher in self.searchers.items():
            self.add_searcher("files", searcher, zone=domain)
            self.addAsyncCleanup(searcher.stop)
        await self.until(lambda: len(self.gateway.known.by_id) == 2)

    async def statuses(self):
        found = set()
        for number in range(6):
            answer = await self.ask(
                gateways.encode_request(
                    "/single/x",
                    f"r-{number}",
                    headers=["Api-Key: key-1"],
                )
            )
            found.add(answer.status)
        return found

    def called(self):
        return {d for d, row in self.searchers.items() if row.requests}

    async def test_route(self):
        await self.start_two_regions(["y"], [])
        self.assertEqual(await self.statuses(), {200})
        self.assertEqual(self.called(), {"c"})

    async def test_intersection_of_route_and_workspace(self):
        await self.start_two_regions(["x", "y"], ["x"])
        self.assertEqual(await self.statuses(), {200})
        self.assertEqual(self.called(), {"b"})

    async def test_no_common_region(self):
        await self.start_two_regions(["x"], ["y"])
        self.assertEqual(await self.statuses(), {503})
        self.assertEqual(self.called(), set())
        self.assertEqual(self.log_events[-1]["reason"], upstreams.NOT_ALLOWED)
