"""Tests of the need of paced streams that one daemon tells to all."""

from collections.abc import Sequence
from typing import Final

import anyio
import attrs
import pytest

from figstream import clock as clock_lib
from figstream import fleet_work
from figstream import metrics as metrics_lib
from figstream import notices as notices_lib
from figstream import platform_memory
from figstream import serialization
from figstream import usage_api
from figstream import usage_delta
from figstream import usage_sealing
from figstream import work_groups
from tests import lease_parts
from tests import paced_fleet

_METRICS: Final = metrics_lib.make_unexported_metrics()
_DAEMONS: Final = 80
# Counts of a daemon are closed once in this time and arrive soon after.
_DELTA_S: Final = 0.83
_STREAM_S: Final = 1.7


class _Member:
    """The need, groups and notices of one daemon."""

    def __init__(
        self,
        number: int,
        clock: clock_lib.ManualClock,
        *,
        paced: bool = True,
        answers: int = 20,
    ) -> None:
        self.published: list[bytes] = []
        self.notices = notices_lib.Notices(number, "a", clock, _METRICS)
        self.groups = work_groups.WorkGroups()
        self.work = fleet_work.FleetWork(
            self.groups, self.notices, clock, _METRICS
        )
        configuration = paced_fleet.configuration(paced_fleet.servers(), paced)
        self.groups.set_configuration(configuration)
        self.work.set_configuration(configuration)
        for _ in range(answers):
            self.groups.answered(paced_fleet.SERVICE, _STREAM_S)

    @property
    def paced(self) -> int:
        """Returns the number of servers for paced streams."""
        pool = paced_fleet.pool(paced_fleet.servers())
        return len(self.groups.servers_for(pool, True))


class _Fleet:
    """Some daemons of which one seals, and the counts of all 80."""

    def __init__(
        self, members: int = 4, *, paced: bool = True, answers: int = 20
    ) -> None:
        self.clock = clock_lib.ManualClock(1000.0)
        self.members = [
            _Member(number + 1, self.clock, paced=paced, answers=answers)
            for number in range(members)
        ]
        self.sealing = self.members[0]
        self.cut_off: list[_Member] = []
        for member in self.members:
            self._connect(member)

    def join(self) -> _Member:
        """Adds a daemon that heard of nothing so far."""
        member = _Member(len(self.members) + 1, self.clock)
        self.members.append(member)
        self._connect(member)
        return member

    def play(self, seconds: float, streams_per_s: float) -> None:
        """Delivers the counts of all daemons to the one that seals."""
        each = streams_per_s * _DELTA_S / _DAEMONS
        step_s = _DELTA_S / _DAEMONS
        for number in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            opened_ms = round((self.clock.wall() - _DELTA_S - 0.1) * 1000)
            self.sealing.work.count(_delta(number, opened_ms, each))

    def _connect(self, member: _Member) -> None:
        def forward(notice: notices_lib.Notice) -> None:
            member.published.append(notice.payload)
            if member in self.cut_off:
                return
            for other in self.members:
                if other is not member and other not in self.cut_off:
                    other.notices.receive(notice)

        member.notices.set_forward(forward)


def _delta(
    number: int, opened_ms: int, streams: float
) -> usage_delta.UsageDelta:
    run = usage_delta.RunId(f"d{number}", 1)
    return usage_delta.UsageDelta(
        usage_delta.DeltaId(run, 1),
        opened_ms,
        (
            # Fractions stand for the counts of daemons that see few.
            usage_api.UsageItem("c", "chat@1", streams),  # type: ignore[arg-type]
            usage_api.UsageItem("c", "plan@2", 10),
            usage_api.UsageItem("c", "gone", 10),
        ),
    )


def _needs(member: _Member) -> Sequence[int]:
    """Returns the published needs in order, without repeats."""
    found: list[int] = []
    for payload in member.published:
        need = serialization.from_json(payload, fleet_work.FleetNeed)
        servers = need.servers[paced_fleet.SERVICE]
        if not found or found[-1] != servers:
            found.append(servers)
    return found


