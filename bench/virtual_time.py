"""Runs events in virtual time, so that benchmarks are repeatable."""

from collections.abc import Callable
import heapq
import itertools

_Action = Callable[[], None]


class VirtualTime:
    """Event queue that runs actions in the order of their virtual time."""

    def __init__(self) -> None:
        """Initializes an empty event queue at second 0."""
        self.now = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, _Action]] = []

    def at(self, when: float, action: _Action) -> None:
        """Schedules an action at a time, or now if the time is past."""
        entry = (max(when, self.now), next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def after(self, seconds: float, action: _Action) -> None:
        """Schedules an action after a number of seconds."""
        self.at(self.now + seconds, action)

    def every(self, seconds: float, action: _Action) -> None:
        """Schedules an action periodically, first after one interval."""

        def run_and_reschedule() -> None:
            action()
            self.after(seconds, run_and_reschedule)

        self.after(seconds, run_and_reschedule)

    def run_until(self, end: float) -> None:
        """Runs all events up to and including the end time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end
