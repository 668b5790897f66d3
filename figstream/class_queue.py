"""The queue of the waiting requests of one class for one target.

The customer with the lowest virtual token counter is served next; the
requests of one customer are served in order of arrival. The dispatcher takes
requests from the queue's head, and shedding removes them.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import heapq
from typing import Final

import attrs

from figstream import fair_share
from figstream import request_class as request_class_lib
from figstream import request_target
from figstream import scheduler_api

# The heap is rebuilt when it has more entries than this for each waiting
# customer, because most of its entries are then stale.
_MAX_HEAP_ENTRIES_PER_CUSTOMER: Final = 4
# A heap with fewer entries is not worth a rebuild.
_MIN_REBUILD_ENTRIES: Final = 64

_Requests = collections.OrderedDict[str, scheduler_api.PendingRequest]


@attrs.define
class _CustomerBacklog:
    """The waiting requests of one customer and their total expected cost."""

    weight: float
    requests: _Requests = attrs.field(factory=collections.OrderedDict)
    cost: float = 0.0


class ClassQueue:
    """Waiting requests of one class for one target, fair among customers."""

    def __init__(
        self,
        request_class: request_class_lib.RequestClass,
        target: request_target.Target,
        weight_of: Callable[[str], float],
    ) -> None:
        """Creates an empty queue; `weight_of` returns a customer's weight."""
        self.request_class = request_class
        self.target = target
        self.token_counters = fair_share.FairShare()
        self._weight_of = weight_of
        self._backlogs: dict[str, _CustomerBacklog] = {}
        self._costs: dict[str, float] = {}
        self._projected_heap: list[tuple[float, str]] = []
        self._count = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._count

    def __contains__(self, request: scheduler_api.PendingRequest) -> bool:
        """Returns whether the request waits in this queue."""
        return request.request_id in self._costs

    def __iter__(self) -> Iterator[scheduler_api.PendingRequest]:
        """Iterates over the waiting requests, customer by customer."""
        for backlog in self._backlogs.values():
            yield from backlog.requests.values()

    def push(self, request: scheduler_api.PendingRequest, cost: float) -> None:
        """Adds a request with its expected cost."""
        name = request.customer
        backlog = self._backlogs.get(name)
        if backlog is None:
            backlog = self._backlogs[name] = _CustomerBacklog(
                self._weight_of(name)
            )
            self._active_weight += backlog.weight
            self.token_counters.start_waiting(name)
        backlog.requests[request.request_id] = request
        backlog.cost += cost
        self._costs[request.request_id] = cost
        self._count += 1
        self._push_projected_counter(name)

    def head(self) -> scheduler_api.PendingRequest | None:
        """Returns the request that is served next."""
        name = self.token_counters.lowest()
        if name is None:
            return None
        return next(iter(self._backlogs[name].requests.values()))

    def remove(self, request: scheduler_api.PendingRequest) -> float:
        """Removes a waiting request and returns its expected cost."""
        name = request.customer
        backlog = self._backlogs[name]
        del backlog.requests[request.request_id]
        cost = self._costs.pop(request.request_id)
        backlog.cost -= cost
        self._count -= 1
        if not backlog.requests:
            del self._backlogs[name]
            self._active_weight -= backlog.weight
            self.token_counters.stop_waiting(name)
        return cost

    def charge(self, customer: str, cost: float) -> None:
        """Adds to a customer's charged cost; a negative cost is a refund."""
        self.token_counters.charge(customer, cost / self._weight_of(customer))
        if cost > 0 and customer in self._backlogs:
            self._push_projected_counter(customer)

    def count_ahead_of_newest(self, customer: str) -> float:
        """Returns how many requests are served before the customer's newest.

        While the customer waits, every other customer gets at most its
        weighted share of the dispatches, so a customer with few requests
        waits for less time than the whole queue.
        """
        backlog = self._backlogs[customer]
        turns = len(backlog.requests) * self._active_weight / backlog.weight
        return min(float(self._count), turns) - 1.0

    def newest_over_share(self) -> scheduler_api.PendingRequest | None:
        """Returns the newest request of the customer furthest over its share.

        That customer has the highest projected counter: its counter plus the
        expected cost of its waiting requests, divided by its weight.
        """
        while self._projected_heap:
            recorded, name = self._projected_heap[0]
            if name not in self._backlogs:
                heapq.heappop(self._projected_heap)
                continue
            projected = -self._projected_counter(name)
            if projected <= recorded:
                return next(reversed(self._backlogs[name].requests.values()))
            heapq.heapreplace(self._projected_heap, (projected, name))
        return None

    def _push_projected_counter(self, name: str) -> None:
        """Adds the customer's projected counter to the heap.

        Rebuilds the heap if it has grown too large. An entry whose counter
        has decreased since is corrected when the heap is read.
        """
        heapq.heappush(
            self._projected_heap, (-self._projected_counter(name), name)
        )
        max_entries = (
            _MAX_HEAP_ENTRIES_PER_CUSTOMER * len(self._backlogs)
            + _MIN_REBUILD_ENTRIES
        )
        if len(self._projected_heap) > max_entries:
            self._projected_heap = [
                (-self._projected_counter(waiting_customer), waiting_customer)
                for waiting_customer in self._backlogs
            ]
            heapq.heapify(self._projected_heap)

    def _projected_counter(self, name: str) -> float:
        """Returns the counter after all waiting requests would be charged."""
        backlog = self._backlogs[name]
        return self.token_counters.counter(name) + backlog.cost / backlog.weight
