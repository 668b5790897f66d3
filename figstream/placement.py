"""Chooses backend servers by prompt prefix and load, over all zones.

The scheduler uses this selection in gateway mode. A server caches the prefix
blocks that it has read, and reading a block again costs prefill time. Requests
with the same prefix reach the same server through any daemon, since all daemons
assign it alike (`prefix_assignment`). A request goes to the server with the
least expected delay, computed from the requests that run there and the prefix
blocks that it lacks.

In pools of services with paced routes, `work_groups` names the servers for each
kind of work; paced streams are placed by `paced_placement`.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import paced_placement
from figstream import paced_routes
from figstream import placement_split
from figstream import prefix_assignment
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection
from figstream import stream_zones
from figstream import work_groups

# Delay that each request running at a server adds to a new one. About a fifth
# of the running requests are in prefill, which takes some 40 ms each.
_DELAY_PER_REQUEST_MS: Final = 8.0
# A request beyond the slots of a server waits for a free slot, and a slot runs
# a request for about 0.4 s. Divided by the number of slots, this is the delay
# for each such request.
_SLOT_TIME_MS: Final = 400.0
# Delay per token that must be read again. Engines read about 80 tokens per
# millisecond; the value is higher since reading a block twice is also charged.
_DELAY_PER_TOKEN_MS: Final = 0.02
# The latency to another zone counts as this many running requests.
_OTHER_ZONE_REQUESTS: Final = 1.0
# Penalty for a server of the group for the other kind of work (prefill or
# decode). Such a server is used only if the servers of the own group each run
# some 30 requests more.
_OTHER_GROUP_DELAY_MS: Final = 240.0
# Penalty for a server between the groups, used if those of the own group each
# run some 8 requests more.
_BETWEEN_DELAY_MS: Final = 60.0
# Penalty for a server that warms up, which is slow and bears few requests. It
# is used if the others each run some 15 requests more.
_COLD_DELAY_MS: Final = 120.0
# If this many servers of another zone fail at once, the whole zone is avoided.
_MIN_FAILING_SERVERS: Final = 2
# For this time a server that joined copies prefixes from the servers that were
# assigned before; a few times the interval between two requests of one session
# (7 s).
_JOIN_PERIOD_S: Final = 20.0
# Bounds of the caches; more pools and servers than are in use at once.
_MAX_POOLS: Final = 16
_MAX_SERVERS: Final = 8_192


class PrefixPlacement:
    """Selects the server with the least expected delay.

    Implements `server_selection.ServerSelection`.
    """

    def __init__(
        self,
        book: server_load.LoadBook,
        zone: str,
        source: random.Random,
        groups: work_groups.WorkGroups,
        zones: stream_zones.StreamZones | None = None,
    ) -> None:
        """Initializes without a split.

        Args:
          book: loads of the servers.
          zone: the own zone.
          source: random source for ties.
          groups: servers for paced streams and for other work.
          zones: chooses the zone of a paced stream, None for any zone.
        """
        self._book = book
        self._zone = zone
        self._random = source
        self._groups = groups
        self._paced = paced_placement.PacedPlacement(book, source, zones)
        self._split = placement_split.WorkSplit()
        self._prefixes = prefix_assignment.PrefixAssignments()
        self._joined_at: dict[str, float] = {}
        self._settled: dict[frozenset[str], tuple[float, frozenset[str]]] = {}

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Passes a new configuration to the groups of servers."""
        self._groups.set_configuration(configuration)

    def answered(
        self,
        request: scheduler_api.PendingRequest,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Records how long paced streams of divided services take."""
        if (
            request.service in self._groups.paced_services
            and paced_routes.is_paced(request.request_class)
        ):
            self._groups.answered(request.service, report.total_s)

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        urgent: bool,
        now: float,
    ) -> server_selection.Choice | None:
        """Returns the server for a request, or None if it has to wait.

        Args:
          request: the request.
          pool: its candidates.
          urgent: unused, since engines order requests by urgency themselves.
          now: the time in seconds.
        """
        usable = self._usable(request, pool, now)
        if not usable:
            return None
        division = self._groups.division(request.service, pool)
        if division:
            return self._choose_divided(request, pool, division, usable, now)
        self._split.observe(request, now)
        if request.prefix:
            self._prefixes.observe(request)
        work_group, other_group = self._split.groups(pool.names, request)
        assigned = (
            self._prefixes.assignment_of(work_group, request)
            if request.prefix
            else None
        )
        cold = self._cold_servers(now)
        delays_ms = [
            self._load_delay_ms(item, now)
            + (_COLD_DELAY_MS if item.name in cold else 0.0)
            + prefix_assignment.missing_tokens(request, assigned, item.name)
            * _DELAY_PER_TOKEN_MS
            + _group_delay_ms(item.name, work_group, other_group)
            for item in usable
        ]
        return self._choice_of(
            request, pool, work_group, assigned, usable, delays_ms, now
        )

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may use."""
        return float(sum(group.slots for group in pool.groups))

    def _choose_divided(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        division: work_groups.Division,
        usable: Sequence[backend_server.BackendServer],
        now: float,
    ) -> server_selection.Choice:
        """Returns the server for a request in a pool with two groups."""
        settling = self._groups.settling(now)
        if paced_routes.is_paced(request.request_class):
            choice = self._paced.choose(
                request, division, settling, usable, now
            )
            if choice.reason == paced_placement.OUTSIDE:
                self._groups.went_outside("paced_stream_outside_group")
            if choice.server.zone != self._zone:
                self._groups.went_outside("paced_stream_left_zone")
            return choice
        if request.prefix:
            self._prefixes.observe(request)
        own = [item for item in usable if item.name in division.rest]
        if settling:
            own = [item for item in own if item.name not in settling] or own
        if not own:
            self._groups.went_outside("work_in_paced_group")
        assigned = (
            self._prefixes.assignment_of(division.rest, request, divided=True)
            if request.prefix
            else None
        )
        candidates = own or usable
        cold = self._cold_servers(now)
        delays_ms = [
            delay_ms
            + (_COLD_DELAY_MS if item.name in cold else 0.0)
            + prefix_assignment.missing_tokens(request, assigned, item.name)
            * _DELAY_PER_TOKEN_MS
            for item, delay_ms in zip(
                candidates, self._excess_delays_ms(candidates, now), strict=True
            )
        ]
        return self._choice_of(
            request,
            pool,
            division.rest,
            assigned,
            candidates,
            delays_ms,
            now,
            divided=True,
        )

    def _cold_servers(self, now: float) -> frozenset[str]:
        """Returns the servers that warm up."""
        if not self._book.cold.any:
            return frozenset()
        return self._book.cold.limited(now)

    def _excess_delays_ms(
        self, servers: Sequence[backend_server.BackendServer], now: float
    ) -> Sequence[float]:
        """Returns the delays by load, compared with the mean of the servers.

        A daemon of many knows the loads of some servers. If it compared them
        with the others as if those were idle, it would move each request away
        from the servers that it knows, and have its prefix read again.
        """
        known = [self._book.known_requests(x.name, now) for x in servers]
        own = [self._book.state(x.name).own_requests for x in servers]
        others = [
            None if total is None else total - mine
            for total, mine in zip(known, own, strict=True)
        ]
        reported = [item for item in others if item is not None]
        mean = sum(reported) / len(reported) if reported else 0.0
        return [
            self._delay_ms(
                server,
                mine + max(0.0, (mean if other is None else other) - mean),
                mine + (other or 0.0),
            )
            for server, mine, other in zip(servers, own, others, strict=True)
        ]

    def _choice_of(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        work_group: frozenset[str],
        assigned: prefix_assignment.Assignment | None,
        usable: Sequence[backend_server.BackendServer],
        delays_ms: Sequence[float],
        now: float,
        *,
        divided: bool = False,
    ) -> server_selection.Choice:
        """Returns the server with the least delay as a choice."""
        least_ms = min(delays_ms)
        chosen = usable[delays_ms.index(least_ms)]
        is_assigned = (
            assigned is not None and chosen.name == assigned.whole_prefix
        )
        reason = "prefix" if is_assigned else "least_delay"
        age_s = now - self._book.state(chosen.name).measured_at
        inputs = (
            f"delay_ms={least_ms:.0f} load_age_s={min(age_s, 99):.1f} "
            f"usable={len(usable)}/{len(pool.names)}"
        )
        source = None
        if request.prefix:
            source = self._prompt_source(
                request, work_group, pool, chosen, now, divided=divided
            )
        if source:
            inputs += f" source={source.name}"
        if chosen.name in self._cold_servers(now):
            inputs += " cold"
        return server_selection.Choice(chosen, reason, inputs, source)

    def _usable(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        now: float,
    ) -> Sequence[backend_server.BackendServer]:
        paused = self._book.paused(now)
        servers = [
            item
            for group in pool.groups
            for item in group.servers
            if item.name not in paused
        ]
        if self._book.refusals.any:
            servers = [x for x in servers if self._book.has_room(x, now)]
        untried = servers
        if request.tried:
            untried = [x for x in servers if x.name not in request.tried]
        available = [item for item in untried if self._is_available(item, now)]
        reliable = available
        # Without unavailable servers there are no failing ones.
        if len(available) < len(servers):
            unreliable_zones = self._unreliable_zones(servers, now)
            reliable = [
                item for item in available if item.zone not in unreliable_zones
            ]
        # If every server is paused, an attempt reveals a recovered server
        # sooner than waiting.
        return reliable or available or untried or servers

    def _is_available(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        state = self._book.state(server.name)
        return state.paused_until <= now and not state.reserved_for

    def _unreliable_zones(
        self, servers: Sequence[backend_server.BackendServer], now: float
    ) -> frozenset[str]:
        """Returns other zones with several failing servers.

        Such a zone is probably partitioned from this one.
        """
        failing = [
            item.zone
            for item in servers
            if self._book.state(item.name).paused_until > now
            and item.zone != self._zone
        ]
        return frozenset(
            zone
            for zone in failing
            if failing.count(zone) >= _MIN_FAILING_SERVERS
        )

    def _prompt_source(
        self,
        request: scheduler_api.PendingRequest,
        work_group: frozenset[str],
        pool: server_pool.ServerPool,
        chosen: backend_server.BackendServer,
        now: float,
        *,
        divided: bool,
    ) -> backend_server.BackendServer | None:
        """Returns the server from which the prefix can be copied, if any.

        This is the server assigned among those that did not join recently,
        unless that server is the chosen one or fails.
        """
        settled = self._settled_names(work_group, now)
        if not settled:
            return None
        assigned_server = self._prefixes.assignment_of(
            settled, request, divided=divided
        ).whole_prefix
        # Only failures exclude the server: one that refuses requests for lack
        # of capacity can still transfer its cached blocks.
        if (
            assigned_server == chosen.name
            or self._book.state(assigned_server).failures
        ):
            return None
        servers = (item for group in pool.groups for item in group.servers)
        return next(
            (item for item in servers if item.name == assigned_server), None
        )

    def _settled_names(
        self, names: frozenset[str], now: float
    ) -> frozenset[str]:
        """Returns the servers that joined at least `_JOIN_PERIOD_S` ago."""
        until, settled = self._settled.get(names, (-math.inf, names))
        if now < until:
            return settled
        if len(self._settled) >= _MAX_POOLS:
            self._settled.clear()
        if len(self._joined_at) >= _MAX_SERVERS:
            self._joined_at.clear()
        # Servers that were present before this daemon count as settled.
        first = now if self._joined_at else now - _JOIN_PERIOD_S
        for name in names:
            self._joined_at.setdefault(name, first)
        joined = {
            name: self._joined_at[name] + _JOIN_PERIOD_S for name in names
        }
        settled = frozenset(name for name in names if joined[name] <= now)
        until = min((x for x in joined.values() if x > now), default=math.inf)
        self._settled[names] = until, settled
        return settled

    def _load_delay_ms(
        self, server: backend_server.BackendServer, now: float
    ) -> float:
        """Returns the delay caused by the requests that run at a server."""
        running = self._book.expected_requests(server.name, now)
        return self._delay_ms(server, running, running)

    def _delay_ms(
        self,
        server: backend_server.BackendServer,
        requests: float,
        running: float,
    ) -> float:
        """Returns the delay at a server.

        Args:
          server: the server.
          requests: requests that delay a new one there.
          running: requests that take its slots.
        """
        load = requests + self._random.random()
        if server.zone != self._zone:
            load += _OTHER_ZONE_REQUESTS
        delay_ms = load * _DELAY_PER_REQUEST_MS
        queued = running + 1.0 - server.slots
        if queued > 0.0:
            delay_ms += queued * max(
                0.0, _SLOT_TIME_MS / server.slots - _DELAY_PER_REQUEST_MS
            )
        return delay_ms


def _group_delay_ms(
    name: str, own: frozenset[str], other: frozenset[str]
) -> float:
    """Returns the penalty for a server outside the group of a request."""
    if name in own:
        return 0.0
    return _OTHER_GROUP_DELAY_MS if name in other else _BETWEEN_DELAY_MS


def make_placement(
    book: server_load.LoadBook,
    zone: str,
    groups: work_groups.WorkGroups | None = None,
    leaving: stream_zones.LeavingPrice | None = None,
) -> server_selection.ServerSelection:
    """Creates the server selection of the gateway.

    Args:
      book: loads of the servers.
      zone: the own zone.
      groups: the groups of servers, if other parts read or set them too.
      leaving: what traffic between zones costs, None if nothing is said of it.
    """
    source = random.Random()
    zones = None
    if leaving:
        zones = stream_zones.StreamZones(zone, book, leaving, source)
    return PrefixPlacement(
        book, zone, source, groups or work_groups.WorkGroups(), zones
    )
