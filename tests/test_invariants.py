"""Tests guarantees to callers and searchers as properties of random histories.

A history draws how searchers behave on each call, when searchers drain or
leave, when callers connect and disconnect and, with several VMs, delays and
interrupted connections between them.
"""

import asyncio
import collections
import typing
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import answer_schedule
from laurelrock.core import retry_budget
from laurelrock.core import routes
from laurelrock.gateways import outcomes
from tests import gateway_builders as build
from tests import gateway_simulation as simulations
from tests import gateways
from tests import virtual_time

HYPOTHESIS_SETTINGS = hypothesis.settings(
    max_examples=500,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SHARDS = tuple(f"shard-{n}" for n in range(6))
MANY_SHARDS = tuple(f"shard-{n}" for n in range(27))
QUERY = build.query_route(SHARDS, min_shard_share=0.5)
MANY = build.query_route(MANY_SHARDS, min_shard_share=0.5)
READ = build.single_route()
SAVE = build.single_route(name="save", idempotent=False)
POLICY = retry_budget.Policy(0.2, 10, 10)
#: Concentrated over four VMs: each has a smaller allowance than it needs.
FLEET_POLICY = retry_budget.Policy(0.2, 18, 10)

BEHAVIOURS = strategies.lists(
    strategies.builds(
        simulations.ScriptedCall,
        strategies.sampled_from(("answer",) * 6 + simulations.OUTCOME_KINDS),
        strategies.sampled_from((0.005, 0.02, 0.08, 0.3)),
    ),
    min_size=1,
    max_size=40,
)


class Step(typing.NamedTuple):
    """A request of a caller.

    Attributes:
        pause_s: The pause in seconds before the request.
        route: The route of the request.
        timeout_s: The caller's time limit in seconds.
        leave_s: The time in seconds after which the caller disconnects, if any.
        vm: The index of the VM that gets the request.
    """

    pause_s: float
    route: routes.Route
    timeout_s: float
    leave_s: float | None
    vm: int


def steps(*rows: routes.Route, vms: int = 1):
    return strategies.lists(
        strategies.builds(
            Step,
            strategies.sampled_from((0.0, 0.01, 0.1, 0.6)),
            strategies.sampled_from(rows),
            strategies.sampled_from((0.04, 0.2, 1.0)),
            strategies.none() | strategies.sampled_from((0.01, 0.1)),
            strategies.integers(0, vms - 1),
        ),
        min_size=1,
        max_size=12,
    )


#: Changes of searchers: the pause in seconds before, the searcher and its
#: state.
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((0.0, 0.02, 0.2)),
        strategies.sampled_from(
            [f"{name}-{n}" for name in (*SHARDS, "files") for n in range(2)]
        ),
        strategies.sampled_from(("live", "draining", None)),
    ),
    max_size=8,
)
#: Interrupted connections: the pause in seconds before, and the two VMs.
CUTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((0.0, 0.02, 0.2)),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    ),
    max_size=5,
)
DELAYS = strategies.lists(
    strategies.sampled_from((0.0005, 0.002, 0.03, 0.06, 0.5)),
    min_size=1,
    max_size=20,
)


class Played(typing.NamedTuple):
    """A request of a history; the outcome is None if its caller left."""

    step: Step
    request_id: bytes
    begun_s: float
    ended_s: float
    outcome: outcomes.Outcome | None


async def play_steps(
    simulation: simulations.Simulation, rows: typing.Sequence[Step]
) -> list[Played]:
    """Runs the callers and returns how each request ended."""
    loop = asyncio.get_running_loop()

    async def one(number: int, step: Step) -> Played:
        request_id = b"r-%d" % number
        begun_s = loop.time()
        node = simulation.nodes[step.vm]
        work = node.run(step.route, request_id, step.timeout_s)
        try:
            async with asyncio.timeout(step.leave_s):
                outcome = await work
        except TimeoutError:
            outcome = None
        return Played(step, request_id, begun_s, loop.time(), outcome)

    tasks = []
    for number, step in enumerate(rows):
        await asyncio.sleep(step.pause_s)
        tasks.append(asyncio.create_task(one(number, step)))
    played = list(await asyncio.gather(*tasks))
    await asyncio.sleep(3.0)
    return played


