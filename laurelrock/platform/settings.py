"""Settings file that the platform writes for each process."""

import os
import pathlib

import msgspec

from laurelrock import errors
from laurelrock.core import repeats
from laurelrock.gateways import deployment
from laurelrock.platform import objects

__all__ = ["find", "load", "parse"]

#: Environment variable with the path of the settings file.
VARIABLE = "LAURELROCK_CONFIG"


def find() -> pathlib.Path:
    """Returns the path of the settings file; raises `SettingsError`."""
    path = os.environ.get(VARIABLE)
    if not path:
        raise errors.SettingsError(f"variable {VARIABLE!r} is not set")
    return pathlib.Path(path)


def load(path: pathlib.Path) -> deployment.Deployment:
    """Reads a settings file; raises `SettingsError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error}") from None
    return parse(text)


def parse(text: bytes) -> deployment.Deployment:
    """Decodes a settings file; raises `SettingsError`."""
    try:
        return read(objects.Fields(msgspec.json.decode(text)))
    except msgspec.DecodeError as error:
        raise errors.SettingsError(f"settings file: {error}") from None
    except errors.FieldError as error:
        raise errors.SettingsError(error.message) from None


def read(fields: objects.Fields) -> deployment.Deployment:
    """Returns the settings from their fields; raises `FieldError`."""
    listen = objects.Fields(fields.row.get("listen_addrs"))
    bounds = objects.Fields(fields.row.get("policy_limits") or {})
    store = objects.Fields(fields.row.get("platform"))
    ports = fields.rows("port_range")
    default = repeats.Rule()
    return deployment.Deployment(
        vm=fields.text("node_name"),
        address=fields.text("ip"),
        failure_domain=fields.text("zone"),
        region=fields.text("region"),
        callers=objects.read_address(listen.text("front")),
        readiness=objects.read_address(listen.text("readiness_addr")),
        ports=(int(ports[0]), int(ports[1])) if len(ports) == 2 else (0, 0),
        store=objects.read_address(store.text("address")),
        repeats=repeats.Rule(
            bounds.number("retry_budget_ratio", default.fraction),
            bounds.number("retry_slack", default.allowance),
            bounds.number("retry_window_s", default.window_s),
        ),
        # From SIGTERM until the process is killed.
        grace_s=bounds.number("grace_period_s", 6),
        # Longest silence after which this VM still counts as in touch.
        contact_s=bounds.number("contact_ms", 4000) / 1000,
    )
