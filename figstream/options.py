"""Defines the settings of a daemon, which are read from an INI file.

All faults of the file are reported together, each with its section, its key,
the value found and the values allowed.
"""

import pathlib
import string
from typing import Final

import attrs

from figstream import defaults
from figstream import logs
from figstream import settings_file

# Short names for the tables below.
_Field = settings_file.Field
_text = settings_file.text
_url = settings_file.url
_integer_field = settings_file.integer_field
_seconds_field = settings_file.seconds_field


@attrs.frozen
class Options:
    """Settings of one daemon.

    Attributes:
      name: unique name of the VM.
      zone: availability zone of the VM.
      region: region of the availability zone.
      address: IP address of the VM, for peers and operators.
      caller_port: HTTP port for callers; 0 selects a free one.
      peer_port: gRPC port for other daemons; 0 selects a free one.
      operator_port: gRPC port for operators; 0 selects a free one.
      platform_url: base address of the platform.
      platform_timeout_s: seconds after which the answer to a platform call
        counts as lost.
      body_limit_bytes: longest request body accepted from a caller.
      header_limit_bytes: longest request headers accepted from a caller.
      max_patience_s: longest deadline that a caller may request.
      key_trust_s: seconds that keys stay valid in a partitioned zone.
      shutdown_limit_s: longest duration of a graceful shutdown.
      drain_delay_s: seconds between failing readiness and closing the
        listening socket, in which the load balancer can react.
      window_s: length of a usage window.
      lease_s: length of a lease.
      heartbeat_s: seconds between heartbeats.
      neighbours: number of daemons that receive heartbeats.
      seeds: addresses of daemons to join when the platform's list of VMs is
        unavailable.
      token_digest: hexadecimal SHA-256 of the operators' token; with "",
        operator calls are accepted from this VM only.
      explain_records: number of decision records stored for operators.
      log_level: lowest level of lines to log.
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
    drain_delay_s: float = defaults.DRAIN_DELAY_S
    window_s: float = defaults.WINDOW_S
    lease_s: float = defaults.LEASE_S
    heartbeat_s: float = defaults.HEARTBEAT_S
    neighbours: int = defaults.NEIGHBOURS
    seeds: tuple[str, ...] = ()
    token_digest: str = ""
    explain_records: int = defaults.EXPLAIN_RECORDS
    log_level: str = defaults.LOG_LEVEL


def _parse_digest(value: str) -> object | None:
    is_digest = len(value) == 64 and set(value) <= set(string.hexdigits)
    return value.lower() if is_digest else None


def _parse_level(value: str) -> object | None:
    return value if value in logs.LEVELS else None


# Fields that daemons and other processes of figstream share.
VM_FIELDS: Final = (
    _Field("vm", "name", "a unique name", _text),
    _Field("vm", "zone", "name of the availability zone", _text),
    _Field("vm", "region", "name of the region", _text),
    _Field("vm", "address", "IP address of this VM", _text),
)
SEEDS_FIELD: Final = _Field(
    "peers",
    "seeds",
    "comma-separated addresses IP:PORT",
    settings_file.addresses,
    (),
)
LOG_LEVEL_FIELD: Final = _Field(
    "logs",
    "log_level",
    "one of " + ", ".join(logs.LEVELS),
    _parse_level,
    defaults.LOG_LEVEL,
)

_FIELDS: Final = (
    *VM_FIELDS,
    _integer_field("callers", "caller_port", 0, 65535, defaults.CALLER_PORT),
    _integer_field(
        "callers",
        "body_limit_bytes",
        1_000,
        100_000_000,
        defaults.BODY_LIMIT_BYTES,
    ),
    _integer_field(
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
    _seconds_field("callers", "drain_delay_s", 0, 300, defaults.DRAIN_DELAY_S),
    _integer_field("peers", "peer_port", 0, 65535, defaults.PEER_PORT),
    _seconds_field("peers", "heartbeat_s", 0.05, 10, defaults.HEARTBEAT_S),
    _integer_field("peers", "neighbours", 1, 64, defaults.NEIGHBOURS),
    SEEDS_FIELD,
    _integer_field(
        "operators", "operator_port", 0, 65535, defaults.OPERATOR_PORT
    ),
    _Field(
        "operators",
        "token_digest",
        "SHA-256 of the token as 64 hexadecimal digits",
        _parse_digest,
        "",
    ),
    _integer_field(
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
    LOG_LEVEL_FIELD,
)


def read(path: pathlib.Path) -> Options:
    """Returns the settings of a file, after validation.

    Raises:
      errors.SettingsError: contains every fault found.
    """
    return parse(settings_file.read_text(path))


def parse(text: str) -> Options:
    """Returns the settings in the text of a settings file.

    Raises:
      errors.SettingsError: contains every fault found.
    """
    sections = settings_file.parse_sections(text)
    values = settings_file.parse_fields(sections, _FIELDS)
    return Options(**values)  # type: ignore[arg-type]
