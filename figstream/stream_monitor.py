"""Counts the events of an answer and reads the usage at its end.

The stream relay feeds it each chunk. Events are counted by their separators
without being parsed, and only the tail of the answer is stored, because the
terminator and the usage reported by the engine come last.
"""

from collections.abc import Mapping
import re
from typing import Final

import attrs
import orjson

from figstream import engine_protocol

# The terminator and the usage record fit into the tail.
_TAIL_BYTES: Final = 2_048
# Many times the tokens of any answer; sums are stored as numbers of 64 bits.
_MAX_TOKENS: Final = 1_000_000_000
_USAGE: Final = re.compile(rb'"usage"\s*:\s*(\{[^{}]*\})')


@attrs.frozen
class TokenUsage:
    """Token counts that the engine reported; None if it reported none."""

    prompt_tokens: int | None = None
    output_tokens: int | None = None


class StreamMonitor:
    """Counts events and bytes of one answer and checks its completeness."""

    def __init__(self, *, streamed: bool) -> None:
        """Initializes the monitor for a stream of events or a single body."""
        self._streamed = streamed
        self._tail = b""
        self._ended = False
        self.bytes_seen = 0
        self.events = 0

    @property
    def whole(self) -> bool:
        """Returns whether the answer is complete."""
        if not self._streamed:
            return self._ended
        return self._tail.endswith(engine_protocol.TERMINATOR)

    @property
    def output_tokens(self) -> int:
        """Returns the number of events that carry a token.

        The last two events of a complete stream carry none.
        """
        if not self._streamed:
            return 0
        return max(0, self.events - (2 if self.whole else 0))

    def feed(self, chunk: bytes) -> None:
        """Processes a chunk of the answer."""
        self.bytes_seen += len(chunk)
        if self._streamed:
            # A separator may be split over two chunks.
            joint = self._tail[-1:] + chunk
            self.events += joint.count(engine_protocol.EVENT_END)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]

    def end(self) -> None:
        """Records that the body ended where its HTTP framing announced."""
        self._ended = True

    def usage(self) -> TokenUsage:
        """Returns the usage that the engine reported in the answer."""
        found = _USAGE.findall(self._tail)
        if not found:
            return TokenUsage()
        try:
            fields: Mapping[str, object] = orjson.loads(found[-1])
        except orjson.JSONDecodeError:
            return TokenUsage()
        return TokenUsage(
            _token_count(fields.get("prompt_tokens")),
            _token_count(fields.get("completion_tokens")),
        )


def _token_count(value: object) -> int | None:
    if not isinstance(value, int) or not 0 <= value <= _MAX_TOKENS:
        return None
    return value