async def play_alone(behaviours, rows, changes) -> tuple:
    """Plays a history at one VM."""
    simulation = simulations.Simulation(
        build.configuration(QUERY, READ, SAVE), behaviours, policy=POLICY
    )
    node = simulation.add_node(0, "a", 1)
    for service in (*SHARDS, "files"):
        for n in range(2):
            simulation.change_searcher(node, f"{service}-{n}", "live")

    async def change():
        for pause_s, searcher, state in changes:
            await asyncio.sleep(pause_s)
            simulation.change_searcher(node, searcher, state)

    changing = asyncio.create_task(change())
    played = await play_steps(simulation, rows)
    await changing
    return simulation, played


async def play_fleet(behaviours, rows, delays, cuts, views) -> tuple:
    """Plays a history over four VMs that call shards for each other."""
    configuration = build.configuration(MANY, READ, SAVE)
    services = {
        # Too few connections for all VMs to call each searcher, both of
        # shards and of single requests.
        name: service._replace(connections=4 if name == "files" else 6)
        for name, service in configuration.services.items()
    }
    configuration = configuration._replace(services=services)
    simulation = simulations.Simulation(
        configuration, behaviours, delays, policy=FLEET_POLICY
    )
    for number in range(4):
        node = simulation.add_node(number, "ab"[number % 2], 4)
        for service in (*MANY_SHARDS, "files"):
            for n in range(2):
                simulation.change_searcher(node, f"{service}-{n}", "live")
    everyone = [node.me for node in simulation.nodes]
    for node, view in zip(simulation.nodes, views, strict=True):
        # The VMs' lists of other VMs may differ.
        node.groups.assignment.set_vms(
            [vm for vm in everyone if vm == node.me or view]
        )
        node.known.set_vms(4, 2)
        node.lending.set_vms(everyone)
        node.groups.assignment.configure(configuration)
        node.lending.set_groups(node.groups.assignment.groups)

    async def cut():
        for pause_s, one, other in cuts:
            await asyncio.sleep(pause_s)
            link = simulation.nodes[one].links.get(everyone[other].host)
            if link is not None:
                link.cut()

    cutting = asyncio.create_task(cut())
    played = await play_steps(simulation, rows)
    await cutting
    return simulation, played


