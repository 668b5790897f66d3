"""The interface to a lease that one daemon at a time holds."""

from typing import Protocol


class Lease(Protocol):
    """A lease that this daemon holds or seeks."""

    @property
    def name(self) -> str:
        """Returns the name of the lease."""

    def fencing(self) -> int | None:
        """Returns the fencing number while the lease surely holds.

        None means not held, or too near its end, or the wait after a
        take-over is not over. Callers check and write to the socket with no
        await between.
        """
