"""Fake platform: serves versioned objects and the list of VMs over HTTP.

Usage: `python -m fakes.platform --listen 127.0.0.1:7100 [--vms FILE]`.

State is kept in memory. `POST /control` with a JSON object of `Faults` fields
injects faults, and `{"vms": [...]}` sets the list of VMs;
`GET /control/stats` returns the number of calls by kind.
"""

import argparse
import asyncio
import collections
import collections.abc
import math
import pathlib
import time
import typing

from aiohttp import web
import msgspec

from laurelrock import document

__all__ = ["Platform", "start"]

#: Largest size of an object, in bytes.
MAX_OBJECT_BYTES = 1_000_000
#: Longest wait of a watch, in milliseconds.
MAX_WATCH_MS = 60_000.0
#: Default rate limit of writes, in calls per second.
DEFAULT_WRITES_PER_S = 500.0
#: Default rate limit of reads, in calls per second.
DEFAULT_READS_PER_S = 2000.0

Handler = collections.abc.Callable[
    [web.Request], collections.abc.Awaitable[web.StreamResponse]
]


class Faults(typing.NamedTuple):
    """Faults that the platform injects.

    Attributes:
        outage: Whether every call gets status 503.
        hang: Whether calls wait. They are handled once this ends, even if
            their client has disconnected.
        slow_ms: Additional delay of each call, in milliseconds.
        lose_replies: Number of further writes that take effect without a
            response.
        refuse_from: Source addresses whose connections are closed.
        vms_lag_ms: Age of the list of VMs that is served, in milliseconds.
        writes_per_s: Rate limit of writes, in calls per second.
        reads_per_s: Rate limit of reads, in calls per second.
    """

    outage: bool = False
    hang: bool = False
    slow_ms: float = 0.0
    lose_replies: int = 0
    refuse_from: list[str] = []
    vms_lag_ms: float = 0.0
    writes_per_s: float = DEFAULT_WRITES_PER_S
    reads_per_s: float = DEFAULT_READS_PER_S


class StoredObject(typing.NamedTuple):
    """Version and body of an object; the body of a deleted object is None."""

    version: int
    body: bytes | None


class TokenBucket:
    """Token bucket whose capacity is the number of calls of one second."""

    def __init__(self, now_s: float, rate: float) -> None:
        self.tokens = rate
        self.refilled_s = now_s

    def try_take(self, now_s: float, rate: float) -> bool:
        self.tokens += (now_s - self.refilled_s) * rate
        self.tokens = min(self.tokens, rate)
        self.refilled_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform:
    """State of the fake platform.

    Attributes:
        clock: Clock of rate limits and VM lists, in seconds.
        objects: Objects by key, including deleted ones.
        faults: Faults that are currently injected.
        call_counts: Number of calls, by kind.
        write_bucket: Rate limiter of writes.
        read_bucket: Rate limiter of reads.
        vms: Lists of VMs with the times at which they were set, oldest first.
        faults_changed: Event that is set, and replaced, when the faults change.
        watch_events: Events that wake the pending watches, by key.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self.clock = clock
        self.objects: dict[str, StoredObject] = {}
        self.faults = Faults()
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.write_bucket = TokenBucket(clock(), DEFAULT_WRITES_PER_S)
        self.read_bucket = TokenBucket(clock(), DEFAULT_READS_PER_S)
        self.vms: list[tuple[float, list[dict[str, str]]]] = [(0.0, [])]
        self.faults_changed = asyncio.Event()
        self.watch_events: dict[str, set[asyncio.Event]] = {}

    def wake_watches(self, key: str | None = None) -> None:
        """Wakes the watches of a key, or all of them."""
        keys = list(self.watch_events) if key is None else [key]
        for name in keys:
            for event in self.watch_events.get(name, ()):
                event.set()

    def is_refused(self, request: web.Request) -> bool:
        """Returns whether connections of the request's source are closed."""
        return bool(request.remote in self.faults.refuse_from)

    def set_vms(self, vms: list[dict[str, str]]) -> None:
        """Sets the list of VMs; it is served after the configured lag."""
        self.vms.append((self.clock(), vms))

    def listed_vms(self) -> list[dict[str, str]]:
        """Returns the list of VMs as of `vms_lag_ms` ago."""
        until = self.clock() - self.faults.vms_lag_ms / 1000
        found = self.vms[0][1]
        for since, vms in self.vms:
            if since <= until:
                found = vms
        return found

    def control(self, change: dict[str, typing.Any]) -> None:
        """Applies the body of a control call: `Faults` fields and "vms"."""
        if "vms" in change:
            self.set_vms(change.pop("vms"))
        fields = self.faults._asdict() | change
        self.faults = document.structure(Faults, fields)
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        self.wake_watches()

    def put_object(self, key: str, body: bytes | None) -> int:
        """Stores a new version of an object and returns its number."""
        held = self.objects.get(key)
        version = 1 + (held.version if held else 0)
        self.objects[key] = StoredObject(version, body)
        self.wake_watches(key)
        return version


