"""Peers: what other VMs know, for a VM that the platform refuses.

The platform may turn away some VMs while it serves others. Such a VM asks two
others for a newer configuration and for the searchers, and takes them where
the other one's knowledge is fresher. Nothing older than what is in force is
ever taken.
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
from laurelrock.core import registry
from laurelrock.core import routes
from laurelrock.gateways import following

__all__ = ["PeerExchange", "Snapshot", "create_peer_exchange"]

#: Interval at which a refused VM asks, in seconds.
QUERY_INTERVAL_S = 0.5
#: Age of what this VM knows from which others are asked, in seconds: a lost
#: connection alone is mended earlier, and a source beats more often.
STALE_AFTER_S = 1.2
#: VMs that are asked at a time.
FANOUT = 2
#: Longest wait for an answer, in seconds.
TIMEOUT_S = 0.5
#: Difference from which another VM's list of searchers is fresher, seconds.
MIN_FRESHER_BY_S = 0.3
#: Path of the question; the version in force follows.
PATH = "/state?version="

_log = logs.get_logger(__name__)


class Snapshot(typing.NamedTuple):
    """What one VM knows.

    Attributes:
        configuration: In force, where it is newer than the asker's.
        searchers: All that are listed.
        age_s: Since the platform last answered this VM.
        vms: That are listed, 0 where that is not known.
    """

    configuration: routes.Configuration | None
    searchers: list[registry.Searcher]
    age_s: float
    vms: int = 0


class PeerExchange:
    """State of the exchange.

    Attributes:
        known: What this VM follows.
        me: Address of this VM, which is not asked.
        seeds: Addresses from the settings.
        vms_known: Called with the number of VMs, where it was not known.
        addresses: Of the listed VMs.
        asked: Questions sent.
        taken: Answers that were fresher.
    """

    def __init__(
        self,
        known: following.PlatformFollower,
        me: tuple[str, int],
        seeds: list[tuple[str, int]],
        on_vm_count: collections.abc.Callable[[int], None],
    ) -> None:
        self.known = known
        self.me = me
        self.seeds = seeds
        self.on_vm_count = on_vm_count
        self.addresses: list[tuple[str, int]] = []
        self.asked = 0
        self.snapshots_applied = 0
        self.loop = asyncio.get_running_loop()

    def targets(self) -> list[tuple[str, int]]:
        """Returns the VMs that are asked next."""
        rows = {*self.addresses, *self.seeds} - {self.me}
        return random.sample(sorted(rows), min(FANOUT, len(rows)))

    def snapshot(self, version: int) -> Snapshot:
        """Returns what this VM knows, for one that has a version in force."""
        table = self.known.table
        newer = table is not None and table.configuration.version > version
        return Snapshot(
            table.configuration if table is not None and newer else None,
            list(self.known.registry.searchers.values()),
            self.known.age_s(),
            self.known.known.vms,
        )

    async def answer(self, request: http_server.Request) -> http_server.Answer:
        """Answers another VM."""
        target = request.target.decode("latin-1")
        version = target.removeprefix(PATH)
        if not target.startswith(PATH) or not version.isdecimal():
            return http_server.Answer(404, [])
        if not self.known.searchers_read:
            return http_server.Answer(503, [])
        body = msgspec.json.encode(self.snapshot(int(version)))
        kind = (b"content-type", b"application/json")
        return http_server.Answer(200, [kind], body)

    async def run(self) -> None:
        """Asks others while the platform is out of reach."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            if self.known.age_s() < STALE_AFTER_S:
                continue
            found = await asyncio.gather(
                *[self.ask(address) for address in self.targets()]
            )
            for snapshot in found:
                if snapshot is not None:
                    self.apply_snapshot(snapshot)

    async def ask(self, address: tuple[str, int]) -> Snapshot | None:
        """Asks one VM; None where it gives no answer."""
        self.asked += 1
        table = self.known.table
        version = table.configuration.version if table else 0
        host = f"{address[0]}:{address[1]}".encode()
        raw = http_wire.encode_request(
            b"GET",
            f"{PATH}{version}".encode(),
            http_wire.encode_headers([(b"host", host)]),
            b"",
        )
        client = http_client.open_client(address, 1)
        call = client.call(lambda: raw, lambda headers: True)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reply = await call.future
            if reply.status != 200:
                return None
            return msgspec.json.decode(reply.body, type=Snapshot)
        except (TimeoutError, errors.LaurelrockError) as error:
            _log.info("peer-silent", peer=address, reason=repr(error))
            return None
        except msgspec.DecodeError as error:
            _log.warning("peer-unreadable", peer=address, reason=str(error))
            return None
        finally:
            call.withdraw()
            client.close()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Takes what is fresher than this VM's own knowledge."""
        self.known.apply_configuration(snapshot.configuration)
        if not self.known.known.vms and snapshot.vms:
            self.on_vm_count(snapshot.vms)
        own_age_ms = self.known.age_ms()
        if snapshot.age_s + MIN_FRESHER_BY_S >= self.known.age_s():
            return
        self.snapshots_applied += 1
        _log.info(
            "searchers-from-peer",
            searchers=len(snapshot.searchers),
            age_ms=round(snapshot.age_s * 1000),
            own_age_ms=own_age_ms,
        )
        rows = [registry.Change(row.id, row) for row in snapshot.searchers]
        self.known.accept_searchers(rows, True, snapshot.age_s)


def create_peer_exchange(
    known: following.PlatformFollower,
    me: tuple[str, int],
    seeds: list[tuple[str, int]],
    vms_known: collections.abc.Callable[[int], None],
) -> PeerExchange:
    """Returns the state before any question."""
    return PeerExchange(known, me, seeds, vms_known)
