"""Builders of configurations for tests of `laurelrock check`."""

import contextlib
import copy
import io
import json
import pathlib
import re
import tempfile
import typing

from laurelrock import cmdline
from laurelrock import manifest
from laurelrock import manifest_check
from laurelrock.core import configuration_check
from laurelrock.platform import configuration_file
from tests import builders
from tests import gateway_builders as build

KEY = "zqqa5yu2bsp73yswk9dw"
OTHER_KEY = "m3t0pq8xv1c6r7hj2kfe"

#: What is known about the deployment of `configuration`.
FACTS: dict[str, typing.Any] = {
    "domains": {"north": ("a", "b"), "south": ("c",)},
    "searchers": {"s0": 3, "s1": 3, "files": 2},
    "capacities": {"s0": 50, "s1": 40, "files": 10},
}
REMOVED = object()


def configuration(*changes: tuple[str, typing.Any]) -> dict:
    """Returns a configuration without findings, with some values replaced."""
    large = {"name": "large", "api_keys": [KEY], "rate_per_s": 30, "burst": 5}
    large["allowed_regions"] = ["north", "south"]
    document = build.store_configuration(
        build.store_query(["s0", "s1"], allowed_regions=["north"]),
        build.store_single(),
        tenants=[large, {"name": "small", "api_keys": [OTHER_KEY]}],
    )
    return with_values(document, *changes)


def manifest_document(*changes: tuple[str, typing.Any]) -> dict:
    """Returns a manifest without findings, with some values replaced."""
    source = builders.small_manifest()
    return with_values(json.loads(manifest.encode(source)), *changes)


def with_values(
    document: typing.Any, *changes: tuple[str, typing.Any]
) -> typing.Any:
    """Returns a copy of a document with values replaced.

    Args:
        document: JSON value.
        changes: Path, such as `$.routes[0].name`, and value; the index after
            the last one appends, and `REMOVED` removes what is there.
    """
    document = copy.deepcopy(document)
    for path, value in changes:
        parts = re.findall(r"\.([^.\[]*)|\[(\d+)\]", path)
        steps = [int(index) if index else name for name, index in parts]
        parent = document
        for step in steps[:-1]:
            parent = parent[step]
        appends = isinstance(parent, list) and steps[-1] == len(parent)
        if value is REMOVED:
            if not appends and steps[-1] in (*parent, *range(len(parent))):
                del parent[steps[-1]]
        elif appends:
            parent.append(value)
        else:
            parent[steps[-1]] = value
    return document


def subject(document: typing.Any, **facts) -> configuration_check.Subject:
    """Converts a document of either format."""
    placeholders: dict[str, str] = {}
    reader: typing.Any = configuration_file
    if manifest_check.is_manifest(document):
        reader, facts = manifest_check, {}
    reader.add_keys(document, placeholders)
    return reader.read(document, placeholders, **facts)


def run(*documents: typing.Any, **files: typing.Any) -> tuple[int, str]:
    """Runs the command on a configuration and, if given, the one in force.

    Files are bytes, JSON values or paths; True stands for an option without
    one. Returns the exit code and the output.
    """
    with tempfile.TemporaryDirectory() as folder:

        def write(name: str, content: typing.Any) -> str:
            if isinstance(content, pathlib.Path):
                return str(content)
            path = pathlib.Path(folder, name)
            if not isinstance(content, bytes):
                content = json.dumps(content).encode()
            path.write_bytes(content)
            return str(path)

        arguments = [write("new", documents[0])]
        if len(documents) > 1:
            arguments += ["--against", write("old", documents[1])]
        for name, content in files.items():
            arguments.append(f"--{name}")
            if content is not True:
                arguments.append(write(name, content))
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = cmdline.main(["laurelrock", "check", *arguments])
        return code, out.getvalue()
