"""Message bus between daemons, over ZeroMQ.

A daemon binds one ROUTER socket and opens one DEALER socket to each peer that
it sends to. Replies arrive on the socket that sent the request. The roles and
membership detect unresponsive peers and then call `forget`. The kernel closes
connections whose data stays unacknowledged, and the bus closes idle sockets.
"""

import asyncio
import collections
import collections.abc
import typing

import zmq

from laurelrock import errors
from laurelrock import messages
from laurelrock.adapters import logs
from laurelrock.ports import bus

__all__ = ["ZmqBus", "open_bus"]

#: Prefix of a `Sender` that holds a peer's address, not a ROUTER identity.
ADDRESS_PREFIX = b"@"
#: Maximum number of messages queued for one peer.
MAX_QUEUED_MESSAGES = 10_000
#: Time that sent data may stay unacknowledged, in milliseconds.
MAX_UNACKNOWLEDGED_MS = 3000
#: TCP keepalive: idle time before the first probe and interval between two
#: probes, both in seconds, and number of unanswered probes that end the
#: connection.
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
#: Time without a message after which the socket to a peer is closed, in
#: seconds.
IDLE_TIMEOUT_S = 60.0
#: Messages read from one socket before the event loop serves other sockets.
MAX_READS_PER_TURN = 200
#: Size of the largest message that is accepted, in bytes.
MAX_MESSAGE_BYTES = 4_000_000

Handler = collections.abc.Callable[[bus.Sender, typing.Any], None]

_log = logs.get_logger(__name__)


class ZmqBus:
    """Implements `ports.bus.Bus`.

    Attributes:
        loop: Event loop that reads the sockets.
        context: ZeroMQ context that owns all sockets.
        router: ROUTER socket bound to the daemon's port.
        local_address: Source IP address of outgoing connections.
        peers: DEALER sockets by the peer's `IP:port`.
        last_used_s: Loop time of the last message to or from each peer.
        next_sweep_s: Loop time of the next search for idle sockets.
        handlers: Message handlers by message type.
        counts: Numbers of messages and bytes by kind of event.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        context: zmq.Context,
        router: zmq.Socket,
        local_address: str,
    ) -> None:
        self.loop = loop
        self.context = context
        self.router = router
        self.local_address = local_address
        self.peers: dict[str, zmq.Socket] = {}
        self.last_used_s: dict[str, float] = {}
        self.next_sweep_s = loop.time() + IDLE_TIMEOUT_S
        self.handlers: dict[type, Handler] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def on(self, kind: type, handler: Handler) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: typing.Any) -> bool:
        socket = self.peers.get(address) or self.connect(address)
        now = self.last_used_s[address] = self.loop.time()
        if now >= self.next_sweep_s:
            self.close_idle(now)
        return self.write(socket, messages.encode(message), address)

    def reply(self, sender: bus.Sender, message: typing.Any) -> bool:
        if sender.startswith(ADDRESS_PREFIX):
            return self.send(sender[1:].decode(), message)
        return self.write(
            self.router, [sender, *messages.encode(message)], None
        )

    def forget(self, address: str) -> None:
        socket = self.peers.pop(address, None)
        self.last_used_s.pop(address, None)
        if socket is not None:
            self.loop.remove_reader(int(socket.fd))
            socket.close(linger=0)

    def close_idle(self, now: float) -> None:
        """Closes the sockets that were not used for `IDLE_TIMEOUT_S`."""
        self.next_sweep_s = now + IDLE_TIMEOUT_S
        for address, used_at in list(self.last_used_s.items()):
            if now - used_at > IDLE_TIMEOUT_S:
                self.forget(address)

    def connect(self, address: str) -> zmq.Socket:
        """Opens and registers the DEALER socket to a peer."""
        socket = self.context.socket(zmq.DEALER)
        _set_options(socket)
        socket.connect(f"tcp://{self.local_address}:0;{address}")
        self.peers[address] = socket
        self.register_reader(socket, address)
        return socket

    def register_reader(self, socket: zmq.Socket, address: str | None) -> None:
        """Registers a socket with the loop, which reads it when readable."""
        self.loop.add_reader(int(socket.fd), self.drain, socket, address)
        self.loop.call_soon(self.drain, socket, address)

    def write(
        self, socket: zmq.Socket, frames: list[bytes], address: str | None
    ) -> bool:
        """Sends frames without blocking.

        Returns:
            False if the peer's queue is full or it is not connected; the
            message was dropped.
        """
        try:
            socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError:
            self.counts["dropped"] += 1
            return False
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += sum(map(len, frames))
        # The descriptor is edge-triggered: sending may consume the event that
        # announces received messages.
        if int(socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            self.loop.call_soon(self.drain, socket, address)
        return True

    def drain(self, socket: zmq.Socket, address: str | None) -> None:
        """Reads the messages that have arrived on a socket."""
        if socket.closed:
            return
        for _ in range(MAX_READS_PER_TURN):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.counts["received"] += 1
            self.counts["received_bytes"] += sum(map(len, frames))
            if address is None:
                self.dispatch(frames[0], frames[1:])
            else:
                self.last_used_s[address] = self.loop.time()
                self.dispatch(ADDRESS_PREFIX + address.encode(), frames)
            if socket.closed:
                return
        self.loop.call_soon(self.drain, socket, address)

    def dispatch(self, sender: bus.Sender, frames: list[bytes]) -> None:
        """Decodes one message and calls its handler."""
        try:
            message = messages.decode(frames)
        except errors.FrameError as error:
            self.counts["bad_frames"] += 1
            _log.warning(
                "message-undecodable", code=error.code, reason=error.message
            )
            return
        handler = self.handlers.get(type(message))
        if handler is None:
            self.counts["unhandled"] += 1
            return
        try:
            handler(sender, message)
        except Exception:
            self.counts["handler_errors"] += 1
            _log.exception("handler-failed", kind=type(message).__name__)

    def close(self) -> None:
        """Closes all sockets; queued replies are sent for up to one second."""
        for address in list(self.peers):
            self.forget(address)
        self.loop.remove_reader(int(self.router.fd))
        self.router.close(linger=1000)
        self.context.term()


def open_bus(address: str) -> ZmqBus:
    """Returns a bus bound to `IP:port`; requires a running event loop.

    Raises:
        ListenError: The address cannot be bound.
    """
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    _set_options(router)
    router.setsockopt(zmq.ROUTER_MANDATORY, 1)
    try:
        router.bind(f"tcp://{address}")
    except zmq.ZMQError as error:
        context.destroy(linger=0)
        raise errors.ListenError(f"cannot bind {address}: {error}") from None
    loop = asyncio.get_running_loop()
    created = ZmqBus(loop, context, router, address.partition(":")[0])
    created.register_reader(router, None)
    return created


def _set_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.TCP_MAXRT, MAX_UNACKNOWLEDGED_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
    socket.setsockopt(zmq.RECONNECT_IVL, 50)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
