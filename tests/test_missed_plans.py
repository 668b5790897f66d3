"""Tests of daemons that a plan of software versions does not reach."""

import pathlib

import anyio
import pytest

from figstream import rendezvous
from figstream import software_planner
from figstream_platform import store
from tests import daemon_fleet

_STREAMS = 24
_PLANS = store.store_kind(software_planner.PREFIX)
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
