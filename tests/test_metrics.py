"""Tests the page that Prometheus reads."""

import pytest

from figstream import metrics as metrics_lib
from figstream import reasons


def _lines() -> list[str]:
    return metrics_lib.exposition().decode().splitlines()


def test_counters_are_written_by_label() -> None:
    metrics = metrics_lib.make_metrics()
    lost = reasons.RetryReason.CONNECTION_LOST
    metrics.retried(lost, "")
    metrics.retried(lost, "counted")
    metrics.retried(lost, "counted")
    metrics.retried(lost, 'a"b\n')
    lines = _lines()
    name = "figstream_retries_total"
    reason = f'reason="{lost.value}"'
    assert f"# TYPE {name} counter" in lines
    assert f'{name}{{class="",{reason}}} 1.0' in lines
    assert f'{name}{{class="counted",{reason}}} 2.0' in lines
    assert f'{name}{{class="a\\"b\\n",{reason}}} 1.0' in lines


@pytest.mark.parametrize(
    ("seconds", "up_to"),
    [
        (0.15, (1, 1, 1)),
        (0.2, (1, 1, 1)),
        (0.3, (0, 1, 1)),
        (99.0, (0, 0, 1)),
    ],
)
def test_a_value_counts_in_each_bucket_above_it(
    seconds: float, up_to: tuple[int, ...]
) -> None:
    """Fails if a bound excludes the value that equals it."""
    metrics = metrics_lib.make_metrics()
    label = f'class="took-{seconds}"'
    metrics.queue_time(f"took-{seconds}", seconds)
    lines = _lines()
    name = "figstream_queue_time_seconds"
    for bound, count in zip(("0.2", "1.0", "+Inf"), up_to, strict=True):
        assert f'{name}_bucket{{{label},le="{bound}"}} {count:.1f}' in lines
    assert f"{name}_count{{{label}}} 1.0" in lines
    assert f"{name}_sum{{{label}}} {seconds}" in lines


def test_the_page_has_each_exported_instrument_and_the_process() -> None:
    metrics = metrics_lib.make_metrics()
    metrics.event("tested_page", 3)
    metrics.queue_time("tested-class", 0.2)
    unexported = metrics_lib.make_unexported_metrics()
    unexported.event("tested_without_page")
    page = metrics_lib.exposition().decode()
    assert 'figstream_events_total{event="tested_page"} 3.0' in page
    assert 'figstream_queue_time_seconds_count{class="tested-class"}' in page
    assert "process_resident_memory_bytes" in page
    assert "tested_without_page" not in page
