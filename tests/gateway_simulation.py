"""Simulates gateways in virtual time with scripted searchers and connections.

All gateway code above the sockets is real: calls, parts, placement, queries
and groups. The clients of searchers and the links between VMs are replaced by
fakes, which record the calls that searchers receive.
"""

import asyncio
import collections
import collections.abc
import itertools
import math
import typing
import unittest.mock

import msgspec

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_server
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.core import retry_budget
from laurelrock.core import routes
from laurelrock.core import warm_up
from laurelrock.gateways import calls
from laurelrock.gateways import crash_watch
from laurelrock.gateways import isolation_detector
from laurelrock.gateways import lending
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import outcomes
from laurelrock.gateways import parts
from laurelrock.gateways import queries
from laurelrock.gateways import shard_groups
from laurelrock.gateways import single_requests
from laurelrock.gateways import trials
from laurelrock.gateways import upstreams
from laurelrock.gateways.places import cold_searchers
from laurelrock.platform import header_codec as platform_wire
from laurelrock.ports import header_codec
from tests import gateway_builders as build

#: Port on which every VM listens for links from other VMs.
PORT = 7000
#: Kinds of outcome of a call to a searcher. A call of kind `unsent` fails
#: before it is written; one of kind `lost` is written but never read; one of
#: kind `leaving` is answered by a searcher that says that it leaves, and one of
#: kind `pausing` refused by one that wants no calls for `PAUSE_S`; one of
#: kind `silent` runs but gets no response; the response to one of kind
#: `unstamped` has no X-Server-Stamp header; one of kind `queued` first waits
#: for a connection.
OUTCOME_KINDS = (
    *("answer", "error", "full", "unsent", "broken"),
    *("lost", "silent", "unstamped", "queued", "leaving", "pausing"),
)
#: Time in seconds for which a pausing searcher wants no calls.
PAUSE_S = 0.5
#: Time in seconds after which the platform removes a searcher that crashed, and
#: after which the searcher is back.
NOTICE_S, RESTART_S = 1.0, 3.0
#: Path of the searchers' health, which gets a response if the VM reaches them.
HEALTH_PATH = b"/healthz"
#: How a VM loses all searchers: packets vanish; connections are reset and new
#: ones refused; or open connections live on while new ones are refused.
CUT_KINDS = ("hang", "reset", "refuse")
#: Kind of a cut in which requests still arrive, but get no responses. It looks
#: the same to a VM if all searchers stand still.
STANDSTILL = "standstill"
#: Time in seconds after which a connection that can't be opened is given up.
CONNECT_TIMEOUT_S = 0.4
#: Kinds of outcome where the searcher runs the request.
EXECUTED_KINDS = frozenset(
    {"answer", "error", "broken", "silent", "unstamped", "leaving"}
)


class ScriptedCall(typing.NamedTuple):
    """Scripted outcome of one call to a searcher.

    Attributes:
        kind: One of `OUTCOME_KINDS`.
        delay_s: Delay of the outcome, in seconds.
    """

    kind: str
    delay_s: float


class ReceivedCall(typing.NamedTuple):
    """Call as a searcher received it.

    Attributes:
        request_id: Value of its X-Request-Id header.
        service: Service of the searcher.
        searcher: Id of the searcher.
        client: Client that sent the call.
        received_s: Virtual time of the call, in seconds.
        ran: Whether the searcher runs the request.
        stamp: Value of X-Server-Stamp in the response.
        body: Body of the response, unique for each call.
    """

    request_id: bytes
    service: str
    searcher: str
    client: "Client"
    received_s: float
    ran: bool
    stamp: bytes
    body: bytes


class StateChange(typing.NamedTuple):
    """Change of a searcher's state.

    Attributes:
        searcher: Id of the searcher.
        state: New state; None if the searcher was removed.
        changed_s: Virtual time of the change, in seconds.
        prior_call_count: Number of calls that had arrived before the change.
    """

    searcher: str
    state: str | None
    changed_s: float
    prior_call_count: int


class Restriction(typing.NamedTuple):
    """Time in which a searcher wants no calls from one VM.

    Attributes:
        client: Client of the VM, one for each start of a searcher.
        begun_s: Virtual time at which the searcher said so, in seconds.
        ended_s: Virtual time at which it ends, in seconds.
    """

    client: "Client"
    begun_s: float
    ended_s: float


class Call:
    """Fake of `http_client.Call`."""

    def __init__(self, future: asyncio.Future[http_client.Reply]) -> None:
        self.future = future
        self.sent = False
        self.sent_at_s = 0.0
        self.accept: http_client.ReplyCheck = lambda status, headers: True

    def abort(self) -> None:
        self.future.cancel()


