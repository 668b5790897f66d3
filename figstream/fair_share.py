"""Virtual token counters: fair sharing among the customers of a queue.

Each customer has a counter of the cost of its dispatched requests, divided by
its weight; the waiting customer with the lowest counter is served next. The
expected cost is charged at dispatch and replaced by the actual cost at the
end. When a customer starts to wait, its counter is raised to the lowest
counter among the waiting customers, so that idle time earns no credit.
"""

import heapq
from typing import Final

# With more counters than this, those of idle customers at or below the floor
# are discarded, since the floor replaces them.
_MAX_COUNTERS: Final = 2048


class FairShare:
    """Virtual token counters of the customers of one queue."""

    def __init__(self) -> None:
        """Creates counters without waiting customers."""
        self._counters: dict[str, float] = {}
        self._waiting: set[str] = set()
        self._heap: list[tuple[float, str]] = []
        self._floor = 0.0

    def counter(self, customer: str) -> float:
        """Returns the virtual token counter of a customer."""
        return max(self._counters.get(customer, 0.0), self._floor)

    def start_waiting(self, customer: str) -> None:
        """Records that a customer has waiting requests again."""
        lowest = self.lowest()
        if lowest is not None:
            self._floor = max(self._floor, self._counters[lowest])
        raised = max(self._counters.get(customer, 0.0), self._floor)
        self._counters[customer] = raised
        self._waiting.add(customer)
        heapq.heappush(self._heap, (raised, customer))

    def stop_waiting(self, customer: str) -> None:
        """Records that a customer has no more waiting requests."""
        self._waiting.discard(customer)
        if not self._waiting:
            self._floor = max(self._floor, self._counters[customer])
            self._heap.clear()
        if len(self._counters) > _MAX_COUNTERS:
            self._evict_idle()

    def lowest(self) -> str | None:
        """Returns the waiting customer that is served next."""
        while self._heap:
            counter, customer = self._heap[0]
            known = self._counters.get(customer)
            if customer in self._waiting and known == counter:
                return customer
            heapq.heappop(self._heap)
        return None

    def charge(self, customer: str, cost: float) -> None:
        """Adds cost already divided by weight; a negative cost is a refund."""
        counter = self._counters.get(customer, self._floor) + cost
        self._counters[customer] = counter
        if customer in self._waiting:
            heapq.heappush(self._heap, (counter, customer))

    def _evict_idle(self) -> None:
        self._counters = {
            name: counter
            for name, counter in self._counters.items()
            if name in self._waiting or counter > self._floor
        }
