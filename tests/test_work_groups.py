"""Tests of the servers for paced streams and of the placement among them."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import random
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import backend_server
from figstream import paced_placement
from figstream import placement
from figstream import request_class
from figstream import request_target
from figstream import scheduler
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection
from figstream import work_groups
from tests import paced_fleet


def _pool(zones: str = "abcd", each: int = 15) -> server_pool.ServerPool:
    return paced_fleet.pool(paced_fleet.servers(zones, each))


def _groups(
    servers: Iterable[backend_server.BackendServer],
) -> work_groups.WorkGroups:
    groups = work_groups.WorkGroups()
    groups.set_configuration(paced_fleet.configuration(servers))
    return groups


def _request(
    kind: request_class.RequestClass, now: float, **more: Any
) -> scheduler_api.PendingRequest:
    return scheduler_api.PendingRequest(
        "r", "c", kind, now, now + 15.0, service=paced_fleet.SERVICE, **more
    )


class _Daemon:
    """The placement of one daemon with its own knowledge of loads."""

    def __init__(self, number: int, paced: bool = True) -> None:
        self.book = server_load.LoadBook()
        self.groups = work_groups.WorkGroups()
        self.zone = "abcd"[number % 4]
        self._paced = paced
        self._index = server_pool.PoolIndex(self.zone)
        self._random = random.Random(number)
        self.placement = placement.PrefixPlacement(
            self.book, self.zone, self._random, self.groups
        )

    def set_servers(
        self, servers: Sequence[backend_server.BackendServer]
    ) -> None:
        configuration = paced_fleet.configuration(servers, self._paced)
        self._index.set_configuration(configuration)
        self.placement.set_configuration(configuration)

    def place(
        self, kind: request_class.RequestClass, now: float
    ) -> server_selection.Choice:
        """Places a request of a kind with a drawn prompt."""
        thing = self._random.randrange(1, 400)
        if kind is paced_fleet.CHAT:
            request = _request(
                kind,
                now,
                prompt_tokens=543,
                max_output_tokens=280,
                prefix=thing,
                shared_tokens=170,
                first_block=thing % 40 + 1,
                first_block_tokens=103,
            )
        else:
            request = _request(
                kind,
                now,
                prompt_tokens=9190,
                max_output_tokens=52,
                prefix=1000 + thing,
                shared_tokens=6300,
                first_block=1000 + thing % 4,
                first_block_tokens=2520,
            )
        target = request_target.Target(service=paced_fleet.SERVICE)
        pool = self._index.pool(target, kind)
        found = self.placement.choose(request, pool, True, now)
        assert found
        return found


@attrs.define(order=True)
class _End:
    at: float
    server: str
    kind: str
    daemon: int


class _Play:
    """Plays a fleet of daemons and counts what runs beside what."""

    def __init__(self, daemons: int, paced: bool, seed: int) -> None:
        self.daemons = [_Daemon(number, paced) for number in range(daemons)]
        self.now = 0.0
        self.running: dict[tuple[str, str], int] = {}
        # Servers where a kind of work began beside the other, and the kind.
        self.mixed: list[tuple[str, str]] = []
        self.begun = 0
        self.peaks: list[float] = []
        self.most = 0
        self._random = random.Random(seed)
        self._ends: list[_End] = []

    def set_servers(
        self, servers: Sequence[backend_server.BackendServer]
    ) -> None:
        names = {item.name for item in servers}
        self._ends = [end for end in self._ends if end.server in names]
        heapq.heapify(self._ends)
        self.running = {
            key: count for key, count in self.running.items() if key[0] in names
        }
        for daemon in self.daemons:
            daemon.set_servers(servers)

    def run(self, until: float, per_daemon_s: float = 3.0) -> None:
        """Plays requests, a quarter of them streams, until a time."""
        rate = per_daemon_s * len(self.daemons)
        while self.now < until:
            self.now += self._random.expovariate(rate)
            self._finish()
            number = self._random.randrange(len(self.daemons))
            kind = (
                paced_fleet.CHAT
                if self._random.random() < 0.25
                else paced_fleet.PLAN
            )
            self._start(number, kind)

    def busiest(self) -> float:
        """Returns the streams of the busiest server over the mean."""
        paced = self.daemons[0].groups.servers_for(_pool(), True)
        counts = [self.running.get((name, "chat"), 0) for name in paced]
        return max(counts) * len(counts) / max(1, sum(counts))

    def _start(self, number: int, kind: request_class.RequestClass) -> None:
        daemon = self.daemons[number]
        name = daemon.place(kind, self.now).server.name
        if kind is paced_fleet.CHAT:
            self.begun += 1
            if self.running.get((name, "plan"), 0):
                self.mixed.append((name, kind.name))
        elif self.running.get((name, "chat"), 0):
            self.mixed.append((name, kind.name))
        key = name, kind.name
        self.running[key] = self.running.get(key, 0) + 1
        if kind is paced_fleet.CHAT:
            self.most = max(self.most, self.running[key])
        daemon.book.dispatched(name, self.now)
        total = sum(self.running.get((name, x), 0) for x in ("chat", "plan"))
        daemon.book.report(scheduler_api.ServerLoad(name, total, 0, self.now))
        seconds = self._random.expovariate(
            1 / (1.7 if kind is paced_fleet.CHAT else 1.0)
        )
        end = _End(self.now + seconds, name, kind.name, number)
        heapq.heappush(self._ends, end)

    def _finish(self) -> None:
        while self._ends and self._ends[0].at <= self.now:
            end = heapq.heappop(self._ends)
            self.running[end.server, end.kind] -= 1
            report = scheduler_api.AttemptReport(
                scheduler_api.AttemptResult.ANSWERED
            )
            self.daemons[end.daemon].book.finished(
                end.server, report.result, self.now
            )


def test_streams_never_begin_beside_long_prompts() -> None:
    """Plays 80 daemons with three requests a second each over 60 servers.

    Fails on the split before, as the second half shows: each daemon computed
    it from its own requests, beginning with its twentieth.
    """
    play = _Play(80, True, 1)
    play.set_servers(paced_fleet.servers())
    play.run(6.0)
    assert play.begun > 300
    assert play.mixed == []

    before = _Play(80, False, 1)
    before.set_servers(paced_fleet.servers())
    before.run(6.0)
    assert len(before.mixed) > 0.3 * before.begun


def test_streams_stay_apart_while_servers_come_and_go() -> None:
    """Loses 14 servers of a zone, changes the need, and brings them back.

    Answers on a server that changes groups may outlast the time in which it
    gets no work; nothing else is mixed. Without that time twice as many are.
    """
    play = _Play(80, True, 2)
    everything = paced_fleet.servers()
    lost = [x for x in everything if not (x.zone == "b" and x.reclaimable)]
    play.set_servers(everything)
    play.run(2.0)
    moved: set[str] = set()
    for servers, needs, until in (
        (lost, 12, 4.0),
        (lost, 16, 6.0),
        (everything, 16, 8.0),
    ):
        pool = paced_fleet.pool(everything)
        before = play.daemons[0].groups.servers_for(pool, True)
        play.set_servers(servers)
        for daemon in play.daemons:
            daemon.groups.set_needs({paced_fleet.SERVICE: needs})
        after = play.daemons[0].groups.servers_for(pool, True)
        present = {item.name for item in servers}
        changed = (before ^ after) & present
        # Four servers of the zone make way, or four others.
        assert len(changed) <= 8
        moved |= changed
        play.run(until)
    assert {name for name, _ in play.mixed} <= moved
    assert len(play.mixed) < 0.08 * play.begun


def test_streams_spread_over_their_group() -> None:
    """Fails if daemons that know little meet at one server."""
    play = _Play(80, True, 3)
    play.set_servers(paced_fleet.servers())
    ratios = []
    for step in range(1, 25):
        play.run(2.0 + step * 0.25)
        ratios.append(play.busiest())
    assert sum(ratios) / len(ratios) < 1.9
    assert play.most < paced_fleet.SLOTS / 2


def test_long_prompts_spread_over_their_group_from_the_start() -> None:
    """Plays a fleet's first two seconds: few requests at each daemon.

    Four first blocks begin all prompts. Fails if daemons assign each block to
    a third of the servers until they have seen that it is hot.
    """
    daemons = [_Daemon(number) for number in range(80)]
    prompts: collections.Counter[str] = collections.Counter()
    for daemon in daemons:
        daemon.set_servers(paced_fleet.servers())
        prompts.update(
            daemon.place(paced_fleet.PLAN, 0.0).server.name for _ in range(6)
        )
    rest = daemons[0].groups.servers_for(
        paced_fleet.pool(paced_fleet.servers()), False
    )
    assert set(prompts) <= rest
    mean = prompts.total() / len(rest)
    assert max(prompts.values()) < 2.5 * mean
    idle = [name for name in rest if prompts[name] < 0.2 * mean]
    assert len(idle) <= 0.05 * len(rest)


def test_long_prompts_keep_their_server_beside_unknown_loads() -> None:
    """Fails if a known load counts against servers of unknown load.

    All servers run 20 requests of other daemons, and this one knows it of the
    server that holds the prefix alone.
    """
    daemon = _Daemon(0)
    daemon.set_servers(paced_fleet.servers())
    prompt = {
        "prompt_tokens": 9190,
        "max_output_tokens": 52,
        "prefix": 7,
        "shared_tokens": 6300,
        "first_block": 8,
        "first_block_tokens": 2520,
    }
    pool = _pool()

    def choose() -> str:
        request = _request(paced_fleet.PLAN, 0.0, **prompt)
        found = daemon.placement.choose(request, pool, False, 0.0)
        assert found
        return found.server.name

    home = choose()
    daemon.book.report(scheduler_api.ServerLoad(home, 40, 0, 0.0))
    assert {choose() for _ in range(20)} == {home}
    for name in sorted(pool.names - {home}):
        daemon.book.report(scheduler_api.ServerLoad(name, 2, 0, 0.0))
    assert home not in {choose() for _ in range(20)}


def _fail(daemon: _Daemon, names: Iterable[str]) -> None:
    failed = scheduler_api.AttemptResult.FAILED
    for name in names:
        daemon.book.dispatched(name, 1.0)
        daemon.book.finished(name, failed, 1.0)


def test_streams_leave_a_group_that_failed_to_the_next_in_rank() -> None:
    daemon = _Daemon(0)
    daemon.set_servers(paced_fleet.servers("a"))
    ranked = work_groups.rank(list(paced_fleet.servers("a")))
    pool = _pool("a")
    paced = daemon.groups.servers_for(pool, True)
    events: list[str] = []
    daemon.groups.set_on_outside(events.append)
    _fail(daemon, paced)
    choices = [daemon.place(paced_fleet.CHAT, 1.1) for _ in range(50)]
    used = {choice.server.name for choice in choices}
    assert used == set(ranked[len(paced) : len(paced) + 2])
    assert {x.reason for x in choices} == {paced_placement.OUTSIDE}
    assert events == ["paced_stream_outside_group"] * 50


def test_streams_leave_a_full_group_and_return() -> None:
    daemon = _Daemon(0)
    daemon.set_servers(paced_fleet.servers("a"))
    paced = daemon.groups.servers_for(_pool("a"), True)
    for name in sorted(paced):
        daemon.book.report(
            scheduler_api.ServerLoad(name, paced_fleet.SLOTS, 9, 1.0)
        )
    assert daemon.place(paced_fleet.CHAT, 1.1).server.name not in paced
    for name in sorted(paced):
        daemon.book.report(scheduler_api.ServerLoad(name, 3, 0, 1.2))
    daemon.book.report(scheduler_api.ServerLoad(min(paced), 3, 0, 1.2))
    used = {daemon.place(paced_fleet.CHAT, 20.0).server.name for _ in range(40)}
    assert used == paced


def test_other_work_enters_the_paced_group_only_without_its_own() -> None:
    daemon = _Daemon(0)
    daemon.set_servers(paced_fleet.servers("ab", 3))
    pool = _pool("ab", 3)
    rest = daemon.groups.servers_for(pool, False)
    events: list[str] = []
    daemon.groups.set_on_outside(events.append)
    *most, last = sorted(rest)
    _fail(daemon, most)
    for name in most:
        daemon.book.pause(name, 9.0, 1.0)
    assert {
        daemon.place(paced_fleet.PLAN, 1.1).server.name for _ in range(20)
    } == {last}
    assert events == []
    daemon.book.pause(last, 9.0, 1.0)
    assert daemon.place(paced_fleet.PLAN, 1.1).server.name not in rest
    assert events == ["work_in_paced_group"]


def test_the_scheduler_keeps_streams_in_their_group_and_learns() -> None:
    """Fails if the scheduler doesn't tell its selection what it needs."""
    groups = work_groups.WorkGroups()
    made = scheduler.make_scheduler_with(
        "a",
        lambda book, _: placement.make_placement(book, "a", groups),
    )
    made.set_configuration(paced_fleet.configuration(paced_fleet.servers()))
    paced = groups.servers_for(_pool(), True)
    for number in range(6):
        kind = paced_fleet.CHAT if number % 2 else paced_fleet.PLAN
        request = _request(kind, 1.0)
        assert made.offer(request, 1.0) is None
        [decision] = made.poll(1.0)
        assert isinstance(decision, scheduler_api.Dispatched)
        assert (decision.server.name in paced) == (kind is paced_fleet.CHAT)
        report = scheduler_api.AttemptReport(
            scheduler_api.AttemptResult.ANSWERED, total_s=float(number)
        )
        made.finish(request, decision.server, report, 2.0)
    # Three answers with a mean of 3 s beside five expected ones of 1 s.
    found = groups.stream_s(paced_fleet.SERVICE, 1.0)
    assert found == pytest.approx(1.75)


