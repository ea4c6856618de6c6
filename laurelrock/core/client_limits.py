"""Splits what a process may use between its clients and its own work."""

import typing

from laurelrock.core import client_memory

__all__ = ["ConnectionLimits", "create_connection_limits", "create_memory"]

#: Descriptors of a process that are kept for files.
FILE_DESCRIPTORS = 200
#: Fractions of the other descriptors for callers, for each of the listeners for
#: readiness, state and metrics, and for links of other VMs. The rest is for
#: connections to searchers, the platform and other VMs.
CALLERS_FRACTION, OTHERS_FRACTION, LINKS_FRACTION = 3 / 8, 1 / 64, 0.3
#: Fraction of the process's memory for requests that are being received or
#: handled and for responses that are not read.
MEMORY_FRACTION = 0.25
#: Fraction of the process's memory for what the kernel has received on
#: connections that are not being read, and its maximum for a connection.
UNREAD_FRACTION, UNREAD_BYTES = 0.25, 65_536
#: Minimum number of connections on each listener.
MIN_CONNECTIONS = 4


class ConnectionLimits(typing.NamedTuple):
    """Maximum numbers of connections that clients open.

    Attributes:
        callers: Number of connections of callers.
        others: Number of connections on each listener for readiness, state and
            metrics.
        links: Number of links that other VMs opened.
    """

    callers: int
    others: int
    links: int


def create_connection_limits(
    memory_bytes: float, max_descriptors: int
) -> ConnectionLimits:
    """Returns the limits of a process.

    Args:
        memory_bytes: Memory in bytes above which the process is killed.
        max_descriptors: Maximum number of its descriptors.
    """
    sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
    unread = memory_bytes * UNREAD_FRACTION / UNREAD_BYTES
    return ConnectionLimits(
        max(MIN_CONNECTIONS, int(min(sockets * CALLERS_FRACTION, unread))),
        max(MIN_CONNECTIONS, int(sockets * OTHERS_FRACTION)),
        max(MIN_CONNECTIONS, int(sockets * LINKS_FRACTION)),
    )


def create_memory(memory_bytes: float) -> client_memory.ClientMemory:
    """Returns the memory for all clients of a process, of which none is used.

    Args:
        memory_bytes: Memory in bytes above which the process is killed.
    """
    return client_memory.create_client_memory(
        int(memory_bytes * MEMORY_FRACTION)
    )