class Client:
    """Fake of `http_client.Client`: one searcher of a simulation.

    It has one connection, which carries any number of calls.

    Attributes:
        host: IP address of the VM that calls the searcher.
        connected: Whether the connection is open.
    """

    def __init__(
        self, simulation: "Simulation", service: str, searcher: str
    ) -> None:
        self.simulation = simulation
        self.service = service
        self.searcher = searcher
        self.host = ""
        self.connected = False
        self.limit = 2
        self.idle: list[object] = []
        self.connections: set[object] = set()
        self.opened = 0
        self.waiting_calls: list[Call] = []
        self.calls_in_flight: set[Call] = set()

    def reject_waiting_calls(self, reason: str) -> None:
        for call in self.waiting_calls:
            if not call.future.done() and not call.sent:
                call.future.set_exception(errors.NoMoreWorkError(reason))
        self.waiting_calls.clear()

    def set_limit(self, limit: int) -> None:
        self.limit = limit

    def close(self) -> None:
        """Does nothing: calls in flight continue."""

    def drop_idle(self) -> None:
        """Does nothing: there are no idle connections."""

    @property
    def cut(self) -> str:
        """How the VM is cut from the searchers, one of `CUT_KINDS`, or ""."""
        return self.simulation.cuts.get(self.host, "")

    def begin_cut(self) -> None:
        """Ends the calls in flight if the cut resets the connection."""
        if self.cut == "reset":
            self.connected = False
            for call in list(self.calls_in_flight):
                if not call.future.done():
                    call.future.set_exception(errors.CallBrokenError("reset"))

    async def try_connect(self) -> OSError | TimeoutError | None:
        if self.cut in ("hang", STANDSTILL):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return TimeoutError()
        await asyncio.sleep(0.001)
        if self.cut or self.searcher in self.simulation.down:
            return ConnectionRefusedError()
        self.connected = True
        return None

    def call(self, encode, accept, bodiless=False, describe=None) -> Call:
        loop = asyncio.get_running_loop()
        call = Call(loop.create_future())
        call.accept = accept
        if self.searcher in self.simulation.down:
            loop.call_later(0.001, self.fail, call)
            return call
        if self.cut and not self.connected:
            delay_s = CONNECT_TIMEOUT_S if self.cut == "hang" else 0.001
            loop.call_later(delay_s, self.fail, call)
            return call
        if self.cut == "hang":
            # The call is written to a connection that is never used again.
            call.sent, call.sent_at_s = True, loop.time()
            self.connected = False
            return call
        self.connected = True
        if self.cut == STANDSTILL:
            if target_of(encode()) != HEALTH_PATH:
                self.send(call, encode, "silent")
            return call
        if target_of(encode()) == HEALTH_PATH:
            left_s = self.simulation.warm_up_left_s(self.searcher)
            self.simulation.health_calls.append((self.searcher, loop.time()))
            header = (b"x-warmup-remaining-ms", b"%d" % (left_s * 1000))
            reply = http_client.Reply(200, [header], b"")
            loop.call_later(0.001, settle, call.future, reply)
            return call
        behaviour = next(self.simulation.behaviours)
        if behaviour.kind == "unsent":
            loop.call_later(behaviour.delay_s, self.fail, call)
        elif behaviour.kind == "queued":
            self.waiting_calls.append(call)
            loop.call_later(
                behaviour.delay_s, self.send, call, encode, "answer"
            )
        else:
            self.send(call, encode, behaviour.kind, behaviour.delay_s)
        return call

    def fail(self, call: Call) -> None:
        if not call.future.done():
            call.future.set_exception(errors.ConnectError("no route"))

    def send(self, call: Call, encode, kind: str, delay_s: float = 0.02):
        """Writes a call, unless it has been aborted."""
        if call.future.done():
            return
        loop = asyncio.get_running_loop()
        call.sent = True
        call.sent_at_s = loop.time()
        number = next(self.simulation.call_numbers)
        stamp = b"proof-%d" % number
        body = number.to_bytes(16, "big")
        raw = encode()
        request_id = request_id_of(raw)
        self.simulation.received_calls.append(
            ReceivedCall(
                *(request_id, self.service, self.searcher, self, loop.time()),
                *(kind in EXECUTED_KINDS, stamp, body),
            )
        )
        simulation = self.simulation
        self.calls_in_flight.add(call)
        call.future.add_done_callback(
            lambda _: self.calls_in_flight.discard(call)
        )
        simulation.running[self.searcher].add(call)
        call.future.add_done_callback(
            lambda _: simulation.running[self.searcher].discard(call)
        )
        if target_of(raw) in simulation.crashing:
            loop.call_later(delay_s, simulation.crash, self.searcher)
        elif kind not in ("silent", "lost"):
            loop.call_later(
                delay_s, self.respond, call, kind, request_id, stamp, body
            )

    def respond(self, call: Call, kind, request_id, stamp, body) -> None:
        if call.future.done() or self.cut in ("hang", STANDSTILL):
            return
        if kind == "broken":
            call.future.set_exception(errors.CallBrokenError("reset"))
            return
        status = {"error": 500, "full": 503, "pausing": 503}.get(kind, 200)
        headers = [(b"x-request-id", request_id)]
        now_s = asyncio.get_running_loop().time()
        if kind in ("leaving", "pausing"):
            length_s = PAUSE_S if kind == "pausing" else math.inf
            self.simulation.restrictions.append(
                Restriction(self, now_s, now_s + length_s)
            )
        if kind == "leaving":
            headers.append((b"server-leaving", b"1"))
        if kind == "pausing":
            headers.append((b"retry-after", b"%.3f" % PAUSE_S))
        limit = self.simulation.limits.get(self.searcher)
        if limit is not None:
            headers.append((b"server-limit", b"%.2f" % limit))
        if kind in ("full", "pausing"):
            headers.append((b"x-not-executed", b"1"))
        elif kind != "unstamped":
            headers.append((b"x-server-stamp", stamp))
        assert call.accept(status, headers)
        call.future.set_result(http_client.Reply(status, headers, body))


