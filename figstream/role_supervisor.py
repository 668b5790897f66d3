"""Restarts the background roles of a daemon when they stop.

A role that returns or fails is logged, counted and restarted after a delay.
A fault in one role therefore does not stop the daemon, which would break the
streams in flight, and does not go unnoticed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import logs
from figstream import metrics as metrics_lib

_ENDED: Final = "ended"
# Bounds the number of log lines of a role that fails immediately.
RESTART_DELAY_S: Final = 1.0


async def keep_running(
    role: daemon_context.Role,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
) -> None:
    """Runs a role until cancelled, and restarts it when it stops."""
    name = type(role).__name__
    while True:
        reason = await _run_once(role.run)
        logs.error("role_stopped", role=name, reason=reason)
        metrics.event("role_restarted")
        await clock.sleep(RESTART_DELAY_S)


async def hand_over(role: daemon_context.Role) -> None:
    """Has a role hand over; a failure is logged and stops nothing else.

    Requests are still in flight while the first roles hand over.
    """
    reason = await _run_once(role.hand_over)
    if reason != _ENDED:
        logs.error("hand_over_failed", role=type(role).__name__, reason=reason)


async def _run_once(run: Callable[[], Awaitable[None]]) -> str:
    """Runs a part of a role; returns the reason why it stopped."""
    try:
        await run()
    except asyncio.CancelledError:
        # grpc.aio also raises this error for calls that it has cancelled
        # itself. Only a cancellation of this task is propagated.
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        return "stray_cancellation"
    except Exception as error:
        return type(error).__name__
    return _ENDED
