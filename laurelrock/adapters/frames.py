"""Typed messages between gateways, as frames on persistent connections.

A frame consists of its length (four bytes), the kind of its message (one byte)
and the message's fields as a msgpack array, which is compressed if it is long.
Both ends of a connection may send at any time. ZeroMQ isn't used, since it
takes 0.35 ms per request and response, and 4 MB of memory, on these VMs.

Both ends may run different versions. A frame of a kind that the receiver
doesn't know gets a reply. Fields are added at the end of a message, with
defaults: the receiver drops those that it doesn't know, and uses the defaults
of those that are missing.

The first version did neither, and dropped messages that it couldn't decode. A
later one sends `PeerVersion` as the first frame of each connection. A peer
whose first frame is another one is sent messages without the fields and kinds
that the first version doesn't know (`message_versions`). Messages that depend
on this wait for the peer's first frame.
"""

import asyncio
import collections.abc
import typing
import zlib

import msgspec

from laurelrock import errors
from laurelrock.adapters import acceptor
from laurelrock.adapters import http_wire
from laurelrock.adapters import logs
from laurelrock.adapters import message_codec
from laurelrock.adapters import message_versions
from laurelrock.core import client_memory

__all__ = [
    "Link",
    "NotSent",
    "PeerLinks",
    "PeerVersion",
    "UnknownKind",
    "create_peer_links",
]

#: Size of the largest frame that is accepted, in bytes.
MAX_FRAME_BYTES = 4_194_304
#: Size of a frame's length field, in bytes.
LENGTH_BYTES = 4
#: Bit of the kind byte that marks a compressed body.
COMPRESSED_FLAG = 0x80
#: Kind of `UnknownKind`. Versions that don't know it drop it without a reply.
UNKNOWN_KIND = 0
#: Kind of `PeerVersion`.
VERSION_KIND = 127
#: Maximum number of messages that wait for a peer's first frame. A gateway
#: sends a silent peer a few dozen until it skips it.
MAX_HELD_MESSAGES = 1000
#: Time limit for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.3
#: Unsent bytes above which the connection to a peer that doesn't read is
#: closed.
MAX_SEND_BUFFER_BYTES = 4_194_304
#: Number of frames without a known message after which a connection is closed.
MAX_FAULTY_FRAMES = 1000

Address = tuple[str, int]
Message = typing.Any

_log = logs.get_logger(__name__)


class UnknownKind(typing.NamedTuple):
    """Reply to a frame whose kind the receiver doesn't know.

    Attributes:
        kind: The kind of the frame.
    """

    kind: int


class PeerVersion(typing.NamedTuple):
    """The first message of a connection, unless the sender's version has none.

    Attributes:
        number: See `message_versions.Versions`.
    """

    number: int


class NotSent(typing.NamedTuple):
    """Passed to the handler for a message that the peer can't decode whole.

    Attributes:
        message: The message; see `Link.send_whole`.
    """

    message: Message


