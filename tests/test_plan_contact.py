"""Tests of plans of software versions at daemons that are out of contact."""

from typing import cast

import anyio
import pytest

from bench import member_cluster
from figstream import backend_server
from figstream import clock as clock_lib
from figstream import errors
from figstream import member_table
from figstream import membership
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import plan_contact
from figstream import platform_api
from figstream import platform_memory
from figstream import software_plan
from figstream import stream_software
from tests import gateway_parts
from tests import lease_parts

_LLM = "llm"
_TIMEOUT_S = 4.0
_STREAMS = 100
# Heartbeats between the loss of contact and its detection everywhere.
_DETECTION_HEARTBEATS = 4


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


class _Fleet:
    """Two daemons of which one goes out of contact before a new plan."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock(1_000.0)
        self.near, self.cut = (
            stream_software.StreamSoftware(
                self.clock, metrics.make_unexported_metrics()
            )
            for _ in range(2)
        )
        self.plan = software_plan.revised(
            software_plan.SoftwarePlan(), _servers(v1=9), [_LLM], 900_000
        )
        self.version = 0
        self.release([self.near, self.cut], v1=9)

    def release(
        self, daemons: list[stream_software.StreamSoftware], **counts: int
    ) -> None:
        """Changes the servers and tells some daemons."""
        servers = _servers(**counts)
        self.version += 1
        now_ms = round(self.clock.wall() * 1000)
        self.plan = software_plan.revised(self.plan, servers, [_LLM], now_ms)
        for daemon in daemons:
            daemon.update_servers(servers)
            daemon.apply_plan(self.plan, version=self.version)

    def unheard(self, since: float) -> None:
        """Applies that the daemons do not hear each other."""
        contact = membership_api.Contact(since)
        self.near.apply_contact(contact, may_be_outdated=False)
        self.cut.apply_contact(contact, may_be_outdated=True)

    def begin(
        self, daemon: stream_software.StreamSoftware, word: str
    ) -> dict[str, str]:
        """Begins streams at a daemon; returns the version of each."""
        names = [f"{word}{number}" for number in range(_STREAMS)]
        begun = {}
        for name in names:
            stream = self.stream(name)
            software = daemon.for_new(stream)
            assert software
            daemon.began(stream, software)
            begun[name] = software
        return begun

    def stream(
        self, name: str, left_s: float = _TIMEOUT_S
    ) -> stream_software.Stream:
        """Returns a stream."""
        return stream_software.Stream(name, _LLM, _TIMEOUT_S, left_s)

    def take_up(
        self, daemon: stream_software.StreamSoftware, begun: dict[str, str]
    ) -> int:
        """Resumes streams; returns how many go on, all at their version."""
        found = {
            name: daemon.for_resumed(self.stream(name, _TIMEOUT_S - 0.5))
            for name in begun
        }
        went_on = {
            name: item
            for name, item in found.items()
            if not isinstance(item, errors.Refusal)
        }
        assert went_on == {name: begun[name] for name in went_on}
        return len(went_on)


def test_streams_of_a_cut_daemon_do_not_go_on_at_other_software() -> None:
    """Fails if a plan counts as ended at daemons that can't have the next."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    fleet.release([fleet.near], v1=9, v2=9)
    for _ in range(20):
        fleet.clock.advance(0.5)
        fleet.unheard(1_000.0)
    begun = fleet.begin(fleet.cut, "r")
    fleet.clock.advance(0.5)
    fleet.take_up(fleet.near, begun)


def test_streams_of_a_daemon_that_missed_a_plan_keep_their_software() -> None:
    """Fails if a plan counts as ended before all daemons have the next."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    behind = fleet.version
    fleet.release([fleet.near], v1=9, v2=9)
    for oldest in (behind, fleet.version):
        for _ in range(40):
            fleet.clock.advance(0.25)
            contact = membership_api.Contact(oldest_plan=oldest)
            fleet.near.apply_contact(contact, may_be_outdated=False)
        began_at = fleet.cut if oldest == behind else fleet.near
        begun = fleet.begin(began_at, f"r{oldest}-")
        fleet.clock.advance(0.5)
        went_on = fleet.take_up(fleet.near, begun)
    assert went_on == _STREAMS


def test_a_daemon_out_of_contact_does_not_trust_its_own_plan() -> None:
    """Fails if a cut daemon resumes streams that newer plans began."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    fleet.release([fleet.near], v1=9, v2=9)
    fleet.clock.advance(8.0)
    fleet.unheard(1_000.0)
    begun = fleet.begin(fleet.near, "r")
    fleet.clock.advance(0.5)
    assert fleet.take_up(fleet.cut, begun) == 0


