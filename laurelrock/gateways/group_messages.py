"""Messages that gateways exchange about shard groups and single requests.

Each message is sent as a MessagePack array of its fields, in order.
"""

import typing

from laurelrock.adapters import http_client
from laurelrock.core import registry
from laurelrock.gateways import outcomes

__all__ = [
    "KINDS",
    "CancelGroup",
    "DeclineReason",
    "GroupAccepted",
    "GroupDeclined",
    "GroupRequest",
    "GroupResult",
    "Link",
    "PartitionHint",
    "Ping",
    "Pong",
    "ReachabilityQuery",
    "ReachabilityReport",
    "SingleResult",
    "StartGroup",
    "decode_outcome",
    "encode_outcome",
]


class GroupRequest(typing.NamedTuple):
    """Asks an owner to accept a group of shards or a single request.

    Attributes:
        number: Identifies the group among those that the sender asked for.
        request_id: The id of the caller's attempt.
        method: The HTTP method of the request.
        target: The request target.
        headers: The headers that are forwarded to searchers.
        body: The request body.
        route: The name of the route, under which latencies are recorded.
        version: The version of the configuration, for logs.
        services: The services of the group, one per shard.
        attempts: The maximum number of searchers reached for each part.
        max_records: The maximum number of records in the result.
        due_in_s: The time in seconds until the first result is due.
        remaining_s: The time in seconds until the caller gives up.
        single: Whether the group is a single request, which one searcher
            answers; the owner then returns that searcher's whole answer.
        idempotent: Whether the request may run more than once.
        workspace: The name of the caller's workspace; empty if there is none.
        regions: The regions in which the request may run; empty for all.
        priority: The priority of the request; 0 is the highest.
        needed: The number of services that have to respond; an owner that
            expects fewer in time declines the group. 0 if it should run it.
    """

    number: int
    request_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: str
    version: int
    services: tuple[str, ...]
    attempts: int
    max_records: int
    due_in_s: float
    remaining_s: float
    single: bool = False
    idempotent: bool = True
    workspace: str = ""
    regions: tuple[str, ...] = ()
    priority: int = 0
    needed: int = 0


class GroupAccepted(typing.NamedTuple):
    """Says that the owner accepted a group and waits for `StartGroup`.

    Attributes:
        number: The number of the group.
        unreachable: The number of the group's shards that the owner can't
            reach at present.
        remote_domains_silent: Whether the owner gets no answer from any other
            failure domain.
        resume_in_s: The time in seconds until the shards whose searchers asked
            for a pause accept calls; 0 if there are none.
        disconnected: The number of the group's shards none of whose searchers
            responds to the owner.
    """

    number: int
    unreachable: int = 0
    remote_domains_silent: bool = False
    resume_in_s: float = 0.0
    disconnected: int = 0


DeclineReason = typing.Literal["stopping", "isolated", "overloaded"]


class GroupDeclined(typing.NamedTuple):
    """Says that a VM doesn't run a group.

    Attributes:
        number: The number of the group.
        reason: Whether the VM is stopping, has lost all searchers, or expects
            too few shards to respond in time. VMs of a later version may have
            more reasons than `DeclineReason`.
        retry_in_s: The time in seconds until an overloaded VM could complete
            the group; 0 if unknown.
    """

    number: int
    reason: str = "stopping"
    retry_in_s: float = 0.0


class StartGroup(typing.NamedTuple):
    """Tells an owner to run a group; it is sent to one owner per group.

    Attributes:
        number: The number of the group.
        advance_s: The time in seconds by which the first result is due earlier
            than the request said, for the way of the messages.
    """

    number: int
    advance_s: float = 0.0


