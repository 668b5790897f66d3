"""Compares control charts for stragglers at equal in-control run length.

Each chart gets the same latencies and a reference sample of the pool for each
run. Its alarm limit is set so that the mean run length in control is
`_IN_CONTROL_RUN_LENGTH` observations. The tables show the mean delay to
detection in observations for a latency that grew by a factor, and the run
length in control on another distribution than the one on which the limit was
set. A last table measures the detectors as they are implemented.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import statistics
import time
from typing import Final

import attrs
import numpy as np
import numpy.typing as npt

from bench import smoothed_pace
from figstream import straggler_api
from figstream import straggler_detection

_Array = npt.NDArray[np.float64]
_RUNS: Final = 300
_REFERENCE_SIZE: Final = 500
_IN_CONTROL_RUN_LENGTH: Final = 5_000
_MAX_RUN_LENGTH: Final = 10_000
_MAX_SHIFTED_RUN_LENGTH: Final = 1_500
_SHIFTS: Final = (1.3, 2.0, 4.0)
_AVERAGE_WEIGHT: Final = 0.1
_SEED: Final = 8
_NORMAL: Final = statistics.NormalDist()
_SERVERS: Final = 12
_BATCHES: Final = 16
_STEP_S: Final = 0.1
_DETECTOR_RUN_LENGTH: Final = 200_000
_DETECTOR_WARM_UP: Final = 3_000
_DETECTOR_MAX_DELAY: Final = 6_000
_COST_LENGTH: Final = 50_000

_Factory = Callable[[], straggler_api.StragglerDetector]
_DETECTORS: Final[Sequence[tuple[str, _Factory]]] = (
    ("normal-score cusum", straggler_detection.make_straggler_detector),
    ("smoothed pace", smoothed_pace.PaceDetector),
)

Distribution = Callable[[np.random.Generator, tuple[int, int]], _Array]


def _lognormal(rng: np.random.Generator, shape: tuple[int, int]) -> _Array:
    return np.exp(rng.normal(0.0, 0.5, shape))


def _pareto(rng: np.random.Generator, shape: tuple[int, int]) -> _Array:
    return 1.0 + rng.pareto(2.5, shape)


_DISTRIBUTIONS: Final[Mapping[str, Distribution]] = {
    "lognormal": _lognormal,
    "pareto": _pareto,
}


@attrs.frozen
class _Chart:
    """A control chart: a cumulative sum or an average of scores.

    Attributes:
      name: name in the table.
      score: computes scores from latencies and reference samples.
      allowance: subtracted from each score of a cumulative sum.
      subgroup: number of observations in each step.
      average: whether the statistic is an exponential average, not a
        cumulative sum.
    """

    name: str
    score: Callable[[_Array, _Array], _Array]
    allowance: float = 0.0
    subgroup: int = 1
    average: bool = False


def _standard(values: _Array, reference: _Array) -> _Array:
    mean = reference.mean(axis=1, keepdims=True)
    deviation: _Array = reference.std(axis=1, keepdims=True)
    scores: _Array = (values - mean) / deviation
    return scores


def _log_standard(values: _Array, reference: _Array) -> _Array:
    return _standard(np.log(values), np.log(reference))


def _subgroups(scores: _Array, size: int) -> _Array:
    steps = scores.shape[1] // size
    grouped = scores[:, : steps * size].reshape(len(scores), steps, size)
    total: _Array = grouped.sum(axis=2)
    return total


def _rank_sum(size: int) -> Callable[[_Array, _Array], _Array]:
    """Returns a function that computes the scores of a chart.

    A score is the standardized rank sum of a subgroup against the reference.
    """
    count = _REFERENCE_SIZE
    deviation = np.sqrt(size * count * (size + count + 1) / 12)

    def score(values: _Array, reference: _Array) -> _Array:
        ordered = np.sort(reference, axis=1)
        below = np.array(
            [
                np.searchsorted(row, found)
                for row, found in zip(ordered, values, strict=True)
            ],
            dtype=np.float64,
        )
        sums = _subgroups(below, size)
        scores: _Array = (sums - size * count / 2) / deviation
        return scores

    return score


def _normal_scores(values: _Array, reference: _Array) -> _Array:
    """Returns the normal quantile of each value's rank in the reference."""
    ordered = np.sort(reference, axis=1)
    ranks = np.array(
        [
            np.searchsorted(row, found)
            for row, found in zip(ordered, values, strict=True)
        ]
    )
    quantiles = (np.arange(_REFERENCE_SIZE + 1) + 0.5) / (_REFERENCE_SIZE + 1)
    table = np.array([_NORMAL.inv_cdf(item) for item in quantiles])
    scores: _Array = table[ranks]
    return scores


