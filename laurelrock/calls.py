"""Makes calls to searchers and tracks them until they reply or time out."""

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

__all__ = ["CallResult", "CallTracker", "abandon_call", "start"]

#: Time to wait for a reply after the deadline or after a cancellation.
REPLY_GRACE_S = 0.25
#: Maximum wait for the response to a cancellation.
CANCEL_TIMEOUT_S = 0.25
#: Reply statuses which mean that the searcher ran nothing.
NOT_RUN = frozenset(["shed", "draining", "version-gone", "version-unknown"])

#: Runs a coroutine in the background.
Spawn = collections.abc.Callable[
    [collections.abc.Coroutine[typing.Any, typing.Any, None]],
    "asyncio.Task[None]",
]

_log = logs.get_logger(__name__)


class CallResult(typing.NamedTuple):
    """The result of a call.

    Attributes:
        status: Status of the call; "ok" only if the pinned snapshot was
            searched.
        hits: Hits of the requested shards.
        retry_after_ms: Retry delay in milliseconds if nothing ran.
    """

    status: messages.ShardStatus
    hits: list[messages.Hit] = []
    retry_after_ms: float = 0.0


#: Receives each call that has ended, and its result.
ResultHandler = collections.abc.Callable[[pools.Call, CallResult], None]


class CallTracker:
    """Tracks the calls of one process to searchers.

    Attributes:
        start_id: Random id of this run of the process.
        spawn: Function that runs a coroutine in the background.
        on_result: Function that handles the result of each call.
        loop: The event loop.
        counts: Number of cancellations by result, and of calls without a
            reply ("silent").
        ids: Counter that makes the request ids of calls unique.
    """

    def __init__(
        self, start_id: str, spawn: Spawn, on_result: ResultHandler
    ) -> None:
        self.start_id = start_id
        self.spawn = spawn
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self.counts: collections.Counter[str] = collections.Counter()
        self.ids = itertools.count(1)


def start(
    tracker: CallTracker, channel: pools.Channel, subquery: pools.Subquery
) -> pools.Call:
    """Starts a call to a searcher for a sub-query."""
    request_id = f"{subquery.search.request_id}.{next(tracker.ids)}"
    call = pools.Call(request_id, channel, subquery, tracker.loop.time())
    subquery.calls.append(call)
    channel.upstream.in_flight += 1
    channel.upstream.calls += 1
    call.task = tracker.spawn(run(tracker, call))
    return call


async def run(tracker: CallTracker, call: pools.Call) -> None:
    """Makes a call and passes its result to the result handler."""
    call_result = CallResult("unreachable")
    try:
        call_result = await send_request(tracker, call)
    except errors.SearcherProtocolError as error:
        call_result = CallResult("protocol")
        _log.warning("call-failed", code=error.code, reason=error.message)
    except errors.SearcherError as error:
        _log.warning("call-failed", code=error.code, reason=error.message)
    except asyncio.CancelledError:
        tracker.counts["silent"] += 1
    finally:
        call.stop_timer()
        call.channel.upstream.in_flight -= 1
        tracker.on_result(call, call_result)


async def send_request(tracker: CallTracker, call: pools.Call) -> CallResult:
    """Sends the request of a call and returns its reply."""
    subquery = call.subquery
    search = subquery.search
    left_s = subquery.deadline_s - tracker.loop.time()
    item: port.Item = {
        "request_id": call.request_id,
        "start_id": tracker.start_id,
        "snapshot": search.snapshot,
        "time_left_ms": max(left_s, 0.0) * 1000,
        "limit": search.limit,
        "service": subquery.part.service,
        "shards": subquery.part.shards,
        "query": msgspec.Raw(search.query),
    }
    timeout_s = max(left_s, 0.0) + REPLY_GRACE_S
    [result] = await call.channel.client.search([item], timeout_s)
    if result["status"] == "ok" and result.get("snapshot") != search.snapshot:
        return CallResult("protocol")
    hits = [
        messages.Hit(**row)
        for row in result.get("hits", [])
        if row["shard"] in subquery.part.shards
    ]
    return CallResult(result["status"], hits, result.get("retry_after_ms", 0.0))


def abandon_call(
    tracker: CallTracker, call: pools.Call, notify_searcher: bool
) -> None:
    """Abandons a call whose result is no longer needed.

    The connection is kept open to read the searcher's reply. If no reply
    arrives within `REPLY_GRACE_S`, the call is cancelled.

    Args:
        tracker: The calls of this process.
        call: The call to abandon.
        notify_searcher: Whether to send a cancellation to the searcher.
    """
    call.abandoned = True
    call.stop_timer()
    if call.task is None or call.task.done():
        return
    call.timer = tracker.loop.call_later(REPLY_GRACE_S, call.task.cancel)
    if notify_searcher:
        tracker.counts["cancel"] += 1
        tracker.spawn(cancel(tracker, call))


async def cancel(tracker: CallTracker, call: pools.Call) -> None:
    """Asks a searcher to cancel a call."""
    item: port.CallId = {
        "request_id": call.request_id,
        "start_id": tracker.start_id,
    }
    try:
        await call.channel.client.cancel([item], CANCEL_TIMEOUT_S)
    except errors.SearcherError as error:
        tracker.counts["cancel-failed"] += 1
        _log.warning("cancel-failed", code=error.code, reason=error.message)
