"""One HTTP/1.1 connection to a backend server, based on h11.

`backend_transport` sends attempts over these connections and reuses them. A
server may answer before the request is written completely; the rest of the
request is then not sent and the connection is not reused. A connection on
which bytes follow a complete answer is not reused either, since those bytes
would be taken for the next answer.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterable
import re
import time
from typing import Final

import anyio
import attrs
import h11
import httpcore

from figstream import asgi
from figstream import bounded_turn
from figstream import head_lines

Headers = tuple[tuple[bytes, bytes], ...]

# The kernel's usual receive buffer.
_READ_BYTES: Final = 65_536
# Longest answer head; four times h11's own default.
_MAX_HEAD_BYTES: Final = 65_536
_KEEP_ALIVE_PATTERN: Final = re.compile(rb"timeout=(\d+)")
_STATUS_LINE_PATTERN: Final = re.compile(rb"HTTP/1\.[01] \d{3}")
# The largest status code that HTTP allows (RFC 9110, section 15). h11 accepts
# all up to 999.
_MAX_STATUS: Final = 599
# Refusals whose requests a connection remembers; after that many it is not
# reused, which bounds its memory.
_MAX_REFUSALS: Final = 64
# Assumed idle timeout of a server that sends no Keep-Alive header. It is
# below one second, the shortest timeout that the header can express.
DEFAULT_IDLE_TIMEOUT_S: Final = 0.9


@attrs.frozen
class Request:
    """A request as sent to a server.

    Attributes:
      method: HTTP method.
      target: path and query.
      headers: all headers, including those that frame the body.
      body: the complete body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@attrs.frozen
class Head:
    """The head of an answer.

    Attributes:
      status: HTTP status code.
      headers: the headers, names in lower case.
      first: whether it is the first answer on its connection, so that it can't
        belong to an earlier request.
      has_body: whether the answer may have a body.
    """

    status: int
    headers: Headers
    first: bool = True
    has_body: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def framed(self) -> bool:
        """Returns whether its head determines where the answer ends."""
        if not self.has_body:
            return True
        names = {name for name, _ in self.headers}
        return bool({b"content-length", b"transfer-encoding"} & names)


class Connection:
    """A connection that carries one request at a time.

    Attributes:
      stream: the network stream; the relay may pace its reads.
      read_timeout_s: longest wait for the next bytes, None for no limit.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Initializes the connection; takes ownership of the stream."""
        self.stream = stream
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._unsent: tuple[bytes, ...] = ()
        self._idle_since = time.monotonic()
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._closed = False
        self._request_count = 0
        self._refused_calls: set[str] = set()
        self._method = b""
        self._head_lines = head_lines.HeadLines()
        self._turn = bounded_turn.BoundedTurn()
        self.read_timeout_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Returns whether another request may follow the last exchange.

        The request must be written and the answer read completely, without
        bytes beyond it.
        """
        if self._closed or self._unsent:
            return False
        if len(self._refused_calls) >= _MAX_REFUSALS:
            return False
        if self._h11.trailing_data[0]:
            return False
        done = h11.DONE
        return self._h11.our_state is done and self._h11.their_state is done

    def usable_after_idle(self, idle_fraction: float) -> bool:
        """Returns whether an idle connection is safe for another request.

        Args:
          idle_fraction: fraction of the server's idle timeout that may have
            passed.
        """
        idle_s = time.monotonic() - self._idle_since
        if idle_s > idle_fraction * self._idle_timeout_s:
            return False
        return not self.stream.get_extra_info("is_readable")

    def add_refusal(self, call_id: str) -> None:
        """Records that the server refused a call on this connection."""
        self._refused_calls.add(call_id)

    def has_refused(self, call_id: str) -> bool:
        """Returns whether the server refused a call on this connection.

        If the server sends that refusal once more, nothing distinguishes it
        from the answer to another attempt of the same call.
        """
        return call_id in self._refused_calls

    async def send(self, request: Request) -> Head:
        """Sends a request and returns the head of the answer.

        Raises:
          httpcore.NetworkError: the connection broke.
          httpcore.RemoteProtocolError: the received bytes are not an answer.
        """
        if self._request_count:
            self._h11.start_next_cycle()
        self._request_count += 1
        self._method = request.method
        self._head_lines = head_lines.HeadLines()
        self._unsent = self._encode(request)
        if len(self._unsent) == 1:
            await self._write()
            return await self._read_head()
        result: Head | Exception
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_ignoring_errors)
            try:
                result = await self._read_head()
            except (
                httpcore.TimeoutException,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ) as error:
                # Raised outside the task group, which would wrap the error
                # in an exception group.
                result = error
            group.cancel_scope.cancel()
        if isinstance(result, Head):
            return result
        raise result

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

    def _encode(self, request: Request) -> tuple[bytes, ...]:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        sent = tuple(part for part in parts if part)
        if len(request.body) > _READ_BYTES:
            # Joined, a long body would be in memory twice.
            return sent
        return (b"".join(sent),)

    async def _write(self) -> None:
        for part in self._unsent:
            await self.stream.write(part)
        self._unsent = ()

    async def _write_ignoring_errors(self) -> None:
        # A server may answer and close without reading the complete body.
        # Its answer is still valid; if there is none, the read fails.
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
                raise httpcore.RemoteProtocolError(
                    "server closed the connection without an answer"
                )
        headers = tuple((bytes(k), bytes(v)) for k, v in event.headers)
        first = self._request_count == 1
        values = (bytes(event.reason), *(value for _, value in headers))
        if not first and _has_status_line(values):
            raise httpcore.RemoteProtocolError(
                "an answer begins within the head of another"
            )
        status = event.status_code
        if status > _MAX_STATUS:
            raise httpcore.RemoteProtocolError(f"invalid status {status}")
        has_body = (
            self._method != b"HEAD" and status not in asgi.NO_BODY_STATUSES
        )
        head = Head(status, headers, first, has_body)
        match = _KEEP_ALIVE_PATTERN.search(head.get(b"keep-alive") or b"")
        if match:
            self._idle_timeout_s = float(match[1])
        return head

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise httpcore.RemoteProtocolError(str(error)) from error
            if event is h11.NEED_DATA:
                data = await self.stream.read(_READ_BYTES, self.read_timeout_s)
                self._head_lines.feed(data)
                self._h11.receive_data(data)
            elif isinstance(event, h11.Event):
                size = len(event.data) if isinstance(event, h11.Data) else 0
                if self._turn.handled(size):
                    await self._turn.pass_on()
                return event
            else:
                raise httpcore.RemoteProtocolError(
                    "server sent data beyond the end of its answer"
                )


def _has_status_line(values: Iterable[bytes]) -> bool:
    """Returns whether one of the values of a head contains a status line.

    The head is then the start of an answer that broke off, such as an answer to
    an earlier request that the server sent once more, and a whole answer.
    """
    return any(_STATUS_LINE_PATTERN.search(value) for value in values)
