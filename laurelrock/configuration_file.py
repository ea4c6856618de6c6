"""Reads configuration files for checks, without keeping any key.

Keys are replaced by placeholders before a document is decoded further, so that
no message about it can contain one. The same key has the same placeholder in
all documents of one `Placeholders`.
"""

import collections.abc
import pathlib
import re
import typing

import msgspec

from laurelrock import errors
from laurelrock.core import configuration_check

__all__ = ["Placeholders", "add_keys", "decode", "hide_keys", "read"]

Json = typing.Any
Placeholders = dict[str, str]
#: Tells whether a field with this name holds keys.
IsKeyField = collections.abc.Callable[[str], bool]

#: Creates a placeholder from the number of a key and the key.
CreatePlaceholder = collections.abc.Callable[[int, str], str]

#: Length in characters from which a key is also replaced within a longer
#: string. Shorter ones occur in ordinary words.
MIN_PART_LENGTH = 8
#: Maximum nesting of a document. Configurations have at most seven levels.
MAX_DEPTH = 50


def read(path: pathlib.Path) -> bytes:
    """Returns the bytes of a file; raises `ConfigurationFileError`."""
    try:
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        message = f"{path}: {reason}"
        raise errors.ConfigurationFileError(message) from None


def decode(raw: bytes, path: pathlib.Path) -> Json:
    """Decodes a JSON file.

    Args:
        raw: Bytes of the file.
        path: Path of the file, for errors.

    Raises:
        FileSyntaxError: The file is not JSON.
        FileContentError: The document is nested too deeply.
    """
    try:
        document = msgspec.json.decode(raw)
    except (msgspec.DecodeError, ValueError) as error:
        line = _line(raw, error)
        message = f"{path}: not JSON: {error}"
        raise errors.FileSyntaxError(message, line) from None
    except RecursionError:
        raise _too_deep(path) from None
    if not _is_shallow(document, MAX_DEPTH):
        raise _too_deep(path)
    return document


def _too_deep(path: pathlib.Path) -> errors.FileContentError:
    return errors.FileContentError(f"{path}: nested too deeply")


def _line(raw: bytes, error: Exception) -> int:
    """Returns the line of a syntax error, from 1."""
    place = re.search(r"\(byte (\d+)\)$", str(error))
    end = len(raw)
    if place:
        end = int(place[1])
    else:
        try:
            raw.decode()
        except UnicodeDecodeError as invalid:
            end = invalid.start
    return raw.count(b"\n", 0, end) + 1


def _is_shallow(document: Json, depth: int) -> bool:
    if not isinstance(document, dict | list):
        return True
    items = document.values() if isinstance(document, dict) else document
    return depth > 0 and all(_is_shallow(item, depth - 1) for item in items)


def text_placeholder(number: int, key: str) -> str:
    """Returns a placeholder that a message can show."""
    return f"[key {number}]"


def add_keys(
    document: Json,
    is_key_field: IsKeyField,
    placeholders: Placeholders,
    create: CreatePlaceholder = text_placeholder,
) -> None:
    """Adds placeholders for the keys in a document.

    Args:
        document: Decoded JSON.
        is_key_field: Tells by the name of a field whether it holds keys.
        placeholders: The placeholders by key.
        create: Creates a placeholder.
    """
    for key in _find_keys(document, is_key_field, False):
        if key not in placeholders:
            placeholders[key] = create(len(placeholders) + 1, key)


def hide_keys(
    document: Json, is_key_field: IsKeyField, placeholders: Placeholders
) -> tuple[Json, list[configuration_check.Finding]]:
    """Replaces all keys in a document by placeholders.

    Args:
        document: Decoded JSON.
        is_key_field: Tells by the name of a field whether it holds keys.
        placeholders: Placeholders of the keys of all documents.

    Returns:
        The document without keys, and a warning for each other string that
        contained one.
    """
    hiding = _Hiding(is_key_field, placeholders)
    return hiding.replace(document, "$"), hiding.findings


def _find_keys(
    value: Json, is_key_field: IsKeyField, within: bool
) -> collections.abc.Iterator[str]:
    """Yields the strings in the fields that hold keys."""
    if isinstance(value, str) and within and value:
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _find_keys(item, is_key_field, within)
    elif isinstance(value, dict):
        for name, item in value.items():
            if within:
                yield name
            yield from _find_keys(
                item, is_key_field, within or is_key_field(name)
            )


class _Hiding:
    """Replacement of keys in one document.

    Attributes:
        is_key_field: Tells whether a field holds keys.
        placeholders: The placeholders by key.
        lengths: Lengths of the keys that are replaced within other strings.
        findings: Warnings about keys in other fields.
    """

    def __init__(
        self, is_key_field: IsKeyField, placeholders: Placeholders
    ) -> None:
        self.is_key_field = is_key_field
        self.placeholders = placeholders
        self.lengths = sorted(
            {len(key) for key in placeholders if len(key) >= MIN_PART_LENGTH}
        )
        self.findings: list[configuration_check.Finding] = []

    def replace(self, value: Json, path: str, within: bool = False) -> Json:
        """Returns a value without keys."""
        if isinstance(value, list):
            return [
                self.replace(item, f"{path}[{index}]", within)
                for index, item in enumerate(value)
            ]
        if isinstance(value, dict):
            return dict(
                self.replace_field(name, item, path, within)
                for name, item in value.items()
            )
        if isinstance(value, str):
            return self.replace_text(value, path, within)
        if within and isinstance(value, int | float):
            return 0  # A key without quotes.
        return value

    def replace_field(
        self, name: str, item: Json, path: str, within: bool
    ) -> tuple[str, Json]:
        """Returns the name and the value of a field without keys."""
        is_key = within or self.is_key_field(name)
        name = self.replace_text(name, path, within)
        return name, self.replace(item, f"{path}.{name}", is_key)

    def replace_text(self, text: str, path: str, within: bool) -> str:
        """Returns a text, or the placeholder of the key that it contains."""
        placeholder = self.placeholders.get(text) or next(
            (
                self.placeholders[part]
                for length in self.lengths
                for start in range(len(text) - length + 1)
                if (part := text[start : start + length]) in self.placeholders
            ),
            None,
        )
        if placeholder is None:
            return text
        if not within:
            message = f"the text contains {placeholder}, which isn't shown"
            self.findings.append(
                configuration_check.Finding(
                    "warning", "key-in-other-field", path, message
                )
            )
        return placeholder
