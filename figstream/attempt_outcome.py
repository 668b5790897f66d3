"""How an attempt at a backend server ended, as tagged outcomes.

The tag and its run state decide whether the request may be tried again.
"""

import dataclasses

from figstream import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer reached the caller.

    Attributes:
      status: HTTP status code.
      headers: headers of the answer, names in lower case.
      body: the body, kept only when it was not streamed.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""

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
      events_relayed: events of the stream that the caller already has.
      server_lost: whether the connection broke, as when a server dies.
      retry_after_s: seconds that the server asked to wait, or None.
      detail: what was found, without prompt text.
      answer: the server's own answer, if it may reach the caller.
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
    """Returns a failure before any byte was written or anything ran."""
    return Failed(reason, reasons.RunState.NOT_RUN, detail=detail)


def may_have_run(
    reason: reasons.RetryReason, events_relayed: int = 0, detail: str = ""
) -> Failed:
    """Returns a failure after which the server may have run the request."""
    return Failed(
        reason,
        reasons.RunState.MAY_HAVE_RUN,
        events_relayed,
        server_lost=reason is reasons.RetryReason.CONNECTION_LOST,
        detail=detail,
    )
