"""Interface to a lease that one daemon at a time holds.

Modules that perform guarded actions depend on this interface; `lease`
implements it.
"""

from typing import Protocol


class Lease(Protocol):
    """Lease that this daemon holds or seeks."""

    @property
    def name(self) -> str:
        """Returns the name of the lease."""

    def fencing(self) -> int | None:
        """Returns the fencing number while the lease is certainly held.

        None means that the lease is not held, is too close to its expiry, or
        that the wait after a takeover has not ended. Callers must not await
        between this check and the write to the socket.
        """
