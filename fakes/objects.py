"""Fake of the users' object store, which holds objects by kind and name.

Implements the part of its HTTP API that the gateway uses: paged lists,
watches by revision and conditional writes. `Faults` injects faults.
"""

import asyncio
import contextlib
import copy
import typing

from aiohttp import web

__all__ = ["Faults", "ObjectStore", "start"]

#: Largest number of objects in one page of a list.
PAGE_SIZE = 50


class Faults(typing.NamedTuple):
    """Faults that the store injects.

    Attributes:
        status: Status of every response, unless it is 0.
        hang: Whether calls get no response.
        replacement_body: Bytes that replace the body of every response, if any.
        delay_s: Additional delay of each call, in seconds.
    """

    status: int = 0
    hang: bool = False
    replacement_body: bytes = b""
    delay_s: float = 0.0


class Copy(typing.NamedTuple):
    """Copy of the store's objects.

    Attributes:
        revision: Number of the latest change in it.
        objects_by_kind: Objects by kind and name.
    """

    revision: int
    objects_by_kind: dict[str, dict[str, dict[str, typing.Any]]]


class ObjectStore:
    """State of the store.

    Attributes:
        revision: Number of the latest change.
        objects_by_kind: Objects by kind and name.
        changes: Changes as (revision, kind, event), oldest first.
        dropped_through_revision: Latest revision whose change has been dropped
            from the history.
        faults: Faults that are currently injected.
        replaced_texts: Bytes that replace others in all responses, which may
            hold JSON that this process can't write.
        calls: Method and kind of every request, in order.
        refused_host: Host header whose requests get status 503.
        era: Number of the era, which rises when a copy is restored.
        stale_copy: Copy that is returned, with its own era, to calls that allow
            stale data; None for the present data.
        watch_epoch: Number of calls of `abandon_watches`.
        changed: Event that is set, and replaced, at every change.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects_by_kind: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.changes: list[tuple[int, str, dict[str, typing.Any]]] = []
        self.dropped_through_revision = 0
        self.faults = Faults()
        self.replaced_texts: dict[bytes, bytes] = {}
        self.calls: list[tuple[str, str]] = []
        self.refused_host = ""
        self.era = 1
        self.stale_copy: tuple[Copy, int] | None = None
        self.watch_epoch = 0
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Creates or replaces an object, regardless of its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        row = {"meta": meta, "spec": spec, "status": None}
        self.objects_by_kind.setdefault(kind, {})[name] = row
        self.append_change(kind, {"deleted": False, "object": row})

    def delete(self, kind: str, name: str) -> bool:
        """Deletes an object; returns whether it existed."""
        row = self.objects_by_kind.get(kind, {}).pop(name, None)
        if row is None:
            return False
        self.revision += 1
        self.append_change(kind, {"deleted": True, "object": row})
        return True

    def append_change(self, kind: str, event: dict[str, typing.Any]) -> None:
        self.changes.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drops the history, as the real store may at any time."""
        self.changes.clear()
        self.dropped_through_revision = self.revision

    def copy(self) -> Copy:
        """Returns a copy of the present objects."""
        return Copy(self.revision, copy.deepcopy(self.objects_by_kind))

    def restore(self, saved: Copy) -> None:
        """Comes back from a copy: later changes and revisions are lost."""
        self.era += 1
        self.revision, kinds = saved
        self.objects_by_kind = copy.deepcopy(kinds)
        self.changes = [row for row in self.changes if row[0] <= self.revision]
        self.watch_epoch += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def abandon_watches(self) -> None:
        """Leaves pending watches unanswered; their connections stay open."""
        self.watch_epoch += 1

    def events(self, kind: str, after: int) -> list[dict[str, typing.Any]]:
        """Returns the change events of a kind after a revision."""
        return [
            event
            for revision, changed_kind, event in self.changes
            if changed_kind == kind and revision > after
        ]

    async def watch(self, kind: str, after: int, wait_s: float) -> web.Response:
        """Responds as soon as there is a change, or after `wait_s`."""
        if not self.dropped_through_revision <= after <= self.revision:
            return web.json_response({}, status=410)
        epoch = self.watch_epoch
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.events(kind, after):
                    await self.changed.wait()
        if epoch != self.watch_epoch:
            await asyncio.sleep(3600)
        document = {"events": self.events(kind, after), "at": self.revision}
        return web.json_response(document)

    def list_page(self, kind: str, after: str) -> web.Response:
        """Returns one page of a list: the names that follow `after`."""
        names = sorted(
            n for n in self.objects_by_kind.get(kind, {}) if n > after
        )
        items = [self.objects_by_kind[kind][name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return web.json_response(
            {"items": items, "has_more": more, "at": self.revision}
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one call, with the faults applied."""
        kind = request.match_info["kind"]
        self.calls.append((request.method, kind))
        faults = self.faults
        await asyncio.sleep(3600 if faults.hang else faults.delay_s)
        if request.host == self.refused_host:
            return web.json_response({}, status=503)
        if faults.status:
            return web.json_response({}, status=faults.status)
        era = self.era
        response = await self.serve(request)
        if faults.replacement_body:
            response = web.Response(body=faults.replacement_body)
        if self.stale_copy and "allow_stale" in request.query:
            saved, era = self.stale_copy
            items = list(saved.objects_by_kind.get(kind, {}).values())
            response = web.json_response(
                {"items": items, "has_more": False, "at": saved.revision}
            )
        body = response.body
        if self.replaced_texts and isinstance(body, bytes):
            for text, replacement in self.replaced_texts.items():
                body = body.replace(text, replacement)
            response.body = body
        response.headers["Store-Era"] = str(era)
        return response

    async def serve(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        name = request.match_info.get("name", "")
        found = self.objects_by_kind.get(kind, {}).get(name)
        if request.method == "GET" and name:
            return web.json_response(found, status=200 if found else 404)
        if request.method == "GET":
            query = request.query
            if "watch" in query:
                wait_s = int(query.get("wait_ms", "0")) / 1000
                return await self.watch(kind, int(query["watch"]), wait_s)
            return self.list_page(kind, query.get("after", ""))
        if request.method == "DELETE":
            required_revision = request.query.get("revision")
            if found and required_revision not in (
                None,
                str(found["meta"]["revision"]),
            ):
                return web.json_response(found, status=409)
            deleted = self.delete(kind, name)
            return web.json_response({}, status=200 if deleted else 404)
        document = await request.json()
        name = name or document["meta"]["name"]
        if request.method == "POST" and name in self.objects_by_kind.get(
            kind, {}
        ):
            return web.json_response(
                self.objects_by_kind[kind][name], status=409
            )
        self.put(kind, name, document["spec"])
        return web.json_response(self.objects_by_kind[kind][name])


async def start(store: ObjectStore, host: str, port: int) -> web.AppRunner:
    """Serves a store; the `cleanup` of the returned runner stops it."""
    app = web.Application()
    for path in ("/api/objects/{kind}", "/api/objects/{kind}/{name}"):
        app.router.add_route("*", path, store.handle)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
