"""Chooses backend servers by prompt prefix and load, over all zones.

The scheduler uses this selection in gateway mode. A server caches the prefix
blocks that it has read, and reading a block again costs prefill time. Every
daemon ranks the servers by the same rendezvous hashes: the first prefix block
of a prompt is assigned to a few servers, and the whole shared prefix to one of
these. Requests with the same prefix thus reach the same server through any
daemon. A request goes to the server with the least expected delay, computed
from the requests that run there and the prefix blocks that it lacks.
"""

import collections
from collections.abc import Sequence
import math
import random
from typing import Final

import attrs
import xxhash

from figstream import backend_server
from figstream import placement_split
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection

# Delay that each request running at a server adds to a new one. About a fifth
# of the running requests are in prefill, which takes some 40 ms each.
_REQUEST_MS: Final = 8.0
# A request beyond the slots of a server waits for a free slot, and a slot runs
# a request for about 0.4 s. Divided by the number of slots, this is the delay
# for each such request.
_TURN_MS: Final = 400.0
# Delay per token that must be read again. Engines read about 80 tokens per
# millisecond; the rest stands for the price of reading a block twice.
_TOKEN_MS: Final = 0.02
# Share of the servers that one first prefix block is assigned to.
_HOME_SHARE: Final = 1 / 3
# At least two, since one assigned server may be down.
_LEAST_HOMES: Final = 2
# The latency to another zone counts as this many running requests.
_OTHER_ZONE: Final = 1.0
# Penalty for a server of the other group (prefill or decode). Such a server is
# used only if the own group has some 30 more requests per server.
_OTHER_SIDE_MS: Final = 240.0
# If this many servers of another zone fail at once, the whole zone is avoided.
_DOUBTFUL: Final = 2
# A first prefix block is hot from `_HOT_SHARE` of the requests in a sample on,
# and no longer hot below `_COLD_SHARE`. The two shares are far apart so that
# daemons agree although their samples differ.
_SAMPLE: Final = 100
_HOT_SHARE: Final = 0.05
_COLD_SHARE: Final = 0.02
# For this time a server that joined copies prefixes from the servers that were
# assigned before; a few times the interval between two requests of one session
# (7 s).
_JOINING_S: Final = 20.0
# An assignment of a prefix takes about 200 bytes.
_MAX_RANKINGS: Final = 8_192
# Bounds of the caches; more pools and servers than are in use at once.
_MAX_POOLS: Final = 16
_MAX_SERVERS: Final = 8_192
_SEED_MASK: Final = 0xFFFF_FFFF_FFFF_FFFF


@attrs.frozen
class _Homes:
    """The servers that a prompt prefix is assigned to.

    Attributes:
      first: names of the servers that cache the first prefix block.
      all: name of the server that caches the whole shared prefix.
    """

    first: frozenset[str]
    all: str


class _FirstParts:
    """Detects first prefix blocks that a large share of the requests have.

    Such hot blocks are assigned to all servers. A few hot blocks, each
    assigned to its own third of the servers, would overlap at some servers
    and leave others idle.
    """

    def __init__(self) -> None:
        """Initializes an empty sample without hot blocks."""
        self._counts: collections.Counter[int] = collections.Counter()
        self._seen = 0
        self._hot: set[int] = set()

    def observe(self, first: int) -> None:
        """Counts a request with the given first prefix block."""
        self._counts[first] += 1
        self._seen += 1
        if self._seen >= _SAMPLE:
            self._settle()

    def is_hot(self, first: int) -> bool:
        """Returns whether a first prefix block is assigned to all servers."""
        return first in self._hot

    def _settle(self) -> None:
        """Evaluates the sample and starts the next one."""
        for first, count in self._counts.items():
            share = count / self._seen
            if share >= _HOT_SHARE:
                self._hot.add(first)
            elif share < _COLD_SHARE:
                self._hot.discard(first)
        self._hot &= self._counts.keys()
        self._counts.clear()
        self._seen = 0


