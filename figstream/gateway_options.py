"""Settings of a gateway daemon, read from an INI file and checked together.

The platform renders the file from its own settings through a template, so
that settings are parsed and validated only here.
"""

from collections.abc import Mapping
import pathlib
import types
from typing import Final

import attrs

from figstream import defaults
from figstream import options as options_lib
from figstream import settings_file
from figstream import stream_zones

_Field = settings_file.Field
_integer_field = settings_file.integer_field
_seconds_field = settings_file.seconds_field
_MS_PER_S: Final = 1000.0


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


# Values of `leaves_zone`.
_FREELY: Final = "freely"
_IF_IT_PAYS: Final = "if_it_pays"
# Heartbeats only divide work among daemons; changes are sent at once. In a
# fleet of hundreds they are the largest cost of an idle daemon.
_HEARTBEAT_S: Final = 2.0


@attrs.frozen
class GatewayOptions:
    """Settings of one gateway daemon.

    Attributes:
      name: unique name of the VM.
      zone: availability zone of the VM.
      region: region of the availability zone.
      address: IP address of the VM.
      front: where callers connect.
      readiness: where the load balancer checks whether the daemon is ready.
      peers: where other daemons connect.
      metrics_port: port on which metrics are served.
      seeds: addresses of daemons to join while the store is unavailable.
      store: address of the platform's store.
      duties: address that receives usage reports and orders.
      platform_timeout_s: seconds after which a call's answer counts as lost.
      lease_ms: milliseconds for which a lease is valid, and within which
        duties must not alternate between two holders.
      window_s: length of a usage window.
      retry_share: retries for each request, over all daemons.
      retry_burst: retries beyond the share, over all daemons.
      grace_s: seconds from the stop signal until the daemon is killed.
      change_ms: milliseconds within which a change in the store must become
        active in every daemon.
      drain_ms: milliseconds after which a backend server that leaves must
        receive no new requests from any daemon.
      evacuate_ms: milliseconds after which the servers of a zone that the
        operator empties must receive no requests, 0 if zones aren't emptied.
      zone_latency_ms: milliseconds to another zone and back.
      zone_megabyte_ms: delay that callers should accept to save a megabyte of
        traffic between zones.
      leaves_zone: "if_it_pays" if paced streams leave the zone only where that
        pays by these two, "freely" if they use all zones alike.
      zone_regions: region of each zone in which servers run.
      cold_excess: factor by which the requests of a single second may exceed
        what a server bears a second while it warms up.
      log_level: lowest level of the lines logged.
    """

    name: str
    zone: str
    region: str
    address: str
    front: Address
    readiness: Address
    peers: Address
    metrics_port: int
    store: Address
    duties: Address
    seeds: tuple[str, ...] = ()
    platform_timeout_s: float = 1.0
    lease_ms: int = 3000
    window_s: float = 5.0
    retry_share: float = 0.2
    retry_burst: float = 50.0
    grace_s: float = 8.0
    change_ms: int = 2000
    drain_ms: int = 2000
    evacuate_ms: int = 0
    zone_latency_ms: float = 2.0
    zone_megabyte_ms: float = 1000.0
    leaves_zone: str = _FREELY
    zone_regions: Mapping[str, str] = types.MappingProxyType({})
    cold_excess: float = 1.0
    log_level: str = defaults.LOG_LEVEL

    @property
    def leaving(self) -> stream_zones.LeavingPrice | None:
        """Returns what leaving the zone costs, None if it is free."""
        if self.leaves_zone == _FREELY:
            return None
        return stream_zones.LeavingPrice(
            self.zone_latency_ms / _MS_PER_S, self.zone_megabyte_ms / _MS_PER_S
        )

    @property
    def daemon(self) -> options_lib.Options:
        """Returns the settings common to all kinds of daemons."""
        return options_lib.Options(
            name=self.name,
            zone=self.zone,
            region=self.region,
            address=self.address,
            caller_port=self.front.port,
            peer_port=self.peers.port,
            operator_port=0,
            platform_url=f"http://{self.store.host}:{self.store.port}",
            platform_timeout_s=self.platform_timeout_s,
            window_s=self.window_s,
            lease_s=self.lease_ms / _MS_PER_S,
            heartbeat_s=_HEARTBEAT_S,
            seeds=self.seeds,
            log_level=self.log_level,
        )


def _address(value: str) -> object | None:
    host, _, port = value.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 <= int(port) <= 65535
    return Address(host, int(port)) if host and is_port else None


def _address_field(section: str, key: str) -> _Field:
    return _Field(section, key, "an address IP:PORT", _address)


def _leaving(value: str) -> object | None:
    return value if value in {_FREELY, _IF_IT_PAYS} else None


def _regions(value: str) -> object | None:
    pairs = [item.strip().partition(":") for item in value.split(",") if item]
    if not all(zone and region for zone, _, region in pairs):
        return None
    return {zone: region for zone, _, region in pairs}


_FIELDS: Final = (
    *options_lib.VM_FIELDS,
    _address_field("gateway", "front"),
    _address_field("gateway", "readiness"),
    _integer_field("gateway", "metrics_port", 0, 65535, 9464),
    _seconds_field("gateway", "grace_s", 1, 3600, 8.0),
    _address_field("peers", "peers"),
    options_lib.SEEDS_FIELD,
    _address_field("platform", "store"),
    _address_field("platform", "duties"),
    _seconds_field("platform", "platform_timeout_s", 0.05, 60, 1.0),
    _integer_field("platform", "lease_ms", 200, 300_000, 3000),
    _integer_field("platform", "change_ms", 200, 300_000, 2000),
    _integer_field("platform", "drain_ms", 200, 300_000, 2000),
    _integer_field("platform", "evacuate_ms", 0, 300_000, 0),
    _seconds_field("platform", "window_s", 0.5, 86_400, 5.0),
    settings_file.number_field("servers", "cold_excess", 0, 100, 1.0),
    _Field(
        "servers",
        "zone_regions",
        "ZONE:REGION, with commas between",
        _regions,
        {},
    ),
    settings_file.number_field("retries", "retry_share", 0, 10, 0.2),
    settings_file.number_field("retries", "retry_burst", 0, 1_000_000, 50.0),
    settings_file.number_field("zones", "zone_latency_ms", 0, 60_000, 2.0),
    settings_file.number_field(
        "zones", "zone_megabyte_ms", 0, 1_000_000, 1000.0
    ),
    _Field(
        "zones",
        "leaves_zone",
        f"{_FREELY} or {_IF_IT_PAYS}",
        _leaving,
        _FREELY,
    ),
    options_lib.LOG_LEVEL_FIELD,
)


def read(path: pathlib.Path) -> GatewayOptions:
    """Reads and checks a settings file.

    Raises:
      errors.SettingsError: carries every fault found.
    """
    return parse(settings_file.read_text(path))


def parse(text: str) -> GatewayOptions:
    """Checks the text of a settings file.

    Raises:
      errors.SettingsError: carries every fault found.
    """
    sections = settings_file.parse_sections(text)
    values = settings_file.parse_fields(sections, _FIELDS)
    return GatewayOptions(**values)  # type: ignore[arg-type]
