"""Tests that daemons of two builds work as one fleet.

The old build is that from which users go over to the present one.
"""

from collections.abc import AsyncIterator
import contextlib
import itertools
import pathlib
import re

import anyio
import attrs
import pytest

from soak import builds
from soak import daemons
from tests import daemon_fleet
from tests import gateway_front
from tests import old_build

_NEW = daemons.ROOT
# Time within which a change must become active.
_CHANGE_S = 2.0
_WINDOW_S = 1.0
_LOAD_INTERVAL_S = 0.1
# Longer than a request of the load takes.
_LOAD_ENDS_S = 1.0
_STREAMS = 16
# Time within which a daemon tells others what began its streams, and events of
# a stream that lasts twice as long.
_TOLD_S = 0.45
_LONG_STREAM_EVENTS = 15
_CUSTOMER = "studio"
# Share of the requests whose count may miss.
_LATE_SHARE = 0.05
_ADDED_ROUTE = "added"
_ADDED_KEY = "added-key"


@pytest.fixture(scope="module")
def old(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    return old_build.extract(tmp_path_factory.mktemp("old"))


@attrs.define
class _Load:
    """Requests to the daemons to which a balancer would send them."""

    fleet: daemon_fleet.Fleet
    targets: set[int]
    failed: list[str] = attrs.field(factory=list)
    served: int = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for number in itertools.count():
                for daemon in self.targets:
                    group.start_soon(self._send, f"load-{number}-{daemon}")
                await anyio.sleep(_LOAD_INTERVAL_S)

    async def _send(self, name: str) -> None:
        answer = await self.fleet.send(name, int(name.rpartition("-")[2]))
        if answer is None or answer.status_code != 200:
            status = answer.status_code if answer else "broken"
            self.failed.append(f"{name}: {status}")
        else:
            self.served += 1

    async def pause(self) -> None:
        """Sends nothing from now on, and waits for answers."""
        self.targets = set()
        await anyio.sleep(_LOAD_ENDS_S)

    async def replace(self, daemon: int, tree: pathlib.Path) -> None:
        """Replaces a daemon, while the others get all requests."""
        self.targets = {0, 1} - {daemon}
        await self.fleet.replace(daemon, tree)
        self.targets = {0, 1}


@contextlib.asynccontextmanager
async def _loaded(
    folder: pathlib.Path, *trees: pathlib.Path
) -> AsyncIterator[tuple[daemon_fleet.Fleet, _Load]]:
    async with daemon_fleet.fleet(folder, trees) as fleet:
        load = _Load(fleet, {0, 1})
        async with anyio.create_task_group() as group:
            group.start_soon(load.run)
            yield fleet, load
            await load.pause()
            group.cancel_scope.cancel()
    assert load.failed == []
    assert builds.unread(folder) == []


def _late_requests(fleet: daemon_fleet.Fleet) -> int:
    """Returns how many requests were counted after their window was sealed."""
    logs = "".join(process.log.read_text() for process in fleet.daemons)
    return sum(
        int(count)
        for count in re.findall(
            r"event=usage_counted_too_late .* requests=(\d+)", logs
        )
    )


def _check_duties(fleet: daemon_fleet.Fleet) -> None:
    """Checks that one daemon at a time reported each window with one figure."""
    holders: dict[int, set[str]] = {}
    for duty in fleet.store.duties:
        holders.setdefault(duty.fencing, set()).add(duty.holder)
    assert all(len(names) == 1 for names in holders.values()), holders
    fencing = [duty.fencing for duty in fleet.store.duties]
    assert fencing == sorted(fencing)
    windows: dict[int, int] = {}
    for duty in fleet.store.duties:
        if duty.path == "/usage":
            number = duty.fields["windowId"]
            count = duty.fields["counts"].get(_CUSTOMER, 0)
            # A report may be sent again as it was, if its answer was lost.
            assert windows.setdefault(number, count) == count, number
    runs = sum(len(worker.runs) for worker in fleet.workers)
    late = _late_requests(fleet)
    assert sum(windows.values()) + late == runs
    assert late <= _LATE_SHARE * runs


async def _status(
    fleet: daemon_fleet.Fleet, daemon: int, **more: str
) -> int | None:
    answer = await fleet.send(f"probe-{daemon}", daemon, **more)  # type: ignore[arg-type]
    return answer.status_code if answer else None


async def _change_configuration(
    fleet: daemon_fleet.Fleet, version: int
) -> None:
    """Adds a route and a key, and removes them."""
    plain = gateway_front.manifest_value(version)
    routes = plain["routes"]
    added = {**routes[-1], "name": _ADDED_ROUTE}
    added["pathPrefix"] = f"/{_ADDED_ROUTE}/"
    keys = [gateway_front.KEY, _ADDED_KEY]
    tenants = [{"name": _CUSTOMER, "apiKeys": keys}]
    fleet.store.put(
        "config",
        "main",
        {**plain, "routes": [*routes, added], "tenants": tenants},
    )
    key = {"authorization": f"Bearer {_ADDED_KEY}"}
    await anyio.sleep(_CHANGE_S)
    for daemon in (0, 1):
        assert await _status(fleet, daemon, route=_ADDED_ROUTE, **key) == 200
    fleet.store.put("config", "main", {**plain, "version": version + 1})
    await anyio.sleep(_CHANGE_S)
    for daemon in (0, 1):
        assert await _status(fleet, daemon, route=_ADDED_ROUTE) == 404
        assert await _status(fleet, daemon, **key) == 401


async def _drain_and_return(fleet: daemon_fleet.Fleet, number: int) -> None:
    worker = fleet.workers[number]
    fleet.register(worker, state="draining")
    await anyio.sleep(_CHANGE_S)
    runs = len(worker.runs)
    await anyio.sleep(_LOAD_ENDS_S)
    assert len(worker.runs) == runs
    fleet.register(worker)
    with anyio.fail_after(_CHANGE_S):
        while len(worker.runs) == runs:
            await anyio.sleep(0.05)


async def _wait_for(
    fleet: daemon_fleet.Fleet, daemon: int, event: str, since: int
) -> None:
    """Waits until the log of a daemon has an event after a position."""
    log = fleet.daemons[daemon].log
    with anyio.fail_after(5.0):
        while not re.search(event, log.read_text()[since:]):
            await anyio.sleep(0.05)


async def _tell_limit(
    fleet: daemon_fleet.Fleet, load: _Load, worker: int, daemon: int
) -> None:
    """Lets one daemon read of a limit that the other must hear of."""
    await load.pause()
    since = len(fleet.daemons[1 - daemon].log.read_text())
    fleet.workers[worker].limit_text = "500"
    load.targets = {daemon}
    name = fleet.workers[worker].name
    event = f"event=server_named_limit server={name} .* source=peer"
    await _wait_for(fleet, 1 - daemon, event, since)
    load.targets = {0, 1}


@pytest.mark.anyio
async def test_a_fleet_goes_to_the_new_build_and_back(
    tmp_path: pathlib.Path, old: pathlib.Path
) -> None:
    """Fails if a build does not take over what the other one stored."""
    async with _loaded(tmp_path, old, old) as (fleet, load):
        await load.replace(0, _NEW)
        async with anyio.create_task_group() as group:
            group.start_soon(_change_configuration, fleet, 20)
            group.start_soon(_drain_and_return, fleet, 0)
        await _tell_limit(fleet, load, 1, 0)
        await _tell_limit(fleet, load, 2, 1)
        await load.replace(1, _NEW)
        await load.replace(0, old)
        async with anyio.create_task_group() as group:
            group.start_soon(_change_configuration, fleet, 30)
            group.start_soon(_drain_and_return, fleet, 3)
        await load.replace(1, old)
        await _change_configuration(fleet, 40)
        await load.pause()
        # Until the last window is sealed and reported.
        await anyio.sleep(4 * _WINDOW_S)
        _check_duties(fleet)


async def _break_and_take_up(
    fleet: daemon_fleet.Fleet, broken: int, taker: int
) -> None:
    """Changes the plan and kills a daemon; another takes up its streams."""
    names = [f"from-{broken}-{number}" for number in range(_STREAMS)]
    ends = [len(process.log.read_text()) for process in fleet.daemons]
    for worker in fleet.workers:
        if worker.software == "v1":
            fleet.register(worker, slots=8 + 16 * broken)
    for daemon, end in enumerate(ends):
        await _wait_for(fleet, daemon, "event=software_plan ", end)
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(fleet.send, name, broken)
        with anyio.fail_after(5.0):
            while any(not fleet.events.get(name) for name in names):
                await anyio.sleep(0.01)
        await anyio.sleep(_TOLD_S)
        fleet.daemons[broken].kill_and_wait()
    went_on = []

    async def take_up(name: str) -> None:
        answer = await fleet.take_up(name, taker)
        if answer is not None and answer.status_code == 200:
            went_on.append(name)

    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(take_up, name)
    ran = daemon_fleet.software_by_stream(fleet.workers)
    assert all(len(set(ran[name])) == 1 for name in names), ran
    assert sorted(went_on) == sorted(names)
    # Some follow from no plan, so that a notice told of them.
    log = fleet.daemons[taker].log.read_text()[ends[taker] :]
    assert "source=known" in log
    await fleet.start(broken)


async def _tell_crashes(
    fleet: daemon_fleet.Fleet, body: bytes, daemon: int
) -> None:
    """Crashes servers through one daemon; the other must refuse the body."""
    for worker in fleet.workers:
        worker.crashing_bodies = frozenset({body})
    peer = fleet.daemons[1 - daemon].log
    since = len(peer.read_text())
    refused = r"event=suspect_refused kind=request\S* .* source=peer"
    with anyio.fail_after(30.0):
        while not re.search(refused, peer.read_text()[since:]):
            await fleet.send("crash", daemon, content=body)
            await anyio.sleep(0.7)
    ran = sum(worker.crashes for worker in fleet.workers)
    answer = await fleet.send("crash", 1 - daemon, content=body)
    assert answer is not None
    assert answer.status_code == 502
    assert sum(worker.crashes for worker in fleet.workers) == ran


@pytest.mark.anyio
async def test_streams_and_crashes_pass_between_two_builds(
    tmp_path: pathlib.Path, old: pathlib.Path
) -> None:
    """Fails if a build does not understand the notices of the other one."""
    async with daemon_fleet.fleet(tmp_path, (old, _NEW)) as fleet:
        for worker in fleet.workers:
            worker.events = _LONG_STREAM_EVENTS
        await anyio.sleep(daemon_fleet.PLAN_AGE_S)
        await _break_and_take_up(fleet, 0, 1)
        await _break_and_take_up(fleet, 1, 0)
        await _tell_crashes(fleet, b"crash-0", 0)
        await fleet.wait_until_served()
        await _tell_crashes(fleet, b"crash-1", 1)
    assert builds.unread(tmp_path) == []
