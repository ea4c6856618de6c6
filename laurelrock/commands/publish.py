"""Publishes a manifest and puts it in force at every daemon.

Exit codes: 0 in force (or published, without --wait); 1 another manifest was
published first, the outcome is unknown, or the manifest is not yet in force
everywhere; 2 invalid arguments, settings or manifest. With the publish id of
an earlier run, prints the outcome of that run.
"""

import argparse
import asyncio
import pathlib
import sys

from laurelrock import errors
from laurelrock import fleet
from laurelrock import head as heads
from laurelrock import operators
from laurelrock.commands import _options
from laurelrock.commands import validate

__all__ = ["add_arguments", "run"]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to its parser."""
    parser.add_argument(
        "manifest", type=pathlib.Path, help="manifest file (JSON)"
    )
    _options.add_target_arguments(parser)
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the manifest is in force at every daemon",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=30.0,
        metavar="SECONDS",
        help="maximum time to publish, and again to wait; 30 by default",
    )
    parser.add_argument(
        "--base",
        type=int,
        metavar="GENERATION",
        help="publish only if this generation is in force; 0 means none is",
    )
    parser.add_argument(
        "--above",
        type=int,
        default=0,
        metavar="GENERATION",
        help="make the new generation's number greater than this one",
    )
    parser.add_argument(
        "--publish-id",
        type=publish_id_argument,
        metavar="ID",
        help="publish id of an earlier run whose outcome is unknown",
    )


def publish_id_argument(text: str) -> str:
    """Converts an argument to a publish id, which becomes part of a key.

    Raises:
        ArgumentTypeError: The publish id contains invalid characters.
    """
    try:
        heads.full_key(1, text)
    except errors.HeadError as error:
        raise argparse.ArgumentTypeError(error.message) from None
    return text


def run(arguments: argparse.Namespace) -> int:
    """Publishes the manifest; see `operators.publish` for the exceptions."""
    target = _options.target_from(arguments)
    text = validate.read(arguments.manifest)
    asyncio.run(publish(target, text, arguments))
    return 0


async def publish(
    target: operators.Target, text: bytes, arguments: argparse.Namespace
) -> None:
    """Publishes, prints the outcome and, with --wait, waits for the daemons."""
    outcome = await operators.publish(
        target,
        text,
        publish_id=arguments.publish_id,
        base=arguments.base,
        above=arguments.above,
        timeout_s=arguments.timeout,
    )
    print(
        f"{outcome.kind}: generation {outcome.generation},"
        f" publish id {outcome.publish_id}, digest {outcome.digest}",
        flush=True,
    )
    if arguments.wait:
        places = await operators.wait_in_force(
            target, outcome.generation, arguments.timeout
        )
        check_in_force(places, outcome.generation)


def check_in_force(places: list[fleet.ExpectedDaemon], generation: int) -> None:
    """Prints the daemons where a generation is not in force.

    Raises:
        NotInForceError: The generation is not in force at every daemon.
    """
    late = fleet.without_generation(places, generation)
    for place in late:
        found = place.reason or f"generation {place.generation}"
        print(
            f"not in force: {place.vm} {place.role} in"
            f" {place.failure_domain}: {found}",
            file=sys.stderr,
        )
    if late or not places:
        raise errors.NotInForceError(
            f"generation {generation} is not in force at {len(late)} of"
            f" {len(places)} daemons"
        )
    print(f"in force: {len(places)} daemons")
