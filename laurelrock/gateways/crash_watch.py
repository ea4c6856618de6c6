"""Keeps requests that crash searchers from being sent again.

When an attempt ends without an answer and the connections of its calls were
lost, this VM checks whether the searchers crashed, and tells all VMs
(`core.crash_suspects`). Up to 16 VMs are told directly; in larger fleets those
that follow the platform for others pass it on to their subscribers. Now and
then each VM compares what it knows with another one, which also serves VMs that
have just started or were partitioned.
"""

import asyncio
import collections.abc
import random
import typing

import xxhash

from laurelrock.adapters import frames
from laurelrock.adapters import logs
from laurelrock.core import crash_suspects
from laurelrock.core import owners
from laurelrock.core import registry
from laurelrock.gateways import calls
from laurelrock.gateways import health_checks
from laurelrock.gateways import outcomes
from laurelrock.gateways import state_sharing
from laurelrock.gateways import upstreams

__all__ = [
    "KINDS",
    "CrashWatch",
    "RequestCleared",
    "RequestCrashed",
    "SuspectList",
    "SuspectQuery",
    "create_crash_watch",
]

#: Interval in seconds at which a VM compares its suspects with another one.
COMPARE_INTERVAL_S = 2.0
#: Time in seconds between a report and its consideration. Reports on other
#: requests that ran on the same searchers arrive in that time.
JUDGE_DELAY_S = 0.05
#: Maximum number of suspects in a message, and of searchers in a log line.
MAX_TOLD, MAX_LOGGED = 64, 8
#: Time in seconds in which the losses of an attempt are collected before the
#: searchers are checked.
CHECK_DELAY_S = 0.005
#: Time for which a VM remembers that it got an answer to a request, in seconds,
#: and the maximum number of requests that it remembers.
ANSWER_VALID_S, MAX_ANSWERS = 10.0, 1024
#: Time in seconds over which VMs that remember an answer spread their
#: objections to a report, so that most of them see that another one objected.
OBJECTION_SPREAD_S = 0.03
#: Reports that a VM may send at once, and per second over all VMs.
BURST_REPORTS, ALL_REPORTS_PER_S = 8.0, 5.0

_log = logs.get_logger(__name__)


class RequestCrashed(typing.NamedTuple):
    """Tells that searchers crashed under a request.

    Attributes:
        report: The report.
        relay: Whether the receiver passes it on to its subscribers.
    """

    report: crash_suspects.CrashReport
    relay: bool


class RequestCleared(typing.NamedTuple):
    """Tells that a suspected request was answered.

    Attributes:
        fingerprint: The fingerprint of the request.
        relay: See `RequestCrashed`.
    """

    fingerprint: int
    relay: bool


class SuspectQuery(typing.NamedTuple):
    """Asks a VM for its suspects if they differ.

    Attributes:
        digest: The hash of the sender's suspects; see `CrashWatch.digest`.
    """

    digest: int


class SuspectList(typing.NamedTuple):
    """The suspects of a VM."""

    suspects: list[crash_suspects.Suspect]


KINDS: dict[int, type] = {
    19: RequestCrashed,
    20: RequestCleared,
    21: SuspectQuery,
    22: SuspectList,
}

Relay = collections.abc.Callable[[typing.Any], None]


