"""One stay of a call at a backend server: attempts, resumes, their records.

A stream that breaks is resumed at the same server, which alone can go on
with it. Crashes are blamed on what ran there.
"""

import time

import attrs

from figstream import attempt_outcome
from figstream import authentication
from figstream import backend_client
from figstream import backend_dialect
from figstream import backend_server
from figstream import blame_api
from figstream import claims_api
from figstream import clock as clock_lib
from figstream import dispatch_gate
from figstream import engine_protocol
from figstream import inbound
from figstream import reasons
from figstream import request_records
from figstream import retry_policy
from figstream import scheduler_api
from figstream import server_health
from figstream import stream_monitor
from figstream import stream_relay
from figstream import usage_api

_RESULTS = scheduler_api.AttemptResult
_FAILED_RESULTS = {
    reasons.RetryReason.PREEMPTED: _RESULTS.PREEMPTED,
    reasons.RetryReason.REFUSED_BY_SERVER: _RESULTS.REFUSED,
}


@attrs.frozen
class PathRules:
    """What differs between the fronts that callers use.

    Attributes:
      terminator: what a complete stream ends with, b"" for nothing.
      pace_s: shortest time between two reads of a stream.
      resumes_anywhere: whether a broken stream may go on at another server.
      counts_starts: whether usage is what servers began to run, rather than
        what they answered.
    """

    terminator: bytes = engine_protocol.TERMINATOR
    pace_s: float = stream_relay.PACE_S
    resumes_anywhere: bool = False
    counts_starts: bool = False


@attrs.frozen
class RequestServices:
    """What the request path works with."""

    clock: clock_lib.Clock
    authenticator: authentication.Authenticator
    gate: dispatch_gate.DispatchGate
    backends: backend_client.BackendClient
    health: server_health.HealthListener
    retries: retry_policy.RetryPolicy
    claims: claims_api.ClaimJournal
    blame: blame_api.BlameTable
    usage: usage_api.UsageLedger
    records: request_records.RequestRecords
    rules: PathRules = PathRules()


@attrs.define
class Progress:
    """How far a call has come.

    Attributes:
      call: the checked call.
      pending: the call as the scheduler sees it.
      relay: the relay to the caller.
      run_state: whether any attempt so far may have run.
      resume: whether the next attempt goes on with the caller's part.
    """

    call: inbound.Call
    pending: scheduler_api.PendingRequest
    relay: stream_relay.StreamRelay
    run_state: reasons.RunState = reasons.RunState.NOT_RUN
    resume: bool = False


