"""Tests of the scheduler's guarantees under various traffic."""

import collections

import hypothesis
from hypothesis import strategies as st
import pytest

from figstream import backend_server
from figstream import class_queue
from figstream import customer as customer_lib
from figstream import preemption
from figstream import reasons
from figstream import request_target
from figstream import running_requests
from figstream import scheduler_api
from figstream import server_pool
from tests import scheduling

_FAILED = scheduler_api.AttemptReport(
    scheduler_api.AttemptResult.FAILED, 3, 0, 0.1, 0.5
)
_LOAD_REASONS = {
    reasons.RefusalReason.QUEUE_COUNT_FULL,
    reasons.RefusalReason.QUEUE_BYTES_FULL,
    reasons.RefusalReason.DEADLINE_UNREACHABLE,
    reasons.RefusalReason.DEADLINE_PASSED,
    reasons.RefusalReason.SHED_FOR_OTHERS,
}


class _Traffic:
    """Drives a scheduler and tracks the waiting and running requests."""

    def __init__(self, scheduler: scheduler_api.Scheduler) -> None:
        self.scheduler = scheduler
        self.waiting: dict[str, scheduler_api.PendingRequest] = {}
        self.running: list[scheduler_api.Dispatched] = []
        self.preempts: list[scheduler_api.Preempt] = []
        self.refused: list[scheduler_api.PendingRequest] = []

    def offer(self, request: scheduler_api.PendingRequest, now: float) -> None:
        refusal = self.scheduler.offer(request, now)
        if refusal is None:
            self.waiting[request.request_id] = request
        elif refusal.reason in _LOAD_REASONS:
            self.refused.append(request)

    def poll(self, now: float) -> None:
        for item in self.scheduler.poll(now):
            if isinstance(item, scheduler_api.Preempt):
                self.preempts.append(item)
                continue
            del self.waiting[item.request.request_id]
            if isinstance(item, scheduler_api.Dispatched):
                self.running.append(item)
            elif item.refusal.reason in _LOAD_REASONS:
                self.refused.append(item.request)

    def finish(self, index: int, now: float) -> None:
        item = self.running.pop(index % len(self.running))
        report = scheduling.ANSWERED
        self.scheduler.finish(item.request, item.server, report, now)


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 3), st.integers(0, 9)),
        max_size=120,
    )
)
@hypothesis.settings(deadline=None, max_examples=60)
def test_no_request_is_shed_while_lower_tier_work_waits(
    steps: list[tuple[int, int, int]],
) -> None:
    """Guards against a shed request while lower-tier requests still wait.

    Fails if `Shedding.lower_tier` yields nothing. The next request of each
    class may stay, because it keeps the guaranteed turn.
    """
    classes = [
        scheduling.make_class(tier, queue_limit=9, deadline_s=3.0 + 20.0 * tier)
        for tier in range(5)
    ]
    traffic = _Traffic(
        scheduling.make_scheduler(scheduling.make_server("s", slots=1))
    )
    traffic.offer(scheduling.make_request(classes[0]), 0.0)
    traffic.poll(0.0)
    traffic.finish(0, 0.0)
    for number, (tier, customer, ends) in enumerate(steps):
        now = number * 0.1
        traffic.refused.clear()
        if ends == 0 and traffic.running:
            traffic.finish(number, now)
        traffic.offer(
            scheduling.make_request(classes[tier], f"c{customer}", now), now
        )
        traffic.poll(now)
        if not traffic.refused:
            continue
        highest = min(item.request_class.tier for item in traffic.refused)
        lower_tier = collections.Counter(
            item.request_class.tier
            for item in traffic.waiting.values()
            if item.request_class.tier > highest
        )
        assert max(lower_tier.values(), default=0) <= 1


def test_a_full_class_displaces_the_lowest_tier_waiting() -> None:
    """Guards against a full class that sheds its own requests too early.

    Fails if `Shedding.victims_for_bound` starts with the queue itself.
    """
    high = scheduling.make_class(0, queue_limit=3)
    low = scheduling.make_class(4)
    traffic = _Traffic(
        scheduling.make_scheduler(scheduling.make_server("s", slots=1))
    )
    for request_class in (high, low, low, high, high, high, high, high):
        traffic.offer(scheduling.make_request(request_class), 0.0)
        traffic.poll(0.0)
    assert [item.request_class.tier for item in traffic.refused] == [4, 4]
    traffic.offer(scheduling.make_request(high), 0.0)
    assert [item.request_class.tier for item in traffic.refused] == [4, 4, 0]


