"""Defines the instruments, which Prometheus scrapes.

Refusals and retries are counted by reason.
"""

import itertools
from typing import Final

from figstream import instruments
from figstream import reasons

_DURATION_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.051,
    0.1,
    0.2,
    0.43,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """The instruments of one daemon."""

    def __init__(self) -> None:
        """Creates every instrument."""
        self._refusals = instruments.Counter(
            "figstream_refusals", "reason", "class"
        )
        self._retries = instruments.Counter(
            "figstream_retries", "reason", "class"
        )
        self._requests = instruments.Counter("figstream_requests", "class")
        self._events = instruments.Counter("figstream_events", "event")
        self._store_calls = instruments.Counter(
            "figstream_store_calls", "call", "kind", "outcome"
        )
        self._tokens = instruments.Counter(
            "figstream_tokens", "kind", "customer"
        )
        self._first_token = _durations("first_token")
        self._between_tokens = _durations("between_tokens")
        self._queue_time = _durations("queue_time")

    @property
    def counters(self) -> tuple[instruments.Counter, ...]:
        """Returns the counters."""
        return (
            self._refusals,
            self._retries,
            self._requests,
            self._events,
            self._store_calls,
            self._tokens,
        )

    @property
    def histograms(self) -> tuple[instruments.Histogram, ...]:
        """Returns the histograms."""
        return self._first_token, self._between_tokens, self._queue_time

    def refused(
        self, reason: reasons.RefusalReason, request_class: str = ""
    ) -> None:
        """Counts a refusal under its reason."""
        self._refusals.add(1, reason.value, request_class)

    def retried(
        self, reason: reasons.RetryReason, request_class: str = ""
    ) -> None:
        """Counts a retry under its reason."""
        self._retries.add(1, reason.value, request_class)

    def answered(self, request_class: str) -> None:
        """Counts a request that was answered completely."""
        self._requests.add(1, request_class)

    def event(self, name: str, amount: int = 1) -> None:
        """Counts an event of a background role under its name."""
        self._events.add(amount, name)

    def store_call(self, call: str, kind: str, outcome: str) -> None:
        """Counts a call to the platform's store, which is paid.

        Args:
          call: what is asked for, such as "list" or "watch".
          kind: kind of the objects.
          outcome: status of the answer, "none" without an answer.
        """
        self._store_calls.add(1, call, kind, outcome)

    def tokens(self, kind: str, customer: str, amount: int) -> None:
        """Counts tokens of a customer.

        Args:
          kind: "prompt", "output" or "wasted".
          customer: name of the customer.
          amount: number of tokens.
        """
        self._tokens.add(amount, kind, customer)

    def first_token(self, request_class: str, seconds: float) -> None:
        """Records the time from arrival to the first byte of the answer."""
        self._first_token.record(seconds, request_class)

    def between_tokens(self, request_class: str, seconds: float) -> None:
        """Records a mean time between the tokens of one answer."""
        self._between_tokens.record(seconds, request_class)

    def queue_time(self, request_class: str, seconds: float) -> None:
        """Records the time from arrival to dispatch."""
        self._queue_time.record(seconds, request_class)


# The instruments that `exposition` writes, one entry per daemon of the process.
_exported: Final[list[Metrics]] = []


def _durations(name: str) -> instruments.Histogram:
    return instruments.Histogram(
        f"figstream_{name}", "class", _DURATION_BUCKETS_S
    )


def make_metrics() -> Metrics:
    """Creates the instruments, which `exposition` then writes."""
    metrics = Metrics()
    _exported.append(metrics)
    return metrics


def make_unexported_metrics() -> Metrics:
    """Creates instruments that nothing exports, for tests and benchmarks."""
    return Metrics()


def exposition() -> bytes:
    """Returns every metric in the Prometheus text format."""
    # Imported when a page is read: it takes 20 ms, for which the start of a
    # daemon need not wait.
    from figstream import metrics_page

    return metrics_page.write(
        tuple(itertools.chain.from_iterable(x.counters for x in _exported)),
        tuple(itertools.chain.from_iterable(x.histograms for x in _exported)),
    )
