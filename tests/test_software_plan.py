"""Tests of the plan of software versions and of what follows from it."""

import random
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import errors
from figstream import metrics
from figstream import reasons
from figstream import serialization
from figstream import software_plan
from figstream import stream_software

_LLM = "llm"
_ROUTE = "rewrite"


def _servers(**counts: int) -> list[backend_server.BackendServer]:
    return [
        backend_server.BackendServer(
            f"{software}-{number}",
            "http://10.0.0.1:1",
            "a",
            kind=backend_server.ServerKind.SERVICE,
            service=_LLM,
            slots=10,
            software=software,
        )
        for software, count in counts.items()
        for number in range(count)
    ]


def _revised(
    plan: software_plan.SoftwarePlan, now_ms: int, era: int = 0, **counts: int
) -> software_plan.SoftwarePlan:
    return software_plan.revised(plan, _servers(**counts), [_LLM], now_ms, era)


def _weights(plan: software_plan.SoftwarePlan) -> dict[str, int]:
    return dict(plan.services[_LLM][-1].weights)


@pytest.mark.parametrize(
    ("counts", "wanted"),
    [
        ({"v1": 3}, {"v1": 30}),
        ({"v1": 3, "v2": 2}, {"v1": 30, "v2": 20}),
        ({"v1": 3, "v2": 1}, {"v1": 30}),
        ({"v1": 1, "v2": 1}, {"v1": 10, "v2": 10}),
        ({}, {}),
    ],
)
def test_versions_with_several_servers_get_streams(
    counts: dict[str, int], wanted: dict[str, int]
) -> None:
    assert software_plan.wanted_weights(_servers(**counts)) == wanted


def test_a_plan_changes_at_once_when_a_version_has_no_server() -> None:
    first = _revised(software_plan.SoftwarePlan(), 5_000, v1=4, v2=4)
    gone = _revised(first, 5_001, v2=4)
    assert _weights(gone) == {"v2": 40}
    assert gone.services[_LLM][0].ended_ms == 5_001


def test_a_plan_does_not_follow_each_step_of_a_release() -> None:
    plan = _revised(software_plan.SoftwarePlan(), 0, v1=9)
    assert _revised(plan, 500, v1=9, v2=4) is plan
    changed = _revised(plan, 1_000, v1=9, v2=4)
    assert _weights(changed) == {"v1": 90, "v2": 40}
    assert _revised(changed, 3_000, v1=9, v2=5) is changed
    assert _weights(_revised(changed, 11_000, v1=9, v2=5))["v2"] == 50


def test_a_plan_keeps_only_the_recent_past() -> None:
    plan = software_plan.SoftwarePlan()
    for number in range(200):
        counts = {"v1": 4, "v2": 4 if number % 2 else 0}
        plan = _revised(plan, number * 2_000, **counts)
    assert len(plan.services[_LLM]) <= 32


def test_a_plan_survives_its_encoding() -> None:
    plan = _revised(software_plan.SoftwarePlan(), 7, v1=4, v2=4)
    value = serialization.to_value(plan)
    decoded = serialization.from_value(value, software_plan.SoftwarePlan)
    assert serialization.to_value(decoded) == value


_ODD_WEIGHTS: tuple[Any, ...] = (
    {},
    {"v1": 0},
    {"v1": -1, "v2": 1},
    {"v1": 2**63},
    {"v1": 1e300},
    {"v1": float("inf")},
    {"v1": "9" * 5_000},
    [],
    None,
)
_ODD_PLANS: tuple[Any, ...] = (
    None,
    [],
    "text",
    1,
    {"services": None},
    {"services": {}, "era": 1e300},
    {"services": {}, "complete_since_ms": 2**63},
    {"services": {_LLM: [{"since_ms": -1, "weights": {"v1": 1}}]}},
    *(
        {"services": {_LLM: [{"since_ms": 1, "weights": item}]}}
        for item in _ODD_WEIGHTS
    ),
)


@pytest.mark.parametrize("value", _ODD_PLANS)
def test_an_odd_plan_in_the_store_is_an_error_not_a_crash(value: Any) -> None:
    """Fails if the plan is used: a sum of 0 ended the planner every second."""
    with pytest.raises(errors.ConfigurationError):
        serialization.from_value(value, software_plan.SoftwarePlan)


def test_streams_are_divided_by_weight() -> None:
    weights = {"v1": 90, "v2": 30}
    found = [software_plan.assign(f"r{x}", weights) for x in range(4_000)]
    assert 0.70 < found.count("v1") / 4_000 < 0.80


