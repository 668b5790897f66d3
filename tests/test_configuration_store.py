"""Tests of accepting changes: races, lost answers, sharding, shard removal."""

from collections.abc import Sequence
import itertools
import random

import anyio
import anyio.lowlevel
import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_shards
from figstream import configuration_store
from figstream import customer as customer_lib
from figstream import errors
from figstream import platform_api
from figstream import platform_faults
from figstream import platform_memory

_WRITE_FAULTS = ("", "", "", "lose_answer", "lose_request", "down")


class FaultyObjects:
    """Object store that injects the drawn faults and task switches.

    After the draws are used up, calls have no faults.
    """

    def __init__(
        self, inner: platform_api.ObjectStore, draws: Sequence[int]
    ) -> None:
        self._inner = inner
        self._draws = itertools.chain(draws, itertools.repeat(0))

    async def _switch_tasks(self) -> None:
        for _ in range(next(self._draws) % 4):
            await anyio.lowlevel.checkpoint()

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        await self._switch_tasks()
        return await self._inner.read(name)

    async def list_names(
        self, prefix: str
    ) -> Sequence[str] | platform_api.Unavailable:
        return await self._inner.list_names(prefix)

    async def delete(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome:
        await self._switch_tasks()
        return await self._inner.delete(name, expected_version)

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> platform_api.Changes | platform_api.Unavailable:
        return await self._inner.watch(prefix, position, timeout_s)

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        await self._switch_tasks()
        fault = _WRITE_FAULTS[next(self._draws) % len(_WRITE_FAULTS)]
        if fault == "down":
            return platform_api.Unavailable("down")
        if fault == "lose_request":
            return platform_api.Unknown("lost")
        outcome = await self._inner.write(name, body, expected_version)
        if fault == "lose_answer":
            return platform_api.Unknown("lost")
        return outcome


def _add_customer(name: str) -> configuration_store.Change:
    def change(
        old: configuration_lib.Configuration,
    ) -> configuration_lib.Configuration:
        added = (*old.customers, customer_lib.Customer(name))
        return attrs.evolve(old, customers=added)

    return change


class Writer:
    """Makes changes sequentially, rebasing after each conflict."""

    def __init__(
        self, store: configuration_store.ConfigurationStore, name: str
    ) -> None:
        self._store = store
        self._name = name
        self.accepted: dict[int, str] = {}
        self.undecided: set[str] = set()

    async def make_changes(self, count: int) -> None:
        for index in range(count):
            await self._make_change(f"{self._name}-{index}")

    async def _make_change(self, name: str) -> None:
        base, outcome = 0, None
        for attempt in range(1000):
            write_id = f"{name}/{attempt}"
            outcome = await self._store.accept(
                _add_customer(name), base, write_id
            )
            match outcome:
                case configuration_store.Accepted():
                    self.accepted[outcome.generation] = name
                    return
                case configuration_store.GenerationConflict():
                    base = outcome.current
                case configuration_store.OutcomeUnknown():
                    self.undecided.add(name)
                    return
        raise AssertionError(f"{name} was never decided: {outcome}")


async def _race(
    draws: Sequence[int], writers: int, changes: int
) -> tuple[dict[int, str], set[str], configuration_lib.Configuration]:
    memory = platform_memory.MemoryPlatform()
    clock = clock_lib.ManualClock()
    objects = FaultyObjects(memory.objects, draws)
    racing = [
        Writer(configuration_store.ConfigurationStore(objects, clock), f"w{i}")
        for i in range(writers)
    ]
    remover = configuration_store.ConfigurationStore(objects, clock)
    async with anyio.create_task_group() as group:
        for writer in racing:
            group.start_soon(writer.make_changes, changes)
        for _ in range(changes):
            group.start_soon(remover.remove_unreferenced)
    plain = configuration_store.ConfigurationStore(memory.objects, clock)
    found = await plain.read_newest()
    assert isinstance(found, configuration_shards.Snapshot)
    accepted = [item for writer in racing for item in writer.accepted.items()]
    assert len(dict(accepted)) == len(accepted), "two share a generation"
    undecided = set().union(*(writer.undecided for writer in racing))
    return dict(accepted), undecided, configuration_shards.assemble(found)


def _check_race(
    accepted: dict[int, str],
    undecided: set[str],
    final: configuration_lib.Configuration,
) -> None:
    active_customers = set(final.customers_by_name)
    assert set(accepted.values()) <= active_customers, (
        "an accepted change was lost"
    )
    assert active_customers <= set(accepted.values()) | undecided
    assert final.generation == len(active_customers), (
        "a generation was reverted"
    )


def test_fifty_changes_from_five_writers_with_lost_answers() -> None:
    """Fails if `_write_root` or `_resolve_outcome` ignores a lost answer.

    A write whose answer is lost may or may not have been executed, so neither
    may treat its outcome as decided.
    """
    rng = random.Random(20261203)
    draws = [rng.randrange(1000) for _ in range(2000)]
    accepted, undecided, final = anyio.run(_race, draws, 5, 10)
    _check_race(accepted, undecided, final)
    assert len(accepted) + len(undecided) == 50


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.integers(0, 23), max_size=200))
def test_races_with_any_faults(draws: list[int]) -> None:
    """Fails if a root is written without its expected version.

    Of two concurrent writers, the later one would then overwrite the root of
    the other and revert an accepted change.
    """
    accepted, undecided, final = anyio.run(_race, draws, 3, 3)
    _check_race(accepted, undecided, final)


