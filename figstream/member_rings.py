"""Chooses the neighbours of each daemon, the same way everywhere.

The members stand in a few rings, each ordered by its own hash, and a daemon
keeps a stream to its successor in each. Most rings run within a zone, so that
a zone that is cut off stays connected inside; the others run over the whole
fleet and join the zones.
"""

from collections.abc import Sequence
import itertools

import attrs

from figstream import membership_api
from figstream import rendezvous


@attrs.frozen
class Neighbours:
    """The neighbours of one daemon, by name.

    Attributes:
      successors: daemons that it opens streams to.
      predecessors: daemons that open streams to it.
    """

    successors: frozenset[str]
    predecessors: frozenset[str]

    @property
    def all(self) -> frozenset[str]:
        """Returns the names in both directions."""
        return self.successors | self.predecessors


def choose(
    this: membership_api.Member,
    members: Sequence[membership_api.Member],
    neighbours: int,
) -> Neighbours:
    """Returns the neighbours of a daemon among the members.

    Args:
      this: the daemon; it need not be among the members.
      members: the daemons that may be neighbours.
      neighbours: bound on the number in both directions together.
    """
    rings = max(1, neighbours // 2)
    across = max(1, rings // 3)
    in_zone = [item.name for item in members if item.zone == this.zone]
    in_fleet = [item.name for item in members]
    pools = itertools.chain(
        itertools.repeat(in_fleet, across),
        itertools.repeat(in_zone, rings - across),
    )
    found = [
        _beside(this.name, pool, f"ring-{number}")
        for number, pool in enumerate(pools)
    ]
    return Neighbours(
        frozenset(after for _, after in found) - {this.name},
        frozenset(before for before, _ in found) - {this.name},
    )


def _beside(name: str, pool: Sequence[str], ring: str) -> tuple[str, str]:
    ordered = rendezvous.rank(ring, {*pool, name})
    place = ordered.index(name)
    return ordered[place - 1], ordered[(place + 1) % len(ordered)]
