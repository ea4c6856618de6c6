"""Splits what a process may use between its clients and its own work."""

from laurelrock.core import client_memory

__all__ = ["create_memory"]

#: Fraction of the process's memory for requests that are being received or
#: handled and for responses that are not read.
MEMORY_FRACTION = 0.25


def create_memory(memory_bytes: float) -> client_memory.ClientMemory:
    """Returns the memory for all clients of a process, of which none is used.

    Args:
        memory_bytes: Memory in bytes above which the process is killed.
    """
    return client_memory.create_client_memory(
        int(memory_bytes * MEMORY_FRACTION)
    )
