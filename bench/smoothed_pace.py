"""Detects stragglers by comparing a server's smoothed pace with the pool's.

The straggler benchmark compares this detector with ours. The pace is the
logarithm of the seconds per token. A server whose smoothed pace exceeds the
pool's by a factor is a straggler until its pace, measured on the little work
that the server still gets, is down again.
"""

import math
from typing import Final

import attrs

_SMOOTHING: Final = 0.3
_POOL_SMOOTHING: Final = 0.02
_MIN_OBSERVATIONS: Final = 3
_SLOW_FACTOR: Final = 2.0
_RECOVERED_FACTOR: Final = 1.5


@attrs.define
class _Pace:
    """Smoothed logarithm of the seconds per token."""

    value: float
    count: int = 0

    def add(self, observed: float, smoothing: float) -> None:
        """Adds an observation."""
        weight = max(smoothing, 1.0 / (self.count + 1))
        self.value += weight * (observed - self.value)
        self.count += 1


class PaceDetector:
    """Compares each server's smoothed pace with that of its pool."""

    def __init__(self) -> None:
        """Initializes a detector without observations."""
        self._servers: dict[tuple[str, str], _Pace] = {}
        self._pools: dict[str, _Pace] = {}
        self._stragglers: frozenset[str] = frozenset()

    def observe(
        self, server: str, pool: str, seconds: float, batch: int, now: float
    ) -> None:
        """Records the seconds per token of a server and updates stragglers."""
        observed = math.log(max(seconds, 1e-6))
        server_pace = self._servers.setdefault((pool, server), _Pace(observed))
        server_pace.add(observed, _SMOOTHING)
        pool_pace = self._pools.setdefault(pool, _Pace(observed))
        if server not in self._stragglers:
            pool_pace.add(observed, _POOL_SMOOTHING)
        if server_pace.count < _MIN_OBSERVATIONS:
            return
        excess = server_pace.value - pool_pace.value
        if excess > math.log(_SLOW_FACTOR):
            self._stragglers |= {server}
        elif excess < math.log(_RECOVERED_FACTOR):
            self._stragglers -= {server}

    def stragglers(self) -> frozenset[str]:
        """Returns the servers that are stragglers at present."""
        return self._stragglers
