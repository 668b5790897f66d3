"""Tests of the format of log lines."""

import hypothesis
from hypothesis import strategies

from figstream import logs


@hypothesis.given(strategies.text())
def test_any_value_stays_on_one_line_in_one_field(value: str) -> None:
    """Fails when `quote` does not quote text with spaces or line breaks."""
    line = logs.line("tested", first=value, second=1)
    assert len(line.splitlines()) == 1
    assert line.startswith("event=tested first=")
    assert line.endswith(" second=1")
    assert line.count(" second=") == 1 + value.count(" second=")
