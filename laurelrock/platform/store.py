"""Client of the platform's store, which implements `ports.directory.Directory`.

Each request is sent at most once. A write whose response is lost may have been
applied.
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
from laurelrock.core import routes
from laurelrock.platform import objects
from laurelrock.ports import directory

__all__ = ["Store", "open_store"]

#: Kinds of objects in the store; only the last one is written by laurelrock.
CONFIGURATION_KIND, SEARCHERS_KIND, EVACUATIONS_KIND, VMS_KIND = (
    "config",
    "servers",
    "evacuations",
    "laurelrock-vms",
)
#: Name of the object that holds the current configuration.
CONFIGURATION_NAME = "main"
#: Time limit of a request in seconds, in addition to a watch's waiting time.
TIMEOUT_S = 1.5
#: Maximum number of connections: two for the watches and two for other calls.
MAX_CONNECTIONS = 4
#: Maximum number where evacuations are watched too.
MAX_EVACUATION_CONNECTIONS = MAX_CONNECTIONS + 1
#: Maximum number of pages that are read of one list.
MAX_PAGES = 200

#: Header with the number of times that the store came back from a copy.
ERA_HEADER = b"store-era"

_log = logs.get_logger(__name__)


class Response(typing.NamedTuple):
    """A response of the store.

    Attributes:
        status: HTTP status code.
        body: Decoded body; None if empty.
        era: Era of the store's data, which rises each time that the store
            comes back from a copy. Revisions of an earlier era mean nothing.
    """

    status: int
    body: objects.Json
    era: int


class Page(typing.NamedTuple):
    """Objects of one kind, as names and contents.

    Attributes:
        rows: Names and contents.
        revision: Revision of the store.
        era: See `Response`.
    """

    rows: list[tuple[str, objects.Json]]
    revision: int
    era: int


class Event(typing.NamedTuple):
    """A changed or deleted object, with its last content."""

    name: str
    spec: objects.Json
    deleted: bool


class Store:
    """Client of the platform's store.

    Attributes:
        client: HTTP client with the connections to the store.
        host: Value of the requests' host header.
        calls: Number of requests made so far.
        era: Newest era that a response had; None before the first response.
        eras_read: Era in which each kind was last read as a whole, by kind.
        watches: Watches that wait for their response.
        unreadable: Reasons why entries could not be decoded, by entry name.
    """

    def __init__(self, client: http_client.Client, host: str) -> None:
        self.client = client
        self.host = host
        self.calls = 0
        self.era: int | None = None
        self.eras_read: dict[str, int] = {}
        self.watches: set[http_client.Call] = set()
        self.unreadable: dict[str, str] = {}

    async def request(
        self,
        method: str,
        path: str,
        document: objects.Json = None,
        wait_s: float = 0.0,
    ) -> Response:
        """Sends one request.

        Args:
            method: HTTP method.
            path: Path and query.
            document: Content of the JSON body; None for no body.
            wait_s: Time in seconds for which the store may hold the request.

        Raises:
            StoreError: There was no usable response, or one of an earlier era.
            StoreHistoryError: The store no longer has the changes that a watch
                asked for.
            StoreEraError: The store came back from a copy while a watch waited.
        """
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
        call = self.client.call(lambda: raw, lambda status, headers: True)
        if wait_s:
            self.watches.add(call)
        try:
            async with asyncio.timeout(wait_s + TIMEOUT_S):
                reply = await call.future
        except TimeoutError:
            raise errors.StoreError(f"{path}: timeout") from None
        except (errors.ConnectError, errors.CallBrokenError) as error:
            raise errors.StoreError(f"{path}: {error.message}") from None
        finally:
            self.watches.discard(call)
            call.abort()
        era = self.read_era(path, reply)
        if reply.status == 410:
            raise errors.StoreHistoryError(
                f"{path}: the store no longer has this revision's changes"
            )
        if reply.status not in (200, 201, 204, 404, 409):
            raise errors.StoreError(f"{path}: status {reply.status}")
        found = objects.decode_body(reply.body) if reply.body else None
        return Response(reply.status, found, era)

    def read_era(self, path: str, reply: http_client.Reply) -> int:
        """Returns the era of a response; raises `StoreError` if it is old.

        Data of an earlier era may still arrive after the store came back from
        a copy. A newer era ends the watches, which began in an earlier one.
        """
        text = http_wire.header_value(reply.headers, ERA_HEADER) or b""
        era = int(text) if text.strip().isdigit() else self.era or 0
        known = era if self.era is None else self.era
        if era < known:
            raise errors.StoreError(f"{path}: era {era}, but {known} is known")
        self.era = era
        if era > known:
            _log.warning("platform-restored", era=era, before=known)
            for call in self.watches:
                if not call.future.done():
                    call.future.set_exception(
                        errors.StoreEraError(f"{path}: era {known} ended")
                    )
        return era

    async def list_all(self, kind: str, stale: bool = False) -> Page:
        """Returns all objects of a kind, with the first page's revision.

        Args:
            kind: Kind of the objects.
            stale: Whether the store may return an outdated list.

        Raises:
            StoreError: There was no usable response.
            StoreEraError: The store came back from a copy between two pages.
        """
        rows: list[tuple[str, objects.Json]] = []
        revision, after, era = 0, "", None
        for _ in range(MAX_PAGES):
            query = {"allow_stale": "1"} if stale else {}
            if after:
                query["after"] = after
            text = f"?{urllib.parse.urlencode(query)}" if query else ""
            response = await self.request("GET", f"/api/objects/{kind}{text}")
            if era not in (None, response.era):
                raise errors.StoreEraError(f"{kind}: era {era} ended")
            era = response.era
            items, at = read_rows(response.body, "items")
            revision = revision or at
            found = [row for row in map(name_and_spec, items) if row]
            rows += found
            if not response.body.get("has_more") or not found:
                break
            after = found[-1][0]
        if not stale and era is not None:
            self.eras_read[kind] = era
        return Page(rows, revision, era or 0)

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[list[Event], int]:
        """Waits for changes of a kind's objects since a revision.

        Returns:
            The changed objects and the revision to continue from.

        Raises:
            StoreError: There was no usable response.
            StoreHistoryError: The store no longer has these changes.
            StoreEraError: The revision is of an earlier era.
        """
        era = self.eras_read.get(kind, self.era)
        if era != self.era:
            raise errors.StoreEraError(f"{kind}: not read in era {self.era}")
        path = f"/api/objects/{kind}?watch={revision}"
        path += f"&wait_ms={int(wait_s * 1000)}"
        response = await self.request("GET", path, wait_s=wait_s)
        if era is not None and response.era != era:
            # The number may exist again, and stand for other changes.
            raise errors.StoreEraError(f"{path}: era {response.era} began")
        events, at = read_rows(response.body, "events", revision)
        rows: list[Event] = []
        for event in events:
            changed = event.get("object") if isinstance(event, dict) else event
            row = name_and_spec(changed)
            if row is not None:
                rows.append(Event(*row, bool(event.get("deleted"))))
        return rows, at

    # ports.directory.Directory

    async def read_configuration(self) -> directory.VersionedConfiguration:
        """Implements `Directory`."""
        # A list returns the store's current revision. The object's own
        # revision may be older than the history that the store keeps, and a
        # watch from there would fail.
        page = await self.list_all(CONFIGURATION_KIND)
        spec = dict(page.rows).get(CONFIGURATION_NAME)
        if spec is None:
            return directory.VersionedConfiguration(None, 0, page.era)
        configuration = self.configuration(spec)
        return directory.VersionedConfiguration(
            configuration, page.revision, page.era
        )

    async def watch_configuration(
        self, revision: int, wait_s: float
    ) -> directory.VersionedConfiguration:
        """Implements `Directory`."""
        rows, at = await self.watch(CONFIGURATION_KIND, revision, wait_s)
        newest = None
        for event in rows:
            if event.name == CONFIGURATION_NAME and not event.deleted:
                newest = self.configuration(event.spec) or newest
        return directory.VersionedConfiguration(newest, at)

    def configuration(self, spec: objects.Json) -> routes.Configuration | None:
        """Decodes a configuration; logs an invalid one and returns None."""
        try:
            return objects.read_configuration(spec)
        except errors.FieldError as error:
            _log.warning("configuration-invalid", reason=error.message)
            return None

    async def read_searchers(self) -> directory.SearcherEntries:
        """Implements `Directory`."""
        page = await self.list_all(SEARCHERS_KIND)
        rows = [self.searcher(name, spec) for name, spec in page.rows]
        return directory.SearcherEntries(rows, page.revision, page.era)

    async def watch_searchers(
        self, revision: int, wait_s: float
    ) -> directory.SearcherEntries:
        """Implements `Directory`."""
        rows, at = await self.watch(SEARCHERS_KIND, revision, wait_s)
        changes = [
            self.deleted_searcher(row.name, row.spec)
            if row.deleted
            else self.searcher(row.name, row.spec)
            for row in rows
        ]
        return directory.SearcherEntries(changes, at)

    def deleted_searcher(
        self, name: str, spec: objects.Json
    ) -> registry.Change:
        """Returns the change that a searcher's deleted entry stands for."""
        self.unreadable.pop(name, None)
        try:
            last_seq = objects.Fields(spec).integer("seq", 0)
        except errors.FieldError:
            last_seq = 0
        return registry.Change(name, None, last_seq)

    def searcher(self, name: str, spec: objects.Json) -> registry.Change:
        """Decodes a searcher's entry.

        An entry that can't be decoded counts as deleted. It is logged when its
        reason is new.
        """
        if spec is None:
            return self.deleted_searcher(name, spec)
        try:
            searcher = objects.read_searcher(name, spec)
        except errors.FieldError as error:
            if self.unreadable.get(name) != error.message:
                self.unreadable[name] = error.message
                _log.warning(
                    "entry-invalid", searcher=name, reason=error.message
                )
            return registry.Change(name, None)
        self.unreadable.pop(name, None)
        return registry.Change(name, searcher)

    async def read_evacuations(self) -> directory.EvacuationEntries:
        """Implements `Directory`."""
        self.client.limit = MAX_EVACUATION_CONNECTIONS
        page = await self.list_all(EVACUATIONS_KIND)
        rows = [(name, True) for name, _ in page.rows]
        return directory.EvacuationEntries(rows, page.revision, page.era)

    async def watch_evacuations(
        self, revision: int, wait_s: float
    ) -> directory.EvacuationEntries:
        """Implements `Directory`."""
        rows, at = await self.watch(EVACUATIONS_KIND, revision, wait_s)
        changes = [(row.name, not row.deleted) for row in rows]
        return directory.EvacuationEntries(changes, at)

    async def register_vm(self, row: directory.VmEntry) -> None:
        """Implements `Directory`."""
        name = row["vm"]
        document = {"meta": {"name": name}, "spec": row}
        response = await self.request(
            "POST", f"/api/objects/{VMS_KIND}", document
        )
        if response.status == 409:
            await self.request(
                "PUT", f"/api/objects/{VMS_KIND}/{name}", document
            )

    async def remove_vm(self, vm: str, host: str) -> bool:
        """Implements `Directory`."""
        path = f"/api/objects/{VMS_KIND}/{urllib.parse.quote(vm, safe='')}"
        found = await self.request("GET", path)
        if found.status == 404:
            return False
        fields = objects.Fields(found.body)
        row = objects.Fields(fields.row.get("spec"))
        if row.text("address").rpartition(":")[0] != host:
            return False
        revision = objects.Fields(fields.row.get("meta")).integer("revision")
        if found.era != self.era:
            # The revision may now be that of another write.
            return False
        response = await self.request("DELETE", f"{path}?revision={revision}")
        return response.status not in (404, 409)

    async def read_vms(self) -> list[directory.VmEntry]:
        """Implements `Directory`."""
        page = await self.list_all(VMS_KIND, stale=True)
        rows = []
        for name, spec in page.rows:
            try:
                fields = objects.Fields(spec)
                domain = fields.text("failure_domain")
                address = fields.text("address")
                objects.read_address(address)
                cores = fields.number("cores")
            except errors.FieldError as error:
                _log.warning("entry-invalid", vm=name, reason=error.message)
                continue
            rows.append(
                directory.VmEntry(
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


def read_rows(
    body: objects.Json, name: str, at: int | None = None
) -> tuple[list[objects.Json], int]:
    """Returns the rows of a response and the store's revision.

    Args:
        body: The body of the response.
        name: The field that holds the rows.
        at: The revision if the response names none; it has to if None.

    Raises:
        StoreError: The response isn't such a list.
    """
    try:
        fields = objects.Fields(body)
        return fields.rows(name), fields.integer("at", at)
    except errors.FieldError as error:
        raise errors.StoreError(f"{name}: {error.message}") from None


def name_and_spec(row: objects.Json) -> tuple[str, objects.Json] | None:
    """Returns an object's name and content, or None if it has no name."""
    try:
        meta = objects.Fields(objects.Fields(row).row.get("meta"))
        return meta.text("name"), row.get("spec")
    except errors.FieldError as error:
        _log.warning("object-invalid", reason=error.message)
        return None


def open_store(address: tuple[str, int]) -> Store:
    """Returns a client of the store, which connects on its first request."""
    host, port = address
    return Store(
        http_client.open_client(address, MAX_CONNECTIONS, tcp_keepalive=True),
        f"{host}:{port}",
    )
