"""Serves a validated request: claim, dispatch, attempts, answer.

Each request runs in the task of its connection. The caller always gets exactly
one answer or one refusal, and a refusal states whether the request ran.
"""

import dataclasses
from typing import Final

import anyio

from figstream import asgi
from figstream import attempt_outcome
from figstream import blame_api
from figstream import caller_answer
from figstream import caller_presence
from figstream import claims_api
from figstream import errors
from figstream import inbound
from figstream import reasons
from figstream import request_attempts
from figstream import retry_policy
from figstream import scheduler_api
from figstream import shared_deadline
from figstream import stream_relay
from figstream import stream_software

_RESULTS = scheduler_api.AttemptResult
_R = reasons.RefusalReason

# Parts of the last seconds of a daemon within which a request may still be sent
# to a server, since a later one might not end in time, and within which it may
# be without an answer. The rest is for refusals to arrive.
_WAITING_PART: Final = 0.75
_UNANSWERED_PART: Final = 0.96
# The buffers of a connection take it at once.
_SMALL_ANSWER_BYTES: Final = 65_536

_ServeResult = attempt_outcome.Answered | errors.Refusal


class RequestPath:
    """Serves validated requests through backend servers."""

    def __init__(self, services: request_attempts.RequestServices) -> None:
        """Initializes the path for a daemon's services."""
        self._services = services
        # Until when requests may wait for a server, and be without an answer.
        self._waiting = shared_deadline.SharedDeadline()
        self._unanswered = shared_deadline.SharedDeadline()
        self._attempts = request_attempts.RequestAttempts(services)

    def end_requests(self, limit_s: float) -> None:
        """Answers all requests before their connections are closed.

        Without an answer, a caller does not know whether its request ran.
        Streams that have begun go on.

        Args:
          limit_s: seconds until the connections are closed.
        """
        self._waiting.set_after(_WAITING_PART * limit_s)
        self._unanswered.set_after(_UNANSWERED_PART * limit_s)

    async def serve(
        self,
        call: inbound.Call,
        answer: caller_answer.Answer,
        caller: caller_presence.CallerPresence,
    ) -> None:
        """Answers or refuses a request; one whose caller has left just ends."""
        result = await self._serve_with_claim(call, answer, caller)
        if isinstance(result, errors.Refusal):
            if result.reason is _R.CALLER_GONE:
                self._services.records.caller_gone(call)
                return
            self._services.records.refused(call, result)
            await answer.refuse(result)
        elif answer.started:
            await answer.end()
        else:
            await self._send_whole(answer, result)

    async def _send_whole(
        self, answer: caller_answer.Answer, answered: attempt_outcome.Answered
    ) -> None:
        """Sends a whole answer.

        Raises:
          asgi.CallerGoneError: the caller read so slowly that it gave way.
        """
        if len(answered.body) <= _SMALL_ANSWER_BYTES:
            await answer.whole(answered)
            return
        buffers = self._services.backends.buffers
        with buffers.holding(len(answered.body)) as sending:
            await answer.whole(answered)
        if sending.cancelled_caught:
            raise asgi.CallerGoneError

    async def _serve_with_claim(
        self,
        call: inbound.Call,
        answer: caller_answer.Answer,
        caller: caller_presence.CallerPresence,
    ) -> _ServeResult:
        if call.idempotent or not call.idempotency_key:
            return await self._serve_before_deadline(call, answer, caller)
        claims = self._services.claims
        claim = await claims.claim(
            call.identity.customer, call.idempotency_key, call.fingerprint
        )
        if isinstance(claim, errors.Refusal):
            return claim
        if isinstance(claim, claims_api.AlreadyAnswered):
            stored = claim.result
            content_type = (b"content-type", stored.content_type.encode())
            return attempt_outcome.Answered(
                stored.status, (content_type,), stored.body
            )
        return await self._serve_claimed(call, answer, caller, claim)

    async def _serve_claimed(
        self,
        call: inbound.Call,
        answer: caller_answer.Answer,
        caller: caller_presence.CallerPresence,
        claim: claims_api.Claimed,
    ) -> _ServeResult:
        result = await self._serve_before_deadline(call, answer, caller)
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

    async def _serve_before_deadline(
        self,
        call: inbound.Call,
        answer: caller_answer.Answer,
        caller: caller_presence.CallerPresence,
    ) -> _ServeResult:
        rules = self._services.rules
        relay = stream_relay.StreamRelay(
            answer,
            lambda: self._note_first_event(progress, ending),
            rules.terminator,
            rules.read_interval_s,
            _resumed_after(call),
        )
        progress = request_attempts.RequestProgress(
            call,
            _make_pending_request(call),
            relay,
            caller,
            stream=_stream_of(call, self._services.clock.now()),
        )
        remaining_s = call.deadline - self._services.clock.now()
        try:
            with (
                self._unanswered.scope() as ending,
                anyio.move_on_after(remaining_s),
            ):
                return await self._attempt_until_answered(progress)
        finally:
            relay.release_listener()
            if progress.stream:
                self._services.streams.ended(progress.stream)
            if progress.run_state is reasons.RunState.NOT_RUN:
                self._services.prompts.not_run(
                    call.prompt_parts,
                    call.request_id,
                    self._services.clock.now(),
                )
        if ending.cancelled_caught:
            return _shutting_down(progress)
        return errors.Refusal(_R.DEADLINE_PASSED, progress.run_state)

    def _note_first_event(
        self,
        progress: request_attempts.RequestProgress,
        ending: anyio.CancelScope,
    ) -> None:
        self._unanswered.release(ending)
        self._services.records.started(progress.call)
        if progress.stream:
            self._services.streams.began(progress.stream, progress.software)

    async def _attempt_until_answered(
        self, progress: request_attempts.RequestProgress
    ) -> _ServeResult:
        self._services.retries.admitted(progress.pending)
        while True:
            dispatched = await self._dispatch(progress)
            if isinstance(dispatched, errors.Refusal):
                return dispatched
            outcome = await self._attempts.run_on_server(progress, dispatched)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
            if refused := self._prepare_retry(progress, outcome, dispatched):
                return refused
            decision = self._services.retries.decide(
                progress.pending, outcome, self._services.clock.now()
            )
            if isinstance(decision, retry_policy.GiveUp):
                self._services.records.gave_up(
                    progress.call,
                    outcome.reason,
                    dispatched.server.name,
                    f"{decision.refusal.reason.value} {outcome.detail}",
                )
                ran = outcome.run_state is not reasons.RunState.NOT_RUN
                relayed = progress.relay.events_relayed
                if outcome.answer and ran and not relayed:
                    # The server's error answer is more specific than a refusal.
                    return outcome.answer
                return _with_run_state(decision.refusal, progress)
            self._attempts.retried(progress, outcome, dispatched.server)
            await self._services.clock.sleep(decision.delay_s)

    def _prepare_retry(
        self,
        progress: request_attempts.RequestProgress,
        outcome: attempt_outcome.Failed,
        dispatched: scheduler_api.Dispatched,
    ) -> errors.Refusal | None:
        server = dispatched.server.name
        if not progress.relay.events_relayed:
            progress.pending.tried.add(server)
            return None
        if self._services.rules.resumes_anywhere:
            if not progress.relay.last_event_id:
                return _incomplete_answer("the events have no ids")
            progress.pending.tried.add(server)
            progress.resume = True
            return None
        if outcome.reason is reasons.RetryReason.PREEMPTED:
            # Only this server can resume the stream that the caller has.
            progress.pending.only_server = server
            progress.resume = True
            return None
        return _incomplete_answer(outcome.reason.value)

    async def _dispatch(
        self, progress: request_attempts.RequestProgress
    ) -> scheduler_api.Dispatched | errors.Refusal:
        services = self._services
        call = progress.call
        refused = _check_caller(progress)
        refused = refused or services.authenticator.still_valid(call.identity)
        refused = refused or self._check_blame(progress)
        refused = refused or await self._select_software(progress)
        if refused:
            return _with_run_state(refused, progress)
        services.records.queued(call, services.gate.waiting)
        with self._waiting.scope() as waiting:
            progress.caller.end_with_caller(waiting)
            verdict = await services.gate.dispatch(progress.pending)
        progress.caller.end_with_caller(None)
        if waiting.cancelled_caught:
            return _check_caller(progress) or _shutting_down(progress)
        if isinstance(verdict, errors.Refusal):
            return _with_run_state(verdict, progress)
        return await self._recheck_dispatched(progress, verdict)

    async def _recheck_dispatched(
        self,
        progress: request_attempts.RequestProgress,
        verdict: scheduler_api.Dispatched,
    ) -> scheduler_api.Dispatched | errors.Refusal:
        # While the request was queued, its key may have been withdrawn, or an
        # identical request may have crashed a server. A request that must now
        # run alone is queued again.
        services = self._services
        pending = progress.pending
        alone = pending.alone
        refused = _check_caller(progress)
        valid = services.authenticator.still_valid
        refused = refused or valid(progress.call.identity)
        refused = refused or self._check_blame(progress)
        if pending.only_server not in {"", verdict.server.name}:
            refused = refused or _incomplete_answer(
                "the backend server of the stream is no longer available"
            )
        if refused or (pending.alone and not alone):
            report = scheduler_api.AttemptReport(_RESULTS.CANCELLED)
            services.gate.finish(pending, verdict.server, report)
            if refused:
                return _with_run_state(refused, progress)
            return await self._dispatch(progress)
        pending.attempt += 1
        services.records.dispatched(progress.call, verdict)
        return verdict

    async def _select_software(
        self, progress: request_attempts.RequestProgress
    ) -> errors.Refusal | None:
        """Sets the software version at which the next attempt may run."""
        stream, pending = progress.stream, progress.pending
        if stream is None:
            return None
        resumed = progress.call.passed and progress.call.passed.resumed_stream
        if progress.relay.events_relayed:
            pending.software = progress.software
        elif resumed is None and pending.homes is None:
            pending.software = self._services.streams.for_new(stream)
        elif resumed is not None and pending.software is None:
            await self._services.streams.prepare_to_resume(stream)
            found = self._services.streams.for_resumed(stream)
            if isinstance(found, errors.Refusal):
                return found
            pending.software = found
        return None

    def _check_blame(
        self, progress: request_attempts.RequestProgress
    ) -> errors.Refusal | None:
        fingerprint = progress.pending.fingerprint
        verdict = self._services.blame.verdict(
            fingerprint, self._services.clock.now()
        )
        if verdict is blame_api.Verdict.REFUSE:
            return errors.Refusal(
                _R.CRASHES_BACKEND_SERVERS,
                reasons.RunState.RAN,
                detail=f"fingerprint {fingerprint:x}",
            )
        progress.pending.alone = verdict is blame_api.Verdict.ALONE
        call = progress.call
        refused = self._services.prompts.refused(
            call.prompt_parts, call.request_id, self._services.clock.now()
        )
        if refused is None:
            return None
        return errors.Refusal(
            _R.PROMPT_CRASHES_SERVERS,
            detail=f"part {refused.suspect:x}",
            retry_after_s=refused.seconds,
        )


