"""Sets of sequence numbers, kept as sorted spans without overlap."""

from collections.abc import Iterable
import itertools

import attrs


@attrs.frozen
class Span:
    """Sequence numbers from first to last, both included."""

    first: int
    last: int


def contains(spans: Iterable[Span], sequence: int) -> bool:
    """Tells whether a sequence number lies in one of the spans."""
    return any(item.first <= sequence <= item.last for item in spans)


def adding(spans: Iterable[Span], sequences: Iterable[int]) -> tuple[Span, ...]:
    """Returns the spans with more sequence numbers in them."""
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
