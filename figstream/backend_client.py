"""Sends one attempt of a request to a backend server.

Classifies how the attempt ended, which decides whether it may be retried.
Called by the request path once the scheduler has chosen a server.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import math
from typing import Final

import anyio
import httpcore

from figstream import answer_buffers
from figstream import attempt_outcome
from figstream import backend_connection
from figstream import backend_dialect
from figstream import backend_server
from figstream import backend_transport
from figstream import clock as clock_lib
from figstream import engine_protocol
from figstream import reasons
from figstream import server_announcements
from figstream import server_connector
from figstream import stream_relay

_CANCEL_TIMEOUT_S: Final = 1.0
# Twice the interval between probes.
_PROBE_TIMEOUT_S: Final = 1.0
# A failed request waits at most this long for the check whether its server
# has crashed.
_CRASH_CHECK_TIMEOUT_S: Final = 0.1
# The same for an answer that may be cut short. A peer may need a connection to
# the server, and another peer may be asked.
_END_CHECK_TIMEOUT_S: Final = 0.5
# A process that ends may close its connections before the socket that accepts
# new ones; both close within milliseconds.
_CRASH_CHECK_DELAY_S: Final = 0.02
_R = reasons.RetryReason
# Faults of answers that are not whole, not those of the call, or promise what
# is not proven.
_NOT_THE_ANSWER: Final = frozenset(
    {_R.ANSWER_CROSSED, _R.ANSWER_TRUNCATED, _R.REFUSAL_UNPROVEN}
)

LoadListener = Callable[[str, engine_protocol.LoadReport], None]
AnnouncementListener = Callable[
    [backend_server.BackendServer, server_announcements.Announcement, float],
    None,
]
_Answer = backend_transport.Answer


class BackendClient:
    """Sends attempts, probes and cancellations to backend servers."""

    def __init__(
        self,
        dialect: backend_dialect.BackendDialect,
        clock: clock_lib.Clock,
        on_load: LoadListener,
        connector: server_connector.ServerConnector,
        on_announcement: AnnouncementListener | None = None,
    ) -> None:
        """Initializes the client without connections.

        Args:
          dialect: wire format of the backend servers.
          clock: source of the current time.
          on_load: called with each load report found in an answer.
          connector: opens connections to backend servers.
          on_announcement: called with the server, its announcement and the
            clock time at which the request was sent, for each answer.
        """
        self._dialect = dialect
        self._clock = clock
        self._on_load = on_load
        self._on_announcement = on_announcement
        self._connector = connector
        self._transport = backend_transport.BackendTransport(connector)
        self._buffers = answer_buffers.AnswerBuffers()

    @property
    def buffers(self) -> answer_buffers.AnswerBuffers:
        """Returns the memory of answers, which other parts may share."""
        return self._buffers

    async def attempt(
        self,
        attempt: backend_dialect.Attempt,
        on_start: Callable[[], None] | None = None,
    ) -> attempt_outcome.AttemptOutcome:
        """Sends the call to the server and relays the answer.

        Args:
          attempt: the call, its server and the relay to the caller.
          on_start: called once when the server has begun to run the call.
        """
        try:
            outcome = await self._exchange(attempt, on_start)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return attempt_outcome.not_run(
                _R.CONNECT_FAILED, type(error).__name__
            )
        except httpcore.ReadTimeout:
            outcome = _failed(attempt, _R.IDLE_TIMEOUT)
        except answer_buffers.AnswerTooLongError:
            outcome = _failed(attempt, _R.SERVER_ERROR, "answer too long")
        except stream_relay.EventsRepeatedError as error:
            outcome = _failed(attempt, _R.SERVER_ERROR, str(error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            detail = f"{type(error).__name__} {error}".strip()
            return _failed(attempt, _R.CONNECTION_LOST, detail)
        except anyio.get_cancelled_exc_class():
            await self._cancel(attempt)
            raise
        if outcome.run_state is not reasons.RunState.NOT_RUN:
            await self._cancel(attempt)
        return outcome

    async def probe(
        self, server: backend_server.BackendServer
    ) -> engine_protocol.LoadReport | None:
        """Requests a server's load; returns None if it does not answer."""
        request = backend_dialect.make_request(
            b"GET",
            engine_protocol.LOAD_PATH.encode(),
            [(b"host", backend_dialect.host_and_port(server))],
        )
        with anyio.move_on_after(_PROBE_TIMEOUT_S):
            try:
                answer = await self._transport.send(
                    server_connector.address_of(server),
                    request,
                    _PROBE_TIMEOUT_S,
                )
            except (
                httpcore.TimeoutException,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ):
                return None
            try:
                await answer_buffers.read_all(answer.body(), self._buffers)
            finally:
                await answer.close()
            if answer.head.status != 200:
                return None
            return self._dialect.load(answer.head)
        return None

    async def listens(self, server: backend_server.BackendServer) -> bool:
        """Returns whether a server accepts connections, or may accept them.

        Called when a connection has ended; waits until a process that ends has
        closed all its sockets.
        """
        found = await self._accepts(server, _CRASH_CHECK_TIMEOUT_S)
        return found is not False

    async def _accepts(
        self, server: backend_server.BackendServer, timeout_s: float
    ) -> bool | None:
        await anyio.sleep(_CRASH_CHECK_DELAY_S)
        return await self._connector.accepts(
            server_connector.address_of(server), timeout_s
        )

    async def close_idle(self) -> None:
        """Closes all idle connections."""
        await self._transport.close_idle()

    async def _exchange(
        self,
        attempt: backend_dialect.Attempt,
        on_start: Callable[[], None] | None,
    ) -> attempt_outcome.AttemptOutcome:
        timeouts = attempt.call.request_class.timeouts
        sent_at = self._clock.now()
        left_s = attempt.call.deadline - sent_at
        answer: _Answer | None = None
        with anyio.move_on_after(timeouts.first_byte_s):
            answer = await self._transport.send(
                server_connector.address_of(attempt.server),
                self._dialect.request(attempt, left_s),
                timeouts.connect_s,
                max(timeouts.idle_s, timeouts.first_byte_s),
                at_most_once=not attempt.call.idempotent,
                call_id=attempt.call.caller_id,
            )
        if answer is None:
            return _failed(attempt, _R.FIRST_BYTE_TIMEOUT)
        try:
            return await self._receive(attempt, answer, sent_at, on_start)
        finally:
            await answer.close()

    async def _receive(
        self,
        attempt: backend_dialect.Attempt,
        answer: _Answer,
        sent_at: float,
        on_start: Callable[[], None] | None,
    ) -> attempt_outcome.AttemptOutcome:
        head = answer.head
        fault = self._dialect.fault(attempt, head)
        if fault and fault.run_state is reasons.RunState.NOT_RUN:
            answer.mark_refused(attempt.call.caller_id)
        crossed = fault is not None and fault.reason is _R.ANSWER_CROSSED
        self._pass_on(attempt.server, head, -math.inf if crossed else sent_at)
        if on_start and _has_begun(attempt, fault):
            on_start()
        if fault and not self._dialect.passes_server_errors:
            return fault
        if fault is None and stream_relay.is_event_stream(head):
            return await self._receive_events(attempt, answer)
        if fault is None and attempt.relay.events_relayed:
            detail = f"status {head.status} for the rest of a stream"
            return _failed(attempt, _R.SERVER_ERROR, detail)
        if self._dialect.needs_framing and not head.framed:
            return _failed(attempt, _R.ANSWER_TRUNCATED, "answer not framed")
        if fault and fault.reason in _NOT_THE_ANSWER:
            return fault
        body = await answer_buffers.read_all(answer.body(), self._buffers)
        if await self._ended_with_server(attempt, head):
            return _failed(attempt, _R.ANSWER_TRUNCATED, "server gone")
        answered = attempt_outcome.Answered(
            head.status, head.headers, body, head.framed
        )
        if fault is None:
            return answered
        return dataclasses.replace(fault, answer=answered)

    def _pass_on(
        self,
        server: backend_server.BackendServer,
        head: backend_connection.Head,
        sent_at: float,
    ) -> None:
        """Passes on what the head of an answer says about its server.

        An answer to an earlier request, whose time is unknown, may be outdated.
        Only that the server is leaving still holds.

        Args:
          server: the server that answered.
          head: the head of its answer.
          sent_at: clock time at which the request was sent, -inf if unknown.
        """
        current = sent_at > -math.inf
        load = self._dialect.load(head)
        if load and current:
            self._on_load(server.name, load)
        announcement = self._dialect.announcement(head)
        if announcement is None or self._on_announcement is None:
            return
        if not current:
            announcement = server_announcements.Announcement(
                leaving=announcement.leaving
            )
        self._on_announcement(server, announcement, sent_at)

    async def _receive_events(
        self, attempt: backend_dialect.Attempt, answer: _Answer
    ) -> attempt_outcome.AttemptOutcome:
        idle_s = attempt.call.request_class.timeouts.idle_s
        await attempt.relay.relay_events(answer, idle_s, self._buffers)
        if not attempt.relay.whole:
            return _failed(attempt, _R.ANSWER_TRUNCATED)
        if await self._ended_with_server(attempt, answer.head):
            return _failed(attempt, _R.ANSWER_TRUNCATED, "server gone")
        return attempt_outcome.Answered(
            answer.head.status,
            answer.head.headers,
            framed=answer.head.framed,
        )

    async def _ended_with_server(
        self, attempt: backend_dialect.Attempt, head: backend_connection.Head
    ) -> bool:
        """Returns whether an answer without a length may be cut short.

        The kernel ends the connections of a killed process in order, but no
        longer accepts any for it. What can't be known is not taken for whole.
        """
        if head.framed or self._dialect.needs_framing:
            return False
        return not await self._accepts(attempt.server, _END_CHECK_TIMEOUT_S)

    async def _cancel(self, attempt: backend_dialect.Attempt) -> None:
        request = self._dialect.cancel_request(attempt.call)
        if request is None:
            return
        with anyio.move_on_after(_CANCEL_TIMEOUT_S, shield=True):
            with contextlib.suppress(
                httpcore.TimeoutException,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ):
                answer = await self._transport.send(
                    server_connector.address_of(attempt.server),
                    request,
                    _CANCEL_TIMEOUT_S,
                )
                await answer.close()


def _has_begun(
    attempt: backend_dialect.Attempt, fault: attempt_outcome.Failed | None
) -> bool:
    """Returns whether a server began to run a call, by the answer's head.

    A streamed call begins with its first token, so a stream that fails with
    an error status has not begun.
    """
    if fault is None:
        return True
    ran = fault.run_state is not reasons.RunState.NOT_RUN
    return ran and not attempt.call.stream


def _failed(
    attempt: backend_dialect.Attempt,
    reason: reasons.RetryReason,
    detail: str = "",
) -> attempt_outcome.Failed:
    return backend_dialect.may_have_run(attempt, reason, detail)
