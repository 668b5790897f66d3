"""Tests of daemons that a plan of software versions does not reach."""

import pathlib
import time
from typing import Any
from typing import cast

import anyio
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import membership
from figstream import membership_api
from figstream import metrics
from figstream import object_follower
from figstream import plan_contact
from figstream import platform_api
from figstream import rendezvous
from figstream import serialization
from figstream import software_plan
from figstream import software_planner
from figstream_platform import callers
from figstream_platform import store as store_lib
from tests import daemon_fleet
from tests import gateway_front
from tests import gateway_parts

_STREAMS = 24
_PLANS = store_lib.store_kind(software_planner.PREFIX)
# Seconds after which daemons no longer take an earlier plan into account, for
# the time limit of the streams.
_FORGOTTEN_S = 7.0


async def _begin_and_kill(fleet: daemon_fleet.Fleet, daemon: int) -> list[str]:
    """Begins streams at a daemon, and kills it once all have events."""
    names = [f"r{number}" for number in range(_STREAMS)]
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(fleet.send, name, daemon)
        with anyio.fail_after(5.0):
            while any(not fleet.events.get(name) for name in names):
                await anyio.sleep(0.01)
        fleet.daemons[daemon].kill_and_wait()
    return names


@pytest.mark.anyio
async def test_a_plan_whose_answers_were_lost_reaches_all_daemons(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a daemon that missed a plan goes on with the one before."""
    async with daemon_fleet.fleet(tmp_path, pause_s=0.2) as fleet:
        names = [item.name for item in fleet.daemons]
        missing = names.index(rendezvous.rank("software_plan", names)[-1])
        for worker in fleet.workers:
            if worker.software == "v2":
                fleet.store.remove("servers", worker.name)
        await anyio.sleep(2.0)
        fleet.store.faults.lost_kinds = {_PLANS}
        fleet.store.faults.lost_watches = {(names[missing], _PLANS)}
        for worker in fleet.workers:
            if worker.software == "v2":
                fleet.register(worker)
        await anyio.sleep(_FORGOTTEN_S)
        assert not fleet.store.faults.lost_kinds
        streams = await _begin_and_kill(fleet, missing)
        async with anyio.create_task_group() as group:
            for name in streams:
                group.start_soon(fleet.take_up, name, 1 - missing)
        ran = daemon_fleet.software_by_stream(fleet.workers)
        assert all(len(set(ran[name])) == 1 for name in streams), ran


class _Members:
    """Daemons that all hear each other."""

    contact = membership_api.Contact(detection_s=8.0)


def _plan(
    plan: software_plan.SoftwarePlan, since_ms: int, **counts: int
) -> Any:
    servers = [
        backend_server.BackendServer(
            f"{software}-{number}", "", "a", service="llm", software=software
        )
        for software, count in counts.items()
        for number in range(count)
    ]
    return software_plan.revised(plan, servers, ["llm"], since_ms)


def _changes(plan: software_plan.SoftwarePlan) -> platform_api.FeedChanges:
    item = platform_api.StoredItem("main", 9, serialization.to_value(plan))
    return platform_api.FeedChanges((item,), (), 9)


def _make_follower(
    clock: clock_lib.Clock,
) -> object_follower.ObjectFollower:
    """Returns a follower whose watches get no answer after the first list."""
    feed = gateway_parts.ScriptedFeed()
    feed.answers = [platform_api.Snapshot((), 5)]
    return object_follower.ObjectFollower(
        "kind", feed, clock, metrics.make_unexported_metrics(), 20.0
    )


@pytest.mark.anyio
@pytest.mark.parametrize("store", ["reached", "cut off"])
async def test_a_daemon_out_of_step_resumes_no_stream_by_an_old_plan(
    store: str,
) -> None:
    """Fails if a daemon resumes streams of a plan that it has not heard of."""
    now_ms = round(time.time() * 1000)
    old = _plan(software_plan.SoftwarePlan(), now_ms - 60_000, v1=2)
    new = _plan(old, now_ms, v1=2, v2=2)
    begun = {
        name: software_plan.assign(name, new.services["llm"][-1].weights)
        for name in (f"r{number}" for number in range(_STREAMS))
    }
    clock = clock_lib.SystemClock()
    feed = gateway_parts.ScriptedFeed()
    cut_off = platform_api.Unavailable("cut off")
    answer = _changes(new) if store == "reached" else cut_off
    feed.answers = [answer] * _STREAMS
    entries, plans = _make_follower(clock), _make_follower(clock)
    workers = daemon_fleet.two_versions()
    async with (
        gateway_front.front(*workers) as front,
        anyio.create_task_group() as group,
    ):
        streams = front.serving.streams
        contact = plan_contact.PlanContact(
            streams,
            cast(membership.Membership, _Members()),
            entries,
            plans,
            feed,
            clock,
        )
        for role in (entries, plans, contact):
            group.start_soon(role.run)
        streams.update_servers(
            gateway_front.server_of(worker, "llm") for worker in workers
        )
        streams.apply_plan(old)
        plans.subscribe(
            lambda items: streams.apply_plan(
                serialization.from_value(
                    items["main"].value, software_plan.SoftwarePlan
                )
            )
        )
        await anyio.sleep(0.1)
        for name in begun:
            await front.send_request(
                "rewrite",
                f"again-{name}",
                b"",
                **{
                    callers.RESUMES.decode(): name,
                    callers.RESUME_AFTER.decode(): "1",
                },
            )
        ran = daemon_fleet.software_by_stream(workers)
        assert set(begun.values()) == {"v1", "v2"}
        assert ran == {name: [begun[name]] for name in ran}
        group.cancel_scope.cancel()
