"""Tests of the faults that the TCP proxy injects."""

import asyncio
import typing
import unittest

from fakes import link
from tests import builders


class Case(typing.NamedTuple):
    """Change of the faults and which connections then still work.

    Attributes:
        change: Body of the control call.
        open_works: Whether a connection opened before the change echoes.
        new_works: Whether a connection opened after the change echoes.
    """

    change: dict
    open_works: bool
    new_works: bool


CASES = {
    "nothing": Case({}, True, True),
    "cut": Case({"cut": True}, False, False),
    "cut from here": Case({"cut_from": ["127.0.0.1"]}, False, False),
    "cut from elsewhere": Case({"cut_from": ["127.0.0.9"]}, True, True),
    "silence": Case({"silence": True}, False, True),
    "delay": Case({"delay_ms": 1.0}, True, True),
}

#: Time in which no echo may arrive, in seconds.
SILENCE_S = 0.1


class Echo(asyncio.Protocol):
    """Server that sends back the bytes it receives."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


async def echoes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, wait_s: float
) -> bool:
    try:
        writer.write(b"x")
        async with asyncio.timeout(wait_s):
            return await reader.read(1) == b"x"
    except (OSError, TimeoutError):
        return False


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        target, self.listen = builders.free_address(), builders.free_address()
        host, _, port = target.partition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Echo, host, int(port))
        self.addCleanup(server.close)
        self.link = await link.start(self.listen, target)
        self.addAsyncCleanup(self.link.close)

    async def connect(self):
        host, _, port = self.listen.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def test_faults(self):
        for name, case in CASES.items():
            with self.subTest(name):
                self.link.set_faults(link.Faults())
                older = await self.connect()
                self.assertTrue(await echoes(*older, 10))
                link.control(self.link, dict(case.change))
                wait_s = 10 if case.open_works else SILENCE_S
                found = await echoes(*older, wait_s)
                self.assertEqual(found, case.open_works)
                newer = await self.connect()
                self.assertEqual(await echoes(*newer, 10), case.new_works)
