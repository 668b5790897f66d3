"""Divides the servers of paced services between streams and other work.

A server that reads long prompts stretches the pauses of every stream that it
runs. Where a service has paced routes (`paced_routes`), some of its servers
therefore run paced streams only, and the others all other work. `placement`
reads the division for each request; `fleet_work` sets its size.

The load that this answers: 80 daemons that each see three requests a second,
paced streams beside prompts of thousands of tokens. Their groups must be the
same from the first request on. Ranks that follow from the names of the servers
alone therefore decide which ones are for paced streams, and a figure that one
daemon publishes decides how many.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Final

import attrs
import xxhash

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import logs
from figstream import server_pool

# Share of the servers until the need of the fleet is known. Paced streams are
# short in prompts and long in answers; a fifth holds some of a mixed load.
_DEFAULT_SHARE: Final = 1 / 5
# Bounds, so that a wrong figure leaves servers to each kind of work.
_MIN_SHARE: Final = 1 / 6
_MAX_SHARE: Final = 1 / 2
_MIN_SERVERS: Final = 2
# In pools of this size, no kind of work depends on a single server.
_SAFE_POOL_SERVERS: Final = 6
_MIN_GROUP_SERVERS: Final = 2
# For this time a server that changes groups gets no new work, so that streams
# don't run beside the prompts of before. Most answers end within it.
_SETTLE_S: Final = 2.0
# Weight of the newest answer in the mean duration. Durations differ by an order
# of magnitude, and a daemon sees a few answers a second.
_SMOOTHING: Final = 0.1
# The expected duration counts like this many answers. The first ones to end are
# the short ones.
_EXPECTED_ANSWERS: Final = 5
# Pools of several software versions beside those of all servers.
_MAX_CACHED_POOLS: Final = 64
_MAX_LOGGED_NAMES: Final = 8


@attrs.frozen
class Division:
    """How the servers of a pool are divided.

    Attributes:
      paced: names of the servers for paced streams.
      rest: names of the servers for all other work.
      ranks: place of each server in the order in which paced streams use them.
    """

    paced: frozenset[str]
    rest: frozenset[str]
    ranks: Mapping[str, int]


@attrs.define
class _Duration:
    """Mean duration of the paced streams of a service."""

    seconds: float = 0.0
    answers: int = 0

    def add(self, seconds: float) -> None:
        """Adds the duration of one stream."""
        self.answers += 1
        weight = max(_SMOOTHING, 1.0 / self.answers)
        self.seconds += weight * (seconds - self.seconds)


class WorkGroups:
    """The divisions of one daemon, the same as those of all others."""

    def __init__(self) -> None:
        """Initializes without paced services."""
        self._configuration = configuration_lib.Configuration()
        self._needs: Mapping[str, int] = {}
        self._durations: dict[str, _Duration] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._known: dict[str, frozenset[str]] = {}
        self._paced: dict[str, frozenset[str]] = {}
        self._divisions: dict[tuple[str, frozenset[str]], Division | None] = {}
        self._moved: set[str] = set()
        self._settle_ends: dict[str, float] = {}
        self._settling: frozenset[str] = frozenset()
        self._settling_until = math.inf
        self._on_outside: Callable[[str], None] | None = None

    @property
    def paced_services(self) -> frozenset[str]:
        """Returns the services whose servers are divided."""
        return self._configuration.paced_services

    def set_on_outside(self, listener: Callable[[str], None]) -> None:
        """Sets what is called with the event of a request outside its group."""
        self._on_outside = listener

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new configuration with its servers."""
        self._configuration = configuration
        if configuration.paced_services or self._ranked:
            self._rank_servers()
            self._divide()

    def set_needs(self, needs: Mapping[str, int]) -> None:
        """Applies how many servers the paced streams of services need."""
        if needs != self._needs:
            self._needs = dict(needs)
            self._divide()

    def division(
        self, service: str, pool: server_pool.ServerPool
    ) -> Division | None:
        """Returns the division of a pool, None if it is for all work.

        The sets are the same objects each time, since callers use them as keys
        of their caches.
        """
        if service not in self._ranked:
            return None
        key = service, pool.names
        if key not in self._divisions:
            if len(self._divisions) >= _MAX_CACHED_POOLS:
                self._divisions.clear()
            self._divisions[key] = self._division_of(service, pool.names)
        return self._divisions[key]

    def servers_for(
        self, pool: server_pool.ServerPool, paced: bool
    ) -> frozenset[str]:
        """Returns the servers of a pool that a kind of work should use."""
        first = next((x for group in pool.groups for x in group.servers), None)
        found = first and self.division(first.service, pool)
        if not found:
            return pool.names
        return found.paced if paced else found.rest

    def settling(self, now: float) -> frozenset[str]:
        """Returns the servers that changed groups a moment ago."""
        if self._moved:
            ends = dict.fromkeys(self._moved, now + _SETTLE_S)
            self._moved = set()
            self._set_settling(self._settle_ends | ends, now)
        elif now >= self._settling_until:
            self._set_settling(self._settle_ends, now)
        return self._settling

    def answered(self, service: str, seconds: float) -> None:
        """Records how long a complete paced stream took."""
        self._durations.setdefault(service, _Duration()).add(seconds)

    def stream_s(self, service: str, expected_s: float) -> float:
        """Returns the mean duration of paced streams.

        Args:
          service: the service.
          expected_s: duration to assume while few streams have ended.
        """
        found = self._durations.get(service)
        if found is None:
            return expected_s
        weight = found.answers / (found.answers + _EXPECTED_ANSWERS)
        return expected_s + weight * (found.seconds - expected_s)

    def slots(self, service: str) -> float:
        """Returns the mean number of slots of a paced service's servers."""
        names = self._ranked.get(service, ())
        by_name = self._configuration.servers_by_name
        return sum(by_name[x].slots for x in names) / max(1, len(names))

    def went_outside(self, event: str) -> None:
        """Reports that a request was placed outside its group."""
        if self._on_outside:
            self._on_outside(event)

    def _set_settling(self, ends: Mapping[str, float], now: float) -> None:
        self._settle_ends = {x: end for x, end in ends.items() if end > now}
        self._settling = frozenset(self._settle_ends)
        self._settling_until = min(self._settle_ends.values(), default=math.inf)

    def _rank_servers(self) -> None:
        active = backend_server.ServerState.ACTIVE
        services = self._configuration.paced_services
        by_service: dict[str, list[backend_server.BackendServer]] = {}
        for item in self._configuration.servers:
            if item.service in services and item.state is active:
                by_service.setdefault(item.service, []).append(item)
        self._ranked = {
            service: rank(servers)
            for service, servers in by_service.items()
            if len(servers) >= _MIN_SERVERS
        }

    def _divide(self) -> None:
        self._divisions.clear()
        before, known = self._paced, self._known
        self._known = {x: frozenset(self._ranked[x]) for x in self._ranked}
        self._paced = {
            service: frozenset(names[: self._paced_count(service, len(names))])
            for service, names in self._ranked.items()
        }
        for service, names in self._paced.items():
            paced_before = before.get(service, frozenset())
            if names == paced_before:
                continue
            # Servers that are new or gone have no work of the other kind.
            self._moved |= (
                (names ^ paced_before)
                & known.get(service, frozenset())
                & self._known[service]
            )
            _log_change(service, len(self._known[service]), paced_before, names)

    def _paced_count(self, service: str, servers: int) -> int:
        """Returns how many of the servers are for paced streams."""
        need = self._needs.get(service)
        if need is None:
            need = math.ceil(_DEFAULT_SHARE * servers)
        least = math.ceil(_MIN_SHARE * servers)
        if servers >= _SAFE_POOL_SERVERS:
            least = max(least, _MIN_GROUP_SERVERS)
        return max(1, min(max(need, least), math.floor(_MAX_SHARE * servers)))

    def _division_of(
        self, service: str, names: frozenset[str]
    ) -> Division | None:
        paced = names & self._paced[service]
        rest = names - paced
        ranks = {name: at for at, name in enumerate(self._ranked[service])}
        if not paced or not rest:
            # Servers of one software version may all be in one group.
            return Division(paced or names, rest or names, ranks)
        return Division(paced, rest, ranks)


def rank(
    servers: list[backend_server.BackendServer],
) -> tuple[str, ...]:
    """Returns names in the order in which paced streams use the servers.

    In each zone permanent servers precede reclaimable ones, which vanish
    together. The zones alternate in proportion to their servers, so that a
    daemon without contact to other zones has servers of both groups.
    """
    zones: dict[str, list[backend_server.BackendServer]] = {}
    for item in servers:
        zones.setdefault(item.zone, []).append(item)
    places = [
        ((at + 0.5) / len(members), _hash(item.name), item.name)
        for members in zones.values()
        for at, item in enumerate(
            sorted(members, key=lambda x: (x.reclaimable, _hash(x.name)))
        )
    ]
    return tuple(name for _, _, name in sorted(places))


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _log_change(
    service: str, servers: int, before: frozenset[str], now: frozenset[str]
) -> None:
    joined, left = sorted(now - before), sorted(before - now)
    logs.info(
        "work_groups_changed",
        service=service,
        servers=servers,
        paced=len(now),
        joined=",".join(joined[:_MAX_LOGGED_NAMES]) or "none",
        left=",".join(left[:_MAX_LOGGED_NAMES]) or "none",
    )
