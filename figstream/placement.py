"""Chooses servers by the shared parts of prompts, over all zones.

A server keeps the prompt parts that it has read, and reading one again costs
time at that server. Every daemon ranks the servers by the same rendezvous
hashes: the first part of a prompt has a few servers as its home, and all
shared parts together have one among these. Requests that share a prompt thus
meet at the same server whichever daemon they come in at. A request goes where
the expected delay is least: the requests that run there, and the parts that
would have to be read.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

import attrs
import xxhash

from figstream import backend_server
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection

# Delay that each request running at a server adds to a new one, in
# milliseconds: about a fifth of them are being read, at some 40 ms each.
_REQUEST_MS: Final = 8.0
# Delay and price of reading a token again, in milliseconds: engines read
# about 80 tokens in one, and a part read twice is charged besides.
_TOKEN_MS: Final = 0.02
# Part of the servers that are home to one first part.
_HOME_SHARE: Final = 1 / 3
# One home may be down.
_LEAST_HOMES: Final = 2
# Requests that the way to another zone counts as.
_OTHER_ZONE: Final = 1.0
# Servers of another zone that fail at once before all of it is avoided.
_DOUBTFUL: Final = 2
# Prompts whose homes are kept; about 200 bytes each.
_MAX_RANKINGS: Final = 8_192
_SEED_MASK: Final = 0xFFFF_FFFF_FFFF_FFFF


@attrs.frozen
class _Homes:
    """Where the parts of a prompt are kept.

    Attributes:
      first: names of the servers that keep the first part.
      all: the server that keeps all shared parts.
    """

    first: frozenset[str]
    all: str


class PrefixPlacement:
    """Satisfies `server_selection.ServerSelection`."""

    def __init__(
        self, book: server_load.LoadBook, zone: str, source: random.Random
    ) -> None:
        """Reads the load book; draws ties from the source."""
        self._book = book
        self._zone = zone
        self._random = source
        self._homes: dict[tuple[frozenset[str], int, int], _Homes] = {}

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
          urgent: not used; engines order by urgency themselves.
          now: the time in seconds.
        """
        usable = self._usable(request, pool, now)
        if not usable:
            return None
        homes = self._homes_of(pool, request) if request.prefix else None

        delays_ms = [
            self._load(item, now) * _REQUEST_MS
            + _missing_tokens(request, homes, item.name) * _TOKEN_MS
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
        return server_selection.Choice(chosen, reason, inputs)

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may count on."""
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
        # With every server paused, trying one tells more than waiting.
        return sure or open_ or fresh or servers

    def _is_open(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        state = self._book.state(server.name)
        return state.paused_until <= now and not state.reserved_for

    def _doubtful_zones(
        self, servers: Sequence[backend_server.BackendServer], now: float
    ) -> frozenset[str]:
        """Returns other zones of which several servers fail, as when cut."""
        failing = [
            item.zone
            for item in servers
            if self._book.state(item.name).paused_until > now
            and item.zone != self._zone
        ]
        return frozenset(
            zone for zone in failing if failing.count(zone) >= _DOUBTFUL
        )

    def _homes_of(
        self,
        pool: server_pool.ServerPool,
        request: scheduler_api.PendingRequest,
    ) -> _Homes:
        key = pool.names, request.first_part, request.prefix
        found = self._homes.get(key)
        if found is None:
            if len(self._homes) >= _MAX_RANKINGS:
                self._homes.clear()
            found = self._homes[key] = _find_homes(
                pool.names, request.first_part, request.prefix
            )
        return found

    def _load(self, server: backend_server.BackendServer, now: float) -> float:
        trust = self._book.trust(server.name, now)
        way = 0.0 if server.zone == self._zone else _OTHER_ZONE
        running = self._book.estimate(server.name, 1, trust)
        return running + way + self._random.random()


def _missing_tokens(
    request: scheduler_api.PendingRequest, homes: _Homes | None, name: str
) -> int:
    """Returns the shared tokens that a server would have to read."""
    if homes is None or name == homes.all:
        return 0
    if name in homes.first:
        return request.shared_tokens - request.first_part_tokens
    return request.shared_tokens


def _find_homes(names: frozenset[str], first: int, prefix: int) -> _Homes:
    count = max(_LEAST_HOMES, math.ceil(len(names) * _HOME_SHARE))
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
    """Creates the way that the gateway uses."""
    return PrefixPlacement(book, zone, random.Random())
