"""Reports which daemons of each zone have a given generation.

An operator who withdraws a key needs to know in which zones the key has
stopped working. In a zone that cannot be reached, the key is accepted until
the configuration has been unconfirmed for `key_trust_s`.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import attrs

from figstream import membership_api


@attrs.frozen
class ZoneCoverage:
    """The coverage of one zone: which daemons have a generation.

    Attributes:
      zone: the availability zone.
      in_force: names of the daemons that have the generation or a higher one.
      behind: names of the daemons that have a lower generation.
      reachable: whether the zone answers; if not, the state of its daemons is
        unknown.
    """

    zone: str
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    reachable: bool = True


def coverage_by_zone(
    members: membership_api.Members,
    generation: int,
    unreachable_zones: Iterable[str] = (),
) -> Sequence[ZoneCoverage]:
    """Returns the coverage of a generation for each zone, sorted by zone.

    Args:
      members: the live daemons, with the generations from their heartbeats.
      generation: the generation that the daemons should have.
      unreachable_zones: zones of which no daemon answers.
    """
    by_zone = sorted(members.live(), key=lambda item: (item.zone, item.name))
    answering = [
        _zone_coverage(zone, list(group), generation)
        for zone, group in itertools.groupby(by_zone, lambda item: item.zone)
    ]
    unreachable = (
        ZoneCoverage(zone, reachable=False) for zone in unreachable_zones
    )
    return sorted((*answering, *unreachable), key=lambda item: item.zone)


def _zone_coverage(
    zone: str, members: Sequence[membership_api.Member], generation: int
) -> ZoneCoverage:
    return ZoneCoverage(
        zone,
        tuple(m.name for m in members if m.generation >= generation),
        tuple(m.name for m in members if m.generation < generation),
    )
