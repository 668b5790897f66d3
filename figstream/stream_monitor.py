"""Watches a streamed answer without parsing its tokens.

Events are counted by their separators, and only the tail of the stream is
kept, which holds the terminator and the usage that the engine reports.
"""

from collections.abc import Mapping
import re
from typing import Final

import attrs
import orjson

from figstream import engine_protocol

# Bytes; terminator and usage record together.
_TAIL_BYTES: Final = 2_048
_USAGE: Final = re.compile(rb'"usage"\s*:\s*(\{[^{}]*\})')


@attrs.frozen
class TokenUsage:
    """Tokens as the engine counted them; None where it did not say."""

    prompt_tokens: int | None = None
    output_tokens: int | None = None


class StreamMonitor:
    """Counts events and bytes of one answer and knows whether it is whole."""

    def __init__(self, *, streamed: bool) -> None:
        """Watches a stream of events, or a body that is sent whole."""
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
        """Returns the tokens counted by events, without the last two."""
        if not self._streamed:
            return 0
        return max(0, self.events - (2 if self.whole else 0))

    def feed(self, chunk: bytes) -> None:
        """Takes note of a piece of the answer."""
        self.bytes_seen += len(chunk)
        if self._streamed:
            # A separator may be split over two pieces.
            joint = self._tail[-1:] + chunk
            self.events += joint.count(engine_protocol.EVENT_END)
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]

    def end(self) -> None:
        """Takes note that the body ended as its framing promised."""
        self._ended = True

    def usage(self) -> TokenUsage:
        """Returns the usage that the engine reported at the end."""
        found = _USAGE.findall(self._tail)
        if not found:
            return TokenUsage()
        try:
            fields: Mapping[str, object] = orjson.loads(found[-1])
        except orjson.JSONDecodeError:
            return TokenUsage()
        return TokenUsage(
            _count(fields.get("prompt_tokens")),
            _count(fields.get("completion_tokens")),
        )


def _count(value: object) -> int | None:
    return value if isinstance(value, int) and value >= 0 else None
