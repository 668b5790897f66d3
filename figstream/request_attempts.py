"""Makes the attempts of a dispatched request at one backend server.

An interrupted stream is resumed at the same server, because only that server
has its state. Records usage and outcomes, and reports to the blame table
which requests ran when a server crashed.
"""

import time

import attrs

from figstream import attempt_outcome
from figstream import authentication
from figstream import backend_client
from figstream import backend_dialect
from figstream import backend_server
from figstream import blame_api
from figstream import caller_presence
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
from figstream import stream_software
from figstream import usage_api

_RESULTS = scheduler_api.AttemptResult
_FAILED_RESULTS = {
    reasons.RetryReason.PREEMPTED: _RESULTS.PREEMPTED,
    reasons.RetryReason.REFUSED_BY_SERVER: _RESULTS.REFUSED,
}


@attrs.frozen
class PathRules:
    """Rules that differ between the daemon's own front and the gateway.

    Attributes:
      terminator: bytes that end a complete stream, b"" for none.
      read_interval_s: minimum interval between two reads of a stream.
      resumes_anywhere: whether an interrupted stream may be resumed at
        another server.
      counts_started_requests: whether usage counts the requests that servers
        started rather than those that they answered.
    """

    terminator: bytes = engine_protocol.TERMINATOR
    read_interval_s: float = stream_relay.READ_INTERVAL_S
    resumes_anywhere: bool = False
    counts_started_requests: bool = False


@attrs.frozen
class RequestServices:
    """The services of the daemon that the request path uses."""

    clock: clock_lib.Clock
    authenticator: authentication.Authenticator
    gate: dispatch_gate.DispatchGate
    backends: backend_client.BackendClient
    health: server_health.HealthListener
    retries: retry_policy.RetryPolicy
    claims: claims_api.ClaimJournal
    blame: blame_api.BlameTable
    prompts: blame_api.PromptTable
    usage: usage_api.UsageLedger
    records: request_records.RequestRecords
    streams: stream_software.StreamVersions
    rules: PathRules = PathRules()


@attrs.define
class RequestProgress:
    """The progress of a request over all its attempts.

    Attributes:
      call: the validated request.
      pending: the request in the form that the scheduler uses.
      relay: the relay of the answer to the caller.
      caller: whether the caller is still there.
      run_state: whether any attempt so far ran or may have run.
      resume: whether the next attempt resumes the stream after the events
        that the caller already has.
      stream: the stream, if it may go on at another server.
      software: version of the software of the server that began the stream or
        was sent the last attempt.
    """

    call: inbound.Call
    pending: scheduler_api.PendingRequest
    relay: stream_relay.StreamRelay
    caller: caller_presence.CallerPresence
    run_state: reasons.RunState = reasons.RunState.NOT_RUN
    resume: bool = False
    stream: stream_software.Stream | None = None
    software: str = ""


