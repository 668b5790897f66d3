"""Creates the refusals of the scheduler with the correct run state."""

from figstream import errors
from figstream import reasons
from figstream import scheduler_api


def make_refusal(
    request: scheduler_api.PendingRequest,
    reason: reasons.RefusalReason,
    retry_after_s: float | None,
) -> errors.Refusal:
    """Returns a refusal whose run state reflects earlier attempts.

    A request may have run if it had more attempts than those known not to
    have run.
    """
    run_state = (
        reasons.RunState.MAY_HAVE_RUN
        if request.attempt > request.attempts_not_run
        else reasons.RunState.NOT_RUN
    )
    return errors.Refusal(reason, run_state, retry_after_s=retry_after_s)
