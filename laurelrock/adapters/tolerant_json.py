"""Decoding of JSON in which some values can't be decoded.

A list may hold entries of several writers. JSON that one writer accepts may be
unreadable for another: escaped lone surrogates, numbers beyond a double, or
deep nesting. Such values are replaced here, so that the others can be used.
"""

import re
import typing

import msgspec

__all__ = ["Unreadable", "decode"]

#: The parts of JSON that its structure depends on: strings, separators and runs
#: of brackets. A string is matched without backtracking.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]++|[\]}]++|[,:]', re.DOTALL)


class Unreadable(typing.NamedTuple):
    """Stands for a value that can't be decoded.

    Attributes:
        reason: Why it can't be decoded.
    """

    reason: str


def decode(
    raw: bytes, levels: int, units: frozenset[str] = frozenset()
) -> typing.Any:
    """Decodes JSON, with `Unreadable` for each value that can't be decoded.

    Args:
        raw: The JSON text. Bytes that aren't UTF-8 are replaced.
        levels: The number of nested objects and lists whose members are decoded
            one by one if the whole can't be decoded.
        units: The names of members that are decoded as a whole.
    """
    try:
        return _decode_whole(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        reason = str(error)
    if not levels or raw.strip()[:1] not in (b"{", b"["):
        return Unreadable(reason)
    members = _split(raw)
    if members is None:
        return Unreadable(reason)
    if raw.strip()[:1] == b"[":
        return [decode(value, levels - 1, units) for _, value in members]
    try:
        names = [str(_decode_whole(name)) for name, _ in members]
    except (msgspec.DecodeError, RecursionError):
        return Unreadable(reason)
    return {
        name: decode(value, 0 if name in units else levels - 1, units)
        for name, (_, value) in zip(names, members, strict=True)
    }


def _decode_whole(raw: bytes) -> typing.Any:
    """Decodes JSON; raises `DecodeError` or `RecursionError`."""
    try:
        return msgspec.json.decode(raw)
    except msgspec.DecodeError:
        return msgspec.json.decode(raw.decode(errors="replace"))


def _split(raw: bytes) -> list[tuple[bytes, bytes]] | None:
    """Splits an object or a list into the texts of its members.

    Returns:
        The name and the value of each member; the name is empty in a list.
        None if the brackets don't match.
    """
    members: list[tuple[bytes, bytes]] = []
    depth, start, name = 0, 0, b""
    for token in _TOKEN.finditer(raw):
        sign, end = token.group(), token.start()
        if sign[0] in b"{[":
            start = start if depth else end + 1
            depth += len(sign)
        elif sign[0] in b"}]":
            end += min(depth, len(sign)) - 1
            depth -= len(sign)
        elif sign == b":" and depth == 1:
            name, start = raw[start:end], token.end()
        if depth <= 0 or (sign == b"," and depth == 1):
            value = raw[start:end]
            if members or value.strip():
                members.append((name, value))
            start, name = token.end(), b""
        if depth <= 0:
            if depth < 0 or raw[token.end() :].strip():
                break
            return members
    return None
