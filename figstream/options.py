"""Settings of a daemon, read from an INI file and checked as a whole.

Every fault is reported at once, with its section, key, the value found and
what is allowed.
"""

from collections.abc import Callable
from collections.abc import Mapping
import configparser
import pathlib
from typing import Final
import urllib.parse

import attrs

from figstream import defaults
from figstream import errors
from figstream import logs


@attrs.frozen
class Options:
    """Settings of one daemon.

    Attributes:
      name: unique name of the VM.
      zone: availability zone of the VM.
      region: region of the availability zone.
      address: IP number that peers and operators reach it by.
      caller_port: port for callers, over HTTP; 0 picks a free one.
      peer_port: port for other daemons, over gRPC; 0 picks a free one.
      operator_port: port for operators, over gRPC; 0 picks a free one.
      platform_url: base address of the platform.
      platform_timeout_s: seconds after which a call's answer counts as lost.
      body_limit_bytes: longest body taken from a caller.
      header_limit_bytes: longest headers taken from a caller.
      max_patience_s: longest deadline a caller may ask for.
      key_trust_s: seconds that keys go on working in a cut-off zone.
      shutdown_limit_s: seconds a graceful shutdown may take.
      window_s: length of a usage window.
      lease_s: length of a lease.
      heartbeat_s: seconds between heartbeats.
      neighbours: number of daemons that heartbeats are sent to.
      explain_records: decisions kept for operators.
      log_level: lowest level that is logged.
    """

    name: str
    zone: str
    region: str
    address: str
    caller_port: int
    peer_port: int
    operator_port: int
    platform_url: str
    platform_timeout_s: float = defaults.PLATFORM_TIMEOUT_S
    body_limit_bytes: int = defaults.BODY_LIMIT_BYTES
    header_limit_bytes: int = defaults.HEADER_LIMIT_BYTES
    max_patience_s: float = defaults.MAX_PATIENCE_S
    key_trust_s: float = defaults.KEY_TRUST_S
    shutdown_limit_s: float = defaults.SHUTDOWN_LIMIT_S
    window_s: float = defaults.WINDOW_S
    lease_s: float = defaults.LEASE_S
    heartbeat_s: float = defaults.HEARTBEAT_S
    neighbours: int = defaults.NEIGHBOURS
    explain_records: int = defaults.EXPLAIN_RECORDS
    log_level: str = defaults.LOG_LEVEL


@attrs.frozen
class _Field:
    """How one key of the file is read."""

    section: str
    key: str
    allowed: str
    parse: Callable[[str], object | None]
    default: object | None = None


def _text(value: str) -> object | None:
    return value or None


def _url(value: str) -> object | None:
    parts = urllib.parse.urlsplit(value)
    known = parts.scheme in {"http", "https"} and parts.netloc
    return value.rstrip("/") if known else None


def _whole(low: int, high: int) -> Callable[[str], object | None]:
    def parse(value: str) -> object | None:
        if not value.isascii() or not value.isdigit():
            return None
        number = int(value)
        return number if low <= number <= high else None

    return parse


def _seconds(low: float, high: float) -> Callable[[str], object | None]:
    def parse(value: str) -> object | None:
        try:
            number = float(value)
        except ValueError:
            return None
        return number if low <= number <= high else None

    return parse


def _level(value: str) -> object | None:
    return value if value in logs.LEVELS else None


def _whole_field(
    section: str, key: str, low: int, high: int, default: int
) -> _Field:
    allowed = f"a whole number from {low} to {high}"
    return _Field(section, key, allowed, _whole(low, high), default)


def _seconds_field(
    section: str, key: str, low: float, high: float, default: float
) -> _Field:
    allowed = f"seconds from {low:g} to {high:g}"
    return _Field(section, key, allowed, _seconds(low, high), default)


_FIELDS: Final = (
    _Field("vm", "name", "a unique name", _text),
    _Field("vm", "zone", "name of the availability zone", _text),
    _Field("vm", "region", "name of the region", _text),
    _Field("vm", "address", "IP number of this VM", _text),
    _whole_field("callers", "caller_port", 0, 65535, defaults.CALLER_PORT),
    _whole_field(
        "callers",
        "body_limit_bytes",
        1_000,
        100_000_000,
        defaults.BODY_LIMIT_BYTES,
    ),
    _whole_field(
        "callers",
        "header_limit_bytes",
        1_000,
        1_000_000,
        defaults.HEADER_LIMIT_BYTES,
    ),
    _seconds_field(
        "callers", "max_patience_s", 1, 86_400, defaults.MAX_PATIENCE_S
    ),
    _seconds_field("callers", "key_trust_s", 0, 86_400, defaults.KEY_TRUST_S),
    _seconds_field(
        "callers", "shutdown_limit_s", 1, 86_400, defaults.SHUTDOWN_LIMIT_S
    ),
    _whole_field("peers", "peer_port", 0, 65535, defaults.PEER_PORT),
    _seconds_field("peers", "heartbeat_s", 0.05, 10, defaults.HEARTBEAT_S),
    _whole_field("peers", "neighbours", 1, 64, defaults.NEIGHBOURS),
    _whole_field(
        "operators", "operator_port", 0, 65535, defaults.OPERATOR_PORT
    ),
    _whole_field(
        "operators",
        "explain_records",
        16,
        1_000_000,
        defaults.EXPLAIN_RECORDS,
    ),
    _Field("platform", "platform_url", "http:// or https:// address", _url),
    _seconds_field(
        "platform", "platform_timeout_s", 0.05, 60, defaults.PLATFORM_TIMEOUT_S
    ),
    _seconds_field("platform", "lease_s", 0.2, 300, defaults.LEASE_S),
    _seconds_field("platform", "window_s", 0.5, 86_400, defaults.WINDOW_S),
    _Field(
        "logs",
        "log_level",
        "one of " + ", ".join(logs.LEVELS),
        _level,
        defaults.LOG_LEVEL,
    ),
)


def read(path: pathlib.Path) -> Options:
    """Reads and checks a settings file.

    Raises:
      errors.SettingsError: carries every fault found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = _single_fault("file", str(path), str(error), "a readable file")
        raise fault from error
    return parse(text)


def parse(text: str) -> Options:
    """Checks the text of a settings file.

    Raises:
      errors.SettingsError: carries every fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        fault = _single_fault("file", "syntax", str(error), "an INI file")
        raise fault from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    values: dict[str, object] = {}
    faults = [*_unknown(sections), *_read_fields(sections, values)]
    if faults:
        raise errors.SettingsError(faults)
    return Options(**values)  # type: ignore[arg-type]


def _single_fault(
    section: str, key: str, found: str, allowed: str
) -> errors.SettingsError:
    fault = errors.SettingsFault(section, key, found, allowed)
    return errors.SettingsError([fault])


def _unknown(
    sections: Mapping[str, Mapping[str, str]],
) -> list[errors.SettingsFault]:
    known = {(field.section, field.key) for field in _FIELDS}
    return [
        errors.SettingsFault(section, key, value, "no such key; remove it")
        for section, entries in sections.items()
        for key, value in entries.items()
        if (section, key) not in known
    ]


def _read_fields(
    sections: Mapping[str, Mapping[str, str]], values: dict[str, object]
) -> list[errors.SettingsFault]:
    faults = []
    for field in _FIELDS:
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
