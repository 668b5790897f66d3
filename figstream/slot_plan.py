"""Plans how many slots of each backend server one daemon may fill.

A daemon fills its slots without asking other daemons. Three plans implement
the `SlotPlan` protocol, which the server selection uses: equal shares with
borrowing, shares allotted in advance by a divider, and equal shares of a
deterministic subset of the servers (the default).
"""

from collections.abc import Sequence
import math
from typing import Final
from typing import Protocol

import attrs
import xxhash

from figstream import allotment
from figstream import backend_server
from figstream import server_pool

# With fewer slots, the daemon's own count of requests is a poor estimate of the
# server's load.
SLOTS_PER_SERVER: Final = 4
# One of the servers may be down.
_MIN_SUBSET: Final = 2
# Number of cached subsets.
_MAX_SUBSETS: Final = 256


@attrs.frozen
class SlotShare:
    """The slots of a server that a daemon may use.

    Attributes:
      slots: slots that the daemon may fill regardless of other daemons.
      may_borrow: whether the daemon may fill more slots if load reports
        show free ones.
    """

    slots: float
    may_borrow: bool


_NO_SLOTS: Final = SlotShare(0, False)
_BORROW_ONLY: Final = SlotShare(0, True)


class SlotPlan(Protocol):
    """A rule for sharing the slots of servers among daemons."""

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> SlotShare:
        """Returns the slots of a server that this daemon may use."""

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the number of slots of a group assigned to this daemon."""

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns the servers of a group that this daemon uses."""


class EqualShares:
    """A plan with equal shares of every server, and borrowing."""

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> SlotShare:
        """Returns the slots of a server that this daemon may use."""
        if group.own_requests >= group.share:
            return _BORROW_ONLY
        return SlotShare(server.slots // group.sharers, True)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the number of slots of a group assigned to this daemon."""
        return float(group.share)

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns all servers of the group."""
        return group.servers


class AllottedShares:
    """A plan with shares allotted by a divider.

    Falls back to equal shares when the allotment has expired.
    """

    def __init__(self) -> None:
        """Creates a plan without an allotment."""
        self._allotment = allotment.Allotment(0.0, {})
        self._fallback = EqualShares()

    def set_allotment(self, allotted: allotment.Allotment) -> None:
        """Applies a new allotment."""
        self._allotment = allotted

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> SlotShare:
        """Returns the slots of a server that this daemon may use."""
        if now >= self._allotment.expires_at or not group.local:
            return self._fallback.part(server, group, now)
        return SlotShare(self._allotment.slots.get(server.name, 0), False)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the number of slots of a group assigned to this daemon."""
        if now >= self._allotment.expires_at:
            return self._fallback.slots(group, now)
        allotted = self._allotment.slots
        return float(sum(allotted.get(name, 0) for name in group.names))

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns all servers of the group."""
        return group.servers


class SubsetShares:
    """A plan with equal shares of a subset of servers that differs by daemon.

    The subset is small enough that a daemon has a few slots on each of its
    servers, so that its own count of requests there is a good estimate of the
    load. A daemon whose share of the group is large enough uses all servers.
    """

    def __init__(
        self, daemon: str, slots_per_server: int = SLOTS_PER_SERVER
    ) -> None:
        """Creates a plan; ranks servers by a rendezvous hash with `daemon`."""
        self._daemon = daemon
        self._slots_per_server = slots_per_server
        self._subsets: dict[tuple[frozenset[str], int], frozenset[str]] = {}
        self._servers: dict[
            tuple[frozenset[str], int],
            tuple[backend_server.BackendServer, ...],
        ] = {}

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> SlotShare:
        """Returns the slots of a server that this daemon may use."""
        subset = self._subset(group)
        if server.name not in subset:
            return _NO_SLOTS
        if group.own_requests >= group.share:
            return _BORROW_ONLY
        users = max(1.0, group.sharers * len(subset) / len(group.names))
        return SlotShare(server.slots // users, True)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the number of slots of a group assigned to this daemon."""
        return float(group.share)

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns the servers of a group that this daemon uses."""
        subset = self._subset(group)
        if len(subset) == len(group.servers):
            return group.servers
        key = group.names, len(subset)
        found = self._servers.get(key)
        if found is None:
            found = self._servers[key] = tuple(
                item for item in group.servers if item.name in subset
            )
        return found

    def _subset(self, group: server_pool.ServerGroup) -> frozenset[str]:
        wanted = math.ceil(group.share / self._slots_per_server)
        size = min(len(group.names), max(_MIN_SUBSET, wanted))
        key = group.names, size
        found = self._subsets.get(key)
        if found is None:
            if len(self._subsets) >= _MAX_SUBSETS:
                self._subsets.clear()
                self._servers.clear()
            ranked = sorted(group.names, key=self._rank)
            found = self._subsets[key] = frozenset(ranked[:size])
        return found

    def _rank(self, server: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._daemon}/{server}".encode())
