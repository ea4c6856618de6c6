"""Calls: one request at one searcher, and what its end means."""

import asyncio
import collections.abc
import enum
import typing

from laurelrock import errors
from laurelrock.adapters import http_client
from laurelrock.adapters import http_server
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.core import routes
from laurelrock.gateways import upstreams
from laurelrock.ports import wire

__all__ = [
    "CallResult",
    "CallStatus",
    "Calls",
    "PendingCall",
    "Work",
    "create_calls",
]

#: Time that a call nobody waits for may go on, in seconds. Most end by
#: themselves; closing its connection costs the searcher a new one.
ABANDONED_GRACE_S = 0.25
#: Interval at which calls that are over their time are ended, in seconds.
SWEEP_INTERVAL_S = 0.05
#: Time over a call's own limit after which it is ended, in seconds.
TIMEOUT_MARGIN_S = 0.15

#: Reason of a call that was ended from this side.
WITHDRAWN = "withdrawn"

_log = logs.get_logger(__name__)


class Work(typing.NamedTuple):
    """A caller's request, as searchers get it.

    Attributes:
        request: From the caller.
        ticket: What the caller said of it.
        route: Taken when the request began.
        version: Of the configuration that holds the route.
        head: Header lines that all its calls share.
        end_s: Loop time at which the caller, or the route, gives up.
    """

    request: http_server.Request
    ticket: wire.Ticket
    route: routes.Route
    version: int
    head: bytes
    end_s: float


class CallStatus(enum.Enum):
    """How a call ended."""

    ANSWERED = "answered"
    ERRED = "erred"
    NOT_RUN = "not-run"
    UNSENT = "unsent"
    BROKEN = "broken"


class CallResult(typing.NamedTuple):
    """The end of a call.

    Attributes:
        fate: What it means for the request.
        reply: The searcher's answer, with ANSWERED and ERRED.
        proof: Of the answer.
        reason: For logs.
    """

    status: CallStatus
    reply: http_client.Reply | None = None
    proof: bytes = b""
    reason: str = ""


