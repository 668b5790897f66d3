"""The way of one checked call: claim, dispatch, attempts, answer.

Each call runs in the task of its connection. Whatever happens, the caller
gets exactly one answer or one refusal, and the refusal says whether the call
ran.
"""

import dataclasses
import time

import anyio
import attrs

from figstream import attempt_outcome
from figstream import authentication
from figstream import backend_client
from figstream import backend_server
from figstream import blame_api
from figstream import caller_answer
from figstream import claims_api
from figstream import clock as clock_lib
from figstream import dispatch_gate
from figstream import errors
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
_R = reasons.RefusalReason
_FAILED_RESULTS = {
    reasons.RetryReason.PREEMPTED: _RESULTS.PREEMPTED,
    reasons.RetryReason.REFUSED_BY_SERVER: _RESULTS.REFUSED,
}


@attrs.frozen
class RequestServices:
    """What the request path works with."""

    clock: clock_lib.Clock
    authenticator: authentication.Authenticator
    gate: dispatch_gate.DispatchGate
    backends: backend_client.BackendClient
    health: server_health.ServerHealth
    retries: retry_policy.RetryPolicy
    claims: claims_api.ClaimJournal
    blame: blame_api.BlameTable
    usage: usage_api.UsageLedger
    records: request_records.RequestRecords


@attrs.define
class _Progress:
    """How far a call has come."""

    call: inbound.Call
    pending: scheduler_api.PendingRequest
    relay: stream_relay.StreamRelay
    run_state: reasons.RunState = reasons.RunState.NOT_RUN


_Result = attempt_outcome.Answered | errors.Refusal


