"""The gateway: the process that serves the callers of one VM."""

import asyncio
import collections
import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import http_server
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.adapters import metrics
from laurelrock.core import client_limits
from laurelrock.core import homes
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import retry_budget
from laurelrock.core import routes
from laurelrock.core import tenancy
from laurelrock.gateways import caller_answers
from laurelrock.gateways import calls
from laurelrock.gateways import crash_watch
from laurelrock.gateways import deployment
from laurelrock.gateways import group_messages
from laurelrock.gateways import health_checks
from laurelrock.gateways import isolation_detector
from laurelrock.gateways import lending
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import outcomes
from laurelrock.gateways import partition_detector
from laurelrock.gateways import parts
from laurelrock.gateways import peer_messages
from laurelrock.gateways import peers
from laurelrock.gateways import planned_stop
from laurelrock.gateways import platform_follower
from laurelrock.gateways import queries
from laurelrock.gateways import searcher_connections
from laurelrock.gateways import searcher_limits
from laurelrock.gateways import shard_groups
from laurelrock.gateways import single_requests
from laurelrock.gateways import state_sharing
from laurelrock.gateways import trials
from laurelrock.gateways import upstreams
from laurelrock.gateways import vm_removal
from laurelrock.gateways.places import cold_searchers
from laurelrock.gateways.workspaces import cap_sharing
from laurelrock.gateways.workspaces import keys
from laurelrock.ports import directory
from laurelrock.ports import header_codec

__all__ = ["Gateway"]

#: Path of the metrics.
METRICS_PATH = b"/metrics"
#: Time in seconds for which a stopping process still accepts connections: the
#: balancer checks once a second and needs two failed checks.
SHUTDOWN_NOTICE_S = 2.6
#: Interval in seconds at which a stopping process checks for requests in
#: progress.
DRAIN_CHECK_INTERVAL_S = 0.05
#: Fraction of the process's memory for responses that are being received. A
#: gateway takes about a tenth of the smallest VM's memory without them.
REPLY_MEMORY_FRACTION = 0.0625

BackgroundLoop = platform_follower.BackgroundLoop

_log = logs.get_logger(__name__)


