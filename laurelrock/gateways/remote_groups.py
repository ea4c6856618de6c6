"""Groups that other VMs run for this one, their links, and silent owners."""

import asyncio
import collections.abc
import typing

from laurelrock.adapters import http_wire
from laurelrock.core import answer_schedule
from laurelrock.core import owners
from laurelrock.gateways import calls
from laurelrock.gateways import group_messages

__all__ = [
    "Loopback",
    "RemoteGroup",
    "UnresponsiveOwner",
    "encode_request",
    "encode_start",
]

#: Shortest and longest interval in seconds between pings of an unresponsive
#: owner; the interval doubles with each ping.
MIN_PING_INTERVAL_S = 0.5
MAX_PING_INTERVAL_S = 4.0


class RemoteGroup:
    """A group of shards that another VM runs for this one.

    Attributes:
        context: The caller's request.
        services: The services of the group, one per shard.
        attempts: The maximum number of searchers reached for each service.
        owners: The VMs that may be asked, in order of preference.
        due_s: The loop time at which the first result is due.
        on_change: Called when parts completed or the group ended.
        single: Whether the group is a request that one searcher answers.
        needed: The number of services that have to respond; owners may decline
            the group if they expect fewer.
        held: Whether owners that accept the group aren't told to start yet.
        reply: The result of such a request.
        tried: The names of the owners that were asked or may not be asked.
        older: The number of owners that turned out to run the previous version
            and may not be asked because of that.
        owner: The owner that is asked now.
        link: The connection to that owner.
        number: The number of the group in messages.
        asked_s: The loop time at which that owner was asked.
        round_trip_s: The time in seconds from then to the owner's reply.
        started: Whether the owner was told to start.
        may_have_run: Whether any owner was told to start.
        accepted: The owner's message, while the group is held.
        retry_in_s: The shortest time in seconds until an owner that declined
            for overload could complete the group; 0 if none did.
        declined: Whether no owner accepts the group because of overload.
        stamps: The server stamps of the completed parts.
        records: The records of the completed parts.
        missing: The services whose parts haven't completed.
        pending: The number of parts that may still complete.
        unreachable: The number of pending parts whose searchers the owner
            can't reach.
        calls: The number of calls made for the group, as far as known.
        timer: Expires if the owner doesn't accept the group in time.
    """

    def __init__(
        self,
        context: calls.RequestContext,
        services: tuple[str, ...],
        candidates: list[owners.Vm],
        due_s: float,
        on_change: collections.abc.Callable[[], None],
        single: bool = False,
        needed: int = 0,
        held: bool = False,
    ) -> None:
        self.context = context
        self.services = services
        self.attempts = context.route.attempts
        self.owners = candidates
        self.due_s = due_s
        self.on_change = on_change
        self.single = single
        self.needed = needed
        self.held = held
        self.reply: group_messages.SingleResult | None = None
        self.tried: set[str] = set()
        self.older = 0
        self.owner: owners.Vm | None = None
        self.link: group_messages.Link | None = None
        self.number = 0
        self.asked_s = 0.0
        self.round_trip_s = 0.0
        self.started = False
        self.may_have_run = False
        self.accepted: group_messages.GroupAccepted | None = None
        self.retry_in_s = 0.0
        self.declined = False
        self.stamps: list[bytes] = []
        self.records: list[bytes] = []
        self.missing = set(services)
        self.pending = len(services)
        self.unreachable = 0
        self.calls = 0
        self.timer: asyncio.TimerHandle | None = None

    @property
    def answered(self) -> int:
        """The number of completed parts."""
        return len(self.stamps)

    def stop_timer(self) -> None:
        """Stops waiting for the owner's reply."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def restart(self, places: tuple[int, ...], attempts: int) -> None:
        """Lets another VM run services that the owner can't complete.

        Args:
            places: The indexes of the services.
            attempts: The number of searchers that may still be reached for
                each.
        """
        self.started = False
        # The query has begun, so that it is not refused any more.
        self.needed = 0
        self.services = tuple(self.services[n] for n in places)
        self.attempts = attempts
        self.pending = len(self.services)
        self.unreachable = 0

    def finish(self) -> None:
        """Ends the group; nothing more is received."""
        self.stop_timer()
        if self.pending:
            self.pending = 0
            self.on_change()


class Loopback:
    """Link of a VM to itself, for a group that no other owner accepts.

    Attributes:
        handle: Handles a message, given the link on which it arrived.
    """

    def __init__(
        self,
        handle: collections.abc.Callable[
            [group_messages.Link, typing.Any], None
        ],
    ) -> None:
        self.handle = handle
        self.loop = asyncio.get_running_loop()

    def send(self, message: typing.Any) -> None:
        """Delivers a message in the next iteration of the event loop."""
        self.loop.call_soon(self.handle, self, message)

    def send_whole(self, message: typing.Any) -> None:
        """Delivers a message; this VM knows all fields."""
        self.send(message)


class UnresponsiveOwner:
    """An owner that didn't respond, declined or disconnected.

    It is skipped and pinged until it replies.

    Attributes:
        vm: The owner.
        misses: The number of times in a row that it didn't respond.
        timer: Triggers the next ping.
    """

    def __init__(self, vm: owners.Vm) -> None:
        self.vm = vm
        self.misses = 0
        self.timer: asyncio.TimerHandle | None = None

    def next_interval_s(self) -> float:
        """Returns the time in seconds until the next ping; it doubles."""
        self.misses += 1
        return min(
            MIN_PING_INTERVAL_S * 2 ** (self.misses - 1), MAX_PING_INTERVAL_S
        )

    def stop_timer(self) -> None:
        """Stops pinging."""
        if self.timer is not None:
            self.timer.cancel()


def encode_start(group: RemoteGroup) -> group_messages.StartGroup:
    """Returns the message that tells the owner of a group to start."""
    due_in_s = answer_schedule.owner_due_s(group.due_s) - group.asked_s
    return group_messages.StartGroup(
        group.number,
        answer_schedule.owner_advance_s(group.round_trip_s, due_in_s),
    )


def encode_request(
    group: RemoteGroup, now_s: float
) -> group_messages.GroupRequest:
    """Returns the message that asks for a group at a loop time."""
    context = group.context
    return group_messages.GroupRequest(
        number=group.number,
        request_id=context.caller_headers.request_id,
        method=context.request.method,
        target=context.request.target,
        headers=http_wire.end_to_end(context.request.headers),
        body=context.request.body,
        route=context.route.name,
        version=context.version,
        services=group.services,
        attempts=group.attempts,
        max_records=context.route.max_records,
        due_in_s=answer_schedule.owner_due_s(group.due_s) - now_s,
        remaining_s=context.end_s - now_s,
        single=group.single,
        idempotent=context.route.idempotent,
        workspace=context.workspace,
        regions=context.route.regions,
        priority=context.route.priority,
        needed=group.needed,
    )
