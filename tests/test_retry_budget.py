"""Tests that the fleet's retry budget holds over restarts and partitions."""

import hypothesis
from hypothesis import strategies as st

from figstream import request_class
from figstream import retry_budget
from figstream import scheduler_api

_RETRIES_PER_REQUEST, _BURST, _WINDOW_S = 0.2, 58.0, 10.0
_MAX_DAEMONS = 12


def _request() -> scheduler_api.PendingRequest:
    return scheduler_api.PendingRequest(
        "r", "c", request_class.RequestClass("k"), 0.0, 9.0, service="s"
    )


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["load", "storm", "storm", "restart", "cut", "wait"]),
        st.integers(0, _MAX_DAEMONS - 1),
        st.integers(1, 40),
    ),
    min_size=5,
    max_size=60,
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.integers(3, _MAX_DAEMONS), _STEPS)
def test_repeats_of_the_fleet_stay_within_the_bound_in_every_window(
    daemons: int, steps: list[tuple[str, int, int]]
) -> None:
    """Fails if a daemon gets the fleet's burst, or a full share at its start.

    At most two restarts fall into a window, as when VMs are lost and
    restarted; a partitioned daemon sees only itself.
    """

    def make_budget() -> retry_budget.FleetBudget:
        made = retry_budget.FleetBudget(_RETRIES_PER_REQUEST, _BURST)
        made.set_live_daemons(daemons)
        return made

    budgets = [make_budget() for _ in range(daemons)]
    requests: list[float] = []
    retries: list[float] = []
    restarts: list[float] = []
    now = 0.0
    for kind, which, amount in steps:
        budget = budgets[which % daemons]
        if kind == "wait":
            now += amount / 8.0
        elif kind == "cut":
            budget.set_live_daemons(1)
        elif kind == "restart":
            recent = [at for at in restarts if now - at < 2 * _WINDOW_S]
            if len(recent) < 2:
                restarts.append(now)
                budgets[which % daemons] = make_budget()
        elif kind == "load":
            for _ in range(amount):
                budget.admitted(_request())
                requests.append(now)
        else:
            for _ in range(amount):
                if budget.spend(_request()):
                    retries.append(now)
    for start in retries:
        inside = sum(start <= at < start + _WINDOW_S for at in retries)
        windows = (start, start - _WINDOW_S / 2, start - _WINDOW_S)
        counted = max(
            sum(begin <= at < begin + _WINDOW_S for at in requests)
            for begin in windows
        )
        assert inside <= _RETRIES_PER_REQUEST * counted + _BURST


def test_a_daemon_that_has_just_started_sends_no_repeats() -> None:
    """Fails if a daemon assumes that it is alone until it sees others.

    When half of the VMs are killed at once, each daemon would restart with a
    quarter of the fleet's burst.
    """
    budget = retry_budget.FleetBudget(_RETRIES_PER_REQUEST, _BURST)
    assert not budget.spend(_request())
    budget.set_live_daemons(9)
    budget.admitted(_request())
    assert budget.spend(_request())


def test_a_daemon_that_loses_sight_of_the_others_keeps_its_part() -> None:
    budget = retry_budget.FleetBudget(_RETRIES_PER_REQUEST, _BURST)
    budget.set_live_daemons(9)
    burst = budget.burst
    budget.set_live_daemons(1)
    assert budget.burst == burst
