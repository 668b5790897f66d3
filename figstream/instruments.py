"""Counters and histograms that `metrics` defines and that Prometheus scrapes.

They are sums in memory, updated within one event loop. A library that measures
would take a tenth of the processor time of a daemon's start, during which no
request is served; `prometheus_client`, which writes the page, is imported only
once the page is read.
"""

import bisect
from collections.abc import Mapping
from collections.abc import Sequence
import itertools

import attrs

LabelValues = tuple[str, ...]


class Counter:
    """Sums by the values of the labels."""

    def __init__(self, name: str, *labels: str) -> None:
        """Initializes a counter without sums."""
        self._name = name
        self._labels = labels
        self._sums: dict[LabelValues, int] = {}

    @property
    def name(self) -> str:
        """Returns the name under which the counter is exported."""
        return self._name

    @property
    def labels(self) -> tuple[str, ...]:
        """Returns the names of the labels."""
        return self._labels

    @property
    def sums(self) -> Mapping[LabelValues, int]:
        """Returns the sum for each combination of label values."""
        return self._sums

    def add(self, amount: int, *values: str) -> None:
        """Adds an amount under the values of the labels."""
        self._sums[values] = self._sums.get(values, 0) + amount


@attrs.define
class Distribution:
    """Recorded values of one combination of label values.

    Attributes:
      counts: number of values in each bucket, the unbounded one last.
      total: sum of the values.
    """

    counts: list[int]
    total: float = 0.0


class Histogram:
    """Distributions of seconds by the value of one label."""

    def __init__(self, name: str, label: str, bounds: Sequence[float]) -> None:
        """Initializes the histogram; `bounds` are the upper ones, rising."""
        self._name = name
        self._label = label
        self._bounds = tuple(bounds)
        self._distributions: dict[str, Distribution] = {}

    @property
    def name(self) -> str:
        """Returns the name under which the histogram is exported."""
        return self._name

    @property
    def label(self) -> str:
        """Returns the name of the label."""
        return self._label

    @property
    def distributions(self) -> Mapping[str, Distribution]:
        """Returns the distribution for each value of the label."""
        return self._distributions

    def record(self, seconds: float, value: str) -> None:
        """Records seconds under a value of the label."""
        found = self._distributions.get(value)
        if found is None:
            found = Distribution([0] * (len(self._bounds) + 1))
            self._distributions[value] = found
        found.counts[bisect.bisect_left(self._bounds, seconds)] += 1
        found.total += seconds

    def cumulative(
        self, distribution: Distribution
    ) -> Sequence[tuple[str, int]]:
        """Returns each upper bound with the number of values up to it."""
        bounds = (*(str(bound) for bound in self._bounds), "+Inf")
        return tuple(
            zip(bounds, itertools.accumulate(distribution.counts), strict=True)
        )
