"""Keeps the background roles of a daemon running.

A role that ends or fails is logged, counted and started again after a pause,
so that a fault in one of them neither stops the daemon, which would cut the
streams in flight, nor goes unnoticed.
"""

import asyncio
from typing import Final

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import logs
from figstream import metrics as metrics_lib

# Seconds; bounds the log lines of a role that fails at once.
RESTART_S: Final = 1.0


async def keep_running(
    role: daemon_context.Role,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
) -> None:
    """Runs a role until cancelled, again whenever it stops."""
    name = type(role).__name__
    while True:
        reason = await _run_once(role)
        logs.error("role_stopped", role=name, reason=reason)
        metrics.event("role_restarted")
        await clock.sleep(RESTART_S)


async def _run_once(role: daemon_context.Role) -> str:
    """Runs a role; returns why it stopped."""
    try:
        await role.run()
    except asyncio.CancelledError:
        # grpc.aio raises this error for calls that it cancelled itself; only
        # one that somebody asked this task for may pass.
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        return "stray_cancellation"
    except Exception as error:
        return type(error).__name__
    return "ended"
