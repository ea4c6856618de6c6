"""Processes that tests start on loopback and end again."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

from laurelrock import manifest
from tests import builders

#: Longest wait for a process to be up or to end, in seconds.
TIMEOUT_S = 20.0

ROOT = pathlib.Path(__file__).resolve().parent.parent
PYTHON = (sys.executable, "-m", "laurelrock")
SETTINGS = """\
[vm]
name = {vm}
address = {address}
failure_domain = {domain}
region = r
[platform]
url = {platform}
timeout_ms = 500
[peers]
vms_poll_ms = 200
[entry]
shutdown_notice_ms = 50
[relay]
shutdown_notice_ms = 50
[log]
level = warning
"""


def get(url: str) -> bytes:
    """Returns the body of a 200 answer; raises OSError for any other."""
    with urllib.request.urlopen(url, timeout=2) as response:
        return response.read()


def post(
    url: str, body: bytes, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Posts and returns the status and the body."""
    return ask("POST", url, body, headers)


def ask(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Makes a request and returns the status and the body."""
    request = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_up(url: str) -> None:
    """Waits until a GET answers 200."""
    until = time.monotonic() + TIMEOUT_S
    while True:
        try:
            get(url)
            return
        except OSError:
            if time.monotonic() > until:
                raise
            time.sleep(0.02)


class Deployment:
    """The stand-ins and the daemons of some VMs.

    Attributes:
        program: Command that runs laurelrock.
        folder: Settings, manifest and logs.
        running: Processes by name.
        vms: Addresses of the VMs by name.
        control: Address of the searchers' control port.
        platform: Base URL.
    """

    def __init__(self, program: tuple[str, ...] = PYTHON) -> None:
        self.program = program
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.running: dict[str, subprocess.Popen] = {}
        self.vms: dict[str, str] = {}
        self.control = builders.free_address()
        self.platform = f"http://{builders.free_address()}"

    def start(self, name: str, *command: str) -> None:
        """Starts a process whose output goes to `name`.log."""
        with open(self.folder / f"{name}.log", "wb") as log:
            self.running[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log
            )

    def start_platform(self, vms: dict[str, str]) -> None:
        """Starts the platform, which lists some VMs."""
        self.vms = vms
        rows = [
            {"vm": name, "address": at, "failure_domain": "a", "state": "live"}
            for name, at in vms.items()
        ]
        path = self.folder / "vms.json"
        path.write_text(json.dumps({"vms": rows}))
        listen = self.platform.removeprefix("http://")
        module = (sys.executable, "-m", "fakes.platform")
        self.start("platform", *module, "--listen", listen, "--vms", str(path))
        wait_up(f"{self.platform}/v1/vms")

    def start_searchers(self, source: manifest.Manifest) -> pathlib.Path:
        """Starts the searchers of a manifest; returns the manifest's file."""
        path = self.write_manifest("manifest.json", source)
        module = (sys.executable, "-m", "fakes.searcher")
        arguments = ("--manifest", str(path), "--control", self.control)
        self.start("searchers", *module, *arguments)
        for application in source.applications.values():
            for group in application.services.values():
                for searcher in group:
                    wait_up(f"http://{searcher.address}/v1/health")
        return path

    def control_searchers(self, names: list[str], **behaviour) -> None:
        """Changes how some searchers behave."""
        change = {"searchers": names, "behaviour": behaviour}
        status, body = post(
            f"http://{self.control}/control", json.dumps(change).encode()
        )
        if status != 200:
            raise OSError(body.decode())

    def publish(self, path: pathlib.Path) -> None:
        """Publishes a manifest; returns once it is in force everywhere."""
        subprocess.run(
            [
                *self.program,
                "publish",
                str(path),
                "--wait",
                "--platform",
                self.platform,
            ],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            check=True,
        )

    def write_manifest(
        self, name: str, source: manifest.Manifest
    ) -> pathlib.Path:
        """Writes a manifest into the folder."""
        path = self.folder / name
        path.write_bytes(manifest.encode(source))
        return path

    def start_daemon(self, role: str, vm: str) -> None:
        """Starts a role of a VM and waits for its admin port."""
        path = self.folder / f"{vm}.ini"
        address = self.vms[vm]
        path.write_text(
            SETTINGS.format(
                vm=vm, address=address, domain="a", platform=self.platform
            )
        )
        command = (*self.program, role, "--settings", str(path))
        self.start(f"{role}-{vm}", *command)
        port = {"entry": 9401, "relay": 9402}[role]
        wait_up(f"http://{address}:{port}/healthz")

    def log(self, name: str) -> str:
        """Returns what a process has written."""
        return (self.folder / f"{name}.log").read_text()

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self.running[name].kill()
        self.running.pop(name).wait()

    def close(self) -> None:
        """Ends all processes."""
        for process in self.running.values():
            process.send_signal(signal.SIGTERM)
        for process in self.running.values():
            try:
                process.wait(TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.temporary.cleanup()


def open_deployment(
    test: type[unittest.TestCase], program: tuple[str, ...] = PYTHON
) -> Deployment:
    """Returns a deployment that ends with the class of tests."""
    deployment = Deployment(program)
    test.addClassCleanup(deployment.close)
    return deployment
