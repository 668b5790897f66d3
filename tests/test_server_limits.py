"""Tests the limits that backend servers name for all daemons together."""

from collections.abc import Sequence
import random

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import limit_announcements
from figstream import limit_spread
from figstream import metrics
from figstream import notices
from figstream import placement
from figstream import scheduler
from figstream import server_limits
from figstream import server_load
from figstream import server_selection
from figstream_platform import standin_worker
from tests import gateway_front

_WINDOW_S = 4.0
# Requests in a window that are allowed at a limit of one a second: one and a
# half times the limit, and five.
_ALLOWED = 11


@pytest.mark.anyio
async def test_a_server_gets_no_more_than_the_limit_that_it_names() -> None:
    limited = standin_worker.Worker("i-1", limit_text="1")
    free = standin_worker.Worker("i-2")
    async with gateway_front.front(limited, free) as front:
        with anyio.move_on_after(_WINDOW_S):
            for number in range(1_000):
                answer = await front.send_request("status", f"r{number}")
                assert answer.status_code == 200
                await anyio.sleep(0.02)
    assert 2 <= len(limited.runs) <= _ALLOWED


def _allowed(per_s: float) -> float:
    return 1.5 * per_s * _WINDOW_S + 5


def _most_in_window(sent: Sequence[float]) -> int:
    return max(
        sum(begin <= at < begin + _WINDOW_S for at in sent) for begin in sent
    )


def _fleet(
    daemons: int, per_s: float, skew_s: Sequence[float]
) -> list[server_limits.ServerLimits]:
    fleet = [server_limits.ServerLimits() for _ in range(daemons)]
    for rank, limits in enumerate(fleet):
        limits.set_place(rank, daemons)
        limits.set_limit("s", per_s, skew_s[rank % len(skew_s)], 0.0)
    return fleet


def _play(
    fleet: Sequence[server_limits.ServerLimits], until: float, seed: int
) -> list[float]:
    """Returns when requests were sent by daemons that always have some."""
    source = random.Random(seed)
    sent = []
    now = 0.0
    while now < until:
        now += source.uniform(0.0, 0.02)
        for limits in fleet:
            if "s" not in limits.without_turn(now):
                limits.use("s", now)
                sent.append(now)
    return sent


@hypothesis.given(
    strategies.integers(1, 200),
    strategies.floats(0.2, 60.0),
    strategies.lists(strategies.floats(-0.3, 0.3), min_size=1, max_size=9),
    strategies.integers(0, 99),
)
@hypothesis.settings(max_examples=30)
def test_all_daemons_together_keep_the_limit_in_every_window(
    daemons: int, per_s: float, skew_s: Sequence[float], seed: int
) -> None:
    """Fails if each daemon takes the limit for its own, or saves up turns."""
    sent = _play(_fleet(daemons, per_s, skew_s), 12.0, seed)
    assert not sent or _most_in_window(sent) <= _allowed(per_s)


@pytest.mark.parametrize(("daemons", "per_s"), [(9, 1.0), (9, 20.0), (195, 2)])
def test_daemons_with_enough_requests_use_the_limit(
    daemons: int, per_s: float
) -> None:
    sent = _play(_fleet(daemons, per_s, [0.0]), 60.0, 1)
    assert len(sent) >= 0.9 * 60.0 * per_s


@pytest.mark.parametrize("per_s", [1.0, 4.0, 30.0])
def test_the_limit_holds_while_daemons_join_and_leave_unnoticed(
    per_s: float,
) -> None:
    """Some daemons count eight while the others still count nine."""
    fleet = _fleet(9, per_s, [0.0])
    for rank in range(0, 8, 2):
        fleet[rank].set_place(rank, 8)
    sent = _play(fleet, 40.0, 2)
    assert _most_in_window(sent) <= _allowed(per_s)


def test_unused_turns_lapse() -> None:
    limits = server_limits.ServerLimits()
    limits.set_limit("s", 2.0, 0.0, 0.0)
    sent = 0
    while "s" not in limits.without_turn(60.1):
        limits.use("s", 60.1)
        sent += 1
    assert sent == 2
    assert limits.next_turn("s", 60.1) == pytest.approx(60.5)
    limits.remove_limit("s")
    assert not limits.without_turn(60.1)


class _RecordingScheduler:
    """Records the limits that a scheduler is told of."""

    def __init__(self) -> None:
        self.limits: dict[str, float | None] = {}

    def limit_server(
        self, server: str, per_s: float | None, epoch: float
    ) -> None:
        self.limits[server] = per_s


class _Daemon:
    def __init__(self, run: int) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.scheduler = _RecordingScheduler()
        unexported = metrics.make_unexported_metrics()
        self.limits = limit_announcements.LimitAnnouncements(
            self.scheduler,  # type: ignore[arg-type]
            self.clock,
            unexported,
        )
        self.notices = notices.Notices(run, "a", self.clock, unexported)
        self.spread = limit_spread.LimitSpread(
            self.limits, self.notices, self.clock, lambda: run == 1
        )


_SERVER = backend_server.BackendServer("s", "http://h:1", "a", started_ms=5)


def test_only_a_request_sent_since_can_end_a_limit() -> None:
    daemon = _Daemon(1)
    daemon.limits.receive(_SERVER, 3.0, 99.0)
    daemon.limits.receive(_SERVER, None, 99.5)
    assert daemon.scheduler.limits == {"s": 3.0}
    daemon.clock.advance(1.0)
    daemon.limits.receive(_SERVER, None, 100.5)
    assert daemon.scheduler.limits == {"s": None}


def test_a_limit_of_nothing_still_lets_a_server_say_that_it_ended() -> None:
    daemon = _Daemon(1)
    daemon.limits.receive(_SERVER, 0.0, 99.0)
    least = limit_announcements.MIN_LIMIT_PER_S
    assert daemon.scheduler.limits == {"s": least}


