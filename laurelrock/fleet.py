"""Fleet: every daemon of the platform's list of VMs, as operators see it."""

import asyncio
import typing

from laurelrock import errors
from laurelrock.adapters import admin
from laurelrock.ports import platform

__all__ = ["Place", "Ports", "behind", "survey", "wait_in_force"]

#: Between two rounds of questions while a manifest spreads, in seconds.
POLL_S = 0.1


class Ports(typing.NamedTuple):
    """Admin port of each role."""

    entry: int = 9401
    relay: int = 9402


class Place(typing.NamedTuple):
    """One daemon that should run.

    Attributes:
        vm: Name in the list of VMs.
        role: "entry" or "relay".
        failure_domain: Of the VM.
        address: `IP:port` of the admin port.
        state: Of the VM, "live" or "leaving".
        status: What the daemon says of itself, None if it is silent.
        reason: Why there is no status.
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
        """Generation in force there, 0 if that is not known."""
        return self.status["generation"] if self.status else 0


def places_of(vms: list[platform.Vm], ports: Ports) -> list[Place]:
    """Returns the place of each role on each VM."""
    return [
        Place(vm.vm, role, vm.failure_domain, f"{vm.address}:{port}", vm.state)
        for vm in sorted(vms)
        for role, port in ports._asdict().items()
    ]


async def ask(client: admin.Admin, place: Place) -> Place:
    """Returns a place with the daemon's status or why there is none."""
    try:
        status = await client.status(place.address)
    except errors.PeerSilentError as error:
        return place._replace(status=None, reason=error.message)
    return place._replace(status=status, reason="")


async def survey(
    client: admin.Admin, vms: list[platform.Vm], ports: Ports
) -> list[Place]:
    """Asks every daemon at once."""
    return await ask_all(client, places_of(vms, ports))


async def ask_all(client: admin.Admin, places: list[Place]) -> list[Place]:
    """Returns the places with what their daemons say."""
    return list(await asyncio.gather(*(ask(client, row) for row in places)))


def behind(places: list[Place], generation: int) -> list[Place]:
    """Returns the places where a generation is not in force yet.

    A VM that is leaving and does not answer is not waited for.
    """
    return [
        place
        for place in places
        if place.generation < generation
        and (place.status is not None or place.state == "live")
    ]


async def wait_in_force(
    store: platform.Platform,
    client: admin.Admin,
    ports: Ports,
    generation: int,
    timeout_s: float,
) -> list[Place]:
    """Waits until a generation is in force at every daemon.

    A daemon that has it is not asked again.

    Args:
        store: The platform, for the list of VMs.
        client: Asks the daemons.
        ports: Admin ports.
        generation: Waited for; a newer one counts as well.
        timeout_s: Longest wait.

    Returns:
        The last state of all places; `behind` names those that lack it.

    Raises:
        PlatformError: The list of VMs could not be read in time.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    vms: list[platform.Vm] = []
    in_force: dict[str, Place] = {}
    while True:
        try:
            vms = await store.vms()
        except errors.PlatformError:
            if not vms and loop.time() >= until:
                raise
        listed = places_of(vms, ports)
        left = [place for place in listed if place.address not in in_force]
        answers = {row.address: row for row in await ask_all(client, left)}
        places = [
            in_force.get(place.address) or answers[place.address]
            for place in listed
        ]
        in_force = {
            place.address: place
            for place in places
            if place.generation >= generation
        }
        done = bool(places) and not behind(places, generation)
        if done or loop.time() >= until:
            return places
        await asyncio.sleep(POLL_S)
