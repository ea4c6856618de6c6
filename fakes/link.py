"""TCP proxy that can be cut, silenced and delayed.

Usage: `python -m fakes.link --listen HOST:PORT --target HOST:PORT
[--control HOST:PORT]`. `POST /control` takes an object of `Faults` fields and
`{"silence": true}`; `GET /control/stats` returns the connections.
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
    """How the link misbehaves.

    Attributes:
        cut: Closes all connections and refuses new ones.
        cut_from: The same for these source addresses only.
        delay_ms: Added in each direction.
    """

    cut: bool = False
    cut_from: list[str] = []
    delay_ms: float = 0.0


class End(asyncio.Protocol):
    """One end of a connection through the link.

    Attributes:
        source: Address of the client.
        peer: The other end, once it is connected.
        waiting: Bytes on their way to the peer; None ends the connection.
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
        """Sends bytes to the peer after the link's delay."""
        if self.silent:
            return
        self.waiting.append(data)
        delay_s = self.link.faults.delay_ms / 1000
        if delay_s > 0:
            asyncio.get_running_loop().call_later(delay_s, self.deliver)
        else:
            self.deliver()

    def deliver(self) -> None:
        """Writes the oldest bytes on their way."""
        data = self.waiting.popleft()
        if self.silent or self.peer is None:
            return
        if data is None:
            self.peer.transport.close()
        elif not self.peer.transport.is_closing():
            self.peer.transport.write(data)


class Link:
    """A proxy from a listening address to a target.

    Attributes:
        target: Where connections lead, as "host:port".
        faults: How it misbehaves now.
        ends: Both ends of the connections open now.
        accepted: Connections so far.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self.ends: set[End] = set()
        self.connecting: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.listeners: list[asyncio.Server] = []

    def set_faults(self, faults: Faults) -> None:
        """Changes the faults; connections that are cut are closed."""
        self.faults = faults
        for end in self.ends:
            if self.is_cut(end.source):
                end.transport.abort()

    def is_cut(self, source: str) -> bool:
        """Tells whether a client is cut off."""
        return self.faults.cut or source in self.faults.cut_from

    def accept(self, end: End) -> None:
        """Connects a new client to the target, unless it is cut off."""
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
        """Connects a client's far end."""
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
        """Swallows all bytes on the connections that are open now."""
        for end in self.ends:
            end.silent = True

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for listener in self.listeners:
            listener.close()
        for end in self.ends:
            end.transport.abort()


def control(link: Link, change: dict[str, typing.Any]) -> None:
    """Applies a control call.

    Raises:
        DocumentError: A field does not fit.
    """
    if change.pop("silence", False):
        link.silence()
    fields = link.faults._asdict() | change
    link.set_faults(document.structure(Faults, fields))


def control_handlers(link: Link) -> wire.Handlers:
    """Returns what the control port does."""

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
    """Starts a link."""
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
    """Serves until cancelled."""
    link = await start(args.listen, args.target, args.control)
    try:
        await asyncio.Event().wait()
    finally:
        await link.close()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="TCP link with faults.")
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
