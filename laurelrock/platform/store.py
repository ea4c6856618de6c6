"""Client of the platform's store.

Implements `ports.directory.Directory`. Each call is sent once; a write whose
answer is lost may have been done.
"""

import asyncio
import typing
import urllib.parse

import msgspec

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import registry
from laurelrock.platform import objects
from laurelrock.ports import directory

__all__ = ["Store", "open_store"]

#: Kinds of objects; the last one is the project's own.
CONFIGURATION, SEARCHERS, VMS = "config", "servers", "laurelrock-vms"
#: Name of the object that holds the newest configuration.
NEWEST = "main"
#: Longest wait for an answer, besides the wait that a watch asks for.
TIMEOUT_S = 1.5
#: Connections: two watches, and two for calls beside them.
CONNECTIONS = 4
#: Pages of a list that are read at most.
MAX_PAGES = 200

_log = logs.get_logger(__name__)


class Page(typing.NamedTuple):
    """Objects of one kind at a revision."""

    rows: list[tuple[str, objects.Json]]
    revision: int


class Store:
    """State of the client.

    Attributes:
        client: Connections to the store.
        host: For the requests' host header.
        calls: Made so far.
        bad: Entries that could not be read, by name, with the reason.
    """

    def __init__(self, client: http_client.Client, host: str) -> None:
        self.client = client
        self.host = host
        self.calls = 0
        self.bad: dict[str, str] = {}

    async def request(
        self,
        method: str,
        path: str,
        document: objects.Json = None,
        wait_s: float = 0.0,
    ) -> tuple[int, objects.Json]:
        """Makes one call; returns the status and the decoded body."""
        self.calls += 1
        body = b"" if document is None else msgspec.json.encode(document)
        head = http_wire.encode_headers(
            [
                (b"host", self.host.encode()),
                (b"content-type", b"application/json"),
            ]
        )
        raw = http_wire.encode_request(
            method.encode(), path.encode(), head, body
        )
        call = self.client.call(lambda: raw, lambda headers: True)
        try:
            async with asyncio.timeout(wait_s + TIMEOUT_S):
                reply = await call.future
        except TimeoutError:
            raise errors.StoreError(f"{path}: no answer") from None
        except (errors.ConnectError, errors.CallBrokenError) as error:
            raise errors.StoreError(f"{path}: {error.message}") from None
        finally:
            call.withdraw()
        if reply.status == 410:
            raise errors.StoreHistoryError(f"{path}: history is gone")
        if reply.status not in (200, 201, 204, 404, 409):
            raise errors.StoreError(f"{path}: status {reply.status}")
        found = objects.decode_body(reply.body) if reply.body else None
        return reply.status, found

    async def list_all(self, kind: str, stale: bool = False) -> Page:
        """Returns all objects of a kind, at the revision of the first page."""
        rows: list[tuple[str, objects.Json]] = []
        revision, after = 0, ""
        for _ in range(MAX_PAGES):
            query = {"allow_stale": "1"} if stale else {}
            if after:
                query["after"] = after
            text = f"?{urllib.parse.urlencode(query)}" if query else ""
            _, page = await self.request("GET", f"/api/objects/{kind}{text}")
            fields = objects.Fields(page)
            revision = revision or fields.whole("at")
            found = [row for row in map(named, fields.rows("items")) if row]
            rows += found
            if not fields.row.get("has_more") or not found:
                break
            after = found[-1][0]
        return Page(rows, revision)

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[list[tuple[str, objects.Json | None]], int]:
        """Waits for changes; deleted objects come as None."""
        path = f"/api/objects/{kind}?watch={revision}"
        path += f"&wait_ms={int(wait_s * 1000)}"
        _, page = await self.request("GET", path, wait_s=wait_s)
        fields = objects.Fields(page)
        rows: list[tuple[str, objects.Json | None]] = []
        for event in fields.rows("events"):
            row = named(objects.Fields(event).row.get("object"))
            if row is not None:
                rows.append((row[0], None if event.get("deleted") else row[1]))
        return rows, fields.whole("at", revision)

    # ports.directory.Directory

    async def read_configuration(self) -> directory.Configured:
        """Implements `Directory`."""
        # A list tells the store's present revision. The object's own may be
        # older than the history that the store still has.
        page = await self.list_all(CONFIGURATION)
        spec = dict(page.rows).get(NEWEST)
        if spec is None:
            return directory.Configured(None, 0)
        configuration = objects.read_configuration(spec)
        return directory.Configured(configuration, page.revision)

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> directory.Configured:
        """Implements `Directory`."""
        rows, at = await self.watch(CONFIGURATION, revision, wait_s)
        newest = None
        for name, spec in rows:
            if name != NEWEST or spec is None:
                continue
            try:
                newest = objects.read_configuration(spec)
            except errors.FieldError as error:
                _log.warning("configuration-unusable", reason=error.message)
        return directory.Configured(newest, at)

    async def read_searchers(self) -> directory.Searchers:
        """Implements `Directory`."""
        page = await self.list_all(SEARCHERS)
        rows = [self.searcher(name, spec) for name, spec in page.rows]
        return directory.Searchers(rows, page.revision)

    async def watch_searchers(
        self, revision: int, wait_s: float
    ) -> directory.Searchers:
        """Implements `Directory`."""
        rows, at = await self.watch(SEARCHERS, revision, wait_s)
        changes = [self.searcher(name, spec) for name, spec in rows]
        return directory.Searchers(changes, at)

    def searcher(self, name: str, spec: objects.Json | None) -> registry.Change:
        """Returns an entry; one that can't be read names no searcher."""
        if spec is None:
            self.bad.pop(name, None)
            return registry.Change(name, None)
        try:
            searcher = objects.read_searcher(name, spec)
        except errors.FieldError as error:
            if self.bad.get(name) != error.message:
                self.bad[name] = error.message
                _log.warning(
                    "entry-unusable", searcher=name, reason=error.message
                )
            return registry.Change(name, None)
        self.bad.pop(name, None)
        return registry.Change(name, searcher)

    async def announce(self, row: directory.VmRow) -> None:
        """Implements `Directory`."""
        name = row["vm"]
        document = {"meta": {"name": name}, "spec": row}
        status, _ = await self.request("POST", f"/api/objects/{VMS}", document)
        if status == 409:
            await self.request("PUT", f"/api/objects/{VMS}/{name}", document)

    async def withdraw(self, vm: str, host: str) -> bool:
        """Implements `Directory`."""
        path = f"/api/objects/{VMS}/{urllib.parse.quote(vm, safe='')}"
        status, found = await self.request("GET", path)
        if status == 404:
            return False
        fields = objects.Fields(found)
        row = objects.Fields(fields.row.get("spec"))
        if row.text("address").rpartition(":")[0] != host:
            return False
        revision = objects.Fields(fields.row.get("meta")).whole("revision")
        status, _ = await self.request("DELETE", f"{path}?revision={revision}")
        return status not in (404, 409)

    async def read_vms(self) -> list[directory.VmRow]:
        """Implements `Directory`."""
        page = await self.list_all(VMS, stale=True)
        rows = []
        for name, spec in page.rows:
            try:
                fields = objects.Fields(spec)
                domain = fields.text("failure_domain")
                address = fields.text("address")
                cores = fields.number("cores")
            except errors.FieldError as error:
                _log.warning("entry-unusable", vm=name, reason=error.message)
                continue
            rows.append(
                directory.VmRow(
                    vm=name,
                    failure_domain=domain,
                    address=address,
                    cores=cores,
                )
            )
        return rows

    def close(self) -> None:
        """Implements `Directory`."""
        self.client.close()


def named(row: objects.Json) -> tuple[str, objects.Json] | None:
    """Returns an object's name and content; None where it has no name."""
    try:
        meta = objects.Fields(objects.Fields(row).row.get("meta"))
        return meta.text("name"), row.get("spec")
    except errors.FieldError as error:
        _log.warning("object-unusable", reason=error.message)
        return None


def open_store(address: tuple[str, int]) -> Store:
    """Returns a client; it connects when it is first used."""
    host, port = address
    return Store(
        http_client.open_client(address, CONNECTIONS, watched=True),
        f"{host}:{port}",
    )