def test_services_without_a_paced_route_are_not_divided() -> None:
    groups = work_groups.WorkGroups()
    groups.set_configuration(
        paced_fleet.configuration(paced_fleet.servers(), paced=False)
    )
    pool = _pool()
    assert groups.division(paced_fleet.SERVICE, pool) is None
    assert groups.servers_for(pool, True) == pool.names


def test_the_smallest_pools() -> None:
    for count in range(1, 9):
        servers = paced_fleet.servers("a", count)
        groups, pool = _groups(servers), paced_fleet.pool(servers)
        paced = groups.servers_for(pool, True)
        rest = groups.servers_for(pool, False)
        if count == 1:
            assert paced == rest == pool.names
        else:
            assert len(paced) == max(1, min(count // 2, -(-count // 5)))
            assert paced | rest == pool.names
            assert not paced & rest


def test_a_version_whose_servers_are_all_in_one_group_serves_both() -> None:
    servers = list(paced_fleet.servers("a"))
    paced = _groups(servers).servers_for(paced_fleet.pool(servers), True)
    marked = [
        attrs.evolve(item, software="v1" if item.name in paced else "v2")
        for item in servers
    ]
    groups = _groups(marked)
    old, new = paced_fleet.pool(marked, "v1"), paced_fleet.pool(marked, "v2")
    assert groups.servers_for(old, True) == paced
    assert groups.servers_for(old, False) == paced
    assert groups.servers_for(new, True) == new.names


def test_permanent_servers_run_the_streams_of_their_zone_first() -> None:
    servers = [
        paced_fleet.server(zone, number, number >= 4)
        for zone in "abcd"
        for number in range(15)
    ]
    paced = _groups(servers).servers_for(paced_fleet.pool(servers), True)
    assert len(paced) == 12
    by_name = {item.name: item for item in servers}
    assert not any(by_name[name].reclaimable for name in paced)
    for zone in "abcd":
        assert sum(by_name[name].zone == zone for name in paced) == 3


@hypothesis.given(
    strategies.lists(strategies.integers(1, 24), min_size=1, max_size=5),
    strategies.integers(0, 10_000),
    strategies.integers(1, 40),
)
def test_one_server_more_or_less_moves_few(
    sizes: list[int], drawn: int, need: int
) -> None:
    """Fails if a change of one server divides a pool anew."""
    servers = [
        paced_fleet.server("abcde"[zone], number, number % 3 > 0)
        for zone, size in enumerate(sizes)
        for number in range(size)
    ]
    hypothesis.assume(len(servers) > 2)
    gone = servers[drawn % len(servers)]
    left = [item for item in servers if item is not gone]
    before, after = _groups(servers), _groups(left)
    for groups in (before, after):
        groups.set_needs({paced_fleet.SERVICE: need})
    moved = before.servers_for(
        paced_fleet.pool(servers), True
    ) ^ after.servers_for(paced_fleet.pool(left), True)
    assert len(moved - {gone.name}) <= 3


@hypothesis.given(strategies.integers(1, 40), strategies.integers(1, 40))
def test_a_change_of_the_need_moves_only_the_difference(
    first: int, second: int
) -> None:
    groups, pool = (
        _groups(paced_fleet.servers()),
        _pool(),
    )
    groups.set_needs({paced_fleet.SERVICE: first})
    before = groups.servers_for(pool, True)
    groups.set_needs({paced_fleet.SERVICE: second})
    after = groups.servers_for(pool, True)
    assert before <= after or after <= before
    assert 10 <= len(after) <= 30
    if 10 <= second <= 30:
        assert len(after) == second
