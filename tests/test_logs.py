"""Tests of the log lines."""

import hypothesis
from hypothesis import strategies

from figstream import logs


@hypothesis.given(strategies.text())
def test_any_value_stays_on_one_line_in_one_field(value: str) -> None:
    """Breaks when `quote` returns text with spaces or line ends as it is."""
    line = logs.line("tested", first=value, second=1)
    assert len(line.splitlines()) == 1
    assert line.startswith("event=tested first=")
    assert line.endswith(" second=1")
    assert line.count(" second=") == 1 + value.count(" second=")
