"""Tests of the single-file binary.

The binary is built once; its commands and a whole deployment then run on it.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
import zipfile

import laurelrock
from tests import builders
from tests import processes

ADDRESS = builders.vm_address(1)
#: Prefixes of the files that a daemon may have open, besides sockets and pipes.
ALLOWED_PREFIXES = ("/dev/", "/proc/", "/sys/")


class BinaryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.binary = f"{folder.name}/laurelrock"
        build = processes.ROOT / "packaging" / "build-binary"
        subprocess.run(
            [build, sys.executable, cls.binary],
            check=True,
            stderr=subprocess.DEVNULL,
        )
        memory = tempfile.TemporaryDirectory(dir="/dev/shm")
        cls.addClassCleanup(memory.cleanup)
        cls.root = memory.name
        # -I and -S hide the packages of the interpreter that runs the tests.
        program = (
            "/usr/bin/env",
            f"SHIV_ROOT={cls.root}",
            "HOME=/nonexistent",
            sys.executable,
            "-I",
            "-S",
            cls.binary,
        )
        cls.deployment = processes.open_deployment(cls, program)

    def test_commands(self):
        techos = str(processes.ROOT / "examples" / "techos.json")
        rows = [
            (("--version",), 0, laurelrock.__version__),
            (("settings",), 0, "[platform]"),
            (("validate", techos), 0, "techos"),
            (("entry", "--settings", "/nonexistent"), 2, "settings-invalid"),
            (("publish", techos), 2, "give --platform"),
        ]
        for arguments, code, expected in rows:
            with self.subTest(arguments):
                done = subprocess.run(
                    [*self.deployment.program, *arguments],
                    cwd="/",
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual(done.returncode, code, done.stderr)
                self.assertIn(expected, (done.stdout + done.stderr).lower())

    def test_unpacks_into_memory_by_default(self):
        with zipfile.ZipFile(self.binary) as archive:
            environment = json.loads(archive.read("environment.json"))
        self.assertEqual(environment["root"], "/dev/shm/laurelrock")

    def test_query_through_all_daemons(self):
        deployment = self.deployment
        source = builders.small_manifest()
        deployment.start_platform({"e1": ADDRESS})
        path = deployment.start_searchers(source)
        for role in ("relay", "entry"):
            deployment.start_daemon(role, "e1")
        deployment.publish(path)
        processes.wait_until_serving(f"http://{ADDRESS}:9401/readyz")
        status, answer = processes.post(
            f"http://{ADDRESS}:8080/v1/applications/quotes/search",
            b'{"query": {"text": "panel"}}',
            {"Authorization": f"Bearer {builders.TOKEN}"},
        )
        self.assertEqual(status, 200, answer)
        self.assertEqual(json.loads(answer)["coverage"]["fraction"], 1.0)
        for role in ("relay", "entry"):
            with self.subTest(role):
                self.check_process(deployment.processes[f"{role}-e1"].pid)

    def check_process(self, pid: int) -> None:
        """Asserts that a daemon uses nothing but the binary.

        It must have no child processes, load no code from other folders and
        have no other files open.
        """
        folder = pathlib.Path(f"/proc/{pid}")
        for task in folder.glob("task/*/children"):
            self.assertEqual(task.read_text(), "")
        maps = (folder / "maps").read_text()
        self.assertIn(f"{self.root}/", maps)
        for line in maps.splitlines():
            if "/site-packages/" in line:
                self.assertIn(f"{self.root}/", line)
        for link in (folder / "fd").iterdir():
            target = os.readlink(link)
            self.assertNotIn("io_uring", target)
            if target.startswith("/") and int(link.name) > 2:
                self.assertTrue(target.startswith(ALLOWED_PREFIXES), target)
