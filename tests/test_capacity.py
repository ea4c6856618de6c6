"""Tests that the figures of docs/CAPACITY.md are consistent.

They recompute its results from its tables of sizes and slopes.
"""

import ast
import math
import operator
import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"

#: Relative tolerance of the printed values, which are rounded.
TOLERANCE = 0.01

OPERATORS = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


def parse_tables(text: str) -> dict[str, list[list[str]]]:
    """Returns the rows of the table below each heading, without its title."""
    found: dict[str, list[list[str]]] = {}
    heading = ""
    for line in text.splitlines():
        if line.startswith("#"):
            heading = line.strip("# ")
        elif line.startswith("|") and not re.fullmatch(r"[ |-]+", line):
            cells = [cell.strip().strip("`") for cell in line.split("|")[1:-1]]
            found.setdefault(heading, []).append(cells)
    return {name: rows[1:] for name, rows in found.items()}


def parse_number(text: str) -> float:
    return float(text.replace(",", ""))


def evaluate(formula: str, names: dict[str, float]) -> float:
    """Evaluates an arithmetic formula of numbers and known names."""

    def walk(node: ast.expr) -> float:
        if isinstance(node, ast.BinOp):
            apply = OPERATORS[type(node.op)]
            return apply(walk(node.left), walk(node.right))
        if isinstance(node, ast.Name):
            return names[node.id]
        assert isinstance(node, ast.Constant), formula
        return float(node.value)

    return walk(ast.parse(formula, mode="eval").body)


def verdict_of(value: float, limit: float) -> str:
    if value <= limit:
        return "fits"
    return f"doesn't fit, x{value / limit:.1f}"


class CapacityTest(unittest.TestCase):
    def setUp(self):
        self.tables = parse_tables(PAGE.read_text(encoding="utf-8"))
        self.names = {}
        for heading in ("Sizes", "Slopes"):
            for row in self.tables[heading]:
                self.names[row[0]] = parse_number(row[1])

    def test_values_follow_from_sizes_and_slopes(self):
        for name, formula, printed, *_ in self.tables["Steps"]:
            with self.subTest(name):
                value = evaluate(formula, self.names)
                close = math.isclose(
                    value, parse_number(printed), rel_tol=TOLERANCE
                )
                self.assertTrue(close, f"{formula} = {value}, not {printed}")
            self.names[name] = evaluate(formula, self.names)

    def test_verdicts_follow_from_the_values(self):
        self.test_values_follow_from_sizes_and_slopes()
        rows = self.tables["What fits"]
        self.assertGreater(len(rows), 10)
        for subject, name, limit, verdict, *_ in rows:
            with self.subTest(subject):
                if verdict == "not measured yet":
                    continue
                found = verdict_of(self.names[name], parse_number(limit))
                self.assertEqual(verdict, found)

    def test_figures_in_the_text_are_those_of_the_tables(self):
        printed = {}
        for heading, column in (("Slopes", 1), ("Steps", 2)):
            rows = self.tables[heading]
            printed.update({row[0]: row[column] for row in rows})
        text = PAGE.read_text(encoding="utf-8")
        found = re.findall(r"([\d.,]+)\s\(`(\w+)`\)", text)
        self.assertGreater(len(found), 15)
        for figure, name in found:
            with self.subTest(name):
                self.assertEqual(figure, printed[name])

    def test_every_slope_names_its_command(self):
        for name, _, _, command in self.tables["Slopes"]:
            with self.subTest(name):
                self.assertTrue(command.startswith("python -m bench."))


if __name__ == "__main__":
    unittest.main()
