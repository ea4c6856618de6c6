"""Tests of clients that keep within no limit, on the processes of an entry.

The crowds are those of `test_client_crowds`, on the entry's own interface. The
process has to stay within the memory that a daemon may use.
"""

import asyncio
import contextlib
import json
import pathlib
import resource
import time
import unittest

from tests import builders
from tests import client_crowds
from tests import gateway_process
from tests import processes

QUOTES = "quotes"
SEARCH_PATH = f"/v1/applications/{QUOTES}/search"
HTTP_PORT, ADMIN_PORT = 8080, 9401
#: Memory that a daemon may use, in bytes.
MAX_BYTES = 256_000_000
#: Number of descriptors that a daemon may open, and of its sockets.
MAX_FDS, MAX_SOCKETS = 700, 500
#: Longest wait for an ordinary answer, in seconds.
TIMEOUT_S = 60.0
HEAD = (
    f"POST {SEARCH_PATH} HTTP/1.1\r\nHost: x\r\n"
    f"Authorization: Bearer {builders.TOKEN}\r\n"
).encode()


@contextlib.contextmanager
def limit_descriptors(count):
    """Limits the descriptors of the processes that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


class DaemonCrowdTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.host = builders.vm_address(1)
        self.deployment = processes.ProcessDeployment()
        self.addCleanup(self.deployment.close)
        source = builders.small_manifest()
        self.deployment.start_platform({"vm-1": self.host})
        path = self.deployment.start_searchers(source)
        self.deployment.start_daemon("relay", "vm-1")
        with limit_descriptors(MAX_FDS):
            self.deployment.start_daemon("entry", "vm-1")
        self.deployment.publish(path)
        self.process = self.deployment.processes["entry-vm-1"]

    async def check(self, count, script, port=HTTP_PORT):
        """Runs a crowd and checks what has to hold meanwhile and after it."""
        asyncio.get_running_loop().set_debug(False)
        crowd = await client_crowds.open_crowd((self.host, port), count, script)
        self.addCleanup(crowd.close)
        self.check_process()
        await asyncio.to_thread(self.assert_served)
        self.check_process()

    def check_process(self):
        self.assertIsNone(self.process.poll(), "the process ended")
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        memory = gateway_process.read_status(folder, "VmHWM")
        memory += gateway_process.count_unread(self.host)
        self.assertLess(memory, MAX_BYTES)
        sockets = gateway_process.count_sockets(folder)
        self.assertLess(sockets, MAX_SOCKETS)

    def assert_served(self):
        """Checks that an ordinary caller, who may retry, gets an answer."""
        url = f"http://{self.host}:{HTTP_PORT}{SEARCH_PATH}"
        body = json.dumps({"query": {"text": "panel"}}).encode()
        headers = {"Authorization": f"Bearer {builders.TOKEN}"}
        until = time.monotonic() + TIMEOUT_S
        while time.monotonic() < until:
            try:
                status, _ = processes.post(url, body, headers)
            except OSError:
                status = 0
            if status == 200:
                return
            time.sleep(0.1)
        self.fail("no ordinary request was answered")

    async def test_body_in_small_chunks(self):
        chunks = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        script = client_crowds.Script(chunks, b"2\r\nab\r\n", 32_000)
        await self.check(300, script)

    async def test_header_without_end(self):
        script = client_crowds.Script(HEAD + b"X: ", b"y" * 65_536, 100)
        await self.check(60, script)

    async def test_trailer_without_end(self):
        before = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
        script = client_crowds.Script(before + b"X: ", b"y" * 65_536, 40)
        await self.check(150, script)

    async def test_many_small_fields(self):
        script = client_crowds.Script(HEAD, b"a: b\r\n", 200_000)
        await self.check(20, script)

    async def test_requests_sent_ahead(self):
        request = b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n"
        script = client_crowds.Script(b"", request, 100_000)
        await self.check(40, script)

    async def test_requests_sent_ahead_for_the_metrics(self):
        request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        script = client_crowds.Script(b"", request, 100_000)
        await self.check(40, script, ADMIN_PORT)

    async def test_idle_connections(self):
        await self.check(900, client_crowds.Script())

    async def test_idle_connections_of_operators(self):
        await self.check(900, client_crowds.Script(), ADMIN_PORT)