class RequestAttempts:
    """Makes attempts at backend servers and records how they ended."""

    def __init__(self, services: RequestServices) -> None:
        """Works with the daemon's services."""
        self._services = services

    async def on_server(
        self, progress: Progress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        """Sends the call to the server, and gives its slot back after."""
        started_at = time.monotonic()
        outcome: attempt_outcome.AttemptOutcome | None = None
        try:
            outcome = await self._with_resumes(progress, dispatched)
        finally:
            report = _report(progress, outcome, started_at)
            self._services.gate.finish(
                progress.pending, dispatched.server, report
            )
            if outcome is None and not self._services.rules.counts_starts:
                self._count_usage(progress, report)
            if _is_wasted(outcome):
                self._services.records.wasted(
                    progress.call, report.output_tokens
                )
        if isinstance(outcome, attempt_outcome.Answered):
            self._answered(progress, report, dispatched.server)
        return outcome

    async def _with_resumes(
        self, progress: Progress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        while True:
            outcome = await self._blamable(progress, dispatched)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
            preempted = outcome.reason is reasons.RetryReason.PREEMPTED
            elsewhere = self._services.rules.resumes_anywhere
            if preempted or elsewhere or not outcome.events_relayed:
                return outcome
            decision = self._services.retries.decide(
                progress.pending, outcome, self._services.clock.now()
            )
            if not isinstance(decision, retry_policy.Resume):
                return outcome
            progress.pending.attempt += 1
            progress.resume = True
            self.retried(progress, outcome, dispatched.server)
            await self._services.clock.sleep(decision.delay_s)
            valid = self._services.authenticator.still_valid
            if valid(progress.call.identity):
                return outcome

    async def _blamable(
        self, progress: Progress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        services = self._services
        server = dispatched.server
        fingerprint = progress.pending.fingerprint
        services.blame.started(fingerprint, server.name, services.clock.now())
        outcome: attempt_outcome.AttemptOutcome | None = None
        try:
            outcome = await self._attempt(progress, dispatched)
        finally:
            services.blame.ended(
                fingerprint,
                server.name,
                services.clock.now(),
                complete=isinstance(outcome, attempt_outcome.Answered),
            )
        return outcome

    async def _attempt(
        self, progress: Progress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        services = self._services
        server = dispatched.server
        outcome: attempt_outcome.AttemptOutcome | None = None
        before = progress.run_state
        progress.run_state = reasons.RunState.MAY_HAVE_RUN
        with services.gate.preemptible(progress.pending):
            outcome = await services.backends.attempt(
                backend_dialect.Attempt(
                    progress.call,
                    server,
                    progress.relay,
                    progress.resume,
                    dispatched.prompt_source,
                ),
                lambda: self._started(progress),
            )
        if outcome is None:
            outcome = attempt_outcome.may_have_run(
                reasons.RetryReason.PREEMPTED, progress.relay.events_relayed
            )
        if isinstance(outcome, attempt_outcome.Failed):
            if outcome.run_state is reasons.RunState.NOT_RUN:
                progress.run_state = before
                progress.pending.attempts_not_run += 1
            if outcome.reason is reasons.RetryReason.CONNECT_FAILED:
                progress.pending.attempts_unsent += 1
            await self._examine(outcome, server)
        return outcome

    async def _examine(
        self,
        outcome: attempt_outcome.Failed,
        server: backend_server.BackendServer,
    ) -> None:
        if outcome.reason is reasons.RetryReason.CONNECT_FAILED:
            self._services.health.unreachable(server.name)
        elif outcome.server_lost:
            await self._services.health.check_for_crash(
                server, self._services.backends
            )

    def retried(
        self,
        progress: Progress,
        outcome: attempt_outcome.Failed,
        server: backend_server.BackendServer,
    ) -> None:
        """Records that a failed attempt is followed by another one."""
        self._services.records.retried(
            progress.call, outcome.reason, server.name, outcome.detail
        )

    def _started(self, progress: Progress) -> None:
        if not self._services.rules.counts_starts:
            return
        call = progress.call
        self._services.usage.add(
            usage_api.UsageItem(
                call.identity.customer,
                call.request_class.name,
                prompt_tokens=call.prompt_tokens,
            )
        )

    def _answered(
        self,
        progress: Progress,
        report: scheduler_api.AttemptReport,
        server: backend_server.BackendServer,
    ) -> None:
        if not self._services.rules.counts_starts:
            self._count_usage(progress, report)
        relay = progress.relay
        steps = relay.monitor.output_tokens - 1
        between_s = 0.0
        if steps > 0:
            between_s = (relay.last_byte_at - relay.first_byte_at) / steps
        if not relay.events_relayed:
            self._services.records.started(progress.call)
        self._services.records.answered(progress.call, server.name, between_s)

    def _count_usage(
        self, progress: Progress, report: scheduler_api.AttemptReport
    ) -> None:
        self._services.records.consumed(
            progress.call, report.prompt_tokens, report.output_tokens
        )
        self._services.usage.add(
            usage_api.UsageItem(
                progress.call.identity.customer,
                progress.call.request_class.name,
                prompt_tokens=report.prompt_tokens,
                output_tokens=report.output_tokens,
            )
        )


def _is_wasted(outcome: attempt_outcome.AttemptOutcome | None) -> bool:
    """Tells whether what an attempt generated is thrown away."""
    if isinstance(outcome, attempt_outcome.Answered):
        return False
    # A preempted stream goes on after the part that its caller has.
    preempted = reasons.RetryReason.PREEMPTED
    return outcome is None or outcome.reason is not preempted


def _report(
    progress: Progress,
    outcome: attempt_outcome.AttemptOutcome | None,
    started_at: float,
) -> scheduler_api.AttemptReport:
    monitor = progress.relay.monitor
    result = _RESULTS.CANCELLED
    if isinstance(outcome, attempt_outcome.Answered):
        result = _RESULTS.ANSWERED
        if outcome.body:
            monitor = stream_monitor.StreamMonitor(streamed=False)
            monitor.feed(outcome.body)
    elif outcome:
        result = _FAILED_RESULTS.get(outcome.reason, _RESULTS.FAILED)
    usage = monitor.usage()
    first_at = progress.relay.first_byte_at
    return scheduler_api.AttemptReport(
        result,
        output_tokens=usage.output_tokens or monitor.output_tokens,
        prompt_tokens=usage.prompt_tokens or progress.pending.prompt_tokens,
        first_byte_s=max(0.0, first_at - started_at),
        total_s=time.monotonic() - started_at,
    )