class RequestAttempts:
    """Makes attempts at backend servers and records their outcomes."""

    def __init__(self, services: RequestServices) -> None:
        """Initializes the attempts for a daemon's services."""
        self._services = services

    async def run_on_server(
        self, progress: RequestProgress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        """Sends the request to the server and releases the slot afterwards."""
        started_at = time.monotonic()
        outcome: attempt_outcome.AttemptOutcome | None = None
        try:
            outcome = await self._attempt_with_resumes(progress, dispatched)
        finally:
            report = _make_report(progress, outcome, started_at)
            self._services.gate.finish(
                progress.pending, dispatched.server, report
            )
            if (
                outcome is None
                and not self._services.rules.counts_started_requests
            ):
                self._count_usage(progress, report)
            if _is_wasted(outcome):
                self._services.records.wasted(
                    progress.call, report.output_tokens
                )
        if isinstance(outcome, attempt_outcome.Answered):
            self._record_answered(progress, report, dispatched.server)
        return outcome

    async def _attempt_with_resumes(
        self, progress: RequestProgress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        while True:
            outcome = await self._attempt_with_blame(progress, dispatched)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
            preempted = outcome.reason is reasons.RetryReason.PREEMPTED
            resume_elsewhere = self._services.rules.resumes_anywhere
            if preempted or resume_elsewhere or not outcome.events_relayed:
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

    async def _attempt_with_blame(
        self, progress: RequestProgress, dispatched: scheduler_api.Dispatched
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
                complete=_shows_soundness(outcome),
            )
        if _shows_soundness(outcome):
            services.prompts.answered(
                progress.call.prompt_parts, services.clock.now()
            )
        return outcome

    async def _attempt(
        self, progress: RequestProgress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        services = self._services
        server = dispatched.server
        outcome: attempt_outcome.AttemptOutcome | None = None
        run_state_before = progress.run_state
        if not progress.relay.events_relayed:
            progress.software = server.software
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
                lambda: self._count_started(progress),
            )
        if outcome is None:
            outcome = attempt_outcome.may_have_run(
                reasons.RetryReason.PREEMPTED, progress.relay.events_relayed
            )
        if isinstance(outcome, attempt_outcome.Failed):
            if outcome.run_state is reasons.RunState.NOT_RUN:
                progress.run_state = run_state_before
                progress.pending.attempts_not_run += 1
            if outcome.reason is reasons.RetryReason.CONNECT_FAILED:
                progress.pending.attempts_unsent += 1
            if outcome.reason is reasons.RetryReason.REFUSAL_UNPROVEN:
                services.records.refusal_unproven(
                    progress.call, server.name, outcome.detail
                )
            await self._update_health(progress, outcome, server)
        return outcome

    async def _update_health(
        self,
        progress: RequestProgress,
        outcome: attempt_outcome.Failed,
        server: backend_server.BackendServer,
    ) -> None:
        services = self._services
        if outcome.reason is reasons.RetryReason.CONNECT_FAILED:
            services.health.unreachable(server.name)
        elif outcome.server_lost:
            gone = await services.health.check_for_crash(
                server, services.backends
            )
            if gone:
                services.prompts.crashed(
                    progress.call.prompt_parts,
                    server.name,
                    services.clock.now(),
                )
                services.records.lost_with_server(
                    progress.call, server.name, outcome.events_relayed
                )

    def retried(
        self,
        progress: RequestProgress,
        outcome: attempt_outcome.Failed,
        server: backend_server.BackendServer,
    ) -> None:
        """Records that a failed attempt is retried."""
        self._services.records.retried(
            progress.call, outcome.reason, server.name, outcome.detail
        )

    def _count_started(self, progress: RequestProgress) -> None:
        if not self._services.rules.counts_started_requests:
            return
        call = progress.call
        self._services.usage.add(
            usage_api.UsageItem(
                call.identity.customer,
                call.request_class.name,
                prompt_tokens=call.prompt_tokens,
            )
        )

    def _record_answered(
        self,
        progress: RequestProgress,
        report: scheduler_api.AttemptReport,
        server: backend_server.BackendServer,
    ) -> None:
        if not self._services.rules.counts_started_requests:
            self._count_usage(progress, report)
        relay = progress.relay
        intervals = relay.monitor.output_tokens - 1
        token_interval_s = 0.0
        if intervals > 0:
            token_interval_s = (
                relay.last_byte_at - relay.first_byte_at
            ) / intervals
        if not relay.events_relayed:
            self._services.records.started(progress.call)
        self._services.records.answered(
            progress.call, server.name, token_interval_s
        )

    def _count_usage(
        self, progress: RequestProgress, report: scheduler_api.AttemptReport
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


def _shows_soundness(outcome: attempt_outcome.AttemptOutcome | None) -> bool:
    """Returns whether an outcome proves that the server survived the run."""
    return isinstance(outcome, attempt_outcome.Answered) and outcome.framed


def _is_wasted(outcome: attempt_outcome.AttemptOutcome | None) -> bool:
    """Returns whether the tokens that an attempt generated are discarded."""
    if isinstance(outcome, attempt_outcome.Answered):
        return False
    # A preempted stream is resumed after the events that its caller has.
    preempted = reasons.RetryReason.PREEMPTED
    return outcome is None or outcome.reason is not preempted


def _make_report(
    progress: RequestProgress,
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
