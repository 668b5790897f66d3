"""Builds the scheduler's refusals with a true statement on what ran."""

from figstream import errors
from figstream import reasons
from figstream import scheduler_api


def make_refusal(
    request: scheduler_api.PendingRequest,
    reason: reasons.RefusalReason,
    retry_after_s: float | None,
) -> errors.Refusal:
    """Creates a refusal; a request that was attempted may have run.

    An attempt that surely did not run is undone in the request's state.
    """
    run_state = (
        reasons.RunState.MAY_HAVE_RUN
        if request.attempt > request.attempts_not_run
        else reasons.RunState.NOT_RUN
    )
    return errors.Refusal(reason, run_state, retry_after_s=retry_after_s)
