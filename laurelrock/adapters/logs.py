"""Structured logs through structlog, with one JSON object per line.

A process may write its lines through a `Sink`, which limits their rate and
never blocks the event loop on a slow reader. Lines above the limits are dropped
and counted by event.
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

#: Rate of written lines per second, and number of lines in a burst above it.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 1500.0
#: Size of the buffered lines from which new ones are dropped, in bytes.
MAX_BUFFERED_BYTES = 262_144
#: Interval at which buffered lines are written, in seconds.
FLUSH_INTERVAL_S = 0.1
#: Number of flushes between two reports of dropped lines.
FLUSHES_PER_REPORT = 10
#: Size of a write that a pipe accepts whole if it accepts any of it, in bytes
#: (PIPE_BUF on Linux, POSIX).
ATOMIC_WRITE_BYTES = 4096

Logger = typing.Any


class Sink:
    """Rate-limited buffer of lines for a file descriptor.

    Attributes:
        descriptor: File descriptor, written to only while it is writable.
        buffer: Lines not yet written.
        buffered_bytes: Size of the buffered lines, in bytes.
        tokens: Number of lines that the token bucket admits now.
        refilled_s: Loop time at which the token bucket was last refilled.
        dropped: Number of lines dropped since the last report, by event.
        flush_count: Number of flushes so far.
    """

    def __init__(self, descriptor: int, now_s: float) -> None:
        self.descriptor = descriptor
        self.buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.tokens = MAX_BURST_LINES
        self.refilled_s = now_s
        self.dropped: collections.Counter[str] = collections.Counter()
        self.flush_count = 0

    def admit(self, now_s: float, event: str) -> bool:
        """Tells whether a line is admitted; counts it as dropped if not."""
        elapsed_s = now_s - self.refilled_s
        self.refilled_s = now_s
        filled = self.tokens + elapsed_s * MAX_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, filled)
        if self.tokens < 1.0 or self.buffered_bytes >= MAX_BUFFERED_BYTES:
            self.dropped[event] += 1
            return False
        self.tokens -= 1.0
        return True

    def add(self, line: bytes) -> None:
        """Appends a line, given without its line end, to the buffer."""
        self.buffer.append(line)
        self.buffered_bytes += len(line) + 1

    def take_chunk(self) -> bytes:
        """Removes and returns the lines to write next, up to one write."""
        rows: list[bytes] = []
        size = 0
        while self.buffer:
            length = len(self.buffer[0]) + 1
            if rows and size + length > ATOMIC_WRITE_BYTES:
                break
            size += length
            rows.append(self.buffer.popleft())
        self.buffered_bytes -= size
        return b"\n".join(rows) + b"\n"

    def flush(self) -> None:
        """Writes buffered lines while the descriptor is writable."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        while self.buffer and poll.poll(0):
            try:
                os.write(self.descriptor, self.take_chunk())
            except OSError:
                # The reader is gone, and there is nowhere to report it.
                self.buffer.clear()
                self.buffered_bytes = 0
                return

    def take_dropped(self) -> dict[str, int]:
        """Returns and resets the numbers of dropped lines, by event."""
        dropped = dict(self.dropped)
        self.dropped.clear()
        return dropped


def configure(level: str, sink: Sink | None = None, **fields: str) -> None:
    """Configures the logs of this process.

    Args:
        level: Minimum level of the lines that are written.
        sink: Sink for the lines; without one they go to standard error.
        **fields: Fields added to every line, such as the VM's name.
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
    """Returns the logger of a module, whose name is added to its lines."""
    return structlog.get_logger(module=module)


def open_sink(descriptor: int) -> Sink:
    """Returns a sink that the running event loop flushes periodically."""
    loop = asyncio.get_running_loop()
    sink = Sink(descriptor, loop.time())

    def flush() -> None:
        sink.flush_count += 1
        if sink.dropped and sink.flush_count % FLUSHES_PER_REPORT == 0:
            get_logger(__name__).warning(
                "log-lines-dropped", events=sink.take_dropped()
            )
        sink.flush()
        loop.call_later(FLUSH_INTERVAL_S, flush)

    loop.call_later(FLUSH_INTERVAL_S, flush)
    return sink


class _SinkLogger:
    """Logger for structlog that adds its lines to a sink."""

    def __init__(self, sink: Sink) -> None:
        self.msg = sink.add

    def __getattr__(self, name: str) -> typing.Any:
        return self.msg


def _sink_factory(sink: Sink) -> typing.Any:
    logger = _SinkLogger(sink)
    return lambda *unused: logger


def _limiter(sink: Sink) -> typing.Any:
    """Returns a processor that drops lines above the sink's limits.

    Lines of level warning and above are exempt.
    """
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
