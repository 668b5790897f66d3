"""Tests of queue order, fairness among customers and division of slots.

The queue is compared with a slow reference implementation.
"""

import collections
import itertools

import hypothesis
from hypothesis import strategies as st

from figstream import allotment
from figstream import backend_server
from figstream import class_queue
from figstream import request_target
from figstream import scheduler_api
from tests import scheduling

_CUSTOMERS = st.integers(0, 3)
_Step = tuple[str, int, int]
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), _CUSTOMERS, st.integers(1, 50)),
        st.tuples(st.just("pop"), _CUSTOMERS, st.integers(1, 50)),
        st.tuples(st.just("withdraw"), _CUSTOMERS, st.integers(0, 9)),
    ),
    max_size=80,
)


class _Reference:
    """A simple, slow implementation of the rules of `ClassQueue`."""

    def __init__(self, weights: dict[str, float]) -> None:
        self.weights = weights
        self.waiting: list[tuple[scheduler_api.PendingRequest, float]] = []
        self.counters: dict[str, float] = collections.defaultdict(float)
        self.floor = 0.0

    def names(self) -> set[str]:
        return {item.customer for item, _ in self.waiting}

    def push(self, request: scheduler_api.PendingRequest, cost: float) -> None:
        name = request.customer
        if name not in self.names():
            if self.waiting:
                lowest = min(self.counters[item] for item in self.names())
                self.floor = max(self.floor, lowest)
            self.counters[name] = max(self.counters[name], self.floor)
        self.waiting.append((request, cost))

    def head(self) -> scheduler_api.PendingRequest | None:
        if not self.waiting:
            return None
        name = min(self.names(), key=lambda item: (self.counters[item], item))
        return next(item for item, _ in self.waiting if item.customer == name)

    def remove(self, request: scheduler_api.PendingRequest) -> None:
        self.waiting = [item for item in self.waiting if item[0] != request]
        if not self.waiting:
            self.floor = max(self.floor, self.counters[request.customer])

    def charge(self, name: str, cost: float) -> None:
        self.counters[name] += cost / self.weights[name]

    def newest_over_share(self) -> scheduler_api.PendingRequest | None:
        if not self.waiting:
            return None
        projected = {
            name: max(self.counters[name], self.floor)
            + sum(cost for item, cost in self.waiting if item.customer == name)
            / self.weights[name]
            for name in self.names()
        }
        name = max(sorted(projected), key=lambda item: projected[item])
        return [item for item, _ in self.waiting if item.customer == name][-1]


@hypothesis.given(steps=_STEPS)
@hypothesis.settings(deadline=None, max_examples=150)
def test_a_queue_agrees_with_the_slow_reference(steps: list[_Step]) -> None:
    """Guards against a queue that serves or sheds the wrong customer.

    Fails if `FairShare.start_waiting` does not raise the counter, or if any
    charge is wrong.
    """
    weights = {"c0": 1.0, "c1": 1.0, "c2": 2.0, "c3": 4.0}
    request_class = scheduling.make_class(1)
    target = request_target.Target("m")
    queue = class_queue.ClassQueue(
        request_class, target, lambda name: weights[name]
    )
    reference = _Reference(weights)
    for kind, customer, amount in steps:
        name = f"c{customer}"
        if kind == "push":
            request = scheduling.make_request(request_class, name)
            queue.push(request, float(amount))
            reference.push(request, float(amount))
        elif kind == "pop" and reference.waiting:
            head = queue.head()
            assert head is reference.head()
            assert head is not None
            reference.remove(head)
            cost = queue.remove(head)
            for each in (queue, reference):
                each.charge(head.customer, cost)
                each.charge(head.customer, amount - cost)
        elif kind == "withdraw" and reference.waiting:
            request = reference.waiting[amount % len(reference.waiting)][0]
            queue.remove(request)
            reference.remove(request)
        assert len(queue) == len(reference.waiting)
        assert queue.newest_over_share() is reference.newest_over_share()


def test_backlogged_customers_share_by_weight_whatever_they_send() -> None:
    """Guards against shares that depend on a customer's load or request size.

    Fails if `ClassQueue.charge` does not divide by the weight.
    """
    weights = {"flood": 1.0, "small": 1.0, "double": 2.0}
    request_class = scheduling.make_class(1)
    queue = class_queue.ClassQueue(
        request_class, request_target.Target("m"), lambda name: weights[name]
    )
    served: collections.Counter[str] = collections.Counter()
    costs = {"flood": 10.0, "small": 30.0, "double": 20.0}
    for name, count in (("flood", 2000), ("small", 100), ("double", 300)):
        for _ in range(count):
            queue.push(
                scheduling.make_request(request_class, name), costs[name]
            )
    while served.total() < 6000:
        head = queue.head()
        assert head is not None
        cost = queue.remove(head)
        queue.charge(head.customer, cost)
        served[head.customer] += int(cost)
    assert abs(served["flood"] - served["small"]) <= 40
    assert abs(served["double"] - 2 * served["small"]) <= 80


def test_idle_time_is_not_banked_as_credit() -> None:
    """Guards against a customer that gains priority from an idle period.

    Fails if `FairShare.start_waiting` does not raise the counter to the floor.
    """
    request_class = scheduling.make_class(1)
    queue = class_queue.ClassQueue(
        request_class, request_target.Target("m"), lambda name: 1.0
    )
    for _ in range(200):
        queue.push(scheduling.make_request(request_class, "busy"), 10.0)
    order: list[str] = []
    for number in range(120):
        if number == 100:
            for _ in range(20):
                queue.push(scheduling.make_request(request_class, "idle"), 10.0)
        head = queue.head()
        assert head is not None
        queue.charge(head.customer, queue.remove(head))
        order.append(head.customer)
    assert 8 <= order[100:].count("idle") <= 12


_DEMANDS = st.lists(
    st.builds(
        allotment.Demand,
        daemon=st.sampled_from(["d0", "d1", "d2"]),
        tier=st.integers(0, 2),
        customer=st.sampled_from(["a", "b", "c"]),
        requests=st.integers(1, 30),
    ),
    max_size=12,
    unique_by=lambda item: (item.daemon, item.tier, item.customer),
)


@hypothesis.given(demands=_DEMANDS, servers=st.integers(1, 5))
@hypothesis.settings(deadline=None, max_examples=100)
def test_allotted_slots_are_given_once_and_highest_tier_first(
    demands: list[allotment.Demand], servers: int
) -> None:
    """Guards against slots allotted twice or to a lower tier first.

    Fails if `divide_slots` does not sort by tier.
    """
    pool = [
        backend_server.BackendServer(f"s{number}", "", "a", slots=4)
        for number in range(servers)
    ]
    daemons = ["d0", "d1", "d2"]
    shares = allotment.divide_slots(daemons, demands, 4 * servers)
    assert sum(shares.values()) == 4 * servers
    slots_by_daemon = allotment.divide_servers(pool, shares)
    assigned = collections.Counter(
        itertools.chain.from_iterable(
            collections.Counter(slots).elements()
            for slots in slots_by_daemon.values()
        )
    )
    assert all(assigned[item.name] == 4 for item in pool)
    top = [item for item in demands if item.tier == 0]
    if sum(item.requests for item in top) <= 4 * servers:
        for name in daemons:
            wanted = sum(i.requests for i in top if i.daemon == name)
            assert shares[name] >= wanted - 1
