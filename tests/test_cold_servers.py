"""Tests of servers that warm up and bear few requests meanwhile."""

from collections.abc import Sequence
import random
import time

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import cold_servers
from figstream import configuration_holder
from figstream import metrics
from figstream import server_limits
from figstream_platform import standin_worker
from tests import gateway_front

_EXCESS = 1.5
_SLACK = 5
_WINDOW_S = 1.0
# Time from the start of a daemon until it knows the others.
_STARTUP_S = 1.0
_COLD_PER_S = 18.0


def _services(cold_per_s: float) -> list[dict[str, object]]:
    """Returns services of which one has cold servers."""
    return [
        {"name": "llm", "coldStartS": 3.0, "coldPerS": cold_per_s},
        {"name": "render"},
    ]


def _allowed(per_s: float) -> float:
    return per_s * _EXCESS + _SLACK


def _most_in_window(sent: Sequence[float]) -> int:
    return max(
        (sum(begin <= at < begin + _WINDOW_S for at in sent) for begin in sent),
        default=0,
    )


class _Daemon:
    """The turns of one daemon, which may restart."""

    def __init__(
        self, rank: int, daemons: int, per_s: float, skew_s: float
    ) -> None:
        self._place = rank, daemons
        self._per_s = per_s
        self._skew_s = skew_s
        self._placed_at = 0.0
        self._turns = self._start(0.0)

    def restart(self, now: float) -> None:
        self._turns = self._start(now)
        self._placed_at = now + _STARTUP_S

    def sends(self, now: float) -> bool:
        """Sends a request if the daemon may, which always has one."""
        if now >= self._placed_at:
            self._turns.set_place(*self._place)
        if "s" in self._turns.without_turn(now):
            return False
        self._turns.use("s", now)
        return True

    def _start(self, now: float) -> server_limits.ServerLimits:
        turns = server_limits.ServerLimits(
            cold_servers.TURN_LIFETIME_S, placed=False
        )
        per_s = cold_servers.shared_rate(self._per_s, _EXCESS)
        turns.set_limit("s", per_s, self._skew_s, now, now + 60.0)
        return turns


def _play(
    fleet: Sequence[_Daemon],
    restarts: Sequence[tuple[float, int]],
    seconds: float,
    seed: int,
    quiet_s: float = 0.0,
) -> list[float]:
    """Returns when requests were sent, which come after a quiet time."""
    source = random.Random(seed)
    due = sorted(restarts)
    sent = []
    now = 0.0
    while now < seconds:
        now += source.uniform(0.0, 0.02)
        while due and due[0][0] <= now:
            fleet[due.pop(0)[1] % len(fleet)].restart(now)
        if now >= quiet_s:
            sent += [now for daemon in fleet if daemon.sends(now)]
    return sent


@hypothesis.given(
    strategies.integers(1, 200),
    strategies.floats(0.2, 60.0),
    strategies.lists(strategies.floats(-0.3, 0.3), min_size=1, max_size=9),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 6.0), strategies.integers(0, 199)
        ),
        max_size=20,
    ),
    strategies.integers(0, 99),
    strategies.floats(0.0, 3.0),
)
@hypothesis.settings(max_examples=30, deadline=None)
def test_all_daemons_together_keep_the_bound_in_every_second(
    daemons: int,
    per_s: float,
    skew_s: Sequence[float],
    restarts: Sequence[tuple[float, int]],
    seed: int,
    quiet_s: float,
) -> None:
    """Fails with the turns of limits, which lapse after a second."""
    fleet = [
        _Daemon(rank, daemons, per_s, skew_s[rank % len(skew_s)])
        for rank in range(daemons)
    ]
    sent = _play(fleet, restarts, 8.0, seed, quiet_s)
    assert _most_in_window(sent) <= _allowed(per_s)


@pytest.mark.parametrize(("daemons", "per_s"), [(9, 18.0), (78, 18.0)])
def test_daemons_with_enough_requests_use_the_rate(
    daemons: int, per_s: float
) -> None:
    """Fails if a fleet that is restarted never uses its turns again."""
    fleet = [_Daemon(rank, daemons, per_s, 0.0) for rank in range(daemons)]
    restarts = [(5.0, number) for number in range(daemons)]
    sent = _play(fleet, restarts, 20.0, 1)
    least = 0.9 * cold_servers.shared_rate(per_s, _EXCESS)
    assert sum(at < 5.0 for at in sent) >= least * 5.0 - daemons / per_s
    assert sum(at >= 8.0 for at in sent) >= least * 12.0


def test_a_daemon_that_does_not_know_its_place_sends_nothing() -> None:
    turns = server_limits.ServerLimits(0.25, placed=False)
    turns.set_limit("s", 18.0, 0.0, 100.0, 103.0)
    assert turns.without_turn(101.0) == {"s"}
    assert 101.0 < turns.next_turn("s", 101.0) <= 103.0
    assert not turns.without_turn(103.0)
    assert turns.limited(102.0) == {"s"}
    turns.end_limits(103.0)
    assert not turns.any


