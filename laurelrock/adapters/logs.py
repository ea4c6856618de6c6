"""Logs: structlog, one JSON object a line on standard error."""

import logging
import sys
import typing

import msgspec
import structlog

__all__ = ["configure", "get_logger"]

Logger = typing.Any


def configure(
    level: str, stream: typing.BinaryIO | None = None, **fields: str
) -> None:
    """Sets up the logs of this process.

    Args:
        level: Least level that is written.
        stream: That takes the lines; standard error where not given.
        **fields: Added to every line, such as the VM's name.
    """
    processors: list[typing.Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.JSONRenderer(serializer=_encode),
    ]
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.BytesLoggerFactory(
            file=stream or sys.stderr.buffer
        ),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fields)


def get_logger(module: str) -> Logger:
    """Returns the logger of a module."""
    return structlog.get_logger(module=module)


def _encode(value: typing.Any, **unused: typing.Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str)