class FakeLink:
    """One end of a connection between two VMs; messages keep their order."""

    def __init__(
        self,
        simulation: "Simulation",
        node: "GatewayNode",
        remote_node: "GatewayNode",
    ) -> None:
        self.simulation = simulation
        self.node = node
        self.remote_node = remote_node
        self.reverse: FakeLink = self
        self.ended = False
        self.arrival_s = 0.0

    def send(self, message: typing.Any) -> None:
        if self.ended or self.remote_node.me.host in self.node.unreachable:
            return
        loop = asyncio.get_running_loop()
        size = len(msgspec.msgpack.encode(message))
        self.simulation.sent_bytes[self.node.me.name] += size
        delay_s = next(self.simulation.delays)
        self.arrival_s = max(self.arrival_s, loop.time() + delay_s)
        loop.call_at(self.arrival_s, self.deliver, message)

    def send_whole(self, message: typing.Any) -> None:
        self.send(message)

    def deliver(self, message: typing.Any) -> None:
        if not self.ended and not self.remote_node.drops_messages:
            self.remote_node.handle_message(self.reverse, message)

    def cut(self) -> None:
        """Closes both ends; messages in transit are lost."""
        for end in (self, self.reverse):
            if not end.ended:
                end.ended = True
                end.node.links.pop(end.remote_node.me.host, None)
                end.node.groups.link_ended(end)


