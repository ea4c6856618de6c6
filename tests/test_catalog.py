"""Tests that only newer and valid manifests are put in force."""

import random
import unittest

import msgspec

from fakes import simulated_fleet
from laurelrock import errors
from laurelrock import manifest
from laurelrock import messages
from laurelrock.core import catalog as catalogs
from laurelrock.core import delta


def manifests(length: int) -> list[bytes]:
    return [
        simulated_fleet.manifest_with_text(f"c{index}")
        for index in range(length)
    ]


def delta_between(
    generation: int, old: bytes, new: bytes
) -> messages.ManifestDelta:
    change = delta.diff(msgspec.json.decode(old), msgspec.json.decode(new))
    digest = manifest.digest_of(new)
    return messages.ManifestDelta(generation, digest, change)


def offer(catalog: catalogs.Catalog, generation: int, raw: bytes) -> bool:
    digest = manifest.digest_of(raw)
    return catalogs.apply_full(catalog, generation, digest, raw)


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.raws = manifests(12)
        self.deltas = [
            delta_between(index + 1, self.raws[index - 1], self.raws[index])
            for index in range(1, 12)
        ]
        self.catalog = catalogs.Catalog()

    def test_generation_never_decreases(self):
        for seed in range(300):
            source = random.Random(seed)
            catalog, before = catalogs.Catalog(), 0
            for _ in range(30):
                index = source.randrange(12)
                if source.random() < 0.4:
                    offer(catalog, index + 1, self.raws[index])
                else:
                    end = source.randrange(index, 12)
                    catalogs.apply_deltas(catalog, self.deltas[index:end])
                self.assertGreaterEqual(catalog.generation, before)
                before = catalog.generation
                if before:
                    self.assertEqual(catalog.raw, self.raws[before - 1])
                    self.assertIsNotNone(catalog.manifest)

    def test_bad_full_manifest_leaves_the_last_good_one(self):
        offer(self.catalog, 1, self.raws[0])
        good = manifest.digest_of(self.raws[1])
        invalid = b'{"name":"x"}'
        table = [
            (2, good, b"", errors.DigestError),
            (2, good, self.raws[2], errors.DigestError),
            (1, good, self.raws[1], errors.GenerationConflictError),
            (2, manifest.digest_of(invalid), invalid, errors.ManifestError),
            (2, manifest.digest_of(b"{"), b"{", errors.ManifestError),
        ]
        for generation, digest, raw, error in table:
            with self.subTest(raw=raw[:20]), self.assertRaises(error):
                catalogs.apply_full(self.catalog, generation, digest, raw)
            self.assertEqual(self.catalog.generation, 1)
            self.assertEqual(self.catalog.raw, self.raws[0])

    def test_bad_delta_leaves_the_last_good_one(self):
        offer(self.catalog, 1, self.raws[0])
        first_delta = self.deltas[0]
        table = [
            (first_delta._replace(delta=b"\xc1"), errors.DeltaError),
            (first_delta._replace(delta=delta.diff(1, 1)), errors.DigestError),
            (first_delta._replace(digest="0" * 32), errors.DigestError),
        ]
        for bad, error in table:
            with self.subTest(error), self.assertRaises(error):
                catalogs.apply_deltas(self.catalog, [bad])
            self.assertEqual(self.catalog.raw, self.raws[0])

    def test_missing_delta_is_refused(self):
        offer(self.catalog, 1, self.raws[0])
        self.assertFalse(catalogs.apply_deltas(self.catalog, self.deltas[1:3]))
        gap = [self.deltas[0], self.deltas[2]]
        self.assertFalse(catalogs.apply_deltas(self.catalog, gap))

    def test_invalid_generation_is_skipped(self):
        offer(self.catalog, 1, self.raws[0])
        invalid = b'{"name":"x"}'
        with self.assertRaises(errors.ManifestError):
            offer(self.catalog, 2, invalid)
        digest = manifest.digest_of(invalid)
        self.assertFalse(catalogs.is_ahead(self.catalog, 2, digest))
        self.assertTrue(offer(self.catalog, 3, self.raws[2]))

    def test_deltas_for_peers(self):
        for index in range(5):
            offer(self.catalog, index + 1, self.raws[index])
        for held in range(1, 5):
            deltas = catalogs.deltas_after(self.catalog, held)
            peer = catalogs.Catalog()
            offer(peer, held, self.raws[held - 1])
            self.assertTrue(catalogs.apply_deltas(peer, deltas))
            self.assertEqual(peer.raw, self.raws[4])
        self.assertIsNone(catalogs.deltas_after(self.catalog, 0))
        self.assertIsNone(catalogs.deltas_after(self.catalog, 5))

    def test_old_deltas_are_dropped(self):
        length = catalogs.KEPT_DELTAS + 3
        for index, raw in enumerate(manifests(length)):
            offer(self.catalog, index + 1, raw)
        self.assertIsNone(catalogs.deltas_after(self.catalog, 1))
        self.assertIsNotNone(catalogs.deltas_after(self.catalog, 4))


if __name__ == "__main__":
    unittest.main()
