"""Interface of the message bus between daemons."""

import collections.abc
import typing

__all__ = ["Bus", "Sender"]

#: Opaque identity of the process that sent a message, for replies to it.
Sender = bytes


class Bus(typing.Protocol):
    """Sends and receives `laurelrock.messages`, without delivery guarantee."""

    def send(self, address: str, message: typing.Any) -> bool:
        """Queues a message for the daemon at `IP:port`.

        Returns:
            False if the peer's queue is full; the message was dropped.
        """

    def reply(self, sender: Sender, message: typing.Any) -> bool:
        """Queues a message for the sender of a message, as `send` does."""

    def forget(self, address: str) -> None:
        """Closes the connection to a peer; the next `send` opens a new one."""

    def on(
        self,
        kind: type,
        handler: collections.abc.Callable[[Sender, typing.Any], None],
    ) -> None:
        """Registers the handler of a message type."""
