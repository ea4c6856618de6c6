"""Tests of the command line: exit codes, publish and status."""

import contextlib
import io
import json
import subprocess
import sys
import unittest
import urllib.request

import laurelrock
from laurelrock import cmdline
from laurelrock import commands
from laurelrock import head as heads
from laurelrock import settings
from tests import builders
from tests import processes

VMS = {"e1": builders.vm_address(1), "e2": builders.vm_address(2)}
KILLED_DAEMON = f"{VMS['e2']}:9402"


def run(*arguments: str) -> tuple[int, str, str]:
    """Runs a command; returns its exit code, standard output and error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = cmdline.main(["laurelrock", *arguments])
        except SystemExit as stop:
            code = stop.code
    return code, out.getvalue(), err.getvalue()


class UsageTest(unittest.TestCase):
    def test_version(self):
        self.assertEqual(
            run("--version"), (0, f"{laurelrock.__version__}\n", "")
        )

    def test_every_command_has_help(self):
        _, overview, _ = run("--help")
        for name, summary in commands.summaries().items():
            with self.subTest(name):
                code, out, _ = run(name, "--help")
                self.assertEqual(code, 0)
                self.assertIn(f"usage: laurelrock {name}", out)
                text = commands.load(name).__doc__
                self.assertEqual(text.partition("\n")[0], summary)
                self.assertIn(summary, " ".join(overview.split()))

    def test_settings_prints_every_option_and_can_be_read_back(self):
        code, out, _ = run("settings")
        self.assertEqual(code, 0)
        for option in settings.OPTIONS:
            self.assertIn(f"{option.name} =", out)
            self.assertIn(option.description, out)
        filled = out.replace("address =", "address = 127.0.0.1")
        for name in ("name", "failure_domain", "region", "url"):
            filled = filled.replace(f"\n{name} =", f"\n{name} = x")
        settings.parse(filled)

    def test_invalid_use_exits_with_2_and_names_the_error(self):
        good = str(processes.ROOT / "examples" / "techos.json")
        bad = str(processes.ROOT / "Makefile")
        url = ("--platform", "http://127.0.0.1:9")
        rows = [
            ((), "required"),
            (("nothing",), "invalid choice"),
            (("entry",), "--settings"),
            (("entry", "--settings", "/nonexistent"), "settings-invalid"),
            (("relay", "--settings", bad), "settings-invalid"),
            (("validate", "/nonexistent"), "manifest-invalid"),
            (("validate", bad), "manifest-invalid: $: not JSON"),
            (("publish", good), "settings-invalid: give --platform"),
            (("publish", good, "--platform", "x"), "is not an HTTP URL"),
            (("publish", bad, *url), "manifest-invalid"),
            (("publish", good, *url, "--base", "x"), "invalid int value"),
            (("publish", good, *url, "--publish-id", "a/b"), "publish id"),
            (("status", *url, "--entry-admin-port", "70000"), "1..65535"),
            (("status", *url, "--settings", bad), "settings-invalid"),
        ]
        for arguments, expected in rows:
            with self.subTest(arguments):
                code, out, err = run(*arguments)
                self.assertEqual((code, out), (2, ""))
                self.assertIn(expected, err)

    def test_unreachable_platform_exits_with_1(self):
        url = f"http://{builders.free_address()}"
        good = str(processes.ROOT / "examples" / "techos.json")
        rows = [
            ("status", "--platform", url),
            ("publish", good, "--platform", url, "--timeout", "0.1"),
        ]
        for arguments in rows:
            with self.subTest(arguments):
                code, _, err = run(*arguments)
                self.assertEqual(code, 1)
                self.assertIn("platform-unavailable", err)


class GatewayTest(unittest.TestCase):
    def test_gateway_loads_no_tls(self):
        script = (
            "import sys\n"
            "from laurelrock.commands import gateway\n"
            "gateway.skip_tls_import()\n"
            "import laurelrock.platform.process\n"
            # None stands for a module that can't be imported.
            "print([name for name in ('_ssl', '_hashlib')"
            " if sys.modules.get(name) is not None])\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(done.stdout.strip(), "[]")


class PublishTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.source = builders.small_manifest()
        cls.deployment = processes.open_deployment(cls)
        cls.deployment.start_platform(VMS)
        for vm in VMS:
            for role in ("relay", "entry"):
                cls.deployment.start_daemon(role, vm)

    def publish(self, name: str, *arguments: str) -> tuple[int, str, str]:
        source = self.source._replace(name=name)
        path = self.deployment.write_manifest(f"{name}.json", source)
        url = self.deployment.platform
        return run("publish", str(path), "--platform", url, *arguments)

    def control(self, **fields) -> None:
        url = f"{self.deployment.platform}/control"
        status, body = processes.post(url, json.dumps(fields).encode())
        self.assertEqual(status, 200, body)

    def overwrite_head(self, body: bytes) -> None:
        url = f"{self.deployment.platform}/v1/objects/{heads.HEAD_KEY}"
        with urllib.request.urlopen(url, timeout=5) as response:
            version = response.headers["ETag"]
        status, _ = processes.send_request(
            "PUT", url, body, {"If-Match": version}
        )
        self.assertEqual(status, 200)

    def status(self) -> dict:
        url = self.deployment.platform
        code, out, _ = run("status", "--platform", url, "--json")
        self.assertEqual(code, 0)
        return json.loads(out)

    def test_publish_in_order(self):
        with self.subTest("in force at every daemon when it returns"):
            code, out, err = self.publish("one", "--wait", "--publish-id", "i1")
            self.assertEqual((code, err), (0, ""))
            self.assertIn("published: generation 1, publish id i1", out)
            self.assertIn("in force: 4 daemons", out)
            found = {
                row["status"]["generation"] for row in self.status()["places"]
            }
            self.assertEqual(found, {1})
        with self.subTest("already in force"):
            code, out, _ = self.publish("one")
            self.assertEqual(code, 0)
            self.assertIn("unchanged: generation 1, publish id i1", out)
        with self.subTest("a conflict names the manifest in force"):
            code, out, err = self.publish("two", "--base", "0")
            self.assertEqual((code, out), (1, ""))
            self.assertIn("publish-conflict: generation 1 is in force", err)
            self.assertIn("published by i1 with digest", err)
        with self.subTest("the reply of a write is lost"):
            self.control(lose_replies=1)
            code, out, _ = self.publish("three", "--publish-id", "i3")
            self.assertEqual(code, 0)
            self.assertIn("published: generation 2, publish id i3", out)
        with self.subTest("every reply is lost for a while"):
            self.control(lose_replies=4)
            code, out, _ = self.publish("four", "--publish-id", "i4", "--wait")
            self.assertEqual(code, 0)
            self.assertIn("published: generation 3, publish id i4", out)
            self.control(lose_replies=0)
        with self.subTest("the head is malformed"):
            self.overwrite_head(b"rubbish")
            overview = self.status()
            self.assertTrue(overview["malformed"])
            found = {row["status"]["generation"] for row in overview["places"]}
            self.assertEqual(found, {3})
            code, out, err = self.publish("repair", "--wait")
            self.assertEqual((code, err), (0, ""))
            self.assertIn("published: generation 4", out)
        with self.subTest("a killed daemon is named"):
            self.deployment.kill("relay-e2")
            code, out, err = self.publish("five", "--wait", "--timeout", "1")
            self.assertEqual(code, 1)
            self.assertIn("published: generation 5", out)
            self.assertIn(f"not in force: e2 relay in a: {KILLED_DAEMON}", err)
            self.assertIn(
                "not-in-force: generation 5 is not in force at 1", err
            )
            self.assertEqual(err.count("not in force: "), 1)
        with self.subTest("status names the killed daemon"):
            url = self.deployment.platform
            code, out, _ = run("status", "--platform", url)
            self.assertEqual(code, 0)
            self.assertIn("head: generation 5", out)
            self.assertEqual(out.count(f"silent: {KILLED_DAEMON}"), 1)
            self.assertEqual(len(out.splitlines()), 2 + 4)
