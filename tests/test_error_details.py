"""Tests how errors appear in log lines."""

import pytest

from figstream import error_details


def _raised(error: Exception) -> Exception:
    try:
        raise error
    except Exception as found:
        return found


def test_the_errors_inside_a_group_are_described_with_their_place() -> None:
    """Fails if a group hides what happened: it tells a number only."""
    inner = ExceptionGroup("one", [_raised(KeyError("route"))])
    group = _raised(ExceptionGroup("unhandled errors", [inner]))
    assert error_details.kind_of(group) == "ExceptionGroup(KeyError)"
    found = error_details.describe(group)
    assert found.startswith("KeyError: 'route' at test_error_details.py:")
    assert found.endswith(":_raised")


@pytest.mark.parametrize(
    ("error", "described"),
    [
        (ValueError("wrong"), "ValueError: wrong"),
        (TimeoutError(), "TimeoutError"),
        (
            ExceptionGroup("many", [ValueError(str(n)) for n in range(5)]),
            "ValueError: 0; ValueError: 1; ValueError: 2; 2 more",
        ),
    ],
    ids=str,
)
def test_an_error_is_described_by_its_type_and_text(
    error: Exception, described: str
) -> None:
    assert error_details.describe(error) == described
