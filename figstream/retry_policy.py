"""Decides what follows a failed attempt: a retry, a resume or giving up."""

import dataclasses
import random
from typing import Final

from figstream import attempt_outcome
from figstream import errors
from figstream import reasons
from figstream import scheduler_api

_MAX_ATTEMPTS: Final = 3
_BASE_DELAY_S: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again from the start, on any backend server."""

    delay_s: float
    reason: reasons.RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Go on with the stream at the same engine."""

    delay_s: float
    reason: reasons.RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Refuse the request now."""

    refusal: errors.Refusal


RetryDecision = RetryAfter | Resume | GiveUp


class RetryPolicy:
    """Retries within the deadline, a few times."""

    def __init__(self, source: random.Random) -> None:
        """Draws delays from a source of random numbers."""
        self._random = source

    def admitted(self, request_class: str) -> None:
        """Takes note of a request, which earns its class retry budget."""

    def decide(
        self,
        request: scheduler_api.PendingRequest,
        outcome: attempt_outcome.Failed,
        now: float,
    ) -> RetryDecision:
        """Decides what follows a failed attempt."""
        delay_s = self._random.uniform(0, _BASE_DELAY_S * 2**request.attempt)
        safe = request.idempotent or (
            outcome.run_state is reasons.RunState.NOT_RUN
        )
        in_time = now + delay_s < request.deadline
        if not safe or not in_time or request.attempt >= _MAX_ATTEMPTS:
            return GiveUp(_refusal(outcome))
        if not outcome.events_relayed:
            return RetryAfter(delay_s, outcome.reason)
        if request.resumable:
            return Resume(delay_s, outcome.reason)
        return GiveUp(_refusal(outcome))


def _refusal(outcome: attempt_outcome.Failed) -> errors.Refusal:
    reason = reasons.RefusalReason.BACKEND_SERVER_FAILED
    if outcome.events_relayed:
        reason = reasons.RefusalReason.ANSWER_INCOMPLETE
    return errors.Refusal(
        reason, outcome.run_state, detail=outcome.reason.value
    )


def make_retry_policy() -> RetryPolicy:
    """Creates the policy that `figstream serve` runs."""
    return RetryPolicy(random.Random())