def _exceedance(size: int) -> Callable[[_Array, _Array], _Array]:
    """Returns a function that computes the scores of a chart.

    A score is the standardized count of the observations of a subgroup that
    exceed the median of the reference.
    """

    def score(values: _Array, reference: _Array) -> _Array:
        median = np.median(reference, axis=1, keepdims=True)
        above = _subgroups((values > median).astype(np.float64), size)
        scores: _Array = (above - size / 2) / (np.sqrt(size) / 2)
        return scores

    return score


_CHARTS: Final = (
    _Chart("average of latency", _standard, average=True),
    _Chart("average of logarithm", _log_standard, average=True),
    _Chart("cusum of logarithm k=0.5", _log_standard, 0.5),
    _Chart("rank-sum cusum n=5 k=0", _rank_sum(5), 0.0, 5),
    _Chart("rank-sum cusum n=5 k=0.5", _rank_sum(5), 0.5, 5),
    _Chart("exceedance cusum n=5 k=0", _exceedance(5), 0.0, 5),
    _Chart("exceedance cusum n=5 k=0.5", _exceedance(5), 0.5, 5),
    _Chart("rank cusum n=1 k=0", _rank_sum(1)),
    _Chart("rank cusum n=1 k=0.5", _rank_sum(1), 0.5),
    _Chart("normal-score cusum k=0.25", _normal_scores, 0.25),
    _Chart("normal-score cusum k=0.5", _normal_scores, 0.5),
    _Chart("normal-score cusum k=0.75", _normal_scores, 0.75),
    _Chart("exceedance cusum n=1 k=0", _exceedance(1)),
    _Chart("exceedance cusum n=1 k=0.5", _exceedance(1), 0.5),
)


def _running_maximum(chart: _Chart, scores: _Array) -> _Array:
    """Returns the highest value of the statistic up to each step."""
    value = np.zeros(len(scores))
    found = np.empty_like(scores)
    for step in range(scores.shape[1]):
        if chart.average:
            value = value + _AVERAGE_WEIGHT * (scores[:, step] - value)
        else:
            value = np.maximum(0.0, value + scores[:, step] - chart.allowance)
        found[:, step] = value
    highest: _Array = np.maximum.accumulate(found, axis=1)
    return highest


def _mean_run_length(highest: _Array, limit: float, subgroup: int) -> float:
    """Returns the mean number of observations until an alarm.

    Runs without an alarm are censored: their observations count, but no alarm.
    """
    steps = (highest <= limit).sum(axis=1)
    alarms = int((steps < highest.shape[1]).sum())
    total = np.minimum(steps + 1, highest.shape[1]).sum() * subgroup
    return float(total) / max(alarms, 1)


def _find_limit(highest: _Array, subgroup: int) -> float:
    low, high = 0.0, float(highest.max())
    for _ in range(40):
        middle = (low + high) / 2
        if _mean_run_length(highest, middle, subgroup) < _IN_CONTROL_RUN_LENGTH:
            low = middle
        else:
            high = middle
    return high


def _format_row(chart: _Chart, distribution: str) -> str:
    rng = np.random.default_rng(_SEED)
    draw = _DISTRIBUTIONS[distribution]
    reference = draw(rng, (_RUNS, _REFERENCE_SIZE))
    healthy = draw(rng, (_RUNS, _MAX_RUN_LENGTH))
    highest = _running_maximum(chart, chart.score(healthy, reference))
    limit = _find_limit(highest, chart.subgroup)
    delays = []
    for shift in _SHIFTS:
        slow = draw(rng, (_RUNS, _MAX_SHIFTED_RUN_LENGTH)) * shift
        shifted = _running_maximum(chart, chart.score(slow, reference))
        delays.append(_mean_run_length(shifted, limit, chart.subgroup))
    other_run_lengths = [
        _run_length_under(chart, limit, other)
        for other in _DISTRIBUTIONS
        if other != distribution
    ]
    figures = "".join(f"{delay:8.1f}" for delay in delays)
    return f"{limit:8.2f}{figures}{other_run_lengths[0]:12.0f}"


