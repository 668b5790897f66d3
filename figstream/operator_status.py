"""Tells which generation each zone has in force, and waits for it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from figstream import clock as clock_lib
from figstream import configuration_coverage
from figstream import membership_api
from figstream.rpc import operator_pb2

# Seconds between looks at the zones.
_POLL_S: Final = 0.1

UnreachableZones = Callable[[], Iterable[str]]


class ZoneWatch:
    """How far generations have come, as this daemon's members tell."""

    def __init__(
        self,
        members: membership_api.Members,
        unreachable_zones: UnreachableZones,
        clock: clock_lib.Clock,
    ) -> None:
        """Reads the live members and the zones that nothing arrives from."""
        self._members = members
        self._unreachable_zones = unreachable_zones
        self._clock = clock

    def zones(
        self, generation: int
    ) -> Sequence[configuration_coverage.ZoneCoverage]:
        """Returns how far a generation has come, by zone."""
        return configuration_coverage.coverage_by_zone(
            self._members, generation, self._unreachable_zones()
        )

    async def wait_for(
        self, generation: int, longest_s: float
    ) -> Sequence[configuration_coverage.ZoneCoverage]:
        """Waits until every zone has the generation or the time is over."""
        ends_at = self._clock.now() + longest_s
        while self._clock.now() < ends_at:
            zones = self.zones(generation)
            if confirmed(zones):
                return zones
            await self._clock.sleep(_POLL_S)
        return self.zones(generation)

    def daemons(self) -> Sequence[operator_pb2.DaemonStatus]:
        """Returns the live daemons."""
        return [
            operator_pb2.DaemonStatus(
                name=item.name,
                zone=item.zone,
                region=item.region,
                address=item.address,
                generation=item.generation,
            )
            for item in self._members.live()
        ]


def confirmed(zones: Sequence[configuration_coverage.ZoneCoverage]) -> bool:
    """Tells whether every daemon of every zone has confirmed."""
    return all(item.reachable and not item.behind for item in zones)


def zone_message(
    zone: configuration_coverage.ZoneCoverage,
) -> operator_pb2.ZoneStatus:
    """Returns the message of a zone's state."""
    return operator_pb2.ZoneStatus(
        zone=zone.zone,
        reachable=zone.reachable,
        in_force=zone.in_force,
        behind=zone.behind,
    )
