"""Tests of what backend servers announce in their answers.

A server that leaves receives nothing more from a daemon that has passed its
announcement on. A server that asks for a pause receives nothing until its end.
"""

import itertools
import random

import anyio
import attrs
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import errors
from figstream import metrics
from figstream import paused_pool
from figstream import reasons
from figstream import request_class
from figstream import scheduler_api
from figstream import server_announcements
from figstream import server_load
from figstream import server_pool
from figstream_platform import standin_worker
from tests import gateway_front

_Fault = standin_worker.Fault


def _update_servers(front: gateway_front.Front) -> None:
    front.serving.announcements.update_servers(
        gateway_front.server_of(worker, "render") for worker in front.workers
    )


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["status", "rewrite"])
async def test_nothing_follows_an_answer_that_announces_leaving(
    route: str,
) -> None:
    """Fails if only the store's entry tells that a server is leaving."""
    leaving = standin_worker.Worker("i-1", leaving=True)
    staying = standin_worker.Worker("i-2")
    async with gateway_front.front(leaving, staying) as front:
        for number in range(12):
            answer = await front.send_request(route, f"r{number}")
            assert answer.status_code == 200
    assert len(leaving.runs) <= 1
    assert len(staying.runs) >= 11


@pytest.mark.anyio
async def test_a_refusal_announces_leaving_too() -> None:
    leaving = standin_worker.Worker(
        "i-1", leaving=True, faults=[_Fault.SHED] * 9
    )
    staying = standin_worker.Worker("i-2")
    async with gateway_front.front(leaving, staying) as front:
        for number in range(12):
            answer = await front.send_request("order", f"r{number}")
            assert answer.status_code == 200
    assert leaving.refused <= 1


@pytest.mark.anyio
async def test_an_answer_from_another_server_at_the_address_says_nothing() -> (
    None
):
    worker = standin_worker.Worker(
        "i-1", leaving=True, faults=[_Fault.MISDIRECTED] * 2
    )
    async with gateway_front.front(worker) as front:
        await front.send_request("order", "r1")
        worker.leaving = False
        answer = await front.send_request("order", "r2")
        assert answer.status_code == 200


@pytest.mark.anyio
async def test_a_restarted_server_is_used_again() -> None:
    worker = standin_worker.Worker("i-1", leaving=True)
    async with gateway_front.front(worker) as front:
        _update_servers(front)
        assert (await front.send_request("status", "r1")).status_code == 200
        refused = await front.send_request("status", "r2")
        assert refused.status_code == 503
        worker.leaving, worker.started_ms = False, 2
        gateway_front.set_workers(front.context, [worker], version=8)
        _update_servers(front)
        assert (await front.send_request("status", "r3")).status_code == 200


@pytest.mark.anyio
async def test_a_server_receives_nothing_during_the_pause_it_asked_for() -> (
    None
):
    """Fails if a paused server is tried for want of another one."""
    busy = standin_worker.Worker(
        "i-1", pause_text="0.8", faults=[_Fault.SHED] * 99
    )
    async with gateway_front.front(busy) as front:
        first = await front.send_request("order", "r0")
        assert first.status_code == 503
        reached = busy.refused + len(busy.runs)
        busy.faults.clear()
        for number in range(20):
            refused = await front.send_request("order", f"r{number + 1}")
            assert refused.status_code == 503
            wait_s = float(refused.headers["retry-after"])
            assert 0.0 < wait_s < 0.8 + 1.25
            assert refused.json()["error"]["run_state"] == "not_run"
        assert busy.refused + len(busy.runs) == reached
        await anyio.sleep(0.9)
        assert (await front.send_request("order", "late")).status_code == 200


@pytest.mark.anyio
async def test_another_server_serves_during_a_pause() -> None:
    busy = standin_worker.Worker(
        "i-1", pause_text="30", faults=[_Fault.SHED] * 99
    )
    idle = standin_worker.Worker("i-2")
    async with gateway_front.front(busy, idle) as front:
        for number in range(20):
            answer = await front.send_request("order", f"r{number}")
            assert answer.status_code == 200
    assert busy.refused <= 1