class PendingCall:
    """A call without an end yet.

    Attributes:
        upstream: That was asked.
        kind: Name of the route, under which its latency counts.
        call: On a connection, or waiting for one.
        number: Of the call at the searcher.
        begun_s: Loop time.
        limit_s: Loop time at which it is ended.
        ended: Told of the end, unless nobody waits.
        over: Whether it was ended for taking too long.
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        kind: str,
        call: http_client.Call,
        begun_s: float,
        limit_s: float,
        on_end: collections.abc.Callable[["PendingCall", CallResult], None],
    ) -> None:
        self.upstream = upstream
        self.kind = kind
        self.call = call
        self.number = upstream.replica.begin(begun_s)
        self.begun_s = begun_s
        self.limit_s = limit_s
        self.timed_out = False
        self.on_end: (
            collections.abc.Callable[[PendingCall, CallResult], None] | None
        ) = on_end

    def abandon(self, now_s: float) -> None:
        """Notes that nobody waits for the call any more."""
        self.on_end = None
        if not self.call.sent:
            self.call.withdraw()
        self.limit_s = min(self.limit_s, now_s + ABANDONED_GRACE_S)


class Calls:
    """All calls in flight.

    Attributes:
        platform: Headers of the calls.
        upstreams: That are called.
        flights: Without an end, the oldest first.
        counts: Ends by fate, for the metrics.
    """

    def __init__(self, platform: wire.Wire, known: upstreams.Upstreams) -> None:
        self.platform = platform
        self.upstreams = known
        self.loop = asyncio.get_running_loop()
        self.pending: dict[PendingCall, None] = {}
        self.counts: dict[str, int] = {fate.value: 0 for fate in CallStatus}

    def start(
        self,
        work: Work,
        upstream: upstreams.Upstream,
        ended: collections.abc.Callable[[PendingCall, CallResult], None],
    ) -> PendingCall:
        """Sends a request to a searcher.

        Args:
            work: The request.
            upstream: To be asked.
            ended: Called once with the end, not from within `begin`.
        """
        request = work.request
        searcher = upstream.searcher.id
        request_id = work.ticket.request_id

        def encode() -> bytes:
            left_s = work.end_s - self.loop.time()
            target = self.platform.encode_target(searcher, left_s)
            return http_wire.encode_request(
                request.method, request.target, work.head + target, request.body
            )

        def accept(headers: http_wire.Headers) -> bool:
            found = self.platform.read_facts(0, headers).request_id
            return found is None or found == request_id

        call = upstream.client.call(
            encode,
            accept,
            bodiless=request.method == b"HEAD",
        )
        now_s = self.loop.time()
        flight = PendingCall(
            upstream,
            work.route.name,
            call,
            now_s,
            work.end_s + TIMEOUT_MARGIN_S,
            ended,
        )
        self.pending[flight] = None
        call.future.add_done_callback(
            lambda future: self.settle(flight, future)
        )
        return flight

    def settle(
        self, flight: PendingCall, future: asyncio.Future[http_client.Reply]
    ) -> None:
        """Learns from the end of a call and passes it on."""
        self.pending.pop(flight, None)
        flight.upstream.replica.end(flight.number)
        ended = self.classify(flight, future)
        self.counts[ended.status.value] += 1
        self.update_statistics(flight, ended)
        if flight.on_end is not None:
            flight.on_end(flight, ended)

    def classify(
        self, flight: PendingCall, future: asyncio.Future[http_client.Reply]
    ) -> CallResult:
        """Tells what the end of a call means."""
        if future.cancelled():
            fate = CallStatus.BROKEN if flight.call.sent else CallStatus.UNSENT
            return CallResult(fate, reason=WITHDRAWN)
        error = future.exception()
        if isinstance(error, errors.ConnectError):
            return CallResult(CallStatus.UNSENT, reason=error.message)
        if isinstance(error, errors.LaurelrockError):
            return CallResult(
                CallStatus.BROKEN, reason=f"{error.code}: {error.message}"
            )
        if error is not None:
            raise error
        reply = future.result()
        facts = self.platform.read_facts(reply.status, reply.headers)
        replica = flight.upstream.replica
        if facts.load is not None:
            replica.report(*facts.load, self.loop.time())
        if facts.misplaced:
            replica.misplaced = True
        if facts.not_run:
            return CallResult(
                CallStatus.NOT_RUN, reason=f"status {reply.status}"
            )
        success = 200 <= reply.status < 300
        if success and (facts.proof is None or facts.encoded):
            return CallResult(
                CallStatus.BROKEN, reason="no proof, or an encoded body"
            )
        fate = CallStatus.ANSWERED if reply.status < 500 else CallStatus.ERRED
        return CallResult(
            fate, reply, facts.proof or b"", f"status {reply.status}"
        )

    def update_statistics(self, flight: PendingCall, ended: CallResult) -> None:
        """Updates what is known of the searcher."""
        replica = flight.upstream.replica
        now_s = self.loop.time()
        if ended.status in (CallStatus.ANSWERED, CallStatus.ERRED):
            self.upstreams.throughputs[replica.searcher.service].note(now_s)
        if ended.status is CallStatus.ANSWERED:
            sent_s = flight.call.began_s or flight.begun_s
            typical = self.upstreams.typical_latencies[flight.kind]
            typical.note(now_s - sent_s)
            replica.answered(now_s - sent_s, typical, now_s)
        elif ended.status is CallStatus.ERRED:
            replica.erred()
        elif ended.status is CallStatus.NOT_RUN:
            replica.full(now_s)
        elif ended.status is CallStatus.BROKEN and ended.reason != WITHDRAWN:
            replica.note_failure()
        elif ended.reason != WITHDRAWN or flight.timed_out:
            self.eject_if_silent(flight, ended)

    def eject_if_silent(self, flight: PendingCall, ended: CallResult) -> None:
        """Notes a searcher that gave no sign of life."""
        replica = flight.upstream.replica
        now_s = self.loop.time()
        if not replica.went_silent(now_s):
            return
        flight.upstream.client.drop_idle()
        _log.warning(
            "searcher-ejected",
            searcher=replica.searcher.id,
            reason=ended.reason,
            silent=replica.silent,
            probe_ms=round((replica.probe_s - now_s) * 1000),
        )

    def sweep(self) -> None:
        """Ends the calls that are over their time."""
        now_s = self.loop.time()
        late = [row for row in self.pending if now_s > row.limit_s]
        for flight in late:
            flight.timed_out = True
            flight.call.withdraw()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)


def create_calls(platform: wire.Wire, known: upstreams.Upstreams) -> Calls:
    """Returns the state with no call in flight; starts its sweep."""
    calls = Calls(platform, known)
    calls.sweep()
    return calls
