"""Tests of VMs that are partitioned from the other failure domains."""

import math

from tests import test_fleet_gateways


class PartitionTest(test_fleet_gateways.FleetCase):
    """Four VMs in two failure domains; owners call all shards."""

    def make_unreachable(self):
        """Makes all searchers unreachable for every VM."""
        for vm in self.gateways:
            for row in vm.known.by_id.values():
                row.replica.ejections, row.replica.next_probe_s = 1, math.inf

    def stub_platform_check(self, reached):
        async def reaches_platform():
            return reached

        for vm in self.gateways:
            vm.follower.platform_reachable = reaches_platform

    def local_vms(self, vm):
        """Returns the VMs in the failure domain of a VM."""
        domain = vm.deployment.failure_domain
        return [
            row
            for row in self.gateways
            if row.deployment.failure_domain == domain
        ]

    async def test_all_vms_of_a_domain_detect_its_partition(self):
        await self.start()
        self.make_unreachable()
        self.stub_platform_check(False)
        # The view of two VMs that call few searchers themselves.
        caller, idle = self.local_vms(self.gateways[0])
        silent = True
        for vm in self.gateways:
            known = vm.known
            known.remote_domains_silent = lambda now_s: silent
        for vm in (caller, idle):
            vm.known.remote_domains_silent = lambda now_s: False
            vm.groups.reachability.remote_domains_silent = lambda: silent
        # One has a caller; the other has none and gets a hint.
        await self.ask_vm(0)
        await self.until(lambda: not caller.ready, 8.0)
        await self.until(lambda: not idle.ready, 8.0)
        silent = False
        await self.until(lambda: caller.ready and idle.ready, 8.0)

    async def test_shards_down_for_all_vms_are_no_partition(self):
        await self.start()
        self.make_unreachable()
        self.stub_platform_check(False)
        for vm in self.gateways:
            vm.known.remote_domains_silent = lambda now_s: False
        await self.ask_vm(0)
        for vm in self.gateways:
            await vm.partition_detector.check()
        self.assertTrue(all(vm.ready for vm in self.gateways))

    async def test_vm_that_reaches_the_platform_is_not_partitioned(self):
        await self.start()
        self.make_unreachable()
        self.stub_platform_check(True)
        await self.ask_vm(0)
        for vm in self.gateways:
            await vm.partition_detector.check()
        self.assertTrue(all(vm.ready for vm in self.gateways))

    async def test_one_unreachable_group_is_no_partition(self):
        await self.start()
        route = self.gateways[0].follower.table.configuration.routes[0]
        key = route.shards[0]
        for vm in self.gateways:
            for row in vm.known.searchers_of(key):
                row.replica.ejections, row.replica.next_probe_s = 1, math.inf
        self.stub_platform_check(False)
        answer = await self.ask_vm(0)
        self.assertEqual(answer.status, 200)
        await self.gateways[0].partition_detector.check()
        self.assertTrue(self.gateways[0].ready)
