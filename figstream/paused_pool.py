"""Refuses requests that no server wants from this daemon at present.

Answers the load in which a whole service is in need: its servers turn requests
away and say for how long they want none, or name how many they take. A request
that can wait for the end of the first pause, or for this daemon's next turn at
a limited server, stays in the queue. Any other is refused at once and told when
to return. The returns of a tier are spread over a slot of time that
follows the slots of the more urgent tiers.
"""

import random
from typing import Final

from figstream import errors
from figstream import reasons
from figstream import refusals
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool

# Part of the time to the first token for which a request may wait in the queue.
_WAIT_RATIO: Final = 0.125
# Time over which the returning requests of one tier are spread.
_SPREAD_S: Final = 0.25
# Less urgent tiers return with this tier.
_LAST_TIER: Final = 4


class PausedPools:
    """Decides on requests whose servers are all paused or limited."""

    def __init__(
        self, book: server_load.LoadBook, source: random.Random
    ) -> None:
        """Stores the load book and the random source for the spread."""
        self._book = book
        self._random = source

    def refusal(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        now: float,
    ) -> errors.Refusal | None:
        """Returns the refusal of a request that can't wait for a server."""
        wait_s = self._book.wanted_at(pool.names, now) - now
        level = request.request_class.service_level
        if wait_s <= _WAIT_RATIO * level.first_token_s:
            return None
        paused = self._book.pause_end(pool.names, now) > now
        tier = min(request.request_class.tier, _LAST_TIER)
        return refusals.make_refusal(
            request,
            reasons.RefusalReason.BACKEND_SERVERS_PAUSED
            if paused
            else reasons.RefusalReason.BACKEND_SERVERS_LIMITED,
            wait_s + _SPREAD_S * (tier + self._random.random()),
        )
