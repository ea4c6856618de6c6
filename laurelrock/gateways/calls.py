"""Calls: single requests to one searcher, and how they ended."""

import asyncio
import collections.abc
import enum
import functools
import typing

import xxhash

from laurelrock import errors
from laurelrock.adapters import call_queue
from laurelrock.adapters import http_client
from laurelrock.adapters import http_server
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import call_order
from laurelrock.core import fair_queue
from laurelrock.core import routes
from laurelrock.gateways import searcher_limits
from laurelrock.gateways import trials
from laurelrock.gateways import upstreams
from laurelrock.ports import header_codec

__all__ = [
    "CallResult",
    "CallStatus",
    "Calls",
    "PendingCall",
    "RequestContext",
    "create_calls",
    "fingerprint_of",
]

#: Time in seconds for which an abandoned call may continue. Most calls end by
#: themselves in this time; closing a call's connection costs the searcher a new
#: one.
ABANDONED_GRACE_S = 0.25
#: Interval in seconds at which calls past their limit are ended.
SWEEP_INTERVAL_S = 0.05
#: Time in seconds after the request's deadline at which a call is ended.
TIMEOUT_MARGIN_S = 0.15

#: Reason of a call that this side ended.
WITHDRAWN = "withdrawn"
#: Reason of a call that had not been sent when its searcher left or asked for a
#: pause.
NO_MORE_WORK = "searcher accepts no more work"

_log = logs.get_logger(__name__)


class RequestContext(typing.NamedTuple):
    """A caller's request in the form in which it is sent to searchers.

    Attributes:
        request: The request from the caller.
        caller_headers: The request id and time limit that the caller sent.
        route: The route that applied when the request arrived.
        version: The version of the configuration that holds the route.
        head: The encoded header lines that all calls of the request share.
        end_s: The loop time at which the caller or the route times out.
        fingerprint: Identifies the request when it comes again; see
            `fingerprint_of`.
        trial: What the calls of the request show about crashes.
        workspace: The name of the caller's workspace; empty if there is none.
    """

    request: http_server.Request
    caller_headers: header_codec.CallerHeaders
    route: routes.Route
    version: int
    head: bytes
    end_s: float
    fingerprint: int
    trial: trials.Trial
    workspace: str = ""


def fingerprint_of(request: http_server.Request, workspace: str = "") -> int:
    """Returns a hash of what a repeated request has in common.

    These are the method, host, target, caller's credentials, workspace and
    body. Each attempt of a caller has an id and a deadline of its own.
    """
    digest = xxhash.xxh3_64()
    for value in (
        request.method,
        http_wire.header_value(request.headers, b"host") or b"",
        request.target,
        http_wire.header_value(request.headers, b"authorization") or b"",
        request.body,
        *([workspace.encode()] if workspace else []),
    ):
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return digest.intdigest()


class CallStatus(enum.Enum):
    """How a call ended.

    Attributes:
        ANSWERED: The searcher answered. To a query, only a success is an
            answer; to a single request, any status below 500 is one.
        ERRED: The searcher answered with another status.
        NOT_RUN: The searcher refused the request without running it.
        UNSENT: The request was not sent.
        BROKEN: The request was sent, but no valid answer was received.
    """

    ANSWERED = "answered"
    ERRED = "erred"
    NOT_RUN = "not-run"
    UNSENT = "unsent"
    BROKEN = "broken"


#: The ends of calls to which a searcher responded.
RESPONSES = (CallStatus.ANSWERED, CallStatus.ERRED, CallStatus.NOT_RUN)


class CallResult(typing.NamedTuple):
    """The result of a call.

    Attributes:
        status: How the call ended.
        reply: The searcher's answer, with ANSWERED and ERRED.
        stamp: The server stamp of the answer.
        reason: The reason of the status, for logs.
        endless: Whether the answer was cut off because it was too long.
        lost: Whether the connection ended before a complete answer.
    """

    status: CallStatus
    reply: http_client.Reply | None = None
    stamp: bytes = b""
    reason: str = ""
    endless: bool = False
    lost: bool = False


