"""Sets of sequence numbers, stored as sorted spans that do not overlap.

The usage modules record with them which deltas have been counted.
"""

from collections.abc import Iterable
import itertools

import attrs


@attrs.frozen
class Span:
    """Range of sequence numbers, including both ends."""

    first: int
    last: int


def contains(spans: Iterable[Span], sequence: int) -> bool:
    """Returns whether one of the spans contains a sequence number."""
    return any(item.first <= sequence <= item.last for item in spans)


def add_sequences(
    spans: Iterable[Span], sequences: Iterable[int]
) -> tuple[Span, ...]:
    """Returns the spans merged with further sequence numbers."""
    singles = (Span(number, number) for number in sequences)
    merged: list[Span] = []
    for span in sorted(
        itertools.chain(spans, singles), key=lambda item: item.first
    ):
        if merged and span.first <= merged[-1].last + 1:
            last = max(merged[-1].last, span.last)
            merged[-1] = Span(merged[-1].first, last)
        else:
            merged.append(span)
    return tuple(merged)
