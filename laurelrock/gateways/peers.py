"""Queries other VMs for their state while the platform refuses this one.

The platform may refuse some VMs while it serves others. A refused VM asks two
others for a newer configuration and for the searchers, and applies what is
fresher than its own data. Nothing older than what is in force is ever applied.

The platform may also come back from a copy that lacks the newest configuration.
A VM that starts, or that notices it, asks two others for a newer one.
"""

import asyncio
import collections.abc
import random
import typing

import msgspec

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_server
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.adapters import message_versions
from laurelrock.core import evacuations
from laurelrock.core import registry
from laurelrock.core import routes
from laurelrock.gateways import peer_messages
from laurelrock.gateways import platform_follower

__all__ = [
    "VERSION_HEADER",
    "PeerExchange",
    "Snapshot",
    "create_peer_exchange",
    "encode_snapshot",
]

#: Interval in seconds at which a refused VM queries others.
QUERY_INTERVAL_S = 0.5
#: Age in seconds of this VM's data from which others are queried. A mere loss
#: of a connection is repaired sooner, and a source sends heartbeats more often.
STALE_AFTER_S = 1.2
#: Number of VMs that are queried at a time.
FANOUT = 2
#: Longest wait for an answer, in seconds.
TIMEOUT_S = 0.5
#: Difference in age, in seconds, from which another VM's list of searchers
#: counts as fresher.
MIN_FRESHER_BY_S = 0.3
#: Paths of the queries for the whole state and for the configuration alone; the
#: version in force follows them.
STATE_PATH = "/state?version="
CONFIGURATION_PATH = "/configuration?version="
#: Header of queries and answers that tells the version of their sender.
#: The previous version sends none, and rejects longer snapshots than its own.
VERSION_HEADER = (
    b"x-message-version",
    b"%d" % peer_messages.VERSIONS.number,
)
#: Age in seconds that stands for no data on searchers.
NO_SEARCHERS_AGE_S = 1e9

_log = logs.get_logger(__name__)


class Snapshot(typing.NamedTuple):
    """The state of one VM.

    Attributes:
        configuration: The configuration in force, if it is newer than the
            requester's.
        searchers: All listed searchers.
        age_s: The age in seconds of that VM's data on searchers.
        vms: The number of listed VMs, 0 if unknown.
        evacuated: The evacuations in force, if they are known.
    """

    configuration: routes.Configuration | None
    searchers: list[registry.Searcher]
    age_s: float
    vms: int = 0
    evacuated: evacuations.State | None = None


SHORTEN = message_versions.create_shorten(
    Snapshot, {**peer_messages.FIELD_COUNTS, Snapshot: 4}
)