def test_a_daemon_that_was_paused_does_not_trust_its_own_plan() -> None:
    """Fails if take-ups are read before what else came during a pause."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    contact = membership_api.Contact()
    fleet.cut.apply_contact(contact, may_be_outdated=False)
    fleet.release([fleet.near], v1=9, v2=9)
    fleet.clock.advance(8.0)
    begun = fleet.begin(fleet.near, "r")
    fleet.clock.advance(0.5)
    assert fleet.take_up(fleet.cut, begun) == 0
    fleet.cut.update_servers(_servers(v1=9, v2=9))
    fleet.cut.apply_plan(fleet.plan)
    for _ in range(48):
        fleet.cut.apply_contact(contact, may_be_outdated=False)
        fleet.clock.advance(0.25)
    begun = fleet.begin(fleet.near, "s")
    assert fleet.take_up(fleet.cut, begun) == _STREAMS


def test_streams_begun_out_of_contact_are_told_once_contact_is_back() -> None:
    """Fails if only streams that are still relayed are told."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    fleet.release([fleet.near], v1=9, v2=9)
    fleet.clock.advance(8.0)
    begun = fleet.begin(fleet.cut, "r")
    for name in begun:
        fleet.cut.ended(fleet.stream(name))
    fleet.cut.update_servers(_servers(v1=9, v2=9))
    fleet.cut.apply_plan(fleet.plan)
    fleet.near.learn(fleet.cut.take_pending(1_000))
    fleet.clock.advance(0.5)
    assert fleet.take_up(fleet.near, begun) == _STREAMS


def test_contact_that_is_back_is_no_obstacle_to_later_streams() -> None:
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    fleet.release([fleet.near], v1=9, v2=9)
    fleet.clock.advance(8.0)
    fleet.unheard(1_000.0)
    fleet.cut.update_servers(_servers(v1=9, v2=9))
    fleet.cut.apply_plan(fleet.plan)
    for _ in range(48):
        for daemon in (fleet.near, fleet.cut):
            daemon.apply_contact(
                membership_api.Contact(), may_be_outdated=False
            )
        fleet.clock.advance(0.25)
    begun = fleet.begin(fleet.cut, "r")
    assert fleet.take_up(fleet.near, begun) == _STREAMS


def test_a_lost_daemon_stops_no_take_up_while_the_plan_stays() -> None:
    fleet = _Fleet()
    contact = membership_api.Contact(999.0)
    fleet.near.apply_contact(contact, may_be_outdated=False)
    begun = fleet.begin(fleet.cut, "r")
    assert fleet.take_up(fleet.near, begun) == _STREAMS


class _Contact:
    """Stands in for the membership and the followers of a daemon."""

    def __init__(self) -> None:
        self.contact = membership_api.Contact(detection_s=8.0)
        self.failing = False
        self.calls = 0

    def call_again(self) -> None:
        """Counts the calls for the plan."""
        self.calls += 1

    def subscribe_confirmed(
        self, listener: object_follower.ConfirmListener
    ) -> None:
        """Keeps the listener, which `confirm` calls."""
        self.listener = listener

    def confirm(self) -> None:
        """Tells of an answered call."""
        self.failing = False
        self.listener(0.0)


async def _trusts_plan(
    role: plan_contact.PlanContact, fleet: _Fleet, name: str
) -> bool:
    with anyio.move_on_after(0.01):
        await role.run()
    found = fleet.near.for_resumed(fleet.stream(name))
    return isinstance(found, str)


@pytest.mark.anyio
async def test_a_plan_is_not_trusted_right_after_the_store_is_lost() -> None:
    """Fails if a daemon that was just cut off resumes streams by its plan."""
    fleet, state, plans = _Fleet(), _Contact(), _Contact()
    clock = fleet.clock
    role = plan_contact.PlanContact(
        fleet.near,
        cast(membership.Membership, state),
        cast(object_follower.ObjectFollower, state),
        cast(object_follower.ObjectFollower, plans),
        gateway_parts.ScriptedFeed(),
        _SleeplessClock(clock),
    )
    assert await _trusts_plan(role, fleet, "before")
    state.failing = True
    assert not await _trusts_plan(role, fleet, "just lost")
    for _ in range(36):
        clock.advance(0.25)
        trusts = await _trusts_plan(role, fleet, "lost for all")
    assert trusts
    state.contact = membership_api.Contact(clock.now() - 1.0, 8.0)
    assert not await _trusts_plan(role, fleet, "cut off")
    state.failing = False
    assert not await _trusts_plan(role, fleet, "just regained")
    assert plans.calls == 1
    assert await _trusts_plan(role, fleet, "regained")