def etag_header(version: int) -> dict[str, str]:
    """Returns the ETag header of an object version."""
    return {"ETag": f'"{version}"'}


def close(request: web.Request) -> web.Response:
    """Aborts the connection of a request instead of responding."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def find_object(platform: Platform, key: str) -> StoredObject | None:
    """Returns an object, or None if it is missing or deleted."""
    held = platform.objects.get(key)
    return held if held and held.body is not None else None


async def read_object(
    platform: Platform, request: web.Request
) -> web.StreamResponse:
    """Handles a read or a watch of an object."""
    key = request.match_info["key"]
    if "after" not in request.query:
        held = find_object(platform, key)
        if held is None:
            return web.Response(status=404)
        return web.Response(body=held.body, headers=etag_header(held.version))
    try:
        after = int(request.query["after"])
        wait_ms = min(float(request.query.get("wait_ms", "0")), MAX_WATCH_MS)
    except ValueError:
        return web.Response(status=400)
    return await watch_object(platform, request, after, wait_ms)


async def watch_object(
    platform: Platform, request: web.Request, after: int, wait_ms: float
) -> web.StreamResponse:
    """Handles a watch: waits until an object's version exceeds `after`."""
    key = request.match_info["key"]
    loop = asyncio.get_running_loop()
    until = loop.time() + wait_ms / 1000
    event = asyncio.Event()
    platform.watch_events.setdefault(key, set()).add(event)
    try:
        while True:
            event.clear()
            if platform.is_refused(request):
                return close(request)
            if platform.faults.outage:
                return web.Response(status=503)
            held = find_object(platform, key)
            if held is not None and held.version > after:
                headers = etag_header(held.version)
                return web.Response(body=held.body, headers=headers)
            async with asyncio.timeout_at(until):
                await event.wait()
    except TimeoutError:
        return web.Response(status=304)
    finally:
        platform.watch_events[key].discard(event)
        if not platform.watch_events[key]:
            del platform.watch_events[key]


def precondition_error(
    platform: Platform, request: web.Request
) -> web.Response | None:
    """Returns the error response to a conditional write, or None.

    Status 428 means that the request has no condition, 412 that its condition
    does not hold.
    """
    held = find_object(platform, request.match_info["key"])
    headers = etag_header(held.version) if held else {}
    match = request.headers.get("If-Match")
    none_match = request.headers.get("If-None-Match")
    if match is None and none_match is None:
        return web.Response(status=428)
    if match is not None and match != headers.get("ETag"):
        return web.Response(status=412, headers=headers)
    if none_match is not None and held is not None:
        return web.Response(status=412, headers=headers)
    return None


async def write_object(
    platform: Platform, request: web.Request
) -> web.StreamResponse:
    """Handles a conditional write or delete."""
    body = await request.read() if request.method == "PUT" else None
    error_response = precondition_error(platform, request)
    if error_response is not None:
        return error_response
    version = platform.put_object(request.match_info["key"], body)
    lost = platform.faults.lose_replies
    if lost > 0:
        platform.faults = platform.faults._replace(lose_replies=lost - 1)
        return close(request)
    if body is None:
        return web.Response(status=204)
    return web.Response(headers=etag_header(version))


