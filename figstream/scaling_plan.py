"""How many servers of which kind a service should have in each zone.

Reclaimable servers cost a fraction of others but go a zone at a time. Each
zone keeps the fewest servers that stay; the rest are reclaimable and spread
over the zones, so that the loss of one zone's leaves most of them. How many
there are follows from the servers that the operator provided at first, and
grows while servers are busy. Where none can be had, the other zones get more
for the time being.
"""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from figstream import gateway_route

# Reclaimable servers for each server that was there at first. With the one
# that stays this bears the loss of all of a zone's, also where a zone has many
# servers, and costs about half of what was there.
_RECLAIMABLE_SHARE: Final = 2
# Seconds until a kind that could not be had in a zone is asked for again.
_DRY_S: Final = 2.0
# Requests at servers, as a part of their slots, above which a zone gets one
# more server and below which the ones added are given back.
_BUSY: Final = 0.6
_QUIET: Final = 0.3
# Seconds of quiet before a server that was added is given back.
_QUIET_S: Final = 15.0


@attrs.frozen
class Subject:
    """What one order is about."""

    service: str
    zone: str
    reclaimable: bool


@attrs.frozen
class ZoneServers:
    """The servers of a service that run in a zone."""

    firm: int
    reclaimable: int


class ScalingPlan:
    """The wanted numbers of servers of one service."""

    def __init__(self, service: str, provided: Mapping[str, int]) -> None:
        """Plans for the servers that the operator provided, by zone."""
        self._service = service
        self._provided = dict(provided)
        self._extra = 0
        self._changed_at = float("-inf")
        self._dry_until: dict[str, float] = {}

    def none_available(self, zone: str, now: float) -> None:
        """Takes note that a zone has no reclaimable servers to give."""
        self._dry_until[zone] = now + _DRY_S

    def available(self, zone: str) -> None:
        """Takes note that a zone gives reclaimable servers."""
        self._dry_until.pop(zone, None)

    def observe(
        self,
        limits: gateway_route.ScalingLimits,
        taken: float,
        now: float,
    ) -> None:
        """Grows or shrinks by what is taken of the slots.

        Args:
          limits: what the operator allows.
          taken: requests at the servers as a part of their slots.
          now: clock seconds.
        """
        since_s = now - self._changed_at
        if taken > _BUSY and since_s >= limits.boot_s:
            self._extra = min(self._extra + 1, limits.most)
            self._changed_at = now
        elif taken > _QUIET:
            self._changed_at = max(self._changed_at, now - _QUIET_S + 1.0)
        elif self._extra and since_s >= _QUIET_S:
            self._extra -= 1
            self._changed_at = now

    def wanted(
        self,
        limits: gateway_route.ScalingLimits,
        servers: Mapping[str, ZoneServers],
        now: float,
    ) -> Mapping[Subject, int]:
        """Returns the wanted numbers by zone and kind.

        Args:
          limits: what the operator allows.
          servers: what runs in each zone.
          now: clock seconds.
        """
        wanted: dict[Subject, int] = {}
        missing = 0
        most = limits.most - limits.least
        for zone, provided in self._provided.items():
            wanted[Subject(self._service, zone, False)] = limits.least
            cheap = math.ceil(provided * _RECLAIMABLE_SHARE) + self._extra
            cheap = min(cheap, most)
            if now < self._dry_until.get(zone, float("-inf")):
                there = servers[zone].reclaimable if zone in servers else 0
                missing += max(0, cheap - there)
                # Asking again for what is there changes nothing.
                cheap = min(cheap, there)
            wanted[Subject(self._service, zone, True)] = cheap
        return self._spread(wanted, missing, most, now)

    def _spread(
        self,
        wanted: dict[Subject, int],
        missing: int,
        most: int,
        now: float,
    ) -> Mapping[Subject, int]:
        """Gives zones that have servers what dry zones lack."""
        open_ = [
            item
            for item in wanted
            if item.reclaimable
            and now >= self._dry_until.get(item.zone, float("-inf"))
        ]
        while missing > 0:
            room = [item for item in open_ if wanted[item] < most]
            if not room:
                break
            least = min(room, key=lambda item: wanted[item])
            wanted[least] += 1
            missing -= 1
        return wanted
