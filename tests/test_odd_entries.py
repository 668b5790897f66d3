"""Tests that daemons as processes go on beside entries of other writers."""

import pathlib

import anyio
import pytest

from figstream_platform import standin_worker
from tests import daemon_fleet
from tests import odd_values

_ODD = (
    *odd_values.UNREADABLE.values(),
    *odd_values.unusable_entries("llm"),
)
# Time within which a change must become active.
_CHANGE_S = 2.0


async def _assert_served_by(
    fleet: daemon_fleet.Fleet, worker: standin_worker.Worker
) -> None:
    """Sends streams to all daemons, which one worker must run."""
    before = {item.name: len(item.runs) for item in fleet.workers}
    for number in range(6):
        answer = await fleet.send(
            f"{worker.name}-{sum(before.values())}-{number}",
            number % len(fleet.daemons),
        )
        assert answer is not None
        assert answer.status_code == 200
    gained = {
        item.name: len(item.runs) - before[item.name] for item in fleet.workers
    }
    assert gained == dict.fromkeys(gained, 0) | {worker.name: 6}


@pytest.mark.anyio
async def test_daemons_follow_their_list_beside_odd_entries(
    tmp_path: pathlib.Path,
) -> None:
    async with daemon_fleet.fleet(tmp_path) as fleet:
        replaced, removed, later, last = fleet.workers
        for number, value in enumerate(_ODD):
            fleet.store.put_bytes("servers", f"odd-{number}", value)
        fleet.store.put_bytes("servers", replaced.name, _ODD[0])
        fleet.store.remove("servers", removed.name)
        fleet.store.remove("servers", later.name)
        await anyio.sleep(_CHANGE_S)
        await _assert_served_by(fleet, last)
        # A daemon that starts lists all entries.
        fleet.daemons[0].kill_and_wait()
        fleet.daemons[0].start()
        await fleet.wait_until_served()
        for number, value in enumerate(_ODD):
            fleet.store.put_bytes("servers", f"odd-{number}", value + b" ")
        fleet.register(later)
        fleet.store.remove("servers", last.name)
        await anyio.sleep(_CHANGE_S)
        await _assert_served_by(fleet, later)
        assert all(daemon.running for daemon in fleet.daemons)
        for daemon in fleet.daemons:
            log = daemon.log.read_text()
            assert "event=role_stopped" not in log
            assert "event=server_entry_skipped" in log
