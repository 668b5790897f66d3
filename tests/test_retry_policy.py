"""Tests that retries are safe, before the deadline and within the budget.

The property test fails if the policy omits one of these: the check of
`request.idempotent`, the bound `remaining_s` in `_delay_s`, the call of
`RetryBudget.spend`, the check of `events_relayed`.
"""

from collections.abc import Sequence
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from figstream import attempt_outcome
from figstream import reasons
from figstream import request_class
from figstream import retry_budget
from figstream import retry_policy
from figstream import scheduler_api

_R = reasons.RetryReason
_REFUSED = attempt_outcome.not_run(_R.REFUSED_BY_SERVER)
_OUTCOMES = (
    attempt_outcome.not_run(_R.CONNECT_FAILED),
    _REFUSED,
    dataclasses.replace(_REFUSED, retry_after_s=1.5),
    *(
        attempt_outcome.may_have_run(reason, events)
        for reason in (
            _R.FIRST_BYTE_TIMEOUT,
            _R.CONNECTION_LOST,
            _R.ANSWER_TRUNCATED,
            _R.SERVER_ERROR,
            _R.PREEMPTED,
        )
        for events in (0, 4)
    ),
)
_ATTEMPTS = st.lists(
    st.tuples(st.sampled_from(_OUTCOMES), st.floats(0, 3)),
    min_size=1,
    max_size=8,
)
_REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(("chat", "batch")),
        st.booleans(),
        st.booleans(),
        st.floats(0.1, 8),
        _ATTEMPTS,
    ),
    min_size=1,
    max_size=40,
)


def _request(
    class_name: str = "chat",
    *,
    idempotent: bool = True,
    resumable: bool = False,
    deadline: float = 60.0,
) -> scheduler_api.PendingRequest:
    return scheduler_api.PendingRequest(
        "r",
        "c",
        request_class.RequestClass(class_name),
        0.0,
        deadline,
        idempotent=idempotent,
        resumable=resumable,
    )


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(_REQUESTS, st.integers(0, 5))
def test_repeats_are_safe_in_time_and_within_the_budget(
    plan: Sequence[
        tuple[
            str,
            bool,
            bool,
            float,
            Sequence[tuple[attempt_outcome.Failed, float]],
        ]
    ],
    seed: int,
) -> None:
    policy = retry_policy.RetryPolicy(
        random.Random(seed), retry_budget.ClassBudget()
    )
    admitted = dict.fromkeys(("chat", "batch"), 0)
    retried = dict.fromkeys(("chat", "batch"), 0)
    for name, idempotent, resumable, deadline, attempts in plan:
        request = _request(
            name, idempotent=idempotent, resumable=resumable, deadline=deadline
        )
        policy.admitted(request)
        admitted[name] += 1
        retried[name] += _run_attempts(policy, request, attempts)
        allowed = retry_budget.RETRY_BURST
        allowed += retry_budget.RETRIES_PER_REQUEST * admitted[name]
        assert retried[name] <= allowed


def _run_attempts(
    policy: retry_policy.RetryPolicy,
    request: scheduler_api.PendingRequest,
    attempts: Sequence[tuple[attempt_outcome.Failed, float]],
) -> int:
    """Runs one request; returns how many retries used the budget."""
    now, retries = 0.0, 0
    for outcome, took_s in attempts:
        now += took_s
        request.attempt += 1
        decision = policy.decide(request, outcome, now)
        if isinstance(decision, retry_policy.GiveUp):
            assert decision.refusal.run_state is outcome.run_state
            break
        refused = outcome.run_state is reasons.RunState.NOT_RUN
        assert request.idempotent or refused
        assert decision.delay_s >= (outcome.retry_after_s or 0.0)
        assert now + decision.delay_s <= request.deadline
        relayed = outcome.events_relayed > 0
        assert isinstance(decision, retry_policy.Resume) == relayed
        assert not relayed or request.resumable
        assert decision.reason is outcome.reason
        preempted = outcome.reason is _R.PREEMPTED
        assert preempted or request.attempt < scheduler_api.ATTEMPT_LIMIT
        retries += not preempted
        now += decision.delay_s
    return retries


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [
        (_OUTCOMES[0], "backend_server_failed"),
        (_REFUSED, "backend_server_refused"),
        (
            attempt_outcome.may_have_run(_R.ANSWER_TRUNCATED),
            "answer_incomplete",
        ),
    ],
)
def test_a_class_out_of_budget_is_told_so_and_others_go_on(
    outcome: attempt_outcome.Failed, reason: str
) -> None:
    policy = retry_policy.make_retry_policy()
    decisions = [
        policy.decide(_request(), outcome, 1.0)
        for _ in range(int(retry_budget.RETRY_BURST) + 1)
    ]
    last = decisions.pop()
    assert all(isinstance(item, retry_policy.RetryAfter) for item in decisions)
    assert isinstance(last, retry_policy.GiveUp)
    assert last.refusal.reason.value == "retry_budget_spent"
    other = _request("batch")
    assert isinstance(
        policy.decide(other, outcome, 1.0), retry_policy.RetryAfter
    )
    other.attempt = scheduler_api.ATTEMPT_LIMIT
    spent = policy.decide(other, outcome, 1.0)
    assert isinstance(spent, retry_policy.GiveUp)
    assert spent.refusal.reason.value == reason
