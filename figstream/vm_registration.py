"""Writes this daemon's address into the store, for others to find.

The platform has no list of VMs of its own here. An entry is written once at
the start, replaced by a restart, and removed at a graceful shutdown; one that
is left behind costs a failed contact every few seconds and no more.
"""

from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import platform_api
from figstream import serialization

PREFIX: Final = "daemons/"
# Pause between tries while the store does not answer.
_RETRY_S: Final = 1.0
# Seconds; the entry lasts.
_NEVER_AGAIN_S: Final = 3_600.0


@attrs.frozen
class VmEntry:
    """Where a daemon is reached by others."""

    address: str
    zone: str


class VmRegistration:
    """Keeps the entry of one daemon; satisfies `daemon_context.Role`."""

    def __init__(
        self,
        name: str,
        entry: VmEntry,
        objects: platform_api.ObjectStore,
        clock: clock_lib.Clock,
    ) -> None:
        """Starts with nothing written."""
        self._object = PREFIX + name
        self._entry = entry
        self._objects = objects
        self._clock = clock
        self._version = platform_api.ABSENT_VERSION

    async def run(self) -> None:
        """Writes the entry, then rests until cancelled."""
        while not await self.write():
            await self._clock.sleep(_RETRY_S)
        while True:
            await self._clock.sleep(_NEVER_AGAIN_S)

    async def hand_over(self) -> None:
        """Removes the entry."""
        if self._version != platform_api.ABSENT_VERSION:
            await self._objects.delete(self._object, self._version)
            self._version = platform_api.ABSENT_VERSION

    async def write(self) -> bool:
        """Writes the entry; returns whether it is there."""
        body = serialization.to_json(self._entry)
        outcome = await self._objects.write(self._object, body, self._version)
        if isinstance(outcome, platform_api.Written):
            self._version = outcome.version
            return True
        if isinstance(outcome, platform_api.Conflict):
            found = await self._objects.read(self._object)
            if isinstance(found, platform_api.Found):
                self._version = found.version
                return found.body == body
        logs.debug("vm_entry_not_written", outcome=type(outcome).__name__)
        return False


class RegisteredVms:
    """The list of VMs made of entries; satisfies `platform_api.VmList`."""

    def __init__(self, feed: platform_api.ObjectFeed, kind: str) -> None:
        """Lists the entries of a kind."""
        self._feed = feed
        self._kind = kind

    async def list_vms(
        self,
    ) -> tuple[platform_api.VirtualMachine, ...] | platform_api.Unavailable:
        """Lists the VMs of the system."""
        found = await self._feed.snapshot(self._kind, stale=True)
        if isinstance(found, platform_api.Unavailable):
            return found
        entries = ((item.name, _entry_of(item)) for item in found.items)
        return tuple(
            platform_api.VirtualMachine(name, entry.address, entry.zone)
            for name, entry in entries
            if entry
        )


def _entry_of(item: platform_api.StoredItem) -> VmEntry | None:
    try:
        return serialization.from_value(item.value, VmEntry)
    except errors.ConfigurationError as error:
        logs.warning("vm_entry_skipped", entry=item.name, detail=str(error))
        return None


def make_registration(
    context: daemon_context.DaemonContext, address: str
) -> VmRegistration:
    """Creates the role of a daemon that peers reach at an address."""
    options = context.options
    return VmRegistration(
        options.name,
        VmEntry(address, options.zone),
        context.platform.objects,
        context.clock,
    )
