"""Checks a configuration before it is sent, and compares it with another one.

The file is a manifest or a platform's configuration, in JSON. Exit codes: 0 no
finding; 1 warnings only; 2 errors, including a file that can't be read. The
differences from the version in force don't count. Keys are never printed.
"""

import argparse
import collections
import collections.abc
import importlib
import pathlib
import types
import typing

import msgspec

from laurelrock import configuration_file
from laurelrock import errors
from laurelrock import manifest_check
from laurelrock.core import configuration_changes
from laurelrock.core import configuration_check

__all__ = ["add_arguments", "run"]

Findings = list[configuration_check.Finding]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to its parser."""
    parser.add_argument(
        "configuration",
        type=pathlib.Path,
        metavar="FILE",
        help="manifest or platform's configuration (JSON)",
    )
    for name, text in (
        ("against", "version in force; prints the differences from it"),
        ("settings", "settings of a VM on the platform, with all regions"),
        ("searchers", "the platform's list of searchers"),
        ("capacities", "requests per second by service, as a JSON object"),
    ):
        parser.add_argument(
            f"--{name}", type=pathlib.Path, metavar="FILE", help=text
        )
    parser.add_argument(
        "--json", action="store_true", help="print the findings as JSON"
    )


def run(arguments: argparse.Namespace) -> int:
    """Prints the findings and returns the exit code."""
    try:
        found = find(arguments)
    except errors.ConfigurationFileError as error:
        found = [
            configuration_check.Finding(
                "error", error.code, "$", error.message, error.line
            )
        ]
    print(encode(found) if arguments.json else format_text(found))
    return configuration_check.exit_code(found)


def find(arguments: argparse.Namespace) -> Findings:
    """Returns all findings about the files that the arguments name.

    Raises:
        ConfigurationFileError: A file can't be read or decoded.
    """
    paths = [arguments.configuration]
    if arguments.against is not None:
        paths.append(arguments.against)
    documents = [decode(path) for path in paths]
    platform = importlib.import_module("laurelrock.platform.configuration_file")
    readers = [
        manifest_check if manifest_check.is_manifest(row) else platform
        for row in documents
    ]
    # A key of one file may occur as a name in the other one.
    placeholders: configuration_file.Placeholders = {}
    for reader, row in zip(readers, documents, strict=True):
        reader.add_keys(row, placeholders)
    facts = read_facts(arguments, platform)
    if readers[0] is manifest_check and facts:
        message = "a manifest itself names regions and searchers"
        raise errors.FileContentError(message)
    subject = readers[0].read(documents[0], placeholders, **facts)
    found = configuration_check.check(subject)
    if len(documents) == 1:
        return found
    if readers[0] is not readers[1]:
        message = f"{arguments.against} is of another format"
        raise errors.FileContentError(message)
    in_force = readers[1].read(documents[1], placeholders)
    if in_force.unread:
        message = f"{arguments.against}: some entries can't be read or compared"
        found.append(
            configuration_check.Finding(
                "warning", "in-force-unreadable", "$", message
            )
        )
    found += configuration_changes.compare(subject, in_force)
    return configuration_check.sort(found)


def read_facts(
    arguments: argparse.Namespace, platform: types.ModuleType
) -> dict[str, typing.Any]:
    """Reads what is known about a deployment on the platform.

    Raises:
        ConfigurationFileError: A file can't be read or decoded.
    """
    readers = {
        "domains": (arguments.settings, platform.read_domains),
        "searchers": (arguments.searchers, platform.count_searchers),
        "capacities": (arguments.capacities, read_capacities),
    }
    facts = {}
    for name, (path, reader) in readers.items():
        if path is not None:
            try:
                facts[name] = reader(decode(path))
            except errors.FieldError as error:
                message = f"{path}: {error.message}"
                raise errors.FileContentError(message) from None
    return facts


def decode(path: pathlib.Path) -> typing.Any:
    """Reads and decodes a JSON file; raises `ConfigurationFileError`."""
    return configuration_file.decode(configuration_file.read(path), path)


def read_capacities(document: typing.Any) -> dict[str, float]:
    """Returns requests per second by service; raises `FieldError`."""
    try:
        return msgspec.convert(document, dict[str, float])
    except msgspec.ValidationError as error:
        raise errors.FieldError(str(error)) from None


def encode(found: Findings) -> str:
    """Encodes findings as a JSON list; a syntax error has a line, no path."""
    rows = []
    for finding in found:
        row = finding._asdict()
        del row["path" if finding.line else "line"]
        rows.append(row)
    return msgspec.json.encode(rows).decode()


def format_text(found: Findings) -> str:
    """Formats findings as one line each, and a line of their numbers."""
    lines = [
        f"{row.severity}: {f'line {row.line}' if row.line else row.path}:"
        f" {row.message} [{row.code}]"
        for row in found
    ]
    counts = collections.Counter(row.severity for row in found)
    total = ", ".join(
        configuration_check.count(number, severity)
        for severity, number in counts.items()
    )
    return "\n".join([*lines, total or "no findings"])
