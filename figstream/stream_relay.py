"""Relays the answer of a backend server to the caller.

Streamed answers pass as raw bytes, whole events only, so that a broken
stream can be resumed after the last event the caller has. Answers that are
not streamed are kept until they are whole.
"""

from collections.abc import Callable
import re
import time
from typing import Final

from figstream import asgi
from figstream import backend_connection
from figstream import backend_transport
from figstream import caller_answer
from figstream import engine_protocol
from figstream import stream_monitor

# Seconds; a third of the planned time between tokens.
PACE_S: Final = 0.019
# Bytes; several such answers fit into a daemon's memory.
WHOLE_LIMIT_BYTES: Final = 32_000_000
_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


FirstListener = Callable[[], None]


class AnswerTooLongError(Exception):
    """Raised when an answer that is not streamed exceeds the limit."""


class StreamRelay:
    """The relay of one call's answer, over all its attempts."""

    def __init__(
        self,
        answer: caller_answer.Answer,
        on_first: FirstListener,
        terminator: bytes = engine_protocol.TERMINATOR,
        pace_s: float = PACE_S,
    ) -> None:
        """Relays to one caller.

        Args:
          answer: the answer to the caller.
          on_first: hears of the first event.
          terminator: what a complete stream ends with, b"" for nothing.
          pace_s: shortest time between two reads.
        """
        self._answer = answer
        self._on_first = on_first
        self._terminator = terminator
        self._pace_s = pace_s
        self._held = bytearray()
        self._head = backend_connection.Head(0, ())
        self._ended = False
        self._last_event_id = b""
        self.monitor = stream_monitor.StreamMonitor(streamed=True)
        self.first_byte_at = 0.0
        self.last_byte_at = 0.0

    @property
    def events_relayed(self) -> int:
        """Returns the events that the caller has."""
        return self.monitor.events

    @property
    def last_event_id(self) -> bytes:
        """Returns the id of the last event that the caller has."""
        return self._last_event_id

    @property
    def whole(self) -> bool:
        """Returns whether the caller has the complete stream."""
        if self._terminator:
            return self.monitor.whole
        return self._ended and not self._held

    async def relay_events(
        self, answer: backend_transport.Answer, idle_s: float
    ) -> None:
        """Relays a streamed answer until its connection ends it.

        Raises:
          httpcore.ReadTimeout: nothing arrived for the idle timeout.
          httpcore.NetworkError: the connection broke.
        """
        self._head = answer.head
        self._held.clear()
        paced = answer.stream
        if paced:
            paced.start_pacing(self._pace_s, idle_s, self.flush)
        try:
            async for chunk in answer.body():
                self._held += chunk
        finally:
            if paced:
                paced.stop_pacing()
        await self.flush()
        self._ended = True

    async def flush(self) -> None:
        """Passes on the whole events held."""
        end = self._held.rfind(engine_protocol.EVENT_END)
        if end < 0:
            return
        end += len(engine_protocol.EVENT_END)
        ready = bytes(self._held[:end])
        del self._held[:end]
        if not self.first_byte_at:
            self.first_byte_at = time.monotonic()
            self._on_first()
            await self._answer.start(self._head.status, self._head.headers)
        self.last_byte_at = time.monotonic()
        self._last_event_id = _last_id(ready) or self._last_event_id
        self.monitor.feed(ready)
        await self._answer.write(ready)

    async def end(self) -> None:
        """Ends the caller's answer."""
        await self._answer.end()


async def read_whole(answer: backend_transport.Answer) -> bytes:
    """Reads an answer that is not streamed.

    Raises:
      httpcore.ReadTimeout: nothing arrived for the idle timeout.
      AnswerTooLongError: the answer exceeds the limit.
      httpcore.NetworkError: the connection broke.
    """
    parts: list[bytes] = []
    size = 0
    async for chunk in answer.body():
        parts.append(chunk)
        size += len(chunk)
        if size > WHOLE_LIMIT_BYTES:
            raise AnswerTooLongError
    return b"".join(parts)


def is_event_stream(head: backend_connection.Head) -> bool:
    """Tells whether an answer is a stream of events."""
    return (head.get(b"content-type") or b"").startswith(asgi.EVENT_STREAM)


def _last_id(events: bytes) -> bytes:
    """Returns the id of the last event that has one."""
    found = _EVENT_ID.findall(events)
    return found[-1] if found else b""
