"""Bus over pyzmq.

A daemon binds one ROUTER socket and opens one DEALER socket to each peer it
sends to; answers come back on the socket that asked. Peers that go silent are
found by the roles and by membership, which then call `forget`; the kernel
ends connections whose data stays unacknowledged, and idle ones are closed.
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

#: Marks a sender that is known by its address.
ADDRESS_MARK = b"@"
#: Messages that may wait for one peer.
QUEUE_LIMIT = 10_000
#: Time that sent data may stay unacknowledged, in milliseconds.
UNACKNOWLEDGED_MS = 3000
#: Silence before TCP keepalive probes a connection, between two probes, and
#: number of probes.
KEEPALIVE_IDLE_S = 30
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
#: Time without a message after which the socket to a peer is closed.
IDLE_S = 60.0
#: Messages read from one socket before others have their turn.
READ_BURST = 200
#: Largest message that is accepted, in bytes.
MAX_MESSAGE_BYTES = 4_000_000

Handler = collections.abc.Callable[[bus.Sender, typing.Any], None]

_log = logs.get_logger(__name__)


class ZmqBus:
    """Implements `ports.bus.Bus`.

    Attributes:
        loop: Event loop that reads the sockets.
        context: Of the sockets.
        router: Bound socket.
        local_address: IP number that connections leave from.
        peers: DEALER sockets by `IP:port`.
        used_at: Loop time of the last message to or from each peer.
        handlers: By message type.
        counts: Messages and bytes by kind of event.
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
        self.used_at: dict[str, float] = {}
        self.sweep_at = loop.time() + IDLE_S
        self.handlers: dict[type, Handler] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def on(self, kind: type, handler: Handler) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: typing.Any) -> bool:
        socket = self.peers.get(address) or self.connect(address)
        now = self.used_at[address] = self.loop.time()
        if now >= self.sweep_at:
            self.close_idle(now)
        return self.write(socket, messages.encode(message), address)

    def reply(self, sender: bus.Sender, message: typing.Any) -> bool:
        if sender.startswith(ADDRESS_MARK):
            return self.send(sender[1:].decode(), message)
        return self.write(
            self.router, [sender, *messages.encode(message)], None
        )

    def forget(self, address: str) -> None:
        socket = self.peers.pop(address, None)
        self.used_at.pop(address, None)
        if socket is not None:
            self.loop.remove_reader(int(socket.fd))
            socket.close(linger=0)

    def close_idle(self, now: float) -> None:
        """Closes the sockets to peers that were not used for `IDLE_S`."""
        self.sweep_at = now + IDLE_S
        for address, used_at in list(self.used_at.items()):
            if now - used_at > IDLE_S:
                self.forget(address)

    def connect(self, address: str) -> zmq.Socket:
        """Opens the socket to a peer."""
        socket = self.context.socket(zmq.DEALER)
        _set_options(socket)
        socket.connect(f"tcp://{self.local_address}:0;{address}")
        self.peers[address] = socket
        self.watch(socket, address)
        return socket

    def watch(self, socket: zmq.Socket, address: str | None) -> None:
        """Reads a socket whenever the loop sees that it is readable."""
        self.loop.add_reader(int(socket.fd), self.drain, socket, address)
        self.loop.call_soon(self.drain, socket, address)

    def write(
        self, socket: zmq.Socket, frames: list[bytes], address: str | None
    ) -> bool:
        """Sends frames without waiting; False when the peer can't take it."""
        try:
            socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError:
            self.counts["dropped"] += 1
            return False
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += sum(map(len, frames))
        # Sending may use up the edge-triggered readiness of the socket.
        if int(socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            self.loop.call_soon(self.drain, socket, address)
        return True

    def drain(self, socket: zmq.Socket, address: str | None) -> None:
        """Reads all messages that are waiting on a socket."""
        if socket.closed:
            return
        for _ in range(READ_BURST):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.counts["received"] += 1
            self.counts["received_bytes"] += sum(map(len, frames))
            if address is None:
                self.dispatch(frames[0], frames[1:])
            else:
                self.used_at[address] = self.loop.time()
                self.dispatch(ADDRESS_MARK + address.encode(), frames)
            if socket.closed:
                return
        self.loop.call_soon(self.drain, socket, address)

    def dispatch(self, sender: bus.Sender, frames: list[bytes]) -> None:
        """Hands one message to its handler."""
        try:
            message = messages.decode(frames)
        except errors.FrameError as error:
            self.counts["bad_frames"] += 1
            _log.warning("bad-frame", code=error.code, reason=error.message)
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
        """Closes all sockets; queued answers have a second to leave."""
        for address in list(self.peers):
            self.forget(address)
        self.loop.remove_reader(int(self.router.fd))
        self.router.close(linger=1000)
        self.context.term()


def open_bus(address: str) -> ZmqBus:
    """Binds a bus at `IP:port`; to be called in a running loop."""
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
    created.watch(router, None)
    return created


def _set_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.RCVHWM, QUEUE_LIMIT)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
    socket.setsockopt(zmq.RECONNECT_IVL, 50)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
