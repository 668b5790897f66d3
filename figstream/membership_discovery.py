"""Finds daemons that the table does not know yet.

Candidates come from the platform's list of VMs, which lags, and from the seeds
in the settings, which work during an outage of the platform. Once a daemon
has joined, only two daemons of each zone go on reading the list.
"""

import random
from typing import Final

import anyio
import anyio.abc

from figstream import clock as clock_lib
from figstream import logs
from figstream import member_table
from figstream import membership_api
from figstream import membership_streams
from figstream import options as options_lib
from figstream import platform_api
from figstream import rendezvous

# Daemons; one may be down.
READERS_PER_ZONE: Final = 2
# Seconds; the list lags by as much.
READ_INTERVAL_S: Final = 5.0
_ROLE: Final = "vm-list"
# Candidates contacted at once.
_CONTACTS: Final = 3
# Heartbeats that a contact may take.
_CONTACT_S: Final = 3.0


class Discovery:
    """Contacts candidates until the table knows them."""

    def __init__(
        self,
        options: options_lib.Options,
        vms: platform_api.VmList,
        clock: clock_lib.Clock,
        table: member_table.MemberTable,
        streams: membership_streams.Streams,
        seed: int,
    ) -> None:
        """Creates it; the seed fixes the choice among candidates."""
        self._options = options
        self._vms = vms
        self._clock = clock
        self._table = table
        self._streams = streams
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Looks for candidates until cancelled."""
        while True:
            alone = len(self._present()) <= 1
            reads = alone or self._is_reader()
            listed = await self._listed() if reads else []
            await self._contact([*listed, *self._dead()])
            interval_s = self._options.heartbeat_s if alone else READ_INTERVAL_S
            await anyio.sleep(interval_s * self._random.uniform(0.7, 1.3))

    def _present(self) -> list[membership_api.Member]:
        return [
            entry.member
            for entry in self._table.entries
            if entry.state is not member_table.MemberState.DEAD
        ]

    def _is_reader(self) -> bool:
        zone = self._options.zone
        names = [item.name for item in self._present() if item.zone == zone]
        ranked = rendezvous.rank(f"{_ROLE}/{zone}", names)
        return self._options.name in ranked[:READERS_PER_ZONE]

    async def _listed(self) -> list[str]:
        found = await self._vms.list_vms()
        if isinstance(found, platform_api.Unavailable):
            logs.debug("vm_list_unavailable", detail=found.detail)
            found = ()
        listed = [item.address for item in found if not item.leaving]
        return [*listed, *self._options.seeds]

    def _dead(self) -> list[str]:
        # A member declared dead may be back, after a pause or a partition.
        return [
            entry.member.address
            for entry in self._table.entries
            if entry.state is member_table.MemberState.DEAD
        ]

    async def _contact(self, addresses: list[str]) -> None:
        known = {item.address for item in self._present()}
        candidates = sorted(set(addresses) - known)
        count = min(_CONTACTS, len(candidates))
        chosen = self._random.sample(candidates, count)
        async with anyio.create_task_group() as group:
            for address in chosen:
                group.start_soon(self._try, address)

    async def _try(self, address: str) -> None:
        with anyio.move_on_after(_CONTACT_S * self._options.heartbeat_s):
            await self._streams.open(address)