def test_a_change_of_weights_moves_few_streams() -> None:
    names = [f"r{x}" for x in range(4_000)]
    before = [software_plan.assign(x, {"v1": 90, "v2": 30}) for x in names]
    after = [software_plan.assign(x, {"v1": 90, "v2": 90}) for x in names]
    moved = [x for x in zip(before, after, strict=True) if x[0] != x[1]]
    assert set(moved) == {("v1", "v2")}
    assert len(moved) < 0.3 * len(names)


class _Daemon:
    """The streams of one daemon, with the plan and servers it knows."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.streams = stream_software.StreamSoftware(
            clock, metrics.make_unexported_metrics()
        )

    def apply(
        self,
        plan: software_plan.SoftwarePlan,
        counts: dict[str, int],
        era: int = 0,
    ) -> None:
        self.streams.update_servers(_servers(**counts))
        self.streams.apply_plan(plan, era)


def _stream(name: str, left_s: float = 5.0) -> stream_software.Stream:
    return stream_software.Stream(name, _LLM, 5.0, left_s, _ROUTE)


_STEP = strategies.tuples(
    strategies.dictionaries(
        strategies.sampled_from(["v1", "v2", "v3"]),
        strategies.integers(0, 6),
        min_size=1,
    ),
    strategies.floats(0.0, 4.0),
    strategies.booleans(),
    # How many plans a restore of the store loses, if it is restored.
    strategies.sampled_from([0, 0, 0, 1, 3]),
)


@hypothesis.given(
    strategies.lists(_STEP, min_size=1, max_size=12), strategies.integers(0, 99)
)
def test_a_stream_never_goes_on_at_other_software(
    steps: list[tuple[dict[str, int], float, bool, int]], seed: int
) -> None:
    """Fails if plans decide where they do not agree.

    All daemons are replaced before some of the take-ups, by such as know only
    what is stored, and the store is restored from older copies (soak seed
    10110).
    """
    source = random.Random(seed)
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=2)
    daemon = _Daemon(clock)
    begun: list[tuple[str, float, str]] = []
    stored = [plan]
    era = 0
    for number, (counts, pause_s, restart, lost) in enumerate(steps):
        if restart:
            daemon = _Daemon(clock)
        if lost:
            era += 1
            stored = stored[:-lost] or stored[:1]
            daemon.apply(stored[-1], counts, era)
            clock.advance(0.5)
        now_ms = round(clock.now() * 1000)
        plan = _revised(stored[-1], now_ms, era, **counts)
        stored.append(plan)
        daemon.apply(plan, counts, era)
        for item in range(20):
            stream = _stream(f"r{number}-{item}")
            software = daemon.streams.for_new(stream)
            if software is not None:
                daemon.streams.began(stream, software)
                begun.append((stream.name, clock.now(), software))
        clock.advance(pause_s)
        for name, at, software in begun:
            left_s = 5.0 - (clock.now() - at)
            if left_s <= 0.0 or source.random() < 0.5:
                continue
            found = daemon.streams.for_resumed(_stream(name, left_s))
            assert isinstance(found, errors.Refusal) or found == software


def test_a_restored_plan_is_not_trusted_for_earlier_streams() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    copy = _revised(software_plan.SoftwarePlan(), 900_000, v1=4)
    daemon = _Daemon(clock)
    daemon.apply(copy, {"v1": 4, "v2": 4}, era=1)
    found = daemon.streams.for_resumed(_stream("r1", 3.0))
    assert isinstance(found, errors.Refusal)
    written = _revised(copy, 1_000_500, era=1, v1=4)
    assert written.complete_since_ms == 1_000_500
    clock.advance(30.0)
    daemon.apply(written, {"v1": 4}, era=1)
    assert daemon.streams.for_resumed(_stream("r2", 3.0)) == "v1"


def test_a_plan_written_late_does_not_end_the_one_before_in_the_past() -> None:
    """Fails if a stream goes on at software that its daemon did not use yet."""
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=9)
    one, other = _Daemon(clock), _Daemon(clock)
    for daemon in (one, other):
        daemon.apply(plan, {"v1": 9})
    clock.advance(10.0)
    counts = {"v1": 9, "v2": 9}
    late = _revised(plan, 1_010_000, **counts)
    clock.advance(5.0)
    names = [f"r{number}" for number in range(100)]
    assert {one.streams.for_new(_stream(name)) for name in names} == {"v1"}
    clock.advance(1.0)
    other.apply(late, counts)
    clock.advance(0.5)
    corrected = software_plan.with_ends(late, other.streams.history.late_ends)
    started = _Daemon(clock)
    started.apply(corrected, counts)
    for daemon in (other, started):
        found = {daemon.streams.for_resumed(_stream(x, 4.5)) for x in names}
        assert {x for x in found if isinstance(x, str)} == {"v1"}


def test_the_latest_of_several_late_ends_is_written() -> None:
    """Fails if the first writer decides when all daemons stopped."""
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=9)
    first, last, started = _Daemon(clock), _Daemon(clock), _Daemon(clock)
    for daemon in (first, last):
        daemon.apply(plan, {"v1": 9})
    counts = {"v1": 9, "v2": 9}
    late = _revised(plan, 1_010_000, **counts)
    clock.advance(12.0)
    first.apply(late, counts)
    written = software_plan.with_ends(late, first.streams.history.late_ends)
    clock.advance(7.0)
    names = [f"r{number}" for number in range(100)]
    assert {last.streams.for_new(_stream(name)) for name in names} == {"v1"}
    last.apply(late, counts)
    last.apply(written, counts)
    corrected = software_plan.with_ends(written, last.streams.history.late_ends)
    clock.advance(0.5)
    started.apply(corrected, counts)
    found = {started.streams.for_resumed(_stream(x, 4.5)) for x in names}
    assert {x for x in found if isinstance(x, str)} == {"v1"}
    last.apply(corrected, counts)
    again = software_plan.with_ends(corrected, last.streams.history.late_ends)
    assert again is corrected


def test_streams_begun_while_a_version_had_no_server_keep_their_software() -> (
    None
):
    """Fails if only plans tell what daemons used, and none was written."""
    clock = clock_lib.ManualClock(1_000.0)
    counts = {"v1": 9, "v2": 9}
    plan = _revised(software_plan.SoftwarePlan(), 900_000, **counts)
    one, other = _Daemon(clock), _Daemon(clock)
    for daemon in (one, other):
        daemon.apply(plan, counts)
    clock.advance(30.0)
    for daemon in (one, other):
        daemon.streams.update_servers(_servers(v2=9))
    clock.advance(1.5)
    names = [f"r{number}" for number in range(100)]
    assert {one.streams.for_new(_stream(name)) for name in names} == {"v2"}
    for daemon in (one, other):
        daemon.streams.update_servers(_servers(**counts))
    clock.advance(0.5)
    found = {other.streams.for_resumed(_stream(x, 4.5)) for x in names}
    assert {x for x in found if isinstance(x, str)} == {"v2"}
    clock.advance(20.0)
    for name in names:
        begun = one.streams.for_new(_stream(name))
        assert other.streams.for_resumed(_stream(name, 4.5)) == begun


def test_a_lower_time_limit_does_not_make_older_streams_younger() -> None:
    """Fails if a stream's age is judged by a limit set after it began."""
    clock = clock_lib.ManualClock(1_000.0)
    daemon = _Daemon(clock)
    daemon.streams.update_limits({_ROUTE: 12.0, "other": 60.0})
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=9)
    daemon.apply(plan, {"v1": 9})
    names = [f"r{number}" for number in range(100)]
    assert {daemon.streams.for_new(_stream(name)) for name in names} == {"v1"}
    clock.advance(1.0)
    counts = {"v1": 9, "v2": 9}
    daemon.apply(_revised(plan, 1_001_000, **counts), counts)
    daemon.streams.update_limits({_ROUTE: 5.0, "other": 60.0})
    clock.advance(9.0)
    found = {daemon.streams.for_resumed(_stream(x, 2.0)) for x in names}
    assert {x for x in found if isinstance(x, str)} == {"v1"}
    clock.advance(61.0)
    found = {daemon.streams.for_resumed(_stream(x, 2.0)) for x in names}
    assert found == {"v1", "v2"}


