"""Tests that a role is restarted when it returns, fails or is cancelled."""

import asyncio

import anyio
import anyio.lowlevel
import attrs
import pytest

from figstream import clock
from figstream import metrics
from figstream import role_supervisor


@attrs.define
class _StoppingRole:
    """Stops with the given error, or returns, three times; then runs on."""

    stop: BaseException | None
    runs: int = 0
    fourth_run_started: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self) -> None:
        self.runs += 1
        if self.runs > 3:
            self.fourth_run_started.set()
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        if self.stop:
            raise self.stop

    async def hand_over(self) -> None:
        await self.run()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "stop", [None, ValueError("broken"), asyncio.CancelledError()]
)
async def test_a_stopped_role_runs_again_until_it_is_cancelled(
    stop: BaseException | None,
) -> None:
    """Fails when `_run_once` propagates the error."""
    role = _StoppingRole(stop)
    async with anyio.create_task_group() as group:
        group.start_soon(
            role_supervisor.keep_running,
            role,
            clock.ManualClock(),
            metrics.make_unexported_metrics(),
        )
        with anyio.fail_after(10):
            await role.fourth_run_started.wait()
        group.cancel_scope.cancel()
    assert role.runs == 4


@pytest.mark.anyio
@pytest.mark.parametrize(
    "stop", [None, ValueError("broken"), asyncio.CancelledError()]
)
async def test_a_role_that_fails_to_hand_over_stops_nothing_else(
    stop: BaseException | None, caplog: pytest.LogCaptureFixture
) -> None:
    """Fails if the shutdown of a daemon ends with the error of one role."""
    role = _StoppingRole(stop)
    await role_supervisor.hand_over(role)
    assert role.runs == 1
    assert ("hand_over_failed" in caplog.text) == bool(stop)
