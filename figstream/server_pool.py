"""Determines the candidate servers of a request class for a target.

Server selection chooses among these candidates. They are grouped in order of
preference: servers of the own availability zone precede those of other zones.
Preemptible requests go to reclaimable servers first, other requests to
permanent servers first. Draining and leaving servers are in no group. Pools
share the group object of the same set of servers, so that its running requests
are counted once.
"""

from collections.abc import Sequence
import math
from typing import Final

import attrs

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import request_class as request_class_lib
from figstream import request_target


@attrs.define(eq=False)
class ServerGroup:
    """Backend servers of equal preference.

    Attributes:
      servers: the servers.
      names: their names.
      slots: total number of their slots.
      local: whether they are in the daemon's availability zone, or the
        target has no server there.
      in_zone: whether they are in the daemon's availability zone.
      reclaimable: whether the platform may reclaim them.
      sharers: number of daemons that use them.
      own_requests: number of running requests that this daemon sent to them.
    """

    servers: tuple[backend_server.BackendServer, ...]
    names: frozenset[str]
    slots: int
    local: bool
    in_zone: bool
    reclaimable: bool
    sharers: int = 1
    own_requests: int = 0

    @property
    def share(self) -> int:
        """Returns the number of slots that are this daemon's share."""
        return math.ceil(self.slots / self.sharers)


@attrs.frozen
class ServerPool:
    """The candidate servers of one request class for one target.

    Attributes:
      groups: groups of candidates in order of preference.
      names: names of all candidates.
    """

    groups: tuple[ServerGroup, ...]
    names: frozenset[str]


_EMPTY: Final = ServerPool((), frozenset())


class PoolIndex:
    """Builds and caches the pools of all targets and request classes."""

    def __init__(self, zone: str) -> None:
        """Initializes an index that prefers servers of the given zone."""
        self._zone = zone
        self._configuration = configuration_lib.Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._sharers = (1, 1)
        self._pools: dict[tuple[request_target.Target, str], ServerPool] = {}
        self._names: dict[frozenset[str], frozenset[str]] = {}
        self._groups: dict[frozenset[str], ServerGroup] = {}
        self._groups_of: dict[str, list[ServerGroup]] = {}
        self._own_requests: dict[str, int] = {}
        self._overlaps: dict[
            tuple[request_target.Target, request_target.Target], bool
        ] = {}

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._clear()

    def set_leaving(self, leaving: frozenset[str]) -> bool:
        """Excludes leaving servers; returns whether the set changed."""
        if leaving == self._leaving:
            return False
        self._leaving = leaving
        self._clear()
        return True

    def set_live_daemons(self, in_zone: int, in_fleet: int) -> None:
        """Stores how many live daemons use the own zone and all zones."""
        sharers = (max(1, in_zone), max(1, in_fleet))
        if sharers != self._sharers:
            self._sharers = sharers
            for group in self._groups.values():
                group.sharers = sharers[0 if group.in_zone else 1]

    def pool(
        self,
        target: request_target.Target,
        request_class: request_class_lib.RequestClass,
    ) -> ServerPool:
        """Returns the candidate servers of a request class for a target."""
        key = (target, request_class.name)
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = self._build(target, request_class)
        return found

    def change_own_requests(self, server: str, by: int) -> None:
        """Changes the number of this daemon's running requests at a server."""
        self._own_requests[server] = self._own_requests.get(server, 0) + by
        for group in self._groups_of.get(server, ()):
            group.own_requests += by

    def share_servers(
        self, one: request_target.Target, other: request_target.Target
    ) -> bool:
        """Returns whether two targets have a backend server in common."""
        if one == other:
            return True
        found = self._overlaps.get((one, other))
        if found is None:
            found = self._overlaps[one, other] = any(
                one.served_by(item) and other.served_by(item)
                for item in self._configuration.servers
            )
        return found

    def _clear(self) -> None:
        self._overlaps.clear()
        self._pools.clear()
        self._names.clear()
        self._groups.clear()
        self._groups_of.clear()

    def _build(
        self,
        target: request_target.Target,
        request_class: request_class_lib.RequestClass,
    ) -> ServerPool:
        eligible = [
            item
            for item in self._configuration.servers
            if item.state is backend_server.ServerState.ACTIVE
            and item.name not in self._leaving
            and (not item.classes or request_class.name in item.classes)
            and target.served_by(item)
        ]
        if not eligible:
            return _EMPTY
        reclaimable_first = request_class.preemptible
        near = [item for item in eligible if item.zone == self._zone]
        far = [item for item in eligible if item.zone != self._zone]
        places = [(near, True), (far, False)] if near else [(far, True)]
        groups = (
            self._group(
                [item for item in servers if item.reclaimable == reclaimable],
                local,
            )
            for servers, local in places
            for reclaimable in (reclaimable_first, not reclaimable_first)
        )
        names = frozenset(item.name for item in eligible)
        names = self._names.setdefault(names, names)
        return ServerPool(tuple(item for item in groups if item), names)

    def _group(
        self, servers: Sequence[backend_server.BackendServer], local: bool
    ) -> ServerGroup | None:
        if not servers:
            return None
        names = frozenset(item.name for item in servers)
        if names not in self._groups:
            in_zone = servers[0].zone == self._zone
            self._groups[names] = ServerGroup(
                servers=tuple(servers),
                names=names,
                slots=sum(item.slots for item in servers),
                local=local,
                in_zone=in_zone,
                reclaimable=servers[0].reclaimable,
                sharers=self._sharers[0 if in_zone else 1],
                own_requests=sum(
                    self._own_requests.get(name, 0) for name in names
                ),
            )
            for name in names:
                self._groups_of.setdefault(name, []).append(self._groups[names])
        return self._groups[names]