class PendingCall:
    """A call that hasn't ended.

    Attributes:
        upstream: The searcher that is called.
        kind: The name of the route, under which the latency is recorded.
        idempotent: Whether the request may run more than once.
        of_query: Whether the answer is one part of a query's answer.
        call: The call in the HTTP client, sent or waiting for a connection.
        number: The number of the call among those of the searcher.
        limits: The limits of the searcher that counted the call.
        cold: The limit of a cold searcher while the call waits for a
            connection.
        begun_s: The loop time at which the call began.
        rounds: The number of calls that take the slot before it, once it is
            sent.
        limit_s: The loop time at which the call is ended.
        on_end: Called with the result; None once the call is abandoned.
        trial: The trial of the request.
        workspace: The name of the caller's workspace; empty if there is none.
        timed_out: Whether the call was ended because it passed its limit.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        route: routes.Route,
        call: http_client.Call,
        begun_s: float,
        limit_s: float,
        trial: trials.Trial,
        on_end: collections.abc.Callable[["PendingCall", CallResult], None],
        rounds: float = 0.0,
        workspace: str = "",
    ) -> None:
        self.upstream = upstream
        self.kind = route.name
        self.idempotent = route.idempotent
        self.of_query = bool(route.shards)
        self.call = call
        self.rounds = rounds
        self.number = upstream.replica.begin_call(begun_s)
        self.limits = [
            row
            for row in (upstream.replica.limit, upstream.replica.cold)
            if row is not None
        ]
        self.cold = None if call.sent else upstream.replica.cold
        if self.cold is not None:
            self.cold.waiting += 1
        self.begun_s = begun_s
        self.limit_s = limit_s
        self.trial = trial
        self.workspace = workspace
        self.timed_out = False
        self.on_end: (
            collections.abc.Callable[[PendingCall, CallResult], None] | None
        ) = on_end

    def end_wait(self) -> None:
        """Records that the call is sent, or will not be."""
        if self.cold is not None:
            self.cold.waiting -= 1
            self.cold = None

    def abandon(self, now_s: float) -> None:
        """Abandons the call, since its result is no longer needed."""
        self.on_end = None
        if not self.call.sent:
            self.call.abort()
        self.limit_s = min(self.limit_s, now_s + ABANDONED_GRACE_S)


RecordWarmUp = collections.abc.Callable[[upstreams.Upstream, float], None]


class Calls:
    """All pending calls.

    Attributes:
        platform: Encodes and decodes the headers of calls.
        upstreams: The searchers that are called.
        in_flight: The pending calls, the oldest first.
        counts: The number of ended calls by status, for the metrics.
        record_warm_up: Called with a searcher and the time in seconds for which
            it says that it is cold.
        shares: The completed work of workspaces.
    """

    def __init__(
        self, platform: header_codec.HeaderCodec, known: upstreams.Upstreams
    ) -> None:
        self.platform = platform
        self.upstreams = known
        self.loop = asyncio.get_running_loop()
        self.in_flight: dict[PendingCall, None] = {}
        self.record_warm_up: RecordWarmUp = lambda upstream, left_s: None
        self.counts: dict[str, int] = {
            call_status.value: 0 for call_status in CallStatus
        }
        self.shares = fair_queue.create_fair_shares()

    def start(
        self,
        context: RequestContext,
        upstream: upstreams.Upstream,
        on_end: collections.abc.Callable[[PendingCall, CallResult], None],
        coverage: float = 1.0,
    ) -> PendingCall:
        """Sends a request to a searcher.

        Args:
            context: The caller's request.
            upstream: The searcher to call.
            on_end: Called once with the result, never during `start` itself.
            coverage: The fraction of the request that the call completes.
        """
        request = context.request
        searcher = upstream.searcher.id
        request_id = context.caller_headers.request_id
        pending_call: PendingCall | None = None

        def encode() -> bytes:
            if pending_call is not None:
                pending_call.end_wait()
            left_s = context.end_s - self.loop.time()
            target = self.platform.encode_call_headers(searcher, left_s)
            return http_wire.encode_request(
                request.method,
                request.target,
                context.head + target,
                request.body,
            )

        def accept(status: int, headers: http_wire.Headers) -> bool:
            found = self.platform.read_searcher_headers(status, headers)
            if found.request_id not in (None, request_id):
                return False
            self.restrict(upstream, found, call.sent_at_s)
            return True

        call = upstream.client.call(
            encode,
            accept,
            bodiless=request.method == b"HEAD",
            describe=lambda: self.describe(context, coverage),
        )
        now_s = self.loop.time()
        pending_call = PendingCall(
            upstream,
            context.route,
            call,
            now_s,
            context.end_s + TIMEOUT_MARGIN_S,
            context.trial,
            on_end,
            self.rounds_ahead(upstream, now_s),
            context.workspace,
        )
        context.trial.begin_call()
        self.in_flight[pending_call] = None
        call.future.add_done_callback(
            functools.partial(self.settle, pending_call)
        )
        return pending_call

    def rounds_ahead(self, upstream: upstreams.Upstream, now_s: float) -> float:
        """Returns how many calls take a searcher's slot before a new one.

        The latency counts from when a call is sent. Calls that wait for a
        connection aren't ahead of it then.
        """
        if not self.upstreams.weighs_domains:
            return 0.0
        return upstream.replica.waiting_rounds(now_s, upstream.client.limit - 1)

    def describe(
        self, context: RequestContext, coverage: float
    ) -> call_order.WaitingCall:
        """Returns what places a call among those that wait."""
        route = context.route
        typical = self.upstreams.typical_latencies[route.name]
        now_s = self.loop.time()
        return call_order.WaitingCall(
            route.name,
            route.priority + self.shares.deferral(context.workspace, now_s),
            context.request.received_s,
            route.objective_s,
            context.end_s,
            coverage,
            typical.mean_s if typical.count else 0.0,
        )

    def restrict(
        self,
        upstream: upstreams.Upstream,
        searcher_headers: header_codec.SearcherHeaders,
        sent_s: float,
    ) -> None:
        """Gives a searcher fewer calls, or none, if it asked for that.

        Args:
            upstream: The searcher.
            searcher_headers: The headers of its response.
            sent_s: The loop time at which the request was sent.
        """
        if searcher_headers.leaving:
            self.upstreams.mark_leaving(upstream.searcher.start)
        if searcher_headers.pause_s is not None:
            self.upstreams.pause(
                upstream, searcher_headers.pause_s, self.loop.time()
            )
        if not searcher_headers.misplaced:
            searcher_limits.record_limit(
                self.upstreams,
                upstream,
                searcher_headers.limit_per_s,
                sent_s,
                self.loop.time(),
            )
            if searcher_headers.warm_up_left_s is not None:
                self.record_warm_up(upstream, searcher_headers.warm_up_left_s)

    def settle(
        self,
        pending_call: PendingCall,
        future: asyncio.Future[http_client.Reply],
    ) -> None:
        """Processes the end of a call and passes the result on."""
        self.in_flight.pop(pending_call, None)
        pending_call.end_wait()
        pending_call.upstream.replica.end_call(pending_call.number)
        result = self.classify(pending_call, future)
        self.counts[result.status.value] += 1
        if result.status is CallStatus.UNSENT:
            for limit in pending_call.limits:
                limit.give_back()
        self.update_statistics(pending_call, result)
        trial = pending_call.trial
        trial.end_call(
            pending_call.upstream,
            result.status in (CallStatus.ANSWERED, CallStatus.ERRED),
            result.lost,
        )
        if pending_call.on_end is not None:
            pending_call.on_end(pending_call, result)
        trial.settle()

    def classify(
        self,
        pending_call: PendingCall,
        future: asyncio.Future[http_client.Reply],
    ) -> CallResult:
        """Returns the result that the end of a call stands for."""
        if future.cancelled():
            call_status = (
                CallStatus.BROKEN
                if pending_call.call.sent
                else CallStatus.UNSENT
            )
            return CallResult(call_status, reason=WITHDRAWN)
        error = future.exception()
        if isinstance(error, errors.NoMoreWorkError):
            return CallResult(CallStatus.UNSENT, reason=NO_MORE_WORK)
        if isinstance(error, errors.ConnectError):
            return CallResult(CallStatus.UNSENT, reason=error.message)
        if isinstance(error, errors.LaurelrockError):
            return CallResult(
                CallStatus.BROKEN,
                reason=f"{error.code}: {error.message}",
                endless=isinstance(error, errors.ReplyTooLongError),
                lost=isinstance(error, errors.CallBrokenError),
            )
        if error is not None:
            raise error
        reply = future.result()
        searcher_headers = self.platform.read_searcher_headers(
            reply.status, reply.headers
        )
        replica = pending_call.upstream.replica
        if searcher_headers.load is not None:
            replica.record_load(*searcher_headers.load, self.loop.time())
        if searcher_headers.misplaced:
            replica.misplaced = True
        if searcher_headers.not_run:
            return CallResult(
                CallStatus.NOT_RUN, reason=f"status {reply.status}"
            )
        success = 200 <= reply.status < 300
        if success and (
            searcher_headers.stamp is None or searcher_headers.content_encoded
        ):
            return CallResult(
                CallStatus.BROKEN, reason="no server stamp, or an encoded body"
            )
        # The records of a query's parts are merged without their statuses, so
        # that a failure among them couldn't be told from records.
        answered = success or (reply.status < 500 and not pending_call.of_query)
        return CallResult(
            CallStatus.ANSWERED if answered else CallStatus.ERRED,
            reply,
            searcher_headers.stamp or b"",
            f"status {reply.status}",
        )

    def update_statistics(
        self, pending_call: PendingCall, result: CallResult
    ) -> None:
        """Updates the latencies and the state of the searcher."""
        replica = pending_call.upstream.replica
        now_s = self.loop.time()
        if result.status in RESPONSES:
            self.upstreams.responded_s = now_s
        if result.status in (CallStatus.ANSWERED, CallStatus.ERRED):
            self.upstreams.throughputs[replica.searcher.service].record(now_s)
        if result.status is CallStatus.ANSWERED:
            sent_s = pending_call.call.sent_at_s or pending_call.begun_s
            typical = self.upstreams.typical_latencies[pending_call.kind]
            latency_s, rounds = now_s - sent_s, pending_call.rounds
            typical.record(latency_s, rounds)
            self.shares.record(pending_call.workspace, latency_s, now_s)
            replica.record_success(latency_s, typical, now_s, rounds)
        elif result.status is CallStatus.ERRED:
            replica.record_error()
        elif result.status is CallStatus.NOT_RUN:
            replica.full(now_s)
        elif result.endless:
            # The searcher would take this VM's link again with the next call.
            self.eject_if_unresponsive(pending_call, result)
        elif result.lost:
            if replica.record_lost(now_s):
                self.log_ejection(pending_call, result)
        elif result.status is CallStatus.BROKEN and result.reason != WITHDRAWN:
            replica.record_failure()
        elif result.reason in call_queue.DROP_REASONS:
            if self.got_no_response(pending_call):
                self.eject_if_unresponsive(pending_call, result)
        elif (
            result.reason not in (WITHDRAWN, NO_MORE_WORK)
            or pending_call.timed_out
        ):
            self.eject_if_unresponsive(pending_call, result)

    def got_no_response(self, pending_call: PendingCall) -> bool:
        """Returns whether a searcher was unresponsive while a call waited.

        A searcher that responds, but has too many calls, is not.
        """
        replica, now_s = pending_call.upstream.replica, self.loop.time()
        typical = self.upstreams.typical_latencies[pending_call.kind]
        return (
            now_s - pending_call.begun_s > TIMEOUT_MARGIN_S
            and replica.last_success_s < pending_call.begun_s
            and replica.is_stalled(typical, now_s)
        )

    def eject_if_unresponsive(
        self, pending_call: PendingCall, result: CallResult
    ) -> None:
        """Records a searcher that didn't respond, and logs its ejection."""
        replica = pending_call.upstream.replica
        now_s = self.loop.time()
        if replica.record_no_response(now_s):
            self.log_ejection(pending_call, result)

    def log_ejection(
        self, pending_call: PendingCall, result: CallResult
    ) -> None:
        """Drops the idle connections of an ejected searcher, and logs it."""
        replica = pending_call.upstream.replica
        now_s = self.loop.time()
        pending_call.upstream.client.drop_idle()
        _log.warning(
            "searcher-ejected",
            searcher=replica.searcher.id,
            reason=result.reason,
            silent=replica.unanswered,
            lost=replica.lost,
            probe_ms=round((replica.next_probe_s - now_s) * 1000),
        )

    def withdraw_repeatable(self) -> None:
        """Ends the calls whose requests may be sent to another searcher."""
        for pending_call in list(self.in_flight):
            if pending_call.idempotent or not pending_call.call.sent:
                pending_call.call.abort()

    def sweep(self) -> None:
        """Ends the calls that are past their limit."""
        now_s = self.loop.time()
        late = [row for row in self.in_flight if now_s > row.limit_s]
        for pending_call in late:
            pending_call.timed_out = True
            pending_call.call.abort()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)


def create_calls(
    platform: header_codec.HeaderCodec, known: upstreams.Upstreams
) -> Calls:
    """Returns the state without calls, with its sweep started."""
    calls = Calls(platform, known)
    calls.sweep()
    return calls
