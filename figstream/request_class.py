"""The data types for a request class: tier, service level and timeouts.

These types are part of the configuration and are read throughout the request
path.
"""

import attrs


@attrs.frozen
class ServiceLevel:
    """The service level that a class guarantees; zero means no guarantee.

    Attributes:
      first_token_s: seconds from arrival to the first byte of the answer.
      between_tokens_s: mean seconds between tokens of one answer.
      deadline_s: seconds from arrival to the complete answer; also the
        default deadline of a request.
    """

    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    deadline_s: float = 60.0


@attrs.frozen
class Timeouts:
    """Timeouts of connections to backend servers, in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    idle_s: float = 10.0


@attrs.frozen
class RequestClass:
    """A class of requests with a common service level.

    Attributes:
      name: unique name.
      tier: 0 is the highest tier, which is served first.
      minimum_share: share of dispatches guaranteed under load, 0 to 1.
      service_level: the guaranteed service level.
      timeouts: timeouts of connections to backend servers.
      queue_limit: most requests of the class that wait in one daemon.
      queue_bytes: most bytes of the class that wait in one daemon.
      preemptible: whether running requests may be cancelled for a higher
        tier and may be placed on reclaimable backend servers.
    """

    name: str
    tier: int = 2
    minimum_share: float = 0.02
    service_level: ServiceLevel = ServiceLevel()
    timeouts: Timeouts = Timeouts()
    queue_limit: int = 500
    queue_bytes: int = 16_000_000
    preemptible: bool = False
