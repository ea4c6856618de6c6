"""Builders of routes, searchers and configurations for gateway tests.

Functions with the prefix `store_` return JSON documents as the platform
stores them; the others return decoded values.
"""

from laurelrock.core import registry
from laurelrock.core import replicas
from laurelrock.core import retry_budget
from laurelrock.core import routes
from laurelrock.gateways import deployment

HOST = "quotes.example"


def query_route(shards, **fields) -> routes.Route:
    defaults = {
        "name": "query",
        "host": HOST,
        "prefix": "/query/",
        "idempotent": True,
        "timeout_s": 1.0,
        "objective_s": 0.15,
        "shards": tuple(shards),
        "attempts": 2,
        "max_records": 5,
        "min_shard_share": 0.75,
    }
    return routes.Route(**{**defaults, **fields})


def single_route(service="files", **fields) -> routes.Route:
    defaults = {
        "name": "single",
        "host": HOST,
        "prefix": "/single/",
        "idempotent": True,
        "timeout_s": 1.0,
        "objective_s": 0.5,
        "weighted_services": (routes.WeightedService(service),),
        "attempts": 2,
    }
    return routes.Route(**{**defaults, **fields})


def configuration(*rows, version=1, services=(), **fields):
    used_services = {service for route in rows for service in route.shards}
    used_services |= {
        part.service for route in rows for part in route.weighted_services
    }
    return routes.Configuration(
        version=version,
        routes=tuple(rows),
        services={
            name: routes.Service("/healthz", 26)
            for name in {*used_services, *services}
        },
        **fields,
    )


def searcher(name="s-1", **fields) -> registry.Searcher:
    defaults = {
        "id": name,
        "started_ms": 1,
        "service": "files",
        "address": ("127.0.0.1", 9),
        "failure_domain": "a",
        "slots": 2,
    }
    return registry.Searcher(**{**defaults, **fields})


def replica(name="s-1", now_s=0.0, **fields) -> replicas.Replica:
    return replicas.create_replica(searcher(name, **fields), now_s)


def options(
    callers, readiness, peers, store, exchange_port
) -> deployment.Deployment:
    return deployment.Deployment(
        vm="vm-1",
        address=callers[0],
        failure_domain="a",
        region="r",
        callers=callers,
        readiness=readiness,
        peers=peers,
        seeds=(),
        peer_links_port=exchange_port,
        cores=1.0,
        memory_bytes=200e6,
        link_bytes_per_s=125e6,
        store=store,
        extra_call_policy=retry_budget.Policy(0.2, 58, 10),
        grace_s=6.0,
    )


def store_searcher(**fields) -> dict:
    """Returns a searcher's entry as the platform stores it."""
    defaults = {
        "service": "files",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "capacity": 2,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 4,
        "born": 1_790_000_000_000,
    }
    return {**defaults, **fields}


def store_query(shards, **fields) -> dict:
    """Returns the route of a sharded query as the platform stores it."""
    defaults = {
        "name": "r-query",
        "host": HOST,
        "path_prefix": "/query/",
        "type": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 150,
        "priority": 1,
        "fanout": list(shards),
        "max_attempts": 2,
        "top_k": 5,
        "min_success_share": 0.75,
    }
    return {**defaults, **fields}


def store_single(**fields) -> dict:
    """Returns the route of an unsharded request as the platform stores it."""
    defaults = {
        "name": "r-single",
        "host": HOST,
        "path_prefix": "/single/",
        "type": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 500,
        "priority": 2,
        "service": "files",
        "max_attempts": 2,
    }
    return {**defaults, **fields}


def store_configuration(*rows, version=2, **fields) -> dict:
    """Returns a configuration as the platform stores it."""
    services = {name for row in rows for name in row.get("fanout", [])}
    services |= {row["service"] for row in rows if "service" in row}
    document = {
        "version": version,
        "routes": list(rows),
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 26}
            for name in sorted(services)
        ],
        "limits": {
            "max_header_bytes": 2048,
            "max_body_bytes": 4096,
            "header_timeout_ms": 400,
            "idle_timeout_ms": 800,
        },
    }
    return {**document, **fields}
