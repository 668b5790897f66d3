"""The interface between the request path and the usage ledger."""

from typing import Protocol

import attrs


@attrs.frozen
class UsageItem:
    """What one answered request consumed.

    Attributes:
      customer: name of the customer.
      request_class: name of the class.
      requests: number of requests.
      prompt_tokens: tokens read.
      output_tokens: tokens generated.
    """

    customer: str
    request_class: str
    requests: int = 1
    prompt_tokens: int = 0
    output_tokens: int = 0


class UsageLedger(Protocol):
    """Counts consumption until it is reported."""

    def add(self, item: UsageItem) -> None:
        """Adds what a request consumed."""
