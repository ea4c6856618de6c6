"""Runs requests that one searcher answers.

This VM calls the searcher if the assignment lets it. Otherwise it asks a VM
that calls the service (`gateways/assignment.py`), which returns the searcher's
answer. That VM first accepts the request and is then told to start. If it
doesn't respond it has sent nothing, so that another one may be asked.
"""

import asyncio

from laurelrock.core import owners
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import queries
from laurelrock.gateways import refusals
from laurelrock.gateways import shard_groups

__all__ = ["run"]


async def run(
    context: calls.RequestContext,
    service: str,
    placement: parts.CallPlacer,
    group_state: shard_groups.ShardGroups,
) -> outcomes.Outcome:
    """Runs a request at a searcher of a service.

    Args:
        context: The caller's request.
        service: The service that answers the request.
        placement: Makes the calls of this VM.
        group_state: The other VMs, which may call instead.
    """
    known, regions = placement.known, context.route.regions
    if not known.has_live(service) or known.blocker(service, regions):
        # All VMs know the same searchers.
        return refusals.refuse_single(service, context.route, placement)
    candidates = group_state.assignment.owners_to_ask(service)
    if candidates:
        return await ask(context, service, candidates, group_state)
    if group_state.selection.passes_on((service,), 1, regions):
        refusal = placement.begin_request(context)
        return refusal or await pass_on(context, service, group_state)
    outcome = await queries.run_single(context, service, placement)
    if not (
        may_run_again(context, outcome)
        and group_state.loop.time() < context.end_s
        and group_state.selection.passes_on((service,), 1, regions)
    ):
        return outcome
    attempts_left = context.route.attempts - outcome.attempts
    route = context.route._replace(attempts=attempts_left)
    other = await pass_on(context._replace(route=route), service, group_state)
    # The request may have run here, if not there.
    return outcome if other.kind == "refused" else other


async def pass_on(
    context: calls.RequestContext,
    service: str,
    group_state: shard_groups.ShardGroups,
) -> outcomes.Outcome:
    """Asks another VM, since this one has lost the searchers."""
    candidates = group_state.assignment.owners_of(service)
    return await ask(context, service, candidates, group_state)


def may_run_again(
    context: calls.RequestContext, outcome: outcomes.Outcome
) -> bool:
    """Returns whether another VM may run a request that ended here."""
    if outcome.reply is not None or outcome.kind == "answered":
        return False
    if outcome.attempts >= context.route.attempts:
        return False
    return outcome.kind == "refused" or context.route.idempotent


async def ask(
    context: calls.RequestContext,
    service: str,
    candidates: list[owners.Vm],
    group_state: shard_groups.ShardGroups,
) -> outcomes.Outcome:
    """Asks another VM to run a request."""
    changed = asyncio.Event()
    group = group_state.ask_single(context, service, candidates, changed.set)
    timer = group_state.loop.call_at(context.end_s, changed.set)
    try:
        while group.pending and group_state.loop.time() < context.end_s:
            changed.clear()
            await changed.wait()
    finally:
        timer.cancel()
        group_state.drop(group)
    overload, name = group_state.overload, context.route.name
    if group.reply is not None:
        outcome = group_messages.decode_outcome(group.reply)
        if outcome.kind == "answered":
            overload.record_completion(name)
        return outcome
    owner = group.owner.name if group.owner else "nobody"
    if group.declined:
        retry_after_s = overload.retry_after_s(name, group.retry_in_s)
        reason = f"overloaded, the last one asked is {owner}"
        return outcomes.Outcome(
            *("refused", 503),
            reason=reason,
            retry_after_s=retry_after_s,
            overloaded=True,
        )
    if not group.may_have_run:
        reason = f"not started by {owner}"
        return outcomes.Outcome("refused", 503, reason=reason)
    if group.pending:
        return outcomes.Outcome("late", 504, reason=f"no answer from {owner}")
    return outcomes.Outcome("failed", 502, reason=f"connection to {owner} lost")
