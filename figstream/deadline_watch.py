"""Finds waiting requests that can no longer meet their deadline.

`waiting_bounds` refuses the requests found here at every poll of the
scheduler.
"""

from collections.abc import Callable
from collections.abc import Iterator
import heapq
import itertools
from typing import Final

from figstream import scheduler_api

# A heap with fewer entries is not worth a rebuild.
_MIN_COMPACT_ENTRIES: Final = 1024

_Entry = tuple[float, int, scheduler_api.PendingRequest]


class DeadlineWatch:
    """A heap of requests by the time at which they must be given up.

    Entries of requests that no longer wait are removed when the heap has
    doubled, so that requests with long deadlines don't fill the memory.
    """

    def __init__(
        self, is_waiting: Callable[[scheduler_api.PendingRequest], bool]
    ) -> None:
        """Creates an empty heap; `is_waiting` checks if a request waits."""
        self._is_waiting = is_waiting
        self._entries: list[_Entry] = []
        self._sequence = itertools.count()
        self._compact_at = _MIN_COMPACT_ENTRIES

    def add(self, request: scheduler_api.PendingRequest, at: float) -> None:
        """Adds a request that must be given up at the given time."""
        heapq.heappush(self._entries, (at, next(self._sequence), request))
        if len(self._entries) > self._compact_at:
            self._compact()

    def due(self, now: float) -> Iterator[scheduler_api.PendingRequest]:
        """Removes and yields the waiting requests that must be given up now."""
        while self._entries and self._entries[0][0] <= now:
            _, _, request = heapq.heappop(self._entries)
            if self._is_waiting(request):
                yield request

    def _compact(self) -> None:
        self._entries = [
            item for item in self._entries if self._is_waiting(item[2])
        ]
        heapq.heapify(self._entries)
        self._compact_at = max(_MIN_COMPACT_ENTRIES, 2 * len(self._entries))
