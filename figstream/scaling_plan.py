"""Computes the numbers of permanent and reclaimable servers in each zone.

`scaling_orders` sends the computed numbers to the platform as orders.

Reclaimable servers cost a fraction of permanent ones, but all reclaimable
servers of a zone can be taken away at once. Each zone therefore has the
minimum number of permanent servers. All others are reclaimable and distributed
over the zones, so that most of them remain when one zone loses its own. Their
number is derived from the servers that the operator provided initially, and
grows while servers are busy. While a zone is out of capacity, the other zones
get more servers instead.
"""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from figstream import gateway_route

# Reclaimable servers for each initially provided server. Together with the one
# permanent server, this ratio tolerates the loss of all reclaimable servers of
# a zone, also if the zone has many servers, at about half the initial cost.
_RECLAIMABLE_SHARE: Final = 2
# Time until reclaimable servers are ordered again in a zone without capacity.
_DRY_S: Final = 2.0
# Fractions of occupied slots: above the first each zone gets one more server,
# below the second added servers are stopped.
_BUSY: Final = 0.6
_QUIET: Final = 0.3
# Time of low load before an added server is stopped.
_QUIET_S: Final = 15.0


@attrs.frozen
class Subject:
    """Service, zone and server type to which one order applies."""

    service: str
    zone: str
    reclaimable: bool


@attrs.frozen
class ZoneServers:
    """Numbers of running servers of a service in a zone."""

    firm: int
    reclaimable: int


class ScalingPlan:
    """Computes the wanted numbers of servers of one service."""

    def __init__(self, service: str, provided: Mapping[str, int]) -> None:
        """Initializes the plan.

        Args:
          service: name of the service.
          provided: numbers of servers that the operator provided initially,
            by zone.
        """
        self._service = service
        self._provided = dict(provided)
        self._extra = 0
        self._changed_at = float("-inf")
        self._dry_until: dict[str, float] = {}

    def none_available(self, zone: str, now: float) -> None:
        """Records that a zone has no reclaimable servers available."""
        self._dry_until[zone] = now + _DRY_S

    def available(self, zone: str) -> None:
        """Records that a zone has reclaimable servers available."""
        self._dry_until.pop(zone, None)

    def observe(
        self,
        limits: gateway_route.ScalingLimits,
        taken: float,
        now: float,
    ) -> None:
        """Updates the number of added servers from the occupied slots.

        Args:
          limits: scaling limits of the service.
          taken: fraction of the servers' slots that requests occupy.
          now: current clock time in seconds.
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
        """Returns the wanted numbers of servers by zone and server type.

        Args:
          limits: scaling limits of the service.
          servers: numbers of running servers by zone.
          now: current clock time in seconds.
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
                # An order for the number that already runs changes nothing.
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
        """Adds servers missing in zones without capacity to the other zones."""
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
