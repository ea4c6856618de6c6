"""TCP proxy that can be cut, silenced and delayed.

Usage: `python -m fakes.link --listen HOST:PORT --target HOST:PORT
[--control HOST:PORT]`. `POST /control` takes an object of `Faults` fields and
`{"silence": true}`; `GET /control/stats` returns the connections.
"""

import argparse
import asyncio
import typing

import msgspec

from fakes import wire
from laurelrock import document

__all__ = ["Faults", "Link", "start"]

CHUNK_BYTES = 65_536


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


class Pipe:
    """One connection through the link.

    Attributes:
        source: Address of the client.
        silent: Whether bytes are swallowed in both directions.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.silent = False
        self.writers: list[asyncio.StreamWriter] = []

    def abort(self) -> None:
        """Closes both ends at once."""
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """A proxy from a listening address to a target.

    Attributes:
        target: Where connections lead, as "host:port".
        faults: How it misbehaves now.
        pipes: Connections open now.
        accepted: Connections so far.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self.pipes: set[Pipe] = set()
        self.accepted = 0
        self.listeners: list[asyncio.Server] = []

    def set_faults(self, faults: Faults) -> None:
        """Changes the faults; connections that are cut are closed."""
        self.faults = faults
        for pipe in list(self.pipes):
            if self.is_cut(pipe.source):
                pipe.abort()

    def is_cut(self, source: str) -> bool:
        """Tells whether a client is cut off."""
        return self.faults.cut or source in self.faults.cut_from

    def silence(self) -> None:
        """Swallows all bytes on the connections that are open now."""
        for pipe in self.pipes:
            pipe.silent = True

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for listener in self.listeners:
            listener.close()
        for pipe in list(self.pipes):
            pipe.abort()


async def forward(
    link: Link,
    pipe: Pipe,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copies bytes one way until either end closes."""
    loop = asyncio.get_running_loop()

    def deliver(data: bytes) -> None:
        if pipe.silent or writer.transport.is_closing():
            return
        if data:
            writer.write(data)
        else:
            writer.close()

    try:
        while True:
            data = await reader.read(CHUNK_BYTES)
            delay_ms = link.faults.delay_ms
            if delay_ms > 0:
                loop.call_later(delay_ms / 1000, deliver, data)
            else:
                deliver(data)
            if not data:
                return
            await writer.drain()
    except OSError:
        pipe.abort()


async def connect(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serves one client."""
    source = writer.get_extra_info("peername")[0]
    if link.is_cut(source):
        writer.transport.abort()
        return
    pipe = Pipe(source)
    pipe.writers.append(writer)
    link.pipes.add(pipe)
    link.accepted += 1
    host, _, port = link.target.partition(":")
    try:
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pipe.writers.append(far_writer)
        await asyncio.gather(
            forward(link, pipe, reader, far_writer),
            forward(link, pipe, far_reader, writer),
        )
    except OSError:
        pipe.abort()
    finally:
        link.pipes.discard(pipe)


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
            stats = {"open": len(link.pipes), "accepted": link.accepted}
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
        await asyncio.start_server(
            lambda reader, writer: connect(link, reader, writer),
            host,
            int(port),
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
