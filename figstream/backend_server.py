"""The configuration of a backend server: zone, capabilities and state.

The configuration, the scheduler and the request path all use this type.
"""

import enum

import attrs

from figstream import serialization


class ServerKind(enum.Enum):
    """Kinds of backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


class ServerState(enum.Enum):
    """Whether a backend server may receive new requests."""

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


@attrs.frozen
class BackendServer:
    """A model engine or a plain service.

    Attributes:
      name: unique name.
      url: base address, such as http://10.0.0.7:8000.
      zone: availability zone of the server.
      kind: model engine or plain service.
      models: models that an engine serves.
      adapters: adapters that an engine has loaded.
      service: name of the plain service; empty for engines.
      slots: number of requests that the server runs at once.
      classes: request classes that may use the server; empty means all.
      state: whether the server may receive new requests.
      reclaimable: whether the platform may reclaim the server at short
        notice.
      cost: price per hour, in any unit that all servers share.
      started_ms: start of the server's present run, Unix milliseconds, 0 if
        unknown. A server may be restarted under the same name.
      ordered: whether figstream ordered the server from the platform and
        returns it.
      checks_fencing: whether the server rejects orders with an outdated
        fencing number.
      software: version of the server's software, not of its model; "" if
        unknown. Servers of one service may run several versions.
      region: region of the zone, "" if unknown.
      cold_left_s: seconds for which the server was still warming up when it
        said so last, 0 if it was warm.
    """

    name: str
    url: str
    zone: str
    kind: ServerKind = ServerKind.ENGINE
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    service: str = ""
    slots: int = 16
    classes: tuple[str, ...] = ()
    state: ServerState = ServerState.ACTIVE
    reclaimable: bool = False
    cost: float = 1.0
    checks_fencing: bool = True
    ordered: bool = False
    started_ms: int = 0
    software: str = ""
    cold_left_s: float = attrs.field(
        default=0.0, metadata=serialization.NOT_ENCODED
    )
    region: str = attrs.field(default="", metadata=serialization.NOT_ENCODED)
