"""Searcher over HTTP.

The contract is in docs/API.md. One instance calls one searcher over a
bounded number of connections.
"""

import collections
import collections.abc
import typing

import aiohttp
import msgspec
import yarl

from laurelrock import errors
from laurelrock import manifest
from laurelrock.ports import searcher as port

__all__ = ["HttpSearcher", "open_searcher"]

#: Time that an idle connection stays open, in seconds.
KEEPALIVE_S = 60.0
#: Of every request.
HEADERS = {"Content-Type": "application/json"}


class Reply(typing.TypedDict, total=False):
    """Answer to a call."""

    results: typing.Required[list[port.Result]]
    load: port.Load


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


#: What a body is decoded to.
Body = typing.TypeVar("Body")


class Health(typing.TypedDict):
    """Answer to a health call."""

    state: str


_health_decoder = msgspec.json.Decoder(Health)
_save_decoder = msgspec.json.Decoder(SaveResult)
_reply_decoder = msgspec.json.Decoder(Reply)


class HttpSearcher:
    """Implements `ports.searcher.Searcher`.

    Attributes:
        searcher: From the manifest.
        connect: Returns a new HTTP client.
        session: HTTP client of the next call.
        in_use: Calls in flight by HTTP client.
        url: Base URL.
        urls: By path.
        load: Last report of the searcher.
    """

    def __init__(
        self,
        searcher: manifest.Searcher,
        connect: collections.abc.Callable[[], aiohttp.ClientSession],
    ) -> None:
        self.searcher = searcher
        self.connect = connect
        self.session = connect()
        self.in_use: collections.Counter[aiohttp.ClientSession] = (
            collections.Counter()
        )
        self.url = yarl.URL(f"http://{searcher.address}")
        self.urls: dict[str, yarl.URL] = {}
        self.load: port.Load = {"busy": 0, "queued": 0, "slots": searcher.slots}

    async def search(
        self, items: list[port.Item], timeout_s: float
    ) -> list[port.Result]:
        def read(raw: bytes) -> Reply:
            reply = _reply_decoder.decode(raw)
            if not _matches(items, reply["results"]):
                message = f"{self.searcher.id}: reply to another request"
                raise errors.SearcherProtocolError(message, True)
            return reply

        reply = await self.post("/v1/search", {"items": items}, timeout_s, read)
        self.load = reply.get("load", self.load)
        return reply["results"]

    async def save(
        self, item: SaveItem, timeout_s: float, connect_s: float
    ) -> SaveResult:
        """Runs a save in one call; see `request`."""

        def read(raw: bytes) -> SaveResult:
            result = _save_decoder.decode(raw)
            given = (result["request_id"], result["start_id"])
            if given != (item["request_id"], item["start_id"]):
                message = f"{self.searcher.id}: reply to another request"
                raise errors.SearcherProtocolError(message, True)
            return result

        return await self.post("/v1/save", item, timeout_s, read, connect_s)

    async def cancel(self, items: list[port.CallId], timeout_s: float) -> None:
        await self.post("/v1/cancel", {"items": items}, timeout_s, _ignore)

    async def state(self, timeout_s: float) -> str:
        decode = _health_decoder.decode
        health = await self.request(
            "GET", "/v1/health", None, timeout_s, decode
        )
        return health["state"]

    async def post(
        self,
        path: str,
        body: typing.Any,
        timeout_s: float,
        read: collections.abc.Callable[[bytes], Body],
        connect_s: float | None = None,
    ) -> Body:
        """Posts JSON; see `request`."""
        data = msgspec.json.encode(body)
        return await self.request(
            "POST", path, data, timeout_s, read, connect_s
        )

    async def request(
        self,
        method: str,
        path: str,
        data: bytes | None,
        timeout_s: float,
        read: collections.abc.Callable[[bytes], Body],
        connect_s: float | None = None,
    ) -> Body:
        """Sends one request.

        Args:
            method: Of HTTP.
            path: Of the URL.
            data: Body.
            timeout_s: For the whole exchange.
            read: Decodes the body of the answer.
            connect_s: For opening a connection.

        Returns:
            What `read` returned.

        Raises:
            SearcherError: The call failed.
            SearcherProtocolError: The reply breaks the contract; no later
                call uses its connection.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_s)
        session = self.session
        url = self.urls.get(path) or self.urls.setdefault(
            path, self.url.with_path(path)
        )
        self.in_use[session] += 1
        try:
            async with session.request(
                method,
                url,
                data=data,
                headers=HEADERS,
                timeout=timeout,
            ) as response:
                raw = await response.read()
            return self.check(response.status, raw, read)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise self.failure(error, False) from None
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise self.failure(error, True) from None
        finally:
            self.in_use[session] -= 1
            if session is not self.session and not self.in_use[session]:
                del self.in_use[session]
                await session.close()

    def check(
        self,
        status: int,
        raw: bytes,
        read: collections.abc.Callable[[bytes], Body],
    ) -> Body:
        """Reads an answer; renews the connections where it is bad."""
        try:
            if status != 200:
                message = f"{self.searcher.id}: status {status}"
                raise errors.SearcherProtocolError(message, True)
            return read(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.session = self.connect()
            message = f"{self.searcher.id}: {error}"
            raise errors.SearcherProtocolError(message, True) from None
        except errors.SearcherProtocolError:
            self.session = self.connect()
            raise

    def failure(self, error: Exception, sent: bool) -> errors.SearcherError:
        """Returns the typed failure of a call."""
        reason = str(error) or type(error).__name__
        return errors.SearcherError(f"{self.searcher.id}: {reason}", sent)

    async def release(self) -> None:
        old = self.session
        self.session = self.connect()
        if not self.in_use[old]:
            del self.in_use[old]
            await old.close()

    async def close(self) -> None:
        for session in {self.session, *self.in_use}:
            await session.close()


def _matches(items: list[port.Item], rows: list[port.Result]) -> bool:
    asked = [(item["request_id"], item["start_id"]) for item in items]
    return asked == [(row["request_id"], row["start_id"]) for row in rows]


def _ignore(raw: bytes) -> None:
    """Takes any body."""


def open_searcher(
    searcher: manifest.Searcher,
    connections: int,
    local_address: str,
    keepalive_s: float = KEEPALIVE_S,
) -> HttpSearcher:
    """Returns a client of one searcher; call `close` when done.

    Args:
        searcher: From the manifest.
        connections: Most that are open at a time.
        local_address: IP number that connections leave from.
        keepalive_s: For which an idle connection is kept.
    """

    def connect() -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=connections,
            local_addr=(local_address, 0),
            keepalive_timeout=keepalive_s,
        )
        return aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    return HttpSearcher(searcher, connect)
