"""Command line: parses `laurelrock COMMAND ...` and runs the command.

The commands are in `laurelrock.commands`.
"""

import argparse
import collections.abc
import sys

import laurelrock
from laurelrock import commands
from laurelrock import errors

__all__ = ["main"]

#: Exit code for invalid settings, manifests or arguments.
EXIT_USAGE = 2
#: Exit code for any other failure.
EXIT_FAILURE = 1


def create_parser(
    arguments: collections.abc.Sequence[str],
) -> argparse.ArgumentParser:
    """Returns the argument parser, which has one subparser per command.

    Only the modules of commands that occur in the arguments are imported.
    """
    parser = argparse.ArgumentParser(
        prog="laurelrock", description="A query tier over many shards."
    )
    parser.add_argument(
        "--version", action="version", version=laurelrock.__version__
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, summary in commands.summaries().items():
        subparser = subparsers.add_parser(name, help=summary)
        if name in arguments:
            command = commands.load(name)
            subparser.description = command.__doc__
            command.add_arguments(subparser)
    return parser


def main(argv: collections.abc.Sequence[str] = tuple(sys.argv)) -> int:
    """Runs one command.

    Args:
        argv: Program name, followed by the command line arguments.

    Returns:
        The exit code: 0, `EXIT_USAGE` or `EXIT_FAILURE`.
    """
    arguments = create_parser(argv[1:]).parse_args(argv[1:])
    try:
        return commands.load(arguments.command).run(arguments)
    except (errors.SettingsError, errors.ManifestError) as error:
        print(f"laurelrock: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_USAGE
    except errors.LaurelrockError as error:
        print(f"laurelrock: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_FAILURE
