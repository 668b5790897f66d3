"""Chooses servers by the shared parts of prompts, over all zones.

A server keeps the prompt parts that it has read. Every daemon ranks the
servers for a shared part by the same rendezvous hash, so that requests that
share it meet at the same server whichever daemon they come in at. A request
leaves that server only when others are clearly less loaded. Requests without
a shared part go to the least loaded server, the own zone first.
"""

from collections.abc import Sequence
import random
from typing import Final

import xxhash

from figstream import backend_server
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection

# Requests by which the second server for a part must be less loaded than the
# first, and any other server than both: reading a shared part again costs
# about as much as a few requests with theirs in memory.
_SECOND_SLACK: Final = 3.0
_ANY_SLACK: Final = 8.0
# Requests that the way to another zone counts as, for requests whose work is
# short.
_OTHER_ZONE: Final = 1.0
_MAX_RANKINGS: Final = 8_192


class PrefixPlacement:
    """Satisfies `server_selection.ServerSelection`."""

    def __init__(
        self, book: server_load.LoadBook, zone: str, source: random.Random
    ) -> None:
        """Reads the load book; draws ties from the source."""
        self._book = book
        self._zone = zone
        self._random = source
        self._sharers = 1
        self._rankings: dict[
            tuple[frozenset[str], int], Sequence[backend_server.BackendServer]
        ] = {}

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
        least = min(usable, key=lambda item: self._cost(item, now))
        if not request.prefix:
            return server_selection.Choice(least, "least_loaded")
        ranked = [
            item
            for item in self._ranked(pool, request.prefix)
            if item in usable
        ]
        first, second = ranked[0], ranked[min(1, len(ranked) - 1)]
        first_load = self._load(first, now)
        second_load = self._load(second, now)
        chosen, load, reason = first, first_load, "prefix"
        if second_load + _SECOND_SLACK < first_load:
            chosen, load, reason = second, second_load, "prefix_second"
        if self._load(least, now) + _ANY_SLACK < load:
            return server_selection.Choice(least, "least_loaded")
        return server_selection.Choice(chosen, reason)

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may count on."""
        return float(sum(group.slots for group in pool.groups))

    def _usable(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        now: float,
    ) -> list[backend_server.BackendServer]:
        servers = [item for group in pool.groups for item in group.servers]
        fresh = [item for item in servers if item.name not in request.tried]
        open_ = [
            item
            for item in fresh
            if self._book.state(item.name).paused_until <= now
            and not self._book.state(item.name).reserved_for
        ]
        # With every server paused, trying one tells more than waiting.
        return open_ or fresh or servers

    def _ranked(
        self, pool: server_pool.ServerPool, prefix: int
    ) -> Sequence[backend_server.BackendServer]:
        key = pool.names, prefix
        found = self._rankings.get(key)
        if found is None:
            if len(self._rankings) >= _MAX_RANKINGS:
                self._rankings.clear()
            servers = [item for group in pool.groups for item in group.servers]
            found = self._rankings[key] = sorted(
                servers, key=lambda item: _weight(item.name, prefix)
            )
        return found

    def _load(self, server: backend_server.BackendServer, now: float) -> float:
        trust = self._book.trust(server.name, now)
        return self._book.estimate(server.name, 1, trust)

    def _cost(self, server: backend_server.BackendServer, now: float) -> float:
        way = 0.0 if server.zone == self._zone else _OTHER_ZONE
        return self._load(server, now) + way + self._random.random()


def _weight(server: str, prefix: int) -> int:
    return xxhash.xxh3_64_intdigest(
        server.encode(), seed=prefix & 0xFFFFFFFFFFFFFFFF
    )


def make_placement(
    book: server_load.LoadBook, zone: str
) -> server_selection.ServerSelection:
    """Creates the way that the gateway uses."""
    return PrefixPlacement(book, zone, random.Random())
