"""Chooses the server of a paced stream among those of its group.

`placement` calls this for services whose servers `work_groups` divides. Every
daemon places few streams and knows the loads of few servers, so streams are
spread by two random choices. Shared prefixes count for nothing: the prompts of
paced streams are short and read again in a few milliseconds, while a herd at
one server breaks the pauses of all its streams.
"""

from collections.abc import Sequence
import random
from typing import Final

from figstream import backend_server
from figstream import scheduler_api
from figstream import server_load
from figstream import server_selection
from figstream import stream_zones
from figstream import work_groups

# Reasons of a choice, for the log.
INSIDE: Final = "paced_group"
OUTSIDE: Final = "outside_group"
# Two random choices are enough to bound the busiest server.
_SAMPLES: Final = 2
# Streams without a server in their group spread over this share of its size,
# so that few servers of the other group get both kinds of work.
_OUTSIDE_SHARE: Final = 1 / 4
_MIN_OUTSIDE: Final = 2


class PacedPlacement:
    """Spreads paced streams over the servers of their group."""

    def __init__(
        self,
        book: server_load.LoadBook,
        source: random.Random,
        zones: stream_zones.StreamZones | None = None,
    ) -> None:
        """Initializes the placement.

        Args:
          book: loads of the servers.
          source: random source.
          zones: chooses the zone of a stream, None for servers of any zone.
        """
        self._book = book
        self._random = source
        self._zones = zones

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        division: work_groups.Division,
        settling: frozenset[str],
        usable: Sequence[backend_server.BackendServer],
        now: float,
    ) -> server_selection.Choice:
        """Returns the server of a stream.

        Args:
          request: the stream.
          division: the groups of servers.
          settling: servers that changed groups a moment ago.
          usable: the servers that take requests, at least one.
          now: the time in seconds.
        """
        own = [item for item in usable if item.name in division.paced]
        if settling:
            own = [item for item in own if item.name not in settling] or own
        candidates: Sequence[backend_server.BackendServer] = [
            item for item in own if not self._is_full(item, now)
        ]
        reason = INSIDE
        if not candidates:
            outside = self._outside(division, usable, now)
            reason = OUTSIDE if outside else INSIDE
            candidates = outside or own or list(usable)
        if self._zones:
            candidates = self._zones.choose(request, candidates, now)
        sample = self._random.sample(candidates, min(_SAMPLES, len(candidates)))
        loads = self._loads(sample, candidates, now)
        chosen = sample[loads.index(min(loads))]
        inputs = (
            f"load={min(loads):.1f} candidates={len(candidates)} "
            f"group={len(division.paced)}"
        )
        return server_selection.Choice(chosen, reason, inputs)

    def _outside(
        self,
        division: work_groups.Division,
        usable: Sequence[backend_server.BackendServer],
        now: float,
    ) -> list[backend_server.BackendServer]:
        """Returns the next servers in rank that have a free slot."""
        last = len(division.ranks)
        others = sorted(
            (
                item
                for item in usable
                if item.name not in division.paced
                and not self._is_full(item, now)
            ),
            key=lambda item: division.ranks.get(item.name, last),
        )
        count = max(_MIN_OUTSIDE, int(_OUTSIDE_SHARE * len(division.paced)))
        return others[:count]

    def _is_full(
        self, server: backend_server.BackendServer, now: float
    ) -> bool:
        """Returns whether a stream would wait there, as far as known."""
        known = self._book.known_requests(server.name, now)
        if known is None:
            known = self._book.state(server.name).own_requests
        return known >= server.slots

    def _loads(
        self,
        sample: Sequence[backend_server.BackendServer],
        candidates: Sequence[backend_server.BackendServer],
        now: float,
    ) -> Sequence[float]:
        """Returns the requests at servers; an unknown load is the mean."""
        known = {
            item.name: self._book.known_requests(item.name, now)
            for item in candidates
        }
        reported = [load for load in known.values() if load is not None]
        mean = sum(reported) / len(reported) if reported else 0.0
        found = []
        for item in sample:
            load = known[item.name]
            if load is None:
                load = mean + self._book.state(item.name).own_requests
            found.append(load)
        return found
