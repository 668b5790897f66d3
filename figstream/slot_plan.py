"""How many slots of each backend server one daemon may fill unasked.

Three ways to share servers among daemons, behind one `Protocol`: equal parts
with borrowing, parts allotted in advance by a divider, and equal parts of a
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

# Slots; with fewer a daemon's own count says little of the load.
SLOTS_PER_SERVER: Final = 4
# Servers; one may be down.
_MIN_SUBSET: Final = 2
# Subsets kept.
_MAX_SUBSETS: Final = 256


@attrs.frozen
class Part:
    """What a daemon may use of a server.

    Attributes:
      slots: slots it may fill whatever others do.
      may_borrow: whether it may fill more where reports show room.
    """

    slots: float
    may_borrow: bool


_NOTHING: Final = Part(0, False)
_BORROW_ONLY: Final = Part(0, True)


class SlotPlan(Protocol):
    """A way to share the slots of servers among daemons."""

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> Part:
        """Returns what this daemon may use of a server."""

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the slots of a group that fall to this daemon."""

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns the servers of a group that this daemon uses."""


class EqualParts:
    """Each daemon has the same part of every server, and may borrow."""

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> Part:
        """Returns what this daemon may use of a server."""
        if group.own_requests >= group.share:
            return _BORROW_ONLY
        return Part(server.slots // group.sharers, True)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the slots of a group that fall to this daemon."""
        return float(group.share)

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns all servers of the group."""
        return group.servers


class AllottedParts:
    """Parts that a divider allots; equal parts while none is fresh."""

    def __init__(self) -> None:
        """Starts without an allotment."""
        self._allotment = allotment.Allotment(0.0, {})
        self._fallback = EqualParts()

    def set_allotment(self, allotted: allotment.Allotment) -> None:
        """Takes an allotment into force."""
        self._allotment = allotted

    def part(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        now: float,
    ) -> Part:
        """Returns what this daemon may use of a server."""
        if now >= self._allotment.expires_at or not group.local:
            return self._fallback.part(server, group, now)
        return Part(self._allotment.slots.get(server.name, 0), False)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the slots of a group that fall to this daemon."""
        if now >= self._allotment.expires_at:
            return self._fallback.slots(group, now)
        allotted = self._allotment.slots
        return float(sum(allotted.get(name, 0) for name in group.names))

    def candidates(
        self, group: server_pool.ServerGroup
    ) -> Sequence[backend_server.BackendServer]:
        """Returns all servers of the group."""
        return group.servers


class SubsetParts:
    """Equal parts of a subset of the servers, which differs by daemon.

    The subset is as small as leaves a daemon a few slots on each of its
    servers, so that its own count of requests there says much about the load.
    A daemon whose part of the group is large enough uses all servers.
    """

    def __init__(
        self, daemon: str, slots_per_server: int = SLOTS_PER_SERVER
    ) -> None:
        """Picks servers by rendezvous hash of the daemon and the server."""
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
    ) -> Part:
        """Returns what this daemon may use of a server."""
        subset = self._subset(group)
        if server.name not in subset:
            return _NOTHING
        if group.own_requests >= group.share:
            return _BORROW_ONLY
        users = max(1.0, group.sharers * len(subset) / len(group.names))
        return Part(server.slots // users, True)

    def slots(self, group: server_pool.ServerGroup, now: float) -> float:
        """Returns the slots of a group that fall to this daemon."""
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
