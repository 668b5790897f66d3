"""Tests of sealing with every crash and any interleaving of two lease holders.

They guard against usage that is lost or counted twice: if
`UsageChain.append` writes window objects without the absent version or does
not read the progress after the write, or if `accept` returns COUNTED for a
delta that only a draft holds. The tests execute the sealing steps one
platform call at a time, so that a holder can stop between any two calls.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from collections.abc import Sequence
import itertools
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies

from figstream import clock as clock_lib
from figstream import metrics
from figstream import platform_api
from figstream import platform_memory
from figstream import serialization
from figstream import usage_api
from figstream import usage_delta
from figstream import usage_sealing
from figstream import usage_window

_WINDOW_S = 60.0
_METRICS = metrics.make_unexported_metrics()
_Call = Callable[..., Coroutine[Any, Any, Any]]


class _CrashError(Exception):
    """Ends a step as a crash of the process would."""


class _Pause:
    def __await__(self) -> Generator[None]:
        yield


@attrs.define
class _Gate:
    """Pauses before each platform call; crashes before or after the n-th."""

    crash_at: int = -1
    after: bool = False
    calls: int = 0

    async def __call__(self, call: _Call, *arguments: object) -> Any:
        self.calls += 1
        await _Pause()
        if self.calls == self.crash_at and not self.after:
            raise _CrashError
        outcome = await call(*arguments)
        if self.calls == self.crash_at:
            raise _CrashError
        return outcome


class _GatedPlatform:
    """The object store and usage interfaces, with a gate at each call."""

    def __init__(
        self, inner: platform_memory.MemoryPlatform, gate: _Gate
    ) -> None:
        self._inner = inner
        self._gate = gate

    async def read(self, name: str, *, stale: bool = False) -> Any:
        return await self._gate(self._inner.objects.read, name)

    async def write(self, name: str, body: bytes, version: int) -> Any:
        call = self._inner.objects.write
        return await self._gate(call, name, body, version)

    async def list_names(self, prefix: str) -> Any:
        return await self._gate(self._inner.objects.list_names, prefix)

    async def delete(self, name: str, version: int) -> Any:
        return await self._gate(self._inner.objects.delete, name, version)

    async def watch(self, prefix: str, position: int, timeout_s: float) -> Any:
        raise NotImplementedError

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> Any:
        call = self._inner.usage.report
        return await self._gate(call, window, body, fencing, allowed)


@attrs.define
class _Lease:
    """A lease that stays valid for its holder until a test ends it."""

    number: int | None = 1
    name: str = "usage"

    def fencing(self) -> int | None:
        return self.number


class _System:
    """A platform, a clock, and daemons that retain uncounted deltas."""

    def __init__(self) -> None:
        self.platform = platform_memory.MemoryPlatform()
        self.clock = clock_lib.ManualClock(6000.0)
        self.sequence = itertools.count(1)
        self.created: list[usage_delta.UsageDelta] = []
        self.kept: list[usage_delta.UsageDelta] = []

    def holder(
        self, gate: _Gate | None = None, lease: _Lease | None = None
    ) -> usage_sealing.UsageSealing:
        gated = _GatedPlatform(self.platform, gate or _Gate())
        interfaces = attrs.evolve(
            self.platform.interfaces(), objects=gated, usage=gated
        )
        return usage_sealing.UsageSealing(
            lease or _Lease(), interfaces, self.clock, _METRICS, _WINDOW_S
        )

    def count(self, age_s: float = 0.0) -> None:
        sequence = next(self.sequence)
        run = usage_delta.RunId(f"entry-{sequence % 3}", 7)
        item = usage_api.UsageItem("c", "chat", 1, sequence, 2**sequence % 997)
        opened_ms = int((self.clock.wall() - age_s) * 1000)
        delta_id = usage_delta.DeltaId(run, sequence)
        delta = usage_delta.UsageDelta(delta_id, opened_ms, (item,))
        self.created.append(delta)
        self.kept.append(delta)

    def deliver(self, holder: usage_sealing.UsageSealing) -> None:
        counted = usage_sealing.DeltaStatus.COUNTED
        self.kept = [d for d in self.kept if holder.accept(d) is not counted]

    def recover_and_check(self) -> None:
        """Ends all faults, finishes with a new holder, checks the reports."""
        self.platform.objects.faults = platform_memory.ObjectFaults()
        self.platform.usage.lose_answers = 0
        self.platform.usage.down = False
        holder = self.holder()
        for _ in range(6):
            _run_to_end(holder.step())
            self.deliver(holder)
            self.clock.advance(_WINDOW_S)
        assert not self.kept
        bodies = {(name, body) for name, body, _ in self.platform.usage.calls}
        booked = self.platform.usage.booked
        assert bodies == set(booked.items())
        reports = [
            serialization.from_json(body, usage_window.UsageReport)
            for body in booked.values()
        ]
        assert [
            (item.customer, item.request_class, *_figures([item]))
            for item in _total(reports)
        ] == [("c", "chat", *_figures(_items(self.created)))]
        reports.sort(key=lambda item: item.start_ms)
        for one, other in itertools.pairwise(reports):
            assert one.end_ms == other.start_ms
        names = _run_to_end(self.platform.objects.list_names("usage/"))
        assert len(names) <= 4


def _items(
    deltas: Sequence[usage_delta.UsageDelta],
) -> list[usage_api.UsageItem]:
    return [item for delta in deltas for item in delta.items]


def _figures(items: Sequence[usage_api.UsageItem]) -> tuple[int, int, int]:
    return (
        sum(item.requests for item in items),
        sum(item.prompt_tokens for item in items),
        sum(item.output_tokens for item in items),
    )


def _total(
    reports: Sequence[usage_window.UsageReport],
) -> list[usage_api.UsageItem]:
    total: usage_api.UsageItem | None = None
    for report in reports:
        for item in (*report.figures, *report.carried):
            total = usage_delta.add(total, item)
    return [total] if total else []


def _run_to_end(
    step: Coroutine[Any, Any, Any], between: Callable[[], None] | None = None
) -> Any:
    """Runs a step to its end; calls `between` between platform calls."""
    try:
        while True:
            step.send(None)
            if between:
                between()
    except StopIteration as stop:
        return stop.value


def _scenario(system: _System, gate: _Gate) -> None:
    """Runs three windows with late deltas; the holder may crash."""
    holder = system.holder(gate)
    for late_s in (0.0, 90.0, 150.0):
        _run_to_end(holder.step())
        system.count()
        system.count(age_s=late_s)
        system.deliver(holder)
        system.clock.advance(_WINDOW_S + 21)
        _run_to_end(holder.step(), lambda: system.deliver(holder))
        system.deliver(holder)


def test_crash_at_every_step_counts_each_item_once() -> None:
    plain = _Gate()
    system = _System()
    _scenario(system, plain)
    system.recover_and_check()
    assert plain.calls > 20
    for crash_at, after in itertools.product(
        range(1, plain.calls + 1), (False, True)
    ):
        system = _System()
        system.count()
        try:
            _scenario(system, _Gate(crash_at, after))
        except _CrashError:
            system.count(age_s=30.0)
            system.recover_and_check()
        else:
            raise AssertionError(f"no crash at call {crash_at}")


def test_holder_whose_lease_ends_as_it_reports_sends_nothing() -> None:
    """Guards against a report that is sent after the lease has ended.

    This happens if the lease is not checked again when the report is written.
    """
    calls = itertools.count(1)
    while True:
        system = _System()
        lease = _Lease()
        holder = system.holder(lease=lease)
        _run_to_end(holder.step())
        system.count()
        system.deliver(holder)
        system.clock.advance(2 * _WINDOW_S)
        step = holder.step()
        stop_at = next(calls)
        try:
            for _ in range(stop_at):
                step.send(None)
        except StopIteration:
            break
        sent = len(system.platform.usage.calls)
        lease.number = None
        _run_to_end(step)
        assert len(system.platform.usage.calls) == sent
        system.recover_and_check()
    assert stop_at > 5


def test_holder_that_hands_over_while_it_seals_does_not_fail() -> None:
    """Guards against a seal that goes on with drafts that were discarded."""
    calls = itertools.count(1)
    while True:
        system = _System()
        holder = system.holder()
        _run_to_end(holder.step())
        system.count()
        system.deliver(holder)
        system.clock.advance(2 * _WINDOW_S)
        step = holder.step()
        stop_at = next(calls)
        try:
            for _ in range(stop_at):
                step.send(None)
        except StopIteration:
            break
        _run_to_end(holder.hand_over())
        _run_to_end(step)
        system.recover_and_check()
    assert stop_at > 5


def test_late_items_are_listed_apart() -> None:
    system = _System()
    _scenario(system, _Gate())
    bodies = list(system.platform.usage.booked.values())
    report = serialization.from_json(bodies[-1], usage_window.UsageReport)
    assert [item.requests for item in report.figures] == [1]
    assert [item.requests for item in report.carried] == [1]


def test_holder_paused_until_its_window_is_removed_reports_nothing() -> None:
    """Guards against a report from a window that was already removed.

    A paused holder recreates the window, and does not notice if `append` does
    not read the progress after the write.
    """
    system = _System()
    gate = _Gate()
    paused = system.holder(gate)
    _run_to_end(paused.step())
    system.count()
    system.deliver(paused)
    system.clock.advance(2 * _WINDOW_S)
    step = paused.step()
    step.send(None)  # Pauses before the creation of the first window.
    other = system.holder()
    for _ in range(5):
        system.clock.advance(_WINDOW_S)
        _run_to_end(other.step())
    assert len(system.platform.usage.booked) >= 4
    _run_to_end(step, lambda: system.deliver(paused))
    system.recover_and_check()


def test_window_object_stays_under_a_megabyte() -> None:
    """Guards against a window object that is too large for the platform.

    This happens if `WindowDraft.add` does not enforce its size limit.
    """
    draft = usage_window.WindowDraft(0, 60_000)
    run = usage_delta.RunId("entry-1", 7)
    planned = [
        (f"customer-{number:03d}", f"class-{tier}")
        for number, tier in itertools.product(range(700), range(5))
    ]
    odd = [(f'customer "{number}" \u00e9', "chat") for number in range(5000)]
    deltas = [
        usage_delta.UsageDelta(
            usage_delta.DeltaId(run, sequence),
            0,
            (usage_api.UsageItem(*names, 10**6, 10**12, 10**12),),
        )
        for sequence, names in enumerate((*planned, *odd))
    ]
    record_bytes = 60_000
    added = [draft.add(delta, record_bytes) for delta in deltas]
    assert all(added[: len(planned)])
    first = usage_window.StoredWindow(0, 0, 0)
    body = serialization.to_json(usage_window.seal(first, draft, 1, "id"))
    assert len(body) <= platform_api.MAX_OBJECT_BYTES - record_bytes


class _Holder:
    """A holder that executes its steps a few platform calls at a time."""

    def __init__(self, system: _System) -> None:
        self._system = system
        self.restart()

    def restart(self) -> None:
        self.sealing = self._system.holder()
        self._step: Coroutine[Any, Any, None] | None = None

    def go_on(self, calls: int) -> None:
        for _ in range(calls):
            self._step = self._step or self.sealing.step()
            try:
                self._step.send(None)
            except StopIteration:
                self._step = None


def _actions(
    system: _System, holders: Sequence[_Holder]
) -> dict[str, Callable[[int, int], None]]:
    faults = system.platform.objects.faults

    def lose(which: int, count: int) -> None:
        if which:
            faults.lose_answers = count % 3
        else:
            faults.lose_requests = count % 3
        system.platform.usage.lose_answers = count % 2

    def outage(which: int, count: int) -> None:
        faults.down = bool(which)
        system.platform.usage.down = count % 3 == 0

    return {
        "go_on": lambda which, count: holders[which].go_on(count),
        "finish": lambda which, _: holders[which].go_on(40),
        "count": lambda which, count: system.count(age_s=20.0 * count),
        "deliver": lambda which, _: system.deliver(holders[which].sealing),
        "advance": lambda _, count: system.clock.advance(20.0 * count),
        "restart": lambda which, _: holders[which].restart(),
        "lose": lose,
        "outage": outage,
    }


_ACTION_NAMES = (
    *("go_on", "go_on", "finish", "finish", "count", "deliver", "deliver"),
    *("advance", "advance", "restart", "lose", "outage"),
)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(_ACTION_NAMES),
        strategies.integers(0, 1),
        strategies.integers(1, 12),
    ),
    min_size=20,
    max_size=80,
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(_STEPS)
def test_two_holders_never_double_nor_lose(
    steps: list[tuple[str, int, int]],
) -> None:
    system = _System()
    holders = (_Holder(system), _Holder(system))
    actions = _actions(system, holders)
    system.count()
    for action, which, count in steps:
        actions[action](which, count)
    for holder in holders:
        holder.go_on(40)
    system.recover_and_check()


def test_a_new_holder_waits_for_deltas_before_it_seals() -> None:
    """Guards against sealing before the daemons have delivered their deltas.

    Found on both sites' trouble-2: a holder that took over from a frozen one
    sealed the windows that were due at once, without the counts of any daemon.
    This happens if `_sealing_due` considers only the end of the window.
    """
    system = _System()
    first = system.holder()
    _run_to_end(first.step())
    system.clock.advance(_WINDOW_S * 0.5)
    system.count()
    system.clock.advance(_WINDOW_S * 2)
    second = system.holder()
    _run_to_end(second.step())
    system.deliver(second)
    system.clock.advance(_WINDOW_S)
    _run_to_end(second.step())
    bodies = system.platform.usage.booked.values()
    reports = [
        serialization.from_json(body, usage_window.UsageReport)
        for body in bodies
    ]
    assert sum(len(report.figures) for report in reports) == 1
    assert not any(report.carried for report in reports)
