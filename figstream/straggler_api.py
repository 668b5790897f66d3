"""The interface between the scheduler and the detection of stragglers."""

from typing import Protocol


class StragglerDetector(Protocol):
    """Finds backend servers that are slower than their pool."""

    def observe(
        self, server: str, pool: str, seconds: float, batch: int, now: float
    ) -> None:
        """Records the seconds per token that a server needed."""

    def stragglers(self) -> frozenset[str]:
        """Returns the current stragglers."""
