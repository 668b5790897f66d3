"""Tests of how the soak plays two builds."""

import pathlib
import shutil

import anyio
import pytest

from figstream_platform import standin_program
from soak import builds
from soak import daemons
from soak import plan

_OLD = pathlib.Path("/old")


def test_all_ways_between_builds_are_drawn_and_only_with_an_old_build() -> None:
    plans = [builds.make_build_plan(seed, _OLD) for seed in range(40)]
    assert plans == [builds.make_build_plan(seed, _OLD) for seed in range(40)]
    assert {item.name for item in plans} == {x.value for x in builds.Rollout}
    assert all(item.trees == {_OLD, daemons.ROOT} for item in plans)
    alone = builds.make_build_plan(3, None)
    assert alone.trees == {daemons.ROOT}
    assert not alone.replacements


@pytest.mark.parametrize("seed", range(40))
def test_a_fleet_ends_on_the_build_that_its_way_leads_to(seed: int) -> None:
    build_plan = builds.make_build_plan(seed, _OLD)
    trees = list(build_plan.first)
    for item in build_plan.replacements:
        trees[item.daemon] = item.tree
    ends = {
        builds.Rollout.UPGRADE: {daemons.ROOT},
        builds.Rollout.ROLLBACK: {_OLD},
        builds.Rollout.ABANDONED: {_OLD},
        builds.Rollout.MIXED: {_OLD, daemons.ROOT},
    }
    assert len(trees) == plan.DAEMON_COUNT
    assert set(trees) == ends[builds.Rollout(build_plan.name)]


def test_objects_that_a_daemon_could_not_read_are_found(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "entry-1.log").write_text(
        "time=1 level=INFO event=feed_changed kind=config\n"
        "time=2 level=WARNING event=limit_notice_unreadable detail=odd\n"
        "time=3 level=INFO event=suspect_refused kind=request\n"
        "time=4 level=INFO event=settings_read changed=none\n"
    )
    (found,) = builds.unread(tmp_path)
    assert "entry-1 could not read: time=2" in found


@pytest.mark.anyio
async def test_a_daemon_runs_the_build_that_it_is_told(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if modules of this build are found first."""
    tree = tmp_path / "tree"
    for name in ("figstream", "platform"):
        shutil.copytree(daemons.ROOT / name, tree / name)
    with (tree / "figstream" / "errors.py").open("a") as file:
        file.write("\nprint('of the other build')\n")
    process = daemons.DaemonProcess(
        "entry-0", "a", standin_program.DaemonPorts(1, 2, 3, 4), tmp_path, tree
    )
    process.write_settings(1, [])
    process.start()
    try:
        with anyio.fail_after(15.0):
            while b"of the other build" not in process.log.read_bytes():
                await anyio.sleep(0.05)
    finally:
        process.kill_and_wait()