def test_a_plan_learned_in_time_is_not_written_again() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=9)
    daemon = _Daemon(clock)
    daemon.apply(plan, {"v1": 9})
    clock.advance(10.0)
    changed = _revised(plan, 1_009_500, v1=9, v2=9)
    daemon.apply(changed, {"v1": 9, "v2": 9})
    found = software_plan.with_ends(changed, daemon.streams.history.late_ends)
    assert found is changed


def test_a_plan_written_from_nothing_says_nothing_of_earlier_streams() -> None:
    """Fails if a daemon believes a plan about the time before it (50100)."""
    clock = clock_lib.ManualClock(1_000.0)
    anew = _revised(software_plan.SoftwarePlan(), 999_000, v2=4)
    daemon = _Daemon(clock)
    daemon.apply(anew, {"v1": 4, "v2": 4})
    found = daemon.streams.for_resumed(_stream("r1", 4.0))
    assert isinstance(found, errors.Refusal)
    clock.advance(10.0)
    assert daemon.streams.for_resumed(_stream("r2", 4.0)) == "v2"


def test_all_streams_go_on_while_the_plan_stays() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    counts = {"v1": 4, "v2": 5}
    plan = _revised(software_plan.SoftwarePlan(), 900_000, **counts)
    before, after = _Daemon(clock), _Daemon(clock)
    before.apply(plan, counts)
    after.apply(plan, counts)
    for number in range(50):
        stream = _stream(f"r{number}")
        began = before.streams.for_new(stream)
        assert after.streams.for_resumed(stream) == began


