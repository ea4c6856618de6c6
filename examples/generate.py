"""Writes the example manifests and VM lists.

Usage: `python -m examples.generate`, at the root of the project.

Assumptions about the sizes:

- A service holds one shard of its application's index. The shard map belongs
  to the snapshot, so another snapshot may place several shards on a service.
- Two searchers per service are two replicas in total, in two different failure
  domains in rotation. The searchers of services with more replicas are
  distributed evenly.
- expedientes is one service with six searchers; facturacion, teamlists and
  matchdays are one service with three searchers each.
- Numbers of connections and slots are per searcher.
"""

import hashlib
import pathlib
import typing

import msgspec

from laurelrock import document
from laurelrock import manifest

__all__ = ["repartitioned", "techos", "vanderplas", "vms"]

FOLDER = pathlib.Path(__file__).resolve().parent
#: First port of the searchers in each failure domain.
FIRST_PORT = 20_000
VMS_PER_DOMAIN = 3


class ApplicationSize(typing.NamedTuple):
    """Size of an application.

    Attributes:
        services: Number of services.
        replicas: Number of searchers of each service.
        slots: Number of calls that a searcher runs at the same time.
        connections: Maximum number of connections to a searcher.
        connect_ms: Time to open a connection, in milliseconds.
        policy: Policy of the application's queries.
    """

    services: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    policy: manifest.Policy


class Deployment(typing.NamedTuple):
    """Size of a deployment.

    Attributes:
        name: Name of the deployment.
        region: Name of the only region.
        domains: Names of the failure domains.
        searcher_network: First three numbers of the searchers' addresses.
        vm_network: First three numbers of the VMs' addresses.
        application_sizes: Sizes of the applications by name.
        callers: Applications that each caller may query, by name of the caller.
    """

    name: str
    region: str
    domains: list[str]
    searcher_network: str
    vm_network: str
    application_sizes: dict[str, ApplicationSize]
    callers: dict[str, list[str]]


def full_coverage_policy(
    priority: int, share: float, deadline_ms: float
) -> manifest.Policy:
    """Returns a policy that waits for full coverage."""
    return manifest.Policy(
        priority=priority, share=share, deadline_ms=deadline_ms
    )


TECHOS = Deployment(
    name="techos-del-sol",
    region="gt-central",
    domains=["gt-a", "gt-b", "gt-c"],
    searcher_network="127.0.2",
    vm_network="127.0.1",
    application_sizes={
        "cotizador": ApplicationSize(
            20, 2, 2, 25, 6.0, full_coverage_policy(0, 0.4, 1000.0)
        ),
        "portal-franquicia": ApplicationSize(
            30, 2, 2, 25, 6.0, full_coverage_policy(1, 0.2, 2000.0)
        ),
        "expedientes": ApplicationSize(
            1, 6, 2, 110, 1.0, full_coverage_policy(2, 0.1, 3000.0)
        ),
        "facturacion": ApplicationSize(
            1, 3, 2, 110, 1.0, full_coverage_policy(3, 0.1, 5000.0)
        ),
    },
    callers={
        "franchise-tablets": [
            "cotizador",
            "portal-franquicia",
            "expedientes",
        ],
        "back-office": [
            "cotizador",
            "portal-franquicia",
            "expedientes",
            "facturacion",
        ],
    },
)

VANDERPLAS = Deployment(
    name="vanderplas-teamreizen",
    region="vlaanderen",
    domains=["vl-a", "vl-b", "vl-c"],
    searcher_network="127.0.3",
    vm_network="127.0.4",
    application_sizes={
        "tripdesk": ApplicationSize(
            20,
            2,
            2,
            25,
            6.0,
            manifest.Policy(
                priority=0,
                share=0.4,
                deadline_ms=800.0,
                partial="early",
                early_ms=250.0,
                min_coverage=0.9,
            ),
        ),
        "billing": ApplicationSize(
            30, 2, 2, 25, 6.0, full_coverage_policy(1, 0.1, 3000.0)
        ),
        "teamlists": ApplicationSize(
            1, 3, 3, 40, 1.0, full_coverage_policy(2, 0.1, 3000.0)
        ),
        "matchdays": ApplicationSize(
            1, 3, 3, 40, 1.0, full_coverage_policy(3, 0.1, 3000.0)
        ),
    },
    callers={
        "trip-desk": ["tripdesk", "billing", "teamlists", "matchdays"],
        "clubs": ["teamlists", "matchdays"],
    },
)


