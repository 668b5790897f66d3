"""Outcomes of an attempt to serve a request at a backend server.

The retry policy decides by the type of the outcome and its run state whether
the request may be retried.
"""

import dataclasses
from typing import Final

from figstream import reasons

_SERVER_MAY_BE_LOST: Final = frozenset(
    {
        reasons.RetryReason.CONNECTION_LOST,
        reasons.RetryReason.ANSWER_TRUNCATED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The attempt produced a complete answer.

    Attributes:
      status: HTTP status code.
      headers: headers of the answer, names in lower case.
      body: the body, or b"" if it was streamed to the caller.
      framed: whether the headers determined where the answer ends. Otherwise
        it ended with its connection, which a crash of the server ends too.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    framed: bool = True

    @property
    def content_type(self) -> bytes:
        """Returns the media type of the body."""
        return next(
            (value for name, value in self.headers if name == b"content-type"),
            b"application/octet-stream",
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt failed.

    Attributes:
      reason: what failed.
      run_state: whether the backend server ran the request.
      events_relayed: number of stream events already sent to the caller.
      server_lost: whether the connection broke or ended early, which happens
        when a server dies.
      retry_after_s: delay that the server asked for, or None.
      detail: description of the failure, without prompt text.
      answer: the server's error answer, if it may be sent to the caller.
    """

    reason: reasons.RetryReason
    run_state: reasons.RunState
    events_relayed: int = 0
    server_lost: bool = False
    retry_after_s: float | None = None
    detail: str = ""
    answer: Answered | None = None


AttemptOutcome = Answered | Failed


def not_run(reason: reasons.RetryReason, detail: str = "") -> Failed:
    """Returns a failure of an attempt that the server did not run."""
    return Failed(reason, reasons.RunState.NOT_RUN, detail=detail)


def may_have_run(
    reason: reasons.RetryReason, events_relayed: int = 0, detail: str = ""
) -> Failed:
    """Returns a failure after which the server may have run the request."""
    return Failed(
        reason,
        reasons.RunState.MAY_HAVE_RUN,
        events_relayed,
        server_lost=reason in _SERVER_MAY_BE_LOST,
        detail=detail,
    )
