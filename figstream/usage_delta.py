"""The usage delta: consumption that one daemon counted over a short time.

A delta is closed once and never changes. Its identity therefore suffices to
count it exactly once, even if several daemons deliver copies of it.
"""

import attrs

from figstream import usage_api


@attrs.frozen
class RunId:
    """One run of a daemon, from start to exit.

    Attributes:
      daemon: name of the VM.
      start_number: distinguishes the runs of the same VM.
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
    """Consumption that one daemon counted over a short time.

    Attributes:
      delta_id: identity of the delta.
      opened_ms: Unix time of the first item, in milliseconds.
      items: one item for each pair of customer and request class.
    """

    delta_id: DeltaId
    opened_ms: int
    items: tuple[usage_api.UsageItem, ...]


def add(
    total: usage_api.UsageItem | None, item: usage_api.UsageItem
) -> usage_api.UsageItem:
    """Returns the sum of two items of the same customer and request class."""
    if total is None:
        return item
    return usage_api.UsageItem(
        item.customer,
        item.request_class,
        total.requests + item.requests,
        total.prompt_tokens + item.prompt_tokens,
        total.output_tokens + item.output_tokens,
    )