def service_name(application: str, index: int) -> str:
    """Returns the name of a service of an application."""
    return f"{application}-{index:02d}"


def token_of(caller: str) -> str:
    """Returns the bearer token of a caller."""
    return f"{caller}-token"


def snapshot(
    application: str, version: str, services: int, shards: int
) -> manifest.Snapshot:
    """Returns a snapshot that assigns shards to the services in rotation."""
    return manifest.Snapshot(
        version=version,
        shards=[
            manifest.Shard(
                f"s{index:02d}", service_name(application, index % services)
            )
            for index in range(shards)
        ],
    )


def techos() -> manifest.Manifest:
    """Returns the manifest of Techos del Sol."""
    return build(TECHOS)


def vanderplas() -> manifest.Manifest:
    """Returns the manifest of Vanderplas."""
    return build(VANDERPLAS)


def build(deployment: Deployment) -> manifest.Manifest:
    """Returns the manifest of a deployment."""
    ports = dict.fromkeys(deployment.domains, FIRST_PORT)
    applications = {}
    rotation = 0
    for name, kind in deployment.application_sizes.items():
        services = {}
        for index in range(kind.services):
            service = service_name(name, index)
            services[service] = _searchers(
                deployment, kind, service, rotation, ports
            )
            rotation += 1
        applications[name] = manifest.Application(
            services=services,
            snapshots=[snapshot(name, "v1", kind.services, kind.services)],
            save_service=service_name(name, 0),
            policy=kind.policy,
        )
    return manifest.Manifest(
        name=deployment.name,
        regions={deployment.region: deployment.domains},
        applications=applications,
        callers={
            name: manifest.Caller(
                hashlib.sha256(token_of(name).encode()).hexdigest(), allowed
            )
            for name, allowed in deployment.callers.items()
        },
    )


def _searchers(
    deployment: Deployment,
    kind: ApplicationSize,
    service: str,
    rotation: int,
    ports: dict[str, int],
) -> list[manifest.Searcher]:
    searchers = []
    for replica in range(kind.replicas):
        domain_index = (rotation + replica) % len(deployment.domains)
        domain = deployment.domains[domain_index]
        host = f"{deployment.searcher_network}.{domain_index + 1}"
        searchers.append(
            manifest.Searcher(
                id=f"{service}-r{replica}",
                address=f"{host}:{ports[domain]}",
                failure_domain=domain,
                slots=kind.slots,
                connections=kind.connections,
                connect_ms=kind.connect_ms,
            )
        )
        ports[domain] += 1
    return searchers


def repartitioned(
    source: manifest.Manifest, version: str = "v2"
) -> manifest.Manifest:
    """Returns the manifest with a newer snapshot that has 20 % more shards.

    The newer snapshot is the first of each application, before the snapshots
    of the source.
    """
    applications = {}
    for name, application in source.applications.items():
        services = len(application.services)
        shards = services + max(1, services // 5)
        newer = snapshot(name, version, services, shards)
        snapshots = [newer, *application.snapshots]
        applications[name] = application._replace(snapshots=snapshots)
    return source._replace(applications=applications)


def vms(deployment: Deployment) -> list[dict[str, str]]:
    """Returns the platform's list of the deployment's VMs."""
    return [
        {
            "vm": f"{domain}-{index}",
            "address": f"{deployment.vm_network}."
            f"{domain_index * VMS_PER_DOMAIN + index + 1}",
            "failure_domain": domain,
            "state": "live",
        }
        for domain_index, domain in enumerate(deployment.domains)
        for index in range(VMS_PER_DOMAIN)
    ]


def _write(name: str, value: typing.Any) -> None:
    text = msgspec.json.format(msgspec.json.encode(value), indent=1)
    (FOLDER / name).write_bytes(text + b"\n")


def main() -> None:
    """Writes the example files to the folder of this module."""
    deployments = {"techos": TECHOS, "vanderplas": VANDERPLAS}
    for name, deployment in deployments.items():
        first = build(deployment)
        manifest.decode(manifest.encode(first))
        _write(f"{name}.json", document.unstructure(first))
        _write(f"vms-{name}.json", {"vms": vms(deployment)})


if __name__ == "__main__":
    main()
