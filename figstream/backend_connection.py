"""One HTTP/1.1 connection to a backend server, over h11.

Requests go out whole. An answer may start before its request is written; the
rest is then not sent and the connection is used for nothing else. So is a
connection on which a byte follows a complete answer, since that byte would be
taken for the next one.
"""

from collections.abc import AsyncIterator
import re
import time
from typing import Final

import anyio
import attrs
import h11
import httpcore

Headers = tuple[tuple[bytes, bytes], ...]

# Bytes taken from the kernel at once; its usual receive buffer.
_READ_BYTES: Final = 65_536
# The longest answer head; h11's own default is a quarter of it.
_HEAD_BYTES: Final = 65_536
_KEEP_ALIVE: Final = re.compile(rb"timeout=(\d+)")
# Idle time after which a connection is not used again where the server does
# not say how long it keeps it; below the shortest whole second it could say.
DEFAULT_IDLE_S: Final = 0.9


@attrs.frozen
class Request:
    """A request as it goes on the wire.

    Attributes:
      method: HTTP method.
      target: path and query.
      headers: all headers, the framing ones included.
      body: the whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class Head:
    """Status and headers of an answer; header names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def framed(self) -> bool:
        """Returns whether the answer says where it ends."""
        names = {name for name, _ in self.headers}
        return bool({b"content-length", b"transfer-encoding"} & names)


class Connection:
    """A connection that carries one request at a time.

    Attributes:
      stream: the network stream, whose reads the relay may pace.
      read_timeout_s: longest wait for the next bytes, None for no limit.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Takes over a connected stream."""
        self.stream = stream
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES
        )
        self._unsent = b""
        self._idle_since = time.monotonic()
        self._keep_alive_s = DEFAULT_IDLE_S
        self._closed = False
        self._requests = 0
        self.read_timeout_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Returns whether the last exchange left the connection clean."""
        if self._closed or self._unsent:
            return False
        if self._h11.trailing_data[0]:
            return False
        done = h11.DONE
        return self._h11.our_state is done and self._h11.their_state is done

    def usable_after_idle(self, share: float) -> bool:
        """Tells whether a request may still be sent after the idle time.

        Args:
          share: part of the server's own idle timeout that may have passed.
        """
        idle_s = time.monotonic() - self._idle_since
        if idle_s > share * self._keep_alive_s:
            return False
        return not self.stream.get_extra_info("is_readable")

    async def send(self, request: Request) -> Head:
        """Sends a request and returns the head of the answer.

        Raises:
          httpcore.NetworkError: the connection broke.
          httpcore.RemoteProtocolError: what came is no answer.
        """
        if self._requests:
            self._h11.start_next_cycle()
        self._requests += 1
        self._unsent = self._encode(request)
        if len(self._unsent) <= _READ_BYTES:
            await self._write()
            return await self._read_head()
        found: Head | Exception
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_quietly)
            try:
                found = await self._read_head()
            except (
                httpcore.TimeoutException,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ) as error:
                # Raised below, since a group wraps what leaves it.
                found = error
            group.cancel_scope.cancel()
        if isinstance(found, Head):
            return found
        raise found

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, until the answer is complete.

        Raises:
          httpcore.NetworkError: the connection broke.
          httpcore.RemoteProtocolError: the answer ended early.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                self._idle_since = time.monotonic()
                return

    async def close(self) -> None:
        """Closes the connection."""
        self._closed = True
        await self.stream.aclose()

    def _encode(self, request: Request) -> bytes:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _write(self) -> None:
        await self.stream.write(self._unsent)
        self._unsent = b""

    async def _write_quietly(self) -> None:
        # A server may answer and close without reading the whole body; what
        # it answered counts, and a broken connection shows when it is read.
        try:
            await self._write()
        except httpcore.WriteError:
            return

    async def _read_head(self) -> Head:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise httpcore.RemoteProtocolError("closed without an answer")
        headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
        head = Head(event.status_code, headers)
        told = _KEEP_ALIVE.search(head.get(b"keep-alive") or b"")
        if told:
            self._keep_alive_s = float(told[1])
        return head

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise httpcore.RemoteProtocolError(str(error)) from error
            if event is h11.NEED_DATA:
                data = await self.stream.read(_READ_BYTES, self.read_timeout_s)
                self._h11.receive_data(data)
            elif isinstance(event, h11.Event):
                return event
            else:
                raise httpcore.RemoteProtocolError("data beyond the answer")
