"""How many servers of which kind a service should have in each zone.

Reclaimable servers cost a fraction of others but go a zone at a time. Each
zone keeps a few servers that stay, the rest are reclaimable and spread over
the zones, so that the loss of one zone's leaves most of them. Where none can
be had, the other zones get more for the time being.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from figstream import gateway_route

# Servers that stay in each zone, beyond the least that the operator allows.
_EXTRA_FIRM: Final = 0
# Reclaimable servers in each zone for each server that was there at first.
_RECLAIMABLE_SHARE: Final = 4 / 3
# Seconds until a kind that could not be had in a zone is asked for again.
_DRY_S: Final = 2.0


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

    def __init__(self, service: str) -> None:
        """Starts without having seen any server."""
        self._service = service
        self._first: dict[str, int] = {}
        self._dry_until: dict[str, float] = {}

    def none_available(self, zone: str, now: float) -> None:
        """Takes note that a zone has no reclaimable servers to give."""
        self._dry_until[zone] = now + _DRY_S

    def available(self, zone: str) -> None:
        """Takes note that a zone gives reclaimable servers."""
        self._dry_until.pop(zone, None)

    def is_dry(self, zone: str, now: float) -> bool:
        """Tells whether asking a zone for reclaimable servers is no use."""
        return now < self._dry_until.get(zone, float("-inf"))

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
        for zone, count in servers.items():
            total = count.firm + count.reclaimable
            self._first[zone] = max(self._first.get(zone, 0), total)
        wanted: dict[Subject, int] = {}
        missing = 0
        firm = limits.least + _EXTRA_FIRM
        for zone in servers:
            wanted[Subject(self._service, zone, False)] = firm
            cheap = round(3 * _RECLAIMABLE_SHARE)
            cheap = min(cheap, limits.most - firm)
            subject = Subject(self._service, zone, True)
            if self.is_dry(zone, now):
                missing += cheap - servers[zone].reclaimable
                wanted[subject] = servers[zone].reclaimable
            else:
                wanted[subject] = cheap
        return self._spread(wanted, missing, limits, firm)

    def _spread(
        self,
        wanted: dict[Subject, int],
        missing: int,
        limits: gateway_route.ScalingLimits,
        firm: int,
    ) -> Mapping[Subject, int]:
        """Gives zones that have servers what dry zones lack."""
        open_ = [
            item
            for item in wanted
            if item.reclaimable and item.zone not in self._dry_until
        ]
        while missing > 0:
            room = [x for x in open_ if wanted[x] < limits.most - firm]
            if not room:
                break
            least = min(room, key=lambda item: wanted[item])
            wanted[least] += 1
            missing -= 1
        return wanted
