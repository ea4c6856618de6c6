"""Tests which plots are written for which benchmark results."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from bench import report

POLICY = {
    "experiment": "overload",
    "variant": "admission off, 2 of capacity",
    "offered_qps": 10.0,
    "goodput_qps": 8.0,
    "refused": 2,
    "queries": 10,
    **dict.fromkeys(report.PERCENTILES, 5.0),
}
QUIET = {"wire_bytes_per_s": 9, "cpu_percent": 0.5}
CONTROL = {"bench": "control", "members": 9, "quiet": QUIET}


class ReportTest(unittest.TestCase):
    def test_plots_by_input(self):
        cases = {
            "both": ([POLICY, CONTROL], 0, "control latency overload"),
            "control alone": ([CONTROL], 0, "control"),
            "nothing known": ([{"bench": "other"}], 1, ""),
        }
        for name, (rows, code, plots) in cases.items():
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                lines = pathlib.Path(folder, "lines.jsonl")
                lines.write_text("\n".join(["no JSON", *map(json.dumps, rows)]))
                with contextlib.redirect_stdout(io.StringIO()):
                    arguments = ["", "--out", folder, str(lines)]
                    self.assertEqual(report.main(arguments), code)
                images = pathlib.Path(folder).glob("*.png")
                self.assertEqual({p.stem for p in images}, set(plots.split()))