class PrefixPlacement:
    """Selects the server with the least expected delay.

    Implements `server_selection.ServerSelection`.
    """

    def __init__(
        self, book: server_load.LoadBook, zone: str, source: random.Random
    ) -> None:
        """Stores the load book, the own zone and the random source for ties."""
        self._book = book
        self._zone = zone
        self._random = source
        self._split = placement_split.WorkSplit()
        self._firsts = _FirstParts()
        self._homes: dict[tuple[frozenset[str], bool, int, int], _Homes] = {}
        self._first_seen: dict[str, float] = {}
        self._settled: dict[frozenset[str], tuple[float, frozenset[str]]] = {}

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
        self._split.observe(request, now)
        if request.prefix:
            self._firsts.observe(request.first_part)
        side = self._split.side(pool.names, request)
        homes = self._homes_of(side, request) if request.prefix else None
        delays_ms = [
            self._wait_ms(item, now)
            + _missing_tokens(request, homes, item.name) * _TOKEN_MS
            + (0.0 if item.name in side else _OTHER_SIDE_MS)
            for item in usable
        ]
        least_ms = min(delays_ms)
        chosen = usable[delays_ms.index(least_ms)]
        at_home = homes is not None and chosen.name == homes.all
        reason = "prefix" if at_home else "least_delay"
        age_s = now - self._book.state(chosen.name).measured_at
        inputs = (
            f"delay_ms={least_ms:.0f} load_age_s={min(age_s, 99):.1f} "
            f"usable={len(usable)}/{len(pool.names)}"
        )
        source = None
        if request.prefix:
            source = self._source(request, side, pool, chosen, now)
        if source:
            inputs += f" source={source.name}"
        return server_selection.Choice(chosen, reason, inputs, source)

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may use."""
        return float(sum(group.slots for group in pool.groups))

    def _usable(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        now: float,
    ) -> Sequence[backend_server.BackendServer]:
        servers = [item for group in pool.groups for item in group.servers]
        fresh = [item for item in servers if item.name not in request.tried]
        open_ = [item for item in fresh if self._is_open(item, now)]
        doubtful = self._doubtful_zones(servers, now)
        sure = [item for item in open_ if item.zone not in doubtful]
        # If every server is paused, an attempt reveals a recovered server
        # sooner than waiting.
        return sure or open_ or fresh or servers

    def _is_open(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        state = self._book.state(server.name)
        return state.paused_until <= now and not state.reserved_for

    def _doubtful_zones(
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
            zone for zone in failing if failing.count(zone) >= _DOUBTFUL
        )

    def _source(
        self,
        request: scheduler_api.PendingRequest,
        side: frozenset[str],
        pool: server_pool.ServerPool,
        chosen: backend_server.BackendServer,
        now: float,
    ) -> backend_server.BackendServer | None:
        """Returns the server from which the prefix can be copied, if any.

        This is the server assigned before others joined, unless chosen.
        """
        settled = self._settled_names(side, now)
        if not settled:
            return None
        home = self._homes_of(settled, request).all
        # Only failures exclude the server: one that refuses requests for lack
        # of capacity can still transfer its cached blocks.
        if home == chosen.name or self._book.state(home).failures:
            return None
        servers = (item for group in pool.groups for item in group.servers)
        return next((item for item in servers if item.name == home), None)

    def _settled_names(
        self, names: frozenset[str], now: float
    ) -> frozenset[str]:
        """Returns the servers that joined at least `_JOINING_S` ago."""
        until, settled = self._settled.get(names, (-math.inf, names))
        if now < until:
            return settled
        if len(self._settled) >= _MAX_POOLS:
            self._settled.clear()
        if len(self._first_seen) >= _MAX_SERVERS:
            self._first_seen.clear()
        # Servers that were present before this daemon count as settled.
        first = now if self._first_seen else now - _JOINING_S
        for name in names:
            self._first_seen.setdefault(name, first)
        joined = {name: self._first_seen[name] + _JOINING_S for name in names}
        settled = frozenset(name for name in names if joined[name] <= now)
        until = min((x for x in joined.values() if x > now), default=math.inf)
        self._settled[names] = until, settled
        return settled

    def _homes_of(
        self, names: frozenset[str], request: scheduler_api.PendingRequest
    ) -> _Homes:
        hot = self._firsts.is_hot(request.first_part)
        key = names, hot, request.first_part, request.prefix
        found = self._homes.get(key)
        if found is None:
            if len(self._homes) >= _MAX_RANKINGS:
                self._homes.clear()
            found = self._homes[key] = _find_homes(
                names, request.first_part, request.prefix, everywhere=hot
            )
        return found

    def _wait_ms(
        self, server: backend_server.BackendServer, now: float
    ) -> float:
        """Returns the delay caused by the requests that run at a server."""
        trust = self._book.trust(server.name, now)
        running = self._book.estimate(server.name, 1, trust)
        beyond = max(0.0, running + 1.0 - server.slots)
        turn_ms = max(0.0, _TURN_MS / server.slots - _REQUEST_MS)
        way = 0.0 if server.zone == self._zone else _OTHER_ZONE
        load = running + way + self._random.random()
        return load * _REQUEST_MS + beyond * turn_ms


def _missing_tokens(
    request: scheduler_api.PendingRequest, homes: _Homes | None, name: str
) -> int:
    """Returns the tokens of the shared prefix that a server lacks."""
    if homes is None or name == homes.all:
        return 0
    if name in homes.first:
        return request.shared_tokens - request.first_part_tokens
    return request.shared_tokens


def _find_homes(
    names: frozenset[str], first: int, prefix: int, *, everywhere: bool
) -> _Homes:
    share = 1.0 if everywhere else _HOME_SHARE
    count = max(_LEAST_HOMES, math.ceil(len(names) * share))
    ranked = sorted(names, key=lambda name: _weight(name, first))
    homes = ranked[:count]
    return _Homes(
        frozenset(homes), min(homes, key=lambda name: _weight(name, prefix))
    )


def _weight(server: str, part: int) -> int:
    return xxhash.xxh3_64_intdigest(server.encode(), seed=part & _SEED_MASK)


def make_placement(
    book: server_load.LoadBook, zone: str
) -> server_selection.ServerSelection:
    """Creates the server selection of the gateway."""
    return PrefixPlacement(book, zone, random.Random())
