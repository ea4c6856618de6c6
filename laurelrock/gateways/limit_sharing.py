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
import secrets
import typing

import xxhash

from laurelrock.adapters import frames
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import request_limit
from laurelrock.core import shared_rate
from laurelrock.gateways import assignment
from laurelrock.gateways import searcher_limits
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


class ColdReport(typing.NamedTuple):
    """What a searcher said about its warm-up, as VMs tell it to each other.

    Attributes:
        service: Service of the searcher.
        searcher: Id of the searcher.
        started_ms: Start of the searcher, in milliseconds since 1970.
        left_s: Time for which it was cold when it said so, in seconds.
        age_s: Time since it said so, in seconds.
    """

    service: str
    searcher: str
    started_ms: int
    left_s: float
    age_s: float


class LimitReport(typing.NamedTuple):
    """Says how many requests a VM needs of services with a limited searcher.

    Attributes:
        sender: The name of the VM.
        slot: The slot of the services.
        demands: The services and the requests per second that it needs.
        limits: The limits that the VM knows.
        ask_all: Whether the VM asks for all limits of the slot.
        sent_s: The sender's loop time.
        offers: What the VM offers of its equal share of each service in
            `demands`; empty if it offers nothing.
        keeper: The start id of the keeper to which it offers that.
        stamp_s: The time stamp of that keeper's last reply.
        cold: The searchers that said lately whether they are cold.
    """

    sender: str
    slot: int
    demands: list[tuple[str, float]]
    limits: list[request_limit.NamedLimit]
    ask_all: bool = False
    sent_s: float = 0.0
    offers: list[float] = []
    keeper: str = ""
    stamp_s: float = 0.0
    cold: list[ColdReport] = []


