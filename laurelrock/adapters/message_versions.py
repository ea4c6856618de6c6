"""Shortens messages for peers that run the previous version.

That version rejects messages with more fields than it knows. Later versions
only add fields at the end of a message, so that a message of this version
becomes one of the previous version by leaving out its last fields.
"""

import collections.abc
import types
import typing

from laurelrock import errors

__all__ = ["Shorten", "Versions", "create_shorten", "create_shorteners"]

#: Returns the fields of a message that the previous version knows.
Shorten = collections.abc.Callable[[typing.Any], typing.Any]


class Versions(typing.NamedTuple):
    """How the messages of this version differ from those of the previous one.

    Attributes:
        number: Number of this version's messages; 0 stands for all versions
            that don't tell their number.
        field_counts: Number of fields that the previous version knows of each
            type with more fields, including the types within messages.
        new_types: Types of the messages that it doesn't know.
        probe: Message to which VMs of the previous version reply.
    """

    number: int
    field_counts: dict[type, int]
    new_types: frozenset[type]
    probe: typing.Any


def create_shorteners(
    message_types: collections.abc.Iterable[type], versions: Versions
) -> dict[type, Shorten | None]:
    """Returns how the messages that the previous version rejects are shortened.

    Returns:
        The functions by type of message; None for types that it doesn't know.
        Messages of other types are the same in both versions.
    """
    shorteners: dict[type, Shorten | None] = {}
    for message_type in message_types:
        shorten = create_shorten(message_type, versions.field_counts)
        if message_type in versions.new_types:
            shorteners[message_type] = None
        elif shorten is not None:
            shorteners[message_type] = shorten
    return shorteners


def create_shorten(
    wanted: typing.Any, field_counts: dict[type, int]
) -> Shorten | None:
    """Returns a function that shortens values of a type.

    It is None if no field is left out, so that long lists of entries that the
    previous version knows aren't copied.

    Raises:
        SettingsError: The type has unlike members, of which some are shortened.
    """
    if isinstance(wanted, type) and hasattr(wanted, "_fields"):
        return create_shorten_fields(wanted, field_counts)
    arguments = [row for row in typing.get_args(wanted) if row is not ...]
    origin = typing.get_origin(wanted)
    rows = [create_shorten(row, field_counts) for row in arguments]
    shorten = rows[-1] if origin is dict else next(filter(None, rows), None)
    if shorten is None:
        return None
    if origin is dict:
        return lambda value: {key: shorten(row) for key, row in value.items()}
    if origin in (typing.Union, types.UnionType):
        return lambda value: None if value is None else shorten(value)
    if len(arguments) > 1:
        raise errors.SettingsError(f"messages with {wanted} can't be shortened")
    return lambda value: [shorten(row) for row in value]


def create_shorten_fields(
    wanted: typing.Any, field_counts: dict[type, int]
) -> Shorten | None:
    """Returns a function that shortens values of a named tuple; see above."""
    hints = typing.get_type_hints(wanted)
    names = wanted._fields
    count = field_counts.get(wanted, len(names))
    inner = {
        position: shorten
        for position, name in enumerate(names[:count])
        if (shorten := create_shorten(hints[name], field_counts)) is not None
    }
    if not inner and count == len(names):
        return None

    def shorten_fields(value: typing.Any) -> list[typing.Any]:
        row = list(value[:count])
        for position, shorten in inner.items():
            row[position] = shorten(row[position])
        return row

    return shorten_fields
