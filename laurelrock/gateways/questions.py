"""Messages about groups of shards and single requests, between gateways."""

import typing

from laurelrock.adapters import http_client
from laurelrock.gateways import outcomes

__all__ = [
    "KINDS",
    "CancelGroup",
    "GroupAccepted",
    "GroupDeclined",
    "GroupRequest",
    "GroupResult",
    "IsolationHint",
    "Link",
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
    """Asks an owner for a group; the sender's number names the group.

    Attributes:
        number: Unique on the link.
        request_id: Of the caller's attempt.
        method: Of the request.
        target: Of the request.
        headers: That searchers get.
        body: Of the request.
        route: Name, under which latencies count.
        version: Of the configuration, for logs.
        services: Of the group, one a shard.
        attempts: Searchers that each part may reach.
        top: Records that are sent back at most.
        aim_s: Time until the first answer is due.
        left_s: Time until the caller gives up.
        whole: Whether one searcher answers; the owner then replies with its
            whole answer, for the one service of the group.
        repeatable: Whether the request may run more than once.
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
    top: int
    due_in_s: float
    remaining_s: float
    single: bool = False
    repeatable: bool = True


class GroupAccepted(typing.NamedTuple):
    """Says that the owner is there and waits to begin.

    Attributes:
        number: Of the group.
        blocked: Shards of it that the owner can't reach now.
        far_silent: Whether all other failure domains are silent to the owner.
    """

    number: int
    unreachable: int = 0
    remote_domains_silent: bool = False


class GroupDeclined(typing.NamedTuple):
    """Says that the owner takes no more groups, since it stops."""

    number: int


class StartGroup(typing.NamedTuple):
    """Tells the owner to begin; no other one is told so."""

    number: int


class GroupResult(typing.NamedTuple):
    """Parts that came in since the last one.

    Attributes:
        number: Of the group.
        places: Of the parts in the group.
        proofs: Of the parts, in the same order.
        records: Greatest of their records.
        left: Parts that may still come.
        calls: Made so far for the group.
    """

    number: int
    places: list[int]
    proofs: list[bytes]
    records: bytes
    pending: int
    calls: int


class SingleResult(typing.NamedTuple):
    """How a request ended that one searcher answers.

    Attributes:
        number: Of the question.
        kind: See `outcomes.Outcome`.
        status: Of the answer.
        passed_on: Whether it is a searcher's, with the next two.
        headers: Of the searcher's answer.
        body: Of the searcher's answer.
        attempts: Calls made.
        reason: Of a failure, for logs.
    """

    number: int
    kind: outcomes.Kind
    status: int
    has_reply: bool
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempts: int
    reason: str


def encode_outcome(number: int, outcome: outcomes.Outcome) -> SingleResult:
    """Returns the message that tells of an outcome."""
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
    )


def decode_outcome(message: SingleResult) -> outcomes.Outcome:
    """Returns the outcome that a message tells of."""
    reply = None
    if message.has_reply:
        reply = http_client.Reply(message.status, message.headers, message.body)
    return outcomes.Outcome(
        message.kind,
        message.status,
        reply,
        attempts=message.attempts,
        reason=message.reason,
    )


class CancelGroup(typing.NamedTuple):
    """Says that nobody waits for a group any more."""

    number: int


class Ping(typing.NamedTuple):
    """Asks an owner that was silent whether it is back."""

    sender: str


class Pong(typing.NamedTuple):
    """Says that an owner is there and takes groups."""

    owner: str


class ReachabilityQuery(typing.NamedTuple):
    """Asks an owner which shards of its group it can't reach."""

    services: tuple[str, ...]


class ReachabilityReport(typing.NamedTuple):
    """Says how many shards of a group an owner can't reach.

    Attributes:
        key: First shard of the group.
        blocked: Shards.
        far_silent: See `Taken`.
    """

    key: str
    unreachable: int
    remote_domains_silent: bool


class IsolationHint(typing.NamedTuple):
    """Says that the sender is cut off; others of its domain may be too."""

    vm: str


class Link(typing.Protocol):
    """Way to a VM."""

    def send(self, message: typing.Any) -> None:
        """Queues a message."""


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
    16: IsolationHint,
}
