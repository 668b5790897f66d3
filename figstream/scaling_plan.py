"""Computes the numbers of permanent and reclaimable servers in each zone.

`scaling_orders` sends the computed numbers to the platform as orders.

Reclaimable servers cost a fraction of permanent ones, but all reclaimable
servers of a zone can be taken away at once. Each zone therefore has the
minimum number of permanent servers. All others are reclaimable and distributed
over the zones, so that most of them remain when one zone loses its own. Their
number is derived from the servers that the operator provided initially, and
grows while servers are busy. While a zone is out of capacity, the other zones
get more servers instead, and likewise while the operator empties a zone.
"""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from figstream import gateway_route

# Reclaimable servers for each initially provided server. Together with the one
# permanent server, this ratio tolerates the loss of all reclaimable servers of
# a zone, also if the zone has many servers, at about half the initial cost.
_RECLAIMABLE_PER_PROVIDED: Final = 2
# Time until reclaimable servers are ordered again in a zone without capacity.
_OUT_OF_CAPACITY_S: Final = 2.0
# Fractions of occupied slots: above the first each zone gets one more server,
# below the second added servers are stopped.
_HIGH_LOAD_RATIO: Final = 0.6
_LOW_LOAD_RATIO: Final = 0.3
# Time of low load before an added server is stopped.
_LOW_LOAD_S: Final = 15.0


@attrs.frozen
class ScalingTarget:
    """Service, zone and server type to which one order applies."""

    service: str
    zone: str
    reclaimable: bool


@attrs.frozen
class ZoneServers:
    """Numbers of running servers of a service in a zone."""

    permanent: int
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
        self._added = 0
        self._changed_at = float("-inf")
        self._out_of_capacity_until: dict[str, float] = {}

    def none_available(self, zone: str, now: float) -> None:
        """Records that a zone has no reclaimable servers available."""
        self._out_of_capacity_until[zone] = now + _OUT_OF_CAPACITY_S

    def available(self, zone: str) -> None:
        """Records that a zone has reclaimable servers available."""
        self._out_of_capacity_until.pop(zone, None)

    def observe(
        self,
        limits: gateway_route.ScalingLimits,
        occupied_ratio: float,
        now: float,
    ) -> None:
        """Updates the number of added servers from the occupied slots.

        Args:
          limits: scaling limits of the service.
          occupied_ratio: fraction of the servers' slots that requests occupy.
          now: current clock time in seconds.
        """
        since_s = now - self._changed_at
        if occupied_ratio > _HIGH_LOAD_RATIO and since_s >= limits.boot_s:
            self._added = min(self._added + 1, limits.most)
            self._changed_at = now
        elif occupied_ratio > _LOW_LOAD_RATIO:
            self._changed_at = max(self._changed_at, now - _LOW_LOAD_S + 1.0)
        elif self._added and since_s >= _LOW_LOAD_S:
            self._added -= 1
            self._changed_at = now

    def wanted(
        self,
        limits: gateway_route.ScalingLimits,
        servers: Mapping[str, ZoneServers],
        now: float,
        emptied: frozenset[str] = frozenset(),
    ) -> Mapping[ScalingTarget, int]:
        """Returns the wanted numbers of servers by zone and server type.

        Args:
          limits: scaling limits of the service.
          servers: numbers of running servers by zone.
          now: current clock time in seconds.
          emptied: zones that the operator empties; their numbers stay as they
            are, and other zones get as many servers more.
        """
        wanted: dict[ScalingTarget, int] = {}
        missing = 0
        most = limits.most - limits.least
        for zone, provided in self._provided.items():
            reclaimable_count = (
                math.ceil(provided * _RECLAIMABLE_PER_PROVIDED) + self._added
            )
            reclaimable_count = min(reclaimable_count, most)
            if zone in emptied:
                missing += reclaimable_count
                continue
            wanted[ScalingTarget(self._service, zone, False)] = limits.least
            if now < self._out_of_capacity_until.get(zone, float("-inf")):
                running_count = (
                    servers[zone].reclaimable if zone in servers else 0
                )
                missing += max(0, reclaimable_count - running_count)
                # An order for the number that already runs changes nothing.
                reclaimable_count = min(reclaimable_count, running_count)
            wanted[ScalingTarget(self._service, zone, True)] = reclaimable_count
        return self._distribute_missing(wanted, missing, most, now)

    def _distribute_missing(
        self,
        wanted: dict[ScalingTarget, int],
        missing: int,
        most: int,
        now: float,
    ) -> Mapping[ScalingTarget, int]:
        """Adds servers missing in zones without capacity to the other zones."""
        available_targets = [
            item
            for item in wanted
            if item.reclaimable
            and now >= self._out_of_capacity_until.get(item.zone, float("-inf"))
        ]
        while missing > 0:
            below_limit = [
                item for item in available_targets if wanted[item] < most
            ]
            if not below_limit:
                break
            least = min(below_limit, key=lambda item: wanted[item])
            wanted[least] += 1
            missing -= 1
        return wanted
