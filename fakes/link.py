"""TCP proxy with fault injection: refused, black-holed or delayed connections.

Usage: `python -m fakes.link --listen HOST:PORT --target HOST:PORT
[--control HOST:PORT]`. `POST /control` takes a JSON object of `Faults` fields;
`{"silence": true}` black-holes the open connections. `GET /control/stats`
returns the number of open connection ends and of accepted connections.
"""

import argparse
import asyncio
import collections
import typing

import msgspec

from fakes import wire
from laurelrock import document

__all__ = ["Faults", "Link", "start"]


class Faults(typing.NamedTuple):
    """Faults that the proxy injects.

    Attributes:
        cut: Whether all connections are closed and new ones refused.
        cut_from: Source addresses whose connections are closed and refused.
        delay_ms: Additional delay in each direction, in milliseconds.
    """

    cut: bool = False
    cut_from: list[str] = []
    delay_ms: float = 0.0


class End(asyncio.Protocol):
    """One end of a proxied connection, to the client or to the target.

    Attributes:
        link: Proxy that the connection belongs to.
        source: IP address of the client.
        peer: Other end of the connection, once it is connected.
        waiting: Delayed chunks of bytes for the peer; None closes the peer's
            connection.
        silent: Whether the bytes that arrive are dropped.
    """

    def __init__(self, link: "Link", peer: "End | None" = None) -> None:
        self.link = link
        self.peer = peer
        self.source: str = peer.source if peer else ""
        self.transport: typing.Any = None
        self.waiting: collections.deque[bytes | None] = collections.deque()
        self.silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.peer is not None:
            self.peer.peer = self
            self.peer.transport.resume_reading()
            return
        self.source = transport.get_extra_info("peername")[0]
        self.link.accept(self)

    def data_received(self, data: bytes) -> None:
        self.forward(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.ends.discard(self)
        self.forward(None)

    def pause_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None:
            self.peer.transport.resume_reading()

    def forward(self, data: bytes | None) -> None:
        """Sends bytes to the peer after the configured delay."""
        if self.silent:
            return
        self.waiting.append(data)
        delay_s = self.link.faults.delay_ms / 1000
        if delay_s > 0:
            asyncio.get_running_loop().call_later(delay_s, self.deliver)
        else:
            self.deliver()

    def deliver(self) -> None:
        """Writes the oldest delayed chunk to the peer."""
        data = self.waiting.popleft()
        if self.silent or self.peer is None:
            return
        if data is None:
            self.peer.transport.close()
        elif not self.peer.transport.is_closing():
            self.peer.transport.write(data)


class Link:
    """TCP proxy from a listening address to a target.

    Attributes:
        target: Address to which connections are forwarded, as "host:port".
        faults: Faults that are currently injected.
        ends: Both ends of all open connections.
        connecting: Tasks that connect to the target.
        accepted: Number of connections accepted so far.
        listeners: Servers of the proxy and of its control port.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self.ends: set[End] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.listeners: list[asyncio.Server] = []

    def set_faults(self, faults: Faults) -> None:
        """Changes the faults and closes the connections they refuse."""
        self.faults = faults
        for end in self.ends:
            if self.is_cut(end.source):
                end.transport.abort()

    def is_cut(self, source: str) -> bool:
        """Returns whether connections of a client address are refused."""
        return self.faults.cut or source in self.faults.cut_from

    def accept(self, end: End) -> None:
        """Connects a new client to the target, unless it is refused."""
        if self.is_cut(end.source):
            end.transport.abort()
            return
        self.accepted += 1
        self.ends.add(end)
        end.transport.pause_reading()
        task = asyncio.get_running_loop().create_task(self.connect(end))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(self, end: End) -> None:
        """Opens the connection to the target for a client."""
        host, _, port = self.target.partition(":")
        far = End(self, end)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: far, host, int(port))
        except OSError:
            end.transport.abort()
            return
        if end.transport.is_closing():
            far.transport.abort()
        else:
            self.ends.add(far)

    def silence(self) -> None:
        """Drops all further bytes of the open connections; see `End.silent`."""
        for end in self.ends:
            end.silent = True

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for listener in self.listeners:
            listener.close()
        for end in self.ends:
            end.transport.abort()


def control(link: Link, change: dict[str, typing.Any]) -> None:
    """Applies the body of a control call.

    Raises:
        document.DocumentError: A field is unknown or has a wrong type.
    """
    if change.pop("silence", False):
        link.silence()
    fields = link.faults._asdict() | change
    link.set_faults(document.structure(Faults, fields))


def control_handlers(link: Link) -> wire.Handlers:
    """Returns the handlers of the control port."""

    def requested(connection: wire.Connection, request: wire.Request) -> None:
        if request.method == "GET":
            stats = {"open": len(link.ends), "accepted": link.accepted}
            connection.reply(200, stats)
            return
        try:
            control(link, msgspec.json.decode(request.body))
        except (document.DocumentError, msgspec.DecodeError) as error:
            connection.reply(400, {"error": str(error)})
        else:
            connection.reply(200, link.faults._asdict())

    return wire.Handlers(wire.ignore, requested, wire.ignore)


async def start(
    listen: str, target: str, control_address: str | None = None
) -> Link:
    """Starts a proxy and its control port, if an address is given."""
    link = Link(target)
    host, _, port = listen.partition(":")
    link.listeners.append(
        await asyncio.get_running_loop().create_server(
            lambda: End(link), host, int(port)
        )
    )
    if control_address is not None:
        handlers = control_handlers(link)
        link.listeners.append(await wire.serve(control_address, handlers))
    return link


async def serve(args: argparse.Namespace) -> None:
    """Runs a proxy until cancelled."""
    link = await start(args.listen, args.target, args.control)
    try:
        await asyncio.Event().wait()
    finally:
        await link.close()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(
        description="TCP proxy with fault injection."
    )
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--target", required=True, metavar="HOST:PORT")
    parser.add_argument("--control", metavar="HOST:PORT")
    args = parser.parse_args()
    try:
        asyncio.run(serve(args))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
