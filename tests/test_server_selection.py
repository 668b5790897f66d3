"""Tests of the selection of a backend server, through the scheduler."""

import collections
from collections.abc import Iterable

import attrs

from figstream import scheduler_api
from tests import scheduling

_BATCH = scheduling.make_class(4, preemptible=True)
_CHAT = scheduling.make_class(0)


def _place(
    scheduler: scheduler_api.Scheduler,
    requests: Iterable[scheduler_api.PendingRequest],
) -> collections.Counter[str]:
    """Offers requests and returns how many each server received."""
    for request in requests:
        assert scheduler.offer(request, 0.0) is None
    decisions = scheduling.dispatched(list(scheduler.poll(0.0)))
    return collections.Counter(item.server.name for item in decisions)


def test_an_adapter_is_asked_of_servers_that_have_it() -> None:
    """Fails if `Target.served_by` does not check `adapters`."""
    with_adapter = attrs.evolve(
        scheduling.make_server("with", slots=8), adapters=("slang",)
    )
    scheduler = scheduling.make_scheduler(
        with_adapter, scheduling.make_server("without", slots=8)
    )
    requests = [
        scheduling.make_request(_CHAT, adapter="slang") for _ in range(6)
    ]
    assert _place(scheduler, requests) == {"with": 6}


def test_the_own_zone_is_used_while_it_has_room_and_then_another() -> None:
    """Fails if `places` in `PoolIndex._build` is in another order."""
    scheduler = scheduling.make_scheduler(
        scheduling.make_server("near", slots=4),
        scheduling.make_server("far", slots=16, zone="b"),
    )
    load = scheduler_api.ServerLoad("far", 0, 0, 0.0)
    scheduler.report_load(load)
    first = _place(scheduler, [scheduling.make_request(_CHAT)])
    assert first == {"near": 1}
    rest = _place(scheduler, [scheduling.make_request(_CHAT) for _ in range(8)])
    assert rest["near"] >= 3
    assert rest["far"] >= 1


def test_work_that_can_move_prefers_reclaimable_and_leaves_room() -> None:
    """Fails if `_may_use` or `reclaimable_first` in `_build` is wrong."""
    scheduler = scheduling.make_scheduler(
        scheduling.make_server("cheap", slots=10, reclaimable=True),
        scheduling.make_server("firm", slots=10),
    )
    few = _place(scheduler, [scheduling.make_request(_BATCH) for _ in range(3)])
    assert few == {"cheap": 3}
    many = _place(
        scheduler, [scheduling.make_request(_BATCH) for _ in range(60)]
    )
    assert many["firm"] < 10
    high = _place(scheduler, [scheduling.make_request(_CHAT)])
    assert high == {"firm": 1}


def test_requests_with_a_known_prefix_go_where_it_is_cached() -> None:
    """Fails if `PrefixAffinity.server` returns None."""
    servers = [scheduling.make_server(f"s{n}", slots=16) for n in range(8)]
    scheduler = scheduling.make_scheduler(*servers)
    servers_by_prefix: dict[int, str] = {}
    for prefix in (*range(1, 20), *range(1, 20)):
        request = scheduling.make_request(_CHAT, prefix=prefix)
        assert scheduler.offer(request, 0.0) is None
        (sent,) = scheduling.dispatched(list(scheduler.poll(0.0)))
        assert (
            servers_by_prefix.setdefault(prefix, sent.server.name)
            == sent.server.name
        )
        scheduler.finish(request, sent.server, scheduling.ANSWERED, 0.0)
    assert len(set(servers_by_prefix.values())) > 1
