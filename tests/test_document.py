"""Tests of documents: conversion of nested and flat NamedTuples."""

import typing
import unittest

import msgspec

from laurelrock import document


class Leaf(typing.NamedTuple):
    name: str
    count: typing.Annotated[int, msgspec.Meta(ge=1)]
    word: typing.Literal["a", "b"] = "a"
    factor: float = 1.0


class Tree(typing.NamedTuple):
    leaves: list[Leaf]


class DocumentTest(unittest.TestCase):
    def test_defaults_and_values(self):
        rows = [
            {"name": "x", "count": 1},
            {"name": "y", "count": 2, "word": "b", "factor": 2},
        ]
        tree = document.structure(Tree, {"leaves": rows})
        self.assertEqual(tree.leaves, [Leaf("x", 1), Leaf("y", 2, "b", 2.0)])
        self.assertIsInstance(tree.leaves[1].factor, float)

    def test_first_invalid_value_is_reported_with_its_path(self):
        table = [
            ({"name": "x", "count": 0}, "$.leaves[0].count"),
            ({"name": "x", "count": True}, "$.leaves[0].count"),
            ({"name": "x", "count": "1"}, "$.leaves[0].count"),
            ({"name": "x"}, "$.leaves[0].count"),
            ({"name": 1, "count": 1}, "$.leaves[0].name"),
            ({"name": "x", "count": 1, "word": "c"}, "$.leaves[0].word"),
            ({"name": "x", "count": 1, "more": 1}, "$.leaves[0].more"),
            (["x", 1], "$.leaves[0]"),
        ]
        for row, path in table:
            with self.subTest(row):
                with self.assertRaises(document.DocumentError) as caught:
                    document.structure(Tree, {"leaves": [row]})
                self.assertEqual(caught.exception.path, path)


if __name__ == "__main__":
    unittest.main()