class GroupResult(typing.NamedTuple):
    """Carries the parts that completed since the previous result.

    Attributes:
        number: The number of the group.
        places: The indexes of the parts in the group.
        stamps: The server stamps of the parts, in the same order.
        records: The highest-ranked records of the parts.
        pending: The number of parts that may still complete.
        calls: The number of calls made for the group so far.
        leaving: The searchers of the group's services that declared to leave.
        again: The indexes of parts that another VM may run, since the owner has
            lost all searchers.
        attempts_left: The number of searchers that may be reached for these.
    """

    number: int
    places: list[int]
    stamps: list[bytes]
    records: bytes
    pending: int
    calls: int
    leaving: tuple[registry.Start, ...] = ()
    again: tuple[int, ...] = ()
    attempts_left: int = 0


class SingleResult(typing.NamedTuple):
    """Carries the outcome of a request that one searcher answers.

    Attributes:
        number: The number of the request.
        kind: The kind of outcome; see `outcomes.Outcome`.
        status: The HTTP status.
        has_reply: Whether a searcher's answer is passed on, in `headers` and
            `body`.
        headers: The headers of the searcher's answer.
        body: The body of the searcher's answer.
        attempts: The number of calls made.
        reason: The reason of a failure, for logs.
        resume_in_s: See `outcomes.Outcome`.
        leaving: The searchers of the service that declared to leave.
    """

    number: int
    kind: outcomes.Kind
    status: int
    has_reply: bool
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempts: int
    reason: str
    resume_in_s: float = 0.0
    leaving: tuple[registry.Start, ...] = ()


def encode_outcome(
    number: int, outcome: outcomes.Outcome, leaving: tuple[registry.Start, ...]
) -> SingleResult:
    """Returns the message for an outcome."""
    reply = outcome.reply
    return SingleResult(
        number,
        outcome.kind,
        outcome.status,
        reply is not None,
        reply.headers if reply else [],
        reply.body if reply else b"",
        outcome.attempts,
        outcome.reason,
        outcome.resume_in_s,
        leaving,
    )


def decode_outcome(message: SingleResult) -> outcomes.Outcome:
    """Returns the outcome in a message."""
    reply = None
    if message.has_reply:
        reply = http_client.Reply(message.status, message.headers, message.body)
    return outcomes.Outcome(
        message.kind,
        message.status,
        reply,
        attempts=message.attempts,
        reason=message.reason,
        resume_in_s=message.resume_in_s,
    )


class CancelGroup(typing.NamedTuple):
    """Cancels a group whose result is no longer needed."""

    number: int


class Ping(typing.NamedTuple):
    """Asks a VM to reply with `Pong` if it accepts groups."""

    sender: str


class Pong(typing.NamedTuple):
    """Says that a VM is running and accepts groups."""

    owner: str


class ReachabilityQuery(typing.NamedTuple):
    """Asks an owner how many shards of its group it can't reach."""

    services: tuple[str, ...]


class ReachabilityReport(typing.NamedTuple):
    """Says how many shards of a group an owner can't reach.

    Attributes:
        key: The first shard of the group.
        unreachable: The number of shards that the owner can't reach.
        remote_domains_silent: See `GroupAccepted`.
        resume_in_s: See `GroupAccepted`.
        disconnected: See `GroupAccepted`.
        vm: The name of the owner.
        isolated: Whether it has lost all searchers.
    """

    key: str
    unreachable: int
    remote_domains_silent: bool
    resume_in_s: float = 0.0
    disconnected: int = 0
    vm: str = ""
    isolated: bool = False


class PartitionHint(typing.NamedTuple):
    """Says that the sender is partitioned, and so its failure domain may be."""

    vm: str


class Link(typing.Protocol):
    """A connection to another VM."""

    def send(self, message: typing.Any) -> None:
        """Queues a message."""

    def send_whole(self, message: typing.Any) -> None:
        """Queues a message only if the other VM knows all of its fields."""


KINDS: dict[int, type] = {
    1: GroupRequest,
    2: GroupAccepted,
    3: GroupResult,
    4: CancelGroup,
    7: StartGroup,
    8: GroupDeclined,
    11: Ping,
    12: Pong,
    13: SingleResult,
    14: ReachabilityQuery,
    15: ReachabilityReport,
    16: PartitionHint,
}
