"""Bus port: messages between daemons."""

import collections.abc
import typing

__all__ = ["Bus", "Sender"]

#: Opaque identity of the process that sent a message; answers go to it.
Sender = bytes


class Bus(typing.Protocol):
    """Sends and receives `laurelrock.messages`; delivery is not certain."""

    def send(self, address: str, message: typing.Any) -> bool:
        """Queues a message for the daemon at `IP:port`.

        Returns:
            False when the peer's queue is full; the message was dropped.
        """

    def reply(self, sender: Sender, message: typing.Any) -> bool:
        """Queues a message for the process that sent one; see `send`."""

    def forget(self, address: str) -> None:
        """Drops the connection to a peer; the next `send` opens a new one."""

    def on(
        self,
        kind: type,
        handler: collections.abc.Callable[[Sender, typing.Any], None],
    ) -> None:
        """Registers the handler of a message type."""
