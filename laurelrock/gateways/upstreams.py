"""The searchers of all services, with their connections."""

import collections
import collections.abc
import typing

from laurelrock.adapters import http_client
from laurelrock.adapters import logs
from laurelrock.adapters import reply_budget
from laurelrock.core import event_rate
from laurelrock.core import homes
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import replicas
from laurelrock.core import request_limit
from laurelrock.core import routes
from laurelrock.core import shared_rate
from laurelrock.core import throughput

__all__ = ["Upstream", "Upstreams", "create_upstreams"]

#: Share of a searcher's connections that all VMs together open; the rest is for
#: connections of ended processes, which the searcher still counts.
CONNECTION_SHARE = 0.8
#: Maximum number of connections of one VM to one searcher.
MAX_CONNECTIONS = 8
#: Maximum number of connections to one searcher of a VM that isn't planned to
#: call it, for example because no owner responds to it.
UNPLANNED_CONNECTIONS = 1

#: Maximum number of searchers without an entry whose restrictions are kept.
MAX_RESTRICTIONS = 4096
#: Reasons why no searcher of a service may be called.
EVACUATED = "evacuated"
NOT_ALLOWED = "no searcher in the allowed regions"

_log = logs.get_logger(__name__)


class Restriction(typing.NamedTuple):
    """What a searcher said that holds even if its entry is deleted.

    Attributes:
        leaving: Whether it declared that it is about to leave.
        resume_s: Loop time until which it asked for no calls, in seconds.
        limit: The limit of requests that it named, if any.
    """

    leaving: bool
    resume_s: float
    limit: request_limit.RequestLimit | None = None


IsPlanned = collections.abc.Callable[[str], bool]
ShareOf = collections.abc.Callable[
    [registry.Searcher, int, bool], shared_rate.Share
]
CheckHealth = collections.abc.Callable[
    ["Upstreams", "Upstream"], collections.abc.Awaitable[bool]
]

EntryApplied = collections.abc.Callable[["Upstream", float], None]


class Upstream:
    """One searcher, with its state and its connections.

    Attributes:
        replica: The state of the searcher.
        client: The connections to the searcher.
    """

    def __init__(
        self, replica: replicas.Replica, client: http_client.Client
    ) -> None:
        self.replica = replica
        self.client = client

    @property
    def searcher(self) -> registry.Searcher:
        """The searcher's entry in the registry."""
        return self.replica.searcher


