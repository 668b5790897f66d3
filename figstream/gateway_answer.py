"""Sends the answer to a caller of the gateway.

Answers of backend servers pass unchanged. If an answer has begun and can't be
completed, its connection is aborted, so that the answer never looks complete.
The status of a refusal shows whether the request ran: 503 guarantees that it
did not.
"""

from collections.abc import Callable
from typing import Final

import orjson

from figstream import asgi
from figstream import attempt_outcome
from figstream import caller_answer
from figstream import errors
from figstream import gateway_dialect
from figstream import reasons

_NOT_RUN_STATUS: Final = 503
_MAY_HAVE_RUN_STATUS: Final = 502
_DEADLINE_PASSED_STATUS: Final = 504
_CLOSE_HEADER: Final = (b"connection", b"close")
_R = reasons.RefusalReason
# Errors of the caller, for which a retry would fail again.
_CALLER_ERRORS: Final = frozenset(
    {
        _R.MISSING_KEY,
        _R.UNKNOWN_KEY,
        _R.WITHDRAWN_KEY,
        _R.UNKNOWN_ROUTE,
        _R.BODY_TOO_LARGE,
        _R.HEADERS_TOO_LARGE,
        _R.INVALID_HEADER,
    }
)


class GatewayAnswer:
    """Sends the status once, then the body; implements `Answer`."""

    def __init__(
        self,
        send: asgi.Send,
        dialect: gateway_dialect.CallerDialect,
        request_id: str,
        leaving: Callable[[], bool],
    ) -> None:
        """Initializes an answer that has not begun.

        Args:
          send: the ASGI channel to the caller.
          dialect: chooses the headers of answers and refusals.
          request_id: the caller's id of the request.
          leaving: returns whether the daemon is shutting down and asks
            callers to close their connections.
        """
        self._send = send
        self._dialect = dialect
        self._request_id = request_id
        self._is_leaving = leaving
        self._started = False

    @property
    def started(self) -> bool:
        """Returns whether sending has begun."""
        return self._started

    async def start(self, status: int, headers: caller_answer.Headers) -> None:
        """Sends the status and headers of a streamed answer."""
        self._started = True
        passed_headers = self._dialect.answer_headers(headers)
        await asgi.send_start(
            self._send, status, self._with_close_header(passed_headers)
        )

    async def write(self, body: bytes) -> None:
        """Sends a chunk of the body."""
        await asgi.send_body(self._send, body, more=True)

    async def end(self) -> None:
        """Ends the body."""
        await asgi.send_body(self._send, b"", more=False)

    async def whole(self, answered: attempt_outcome.Answered) -> None:
        """Sends a complete answer of a backend server."""
        self._started = True
        passed_headers = self._with_close_header(
            self._dialect.answer_headers(answered.headers)
        )
        if answered.status in asgi.NO_BODY_STATUSES:
            await asgi.send_start(self._send, answered.status, passed_headers)
            await self.end()
            return
        await asgi.send_complete(
            self._send, answered.status, passed_headers, answered.body
        )

    async def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal.

        Raises:
          asgi.CallerGoneError: an answer has begun; the connection is aborted.
        """
        if self._started:
            raise asgi.CallerGoneError
        self._started = True
        fields = {
            "code": refusal.reason.value,
            "message": refusal.message,
            "run_state": refusal.run_state.value,
        }
        headers = (
            (b"content-type", asgi.JSON),
            *self._dialect.refusal_headers(refusal, self._request_id),
        )
        await asgi.send_complete(
            self._send,
            status_of(refusal),
            self._with_close_header(headers),
            orjson.dumps({"error": fields}),
        )

    def _with_close_header(
        self, headers: caller_answer.Headers
    ) -> caller_answer.Headers:
        return (*headers, _CLOSE_HEADER) if self._is_leaving() else headers


def status_of(refusal: errors.Refusal) -> int:
    """Returns the status code of a refusal by the gateway."""
    if refusal.run_state is reasons.RunState.NOT_RUN:
        if refusal.reason in _CALLER_ERRORS:
            return refusal.http_status
        return _NOT_RUN_STATUS
    if refusal.reason is _R.DEADLINE_PASSED:
        return _DEADLINE_PASSED_STATUS
    return _MAY_HAVE_RUN_STATUS
