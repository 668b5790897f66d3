"""Cancels running work of a lower tier for a higher one.

Only work that its class declares preemptible and that may be repeated is
cancelled, and nothing that holds its class's guaranteed turn; streams that
the engine can resume are preferred, then those that ran for the shortest
time. A budget, a share of the dispatches, bounds the work that is thrown away.
"""

from collections.abc import Iterable
from typing import Final

from figstream import running_requests
from figstream import server_pool

# Preemptions for each dispatch; what they waste stays below it.
_BUDGET_SHARE: Final = 0.03
# Preemptions at once.
_BUDGET_BURST: Final = 4.0
# Times that one request is preempted.
_MAX_ATTEMPTS: Final = 2


class Preemption:
    """Chooses what to cancel, within a budget."""

    def __init__(self) -> None:
        """Starts with a full budget."""
        self._budget = _BUDGET_BURST

    def dispatched(self) -> None:
        """Earns a part of one cancellation."""
        self._budget = min(_BUDGET_BURST, self._budget + _BUDGET_SHARE)

    def choose(
        self,
        running: Iterable[running_requests.RunningRequest],
        tier: int,
        pool: server_pool.ServerPool,
    ) -> running_requests.RunningRequest | None:
        """Returns a request to cancel for the tier, and spends the budget.

        Args:
          running: what runs for the target.
          tier: the tier that needs the place.
          pool: the candidates of the request that needs the place.
        """
        able = [item for item in running if _yields(item, tier, pool)]
        if not able:
            return None
        chosen = max(able, key=_preference)
        price = 0.0 if chosen.request.resumable else 1.0
        if self._budget < price:
            return None
        self._budget -= price
        chosen.preempted = True
        return chosen


def _yields(
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
