"""Tests of daemons that have no path of their own to backend servers."""

import pathlib

import anyio
import pytest

from tests import daemon_fleet

# Time after the cut from which requests must be served.
_SETTLING_S = 3.0
_REQUESTS = 30


@pytest.mark.anyio
@pytest.mark.parametrize("silent", [False, True], ids=["refused", "silent"])
async def test_a_daemon_without_a_path_to_servers_serves_its_callers(
    tmp_path: pathlib.Path, silent: bool
) -> None:
    """Fails if a daemon tries only its own connections to servers."""
    async with daemon_fleet.fleet(tmp_path) as fleet:
        ports = [worker.port for worker in fleet.workers]
        fleet.daemons[0].block(ports, silent=silent)
        served = 0

        async def send(number: int) -> None:
            nonlocal served
            answer = await fleet.send(f"r{number}", 0)
            served += answer is not None and answer.status_code == 200

        async with anyio.create_task_group() as group:
            for number in range(_REQUESTS):
                group.start_soon(fleet.send, f"early-{number}", 0)
                await anyio.sleep(_SETTLING_S / _REQUESTS)
            for number in range(_REQUESTS):
                group.start_soon(send, number)
                await anyio.sleep(0.05)
        assert served >= _REQUESTS * 2 / 3
        fleet.daemons[0].block([], silent=False)
        await anyio.sleep(_SETTLING_S)
        log = fleet.daemons[0].log.read_text()
        assert "event=server_path_regained" in log
