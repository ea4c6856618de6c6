"""Prints the manifest in force and the state of every daemon."""

import argparse
import asyncio

import msgspec

from laurelrock import fleet
from laurelrock import operators
from laurelrock.commands import _options

__all__ = ["add_arguments", "run"]

#: Format of one line of the table.
ROW = "{:<16} {:<6} {:<16} {:<22} {:>10} {}"
#: Column titles of the table.
TITLES = ("vm", "role", "failure domain", "address", "generation", "state")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to its parser."""
    _options.add_target_arguments(parser)
    parser.add_argument(
        "--json",
        action="store_true",
        help="print the overview as one JSON object",
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints the overview, including daemons that don't respond."""
    target = _options.target_from(arguments)
    overview = asyncio.run(operators.status(target))
    print(encode(overview) if arguments.json else format_table(overview))
    return 0


def encode(overview: operators.Overview) -> str:
    """Encodes the overview as JSON."""
    document = {
        "head": overview.head._asdict() if overview.head else None,
        "malformed": overview.malformed,
        "places": [place._asdict() for place in overview.places],
    }
    return msgspec.json.encode(document).decode()


def format_table(overview: operators.Overview) -> str:
    """Formats the overview as a table."""
    head = overview.head
    first = "head: malformed" if overview.malformed else "head: none"
    if head is not None:
        first = (
            f"head: generation {head.generation}, publish id"
            f" {head.publish_id}, digest {head.digest}"
        )
    rows = [format_row(place) for place in overview.places]
    return "\n".join([first, ROW.format(*TITLES), *rows])


def format_row(place: fleet.ExpectedDaemon) -> str:
    """Formats one daemon as a line of the table."""
    if place.status is None:
        state, generation = f"silent: {place.reason}", "-"
    else:
        state = "ready" if place.status["ready"] else "not ready"
        generation = str(place.generation)
    if place.state == "leaving":
        state += " (leaving)"
    return ROW.format(
        place.vm,
        place.role,
        place.failure_domain,
        place.address,
        generation,
        state,
    )
