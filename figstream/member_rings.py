"""Chooses the neighbours with which a daemon exchanges heartbeats.

Every daemon computes the same rings from the same members. Each ring has its
own hash order, and a daemon opens a heartbeat stream to its successor in each
ring. Most rings are limited to one zone, so that a partitioned zone stays
connected internally; the others span the whole fleet and connect the zones.
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
      successors: daemons to which this daemon opens streams.
      predecessors: daemons that open streams to this daemon.
    """

    successors: frozenset[str]
    predecessors: frozenset[str]

    @property
    def all(self) -> frozenset[str]:
        """Returns the names of successors and predecessors."""
        return self.successors | self.predecessors


def choose(
    this: membership_api.Member,
    members: Sequence[membership_api.Member],
    neighbours: int,
) -> Neighbours:
    """Returns the neighbours of a daemon among the members.

    Args:
      this: the daemon, which need not be among the members.
      members: the daemons that may be neighbours.
      neighbours: maximum number of successors and predecessors together.
    """
    ring_count = max(1, neighbours // 2)
    fleet_ring_count = max(1, ring_count // 3)
    in_zone = [item.name for item in members if item.zone == this.zone]
    in_fleet = [item.name for item in members]
    pools = itertools.chain(
        itertools.repeat(in_fleet, fleet_ring_count),
        itertools.repeat(in_zone, ring_count - fleet_ring_count),
    )
    pairs = [
        _ring_neighbours(this.name, pool, f"ring-{number}")
        for number, pool in enumerate(pools)
    ]
    return Neighbours(
        frozenset(after for _, after in pairs) - {this.name},
        frozenset(before for before, _ in pairs) - {this.name},
    )


def _ring_neighbours(
    name: str, pool: Sequence[str], ring: str
) -> tuple[str, str]:
    ordered = rendezvous.rank(ring, {*pool, name})
    position = ordered.index(name)
    return ordered[position - 1], ordered[(position + 1) % len(ordered)]
