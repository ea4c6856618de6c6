"""Singles: requests that one searcher answers.

This VM calls the searcher where it may. Else it asks a VM that calls the
service (`gateways/assignment.py`), which passes the searcher's answer on. That
VM says that it is there and is then told to begin, so that one that is silent
has sent nothing and another one may be asked.
"""

import asyncio

from laurelrock.core import owners
from laurelrock.gateways import calls
from laurelrock.gateways import groups
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import queries
from laurelrock.gateways import questions

__all__ = ["run"]


async def run(
    work: calls.Work,
    service: str,
    placement: parts.Placement,
    others: groups.ShardGroups,
) -> outcomes.Outcome:
    """Runs a request at a searcher of a service.

    Args:
        work: The request.
        service: That answers it.
        placement: Places the calls of this VM.
        others: VMs that may call instead.
    """
    rows = others.assignment.owners_to_ask(service)
    if not rows:
        return await queries.single(work, service, placement)
    return await ask(work, service, rows, others)


async def ask(
    work: calls.Work,
    service: str,
    rows: list[owners.Vm],
    others: groups.ShardGroups,
) -> outcomes.Outcome:
    """Has another VM run a request."""
    changed = asyncio.Event()
    group = others.ask_single(work, service, rows, changed.set)
    timer = others.loop.call_at(work.end_s, changed.set)
    try:
        while group.pending and others.loop.time() < work.end_s:
            changed.clear()
            await changed.wait()
    finally:
        timer.cancel()
        others.drop(group)
    if group.reply is not None:
        return questions.decode_outcome(group.reply)
    owner = group.owner.name if group.owner else "nobody"
    if not group.started:
        reason = f"not begun by {owner}"
        return outcomes.Outcome("refused", 503, reason=reason)
    if group.pending:
        return outcomes.Outcome("late", 504, reason=f"no answer from {owner}")
    return outcomes.Outcome("failed", 502, reason=f"lost {owner}")
