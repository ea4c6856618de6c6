"""Tests of the functions of `import laurelrock`, against one VM's daemons."""

import subprocess
import sys
import unittest
import uuid

import laurelrock
from laurelrock import errors
from laurelrock import manifest
from tests import builders
from tests import processes

ADDRESS = builders.vm_address(1)
ENTRY = f"http://{ADDRESS}:8080"
APPLICATION, TOKEN = builders.APPLICATION, builders.TOKEN


class ImportTest(unittest.TestCase):
    def test_import_loads_no_third_party_library(self):
        code = (
            "import sys, laurelrock; before = set(sys.modules);"
            "print('aiohttp' in before, 'zmq' in before);"
            "laurelrock.validate; print('zmq' in sys.modules)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=processes.ROOT,
            capture_output=True,
            check=True,
        )
        self.assertEqual(done.stdout.split(), [b"False", b"False", b"False"])

    def test_public_names(self):
        for name in laurelrock.CLIENT_FUNCTIONS:
            self.assertTrue(callable(getattr(laurelrock, name)))
            self.assertIn(name, dir(laurelrock))
        with self.assertRaises(AttributeError):
            laurelrock.nothing  # noqa: B018

    def test_keys_are_uuids_of_version_7_in_order_of_time(self):
        keys = [laurelrock.new_key() for _ in range(1000)]
        self.assertEqual(len(set(keys)), 1000)
        for key in keys:
            self.assertEqual(uuid.UUID(key).version, 7)
            self.assertEqual(uuid.UUID(key).variant, uuid.RFC_4122)
        times = [key[:13] for key in keys]
        self.assertEqual(times, sorted(times))

    def test_validate(self):
        raw = manifest.encode(builders.small_manifest())
        self.assertEqual(laurelrock.validate(raw).name, "small")
        with self.assertRaises(errors.ManifestError):
            laurelrock.validate("{}")


class ClientTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.source = builders.small_manifest()
        cls.deployment = processes.open_deployment(cls)
        cls.deployment.start_platform({"e1": ADDRESS})
        path = cls.deployment.start_searchers(cls.source)
        cls.deployment.start_daemon("relay", "e1")
        cls.deployment.start_daemon("entry", "e1")
        cls.deployment.publish(path)
        processes.wait_until_serving(f"http://{ADDRESS}:9401/readyz")

    async def test_status_and_publish(self):
        url = self.deployment.platform
        found = await laurelrock.status(url)
        self.assertEqual(found.head.generation, 1)
        self.assertEqual([row.generation for row in found.places], [1, 1])
        raw = manifest.encode(self.source)
        again = await laurelrock.publish(url, raw)
        self.assertEqual((again.kind, again.generation), ("unchanged", 1))
        other = manifest.encode(self.source._replace(name="other"))
        with self.assertRaises(errors.PublishConflictError) as caught:
            await laurelrock.publish(url, other, base=0)
        self.assertEqual(caught.exception.generation, 1)

    async def test_query_and_save(self):
        asked = {"text": "panel"}
        answer = await laurelrock.query(
            ENTRY, APPLICATION, asked, TOKEN, limit=3
        )
        self.assertEqual(answer["coverage"]["missing"], [])
        self.assertEqual(len(answer["hits"]), 3)
        key = laurelrock.new_key()
        first = await laurelrock.save(ENTRY, APPLICATION, {"a": 1}, TOKEN, key)
        again = await laurelrock.save(ENTRY, APPLICATION, {"a": 1}, TOKEN, key)
        self.assertEqual((first["key"], first["replayed"]), (key, False))
        self.assertTrue(again["replayed"])
        self.assertEqual(again["result"], first["result"])
        with self.assertRaises(errors.KeyConflictError):
            await laurelrock.save(ENTRY, APPLICATION, {"a": 2}, TOKEN, key)

    async def test_refusals_raise_the_exception_of_their_code(self):
        rows = [
            ((ENTRY, APPLICATION, 1, "x"), {}, errors.UnauthorizedError),
            ((ENTRY, "none", 1, TOKEN), {}, errors.UnknownApplicationError),
            (
                (ENTRY, APPLICATION, 1, TOKEN),
                {"limit": 0},
                errors.BadRequestError,
            ),
            ((ENTRY + "/x", APPLICATION, 1, TOKEN), {}, errors.NotFoundError),
        ]
        for arguments, options, kind in rows:
            with self.subTest(kind):
                with self.assertRaises(kind) as caught:
                    await laurelrock.query(*arguments, **options)
                self.assertEqual(caught.exception.ran, "no")

    async def test_unreachable_entry(self):
        url = f"http://{builders.free_address()}"
        with self.assertRaises(errors.EntryError) as caught:
            await laurelrock.query(url, APPLICATION, 1, TOKEN)
        self.assertEqual(caught.exception.ran, "no")
