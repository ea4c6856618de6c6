"""Command line arguments that the operators' commands share."""

import argparse
import pathlib

from laurelrock import errors
from laurelrock import fleet
from laurelrock import operators
from laurelrock import settings

__all__ = ["add_target_arguments", "target_from"]


def add_target_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments that select a deployment."""
    parser.add_argument(
        "--platform",
        metavar="URL",
        help="base URL of the platform's object API",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FILE",
        help="settings file (INI) that provides the URL and the admin ports",
    )
    for role in fleet.AdminPorts._fields:
        parser.add_argument(
            f"--{role}-admin-port",
            type=int,
            metavar="PORT",
            help=f"admin port of every {role} daemon",
        )


def target_from(arguments: argparse.Namespace) -> operators.Target:
    """Returns the deployment that the arguments select.

    Raises:
        SettingsError: The settings or a port are invalid, or the URL is
            missing or not an HTTP URL.
    """
    target = operators.Target("")
    if arguments.settings is not None:
        options = settings.load(arguments.settings)
        target = operators.Target(
            options.platform.url,
            options.platform.timeout_ms / 1000,
            fleet.AdminPorts(
                options.entry.admin_port, options.relay.admin_port
            ),
        )
    target = target._replace(url=arguments.platform or target.url)
    if not target.url:
        raise errors.SettingsError("give --platform URL or --settings FILE")
    if not target.url.startswith(("http://", "https://")):
        raise errors.SettingsError(f"{target.url!r} is not an HTTP URL")
    ports = {
        role: getattr(arguments, f"{role}_admin_port") or port
        for role, port in target.ports._asdict().items()
    }
    for role, port in ports.items():
        if not 0 < port < 65536:
            raise errors.SettingsError(
                f"--{role}-admin-port: {port} is not in 1..65535"
            )
    return target._replace(ports=fleet.AdminPorts(**ports))
