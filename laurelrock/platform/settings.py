"""Reader of the settings file that the platform writes for each process."""

import collections.abc
import os
import pathlib
import resource

import msgspec

from laurelrock import errors
from laurelrock.adapters import logs
from laurelrock.core import retry_budget
from laurelrock.core import tenancy
from laurelrock.core import warm_up
from laurelrock.gateways import deployment
from laurelrock.platform import objects

__all__ = ["find_path", "load", "parse", "watch"]

#: Environment variable with the path of the settings file.
CONFIG_PATH_VARIABLE = "LAURELROCK_CONFIG"

_log = logs.get_logger(__name__)


def find_path() -> pathlib.Path:
    """Returns the path of the settings file from the environment.

    Raises:
        SettingsError: The environment variable isn't set.
    """
    path = os.environ.get(CONFIG_PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(
            f"variable {CONFIG_PATH_VARIABLE!r} is not set"
        )
    return pathlib.Path(path)


#: Network bandwidth of a VM whose settings lack it, in Mbit/s. Most VMs have
#: this bandwidth.
DEFAULT_LINK_MBPS = 1000.0
#: Memory of a VM whose settings lack it, in MB: that of the smallest VMs.
DEFAULT_MEMORY_MB = 200.0


def load(path: pathlib.Path) -> deployment.Deployment:
    """Reads a settings file; raises `SettingsError`."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error}") from None
    return parse(text)


def watch(
    path: pathlib.Path,
) -> collections.abc.Callable[[], deployment.Deployment | None]:
    """Returns a function that reads the settings if the file has changed.

    The function returns None if nothing changed. If the file can't be read or
    decoded, it logs that and returns None, so the settings stay in force.
    """
    seen = path.read_bytes()

    def read_changed() -> deployment.Deployment | None:
        nonlocal seen
        try:
            text = path.read_bytes()
            if text == seen:
                return None
            seen = text
            return parse(text)
        except (OSError, errors.SettingsError) as error:
            _log.warning("settings-rejected", reason=str(error))
            return None

    return read_changed


def parse(text: bytes) -> deployment.Deployment:
    """Decodes a settings file; raises `SettingsError`."""
    try:
        return read(objects.Fields(msgspec.json.decode(text)))
    except msgspec.DecodeError as error:
        raise errors.SettingsError(f"settings file: {error}") from None
    except errors.FieldError as error:
        raise errors.SettingsError(error.message) from None


def read(fields: objects.Fields) -> deployment.Deployment:
    """Decodes the settings from their fields; raises `FieldError`."""
    listen = objects.Fields(fields.row.get("listen_addrs"))
    bounds = objects.Fields(fields.row.get("policy_limits") or {})
    store = objects.Fields(fields.row.get("platform"))
    seeds = [str(row) for row in fields.rows("seed_nodes")]
    limits = objects.Fields(fields.row.get("limits") or {})
    ports = [row for row in fields.rows("port_range") if isinstance(row, int)]
    if not ports:
        raise errors.FieldError("port_range: contains no port")
    return deployment.Deployment(
        vm=fields.text("node_name"),
        address=fields.text("ip"),
        failure_domain=fields.text("zone"),
        region=fields.text("region"),
        callers=objects.read_address(listen.text("front")),
        readiness=objects.read_address(listen.text("readiness_addr")),
        peers=objects.read_address(listen.text("control")),
        seeds=tuple(objects.read_address(row) for row in seeds),
        # The first of the ports that the project may use as it likes.
        peer_links_port=ports[0],
        cores=limits.number("cpu_share", 1.0) * limits.number("cpu_cores", 1),
        memory_bytes=limits.number("memory_mb", DEFAULT_MEMORY_MB) * 1e6,
        max_descriptors=read_max_descriptors(limits),
        link_bytes_per_s=limits.number("link_mbps", DEFAULT_LINK_MBPS)
        * 1e6
        / 8,
        store=objects.read_address(store.text("address")),
        extra_call_policy=read_extra_call_policy(bounds),
        # Time from SIGTERM until the process is killed.
        grace_s=bounds.number("grace_period_s", 6),
        regions={
            str(domain): str(region)
            for domain, region in (fields.row.get("zones") or {}).items()
        },
        # The bound itself is not needed: an evacuation applies at once.
        follows_evacuations="evacuate_ms" in bounds.row,
        cap_policy=read_cap_policy(bounds),
        warm_up_policy=read_warm_up_policy(bounds),
        # A deployment asks for it by naming a price, which may be 0.
        weighs_domains="crossing_price_per_mb" in bounds.row,
        # A negative price would send every part away.
        crossing_price_per_mb=max(
            0.0, bounds.number("crossing_price_per_mb", 0.0)
        ),
    )


def read_max_descriptors(limits: objects.Fields) -> int:
    """Decodes the number of descriptors; raises `FieldError`.

    Settings that lack it leave what the operating system allows.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(limits.number("max_fds", allowed))


def read_extra_call_policy(bounds: objects.Fields) -> retry_budget.Policy:
    """Decodes the limits of extra calls; raises `FieldError`."""
    default = retry_budget.Policy()
    return retry_budget.Policy(
        bounds.number("retry_budget_ratio", default.fraction),
        bounds.number("retry_slack", default.allowance),
        bounds.number("retry_window_s", default.window_s),
    )


def read_cap_policy(bounds: objects.Fields) -> tenancy.CapPolicy:
    """Decodes how far caps may be exceeded; raises `FieldError`."""
    default = tenancy.CapPolicy()
    return tenancy.CapPolicy(
        bounds.number("quota_window_s", default.window_s),
        bounds.number("quota_overage", default.overage),
        bounds.number("quota_slack", default.slack),
    )


def read_warm_up_policy(bounds: objects.Fields) -> warm_up.WarmUpPolicy:
    """Decodes the limits of cold searchers; raises `FieldError`."""
    default = warm_up.WarmUpPolicy()
    return warm_up.WarmUpPolicy(
        bounds.number("warmup_overage", default.overage),
        bounds.number("warmup_slack", default.slack),
    )
