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

__all__ = ["CallTracker", "Reply", "abandon_call", "start"]

#: Time to wait for a reply after the deadline or after a cancellation.
REPLY_GRACE_S = 0.25
#: Maximum wait for the response to a cancellation.
CANCEL_TIMEOUT_S = 0.25
#: Reply statuses which mean that the searcher ran nothing.
NOT_RUN = frozenset(["shed", "draining", "version-gone", "version-unknown"])

Spawn = collections.abc.Callable[
    [collections.abc.Coroutine[typing.Any, typing.Any, None]],
    "asyncio.Task[None]",
]

_log = logs.get_logger(__name__)


class Reply(typing.NamedTuple):
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


ResultHandler = collections.abc.Callable[[pools.Call, Reply], None]


class CallTracker:
    """Tracks the calls of one process to searchers.

    Attributes:
        start_id: Random id of this run of the process.
        spawn: Function that runs a coroutine in the background.
        on_result: Function that handles the result of each call.
        loop: The event loop.
        counts: Number of cancellations by result, and of silent calls.
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
    attempt = pools.Call(request_id, channel, subquery, tracker.loop.time())
    subquery.calls.append(attempt)
    channel.upstream.in_flight += 1
    channel.upstream.calls += 1
    attempt.task = tracker.spawn(run(tracker, attempt))
    return attempt


async def run(tracker: CallTracker, attempt: pools.Call) -> None:
    """Makes a call and passes its result to the result handler."""
    reply = Reply("unreachable")
    try:
        reply = await send_request(tracker, attempt)
    except errors.SearcherProtocolError as error:
        reply = Reply("protocol")
        _log.warning("call-failed", code=error.code, reason=error.message)
    except errors.SearcherError as error:
        _log.warning("call-failed", code=error.code, reason=error.message)
    except asyncio.CancelledError:
        tracker.counts["silent"] += 1
    finally:
        attempt.stop_timer()
        attempt.channel.upstream.in_flight -= 1
        tracker.on_result(attempt, reply)


async def send_request(tracker: CallTracker, attempt: pools.Call) -> Reply:
    """Sends the request of a call and returns its reply."""
    subquery = attempt.subquery
    search = subquery.search
    left_s = subquery.deadline_s - tracker.loop.time()
    item: port.Item = {
        "request_id": attempt.request_id,
        "start_id": tracker.start_id,
        "snapshot": search.snapshot,
        "time_left_ms": max(left_s, 0.0) * 1000,
        "limit": search.limit,
        "service": subquery.part.service,
        "shards": subquery.part.shards,
        "query": msgspec.Raw(search.query),
    }
    timeout_s = max(left_s, 0.0) + REPLY_GRACE_S
    [result] = await attempt.channel.client.search([item], timeout_s)
    if result["status"] == "ok" and result.get("snapshot") != search.snapshot:
        return Reply("protocol")
    hits = [
        messages.Hit(**row)
        for row in result.get("hits", [])
        if row["shard"] in subquery.part.shards
    ]
    return Reply(result["status"], hits, result.get("retry_after_ms", 0.0))


def abandon_call(
    tracker: CallTracker, attempt: pools.Call, notify_searcher: bool
) -> None:
    """Abandons a call whose result is no longer needed.

    The connection is kept open to read the searcher's reply. If no reply
    arrives within `REPLY_GRACE_S`, the call is cancelled.

    Args:
        tracker: The calls of this process.
        attempt: The call to abandon.
        notify_searcher: Whether to send a cancellation to the searcher.
    """
    attempt.abandoned = True
    attempt.stop_timer()
    if attempt.task is None or attempt.task.done():
        return
    attempt.timer = tracker.loop.call_later(REPLY_GRACE_S, attempt.task.cancel)
    if notify_searcher:
        tracker.counts["cancel"] += 1
        tracker.spawn(cancel(tracker, attempt))


async def cancel(tracker: CallTracker, attempt: pools.Call) -> None:
    """Asks a searcher to cancel a call."""
    item: port.CallId = {
        "request_id": attempt.request_id,
        "start_id": tracker.start_id,
    }
    try:
        await attempt.channel.client.cancel([item], CANCEL_TIMEOUT_S)
    except errors.SearcherError as error:
        tracker.counts["cancel-failed"] += 1
        _log.warning("cancel-failed", code=error.code, reason=error.message)
