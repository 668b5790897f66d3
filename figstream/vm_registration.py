"""Registers this daemon's address in the object store for other daemons.

Used on platforms that provide no list of VMs. An entry is written once at
startup, replaced after a restart, and removed at a graceful shutdown. An entry
that remains after a crash only costs a failed connection every few seconds. A
restore of the store from an older copy may lose the entry, which is then
written again.
"""

from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import platform_api
from figstream import serialization
from figstream import store_era

PREFIX: Final = "daemons/"
# Interval between attempts while the store does not answer.
_RETRY_S: Final = 1.0


@attrs.frozen
class VmEntry:
    """Address at which other daemons reach a daemon, and its zone."""

    address: str
    zone: str


class VmRegistration:
    """Registers one daemon; satisfies `daemon_context.Role`."""

    def __init__(
        self,
        name: str,
        entry: VmEntry,
        objects: platform_api.ObjectStore,
        era: store_era.StoreEra,
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the registration; no entry is written yet."""
        self._era = era
        self._object_name = PREFIX + name
        self._entry = entry
        self._objects = objects
        self._clock = clock
        self._version = platform_api.ABSENT_VERSION

    async def run(self) -> None:
        """Writes the entry, and again after each restore, until cancelled."""
        while True:
            while not await self.write():
                await self._clock.sleep(_RETRY_S)
            await self._era.wait_for_restore()
            self._version = platform_api.ABSENT_VERSION

    async def hand_over(self) -> None:
        """Removes the entry."""
        if self._version != platform_api.ABSENT_VERSION:
            await self._objects.delete(self._object_name, self._version)
            self._version = platform_api.ABSENT_VERSION

    async def write(self) -> bool:
        """Writes the entry; returns whether the entry is stored."""
        body = serialization.to_json(self._entry)
        outcome = await self._objects.write(
            self._object_name, body, self._version
        )
        if isinstance(outcome, platform_api.Written):
            self._version = outcome.version
            return True
        if isinstance(outcome, platform_api.Conflict):
            found = await self._objects.read(self._object_name)
            if isinstance(found, platform_api.Found):
                self._version = found.version
                return found.body == body
        logs.debug("vm_entry_not_written", outcome=type(outcome).__name__)
        return False


class RegisteredVms:
    """List of the registered VMs; satisfies `platform_api.VmList`."""

    def __init__(self, feed: platform_api.ObjectFeed, kind: str) -> None:
        """Initializes the list from the feed of all entries of a kind."""
        self._feed = feed
        self._kind = kind

    async def list_vms(
        self,
    ) -> tuple[platform_api.VirtualMachine, ...] | platform_api.Unavailable:
        """Returns the VMs of the system."""
        found = await self._feed.snapshot(self._kind, stale=True)
        if isinstance(found, platform_api.Unavailable):
            return found
        entries = ((item.name, _decode_entry(item)) for item in found.items)
        return tuple(
            platform_api.VirtualMachine(name, entry.address, entry.zone)
            for name, entry in entries
            if entry
        )


def _decode_entry(item: platform_api.StoredItem) -> VmEntry | None:
    try:
        return serialization.from_value(item.value, VmEntry)
    except errors.ConfigurationError as error:
        logs.warning("vm_entry_skipped", entry=item.name, detail=str(error))
        return None


def make_registration(
    context: daemon_context.DaemonContext, address: str
) -> VmRegistration:
    """Creates the role that registers a daemon under an address."""
    options = context.options
    return VmRegistration(
        options.name,
        VmEntry(address, options.zone),
        context.platform.objects,
        context.platform.era,
        context.clock,
    )
