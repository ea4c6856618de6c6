"""Defines pools of searchers that share a queue of sub-queries.

A pool holds the searchers of a group of services. A sub-query is one part of
a query. A call is one attempt to run a sub-query on one searcher.
"""

import asyncio
import collections
import collections.abc
import typing

from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import groups
from laurelrock.core import hedge
from laurelrock.core import queue
from laurelrock.core import upstreams
from laurelrock.ports import searcher as port

__all__ = [
    "Call",
    "Channel",
    "FinishedCallback",
    "PlacementOptions",
    "Pool",
    "Subquery",
    "create_pools",
]

#: Opens a client of a searcher, given the maximum number of connections.
OpenSearcher = collections.abc.Callable[[manifest.Searcher, int], port.Searcher]
#: Receives the status, the hits and the retry delay in milliseconds of a
#: finished sub-query.
FinishedCallback = collections.abc.Callable[
    [messages.ShardStatus, list[messages.Hit], float], None
]


class PlacementOptions(typing.NamedTuple):
    """Options for placing sub-queries on searchers.

    Attributes:
        choose: Function that chooses one of several free searchers.
        order: Order of the queue.
        hedge_fraction: Maximum fraction of calls that are hedged; 0 disables
            hedging.
    """

    choose: upstreams.Chooser = upstreams.choose_least_loaded
    order: queue.Order = "edf"
    hedge_fraction: float = 0.05


class Channel:
    """A searcher's state and the client that calls it.

    Attributes:
        upstream: State and statistics of the searcher.
        client: Client that makes calls to the searcher.
    """

    def __init__(
        self, upstream: upstreams.Upstream, client: port.Searcher
    ) -> None:
        self.upstream = upstream
        self.client = client


class HedgeAllowance:
    """Number of hedges that one query may still use.

    Attributes:
        remaining: Number of hedges left.
    """

    def __init__(self, parts: int) -> None:
        self.remaining = hedge.max_hedges_per_query(parts)


class Subquery:
    """One part of a query, to be run on one searcher.

    Attributes:
        search: The query that the part belongs to.
        part: The service and the shards to search.
        deadline_s: Event loop time of the deadline, in seconds.
        hedge_allowance: Hedges left for the whole query.
        on_finished: Callback that is called once with the result, unless
            the sub-query is dropped.
        finished: Whether the sub-query has finished or was dropped.
        retried: Whether the sub-query was retried after a failure.
        tried: Ids of the searchers that were called.
        calls: Calls without a reply so far.
        retry_after_ms: Longest retry delay that a searcher reported.
        uncertain_status: Status of a failed call that may have run, or
            None.
    """

    def __init__(
        self,
        search: messages.Search,
        part: messages.ServiceShards,
        deadline_s: float,
        hedge_allowance: HedgeAllowance,
        on_finished: FinishedCallback,
    ) -> None:
        self.search = search
        self.part = part
        self.deadline_s = deadline_s
        self.hedge_allowance = hedge_allowance
        self.on_finished = on_finished
        self.finished = False
        self.retried = False
        self.tried: set[str] = set()
        self.calls: list[Call] = []
        self.retry_after_ms = 0.0
        self.uncertain_status: messages.ShardStatus | None = None


class Call:
    """One attempt to run a sub-query on a searcher.

    Attributes:
        request_id: Request id sent to the searcher; unique in this process.
        channel: Channel of the called searcher.
        subquery: The sub-query that the call is for.
        began_s: Event loop time of the start, in seconds.
        slow: Whether the call takes longer than usual.
        abandoned: Whether the result is no longer needed.
        task: Task that waits for the reply.
        timer: Timer that marks the call as slow or, once it is abandoned,
            cancels it.
    """

    def __init__(
        self,
        request_id: str,
        channel: Channel,
        subquery: Subquery,
        began_s: float,
    ) -> None:
        self.request_id = request_id
        self.channel = channel
        self.subquery = subquery
        self.began_s = began_s
        self.slow = False
        self.abandoned = False
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        """Cancels the timer, if one is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Pool:
    """Searchers shared by a group of services, with one queue.

    Attributes:
        channels: Channels of the searchers by service.
        shares: Guaranteed fraction of the slots by application.
        queue: Queue of waiting sub-queries.
        slow: Slow calls that found no free slot for a hedge.
        hedge_budget: Budget for hedges.
        retry_budget: Budget for retries.
    """

    def __init__(self, placement: PlacementOptions) -> None:
        self.channels: dict[groups.ServiceKey, list[Channel]] = {}
        self.shares: dict[str, float] = {}
        self.queue = queue.create_queue(placement.order)
        self.slow: collections.deque[Call] = collections.deque()
        self.hedge_budget = hedge.TokenBucket(placement.hedge_fraction)
        self.retry_budget = hedge.TokenBucket(hedge.RETRY_FRACTION)

    def usable(self, subquery: Subquery, now_s: float) -> list[Channel]:
        """Returns the channels that a sub-query may use now.

        See `upstreams.usable`, which ignores ejections if no searcher accepts
        work otherwise.
        """
        service = groups.ServiceKey(
            subquery.search.application, subquery.part.service
        )
        rows = self.channels.get(service, [])
        usable_upstreams = upstreams.usable(
            [row.upstream for row in rows], subquery.search.snapshot, now_s
        )
        return [row for row in rows if row.upstream in usable_upstreams]

    def upstreams(self) -> list[upstreams.Upstream]:
        """Returns the state of each searcher in the pool once."""
        rows = {
            id(row): row.upstream
            for channels in self.channels.values()
            for row in channels
        }
        return list(rows.values())


def create_pools(
    config: manifest.Manifest,
    placement: PlacementOptions,
    channel_of: collections.abc.Callable[[manifest.Searcher], Channel],
    known: collections.abc.Mapping[groups.ServiceKey, Pool],
) -> dict[groups.ServiceKey, Pool]:
    """Returns the pool of each service of a manifest.

    Args:
        config: The new manifest.
        placement: Options for placing sub-queries on searchers.
        channel_of: Function that returns the channel of a searcher.
        known: Current pools by service; their budgets are kept.
    """
    pools: dict[groups.ServiceKey, Pool] = {}
    for members in groups.group_services(config):
        pool = Pool(placement)
        old = known.get(members[0])
        if old is not None:
            pool.hedge_budget, pool.retry_budget = (
                old.hedge_budget,
                old.retry_budget,
            )
        for item in members:
            application = config.applications[item.application]
            pool.shares[item.application] = application.policy.share
            pool.channels[item] = [
                channel_of(row) for row in application.services[item.service]
            ]
            pools[item] = pool
    return pools
