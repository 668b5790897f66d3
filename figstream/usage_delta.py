"""The usage delta: what one daemon counted over a short time.

A delta is cut once and never changes, so that its identity is enough to
count it exactly once, wherever its copies arrive from.
"""

import attrs

from figstream import usage_api


@attrs.frozen
class RunId:
    """One run of a daemon, from start to exit.

    Attributes:
      daemon: name of its VM.
      start_number: tells two runs of the same VM apart.
    """

    daemon: str
    start_number: int


@attrs.frozen
class DeltaId:
    """Identity of a delta; sequence numbers of a run start at 1."""

    run: RunId
    sequence: int


@attrs.frozen
class UsageDelta:
    """What one daemon counted over a short time.

    Attributes:
      delta_id: its identity.
      opened_ms: Unix time in milliseconds of its first item.
      items: one for each pair of customer and class.
    """

    delta_id: DeltaId
    opened_ms: int
    items: tuple[usage_api.UsageItem, ...]


def add(
    total: usage_api.UsageItem | None, item: usage_api.UsageItem
) -> usage_api.UsageItem:
    """Returns the sum of two items of the same customer and class."""
    if total is None:
        return item
    return usage_api.UsageItem(
        item.customer,
        item.request_class,
        total.requests + item.requests,
        total.prompt_tokens + item.prompt_tokens,
        total.output_tokens + item.output_tokens,
    )
