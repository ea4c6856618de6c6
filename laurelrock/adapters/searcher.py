"""HTTP client of searchers.

The contract is in docs/API.md. One instance calls one searcher over a limited
number of connections.
"""

import collections
import collections.abc
import typing

import aiohttp
import msgspec
import yarl

from laurelrock import errors
from laurelrock import manifest
from laurelrock.adapters import limited_body
from laurelrock.ports import searcher as port

__all__ = ["HttpSearcher", "open_searcher"]

#: Time for which an idle connection stays open, in seconds.
KEEPALIVE_S = 60.0
#: Headers of every request.
HEADERS = {"Content-Type": "application/json"}


class Reply(typing.TypedDict, total=False):
    """Body of the response to a search call."""

    results: typing.Required[list[port.Result]]
    load: port.Load


class SaveItem(typing.TypedDict):
    """Body of a save request."""

    request_id: str
    start_id: str
    application: str
    key: str
    body: msgspec.Raw


class SaveResult(typing.TypedDict, total=False):
    """Outcome of a save; `ran` tells for certain whether it was run."""

    request_id: typing.Required[str]
    start_id: typing.Required[str]
    status: typing.Required[str]
    ran: typing.Required[bool]
    result: msgspec.Raw
    retry_after_ms: float


#: Type of a decoded response body.
Body = typing.TypeVar("Body")


class Health(typing.TypedDict):
    """Body of the response to a health call."""

    state: str


_health_decoder = msgspec.json.Decoder(Health)
_save_decoder = msgspec.json.Decoder(SaveResult)
_reply_decoder = msgspec.json.Decoder(Reply)


#: Failures of a call that may have reached the searcher.
CALL_ERRORS = (TimeoutError, aiohttp.ClientError, OSError)


class HttpSearcher:
    """Implements `ports.searcher.Searcher`.

    Attributes:
        searcher: Entry of the searcher in the manifest.
        create_session: Function that returns a new HTTP session.
        session: HTTP session, with its connections, for new calls.
        calls_by_session: Number of calls in flight by HTTP session.
        url: Base URL of the searcher.
        urls: URLs of the requests by path.
        load: Load that the searcher reported last.
    """

    def __init__(
        self,
        searcher: manifest.Searcher,
        create_session: collections.abc.Callable[[], aiohttp.ClientSession],
    ) -> None:
        self.searcher = searcher
        self.create_session = create_session
        self.session = create_session()
        self.calls_by_session: collections.Counter[aiohttp.ClientSession] = (
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
                message = f"{self.searcher.id}: response to another request"
                raise errors.SearcherProtocolError(message, True)
            return reply

        reply = await self.post("/v1/search", {"items": items}, timeout_s, read)
        self.load = reply.get("load", self.load)
        return reply["results"]

    async def save(
        self, item: SaveItem, timeout_s: float, connect_s: float
    ) -> SaveResult:
        """Runs a save in one call; raises the errors of `request`."""

        def read(raw: bytes) -> SaveResult:
            result = _save_decoder.decode(raw)
            given = (result["request_id"], result["start_id"])
            if given != (item["request_id"], item["start_id"]):
                message = f"{self.searcher.id}: response to another request"
                raise errors.SearcherProtocolError(message, True)
            return result

        return await self.post("/v1/save", item, timeout_s, read, connect_s)

    async def cancel(self, items: list[port.CallId], timeout_s: float) -> None:
        await self.post(
            "/v1/cancel", {"items": items}, timeout_s, _discard_body
        )

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
        """Sends a JSON body with POST; see `request` for the arguments."""
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
            method: HTTP method.
            path: Path of the URL.
            data: Request body, or None.
            timeout_s: Time limit of the whole call, in seconds.
            read: Function that decodes the response body.
            connect_s: Time limit of opening a connection, in seconds.

        Returns:
            The result of `read`.

        Raises:
            SearcherError: The call failed; `sent` tells whether the searcher
                may have received it.
            SearcherProtocolError: The response violates the contract. Its
                connection isn't used for later calls.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=connect_s)
        session = self.session
        url = self.urls.get(path) or self.urls.setdefault(
            path, self.url.with_path(path)
        )
        self.calls_by_session[session] += 1
        try:
            async with session.request(
                method,
                url,
                data=data,
                headers=HEADERS,
                timeout=timeout,
            ) as response:
                raw = await limited_body.read(response)
            return self.read_response(response.status, raw, read)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise self.create_error(error, False) from None
        except (*CALL_ERRORS, errors.ReplyTooLongError) as error:
            raise self.create_error(error, True) from None
        finally:
            self.calls_by_session[session] -= 1
            if (
                session is not self.session
                and not self.calls_by_session[session]
            ):
                del self.calls_by_session[session]
                await session.close()

    def read_response(
        self,
        status: int,
        raw: bytes,
        read: collections.abc.Callable[[bytes], Body],
    ) -> Body:
        """Decodes a response; replaces the session if it is invalid."""
        try:
            if status != 200:
                message = f"{self.searcher.id}: status {status}"
                raise errors.SearcherProtocolError(message, True)
            return read(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.session = self.create_session()
            message = f"{self.searcher.id}: {error}"
            raise errors.SearcherProtocolError(message, True) from None
        except errors.SearcherProtocolError:
            self.session = self.create_session()
            raise

    def create_error(
        self, error: Exception, sent: bool
    ) -> errors.SearcherError:
        """Returns the error for a failed call."""
        reason = str(error) or type(error).__name__
        return errors.SearcherError(f"{self.searcher.id}: {reason}", sent)

    async def release(self) -> None:
        old = self.session
        self.session = self.create_session()
        if not self.calls_by_session[old]:
            del self.calls_by_session[old]
            await old.close()

    async def close(self) -> None:
        for session in {self.session, *self.calls_by_session}:
            await session.close()


def _matches(items: list[port.Item], rows: list[port.Result]) -> bool:
    expected = [(item["request_id"], item["start_id"]) for item in items]
    return expected == [(row["request_id"], row["start_id"]) for row in rows]


def _discard_body(raw: bytes) -> None:
    """Accepts any response body."""


def open_searcher(
    searcher: manifest.Searcher,
    connections: int,
    local_address: str,
    keepalive_s: float = KEEPALIVE_S,
) -> HttpSearcher:
    """Returns a client of one searcher, which the user has to `close`.

    Args:
        searcher: Entry of the searcher in the manifest.
        connections: Maximum number of open connections.
        local_address: Source IP address of the connections.
        keepalive_s: Time for which an idle connection stays open, in seconds.
    """

    def create_session() -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=connections,
            local_addr=(local_address, 0),
            keepalive_timeout=keepalive_s,
        )
        return aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    return HttpSearcher(searcher, create_session)