class RequestPath:
    """Carries calls to backend servers."""

    def __init__(self, services: RequestServices) -> None:
        """Works with the daemon's services."""
        self._services = services

    async def serve(
        self, call: inbound.Call, answer: caller_answer.CallerAnswer
    ) -> None:
        """Answers or refuses a call."""
        result = await self._guarded(call, answer)
        if isinstance(result, errors.Refusal):
            self._services.records.refused(call, result)
            await answer.refuse(result)
        elif answer.started:
            await answer.end()
        else:
            await answer.whole(result.status, result.content_type, result.body)

    async def _guarded(
        self, call: inbound.Call, answer: caller_answer.CallerAnswer
    ) -> _Result:
        if call.idempotent or not call.idempotency_key:
            return await self._in_time(call, answer)
        claims = self._services.claims
        claim = await claims.claim(
            call.identity.customer, call.idempotency_key, call.fingerprint
        )
        if isinstance(claim, errors.Refusal):
            return claim
        if isinstance(claim, claims_api.Repeated):
            kept = claim.result
            return attempt_outcome.Answered(
                kept.status, kept.content_type.encode(), kept.body
            )
        return await self._claimed(call, answer, claim)

    async def _claimed(
        self,
        call: inbound.Call,
        answer: caller_answer.CallerAnswer,
        claim: claims_api.Claimed,
    ) -> _Result:
        result = await self._in_time(call, answer)
        if isinstance(result, attempt_outcome.Answered):
            await self._services.claims.complete(
                claim,
                claims_api.StoredResult(
                    result.status, result.content_type.decode(), result.body
                ),
            )
        elif result.run_state is reasons.RunState.NOT_RUN:
            await self._services.claims.release(claim)
        return result

    async def _in_time(
        self, call: inbound.Call, answer: caller_answer.CallerAnswer
    ) -> _Result:
        relay = stream_relay.StreamRelay(
            answer, lambda: self._services.records.started(call)
        )
        progress = _Progress(call, _pending(call), relay)
        patience_s = call.deadline - self._services.clock.now()
        with anyio.move_on_after(patience_s):
            return await self._attempts(progress)
        return errors.Refusal(_R.DEADLINE_PASSED, progress.run_state)

    async def _attempts(self, progress: _Progress) -> _Result:
        call = progress.call
        self._services.retries.admitted(call.request_class.name)
        while True:
            dispatched = await self._dispatch(progress)
            if isinstance(dispatched, errors.Refusal):
                return dispatched
            outcome = await self._on_server(progress, dispatched)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
            if progress.relay.events_relayed:
                # The caller has a part, which no other server can go on with.
                return errors.Refusal(
                    _R.ANSWER_INCOMPLETE,
                    reasons.RunState.RAN,
                    detail=outcome.reason.value,
                )
            decision = self._services.retries.decide(
                progress.pending, outcome, self._services.clock.now()
            )
            if isinstance(decision, retry_policy.GiveUp):
                return _final(decision.refusal, progress)
            progress.pending.tried.add(dispatched.server.name)
            self._retried(progress, outcome, dispatched.server)
            await self._services.clock.sleep(decision.delay_s)

    async def _dispatch(
        self, progress: _Progress
    ) -> scheduler_api.Dispatched | errors.Refusal:
        services = self._services
        call = progress.call
        refused = services.authenticator.still_valid(call.identity)
        refused = refused or self._blamed(progress)
        if refused:
            return _final(refused, progress)
        services.records.queued(call, services.gate.waiting)
        verdict = await services.gate.dispatch(progress.pending)
        if isinstance(verdict, errors.Refusal):
            return _final(verdict, progress)
        # While the request waited its key may have been withdrawn, and a
        # copy of it may have crashed a server.
        alone = progress.pending.alone
        refused = services.authenticator.still_valid(call.identity)
        refused = refused or self._blamed(progress)
        if refused or (progress.pending.alone and not alone):
            report = scheduler_api.AttemptReport(_RESULTS.CANCELLED)
            services.gate.finish(progress.pending, verdict.server, report)
            if refused:
                return _final(refused, progress)
            return await self._dispatch(progress)
        progress.pending.attempt += 1
        services.records.dispatched(call, verdict)
        return verdict

    def _blamed(self, progress: _Progress) -> errors.Refusal | None:
        verdict = self._services.blame.verdict(
            progress.pending.fingerprint, self._services.clock.now()
        )
        if verdict is blame_api.Verdict.REFUSE:
            return errors.Refusal(
                _R.CRASHES_BACKEND_SERVERS, reasons.RunState.RAN
            )
        progress.pending.alone = verdict is blame_api.Verdict.ALONE
        return None

    async def _on_server(
        self, progress: _Progress, dispatched: scheduler_api.Dispatched
    ) -> attempt_outcome.AttemptOutcome:
        started_at = time.monotonic()
        outcome: attempt_outcome.AttemptOutcome | None = None
        try:
            outcome = await self._with_resumes(progress, dispatched.server)
        finally:
            report = _report(progress, outcome, started_at)
            self._services.gate.finish(
                progress.pending, dispatched.server, report
            )
            if outcome is None:
                self._count_usage(progress, report)
        if isinstance(outcome, attempt_outcome.Answered):
            self._answered(progress, report, dispatched.server)
        return outcome

    async def _with_resumes(
        self, progress: _Progress, server: backend_server.BackendServer
    ) -> attempt_outcome.AttemptOutcome:
        resume = False
        while True:
            outcome = await self._blamable(progress, server, resume)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
            if not outcome.events_relayed:
                return outcome
            decision = self._services.retries.decide(
                progress.pending, outcome, self._services.clock.now()
            )
            if not isinstance(decision, retry_policy.Resume):
                return outcome
            progress.pending.attempt += 1
            resume = True
            self._retried(progress, outcome, server)
            await self._services.clock.sleep(decision.delay_s)
            valid = self._services.authenticator.still_valid
            if valid(progress.call.identity):
                return outcome

    async def _blamable(
        self,
        progress: _Progress,
        server: backend_server.BackendServer,
        resume: bool,
    ) -> attempt_outcome.AttemptOutcome:
        services = self._services
        fingerprint = progress.pending.fingerprint
        services.blame.started(fingerprint, server.name, services.clock.now())
        outcome: attempt_outcome.AttemptOutcome | None = None
        try:
            outcome = await self._attempt(progress, server, resume)
        finally:
            services.blame.ended(
                fingerprint,
                server.name,
                services.clock.now(),
                whole=isinstance(outcome, attempt_outcome.Answered),
            )
        return outcome

    async def _attempt(
        self,
        progress: _Progress,
        server: backend_server.BackendServer,
        resume: bool,
    ) -> attempt_outcome.AttemptOutcome:
        services = self._services
        outcome: attempt_outcome.AttemptOutcome | None = None
        before = progress.run_state
        progress.run_state = reasons.RunState.MAY_HAVE_RUN
        with services.gate.preemptible(progress.pending):
            outcome = await services.backends.attempt(
                backend_client.Attempt(
                    progress.call, server, progress.relay, resume
                )
            )
        if outcome is None:
            outcome = attempt_outcome.may_have_run(
                reasons.RetryReason.PREEMPTED, progress.relay.events_relayed
            )
        if isinstance(outcome, attempt_outcome.Failed):
            if outcome.run_state is reasons.RunState.NOT_RUN:
                progress.run_state = before
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
            await self._services.health.examine(server, self._services.backends)

    def _retried(
        self,
        progress: _Progress,
        outcome: attempt_outcome.Failed,
        server: backend_server.BackendServer,
    ) -> None:
        self._services.records.retried(
            progress.call, outcome.reason, server.name, outcome.detail
        )

    def _answered(
        self,
        progress: _Progress,
        report: scheduler_api.AttemptReport,
        server: backend_server.BackendServer,
    ) -> None:
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
        self, progress: _Progress, report: scheduler_api.AttemptReport
    ) -> None:
        self._services.usage.add(
            usage_api.UsageItem(
                progress.call.identity.customer,
                progress.call.request_class.name,
                prompt_tokens=report.prompt_tokens,
                output_tokens=report.output_tokens,
            )
        )


def _pending(call: inbound.Call) -> scheduler_api.PendingRequest:
    return scheduler_api.PendingRequest(
        call.request_id,
        call.identity.customer,
        call.request_class,
        call.arrived,
        call.deadline,
        model=call.model,
        service=call.route.service if call.route else "",
        adapter=call.adapter,
        prompt_tokens=call.prompt_tokens if call.model else 0,
        max_output_tokens=call.max_output_tokens,
        body_bytes=len(call.http.body),
        prefix=call.prefix,
        fingerprint=call.fingerprint,
        resumable=call.stream,
        idempotent=call.idempotent,
    )


def _final(refusal: errors.Refusal, progress: _Progress) -> errors.Refusal:
    """Makes a refusal tell the truth about earlier attempts."""
    if refusal.run_state is not reasons.RunState.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, run_state=progress.run_state)


def _report(
    progress: _Progress,
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
