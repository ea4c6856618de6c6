"""Calls: attempts at work on searchers, from the request to the late reply."""

import asyncio
import collections
import collections.abc
import itertools
import typing

import msgspec

from laurelrock import errors
from laurelrock import messages
from laurelrock import pools
from laurelrock.adapters import logs
from laurelrock.ports import searcher as port

__all__ = ["Caller", "Reply", "lose", "start"]

#: Wait for a reply beyond the deadline, or after a cancellation, in seconds.
REPLY_GRACE_S = 0.25
#: Longest wait for the answer to a cancellation, in seconds.
CANCEL_TIMEOUT_S = 0.25
#: Replies that say that a searcher ran nothing.
NOT_RUN = frozenset(["shed", "draining", "version-gone", "version-unknown"])

Spawn = collections.abc.Callable[
    [collections.abc.Coroutine[typing.Any, typing.Any, None]],
    "asyncio.Task[None]",
]

_log = logs.get_logger(__name__)


class Reply(typing.NamedTuple):
    """How a call ended.

    Attributes:
        status: "ok" only where the pinned snapshot was searched.
        hits: Of the shards that were asked.
        retry_after_ms: When to come back, where nothing was run.
    """

    status: messages.ShardStatus
    hits: list[messages.Hit] = []
    retry_after_ms: float = 0.0


Settled = collections.abc.Callable[[pools.Call, Reply], None]


class Caller:
    """Calls of one process.

    Attributes:
        start_id: Random id of this start of the process.
        spawn: Runs work in the background.
        settled: Takes the end of each call.
        counts: Of cancellations.
        ids: Source of request ids.
    """

    def __init__(self, start_id: str, spawn: Spawn, settled: Settled) -> None:
        self.start_id = start_id
        self.spawn = spawn
        self.settled = settled
        self.loop = asyncio.get_running_loop()
        self.counts: collections.Counter[str] = collections.Counter()
        self.ids = itertools.count(1)


def start(
    caller: Caller, channel: pools.Channel, work: pools.Work
) -> pools.Call:
    """Begins a call to a searcher for a work."""
    request_id = f"{work.search.request_id}.{next(caller.ids)}"
    attempt = pools.Call(request_id, channel, work, caller.loop.time())
    work.calls.append(attempt)
    channel.upstream.in_flight += 1
    channel.upstream.calls += 1
    attempt.task = caller.spawn(run(caller, attempt))
    return attempt


async def run(caller: Caller, attempt: pools.Call) -> None:
    """Waits for the reply of a call and tells how it ended."""
    reply = Reply("unreachable")
    try:
        reply = await ask(caller, attempt)
    except errors.SearcherProtocolError as error:
        reply = Reply("protocol")
        _log.warning("call-failed", code=error.code, reason=error.message)
    except errors.SearcherError as error:
        _log.warning("call-failed", code=error.code, reason=error.message)
    except asyncio.CancelledError:
        caller.counts["silent"] += 1
    finally:
        attempt.stop_timer()
        attempt.channel.upstream.in_flight -= 1
        caller.settled(attempt, reply)


async def ask(caller: Caller, attempt: pools.Call) -> Reply:
    """Sends the request of a call and reads its reply."""
    work = attempt.work
    search = work.search
    left_s = work.deadline_s - caller.loop.time()
    item: port.Item = {
        "request_id": attempt.request_id,
        "start_id": caller.start_id,
        "snapshot": search.snapshot,
        "time_left_ms": max(left_s, 0.0) * 1000,
        "limit": search.limit,
        "service": work.part.service,
        "shards": work.part.shards,
        "query": msgspec.Raw(search.query),
    }
    timeout_s = max(left_s, 0.0) + REPLY_GRACE_S
    [result] = await attempt.channel.client.search([item], timeout_s)
    if result["status"] == "ok" and result.get("snapshot") != search.snapshot:
        return Reply("protocol")
    hits = [
        messages.Hit(**row)
        for row in result.get("hits", [])
        if row["shard"] in work.part.shards
    ]
    return Reply(result["status"], hits, result.get("retry_after_ms", 0.0))


def lose(caller: Caller, attempt: pools.Call, tell: bool) -> None:
    """Stops a call whose result is not wanted.

    Its connection stays open for the searcher's reply, unless that does not
    come in time.

    Args:
        caller: Calls of this process.
        attempt: Call that lost.
        tell: Whether the searcher has to be told.
    """
    attempt.lost = True
    attempt.stop_timer()
    if attempt.task is None or attempt.task.done():
        return
    attempt.timer = caller.loop.call_later(REPLY_GRACE_S, attempt.task.cancel)
    if tell:
        caller.counts["cancel"] += 1
        caller.spawn(cancel(caller, attempt))


async def cancel(caller: Caller, attempt: pools.Call) -> None:
    """Tells a searcher to stop a call."""
    item: port.CallId = {
        "request_id": attempt.request_id,
        "start_id": caller.start_id,
    }
    try:
        await attempt.channel.client.cancel([item], CANCEL_TIMEOUT_S)
    except errors.SearcherError as error:
        caller.counts["cancel-failed"] += 1
        _log.warning("cancel-failed", code=error.code, reason=error.message)
