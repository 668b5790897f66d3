"""Implements the platform in memory, with faults that a test can set.

The HTTP stand-in of the platform serves this implementation, and tests use it
directly.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import anyio
import attrs

from figstream import platform_api
from figstream import platform_faults
from figstream import platform_gated
from figstream import store_era


@attrs.define
class ObjectFaults:
    """Faults of the object API that a test can set.

    Attributes:
      down: every call fails without effect.
      lose_answers: how many of the next writes take effect but return
        `Unknown`.
      lose_requests: how many of the next writes do not take effect and
        return `Unknown`.
      delay_s: seconds added to each call.
      break_watches: whether watches report a gap.
    """

    down: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    delay_s: float = 0.0
    break_watches: bool = False


@attrs.frozen
class StoreCopy:
    """A copy of the objects of a store, as of its last version."""

    objects: dict[str, platform_api.Found]
    last_version: int


class MemoryObjectStore:
    """Versioned objects in memory; satisfies `platform_api.ObjectStore`."""

    def __init__(self, faults: ObjectFaults | None = None) -> None:
        """Initializes a store without objects."""
        self.faults = faults or ObjectFaults()
        self.reads = 0
        self.writes = 0
        self.era = 1
        self._objects: dict[str, platform_api.Found] = {}
        self._history: list[str] = []
        self._last_version = 0
        self._changed = anyio.Event()

    def copy(self) -> StoreCopy:
        """Returns a copy of all objects, from which to restore later."""
        return StoreCopy(dict(self._objects), self._last_version)

    def restore(self, copy: StoreCopy) -> None:
        """Restores a copy, which begins a new era of the store."""
        self._objects = dict(copy.objects)
        self._last_version = copy.last_version
        self._history.clear()
        self.era += 1

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        """Reads one object."""
        self.reads += 1
        if outage := await self._apply_faults():
            return outage
        return self._objects.get(name) or platform_api.Absent(name)

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Writes an object that has the expected version, 0 for a new one."""
        if refused := await self._check_write(name, expected_version):
            return refused
        if len(body) > platform_api.MAX_OBJECT_BYTES:
            return platform_api.Unavailable("the object exceeds a megabyte")
        version = self._next_version()
        self._objects[name] = platform_api.Found(name, version, body)
        return self._finish_write(name, version)

    async def delete(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Deletes an object that has the expected version."""
        if refused := await self._check_write(name, expected_version):
            return refused
        self._objects.pop(name, None)
        return self._finish_write(name, self._next_version())

    async def list_names(
        self, prefix: str
    ) -> Sequence[str] | platform_api.Unavailable:
        """Lists the names that start with the prefix."""
        self.reads += 1
        if outage := await self._apply_faults():
            return outage
        return sorted(name for name in self._objects if name.startswith(prefix))

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> platform_api.Changes | platform_api.Unavailable:
        """Waits for changes after the position; counts as one call."""
        self.reads += 1
        if outage := await self._apply_faults():
            return outage
        with anyio.move_on_after(timeout_s):
            while not self._names_since(prefix, position):
                await self._changed.wait()
        if self.faults.down:
            return platform_api.Unavailable("the platform is down")
        return platform_api.Changes(
            self._names_since(prefix, position),
            len(self._history),
            gap=self.faults.break_watches or position > len(self._history),
        )

    def _next_version(self) -> int:
        self._last_version += 1
        return self._last_version

    def _names_since(self, prefix: str, position: int) -> tuple[str, ...]:
        recent = self._history[position:]
        return tuple(name for name in recent if name.startswith(prefix))

    async def _check_write(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome | None:
        self.writes += 1
        if outage := await self._apply_faults():
            return outage
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return platform_api.Unknown("the request was lost")
        found = self._objects.get(name)
        version = found.version if found else platform_api.ABSENT_VERSION
        if version != expected_version:
            return platform_api.Conflict(version)
        return None

    def _finish_write(
        self, name: str, version: int
    ) -> platform_api.WriteOutcome:
        self._history.append(name)
        self._changed.set()
        self._changed = anyio.Event()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return platform_api.Unknown("the answer was lost")
        return platform_api.Written(version)

    async def _apply_faults(self) -> platform_api.Unavailable | None:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return platform_api.Unavailable("the platform is down")
        return None


class RestorableObjects:
    """One daemon's view of a store that may be restored from a copy.

    Satisfies `platform_api.ObjectStore`. Versions bear the era of the store,
    and a condition from an earlier era is not sent, as in the adapter to the
    platform.
    """

    def __init__(
        self, store: MemoryObjectStore, era: store_era.StoreEra
    ) -> None:
        """Initializes the view; `era` is that of the daemon."""
        self._store = store
        self._era = era

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        """Reads one object."""
        found = await self._store.read(name, stale=stale)
        if isinstance(found, platform_api.Unavailable):
            return found
        self._era.observe(self._store.era)
        if isinstance(found, platform_api.Absent):
            return found
        return dataclasses.replace(found, version=self._encode(found.version))

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Writes an object that has the expected version, 0 for a new one."""
        if expected_version and not self._is_current(expected_version):
            return platform_api.Conflict(platform_api.ABSENT_VERSION)
        sent_in = self._era.current
        outcome = await self._store.write(
            name, body, store_era.revision_of(expected_version)
        )
        return self._outcome(outcome, sent_in)

    async def delete(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Deletes an object that has the expected version."""
        if not self._is_current(expected_version):
            return platform_api.Conflict(platform_api.ABSENT_VERSION)
        sent_in = self._era.current
        outcome = await self._store.delete(
            name, store_era.revision_of(expected_version)
        )
        return self._outcome(outcome, sent_in)

    async def list_names(
        self, prefix: str
    ) -> Sequence[str] | platform_api.Unavailable:
        """Lists the names that start with the prefix."""
        found = await self._store.list_names(prefix)
        if not isinstance(found, platform_api.Unavailable):
            self._era.observe(self._store.era)
        return found

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> platform_api.Changes | platform_api.Unavailable:
        """Waits for changes after the position; counts as one call."""
        if not self._is_current(position):
            return platform_api.Changes((), position, gap=True)
        found = await self._store.watch(
            prefix, store_era.revision_of(position), timeout_s
        )
        if isinstance(found, platform_api.Unavailable):
            return found
        return dataclasses.replace(found, position=self._encode(found.position))

    def _outcome(
        self, outcome: platform_api.WriteOutcome, sent_in: int
    ) -> platform_api.WriteOutcome:
        if not isinstance(
            outcome, platform_api.Written | platform_api.Conflict
        ):
            return outcome
        self._era.observe(self._store.era)
        if sent_in not in {0, self._era.current}:
            return platform_api.Unknown("the store was restored")
        version = self._encode(outcome.version)
        if isinstance(outcome, platform_api.Written):
            return platform_api.Written(version)
        return platform_api.Conflict(version)

    def _is_current(self, version: int) -> bool:
        return store_era.era_of(version) == self._era.current

    def _encode(self, version: int) -> int:
        return store_era.version_of(self._era.current, version)


class MemoryVmList:
    """The list of VMs in memory; satisfies `platform_api.VmList`."""

    def __init__(self) -> None:
        """Initializes an empty list."""
        self.vms: dict[str, platform_api.VirtualMachine] = {}
        self.down = False

    async def list_vms(
        self,
    ) -> Sequence[platform_api.VirtualMachine] | platform_api.Unavailable:
        """Lists the VMs of the system."""
        if self.down:
            return platform_api.Unavailable("the platform is down")
        return list(self.vms.values())


class MemoryServerOrders:
    """Carries out orders in memory; satisfies `platform_api.ServerOrders`."""

    def __init__(self, *, checks_fencing: bool = True) -> None:
        """Initializes without backend servers."""
        self.checks_fencing = checks_fencing
        self.down = False
        self.none_available: set[tuple[str, bool]] = set()
        self.received: list[platform_api.ServerOrder] = []
        self.servers: dict[str, platform_api.OrderedServer] = {}
        self._highest_fencing: dict[str, int] = {}
        self._outcomes: dict[str, platform_api.OrderOutcome] = {}

    async def send(
        self,
        order: platform_api.ServerOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        """Carries out an order; returns the earlier outcome for a known id."""
        if self.down or not allowed():
            return platform_api.Unavailable("the platform is down")
        if order.order_id in self._outcomes:
            return self._outcomes[order.order_id]
        highest = self._highest_fencing.get(order.zone, 0)
        if self.checks_fencing and order.fencing < highest:
            return platform_api.OrderRefused(
                "a newer lease holder has sent orders", old_fencing=True
            )
        self._highest_fencing[order.zone] = max(highest, order.fencing)
        self.received.append(order)
        outcome = self._carry_out(order)
        self._outcomes[order.order_id] = outcome
        return outcome

    async def list_servers(
        self, zone: str
    ) -> Sequence[platform_api.OrderedServer] | platform_api.Unavailable:
        """Lists the backend servers that run in a zone."""
        if self.down:
            return platform_api.Unavailable("the platform is down")
        return [item for item in self.servers.values() if item.zone == zone]

    def reclaim(self, zone: str) -> None:
        """Removes every reclaimable backend server of a zone."""
        self.servers = {
            name: item
            for name, item in self.servers.items()
            if item.zone != zone or not item.reclaimable
        }

    def _carry_out(
        self, order: platform_api.ServerOrder
    ) -> platform_api.OrderOutcome:
        if order.kind is platform_api.OrderKind.START:
            return self._start(order)
        if order.target not in self.servers:
            return platform_api.OrderRefused("no such backend server")
        if order.kind is platform_api.OrderKind.STOP:
            del self.servers[order.target]
        if order.kind is platform_api.OrderKind.LOAD_MODEL:
            self.servers[order.target] = attrs.evolve(
                self.servers[order.target], model=order.model
            )
        return platform_api.OrderAccepted(order.target)

    def _start(
        self, order: platform_api.ServerOrder
    ) -> platform_api.OrderOutcome:
        if (order.zone, order.reclaimable) in self.none_available:
            return platform_api.OrderRefused(
                "this zone is out of capacity", none_available=True
            )
        name = f"ordered-{order.order_id}"
        self.servers[name] = platform_api.OrderedServer(
            name,
            "",
            order.zone,
            order.model,
            order.reclaimable,
            order_id=order.order_id,
        )
        return platform_api.OrderAccepted(name)


class MemoryUsageReports:
    """Books usage reports in memory; satisfies `platform_api.UsageReports`."""

    def __init__(self) -> None:
        """Initializes without reports."""
        self.down = False
        self.lose_answers = 0
        self.booked: dict[str, bytes] = {}
        self.calls: list[tuple[str, bytes, int]] = []

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.ReportOutcome:
        """Books the figures of a window; refuses different ones later."""
        if self.down or not allowed():
            return platform_api.Unavailable("the platform is down")
        self.calls.append((window, body, fencing))
        if self.booked.setdefault(window, body) != body:
            return platform_api.ReportRefused(
                "the window is booked with other figures"
            )
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return platform_api.Unknown("the answer was lost")
        return platform_api.ReportAccepted()


class MemoryWeightStore:
    """Grants model loads in memory; satisfies `platform_api.WeightStore`."""

    def __init__(self, wait_s: float = 0.0) -> None:
        """Initializes the store; each load has to wait for `wait_s`."""
        self.wait_s = wait_s
        self.reserved: list[str] = []

    async def reserve(self, model: str) -> float | platform_api.Unavailable:
        """Reserves a load of a model; returns seconds to wait, 0 for none."""
        self.reserved.append(model)
        return self.wait_s


@attrs.define
class MemoryPlatform:
    """All interfaces of the platform in memory, with settable faults."""

    objects: MemoryObjectStore = attrs.field(factory=MemoryObjectStore)
    vms: MemoryVmList = attrs.field(factory=MemoryVmList)
    orders: MemoryServerOrders = attrs.field(factory=MemoryServerOrders)
    usage: MemoryUsageReports = attrs.field(factory=MemoryUsageReports)
    weights: MemoryWeightStore = attrs.field(factory=MemoryWeightStore)
    gate: platform_faults.FaultGate = attrs.field(
        factory=platform_faults.FaultGate
    )

    def interfaces(self, client: str = "") -> platform_api.Platform:
        """Returns the interfaces for one client.

        Args:
          client: name of the daemon whose calls pass the fault gate; "" for
            interfaces whose calls bypass the gate.
        """
        direct = platform_api.Platform(
            self.objects, self.vms, self.orders, self.usage, self.weights
        )
        if not client:
            return direct
        return platform_gated.make_gated(direct, self.gate, client)