def test_all_daemons_follow_a_burst_within_two_seconds() -> None:
    fleet = _Fleet()
    assert {x.paced for x in fleet.members} == {12}
    fleet.play(6.0, 60.0)
    # 60 streams a second run for 1.7 s; a server holds 16 of them. Eight
    # servers are needed, ten the least.
    assert {x.paced for x in fleet.members} == {10}
    assert len({x.paced for x in fleet.members}) == 1
    fleet.play(2.0, 200.0)
    assert len({x.paced for x in fleet.members}) == 1
    assert fleet.members[1].paced >= 16
    fleet.play(10.0, 200.0)
    assert 26 <= fleet.members[1].paced <= 30


def test_the_group_grows_with_a_burst_of_streams() -> None:
    """Fails if the rate is a mean over 3 s: streams of the burst then queue.

    100 streams a second at seven servers ran for up to 13 s on one day.
    """
    fleet = _Fleet()
    fleet.play(6.0, 40.0)
    assert fleet.members[1].paced == 10
    fleet.play(2.5, 100.0)
    # The burst needs 14 in the end; a mean over 3 s has 11 by now.
    assert fleet.members[1].paced >= 12


def test_the_need_is_known_before_a_stream_has_ended() -> None:
    """Fails if servers that vanish take their share of the group along.

    On a day whose first seconds lose half of the servers, the group shrank with
    them, since the sealing daemon had seen no stream end yet.
    """
    fleet = _Fleet(answers=0)
    fleet.play(3.5, 90.0)
    half = paced_fleet.configuration(paced_fleet.servers(each=7))
    for member in fleet.members:
        member.groups.set_configuration(half)
    pool = paced_fleet.pool(paced_fleet.servers(each=7))
    for member in fleet.members:
        assert len(member.groups.servers_for(pool, True)) == 14


def test_the_need_of_an_even_load_does_not_swing() -> None:
    fleet = _Fleet()
    fleet.play(60.0, 120.0)
    assert len(_needs(fleet.sealing)) <= 3
    assert len(fleet.sealing.published) <= 16


def test_the_need_falls_after_a_burst_and_not_at_once() -> None:
    fleet = _Fleet()
    fleet.play(8.0, 200.0)
    high = fleet.members[1].paced
    fleet.play(3.0, 60.0)
    assert fleet.members[1].paced == high
    fleet.play(12.0, 60.0)
    assert fleet.members[1].paced < 0.6 * high


def test_the_daemon_that_seals_dies() -> None:
    """The others keep its last need until the next one knows better."""
    fleet = _Fleet()
    fleet.play(8.0, 200.0)
    high = fleet.members[1].paced
    fleet.clock.advance(30.0)
    assert {x.paced for x in fleet.members[1:]} == {high}
    fleet.sealing = fleet.members[1]
    fleet.sealing.work.forget()
    fleet.play(3.0, 60.0)
    assert fleet.members[2].paced == high
    fleet.play(12.0, 60.0)
    assert {x.paced for x in fleet.members} == {fleet.sealing.paced}
    assert fleet.sealing.paced < 0.6 * high


def test_counts_of_the_last_seconds_make_no_burst() -> None:
    """Plays a new sealing daemon, which gets the counts of 8 s at once."""
    fleet = _Fleet()
    now = fleet.clock.wall() - _DELTA_S - 0.1
    for number in range(800):
        opened_ms = round((now - number / 100) * 1000)
        fleet.sealing.work.count(_delta(number, opened_ms, 1.2))
    fleet.play(1.0, 120.0)
    # The load needs 20.
    assert max(_needs(fleet.sealing)) <= 24


def test_a_daemon_that_is_cut_off_keeps_the_need_and_then_follows() -> None:
    fleet = _Fleet()
    fleet.play(6.0, 60.0)
    alone = fleet.members[-1]
    fleet.cut_off.append(alone)
    fleet.play(20.0, 200.0)
    assert alone.paced <= 11
    fleet.cut_off.clear()
    fleet.play(6.0, 200.0)
    assert alone.paced == fleet.sealing.paced > 20


def test_a_daemon_that_starts_hears_the_need_within_seconds() -> None:
    fleet = _Fleet()
    fleet.play(6.0, 200.0)
    new = fleet.join()
    assert new.paced == 12
    fleet.play(6.0, 200.0)
    assert new.paced == fleet.sealing.paced


