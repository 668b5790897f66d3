"""Holds the active configuration of one daemon.

Only a higher generation replaces the active one. `replace` calls the
subscribers synchronously, in the order in which they subscribed, so that no
request is handled with a mixture of two generations.
"""

from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib

_NEVER: Final = float("-inf")

Subscriber = Callable[[configuration_lib.Configuration], None]


class ConfigurationHolder:
    """The active configuration and the time of its last confirmation."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes the holder with the empty configuration, generation 0."""
        self._clock = clock
        self._current = configuration_lib.Configuration()
        self._confirmed_at = _NEVER
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> configuration_lib.Configuration:
        """Returns the active configuration."""
        return self._current

    @property
    def unconfirmed_s(self) -> float:
        """Returns the age in seconds of the last confirmation as newest."""
        return self._clock.now() - self._confirmed_at

    @property
    def confirmed_at(self) -> float:
        """Returns the clock time of the last confirmation as newest."""
        return self._confirmed_at

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls the subscriber now and after each replacement."""
        self._subscribers.append(subscriber)
        subscriber(self._current)

    def replace(self, new: configuration_lib.Configuration) -> bool:
        """Activates a configuration if its generation is higher.

        Returns:
          Whether the configuration was activated.
        """
        if new.generation <= self._current.generation:
            return False
        self._current = new
        for subscriber in self._subscribers:
            subscriber(new)
        return True

    def confirm(self, generation: int, age_s: float = 0.0) -> None:
        """Records that a generation was the newest `age_s` seconds ago.

        A generation below the active one is a valid confirmation too: the
        active generation is newer than everything accepted by that time.
        """
        self.confirm_at(generation, self._clock.now() - age_s)

    def confirm_at(self, generation: int, at: float) -> None:
        """Records that a generation was the newest at a clock time."""
        if generation <= self._current.generation:
            self._confirmed_at = max(self._confirmed_at, at)
