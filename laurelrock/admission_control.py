"""Admits and runs searches within the limits of their applications."""

import asyncio

from laurelrock import callers
from laurelrock import daemon as daemons
from laurelrock import errors
from laurelrock import manifest
from laurelrock import search
from laurelrock.adapters import logs
from laurelrock.core import admission

__all__ = ["create_admission", "run"]

_log = logs.get_logger(__name__)


def create_admission(daemon: daemons.Daemon) -> admission.Admission:
    """Returns the admission limits that the entry's settings define."""
    options = daemon.settings
    limits = admission.Admission(
        options.entry.max_in_flight, options.policy.admission == "adaptive"
    )
    daemon.metrics.gauges(
        "laurelrock_admission_limit",
        lambda: {name: row.limit for name, row in limits.limits.items()},
        "Requests in flight allowed by application",
    )
    daemon.metrics.counters(
        "laurelrock_admission_refused",
        lambda: {name: row.refused for name, row in limits.limits.items()},
        "Requests refused by application",
    )
    return limits


async def run(
    limits: admission.Admission,
    coordinator: search.SearchCoordinator,
    policy: manifest.Policy,
    request: callers.SearchRequest,
) -> search.Answer:
    """Runs a search if its application's limit allows it.

    Raises:
        OverloadedError: The limit is reached; nothing ran.
        RefusalError: The search was refused; see `search.run`.
    """
    name = request.application
    retry_after_s = limits.admit(name, policy.priority, policy.share)
    if retry_after_s:
        row = limits.limits[name]
        _log.info(
            "admission-refused",
            request_id=request.request_id,
            application=name,
            in_flight=row.in_flight,
            limit=round(row.limit, 1),
            retry_after_s=round(retry_after_s, 3),
        )
        raise errors.OverloadedError("too many requests", "no", retry_after_s)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    congested = complete = False
    try:
        answer = await search.run(coordinator, request)
        reasons = {row.status for row in answer.query.missing()}
        congested, complete = "shed" in reasons, not reasons
    except errors.OverloadedError:
        congested = True
        raise
    finally:
        now_s = loop.time()
        outcome = admission.Outcome(
            elapsed_s=now_s - began_s,
            time_limit_s=request.deadline_ms / 1000,
            congested=congested,
            complete=complete,
        )
        limits.release(name, outcome, now_s)
    return answer
