"""Running totals of consumption in one daemon, by customer."""

from collections.abc import Mapping

import attrs

from figstream import usage_api


@attrs.define
class Totals:
    """What one customer has consumed since the daemon started."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


class UsageTotals:
    """Totals by customer, which pass each item on to the ledger."""

    def __init__(self, ledger: usage_api.UsageLedger | None = None) -> None:
        """Passes items on to a ledger, if there is one."""
        self._ledger = ledger
        self._totals: dict[str, Totals] = {}

    @property
    def by_customer(self) -> Mapping[str, Totals]:
        """Returns the totals by name of customer."""
        return self._totals

    def add(self, item: usage_api.UsageItem) -> None:
        """Adds what a request consumed."""
        totals = self._totals.setdefault(item.customer, Totals())
        totals.requests += item.requests
        totals.prompt_tokens += item.prompt_tokens
        totals.output_tokens += item.output_tokens
        if self._ledger:
            self._ledger.add(item)
