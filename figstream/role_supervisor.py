"""Restarts the background roles of a daemon when they stop.

A role that returns or fails is logged, counted and restarted after a delay.
A fault in one role therefore does not stop the daemon, which would break the
streams in flight, and does not go unnoticed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

import attrs

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import error_details
from figstream import logs
from figstream import metrics as metrics_lib

_ENDED: Final = "ended"
# Bounds the number of log lines of a role that fails immediately.
RESTART_DELAY_S: Final = 1.0


@attrs.frozen
class _Stop:
    """Why a part of a role stopped.

    Attributes:
      reason: type of the error, or what happened instead.
      detail: type, text and place of the error, "" without one.
    """

    reason: str
    detail: str = ""


async def keep_running(
    role: daemon_context.Role,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
) -> None:
    """Runs a role until cancelled, and restarts it when it stops."""
    name = type(role).__name__
    while True:
        stop = await _run_once(role.run)
        logs.error(
            "role_stopped", role=name, reason=stop.reason, detail=stop.detail
        )
        metrics.event("role_restarted")
        await clock.sleep(RESTART_DELAY_S)


async def hand_over(role: daemon_context.Role) -> None:
    """Has a role hand over; a failure is logged and stops nothing else.

    Requests are still in flight while the first roles hand over.
    """
    stop = await _run_once(role.hand_over)
    if stop.reason != _ENDED:
        logs.error(
            "hand_over_failed",
            role=type(role).__name__,
            reason=stop.reason,
            detail=stop.detail,
        )


async def _run_once(run: Callable[[], Awaitable[None]]) -> _Stop:
    """Runs a part of a role; returns why it stopped."""
    try:
        await run()
    except asyncio.CancelledError:
        # grpc.aio also raises this error for calls that it has cancelled
        # itself. Only a cancellation of this task is propagated.
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        return _Stop("stray_cancellation")
    except Exception as error:
        return _Stop(
            error_details.kind_of(error), error_details.describe(error)
        )
    return _Stop(_ENDED)
