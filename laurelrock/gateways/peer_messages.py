"""Kinds of the messages between VMs, and their mapping to handlers."""

import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.adapters import message_versions
from laurelrock.core import routes
from laurelrock.gateways import crash_watch
from laurelrock.gateways import group_messages
from laurelrock.gateways import lending
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import state_sharing
from laurelrock.gateways.workspaces import cap_messages

__all__ = [
    "FIELD_COUNTS",
    "KINDS",
    "VERSIONS",
    "Handler",
    "HandlersByKinds",
    "create_handlers",
]

#: Types of the messages, by the number of their kind.
KINDS: dict[int, type] = {
    **group_messages.KINDS,
    **state_sharing.KINDS,
    **lending.KINDS,
    **limit_sharing.KINDS,
    **crash_watch.KINDS,
    **cap_messages.KINDS,
}

#: Number of fields that the previous version knows of the types that have more
#: now. It rejects messages with more fields.
FIELD_COUNTS: dict[type, int] = {
    group_messages.GroupRequest: 15,
    group_messages.GroupDeclined: 2,
    group_messages.StartGroup: 1,
    limit_sharing.LimitReport: 5,
    limit_sharing.LimitShares: 3,
    state_sharing.StateUpdate: 7,
    routes.Configuration: 4,
    routes.Route: 12,
    routes.Service: 2,
}
#: The differences from the previous version's messages. A VM of that version
#: answers the probe, a ping without a sender, unless it is stopping, when it
#: accepts no groups either. Others have told their version and don't answer.
VERSIONS = message_versions.Versions(
    1,
    FIELD_COUNTS,
    frozenset(cap_messages.KINDS.values()),
    group_messages.Ping(""),
)

Handler = collections.abc.Callable[[frames.Link, typing.Any], None]


class HandlersByKinds(typing.NamedTuple):
    """The handlers of messages, one for the kinds of each module.

    Attributes:
        groups: Handles `group_messages.KINDS`, except partition hints, and
            replies that name an unknown kind.
        partition_hints: Called at a `group_messages.PartitionHint`.
        state: Handles `state_sharing.KINDS`.
        lending: Handles `lending.KINDS`.
        limits: Handles `limit_sharing.KINDS`.
        crashes: Handles `crash_watch.KINDS`.
        caps: Handles `cap_messages.KINDS`.
    """

    groups: Handler
    partition_hints: collections.abc.Callable[[], None]
    state: Handler
    lending: Handler
    limits: Handler
    crashes: Handler
    caps: Handler


def create_handlers(by_kinds: HandlersByKinds) -> dict[type, Handler]:
    """Returns the handler of each type of message."""
    rows: list[tuple[dict[int, type], Handler]] = [
        (group_messages.KINDS, by_kinds.groups),
        (state_sharing.KINDS, by_kinds.state),
        (lending.KINDS, by_kinds.lending),
        (limit_sharing.KINDS, by_kinds.limits),
        (crash_watch.KINDS, by_kinds.crashes),
        (cap_messages.KINDS, by_kinds.caps),
    ]
    handlers = {
        kind: handle for kinds, handle in rows for kind in kinds.values()
    }
    handlers[frames.UnknownKind] = by_kinds.groups
    handlers[frames.NotSent] = lambda link, row: handlers[type(row.message)](
        link, row
    )
    handlers[group_messages.PartitionHint] = lambda link, message: (
        by_kinds.partition_hints()
    )
    return handlers
