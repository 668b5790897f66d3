"""Ticks of availability zones: whether a zone can be reached at all.

Every daemon raises the tick of its own zone with each heartbeat and passes on
the highest tick it knows of each zone. As long as any path leads to a zone,
its tick goes on rising here; when it stands still, the zone as a whole is cut
off, and its members are unreachable rather than dead.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

# Zones; eight times those that are planned for.
MAX_ZONES: Final = 64


def zone_id(zone: str) -> int:
    """Returns the 32-bit id of a zone's name."""
    return xxhash.xxh32_intdigest(zone.encode())


class ZoneTicks:
    """The highest tick known of each zone, and when it last rose."""

    def __init__(self, own_zone: str, now: float) -> None:
        """Starts with the zone of this daemon alone."""
        self._own = zone_id(own_zone)
        self._ticks = {self._own: 0}
        self._risen_at = {self._own: now}

    @property
    def zones(self) -> list[int]:
        """Returns the ids of the known zones."""
        return list(self._ticks)

    @property
    def ticks(self) -> list[int]:
        """Returns the ticks in the order of `zones`."""
        return list(self._ticks.values())

    def raise_own(self, now: float) -> None:
        """Raises the tick of this daemon's zone."""
        self._ticks[self._own] += 1
        self._risen_at[self._own] = now

    def merge(
        self, zones: Iterable[int], ticks: Iterable[int], now: float
    ) -> None:
        """Takes in the ticks that a peer knows."""
        for zone, tick in zip(zones, ticks, strict=False):
            known = self._ticks.get(zone, -1)
            if tick > known and (known >= 0 or len(self._ticks) < MAX_ZONES):
                self._ticks[zone] = tick
                self._risen_at[zone] = now

    def standstill_s(self, zone: str, now: float) -> float:
        """Returns seconds since the zone's tick rose; 0 if never seen."""
        return now - self._risen_at.get(zone_id(zone), now)

    def postpone(self, seconds: float) -> None:
        """Moves every time, after this daemon itself was paused."""
        for zone in self._risen_at:
            self._risen_at[zone] += seconds
