"""Plots the results of the benchmarks.

Usage: `python -m bench.report [--out FOLDER] [FILE ...]`. Reads the JSON lines
of `bench.policy` and `bench.control`, by default from `reports/*.jsonl`, and
writes PNG files. Exits with 1 if no line can be plotted.
"""

import argparse
import json
import pathlib
import sys
import typing

import matplotlib.figure

__all__ = ["main", "write"]

Row = dict[str, typing.Any]
Axes = typing.Any

#: Latency percentiles in a line of `bench.policy`, in milliseconds.
PERCENTILES = ("p50_ms", "p99_ms", "p999_ms")
#: Height of a plot for each variant, its minimum height, and the width of a
#: plot, in inches.
VARIANT_INCHES = 0.35
MIN_INCHES = 4.0
WIDTH_INCHES = 9.0


def read_rows(paths: list[pathlib.Path]) -> list[Row]:
    """Returns the objects in JSON-lines files; skips all other lines."""
    lines = [line for path in paths for line in path.read_text().splitlines()]
    return [json.loads(line) for line in lines if line.startswith("{")]


def plot_latency(axes: Axes, rows: list[Row]) -> None:
    """Draws a bar of each percentile for each variant."""
    height = 0.8 / len(PERCENTILES)
    for index, name in enumerate(PERCENTILES):
        places = [place + index * height for place in range(len(rows))]
        axes.barh(places, [row[name] for row in rows], height, label=name)
    names = [f"{row['experiment']}: {row['variant']}" for row in rows]
    axes.set_yticks(range(len(rows)), names)
    axes.invert_yaxis()
    axes.set_xlabel("latency, ms")


def plot_overload(axes: Axes, rows: list[Row]) -> None:
    """Plots goodput and refusals against the offered load."""
    admissions: dict[str, list[Row]] = {}
    for row in sorted(rows, key=lambda row: row["offered_qps"]):
        admissions.setdefault(row["variant"].split(",")[0], []).append(row)
    for name, group in admissions.items():
        offered = [row["offered_qps"] for row in group]
        goodput = [row["goodput_qps"] for row in group]
        refused = [
            row["offered_qps"] * row["refused"] / row["queries"]
            for row in group
        ]
        axes.plot(offered, goodput, "o-", label=f"{name}: goodput")
        axes.plot(offered, refused, "x--", label=f"{name}: refused")
    axes.set_xlabel("offered queries/s")
    axes.set_ylabel("queries/s")


def plot_control(axes: Axes, rows: list[Row]) -> None:
    """Plots the traffic and the processor use of an idle daemon by members."""
    rows = sorted(rows, key=lambda row: row["members"])
    members = [row["members"] for row in rows]
    sent = [row["quiet"]["wire_bytes_per_s"] for row in rows]
    axes.plot(members, sent, "o-", label="bytes/s")
    axes.set_xlabel("members")
    axes.set_ylabel("bytes/s of one daemon")
    right = axes.twinx()
    cpu_percent = [row["quiet"]["cpu_percent"] for row in rows]
    right.plot(members, cpu_percent, "x--", color="tab:red", label="processor")
    right.set_ylabel("processor, % of a core (dashed)")
    right.set_ylim(bottom=0)


def write(rows: list[Row], folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes each plot that has rows and returns the paths of the files."""
    measured = [row for row in rows if row.get("queries")]
    overload = [row for row in measured if row["experiment"] == "overload"]
    plots = [
        ("latency.png", measured, plot_latency),
        ("overload.png", overload, plot_overload),
        ("control.png", [row for row in rows if "quiet" in row], plot_control),
    ]
    written = []
    for name, selected, plot in plots:
        if not selected:
            continue
        height = max(MIN_INCHES, VARIANT_INCHES * len(selected))
        figure = matplotlib.figure.Figure((WIDTH_INCHES, height))
        axes = figure.add_subplot()
        plot(axes, selected)
        axes.legend()
        written.append(folder / name)
        figure.savefig(written[-1], bbox_inches="tight")
    return written


def main(argv: list[str]) -> int:
    """Writes the plots for the files on the command line."""
    parser = argparse.ArgumentParser(description="Plots benchmark results.")
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("reports")
    )
    arguments = parser.parse_args(argv[1:])
    files = arguments.files or sorted(pathlib.Path("reports").glob("*.jsonl"))
    arguments.out.mkdir(parents=True, exist_ok=True)
    written = write(read_rows(files), arguments.out)
    sys.stdout.writelines(f"{path}\n" for path in written)
    return int(not written)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
