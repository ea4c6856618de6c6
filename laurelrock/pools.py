"""Pools: searchers that share a queue, and the work that they have.

A pool holds the searchers of a group of services. A work is one part of one
query; a call is one attempt at it on one searcher.
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

__all__ = ["Call", "Channel", "Choices", "Done", "Pool", "Work", "create_pools"]

#: Opens the port to a searcher with at most so many connections.
Open = collections.abc.Callable[[manifest.Searcher, int], port.Searcher]
#: Takes the status, the hits and the wait of a work that ended.
Done = collections.abc.Callable[
    [messages.ShardStatus, list[messages.Hit], float], None
]


class Choices(typing.NamedTuple):
    """How work is placed.

    Attributes:
        choose: Chooses one of several free searchers.
        order: Of the queue.
        hedge_fraction: Hedges as a fraction of the calls; 0 for none.
    """

    choose: upstreams.Chooser = upstreams.choose_least_loaded
    order: queue.Order = "edf"
    hedge_fraction: float = 0.05


class Channel:
    """One searcher: what is known of it and how it is called."""

    def __init__(
        self, upstream: upstreams.Upstream, client: port.Searcher
    ) -> None:
        self.upstream = upstream
        self.client = client


class Hedges:
    """Hedges that one query may still have."""

    def __init__(self, parts: int) -> None:
        self.left = hedge.query_limit(parts)


class Work:
    """One part of a query.

    Attributes:
        search: Query that it belongs to.
        part: Service and shards.
        deadline_s: On the loop's clock.
        hedges: Of the query.
        done: Told once how it ended.
        ended: Whether it was.
        retried: Whether it was given to a second searcher after a failure.
        tried: Ids of the searchers that were called.
        calls: Not yet answered.
        retry_after_ms: Longest wait that a searcher asked for.
        doubt: How a call ended that may have run, or None.
    """

    def __init__(
        self,
        search: messages.Search,
        part: messages.Part,
        deadline_s: float,
        hedges: Hedges,
        done: Done,
    ) -> None:
        self.search = search
        self.part = part
        self.deadline_s = deadline_s
        self.hedges = hedges
        self.done = done
        self.ended = False
        self.retried = False
        self.tried: set[str] = set()
        self.calls: list[Call] = []
        self.retry_after_ms = 0.0
        self.doubt: messages.ShardStatus | None = None


class Call:
    """One attempt at a work.

    Attributes:
        request_id: As the searcher sees it; unique for this process.
        channel: Searcher that is called.
        work: What it is for.
        began_s: On the loop's clock.
        slow: Whether it takes longer than usual.
        lost: Whether its result is no longer wanted.
        task: Waits for the reply.
        timer: Tells that it is slow or, once lost, silent.
    """

    def __init__(
        self, request_id: str, channel: Channel, work: Work, began_s: float
    ) -> None:
        self.request_id = request_id
        self.channel = channel
        self.work = work
        self.began_s = began_s
        self.slow = False
        self.lost = False
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Pool:
    """Searchers of services that share them.

    Attributes:
        channels: By service.
        shares: Least fraction of the slots, by application.
        queue: Of works.
        slow: Calls whose hedge found no free slot.
        hedges: Budget.
        retries: Budget.
    """

    def __init__(self, choices: Choices) -> None:
        self.channels: dict[groups.Service, list[Channel]] = {}
        self.shares: dict[str, float] = {}
        self.queue = queue.create_queue(choices.order)
        self.slow: collections.deque[Call] = collections.deque()
        self.hedges = hedge.Budget(choices.hedge_fraction)
        self.retries = hedge.Budget(hedge.RETRY_FRACTION)

    def usable(self, work: Work, now_s: float) -> list[Channel]:
        """Returns the searchers that take a work now."""
        service = groups.Service(work.search.application, work.part.service)
        rows = self.channels.get(service, [])
        taken = upstreams.usable(
            [row.upstream for row in rows], work.search.snapshot, now_s
        )
        return [row for row in rows if row.upstream in taken]

    def upstreams(self) -> list[upstreams.Upstream]:
        """Returns all searchers, each once."""
        rows = {
            id(row): row.upstream
            for channels in self.channels.values()
            for row in channels
        }
        return list(rows.values())


def create_pools(
    config: manifest.Manifest,
    choices: Choices,
    channel_of: collections.abc.Callable[[manifest.Searcher], Channel],
    known: collections.abc.Mapping[groups.Service, Pool],
) -> dict[groups.Service, Pool]:
    """Returns the pool of each service of a manifest.

    Args:
        config: Manifest.
        choices: How work is placed.
        channel_of: Returns the channel of a searcher.
        known: Pools until now; their budgets stay.
    """
    pools: dict[groups.Service, Pool] = {}
    for members in groups.group_services(config):
        pool = Pool(choices)
        old = known.get(members[0])
        if old is not None:
            pool.hedges, pool.retries = old.hedges, old.retries
        for item in members:
            application = config.applications[item.application]
            pool.shares[item.application] = application.policy.share
            pool.channels[item] = [
                channel_of(row) for row in application.services[item.service]
            ]
            pools[item] = pool
    return pools
