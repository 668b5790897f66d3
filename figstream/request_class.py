"""The request class: its tier, its service level and its timeouts."""

import attrs


@attrs.frozen
class ServiceLevel:
    """What a class promises, in seconds; zero means no promise.

    Attributes:
      first_token_s: from arrival to the first byte of the answer.
      between_tokens_s: mean time between tokens of one answer.
      deadline_s: from arrival to the whole answer; also the default patience.
    """

    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    deadline_s: float = 60.0


@attrs.frozen
class Timeouts:
    """Timeouts towards backend servers, in seconds."""

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    idle_s: float = 10.0


@attrs.frozen
class RequestClass:
    """A kind of request with its own service level.

    Attributes:
      name: unique name.
      tier: 0 is the highest tier; a lower tier yields to it.
      minimum_share: share of dispatches guaranteed under load, 0 to 1.
      service_level: what the class promises.
      timeouts: timeouts towards backend servers.
      queue_limit: requests of the class waiting in one daemon.
      queue_bytes: bytes of the class waiting in one daemon.
      preemptible: whether running work may be cancelled for a higher tier
        and may be placed on reclaimable backend servers.
    """

    name: str
    tier: int = 2
    minimum_share: float = 0.02
    service_level: ServiceLevel = ServiceLevel()
    timeouts: Timeouts = Timeouts()
    queue_limit: int = 500
    queue_bytes: int = 16_000_000
    preemptible: bool = False
