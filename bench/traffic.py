"""Generates synthetic traffic from a seed for the scheduler benchmarks.

The traffic consists of arrivals of several request classes and customers with
random output lengths.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import Final

import attrs

from figstream import request_class as request_class_lib

_OUTPUT_LENGTH_SIGMA: Final = 0.7
_PREFIXES_PER_CUSTOMER: Final = 4


def _make_class(
    name: str,
    tier: int,
    deadline_s: float,
    first_token_s: float = 0.0,
    preemptible: bool = False,
) -> request_class_lib.RequestClass:
    return request_class_lib.RequestClass(
        name,
        tier=tier,
        preemptible=preemptible,
        queue_limit=300,
        service_level=request_class_lib.ServiceLevel(
            first_token_s=first_token_s, deadline_s=deadline_s
        ),
    )


CLASSES: Final = (
    _make_class("chat", 0, 20.0, first_token_s=1.0),
    _make_class("status", 1, 20.0, first_token_s=2.0),
    _make_class("caption", 2, 30.0),
    _make_class("listing", 3, 60.0, preemptible=True),
    _make_class("rewrite", 4, 90.0, preemptible=True),
)


@attrs.frozen
class Stream:
    """Requests of one class from several customers.

    Attributes:
      request_class: the class.
      rate: returns the requests per second of all customers at a time.
      customers: names of the customers; each sends an equal share.
      mean_output_tokens: mean number of output tokens.
      prompt_tokens: length of the prompts.
      crashes: whether the requests crash engines.
    """

    request_class: request_class_lib.RequestClass
    rate: Callable[[float], float]
    customers: Sequence[str]
    mean_output_tokens: float = 100.0
    prompt_tokens: int = 400
    crashes: bool = False


@attrs.frozen
class Arrival:
    """One request of the synthetic traffic."""

    at: float
    stream: Stream
    customer: str
    output_tokens: int
    prefix: int


def steady(rate: float) -> Callable[[float], float]:
    """Returns a constant rate."""
    return lambda now: rate


def burst(
    rate: float, factor: float, start: float, end: float
) -> Callable[[float], float]:
    """Returns a rate that is multiplied by a factor from start to end."""
    return lambda now: rate * factor if start <= now < end else rate


def arrivals(
    streams: Sequence[Stream], duration_s: float, seed: int
) -> Sequence[Arrival]:
    """Returns Poisson arrivals with lognormal output lengths by time."""
    found: list[Arrival] = []
    for number, stream in enumerate(streams):
        rng = random.Random(seed * 1000 + number)
        peak = max(stream.rate(t / 4) for t in range(int(duration_s * 4) + 1))
        now = 0.0
        while peak > 0:
            now += rng.expovariate(peak)
            if now >= duration_s:
                break
            if rng.random() * peak <= stream.rate(now):
                found.append(_draw_arrival(now, stream, rng))
    return sorted(found, key=lambda item: item.at)


def _draw_arrival(now: float, stream: Stream, rng: random.Random) -> Arrival:
    mu = math.log(stream.mean_output_tokens) - _OUTPUT_LENGTH_SIGMA**2 / 2
    length = max(
        1, min(2000, int(rng.lognormvariate(mu, _OUTPUT_LENGTH_SIGMA)))
    )
    number = rng.randrange(len(stream.customers))
    prefix = (
        number * _PREFIXES_PER_CUSTOMER
        + rng.randrange(_PREFIXES_PER_CUSTOMER)
        + 1
    )
    return Arrival(now, stream, stream.customers[number], length, prefix)
