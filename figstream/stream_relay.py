"""Relays the answer of a backend server to the caller.

Streamed answers pass as raw bytes, whole events only, so that a broken
stream can be resumed after the last event the caller has. Answers that are
not streamed are kept until they are whole.
"""

from collections.abc import Callable
import time
from typing import Final

import httpx

from figstream import asgi
from figstream import backend_network
from figstream import backend_transport
from figstream import caller_answer
from figstream import engine_protocol
from figstream import stream_monitor

PACE_S: Final = 0.019
WHOLE_LIMIT_BYTES: Final = 32_000_000


FirstListener = Callable[[], None]


class AnswerTooLongError(Exception):
    """Raised when an answer that is not streamed exceeds the limit."""


class StreamRelay:
    """The relay of one call's answer, over all its attempts."""

    def __init__(
        self, answer: caller_answer.CallerAnswer, on_first: FirstListener
    ) -> None:
        """Relays to one caller; the listener hears of the first event."""
        self._answer = answer
        self._on_first = on_first
        self._held = bytearray()
        self._status = 0
        self._content_type = b""
        self.monitor = stream_monitor.StreamMonitor(streamed=True)
        self.first_byte_at = 0.0
        self.last_byte_at = 0.0

    @property
    def events_relayed(self) -> int:
        """Returns the events that the caller has."""
        return self.monitor.events

    async def relay_events(
        self, response: httpx.Response, idle_s: float
    ) -> None:
        """Relays a streamed answer until its connection ends it.

        Raises:
          httpcore.ReadTimeout: nothing arrived for the idle timeout.
          httpcore.NetworkError: the connection broke.
        """
        self._status = response.status_code
        self._content_type = response.headers.get("content-type", "").encode()
        self._held.clear()
        paced = response.extensions.get(backend_transport.PACED_STREAM)
        if isinstance(paced, backend_network.PacedStream):
            paced.start_pacing(PACE_S, idle_s, self.flush)
        try:
            await self._copy(response)
        finally:
            if isinstance(paced, backend_network.PacedStream):
                paced.stop_pacing()
        await self.flush()

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
            await self._answer.start(self._status, self._content_type)
        self.last_byte_at = time.monotonic()
        self.monitor.feed(ready)
        await self._answer.write(ready)

    async def end(self) -> None:
        """Ends the caller's answer."""
        await self._answer.end()

    async def _copy(self, response: httpx.Response) -> None:
        assert isinstance(response.stream, httpx.AsyncByteStream)
        async for chunk in response.stream:
            self._held += chunk


async def read_whole(response: httpx.Response) -> bytes:
    """Reads an answer that is not streamed.

    Raises:
      httpcore.ReadTimeout: nothing arrived for the idle timeout.
      AnswerTooLongError: the answer exceeds the limit.
      httpcore.NetworkError: the connection broke.
    """
    parts: list[bytes] = []
    size = 0
    assert isinstance(response.stream, httpx.AsyncByteStream)
    async for chunk in response.stream:
        parts.append(chunk)
        size += len(chunk)
        if size > WHOLE_LIMIT_BYTES:
            raise AnswerTooLongError
    return b"".join(parts)


def is_event_stream(response: httpx.Response) -> bool:
    """Tells whether an answer is a stream of events."""
    kind: str = response.headers.get("content-type", "")
    return kind.startswith(asgi.EVENT_STREAM.decode())