class Upstreams:
    """State of all searchers.

    Attributes:
        failure_domain: The failure domain of this VM.
        replies: The memory of the responses that are being received.
        vms: The number of VMs that share the searchers.
        domains: The number of failure domains of those VMs.
        services: The configured services, by name.
        sharded: The names of the services that hold a shard of a query.
        by_id: All searchers, by id.
        by_service: All searchers, by service and id.
        typical_latencies: The typical latencies, by route.
        throughputs: The rates at which calls end, by service.
        restrictions: What searchers without an entry said, by start. Their
            entries may return, for example when the platform restores a copy.
        opened: The number of connections opened to searchers that are gone.
        limited: The searchers that named a limit of requests, by id.
        demands: The rates at which requests need the services of these, by
            service.
        responded_s: Loop time of the last response of any searcher, in seconds.
        isolated: Whether this VM has lost all searchers.
        check_health: Requests the health of a searcher and returns whether it
            responds; None if health isn't requested.
        regions: The region of each failure domain.
        evacuated: The evacuated failure domains; None if they aren't known yet,
            so that no searcher may be called.
        blockers: Cached reasons why services can't be called, by service and
            allowed regions; see `blocker`.
        cold: The searchers that are cold and take few requests, by id.
        is_planned: Returns whether this VM is one of those that are planned to
            call a service.
        weighs_domains: Whether the choice between failure domains follows load
            and time; otherwise another one costs a constant.
        share_of: Returns this VM's share of a searcher's limit, given the
            number of VMs that may call the searcher, and whether the limit
            holds strictly.
        entry_applied: Called with a searcher whose entry was applied, and the
            loop time.
    """

    def __init__(
        self, failure_domain: str, replies: reply_budget.ReplyBudget
    ) -> None:
        self.failure_domain = failure_domain
        self.replies = replies
        self.vms = 0
        self.domains = 1
        self.sharded: set[str] = set()
        self.services: dict[str, routes.Service] = {}
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, dict[str, Upstream]] = (
            collections.defaultdict(dict)
        )
        self.typical_latencies: dict[str, replicas.LatencyStats] = (
            collections.defaultdict(replicas.LatencyStats)
        )
        self.throughputs: dict[str, event_rate.EventRate] = (
            collections.defaultdict(throughput.create_completion_rate)
        )
        self.restrictions: dict[registry.Start, Restriction] = {}
        self.opened = 0
        self.limited: dict[str, Upstream] = {}
        self.demands: dict[str, event_rate.EventRate] = {}
        self.responded_s = 0.0
        self.isolated = False
        self.check_health: CheckHealth | None = None
        self.regions: dict[str, str] = {}
        self.evacuated: frozenset[str] | None = frozenset()
        self.blockers: dict[tuple[str, tuple[str, ...]], str] = {}
        self.cold: dict[str, Upstream] = {}
        self.is_planned: IsPlanned = lambda service: True
        self.weighs_domains = True
        self.share_of: ShareOf = self.equal_share
        self.entry_applied: EntryApplied = lambda upstream, now_s: None

    def is_local(self, replica: replicas.Replica) -> bool:
        """Returns whether a searcher is in this VM's failure domain."""
        return replica.searcher.failure_domain == self.failure_domain

    def searchers_of(
        self, service: str, regions: tuple[str, ...] = ()
    ) -> collections.abc.Iterable[Upstream]:
        """Returns the searchers of a service.

        Args:
            service: The service.
            regions: The regions in which a request may run; empty for all.
        """
        rows = self.by_service.get(service, {}).values()
        if not regions:
            return rows
        return [
            row
            for row in rows
            if homes.allows(regions, row.searcher.failure_domain, self.regions)
        ]

    def reachable(
        self, service: str, now_s: float, regions: tuple[str, ...] = ()
    ) -> bool:
        """Returns whether any searcher of a service may be reached."""
        rows = (row.replica for row in self.searchers_of(service, regions))
        return not self.isolated and replicas.any_reachable(rows, now_s)

    def connected(self, service: str, regions: tuple[str, ...] = ()) -> bool:
        """Returns whether any searcher of a service responds to this VM.

        A service whose searchers may not be called isn't lost, since no other
        VM may call them either.
        """
        if self.isolated:
            return False
        rows = (row.replica for row in self.searchers_of(service, regions))
        return bool(self.blocker(service, regions)) or replicas.any_connected(
            rows
        )

    def has_live(self, service: str) -> bool:
        """Returns whether any searcher of a service is listed as live."""
        rows = self.searchers_of(service)
        return any(replicas.is_live(row.replica) for row in rows)

    def blocker(self, service: str, regions: tuple[str, ...] = ()) -> str:
        """Returns why the places of its searchers keep a service from calls.

        Args:
            service: The service.
            regions: The regions in which a request may run; empty for all.

        Returns:
            `EVACUATED`, `NOT_ALLOWED`, or an empty string if a searcher may be
            called, or none is live anyway.
        """
        if not regions and not self.evacuated:
            return ""
        found = self.blockers.get((service, regions))
        if found is None:
            found = self.find_blocker(service, regions)
            self.blockers[service, regions] = found
        return found

    def find_blocker(self, service: str, regions: tuple[str, ...]) -> str:
        """Implements `blocker` without the cache."""

        def live(allowed: tuple[str, ...]) -> list[replicas.Replica]:
            rows = self.searchers_of(service, allowed)
            return [r.replica for r in rows if replicas.is_live(r.replica)]

        rows = live(regions)
        if not rows:
            return NOT_ALLOWED if live(()) else ""
        return EVACUATED if all(row.evacuated for row in rows) else ""

    def set_regions(self, regions: dict[str, str]) -> None:
        """Sets the region of each failure domain."""
        self.regions = regions
        self.blockers.clear()

    def evacuate(self, failure_domains: frozenset[str] | None) -> None:
        """Sets the evacuated failure domains.

        Calls that wait for a connection to one of their searchers move to
        another searcher; calls that were sent continue.
        """
        self.evacuated = failure_domains
        self.blockers.clear()
        for upstream in self.by_id.values():
            self.check_evacuated(upstream)

    def check_evacuated(self, upstream: Upstream) -> None:
        """Applies the evacuations to one searcher."""
        upstream.replica.evacuated = (
            self.evacuated is None
            or upstream.searcher.failure_domain in self.evacuated
        )
        if upstream.replica.evacuated:
            upstream.client.reject_waiting_calls(
                "the failure domain is evacuated"
            )

    def probe_all_now(self) -> None:
        """Makes the probes of all ejected searchers due."""
        for upstream in self.by_id.values():
            upstream.replica.next_probe_s = 0.0

    def backlog(self, service: str, now_s: float) -> throughput.Backlog:
        """Returns the calls ahead of a new one at a service."""
        ahead = sum(
            len(row.replica.calls_in_flight)
            for row in self.searchers_of(service)
        )
        return throughput.Backlog(ahead, self.throughputs[service].per_s(now_s))

    def service(self, name: str) -> routes.Service:
        """Returns the configuration of a service."""
        return self.services.get(name, routes.Service())

    def local_caller_count(self, service: str) -> int:
        """Returns how many VMs of a failure domain call for single requests.

        0 stands for all of them; see `owners.local_caller_count`.
        """
        connections = self.service(service).connections
        return owners.local_caller_count(connections, self.vms, self.domains)

    def all_vms_call(self, service: str) -> bool:
        """Returns whether the searchers of a service accept all VMs."""
        if service not in self.sharded:
            return not self.local_caller_count(service)
        return owners.all_vms_can_call(
            self.service(service).connections, max(1, self.vms)
        )

    def callers(self, service: str) -> int:
        """Returns how many VMs call the searchers of a service."""
        if self.all_vms_call(service):
            return max(1, self.vms)
        if service in self.sharded:
            return owners.max_callers_per_searcher(self.domains)
        return self.local_caller_count(service) * self.domains

    def limit(self, service: str) -> int:
        """Returns the maximum of connections to one searcher of a service."""
        if not self.is_planned(service):
            return UNPLANNED_CONNECTIONS
        connections = self.service(service).connections
        share = connections * CONNECTION_SHARE / self.callers(service)
        return max(1, min(MAX_CONNECTIONS, int(share)))

    def configure(self, configuration: routes.Configuration) -> None:
        """Applies the services of a configuration."""
        self.services = configuration.services
        self.sharded = {
            name for route in configuration.routes for name in route.shards
        }
        names = {route.name for route in configuration.routes}
        for name in [row for row in self.typical_latencies if row not in names]:
            del self.typical_latencies[name]
        for name in [
            row for row in self.throughputs if row not in self.services
        ]:
            del self.throughputs[name]
        self.set_vms(self.vms, self.domains)

    def set_vms(self, count: int, domains: int) -> None:
        """Sets how many VMs share the searchers' connections."""
        self.vms = count
        self.domains = domains
        self.apply_limits()

    def apply_limits(self) -> None:
        """Limits the connections to each searcher."""
        for upstream in self.by_id.values():
            upstream.client.set_limit(self.limit(upstream.searcher.service))

    def apply(
        self,
        changes: collections.abc.Iterable[registry.Change],
        now_s: float,
    ) -> None:
        """Applies changes of the registry."""
        self.blockers.clear()
        for change in changes:
            self.apply_one(change, now_s)

    def apply_one(self, change: registry.Change, now_s: float) -> None:
        """Applies one change of the registry."""
        known = self.by_id.get(change.id)
        searcher = change.searcher
        if known is not None and (
            searcher is None
            or not registry.is_same_start(known.searcher, searcher)
        ):
            self.remove(known)
            known = None
        if searcher is None:
            _log.info("searcher-removed", searcher=change.id)
            return
        # The remaining warm-up changes with each heartbeat of a new searcher.
        if known is None or known.searcher.state != searcher.state:
            _log.info(
                "searcher-updated",
                searcher=searcher.id,
                service=searcher.service,
                state=searcher.state,
                warm_up_ms=round(searcher.warm_up_left_s * 1000),
            )
        if known is not None:
            known.replica.searcher = searcher
            if searcher.state == "draining":
                known.client.reject_waiting_calls("the searcher is draining")
            known.replica.warm_up_end_s = now_s + searcher.warm_up_left_s
            self.check_evacuated(known)
            self.entry_applied(known, now_s)
            return
        client = http_client.open_client(
            searcher.address,
            self.limit(searcher.service),
            budget=self.replies,
        )
        replica = replicas.create_replica(searcher, now_s)
        restriction = self.restrictions.pop(searcher.start, None)
        upstream = Upstream(replica, client)
        if restriction is not None:
            replica.leaving, replica.resume_s, replica.limit = restriction
            if replica.limit is not None:
                self.limited[searcher.id] = upstream
        self.by_id[searcher.id] = upstream
        self.by_service[searcher.service][searcher.id] = upstream
        self.check_evacuated(upstream)
        self.entry_applied(upstream, now_s)

    def remove(self, upstream: Upstream) -> None:
        """Removes a searcher; its calls in flight continue."""
        upstream.client.close()
        replica = upstream.replica
        if replica.leaving or replica.resume_s or replica.limit:
            self.restrict(
                upstream.searcher.start,
                Restriction(replica.leaving, replica.resume_s, replica.limit),
            )
        self.limited.pop(upstream.searcher.id, None)
        self.cold.pop(upstream.searcher.id, None)
        self.opened += upstream.client.opened
        del self.by_id[upstream.searcher.id]
        del self.by_service[upstream.searcher.service][upstream.searcher.id]

    def restrict(self, start: registry.Start, restriction: Restriction) -> None:
        """Keeps what a searcher without an entry said."""
        self.restrictions[start] = restriction
        if len(self.restrictions) > MAX_RESTRICTIONS:
            del self.restrictions[next(iter(self.restrictions))]

    def mark_leaving(self, start: registry.Start) -> None:
        """Gives a searcher that declared that it leaves no more calls."""
        upstream = self.by_id.get(start.id)
        if upstream is None or upstream.searcher.start != start:
            self.restrict(start, Restriction(True, 0.0))
            return
        if upstream.replica.leaving:
            return
        upstream.replica.leaving = True
        self.blockers.clear()
        upstream.client.reject_waiting_calls("the searcher leaves")
        _log.info(
            "searcher-leaving", searcher=start.id, started_ms=start.started_ms
        )

    def leaving(
        self, services: collections.abc.Iterable[str]
    ) -> tuple[registry.Start, ...]:
        """Returns the searchers of some services that declared to leave."""
        return tuple(
            row.searcher.start
            for name in services
            for row in self.searchers_of(name)
            if row.replica.leaving
        )

    def pause(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Gives a searcher no calls for the time that it asked for."""
        upstream.replica.record_pause(pause_s, now_s)
        upstream.client.reject_waiting_calls("the searcher asked for a pause")
        _log.info(
            "searcher-paused",
            searcher=upstream.searcher.id,
            pause_ms=round(pause_s * 1000),
        )

    def equal_share(
        self, searcher: registry.Searcher, max_callers: int, strict: bool
    ) -> shared_rate.Share:
        """Returns an equal share of a searcher's limit.

        A VM that doesn't know how many there are has none.
        """
        callers = self.callers(searcher.service) if self.vms else 0
        if not callers:
            return shared_rate.Share(0.0, turn=1)
        return shared_rate.Share(1.0 / callers, equal=1.0 / callers)

    def resume_in_s(self, service: str, now_s: float) -> float:
        """Returns the time until a service accepts calls.

        See `replicas.resume_in_s`.
        """
        rows = (row.replica for row in self.searchers_of(service))
        return replicas.resume_in_s(rows, now_s)

    def remote_domains_silent(self, now_s: float) -> bool:
        """Returns whether all other failure domains are unresponsive."""
        rows = [row.replica for row in self.by_id.values()]
        return replicas.remote_domains_silent(rows, self.is_local, now_s)


def create_upstreams(
    failure_domain: str, reply_bytes: int = reply_budget.DEFAULT_BYTES
) -> Upstreams:
    """Returns the state without searchers.

    Args:
        failure_domain: Failure domain of this VM.
        reply_bytes: Memory in bytes for the responses of all searchers that are
            being received.
    """
    return Upstreams(
        failure_domain, reply_budget.create_reply_budget(reply_bytes)
    )
