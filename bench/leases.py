"""Measures platform calls for leases and how long a zone lacks a holder.

Each zone has one lease, for which all daemons of the zone compete in virtual
time. The benchmark counts the reads and writes at the platform, then kills a
lease holder and measures the time until another daemon holds the lease.
"""

from collections.abc import Sequence
from typing import Final

import anyio
import grpc

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import daemon_context
from figstream import explain
from figstream import lease
from figstream import membership_api
from figstream import metrics
from figstream import options
from figstream import platform_memory
from figstream import rendezvous
from figstream import scheduler

_ZONES: Final = (1, 3, 8)
_DAEMONS: Final = (9, 51)
_RUN_S: Final = 60
_STEP_S: Final = 0.1


class _Members:
    """Membership of a zone as one of its daemons knows it."""

    def __init__(self, names: Sequence[str], own: str) -> None:
        self._members = {
            name: membership_api.Member(name, "", "r", "", 1) for name in names
        }
        self._own = own

    def this(self) -> membership_api.Member:
        """Returns the member entry of this daemon."""
        return self._members[self._own]

    def live(self) -> Sequence[membership_api.Member]:
        """Returns the live daemons of the zone."""
        return list(self._members.values())

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        """Returns the live daemons in the order of their rendezvous hash."""
        ranked = rendezvous.rank(role, self._members)
        return [self._members[name] for name in ranked]

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        """Raises an error, since this benchmark calls no other daemon."""
        raise NotImplementedError

    def remove(self, name: str) -> None:
        """Removes a daemon that died."""
        self._members.pop(name, None)


class _Zone:
    """The daemons of one zone, which compete for its lease."""

    def __init__(
        self,
        name: str,
        daemons: int,
        platform: platform_memory.MemoryPlatform,
        clock: clock_lib.ManualClock,
    ) -> None:
        names = [f"{name}-vm-{number}" for number in range(daemons)]
        self.members = {own: _Members(names, own) for own in names}
        self.leases = {
            own: lease.make_lease(
                f"orders/{name}",
                "",
                _make_context(own, name, platform, clock),
                self.members[own],
            )
            for own in names
        }

    @property
    def holder(self) -> str | None:
        """Returns the name of the lease holder, which may send orders."""
        held = [n for n, x in self.leases.items() if x.fencing() is not None]
        return held[0] if held else None

    async def step(self) -> None:
        """Runs one step of the lease in each daemon."""
        for item in self.leases.values():
            await item.step()

    def kill(self, name: str) -> None:
        """Removes a daemon; the others are notified immediately."""
        del self.leases[name]
        for item in self.members.values():
            item.remove(name)


def _make_context(
    name: str,
    zone: str,
    platform: platform_memory.MemoryPlatform,
    clock: clock_lib.Clock,
) -> daemon_context.DaemonContext:
    return daemon_context.DaemonContext(
        options.Options(name, zone, "r", "", 0, 0, 0, ""),
        clock,
        1,
        platform.interfaces(),
        configuration_holder.ConfigurationHolder(clock),
        scheduler.make_scheduler(zone),
        explain.DecisionLog(16),
        metrics.make_unexported_metrics(),
    )


async def _measure(zones: int, daemons: int) -> str:
    clock = clock_lib.ManualClock()
    platform = platform_memory.MemoryPlatform()
    all_zones = [_Zone(f"z{n}", daemons, platform, clock) for n in range(zones)]
    interval_s = all_zones[0].leases["z0-vm-0"].times.interval_s

    async def run(seconds: float) -> None:
        for _ in range(round(seconds / interval_s)):
            clock.advance(interval_s)
            for zone in all_zones:
                await zone.step()

    await run(_RUN_S)
    store = platform.objects
    before = (store.reads, store.writes)
    await run(_RUN_S)
    reads = (store.reads - before[0]) / _RUN_S
    writes = (store.writes - before[1]) / _RUN_S
    gap_s = await _measure_gap_s(all_zones[0], clock)
    return f"{zones:5}  {daemons:7}  {reads:7.2f}  {writes:8.2f}  {gap_s:22.1f}"


async def _measure_gap_s(zone: _Zone, clock: clock_lib.ManualClock) -> float:
    """Kills the holder; returns seconds until the next one may send orders."""
    holder = zone.holder
    if holder is None:
        raise RuntimeError(
            "no daemon holds the lease after the warm-up; check the lease times"
        )
    zone.kill(holder)
    died_at = clock.now()
    while zone.holder is None:
        clock.advance(_STEP_S)
        await zone.step()
    return clock.now() - died_at


def main() -> None:
    """Prints platform calls and the gap by number of zones and daemons."""
    print("lease 6 s, order timeout 2 s, virtual time")
    print("zones  daemons  reads/s  writes/s  s without a holder")
    for zones in _ZONES:
        for daemons in _DAEMONS:
            print(anyio.run(_measure, zones, daemons))