def test_a_daemon_that_starts_trusts_the_plan_once_it_is_read() -> None:
    """Fails if callers are refused until the next check of contact."""
    fleet, state, plans = _Fleet(), _Contact(), _Contact()
    state.failing = plans.failing = True
    role = plan_contact.PlanContact(
        fleet.near,
        cast(membership.Membership, state),
        cast(object_follower.ObjectFollower, state),
        cast(object_follower.ObjectFollower, plans),
        gateway_parts.ScriptedFeed(),
        fleet.clock,
    )
    stream = fleet.stream("r1")
    role.check()
    assert isinstance(fleet.near.for_resumed(stream), errors.Refusal)
    state.confirm()
    plans.confirm()
    assert fleet.near.for_resumed(stream) == "v1"


class _SleeplessClock:
    """The time of another clock, with real sleeps."""

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.now, self.wall = clock.now, clock.wall

    async def sleep(self, seconds: float) -> None:
        """Waits without advancing the time."""
        await anyio.sleep(seconds)


def test_daemons_lost_later_do_not_keep_an_old_plan_recent() -> None:
    """Fails if each suspicion extends plans that all daemons gave up."""
    fleet = _Fleet()
    fleet.clock.advance(1.0)
    fleet.release([fleet.near, fleet.cut], v1=9, v2=9)
    for step in range(80):
        fleet.clock.advance(0.25)
        since = fleet.clock.now() - 6.0 if step % 20 < 3 else None
        contact = membership_api.Contact(since)
        fleet.near.apply_contact(contact, may_be_outdated=False)
    begun = {
        name: str(fleet.cut.for_new(fleet.stream(name)))
        for name in (f"r{number}" for number in range(_STREAMS))
    }
    assert fleet.take_up(fleet.near, begun) == _STREAMS


def _table() -> tuple[member_table.MemberTable, member_table.Entry]:
    this, other = (
        membership_api.Member(name, "z", "r", f"{name}:1", 1, 1)
        for name in ("vm-1", "vm-2")
    )
    table = member_table.MemberTable(this, 6.0, 0.0)
    run = member_table.run_of(other.name, other.start_number)
    table.merge(other, member_table.Status(run, 1), 0.0)
    entry = table.find(run)
    assert entry
    return table, entry


@pytest.mark.parametrize(
    ("alive_s", "suspected_at"), [(1.0, 10.0), (5.5, 10.0), (7.0, 22.0)]
)
def test_a_daemon_heard_only_for_a_moment_counts_as_unheard_all_the_while(
    alive_s: float, suspected_at: float
) -> None:
    """Fails if a plan counts as known where there was no time to learn it."""
    table, entry = _table()
    table.suspect(entry.run, 10.0)
    alive = member_table.Status(entry.run, 2)
    table.merge_status(alive, 15.0)
    assert entry.suspected_at is None
    # A new status does not extend the time of contact backwards.
    newer = member_table.Status(entry.run, 3, generation=2)
    table.merge_status(newer, 15.0 + alive_s - 0.5)
    table.suspect(entry.run, 15.0 + alive_s)
    assert entry.suspected_at == suspected_at


def _cluster(count: int) -> member_cluster.Cluster:
    cluster = member_cluster.Cluster()
    for number in range(count):
        cluster.add(f"vm-{number:03}", "abc"[number % 3])
    cluster.run(8)
    assert not any(
        node.watch.contact.unheard_since for node in cluster.nodes.values()
    )
    return cluster


@pytest.mark.parametrize("count", [2, 9, 60])
def test_all_daemons_notice_that_one_is_out_of_contact(count: int) -> None:
    cluster = _cluster(count)
    name = "vm-001"
    cut_at = cluster.clock.now()
    cluster.cut = {
        frozenset({name, other}) for other in cluster.nodes.keys() - {name}
    }
    cluster.run(_DETECTION_HEARTBEATS)
    for node in cluster.nodes.values():
        since = node.watch.contact.unheard_since
        assert since is not None
        assert since <= cut_at
    cluster.cut = set()
    cluster.run(12)
    # Discovery contacts dead members again; the cluster has no discovery.
    cluster.exchange_members(cluster.nodes[name], cluster.nodes["vm-000"])
    cluster.run(6)
    assert not any(
        node.watch.contact.unheard_since for node in cluster.nodes.values()
    )


def test_all_daemons_notice_that_a_zone_is_out_of_contact() -> None:
    cluster = _cluster(60)
    cut_at = cluster.clock.now()
    cluster.partition_zone("b")
    cluster.run(_DETECTION_HEARTBEATS)
    for node in cluster.nodes.values():
        contact = node.watch.contact
        assert contact.unheard_since is not None
        assert contact.unheard_since <= cut_at


