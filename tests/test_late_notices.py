"""Tests that notices do not last longer at a daemon that joins."""

from figstream import clock as clock_lib
from figstream import demand
from figstream import leaving_servers
from figstream import member_table
from figstream import member_zones
from figstream import membership_api
from figstream import membership_heartbeat
from figstream import metrics
from figstream import notices as notices_lib
from figstream import scheduler


def _notices(run: int, clock: clock_lib.Clock) -> notices_lib.Notices:
    return notices_lib.Notices(
        run, "z", clock, metrics.make_unexported_metrics()
    )


def _join(late: notices_lib.Notices, peer: notices_lib.Notices) -> None:
    for notice in peer.kept:
        late.receive(notice)


class _Listener:
    def __init__(self) -> None:
        self.leaving: frozenset[str] = frozenset()

    def set_leaving(self, servers: frozenset[str]) -> None:
        self.leaving = servers


def test_a_leaving_server_is_listed_as_long_at_a_daemon_that_joins() -> None:
    clock = clock_lib.ManualClock(100.0)
    first, late = _notices(1, clock), _notices(2, clock)
    listeners = [_Listener(), _Listener()]
    lists = [
        leaving_servers.LeavingServers(listener, item, clock)
        for listener, item in zip(listeners, (first, late), strict=True)
    ]
    lists[0].announce("z", frozenset({"i-1"}))
    clock.advance(40.0)
    _join(late, first)
    assert listeners[1].leaving == {"i-1"}
    clock.advance(6.0)
    for item in lists:
        item._notify_listener()
    assert listeners[0].leaving == listeners[1].leaving == frozenset()


def _fill(
    notices: notices_lib.Notices, clock: clock_lib.ManualClock, count: int
) -> None:
    for number in range(count):
        clock.advance(1 / 60)
        notices.receive(
            notices_lib.Notice(
                9, number, "stream_software", b"x", clock.now() + 30.0
            )
        )


def test_a_rare_notice_reaches_a_daemon_whose_contact_was_lost() -> None:
    """Fails if frequent notices displace the plan of software versions."""
    clock = clock_lib.ManualClock(100.0)
    first, late = _notices(1, clock), _notices(2, clock)
    received: list[bytes] = []
    late.subscribe("software_plan", received.append)
    first.publish("software_plan", b"plan", 60.0)
    _fill(first, clock, 12 * 60)
    assert len(first.kept) == notices_lib.MAX_RECENT_NOTICES
    assert first.kept[0].payload == b"plan"
    _join(late, first)
    assert received == [b"plan"]


def test_a_rare_notice_stays_queued_for_a_neighbour_that_is_silent() -> None:
    """Fails if frequent notices displace the plan of software versions."""
    clock = clock_lib.ManualClock(100.0)
    notices = _notices(1, clock)
    this = membership_api.Member("vm-1", "z", "r", "10.0.0.1:1", 1, 1)
    session = membership_heartbeat.HeartbeatSession(
        membership_heartbeat.HeartbeatState(
            member_table.MemberTable(this, 6.0, clock.now()),
            member_zones.ZoneTicks("z", clock.now()),
            notices,
            clock,
            metrics.make_unexported_metrics(),
            2.0,
        )
    )
    notices.set_forward(session.add_notice)
    notices.publish("software_plan", b"plan", 60.0)
    _fill(notices, clock, 12 * 60)
    sent = session.next_message().notices
    assert b"plan" in {item.payload for item in sent}


def test_demand_expires_at_a_daemon_that_joins_as_at_others() -> None:
    clock = clock_lib.ManualClock(100.0)
    first, late = _notices(1, clock), _notices(2, clock)
    received = demand.ZoneDemand(clock)
    demand.DemandPublisher(
        "late", scheduler.make_scheduler("z", 1), late, received, clock
    )
    key = demand.DemandKey("m", 0, preemptible=False)
    payload = demand.encode("gone", demand.Demand({key: 3}))
    first.publish(demand.NOTICE_KIND, payload, 90.0, within_zone=True)
    clock.advance(80.0)
    _join(late, first)
    assert received.total[key] == 3
    received.receive(demand.encode("gone", demand.Demand({key: 9})), 5.0)
    assert received.total[key] == 3
    clock.advance(11.0)
    assert not received.total