class Link(asyncio.Protocol):
    """One connection to another gateway.

    Attributes:
        peer_links: Owner of the link, which handles its messages.
        address: Address of the peer if this end opened the connection,
            otherwise None.
        transport: Transport of the connection; None until it is open.
        queued_frames: Frames to send once the connection is open.
        received: Bytes received of a frame that is not yet complete.
        version_known: Whether the peer's version is known.
        current: Whether the peer decodes all messages of this version.
        held: Messages that wait until the peer's version is known, each with
            whether it must be sent as a whole.
        faulty_frames: Number of frames without a message that is known.
        messages: Number of messages received.
        progress_s: Loop time at which the peer last sent or read something.
        handling: Always false; see `client_memory.Holder`.
    """

    def __init__(
        self, peer_links: "PeerLinks", address: Address | None
    ) -> None:
        self.peer_links = peer_links
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.queued_frames: list[bytes] = []
        self.received = b""
        self.version_known = self.current = peer_links.versions is None
        self.held: list[tuple[Message, bool]] = []
        self.faulty_frames = self.messages = 0
        self.handling = False
        self.progress_s = peer_links.loop.time()

    @property
    def closing(self) -> bool:
        """Whether the connection is not open any more, or not yet."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        http_wire.set_socket_options(transport)
        http_wire.enable_tcp_keepalive(transport)
        if self.address is None:
            self.peer_links.accepted.add(self)
        if self.peer_links.versions is not None:
            number = self.peer_links.versions.number
            self.transport.write(self.peer_links.encode(PeerVersion(number)))
        if self.queued_frames:
            self.transport.write(b"".join(self.queued_frames))
            self.queued_frames.clear()

    def connection_lost(self, error: Exception | None) -> None:
        self.received = b""
        self.peer_links.remove_link(self)

    def pause_writing(self) -> None:
        self.record_memory()

    def resume_writing(self) -> None:
        self.progress_s = self.peer_links.loop.time()
        self.record_memory()

    def data_received(self, data: bytes) -> None:
        self.progress_s = self.peer_links.loop.time()
        was_partial = bool(self.received)
        data = self.received + data if self.received else data
        at = 0
        while len(data) - at > LENGTH_BYTES:
            length = int.from_bytes(data[at : at + LENGTH_BYTES])
            if length > MAX_FRAME_BYTES:
                _log.warning("frame-too-long", bytes=length)
                self.close()
                return
            end = at + LENGTH_BYTES + length
            if len(data) < end:
                break
            self.handle_frame(
                data[at + LENGTH_BYTES], data[at + LENGTH_BYTES + 1 : end]
            )
            at = end
            if self.faulty_frames > MAX_FAULTY_FRAMES:
                _log.warning("too-many-faulty-frames", peer=self.address)
                self.close()
                return
        self.received = data[at:]
        if self.received or was_partial:
            self.record_memory()

    def handle_frame(self, kind: int, body: bytes) -> None:
        """Decodes one frame and passes its message to the handler.

        Frames of an unknown kind get a reply; undecodable ones are dropped.
        """
        if not self.version_known:
            self.learn_version(kind, body)
        message_type = self.peer_links.message_types.get(
            kind & ~COMPRESSED_FLAG
        )
        if message_type is None:
            _log.warning("frame-kind-unknown", kind=kind)
            self.faulty_frames += 1
            self.send(UnknownKind(kind & ~COMPRESSED_FLAG))
            return
        try:
            if kind & COMPRESSED_FLAG:
                body = message_codec.decompress(body, MAX_FRAME_BYTES)
            message: Message = message_codec.decode(body, message_type)
        except (msgspec.DecodeError, zlib.error) as error:
            _log.warning("frame-undecodable", kind=kind, reason=str(error))
            self.faulty_frames += 1
            return
        self.messages += 1
        if not isinstance(message, PeerVersion):
            self.peer_links.handle(self, message)

    def learn_version(self, kind: int, body: bytes) -> None:
        """Learns the peer's version from its first frame."""
        versions = self.peer_links.versions
        number = 0
        if kind == VERSION_KIND:
            try:
                number = message_codec.decode(body, PeerVersion).number
            except msgspec.DecodeError as error:
                _log.warning("frame-undecodable", kind=kind, reason=str(error))
        self.version_known = True
        self.current = versions is None or number >= versions.number
        if not self.current and self.transport is not None:
            _log.info(
                "peer-version-older",
                peer=self.address or self.transport.get_extra_info("peername"),
                version=number,
            )
        held, self.held = self.held, []
        for message, whole in held:
            self.send_for_version(message, whole)

    def send(self, message: Message) -> None:
        """Queues a message; drops it if the connection is closing.

        A peer of the previous version gets it without the fields that it
        doesn't know, and not at all if it doesn't know its kind.
        """
        if self.current:
            self.send_frame(self.peer_links.encode(message))
        else:
            self.send_for_version(message, False)

    def send_whole(self, message: Message) -> None:
        """Queues a message only if the peer decodes all of its fields.

        Otherwise `NotSent` is passed to the handler.
        """
        if self.current:
            self.send_frame(self.peer_links.encode(message))
        else:
            self.send_for_version(message, True)

    def send_for_version(self, message: Message, whole: bool) -> None:
        """Queues a message for a peer of another or an unknown version."""
        peer_links = self.peer_links
        if not self.version_known and (
            self.held or whole or type(message) in peer_links.shorteners
        ):
            self.hold(message, whole)
        elif self.current:
            self.send_frame(peer_links.encode(message))
        elif whole:
            peer_links.loop.call_soon(peer_links.handle, self, NotSent(message))
        else:
            frame = peer_links.encode_short(message)
            if frame:
                self.send_frame(frame)

    def hold(self, message: Message, whole: bool) -> None:
        """Keeps a message until the peer's first frame, which it asks for."""
        if not self.held and self.peer_links.versions is not None:
            probe = self.peer_links.versions.probe
            self.send_frame(self.peer_links.encode(probe))
        self.held.append((message, whole))
        if len(self.held) > MAX_HELD_MESSAGES:
            _log.warning("send-buffer-full", peer=self.address)
            self.held.clear()
            self.close()

    def send_frame(self, frame: bytes) -> None:
        """Queues an encoded message; closes a connection that isn't read."""
        if self.transport is None:
            self.queued_frames.append(frame)
            return
        if self.transport.is_closing():
            return
        self.transport.write(frame)
        if self.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            _log.warning("send-buffer-full", peer=self.address)
            self.close()

    def record_memory(self) -> None:
        """Records the memory that is held for a peer that connected."""
        held = 0
        if self.transport is not None and not self.closing:
            held = len(self.received) + self.transport.get_write_buffer_size()
        if self.address is None:
            self.peer_links.memory.set(self, held)

    def shed(self) -> None:
        """Ends the connection because memory is short."""
        _log.warning("connection-shed", bytes=len(self.received))
        self.close()

    def close(self) -> None:
        """Resets the connection."""
        self.received = b""
        if self.transport is not None:
            http_wire.reset(self.transport)


