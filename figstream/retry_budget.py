"""Budgets that limit retries to a small share of the load.

A budget is a token bucket that admitted requests fill and retries drain.
`ClassBudget` has one bucket per request class in each daemon. `FleetBudget`
is for a platform that bounds the retries of a service over all daemons; each
daemon gets a share of the burst.
"""

import collections
from typing import Final
from typing import Protocol

from figstream import scheduler_api

# One retry per ten requests: a fault that fails every request adds only a
# tenth to the load.
RETRIES_PER_REQUEST: Final = 0.1
# Retries that may be sent at once, enough to hide the crash of one server.
RETRY_BURST: Final = 10.0
# Share of the fleet's bound that all daemons together may use. The rest covers
# daemons that restart with a full burst, and daemons whose view of the fleet
# is out of date.
_SAFE_SHARE: Final = 0.5
# Number of daemons assumed to share the budget until the real number is known:
# a daemon that has just started sends no retries before that.
_ASSUMED_DAEMONS: Final = 64


class RetryBudget(Protocol):
    """Decides whether another retry may be sent."""

    @property
    def charges_unsent(self) -> bool:
        """Returns whether attempts that reached no server are charged."""

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Adds a request's share to the budget before its first attempt."""

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Charges one retry; returns False if the budget is exhausted."""


class ClassBudget:
    """The retry budgets of one daemon, by request class."""

    charges_unsent: Final = True

    def __init__(self) -> None:
        """Initializes every class with a full budget."""
        self._retries_left: dict[str, float] = collections.defaultdict(
            lambda: RETRY_BURST
        )

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Adds a request's share to the budget before its first attempt."""
        name = request.request_class.name
        self._retries_left[name] = min(
            self._retries_left[name] + RETRIES_PER_REQUEST, RETRY_BURST
        )

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Charges one retry; returns False if the budget is exhausted."""
        name = request.request_class.name
        if self._retries_left[name] < 1.0:
            return False
        self._retries_left[name] -= 1.0
        return True


class FleetBudget:
    """This daemon's share of the fleet's retry budgets, by service.

    The share of retries per request holds for any number of daemons, because
    each daemon adds it for its own requests only. The burst is divided by the
    largest number of daemons observed since the start, so that a daemon that
    no longer sees the others does not use their share.
    """

    charges_unsent: Final = False

    def __init__(self, share: float, burst: float) -> None:
        """Initializes the budget.

        Args:
          share: retries per request, over the fleet.
          burst: retries beyond the share, over the fleet, in one window.
        """
        self._share = share * (1.0 + _SAFE_SHARE) / 2.0
        self._burst = burst * _SAFE_SHARE
        self._daemons = _ASSUMED_DAEMONS
        self._daemons_known = False
        self._retries_left: dict[str, float] = {}

    @property
    def burst(self) -> float:
        """Returns the maximum number of retries that this daemon can save."""
        return self._burst / self._daemons

    def set_live_daemons(self, in_fleet: int) -> None:
        """Stores how many daemons share the budget; the number never drops."""
        if not self._daemons_known:
            self._daemons_known = True
            self._daemons = 1
            self._retries_left.clear()
        self._daemons = max(self._daemons, in_fleet)

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Adds a request's share to the budget before its first attempt."""
        left = self._retries_left.get(request.service, self._initial_retries())
        self._retries_left[request.service] = min(
            left + self._share, self.burst
        )

    def spend(self, request: scheduler_api.PendingRequest) -> bool:
        """Charges one retry; returns False if the budget is exhausted."""
        left = min(
            self._retries_left.get(request.service, self._initial_retries()),
            self.burst,
        )
        if left < 1.0:
            self._retries_left[request.service] = left
            return False
        self._retries_left[request.service] = left - 1.0
        return True

    def _initial_retries(self) -> float:
        # A daemon that restarts often must not get a full burst each time.
        return self.burst / 2.0
