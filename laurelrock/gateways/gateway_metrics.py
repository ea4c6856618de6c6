"""Registers the metrics of a gateway."""

import functools
import typing

from laurelrock.adapters import metrics
from laurelrock.gateways import upstreams
from laurelrock.gateways.workspaces import request_counts

if typing.TYPE_CHECKING:
    from laurelrock.gateways import gateway as gateways

__all__ = ["register"]


def register(gateway: "gateways.Gateway") -> None:
    """Registers the values that are read at each export of the metrics."""
    meters = gateway.metrics
    meters.counters(
        "laurelrock_answers_total",
        lambda: dict(gateway.counts),
        "Answers to callers by outcome",
    )
    meters.counters(
        "laurelrock_calls_total",
        lambda: dict(gateway.calls.counts),
        "Calls to searchers by their end",
    )
    meters.counters(
        "laurelrock_placements_total",
        lambda: dict(gateway.placement.counts),
        "Calls by why they were made, and repeats without a budget",
    )
    meters.counters(
        "laurelrock_connections_total",
        lambda: dict(gateway.servers[0].counts),
        "Unusual ends of callers' connections",
    )
    meters.counters(
        "laurelrock_groups_total",
        lambda: dict(gateway.groups.counts),
        "Groups of shards asked of other VMs, and served for them",
    )
    meters.counters(
        "laurelrock_borrowed_total",
        lambda: dict(gateway.lending.counts),
        "Extra calls asked of another VM, by its reply",
    )
    meters.counters(
        "laurelrock_crashing_requests_total",
        lambda: dict(gateway.crash_watch.counts),
        "Attempts that crashed searchers, quarantines, and refusals by these",
    )
    meters.counters(
        "laurelrock_isolation_total",
        lambda: dict(gateway.isolation_detector.counts),
        "Isolations, checks for one, and checks skipped after a standstill",
    )
    meters.counters(
        "laurelrock_departures_total",
        lambda: dict(gateway.vm_removal.counts),
        "Checks of other VMs, and those taken from the list",
    )
    meters.gauge(
        "laurelrock_client_bytes",
        lambda: gateway.client_memory.held_bytes,
        "Bytes of clients' requests and of responses that are not read",
    )
    register_places_and_workspaces(gateway, meters)
    register_platform(gateway, meters)
    register_searchers(gateway.known, meters)


def register_places_and_workspaces(
    gateway: "gateways.Gateway", meters: metrics.Metrics
) -> None:
    """Registers the metrics of evacuations, cold searchers and workspaces."""
    meters.counters(
        "laurelrock_caps_total",
        lambda: dict(gateway.cap_sharing.counts),
        "Requests of workspaces with a cap by decision, and messages for them",
    )
    meters.counters(
        "laurelrock_evacuations_total",
        lambda: dict(gateway.follower.evacuations.counts),
        "Evacuations that began and ended, and requests refused by one",
    )
    meters.counters(
        "laurelrock_cold_searchers_total",
        lambda: dict(gateway.cold_searchers.counts),
        "Searchers that became cold or warm, and how they were treated",
    )
    meters.counters(
        "laurelrock_workspace_requests_total",
        gateway.workspace_counts.export,
        "Requests by workspace, for the 20 largest and all others",
    )
    register_decisions(gateway.workspace_counts, meters)


def register_decisions(
    counts: request_counts.RequestCounts, meters: metrics.Metrics
) -> None:
    """Registers the decisions about the requests of workspaces."""
    for decision, description in (
        ("admitted", "neither their cap nor overload refused"),
        ("cap-refused", "their cap refused"),
        ("overload-refused", "were refused because of overload"),
    ):
        meters.counters(
            f"laurelrock_workspace_{decision.replace('-', '_')}_total",
            functools.partial(counts.export, decision),
            f"Requests that {description}, by workspace",
        )


def register_platform(
    gateway: "gateways.Gateway", meters: metrics.Metrics
) -> None:
    """Registers the metrics of the platform and of this VM's readiness."""
    meters.gauge(
        "laurelrock_older_peer_links",
        gateway.peer_links.count_older,
        "Connections with VMs of an older version",
    )
    meters.counter(
        "laurelrock_platform_calls_total",
        lambda: gateway.source.calls,
        "Requests to the platform",
    )
    meters.gauge(
        "laurelrock_configuration_version",
        lambda: gateway.follower.version,
        "Version of the configuration in force, 0 for none",
    )
    meters.gauge(
        "laurelrock_ready", lambda: gateway.ready, "1 while callers may come"
    )


def register_searchers(
    known: upstreams.Upstreams, meters: metrics.Metrics
) -> None:
    """Registers the metrics of the searchers."""
    meters.gauge(
        "laurelrock_searchers", lambda: len(known.by_id), "Searchers known"
    )
    meters.gauge(
        "laurelrock_searchers_ejected",
        lambda: sum(1 for row in known.by_id.values() if row.replica.ejections),
        "Searchers that fell silent",
    )
    meters.gauge(
        "laurelrock_searchers_limited",
        lambda: len(known.limited),
        "Searchers that name a limit of requests",
    )
    meters.gauge(
        "laurelrock_searchers_cold",
        lambda: len(known.cold),
        "Searchers that are cold",
    )
    meters.gauge(
        "laurelrock_reply_bytes",
        lambda: known.replies.held_bytes,
        "Bytes of searchers' answers that are being received",
    )
    meters.gauge(
        "laurelrock_isolated",
        lambda: known.isolated,
        "1 while no searcher responds to this VM",
    )
    meters.gauge(
        "laurelrock_evacuated_domains",
        lambda: len(known.evacuated or ()),
        "Failure domains that are evacuated",
    )
    meters.gauge("laurelrock_vms", lambda: known.vms, "VMs that are listed")
