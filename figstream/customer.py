"""The data types for a customer and its usage limits.

Both types are part of the configuration; `rate_limit` enforces the limits.
"""

import attrs

from figstream import serialization


@attrs.frozen
class CustomerLimits:
    """Usage limits over the whole fleet; zero means no limit.

    Attributes:
      requests_per_s: requests admitted per second.
      tokens_per_s: prompt and output tokens per second.
      concurrency: requests running at once.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


@attrs.frozen
class Customer:
    """An organization that holds keys and is billed.

    Attributes:
      name: unique name.
      weight: weight of the customer in the fair division of capacity.
      limits: usage limits.
      classes: names of the request classes that the customer may use.
      regions: home regions, in which its requests may run; empty for all.
    """

    name: str
    weight: float = 1.0
    limits: CustomerLimits = CustomerLimits()
    classes: tuple[str, ...] = ()
    regions: frozenset[str] = attrs.field(
        default=frozenset(), metadata=serialization.NOT_ENCODED
    )