@pytest.mark.anyio
@pytest.mark.parametrize("text", ["soon", "-4", "nan", "inf", "0", ""])
async def test_an_invalid_pause_is_no_pause(text: str) -> None:
    worker = standin_worker.Worker("i-1", pause_text=text, faults=[_Fault.SHED])
    async with gateway_front.front(worker) as front:
        await front.send_request("order", "r1")
        answer = await front.send_request("order", "r2")
        assert answer.status_code == 200


class _RecordingScheduler:
    """Records what a scheduler is told of servers."""

    def __init__(self) -> None:
        self.leaving: frozenset[str] = frozenset()
        self.pauses: dict[str, float] = {}

    def set_leaving(self, servers: frozenset[str]) -> None:
        self.leaving = servers

    def pause_server(self, server: str, until: float) -> None:
        self.pauses[server] = until

    def set_refusal_limit(
        self,
        service: str,
        refusals_per_s: float | None,
        sent_at: float,
        epoch: float,
    ) -> bool:
        return False


def test_late_answers_of_an_earlier_run_and_long_pauses_are_bounded() -> None:
    recorded = _RecordingScheduler()
    clock = clock_lib.ManualClock(100.0)
    announcements = server_announcements.make_server_announcements(
        recorded,  # type: ignore[arg-type]
        configuration_holder.ConfigurationHolder(clock),
        clock,
        metrics.make_unexported_metrics(),
    )
    old = backend_server.BackendServer("i-1", "http://h:1", "a", started_ms=1)
    new = attrs.evolve(old, started_ms=2)
    announcements.update_servers([new])
    leaving = server_announcements.Announcement(leaving=True)
    announcements.receive(old, leaving, 100.0)
    assert not recorded.leaving
    hour = server_announcements.Announcement(pause_s=3_600.0)
    announcements.receive(new, hour, 100.0)
    assert recorded.pauses == {"i-1": 100.0 + server_announcements.MAX_PAUSE_S}
    announcements.update_servers([attrs.evolve(new, started_ms=3)])
    assert recorded.pauses == {"i-1": 100.0}


def _refusals_of_tier(
    tier: int, count: int, pause_s: float = 2.0
) -> list[errors.Refusal]:
    book = server_load.LoadBook()
    for name in ("i-1", "i-2"):
        book.pause(name, 10.0 + pause_s, 10.0)
    pool = server_pool.ServerPool((), frozenset({"i-1", "i-2"}))
    paused = paused_pool.PausedPools(book, random.Random(tier))
    requests = (
        scheduler_api.PendingRequest(
            f"r{number}",
            "studio",
            request_class.RequestClass(
                "c",
                tier,
                0.0,
                request_class.ServiceLevel(0.4, 0.0, 5.0),
                request_class.Timeouts(1.0, 5.0, 5.0),
            ),
            10.0,
            15.0,
        )
        for number in range(count)
    )
    refused = (paused.refusal(item, pool, 10.0) for item in requests)
    return [item for item in refused if item]


def test_returns_are_spread_and_urgent_tiers_return_first() -> None:
    """Plays a burst on a service whose servers all ask for a pause."""
    waits_s: list[list[float]] = []
    for tier in range(3):
        refused = _refusals_of_tier(tier, 200)
        assert len(refused) == 200
        assert {x.reason for x in refused} == {
            reasons.RefusalReason.BACKEND_SERVERS_PAUSED
        }
        waits_s.append(sorted(x.retry_after_s or 0.0 for x in refused))
    assert waits_s[0][0] >= 2.0
    for earlier, later in itertools.pairwise(waits_s):
        assert earlier[-1] <= later[0]
    for waits in waits_s:
        # No tenth of the slot of a tier takes a quarter of its returns.
        tenths = [int((wait - waits[0]) / 0.0251) for wait in waits]
        assert max(tenths.count(tenth) for tenth in range(10)) < 50


def test_a_request_that_can_wait_for_the_end_of_a_pause_is_not_refused() -> (
    None
):
    assert not _refusals_of_tier(0, 5, pause_s=0.04)
