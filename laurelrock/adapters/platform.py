"""HTTP client of the platform's object API.

The contract is in docs/API.md. A process uses one instance.
"""

import typing

import aiohttp
import msgspec

from laurelrock import errors
from laurelrock.adapters import limited_body
from laurelrock.ports import platform

__all__ = ["HttpPlatform", "open_platform"]


class VmRow(typing.TypedDict):
    """One entry in the response to `GET /v1/vms`."""

    vm: str
    address: str
    failure_domain: str
    state: typing.Literal["live", "leaving"]


class VmList(typing.TypedDict):
    """Body of the response to `GET /v1/vms`."""

    vms: list[VmRow]


class ObjectRow(typing.TypedDict):
    """One entry in the response to `GET /v1/list`."""

    key: str
    version: int


class ObjectList(typing.TypedDict):
    """Body of the response to `GET /v1/list`."""

    objects: list[ObjectRow]


class Response(typing.NamedTuple):
    """Status, entity tag without quotes, and body of a response."""

    status: int
    etag: str
    body: bytes


class HttpPlatform:
    """Implements `ports.platform.Platform`.

    Attributes:
        url: Base URL of the platform.
        session: HTTP session that sends the requests.
        timeout_s: Time limit of one request, in seconds.
        calls: Number of requests made, for the metrics.
    """

    def __init__(
        self, url: str, session: aiohttp.ClientSession, timeout_s: float
    ) -> None:
        self.url = url
        self.session = session
        self.timeout_s = timeout_s
        self.calls = 0

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> Response:
        """Sends one request.

        Raises:
            PlatformError: There was no response, or one with an unexpected
                status.
        """
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s or self.timeout_s)
        try:
            async with self.session.request(
                method,
                self.url + path,
                headers=headers,
                data=body,
                timeout=timeout,
            ) as response:
                raw = await limited_body.read(response)
                etag = response.headers.get("ETag", "").strip('"')
                result = Response(response.status, etag, raw)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            errors.ReplyTooLongError,
        ) as error:
            reason = str(error) or type(error).__name__
            raise errors.PlatformError(f"{method} {path}: {reason}") from None
        if result.status not in (200, 201, 204, 304, 404, 412, 413):
            raise errors.PlatformError(
                f"{method} {path}: status {result.status}"
            )
        return result

    async def get(self, key: str) -> platform.StoredObject | None:
        return _read_object(await self.request("GET", f"/v1/objects/{key}"))

    async def put(self, key: str, body: bytes, expected: int) -> int:
        if expected == platform.ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{expected}"'}
        response = await self.request(
            "PUT", f"/v1/objects/{key}", headers, body
        )
        _raise_for_write(response, key)
        return _read_version(response)

    async def delete(self, key: str, expected: int) -> None:
        headers = {"If-Match": f'"{expected}"'}
        response = await self.request("DELETE", f"/v1/objects/{key}", headers)
        if response.status != 404:
            _raise_for_write(response, key)

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> platform.StoredObject | None:
        path = f"/v1/objects/{key}?after={after}&wait_ms={int(wait_s * 1000)}"
        limit = wait_s + self.timeout_s
        return _read_object(await self.request("GET", path, timeout_s=limit))

    async def list_versions(self, prefix: str) -> dict[str, int]:
        response = await self.request("GET", f"/v1/list?prefix={prefix}")
        rows = _decode(response.body, ObjectList)
        return {row["key"]: row["version"] for row in rows["objects"]}

    async def vms(self) -> list[platform.Vm]:
        response = await self.request("GET", "/v1/vms")
        return [
            platform.Vm(**row) for row in _decode(response.body, VmList)["vms"]
        ]

    async def close(self) -> None:
        await self.session.close()


def open_platform(
    url: str, timeout_s: float, local_address: str | None = None
) -> HttpPlatform:
    """Returns a client of the platform, which the user has to `close`.

    Args:
        url: Base URL of the platform.
        timeout_s: Time limit of one request, in seconds; a watch gets its
            waiting time in addition.
        local_address: Source IP address of the connections.
    """
    local = (local_address, 0) if local_address else None
    connector = aiohttp.TCPConnector(local_addr=local, limit=16)
    session = aiohttp.ClientSession(connector=connector)
    return HttpPlatform(url.rstrip("/"), session, timeout_s)


def _read_version(response: Response) -> int:
    if not response.etag.isdecimal():
        raise errors.PlatformError(f"ETag {response.etag!r} is not a version")
    return int(response.etag)


def _read_object(response: Response) -> platform.StoredObject | None:
    if response.status != 200:
        return None
    return platform.StoredObject(_read_version(response), response.body)


def _raise_for_write(response: Response, key: str) -> None:
    if response.status == 412:
        message = f"{key} has version {response.etag or 'none'}"
        raise errors.VersionConflictError(message)
    if response.status == 413:
        raise errors.ObjectTooLargeError(f"{key} is too large")
    if response.status not in (200, 201, 204):
        raise errors.PlatformError(f"write of {key}: status {response.status}")


def _decode(raw: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f"malformed response: {error}") from None
