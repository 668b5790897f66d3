"""Tracks a counter per availability zone to detect partitioned zones.

Every daemon increments the tick (a counter) of its own zone with each
heartbeat and forwards the highest known tick of each zone. While any path to
a zone exists, the tick of the zone keeps increasing on this daemon. If the
tick stops, the whole zone is assumed to be partitioned, and its members are
treated as unreachable instead of dead.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

# Eight times the planned number of zones.
MAX_ZONES: Final = 64


def zone_id(zone: str) -> int:
    """Returns the 32-bit id of a zone's name."""
    return xxhash.xxh32_intdigest(zone.encode())


class ZoneTicks:
    """The highest known tick of each zone and the time of its last increase."""

    def __init__(self, own_zone: str, now: float) -> None:
        """Initializes the ticks with only the zone of this daemon."""
        self._own_zone_id = zone_id(own_zone)
        self._ticks = {self._own_zone_id: 0}
        self._increased_at = {self._own_zone_id: now}

    @property
    def zones(self) -> list[int]:
        """Returns the ids of the known zones."""
        return list(self._ticks)

    @property
    def ticks(self) -> list[int]:
        """Returns the ticks in the order of `zones`."""
        return list(self._ticks.values())

    def increment_own(self, now: float) -> None:
        """Increments the tick of this daemon's zone."""
        self._ticks[self._own_zone_id] += 1
        self._increased_at[self._own_zone_id] = now

    def merge(
        self, zones: Iterable[int], ticks: Iterable[int], now: float
    ) -> None:
        """Merges the ticks received from a peer."""
        for zone, tick in zip(zones, ticks, strict=False):
            known = self._ticks.get(zone, -1)
            if tick > known and (known >= 0 or len(self._ticks) < MAX_ZONES):
                self._ticks[zone] = tick
                self._increased_at[zone] = now

    def seconds_since_tick(self, zone: str, now: float) -> float:
        """Returns seconds since the tick last rose; 0 for an unknown zone."""
        return now - self._increased_at.get(zone_id(zone), now)

    def postpone(self, seconds: float) -> None:
        """Shifts every time by the time for which this daemon was paused."""
        for zone in self._increased_at:
            self._increased_at[zone] += seconds
