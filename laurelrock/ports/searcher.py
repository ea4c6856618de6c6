"""Searcher as the relay needs it."""

import typing

import msgspec

from laurelrock import manifest
from laurelrock import messages

__all__ = ["CallId", "Item", "Result", "Searcher"]


class Item(typing.TypedDict):
    """One sub-query of a call."""

    request_id: str
    start_id: str
    snapshot: str
    time_left_ms: float
    limit: int
    service: str
    shards: list[str]
    query: msgspec.Raw


class CallId(typing.TypedDict):
    """Names one sub-query of a call."""

    request_id: str
    start_id: str


class HitRow(typing.TypedDict, total=False):
    """One hit of a result."""

    score: typing.Required[float]
    id: typing.Required[str]
    shard: typing.Required[str]
    document: typing.Any


class Load(typing.TypedDict):
    """A searcher's report of its load."""

    busy: int
    queued: int
    slots: int


class Result(typing.TypedDict, total=False):
    """Outcome of one sub-query."""

    request_id: typing.Required[str]
    start_id: typing.Required[str]
    status: typing.Required[messages.ShardStatus]
    snapshot: str
    hits: list[HitRow]
    retry_after_ms: float


class Searcher(typing.Protocol):
    """Calls one searcher.

    Attributes:
        searcher: From the manifest.
        load: Last report of the searcher.
    """

    searcher: manifest.Searcher
    load: Load

    async def search(self, items: list[Item], timeout_s: float) -> list[Result]:
        """Runs sub-queries in one call; one result for each, in order.

        Raises:
            SearcherError: The call failed.
            SearcherProtocolError: The reply does not match the call.
        """

    async def cancel(self, items: list[CallId], timeout_s: float) -> None:
        """Stops sub-queries; raises `SearcherError` where it failed."""

    async def state(self, timeout_s: float) -> str:
        """Returns the state that it reports; raises `SearcherError`."""

    async def release(self) -> None:
        """Closes the idle connections; calls in flight keep theirs."""

    async def close(self) -> None:
        """Closes all connections."""
