"""Wraps the platform's interfaces so that each call passes a fault gate.

Tests and the HTTP stand-in give each client its own wrapped interfaces; the
client's name selects the faults that `platform_faults.FaultGate` applies.
"""

from collections.abc import Callable
from collections.abc import Sequence

from figstream import platform_api
from figstream import platform_faults

_CallKind = platform_faults.CallKind


class _GatedInterface:
    """Base class of the wrapped interfaces."""

    def __init__(
        self,
        platform: platform_api.Platform,
        gate: platform_faults.FaultGate,
        client: str,
    ) -> None:
        self._platform = platform
        self._gate = gate
        self._client = client


class GatedObjectStore(_GatedInterface):
    """The object API, with each call passing the gate."""

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        """Reads one object."""
        return await self._gate.read(
            _CallKind.READ,
            self._client,
            lambda: self._platform.objects.read(name),
        )

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Writes an object that has the expected version, 0 for a new one."""
        return await self._gate.write(
            _CallKind.WRITE,
            self._client,
            lambda: self._platform.objects.write(name, body, expected_version),
        )

    async def delete(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Deletes an object that has the expected version."""
        return await self._gate.write(
            _CallKind.DELETE,
            self._client,
            lambda: self._platform.objects.delete(name, expected_version),
        )

    async def list_names(
        self, prefix: str
    ) -> Sequence[str] | platform_api.Unavailable:
        """Lists the names that start with the prefix."""
        return await self._gate.read(
            _CallKind.LIST,
            self._client,
            lambda: self._platform.objects.list_names(prefix),
        )

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> platform_api.Changes | platform_api.Unavailable:
        """Waits for changes after the position; counts as one call."""
        return await self._gate.watch(
            self._client,
            position,
            lambda start: self._platform.objects.watch(
                prefix, start, timeout_s
            ),
        )


class GatedVmList(_GatedInterface):
    """The list of VMs, with each call passing the gate."""

    async def list_vms(
        self,
    ) -> Sequence[platform_api.VirtualMachine] | platform_api.Unavailable:
        """Lists the VMs of the system."""
        return await self._gate.read(
            _CallKind.LIST_VMS, self._client, self._list_vms
        )

    async def _list_vms(
        self,
    ) -> Sequence[platform_api.VirtualMachine] | platform_api.Unavailable:
        if self._gate.faults.vms_frozen and self._gate.last_vms is not None:
            return self._gate.last_vms
        found = await self._platform.vms.list_vms()
        if not isinstance(found, platform_api.Unavailable):
            self._gate.last_vms = tuple(found)
        return found


class GatedServerOrders(_GatedInterface):
    """Orders of backend servers, with each call passing the gate."""

    async def send(
        self,
        order: platform_api.ServerOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        """Sends one order."""
        return await self._gate.write(
            _CallKind.ORDER,
            self._client,
            lambda: self._platform.orders.send(order, allowed),
        )

    async def list_servers(
        self, zone: str
    ) -> Sequence[platform_api.OrderedServer] | platform_api.Unavailable:
        """Lists the backend servers that run in a zone."""
        return await self._gate.read(
            _CallKind.LIST_SERVERS,
            self._client,
            lambda: self._platform.orders.list_servers(zone),
        )


class GatedUsageReports(_GatedInterface):
    """Usage reports, with each call passing the gate."""

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.ReportOutcome:
        """Reports the figures of one window."""
        return await self._gate.write(
            _CallKind.REPORT,
            self._client,
            lambda: self._platform.usage.report(window, body, fencing, allowed),
        )


class GatedWeightStore(_GatedInterface):
    """The weight store, with each call passing the gate."""

    async def reserve(self, model: str) -> float | platform_api.Unavailable:
        """Reserves a load of a model; returns seconds to wait, 0 for none."""
        return await self._gate.read(
            _CallKind.RESERVE,
            self._client,
            lambda: self._platform.weights.reserve(model),
        )


def make_gated(
    platform: platform_api.Platform,
    gate: platform_faults.FaultGate,
    client: str,
) -> platform_api.Platform:
    """Creates the interfaces of one client, whose calls pass the gate."""
    return platform_api.Platform(
        GatedObjectStore(platform, gate, client),
        GatedVmList(platform, gate, client),
        GatedServerOrders(platform, gate, client),
        GatedUsageReports(platform, gate, client),
        GatedWeightStore(platform, gate, client),
    )
