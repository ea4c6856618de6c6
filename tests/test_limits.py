"""Tests limits over all VMs, and versions in force, as properties."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from laurelrock.core import owners
from laurelrock.gateways import assignment
from laurelrock.gateways import platform_follower
from laurelrock.gateways import upstreams
from laurelrock.ports import directory
from tests import gateway_builders as build
from tests import gateways
from tests import virtual_time

HYPOTHESIS_SETTINGS = hypothesis.settings(
    max_examples=500, deadline=None, derandomize=True, database=None
)
SHARDS = ("shard-0", "shard-1")
CONFIGURATION = build.configuration(
    build.query_route(SHARDS), build.single_route("files")
)
ME = directory.VmEntry(
    vm="vm-1", failure_domain="a", address="10.0.0.1:8082", cores=1.0
)


def limit_of(service, connections, vms, domains):
    """Returns the connections of one VM to a searcher of a service."""
    return known_upstreams(connections, vms, domains).limit(service)


def known_upstreams(connections, vms, domains):
    """Returns searchers that all accept a number of connections."""
    known = upstreams.create_upstreams("a")
    services = {
        name: row._replace(connections=connections)
        for name, row in CONFIGURATION.services.items()
    }
    known.configure(CONFIGURATION._replace(services=services))
    known.set_vms(vms, domains)
    return known


def count_callers(service, connections, vms, domains):
    """Returns how many VMs of the fleet call a service's searchers."""
    fleet = [
        owners.Vm(f"vm-{n}", f"d{n % domains}", f"10.0.0.{n}", 1.0)
        for n in range(vms)
    ]
    known = known_upstreams(connections, vms, domains)
    called = set()
    for me in fleet[: 5 * domains]:
        assigned = assignment.create_assignment(known, me)
        assigned.set_vms(fleet)
        assigned.configure(CONFIGURATION)
        rows = assigned.owners_to_ask(service)
        if not rows and not known.local_caller_count(service):
            return vms
        # An unresponsive owner is skipped for the next one.
        called |= {vm.name for vm in rows or [me]}
    return len(called)


class ConnectionsTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(
        strategies.integers(1, 600),
        strategies.integers(1, 800),
        strategies.integers(1, 5),
    )
    def test_shards(self, connections, vms, domains):
        limit = limit_of(SHARDS[0], connections, vms, domains)
        callers = vms
        if not owners.all_vms_can_call(connections, vms):
            callers = owners.max_callers_per_searcher(domains)
        hypothesis.assume(callers <= connections)
        self.assertLessEqual(callers * limit, connections)

    @HYPOTHESIS_SETTINGS
    @hypothesis.given(strategies.integers(1, 600), strategies.integers(1, 800))
    def test_single_requests(self, connections, vms):
        hypothesis.assume(vms <= connections)
        limit = limit_of("files", connections, vms, 3)
        self.assertLessEqual(
            count_callers("files", connections, vms, 3) * limit, connections
        )

    def test_single_requests_of_more_vms_than_connections(self):
        # Searchers of enlarged sites, at the sizes of the benchmark's sweep and
        # of the capacity plan.
        for connections, vms, domains in (
            *((110, 300, 4), (110, 760, 5), (63, 82, 3)),
            *((550, 1000, 5), (26, 760, 5)),
        ):
            with self.subTest(connections=connections, vms=vms):
                callers = count_callers("files", connections, vms, domains)
                limit = limit_of("files", connections, vms, domains)
                self.assertLessEqual(callers * limit, connections)

    def test_single_requests_to_a_shard(self):
        # A route may name the service that holds a shard of a query.
        callers = count_callers(SHARDS[0], 63, 82, 3)
        limit = limit_of(SHARDS[0], 63, 82, 3)
        self.assertLessEqual(callers * limit, 63)


class VersionsTest(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.none() | strategies.integers(1, 12), max_size=30
        )
    )
    def test_version_in_force_never_decreases(self, versions):
        seen = []

        async def play():
            known = platform_follower.PlatformFollower(
                *(None, ME, upstreams.create_upstreams("a")),
                *(seen.append, lambda _: None, lambda _: None),
            )
            newest = 0
            for version in versions:
                configuration = None
                if version is not None:
                    route = build.single_route()
                    configuration = build.configuration(route, version=version)
                known.apply_configuration(configuration)
                newest = max(newest, version or 0)
                self.assertEqual(known.version, newest)

        with gateways.capture_log_events(collections.deque(maxlen=1)):
            virtual_time.run(play())
        told = [configuration.version for configuration in seen]
        self.assertEqual(told, sorted(set(told)))
