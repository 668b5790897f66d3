"""Returns the active generation of each zone, and waits for a generation."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from figstream import clock as clock_lib
from figstream import configuration_coverage
from figstream import membership_api
from figstream.rpc import operator_pb2

_POLL_INTERVAL_S: Final = 0.1

UnreachableZones = Callable[[], Iterable[str]]


class ZoneStatusReader:
    """Reports how far generations have propagated, as the members announce."""

    def __init__(
        self,
        members: membership_api.Members,
        unreachable_zones: UnreachableZones,
        clock: clock_lib.Clock,
    ) -> None:
        """Stores the sources of live members and of unreachable zones."""
        self._members = members
        self._unreachable_zones = unreachable_zones
        self._clock = clock

    def zones(
        self, generation: int
    ) -> Sequence[configuration_coverage.ZoneCoverage]:
        """Returns how far a generation has propagated in each zone."""
        return configuration_coverage.coverage_by_zone(
            self._members, generation, self._unreachable_zones()
        )

    async def wait_until_confirmed(
        self, generation: int, timeout_s: float
    ) -> Sequence[configuration_coverage.ZoneCoverage]:
        """Waits until every zone has the generation or the time is up."""
        deadline = self._clock.now() + timeout_s
        while self._clock.now() < deadline:
            zones = self.zones(generation)
            if confirmed(zones):
                return zones
            await self._clock.sleep(_POLL_INTERVAL_S)
        return self.zones(generation)

    def daemons(self) -> Sequence[operator_pb2.DaemonStatus]:
        """Returns the state of each live daemon."""
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
    """Returns whether every daemon of every zone has confirmed."""
    return all(item.reachable and not item.behind for item in zones)


def zone_message(
    zone: configuration_coverage.ZoneCoverage,
) -> operator_pb2.ZoneStatus:
    """Returns the message for the state of a zone."""
    return operator_pb2.ZoneStatus(
        zone=zone.zone,
        reachable=zone.reachable,
        in_force=zone.in_force,
        behind=zone.behind,
    )
