"""Divides the limits that searchers name among the VMs that call them.

Each VM reports once a second how many requests it needs of the services with a
limited searcher. The keeper of a service, which all VMs choose by rendezvous
hashing, replies with the VM's share (`core.request_limit`). A VM whose keeper
is silent uses an equal share, and asks the next one. A VM that has just
started learns from the keepers which searchers have a limit.
"""

import asyncio
import collections
import collections.abc
import typing

import xxhash

from laurelrock.adapters import frames
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import request_limit
from laurelrock.gateways import assignment
from laurelrock.gateways import upstreams

__all__ = [
    "KINDS",
    "LimitReport",
    "LimitShares",
    "LimitSharing",
    "create_limit_sharing",
]

#: Interval of reports in seconds, and the time for which a report or a share
#: counts.
REPORT_INTERVAL_S = 1.0
REPORT_VALID_S = 2.5
#: Time in seconds after the start for which a VM asks for all limits.
ASK_ALL_S = 3.0
#: Number of parts into which the services are divided, each with a keeper.
SLOTS = 8
#: Number of VMs that may be the keeper of a slot.
CANDIDATES = 2
#: Maximum number of services, and of limits, in the reports of one interval and
#: in a reply. The services beyond that have equal shares.
MAX_REPORTED = 32
#: Maximum number of services, and of limits, that a keeper stores.
MAX_STORED = 256


class LimitReport(typing.NamedTuple):
    """Says how many requests a VM needs of services with a limited searcher.

    Attributes:
        sender: The name of the VM.
        slot: The slot of the services.
        demands: The services and the requests per second that it needs.
        limits: The limits that the VM knows.
        ask_all: Whether the VM asks for all limits of the slot.
    """

    sender: str
    slot: int
    demands: list[tuple[str, float]]
    limits: list[request_limit.NamedLimit]
    ask_all: bool = False


class LimitShares(typing.NamedTuple):
    """A keeper's reply to a report.

    Attributes:
        slot: The slot of the report.
        shares: The services of the report, and the VM's share of the limits of
            their searchers.
        limits: The limits that the keeper knows for these services.
    """

    slot: int
    shares: list[tuple[str, float]]
    limits: list[request_limit.NamedLimit]


KINDS: dict[int, type] = {17: LimitReport, 18: LimitShares}


class Timed(typing.NamedTuple):
    """A reported number and the loop time of the report."""

    value: float
    at_s: float