class InvariantCase(unittest.TestCase):
    """Checks of invariants, most of them on one played request."""

    def setUp(self):
        self.enterContext(
            gateways.capture_log_events(collections.deque(maxlen=1))
        )

    def check_attempts(self, simulation, row):
        """A part reaches no more searchers than its route allows."""
        seen = collections.Counter(
            arrival.service
            for arrival in simulation.received_calls_of(row.request_id)
        )
        self.assertLessEqual(
            max(seen.values(), default=0), row.step.route.attempts
        )

    def check_runs_once(self, simulation, row):
        """A request that isn't idempotent runs at most once."""
        arrivals = simulation.received_calls_of(row.request_id)
        self.assertLessEqual(sum(arrival.ran for arrival in arrivals), 1)

    def check_refusal(self, simulation, row):
        """Nothing of a refused request has run, and nothing runs later."""
        arrivals = simulation.received_calls_of(row.request_id)
        self.assertFalse(any(arrival.ran for arrival in arrivals))

    def check_coverage(self, simulation, row):
        """The included and the missing shards make up all shards."""
        outcome, shards = row.outcome, row.step.route.shards
        by_stamp = {
            arrival.stamp: arrival
            for arrival in simulation.received_calls_of(row.request_id)
        }
        parts = [by_stamp[stamp] for stamp in outcome.stamps]
        included = {arrival.service for arrival in parts}
        self.assertEqual(len(included), len(parts))
        missing = {text.partition(":")[0] for text in outcome.missing}
        self.assertEqual(included | missing, set(shards))
        self.assertFalse(included & missing)
        self.assertGreaterEqual(len(parts), row.step.route.min_shards)
        kind = "answered" if not missing else "partial"
        self.assertEqual(outcome.kind, kind)
        top = row.step.route.max_records
        self.assertEqual(
            answer_schedule.merge_top_records(outcome.bodies, top),
            answer_schedule.merge_top_records(
                [arrival.body for arrival in parts], top
            ),
        )

    def check_response(self, simulation, row):
        """A searcher's response is forwarded to the caller that asked."""
        reply = row.outcome.reply
        bodies = [
            row.body for row in simulation.received_calls_of(row.request_id)
        ]
        self.assertIn(reply.body, bodies)

    def check_no_late_calls(self, simulation, row):
        """Nothing is sent for a caller that disconnected or was answered."""
        for arrival in simulation.received_calls_of(row.request_id):
            self.assertLessEqual(arrival.received_s, row.ended_s + 0.5)

    def check_time(self, row):
        """No caller waits longer than its time limit."""
        limit_s = min(row.step.timeout_s, row.step.route.timeout_s)
        self.assertLessEqual(row.ended_s - row.begun_s, limit_s + 0.01)

    def check(self, simulation, played):
        self.check_restrictions(simulation)
        for row in played:
            self.check_attempts(simulation, row)
            self.check_no_late_calls(simulation, row)
            self.check_time(row)
            if not row.step.route.idempotent:
                self.check_runs_once(simulation, row)
            if row.outcome is None:
                continue
            if row.outcome.status == 503:
                self.check_refusal(simulation, row)
            if row.step.route.shards and row.outcome.status == 200:
                self.check_coverage(simulation, row)
            if row.outcome.reply is not None:
                self.check_response(simulation, row)

    def check_restrictions(self, simulation):
        """A searcher that leaves or pauses gets no calls from that VM."""
        for restriction in simulation.restrictions:
            late = [
                arrival
                for arrival in simulation.received_calls
                if arrival.client is restriction.client
                and restriction.begun_s < arrival.received_s
                and arrival.received_s < restriction.ended_s
            ]
            self.assertEqual(late, [])

    def check_budget(self, simulation):
        """The extra calls of a service stay within the budget in any window."""
        by_service = collections.defaultdict(list)
        for arrival in simulation.received_calls:
            by_service[arrival.service].append(arrival)
        for arrivals in by_service.values():
            first: set[bytes] = set()
            extras, requests = [], []
            for arrival in arrivals:
                known = arrival.request_id in first
                (extras if known else requests).append(arrival.received_s)
                first.add(arrival.request_id)
            # All steps of a history are within two windows of the budget.
            limit = (
                simulation.policy.fraction * len(requests)
                + simulation.policy.allowance
            )
            self.assertLessEqual(len(extras), limit)


class OneVmTest(InvariantCase):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(BEHAVIOURS, steps(QUERY, READ, SAVE), CHANGES)
    def test_one_vm(self, behaviours, rows, changes):
        world, played = virtual_time.run(play_alone(behaviours, rows, changes))
        self.check(world, played)
        self.check_budget(world)
        self.check_drained(world)

    def check_drained(self, simulation):
        """A draining or removed searcher gets no new calls.

        A call that waited for a connection may be sent later.
        """
        queued_s = max((row.delay_s for row in simulation.queued), default=0.0)
        for number, arrival in enumerate(simulation.received_calls):
            before = [
                change
                for change in simulation.state_changes
                if change.searcher == arrival.searcher
                and change.prior_call_count <= number
            ]
            if before[-1].state != "live":
                waited_s = arrival.received_s - before[-1].changed_s
                self.assertLessEqual(waited_s, queued_s + 1e-6)


class FleetTest(InvariantCase):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(
        BEHAVIOURS,
        steps(MANY, READ, SAVE, vms=4),
        DELAYS,
        CUTS,
        strategies.lists(strategies.booleans(), min_size=4, max_size=4),
    )
    def test_four_vms(self, behaviours, rows, delays, cuts, views):
        world, played = virtual_time.run(
            play_fleet(behaviours, rows, delays, cuts, views)
        )
        self.check(world, played)
        self.check_budget(world)
