"""Fleet: queries the status of every daemon on the platform's list of VMs."""

import asyncio
import typing

from laurelrock import errors
from laurelrock.adapters import admin
from laurelrock.ports import platform

__all__ = [
    "AdminPorts",
    "ExpectedDaemon",
    "query_fleet",
    "wait_in_force",
    "without_generation",
]

#: Interval between two rounds of status queries while a manifest is being
#: distributed, in seconds.
POLL_INTERVAL_S = 0.1


class AdminPorts(typing.NamedTuple):
    """Admin port of the daemons of each role."""

    entry: int = 9401
    relay: int = 9402


class ExpectedDaemon(typing.NamedTuple):
    """A daemon that should be running according to the list of VMs.

    Attributes:
        vm: Name of the VM in the list of VMs.
        role: Role of the daemon, "entry" or "relay".
        failure_domain: Failure domain of the VM.
        address: Address of the admin port as `IP:port`.
        state: State of the VM, "live" or "leaving".
        status: Status that the daemon reported, or None if it did not respond.
        reason: Reason why there is no status, empty if there is one.
    """

    vm: str
    role: str
    failure_domain: str
    address: str
    state: str
    status: admin.Status | None = None
    reason: str = ""

    @property
    def generation(self) -> int:
        """Generation in force at the daemon, 0 if it is unknown."""
        return self.status["generation"] if self.status else 0


def expected_daemons(
    vms: list[platform.Vm], ports: AdminPorts
) -> list[ExpectedDaemon]:
    """Returns the daemons that should be running: one of each role per VM."""
    return [
        ExpectedDaemon(
            vm.vm, role, vm.failure_domain, f"{vm.address}:{port}", vm.state
        )
        for vm in sorted(vms)
        for role, port in ports._asdict().items()
    ]


async def query_status(
    client: admin.AdminClient, daemon: ExpectedDaemon
) -> ExpectedDaemon:
    """Returns the daemon with its status, or the reason for a missing one."""
    try:
        status = await client.status(daemon.address)
    except errors.PeerSilentError as error:
        return daemon._replace(status=None, reason=error.message)
    return daemon._replace(status=status, reason="")


async def query_fleet(
    client: admin.AdminClient, vms: list[platform.Vm], ports: AdminPorts
) -> list[ExpectedDaemon]:
    """Queries the status of all daemons of the VMs concurrently."""
    return await query_statuses(client, expected_daemons(vms, ports))


async def query_statuses(
    client: admin.AdminClient, places: list[ExpectedDaemon]
) -> list[ExpectedDaemon]:
    """Returns the daemons with their status, queried concurrently."""
    return list(
        await asyncio.gather(*(query_status(client, row) for row in places))
    )


def without_generation(
    places: list[ExpectedDaemon], generation: int
) -> list[ExpectedDaemon]:
    """Returns the daemons where a generation is not in force yet.

    Excludes daemons that don't respond if their VM is leaving.
    """
    return [
        place
        for place in places
        if place.generation < generation
        and (place.status is not None or place.state == "live")
    ]


async def wait_in_force(
    store: platform.Platform,
    client: admin.AdminClient,
    ports: AdminPorts,
    generation: int,
    timeout_s: float,
) -> list[ExpectedDaemon]:
    """Waits until a generation is in force at every daemon.

    A daemon that has reached the generation is not queried again.

    Args:
        store: Platform client, which provides the list of VMs.
        client: Client of the daemons' admin ports.
        ports: Admin port of each role.
        generation: Generation to wait for; a newer one counts as well.
        timeout_s: Longest wait, in seconds.

    Returns:
        The last known status of all daemons; `without_generation` selects
        those that have not reached the generation.

    Raises:
        PlatformError: The list of VMs could not be read in time.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    vms: list[platform.Vm] = []
    in_force: dict[str, ExpectedDaemon] = {}
    while True:
        try:
            vms = await store.vms()
        except errors.PlatformError:
            if not vms and loop.time() >= deadline_s:
                raise
        listed = expected_daemons(vms, ports)
        remaining = [place for place in listed if place.address not in in_force]
        answers = {
            row.address: row for row in await query_statuses(client, remaining)
        }
        places = [
            in_force.get(place.address) or answers[place.address]
            for place in listed
        ]
        in_force = {
            place.address: place
            for place in places
            if place.generation >= generation
        }
        done = bool(places) and not without_generation(places, generation)
        if done or loop.time() >= deadline_s:
            return places
        await asyncio.sleep(POLL_INTERVAL_S)