class LimitSharing:
    """State of the shares of this VM, and of those that it divides.

    Attributes:
        known: The searchers with their limits.
        assignment: The VMs that call each service.
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        started_s: The loop time of the start.
        shares: The shares that keepers replied, by service.
        keeper_number: The position of the present keeper in the ranking, by
            slot.
        asked_s: The loop time of the first report without a reply, by slot.
        demands: As keeper: the reported demands by service and VM.
        limits: As keeper: the reported limits, and the loop times at which
            responses named them, by searcher.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        assigned: assignment.Assignment,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
    ) -> None:
        self.known = known
        self.assignment = assigned
        self.peer_links = peer_links
        self.me = me
        self.port = port
        self.loop = asyncio.get_running_loop()
        self.started_s = self.loop.time()
        self.shares: dict[str, Timed] = {}
        self.keeper_number: dict[int, int] = collections.defaultdict(int)
        self.asked_s: dict[int, float] = {}
        self.demands: dict[str, dict[str, Timed]] = {}
        self.limits: dict[str, tuple[request_limit.NamedLimit, float]] = {}
        known.share_of = self.share_of

    def share_of(
        self, searcher: registry.Searcher, per_s: float
    ) -> request_limit.Share:
        """Returns this VM's share of a limit; see `upstreams.Upstreams`."""
        service = searcher.service
        callers = self.assignment.callers_of(service)
        if not callers:
            return self.known.equal_share(searcher, per_s)
        if self.me not in callers:
            return request_limit.Share(0.0, turn=len(callers))
        allowed = request_limit.max_callers(per_s)
        if len(callers) > allowed:
            turn = self.rank_callers(searcher, callers).index(self.me) + 1
            if turn > allowed:
                return request_limit.Share(0.0, turn - allowed)
            return request_limit.Share(1.0 / allowed)
        share = self.shares.get(service)
        if share and self.loop.time() - share.at_s < REPORT_VALID_S:
            return request_limit.Share(share.value)
        return request_limit.Share(1.0 / len(callers))

    def rank_callers(
        self, searcher: registry.Searcher, callers: list[owners.Vm]
    ) -> list[owners.Vm]:
        """Ranks the VMs that call a searcher, the same way on all VMs."""
        ranked = self.assignment.rank(searcher.id)
        if len(callers) == len(ranked):
            return ranked
        names = {vm.name for vm in callers}
        return [vm for vm in ranked if vm.name in names]

    # Reports

    async def run(self) -> None:
        """Reports demands at regular intervals, forever."""
        while True:
            self.report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def report(self) -> None:
        """Applies the present shares and reports to the keepers."""
        now_s = self.loop.time()
        self.known.share_limits(now_s)
        limited: dict[str, list[request_limit.NamedLimit]] = {}
        for upstream in list(self.known.limited.values())[:MAX_REPORTED]:
            row = name_limit(upstream, now_s)
            if row is not None:
                limited.setdefault(row.service, []).append(row)
        for service in [
            row for row in self.known.demands if row not in limited
        ]:
            del self.known.demands[service]
        for service in [row for row in self.shares if row not in limited]:
            del self.shares[service]
        ask_all = now_s - self.started_s < ASK_ALL_S
        services_by_slot: dict[int, list[str]] = {
            slot: [] for slot in range(SLOTS if ask_all else 0)
        }
        for service in limited:
            services_by_slot.setdefault(slot_of(service), []).append(service)
        for slot, services in services_by_slot.items():
            self.send_report(
                LimitReport(
                    self.me.name,
                    slot,
                    [(name, self.demand(name, now_s)) for name in services],
                    [row for name in services for row in limited[name]],
                    ask_all,
                )
            )

    def demand(self, service: str, now_s: float) -> float:
        """Returns the requests per second that this VM needs of a service."""
        rate = self.known.demands.get(service)
        return round(rate.per_s(now_s), 2) if rate else 0.0

    def keeper_of(self, slot: int) -> owners.Vm | None:
        """Returns the present keeper of a slot; None if no VM is known."""
        rows = self.assignment.rank(f"limits-{slot}")[:CANDIDATES]
        if not rows:
            return None
        return rows[self.keeper_number[slot] % len(rows)]

    def send_report(self, report: LimitReport) -> None:
        """Sends a report to its keeper, or to the next one if it is silent."""
        now_s = self.loop.time()
        slot = report.slot
        if now_s - self.asked_s.setdefault(slot, now_s) > REPORT_VALID_S:
            self.keeper_number[slot] += 1
            self.asked_s[slot] = now_s
        keeper = self.keeper_of(slot)
        if keeper == self.me:
            self.apply(self.answer(report))
        elif keeper is not None:
            self.peer_links.link((keeper.host, self.port)).send(report)

    def handle_message(
        self, link: frames.Link, message: LimitReport | LimitShares
    ) -> None:
        """Handles a message from another VM."""
        if isinstance(message, LimitReport):
            link.send(self.answer(message))
        else:
            self.apply(message)

    def apply(self, reply: LimitShares) -> None:
        """Applies a keeper's reply."""
        now_s = self.loop.time()
        self.asked_s.pop(reply.slot, None)
        for service, share in reply.shares[:MAX_REPORTED]:
            if 0.0 <= share <= 1.0:
                self.shares[service] = Timed(share, now_s)
        for row in reply.limits[:MAX_REPORTED]:
            self.apply_limit(row, now_s)
        if reply.shares:
            self.known.share_limits(now_s)

    def apply_limit(self, row: request_limit.NamedLimit, now_s: float) -> None:
        """Applies a limit unless this VM knows something newer."""
        upstream = self.known.by_id.get(row.searcher)
        if upstream is None or upstream.searcher.started_ms != row.started_ms:
            return
        named_s = now_s - max(0.0, row.age_s)
        limit = upstream.replica.limit
        last_s = max(
            upstream.replica.unlimited_s, limit.named_s if limit else 0.0
        )
        if named_s > last_s and now_s - named_s < request_limit.LAPSE_S:
            self.known.limit_requests(upstream, row.per_s, named_s, now_s)

    # The keeper

    def answer(self, report: LimitReport) -> LimitShares:
        """Records a report and returns the reply."""
        now_s = self.loop.time()
        self.drop_old(now_s)
        for service, per_s in report.demands[:MAX_REPORTED]:
            if service in self.demands or len(self.demands) < MAX_STORED:
                by_vm = self.demands.setdefault(service, {})
                by_vm[report.sender] = Timed(per_s, now_s)
        for row in report.limits[:MAX_REPORTED]:
            named_s = now_s - max(0.0, row.age_s)
            old = self.limits.get(row.searcher)
            if (old is None and len(self.limits) < MAX_STORED) or (
                old is not None and named_s > old[1]
            ):
                self.limits[row.searcher] = (row, named_s)
                if old is None:
                    self.announce(row, report.sender)
        services = {service for service, _ in report.demands}
        return LimitShares(
            report.slot,
            [
                (service, self.divide(service)[report.sender])
                for service in services
                if report.sender in self.demands.get(service, {})
            ],
            [
                row._replace(age_s=round(now_s - named_s, 3))
                for row, named_s in self.limits.values()
                if row.service in services
                or (report.ask_all and slot_of(row.service) == report.slot)
            ][:MAX_REPORTED],
        )

    def announce(self, row: request_limit.NamedLimit, sender: str) -> None:
        """Tells the other callers of a service of a new limit.

        Those without requests for it report as well then, so that their shares
        are redistributed.
        """
        for vm in self.assignment.callers_of(row.service):
            if vm == self.me:
                self.apply_limit(row, self.loop.time())
            elif vm.name != sender:
                link = self.peer_links.link((vm.host, self.port))
                link.send(LimitShares(slot_of(row.service), [], [row]))

    def divide(self, service: str) -> dict[str, float]:
        """Returns the shares of the VMs that reported a service."""
        callers = len(self.assignment.callers_of(service))
        demands = {vm: row.value for vm, row in self.demands[service].items()}
        return request_limit.divide(demands, callers)

    def drop_old(self, now_s: float) -> None:
        """Drops reports that no longer count."""
        for service, by_vm in list(self.demands.items()):
            for vm in [
                name
                for name, row in by_vm.items()
                if now_s - row.at_s >= REPORT_VALID_S
            ]:
                del by_vm[vm]
            if not by_vm:
                del self.demands[service]
        for searcher, (_, named_s) in list(self.limits.items()):
            if now_s - named_s >= request_limit.LAPSE_S:
                del self.limits[searcher]


def slot_of(service: str) -> int:
    """Returns the slot of a service, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(service.encode()) % SLOTS


def name_limit(
    upstream: upstreams.Upstream, now_s: float
) -> request_limit.NamedLimit | None:
    """Returns a searcher's limit as it is told to other VMs."""
    limit, searcher = upstream.replica.limit, upstream.searcher
    if limit is None:
        return None
    return request_limit.NamedLimit(
        searcher.service,
        searcher.id,
        searcher.started_ms,
        limit.named_per_s,
        round(now_s - limit.named_s, 3),
    )


def create_limit_sharing(
    known: upstreams.Upstreams,
    assigned: assignment.Assignment,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
) -> LimitSharing:
    """Returns the state before the first report."""
    return LimitSharing(known, assigned, peer_links, me, port)
