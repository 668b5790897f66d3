"""Tells how far a generation has come, zone by zone.

An operator who withdraws a key needs to know where it has stopped working;
in a zone that can't be reached it works until the trust in keys runs out.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import attrs

from figstream import membership_api


@attrs.frozen
class ZoneReach:
    """How far a generation has come in one zone.

    Attributes:
      zone: the availability zone.
      in_force: names of the daemons that have the generation or a higher one.
      behind: names of the daemons that have not confirmed it.
      reachable: whether the zone answers; if not, nothing is known of it.
    """

    zone: str
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    reachable: bool = True


def reach(
    members: membership_api.Members,
    generation: int,
    unreachable_zones: Iterable[str] = (),
) -> Sequence[ZoneReach]:
    """Returns how far a generation has come, sorted by zone."""
    by_zone = sorted(members.live(), key=lambda item: (item.zone, item.name))
    found = [
        _reach_in(zone, list(group), generation)
        for zone, group in itertools.groupby(by_zone, lambda item: item.zone)
    ]
    lost = (ZoneReach(zone, reachable=False) for zone in unreachable_zones)
    return sorted((*found, *lost), key=lambda item: item.zone)


def _reach_in(
    zone: str, members: Sequence[membership_api.Member], generation: int
) -> ZoneReach:
    return ZoneReach(
        zone,
        tuple(m.name for m in members if m.generation >= generation),
        tuple(m.name for m in members if m.generation < generation),
    )
