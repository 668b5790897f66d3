"""Lets request tasks wait for the scheduler's decision.

The scheduler does no input or output. The gate offers a request, waits until
the scheduler dispatches or refuses it, and polls the scheduler whenever
something may have changed.
"""

from collections.abc import Iterator
import contextlib
from typing import Final

import anyio
import attrs

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import errors
from figstream import scheduler_api

# Seconds; bounds the polls of a scheduler that asks for one at once.
_MIN_POLL_INTERVAL_S: Final = 0.005

Verdict = scheduler_api.Dispatched | errors.Refusal


@attrs.define(eq=False)
class _Waiter:
    """A request task that waits for its verdict."""

    ready: anyio.Event = attrs.field(factory=anyio.Event)
    verdict: Verdict | None = None


class DispatchGate:
    """Connects request tasks to the scheduler."""

    def __init__(
        self, scheduler: scheduler_api.Scheduler, clock: clock_lib.Clock
    ) -> None:
        """Serves request tasks from one scheduler."""
        self._scheduler = scheduler
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}
        self._running: dict[str, anyio.CancelScope] = {}
        self._wake = anyio.Event()

    @property
    def waiting(self) -> int:
        """Returns the number of requests waiting for a verdict."""
        return len(self._waiters)

    async def dispatch(self, request: scheduler_api.PendingRequest) -> Verdict:
        """Waits until the request is dispatched or refused."""
        refusal = self._scheduler.offer(request, self._clock.now())
        if refusal:
            self.poll()
            return refusal
        waiter = self._waiters[request.request_id] = _Waiter()
        self.poll()
        try:
            await waiter.ready.wait()
        except BaseException:
            self._abandon(request, waiter)
            raise
        finally:
            self._waiters.pop(request.request_id, None)
        assert waiter.verdict is not None
        return waiter.verdict

    @contextlib.contextmanager
    def preemptible(
        self, request: scheduler_api.PendingRequest
    ) -> Iterator[anyio.CancelScope]:
        """Lets the scheduler cancel the attempt made within the scope."""
        with anyio.CancelScope() as scope:
            self._running[request.request_id] = scope
            try:
                yield scope
            finally:
                del self._running[request.request_id]

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Reports the end of an attempt and dispatches what may follow."""
        self._scheduler.finish(request, server, report, self._clock.now())
        self.poll()

    def poll(self) -> None:
        """Carries out every decision that is due."""
        for decision in self._scheduler.poll(self._clock.now()):
            self._carry_out(decision)
        self._wake.set()

    async def run(self) -> None:
        """Polls when the scheduler asks for it; runs until cancelled."""
        while True:
            now = self._clock.now()
            delay_s = max(0.0, self._scheduler.next_poll_at(now) - now)
            self._wake = anyio.Event()
            with anyio.move_on_after(max(delay_s, _MIN_POLL_INTERVAL_S)):
                await self._wake.wait()
                continue
            self.poll()

    def _abandon(
        self, request: scheduler_api.PendingRequest, waiter: _Waiter
    ) -> None:
        # The verdict may have come just before the task was cancelled.
        if isinstance(waiter.verdict, scheduler_api.Dispatched):
            report = scheduler_api.AttemptReport(
                scheduler_api.AttemptResult.CANCELLED
            )
            self.finish(request, waiter.verdict.server, report)
        elif waiter.verdict is None:
            self._scheduler.withdraw(request, self._clock.now())

    def _carry_out(self, decision: scheduler_api.Decision) -> None:
        request_id = decision.request.request_id
        if isinstance(decision, scheduler_api.Preempt):
            if scope := self._running.get(request_id):
                scope.cancel()
            return
        waiter = self._waiters.get(request_id)
        if isinstance(decision, scheduler_api.Dropped):
            verdict: Verdict = decision.refusal
        else:
            verdict = decision
        if waiter:
            waiter.verdict = verdict
            waiter.ready.set()