def test_every_class_progresses_under_a_flood_of_the_top_tier() -> None:
    """Guards against the starvation of lower tiers by the highest tier.

    Fails if `DispatchOrder.due` ignores the deficit and the time limit.
    """
    classes = [scheduling.make_class(tier) for tier in range(5)]
    traffic = _Traffic(scheduling.make_scheduler(scheduling.make_server("s")))
    served: collections.Counter[int] = collections.Counter()
    for number in range(200):
        now = number * 0.1
        for tier in (0, 0, number % 5):
            traffic.offer(scheduling.make_request(classes[tier], now=now), now)
        traffic.poll(now)
        if traffic.running:
            served[traffic.running[0].request.request_class.tier] += 1
            traffic.finish(0, now)
    assert all(served[tier] >= 2 for tier in range(5)), served
    assert served[0] > 150


@pytest.mark.parametrize("how", ["draining", "leaving", "platform"])
def test_a_server_that_goes_away_gets_no_new_work(how: str) -> None:
    """Guards against dispatches to a server that is about to go away.

    Fails if `PoolIndex._build` ignores the server's state or the set of
    leaving servers.
    """
    tested_class = scheduling.make_class(1)
    going = scheduling.make_server("going", slots=50)
    if how != "platform":
        state = backend_server.ServerState(how)
        going = backend_server.BackendServer(
            "going", "", "a", models=("m",), slots=50, state=state
        )
    traffic = _Traffic(
        scheduling.make_scheduler(going, scheduling.make_server("stays"))
    )
    if how == "platform":
        traffic.scheduler.set_leaving(frozenset({"going"}))
    for _ in range(30):
        traffic.offer(scheduling.make_request(tested_class), 0.0)
    traffic.poll(0.0)
    assert {item.server.name for item in traffic.running} == {"stays"}
    assert len(traffic.running) == 2


def test_a_deadline_out_of_reach_is_refused_early_as_not_run() -> None:
    """Guards against queueing requests that can't meet their deadline.

    Fails if `Admission.excess_wait_s` returns 0.
    """
    tested_class = scheduling.make_class(1, deadline_s=4.0)
    traffic = _Traffic(
        scheduling.make_scheduler(scheduling.make_server("s", slots=1))
    )
    traffic.offer(scheduling.make_request(tested_class), 0.0)
    traffic.poll(0.0)
    traffic.finish(0, 1.0)
    refusals = [
        traffic.scheduler.offer(
            scheduling.make_request(tested_class, now=1.0), 1.0
        )
        for _ in range(6)
    ]
    found = [item for item in refusals if item]
    assert 1 <= len(found) <= 4
    for refusal in found:
        assert refusal.reason is reasons.RefusalReason.DEADLINE_UNREACHABLE
        assert refusal.run_state is reasons.RunState.NOT_RUN
        assert refusal.retry_after_s
    tried = scheduling.make_request(tested_class, now=1.0, attempt=1)
    assert traffic.scheduler.offer(tried, 1.0) is None
    dropped = [
        item
        for item in traffic.scheduler.poll(9.0)
        if isinstance(item, scheduler_api.Dropped) and item.request is tried
    ]
    assert dropped[0].refusal.run_state is reasons.RunState.MAY_HAVE_RUN


def test_a_short_deadline_is_refused_while_longer_ones_are_queued() -> None:
    """Guards against queueing a request whose own deadline is too short.

    The wait is acceptable to the other requests of the queue. Fails if
    `Admission.refusal_retry_after_s` returns None.
    """
    tested_class = scheduling.make_class(1)
    traffic = _Traffic(
        scheduling.make_scheduler(scheduling.make_server("s", slots=1))
    )
    for now in (0.0, 1.0):
        traffic.offer(scheduling.make_request(tested_class, now=now), now)
        traffic.poll(now)
        traffic.finish(0, now)
    for _ in range(6):
        traffic.offer(scheduling.make_request(tested_class, now=1.0), 1.0)
    short_deadline = scheduling.make_request(tested_class, now=1.0)
    short_deadline.deadline = 4.0
    refusal = traffic.scheduler.offer(short_deadline, 1.0)
    assert refusal is not None
    assert refusal.reason is reasons.RefusalReason.DEADLINE_UNREACHABLE
    long_deadline = scheduling.make_request(tested_class, now=1.0)
    assert traffic.scheduler.offer(long_deadline, 1.0) is None