@pytest.mark.parametrize("count", [9, 60])
def test_all_daemons_know_the_oldest_plan_in_use(count: int) -> None:
    """Fails if a daemon that missed a plan counts as one that has it."""
    cluster = _cluster(count)
    nodes = cluster.nodes
    assert {node.watch.contact.oldest_plan for node in nodes.values()} == {0}
    for plan, behind in ((5, ()), (7, ("vm-001",))):
        for name in nodes.keys() - set(behind):
            nodes[name].table.update_own(
                generation=0, leaving=False, plan_version=plan
            )
        cluster.run(2)
        oldest = {node.watch.contact.oldest_plan for node in nodes.values()}
        assert oldest == {5}
    # Its streams are taken up after its death.
    cluster.paused.add("vm-001")
    cluster.run(12)
    left = [node for name, node in nodes.items() if name != "vm-001"]
    assert {node.watch.contact.oldest_plan for node in left} == {5}
    cluster.run(60)
    assert {node.watch.contact.oldest_plan for node in left} == {7}


def test_a_daemon_tells_its_plan_soon_but_not_each_change_of_a_release() -> (
    None
):
    clock = clock_lib.ManualClock(100.0)
    platform = platform_memory.MemoryPlatform().interfaces()
    context = lease_parts.make_context("vm-1", 1, platform, clock)
    members = membership.make_membership(context, "x:1")
    told = []
    for version in range(1, 21):
        members.use_plan(version)
        told.append(members.this().plan_version)
        clock.advance(0.25)
    assert told == [x for first in (1, 5, 9, 13, 17) for x in [first] * 4]


def test_a_build_that_does_not_know_plans_hides_none() -> None:
    """Fails if a status that came without its plan replaces the one with it."""
    table, entry = _table()
    told = member_table.Status(entry.run, 2, 1, plan_version=5)
    stripped = member_table.Status(entry.run, 2, 1)
    known = member_table.MergeResult.KNOWN
    assert table.merge_status(told, 1.0) is member_table.MergeResult.CHANGED
    assert table.merge_status(stripped, 2.0) is known
    assert entry.member.plan_version == 5
    later = member_table.Status(entry.run, 3, 1)
    assert table.merge_status(later, 3.0) is member_table.MergeResult.CHANGED
    assert entry.member.plan_version == 0
    told = member_table.Status(entry.run, 3, 1, plan_version=6)
    assert table.merge_status(told, 4.0) is known
    assert entry.member.plan_version == 6


class _Members:
    """Daemons that all hear each other."""

    contact = membership_api.Contact(detection_s=8.0)


def _follower(
    feed: gateway_parts.ScriptedFeed,
) -> object_follower.ObjectFollower:
    return object_follower.ObjectFollower(
        "kind",
        feed,
        clock_lib.SystemClock(),
        metrics.make_unexported_metrics(),
        change_s=20.0,
    )


@pytest.mark.anyio
async def test_a_plan_watched_during_an_outage_is_called_for_again() -> None:
    """Fails if an old plan is trusted since other watches are answered."""
    clock = clock_lib.SystemClock()
    streams = stream_software.StreamSoftware(
        clock, metrics.make_unexported_metrics()
    )
    entries, plans = gateway_parts.ScriptedFeed(), gateway_parts.ScriptedFeed()
    listed = platform_api.Snapshot((), 5)
    answers: list[object] = [platform_api.Unavailable("cut")]
    entries.answers = [listed, *[lambda: answers[-1]] * 40]
    plans.answers = [listed]
    followers = _follower(entries), _follower(plans)
    contact = plan_contact.PlanContact(
        streams,
        cast(membership.Membership, _Members()),
        *followers,
        gateway_parts.ScriptedFeed(),
        clock,
    )
    async with anyio.create_task_group() as group:
        for role in (*followers, contact):
            group.start_soon(role.run)
        await anyio.sleep(0.6)
        assert streams._may_be_outdated
        assert plans.call_timeouts == [None, 12.0]
        answers.append(platform_api.FeedChanges((), (), 5))
        await anyio.sleep(1.5)
        assert not followers[0].failing
        assert plans.call_timeouts == [None, 12.0, 0.0]
        assert streams._may_be_outdated
        group.cancel_scope.cancel()


def test_a_pause_of_the_daemon_itself_is_noticed() -> None:
    clock = clock_lib.ManualClock(1_000.0)
    contact = plan_contact.PlanContact(
        stream_software.StreamSoftware(
            clock, metrics.make_unexported_metrics()
        ),
        cast(membership.Membership, _Members()),
        _follower(gateway_parts.ScriptedFeed()),
        _follower(gateway_parts.ScriptedFeed()),
        gateway_parts.ScriptedFeed(),
        clock,
    )
    found = []
    for pause_s in (0.25, 0.5, 8.0, 0.25, 0.25, 0.25, 0.3):
        clock.advance(pause_s)
        found.append(contact._was_paused())
    assert found == [False, False, True, True, True, True, False]
