"""Decides whether a failed attempt is retried, resumed or given up.

A retry must be safe, start before the deadline and be within the retry budget.
The backoff is exponential with full jitter and ends before the caller's
deadline.
"""

import dataclasses
import random
from typing import Final

from figstream import attempt_outcome
from figstream import errors
from figstream import reasons
from figstream import retry_budget
from figstream import scheduler_api

# A request is given up after more unreachable servers than this.
UNREACHABLE_SERVERS_LIMIT: Final = 3
# A few round trips between zones.
FIRST_BACKOFF_CEILING_S: Final = 0.025
# A server restarts in about that time.
MAX_BACKOFF_CEILING_S: Final = 2.0

_REFUSALS: Final = {
    reasons.RetryReason.REFUSED_BY_SERVER: (
        reasons.RefusalReason.BACKEND_SERVER_REFUSED
    ),
    reasons.RetryReason.ANSWER_TRUNCATED: (
        reasons.RefusalReason.ANSWER_INCOMPLETE
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """The request is returned to the scheduler after the delay."""

    delay_s: float
    reason: reasons.RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """The stream is resumed at the engine after the delay."""

    delay_s: float
    reason: reasons.RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The caller gets this refusal, as an error event in a started stream."""

    refusal: errors.Refusal


RetryDecision = RetryAfter | Resume | GiveUp


class RetryPolicy:
    """The retry rules of one daemon."""

    def __init__(
        self, jitter: random.Random, budget: retry_budget.RetryBudget
    ) -> None:
        """Initializes the policy with a source of jitter and a retry budget."""
        self._jitter = jitter
        self._budget = budget

    def admitted(self, request: scheduler_api.PendingRequest) -> None:
        """Adds a request's share to the retry budget."""
        self._budget.admitted(request)

    def decide(
        self,
        request: scheduler_api.PendingRequest,
        outcome: attempt_outcome.Failed,
        now: float,
    ) -> RetryDecision:
        """Decides how to proceed after a failed attempt."""
        if outcome.events_relayed and not request.resumable:
            return _give_up(outcome, _refusal_reason(outcome))
        ran = outcome.run_state is not reasons.RunState.NOT_RUN
        if ran and not request.idempotent:
            return _give_up(outcome, _refusal_reason(outcome))
        # A preemption is the daemon's own decision, not a fault of the server.
        preempted = outcome.reason is reasons.RetryReason.PREEMPTED
        uncharged = preempted or self._is_uncharged(outcome)
        if self._attempts_spent(request, outcome) and not preempted:
            return _give_up(outcome, _refusal_reason(outcome))
        delay_s = self._delay_s(request, outcome, now)
        if delay_s is None:
            return _give_up(outcome, reasons.RefusalReason.DEADLINE_PASSED)
        if not uncharged and not self._budget.spend(request):
            return _give_up(outcome, reasons.RefusalReason.RETRY_BUDGET_SPENT)
        if outcome.events_relayed:
            return Resume(delay_s, outcome.reason)
        return RetryAfter(delay_s, outcome.reason)

    def _is_uncharged(self, outcome: attempt_outcome.Failed) -> bool:
        """Returns whether a retry is not charged to the budget.

        An attempt that reached no server put no load on any server.
        """
        unsent = outcome.reason is reasons.RetryReason.CONNECT_FAILED
        return unsent and not self._budget.charges_unsent

    def _attempts_spent(
        self,
        request: scheduler_api.PendingRequest,
        outcome: attempt_outcome.Failed,
    ) -> bool:
        if self._budget.charges_unsent:
            return request.attempt >= request.attempt_limit
        if request.attempts_unsent > UNREACHABLE_SERVERS_LIMIT:
            return True
        sent = request.attempt - request.attempts_unsent
        return sent >= request.attempt_limit and not self._is_uncharged(outcome)

    def _delay_s(
        self,
        request: scheduler_api.PendingRequest,
        outcome: attempt_outcome.Failed,
        now: float,
    ) -> float | None:
        """Returns the backoff, or None if the deadline comes first."""
        remaining_s = request.deadline - now
        min_delay_s = outcome.retry_after_s or 0.0
        if remaining_s <= min_delay_s:
            return None
        doublings = max(request.attempt - 1, 0)
        ceiling_s = min(
            MAX_BACKOFF_CEILING_S, FIRST_BACKOFF_CEILING_S * 2.0**doublings
        )
        max_delay_s = min(min_delay_s + ceiling_s, remaining_s)
        return min_delay_s + (max_delay_s - min_delay_s) * self._jitter.random()


def make_retry_policy(
    budget: retry_budget.RetryBudget | None = None,
) -> RetryPolicy:
    """Creates a policy, with budgets by request class by default."""
    return RetryPolicy(random.Random(), budget or retry_budget.ClassBudget())


def _refusal_reason(outcome: attempt_outcome.Failed) -> reasons.RefusalReason:
    if outcome.events_relayed:
        return reasons.RefusalReason.ANSWER_INCOMPLETE
    return _REFUSALS.get(
        outcome.reason, reasons.RefusalReason.BACKEND_SERVER_FAILED
    )


def _give_up(
    outcome: attempt_outcome.Failed, reason: reasons.RefusalReason
) -> GiveUp:
    refusal = errors.Refusal(
        reason,
        outcome.run_state,
        outcome.reason.value,
        outcome.retry_after_s,
    )
    return GiveUp(refusal)
