"""Holds the configuration in force in one daemon.

Only a higher generation replaces it. Subscribers are called in the order in
which they subscribed, within the replacement, so that no request is decided
on a mixture of two generations.
"""

from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib

_NEVER: Final = float("-inf")

Subscriber = Callable[[configuration_lib.Configuration], None]


class ConfigurationHolder:
    """The configuration in force and when it was last confirmed."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Starts with the empty configuration, generation 0."""
        self._clock = clock
        self._current = configuration_lib.Configuration()
        self._confirmed_at = _NEVER
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> configuration_lib.Configuration:
        """Returns the configuration in force."""
        return self._current

    @property
    def unconfirmed_s(self) -> float:
        """Returns seconds since the generation was confirmed as newest."""
        return self._clock.now() - self._confirmed_at

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls the subscriber now and after each replacement."""
        self._subscribers.append(subscriber)
        subscriber(self._current)

    def replace(self, new: configuration_lib.Configuration) -> bool:
        """Puts a higher generation in force; returns whether it was."""
        if new.generation <= self._current.generation:
            return False
        self._current = new
        for subscriber in self._subscribers:
            subscriber(new)
        return True

    def confirm(self, generation: int, age_s: float = 0.0) -> None:
        """Notes that the generation was the newest some seconds ago.

        A lower generation confirms too: what is in force is then newer than
        everything that had been accepted at that time.
        """
        if generation <= self._current.generation:
            confirmed_at = self._clock.now() - age_s
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
