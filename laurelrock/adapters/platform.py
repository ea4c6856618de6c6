"""Platform over HTTP.

The contract is in docs/API.md. One instance serves one process.
"""

import typing

import aiohttp
import msgspec

from laurelrock import errors
from laurelrock.ports import platform

__all__ = ["HttpPlatform", "open_platform"]


class VmRow(typing.TypedDict):
    """One row of the answer to `GET /v1/vms`."""

    vm: str
    address: str
    failure_domain: str
    state: typing.Literal["live", "leaving"]


class VmList(typing.TypedDict):
    """Answer to `GET /v1/vms`."""

    vms: list[VmRow]


class ObjectRow(typing.TypedDict):
    """One row of the answer to `GET /v1/list`."""

    key: str
    version: int


class ObjectList(typing.TypedDict):
    """Answer to `GET /v1/list`."""

    objects: list[ObjectRow]


class Answer(typing.NamedTuple):
    """What an HTTP request returned."""

    status: int
    etag: str
    body: bytes


class HttpPlatform:
    """Implements `ports.platform.Platform`.

    Attributes:
        url: Base URL.
        session: HTTP client.
        timeout_s: Of one request.
        calls: Requests made, for the metrics.
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
    ) -> Answer:
        """Makes one request; raises `PlatformError` for anything unusual."""
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
                raw = await response.read()
                etag = response.headers.get("ETag", "").strip('"')
                answer = Answer(response.status, etag, raw)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise errors.PlatformError(f"{method} {path}: {reason}") from None
        if answer.status not in (200, 201, 204, 304, 404, 412, 413):
            raise errors.PlatformError(f"{method} {path}: {answer.status}")
        return answer

    async def get(self, key: str) -> platform.Stored | None:
        return _stored(await self.request("GET", f"/v1/objects/{key}"))

    async def put(self, key: str, body: bytes, expected: int) -> int:
        if expected == platform.ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{expected}"'}
        answer = await self.request("PUT", f"/v1/objects/{key}", headers, body)
        _check_write(answer, key)
        return _version(answer)

    async def delete(self, key: str, expected: int) -> None:
        headers = {"If-Match": f'"{expected}"'}
        answer = await self.request("DELETE", f"/v1/objects/{key}", headers)
        if answer.status != 404:
            _check_write(answer, key)

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> platform.Stored | None:
        path = f"/v1/objects/{key}?after={after}&wait_ms={int(wait_s * 1000)}"
        limit = wait_s + self.timeout_s
        return _stored(await self.request("GET", path, timeout_s=limit))

    async def list_versions(self, prefix: str) -> dict[str, int]:
        answer = await self.request("GET", f"/v1/list?prefix={prefix}")
        rows = _decode(answer.body, ObjectList)
        return {row["key"]: row["version"] for row in rows["objects"]}

    async def vms(self) -> list[platform.Vm]:
        answer = await self.request("GET", "/v1/vms")
        return [
            platform.Vm(**row) for row in _decode(answer.body, VmList)["vms"]
        ]

    async def close(self) -> None:
        await self.session.close()


def open_platform(
    url: str, timeout_s: float, local_address: str | None = None
) -> HttpPlatform:
    """Returns a platform client; call `close` when done.

    Args:
        url: Base URL.
        timeout_s: Of one request; a watch waits that much longer.
        local_address: IP number that connections leave from.
    """
    local = (local_address, 0) if local_address else None
    connector = aiohttp.TCPConnector(local_addr=local, limit=16)
    session = aiohttp.ClientSession(connector=connector)
    return HttpPlatform(url.rstrip("/"), session, timeout_s)


def _version(answer: Answer) -> int:
    if not answer.etag.isdecimal():
        raise errors.PlatformError(f"no version in ETag {answer.etag!r}")
    return int(answer.etag)


def _stored(answer: Answer) -> platform.Stored | None:
    if answer.status != 200:
        return None
    return platform.Stored(_version(answer), answer.body)


def _check_write(answer: Answer, key: str) -> None:
    if answer.status == 412:
        message = f"{key} has version {answer.etag or 'none'}"
        raise errors.VersionConflictError(message)
    if answer.status == 413:
        raise errors.ObjectTooLargeError(f"{key} is too large")
    if answer.status not in (200, 201, 204):
        raise errors.PlatformError(f"write of {key}: {answer.status}")


def _decode(raw: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(f"bad answer: {error}") from None
