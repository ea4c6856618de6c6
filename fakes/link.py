"""TCP proxy with fault injection: refused, black-holed or delayed connections.

Usage: `python -m fakes.link --listen HOST:PORT --target HOST:PORT
[--control HOST:PORT]`. `POST /control` takes a JSON object of `Faults` fields;
`{"silence": true}` black-holes the open connections. `GET /control/stats`
returns the number of open connection ends and of accepted connections.
"""

import argparse
import asyncio
import collections
import collections.abc
import typing

import msgspec

from fakes import http_server
from laurelrock import document

__all__ = ["Faults", "Link", "start"]


class Faults(typing.NamedTuple):
    """Faults that the proxy injects.

    Attributes:
        cut: Whether all connections are closed and new ones refused.
        cut_from: Source addresses whose connections are closed and refused.
        refuse_from: Source addresses whose new connections are refused, while
            open ones live on.
        delay_ms: Additional delay in each direction, in milliseconds.
    """

    cut: bool = False
    cut_from: list[str] = []
    refuse_from: list[str] = []
    delay_ms: float = 0.0


def ignore_bytes(source: str, leads_to_target: bool, data: bytes) -> None:
    """Does nothing; stands in for `Link.inspect`."""


class ConnectionEnd(asyncio.Protocol):
    """One end of a proxied connection, to the client or to the target.

    Attributes:
        link: Proxy that the connection belongs to.
        source: IP address of the client.
        peer: Other end of the connection, once it is connected.
        leads_to_target: Whether the bytes that arrive are for the target.
        delayed_chunks: Chunks of bytes that wait to be written to the peer;
            None closes the peer's connection.
        blackholed: Whether the bytes that arrive are dropped.
    """

    def __init__(
        self, link: "Link", peer: "ConnectionEnd | None" = None
    ) -> None:
        self.link = link
        self.peer = peer
        self.leads_to_target = peer is None
        self.source: str = peer.source if peer else ""
        self.transport: typing.Any = None
        self.delayed_chunks: collections.deque[bytes | None] = (
            collections.deque()
        )
        self.blackholed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.peer is not None:
            own_address = transport.get_extra_info("sockname")
            self.link.sources[own_address] = self.source
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
        if self.blackholed:
            return
        self.delayed_chunks.append(data)
        delay_s = self.link.faults.delay_ms / 1000
        if delay_s > 0:
            asyncio.get_running_loop().call_later(delay_s, self.deliver)
        else:
            self.deliver()

    def deliver(self) -> None:
        """Writes the oldest delayed chunk to the peer."""
        data = self.delayed_chunks.popleft()
        if self.blackholed or self.peer is None:
            return
        if data is None:
            self.peer.transport.close()
        elif not self.peer.transport.is_closing():
            self.peer.transport.write(data)
            self.link.inspect(self.source, self.leads_to_target, data)


class Link:
    """TCP proxy from a listening address to a target.

    Attributes:
        target: Address to which connections are forwarded, as "host:port".
        faults: Faults that are currently injected.
        ends: Both ends of all open connections.
        connect_tasks: Tasks that connect to the target.
        accepted: Number of connections accepted so far.
        sources: IP address of the client of each connection to the target, by
            the address that the target sees.
        inspect: Called with the client's IP address, whether the bytes are for
            the target, and the bytes, for all bytes that are passed on.
        listeners: Servers of the proxy and of its control port.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self.ends: set[ConnectionEnd] = set()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.sources: dict[tuple[str, int], str] = {}
        self.inspect: collections.abc.Callable[[str, bool, bytes], None] = (
            ignore_bytes
        )
        self.listeners: list[asyncio.Server] = []

    def set_faults(self, faults: Faults) -> None:
        """Changes the faults and closes the connections they refuse."""
        self.faults = faults
        for end in self.ends:
            if self.is_refused(end.source):
                end.transport.abort()

    def is_refused(self, source: str) -> bool:
        """Returns whether connections of a client address are refused."""
        return self.faults.cut or source in self.faults.cut_from

    def accept(self, end: ConnectionEnd) -> None:
        """Connects a new client to the target, unless it is refused."""
        if self.is_refused(end.source) or (
            end.source in self.faults.refuse_from
        ):
            end.transport.abort()
            return
        self.accepted += 1
        self.ends.add(end)
        end.transport.pause_reading()
        task = asyncio.get_running_loop().create_task(self.connect(end))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def connect(self, end: ConnectionEnd) -> None:
        """Opens the connection to the target for a client."""
        host, _, port = self.target.partition(":")
        target_end = ConnectionEnd(self, end)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: target_end, host, int(port))
        except OSError:
            end.transport.abort()
            return
        if end.transport.is_closing():
            target_end.transport.abort()
        else:
            self.ends.add(target_end)

    def silence(self, sources: list[str] | None = None) -> None:
        """Drops all further bytes of the connections that are now open.

        Args:
            sources: Source addresses of the connections; all if None.
        """
        for end in self.ends:
            if sources is None or end.source in sources:
                end.blackholed = True

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


def control_handlers(link: Link) -> http_server.Handlers:
    """Returns the handlers of the control port."""

    def requested(
        connection: http_server.Connection, request: http_server.Request
    ) -> None:
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

    return http_server.Handlers(
        http_server.ignore_event, requested, http_server.ignore_event
    )


async def start(
    listen: str, target: str, control_address: str | None = None
) -> Link:
    """Starts a proxy and its control port, if an address is given."""
    link = Link(target)
    host, _, port = listen.partition(":")
    link.listeners.append(
        await asyncio.get_running_loop().create_server(
            lambda: ConnectionEnd(link), host, int(port)
        )
    )
    if control_address is not None:
        handlers = control_handlers(link)
        link.listeners.append(
            await http_server.serve(control_address, handlers)
        )
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
