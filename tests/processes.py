"""Starts daemons and fakes as processes on loopback for end-to-end tests."""

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

#: Longest wait until a process serves or has ended, in seconds.
TIMEOUT_S = 20.0

ROOT = pathlib.Path(__file__).resolve().parent.parent
LAURELROCK_COMMAND = (sys.executable, "-m", "laurelrock")
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
    """Returns the body of a 200 response; raises OSError otherwise."""
    with urllib.request.urlopen(url, timeout=2) as response:
        return response.read()


def post(
    url: str, body: bytes, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Sends a POST request and returns the status and body."""
    return send_request("POST", url, body, headers)


def send_request(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Sends a request and returns the status and body of the response."""
    request = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_until_serving(url: str) -> None:
    """Waits until a GET request gets a 200 response."""
    until = time.monotonic() + TIMEOUT_S
    while True:
        try:
            get(url)
            return
        except OSError:
            if time.monotonic() > until:
                raise
            time.sleep(0.02)


class ProcessDeployment:
    """Processes of a fake platform, fake searchers and the daemons of VMs.

    Attributes:
        program: Command that runs laurelrock.
        temporary: Temporary directory, deleted by `close`.
        directory: Path of the directory of settings, manifests and logs.
        processes: Running processes, by name.
        vms: Addresses of the VMs, by name.
        control: Address of the control port of the fake searchers.
        platform: Base URL of the fake platform.
    """

    def __init__(self, program: tuple[str, ...] = LAURELROCK_COMMAND) -> None:
        self.program = program
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.processes: dict[str, subprocess.Popen] = {}
        self.vms: dict[str, str] = {}
        self.control = builders.free_address()
        self.platform = f"http://{builders.free_address()}"

    def start_process(self, name: str, *command: str) -> None:
        """Starts a process that writes its output to the file `name`.log."""
        with open(self.directory / f"{name}.log", "wb") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log
            )

    def start_platform(self, vms: dict[str, str]) -> None:
        """Starts a fake platform that lists the given VMs."""
        self.vms = vms
        rows = [
            {"vm": name, "address": at, "failure_domain": "a", "state": "live"}
            for name, at in vms.items()
        ]
        path = self.directory / "vms.json"
        path.write_text(json.dumps({"vms": rows}))
        listen = self.platform.removeprefix("http://")
        module = (sys.executable, "-m", "fakes.platform")
        self.start_process(
            "platform", *module, "--listen", listen, "--vms", str(path)
        )
        wait_until_serving(f"{self.platform}/v1/vms")

    def start_searchers(self, source: manifest.Manifest) -> pathlib.Path:
        """Starts the fake searchers of a manifest; returns its file."""
        path = self.write_manifest("manifest.json", source)
        module = (sys.executable, "-m", "fakes.searcher")
        arguments = ("--manifest", str(path), "--control", self.control)
        self.start_process("searchers", *module, *arguments)
        for application in source.applications.values():
            for group in application.services.values():
                for searcher in group:
                    wait_until_serving(f"http://{searcher.address}/v1/health")
        return path

    def control_searchers(self, names: list[str], **behaviour) -> None:
        """Changes the behaviour of some fake searchers."""
        change = {"searchers": names, "behaviour": behaviour}
        status, body = post(
            f"http://{self.control}/control", json.dumps(change).encode()
        )
        if status != 200:
            raise OSError(body.decode())

    def publish(self, path: pathlib.Path) -> None:
        """Publishes a manifest and waits until it is in force everywhere."""
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
        """Writes a manifest into a file of the directory."""
        path = self.directory / name
        path.write_bytes(manifest.encode(source))
        return path

    def start_daemon(self, role: str, vm: str) -> None:
        """Starts the daemon of a role on a VM and waits for its admin port."""
        path = self.directory / f"{vm}.ini"
        address = self.vms[vm]
        path.write_text(
            SETTINGS.format(
                vm=vm, address=address, domain="a", platform=self.platform
            )
        )
        command = (*self.program, role, "--settings", str(path))
        self.start_process(f"{role}-{vm}", *command)
        port = {"entry": 9401, "relay": 9402}[role]
        wait_until_serving(f"http://{address}:{port}/healthz")

    def log(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (self.directory / f"{name}.log").read_text()

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self.processes[name].kill()
        self.processes.pop(name).wait()

    def close(self) -> None:
        """Terminates all processes and deletes the directory."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.temporary.cleanup()


def open_deployment(
    test: type[unittest.TestCase], program: tuple[str, ...] = LAURELROCK_COMMAND
) -> ProcessDeployment:
    """Returns a deployment that is closed after the tests of a class."""
    deployment = ProcessDeployment(program)
    test.addClassCleanup(deployment.close)
    return deployment
