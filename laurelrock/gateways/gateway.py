"""Gateway: the process that serves the callers of one VM."""

import asyncio
import collections
import collections.abc
import random
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import http_server
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.core import gathering
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import repeats
from laurelrock.core import routes
from laurelrock.gateways import calls
from laurelrock.gateways import departing
from laurelrock.gateways import deployment
from laurelrock.gateways import following
from laurelrock.gateways import groups
from laurelrock.gateways import lending
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import peers
from laurelrock.gateways import queries
from laurelrock.gateways import questions
from laurelrock.gateways import reach
from laurelrock.gateways import sharing
from laurelrock.gateways import singles
from laurelrock.gateways import upstreams
from laurelrock.ports import directory
from laurelrock.ports import wire

__all__ = ["Gateway"]

#: Missing shards that a request's line names.
MAX_LOGGED = 8
METRICS_PATH = b"/metrics"
#: Time for which a process that stops takes new connections, in seconds: the
#: balancer asks once a second and needs two misses.
NOTICE_S = 2.6
#: Part of the grace period that requests in hand may use.
GRACE_FRACTION = 0.93
#: Interval at which a stopping process looks for requests in hand, in seconds.
DRAIN_LOOK_S = 0.05
#: Time until a refused caller may come back, in seconds: searchers are back,
#: or another VM has the route, in about this time.
COME_BACK_S = 0.3
#: Time for a refused caller where the VM knows no configuration, in seconds.
NO_ROUTES_S = 0.5

Loop = following.Loop

_log = logs.get_logger(__name__)


