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

# The heap of claims is rebuilt when it has more entries than this for each
# waiting customer, because most of them are then stale.
_CLAIMS_PER_LINE: Final = 4
# A heap with fewer entries is not worth a rebuild.
_MIN_CLAIMS: Final = 64

_Requests = collections.OrderedDict[str, scheduler_api.PendingRequest]


@attrs.define
class _Line:
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
        self.shares = fair_share.FairShare()
        self._weight_of = weight_of
        self._lines: dict[str, _Line] = {}
        self._costs: dict[str, float] = {}
        self._claims: list[tuple[float, str]] = []
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
        for line in self._lines.values():
            yield from line.requests.values()

    def push(self, request: scheduler_api.PendingRequest, cost: float) -> None:
        """Adds a request with its expected cost."""
        name = request.customer
        line = self._lines.get(name)
        if line is None:
            line = self._lines[name] = _Line(self._weight_of(name))
            self._active_weight += line.weight
            self.shares.start_waiting(name)
        line.requests[request.request_id] = request
        line.cost += cost
        self._costs[request.request_id] = cost
        self._count += 1
        self._note_claim(name)

    def head(self) -> scheduler_api.PendingRequest | None:
        """Returns the request that is served next."""
        name = self.shares.lowest()
        if name is None:
            return None
        return next(iter(self._lines[name].requests.values()))

    def remove(self, request: scheduler_api.PendingRequest) -> float:
        """Removes a waiting request and returns its expected cost."""
        name = request.customer
        line = self._lines[name]
        del line.requests[request.request_id]
        cost = self._costs.pop(request.request_id)
        line.cost -= cost
        self._count -= 1
        if not line.requests:
            del self._lines[name]
            self._active_weight -= line.weight
            self.shares.stop_waiting(name)
        return cost

    def charge(self, customer: str, cost: float) -> None:
        """Adds to a customer's charged cost; a negative cost is a refund."""
        self.shares.charge(customer, cost / self._weight_of(customer))
        if cost > 0 and customer in self._lines:
            self._note_claim(customer)

    def ahead_of_newest(self, customer: str) -> float:
        """Returns how many requests are served before the customer's newest.

        While the customer waits, every other customer gets at most its
        weighted share of the dispatches, so a customer with few requests
        waits for less time than the whole queue.
        """
        line = self._lines[customer]
        turns = len(line.requests) * self._active_weight / line.weight
        return min(float(self._count), turns) - 1.0

    def furthest_over(self) -> scheduler_api.PendingRequest | None:
        """Returns the newest request of the customer furthest over its share.

        That customer has the highest sum of its counter and the expected cost
        of its waiting requests.
        """
        while self._claims:
            noted, name = self._claims[0]
            if name not in self._lines:
                heapq.heappop(self._claims)
                continue
            claim = -self._claimed(name)
            if claim <= noted:
                return next(reversed(self._lines[name].requests.values()))
            heapq.heapreplace(self._claims, (claim, name))
        return None

    def _note_claim(self, name: str) -> None:
        """Pushes the customer's claim, and rebuilds a heap grown too large.

        A claim that has decreased since is corrected when the heap is read.
        """
        heapq.heappush(self._claims, (-self._claimed(name), name))
        most = _CLAIMS_PER_LINE * len(self._lines) + _MIN_CLAIMS
        if len(self._claims) > most:
            self._claims = [(-self._claimed(who), who) for who in self._lines]
            heapq.heapify(self._claims)

    def _claimed(self, name: str) -> float:
        line = self._lines[name]
        return self.shares.counter(name) + line.cost / line.weight
