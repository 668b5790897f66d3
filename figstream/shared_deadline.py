"""A deadline that all requests of a daemon get when it shuts down.

Requests enter a scope of the deadline for as long as it concerns them.
"""

from collections.abc import Iterator
import contextlib
import math

import anyio


class SharedDeadline:
    """Cancels all scopes that are open at one time."""

    def __init__(self) -> None:
        """Initializes without a deadline."""
        self._deadline = math.inf
        self._scopes: set[anyio.CancelScope] = set()

    def set_after(self, seconds: float) -> None:
        """Cancels the scopes that are open in some seconds, and later ones."""
        self._deadline = anyio.current_time() + seconds
        for scope in self._scopes:
            scope.deadline = self._deadline

    @contextlib.contextmanager
    def scope(self) -> Iterator[anyio.CancelScope]:
        """Runs the block until it ends or the deadline has passed."""
        with anyio.CancelScope(deadline=self._deadline) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def release(self, scope: anyio.CancelScope) -> None:
        """Exempts a scope from the deadline."""
        self._scopes.discard(scope)
        scope.deadline = math.inf
