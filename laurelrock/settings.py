"""Settings: an INI file, checked before anything opens.

`OPTIONS` lists every option with its range, default and meaning. Each section
is a NamedTuple with the same field names.
"""

import configparser
import pathlib
import typing

from laurelrock import errors
from laurelrock import util
from laurelrock.core import queue

__all__ = ["OPTIONS", "Settings", "load", "parse"]


class Option(typing.NamedTuple):
    """One option.

    Attributes:
        section: Name of the section.
        name: Name of the option.
        kind: "text", "int", "float", "ip", "endpoints" or "choice".
        default: Text of the default; None where the option is required.
        meaning: One line for operators.
        low: Least value.
        high: Largest value.
        unit: Of the value.
        allowed: Words, where the kind is "choice".
    """

    section: str
    name: str
    kind: str
    default: str | None
    meaning: str
    low: float = 0
    high: float = 0
    unit: str = ""
    allowed: tuple[str, ...] = ()


class VmSettings(typing.NamedTuple):
    """Section `vm`: where the daemon runs."""

    name: str
    address: str
    failure_domain: str
    region: str


class PlatformSettings(typing.NamedTuple):
    """Section `platform`: the object API."""

    url: str
    timeout_ms: float


class PeersSettings(typing.NamedTuple):
    """Section `peers`: other daemons."""

    seeds: list[str]
    vms_poll_ms: float


class EntrySettings(typing.NamedTuple):
    """Section `entry`: the role that callers ask."""

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
    """Section `policy`: how work is placed."""

    choice: str
    order: queue.Order
    hedge_percent: float
    admission: str


class LogSettings(typing.NamedTuple):
    """Section `log`: JSON lines on standard error."""

    level: str


class Settings(typing.NamedTuple):
    """All sections."""

    vm: VmSettings
    platform: PlatformSettings
    peers: PeersSettings
    entry: EntrySettings
    relay: RelaySettings
    policy: PolicySettings
    log: LogSettings


def _port(section: str, name: str, default: str, meaning: str) -> Option:
    return Option(section, name, "int", default, meaning, 1, 65535)


def _ms(
    section: str, name: str, default: str, high: float, meaning: str
) -> Option:
    return Option(section, name, "float", default, meaning, 1, high, "ms")


#: Every option, in the order in which `laurelrock settings` prints them.
OPTIONS = [
    Option("vm", "name", "text", None, "Name of this VM"),
    Option("vm", "address", "ip", None, "IP number of this VM"),
    Option("vm", "failure_domain", "text", None, "Where this VM runs"),
    Option("vm", "region", "text", None, "Region of the failure domain"),
    Option("platform", "url", "text", None, "Base URL of the object API"),
    _ms("platform", "timeout_ms", "2000", 60_000, "Timeout of one request"),
    Option("peers", "seeds", "endpoints", "", "Bus endpoints known beforehand"),
    _ms("peers", "vms_poll_ms", "5000", 600_000, "Between reads of the VMs"),
    _port("entry", "http_port", "8080", "Port for callers"),
    _port("entry", "bus_port", "7401", "Port for other daemons"),
    _port("entry", "admin_port", "9401", "Port for operators"),
    Option(
        "entry",
        "max_body_bytes",
        "int",
        "65536",
        "Largest request body",
        1024,
        1_000_000,
        "bytes",
    ),
    Option(
        "entry",
        "max_in_flight",
        "int",
        "2000",
        "Most requests in flight",
        1,
        100_000,
    ),
    _ms(
        "entry",
        "silence_ms",
        "150",
        10_000,
        "Without a word from a relay before the stand-by is asked",
    ),
    _ms(
        "entry",
        "shutdown_notice_ms",
        "2000",
        60_000,
        "Between not ready and closing the port",
    ),
    _port("relay", "bus_port", "7402", "Port for other daemons"),
    _port("relay", "admin_port", "9402", "Port for operators"),
    _ms("relay", "connect_timeout_ms", "500", 10_000, "Opening a connection"),
    _ms(
        "relay",
        "shutdown_notice_ms",
        "2000",
        60_000,
        "Between leaving and refusing new work",
    ),
    Option(
        "policy",
        "choice",
        "choice",
        "least-loaded",
        "Searcher of a call",
        allowed=("least-loaded", "random"),
    ),
    Option(
        "policy",
        "order",
        "choice",
        "edf",
        "Queue within a class: earliest deadline or first come first",
        allowed=("edf", "fifo"),
    ),
    Option(
        "policy",
        "hedge_percent",
        "float",
        "4",
        "Second calls for slow ones, of the calls needed; 0 for none",
        0,
        100,
        "percent",
    ),
    Option(
        "policy",
        "admission",
        "choice",
        "adaptive",
        "Limit of the requests in flight of an application",
        allowed=("adaptive", "off"),
    ),
    Option(
        "log",
        "level",
        "choice",
        "info",
        "Least level that is written",
        allowed=("debug", "info", "warning", "error"),
    ),
]

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
    """Reads and checks a settings file.

    Raises:
        SettingsError: Names the file, section, option and value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}") from None
    return parse(text, str(path))


def parse(text: str, source: str = "settings") -> Settings:
    """Checks the text of a settings file; see `load`."""
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
            value = _read(option, options)
        except errors.SettingsError as error:
            raise errors.SettingsError(
                f"{source}: [{option.section}] {error.message}"
            ) from None
        values[option.section][option.name] = value
    return Settings(**{k: SECTIONS[k](**v) for k, v in values.items()})


def _read(option: Option, options: util.Options) -> typing.Any:
    name, default = option.name, option.default
    if option.kind == "int":
        low, high = int(option.low), int(option.high)
        return util.get_int_opt(options, name, default, low, high)
    if option.kind == "float":
        return util.get_float_opt(
            options, name, default, option.low, option.high
        )
    if option.kind == "choice":
        return util.get_choice_opt(options, name, default, list(option.allowed))
    if option.kind == "ip":
        return util.get_ip_opt(options, name, default)
    if option.kind == "endpoints":
        return util.get_endpoints_opt(options, name, default)
    return util.get_text_opt(options, name, default)
