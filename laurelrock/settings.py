"""Settings: reads an INI file and validates it before the daemon starts.

`OPTIONS` lists every option with its range, default and description. Each
section has a NamedTuple whose fields are named like the options.
"""

import configparser
import pathlib
import typing

from laurelrock import errors
from laurelrock import util
from laurelrock.core import queue

__all__ = ["OPTIONS", "Settings", "load", "parse"]


class Option(typing.NamedTuple):
    """Definition of one option.

    Attributes:
        section: Name of the section that contains the option.
        name: Name of the option.
        kind: Type of the value: "text", "int", "float", "ip", "endpoints" or
            "choice".
        default: Default value as text, or None if the option is required.
        description: One line that describes the option to operators.
        minimum: Smallest number allowed, in `unit`.
        maximum: Largest number allowed, in `unit`.
        unit: Unit of the number, or empty.
        choices: Values allowed if the kind is "choice".
    """

    section: str
    name: str
    kind: str
    default: str | None
    description: str
    minimum: float = 0
    maximum: float = 0
    unit: str = ""
    choices: tuple[str, ...] = ()


class VmSettings(typing.NamedTuple):
    """Section `vm`: the VM that the daemon runs on."""

    name: str
    address: str
    failure_domain: str
    region: str


class PlatformSettings(typing.NamedTuple):
    """Section `platform`: access to the platform's object API."""

    url: str
    timeout_ms: float


class PeersSettings(typing.NamedTuple):
    """Section `peers`: discovery of the other daemons."""

    seeds: list[str]
    vms_poll_ms: float


class EntrySettings(typing.NamedTuple):
    """Section `entry`: the role that receives requests from callers."""

    http_port: int
    bus_port: int
    admin_port: int
    max_body_bytes: int
    max_in_flight: int
    silence_ms: float
    shutdown_notice_ms: float


class RelaySettings(typing.NamedTuple):
    """Section `relay`: the role that calls searchers."""

    bus_port: int
    admin_port: int
    connect_timeout_ms: float
    shutdown_notice_ms: float


class PolicySettings(typing.NamedTuple):
    """Section `policy`: placement, queueing and admission of requests."""

    choice: str
    order: queue.Order
    hedge_percent: float
    admission: str


class LogSettings(typing.NamedTuple):
    """Section `log`: the logs, JSON lines on standard error."""

    level: str


class Settings(typing.NamedTuple):
    """All sections of a settings file."""

    vm: VmSettings
    platform: PlatformSettings
    peers: PeersSettings
    entry: EntrySettings
    relay: RelaySettings
    policy: PolicySettings
    log: LogSettings


def _port(section: str, name: str, default: str, description: str) -> Option:
    return Option(section, name, "int", default, description, 1, 65535)


def _duration_ms(
    section: str, name: str, default: str, maximum: float, description: str
) -> Option:
    return Option(
        section, name, "float", default, description, 1, maximum, "ms"
    )


