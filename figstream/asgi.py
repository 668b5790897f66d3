"""Helpers for ASGI applications that read requests and send answers.

Used by every HTTP front of the daemon and by the stand-in servers.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import sys
from typing import Any
from typing import Final
from typing import Protocol

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


class NoRoomError(Exception):
    """Raised when there is no memory for a body, which was read to its end."""


class Room(Protocol):
    """The memory that a body may take."""

    @property
    def size_bytes(self) -> int:
        """Returns the bytes that the body may have."""

    async def take(self, size_bytes: int, most_bytes: int) -> bool:
        """Makes room for a body; returns whether there is room.

        Args:
          size_bytes: size that the body has at least.
          most_bytes: size that it can't exceed.
        """

    def shrink(self, size_bytes: int) -> None:
        """Gives the bytes beyond a size back."""


class _Unbounded:
    """Room without a bound; implements `Room`."""

    size_bytes: Final = sys.maxsize

    async def take(self, size_bytes: int, most_bytes: int) -> bool:
        """Returns True."""
        return True

    def shrink(self, size_bytes: int) -> None:
        """Does nothing."""


_UNBOUNDED: Final = _Unbounded()


async def read_body(
    receive: Receive,
    limit_bytes: int,
    room: Room = _UNBOUNDED,
    declared_bytes: int = 0,
) -> bytes:
    """Reads a request body to its end, once there is memory for it.

    Args:
      receive: the channel of the caller.
      limit_bytes: largest size of a body.
      room: the memory that the body may take.
      declared_bytes: its length by its head, 0 if that names none.

    Raises:
      BodyTooLargeError: the body is longer than the limit.
      CallerGoneError: the caller closed the connection.
      NoRoomError: there is no memory for the body.
    """
    fits = True
    if declared_bytes:
        needed_bytes = min(declared_bytes, limit_bytes)
        fits = await room.take(needed_bytes, needed_bytes)
    # Chunks of one byte each would take many times their size as a list.
    body = bytearray()
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit_bytes:
            raise BodyTooLargeError
        if fits and size > room.size_bytes:
            fits = await room.take(size, limit_bytes)
        if fits:
            body += chunk
        else:
            body.clear()
        if message.get("more_body", False):
            continue
        if not fits:
            raise NoRoomError
        room.shrink(size)
        return bytes(body)


def declared_length(scope: Scope) -> int:
    """Returns the length of the body that the head of a request names, or 0."""
    for name, value in scope["headers"]:
        if name == b"content-length":
            return int(value)
    return 0


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