def _publish(fleet: _Fleet, member: int, at_s: float, servers: int) -> None:
    need = fleet_work.FleetNeed(
        round(at_s * 1000), {paced_fleet.SERVICE: servers}
    )
    fleet.members[member].notices.publish(
        "paced_need", serialization.to_json(need), 15.0
    )


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_of_two_needs_the_newest_holds(order: tuple[int, int]) -> None:
    fleet = _Fleet()
    for member in order:
        _publish(fleet, member, 990.0 + member, 10 * member)
    assert fleet.members[0].paced == fleet.members[3].paced == 20


def test_a_need_from_the_future_holds_for_its_time_only() -> None:
    """Fails if a daemon whose clock was wrong decides for ever."""
    fleet = _Fleet()
    _publish(fleet, 1, 99_999.0, 25)
    _publish(fleet, 2, 1000.0, 10)
    assert fleet.members[3].paced == 25
    fleet.clock.advance(16.0)
    _publish(fleet, 2, 1016.0, 10)
    assert fleet.members[3].paced == 10


@pytest.mark.parametrize(
    "payload",
    [b"", b"[]", b'{"decided_ms":1}', b'{"decided_ms":1,"servers":{"e":"x"}}'],
)
def test_an_unreadable_need_changes_nothing(payload: bytes) -> None:
    fleet = _Fleet()
    fleet.members[1].notices.publish("paced_need", payload, 15.0)
    assert fleet.members[2].paced == 12


@pytest.mark.parametrize("servers", [-5, 0, 10**9])
def test_a_senseless_need_leaves_servers_to_each_kind(servers: int) -> None:
    fleet = _Fleet()
    _publish(fleet, 1, 1000.0, servers)
    assert 10 <= fleet.members[2].paced <= 30


def test_nothing_is_published_without_paced_routes() -> None:
    fleet = _Fleet(paced=False)
    fleet.play(10.0, 200.0)
    assert fleet.sealing.published == []


class _Lease:
    def fencing(self) -> int | None:
        return 1


def test_sealing_passes_on_each_delta_once() -> None:
    async def play() -> list[usage_delta.UsageDelta]:
        clock = clock_lib.ManualClock(1000.0)
        platform = platform_memory.MemoryPlatform()
        sealing = usage_sealing.UsageSealing(
            _Lease(),  # type: ignore[arg-type]
            platform.interfaces(),
            clock,
            _METRICS,
            5.0,
        )
        heard: list[usage_delta.UsageDelta] = []
        begun: list[None] = []
        sealing.set_listener(heard.append, lambda: begun.append(None))
        delta = attrs.evolve(
            _delta(1, 1_000_500, 1.0),
            items=(usage_api.UsageItem("c", "chat", 1),),
        )
        assert sealing.accept(delta) is usage_sealing.DeltaStatus.WAIT
        await sealing.step()
        assert begun == [None]
        held = usage_sealing.DeltaStatus.HELD
        assert [sealing.accept(delta) for _ in range(3)] == [held] * 3
        return heard

    assert len(anyio.run(play)) == 1


def test_a_daemon_is_connected_to_what_it_seals() -> None:
    """Fails if counts that a daemon seals don't reach its groups."""

    async def play() -> int:
        clock = clock_lib.ManualClock(1000.0)
        platform = platform_memory.MemoryPlatform().interfaces()
        context = lease_parts.make_context("d", 1, platform, clock)
        notices = notices_lib.Notices(1, "a", clock, _METRICS)
        sealing = usage_sealing.UsageSealing(
            _Lease(),  # type: ignore[arg-type]
            platform,
            clock,
            _METRICS,
            50.0,
        )
        fleet_work.make_fleet_work(context, sealing, notices)
        servers = paced_fleet.servers()
        configuration = attrs.evolve(
            paced_fleet.configuration(servers), generation=1
        )
        context.holder.replace(configuration)
        context.groups.set_configuration(configuration)
        await sealing.step()
        for number in range(40):
            clock.advance(0.1)
            context.groups.answered(paced_fleet.SERVICE, _STREAM_S)
            opened_ms = round((clock.wall() - 0.9) * 1000)
            delta = _delta(number, opened_ms, 20.0)
            sealing.accept(attrs.evolve(delta, items=delta.items[:1]))
        pool = paced_fleet.pool(servers)
        return len(context.groups.servers_for(pool, True))

    assert anyio.run(play) >= 20
