"""Interfaces to the platform.

Each is a `Protocol` with one thin HTTP adapter; tests use the in-memory
stand-in. Every call returns a tagged outcome, since a timeout never means
that a write did not take effect.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

import attrs

MAX_OBJECT_BYTES = 1_000_000
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """An object as stored."""

    name: str
    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """No object has this name."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and gave the object this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object had another version; nothing was written."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did nothing: it refused or could not be reached."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; the write may have taken effect."""

    detail: str


ReadOutcome = Found | Absent | Unavailable
WriteOutcome = Written | Conflict | Unavailable | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch saw.

    Attributes:
      names: objects changed since the position asked for.
      position: position to watch from next.
      gap: whether changes may have been missed; read everything again.
    """

    names: tuple[str, ...]
    position: int
    gap: bool = False


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches."""

    async def read(self, name: str, *, stale: bool = False) -> ReadOutcome:
        """Reads one object.

        Args:
          name: its name.
          stale: whether an answer that is seconds old will do, which the
            platform gives for less.
        """

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> WriteOutcome:
        """Writes an object that has the version; 0 means it is absent."""

    async def list_names(self, prefix: str) -> Sequence[str] | Unavailable:
        """Lists the names that start with the prefix."""

    async def delete(self, name: str, expected_version: int) -> WriteOutcome:
        """Deletes an object that has the version."""

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> Changes | Unavailable:
        """Waits for changes after the position; counts as one call."""


@attrs.frozen
class StoredItem:
    """An object of a kind that others write, with its decoded value."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind as of a position."""

    items: tuple[StoredItem, ...]
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedChanges:
    """What changed in a kind up to a position."""

    changed: tuple[StoredItem, ...]
    deleted: tuple[str, ...]
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer knows what changed since the position."""


class ObjectFeed(Protocol):
    """Objects that operators and backend servers write, to be followed."""

    async def snapshot(
        self, kind: str, *, stale: bool = False
    ) -> Snapshot | Unavailable:
        """Lists all objects of a kind; `stale` as in `ObjectStore.read`."""

    async def changes(
        self, kind: str, position: int, timeout_s: float
    ) -> FeedChanges | HistoryGone | Unavailable:
        """Waits for changes after the position; counts as one call."""


@attrs.frozen
class VirtualMachine:
    """A VM of the system, as the platform's lagging list has it."""

    name: str
    address: str
    zone: str
    leaving: bool = False


class VmList(Protocol):
    """The platform's list of live and leaving VMs."""

    async def list_vms(self) -> Sequence[VirtualMachine] | Unavailable:
        """Lists the VMs of the system."""


class OrderKind(enum.Enum):
    """Kinds of orders about backend servers."""

    START = "start"
    STOP = "stop"
    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@attrs.frozen
class ServerOrder:
    """An order to the platform or to a backend server.

    Attributes:
      order_id: unique; a repeat of the same id has no further effect.
      kind: what to do.
      zone: availability zone.
      target: backend server, or "" for a new one.
      model: model to serve or to load.
      reclaimable: whether the cheaper kind is wanted.
      fencing: fencing number of the lease it is sent under.
    """

    order_id: str
    kind: OrderKind
    zone: str
    target: str = ""
    model: str = ""
    reclaimable: bool = False
    fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The order was carried out; names the backend server."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order was not carried out."""

    detail: str
    old_fencing: bool = False
    none_available: bool = False


OrderOutcome = OrderAccepted | OrderRefused | Unavailable | Unknown


@attrs.frozen
class OrderedServer:
    """A backend server that the platform runs for us.

    Attributes:
      name: unique name.
      url: base address.
      zone: availability zone.
      model: model it serves.
      reclaimable: whether it is of the cheaper kind.
      leaving: whether the platform is taking it back.
      order_id: the order that started it.
    """

    name: str
    url: str
    zone: str
    model: str
    reclaimable: bool = False
    leaving: bool = False
    order_id: str = ""


def always() -> bool:
    """Allows whatever is asked."""
    return True


@attrs.frozen
class ScalingOrder:
    """How many servers of one kind a service shall have in a zone.

    Attributes:
      service: the service.
      zone: availability zone.
      count: number of servers.
      reclaimable: whether it is about the cheaper kind.
      fencing: fencing number of the lease it is sent under.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool
    fencing: int = 0


class ServiceScaling(Protocol):
    """The interface that takes the numbers of servers wanted."""

    async def send(
        self, order: ScalingOrder, allowed: Callable[[], bool] = always
    ) -> OrderOutcome:
        """Sends one order; see `ServerOrders.send`."""


class ServerOrders(Protocol):
    """The interface that orders backend servers by availability zone."""

    async def send(
        self, order: ServerOrder, allowed: Callable[[], bool] = always
    ) -> OrderOutcome:
        """Sends one order.

        Args:
          order: the order.
          allowed: whether the lease still holds; called with no await
            between it and the write.
        """

    async def list_servers(
        self, zone: str
    ) -> Sequence[OrderedServer] | Unavailable:
        """Lists the backend servers that run in a zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAccepted:
    """The usage report is booked; also the answer to an exact repeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRefused:
    """The usage report was refused, for example as different figures."""

    detail: str


ReportOutcome = ReportAccepted | ReportRefused | Unavailable | Unknown


class UsageReports(Protocol):
    """The interface that takes one usage report for each window."""

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = always,
    ) -> ReportOutcome:
        """Reports the figures of one window.

        Args:
          window: name of the window.
          body: the exact text of the report.
          fencing: fencing number of the lease it is sent under.
          allowed: whether the lease still holds; called with no await
            between it and the write.
        """


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def reserve(self, model: str) -> float | Unavailable:
        """Asks to load a model; returns seconds to wait, 0 for none."""


@attrs.frozen
class Platform:
    """All interfaces to the platform."""

    objects: ObjectStore
    vms: VmList
    orders: ServerOrders
    usage: UsageReports
    weights: WeightStore
