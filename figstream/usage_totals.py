"""Counts the total consumption of each customer in one daemon.

The request path adds items here, and each item is passed to the usage ledger.
"""

from collections.abc import Mapping

import attrs

from figstream import usage_api


@attrs.define
class Totals:
    """Consumption of one customer since the daemon started."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


class UsageTotals:
    """Sums items by customer and passes each item to the ledger."""

    def __init__(self, ledger: usage_api.UsageLedger | None = None) -> None:
        """Initializes without totals; the ledger is optional."""
        self._ledger = ledger
        self._totals: dict[str, Totals] = {}

    @property
    def by_customer(self) -> Mapping[str, Totals]:
        """Returns the totals by customer name."""
        return self._totals

    def add(self, item: usage_api.UsageItem) -> None:
        """Adds the consumption of a request."""
        totals = self._totals.setdefault(item.customer, Totals())
        totals.requests += item.requests
        totals.prompt_tokens += item.prompt_tokens
        totals.output_tokens += item.output_tokens
        if self._ledger:
            self._ledger.add(item)
