"""A searcher with slots and a queue, which may answer twice.

It follows the users' pages: it runs `slots` requests at a time and queues a few
more, rejects what is beyond that with 503 and X-Not-Executed, also a request
for its health, and answers 421 to requests that name another searcher. It runs
a request even if the connection ends meanwhile, as a sound searcher may.
"""

import asyncio
import random
import time
import typing

from fakes import shards

__all__ = ["Arrival", "QueuedSearcher", "start"]

#: Time in seconds that a request for the health takes.
HEALTH_S = 0.001


class Arrival(typing.NamedTuple):
    """A request at a searcher.

    Attributes:
        at_s: When it arrived.
        searcher: The searcher.
        id: The id of the consumer's attempt; empty for health.
        ran: Whether a slot began to work on it.
    """

    at_s: float
    searcher: str
    id: str
    ran: bool


class QueuedSearcher:
    """State of one searcher.

    Attributes:
        name: Its id.
        queue_length: Number of requests that may wait for a slot.
        work_s: Mean time that a request takes.
        waiting: Number of requests that wait for a slot.
        arrivals: What has arrived.
        answers: Number of answers so far.
        repeated: Number of answers that were sent again.
        max_repeated: Largest share of the answers that are sent again, where
            the next answer is due on their connection. Rejected requests for
            the health are.
    """

    def __init__(
        self, name: str, slots: int, queue_length: int, work_s: float, seed: int
    ) -> None:
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.queue_length = queue_length
        self.work_s = work_s
        self.waiting = 0
        self.arrivals: list[Arrival] = []
        self.answers = self.repeated = 0
        self.max_repeated = 0.0
        self.random = random.Random(seed)
        self.server: asyncio.Server | None = None
        self.address = ("", 0)
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection, one at a time."""
        extra = b""
        self.open.add(writer)
        try:
            while True:
                request = await shards.read_request(reader)
                if request is None:
                    return
                if extra:
                    writer.write(extra)
                    extra = b""
                answer = await self.answer(request)
                writer.write(answer)
                await writer.drain()
                self.answers += 1
                room = self.max_repeated * self.answers
                rejected_health = not request.id and b" 503 " in answer[:20]
                if rejected_health and self.repeated + 1 <= room:
                    self.repeated += 1
                    extra = answer
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.open.discard(writer)
            writer.close()

    async def answer(self, request: shards.Request) -> bytes:
        """Runs a request, or rejects it, and returns the answer."""
        target = request.headers.get("x-target-instance")
        if target not in (None, self.name):
            return encode(request, "421 Misdirected Request")
        is_health = request.target == shards.HEALTH_PATH
        if self.slots.locked() and self.waiting >= self.queue_length:
            self.record(request, False)
            return encode(
                request, "503 Service Unavailable", "X-Not-Executed: 1"
            )
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if is_health:
                await asyncio.sleep(HEALTH_S)
                return encode(request, "200 OK", f"X-Instance-Id: {self.name}")
            self.record(request, True)
            await asyncio.sleep(
                self.work_s * self.random.lognormvariate(-0.125, 0.5)
            )
        finally:
            self.slots.release()
        stamp = f"X-Server-Stamp: {self.name}.{request.id}"
        return encode(request, "200 OK", stamp)

    def record(self, request: shards.Request, ran: bool) -> None:
        """Records an arrival."""
        self.arrivals.append(
            Arrival(time.monotonic(), self.name, request.id, ran)
        )

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


def encode(request: shards.Request, status: str, *headers: str) -> bytes:
    """Returns the bytes of an answer; it names the request's id, if any."""
    lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *headers]
    if request.id:
        lines.append(f"X-Request-Id: {request.id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def start(
    name: str, slots: int, queue_length: int, work_s: float, seed: int
) -> QueuedSearcher:
    """Starts a searcher on a free port of the loopback interface."""
    searcher = QueuedSearcher(name, slots, queue_length, work_s, seed)
    searcher.server = await asyncio.start_server(searcher.serve, "127.0.0.1", 0)
    searcher.address = searcher.server.sockets[0].getsockname()[:2]
    return searcher
