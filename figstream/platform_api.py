"""Defines the interfaces through which daemons call the platform.

Each interface is a `Protocol` with one thin HTTP adapter; tests use the
in-memory stand-in. Every call returns a tagged outcome, since a timeout never
means that a write did not take effect.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

import attrs

from figstream import clock as clock_lib
from figstream import store_era

MAX_OBJECT_BYTES = 1_000_000
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """An object with its stored version and body."""

    name: str
    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The read found no object of this name."""

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
    """The call had no effect: it was refused or did not reach the platform."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; the write may have taken effect."""

    detail: str


ReadOutcome = Found | Absent | Unavailable
WriteOutcome = Written | Conflict | Unavailable | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes that a watch returns.

    Attributes:
      names: objects changed since the requested position.
      position: position from which to watch next.
      gap: whether changes may have been missed, so that everything must be
        read again.
    """

    names: tuple[str, ...]
    position: int
    gap: bool = False


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches."""

    async def read(self, name: str, *, stale: bool = False) -> ReadOutcome:
        """Reads one object.

        Args:
          name: name of the object.
          stale: whether the answer may be some seconds old; the platform
            charges less for such a read.
        """

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> WriteOutcome:
        """Writes an object that has the expected version, 0 for a new one."""

    async def list_names(self, prefix: str) -> Sequence[str] | Unavailable:
        """Lists the names that start with the prefix."""

    async def delete(self, name: str, expected_version: int) -> WriteOutcome:
        """Deletes an object that has the expected version."""

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> Changes | Unavailable:
        """Waits for changes after the position; counts as one call."""


@attrs.frozen
class StoredItem:
    """An object that another process wrote, with its decoded value."""

    name: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind as of a position; some may be newer."""

    items: tuple[StoredItem, ...]
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class FeedChanges:
    """The changes to the objects of a kind up to a position.

    Attributes:
      changed: objects that were written.
      deleted: names of objects that were removed.
      position: position to which the objects correspond then.
      proven_s: seconds from the call for the changes to the latest time of
        which it is known that the store had nothing newer; negative if the
        answer comes from a daemon that had asked the store before.
    """

    changed: tuple[StoredItem, ...]
    deleted: tuple[str, ...]
    position: int
    proven_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has discarded the changes since the position."""


# Receives the size in bytes of each part of an answer when it arrives.
PartListener = Callable[[int], None]


def ignore_part(size_bytes: int) -> None:
    """Does nothing with a part of an answer."""


class ObjectFeed(Protocol):
    """Lists and watches objects that operators and backend servers write."""

    async def snapshot(
        self,
        kind: str,
        *,
        stale: bool = False,
        on_part: PartListener = ignore_part,
    ) -> Snapshot | Unavailable:
        """Lists all objects of a kind.

        Args:
          kind: kind of the objects.
          stale: as in `ObjectStore.read`.
          on_part: receives the size of each part of the answer.
        """

    async def changes(
        self,
        kind: str,
        position: int,
        timeout_s: float,
        on_part: PartListener = ignore_part,
    ) -> FeedChanges | HistoryGone | Unavailable:
        """Waits for changes after the position; counts as one call.

        Args:
          kind: kind of the objects.
          position: store revision after which changes are wanted.
          timeout_s: seconds to wait for a change.
          on_part: receives the size of each part of the answer.
        """


@attrs.frozen
class VirtualMachine:
    """A VM as the platform lists it; the list may lag behind."""

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
      order_id: unique id; sending it again has no further effect.
      kind: kind of the order.
      zone: availability zone.
      target: backend server, or "" for a new one.
      model: model to serve or to load.
      reclaimable: whether to start a reclaimable server, which is cheaper.
      fencing: fencing number of the lease under which the order is sent.
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
    """The order was carried out; `target` names the backend server."""

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
    """A backend server that the platform runs for the product.

    Attributes:
      name: unique name.
      url: base address.
      zone: availability zone.
      model: model that the server serves.
      reclaimable: whether the server is a reclaimable one, which is cheaper.
      leaving: whether the platform is reclaiming the server.
      order_id: id of the order that started the server.
    """

    name: str
    url: str
    zone: str
    model: str
    reclaimable: bool = False
    leaving: bool = False
    order_id: str = ""


def always_allowed() -> bool:
    """Returns True: the default check, which allows every call."""
    return True


@attrs.frozen
class ScalingOrder:
    """The desired number of servers of one kind for a service in a zone.

    Attributes:
      service: name of the service.
      zone: availability zone.
      count: desired number of servers.
      reclaimable: whether `count` is about reclaimable servers, which are
        cheaper, or about permanent ones.
      fencing: fencing number of the lease under which the order is sent.
    """

    service: str
    zone: str
    count: int
    reclaimable: bool
    fencing: int = 0


class ServiceScaling(Protocol):
    """The interface that receives the desired numbers of servers."""

    async def send(
        self, order: ScalingOrder, allowed: Callable[[], bool] = always_allowed
    ) -> OrderOutcome:
        """Sends one order; the arguments are those of `ServerOrders.send`."""


class ServerOrders(Protocol):
    """The interface that orders backend servers by availability zone."""

    async def send(
        self, order: ServerOrder, allowed: Callable[[], bool] = always_allowed
    ) -> OrderOutcome:
        """Sends one order.

        Args:
          order: the order.
          allowed: returns whether the lease is still held; called with no
            await between this check and the write of the request.
        """

    async def list_servers(
        self, zone: str
    ) -> Sequence[OrderedServer] | Unavailable:
        """Lists the backend servers that run in a zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportAccepted:
    """The usage report is booked; also answers an identical second report."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRefused:
    """The usage report was refused.

    This happens for example where the window is already booked with different
    figures.
    """

    detail: str


ReportOutcome = ReportAccepted | ReportRefused | Unavailable | Unknown


class UsageReports(Protocol):
    """The interface that receives one usage report for each usage window."""

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = always_allowed,
    ) -> ReportOutcome:
        """Reports the figures of one window.

        Args:
          window: name of the usage window.
          body: the exact text of the report.
          fencing: fencing number of the lease under which the report is
            sent.
          allowed: returns whether the lease is still held; called with no
            await between this check and the write of the request.
        """


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def reserve(self, model: str) -> float | Unavailable:
        """Reserves a load of a model; returns seconds to wait, 0 for none."""


def _make_store_era() -> store_era.StoreEra:
    return store_era.StoreEra(clock_lib.SystemClock())


@attrs.frozen
class Platform:
    """All interfaces to the platform, and the era of its object store."""

    objects: ObjectStore
    vms: VmList
    orders: ServerOrders
    usage: UsageReports
    weights: WeightStore
    era: store_era.StoreEra = attrs.field(factory=_make_store_era)
