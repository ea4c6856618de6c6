"""Frames: typed messages between gateways on kept connections.

A frame is its length (four bytes), its kind (one byte) and the msgpack array
of its fields, compressed where that is long. Both ends of a connection send
when they like. ZeroMQ costs 0.35 ms a message and its answer on these VMs, and
4 MB.
"""

import asyncio
import collections.abc
import typing
import zlib

import msgspec

from laurelrock import errors
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs

__all__ = ["Exchange", "Link", "create_exchange"]

#: Longest frame that is read, in bytes.
MAX_FRAME = 4_194_304
#: Bytes of a frame's length.
HEADER = 4
#: Bytes from which a body is compressed. A configuration of 1,750 routes has
#: 155 kB, and 19 kB compressed; that takes 1 ms, and its way on a link of 10
#: Mbit/s 120 ms.
COMPRESSED_BYTES = 4096
COMPRESSION_LEVEL = 1
#: Bit of the kind that says so.
COMPRESSED = 0x80
#: Longest time that a connection may take to open, in seconds.
CONNECT_S = 0.3
#: Bytes that may wait for a peer that doesn't read; it is given up beyond.
MAX_WAITING = 4_194_304

Address = tuple[str, int]
Message = typing.Any

_log = logs.get_logger(__name__)


class Link(asyncio.Protocol):
    """One connection to another gateway.

    Attributes:
        exchange: That it belongs to.
        address: Of the other end, where this end opened the connection.
        waiting: Frames to send once it is open.
    """

    def __init__(self, exchange: "Exchange", address: Address | None) -> None:
        self.exchange = exchange
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        http_wire.tune(transport)
        http_wire.keep_alive(transport)
        if self.address is None:
            self.exchange.accepted.add(self)
        if self.waiting:
            self.transport.write(b"".join(self.waiting))
            self.waiting.clear()

    def connection_lost(self, error: Exception | None) -> None:
        self.exchange.lost(self)

    def data_received(self, data: bytes) -> None:
        data = self.received + data if self.received else data
        at = 0
        while len(data) - at > HEADER:
            length = int.from_bytes(data[at : at + HEADER])
            if length > MAX_FRAME:
                _log.warning("frame-too-long", bytes=length)
                self.close()
                return
            end = at + HEADER + length
            if len(data) < end:
                break
            self.take(data[at + HEADER], data[at + HEADER + 1 : end])
            at = end
        self.received = data[at:]

    def take(self, kind: int, body: bytes) -> None:
        """Decodes one frame and hands it on."""
        of = self.exchange.kinds.get(kind & ~COMPRESSED)
        if of is None:
            _log.warning("frame-unknown", kind=kind)
            return
        try:
            if kind & COMPRESSED:
                body = zlib.decompressobj().decompress(body, MAX_FRAME)
            message: Message = msgspec.msgpack.decode(body, type=of)
        except (msgspec.DecodeError, zlib.error) as error:
            _log.warning("frame-unreadable", kind=kind, reason=str(error))
            return
        self.exchange.handle(self, message)

    def send(self, message: Message) -> None:
        """Queues a message; one to a link that ended is dropped."""
        self.send_frame(self.exchange.encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message."""
        if self.transport is None:
            self.waiting.append(frame)
            return
        if self.transport.is_closing():
            return
        self.transport.write(frame)
        if self.transport.get_write_buffer_size() > MAX_WAITING:
            _log.warning("peer-does-not-read", peer=self.address)
            self.close()

    def close(self) -> None:
        """Ends the connection."""
        if self.transport is not None:
            http_wire.reset(self.transport)


class Exchange:
    """All connections of one gateway to others.

    Attributes:
        kinds: Types of the messages by their number.
        numbers: The reverse.
        handle: Takes a message and the link that it came by.
        ended: Told of a link that ended.
        links: Opened by this end, by address.
        accepted: Opened by others.
        listener: Of the port.
    """

    def __init__(
        self,
        kinds: dict[int, type],
        handle: collections.abc.Callable[[Link, Message], None],
        ended: collections.abc.Callable[[Link], None],
    ) -> None:
        self.kinds = kinds
        self.numbers = {of: number for number, of in kinds.items()}
        self.handle = handle
        self.ended = ended
        self.links: dict[Address, Link] = {}
        self.accepted: set[Link] = set()
        self.listener: asyncio.Server | None = None
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def encode(self, message: Message) -> bytes:
        """Returns the frame of a message."""
        kind = self.numbers[type(message)]
        body = msgspec.msgpack.encode(message)
        if len(body) >= COMPRESSED_BYTES:
            kind |= COMPRESSED
            body = zlib.compress(body, COMPRESSION_LEVEL)
        size = len(body) + 1
        return size.to_bytes(HEADER) + bytes((kind,)) + body

    def broadcast(
        self, links: collections.abc.Iterable[Link], message: Message
    ) -> None:
        """Queues one message at several links; it is encoded once."""
        frame = b""
        for link in links:
            frame = frame or self.encode(message)
            link.send_frame(frame)

    async def listen(self, address: Address) -> None:
        """Opens the port."""
        self.listener = await self.loop.create_server(
            lambda: Link(self, None), *address
        )

    def link(self, address: Address) -> Link:
        """Returns the connection to a peer; it opens when it is first used."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(self, address)
            task = self.loop.create_task(self.open(link, address))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return link

    async def open(self, link: Link, address: Address) -> None:
        """Opens a connection."""
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: link, *address)
        except (OSError, TimeoutError) as error:
            _log.info("peer-unreachable", peer=address, reason=repr(error))
            self.lost(link)

    def lost(self, link: Link) -> None:
        """Forgets a connection that ended."""
        self.accepted.discard(link)
        if link.address is not None and self.links.get(link.address) is link:
            del self.links[link.address]
        self.ended(link)

    def close(self) -> None:
        """Ends all connections and closes the port."""
        if self.listener is not None:
            self.listener.close()
        for link in [*self.links.values(), *self.accepted]:
            link.close()


def create_exchange(
    kinds: dict[int, type],
    handle: collections.abc.Callable[[Link, Message], None],
    ended: collections.abc.Callable[[Link], None],
) -> Exchange:
    """Returns an exchange without connections.

    Raises:
        SettingsError: A kind doesn't fit its bits.
    """
    if not all(0 <= number < COMPRESSED for number in kinds):
        raise errors.SettingsError(f"kinds {sorted(kinds)} do not fit 7 bits")
    return Exchange(kinds, handle, ended)