class LimitShares(typing.NamedTuple):
    """A keeper's reply to a report.

    Attributes:
        slot: The slot of the report.
        shares: The services of the report, and the VM's share of the limits of
            their searchers.
        limits: The limits that the keeper knows for these services.
        keeper: The start id of the keeper; empty if this is no reply.
        stamp_s: The keeper's loop time.
        sent_s: The sender's loop time of the report.
        extras: What the VM is granted in addition to the share that it keeps,
            for each of `shares`. VMs of the previous version use `shares`.
        cold: The searchers that said lately whether they are cold.
    """

    slot: int
    shares: list[tuple[str, float]]
    limits: list[request_limit.NamedLimit]
    keeper: str = ""
    stamp_s: float = 0.0
    sent_s: float = 0.0
    extras: list[float] = []
    cold: list[ColdReport] = []


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
        members: What this VM offered and was granted, by slot.
        peaks: The largest numbers of VMs that call a service of late.
        cold_news: Returns what searchers said about their warm-up lately.
        apply_cold: Applies what another VM reports about that; returns whether
            it was news.
        keeper_number: The position of the present keeper in the ranking, by
            slot.
        asked_s: The loop time of the first report without a reply, by slot.
        repeated_s: The loop time of the last report that was sent in addition
            to the regular ones, by slot.
        demands: As keeper: the reported demands by service and VM.
        start_id: As keeper: the id of this start.
        grants: As keeper: the offers and grants, by service.
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
        self.members: dict[int, shared_rate.Member] = {}
        self.peaks: dict[str, shared_rate.RecentPeak] = collections.defaultdict(
            shared_rate.RecentPeak
        )
        self.cold_news: collections.abc.Callable[[], list[ColdReport]] = list
        self.apply_cold: collections.abc.Callable[[ColdReport], bool] = (
            lambda row: False
        )
        self.start_id = f"{me.name}/{secrets.token_hex(4)}"
        self.grants: dict[str, shared_rate.Grants] = {}
        self.keeper_number: dict[int, int] = collections.defaultdict(int)
        self.asked_s: dict[int, float] = {}
        self.repeated_s: dict[int, float] = {}
        self.demands: dict[str, dict[str, Timed]] = {}
        self.limits: dict[str, tuple[request_limit.NamedLimit, float]] = {}
        known.share_of = self.share_of

    def share_of(
        self, searcher: registry.Searcher, max_callers: int, strict: bool
    ) -> shared_rate.Share:
        """Returns this VM's share of a limit; see `upstreams.Upstreams`."""
        service = searcher.service
        callers = self.assignment.callers_of(service)
        if not callers:
            return self.known.equal_share(searcher, max_callers, strict)
        if self.me not in callers:
            return shared_rate.Share(0.0, turn=len(callers))
        now_s = self.loop.time()
        count = self.peaks[service].record(len(callers), now_s)
        if count > max_callers:
            turn = self.rank_callers(searcher, callers).index(self.me) + 1
            if turn > max_callers:
                return shared_rate.Share(0.0, turn - max_callers)
            equal = 1.0 / max_callers
            return shared_rate.Share(equal, equal=equal)
        member = self.member(slot_of(service))
        return member.share(service, 1.0 / count, strict, now_s)

    def member(self, slot: int) -> shared_rate.Member:
        """Returns what this VM offered and was granted in a slot."""
        if slot not in self.members:
            self.members[slot] = shared_rate.create_member(self.started_s)
        return self.members[slot]

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

    def report(self, slot: int | None = None) -> None:
        """Applies the present shares and reports to the keepers.

        Args:
            slot: The slot to report; None for all of them.
        """
        now_s = self.loop.time()
        searcher_limits.share_limits(self.known, now_s)
        limited: dict[str, list[request_limit.NamedLimit]] = {}
        rows = {**self.known.cold, **self.known.limited}
        for upstream in list(rows.values())[:MAX_REPORTED]:
            named = limited.setdefault(upstream.searcher.service, [])
            row = name_limit(upstream, now_s)
            if row is not None:
                named.append(row)
        for service in [
            row for row in self.known.demands if row not in limited
        ]:
            del self.known.demands[service]
        news = self.cold_news()[:MAX_REPORTED]
        ask_all = now_s - self.started_s < ASK_ALL_S
        services_by_slot: dict[int, list[str]] = {
            slot: [] for slot in range(SLOTS if ask_all else 0)
        }
        for service in limited:
            services_by_slot.setdefault(slot_of(service), []).append(service)
        for told in news:
            services_by_slot.setdefault(slot_of(told.service), [])
        for number, services in services_by_slot.items():
            if slot not in (None, number):
                continue
            self.send_report(
                LimitReport(
                    self.me.name,
                    number,
                    [(name, self.demand(name, now_s)) for name in services],
                    [row for name in services for row in limited[name]],
                    ask_all,
                    now_s,
                    cold=[
                        row for row in news if slot_of(row.service) == number
                    ],
                )
            )

    def add_offer(self, report: LimitReport, now_s: float) -> LimitReport:
        """Returns a report with what this VM offers to the keeper."""
        member = self.member(report.slot)
        if not report.demands or not member.begin_offer(now_s):
            return report
        searcher_limits.share_limits(self.known, now_s)
        offered = 1.0 - shared_rate.KEPT_FRACTION
        return report._replace(
            offers=[
                offered / max(1, self.caller_count(service, now_s))
                if self.me in self.assignment.callers_of(service)
                else 0.0
                for service, _ in report.demands
            ],
            keeper=member.keeper,
            stamp_s=member.stamp_s,
        )

    def caller_count(self, service: str, now_s: float) -> int:
        """Returns the largest number of VMs that call a service of late."""
        callers = len(self.assignment.callers_of(service))
        return self.peaks[service].record(callers, now_s)

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
            self.member(slot).forget_keeper()
        keeper = self.keeper_of(slot)
        if keeper is not None:
            report = self.add_offer(report, now_s)
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
        if reply.keeper:
            services = [service for service, _ in reply.shares]
            self.member(reply.slot).record_reply(
                reply.keeper,
                reply.stamp_s,
                reply.sent_s,
                zip(services, reply.extras, strict=False),
                now_s,
            )
        elif reply.shares:
            shares = reply.shares[:MAX_REPORTED]
            self.member(reply.slot).record_older_reply(shares, now_s)
        for told in reply.cold[:MAX_REPORTED]:
            self.apply_cold(told)
        for row in reply.limits[:MAX_REPORTED]:
            self.apply_limit(row, now_s)
        if reply.shares:
            searcher_limits.share_limits(self.known, now_s)
            self.offer_soon(reply, now_s)

    def offer_soon(self, reply: LimitShares, now_s: float) -> None:
        """Reports again if the report of a reply could not offer anything.

        A VM needs a time stamp of the keeper before it can offer.
        """
        slot = reply.slot
        last_s = self.repeated_s.get(slot, -REPORT_INTERVAL_S)
        if (
            reply.extras
            or now_s - last_s < REPORT_INTERVAL_S
            or not self.member(slot).can_offer(now_s)
        ):
            return
        self.repeated_s[slot] = now_s
        self.report(slot)

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
            searcher_limits.limit_requests(
                self.known, upstream, row.per_s, named_s, now_s
            )

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
        for cold in report.cold[:MAX_REPORTED]:
            if self.apply_cold(cold):
                self.tell_callers(cold.service, report.sender, cold=[cold])
        self.record_offers(report)
        services = {service for service, _ in report.demands}
        shares = [
            (service, self.divide(service)[report.sender])
            for service in services
            if report.sender in self.demands.get(service, {})
        ]
        if not report.sent_s:
            # VMs of the previous version don't send a time. They use their
            # shares at once, and don't wait for what others offer.
            shares = [
                (service, min(share, self.equal_share(service)))
                for service, share in shares
            ]
        return LimitShares(
            report.slot,
            shares,
            [
                row._replace(age_s=round(now_s - named_s, 3))
                for row, named_s in self.limits.values()
                if row.service in services
                or (report.ask_all and slot_of(row.service) == report.slot)
            ][:MAX_REPORTED],
            self.start_id,
            now_s,
            report.sent_s,
            [self.grant(service, report.sender, now_s) for service, _ in shares]
            if report.keeper == self.start_id
            else [],
            [
                row
                for row in self.cold_news()
                if row.service in services
                or (report.ask_all and slot_of(row.service) == report.slot)
            ][:MAX_REPORTED],
        )

    def record_offers(self, report: LimitReport) -> None:
        """Records what a VM offers, if it is meant for this start."""
        if report.keeper != self.start_id:
            return
        for (service, _), fraction in zip(
            report.demands, report.offers, strict=False
        ):
            if report.sender in self.demands.get(service, {}):
                row = self.grants.setdefault(
                    service, shared_rate.create_grants()
                )
                row.record_offer(report.sender, fraction, report.stamp_s)

    def grant(self, service: str, vm: str, now_s: float) -> float:
        """Grants a VM a part of what others offered."""
        if service not in self.grants:
            return 0.0
        kept = self.equal_share(service) * shared_rate.KEPT_FRACTION
        wanted = self.divide(service)[vm] - kept
        return self.grants[service].grant(vm, wanted, now_s)

    def equal_share(self, service: str) -> float:
        """Returns the share without redistribution of a reported service."""
        callers = len(self.assignment.callers_of(service))
        return 1.0 / max(1, callers, len(self.demands[service]))

    def announce(self, row: request_limit.NamedLimit, sender: str) -> None:
        """Tells the other callers of a service of a new limit.

        Those without requests for it report as well then, so that their shares
        are redistributed.
        """
        if self.me in self.assignment.callers_of(row.service):
            self.apply_limit(row, self.loop.time())
        self.tell_callers(row.service, sender, limits=[row])

    def tell_callers(
        self,
        service: str,
        sender: str,
        limits: list[request_limit.NamedLimit] = [],  # noqa: B006
        cold: list[ColdReport] = [],  # noqa: B006
    ) -> None:
        """Tells the other callers of a service what a VM reported."""
        message = LimitShares(slot_of(service), [], limits, cold=cold)
        for vm in self.assignment.callers_of(service):
            if vm != self.me and vm.name != sender:
                self.peer_links.link((vm.host, self.port)).send(message)

    def divide(self, service: str) -> dict[str, float]:
        """Returns the shares of the VMs that reported a service."""
        callers = len(self.assignment.callers_of(service))
        demands = {vm: row.value for vm, row in self.demands[service].items()}
        return shared_rate.divide(demands, callers)

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
        for service, row in list(self.grants.items()):
            row.drop_ended(now_s)
            if not row.offers and not row.granted:
                del self.grants[service]
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
