"""Accepts a limited number of connections at one address.

`asyncio.Server` accepts all connections that wait, so that clients can use up
the descriptors that a process needs for its own connections.
"""

import asyncio
import collections.abc
import socket

from laurelrock.adapters import logs

__all__ = ["Acceptor", "open_acceptor"]

#: Maximum number of connections that wait in the kernel to be accepted.
BACKLOG = 1024
#: Maximum number of connections that are accepted in one step of the loop.
MAX_ACCEPTS = 64
#: Time in seconds after which accepting is tried again after a failure.
RETRY_S = 0.2
#: Size of the kernel's receive buffer of a connection, in bytes. The kernel
#: doubles it, and stops enlarging the buffer of a connection that is read fast.
RECEIVE_BUFFER_BYTES = 32_768

Address = tuple[str, int]

_log = logs.get_logger(__name__)


class Acceptor:
    """A listening socket.

    Attributes:
        sock: The listening socket.
        create_protocol: Returns the protocol of a new connection, which calls
            `release` once the connection is closed.
        make_room: Ends connections that can be spared; called when a connection
            waits while the maximum number is open.
        max_connections: Maximum number of open connections.
        open_connections: Number of open connections.
        paused: Whether no connection is accepted for now.
        closed: Whether the socket is closed.
        tasks: Tasks that are opening connections, kept from collection.
    """

    def __init__(
        self,
        sock: socket.socket,
        create_protocol: collections.abc.Callable[[], asyncio.Protocol],
        make_room: collections.abc.Callable[[], None],
        max_connections: int,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.create_protocol = create_protocol
        self.make_room = make_room
        self.max_connections = max_connections
        self.open_connections = 0
        self.paused = True
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket, as `asyncio.Server` has it."""
        return (self.sock,)

    def accept_waiting(self) -> None:
        """Accepts the connections that wait, as far as there is room.

        Called only while at least one connection waits.
        """
        room = self.max_connections - self.open_connections
        if room <= 0:
            self.pause()
            self.make_room()
            return
        for _ in range(min(room, MAX_ACCEPTS)):
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                _log.warning("accept-failed", reason=repr(error))
                self.pause()
                self.loop.call_later(RETRY_S, self.resume)
                return
            connection.setblocking(False)
            self.open_connections += 1
            task = self.loop.create_task(self.open_connection(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def open_connection(self, connection: socket.socket) -> None:
        """Passes an accepted connection to its protocol."""
        try:
            await self.loop.connect_accepted_socket(
                self.create_protocol, connection
            )
        except OSError as error:
            # Its protocol never learns of it and doesn't call `release`.
            _log.info("accept-failed", reason=repr(error))
            connection.close()
            self.release()

    def release(self) -> None:
        """Records the end of a connection."""
        self.open_connections -= 1
        self.resume()

    def pause(self) -> None:
        """Stops accepting until `resume`."""
        if not self.paused:
            self.paused = True
            self.loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Accepts connections again."""
        if self.paused and not self.closed:
            self.paused = False
            self.loop.add_reader(self.sock, self.accept_waiting)

    def close(self) -> None:
        """Stops listening; the open connections continue."""
        self.pause()
        self.closed = True
        self.sock.close()

    async def wait_closed(self) -> None:
        """Returns at once; `asyncio.Server` waits for its connections here."""


def open_acceptor(
    address: Address,
    create_protocol: collections.abc.Callable[[], asyncio.Protocol],
    make_room: collections.abc.Callable[[], None],
    max_connections: int,
) -> Acceptor:
    """Starts to accept connections at an IPv4 address.

    Args:
        address: Address to listen on.
        create_protocol: Returns the protocol of a new connection, which calls
            `Acceptor.release` once the connection is closed.
        make_room: Ends connections that can be spared.
        max_connections: Maximum number of open connections.

    Raises:
        OSError: The address can't be listened on.
    """
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    acceptor = Acceptor(sock, create_protocol, make_room, max_connections)
    acceptor.resume()
    return acceptor