class GatewayNode:
    """One simulated gateway; also a fake of its `frames.PeerLinks`."""

    def __init__(
        self, simulation: "Simulation", me: owners.Vm, vms: int
    ) -> None:
        self.simulation = simulation
        self.me = me
        self.known = upstreams.create_upstreams(me.failure_domain)
        self.calls = calls.create_calls(platform_wire, self.known)
        self.budget = retry_budget.create_budget(simulation.policy)
        self.budget.set_vms(vms)
        self.lending = lending.create_lending(self.budget, self, me, PORT)
        self.placement = parts.CallPlacer(
            self.calls, self.known, self.budget, self.lending.borrow
        )
        self.groups = shard_groups.create_shard_groups(
            self.placement, platform_wire, self, me, PORT, queries.run_single
        )
        self.limit_sharing = limit_sharing.create_limit_sharing(
            self.known, self.groups.assignment, self, me, PORT
        )
        self.cold_searchers = cold_searchers.create_cold_searchers(
            *(self.known, self.calls, self.limit_sharing),
            warm_up.WarmUpPolicy(),
        )
        self.cold_searchers.configure(simulation.configuration)
        self.placement.prefer_warm = self.cold_searchers.prefer_warm
        self.isolation_detector = isolation_detector.create_isolation_detector(
            self.calls
        )
        self.crash_watch = crash_watch.create_crash_watch(
            *(self.known, self, me, PORT), self.relay
        )
        self.placement.crash_guard = self.crash_watch
        #: Links of the VMs that subscribe to it.
        self.subscribers: list[FakeLink] = []
        self.links: dict[str, FakeLink] = {}
        #: Hosts to which its messages are lost.
        self.unreachable: set[str] = set()
        #: Whether messages to it are lost while its connections stay open.
        self.drops_messages = False

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs, as `gateway.Gateway.set_vms` does."""
        configuration = self.simulation.configuration
        self.groups.assignment.set_vms(vms)
        self.known.set_vms(len(vms), len({vm.failure_domain for vm in vms}))
        self.lending.set_vms(vms)
        self.groups.assignment.configure(configuration)
        self.lending.set_groups(self.groups.assignment.groups)
        self.crash_watch.set_vms(vms)

    def relay(self, message: typing.Any) -> None:
        """Sends a message to the VMs that subscribe to this one."""
        for link in self.subscribers:
            link.send(message)

    def handle_message(self, link: FakeLink, message: typing.Any) -> None:
        """Handles a message from another VM."""
        if isinstance(message, lending.BorrowRequest | lending.BorrowReply):
            self.lending.handle_message(link, message)
        elif isinstance(
            message, limit_sharing.LimitReport | limit_sharing.LimitShares
        ):
            self.limit_sharing.handle_message(link, message)
        elif isinstance(message, tuple(crash_watch.KINDS.values())):
            self.crash_watch.handle_message(link, message)
        else:
            self.groups.handle_message(link, message)

    def link(self, address: tuple[str, int]) -> FakeLink:
        """Returns the connection to another VM, or opens one.

        Stands in for the method of `frames.PeerLinks`.
        """
        host = address[0]
        if host not in self.links:
            remote_node = self.simulation.nodes_by_host[host]
            one = FakeLink(self.simulation, self, remote_node)
            one.reverse = FakeLink(self.simulation, remote_node, self)
            one.reverse.reverse = one
            self.links[host] = one
        return self.links[host]

    async def run(
        self,
        route: routes.Route,
        request_id: bytes,
        timeout_s: float,
        target: bytes = b"/x",
        workspace: str = "",
    ) -> outcomes.Outcome:
        """Runs one request of a caller and returns its outcome."""
        loop = asyncio.get_running_loop()
        headers = [(b"x-request-id", request_id)]
        now_s = loop.time()
        request = http_server.Request(
            b"GET", target, headers, b"", now_s, now_s, 0.0
        )
        caller_headers = header_codec.CallerHeaders(request_id, timeout_s)
        context = calls.RequestContext(
            *(request, caller_headers, route, 1),
            platform_wire.encode_common_headers(headers, caller_headers),
            loop.time() + min(timeout_s, route.timeout_s),
            calls.fingerprint_of(request),
            trials.create_trial(),
            workspace,
        )
        if route.shards:
            return await queries.run_query(
                context, self.placement, self.groups, 125e6
            )
        service = route.weighted_services[0].service
        return await single_requests.run(
            context, service, self.placement, self.groups
        )


class Simulation:
    """Simulated gateways and searchers, with the calls searchers received.

    Attributes:
        configuration: Configuration of all gateways.
        behaviours: Outcomes of calls, in the order of the calls,
            repeated without end.
        queued: Outcomes of the calls that first wait for a connection.
        delays: Delays of messages between VMs in seconds, repeated
            without end.
        policy: Limits of retries and hedges.
        call_numbers: Numbers that make the responses unique.
        client_class: Class of the fake clients of searchers.
        received_calls: Calls that searchers received, in order.
        restrictions: Times in which searchers wanted no calls, in order.
        crashing: Targets of requests that crash each searcher that runs them.
        down: Searchers that crashed and are not back yet.
        crashes: Searchers that crashed, with the times in seconds, in order.
        running: Calls that searchers run, by searcher.
        limits: Requests per second that searchers name as their limit, by
            searcher.
        failure_domains: Failure domains of searchers that aren't in "a".
        cold_until_s: Times in seconds until which searchers are cold.
        health_calls: Searchers whose health was requested, and the times.
        cuts: How VMs are cut from all searchers, by IP address; see
            `CUT_KINDS`.
        state_changes: Changes of searchers' states, in order.
        sent_bytes: Bytes of the messages that VMs sent, by VM.
        tasks: Coroutines that run in the background.
        nodes: Gateways, in the order in which they were added.
        nodes_by_host: Gateways by IP address.
    """

    def __init__(
        self,
        configuration: routes.Configuration,
        behaviours: typing.Sequence[ScriptedCall],
        delays: typing.Sequence[float] = (0.001,),
        policy: retry_budget.Policy = retry_budget.Policy(0.2, 10, 10),  # noqa: B008
    ) -> None:
        self.configuration = configuration
        self.behaviours = itertools.cycle(behaviours)
        self.queued = [row for row in behaviours if row.kind == "queued"]
        self.delays = itertools.cycle(delays)
        self.policy = policy
        self.call_numbers = itertools.count(1)
        self.client_class = Client
        self.received_calls: list[ReceivedCall] = []
        self.restrictions: list[Restriction] = []
        self.crashing: set[bytes] = set()
        self.down: set[str] = set()
        self.crashes: list[tuple[str, float]] = []
        self.running: dict[str, set[Call]] = collections.defaultdict(set)
        self.limits: dict[str, float] = {}
        self.failure_domains: dict[str, str] = {}
        self.cold_until_s: dict[str, float] = {}
        self.health_calls: list[tuple[str, float]] = []
        self.cuts: dict[str, str] = {}
        self.state_changes: list[StateChange] = []
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task] = set()
        self.nodes: list[GatewayNode] = []
        self.nodes_by_host: dict[str, GatewayNode] = {}

    def warm_up_left_s(self, searcher: str) -> float:
        """Returns the time for which a searcher is still cold, in seconds."""
        now_s = asyncio.get_running_loop().time()
        return max(0.0, self.cold_until_s.get(searcher, now_s) - now_s)

    def run(self, coroutine: collections.abc.Coroutine) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)

    def add_node(self, number: int, domain: str, vms: int) -> GatewayNode:
        """Adds a gateway that assumes a number of VMs in the deployment."""
        host = f"10.0.0.{number}"
        me = owners.Vm(f"vm-{number}", domain, host, 1.0)
        node = GatewayNode(self, me, vms)
        node.known.configure(self.configuration)
        self.nodes.append(node)
        self.nodes_by_host[host] = node
        return node

    def cut(self, kind: str, nodes: "list[GatewayNode]") -> None:
        """Cuts VMs from all searchers; ends the cut if `kind` is empty."""
        for node in nodes:
            self.cuts[node.me.host] = kind
            for upstream in node.known.by_id.values():
                typing.cast(typing.Any, upstream.client).begin_cut()

    def crash(self, searcher: str) -> None:
        """Ends a searcher with all of its calls, and starts it again later.

        The platform notices the end after `NOTICE_S`.
        """
        if searcher in self.down:
            return
        loop = asyncio.get_running_loop()
        self.crashes.append((searcher, loop.time()))
        self.down.add(searcher)
        for call in list(self.running.pop(searcher, ())):
            if not call.future.done():
                call.future.set_exception(errors.CallBrokenError("closed"))
        for node in self.nodes:
            loop.call_later(
                NOTICE_S, self.change_searcher, node, searcher, None
            )
        loop.call_later(RESTART_S, self.restart, searcher)

    def restart(self, searcher: str) -> None:
        """Starts a searcher that crashed, as a new start of the same id."""
        self.down.discard(searcher)
        for node in self.nodes:
            self.change_searcher(
                node, searcher, "live", started_ms=len(self.crashes) + 1
            )

    def change_searcher(
        self,
        node: GatewayNode,
        searcher: str,
        state: str | None,
        started_ms: int = 1,
        **fields: typing.Any,
    ) -> None:
        """Changes a searcher's state at a gateway; None removes it."""
        service = searcher.rpartition("-")[0]
        row = None
        if state is not None:
            row = build.searcher(
                searcher,
                service=service,
                state=state,
                **{
                    "started_ms": started_ms,
                    "failure_domain": self.failure_domains.get(searcher, "a"),
                    **fields,
                },
            )
        now_s = asyncio.get_running_loop().time()
        self.state_changes.append(
            StateChange(searcher, state, now_s, len(self.received_calls))
        )

        def open_client(*_, **__) -> Client:
            client = self.client_class(self, service, searcher)
            client.host = node.me.host
            return client

        with unittest.mock.patch.object(
            http_client, "open_client", open_client
        ):
            node.known.apply([registry.Change(searcher, row)], now_s)

    def received_calls_of(self, request_id: bytes) -> list[ReceivedCall]:
        """Returns the calls that searchers received for a request."""
        return [
            row for row in self.received_calls if row.request_id == request_id
        ]


def settle(future: asyncio.Future, result: typing.Any) -> None:
    """Sets the result of a future that isn't done."""
    if not future.done():
        future.set_result(result)


def target_of(raw: bytes) -> bytes:
    """Returns the target in the bytes of a call."""
    return raw.split(b" ", 2)[1]


def request_id_of(raw: bytes) -> bytes:
    """Returns the value of X-Request-Id in the bytes of a call."""
    for line in raw.lower().split(b"\r\n"):
        if line.startswith(b"x-request-id: "):
            return line.partition(b": ")[2]
    raise AssertionError(raw)
