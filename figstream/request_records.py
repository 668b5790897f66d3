"""Records the progress of requests in metrics, log and decision log.

Each method writes the same reason to the counter, the log line and the
decision log that `figstream operator explain` reads.
"""

from figstream import clock as clock_lib
from figstream import errors
from figstream import explain
from figstream import inbound
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import reasons
from figstream import scheduler_api


class RequestRecords:
    """Records the events of the request path."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        decisions: explain.DecisionLog,
    ) -> None:
        """Initializes the records for a daemon's metrics and decision log."""
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions

    def refused_unchecked(
        self,
        refusal: errors.Refusal,
        request_id: str,
        customer: str,
        detail: str = "",
    ) -> None:
        """Records the refusal of a request that has no class yet."""
        self._metrics.refused(refusal.reason)
        reason = refusal.reason.value
        self._add(request_id, customer, "", "refused", reason, "", detail)

    def refused(self, call: inbound.Call, refusal: errors.Refusal) -> None:
        """Records the refusal of a validated request."""
        self._metrics.refused(refusal.reason, call.request_class.name)
        detail = f"{refusal.run_state.value} {refusal.detail}".strip()
        self._add_for_call(call, "refused", refusal.reason.value, "", detail)

    def queued(self, call: inbound.Call, queue_length: int) -> None:
        """Records that a request is queued for dispatch."""
        generation = call.passed.generation if call.passed else 0
        detail = f"ahead={queue_length} left_s={self._remaining_s(call):.3f}"
        if generation:
            detail += f" generation={generation}"
        if call.passed and call.passed.resumed_stream is not None:
            detail += f" resumes={call.passed.resumed_stream or 'unnamed'}"
        self._add_for_call(call, "queued", "", "", detail)

    def dispatched(
        self, call: inbound.Call, decision: scheduler_api.Dispatched
    ) -> None:
        """Records the backend server of a dispatched request and the reason."""
        waited_s = self._clock.now() - call.arrived
        if decision.request.attempt <= 1:
            self._metrics.queue_time(call.request_class.name, waited_s)
        self._add_for_call(
            call,
            "dispatched",
            decision.reason,
            decision.server.name,
            f"waited_s={waited_s:.3f} attempt={decision.request.attempt} "
            f"software={decision.server.software or 'unknown'} "
            f"{decision.inputs}".rstrip(),
        )

    def retried(
        self,
        call: inbound.Call,
        reason: reasons.RetryReason,
        server: str,
        detail: str,
    ) -> None:
        """Records that a failed attempt is retried."""
        self._metrics.retried(reason, call.request_class.name)
        self._add_for_call(call, "retried", reason.value, server, detail)

    def lost_with_server(
        self, call: inbound.Call, server: str, events: int
    ) -> None:
        """Records that a server crashed while it ran a request.

        Args:
          call: the request.
          server: name of the server.
          events: number of events that the caller had.
        """
        blocks = ",".join(f"{item:x}" for item in call.prompt_parts)
        self._add_for_call(
            call,
            "lost_with_server",
            "server_crashed",
            server,
            f"events={events} fingerprint={call.fingerprint:x} blocks={blocks}",
        )

    def refusal_unproven(
        self, call: inbound.Call, server: str, detail: str
    ) -> None:
        """Records a refusal that does not prove that the request did not run.

        Args:
          call: the request.
          server: name of the server.
          detail: status of its answer.
        """
        self._metrics.event("refusal_unproven")
        self._add_for_call(call, "refusal_unproven", "no_mark", server, detail)

    def gave_up(
        self,
        call: inbound.Call,
        reason: reasons.RetryReason,
        server: str,
        limit: str,
    ) -> None:
        """Records that a failed attempt is not retried, and the reason."""
        self._metrics.event("gave_up")
        self._add_for_call(call, "gave_up", reason.value, server, limit)

    def started(self, call: inbound.Call) -> None:
        """Records the time to the first byte of the answer."""
        first_s = self._clock.now() - call.arrived
        self._metrics.first_token(call.request_class.name, first_s)

    def answered(
        self, call: inbound.Call, server: str, between_tokens_s: float
    ) -> None:
        """Records that the complete answer was sent to the caller."""
        self._metrics.answered(call.request_class.name)
        if between_tokens_s:
            self._metrics.between_tokens(
                call.request_class.name, between_tokens_s
            )
        total_s = self._clock.now() - call.arrived
        self._add_for_call(
            call, "answered", "", server, f"total_s={total_s:.3f}"
        )

    def consumed(
        self, call: inbound.Call, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Counts the tokens that a customer is billed for."""
        customer = call.identity.customer
        self._metrics.tokens("prompt", customer, prompt_tokens)
        self._metrics.tokens("output", customer, output_tokens)

    def wasted(self, call: inbound.Call, tokens: int) -> None:
        """Counts tokens that were generated and discarded."""
        if tokens:
            self._metrics.tokens("wasted", call.identity.customer, tokens)

    def caller_gone(self, call: inbound.Call) -> None:
        """Records that the caller closed the connection."""
        self._metrics.event("caller_gone")
        self._add_for_call(call, "caller_gone", "", "", "")

    def _remaining_s(self, call: inbound.Call) -> float:
        return call.deadline - self._clock.now()

    def _add_for_call(
        self,
        call: inbound.Call,
        decision: str,
        reason: str,
        server: str,
        detail: str,
    ) -> None:
        self._add(
            call.request_id,
            call.identity.customer,
            call.request_class.name,
            decision,
            reason,
            server,
            detail,
        )

    def _add(
        self,
        request_id: str,
        customer: str,
        request_class: str,
        decision: str,
        reason: str,
        server: str,
        detail: str,
    ) -> None:
        record = explain.DecisionRecord(
            self._clock.wall(),
            request_id,
            customer,
            request_class,
            decision,
            reason,
            server,
            detail,
        )
        self._decisions.add(record)
        fields = {
            "customer": customer,
            "request_class": request_class,
            "reason": reason,
            "server": server,
            "detail": detail,
        }
        non_empty_fields = {
            name: value for name, value in fields.items() if value
        }
        logs.info(decision, request=request_id, **non_empty_fields)