class Gateway:
    """State of one process.

    Attributes:
        deployment: Settings.
        platform: Headers of callers and searchers.
        source: The platform's store.
        metrics: Of this process.
        latency: Histogram of requests.
        known: Searchers.
        calls: In flight.
        budget: Of repeats.
        lending: Of extra calls between VMs.
        placement: Of calls.
        split: Shares of routes with several services.
        exchange: Messages between VMs.
        sharing: Who follows the platform for whom.
        groups: Shards that other VMs call, and that this one calls for them.
        following: Configuration and registry.
        departing: Takes VMs that are gone from the platform's list.
        peers: What other VMs know.
        servers: Ports for callers, readiness, other VMs and metrics.
        counts: Answers by outcome.
        stopping_s: Loop time of SIGTERM; 0 before.
        reach: Whether this VM reaches the other failure domains.
        tasks: Background work.
    """

    def __init__(
        self,
        options: deployment.Deployment,
        platform: wire.Wire,
        source: directory.Directory,
        meters: metrics.Metrics,
    ) -> None:
        self.deployment = options
        self.metrics = meters
        self.latency = meters.histogram(
            "laurelrock_request_ms", "Latency of requests by outcome"
        )
        self.platform = platform
        self.source = source
        self.loop = asyncio.get_running_loop()
        self.known = upstreams.create_upstreams(options.failure_domain)
        self.calls = calls.create_calls(platform, self.known)
        self.budget = repeats.create_budget(options.repeats)
        self.split = routes.Split()
        row = row_of(options)
        me, port = vm_of(row), options.exchange_port
        self.exchange = frames.create_exchange(
            {**questions.KINDS, **sharing.KINDS, **lending.KINDS},
            self.take,
            self.link_ended,
        )
        self.lending = lending.create_lending(
            self.budget, self.exchange, me, port
        )
        self.placement = parts.Placement(
            self.calls, self.known, self.budget, self.lending.borrow
        )
        self.groups = groups.create_groups(
            *(self.placement, platform, self.exchange, me, port),
            queries.single,
        )
        self.following = following.Following(
            *(source, row, self.known, self.configured),
            *(self.take_vms, self.searchers_changed),
        )
        self.sharing = sharing.create_sharing(
            self.following, self.exchange, me, port, self.set_vms
        )
        self.departing = departing.create_departing(
            source, self.exchange, me, port
        )
        self.reach = reach.create_reach(
            self.known, self.groups, self.following, me
        )
        self.peers = peers.create_peers(
            *(self.following, options.peers, list(options.seeds)),
            self.count_vms,
        )
        self.servers: list[http_server.Server] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.stopping_s = 0.0
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return (
            self.following.table is not None
            and self.following.listed
            and not self.stopping_s
            and not self.reach.cut
        )

    def spawn(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Runs work in the background."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def keep_up(self, work: Loop) -> None:
        """Runs a loop in the background, and again where it fails."""
        self.spawn(following.keep_up(work))

    def configured(self, configuration: routes.Configuration) -> None:
        """Takes a new configuration's limits and searchers."""
        self.split.keep(configuration.routes)
        self.budget.forget(self.loop.time())
        if self.servers:
            self.servers[0].limits = configuration.limits
        self.place(configuration)
        self.sharing.configured(configuration)

    def searchers_changed(self, changes: list[registry.Change]) -> None:
        """Passes changes of the searchers on."""
        self.sharing.changed(changes)

    def take(self, link: frames.Link, message: typing.Any) -> None:
        """Takes a message of another VM."""
        if isinstance(message, questions.Look):
            self.reach.hint()
        elif isinstance(message, sharing.Follow | sharing.State):
            self.sharing.take(link, message)
        elif isinstance(message, lending.Borrow | lending.Lent):
            self.lending.take(link, message)
        else:
            if isinstance(message, questions.Pong):
                self.departing.heard(message.owner)
            self.groups.take(link, message)

    def link_ended(self, link: frames.Link) -> None:
        """Notes that a connection to another VM ended."""
        self.groups.link_ended(link)
        self.sharing.link_ended(link)

    def place(self, configuration: routes.Configuration) -> None:
        """Takes who calls which searchers, by the VMs and routes known."""
        self.groups.assignment.configure(configuration)
        self.groups.surveys.configure(
            {row.name for row in configuration.routes}
        )
        self.lending.set_groups(self.groups.assignment.groups)
        self.warm(configuration)

    def warm(self, configuration: routes.Configuration) -> None:
        """Opens connections to the searchers that this VM will call."""
        assigned = self.groups.assignment
        used = {
            name
            for route in configuration.routes
            if route.shards
            for name in assigned.owned(route)
        }
        used |= {
            part.service
            for route in configuration.routes
            for part in route.parts
            if not assigned.owners_of(part.service)
        }
        self.spawn(self.known.warm(sorted(used)))

    def count_vms(self, count: int, domains: int = 1) -> None:
        """Notes how many VMs share budgets and connections."""
        _log.info("vms-counted", count=count, before=self.known.vms)
        self.known.set_vms(count, domains)
        self.budget.set_vms(count)

    def take_vms(self, rows: list[directory.VmRow]) -> None:
        """Takes the list of VMs as the platform has it."""
        self.set_vms([vm_of(row) for row in rows])

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Takes the list of VMs."""
        self.following.note_listed(vm_of(self.following.me) in vms)
        if vms == self.groups.assignment.vms:
            return
        self.departing.set_vms(vms)
        self.groups.assignment.set_vms(vms)
        self.peers.addresses = [
            (vm.host, self.deployment.peers[1]) for vm in vms
        ]
        self.lending.set_vms(vms)
        self.count_vms(len(vms), len({vm.failure_domain for vm in vms}))
        self.sharing.set_vms(vms)
        if self.following.table is not None:
            self.place(self.following.table.configuration)

    def reload(self, options: deployment.Deployment) -> None:
        """Takes changed settings; addresses hold until the next start."""
        self.deployment = options
        self.budget.rule = options.repeats
        _log.info("reloaded", repeats=options.repeats, grace_s=options.grace_s)

    async def answer_readiness(
        self, request: http_server.Request
    ) -> http_server.Answer:
        """Answers the balancer."""
        return http_server.Answer(200 if self.ready else 503, [])

    async def answer_metrics(
        self, request: http_server.Request
    ) -> http_server.Answer:
        """Answers whoever reads the metrics."""
        if request.target.partition(b"?")[0] != METRICS_PATH:
            return http_server.Answer(404, [])
        kind = (b"content-type", b"text/plain; version=0.0.4")
        return http_server.Answer(200, [kind], self.metrics.export())

    async def answer(self, request: http_server.Request) -> http_server.Answer:
        """Answers a caller."""
        ticket = self.platform.read_ticket(request.headers)
        table = self.following.table
        if table is None or not self.following.listed:
            return self.refuse(ticket, 503, "no configuration", NO_ROUTES_S)
        host = http_wire.value_of(request.headers, b"host") or b""
        target = request.target.decode("latin-1")
        route = routes.find(table, host.decode("latin-1"), target)
        if route is None:
            return self.refuse(ticket, 404, f"no route for {host!r} {target}")
        work = self.create_work(request, ticket, route, table)
        try:
            outcome = await self.run_work(work)
        except asyncio.CancelledError:
            self.note(work, outcomes.Outcome("failed", 0, reason="caller left"))
            raise
        self.note(work, outcome)
        return self.encode(work, outcome)

    def create_work(
        self,
        request: http_server.Request,
        ticket: wire.Ticket,
        route: routes.Route,
        table: routes.Table,
    ) -> calls.Work:
        """Returns a request with what its calls need."""
        patience_s = route.timeout_s
        if ticket.patience_s is not None:
            patience_s = min(patience_s, ticket.patience_s)
        return calls.Work(
            request,
            ticket,
            route,
            table.configuration.version,
            self.platform.encode_head(request.headers, ticket),
            request.received_s + patience_s,
        )

    async def run_work(self, work: calls.Work) -> outcomes.Outcome:
        """Runs a request at its searchers."""
        if work.route.shards:
            return await queries.gather(
                work,
                self.placement,
                self.groups,
                self.deployment.link_bytes_per_s,
            )
        service = self.split.next(work.route)
        return await singles.run(work, service, self.placement, self.groups)

    def encode(
        self, work: calls.Work, outcome: outcomes.Outcome
    ) -> http_server.Answer:
        """Returns the answer to a caller."""
        if outcome.reply is not None:
            reply = outcome.reply
            headers = self.platform.passed_on(reply.headers)
            return http_server.Answer(reply.status, headers, reply.body)
        if outcome.status == 200:
            missing = outcome.shards - len(outcome.proofs)
            headers = self.platform.gathered(
                work.ticket, list(outcome.proofs), missing
            )
            body = gathering.greatest(outcome.bodies, work.route.top)
            return http_server.Answer(200, headers, body)
        headers = self.platform.refused(work.ticket)
        if outcome.status == 503:
            headers.append(come_back(outcome.retry_after_s or COME_BACK_S))
        return http_server.Answer(outcome.status, headers)

    def refuse(
        self, ticket: wire.Ticket, status: int, reason: str, back_s: float = 0
    ) -> http_server.Answer:
        """Refuses a request that no searcher was asked for."""
        self.counts[f"refused-{status}"] += 1
        _log.info(
            "request-refused",
            request=ticket.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            **self.beliefs(),
        )
        headers = self.platform.refused(ticket)
        if back_s:
            headers.append(come_back(back_s))
        return http_server.Answer(status, headers)

    def beliefs(self) -> dict[str, int | None]:
        """Returns what decisions rest on, and its age, for logs."""
        known = self.following
        age_s = self.loop.time() - known.taken_s
        return {
            "version": known.version,
            "configured_ms": round(age_s * 1000) if known.table else None,
            "searchers_age_ms": known.age_ms(),
        }

    def note(self, work: calls.Work, outcome: outcomes.Outcome) -> None:
        """Counts and logs the end of a request."""
        self.counts[outcome.kind] += 1
        elapsed_s = self.loop.time() - work.request.received_s
        self.latency.record(elapsed_s * 1000, {"outcome": outcome.kind})
        _log.info(
            "request",
            request=work.ticket.request_id.decode("latin-1"),
            route=work.route.name,
            outcome=outcome.kind,
            status=outcome.status,
            ms=round(elapsed_s * 1000, 1),
            before_ms=round(
                (work.request.received_s - work.request.asked_s) * 1000, 1
            ),
            patience_ms=round((work.end_s - work.request.received_s) * 1000),
            shards=outcome.shards,
            included=len(outcome.proofs),
            missing=outcome.missing[:MAX_LOGGED],
            attempts=outcome.attempts,
            reason=outcome.reason,
            **{**self.beliefs(), "version": work.version},
        )

    def in_hand(self) -> int:
        """Returns the connections of callers, and groups for other VMs."""
        return len(self.servers[0].connections) + len(self.groups.serving)

    async def stop(self) -> None:
        """Ends the process without cutting a request."""
        self.stopping_s = begun_s = self.loop.time()
        self.groups.stopping = True
        _log.info("stopping", in_hand=self.servers[0].busy)
        for server in self.servers:
            server.closing = True
        end_s = begun_s + self.deployment.grace_s * GRACE_FRACTION
        await asyncio.sleep(NOTICE_S)
        self.servers[0].stop_listening()
        self.servers[0].close_idle()
        while self.in_hand() and self.loop.time() < end_s:
            await asyncio.sleep(DRAIN_LOOK_S)
            self.servers[0].close_idle()
        _log.info(
            "stopped",
            in_hand=self.servers[0].busy,
            after_ms=round((self.loop.time() - begun_s) * 1000),
        )


def row_of(options: deployment.Deployment) -> directory.VmRow:
    """Returns this VM's row in the list."""
    return directory.VmRow(
        vm=options.vm,
        failure_domain=options.failure_domain,
        address=":".join(map(str, options.peers)),
        cores=options.cores,
    )


def vm_of(row: directory.VmRow) -> owners.Vm:
    """Returns a VM from its row in the list."""
    host = row["address"].rpartition(":")[0]
    return owners.Vm(row["vm"], row["failure_domain"], host, row["cores"])


def come_back(seconds: float) -> tuple[bytes, bytes]:
    """Returns the header with the time until a caller may come back.

    The time is spread, so that callers refused together don't return
    together.
    """
    spread_s = seconds * (0.75 + random.random() / 2)
    return b"retry-after", b"%.2f" % spread_s
