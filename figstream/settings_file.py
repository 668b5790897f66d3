"""Parses INI settings files and validates them against a list of fields.

All faults of a file are reported together, each with its section, its key,
the value found and the values allowed. The settings of daemons and of
stand-ins are read with this module.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import configparser
import pathlib
import urllib.parse

import attrs

from figstream import errors


@attrs.frozen
class Field:
    """Describes one key of a settings file and parses its value.

    `parse` returns None for an invalid value.
    """

    section: str
    key: str
    allowed: str
    parse: Callable[[str], object | None]
    default: object | None = None


def text(value: str) -> object | None:
    """Returns the text, or None if it is empty."""
    return value or None


def url(value: str) -> object | None:
    """Returns an HTTP URL without a trailing slash, or None if invalid."""
    parts = urllib.parse.urlsplit(value)
    known = parts.scheme in {"http", "https"} and parts.netloc
    return value.rstrip("/") if known else None


def integer(low: int, high: int) -> Callable[[str], object | None]:
    """Returns a parser of integers within a range."""

    def parse(value: str) -> object | None:
        if not value.isascii() or not value.isdigit():
            return None
        number = int(value)
        return number if low <= number <= high else None

    return parse


def decimal(low: float, high: float) -> Callable[[str], object | None]:
    """Returns a parser of decimal numbers within a range."""

    def parse(value: str) -> object | None:
        try:
            number = float(value)
        except ValueError:
            return None
        return number if low <= number <= high else None

    return parse


def addresses(value: str) -> object | None:
    """Returns comma-separated addresses IP:PORT, or None if one is invalid."""
    found = tuple(item.strip() for item in value.split(",") if item.strip())
    return found if all(_is_address(item) for item in found) else None


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit()


def integer_field(
    section: str, key: str, low: int, high: int, default: int
) -> Field:
    """Returns the description of a key with an integer value."""
    allowed = f"an integer from {low} to {high}"
    return Field(section, key, allowed, integer(low, high), default)


def seconds_field(
    section: str, key: str, low: float, high: float, default: float
) -> Field:
    """Returns the description of a key with a value in seconds."""
    allowed = f"seconds from {low:g} to {high:g}"
    return Field(section, key, allowed, decimal(low, high), default)


def number_field(
    section: str, key: str, low: float, high: float, default: float
) -> Field:
    """Returns the description of a key with a number without a unit."""
    allowed = f"a number from {low:g} to {high:g}"
    return Field(section, key, allowed, decimal(low, high), default)


def read_text(path: pathlib.Path) -> str:
    """Returns the text of a settings file.

    Raises:
      errors.SettingsError: the file can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = _single_fault("file", str(path), str(error), "a readable file")
        raise fault from error


def parse_sections(text: str) -> dict[str, dict[str, str]]:
    """Returns the keys and values in the text of a file, by section.

    Raises:
      errors.SettingsError: the text is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        fault = _single_fault("file", "syntax", str(error), "an INI file")
        raise fault from error
    return {name: dict(parser[name]) for name in parser.sections()}


def parse_fields(
    sections: Mapping[str, Mapping[str, str]], fields: Sequence[Field]
) -> dict[str, object]:
    """Returns the values of the fields, by key.

    Raises:
      errors.SettingsError: contains every fault found.
    """
    values: dict[str, object] = {}
    faults = [
        *_unknown_key_faults(sections, fields),
        *_read_fields(sections, fields, values),
    ]
    if faults:
        raise errors.SettingsError(faults)
    return values


def _single_fault(
    section: str, key: str, found: str, allowed: str
) -> errors.SettingsError:
    fault = errors.SettingsFault(section, key, found, allowed)
    return errors.SettingsError([fault])


def _unknown_key_faults(
    sections: Mapping[str, Mapping[str, str]], fields: Sequence[Field]
) -> list[errors.SettingsFault]:
    known = {(field.section, field.key) for field in fields}
    return [
        errors.SettingsFault(section, key, value, "no such key; remove it")
        for section, entries in sections.items()
        for key, value in entries.items()
        if (section, key) not in known
    ]


def _read_fields(
    sections: Mapping[str, Mapping[str, str]],
    fields: Sequence[Field],
    values: dict[str, object],
) -> list[errors.SettingsFault]:
    faults = []
    for field in fields:
        found = sections.get(field.section, {}).get(field.key)
        value = field.default if found is None else field.parse(found)
        if value is None:
            faults.append(
                errors.SettingsFault(
                    field.section, field.key, found or "", field.allowed
                )
            )
        values[field.key] = value
    return faults
