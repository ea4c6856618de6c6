"""Stand-in for the store of the users' platform: objects by kind and name.

Speaks the part of their protocol that the gateway uses: lists in pages,
watches by revision, conditional writes. `Faults` makes it misbehave.
"""

import asyncio
import contextlib
import typing

from aiohttp import web

__all__ = ["Faults", "Objects", "start"]

#: Objects in one page of a list.
PAGE = 50


class Faults(typing.NamedTuple):
    """How the store misbehaves.

    Attributes:
        status: Answers each call with this status, where not 0.
        hang: Calls get no answer.
        spoil: Bytes that replace each answer's body.
        late_s: Added to each call.
    """

    status: int = 0
    hang: bool = False
    spoil: bytes = b""
    late_s: float = 0.0


class Objects:
    """State of the store.

    Attributes:
        revision: Counts the changes.
        rows: Objects by kind and name.
        history: Changes as (revision, kind, event).
        oldest: Revision before which the history is gone.
        faults: How it misbehaves now.
        calls: Requests by method and kind.
        refused_host: Host header of clients that get 503.
        epoch: Counts how often the waiting watches were forgotten.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any]]] = []
        self.oldest = 0
        self.faults = Faults()
        self.calls: list[tuple[str, str]] = []
        self.refused_host = ""
        self.epoch = 0
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Creates or replaces an object, as another writer would."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        row = {"meta": meta, "spec": spec, "status": None}
        self.rows.setdefault(kind, {})[name] = row
        self.note(kind, {"deleted": False, "object": row})

    def delete(self, kind: str, name: str) -> bool:
        """Removes an object; False where there is none."""
        row = self.rows.get(kind, {}).pop(name, None)
        if row is None:
            return False
        self.revision += 1
        self.note(kind, {"deleted": True, "object": row})
        return True

    def note(self, kind: str, event: dict[str, typing.Any]) -> None:
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self) -> None:
        """Drops the history, as the platform may at any time."""
        self.history.clear()
        self.oldest = self.revision

    def forget_watchers(self) -> None:
        """Never answers the watches that wait now; their connections live."""
        self.epoch += 1

    def events(self, kind: str, after: int) -> list[dict[str, typing.Any]]:
        """Returns the changes of a kind after a revision."""
        return [
            event
            for revision, of, event in self.history
            if of == kind and revision > after
        ]

    async def watch(self, kind: str, after: int, wait_s: float) -> web.Response:
        """Answers as soon as there is a change."""
        if after < self.oldest:
            return web.json_response({}, status=410)
        epoch = self.epoch
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.events(kind, after):
                    await self.changed.wait()
        if epoch != self.epoch:
            await asyncio.sleep(3600)
        document = {"events": self.events(kind, after), "at": self.revision}
        return web.json_response(document)

    def page(self, kind: str, after: str) -> web.Response:
        """Answers with one page of a list."""
        names = sorted(n for n in self.rows.get(kind, {}) if n > after)
        items = [self.rows[kind][name] for name in names[:PAGE]]
        more = len(names) > PAGE
        return web.json_response(
            {"items": items, "has_more": more, "at": self.revision}
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers one call."""
        self.calls.append((request.method, request.match_info["kind"]))
        faults = self.faults
        await asyncio.sleep(3600 if faults.hang else faults.late_s)
        if request.host == self.refused_host:
            return web.json_response({}, status=503)
        if faults.status:
            return web.json_response({}, status=faults.status)
        response = await self.serve(request)
        if faults.spoil:
            return web.Response(body=faults.spoil)
        return response

    async def serve(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        name = request.match_info.get("name", "")
        found = self.rows.get(kind, {}).get(name)
        if request.method == "GET" and name:
            return web.json_response(found, status=200 if found else 404)
        if request.method == "GET":
            query = request.query
            if "watch" in query:
                wait_s = int(query.get("wait_ms", "0")) / 1000
                return await self.watch(kind, int(query["watch"]), wait_s)
            return self.page(kind, query.get("after", ""))
        if request.method == "DELETE":
            wanted = request.query.get("revision")
            if found and wanted not in (None, str(found["meta"]["revision"])):
                return web.json_response(found, status=409)
            gone = self.delete(kind, name)
            return web.json_response({}, status=200 if gone else 404)
        document = await request.json()
        name = name or document["meta"]["name"]
        if request.method == "POST" and name in self.rows.get(kind, {}):
            return web.json_response(self.rows[kind][name], status=409)
        self.put(kind, name, document["spec"])
        return web.json_response(self.rows[kind][name])


async def start(store: Objects, host: str, port: int) -> web.AppRunner:
    """Serves a store; the runner's `cleanup` ends it."""
    app = web.Application()
    for path in ("/api/objects/{kind}", "/api/objects/{kind}/{name}"):
        app.router.add_route("*", path, store.handle)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner
