"""Chooses running requests of a lower tier to cancel for a higher tier.

The dispatcher asks for a choice when a higher tier waits too long. Only
idempotent requests of preemptible classes are cancelled, and none that was
dispatched in the guaranteed turn of its class. Streams that the engine can
resume are preferred, then the lowest tier, then the requests that started
last. A budget, a share of the dispatches, bounds the work that is lost.
"""

from collections.abc import Iterable
from typing import Final

from figstream import running_requests
from figstream import server_pool

# Preemptions earned by each dispatch; bounds the share of work lost.
_BUDGET_PER_DISPATCH: Final = 0.03
# Largest number of preemptions saved up.
_MAX_BUDGET: Final = 4.0
# A request that has made this many attempts is not preempted any more.
_MAX_ATTEMPTS: Final = 2


class Preemption:
    """Chooses the requests to cancel, within a budget."""

    def __init__(self) -> None:
        """Creates a full budget."""
        self._budget = _MAX_BUDGET

    def dispatched(self) -> None:
        """Adds the share of one dispatch to the budget."""
        self._budget = min(_MAX_BUDGET, self._budget + _BUDGET_PER_DISPATCH)

    def choose(
        self,
        running: Iterable[running_requests.RunningRequest],
        tier: int,
        pool: server_pool.ServerPool,
    ) -> running_requests.RunningRequest | None:
        """Returns a request to cancel for the tier, and charges the budget.

        Args:
          running: running requests of the target.
          tier: the tier that needs a slot.
          pool: the candidate servers of the request that needs a slot.
        """
        candidates = [
            item for item in running if _is_preemptible(item, tier, pool)
        ]
        if not candidates:
            return None
        chosen = max(candidates, key=_preference)
        cost = 0.0 if chosen.request.resumable else 1.0
        if self._budget < cost:
            return None
        self._budget -= cost
        chosen.preempted = True
        return chosen


def _is_preemptible(
    item: running_requests.RunningRequest,
    tier: int,
    pool: server_pool.ServerPool,
) -> bool:
    request = item.request
    return (
        request.request_class.tier > tier
        and request.request_class.preemptible
        and request.idempotent
        and not item.preempted
        and not item.guaranteed
        and request.attempt < _MAX_ATTEMPTS
        and item.server.name in pool.names
    )


def _preference(
    item: running_requests.RunningRequest,
) -> tuple[bool, int, float]:
    request = item.request
    return (request.resumable, request.request_class.tier, item.started)
