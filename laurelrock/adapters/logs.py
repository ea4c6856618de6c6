"""Logs: structlog, one JSON object a line.

The daemons of a busy VM write through a bounded sink: lines above a rate are
dropped and counted by event, and a reader that is slow never blocks the loop.
"""

import asyncio
import collections
import logging
import os
import select
import sys
import typing

import msgspec
import structlog

__all__ = ["Sink", "configure", "get_logger", "open_sink"]

#: Lines a second that are written, and that may come at once.
LINES_PER_S = 300.0
LINES_BURST = 1500.0
#: Bytes that wait for the reader at most.
MAX_WAITING = 262_144
#: Interval at which waiting lines are written, in seconds.
FLUSH_S = 0.1
#: Intervals between two lines that tell of dropped ones.
REPORT_FLUSHES = 10
#: Bytes that a pipe takes as a whole where it takes any (POSIX).
PIPE_BYTES = 4096

Logger = typing.Any


class Sink:
    """Lines on their way to a file descriptor.

    Attributes:
        descriptor: Written to, only where that doesn't block.
        waiting: Lines not yet written.
        size: Bytes of those.
        tokens: Lines that may come now.
        filled_s: When the tokens were filled last.
        dropped: Lines dropped since the last report, by event.
        flushes: Counts the flushes between two reports.
    """

    def __init__(self, descriptor: int, now_s: float) -> None:
        self.descriptor = descriptor
        self.waiting: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.tokens = LINES_BURST
        self.filled_s = now_s
        self.dropped: collections.Counter[str] = collections.Counter()
        self.flushes = 0

    def admit(self, now_s: float, event: str) -> bool:
        """Tells whether a line is written; counts it where it is not."""
        elapsed_s = now_s - self.filled_s
        self.filled_s = now_s
        filled = self.tokens + elapsed_s * LINES_PER_S
        self.tokens = min(LINES_BURST, filled)
        if self.tokens < 1.0 or self.size >= MAX_WAITING:
            self.dropped[event] += 1
            return False
        self.tokens -= 1.0
        return True

    def add(self, line: bytes) -> None:
        """Takes a line without its end."""
        self.waiting.append(line)
        self.size += len(line) + 1

    def chunk(self) -> bytes:
        """Removes and returns the lines that are written next."""
        rows: list[bytes] = []
        size = 0
        while self.waiting:
            length = len(self.waiting[0]) + 1
            if rows and size + length > PIPE_BYTES:
                break
            size += length
            rows.append(self.waiting.popleft())
        self.size -= size
        return b"\n".join(rows) + b"\n"

    def flush(self) -> None:
        """Writes waiting lines while the reader takes them."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        while self.waiting and poll.poll(0):
            try:
                os.write(self.descriptor, self.chunk())
            except OSError:
                # Nobody reads any more, and there is nowhere to tell it.
                self.waiting.clear()
                self.size = 0
                return

    def take_dropped(self) -> dict[str, int]:
        """Returns the lines dropped since the last call, by event."""
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped


def configure(level: str, sink: Sink | None = None, **fields: str) -> None:
    """Sets up the logs of this process.

    Args:
        level: Least level that is written.
        sink: Takes the lines; standard error does where none is given.
        **fields: Added to every line, such as the VM's name.
    """
    processors: list[typing.Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.JSONRenderer(serializer=_encode),
    ]
    factory: typing.Any = structlog.BytesLoggerFactory(sys.stderr.buffer)
    if sink is not None:
        processors.insert(0, _limiter(sink))
        factory = _sink_factory(sink)
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)


def get_logger(module: str) -> Logger:
    """Returns the logger of a module."""
    return structlog.get_logger(module=module)


def open_sink(descriptor: int) -> Sink:
    """Returns a sink that the running loop flushes."""
    loop = asyncio.get_running_loop()
    sink = Sink(descriptor, loop.time())

    def flush() -> None:
        sink.flushes += 1
        if sink.dropped and sink.flushes % REPORT_FLUSHES == 0:
            get_logger(__name__).warning(
                "lines-dropped", events=sink.take_dropped()
            )
        sink.flush()
        loop.call_later(FLUSH_S, flush)

    loop.call_later(FLUSH_S, flush)
    return sink


class _SinkLogger:
    """Logger of structlog that hands its lines to a sink."""

    def __init__(self, sink: Sink) -> None:
        self.msg = sink.add

    def __getattr__(self, name: str) -> typing.Any:
        return self.msg


def _sink_factory(sink: Sink) -> typing.Any:
    logger = _SinkLogger(sink)
    return lambda *unused: logger


def _limiter(sink: Sink) -> typing.Any:
    """Returns a processor that drops lines above the sink's rate."""
    loop = asyncio.get_running_loop()

    def limit(
        logger: typing.Any, method: str, row: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        rare = method in ("warning", "error", "critical")
        if not rare and not sink.admit(loop.time(), str(row.get("event"))):
            raise structlog.DropEvent
        return row

    return limit


def _encode(value: typing.Any, **unused: typing.Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str)
