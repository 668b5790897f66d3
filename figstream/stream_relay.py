"""Relays the answer of a backend server to the caller.

Streamed answers are relayed as raw bytes in complete events, so that an
interrupted stream can be resumed after the last event that the caller has.
Other answers are buffered until they are complete.
"""

from collections.abc import Callable
import re
import time
from typing import Final

from figstream import answer_buffers
from figstream import asgi
from figstream import backend_connection
from figstream import backend_transport
from figstream import caller_answer
from figstream import engine_protocol
from figstream import stream_monitor

# A third of the planned time between tokens.
READ_INTERVAL_S: Final = 0.019
# Hundreds of times the longest event of an engine; longer bytes without an end
# of an event are none.
MAX_EVENT_BYTES: Final = 1_000_000
_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_COMMENT: Final = b":"
_SUCCESS: Final = range(200, 300)
# Longest part of an id in a log.
_SHOWN_BYTES: Final = 40

FirstEventListener = Callable[[], None]


class EventsRepeatedError(Exception):
    """Raised when a server does not go on after the last event of a stream."""


class StreamRelay:
    """Relays the answer of one request over all its attempts."""

    def __init__(
        self,
        answer: caller_answer.Answer,
        on_first_event: FirstEventListener,
        terminator: bytes = engine_protocol.TERMINATOR,
        read_interval_s: float = READ_INTERVAL_S,
        resumed_after: bytes = b"",
    ) -> None:
        """Initializes the relay to one caller.

        Args:
          answer: the answer to the caller.
          on_first_event: called when the first event is relayed.
          terminator: bytes that end a complete stream, b"" for none.
          read_interval_s: minimum interval between two reads.
          resumed_after: id of the last event that the caller has of a stream
            that it takes up, b"" for none.
        """
        self._answer = answer
        self._on_first_event = on_first_event
        self._terminator = terminator
        self._read_interval_s = read_interval_s
        self._buffer = bytearray()
        self._head = backend_connection.Head(0, ())
        self._ended = False
        self._events_before = 0
        self._last_event_id = resumed_after
        self._resumed = False
        self.monitor = stream_monitor.StreamMonitor(streamed=True)
        self.first_byte_at = 0.0
        self.last_byte_at = 0.0

    @property
    def events_relayed(self) -> int:
        """Returns the number of events sent to the caller."""
        return self.monitor.events

    @property
    def last_event_id(self) -> bytes:
        """Returns the id of the last event sent to the caller."""
        return self._last_event_id

    @property
    def whole(self) -> bool:
        """Returns whether the complete stream was sent to the caller."""
        if self._terminator:
            return self.monitor.whole
        # The end of a connection may be that of the server.
        begun = self.monitor.events > self._events_before
        return self._ended and not self._buffer and (self._head.framed or begun)

    async def relay_events(
        self,
        answer: backend_transport.Answer,
        idle_s: float,
        buffers: answer_buffers.AnswerBuffers,
    ) -> None:
        """Relays a streamed answer until its body ends.

        Args:
          answer: the answer of the server.
          idle_s: longest wait for the next bytes.
          buffers: memory of the answers that are being buffered.

        Raises:
          answer_buffers.AnswerTooLongError: an event does not end.
          EventsRepeatedError: the events do not go on after those that the
            caller has; nothing is relayed of them.
          httpcore.ReadTimeout: nothing arrived for the idle timeout.
          httpcore.NetworkError: the connection broke.
        """
        self._head = answer.head
        self._events_before = self.monitor.events
        # Events of servers that give no ids can't be compared.
        self._resumed = bool(self._last_event_id)
        self._buffer.clear()
        paced = answer.stream
        if paced:
            paced.start_pacing(self._read_interval_s, idle_s, self.flush)
        try:
            with answer_buffers.AnswerBuffer(buffers) as buffer:
                async for chunk in answer.body():
                    # Complete events were flushed before this read.
                    if len(self._buffer) > MAX_EVENT_BYTES:
                        raise answer_buffers.AnswerTooLongError
                    self._buffer += chunk
                    if paced is None:
                        await self.flush()
                    buffer.resize(len(self._buffer))
        finally:
            if paced:
                paced.stop_pacing()
        await self.flush()
        self._ended = True

    async def flush(self) -> None:
        """Relays the complete events in the buffer."""
        end = self._buffer.rfind(engine_protocol.EVENT_END)
        if end < 0:
            return
        end += len(engine_protocol.EVENT_END)
        ready = bytes(self._buffer[:end])
        if self._resumed:
            _check_order(self._last_event_id, ready)
        del self._buffer[:end]
        if not self.first_byte_at:
            self.first_byte_at = time.monotonic()
            self._on_first_event()
            await self._answer.start(self._head.status, self._head.headers)
        self.last_byte_at = time.monotonic()
        self._last_event_id = _last_id(ready) or self._last_event_id
        self.monitor.feed(ready)
        await self._answer.write(ready)

    def release_listener(self) -> None:
        """Forgets the listener, which refers to the request and its body.

        The request refers to the relay. The garbage collector would find them
        only after some thousands of requests.
        """
        self._on_first_event = _ignore_first_event

    async def end(self) -> None:
        """Ends the caller's answer."""
        await self._answer.end()


def is_event_stream(head: backend_connection.Head) -> bool:
    """Returns whether an answer is a stream of events.

    An error is none, whatever its media type: it is never part of a stream.
    """
    if head.status not in _SUCCESS or not head.has_body:
        return False
    content_type = head.get(b"content-type") or b""
    return content_type.startswith(asgi.EVENT_STREAM)


def _check_order(last_id: bytes, events: bytes) -> None:
    """Checks that events go on after an event.

    Args:
      last_id: id of the event.
      events: complete events.

    Raises:
      EventsRepeatedError: an event has no id, or its id does not rise.
    """
    for event in events.split(engine_protocol.EVENT_END):
        lines = [line for line in event.split(b"\n") if line]
        if all(line.startswith(_COMMENT) for line in lines):
            continue
        event_id = _last_id(event)
        if not event_id or not _rises(last_id, event_id):
            raise EventsRepeatedError(
                f"event id {event_id[:_SHOWN_BYTES]!r}"
                f" after {last_id[:_SHOWN_BYTES]!r}"
            )
        last_id = event_id


def _rises(last_id: bytes, event_id: bytes) -> bool:
    """Returns whether an id may follow another; both may be any text."""
    if not last_id.isdigit() or not event_id.isdigit():
        return event_id != last_id
    # Both may have more digits than Python converts.
    old, new = last_id.lstrip(b"0"), event_id.lstrip(b"0")
    return (len(new), new) > (len(old), old)


def _ignore_first_event() -> None:
    return None


def _last_id(events: bytes) -> bytes:
    """Returns the id of the last event that has one, or b""."""
    found = _EVENT_ID.findall(events)
    return found[-1] if found else b""
