"""Interface through which the request path records consumption.

`usage_ledger` implements the interface and `usage_totals` wraps it.
"""

from typing import Protocol

import attrs


@attrs.frozen
class UsageItem:
    """Consumption of one customer in one request class.

    Attributes:
      customer: name of the customer.
      request_class: name of the request class.
      requests: number of requests.
      prompt_tokens: number of prompt tokens.
      output_tokens: number of generated tokens.
    """

    customer: str
    request_class: str
    requests: int = 1
    prompt_tokens: int = 0
    output_tokens: int = 0


class UsageLedger(Protocol):
    """Records consumption until a sealed window holds it."""

    def add(self, item: UsageItem) -> None:
        """Adds the consumption of a request."""
