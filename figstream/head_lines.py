"""Checks the lines of an answer's head as its bytes arrive.

h11 also ends a line at a line feed alone, and joins a line that begins with a
blank to the value before it. If a server sends such bytes within the names of
headers, callers would get a changed value, or a part of the head as the body.
RFC 9112 lets a gateway refuse both (sections 2.2 and 5.2).
"""

import re
from typing import Final

import httpcore

_LINE_END: Final = b"\r\n"
_HEAD_END: Final = b"\r\n\r\n"
_INTERIM_PATTERN: Final = re.compile(rb"HTTP/\d\.\d 1")
_INTERIM_BYTES: Final = 10


class HeadLines:
    """The lines of the head of one answer and of the interim ones before it."""

    def __init__(self) -> None:
        """Initializes before the first byte of the answer."""
        self._in_head = True
        self._first_bytes = b""
        # The last line, with the end of the line before it.
        self._rest = b""

    def feed(self, data: bytes) -> None:
        """Checks the next bytes of the answer; ignores those after its head.

        Raises:
          httpcore.RemoteProtocolError: the head has a line that h11 reads in
            another way than its server may have meant.
        """
        while self._in_head and data:
            data = self._feed_head(data)

    def _feed_head(self, data: bytes) -> bytes:
        """Checks bytes of one head; returns those after it."""
        self._first_bytes = (self._first_bytes + data)[:_INTERIM_BYTES]
        data = self._rest + data
        end = data.find(_HEAD_END)
        if end < 0:
            _check(data)
            self._rest = data[max(0, data.rfind(_LINE_END)) :]
            return b""
        end += len(_HEAD_END)
        _check(data[:end])
        self._in_head = bool(_INTERIM_PATTERN.match(self._first_bytes))
        self._first_bytes = self._rest = b""
        return data[end:]


def _check(lines: bytes) -> None:
    if (
        lines.count(b"\n") != lines.count(_LINE_END)
        or b"\n " in lines
        or b"\n\t" in lines
    ):
        raise httpcore.RemoteProtocolError(
            "the head has a folded line, or one that ends with a line feed "
            "alone"
        )
