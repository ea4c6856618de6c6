"""The planned end of the process: which requests still run, and until when."""

import asyncio
import collections.abc
import math
import typing

from laurelrock.core import replicas
from laurelrock.core import routes
from laurelrock.gateways import outcomes

__all__ = ["PlannedStop", "create_planned_stop"]

#: Fraction of the grace period after which the process ends.
GRACE_FRACTION = 0.93
#: Fraction of the grace period that requests in progress may use. What is left
#: until the end is for their answers.
REQUEST_FRACTION = 0.9

Run = collections.abc.Coroutine[typing.Any, typing.Any, outcomes.Outcome]


class PlannedStop:
    """State of the planned end.

    Attributes:
        begun_s: The loop time of SIGTERM; 0 before.
        requests_end_s: The loop time at which requests in progress are
            answered, whatever their searchers do; infinite before SIGTERM.
        end_s: The loop time at which the process ends; infinite before SIGTERM.
        running: The time limits of the requests in progress.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.begun_s = 0.0
        self.requests_end_s = self.end_s = math.inf
        self.running: set[asyncio.Timeout] = set()

    def begin(self, grace_s: float) -> None:
        """Begins the end of the process, at SIGTERM.

        Args:
            grace_s: The time from SIGTERM to SIGKILL, in seconds.
        """
        self.begun_s = self.loop.time()
        self.end_s = self.begun_s + grace_s * GRACE_FRACTION
        self.requests_end_s = self.begun_s + grace_s * REQUEST_FRACTION
        for limit in self.running:
            limit.reschedule(self.requests_end_s)

    def is_too_late(
        self,
        route: routes.Route,
        time_limit_s: float,
        typical: replicas.LatencyStats,
    ) -> bool:
        """Returns whether a request that begins now may outlast the process.

        A request that may be repeated is run if it usually ends in time: if it
        doesn't, the caller asks another VM. Of another one the caller wouldn't
        know whether it has run, so that all of its time has to be left.

        Args:
            route: The route of the request.
            time_limit_s: The time that caller and route give it, in seconds.
            typical: The latencies of the route.
        """
        left_s = self.requests_end_s - self.loop.time()
        needed_s = time_limit_s
        if route.idempotent:
            needed_s = min(needed_s, typical.late_after_s)
        return needed_s > left_s

    async def run(self, request: Run) -> outcomes.Outcome:
        """Runs a request, but not beyond the end of the process."""
        end_s = self.requests_end_s
        limit = asyncio.timeout_at(None if math.isinf(end_s) else end_s)
        self.running.add(limit)
        try:
            async with limit:
                return await request
        except TimeoutError:
            if not limit.expired():
                raise
            return outcomes.Outcome("late", 504, reason="the VM stops")
        finally:
            self.running.discard(limit)


def create_planned_stop() -> PlannedStop:
    """Returns the state before SIGTERM."""
    return PlannedStop()
