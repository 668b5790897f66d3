"""Recognizes servers that crash together, as when a rack or zone fails.

Both blame tables ask this before they suspect the requests that ran on a
crashed server.
"""

from typing import Final

# The servers of a rack or zone that fails go down within this time.
CORRELATION_S: Final = 2.0
# Retries of one request can crash this many servers within `CORRELATION_S`.
MAX_UNCORRELATED_CRASHES: Final = 2


class CorrelatedCrashes:
    """The recent crashes that one daemon has seen."""

    def __init__(self) -> None:
        """Initializes without crashes."""
        self._times: dict[str, float] = {}

    def add(self, server: str, now: float) -> bool:
        """Adds a crash; returns whether many servers crashed with it."""
        self._times = {
            name: at
            for name, at in self._times.items()
            if now - at < CORRELATION_S
        }
        self._times[server] = now
        return len(self._times) > MAX_UNCORRELATED_CRASHES
