"""Tests of zones that the operator empties and takes back."""

import pathlib
import random
import time

import anyio
import pytest

from figstream import backend_server
from figstream import metrics
from figstream import object_follower
from figstream import platform_api
from figstream import server_paths
from figstream import store_era
from figstream import zone_evacuations
from soak import daemons
from tests import daemon_fleet
from tests import gateway_parts

_item = gateway_parts.item
_DOWN = platform_api.Unavailable("status 503")
_EVACUATE_MS = 2_000


class _Daemon(gateway_parts.DirectoryFixture):
    """A directory with one server in each of two zones, and evacuations."""

    def __init__(self) -> None:
        super().__init__(emptied_zones=None)
        self.zones_feed = gateway_parts.ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        self.zones_follower = object_follower.ObjectFollower(
            "evacuations",
            self.zones_feed,
            self.clock,
            unexported,
            gateway_parts.CHANGE_S,
        )
        self.evacuations = zone_evacuations.ZoneEvacuations(
            self.zones_follower,
            self.directory.set_emptied_zones,
            self.clock,
            unexported,
        )

    @property
    def used(self) -> set[str]:
        """Returns the zones whose servers get requests."""
        servers = self.applied_configurations[-1].servers
        active = backend_server.ServerState.ACTIVE
        return {item.zone for item in servers if item.state is active}

    async def start(self) -> None:
        servers = (_item("one", 1, "a"), _item("two", 2, "b"))
        await self.run_follower(platform_api.Snapshot(servers, 5))

    async def hear(self, *answers: object) -> None:
        """Lets the store answer the follower of the evacuations."""
        self.zones_feed.answers += answers
        with anyio.move_on_after(0.05):
            await self.zones_follower.run()

    def pass_time(self, seconds: float) -> None:
        """Advances the clock and lets the role notice it."""
        self.clock.advance(seconds)
        self.evacuations.step()


def _list(position: int, *zones: str, era: int = 1) -> platform_api.Snapshot:
    at = store_era.version_of(era, position)
    return platform_api.Snapshot(tuple(_item(x, at, {}) for x in zones), at)


def _change(
    position: int, *zones: str, removed: tuple[str, ...] = (), era: int = 1
) -> platform_api.FeedChanges:
    at = store_era.version_of(era, position)
    changed = tuple(_item(x, at, {}) for x in zones)
    return platform_api.FeedChanges(changed, removed, at)


@pytest.mark.anyio
async def test_an_emptied_zone_gets_nothing_until_it_is_taken_back() -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_list(5))
    assert daemon.used == {"a", "b"}
    await daemon.hear(_change(6, "a"))
    assert daemon.used == {"b"}
    assert [x.zone for x in daemon.directory.reachable] == ["b"]
    assert daemon.names == {"one", "two"}
    await daemon.hear(_change(7, removed=("a",)))
    assert daemon.used == {"a", "b"}
    assert len(daemon.directory.reachable) == 2


@pytest.mark.anyio
async def test_two_zones_may_be_emptied_and_are_taken_back_singly() -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_list(6, "a"), _change(7, "b"))
    assert daemon.used == set()
    await daemon.hear(_change(8, removed=("a",)))
    assert daemon.used == {"a"}


@pytest.mark.anyio
async def test_an_entry_without_readable_content_counts() -> None:
    daemon = _Daemon()
    await daemon.start()
    unreadable = _item("a", 6, None)
    await daemon.hear(platform_api.Snapshot((unreadable,), 6))
    assert daemon.used == {"b"}


@pytest.mark.anyio
async def test_an_evacuation_holds_while_the_store_is_silent() -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_list(6, "a"), _DOWN, _DOWN)
    daemon.pass_time(600.0)
    assert daemon.used == {"b"}


@pytest.mark.anyio
async def test_a_daemon_that_starts_uses_no_server_before_it_knows() -> None:
    """Fails if entries of servers are used before the evacuations are known."""
    daemon = _Daemon()
    await daemon.hear(_DOWN)
    await daemon.start()
    daemon.pass_time(1.0)
    assert not daemon.directory.servers
    await daemon.hear(_list(6, "a"))
    assert daemon.used == {"b"}


@pytest.mark.anyio
@pytest.mark.parametrize("emptied", [(), ("a",)])
async def test_a_daemon_that_starts_in_an_outage_learns_from_a_peer(
    emptied: tuple[str, ...],
) -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_DOWN)
    known = _list(6, *emptied)
    items = {item.name: item for item in known.items}
    daemon.zones_follower.adopt(known.position, items, settled=True)
    daemon.pass_time(1.0)
    assert daemon.used == {"a", "b"} - set(emptied)


