"""Detects whether this VM has lost all searchers while others may reach them.

An isolated VM calls no searcher. It passes requests on to other VMs, declines
those that other VMs pass on, and reports not ready. It requests the health of a
few searchers until one responds.
"""

import asyncio

from laurelrock.adapters import logs
from laurelrock.core import isolation
from laurelrock.gateways import calls
from laurelrock.gateways import health_checks

__all__ = ["IsolationDetector", "create_isolation_detector"]

#: Interval in seconds at which a VM looks for lost searchers.
CHECK_INTERVAL_S = 0.1
#: Delay of a check in seconds from which the process itself stood still, so
#: that responses may wait to be read.
MAX_DELAY_S = 0.1

_log = logs.get_logger(__name__)


class IsolationDetector:
    """State of the detection.

    Attributes:
        calls: The calls in flight.
        known: The searchers.
        reached_s: Loop time at which a searcher last responded to such a
            request, in seconds.
        counts: The number of isolations, and of checks that were skipped, for
            the metrics.
    """

    def __init__(self, in_flight: calls.Calls) -> None:
        self.calls = in_flight
        self.known = in_flight.upstreams
        self.loop = asyncio.get_running_loop()
        self.reached_s = self.loop.time()
        self.counts = {"isolated": 0, "probed": 0, "skipped": 0}

    async def run(self) -> None:
        """Checks for lost searchers, forever."""
        while True:
            due_s = self.loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.known.isolated:
                if await self.reaches_any():
                    self.end()
            elif self.loop.time() - due_s > MAX_DELAY_S:
                self.counts["skipped"] += 1
            else:
                await self.check()

    async def check(self) -> None:
        """Checks once whether this VM is isolated."""
        evidence = self.evidence()
        if isolation.is_doubtful(evidence) and not await self.reaches_any():
            self.begin(evidence)

    def begin(self, evidence: isolation.Evidence) -> None:
        """Stops to call searchers."""
        self.counts["isolated"] += 1
        self.known.isolated = True
        _log.warning(
            "isolated",
            silent=evidence.silent,
            quiet_ms=round(evidence.quiet_s * 1000),
            calls=len(self.calls.in_flight),
        )
        self.calls.withdraw_repeatable()

    def evidence(self) -> isolation.Evidence:
        """Returns what this VM sees of its searchers."""
        now_s = self.loop.time()
        since_s = max(self.known.responded_s, self.reached_s)
        if now_s - since_s <= isolation.QUIET_S:
            return isolation.Evidence(0.0, 0)
        silent_since_s = {
            row.searcher.id: row.replica.silent_since_s
            for row in self.known.by_id.values()
            if row.replica.silent_since_s > since_s
            and not row.replica.evacuated
        }
        typical = self.known.typical_latencies
        for pending_call in self.calls.in_flight:
            if pending_call.upstream.replica.evacuated:
                continue
            # Calls that began long before the last response wait for a searcher
            # that was down before.
            begun_s = pending_call.begun_s
            late_after_s = typical[pending_call.kind].late_after_s
            if begun_s > since_s - isolation.QUIET_S and isolation.is_overdue(
                now_s - begun_s, late_after_s
            ):
                silent_since_s[pending_call.upstream.searcher.id] = begun_s
        # While there were no calls, none could be answered.
        first_s = min(silent_since_s.values(), default=now_s)
        quiet_s = now_s - max(since_s, first_s)
        return isolation.Evidence(quiet_s, len(silent_since_s))

    async def reaches_any(self) -> bool:
        """Requests the health of some searchers; tells whether one replies."""
        self.counts["probed"] += 1
        reached = await health_checks.reaches_any(self.known)
        if reached:
            self.reached_s = self.loop.time()
        return reached

    def end(self) -> None:
        """Calls searchers again."""
        self.known.isolated = False
        self.known.probe_all_now()
        _log.warning("isolation-ended")


def create_isolation_detector(in_flight: calls.Calls) -> IsolationDetector:
    """Returns the state of a VM that reaches its searchers."""
    return IsolationDetector(in_flight)
