"""Sends the answer or the refusal of one request to its caller over ASGI.

The request path writes to the `Answer` protocol; `CallerAnswer` implements it
for the HTTP front of the daemon.
"""

from collections.abc import Mapping
from typing import Final
from typing import Protocol

import orjson

from figstream import asgi
from figstream import attempt_outcome
from figstream import errors
from figstream import inbound

_CALLER_ID_HEADER: Final = inbound.ID_HEADER.encode()
_REQUEST_ID_HEADER: Final = b"x-figstream-id"
_RETRY_AFTER_HEADER: Final = b"retry-after"
_RETRY_AFTER_MS_HEADER: Final = b"x-retry-after-ms"


Headers = tuple[tuple[bytes, bytes], ...]


class Answer(Protocol):
    """The interface through which the request path answers a caller."""

    @property
    def started(self) -> bool:
        """Returns whether the status was sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and headers of a chunked answer."""

    async def write(self, body: bytes) -> None:
        """Sends a chunk of the body."""

    async def end(self) -> None:
        """Ends the body."""

    async def whole(self, answered: attempt_outcome.Answered) -> None:
        """Sends a complete answer."""

    async def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal, or aborts an answer that has started."""


class CallerAnswer:
    """Sends an answer over ASGI, in chunks or as a whole."""

    def __init__(
        self, send: asgi.Send, caller_id: str, request_id: str
    ) -> None:
        """Initializes the answer on an ASGI send channel."""
        self._send = send
        self._caller_id = caller_id
        self._request_id = request_id
        self._started = False
        self._streamed = False

    @property
    def started(self) -> bool:
        """Returns whether the status was sent."""
        return self._started

    @property
    def request_id(self) -> str:
        """Returns the unique id that the daemon gave the request."""
        return self._request_id

    @property
    def caller_id(self) -> str:
        """Returns the id that the caller sent, or the unique id."""
        return self._caller_id

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the status and media type of a chunked answer."""
        content_type = dict(headers).get(b"content-type", b"")
        self._started = True
        self._streamed = content_type.startswith(asgi.EVENT_STREAM)
        answer_headers = [(b"content-type", content_type), *self._id_headers()]
        await asgi.send_start(self._send, status, answer_headers)

    async def write(self, body: bytes) -> None:
        """Sends a chunk of the body."""
        await asgi.send_body(self._send, body, more=True)

    async def end(self) -> None:
        """Ends the body."""
        await asgi.send_body(self._send, b"", more=False)

    async def whole(self, answered: attempt_outcome.Answered) -> None:
        """Sends a complete answer."""
        await self.send_page(
            answered.status, answered.content_type, answered.body
        )

    async def send_page(
        self, status: int, content_type: bytes, body: bytes
    ) -> None:
        """Sends a complete page that the daemon itself produces."""
        self._started = True
        headers = [(b"content-type", content_type), *self._id_headers()]
        await asgi.send_complete(self._send, status, headers, body)

    async def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal, as an error event if a stream has started.

        Raises:
          CallerGoneError: another answer has started and is aborted.
        """
        body = orjson.dumps(_error_fields(refusal, self._request_id))
        if not self._started:
            headers = [
                (b"content-type", asgi.JSON),
                *self._id_headers(),
                *_retry_headers(refusal),
            ]
            self._started = True
            await asgi.send_complete(
                self._send, refusal.http_status, headers, body
            )
        elif self._streamed:
            event = b"event: error\ndata: " + body + b"\n\n"
            await asgi.send_body(self._send, event, more=False)
        else:
            # The answer has started and is not an event stream, so that only
            # closing the connection can report the failure.
            raise asgi.CallerGoneError

    def _id_headers(self) -> list[tuple[bytes, bytes]]:
        return [
            (_CALLER_ID_HEADER, self._caller_id.encode()),
            (_REQUEST_ID_HEADER, self._request_id.encode()),
        ]


def _error_fields(
    refusal: errors.Refusal, request_id: str
) -> Mapping[str, object]:
    return {
        "error": {
            "code": refusal.reason.value,
            "message": refusal.message,
            "run_state": refusal.run_state.value,
            "request_id": request_id,
            "retry_after_s": refusal.retry_after_s,
        }
    }


def _retry_headers(refusal: errors.Refusal) -> list[tuple[bytes, bytes]]:
    if refusal.retry_after_s is None:
        return []
    rounded_s = max(1, round(refusal.retry_after_s + 0.5))
    milliseconds = round(refusal.retry_after_s * 1_000)
    return [
        (_RETRY_AFTER_HEADER, str(rounded_s).encode()),
        (_RETRY_AFTER_MS_HEADER, str(milliseconds).encode()),
    ]
