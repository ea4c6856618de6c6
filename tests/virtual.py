"""Event loop in virtual time, for tests that decide the order of events."""

import asyncio
import collections.abc
import logging
import math
import selectors
import typing

import structlog

Idle = collections.abc.Callable[[float | None], float]


class DeadlockError(Exception):
    """Nothing is scheduled and nothing can happen."""


class VirtualSelector(selectors.SelectSelector):
    """Asks `idle` where the loop would wait."""

    idle: Idle | None = None

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None or timeout > 0:
            assert self.idle is not None
            self.idle(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop whose time stands still while anything can run.

    When all tasks wait, `idle` is called with the seconds until the next
    timer (None if there is none). It returns by how much time advances, and
    may schedule callbacks.
    """

    def __init__(self, idle: Idle | None = None) -> None:
        self.now_s = 1000.0
        selector = VirtualSelector()
        super().__init__(selector)
        self.decide = idle or skip_to_timer
        selector.idle = self.on_idle
        # A timer that fires early would be set anew without an end.
        self._clock_resolution = math.ulp(self.now_s)

    def time(self) -> float:
        return self.now_s

    def on_idle(self, timeout: float | None) -> float:
        self.now_s += self.decide(timeout)
        self._clock_resolution = math.ulp(self.now_s)
        return 0.0

    def finish(self) -> None:
        """Cancels what still runs and closes the loop."""
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            done = asyncio.gather(*tasks, return_exceptions=True)
            self.run_until_complete(done)
        self.close()


def skip_to_timer(timeout: float | None) -> float:
    """Advances the time to the next timer."""
    if timeout is None:
        raise DeadlockError
    return timeout


def run(coroutine: typing.Any) -> typing.Any:
    """Runs a coroutine in virtual time; returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.finish()


def silence_logs() -> None:
    """Keeps the logs out of the tests' output."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
