"""Searcher over HTTP.

The contract is in docs/API.md. One instance calls one searcher over a
bounded number of connections.
"""

import typing

import aiohttp
import msgspec

from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages

__all__ = ["HttpSearcher", "open_searcher"]


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


class Reply(typing.TypedDict, total=False):
    """Answer to a call."""

    results: typing.Required[list[Result]]
    load: Load


class SaveItem(typing.TypedDict):
    """Body of a save."""

    request_id: str
    start_id: str
    application: str
    key: str
    body: msgspec.Raw


class SaveResult(typing.TypedDict, total=False):
    """Outcome of a save; `ran` is certain either way."""

    request_id: typing.Required[str]
    start_id: typing.Required[str]
    status: typing.Required[str]
    ran: typing.Required[bool]
    result: msgspec.Raw
    retry_after_ms: float


_save_decoder = msgspec.json.Decoder(SaveResult)
_reply_decoder = msgspec.json.Decoder(Reply)


class HttpSearcher:
    """Calls one searcher.

    Attributes:
        searcher: From the manifest.
        session: HTTP client.
        url: Base URL.
        load: Last report of the searcher.
    """

    def __init__(
        self, searcher: manifest.Searcher, session: aiohttp.ClientSession
    ) -> None:
        self.searcher = searcher
        self.session = session
        self.url = f"http://{searcher.address}"
        self.load: Load = {"busy": 0, "queued": 0, "slots": searcher.slots}

    async def search(self, items: list[Item], timeout_s: float) -> list[Result]:
        """Runs sub-queries in one call.

        Returns:
            One result for each item, in order.

        Raises:
            SearcherError: The call failed.
            SearcherProtocolError: The reply does not match the call; the
                connection is closed.
        """
        raw = await self.post("/v1/search", {"items": items}, timeout_s)
        try:
            reply = _reply_decoder.decode(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            message = f"{self.searcher.id}: {error}"
            raise errors.SearcherProtocolError(message, True) from None
        results = reply["results"]
        asked = [(item["request_id"], item["start_id"]) for item in items]
        given = [(row["request_id"], row["start_id"]) for row in results]
        if asked != given:
            message = f"{self.searcher.id}: reply to another request"
            raise errors.SearcherProtocolError(message, True)
        self.load = reply.get("load", self.load)
        return results

    async def save(
        self, item: SaveItem, timeout_s: float, connect_s: float
    ) -> SaveResult:
        """Runs a save in one call; see `search`."""
        raw = await self.post("/v1/save", item, timeout_s, connect_s)
        try:
            result = _save_decoder.decode(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            message = f"{self.searcher.id}: {error}"
            raise errors.SearcherProtocolError(message, True) from None
        given = (result["request_id"], result["start_id"])
        if given != (item["request_id"], item["start_id"]):
            message = f"{self.searcher.id}: reply to another request"
            raise errors.SearcherProtocolError(message, True)
        return result

    async def post(
        self,
        path: str,
        body: typing.Any,
        timeout_s: float,
        connect_s: float | None = None,
    ) -> bytes:
        """Posts JSON and returns the body of the 200 answer."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_s)
        try:
            async with self.session.post(
                self.url + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                raw = await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise self.failure(error, False) from None
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise self.failure(error, True) from None
        if response.status != 200:
            message = f"{self.searcher.id}: status {response.status}"
            raise errors.SearcherProtocolError(message, True)
        return raw

    def failure(self, error: Exception, sent: bool) -> errors.SearcherError:
        """Returns the typed failure of a call."""
        reason = str(error) or type(error).__name__
        return errors.SearcherError(f"{self.searcher.id}: {reason}", sent)

    async def close(self) -> None:
        await self.session.close()


def open_searcher(
    searcher: manifest.Searcher,
    connections: int,
    local_address: str,
    force_close: bool = False,
) -> HttpSearcher:
    """Returns a client of one searcher; call `close` when done.

    Args:
        searcher: From the manifest.
        connections: Most that are open at a time.
        local_address: IP number that connections leave from.
        force_close: Whether each call opens a new connection.
    """
    connector = aiohttp.TCPConnector(
        limit=connections,
        local_addr=(local_address, 0),
        keepalive_timeout=None if force_close else 60,
        force_close=force_close,
    )
    session = aiohttp.ClientSession(connector=connector)
    return HttpSearcher(searcher, session)
