"""Connects the asynchronous request tasks to the scheduler.

The scheduler itself does no input or output. The gate offers a request to the
scheduler, blocks the request's task until the scheduler dispatches or refuses
the request, and polls the scheduler whenever its state may have changed.
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

# Bounds the rate of polls when the scheduler asks for an immediate poll.
_MIN_POLL_INTERVAL_S: Final = 0.005

DispatchResult = scheduler_api.Dispatched | errors.Refusal


@attrs.define(eq=False)
class _Waiter:
    """A request task that waits for the scheduler's decision."""

    ready: anyio.Event = attrs.field(factory=anyio.Event)
    result: DispatchResult | None = None


class DispatchGate:
    """Passes requests to the scheduler and its decisions to the tasks."""

    def __init__(
        self, scheduler: scheduler_api.Scheduler, clock: clock_lib.Clock
    ) -> None:
        """Creates a gate to one scheduler."""
        self._scheduler = scheduler
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}
        self._attempt_scopes: dict[str, anyio.CancelScope] = {}
        self._polled = anyio.Event()

    @property
    def waiting(self) -> int:
        """Returns the number of requests that wait for a decision."""
        return len(self._waiters)

    async def dispatch(
        self, request: scheduler_api.PendingRequest
    ) -> DispatchResult:
        """Returns the decision on a request, once the scheduler has made it."""
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
        assert waiter.result is not None
        return waiter.result

    @contextlib.contextmanager
    def preemptible(
        self, request: scheduler_api.PendingRequest
    ) -> Iterator[anyio.CancelScope]:
        """Creates a scope that is cancelled if the attempt is preempted."""
        with anyio.CancelScope() as scope:
            self._attempt_scopes[request.request_id] = scope
            try:
                yield scope
            finally:
                del self._attempt_scopes[request.request_id]

    def finish(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Reports the end of an attempt, then polls for new decisions."""
        self._scheduler.finish(request, server, report, self._clock.now())
        self.poll()

    def poll(self) -> None:
        """Applies every decision that is due."""
        for decision in self._scheduler.poll(self._clock.now()):
            self._apply(decision)
        self._polled.set()

    async def run(self) -> None:
        """Polls at the times the scheduler asks for; runs until cancelled."""
        while True:
            now = self._clock.now()
            delay_s = max(0.0, self._scheduler.next_poll_at(now) - now)
            self._polled = anyio.Event()
            with anyio.move_on_after(max(delay_s, _MIN_POLL_INTERVAL_S)):
                await self._polled.wait()
                continue
            self.poll()

    def _abandon(
        self, request: scheduler_api.PendingRequest, waiter: _Waiter
    ) -> None:
        # The scheduler may have decided just before the task was cancelled.
        if isinstance(waiter.result, scheduler_api.Dispatched):
            report = scheduler_api.AttemptReport(
                scheduler_api.AttemptResult.CANCELLED
            )
            self.finish(request, waiter.result.server, report)
        elif waiter.result is None:
            self._scheduler.withdraw(request, self._clock.now())

    def _apply(self, decision: scheduler_api.Decision) -> None:
        request_id = decision.request.request_id
        if isinstance(decision, scheduler_api.Preempt):
            if scope := self._attempt_scopes.get(request_id):
                scope.cancel()
            return
        waiter = self._waiters.get(request_id)
        if isinstance(decision, scheduler_api.Dropped):
            result: DispatchResult = decision.refusal
        else:
            result = decision
        if waiter:
            waiter.result = result
            waiter.ready.set()