@attrs.define
class _RecordingScheduler:
    """Records until when servers are cold, and at which rate."""

    cold: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def set_cold(
        self, server: str, per_s: float, epoch: float, now: float, until: float
    ) -> None:
        self.cold[server] = (per_s, until)


class _Fixture:
    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        holder = configuration_holder.ConfigurationHolder(self.clock)
        holder.replace(
            gateway_front.decode_manifest(services=_services(_COLD_PER_S))
        )
        self.scheduler = _RecordingScheduler()
        self.cold = cold_servers.ColdServers(
            self.scheduler,  # type: ignore[arg-type]
            holder,
            _EXCESS,
            self.clock,
            metrics.make_unexported_metrics(),
        )

    @property
    def until(self) -> dict[str, float]:
        return {name: at for name, (_, at) in self.scheduler.cold.items()}


def _server(
    name: str, cold_left_s: float = 0.0, *, service: str = "llm", run: int = 1
) -> backend_server.BackendServer:
    return backend_server.BackendServer(
        name,
        "http://10.0.0.1:1",
        name[0],
        service=service,
        started_ms=run,
        cold_left_s=cold_left_s,
    )


def test_only_servers_that_say_so_are_cold() -> None:
    fixture = _Fixture()
    fixture.cold.update_servers([_server("a1", 3.0), _server("a2")])
    per_s = cold_servers.shared_rate(_COLD_PER_S, _EXCESS)
    assert fixture.scheduler.cold == {"a1": (per_s, 103.0)}


def test_servers_without_a_rate_are_never_limited() -> None:
    fixture = _Fixture()
    server = _server("a1", 3.0, service="render")
    fixture.cold.update_servers([server], frozenset("a"))
    fixture.cold.heard(server, 3.0)
    fixture.cold.update_servers([server])
    assert not fixture.scheduler.cold


def test_an_entry_counts_from_when_it_is_heard_first() -> None:
    """Fails if each change of another entry makes a server cold for longer."""
    fixture = _Fixture()
    fixture.cold.update_servers([_server("a1", 3.0)])
    fixture.clock.advance(2.0)
    fixture.cold.update_servers([_server("a1", 3.0), _server("a2")])
    assert fixture.until == {"a1": 103.0}
    fixture.clock.advance(8.0)
    fixture.cold.update_servers([_server("a1", 3.0, run=2)])
    assert fixture.until == {"a1": 113.0}
    fixture.cold.update_servers([_server("a1", run=2)])
    fixture.clock.advance(9.0)
    fixture.cold.update_servers([_server("a1", 2.0, run=2)])
    assert fixture.until == {"a1": 121.0}


def test_an_answer_makes_a_server_cold_but_never_warm() -> None:
    fixture = _Fixture()
    server = _server("a1", 3.0)
    fixture.cold.update_servers([server])
    fixture.cold.heard(server, 1.0)
    assert fixture.until == {"a1": 103.0}
    fixture.cold.heard(server, 5.0)
    assert fixture.until == {"a1": 105.0}


def test_the_servers_of_a_zone_that_is_taken_back_are_cold() -> None:
    """Fails if a whole zone is used at once before its entries show it."""
    fixture = _Fixture()
    servers = [_server("a1"), _server("b1")]
    fixture.cold.update_servers(servers, frozenset("a"))
    assert not fixture.until
    fixture.clock.advance(9.0)
    fixture.cold.update_servers(servers)
    assert fixture.until == {"a1": 112.0}


@pytest.mark.anyio
async def test_a_cold_server_gets_what_it_bears_and_others_the_rest() -> None:
    """Fails on the code before, which sends to it like to any other."""
    cold, warm = standin_worker.Worker("i-1"), standin_worker.Worker("i-2")
    async with gateway_front.front(cold, warm) as front:
        gateway_front.set_workers(
            front.context, front.workers, version=8, services=_services(4.0)
        )
        front.context.scheduler.set_live_daemons(1, 1)
        cold.cold_until = time.monotonic() + 60.0
        statuses = await _send_many(front, 150)
    assert set(statuses) == {200}
    sent = [run.at for run in cold.runs]
    assert sent
    assert _most_in_window(sent) <= _allowed(4.0)
    assert len(sent) + len(warm.runs) == 150


@pytest.mark.anyio
async def test_requests_beyond_what_cold_servers_bear_are_truly_refused() -> (
    None
):
    cold = standin_worker.Worker("i-1")
    async with gateway_front.front(cold) as front:
        gateway_front.set_workers(
            front.context, [cold], version=8, services=_services(2.0)
        )
        front.context.scheduler.set_live_daemons(1, 1)
        cold.cold_until = time.monotonic() + 60.0
        statuses = await _send_many(front, 100)
    assert set(statuses) == {200, 503}
    assert _most_in_window([run.at for run in cold.runs]) <= _allowed(2.0)
    assert len(cold.runs) == statuses.count(200)


async def _send_many(front: gateway_front.Front, count: int) -> list[int]:
    """Sends requests at the same time, some 60 a second."""
    statuses = []

    async def send(number: int) -> None:
        answer = await front.send_request("rewrite", f"r{number}")
        statuses.append(answer.status_code)

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send, number)
            await anyio.sleep(1 / 60)
    return statuses
