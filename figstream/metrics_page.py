"""Writes the instruments of `metrics` as a page for Prometheus.

Imported when a page is first read, since the import of the library takes 20 ms
that the start of a daemon need not wait for.
"""

from collections.abc import Iterator
from collections.abc import Sequence

import attrs
import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry as registry_lib

from figstream import instruments

_SECONDS = "seconds"


@attrs.frozen
class _Collector(registry_lib.Collector):
    """Gives the values of instruments to the library."""

    counters: Sequence[instruments.Counter]
    histograms: Sequence[instruments.Histogram]

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns the values of all instruments."""
        for counter in self.counters:
            sums = metrics_core.CounterMetricFamily(
                counter.name, "", labels=counter.labels
            )
            for values, total in counter.sums.items():
                sums.add_metric(values, total)
            yield sums
        for histogram in self.histograms:
            family = metrics_core.HistogramMetricFamily(
                histogram.name, "", labels=(histogram.label,), unit=_SECONDS
            )
            for value, found in histogram.distributions.items():
                family.add_metric(
                    (value,), histogram.cumulative(found), found.total
                )
            yield family


def write(
    counters: Sequence[instruments.Counter],
    histograms: Sequence[instruments.Histogram],
) -> bytes:
    """Returns the instruments and the figures of the process as text."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(counters, histograms))
    return prometheus_client.generate_latest(
        prometheus_client.REGISTRY
    ) + prometheus_client.generate_latest(registry)
