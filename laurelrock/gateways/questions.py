"""Messages about groups of shards and single requests, between gateways."""

import typing

from laurelrock.adapters import http_client
from laurelrock.gateways import outcomes

__all__ = [
    "KINDS",
    "Answered",
    "Ask",
    "Begin",
    "Declined",
    "Drop",
    "Found",
    "Link",
    "Look",
    "Ping",
    "Pong",
    "Survey",
    "Surveyed",
    "Taken",
    "answered",
    "outcome_of",
]


class Ask(typing.NamedTuple):
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
    aim_s: float
    left_s: float
    whole: bool = False
    repeatable: bool = True


class Taken(typing.NamedTuple):
    """Says that the owner is there and waits to begin.

    Attributes:
        number: Of the group.
        blocked: Shards of it that the owner can't reach now.
        far_silent: Whether all other failure domains are silent to the owner.
    """

    number: int
    blocked: int = 0
    far_silent: bool = False


class Declined(typing.NamedTuple):
    """Says that the owner takes no more groups, since it stops."""

    number: int


class Begin(typing.NamedTuple):
    """Tells the owner to begin; no other one is told so."""

    number: int


class Found(typing.NamedTuple):
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
    left: int
    calls: int


class Answered(typing.NamedTuple):
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
    passed_on: bool
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempts: int
    reason: str


def answered(number: int, outcome: outcomes.Outcome) -> Answered:
    """Returns the message that tells of an outcome."""
    reply = outcome.reply
    return Answered(
        number,
        outcome.kind,
        outcome.status,
        reply is not None,
        reply.headers if reply else [],
        reply.body if reply else b"",
        outcome.attempts,
        outcome.reason,
    )


def outcome_of(message: Answered) -> outcomes.Outcome:
    """Returns the outcome that a message tells of."""
    reply = None
    if message.passed_on:
        reply = http_client.Reply(message.status, message.headers, message.body)
    return outcomes.Outcome(
        message.kind,
        message.status,
        reply,
        attempts=message.attempts,
        reason=message.reason,
    )


class Drop(typing.NamedTuple):
    """Says that nobody waits for a group any more."""

    number: int


class Ping(typing.NamedTuple):
    """Asks an owner that was silent whether it is back."""

    asker: str


class Pong(typing.NamedTuple):
    """Says that an owner is there and takes groups."""

    owner: str


class Survey(typing.NamedTuple):
    """Asks an owner which shards of its group it can't reach."""

    services: tuple[str, ...]


class Surveyed(typing.NamedTuple):
    """Says how many shards of a group an owner can't reach.

    Attributes:
        key: First shard of the group.
        blocked: Shards.
        far_silent: See `Taken`.
    """

    key: str
    blocked: int
    far_silent: bool


class Look(typing.NamedTuple):
    """Says that the sender is cut off; others of its domain may be too."""

    vm: str


class Link(typing.Protocol):
    """Way to a VM."""

    def send(self, message: typing.Any) -> None:
        """Queues a message."""


KINDS: dict[int, type] = {
    1: Ask,
    2: Taken,
    3: Found,
    4: Drop,
    7: Begin,
    8: Declined,
    11: Ping,
    12: Pong,
    13: Answered,
    14: Survey,
    15: Surveyed,
    16: Look,
}
