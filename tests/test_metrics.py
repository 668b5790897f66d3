"""Tests the page that Prometheus reads."""

import pytest

from figstream import instruments
from figstream import metrics as metrics_lib
from figstream import metrics_page


def test_counters_are_written_by_label() -> None:
    counter = instruments.Counter("figstream_retries", "reason", "class")
    counter.add(1, "lost", "")
    counter.add(2, "lost", "chat")
    counter.add(1, "lost", "chat")
    counter.add(1, 'a"b\n', "chat")
    lines = metrics_page.write((counter,), ()).decode().splitlines()
    assert "# TYPE figstream_retries_total counter" in lines
    assert 'figstream_retries_total{class="",reason="lost"} 1.0' in lines
    assert 'figstream_retries_total{class="chat",reason="lost"} 3.0' in lines
    odd = 'figstream_retries_total{class="chat",reason="a\\"b\\n"} 1.0'
    assert odd in lines


@pytest.mark.parametrize(
    ("seconds", "up_to"),
    [(0.05, (1, 1, 1)), (0.1, (1, 1, 1)), (0.5, (0, 1, 1)), (9.0, (0, 0, 1))],
)
def test_a_value_counts_in_each_bucket_above_it(
    seconds: float, up_to: tuple[int, ...]
) -> None:
    """Fails if a bound excludes the value that equals it."""
    histogram = instruments.Histogram("figstream_wait", "class", (0.1, 1.0))
    histogram.record(seconds, "chat")
    lines = metrics_page.write((), (histogram,)).decode().splitlines()
    name = "figstream_wait_seconds"
    for bound, count in zip(("0.1", "1.0", "+Inf"), up_to, strict=True):
        bucket = f'{name}_bucket{{class="chat",le="{bound}"}} {count:.1f}'
        assert bucket in lines
    assert f'{name}_count{{class="chat"}} 1.0' in lines
    assert f'{name}_sum{{class="chat"}} {seconds}' in lines


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
