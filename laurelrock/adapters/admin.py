"""HTTP client of the daemons' admin ports."""

import asyncio
import typing

import aiohttp
import msgspec

from laurelrock import errors
from laurelrock.adapters import limited_body

__all__ = ["AdminClient", "Status", "open_admin"]

#: Maximum number of connections that are open at the same time.
MAX_CONNECTIONS = 64


class Status(typing.TypedDict):
    """Body of the response to `GET /status`."""

    vm: str
    role: str
    failure_domain: str
    start_id: str
    generation: int
    ready: bool


_decoder = msgspec.json.Decoder(Status)


class AdminClient:
    """Client that reads the status of daemons.

    Attributes:
        session: HTTP session that sends the requests.
        timeout_s: Time limit of one request in seconds, not counting the wait
            for a free connection.
        slots: Semaphore that limits the requests in flight.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float
    ) -> None:
        self.session = session
        self.timeout_s = timeout_s
        self.slots = asyncio.Semaphore(MAX_CONNECTIONS)

    async def status(self, address: str) -> Status:
        """Returns the status of the daemon whose admin port is `IP:port`.

        Raises:
            PeerSilentError: The daemon did not respond in time, or its
                response could not be decoded.
        """
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        url = f"http://{address}/status"
        try:
            async with (
                self.slots,
                self.session.get(url, timeout=timeout) as response,
            ):
                return _decoder.decode(await limited_body.read(response))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            errors.ReplyTooLongError,
        ) as error:
            reason = str(error) or type(error).__name__
            raise errors.PeerSilentError(f"{address}: {reason}") from None
        except msgspec.MsgspecError as error:
            raise errors.PeerSilentError(f"{address}: {error}") from None

    async def close(self) -> None:
        await self.session.close()


def open_admin(timeout_s: float) -> AdminClient:
    """Returns a client of admin ports, which the user has to `close`."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=True)
    return AdminClient(aiohttp.ClientSession(connector=connector), timeout_s)
