"""Puts a manifest in force at every daemon.

Exit codes: 0 in force (or published, without --wait); 1 lost a race, outcome
unknown, or not yet in force everywhere; 2 bad arguments, settings or
manifest. With the publish id of an earlier run, prints that run's outcome.
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
    """Declares the command's arguments."""
    parser.add_argument("manifest", type=pathlib.Path, help="JSON file")
    _options.add_target(parser)
    parser.add_argument(
        "--wait",
        action="store_true",
        help="return once it is in force at every daemon",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=30.0,
        metavar="SECONDS",
        help="longest time to publish, and to wait; 30 by default",
    )
    parser.add_argument(
        "--base",
        type=int,
        metavar="GENERATION",
        help="publish only if this generation is in force, 0 for none",
    )
    parser.add_argument(
        "--above",
        type=int,
        default=0,
        metavar="GENERATION",
        help="make the new generation greater than this one",
    )
    parser.add_argument(
        "--publish-id",
        type=checked_id,
        metavar="ID",
        help="of an earlier run whose outcome is unknown",
    )


def checked_id(text: str) -> str:
    """Returns a publish id that can be part of a key."""
    try:
        heads.full_key(1, text)
    except errors.HeadError as error:
        raise argparse.ArgumentTypeError(error.message) from None
    return text


def run(arguments: argparse.Namespace) -> int:
    """Publishes; a lost race is a `PublishConflictError`."""
    target = _options.target_of(arguments)
    text = validate.read(arguments.manifest)
    asyncio.run(publish(target, text, arguments))
    return 0


async def publish(
    target: operators.Target, text: bytes, arguments: argparse.Namespace
) -> None:
    """Publishes, prints the outcome and waits if that was asked for."""
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
        report(places, outcome.generation)


def report(places: list[fleet.Place], generation: int) -> None:
    """Prints where a generation is in force.

    Raises:
        NotInForceError: It is not in force everywhere.
    """
    late = fleet.behind(places, generation)
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
