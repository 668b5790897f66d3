"""Helpers for ASGI applications that read requests and send answers.

Used by every HTTP front of the daemon and by the stand-in servers.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

JSON: Final = b"application/json"
EVENT_STREAM: Final = b"text/event-stream"
NO_BODY_STATUSES: Final = frozenset({204, 304})


class CallerGoneError(Exception):
    """Raised when the caller closed the connection."""


class BodyTooLargeError(Exception):
    """Raised when a body exceeds the size limit."""


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Reads a request body to its end.

    Raises:
      BodyTooLargeError: the body is longer than the limit.
      CallerGoneError: the caller closed the connection.
    """
    # Chunks of one byte each would take many times their size as a list.
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise BodyTooLargeError
        if not message.get("more_body", False):
            return bytes(body)


async def wait_for_disconnect(receive: Receive) -> None:
    """Waits until the caller has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


def headers_of(scope: Scope) -> Mapping[str, str]:
    """Returns the headers by lower-case name.

    Of headers with the same name only the last one is returned.
    """
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def send_start(send: Send, status: int, headers: Headers) -> None:
    """Sends the status line and the headers."""
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": list(headers),
        }
    )


async def send_body(send: Send, body: bytes, *, more: bool) -> None:
    """Sends a chunk of the body; `more` announces further chunks."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_complete(
    send: Send, status: int, headers: Headers, body: bytes
) -> None:
    """Sends a complete answer with its content length."""
    length = (b"content-length", str(len(body)).encode())
    await send_start(send, status, [*headers, length])
    await send_body(send, body, more=False)