class Gateway:
    """State of one gateway process.

    Attributes:
        deployment: The settings.
        platform: Encodes and decodes the headers of callers and searchers.
        source: The platform's store.
        metrics: The metrics of this process.
        known: The searchers.
        calls: The calls in flight.
        budget: The budget of extra calls.
        lending: Requests for extra calls between VMs.
        placement: Chooses searchers and calls them.
        service_split: Chooses a service for routes with several.
        peer_links: The links to other VMs.
        sharing: The subscriptions by which VMs share the platform's state.
        groups: The shard groups that other VMs call for this one, and that it
            calls for them.
        limit_sharing: The shares of the limits that searchers named.
        cap_sharing: The caps of workspaces over all VMs.
        cold_searchers: The searchers that are cold.
        follower: The configuration and the registry of searchers.
        crash_watch: The requests that crash searchers.
        vm_removal: Removes VMs that are gone from the platform's list.
        partition_detector: Detects whether this VM reaches the other failure
            domains.
        isolation_detector: Detects whether this VM has lost all searchers.
        peers: Queries to other VMs for their state.
        handlers: The handlers of messages from other VMs, by type.
        client_memory: The memory that is held for callers and other clients.
        servers: The servers for callers, readiness, other VMs and metrics.
        answers: Encodes the answers to callers, counts and logs them.
        counts: The number of answers by outcome.
        workspace_counts: The number of requests by workspace.
        planned_stop: The planned end of the process.
        tasks: The background tasks.
    """

    def __init__(
        self,
        options: deployment.Deployment,
        platform: header_codec.HeaderCodec,
        source: directory.Directory,
        meters: metrics.Metrics,
    ) -> None:
        self.deployment = options
        self.metrics = meters
        self.platform = platform
        self.source = source
        self.loop = asyncio.get_running_loop()
        self.known = upstreams.create_upstreams(
            options.failure_domain,
            int(options.memory_bytes * REPLY_MEMORY_FRACTION),
        )
        self.known.check_health = health_checks.responds
        self.known.weighs_domains = options.weighs_domains
        self.known.set_regions(deployment.regions_of(options))
        self.calls = calls.create_calls(platform, self.known)
        self.budget = retry_budget.create_budget(options.extra_call_policy)
        self.service_split = routes.WeightedSplit()
        row = deployment.create_vm_entry(options)
        me = deployment.create_vm(row)
        self.client_memory = client_limits.create_memory(options.memory_bytes)
        self.peer_links = frames.create_peer_links(
            *(peer_messages.KINDS, self.handle_message, self.link_ended),
            *(peer_messages.VERSIONS, self.client_memory),
        )
        messaging = (self.peer_links, me, options.peer_links_port)
        self.lending = lending.create_lending(self.budget, *messaging)
        self.placement = parts.CallPlacer(
            self.calls, self.known, self.budget, self.lending.borrow
        )
        self.placement.domains.price_per_mb = options.crossing_price_per_mb
        self.groups = shard_groups.create_shard_groups(
            self.placement, platform, *messaging, queries.run_single
        )
        self.limit_sharing = limit_sharing.create_limit_sharing(
            self.known, self.groups.assignment, *messaging
        )
        self.cap_sharing = cap_sharing.create_cap_sharing(
            *messaging, options.cap_policy
        )
        self.cold_searchers = cold_searchers.create_cold_searchers(
            *(self.known, self.calls, self.limit_sharing),
            options.warm_up_policy,
        )
        self.placement.prefer_warm = self.cold_searchers.prefer_warm
        self.follower = platform_follower.PlatformFollower(
            *(source, row, self.known, self.apply_configuration),
            *(self.apply_vm_entries, self.share_searchers),
            options.follows_evacuations,
        )
        self.follower.evacuations.on_change = self.apply_evacuations
        self.follower.evacuations.on_evacuation_ended = (
            self.cold_searchers.presume_cold
        )
        self.sharing = state_sharing.create_state_sharing(
            self.follower, *messaging, self.set_vms
        )
        self.crash_watch = crash_watch.create_crash_watch(
            self.known, *messaging, self.sharing.relay
        )
        self.placement.crash_guard = self.crash_watch
        self.vm_removal = vm_removal.create_vm_removal(source, *messaging)
        self.partition_detector = partition_detector.create_partition_detector(
            self.known, self.groups, self.follower, me
        )
        self.isolation_detector = isolation_detector.create_isolation_detector(
            self.calls
        )
        exchange = (self.follower, options.peers, list(options.seeds))
        self.peers = peers.create_peer_exchange(*exchange, self.set_vm_count)
        self.handlers = peer_messages.create_handlers(self.handlers_by_kinds())
        self.servers: list[http_server.Server] = []
        self.answers = caller_answers.create_caller_answers(
            platform, self.follower, meters
        )
        self.counts = self.answers.counts
        self.workspace_counts = self.answers.workspace_counts
        self.planned_stop = planned_stop.create_planned_stop()
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return (
            self.follower.table is not None
            and self.follower.searchers_read
            and self.follower.evacuations.known
            and not self.planned_stop.begun_s
            and not self.partition_detector.partitioned
            and not self.known.isolated
        )

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> None:
        """Runs a coroutine in the background."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def spawn_loop(self, run_loop: BackgroundLoop) -> None:
        """Runs a loop in the background and restarts it after a failure."""
        self.spawn(platform_follower.run_restarting(run_loop))

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Applies a new configuration's limits and searchers."""
        self.service_split.retain(configuration.routes)
        self.budget.drop_idle_services(self.loop.time())
        self.placement.return_times.drop_past(self.loop.time())
        if self.servers:
            self.servers[0].limits = configuration.limits
        self.apply_assignment(configuration)
        self.cap_sharing.configure(configuration)
        self.cold_searchers.configure(configuration)
        self.sharing.share_configuration(configuration)

    def apply_evacuations(self) -> None:
        """Shares changed evacuations, and connects to returned searchers."""
        self.sharing.share_evacuations()
        if self.follower.table is not None:
            self.open_connections(self.follower.table.configuration)

    def share_searchers(self, changes: list[registry.Change]) -> None:
        """Forwards changes of the searchers to subscribers."""
        self.sharing.share_changes(changes)

    def handlers_by_kinds(self) -> peer_messages.HandlersByKinds:
        """Returns the parts that handle messages from other VMs."""
        return peer_messages.HandlersByKinds(
            groups=self.groups.handle_message,
            partition_hints=self.partition_detector.record_hint,
            state=self.sharing.handle_message,
            lending=self.lending.handle_message,
            limits=self.limit_sharing.handle_message,
            crashes=self.crash_watch.handle_message,
            caps=self.cap_sharing.handle_message,
        )

    def handle_message(self, link: frames.Link, message: typing.Any) -> None:
        """Handles a message from another VM."""
        if isinstance(message, group_messages.Pong):
            self.vm_removal.record_reply(message.owner)
        self.handlers[type(message)](link, message)

    def link_ended(self, link: frames.Link) -> None:
        """Handles the end of a connection to another VM."""
        self.groups.link_ended(link)
        self.cap_sharing.link_ended(link)
        self.sharing.link_ended(link)

    def apply_assignment(self, configuration: routes.Configuration) -> None:
        """Assigns searchers to VMs according to the known VMs and routes."""
        self.groups.assignment.configure(configuration)
        names = {row.name for row in configuration.routes}
        self.groups.reachability.configure(names)
        self.groups.overload.retain(names)
        self.lending.set_groups(self.groups.assignment.groups)
        self.open_connections(configuration)

    def open_connections(self, configuration: routes.Configuration) -> None:
        """Opens connections to the searchers that this VM will call."""
        assigned = self.groups.assignment
        if not assigned.vms:
            # Without the list of VMs this VM seems to call all searchers.
            return
        used = {
            name
            for route in configuration.routes
            if route.shards
            for name in assigned.called_shards(route)
        }
        used |= {
            part.service
            for route in configuration.routes
            for part in route.weighted_services
            if not assigned.owners_to_ask(part.service)
        }
        self.spawn(searcher_connections.warm(self.known, sorted(used)))

    def set_vm_count(self, count: int, domains: int = 1) -> None:
        """Sets the number of VMs that share budgets and connections."""
        _log.info("vm-count-set", count=count, before=self.known.vms)
        self.known.set_vms(count, domains)
        searcher_limits.share_limits(self.known, self.loop.time())
        self.budget.set_vms(count)

    def apply_vm_entries(self, rows: list[directory.VmEntry]) -> None:
        """Sets the list of VMs from the platform's entries."""
        self.set_vms([deployment.create_vm(row) for row in rows])

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs."""
        me = deployment.create_vm(self.follower.me)
        self.follower.record_listed(me in vms)
        if vms == self.groups.assignment.vms:
            return
        self.vm_removal.set_vms(vms)
        self.groups.assignment.set_vms(vms)
        self.peers.addresses = [
            (vm.host, self.deployment.peers[1]) for vm in vms
        ]
        self.lending.set_vms(vms)
        self.crash_watch.set_vms(vms)
        self.cap_sharing.set_vms(vms)
        self.set_vm_count(len(vms), len({vm.failure_domain for vm in vms}))
        self.sharing.set_vms(vms)
        if self.follower.table is not None:
            self.apply_assignment(self.follower.table.configuration)

    def reload(self, options: deployment.Deployment) -> None:
        """Applies changed settings; addresses apply from the next start."""
        self.deployment = options
        self.budget.policy = options.extra_call_policy
        self.known.set_regions(deployment.regions_of(options))
        self.groups.assignment.forbidden.clear()
        self.cold_searchers.policy = options.warm_up_policy
        self.placement.domains.price_per_mb = options.crossing_price_per_mb
        _log.info(
            "reloaded",
            retry_budget=options.extra_call_policy,
            grace_s=options.grace_s,
        )

    async def answer_readiness(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers the balancer's readiness check."""
        return http_server.Response(200 if self.ready else 503, [])

    async def answer_metrics(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a request for the metrics."""
        if request.target.partition(b"?")[0] != METRICS_PATH:
            return http_server.Response(404, [])
        kind = (b"content-type", b"text/plain; version=0.0.4")
        return http_server.Response(200, [kind], self.metrics.export())

    async def answer(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a caller."""
        caller_headers = self.platform.read_caller_headers(request.headers)
        table = self.follower.table
        if (
            table is None
            or not self.follower.searchers_read
            or not self.follower.evacuations.known
        ):
            return self.answers.refuse(
                caller_headers,
                503,
                "no configuration",
                caller_answers.UNCONFIGURED_RETRY_AFTER_S,
            )
        host = http_wire.header_value(request.headers, b"host") or b""
        target = request.target.decode("latin-1")
        route = routes.find_route(table, host.decode("latin-1"), target)
        if route is None:
            return self.answers.refuse(
                caller_headers, 404, f"no route for {host!r} {target}"
            )
        refusal = self.refuse_late(route, caller_headers)
        if refusal is not None:
            return refusal
        workspace = None
        if table.configuration.workspaces:
            workspace = keys.find_workspace(table, caller_headers.key)
            if workspace is None and not route.public:
                return self.answers.refuse_key(caller_headers)
            if workspace is not None:
                self.workspace_counts.record(workspace.name)
            if workspace is not None and workspace.requests_per_s:
                admission = await self.cap_sharing.admit(
                    workspace, self.loop.time()
                )
                if not admission.granted:
                    return self.answers.refuse_cap(
                        caller_headers, workspace, admission
                    )
            name = workspace.name if workspace else ""
            request = request._replace(
                headers=self.platform.replace_key(request.headers, name)
            )
            caller_headers = caller_headers._replace(key=None)
        context = self.create_context(
            request, caller_headers, route, table, workspace
        )
        try:
            outcome = await self.planned_stop.run(self.run_request(context))
        except asyncio.CancelledError:
            self.answers.record_outcome(
                context, outcomes.Outcome("failed", 0, reason="caller left")
            )
            raise
        self.answers.record_outcome(context, outcome)
        return self.answers.encode(context, outcome)

    def refuse_late(
        self, route: routes.Route, caller_headers: header_codec.CallerHeaders
    ) -> http_server.Response | None:
        """Returns the refusal of a request that may outlast the process."""
        if not self.planned_stop.begun_s or not self.planned_stop.is_too_late(
            route,
            routes.time_limit_s(route, caller_headers.time_left_s),
            self.known.typical_latencies[route.name],
        ):
            return None
        return self.answers.refuse(
            *(caller_headers, 503, "the VM stops before it would end"),
            caller_answers.STOPPING_RETRY_AFTER_S,
        )

    def create_context(
        self,
        request: http_server.Request,
        caller_headers: header_codec.CallerHeaders,
        route: routes.Route,
        table: routes.RouteTable,
        workspace: tenancy.Workspace | None,
    ) -> calls.RequestContext:
        """Returns a request together with what its calls need."""
        name = ""
        if workspace is not None:
            name = workspace.name
            regions = homes.combine(route.regions, workspace.regions)
            route = route._replace(regions=regions)
            if workspace.priority is not None:
                route = route._replace(priority=workspace.priority)
        return calls.RequestContext(
            request,
            caller_headers,
            route,
            table.configuration.version,
            self.platform.encode_common_headers(
                request.headers, caller_headers
            ),
            request.received_s
            + routes.time_limit_s(route, caller_headers.time_left_s),
            calls.fingerprint_of(request, name),
            trials.create_trial(),
            name,
        )

    async def run_request(
        self, context: calls.RequestContext
    ) -> outcomes.Outcome:
        """Runs a request at its searchers."""
        if context.route.shards:
            return await queries.run_query(
                context,
                self.placement,
                self.groups,
                self.deployment.link_bytes_per_s,
            )
        service = self.service_split.next_service(context.route)
        return await single_requests.run(
            context, service, self.placement, self.groups
        )

    def count_active(self) -> int:
        """Returns the number of callers' connections and other VMs' groups."""
        return len(self.servers[0].connections) + len(self.groups.owned.serving)

    async def stop(self) -> None:
        """Stops the process without interrupting requests."""
        self.planned_stop.begin(self.deployment.grace_s)
        begun_s, end_s = self.planned_stop.begun_s, self.planned_stop.end_s
        self.groups.owned.stopping = True
        self.cap_sharing.lending.leave(self.cap_sharing.clock())
        _log.info("stopping", in_hand=self.servers[0].busy)
        for server in self.servers:
            server.closing = True
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
