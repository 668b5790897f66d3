"""Remembers the time limits that routes had in the recent past.

Operators change time limits. A stream may be as old as the limit of its route
was when it began, which `stream_software` needs to know.
"""

from collections.abc import Mapping
from typing import Final

from figstream import clock as clock_lib

# Several times the longest time limit.
_HISTORY_S: Final = 60.0


class RecentLimits:
    """The largest time limit of each route, now and recently."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes without limits."""
        self._clock = clock
        self._present: Mapping[str, float] = {}
        # Former limits and the times at which they ended, by route.
        self._former: dict[str, dict[float, float]] = {}

    def update(self, limits_s: Mapping[str, float]) -> None:
        """Applies the present limits, in seconds by route."""
        now = self._clock.now()
        for route, limit_s in self._present.items():
            if limit_s > limits_s.get(route, 0.0):
                self._former.setdefault(route, {})[limit_s] = now
        self._present = dict(limits_s)

    def largest_s(self, route: str) -> float:
        """Returns the largest limit of a route, 0 if none is known."""
        oldest = self._clock.now() - _HISTORY_S
        former = self._former.get(route, {})
        for limit_s in [x for x, at in former.items() if at < oldest]:
            del former[limit_s]
        return max([self._present.get(route, 0.0), *former])
