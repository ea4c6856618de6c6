"""Runs the gateway with all of its connections coming from one address.

Usage: `python -m bench.bound_gateway ADDRESS gateway`. Otherwise all processes
connect from the same address on loopback, and a link can't tell VMs apart.
"""

import asyncio
import functools
import sys
import typing

from laurelrock import cmdline

__all__: list[str] = []


def bind_connections(address: str) -> None:
    """Makes connections that the event loop opens come from an address."""
    connect = asyncio.BaseEventLoop.create_connection

    @functools.wraps(connect)
    async def create_connection(
        *args: typing.Any, **fields: typing.Any
    ) -> typing.Any:
        return await connect(*args, local_addr=(address, 0), **fields)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[method-assign]


if __name__ == "__main__":
    bind_connections(sys.argv[1])
    sys.exit(cmdline.main([sys.argv[0], *sys.argv[2:]]))
