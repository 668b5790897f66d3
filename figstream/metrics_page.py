"""Writes the instruments of `metrics` as a page for Prometheus.

Imported when a page is first read, since the start of a daemon need not wait
for the import of the library.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools

import attrs
from opentelemetry.sdk.metrics import export
import prometheus_client
from prometheus_client import metrics_core
from prometheus_client import registry as registry_lib

_UNITS = {"s": "seconds"}


@attrs.frozen(eq=False)
class _Collector(registry_lib.Collector):
    """Gives collected values to the library.

    Attributes:
      collected: what each reader has collected, None if it had nothing.
    """

    collected: Sequence[export.MetricsData | None]

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Returns the values of all instruments."""
        for metric in _metrics(self.collected):
            if isinstance(metric.data, export.Sum):
                yield _counter(metric, metric.data)
            elif isinstance(metric.data, export.Histogram):
                yield _histogram(metric, metric.data)


def _metrics(
    collected: Sequence[export.MetricsData | None],
) -> Iterator[export.Metric]:
    for data in filter(None, collected):
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                yield from scope.metrics


def _labels(
    points: Sequence[export.NumberDataPoint | export.HistogramDataPoint],
) -> list[str]:
    return sorted({key for point in points for key in point.attributes or {}})


def _values(
    point: export.NumberDataPoint | export.HistogramDataPoint,
    labels: Sequence[str],
) -> list[str]:
    attributes = point.attributes or {}
    return [str(attributes.get(label, "")) for label in labels]


def _counter(
    metric: export.Metric, data: export.Sum
) -> metrics_core.CounterMetricFamily:
    labels = _labels(data.data_points)
    family = metrics_core.CounterMetricFamily(metric.name, "", labels=labels)
    for point in data.data_points:
        family.add_metric(_values(point, labels), point.value)
    return family


def _histogram(
    metric: export.Metric, data: export.Histogram
) -> metrics_core.HistogramMetricFamily:
    labels = _labels(data.data_points)
    family = metrics_core.HistogramMetricFamily(
        metric.name, "", labels=labels, unit=_UNITS.get(metric.unit or "", "")
    )
    for point in data.data_points:
        bounds = (*map(str, point.explicit_bounds), "+Inf")
        counts = itertools.accumulate(point.bucket_counts)
        family.add_metric(
            _values(point, labels),
            list(zip(bounds, counts, strict=True)),
            point.sum,
        )
    return family


def write(collected: Sequence[export.MetricsData | None]) -> bytes:
    """Returns the instruments and the figures of the process as text.

    Args:
      collected: what the readers of the instruments have collected.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(collected))
    return prometheus_client.generate_latest(
        prometheus_client.REGISTRY
    ) + prometheus_client.generate_latest(registry)
