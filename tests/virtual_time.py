"""Event loop in virtual time, for tests that control the order of events."""

import asyncio
import collections.abc
import logging
import math
import selectors
import typing

import structlog

IdleCallback = collections.abc.Callable[[float | None], float]


class DeadlockError(Exception):
    """All tasks wait, but neither a timer nor an event is pending."""


class VirtualSelector(selectors.SelectSelector):
    """Selector that calls `idle` instead of waiting."""

    idle: IdleCallback | None = None

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None or timeout > 0:
            assert self.idle is not None
            self.idle(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when all tasks wait.

    `idle` is then called with the seconds until the next timer, or None if
    there is no timer. It returns the seconds by which time advances, and may
    schedule callbacks.
    """

    def __init__(self, idle: IdleCallback | None = None) -> None:
        self.now_s = 1000.0
        selector = VirtualSelector()
        super().__init__(selector)
        self.idle_callback = idle or skip_to_timer
        selector.idle = self.on_idle
        # With a coarser resolution a timer could fire early and be set again
        # without end.
        self._clock_resolution = math.ulp(self.now_s)

    def time(self) -> float:
        return self.now_s

    def on_idle(self, timeout: float | None) -> float:
        self.now_s += self.idle_callback(timeout)
        self._clock_resolution = math.ulp(self.now_s)
        return 0.0

    def finish(self) -> None:
        """Cancels all remaining tasks and closes the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            done = asyncio.gather(*tasks, return_exceptions=True)
            self.run_until_complete(done)
        self.close()


def skip_to_timer(timeout: float | None) -> float:
    """Advances virtual time to the next timer.

    Raises:
        DeadlockError: There is no timer.
    """
    if timeout is None:
        raise DeadlockError
    return timeout


def run(coroutine: typing.Any) -> typing.Any:
    """Runs a coroutine in virtual time and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.finish()


def suppress_logs() -> None:
    """Suppresses log events in the output of tests."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
