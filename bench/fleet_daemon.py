"""Simulates the request path of one daemon around its scheduler.

The simulated daemon offers requests, polls for decisions, runs attempts at
fake engines, finishes and retries in virtual time. The network between daemon
and engine is modeled by a fixed delay only.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import itertools
from typing import Final
from typing import Protocol

import attrs

from bench import fake_engine
from bench import run_records
from bench import traffic
from bench import virtual_time
from figstream import allotment
from figstream import backend_server
from figstream import blame as blame_lib
from figstream import blame_api
from figstream import errors
from figstream import reasons
from figstream import scheduler_api

LOCAL_DELAY_S: Final = 0.0005
REMOTE_DELAY_S: Final = 0.0015
MODEL: Final = "m"
_MAX_ATTEMPTS: Final = 3
_MAX_FAILED_ATTEMPTS: Final = 6
_CONNECT_TIMEOUT_S: Final = 1.0
_ENGINE_WAIT_S: Final = 0.5
_PREFIX_TOKENS: Final = 300
_OVERLOAD_REASONS: Final = frozenset(
    {
        reasons.RefusalReason.QUEUE_COUNT_FULL,
        reasons.RefusalReason.QUEUE_BYTES_FULL,
        reasons.RefusalReason.DEADLINE_UNREACHABLE,
        reasons.RefusalReason.DEADLINE_PASSED,
        reasons.RefusalReason.SHED_FOR_OTHERS,
    }
)
_AttemptResult = scheduler_api.AttemptResult


class SimulatedFleet(Protocol):
    """Interface of the simulated fleet that a daemon uses."""

    time: virtual_time.VirtualTime
    work: run_records.WorkTotals
    records: list[run_records.RequestRecord]
    engines: Mapping[str, fake_engine.FakeEngine]
    is_partitioned: bool

    def schedule_retry(
        self, record: run_records.RequestRecord, advised_wait_s: float | None
    ) -> None:
        """Schedules a retry by a refused caller at a random daemon.

        Args:
          record: the refused request.
          advised_wait_s: wait that the refusal advised, or None.
        """


@attrs.define(eq=False)
class _Attempt:
    """One attempt to run a request at an engine."""

    record: run_records.RequestRecord
    server: backend_server.BackendServer
    started: float
    output_tokens: int
    first_byte_s: float = 0.0
    is_over: bool = False


class Daemon:
    """Simulates one daemon: its scheduler, its attempts and crash blame."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        index: int,
        zone: str,
        scheduler: scheduler_api.Scheduler,
        uses_blame: bool,
    ) -> None:
        """Initializes the daemon.

        Args:
          fleet: the simulated fleet.
          index: index of the daemon in the fleet.
          zone: availability zone of the daemon.
          scheduler: scheduler of the daemon.
          uses_blame: whether crash suspects are refused or run alone.
        """
        self.blame = blame_lib.make_crash_blame()
        self._uses_blame = uses_blame
        self.zone = zone
        self.scheduler = scheduler
        self._fleet = fleet
        self._time = fleet.time
        self._index = index
        self._ids = itertools.count()
        self._waiting: dict[str, int] = {}
        self._records: dict[str, run_records.RequestRecord] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._failed_attempts: collections.Counter[str] = collections.Counter()
        self._poll_at = float("inf")

    def demands(self) -> Sequence[allotment.Demand]:
        """Returns the demand of unfinished requests by tier and customer."""
        counts = collections.Counter(
            (item.arrival.stream.request_class.tier, item.arrival.customer)
            for item in self._records.values()
        )
        return [
            allotment.Demand(str(self._index), tier, customer, count)
            for (tier, customer), count in counts.items()
        ]

    def accept_arrival(self, arrival: traffic.Arrival) -> None:
        """Accepts a new request and adds its record to the fleet."""
        record = run_records.RequestRecord(arrival, self._index)
        self._fleet.records.append(record)
        self.accept(record)

    def accept(self, record: run_records.RequestRecord) -> None:
        """Accepts a new or retried request."""
        arrival = record.arrival
        stream = arrival.stream
        level = stream.request_class.service_level
        record.daemon = self._index
        record.result = ""
        request = scheduler_api.PendingRequest(
            request_id=f"{self._index}-{next(self._ids)}",
            customer=arrival.customer,
            request_class=stream.request_class,
            arrived=self._time.now,
            deadline=arrival.at + level.deadline_s,
            model=MODEL,
            prompt_tokens=stream.prompt_tokens,
            prefix=arrival.prefix,
            fingerprint=7 if stream.crashes else next(self._ids) + 1000,
            resumable=stream.request_class.tier >= 4,
        )
        self._records[request.request_id] = record
        self._time.at(
            request.deadline, functools.partial(self._on_deadline, request)
        )
        self._offer(request)

    def _offer(self, request: scheduler_api.PendingRequest) -> None:
        now = self._time.now
        verdict = self._verdict(request)
        if verdict is blame_api.Verdict.REFUSE:
            self._end(request, "crashes_backend_servers")
            return
        request.alone = verdict is blame_api.Verdict.ALONE
        refusal = self.scheduler.offer(request, now)
        if refusal is None:
            self._waiting[request.request_id] = request.request_class.tier
        self._poll(request if refusal else None, refusal)

    def _verdict(
        self, request: scheduler_api.PendingRequest
    ) -> blame_api.Verdict:
        if not self._uses_blame:
            return blame_api.Verdict.CLEAR
        return self.blame.verdict(request.fingerprint, self._time.now)

    def _poll(
        self,
        refused: scheduler_api.PendingRequest | None = None,
        refusal: errors.Refusal | None = None,
    ) -> None:
        decisions = list(self.scheduler.poll(self._time.now))
        is_drop = [
            isinstance(item, scheduler_api.Dropped) for item in decisions
        ]
        leading = is_drop.index(False) if False in is_drop else len(decisions)
        for item in decisions[:leading]:
            self._apply_decision(item)
        if refused and refusal:
            self._end_refused(refused, refusal)
        for item in decisions[leading:]:
            self._apply_decision(item)
        self._plan_poll()

    def _plan_poll(self) -> None:
        at = self.scheduler.next_poll_at(self._time.now)
        if at < self._poll_at - 1e-9 or self._poll_at <= self._time.now:
            self._poll_at = at
            self._time.at(at, functools.partial(self._run_planned_poll, at))

    def _run_planned_poll(self, at: float) -> None:
        if at == self._poll_at:
            self._poll_at = float("inf")
            self._poll()

    def _apply_decision(self, decision: scheduler_api.Decision) -> None:
        request = decision.request
        if isinstance(decision, scheduler_api.Preempt):
            self._preempt(request)
            return
        self._waiting.pop(request.request_id, None)
        if isinstance(decision, scheduler_api.Dropped):
            self._end_refused(request, decision.refusal)
        else:
            self._check_and_send(request, decision.server)

    def _check_and_send(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
    ) -> None:
        """Sends the request unless it became a crash suspect in the queue.

        A request with the same fingerprint may have crashed a server while
        this one waited. The request is then refused, or offered again to run
        alone on a server.
        """
        verdict = self._verdict(request)
        alone = verdict is blame_api.Verdict.ALONE
        refused = verdict is blame_api.Verdict.REFUSE
        if not refused and request.alone >= alone:
            self._send(request, server)
            return
        report = scheduler_api.AttemptReport(_AttemptResult.CANCELLED)
        self.scheduler.finish(request, server, report, self._time.now)
        if refused:
            self._end(request, "crashes_backend_servers")
        else:
            self._time.after(0.0, functools.partial(self._offer, request))

    def _end_refused(
        self,
        request: scheduler_api.PendingRequest,
        refusal: errors.Refusal,
    ) -> None:
        tier = request.request_class.tier
        waiting_by_tier = collections.Counter(self._waiting.values())
        if refusal.reason in _OVERLOAD_REASONS and any(
            count > 1
            for lower, count in waiting_by_tier.items()
            if lower > tier
        ):
            self._fleet.work.inversions += 1
        record = self._records.get(request.request_id)
        self._end(request, refusal.reason.value)
        if record and not record.may_have_run:
            self._fleet.schedule_retry(record, refusal.retry_after_s)

    def _end(self, request: scheduler_api.PendingRequest, result: str) -> None:
        record = self._records.pop(request.request_id, None)
        if record is None:
            return
        record.result = result
        record.ended_at = self._time.now
        if result != "answered":
            self._fleet.work.reasons[result] += 1

    def _send(
        self,
        request: scheduler_api.PendingRequest,
        server: backend_server.BackendServer,
    ) -> None:
        record = self._records[request.request_id]
        record.dispatched_at = self._time.now
        name = request.request_class.name
        self._fleet.work.dispatches[name].append(self._time.now)
        tokens_left = max(1, record.arrival.output_tokens - record.tokens_done)
        attempt = _Attempt(record, server, self._time.now, tokens_left)
        self._attempts[request.request_id] = attempt
        request.attempt += 1
        self.blame.started(request.fingerprint, server.name, self._time.now)
        self._after_network_delay(server, self._submit, request, attempt)

    def _after_network_delay(
        self,
        server: backend_server.BackendServer,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        local = server.zone == self.zone
        delay_s = LOCAL_DELAY_S if local else REMOTE_DELAY_S
        self._time.after(delay_s, functools.partial(action, *arguments))

    def _submit(
        self, request: scheduler_api.PendingRequest, attempt: _Attempt
    ) -> None:
        if attempt.is_over:
            return
        stream = attempt.record.arrival.stream
        server = attempt.server
        engine_request = fake_engine.EngineRequest(
            key=f"{request.request_id}/{request.attempt}/{server.name}",
            tier=request.request_class.tier,
            prompt_tokens=stream.prompt_tokens,
            output_tokens=attempt.output_tokens,
            prefix=request.prefix,
            prefix_tokens=_PREFIX_TOKENS,
            crashes=stream.crashes,
            first_byte=functools.partial(
                self._after_network_delay, server, self._on_first_byte, attempt
            ),
            ended=lambda complete, tokens: self._after_network_delay(
                server, self._on_ended, request, attempt, complete, tokens
            ),
        )
        if self._fleet.is_partitioned and server.zone != self.zone:
            self._time.after(
                _CONNECT_TIMEOUT_S,
                functools.partial(
                    self._on_failed, request, attempt, _AttemptResult.FAILED, 0
                ),
            )
            return
        engine = self._fleet.engines[server.name]
        if not engine.submit(engine_request):
            down = not engine.alive
            result = _AttemptResult.FAILED if down else _AttemptResult.REFUSED
            self._after_network_delay(
                server, self._on_failed, request, attempt, result, 0
            )

    def _on_first_byte(self, attempt: _Attempt) -> None:
        attempt.first_byte_s = self._time.now - attempt.started
        if attempt.record.first_byte_at is None:
            attempt.record.first_byte_at = self._time.now

    def _on_ended(
        self,
        request: scheduler_api.PendingRequest,
        attempt: _Attempt,
        complete: bool,
        tokens: int,
    ) -> None:
        if attempt.is_over:
            return
        if not complete:
            self.blame.crashed(attempt.server.name, self._time.now)
            self._on_failed(request, attempt, _AttemptResult.FAILED, tokens)
            return
        self._finish(request, attempt, _AttemptResult.ANSWERED, tokens)
        self._end(request, "answered")
        self._poll()

    def _on_failed(
        self,
        request: scheduler_api.PendingRequest,
        attempt: _Attempt,
        result: scheduler_api.AttemptResult,
        tokens: int,
    ) -> None:
        if attempt.is_over:
            return
        self._finish(request, attempt, result, tokens)
        request.tried.add(attempt.server.name)
        self._failed_attempts[request.request_id] += 1
        if (
            request.attempt >= _MAX_ATTEMPTS
            or self._failed_attempts[request.request_id] >= _MAX_FAILED_ATTEMPTS
        ):
            if (
                result is _AttemptResult.REFUSED
                and self._lower_tier_waits_at_engine(request)
            ):
                self._fleet.work.inversions += 1
            self._end(request, "backend_server_failed")
            if not attempt.record.may_have_run:
                self._fleet.schedule_retry(attempt.record, None)
            self._poll()
        else:
            self._offer(request)

    def _lower_tier_waits_at_engine(
        self, request: scheduler_api.PendingRequest
    ) -> bool:
        tier = request.request_class.tier
        return any(
            item.record.arrival.stream.request_class.tier > tier
            and not item.first_byte_s
            and self._time.now - item.started > _ENGINE_WAIT_S
            for item in self._attempts.values()
        )

    def _finish(
        self,
        request: scheduler_api.PendingRequest,
        attempt: _Attempt,
        result: scheduler_api.AttemptResult,
        tokens: int,
    ) -> None:
        attempt.is_over = True
        del self._attempts[request.request_id]
        now, work = self._time.now, self._fleet.work
        if result is not _AttemptResult.FAILED:
            self.blame.ended(
                request.fingerprint,
                attempt.server.name,
                now,
                complete=result is _AttemptResult.ANSWERED,
            )
        attempt.record.may_have_run |= result is not _AttemptResult.REFUSED
        resumed = result is _AttemptResult.PREEMPTED and request.resumable
        prompt = attempt.record.arrival.stream.prompt_tokens
        steps = tokens + (
            prompt / fake_engine.PROMPT_TOKENS_PER_STEP if tokens else 0.0
        )
        if resumed:
            attempt.record.tokens_done += tokens
        if result is _AttemptResult.ANSWERED or resumed:
            work.useful += steps
        else:
            work.wasted += steps
        report = scheduler_api.AttemptReport(
            result, tokens, prompt, attempt.first_byte_s, now - attempt.started
        )
        self.scheduler.finish(request, attempt.server, report, now)

    def _preempt(self, request: scheduler_api.PendingRequest) -> None:
        attempt = self._attempts.get(request.request_id)
        if attempt is None or attempt.is_over:
            return
        tokens = self._cancel(request, attempt)
        self._fleet.work.preempted += 1
        self._finish(request, attempt, _AttemptResult.PREEMPTED, tokens)
        self._time.after(0.0, functools.partial(self._offer, request))

    def _cancel(
        self, request: scheduler_api.PendingRequest, attempt: _Attempt
    ) -> int:
        name = attempt.server.name
        key = f"{request.request_id}/{request.attempt}/{name}"
        return self._fleet.engines[name].cancel(key)

    def _on_deadline(self, request: scheduler_api.PendingRequest) -> None:
        attempt = self._attempts.get(request.request_id)
        if attempt and not attempt.is_over:
            tokens = self._cancel(request, attempt)
            self._finish(request, attempt, _AttemptResult.CANCELLED, tokens)
        self._poll()
        if self._waiting.pop(request.request_id, None) is not None:
            self.scheduler.withdraw(request, self._time.now)
        self._end(request, "deadline_passed")