def _check_caller(
    progress: request_attempts.RequestProgress,
) -> errors.Refusal | None:
    if progress.caller.gone:
        return errors.Refusal(_R.CALLER_GONE, progress.run_state)
    return None


def _shutting_down(
    progress: request_attempts.RequestProgress,
) -> errors.Refusal:
    # Another daemon may serve the request at once.
    return errors.Refusal(
        _R.SHUTTING_DOWN, progress.run_state, retry_after_s=0.0
    )


def _incomplete_answer(detail: str) -> errors.Refusal:
    return errors.Refusal(
        _R.ANSWER_INCOMPLETE, reasons.RunState.RAN, detail=detail
    )


def _make_pending_request(call: inbound.Call) -> scheduler_api.PendingRequest:
    return scheduler_api.PendingRequest(
        call.request_id,
        call.identity.customer,
        call.request_class,
        call.arrived,
        call.deadline,
        model=call.model,
        service=call.service,
        adapter=call.adapter,
        prompt_tokens=call.prompt_tokens if call.model else 0,
        max_output_tokens=call.max_output_tokens,
        body_bytes=len(call.http.body),
        prefix=call.prefix,
        shared_tokens=call.prompt.shared_tokens,
        first_block=call.prompt.first_block,
        first_block_tokens=call.prompt.first_block_tokens,
        fingerprint=call.fingerprint,
        resumable=call.resumable,
        idempotent=call.idempotent,
        attempt_limit=call.attempt_limit,
        homes=call.passed.homes if call.passed else None,
    )


def _stream_of(call: inbound.Call, now: float) -> stream_software.Stream | None:
    """Returns the stream of a call, None if only its server can resume it."""
    passed = call.passed
    if passed is None or not passed.route.resumable:
        return None
    resumed = passed.resumed_stream
    return stream_software.Stream(
        call.caller_id if resumed is None else resumed,
        passed.service,
        passed.route.timeout_s,
        call.deadline - now,
        passed.route.name,
    )


def _resumed_after(call: inbound.Call) -> bytes:
    """Returns the id of the event after which a call takes up a stream.

    Returns b"" for other calls, and where servers may begin anew.
    """
    passed = call.passed
    if passed is None or not passed.route.resumable:
        return b""
    return passed.resumed_after


def _with_run_state(
    refusal: errors.Refusal, progress: request_attempts.RequestProgress
) -> errors.Refusal:
    """Returns the refusal with a run state that covers earlier attempts."""
    if refusal.run_state is not reasons.RunState.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, run_state=progress.run_state)
