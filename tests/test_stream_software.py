"""Tests that streams go on only at the software version that began them."""

import pathlib

import anyio
import pytest

from figstream_platform import standin_worker
from tests import daemon_fleet
from tests import gateway_front

_Fault = standin_worker.Fault
_ROUTE = daemon_fleet.STREAM_ROUTE
_STREAMS = 16


@pytest.mark.anyio
async def test_a_broken_stream_never_goes_on_at_other_software() -> None:
    """Fails if a daemon chooses among all servers of the service."""
    faults = [_Fault.CUT, _Fault.NONE] * _STREAMS
    workers = daemon_fleet.two_versions(faults=faults)
    async with gateway_front.front(*workers, budget=200.0) as front:
        for number in range(_STREAMS):
            answer = await front.send_request(
                _ROUTE, f"r{number}", str(number).encode()
            )
            assert answer.text.count("id: ") == 3
        ran = daemon_fleet.software_by_stream(front.workers)
        assert len(ran) == _STREAMS
        assert all(len(set(software)) == 1 for software in ran.values()), ran


async def _break_streams(fleet: daemon_fleet.Fleet) -> list[str]:
    """Begins streams and kills all daemons; returns those that had events."""
    names = [f"r{number}" for number in range(_STREAMS)]
    await anyio.sleep(daemon_fleet.PLAN_AGE_S)
    async with anyio.create_task_group() as group:
        for number, name in enumerate(names):
            group.start_soon(fleet.send, name, number % 2)
        with anyio.fail_after(5.0):
            while any(not fleet.events.get(name) for name in names):
                await anyio.sleep(0.01)
        for process in fleet.daemons:
            process.kill_and_wait()
    return names


@pytest.mark.anyio
async def test_streams_keep_their_software_after_all_daemons_were_killed(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a daemon that starts can't tell what began a stream."""
    async with daemon_fleet.fleet(tmp_path) as fleet:
        streams = await _break_streams(fleet)
        for process in fleet.daemons:
            process.start()
        await fleet.wait_until_served()
        went_on = 0
        for name in streams:
            answer = await fleet.take_up(name, 1)
            went_on += answer is not None and answer.status_code == 200
        ran = daemon_fleet.software_by_stream(fleet.workers)
        assert all(len(set(ran[name])) == 1 for name in streams), ran
        assert went_on >= _STREAMS / 2


@pytest.mark.anyio
async def test_streams_of_software_that_left_are_not_joined_with_other_text(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a take-up is answered by what serves after a release."""
    async with daemon_fleet.fleet(tmp_path) as fleet:
        streams = await _break_streams(fleet)
        for worker in fleet.workers:
            if worker.software == "v1":
                fleet.store.remove("servers", worker.name)
        for process in fleet.daemons:
            process.start()
        await fleet.wait_until_served()
        async with anyio.create_task_group() as group:
            for name in streams:
                group.start_soon(fleet.take_up, name, 1)
        ran = daemon_fleet.software_by_stream(fleet.workers)
        assert {ran[name][0] for name in streams} == {"v1", "v2"}
        assert all(len(set(ran[name])) == 1 for name in streams), ran
