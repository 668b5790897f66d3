"""Budgets that keep repeats a small share of the load.

A budget is a token bucket filled by admitted requests. The product's own
budget is kept by request class in each daemon; on a platform that bounds the
repeats of a service over all daemons, each has a part of the burst.
"""

import collections
from typing import Final
from typing import Protocol

from figstream import scheduler_api

# One repeat for ten requests; small enough that a fault which fails every
# request adds a tenth to the load.
BUDGET_SHARE: Final = 0.1
# Repeats at once, enough to hide the crash of one server.
BUDGET_BURST: Final = 10.0
# Part of the fleet's bound that daemons may use together: the rest covers
# daemons that restart with a full burst and views of the fleet that lag.
_SAFE_PART: Final = 0.5
# Daemons taken to share the budget until some are known: one that has just
# started sends no repeats before.
_UNKNOWN_DAEMONS: Final = 64


class RetryBudget(Protocol):
    """Decides whether another repeat may be sent."""

    @property
    def charges_unsent(self) -> bool:
        """Returns whether repeats count whose attempt reached no server."""

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Takes note of a request's first attempt."""

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Takes one repeat out of the budget; returns whether it was left."""


class ClassBudget:
    """Budgets of one daemon by request class."""

    charges_unsent: Final = True

    def __init__(self) -> None:
        """Starts every class with a full budget."""
        self._left: dict[str, float] = collections.defaultdict(
            lambda: BUDGET_BURST
        )

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Takes note of a request's first attempt."""
        name = request.request_class.name
        self._left[name] = min(self._left[name] + BUDGET_SHARE, BUDGET_BURST)

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Takes one repeat out of the budget; returns whether it was left."""
        name = request.request_class.name
        if self._left[name] < 1.0:
            return False
        self._left[name] -= 1.0
        return True


class FleetBudget:
    """This daemon's part of the budgets that the fleet has by service.

    The share holds for any set of daemons, since each adds it for its own
    requests only. The burst is divided by the largest number of daemons seen
    lately, so that a daemon that loses sight of others does not take theirs.
    """

    charges_unsent: Final = False

    def __init__(self, share: float, burst: float) -> None:
        """Creates it.

        Args:
          share: repeats for each request, over the fleet.
          burst: repeats beyond the share, over the fleet, in one window.
        """
        self._share = share * (1.0 + _SAFE_PART) / 2.0
        self._burst = burst * _SAFE_PART
        self._daemons = _UNKNOWN_DAEMONS
        self._known = False
        self._left: dict[str, float] = {}

    @property
    def burst(self) -> float:
        """Returns the most repeats that this daemon saves up."""
        return self._burst / self._daemons

    def set_live_daemons(self, in_fleet: int) -> None:
        """Takes note of how many daemons share the budget; never forgets."""
        if not self._known:
            self._known = True
            self._daemons = 1
            self._left.clear()
        self._daemons = max(self._daemons, in_fleet)

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Takes note of a request's first attempt."""
        left = self._left.get(request.service, self._first())
        self._left[request.service] = min(left + self._share, self.burst)

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Takes one repeat out of the budget; returns whether it was left."""
        left = min(self._left.get(request.service, self._first()), self.burst)
        if left < 1.0:
            self._left[request.service] = left
            return False
        self._left[request.service] = left - 1.0
        return True

    def _first(self) -> float:
        # A daemon that restarts often must not bring a full burst each time.
        return self.burst / 2.0
