"""Stand-in for callers of the users' platform: raw HTTP on kept connections."""

import asyncio
import typing

__all__ = ["Answer", "Caller", "encode", "read_answer"]


class Answer(typing.NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


def encode(
    host: str,
    target: str,
    request_id: str = "r-1",
    deadline_ms: int = 1000,
    **fields: typing.Any,
) -> bytes:
    """Returns the bytes of a request.

    Args:
        host: Of the route.
        target: Path and query.
        request_id: Of this attempt.
        deadline_ms: Time that the caller waits.
        **fields: `method`, `body`, and more header lines as `headers`.
    """
    body = fields.get("body", b"")
    lines = [
        f"{fields.get('method', 'GET')} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *fields.get("headers", ()),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer with a length; raises `IncompleteReadError`."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in lines[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(lines[0].split()[1]), headers, body)


class Caller:
    """One caller; keeps its connection until the other side ends it.

    Attributes:
        address: Of a gateway.
        reader: Of the open connection.
        writer: The same; None while there is no connection.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns the connection, a new one where there is none."""
        if self.reader is None or self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                *self.address
            )
        return self.reader, self.writer

    async def ask(self, raw: bytes, patience_s: float) -> Answer:
        """Sends a request and waits for its answer.

        Raises:
            TimeoutError: No answer in time.
            OSError: No connection, or it ended.
            asyncio.IncompleteReadError: It ended before or in the answer.
        """
        try:
            async with asyncio.timeout(patience_s):
                reader, writer = await self.connect()
                writer.write(raw)
                answer = await read_answer(reader)
        except BaseException:
            self.close()
            raise
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Ends the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None