def _run_length_under(chart: _Chart, limit: float, distribution: str) -> float:
    """Returns the run length in control under another distribution."""
    rng = np.random.default_rng(_SEED + 1)
    draw = _DISTRIBUTIONS[distribution]
    reference = draw(rng, (_RUNS, _REFERENCE_SIZE))
    healthy = draw(rng, (_RUNS, _MAX_RUN_LENGTH))
    highest = _running_maximum(chart, chart.score(healthy, reference))
    return _mean_run_length(highest, limit, chart.subgroup)


def _latencies(
    rng: np.random.Generator, distribution: str, count: int
) -> Iterable[tuple[int, int, float]]:
    """Yields server, batch size and seconds, which grow with the batch."""
    servers = rng.integers(0, _SERVERS, count).tolist()
    batches = rng.integers(1, _BATCHES, count).tolist()
    latencies = _DISTRIBUTIONS[distribution](rng, (1, count))[0].tolist()
    for server, batch, latency in zip(servers, batches, latencies, strict=True):
        yield server, batch, latency * (1 + batch / _BATCHES)


def _false_alarms(distribution: str, make: _Factory) -> float:
    """Returns the mean number of observations until a false alarm."""
    detector = make()
    rng = np.random.default_rng(_SEED)
    alarms, known_stragglers = 0, frozenset[str]()
    for step, (server, batch, seconds) in enumerate(
        _latencies(rng, distribution, _DETECTOR_RUN_LENGTH)
    ):
        detector.observe(f"s{server}", "p", seconds, batch, step * _STEP_S)
        alarms += len(detector.stragglers() - known_stragglers)
        known_stragglers = detector.stragglers()
    return _DETECTOR_RUN_LENGTH / max(1, alarms)


def _detection_delay(
    distribution: str, make: _Factory, shift: float, seed: int
) -> int:
    """Returns the number of a straggler's observations until its detection."""
    detector = make()
    rng = np.random.default_rng(seed)
    delay = 0
    for step, (server, batch, seconds) in enumerate(
        _latencies(rng, distribution, _DETECTOR_WARM_UP + _DETECTOR_MAX_DELAY)
    ):
        slow = step >= _DETECTOR_WARM_UP and server == 0
        delay += slow
        seconds *= shift if slow else 1.0
        detector.observe(f"s{server}", "p", seconds, batch, step * _STEP_S)
        if slow and "s0" in detector.stragglers():
            break
    return delay


def _detector_row(distribution: str, make: _Factory) -> str:
    means = [
        np.mean(
            [
                _detection_delay(distribution, make, shift, seed)
                for seed in range(20)
            ]
        )
        for shift in _SHIFTS
    ]
    figures = "".join(f"{mean:8.1f}" for mean in means)
    return f"{'':8}{figures}{_false_alarms(distribution, make):12.0f}"


def _cost_us() -> float:
    detector = straggler_detection.make_straggler_detector()
    rng = np.random.default_rng(_SEED)
    drawn = list(_latencies(rng, "lognormal", _COST_LENGTH))
    started_at = time.process_time()
    for step, (server, batch, seconds) in enumerate(drawn):
        detector.observe(f"s{server}", "p", seconds, batch, step * _STEP_S)
    return (time.process_time() - started_at) / _COST_LENGTH * 1e6


def main() -> None:
    """Prints a table for each distribution, then one for the detectors."""
    shifts = "".join(f"{shift:7.1f}x" for shift in _SHIFTS)
    for name in _DISTRIBUTIONS:
        print(f"{name:28}{'limit':>8}{shifts}{'other IC':>12}")
        for chart in _CHARTS:
            print(f"{chart.name:28}{_format_row(chart, name)}", flush=True)
    print(f"{'as built, 12 servers':28}{'':8}{shifts}{'own IC':>12}")
    for name, (title, make) in itertools.product(_DISTRIBUTIONS, _DETECTORS):
        label = f"{title}, {name}"
        print(f"{label:28}{_detector_row(name, make)}")
    print(f"cost of an observation: {_cost_us():.1f} us")


if __name__ == "__main__":
    main()