class PeerLinks:
    """All links of one gateway to other gateways.

    Attributes:
        message_types: Types of the messages by kind, the number on the wire.
        kinds_by_type: Kinds by message type, the inverse of `message_types`.
        handle: Handler that is called with the link and each message of it.
        on_link_ended: Callback for a link that ended or could not be opened.
        versions: The differences from the previous version's messages; None if
            all peers run the same version.
        shorteners: How messages are shortened for peers of that version.
        links: Links that this gateway opened, by address of the peer.
        accepted: Links that other gateways opened.
        listener: Listening socket; None before `listen`.
        memory: Memory that is held for accepted links and other clients.
        loop: Event loop of the connections.
        tasks: Tasks that are opening connections, kept from collection.
    """

    def __init__(
        self,
        message_types: dict[int, type],
        handle: collections.abc.Callable[[Link, Message], None],
        on_link_ended: collections.abc.Callable[[Link], None],
        versions: message_versions.Versions | None = None,
        memory: client_memory.ClientMemory | None = None,
    ) -> None:
        message_types = {**message_types, UNKNOWN_KIND: UnknownKind}
        self.versions = versions
        self.shorteners: dict[type, message_versions.Shorten | None] = {}
        if versions is not None:
            message_types[VERSION_KIND] = PeerVersion
            self.shorteners = message_versions.create_shorteners(
                message_types.values(), versions
            )
            self.shorteners[UnknownKind] = None
        self.message_types = message_types
        self.kinds_by_type = {
            message_type: kind for kind, message_type in message_types.items()
        }
        self.handle = handle
        self.on_link_ended = on_link_ended
        self.links: dict[Address, Link] = {}
        self.accepted: set[Link] = set()
        self.listener: acceptor.Acceptor | None = None
        self.memory = memory or client_memory.create_client_memory()
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    def encode(self, message: Message) -> bytes:
        """Returns the frame of a message."""
        return self.encode_fields(self.kinds_by_type[type(message)], message)

    def encode_short(self, message: Message) -> bytes:
        """Returns the frame of a message for peers of the previous version.

        It is empty if that version doesn't know the message.
        """
        kind = self.kinds_by_type[type(message)]
        if type(message) not in self.shorteners:
            return self.encode_fields(kind, message)
        shorten = self.shorteners[type(message)]
        if shorten is None:
            return b""
        return self.encode_fields(kind, shorten(message))

    def encode_fields(self, kind: int, fields: typing.Any) -> bytes:
        """Returns the frame of a message's fields."""
        body, compressed = message_codec.encode(fields)
        if compressed:
            kind |= COMPRESSED_FLAG
        size = len(body) + 1
        return size.to_bytes(LENGTH_BYTES) + bytes((kind,)) + body

    def broadcast(
        self, links: collections.abc.Iterable[Link], message: Message
    ) -> None:
        """Queues one message on several links.

        It is encoded once for each version that a peer runs.
        """
        frame = short_frame = b""
        for link in links:
            if link.current:
                frame = frame or self.encode(message)
                link.send_frame(frame)
            elif not link.version_known:
                link.send(message)
            else:
                short_frame = short_frame or self.encode_short(message)
                if short_frame:
                    link.send_frame(short_frame)

    def count_older(self) -> int:
        """Returns the number of links with peers of an older version."""
        links = {*self.links.values(), *self.accepted}
        return sum(row.version_known and not row.current for row in links)

    async def listen(self, address: Address, max_links: int) -> None:
        """Starts to accept up to `max_links` connections at an address."""
        self.listener = acceptor.open_acceptor(
            address, lambda: Link(self, None), self.evict, max_links
        )

    def evict(self) -> None:
        """Closes an accepted link to accept another one.

        Links without a message go first, and then the one that is silent for
        longest. A peer opens its link again when it sends the next message.
        """
        rows = [row for row in self.accepted if not row.closing]
        if rows:
            link = min(rows, key=lambda row: (row.messages > 0, row.progress_s))
            _log.info("link-evicted", messages=link.messages)
            link.close()

    def link(self, address: Address) -> Link:
        """Returns the link to a peer, and starts to open it if there is none.

        Messages that are sent meanwhile are queued.
        """
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link(self, address)
            task = self.loop.create_task(self.connect(link, address))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return link

    async def connect(self, link: Link, address: Address) -> None:
        """Opens the connection of a link; removes the link on failure."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, *address)
        except (OSError, TimeoutError) as error:
            _log.info("peer-unreachable", peer=address, reason=repr(error))
            self.remove_link(link)

    def remove_link(self, link: Link) -> None:
        """Removes a link that ended and reports it."""
        self.accepted.discard(link)
        self.memory.release(link)
        if link.address is None and self.listener is not None:
            self.listener.release()
        if link.address is not None and self.links.get(link.address) is link:
            del self.links[link.address]
        self.on_link_ended(link)

    def close(self) -> None:
        """Resets all links and stops listening."""
        if self.listener is not None:
            self.listener.close()
        for link in [*self.links.values(), *self.accepted]:
            link.close()


def create_peer_links(
    message_types: dict[int, type],
    handle: collections.abc.Callable[[Link, Message], None],
    on_link_ended: collections.abc.Callable[[Link], None],
    versions: message_versions.Versions | None = None,
    memory: client_memory.ClientMemory | None = None,
) -> PeerLinks:
    """Returns a set of links, empty and not yet listening.

    Args:
        message_types: Types of the messages by kind, a number from 1 to 126.
        handle: Handler that is called with the link and each message of it.
        on_link_ended: Callback for a link that ended or could not be opened.
        versions: The differences from the previous version's messages; None if
            all peers run the same version.
        memory: Memory that is held for links that peers open and for others.

    Raises:
        SettingsError: A kind is out of this range.
    """
    if not all(0 < kind < VERSION_KIND for kind in message_types):
        raise errors.SettingsError(
            f"kinds {sorted(message_types)} are not from 1 to 126"
        )
    return PeerLinks(message_types, handle, on_link_ended, versions, memory)