@pytest.mark.parametrize(
    "spared", ["higher", "fixed", "not idempotent", "guaranteed", "tried twice"]
)
def test_preemption_spares(spared: str) -> None:
    """Guards against the preemption of requests that must not be cancelled.

    Each case fails without its condition in `preemption._is_preemptible`.
    """
    tested_class = scheduling.make_class(
        0 if spared == "higher" else 4, preemptible=spared != "fixed"
    )
    server = scheduling.make_server("s")
    queue = class_queue.ClassQueue(
        tested_class, request_target.Target("m"), lambda name: 1.0
    )
    pool = server_pool.ServerPool((), frozenset({"s"}))

    def choose(changed: bool) -> object:
        request = scheduling.make_request(
            tested_class,
            idempotent=not (changed and spared == "not idempotent"),
            attempt=2 if changed and spared == "tried twice" else 1,
        )
        guaranteed = changed and spared == "guaranteed"
        item = running_requests.RunningRequest(
            request, server, queue, 1.0, 1.0, 0.0, guaranteed
        )
        return preemption.Preemption().choose([item], 1, pool)

    assert choose(changed=True) is None
    in_class = spared in {"higher", "fixed"}
    assert in_class or choose(changed=False) is not None


def test_preemption_cancels_only_lower_repeatable_work() -> None:
    """Guards against preempting the wrong request, or in the wrong order.

    Fails if the order in `preemption._preference` is changed.
    """
    high = scheduling.make_class(1, first_token_s=0.5)
    candidates = [
        scheduling.make_request(scheduling.make_class(0, preemptible=True)),
        scheduling.make_request(scheduling.make_class(3)),
        scheduling.make_request(
            scheduling.make_class(4, preemptible=True), idempotent=False
        ),
        scheduling.make_request(scheduling.make_class(4, preemptible=True)),
        scheduling.make_request(
            scheduling.make_class(4, preemptible=True), resumable=True
        ),
    ]
    traffic = _Traffic(
        scheduling.make_scheduler(scheduling.make_server("s", slots=6))
    )
    for request in (scheduling.make_request(high), *candidates):
        traffic.offer(request, 0.0)
    traffic.poll(0.0)
    assert len(traffic.running) == 6
    first = [item.request.request_class for item in traffic.running]
    traffic.finish(first.index(high), 1.0)
    for _ in range(9):
        traffic.offer(scheduling.make_request(high, now=1.0), 1.0)
    for tenth in range(20):
        traffic.poll(1.0 + tenth / 10)
    cancelled = [item.request for item in traffic.preempts]
    assert cancelled == [candidates[4], candidates[3]]


def test_a_suspect_runs_alone_on_its_server() -> None:
    """Guards against a crash suspect that shares its server with others.

    Fails if `TwoChoices._load` ignores `reserved_for`.
    """
    tested_class = scheduling.make_class(1)
    traffic = _Traffic(
        scheduling.make_scheduler(
            scheduling.make_server("s1"), scheduling.make_server("s2")
        )
    )
    for _ in range(4):
        traffic.offer(scheduling.make_request(tested_class), 0.0)
    traffic.poll(0.0)
    suspect = scheduling.make_request(tested_class, alone=True)
    traffic.offer(suspect, 0.0)
    for _ in range(19):
        traffic.offer(scheduling.make_request(tested_class), 0.0)
        traffic.poll(0.0)
        on_server = collections.defaultdict(list)
        for item in traffic.running:
            on_server[item.server.name].append(item.request)
        for requests in on_server.values():
            assert suspect not in requests or requests == [suspect]
        if any(item.request is suspect for item in traffic.running):
            return
        traffic.finish(0, 0.0)
    pytest.fail("the suspect never ran")