#: Every option, in the order in which `laurelrock settings` prints them.
OPTIONS = [
    Option("vm", "name", "text", None, "Name of this VM"),
    Option("vm", "address", "ip", None, "IPv4 address of this VM"),
    Option("vm", "failure_domain", "text", None, "Failure domain of this VM"),
    Option("vm", "region", "text", None, "Region of the failure domain"),
    Option(
        "platform", "url", "text", None, "Base URL of the platform's object API"
    ),
    _duration_ms(
        "platform",
        "timeout_ms",
        "2000",
        60_000,
        "Timeout of one request to the platform",
    ),
    Option(
        "peers",
        "seeds",
        "endpoints",
        "",
        "Bus endpoints of other daemons that are known beforehand",
    ),
    _duration_ms(
        "peers",
        "vms_poll_ms",
        "5000",
        600_000,
        "Mean interval between reads of the list of VMs; long lists are read"
        " less often",
    ),
    _port("entry", "http_port", "8080", "Port for callers"),
    _port("entry", "bus_port", "7401", "Port for other daemons"),
    _port("entry", "admin_port", "9401", "Port for operators"),
    Option(
        "entry",
        "max_body_bytes",
        "int",
        "65536",
        "Maximum size of a request body",
        1024,
        1_000_000,
        "bytes",
    ),
    Option(
        "entry",
        "max_in_flight",
        "int",
        "2000",
        "Maximum number of requests in flight",
        1,
        100_000,
    ),
    _duration_ms(
        "entry",
        "silence_ms",
        "150",
        10_000,
        "Time without any message from a relay until the stand-by is asked",
    ),
    _duration_ms(
        "entry",
        "shutdown_notice_ms",
        "2000",
        60_000,
        "Time between reporting not ready and closing the port",
    ),
    _port("relay", "bus_port", "7402", "Port for other daemons"),
    _port("relay", "admin_port", "9402", "Port for operators"),
    _duration_ms(
        "relay",
        "connect_timeout_ms",
        "500",
        10_000,
        "Timeout for opening a connection to a searcher",
    ),
    _duration_ms(
        "relay",
        "shutdown_notice_ms",
        "2000",
        60_000,
        "Time between announcing that it is leaving and refusing new work",
    ),
    Option(
        "policy",
        "choice",
        "choice",
        "least-loaded",
        "How the searcher of a call is selected",
        choices=("least-loaded", "random"),
    ),
    Option(
        "policy",
        "order",
        "choice",
        "edf",
        "Queue order within a priority class: earliest deadline first or"
        " first in, first out",
        choices=("edf", "fifo"),
    ),
    Option(
        "policy",
        "hedge_percent",
        "float",
        "4",
        "Maximum hedge calls for slow calls, in percent of the calls needed;"
        " 0 disables hedging",
        0,
        100,
        "percent",
    ),
    Option(
        "policy",
        "admission",
        "choice",
        "adaptive",
        "Admission limit on an application's requests in flight",
        choices=("adaptive", "off"),
    ),
    Option(
        "log",
        "level",
        "choice",
        "info",
        "Minimum level of the log records that are written",
        choices=("debug", "info", "warning", "error"),
    ),
]

#: Type of each section, by section name.
SECTIONS: dict[str, typing.Any] = {
    "vm": VmSettings,
    "platform": PlatformSettings,
    "peers": PeersSettings,
    "entry": EntrySettings,
    "relay": RelaySettings,
    "policy": PolicySettings,
    "log": LogSettings,
}


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file is unreadable or invalid; the message names the
            file, section, option and value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}") from None
    return parse(text, str(path))


def parse(text: str, source: str = "settings") -> Settings:
    """Parses and validates the text of a settings file; see `load`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        message = " ".join(str(error).split())
        raise errors.SettingsError(f"{source}: {message}") from None
    known = {(option.section, option.name) for option in OPTIONS}
    for section in parser.sections():
        if section not in SECTIONS:
            raise errors.SettingsError(f"{source}: unknown section [{section}]")
        for name, value in parser.items(section):
            if (section, name) not in known:
                raise errors.SettingsError(
                    f"{source}: [{section}] unknown option {name!r} = {value!r}"
                )
    values: dict[str, dict[str, typing.Any]] = {name: {} for name in SECTIONS}
    for option in OPTIONS:
        present = parser.has_section(option.section)
        options = dict(parser.items(option.section)) if present else {}
        try:
            value = _read_option(option, options)
        except errors.SettingsError as error:
            raise errors.SettingsError(
                f"{source}: [{option.section}] {error.message}"
            ) from None
        values[option.section][option.name] = value
    return Settings(**{k: SECTIONS[k](**v) for k, v in values.items()})


def _read_option(option: Option, options: util.Options) -> typing.Any:
    name, default = option.name, option.default
    if option.kind == "int":
        minimum, maximum = int(option.minimum), int(option.maximum)
        return util.get_int_opt(options, name, default, minimum, maximum)
    if option.kind == "float":
        return util.get_float_opt(
            options, name, default, option.minimum, option.maximum
        )
    if option.kind == "choice":
        return util.get_choice_opt(options, name, default, list(option.choices))
    if option.kind == "ip":
        return util.get_ip_opt(options, name, default)
    if option.kind == "endpoints":
        return util.get_endpoints_opt(options, name, default)
    return util.get_text_opt(options, name, default)