def test_a_changed_plan_is_no_obstacle_while_daemons_are_in_touch() -> None:
    """Fails if daemons do not tell what the plans leave open."""
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=9)
    one, other = _Daemon(clock), _Daemon(clock)
    for daemon in (one, other):
        daemon.apply(plan, {"v1": 9})
    names = [f"r{number}" for number in range(200)]
    for name in names:
        one.streams.began(_stream(name), "v1")
    assert not one.streams.take_pending(1_000)
    clock.advance(2.0)
    counts = {"v1": 9, "v2": 9}
    changed = _revised(plan, 1_002_000, **counts)
    for daemon in (one, other):
        daemon.apply(changed, counts)
    told = one.streams.take_pending(1_000)
    assert 60 < len(told) < 140
    other.streams.learn(told)
    for name in names:
        assert other.streams.for_resumed(_stream(name, 3.0)) == "v1"


def test_a_stream_of_software_without_servers_is_refused() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    counts = {"v1": 4, "v2": 4}
    plan = _revised(software_plan.SoftwarePlan(), 900_000, **counts)
    daemon = _Daemon(clock)
    daemon.apply(plan, {"v2": 4})
    found = [
        daemon.streams.for_resumed(_stream(f"r{number}"))
        for number in range(50)
    ]
    refused = [x for x in found if isinstance(x, errors.Refusal)]
    assert {x.reason for x in refused} == {
        reasons.RefusalReason.STREAM_SOFTWARE_GONE
    }
    assert {x for x in found if isinstance(x, str)} == {"v2"}


def test_a_stream_that_is_not_named_goes_on_if_there_is_one_version() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    plan = _revised(software_plan.SoftwarePlan(), 900_000, v1=4)
    daemon = _Daemon(clock)
    daemon.apply(plan, {"v1": 4})
    assert daemon.streams.for_resumed(_stream("")) == "v1"
    changed = _revised(plan, 1_002_000, v1=4, v2=4)
    daemon.apply(changed, {"v1": 4, "v2": 4})
    assert isinstance(daemon.streams.for_resumed(_stream("")), errors.Refusal)


def test_recorded_streams_are_bounded() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    daemon = _Daemon(clock)
    for number in range(70_000):
        stream = _stream(f"r{number}")
        daemon.streams.began(stream, "v1")
        daemon.streams.ended(stream)
    assert len(daemon.streams._known) == 65_536
    assert len(daemon.streams._pending) == 4_096


def test_the_history_of_a_restored_store_is_not_forgotten() -> None:
    """Fails if a plan that a restore lost no longer counts as recent."""
    clock = clock_lib.ManualClock(1_000.0)
    older = _revised(software_plan.SoftwarePlan(), 900_000, v1=4)
    counts = {"v1": 4, "v2": 4}
    newer = _revised(older, 1_002_000, **counts)
    daemon = _Daemon(clock)
    for plan in (older, newer, older):
        daemon.apply(plan, counts)
        clock.advance(1.0)
    names = [f"r{number}" for number in range(100)]
    found = [daemon.streams.for_resumed(_stream(name)) for name in names]
    moved = [
        name
        for name in names
        if software_plan.assign(name, _weights(newer)) == "v2"
    ]
    assert moved
    refused = [
        name
        for name, item in zip(names, found, strict=True)
        if isinstance(item, errors.Refusal)
    ]
    assert refused == moved


def test_a_stream_key_depends_on_the_service() -> None:
    stream = _stream("r1")
    assert stream.key != attrs.evolve(stream, service="other").key
