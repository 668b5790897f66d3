"""The customer and the limits on its use."""

import attrs


@attrs.frozen
class CustomerLimits:
    """Limits over the whole fleet; zero means no limit.

    Attributes:
      requests_per_s: requests admitted a second.
      tokens_per_s: prompt and output tokens a second.
      concurrency: requests running at once.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


@attrs.frozen
class Customer:
    """A party that holds keys and is billed.

    Attributes:
      name: unique name.
      weight: its weight in the fair division of capacity.
      limits: limits on its use.
      classes: names of the request classes it may use.
    """

    name: str
    weight: float = 1.0
    limits: CustomerLimits = CustomerLimits()
    classes: tuple[str, ...] = ()
