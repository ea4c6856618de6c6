"""Report: plots of the lines that the benches printed.

Usage: `python -m bench.report [--out FOLDER] [FILE ...]`. Reads JSON lines of
`bench.policy` and `bench.control`, by default of `reports/*.jsonl`, and writes
PNG files. Exits 1 if no line can be plotted.
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

#: Percentiles that a line of `bench.policy` holds.
PERCENTILES = ("p50_ms", "p99_ms", "p999_ms")
#: Inches of height for each variant, and at least.
VARIANT_INCHES = 0.35
MIN_INCHES = 4.0
WIDTH_INCHES = 9.0


def read(paths: list[pathlib.Path]) -> list[Row]:
    """Returns the objects of files of JSON lines; other lines are skipped."""
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
    """Draws goodput and refusals over the offered load."""
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
    """Draws the bytes and the processor use of a quiet daemon by members."""
    rows = sorted(rows, key=lambda row: row["members"])
    members = [row["members"] for row in rows]
    sent = [row["quiet"]["wire_bytes_per_s"] for row in rows]
    axes.plot(members, sent, "o-", label="bytes/s")
    axes.set_xlabel("members")
    axes.set_ylabel("bytes/s of one daemon")
    right = axes.twinx()
    used = [row["quiet"]["cpu_percent"] for row in rows]
    right.plot(members, used, "x--", color="tab:red", label="processor")
    right.set_ylabel("processor, % of a core (dashed)")
    right.set_ylim(bottom=0)


def write(rows: list[Row], folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes the plots that rows exist for; returns their paths."""
    measured = [row for row in rows if row.get("queries")]
    overload = [row for row in measured if row["experiment"] == "overload"]
    plots = [
        ("latency.png", measured, plot_latency),
        ("overload.png", overload, plot_overload),
        ("control.png", [row for row in rows if "quiet" in row], plot_control),
    ]
    written = []
    for name, chosen, plot in plots:
        if not chosen:
            continue
        height = max(MIN_INCHES, VARIANT_INCHES * len(chosen))
        figure = matplotlib.figure.Figure((WIDTH_INCHES, height))
        axes = figure.add_subplot()
        plot(axes, chosen)
        axes.legend()
        written.append(folder / name)
        figure.savefig(written[-1], bbox_inches="tight")
    return written


def main(argv: list[str]) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description="Plots of the benches.")
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    parser.add_argument(
        "--out", type=pathlib.Path, default=pathlib.Path("reports")
    )
    arguments = parser.parse_args(argv[1:])
    files = arguments.files or sorted(pathlib.Path("reports").glob("*.jsonl"))
    arguments.out.mkdir(parents=True, exist_ok=True)
    written = write(read(files), arguments.out)
    sys.stdout.writelines(f"{path}\n" for path in written)
    return int(not written)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