def test_a_restart_ends_a_limit() -> None:
    daemon = _Daemon(1)
    daemon.limits.update_servers({"s": 5})
    daemon.limits.receive(_SERVER, 3.0, 99.0)
    daemon.limits.update_servers({})
    assert daemon.scheduler.limits == {"s": 3.0}
    daemon.limits.update_servers({"s": 6})
    assert daemon.scheduler.limits == {"s": None}
    daemon.limits.receive(_SERVER, 3.0, 99.0)
    assert daemon.scheduler.limits == {"s": None}


def test_daemons_tell_each_other_of_limits_and_their_ends() -> None:
    one, other = _Daemon(1), _Daemon(2)
    one.notices.set_forward(lambda notice: _deliver(other, notice))
    one.limits.receive(_SERVER, 3.0, 99.0)
    assert other.scheduler.limits == {"s": 3.0}
    one.clock.advance(1.0)
    other.clock.advance(2.0)
    other.limits.receive(_SERVER, 3.0, 101.5)
    one.limits.receive(_SERVER, None, 100.5)
    # The other daemon has heard of the limit since.
    assert other.scheduler.limits == {"s": 3.0}
    one.clock.advance(5.0)
    one.limits.receive(_SERVER, 3.0, 105.0)
    one.clock.advance(1.0)
    one.limits.receive(_SERVER, None, 106.5)
    assert other.scheduler.limits == {"s": None}


def test_a_daemon_that_starts_later_learns_of_a_limit_that_lasts() -> None:
    """Fails if only changes of limits are published."""
    one, late = _Daemon(1), _Daemon(2)
    ended, gone = (attrs.evolve(_SERVER, name=name) for name in "tg")
    one.limits.receive(gone, 5.0, 99.0)
    one.limits.update_servers({"s": 5, "t": 5})
    one.limits.receive(_SERVER, 3.0, 99.0)
    one.limits.receive(ended, 4.0, 99.0)
    one.clock.advance(1.0)
    one.limits.receive(ended, None, 100.5)
    for _ in range(3):
        one.clock.advance(limit_spread.REPEAT_INTERVAL_S)
        late.clock.advance(limit_spread.REPEAT_INTERVAL_S)
        one.spread.repeat()
    for notice in one.notices.kept:
        _deliver(late, notice)
    assert late.scheduler.limits == {"s": 3.0}
    kept = late.notices.kept
    late.spread.repeat()
    assert late.notices.kept == kept


def test_a_repeat_does_not_keep_an_answer_from_ending_a_limit() -> None:
    one, other = _Daemon(1), _Daemon(2)
    one.notices.set_forward(lambda notice: _deliver(other, notice))
    one.limits.receive(_SERVER, 3.0, 99.0)
    for daemon in (one, other):
        daemon.clock.advance(10.0)
    one.limits.update_servers({"s": 5})
    one.limits.receive(_SERVER, 3.0, 109.0)
    one.spread.repeat()
    other.limits.receive(_SERVER, None, 105.0)
    assert other.scheduler.limits == {"s": None}


def _deliver(daemon: _Daemon, notice: notices.Notice) -> None:
    daemon.notices.receive(notice)


@pytest.mark.anyio
@pytest.mark.parametrize("text", ["many", "-2", "nan", "inf"])
async def test_an_invalid_limit_is_no_limit(text: str) -> None:
    worker = standin_worker.Worker("i-1", limit_text=text)
    async with gateway_front.front(worker) as front:
        for number in range(20):
            answer = await front.send_request("status", f"r{number}")
            assert answer.status_code == 200


@pytest.mark.anyio
async def test_requests_beyond_the_limit_are_told_when_to_return() -> None:
    worker = standin_worker.Worker("i-1", limit_text="0.5")
    async with gateway_front.front(worker) as front:
        await front.send_request("order", "r0")
        answers = [
            await front.send_request("order", f"r{number + 1}")
            for number in range(20)
        ]
        refused = [item for item in answers if item.status_code == 503]
        assert len(refused) >= 19
        for answer in refused:
            assert answer.json()["error"]["code"] == "backend_servers_limited"
            assert answer.json()["error"]["run_state"] == "not_run"
            # A turn comes each 2 s; returns are spread over a tier's slot.
            assert 0.0 < float(answer.headers["retry-after"]) < 2.0 + 1.25
        worker.limit_text = ""
        with anyio.fail_after(4.0):
            while (
                await front.send_request("order", "later")
            ).status_code == 503:
                await anyio.sleep(0.02)
        for number in range(20):
            answer = await front.send_request("order", f"free{number}")
            assert answer.status_code == 200


@pytest.mark.parametrize("per_s", [-1.0, 0.0, 1e-320, 1e308])
def test_odd_limits_from_older_builds_stop_no_requests(per_s: float) -> None:
    """Fails if turns at a server can't be computed, or none ever comes."""
    clock = clock_lib.ManualClock(1.7e9)
    books: list[server_load.LoadBook] = []

    def select(
        book: server_load.LoadBook, _: object
    ) -> server_selection.ServerSelection:
        books.append(book)
        return placement.make_placement(book, "a")

    made = scheduler.make_scheduler_with("a", select)
    made.set_live_daemons(1, 1)
    limits = limit_announcements.LimitAnnouncements(
        made, clock, metrics.make_unexported_metrics()
    )
    limits.receive_from_peer(
        limit_announcements.ServerLimit("i-1", 1, per_s, clock.wall())
    )
    turn = books[0].limits.next_turn("i-1", clock.now())
    assert turn <= clock.now() + 1.0 / limit_announcements.MIN_LIMIT_PER_S
