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
MAX_LOGGED_MISSING = 8
METRICS_PATH = b"/metrics"
#: Time for which a process that stops takes new connections, in seconds: the
#: balancer asks once a second and needs two misses.
SHUTDOWN_NOTICE_S = 2.6
#: Part of the grace period that requests in hand may use.
GRACE_FRACTION = 0.93
#: Interval at which a stopping process looks for requests in hand, in seconds.
DRAIN_CHECK_INTERVAL_S = 0.05
#: Time until a refused caller may come back, in seconds: searchers are back,
#: or another VM has the route, in about this time.
RETRY_AFTER_S = 0.3
#: Time for a refused caller where the VM knows no configuration, in seconds.
UNCONFIGURED_RETRY_AFTER_S = 0.5

Loop = following.BackgroundLoop

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
        row = create_vm_row(options)
        me, port = create_vm(row), options.exchange_port
        self.exchange = frames.create_exchange(
            {**questions.KINDS, **sharing.KINDS, **lending.KINDS},
            self.handle_message,
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
        self.following = following.PlatformFollower(
            *(source, row, self.known, self.apply_configuration),
            *(self.apply_vm_rows, self.share_searchers),
        )
        self.sharing = sharing.create_state_sharing(
            self.following, self.exchange, me, port, self.set_vms
        )
        self.departing = departing.create_vm_removal(
            source, self.exchange, me, port
        )
        self.isolation = reach.create_isolation_detector(
            self.known, self.groups, self.following, me
        )
        self.peers = peers.create_peer_exchange(
            *(self.following, options.peers, list(options.seeds)),
            self.set_vm_count,
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
            and self.following.searchers_read
            and not self.stopping_s
            and not self.isolation.cut
        )

    def spawn(
        self,
        work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Runs work in the background."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def spawn_loop(self, work: Loop) -> None:
        """Runs a loop in the background, and again where it fails."""
        self.spawn(following.run_restarting(work))

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Takes a new configuration's limits and searchers."""
        self.split.keep(configuration.routes)
        self.budget.forget(self.loop.time())
        if self.servers:
            self.servers[0].limits = configuration.limits
        self.apply_assignment(configuration)
        self.sharing.share_configuration(configuration)

    def share_searchers(self, changes: list[registry.Change]) -> None:
        """Passes changes of the searchers on."""
        self.sharing.share_changes(changes)

    def handle_message(self, link: frames.Link, message: typing.Any) -> None:
        """Takes a message of another VM."""
        if isinstance(message, questions.IsolationHint):
            self.isolation.note_hint()
        elif isinstance(message, sharing.Subscribe | sharing.StateUpdate):
            self.sharing.handle_message(link, message)
        elif isinstance(message, lending.Borrow | lending.Lent):
            self.lending.take(link, message)
        else:
            if isinstance(message, questions.Pong):
                self.departing.note_reply(message.owner)
            self.groups.take(link, message)

    def link_ended(self, link: frames.Link) -> None:
        """Notes that a connection to another VM ended."""
        self.groups.link_ended(link)
        self.sharing.link_ended(link)

    def apply_assignment(self, configuration: routes.Configuration) -> None:
        """Takes who calls which searchers, by the VMs and routes known."""
        self.groups.assignment.configure(configuration)
        self.groups.reachability.configure(
            {row.name for row in configuration.routes}
        )
        self.lending.set_groups(self.groups.assignment.groups)
        self.open_connections(configuration)

    def open_connections(self, configuration: routes.Configuration) -> None:
        """Opens connections to the searchers that this VM will call."""
        assigned = self.groups.assignment
        used = {
            name
            for route in configuration.routes
            if route.shards
            for name in assigned.called_shards(route)
        }
        used |= {
            part.service
            for route in configuration.routes
            for part in route.parts
            if not assigned.owners_to_ask(part.service)
        }
        self.spawn(self.known.warm(sorted(used)))

    def set_vm_count(self, count: int, domains: int = 1) -> None:
        """Notes how many VMs share budgets and connections."""
        _log.info("vms-counted", count=count, before=self.known.vms)
        self.known.set_vms(count, domains)
        self.budget.set_vms(count)

    def apply_vm_rows(self, rows: list[directory.VmRow]) -> None:
        """Takes the list of VMs as the platform has it."""
        self.set_vms([create_vm(row) for row in rows])

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Takes the list of VMs."""
        self.following.note_listed(create_vm(self.following.me) in vms)
        if vms == self.groups.assignment.vms:
            return
        self.departing.set_vms(vms)
        self.groups.assignment.set_vms(vms)
        self.peers.addresses = [
            (vm.host, self.deployment.peers[1]) for vm in vms
        ]
        self.lending.set_vms(vms)
        self.set_vm_count(len(vms), len({vm.failure_domain for vm in vms}))
        self.sharing.set_vms(vms)
        if self.following.table is not None:
            self.apply_assignment(self.following.table.configuration)

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
        if table is None or not self.following.searchers_read:
            return self.refuse(
                ticket, 503, "no configuration", UNCONFIGURED_RETRY_AFTER_S
            )
        host = http_wire.value_of(request.headers, b"host") or b""
        target = request.target.decode("latin-1")
        route = routes.find(table, host.decode("latin-1"), target)
        if route is None:
            return self.refuse(ticket, 404, f"no route for {host!r} {target}")
        work = self.create_work(request, ticket, route, table)
        try:
            outcome = await self.run_work(work)
        except asyncio.CancelledError:
            self.record_outcome(
                work, outcomes.Outcome("failed", 0, reason="caller left")
            )
            raise
        self.record_outcome(work, outcome)
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
            headers.append(
                retry_after_header(outcome.retry_after_s or RETRY_AFTER_S)
            )
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
            **self.decision_inputs(),
        )
        headers = self.platform.refused(ticket)
        if back_s:
            headers.append(retry_after_header(back_s))
        return http_server.Answer(status, headers)

    def decision_inputs(self) -> dict[str, int | None]:
        """Returns what decisions rest on, and its age, for logs."""
        known = self.following
        age_s = self.loop.time() - known.applied_s
        return {
            "version": known.version,
            "configured_ms": round(age_s * 1000) if known.table else None,
            "searchers_age_ms": known.age_ms(),
        }

    def record_outcome(
        self, work: calls.Work, outcome: outcomes.Outcome
    ) -> None:
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
            missing=outcome.missing[:MAX_LOGGED_MISSING],
            attempts=outcome.attempts,
            reason=outcome.reason,
            **{**self.decision_inputs(), "version": work.version},
        )

    def count_active(self) -> int:
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
        await asyncio.sleep(SHUTDOWN_NOTICE_S)
        self.servers[0].stop_listening()
        self.servers[0].close_idle()
        while self.count_active() and self.loop.time() < end_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            self.servers[0].close_idle()
        _log.info(
            "stopped",
            in_hand=self.servers[0].busy,
            after_ms=round((self.loop.time() - begun_s) * 1000),
        )


def create_vm_row(options: deployment.Deployment) -> directory.VmRow:
    """Returns this VM's row in the list."""
    return directory.VmRow(
        vm=options.vm,
        failure_domain=options.failure_domain,
        address=":".join(map(str, options.peers)),
        cores=options.cores,
    )


def create_vm(row: directory.VmRow) -> owners.Vm:
    """Returns a VM from its row in the list."""
    host = row["address"].rpartition(":")[0]
    return owners.Vm(row["vm"], row["failure_domain"], host, row["cores"])


def retry_after_header(seconds: float) -> tuple[bytes, bytes]:
    """Returns the header with the time until a caller may come back.

    The time is spread, so that callers refused together don't return
    together.
    """
    spread_s = seconds * (0.75 + random.random() / 2)
    return b"retry-after", b"%.2f" % spread_s