@pytest.mark.anyio
async def test_a_daemon_back_from_a_cut_believes_the_newest() -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_list(6, "a"), _DOWN)
    newer, older = _list(9, "b"), _list(3)
    for known in (newer, older):
        items = {item.name: item for item in known.items}
        daemon.zones_follower.adopt(known.position, items, settled=True)
    assert daemon.used == {"a"}


@pytest.mark.anyio
async def test_an_evacuation_that_a_restore_loses_is_kept_for_a_while() -> None:
    """Fails if a zone gets requests though nobody has taken it back."""
    daemon = _Daemon()
    await daemon.start()
    gone = platform_api.HistoryGone()
    await daemon.hear(_list(6, "a"), gone, _list(3, era=2))
    daemon.pass_time(zone_evacuations.LOST_HOLD_S - 1.0)
    assert daemon.used == {"b"}
    daemon.pass_time(2.0)
    assert daemon.used == {"a", "b"}


@pytest.mark.anyio
async def test_an_evacuation_written_again_ends_when_it_is_removed() -> None:
    daemon = _Daemon()
    await daemon.start()
    gone = platform_api.HistoryGone()
    await daemon.hear(_list(6, "a"), gone, _list(3, era=2))
    await daemon.hear(_change(4, "a", era=2))
    assert daemon.used == {"b"}
    await daemon.hear(_change(5, removed=("a",), era=2))
    assert daemon.used == {"a", "b"}


@pytest.mark.anyio
async def test_an_evacuation_of_the_copy_ends_at_once_when_removed() -> None:
    daemon = _Daemon()
    await daemon.start()
    await daemon.hear(_list(6, "a"))
    await daemon.hear(platform_api.HistoryGone(), _list(3, "a", era=2))
    assert daemon.used == {"b"}
    await daemon.hear(_change(4, removed=("a",), era=2))
    assert daemon.used == {"a", "b"}


def test_servers_of_emptied_zones_are_not_probed() -> None:
    daemon = _Daemon()
    daemon.directory.set_emptied_zones(frozenset("ab"))
    probed = server_paths.choose_probed(
        daemon.directory.reachable, "a", random.Random(1)
    )
    assert not probed


@pytest.mark.anyio
async def test_daemons_empty_a_zone_in_time_and_use_it_again(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if requests reach a zone later than allowed, from any daemon.

    Seen in trouble-3 of a deployment that empties zones: requests went on to
    the zone, 3,098 of them, from any daemon.
    """
    async with daemon_fleet.fleet(
        tmp_path,
        (daemons.ROOT, daemons.ROOT, daemons.ROOT),
        pause_s=0.01,
        evacuate_ms=_EVACUATE_MS,
    ) as fleet:
        emptied, kept = fleet.workers[::2], fleet.workers[1::2]
        for worker in kept:
            fleet.register(worker, zone="b")
        await _load(fleet, "before", 1.0)
        assert all(worker.runs for worker in emptied)
        fleet.store.put("evacuations", "a", {})
        due_at = time.monotonic() + _EVACUATE_MS / 1_000
        await _load(fleet, "during", 3.0)
        # A daemon that starts, while the store is silent, knows it too.
        fleet.store.faults.down = True
        fleet.daemons[2].kill_and_wait()
        await fleet.start(2)
        served = await _load(fleet, "down", 1.5)
        assert served
        fleet.store.faults.down = False
        await _load(fleet, "after", 1.0)
        late = [
            run.request_id
            for worker in emptied
            for run in worker.runs
            if run.at > due_at
        ]
        assert not late
        assert all(worker.runs[-1].at > due_at for worker in kept)
        fleet.store.remove("evacuations", "a")
        await anyio.sleep(_EVACUATE_MS / 1_000)
        counts = [len(worker.runs) for worker in emptied]
        await _load(fleet, "again", 1.0)
        assert all(
            len(worker.runs) > count
            for worker, count in zip(emptied, counts, strict=True)
        )
        for zone in ("a", "b"):
            fleet.store.put("evacuations", zone, {})
        await anyio.sleep(_EVACUATE_MS / 1_000)
        counts = [len(worker.runs) for worker in fleet.workers]
        answer = await fleet.send("nowhere", 0)
        assert answer is not None
        assert answer.status_code == 503
        # Only refusals of requests that have not run have this header.
        assert float(answer.headers["retry-after"]) > 0.0
        assert counts == [len(worker.runs) for worker in fleet.workers]


async def _load(fleet: daemon_fleet.Fleet, name: str, seconds: float) -> int:
    """Sends streams to all daemons for a time; returns how many were served."""
    served = 0

    async def send(number: int) -> None:
        nonlocal served
        daemon = number % len(fleet.daemons)
        answer = await fleet.send(f"{name}-{number}", daemon)
        served += answer is not None and answer.status_code == 200

    async with anyio.create_task_group() as group:
        for number in range(round(seconds / 0.03)):
            group.start_soon(send, number)
            await anyio.sleep(0.03)
    return served