def test_limits_over_the_fleet_overshoot_within_the_bound() -> None:
    """Guards against a fleet that admits a rate limit once for each daemon.

    Fails if `CustomerLimits` does not divide by the number of daemons.
    """
    limits = customer_lib.CustomerLimits(requests_per_s=5.0)
    customer = customer_lib.Customer("one", limits=limits)
    tested_class = scheduling.make_class(1)
    for daemons in (1, 3, 9):
        fleet = [
            scheduling.make_scheduler(
                scheduling.make_server("s", slots=50), customers=(customer,)
            )
            for _ in range(daemons)
        ]
        admitted = 0
        for scheduler in fleet:
            scheduler.set_live_daemons(daemons, daemons)
        for tick in range(200):
            now = tick * 0.1
            held = 0
            for scheduler in fleet:
                ours = [
                    scheduling.make_request(tested_class, now=now)
                    for _ in range(6)
                ]
                held += sum(not scheduler.offer(item, now) for item in ours)
                for item in scheduling.dispatched(list(scheduler.poll(now))):
                    scheduler.finish(
                        item.request, item.server, scheduling.ANSWERED, now
                    )
                for request in ours:
                    scheduler.withdraw(request, now)
            admitted += held
        burst = daemons * max(1.0, 5.0 / daemons)
        assert 0.8 * 5.0 * 20.0 <= admitted <= 5.0 * 20.0 + burst


@pytest.mark.parametrize("daemons", [1, 3, 9])
def test_concurrency_over_the_fleet_overshoots_by_less_than_n(
    daemons: int,
) -> None:
    """Guards against a fleet that grants the full concurrency at each daemon.

    Fails if `CustomerLimits._check` does not divide by the number of daemons.
    """
    limits = customer_lib.CustomerLimits(concurrency=4)
    held = 0
    for _ in range(daemons):
        scheduler = scheduling.make_scheduler(
            scheduling.make_server("s", slots=50),
            customers=(customer_lib.Customer("one", limits=limits),),
        )
        scheduler.set_live_daemons(daemons, daemons)
        tested_class = scheduling.make_class(1)
        held += sum(
            not scheduler.offer(scheduling.make_request(tested_class), 0.0)
            for _ in range(6)
        )
    assert 4 <= held < 4 + daemons


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["offer", "end", "fail", "leave", "alone"]),
            st.integers(0, 9),
        ),
        max_size=60,
    )
)
@hypothesis.settings(deadline=None, max_examples=60)
def test_no_slot_or_limit_leaks(steps: list[tuple[str, int]]) -> None:
    """Guards against slots, limits and reservations that are never released.

    Fails if `Scheduler` omits a `release` or the end of a reservation.
    """
    limits = customer_lib.CustomerLimits(concurrency=6)
    tested_class = scheduling.make_class(1)
    traffic = _Traffic(
        scheduling.make_scheduler(
            scheduling.make_server("s1"),
            scheduling.make_server("s2"),
            customers=(customer_lib.Customer("one", limits=limits),),
        )
    )
    for number, (kind, index) in enumerate(steps):
        now = number * 0.1
        if kind in {"offer", "alone"}:
            request = scheduling.make_request(tested_class, now=now)
            request.alone = kind == "alone"
            traffic.offer(request, now)
        elif kind == "leave" and traffic.waiting:
            name = sorted(traffic.waiting)[index % len(traffic.waiting)]
            traffic.scheduler.withdraw(traffic.waiting.pop(name), now)
        elif kind in {"end", "fail"} and traffic.running:
            report = scheduling.ANSWERED if kind == "end" else _FAILED
            item = traffic.running.pop(index % len(traffic.running))
            traffic.scheduler.finish(item.request, item.server, report, now)
        traffic.poll(now)
    for second in range(100, 200):
        while traffic.running:
            traffic.finish(0, float(second))
        traffic.poll(float(second))
    assert not traffic.waiting
    for _ in range(7):
        request = scheduling.make_request(tested_class, now=200.0)
        traffic.offer(request, 200.0)
        traffic.poll(200.0)
    assert len(traffic.running) == 4
    assert len(traffic.waiting) == 2