class PeerExchange:
    """State of the queries to other VMs.

    Attributes:
        known: The state that this VM follows on the platform.
        me: The address of this VM, which is not queried.
        seeds: The addresses from the settings.
        on_vm_count: Called with the number of VMs, if it was unknown.
        addresses: The addresses of the listed VMs.
        queries_sent: The number of queries sent.
        snapshots_applied: The number of answers that were fresher.
    """

    def __init__(
        self,
        known: platform_follower.PlatformFollower,
        me: tuple[str, int],
        seeds: list[tuple[str, int]],
        on_vm_count: collections.abc.Callable[[int], None],
    ) -> None:
        self.known = known
        self.me = me
        self.seeds = seeds
        self.on_vm_count = on_vm_count
        self.addresses: list[tuple[str, int]] = []
        self.queries_sent = 0
        self.snapshots_applied = 0
        self.loop = asyncio.get_running_loop()

    def targets(self) -> list[tuple[str, int]]:
        """Returns the addresses of the VMs to query next."""
        rows = {*self.addresses, *self.seeds} - {self.me}
        return random.sample(sorted(rows), min(FANOUT, len(rows)))

    def snapshot(self, version: int) -> Snapshot:
        """Returns this VM's state.

        The configuration is included if it is newer than `version`.
        """
        table = self.known.table
        newer = table is not None and table.configuration.version > version
        return Snapshot(
            table.configuration if table is not None and newer else None,
            list(self.known.registry.searchers.values()),
            self.known.age_s(),
            self.known.known.vms,
            self.known.evacuations.state,
        )

    async def answer(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the query of another VM."""
        target = request.target.decode("latin-1")
        path, mark, version = target.partition("=")
        path += mark
        if path not in (STATE_PATH, CONFIGURATION_PATH) or (
            not version.isdecimal()
        ):
            return http_server.Response(404, [])
        if not self.known.searchers_read:
            return http_server.Response(503, [])
        snapshot = self.snapshot(int(version))
        if path == CONFIGURATION_PATH:
            snapshot = snapshot._replace(searchers=[], age_s=NO_SEARCHERS_AGE_S)
        kind = (b"content-type", b"application/json")
        body = encode_snapshot(snapshot, request.headers)
        return http_server.Response(200, [kind, VERSION_HEADER], body)

    async def run(self) -> None:
        """Queries others while this VM's data is stale; runs forever."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            path = STATE_PATH
            if self.known.age_s() < STALE_AFTER_S:
                if (
                    self.loop.time() > self.known.ask_peers_until_s
                    and not self.known.evacuations.is_stale()
                ):
                    continue
                path = CONFIGURATION_PATH
            found = await asyncio.gather(
                *[self.ask(address, path) for address in self.targets()]
            )
            for snapshot in found:
                if snapshot is not None:
                    self.apply_snapshot(snapshot)

    async def ask(
        self, address: tuple[str, int], path: str = STATE_PATH
    ) -> Snapshot | None:
        """Queries one VM; returns None if it doesn't answer."""
        self.queries_sent += 1
        table = self.known.table
        version = table.configuration.version if table else 0
        host = f"{address[0]}:{address[1]}".encode()
        raw = http_wire.encode_request(
            b"GET",
            f"{path}{version}".encode(),
            http_wire.encode_headers([(b"host", host), VERSION_HEADER]),
            b"",
        )
        client = http_client.open_client(address, 1)
        call = client.call(lambda: raw, lambda status, headers: True)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reply = await call.future
            if reply.status != 200:
                return None
            snapshot = msgspec.json.decode(reply.body, type=Snapshot)
            if http_wire.header_value(reply.headers, VERSION_HEADER[0]) is None:
                # The previous version drops what it doesn't know of a
                # configuration, such as workspaces and regions.
                snapshot = snapshot._replace(configuration=None)
            return snapshot
        except (TimeoutError, errors.LaurelrockError) as error:
            _log.info("peer-silent", peer=address, reason=repr(error))
            return None
        except msgspec.DecodeError as error:
            _log.warning(
                "peer-response-invalid", peer=address, reason=str(error)
            )
            return None
        finally:
            call.abort()
            client.close()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Applies what is fresher than this VM's own data."""
        self.known.apply_configuration(snapshot.configuration)
        self.known.evacuations.offer(snapshot.evacuated)
        if not self.known.known.vms and snapshot.vms:
            self.on_vm_count(snapshot.vms)
        own_age_ms = self.known.age_ms()
        if snapshot.age_s + MIN_FRESHER_BY_S >= self.known.age_s():
            return
        self.snapshots_applied += 1
        _log.info(
            "searchers-applied-from-peer",
            searchers=len(snapshot.searchers),
            age_ms=round(snapshot.age_s * 1000),
            own_age_ms=own_age_ms,
        )
        rows = [registry.Change(row.id, row) for row in snapshot.searchers]
        self.known.accept_searchers(rows, True, snapshot.age_s)


def encode_snapshot(
    snapshot: Snapshot, headers: list[tuple[bytes, bytes]]
) -> bytes:
    """Returns the answer to a query, given the headers of the query."""
    current = http_wire.header_value(headers, VERSION_HEADER[0]) is not None
    if current or SHORTEN is None:
        return msgspec.json.encode(snapshot)
    return msgspec.json.encode(SHORTEN(snapshot))


def create_peer_exchange(
    known: platform_follower.PlatformFollower,
    me: tuple[str, int],
    seeds: list[tuple[str, int]],
    on_vm_count: collections.abc.Callable[[int], None],
) -> PeerExchange:
    """Returns the state before the first query."""
    return PeerExchange(known, me, seeds, on_vm_count)
