"""Maps the messages between VMs to the parts of a gateway that handle them."""

import collections.abc
import typing

from laurelrock.adapters import frames
from laurelrock.gateways import crash_watch
from laurelrock.gateways import group_messages
from laurelrock.gateways import lending
from laurelrock.gateways import limit_sharing
from laurelrock.gateways import state_sharing
from laurelrock.gateways.tenants import cap_messages

if typing.TYPE_CHECKING:
    from laurelrock.gateways import gateway as gateways

__all__ = ["KINDS", "Handler", "create_handlers"]

#: Types of the messages, by the number of their kind.
KINDS: dict[int, type] = {
    **group_messages.KINDS,
    **state_sharing.KINDS,
    **lending.KINDS,
    **limit_sharing.KINDS,
    **crash_watch.KINDS,
    **cap_messages.KINDS,
}

Handler = collections.abc.Callable[[frames.Link, typing.Any], None]


def create_handlers(gateway: "gateways.Gateway") -> dict[type, Handler]:
    """Returns the handler of each type of message."""
    rows: list[tuple[dict[int, type], Handler]] = [
        (group_messages.KINDS, gateway.groups.handle_message),
        (state_sharing.KINDS, gateway.sharing.handle_message),
        (lending.KINDS, gateway.lending.handle_message),
        (limit_sharing.KINDS, gateway.limit_sharing.handle_message),
        (crash_watch.KINDS, gateway.crash_watch.handle_message),
        (cap_messages.KINDS, gateway.cap_sharing.handle_message),
    ]
    handlers = {
        kind: handle for kinds, handle in rows for kind in kinds.values()
    }
    handlers[frames.UnknownKind] = gateway.groups.handle_message
    handlers[group_messages.PartitionHint] = lambda link, message: (
        gateway.partition_detector.record_hint()
    )
    return handlers
