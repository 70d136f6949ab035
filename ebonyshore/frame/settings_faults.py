"""Validates a table of a settings file and reports all faults, not only the first."""

from typing import get_args, get_type_hints

from msgspec import Struct, ValidationError, convert, inspect
from msgspec.inspect import type_info
from msgspec.structs import fields as struct_fields

SECRET_KEYS = ("operator_token", "secret_key_z85")


class SettingsFault(Struct, frozen=True):
    """A value of a settings file that is not allowed.

    :param key_path: place in the file, such as ``peers.agent_addresses[1]``.
    :param found: the value in the file; secrets are not shown.
    :param allowed: description of the allowed values.
    """

    key_path: str
    found: str
    allowed: str

    def line(self) -> str:
        """Return the fault as a line for operators."""
        return f"{self.key_path}: found {self.found}; allowed: {self.allowed}"


def find_table_faults(
    kind: type[Struct], table: dict[str, object], prefix: str = ""
) -> list[SettingsFault]:
    """Return all faults of a settings table.

    :param kind: the struct that describes the table.
    :param table: the table as parsed from the settings file.
    :param prefix: key path of the table, ending with a dot; empty for the whole file.
    """
    fields_by_name = {field.name: field for field in struct_fields(kind)}
    hints = get_type_hints(kind, include_extras=True)
    faults = [
        SettingsFault(f"{prefix}{key}", "an unknown key", ", ".join(fields_by_name))
        for key in table
        if key not in fields_by_name
    ]
    for name, field in fields_by_name.items():
        if name in table:
            faults += _find_value_faults(hints[name], table[name], f"{prefix}{name}")
        elif field.required:
            faults.append(
                SettingsFault(
                    f"{prefix}{name}", "nothing", describe_allowed(type_info(hints[name]))
                )
            )
    return faults


def _find_value_faults(hint: object, value: object, key_path: str) -> list[SettingsFault]:
    info = _without_none(type_info(hint))
    if isinstance(info, inspect.StructType) and isinstance(value, dict):
        return find_table_faults(info.cls, value, f"{key_path}.")
    if isinstance(info, inspect.ListType) and isinstance(value, list):
        item_hint = get_args(hint)[0]
        return [
            fault
            for index, item in enumerate(value)
            for fault in _find_value_faults(item_hint, item, f"{key_path}[{index}]")
        ]
    try:
        convert(value, hint)
    except ValidationError:
        is_secret = key_path.rsplit(".", 1)[-1] in SECRET_KEYS
        return [
            SettingsFault(
                key_path, "another value" if is_secret else repr(value), describe_allowed(info)
            )
        ]
    return []


def _without_none(info: inspect.Type) -> inspect.Type:
    """Return the type without ``None`` if it is optional."""
    if isinstance(info, inspect.UnionType):
        return next(part for part in info.types if not isinstance(part, inspect.NoneType))
    return info


def describe_allowed(info: inspect.Type) -> str:
    """Return a description of the values that a type allows, for the message of a fault."""
    info = _without_none(info)
    if isinstance(info, inspect.LiteralType):
        return ", ".join(repr(value) for value in info.values)
    if isinstance(info, inspect.IntType | inspect.FloatType):
        kind = "an integer" if isinstance(info, inspect.IntType) else "a number"
        return kind + _range_text(info)
    if isinstance(info, inspect.StrType):
        return "a text" + _length_and_pattern_text(info)
    if isinstance(info, inspect.BoolType):
        return "true, false"
    if isinstance(info, inspect.ListType):
        return f"a list of: {describe_allowed(info.item_type)}"
    if isinstance(info, inspect.StructType):
        return "a table with " + ", ".join(field.encode_name for field in info.fields)
    return type(info).__name__


def _range_text(info: inspect.IntType | inspect.FloatType) -> str:
    low = info.ge if info.ge is not None else info.gt
    high = info.le if info.le is not None else info.lt
    if low is not None and high is not None:
        return f" from {low} to {high}"
    return f" of at least {low}" if low is not None else ""


def _length_and_pattern_text(info: inspect.StrType) -> str:
    limits = []
    if info.min_length is not None and info.min_length == info.max_length:
        limits.append(f"of {info.min_length} characters")
    elif info.max_length is not None:
        limits.append(f"of {info.min_length or 0} to {info.max_length} characters")
    elif info.min_length is not None:
        limits.append(f"of at least {info.min_length} characters")
    if info.pattern is not None:
        limits.append(f"that matches {info.pattern}")
    return "".join(f" {limit}" for limit in limits)
