"""Describes how a configuration differs from the version in force."""

import collections
import collections.abc
import typing

from laurelrock.core import configuration_check
from laurelrock.core import tenancy

__all__ = ["compare"]

Finding = configuration_check.Finding
Findings = configuration_check.Findings
Subject = configuration_check.Subject
Entries = collections.abc.Mapping[str, tuple[str, typing.Any]]

#: Attributes of a workspace that have findings of their own.
KEYS_AND_CAP = frozenset({"keys", "requests_per_s", "burst"})
#: Attributes in seconds that operators state in milliseconds.
TIMES = frozenset(
    {"timeout_s", "objective_s", "header_timeout_s", "idle_timeout_s"}
)


def compare(new: Subject, old: Subject) -> list[Finding]:
    """Returns the differences of a configuration from the one in force.

    Entries may be missing from a part that was not fully readable, so that
    they don't count as added or removed.

    Args:
        new: The configuration to be sent.
        old: The configuration in force.
    """
    found = [*_compare_versions(new, old)]
    for kind in ("route", "service", "workspace"):
        rows, before = _entries(new, kind), _entries(old, kind)
        if f"{kind}s" in new.unread:
            before = {name: row for name, row in before.items() if name in rows}
        if f"{kind}s" in old.unread:
            rows = {name: row for name, row in rows.items() if name in before}
        found += _compare_entries(new, kind, rows, before)
    limits = (new.configuration.limits, old.configuration.limits)
    changes = describe(*limits, new)
    if changes and "limits" not in new.unread | old.unread:
        path = f"{new.root}.{new.term('limits')}"
        found.append(Finding("change", "limits-changed", path, changes))
    return configuration_check.sort(found)


def _compare_versions(new: Subject, old: Subject) -> Findings:
    version, before = new.configuration.version, old.configuration.version
    readable = "version" not in new.unread | old.unread
    if new.versioned and readable and version <= before:
        yield Finding(
            "error",
            "version-not-higher",
            f"{new.root}.{new.term('version')}",
            f"version {version} isn't higher than {before}, which is in force",
        )


def _entries(subject: Subject, kind: str) -> Entries:
    """Returns path and value of the routes, services or workspaces by name."""
    if kind == "route":
        return {row.name: (path, row) for path, row in subject.routes()}
    if kind == "service":
        services = subject.configuration.services
        return {
            name: (path, services.get(name)) for name, path in subject.services
        }
    return {row.name: (path, row) for path, row in subject.workspaces()}


def _compare_entries(
    new: Subject, kind: str, rows: Entries, before: Entries
) -> Findings:
    for name in [name for name in before if name not in rows]:
        message = f"{kind} {configuration_check.quote(name)} is removed"
        path = f"{new.root}.{new.term(f'{kind}s')}"
        yield Finding("change", f"{kind}-removed", path, message)
    for name, (path, row) in rows.items():
        label = f"{kind} {configuration_check.quote(name)}"
        if name not in before:
            message = f"{label} is new"
            yield Finding("change", f"{kind}-added", path, message)
            continue
        old_row = before[name][1]
        changes = describe(row, old_row, new)
        if changes:
            message = f"{label}: {changes}"
            yield Finding("change", f"{kind}-changed", path, message)
        if kind == "workspace":
            yield from _compare_keys(new, path, row, old_row)
            yield from _compare_caps(new, path, row, old_row)


def _compare_keys(
    new: Subject, path: str, row: tenancy.Workspace, old_row: tenancy.Workspace
) -> Findings:
    keys, before = {*row.keys}, {*old_row.keys}
    path = f"{path}.{new.term('keys')}"
    for code, number in (
        ("keys-added", len(keys - before)),
        ("keys-removed", len(before - keys)),
    ):
        if number:
            verb = code.removeprefix("keys-")
            name = configuration_check.quote(row.name)
            noun = configuration_check.count(number, "key")
            message = f"workspace {name}: {noun} {verb}"
            yield Finding("change", code, path, message)


def _compare_caps(
    new: Subject, path: str, row: tenancy.Workspace, old_row: tenancy.Workspace
) -> Findings:
    """Compares the caps; a rate of 0 is no limit, and has no burst."""
    rates = [cap.requests_per_s or float("inf") for cap in (row, old_row)]
    pairs = {"requests_per_s": (rates[0], rates[1])}
    if row.requests_per_s and old_row.requests_per_s:
        pairs["burst"] = (row.burst, old_row.burst)
    for attribute, (value, before) in pairs.items():
        if value == before:
            continue
        term = new.term(attribute)
        code = "cap-raised" if value > before else "cap-lowered"
        name = configuration_check.quote(row.name)
        shown = [
            "no limit"
            if number == float("inf")
            else configuration_check.show_number(number)
            for number in (before, value)
        ]
        message = f"workspace {name}: {term} from {shown[0]} to {shown[1]}"
        yield Finding("change", code, f"{path}.{term}", message)


def describe(row: typing.Any, before: typing.Any, subject: Subject) -> str:
    """Describes the attributes in which two entries of one type differ.

    Names and the keys and caps of workspaces are left out. Times are in
    milliseconds.
    """
    if row is None or before is None:
        return ""
    parts = []
    for attribute in row._fields:
        value, old = getattr(row, attribute), getattr(before, attribute)
        if value == old or attribute in KEYS_AND_CAP:
            continue
        term = subject.term(attribute)
        if isinstance(value, tuple):
            added = (
                collections.Counter(value) - collections.Counter(old)
            ).total()
            gone = (
                collections.Counter(old) - collections.Counter(value)
            ).total()
            order = "" if added or gone else ", order changed"
            parts.append(f"{term}: {added} added, {gone} removed{order}")
        else:
            shown = [_show(item, attribute) for item in (old, value)]
            parts.append(f"{term} from {shown[0]} to {shown[1]}")
    return "; ".join(parts)


def _show(value: typing.Any, attribute: str) -> str:
    if isinstance(value, str):
        return configuration_check.quote(value)
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: "none"}[value]
    return configuration_check.show_number(
        value * 1e3 if attribute in TIMES else value
    )
