"""Interface of the client with which a relay calls a searcher."""

import typing

import msgspec

from laurelrock import manifest
from laurelrock import messages

__all__ = ["CallId", "Item", "Result", "Searcher"]


class Item(typing.TypedDict):
    """One sub-query of a call, as it is sent.

    Attributes:
        request_id: Id of the sub-query.
        start_id: Random id of the calling process's start, which makes the
            request id unique across restarts.
        snapshot: Version of the snapshot to search.
        time_left_ms: Time left for the result, in milliseconds.
        limit: Maximum number of hits to return.
        service: Service that the sub-query is for.
        shards: Shards to search.
        query: Query, as raw JSON.
    """

    request_id: str
    start_id: str
    snapshot: str
    time_left_ms: float
    limit: int
    service: str
    shards: list[str]
    query: msgspec.Raw


class CallId(typing.TypedDict):
    """Identity of one sub-query of a call; see `Item`."""

    request_id: str
    start_id: str


class HitRow(typing.TypedDict, total=False):
    """One hit of a result."""

    score: typing.Required[float]
    id: typing.Required[str]
    shard: typing.Required[str]
    document: typing.Any


class Load(typing.TypedDict):
    """Load that a searcher reports.

    Attributes:
        busy: Number of slots in use.
        queued: Number of sub-queries that wait for a slot.
        slots: Number of sub-queries that may run at the same time.
    """

    busy: int
    queued: int
    slots: int


class Result(typing.TypedDict, total=False):
    """Outcome of one sub-query, as the searcher sends it."""

    request_id: typing.Required[str]
    start_id: typing.Required[str]
    status: typing.Required[messages.ShardStatus]
    snapshot: str
    hits: list[HitRow]
    retry_after_ms: float


class Searcher(typing.Protocol):
    """Client of one searcher.

    Attributes:
        searcher: Entry of the searcher in the manifest.
        load: Load that the searcher reported last.
    """

    searcher: manifest.Searcher
    load: Load

    async def search(self, items: list[Item], timeout_s: float) -> list[Result]:
        """Runs sub-queries in one call.

        Returns:
            One result for each sub-query, in the same order.

        Raises:
            SearcherError: The call failed.
            SearcherProtocolError: The reply does not match the call.
        """

    async def cancel(self, items: list[CallId], timeout_s: float) -> None:
        """Cancels sub-queries; raises `SearcherError` if the call fails."""

    async def state(self, timeout_s: float) -> str:
        """Returns the state that the searcher reports.

        Raises:
            SearcherError: The call failed.
        """

    async def release(self) -> None:
        """Closes the idle connections; calls in flight continue."""

    async def close(self) -> None:
        """Closes all connections."""
