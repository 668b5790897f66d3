"""Tests that docs/OPERATIONS.md has a table row for every reason."""

import pathlib
import re

import pytest

from figstream import reasons

_PAGE = pathlib.Path(__file__).parent.parent / "docs/OPERATIONS.md"


@pytest.mark.parametrize(
    ("heading", "kind"),
    [
        ("## Refusal reasons", reasons.RefusalReason),
        ("## Retry reasons", reasons.RetryReason),
    ],
)
def test_every_reason_has_a_row(
    heading: str,
    kind: type[reasons.RefusalReason] | type[reasons.RetryReason],
) -> None:
    """Fails when a row is missing, obsolete or without a remedy."""
    section = _PAGE.read_text().split(heading)[1].split("\n## ")[0]
    rows = re.findall(r"^\| `(\w+)` \| .+ \| .+ \|$", section, re.MULTILINE)
    assert sorted(rows) == sorted(item.value for item in kind)