class CrashWatch:
    """State of the requests that may crash searchers.

    Attributes:
        known: The searchers.
        peer_links: The links to other VMs.
        me: This VM.
        port: The port of messages between VMs, the same on all of them.
        relay: Sends a message to the VMs that subscribe to this one.
        vms: The listed VMs.
        table: The evidence against requests.
        answers: The loop times of the last answers to requests, by
            fingerprint, the oldest first.
        reports_left: The number of reports that may be sent at `refilled_s`.
        refilled_s: The loop time at which `reports_left` was computed.
        tasks: The running checks of searchers.
        counts: The number of events by kind, for the metrics.
    """

    def __init__(
        self,
        known: upstreams.Upstreams,
        peer_links: frames.PeerLinks,
        me: owners.Vm,
        port: int,
        relay: Relay,
    ) -> None:
        self.known = known
        self.peer_links = peer_links
        self.me = me
        self.port = port
        self.relay = relay
        self.vms: list[owners.Vm] = []
        self.table = crash_suspects.create_suspect_table()
        self.loop = asyncio.get_running_loop()
        self.answers: dict[int, float] = {}
        self.reports_left = BURST_REPORTS
        self.refilled_s = self.loop.time()
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts = {"reported": 0, "quarantined": 0, "refused": 0}

    def set_vms(self, vms: list[owners.Vm]) -> None:
        """Sets the list of VMs, and asks one of them at the first time."""
        first = not self.vms
        self.vms = vms
        if first:
            self.compare()

    # Requests of this VM

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns whether a request crashed a searcher before."""
        return self.table.is_suspect(fingerprint)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Returns whether a request may not be sent any more."""
        return self.table.release_in_s(fingerprint, self.loop.time()) > 0

    def refusal(self, fingerprint: int) -> outcomes.Outcome | None:
        """Returns the refusal of a request that is quarantined, else None."""
        release_in_s = self.table.release_in_s(fingerprint, self.loop.time())
        if not release_in_s:
            return None
        self.counts["refused"] += 1
        return outcomes.Outcome(
            "refused",
            503,
            reason=f"request {fingerprint:016x} crashes searchers",
            resume_in_s=release_in_s,
        )

    def finish(self, context: calls.RequestContext) -> None:
        """Draws the conclusions from an attempt that has ended."""
        trial = context.trial
        trial.on_late_end = lambda: self.finish(context)
        if trial.answered:
            self.remember_answer(context.fingerprint)
            self.clear(context.fingerprint)
        elif trial.lost and not trial.check_pending:
            trial.check_pending = True
            task = self.loop.create_task(self.check(context))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def check(self, context: calls.RequestContext) -> None:
        """Reports an attempt if the searchers that it lost have crashed."""
        await asyncio.sleep(CHECK_DELAY_S)
        context.trial.check_pending = False
        lost = context.trial.lost[: crash_suspects.MAX_CRASHES]
        ended = await asyncio.gather(*[self.has_crashed(row) for row in lost])
        crashed = [
            row.searcher
            for row, has_ended in zip(lost, ended, strict=True)
            if has_ended
        ]
        if not crashed or context.trial.answered:
            return
        # This VM may itself be cut from searchers that are still up.
        services = {row.service for row in crashed}
        if not await health_checks.reaches_any(self.known, services):
            _log.info("crash-unproved", searchers=len(crashed))
            return
        attempt = context.caller_headers.request_id.decode("latin-1")
        report = crash_suspects.CrashReport(
            context.fingerprint, attempt, [start_hash(row) for row in crashed]
        )
        _log.warning(
            "searchers-crashed",
            request=attempt,
            fingerprint=f"{context.fingerprint:016x}",
            searchers=[row.id for row in crashed[:MAX_LOGGED]],
            count=len(crashed),
        )
        # Evidence that others don't know would not be cleared by the answers
        # that they get.
        if self.may_report():
            self.counts["reported"] += 1
            self.record(report)
            self.tell(RequestCrashed(report, False))

    async def has_crashed(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a searcher ended without notice."""
        replica, searcher = upstream.replica, upstream.searcher
        if replica.leaving or replica.misplaced or searcher.state != "live":
            return False
        if replica.evacuated:
            # Operators may end the searchers of an evacuated failure domain.
            return False
        present = self.known.by_id.get(searcher.id)
        if present is None or present.searcher.start != searcher.start:
            return True
        # A searcher that merely resets connections still listens.
        error = await upstream.client.try_connect()
        return isinstance(error, ConnectionRefusedError)

    def may_report(self) -> bool:
        """Takes one of the reports that this VM may send; False if none."""
        now_s = self.loop.time()
        per_s = ALL_REPORTS_PER_S / max(1, len(self.vms))
        gained = (now_s - self.refilled_s) * per_s
        self.reports_left = min(BURST_REPORTS, self.reports_left + gained)
        self.refilled_s = now_s
        if self.reports_left < 1.0:
            return False
        self.reports_left -= 1.0
        return True

    def record(self, report: crash_suspects.CrashReport) -> None:
        """Records a report of this VM or of another one."""
        self.table.record(report, self.loop.time())
        self.loop.call_later(JUDGE_DELAY_S, self.judge, report.fingerprint)
        if self.was_answered(report.fingerprint):
            delay_s = OBJECTION_SPREAD_S * random.random()
            self.loop.call_later(delay_s, self.clear, report.fingerprint)

    def remember_answer(self, fingerprint: int) -> None:
        """Remembers that a searcher answered a request."""
        self.answers.pop(fingerprint, None)
        self.answers[fingerprint] = self.loop.time()
        if len(self.answers) > MAX_ANSWERS:
            del self.answers[next(iter(self.answers))]

    def was_answered(self, fingerprint: int) -> bool:
        """Returns whether a searcher answered a request of late."""
        answered_s = self.answers.get(fingerprint)
        return (
            answered_s is not None
            and self.loop.time() - answered_s < ANSWER_VALID_S
        )

    def clear(self, fingerprint: int) -> None:
        """Clears a request that was answered, also at the other VMs."""
        if self.table.clear(fingerprint, self.loop.time()):
            _log.info("request-cleared", fingerprint=f"{fingerprint:016x}")
            self.tell(RequestCleared(fingerprint, False))

    def judge(self, fingerprint: int) -> None:
        """Quarantines a request if the evidence suffices."""
        if self.table.judge(fingerprint, self.loop.time()):
            self.log_quarantine(fingerprint)

    def log_quarantine(self, fingerprint: int) -> None:
        """Logs that a request is quarantined."""
        self.counts["quarantined"] += 1
        release_in_s = self.table.release_in_s(fingerprint, self.loop.time())
        _log.warning(
            "request-quarantined",
            fingerprint=f"{fingerprint:016x}",
            seconds=round(release_in_s, 1),
        )

    # Messages

    def direct_targets(self) -> list[owners.Vm]:
        """Returns the VMs that this one sends reports to."""
        others = [vm for vm in self.vms if vm != self.me]
        if len(self.vms) <= state_sharing.MAX_DIRECT_VMS:
            return others
        relays = owners.all_callers(
            state_sharing.SOURCE_RANKING_KEY, self.vms, state_sharing.SOURCES
        )
        return [vm for vm in relays if vm != self.me]

    def tell(self, message: RequestCrashed | RequestCleared) -> None:
        """Tells all VMs."""
        relayed = len(self.vms) > state_sharing.MAX_DIRECT_VMS
        for vm in self.direct_targets():
            self.send(vm, message._replace(relay=relayed))
        if relayed:
            self.relay(message)

    def send(self, vm: owners.Vm, message: typing.Any) -> None:
        """Sends a message to a VM."""
        self.peer_links.link((vm.host, self.port)).send(message)

    def handle_message(self, link: frames.Link, message: typing.Any) -> None:
        """Handles a message from another VM."""
        now_s = self.loop.time()
        if isinstance(message, RequestCrashed):
            self.record(message.report)
        elif isinstance(message, RequestCleared):
            self.table.clear(message.fingerprint, now_s)
        elif isinstance(message, SuspectQuery):
            if message.digest != self.digest():
                link.send(SuspectList(self.table.suspects(now_s, MAX_TOLD)))
        else:
            for suspect in message.suspects[:MAX_TOLD]:
                if self.table.merge(suspect, now_s):
                    self.log_quarantine(suspect.fingerprint)
        if getattr(message, "relay", False):
            self.relay(message._replace(relay=False))

    def digest(self) -> int:
        """Returns a hash of the suspects, which differs between other sets."""
        self.table.drop_outdated(self.loop.time())
        rows = sorted(
            (fingerprint, sorted(row.crashed), row.quarantines)
            for fingerprint, row in self.table.rows.items()
        )
        return xxhash.xxh3_64_intdigest(repr(rows).encode()) if rows else 0

    def compare(self) -> None:
        """Asks one of the other VMs for its suspects."""
        targets = self.direct_targets()
        if targets:
            self.send(random.choice(targets), SuspectQuery(self.digest()))

    async def run(self) -> None:
        """Compares the suspects with other VMs, forever."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            self.compare()


def start_hash(searcher: registry.Searcher) -> int:
    """Returns a hash of a searcher's start."""
    return xxhash.xxh3_64_intdigest(
        f"{searcher.id}@{searcher.started_ms}".encode()
    )


def create_crash_watch(
    known: upstreams.Upstreams,
    peer_links: frames.PeerLinks,
    me: owners.Vm,
    port: int,
    relay: Relay,
) -> CrashWatch:
    """Returns the state without suspects."""
    return CrashWatch(known, peer_links, me, port, relay)
