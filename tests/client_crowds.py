"""Crowds of clients that exceed what ordinary callers send.

Each crowd opens its connections at once, sends what its script says, reads
nothing and stays connected. Connections that the server closes are left closed.
"""

import asyncio
import collections.abc
import socket
import typing

__all__ = ["Crowd", "open_crowd"]

#: Time in seconds after which a connection that the server doesn't read from
#: stops sending.
SEND_TIMEOUT_S = 3.0
#: Time limit for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 5.0
#: Size of the receive buffer of a client that doesn't read, in bytes.
RECEIVE_BUFFER_BYTES = 4096

Address = tuple[str, int]


class Script(typing.NamedTuple):
    """What a client sends.

    Attributes:
        before: Bytes that are sent once.
        repeated: Bytes that are sent over and over after them.
        count: How often `repeated` is sent.
    """

    before: bytes = b""
    repeated: bytes = b""
    count: int = 0


class Crowd:
    """Clients that are connected to one address.

    Attributes:
        address: Address of the server.
        sockets: Their sockets.
        sent_bytes: Number of bytes that the kernel accepted from all of them.
        closed: Number of connections that ended while they sent.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sockets: list[socket.socket] = []
        self.sent_bytes = 0
        self.closed = 0

    async def run(self, count: int, script: Script) -> None:
        """Runs a script on connections that are opened at once."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self.run_client(script))

    async def run_client(self, script: Script) -> None:
        """Opens a connection and sends until nothing more is read."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, self.address)
            for piece in pieces(script):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_sendall(sock, piece)
                self.sent_bytes += len(piece)
        except TimeoutError:
            return
        except OSError:
            self.closed += 1

    def close(self) -> None:
        """Closes all connections."""
        for sock in self.sockets:
            sock.close()


def pieces(script: Script) -> collections.abc.Iterator[bytes]:
    """Returns what a script sends, in pieces of about 64 KB."""
    if script.before:
        yield script.before
    left = script.count
    batch = max(1, 65_536 // max(1, len(script.repeated)))
    while left:
        number = min(left, batch)
        yield script.repeated * number
        left -= number


async def open_crowd(address: Address, count: int, script: Script) -> Crowd:
    """Returns a crowd that has sent its script and stays connected.

    Args:
        address: Address of the server.
        count: Number of clients.
        script: What each of them sends.
    """
    crowd = Crowd(address)
    await crowd.run(count, script)
    return crowd
