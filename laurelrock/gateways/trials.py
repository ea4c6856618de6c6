"""Trials: what the calls of one request at one VM show about crashes.

A request may crash each searcher that begins to run it. As long as none of its
calls was answered, it may therefore lose only few searchers before its other
calls wait for an answer; a request that crashed searchers before gets one call
at a time.
"""

import collections.abc
import typing

from laurelrock.gateways import upstreams

__all__ = ["Trial", "create_trial"]

#: Calls that may lose their connections before others wait for an answer.
MAX_LOST = 2


class ParkedCall(typing.NamedTuple):
    """A call that waits until the request was answered elsewhere.

    Attributes:
        begin: Makes the call.
        drop: Gives the call up.
    """

    begin: collections.abc.Callable[[], None]
    drop: collections.abc.Callable[[], None]


class Trial:
    """State of the calls of one request.

    Attributes:
        suspect: Whether the request crashed searchers before.
        answered: Whether a searcher ran the request and answered.
        lost: The searchers whose connections ended during their calls.
        in_flight: The number of calls that haven't ended.
        parked: The calls that wait for an answer.
        check_pending: Whether the lost searchers are about to be checked.
        on_late_end: Called when a call ends after the request; None before.
    """

    def __init__(self) -> None:
        self.suspect = False
        self.answered = False
        self.lost: list[upstreams.Upstream] = []
        self.in_flight = 0
        self.parked: list[ParkedCall] = []
        self.check_pending = False
        self.on_late_end: collections.abc.Callable[[], None] | None = None

    def must_wait(self) -> bool:
        """Returns whether another call has to wait for an answer."""
        if self.answered:
            return False
        if self.suspect:
            return bool(self.in_flight or self.lost)
        return len(self.lost) >= MAX_LOST

    def may_hedge(self) -> bool:
        """Returns whether a late call may be hedged.

        If several calls run and none was answered, more searchers would crash.
        """
        if self.answered:
            return True
        return self.in_flight <= 1 and not self.must_wait()

    def park(self, call: ParkedCall) -> None:
        """Makes a call later, if the request is answered."""
        self.parked.append(call)

    def begin_call(self) -> None:
        """Records the start of a call."""
        self.in_flight += 1

    def end_call(
        self, upstream: upstreams.Upstream, answered: bool, lost: bool
    ) -> None:
        """Records the end of a call.

        Args:
            upstream: The searcher.
            answered: Whether the searcher ran the request and answered.
            lost: Whether the connection ended before a complete answer.
        """
        self.in_flight -= 1
        self.answered |= answered
        if lost:
            self.lost.append(upstream)
        if self.on_late_end is not None and (answered or lost):
            self.on_late_end()

    def settle(self) -> None:
        """Makes or gives up the parked calls if that is decided."""
        if self.answered:
            parked, self.parked = self.parked, []
            for call in parked:
                call.begin()
        elif self.lost and not self.in_flight:
            parked, self.parked = self.parked, []
            for call in parked:
                call.drop()
        elif self.parked and not self.in_flight:
            # The call that was tried first never reached a searcher.
            self.parked.pop(0).begin()


def create_trial() -> Trial:
    """Returns the state before the first call."""
    return Trial()
