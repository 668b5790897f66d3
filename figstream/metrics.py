"""Defines the OpenTelemetry instruments, which Prometheus scrapes.

Refusals and retries are counted by reason.
"""

from typing import Final

from opentelemetry import metrics as otel_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export

from figstream import reasons

_DURATION_BUCKETS_S = (
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

    def __init__(self, meter: otel_metrics.Meter) -> None:
        """Creates every instrument on the meter."""
        self._refusals = meter.create_counter("figstream_refusals")
        self._retries = meter.create_counter("figstream_retries")
        self._requests = meter.create_counter("figstream_requests")
        self._events = meter.create_counter("figstream_events")
        self._store_calls = meter.create_counter("figstream_store_calls")
        self._tokens = meter.create_counter("figstream_tokens")
        self._durations = {
            name: meter.create_histogram(
                f"figstream_{name}",
                unit="s",
                explicit_bucket_boundaries_advisory=_DURATION_BUCKETS_S,
            )
            for name in (
                "first_token",
                "between_tokens",
                "queue_time",
                "loop_delay",
            )
        }

    def refused(
        self, reason: reasons.RefusalReason, request_class: str = ""
    ) -> None:
        """Counts a refusal under its reason."""
        self._refusals.add(1, {"reason": reason.value, "class": request_class})

    def retried(
        self, reason: reasons.RetryReason, request_class: str = ""
    ) -> None:
        """Counts a retry under its reason."""
        self._retries.add(1, {"reason": reason.value, "class": request_class})

    def answered(self, request_class: str) -> None:
        """Counts a request that was answered completely."""
        self._requests.add(1, {"class": request_class})

    def event(self, name: str, amount: int = 1) -> None:
        """Counts an event of a background role under its name."""
        self._events.add(amount, {"event": name})

    def store_call(self, call: str, kind: str, outcome: str) -> None:
        """Counts a call to the platform's store, which is paid.

        Args:
          call: what is asked for, such as "list" or "watch".
          kind: kind of the objects.
          outcome: status of the answer, "none" without an answer.
        """
        self._store_calls.add(
            1, {"call": call, "kind": kind, "outcome": outcome}
        )

    def tokens(self, kind: str, customer: str, amount: int) -> None:
        """Counts tokens of a customer.

        Args:
          kind: "prompt", "output" or "wasted".
          customer: name of the customer.
          amount: number of tokens.
        """
        self._tokens.add(amount, {"kind": kind, "customer": customer})

    def first_token(self, request_class: str, seconds: float) -> None:
        """Records the time from arrival to the first byte of the answer."""
        self._durations["first_token"].record(seconds, {"class": request_class})

    def between_tokens(self, request_class: str, seconds: float) -> None:
        """Records a mean time between the tokens of one answer."""
        self._durations["between_tokens"].record(
            seconds, {"class": request_class}
        )

    def queue_time(self, request_class: str, seconds: float) -> None:
        """Records the time from arrival to dispatch."""
        self._durations["queue_time"].record(seconds, {"class": request_class})

    def loop_delay(self, seconds: float) -> None:
        """Records how late the event loop ran a task that was due."""
        self._durations["loop_delay"].record(seconds)


# The readers of the instruments that `exposition` writes, one for each daemon
# of the process.
_readers: Final[list[export.InMemoryMetricReader]] = []


def make_metrics() -> Metrics:
    """Creates the instruments, which `exposition` then writes."""
    reader = export.InMemoryMetricReader()
    _readers.append(reader)
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    return Metrics(provider.get_meter("figstream"))


def make_unexported_metrics() -> Metrics:
    """Creates instruments that record nothing, for tests and benchmarks."""
    return Metrics(otel_metrics.NoOpMeter("figstream"))


def exposition() -> bytes:
    """Returns every metric in the Prometheus text format."""
    # Imported when a page is read, since the library that writes it would take
    # a tenth of the start of a daemon.
    from figstream import metrics_page

    return metrics_page.write(
        [reader.get_metrics_data() for reader in _readers]
    )