@pytest.mark.anyio
@pytest.mark.parametrize("lost_writes", [1, 2, 3])
async def test_repeat_with_the_same_write_id_changes_once(
    lost_writes: int,
) -> None:
    """Fails if `accept` checks the base before it searches for the write id."""
    memory = platform_memory.MemoryPlatform()
    store = configuration_store.ConfigurationStore(
        memory.interfaces("operator").objects, clock_lib.ManualClock()
    )
    write = platform_faults.CallKind.WRITE
    memory.gate.faults.lose_answers[write] = lost_writes
    first = await store.accept(_add_customer("a"), 0, "id-1")
    assert first == configuration_store.Accepted(1)
    second = await store.accept(_add_customer("b"), 1, "id-2")
    assert second == configuration_store.Accepted(2)
    repeat = await store.accept(_add_customer("a"), 0, "id-1")
    assert repeat == configuration_store.Accepted(1)
    late = await store.accept(_add_customer("c"), 1, "id-3")
    assert late == configuration_store.GenerationConflict(2)
    broken = await store.accept(_add_customer("a"), 2, "id-4")
    assert isinstance(broken, configuration_store.RefusedChange)
    memory.gate.faults.down = True
    down = await store.accept(_add_customer("d"), 2, "id-5")
    assert isinstance(down, configuration_store.PlatformDown)


@pytest.mark.anyio
async def test_removal_keeps_what_the_root_and_a_next_writer_rely_on() -> None:
    """Fails if `remove_unreferenced` ignores the generation of a shard.

    A writer that has written its shards but not yet its root would lose them.
    """
    memory = platform_memory.MemoryPlatform()
    store = configuration_store.ConfigurationStore(
        memory.objects, clock_lib.ManualClock()
    )
    for base in range(3):
        await store.accept(_add_customer(f"c{base}"), base)
    next_shard = configuration_store.SHARDS + "4/00"
    await memory.objects.write(next_shard, b"of a writer under way", 0)
    assert await store.remove_unreferenced() == 2
    names = await memory.objects.list_names(configuration_store.SHARDS)
    assert not isinstance(names, platform_api.Unavailable)
    assert next_shard in names
    assert len(names) == 2
    found = await store.read_newest()
    assert isinstance(found, configuration_shards.Snapshot)
    assert len(configuration_shards.assemble(found).customers) == 3


def test_a_change_touches_few_shards_and_survives_the_round_trip() -> None:
    customers = tuple(
        customer_lib.Customer(f"customer-{index:04}") for index in range(700)
    )
    old = configuration_lib.Configuration(3, customers)
    first = configuration_shards.snapshot(old, configuration_shards.Root(), ())
    assert configuration_shards.assemble(first) == old
    longest = max(len(body) for body in first.bodies.values())
    assert longest <= 2 * configuration_shards.SHARD_TARGET_BYTES
    new = attrs.evolve(
        old,
        generation=4,
        customers=(
            *customers[:-1],
            attrs.evolve(customers[-1], weight=2.0),
        ),
    )
    second = configuration_shards.snapshot(new, first.root, ())
    assert len(set(second.bodies) - set(first.bodies)) == 1
    assert configuration_shards.assemble(second) == new
    partial = attrs.evolve(second, bodies=first.bodies)
    with pytest.raises(errors.ConfigurationError, match="missing"):
        configuration_shards.assemble(partial)