async def list_objects(
    platform: Platform, request: web.Request
) -> web.StreamResponse:
    """Handles a list of the keys and versions that have a prefix."""
    prefix = request.query.get("prefix", "")
    found = [
        {"key": key, "version": held.version}
        for key, held in sorted(platform.objects.items())
        if key.startswith(prefix) and held.body is not None
    ]
    return web.json_response({"objects": found})


async def list_vms(
    platform: Platform, request: web.Request
) -> web.StreamResponse:
    """Handles a read of the list of VMs."""
    return web.json_response({"vms": platform.listed_vms()})


def rate_limit_error(
    platform: Platform, request: web.Request
) -> web.Response | None:
    """Counts a call; returns a 429 response if it exceeds the rate limit."""
    now_s = platform.clock()
    faults = platform.faults
    if request.method in ("PUT", "DELETE"):
        kind, bucket, rate = (
            "writes",
            platform.write_bucket,
            faults.writes_per_s,
        )
    else:
        kind, bucket, rate = "reads", platform.read_bucket, faults.reads_per_s
    platform.call_counts["watches" if "after" in request.query else kind] += 1
    if bucket.try_take(now_s, rate):
        return None
    platform.call_counts["limited"] += 1
    retry_after_s = math.ceil(1 / rate) if rate > 0 else 1
    return web.Response(status=429, headers={"Retry-After": str(retry_after_s)})


async def apply_faults(
    platform: Platform, request: web.Request
) -> web.Response | None:
    """Applies faults and rate limits before a call is handled.

    Returns:
        The error response, or None if the call is to be handled.
    """
    while platform.faults.hang:
        await platform.faults_changed.wait()
    if platform.is_refused(request):
        return close(request)
    if platform.faults.slow_ms > 0:
        await asyncio.sleep(platform.faults.slow_ms / 1000)
    if platform.faults.outage:
        platform.call_counts["outage"] += 1
        return web.Response(status=503)
    return rate_limit_error(platform, request)


def application(platform: Platform) -> web.Application:
    """Returns the web application with the routes of the fake platform."""

    def with_faults(
        handler: collections.abc.Callable[
            [Platform, web.Request],
            collections.abc.Awaitable[web.StreamResponse],
        ],
    ) -> Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            refused = await apply_faults(platform, request)
            return refused or await handler(platform, request)

        return handle

    async def control(request: web.Request) -> web.Response:
        try:
            platform.control(msgspec.json.decode(await request.read()))
        except document.DocumentError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(platform.faults._asdict())

    async def stats(request: web.Request) -> web.Response:
        return web.json_response(dict(platform.call_counts))

    app = web.Application(client_max_size=MAX_OBJECT_BYTES)
    app.router.add_get("/v1/objects/{key:.+}", with_faults(read_object))
    app.router.add_put("/v1/objects/{key:.+}", with_faults(write_object))
    app.router.add_delete("/v1/objects/{key:.+}", with_faults(write_object))
    app.router.add_get("/v1/list", with_faults(list_objects))
    app.router.add_get("/v1/vms", with_faults(list_vms))
    app.router.add_post("/control", control)
    app.router.add_get("/control/stats", stats)
    return app


async def start(platform: Platform, address: str) -> web.AppRunner:
    """Serves on "host:port"; the `cleanup` of the returned runner stops it."""
    host, _, port = address.partition(":")
    runner = web.AppRunner(
        application(platform), access_log=None, shutdown_timeout=0
    )
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def serve(address: str, vms: list[dict[str, str]]) -> None:
    """Runs a platform until cancelled."""
    platform = Platform(time.monotonic)
    platform.set_vms(vms)
    await start(platform, address)
    await asyncio.Event().wait()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Fake platform.")
    parser.add_argument("--listen", default="127.0.0.1:7100")
    parser.add_argument("--vms", type=pathlib.Path, help="JSON list of VMs")
    args = parser.parse_args()
    vms = []
    if args.vms:
        vms = msgspec.json.decode(args.vms.read_bytes())["vms"]
    try:
        asyncio.run(serve(args.listen, vms))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
