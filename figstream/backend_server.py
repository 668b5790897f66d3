"""The backend server as configured: place, abilities and state."""

import enum

import attrs


class ServerKind(enum.Enum):
    """Kinds of backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


class ServerState(enum.Enum):
    """Whether a backend server may get new work."""

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


@attrs.frozen
class BackendServer:
    """A model engine or a plain service.

    Attributes:
      name: unique name.
      url: base address, such as http://10.0.0.7:8000.
      zone: availability zone it stands in.
      kind: model engine or plain service.
      models: models it serves, for engines.
      adapters: adapters it has loaded, for engines.
      service: name of the plain service it offers, for services.
      slots: requests it runs at once.
      classes: classes that may use it; empty means all.
      state: whether it may get new work.
      reclaimable: whether the platform may take it back at short notice.
      cost: price of an hour, in any one unit.
      ordered: whether it was ordered by the system and is given back by it.
      checks_fencing: whether it refuses orders with an old fencing number.
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
