"""Tests that the days in deploy/days can be played."""

import pathlib
import tomllib

import pytest

_DAYS = sorted((pathlib.Path(__file__).parent.parent / "deploy/days").glob("*"))
# Events of the days, which the bench names in `fleetbench kinds`.
_MOMENTS = ("plan", "faults")


@pytest.mark.parametrize("path", _DAYS, ids=lambda path: path.stem)
def test_a_day_is_named_as_its_file_and_its_events_lie_within(
    path: pathlib.Path,
) -> None:
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    events = [item for name in _MOMENTS for item in day.get(name, [])]
    assert events
    for event in events:
        assert event["kind"]
        assert 0.0 <= event["at"] < day.get("length_s", 40.0)
        assert 0.0 < event.get("share", 1.0) <= 1.0


def test_streams_are_taken_up_and_requests_crash_servers_on_some_days() -> None:
    kinds = {
        (event["kind"], event.get("how", ""))
        for path in _DAYS
        for event in tomllib.loads(path.read_text())["faults"]
    }
    assert {
        ("herd_kill", "power"),
        ("poison", "deadly"),
        ("srv_cut", "some"),
    } <= kinds
