"""Discovers daemons that the member table does not contain yet.

Candidates come from the platform's list of VMs, which is delayed, and from the
seed addresses in the settings, which also work during an outage of the
platform. A daemon reads both until it has joined; afterwards only two daemons
per zone continue to read them.
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

# Two readers, since one of them may be down.
READERS_PER_ZONE: Final = 2
# The list of VMs is delayed by about the same time.
READ_INTERVAL_S: Final = 5.0
# Interval between reads by a daemon that knows no other; a part of the time
# after which it takes the whole retry budget for its own.
_ALONE_INTERVAL_S: Final = 1.0
_ROLE: Final = "vm-list"
# Maximum number of candidates contacted concurrently.
_MAX_CONCURRENT_CONTACTS: Final = 3
# Timeout of a contact in heartbeat intervals.
_CONTACT_TIMEOUT_HEARTBEATS: Final = 3.0


class Discovery:
    """Contacts candidates until the member table contains them."""

    def __init__(
        self,
        options: options_lib.Options,
        vms: platform_api.VmList,
        clock: clock_lib.Clock,
        table: member_table.MemberTable,
        streams: membership_streams.HeartbeatStreams,
        seed: int,
    ) -> None:
        """Initializes discovery; `seed` seeds the choice among candidates."""
        self._options = options
        self._vms = vms
        self._clock = clock
        self._table = table
        self._streams = streams
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Discovers and contacts candidates until cancelled."""
        while True:
            alone = len(self._present()) <= 1
            reads = alone or self._is_reader()
            listed = await self._list_candidates() if reads else []
            await self._contact_candidates([*listed, *self._dead_addresses()])
            interval_s = READ_INTERVAL_S
            if alone:
                interval_s = min(_ALONE_INTERVAL_S, self._options.heartbeat_s)
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

    async def _list_candidates(self) -> list[str]:
        result = await self._vms.list_vms()
        if isinstance(result, platform_api.Unavailable):
            logs.debug("vm_list_unavailable", detail=result.detail)
            result = ()
        listed = [item.address for item in result if not item.leaving]
        return [*listed, *self._options.seeds]

    def _dead_addresses(self) -> list[str]:
        # A dead member may have come back after a pause or a partition.
        return [
            entry.member.address
            for entry in self._table.entries
            if entry.state is member_table.MemberState.DEAD
        ]

    async def _contact_candidates(self, addresses: list[str]) -> None:
        known = {item.address for item in self._present()}
        candidates = sorted(set(addresses) - known)
        count = min(_MAX_CONCURRENT_CONTACTS, len(candidates))
        chosen = self._random.sample(candidates, count)
        async with anyio.create_task_group() as group:
            for address in chosen:
                group.start_soon(self._contact_one, address)

    async def _contact_one(self, address: str) -> None:
        with anyio.move_on_after(
            _CONTACT_TIMEOUT_HEARTBEATS * self._options.heartbeat_s
        ):
            await self._streams.open(address)
