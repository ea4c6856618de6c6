"""The platform's documents in a soak: configuration, entries and settings."""

import typing

from bench import soak_workspaces
from fakes import shards

if typing.TYPE_CHECKING:
    from bench import fleet

__all__ = ["HOST", "WARM_UP_S", "configuration", "settings"]

HOST = "soak.example"
#: Time in seconds for which searchers are cold after their start.
WARM_UP_S = 6.0


def configuration(
    shape: "fleet.Shape",
    version: int,
    shard_names: tuple[str, ...],
    keys: dict[str, str],
) -> dict[str, typing.Any]:
    """Returns a configuration.

    In addition to the fixed routes, each version has a route of its own, so
    that a response shows which version a VM uses.
    """
    single = {"host": HOST, "timeout_ms": 1500, "target_latency_ms": 300}
    routes: list[dict[str, typing.Any]] = [
        single
        | {
            "name": "query",
            "path_prefix": "/query/",
            "type": "idempotent",
            "priority": 1,
            "fanout": list(shard_names),
            "max_attempts": 2,
            "top_k": 50,
            "min_success_share": 0.6,
        },
        *[
            single
            | {
                "name": name,
                "path_prefix": f"/{name}/",
                "type": kind,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for name, kind, service in (
                ("read", "idempotent", "files"),
                ("save", "non_idempotent", "saves"),
                (f"v{version}", "idempotent", "files"),
            )
        ],
    ]
    services = {*shard_names, "files", "saves"}
    document: dict[str, typing.Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": shards.HEALTH_PATH,
                "max_connections": shape.connections,
            }
            for name in sorted(services)
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 4096,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 20_000,
        },
    }
    if keys:
        document["tenants"] = soak_workspaces.tenants(keys)
        local = {"name": "local", "path_prefix": "/local/"}
        regions = {"allowed_regions": list(soak_workspaces.LOCAL_REGIONS)}
        routes.append(routes[1] | local | regions)
    if shape.warm_up_per_s:
        for row in document["services"]:
            row["warmup_s"] = WARM_UP_S
            row["warmup_per_s"] = shape.warm_up_per_s
    return document


def settings(
    shape: "fleet.Shape", number: int, addresses: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Returns the settings of a VM.

    Args:
        shape: Size of the fleet.
        number: Number of the VM.
        addresses: Settings that hold addresses.
    """
    document: dict[str, typing.Any] = addresses | {
        "node_name": f"vm-{number}",
        "zone": f"d{number % 2}",
        "region": f"r{number % 2}" if shape.workspaces else "r",
        "limits": {"cpu_share": 1.0, "cpu_cores": 1},
        "policy_limits": {
            "retry_budget_ratio": 0.2,
            "retry_slack": shape.retry_slack,
            "retry_window_s": 10,
            "grace_period_s": 6,
        },
    }
    if shape.workspaces:
        document["zones"] = {"d0": "r0", "d1": "r1"}
        document["policy_limits"] |= {
            "evacuate_ms": 5000,
            "config_apply_ms": 5000,
            "warmup_overage": 1.5,
            "warmup_slack": 5,
            "quota_window_s": 5,
            "quota_overage": 0.1,
            "quota_slack": 20,
        }
    return document
