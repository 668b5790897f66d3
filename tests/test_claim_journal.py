"""Tests that a claimed call runs at most once under every fault.

Guards against two failures. A call runs twice if `RangeWriter._commit` treats
`Unknown` like `Written`. A key stays blocked if `RangeWriter._fail` does not
call `_withdraw`, or if `_commit` does not compare the page's version with
`_unconfirmed_version`. The property test fails with any of these changes.
"""

from collections.abc import Sequence
import random

import anyio
import anyio.abc
import anyio.lowlevel
import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from figstream import claim_group_commit
from figstream import claim_journal
from figstream import claim_record
from figstream import claims_api
from figstream import clock as clock_lib
from figstream import errors
from figstream import metrics
from figstream import platform_api
from figstream import platform_memory
from figstream import reasons

_HAND_OVER_LIMIT_S = 10.0
_DAEMONS = 3
_KEYS = ("k0", "k1")
_FAULTS = ("ok", "ok", "down", "lose_answer", "lose_request", "late")
_ENDINGS = ("answered", "answered", "back_end_crash", "not_reached", "gone")


class _FrozenClock(clock_lib.ManualClock):
    """A clock that does not advance, so that nothing expires."""

    async def sleep(self, seconds: float) -> None:
        await anyio.lowlevel.checkpoint()


class _FaultyStore(platform_memory.MemoryObjectStore):
    """A store with one scripted fault per call; late writes are delayed."""

    def __init__(self, script: Sequence[str] = ()) -> None:
        super().__init__()
        self.script = list(script)
        self.late: list[tuple[str, bytes, int]] = []

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        await anyio.lowlevel.checkpoint()
        if self._next_fault() == "down":
            return platform_api.Unavailable("down")
        return await super().read(name)

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        await anyio.lowlevel.checkpoint()
        fault = self._next_fault()
        if fault == "down":
            return platform_api.Unavailable("down")
        if fault in {"late", "hang"}:
            self.late.append((name, body, expected_version))
        if fault == "hang":
            await anyio.sleep_forever()
        if fault in {"late", "lose_request"}:
            return platform_api.Unknown(fault)
        outcome = await super().write(name, body, expected_version)
        return platform_api.Unknown("lost") if fault != "ok" else outcome

    async def land_late_write(self) -> None:
        if self.late:
            await super().write(*self.late.pop(0))

    def _next_fault(self) -> str:
        return self.script.pop(0) if self.script else "ok"


@attrs.define
class _System:
    """Several daemons that use one platform and one backend server."""

    store: _FaultyStore
    tasks: anyio.abc.TaskGroup
    journals: dict[int, claim_journal.PlatformClaimJournal] = attrs.field(
        factory=dict
    )
    scopes: dict[int, anyio.CancelScope] = attrs.field(factory=dict)
    starts: int = 0
    runs: list[str] = attrs.field(factory=list)
    answers: dict[str, bytes] = attrs.field(factory=dict)
    unresolved_keys: set[str] = attrs.field(factory=set)
    calls: dict[int, list[tuple[str, anyio.CancelScope]]] = attrs.field(
        factory=dict
    )

    def start(self, daemon: int) -> None:
        self.starts += 1
        journal = _journal(self.store, f"fig-{daemon}-{self.starts}")
        self.journals[daemon] = journal
        self.scopes[daemon] = anyio.CancelScope()
        self.calls[daemon] = []
        self.tasks.start_soon(_run_journal, journal, self.scopes[daemon])

    async def crash(self, daemon: int) -> None:
        """Restarts a daemon; keys of its open calls may stay unresolved."""
        self.scopes[daemon].cancel()
        for key, scope in self.calls[daemon]:
            self.unresolved_keys.add(key)
            scope.cancel()
        self.start(daemon)
        await anyio.lowlevel.checkpoint()

    async def call(self, daemon: int, key: str, ending: str) -> None:
        scope = anyio.CancelScope()
        self.calls[daemon].append((key, scope))
        if ending == "gone":
            self.tasks.start_soon(_cancel_soon, scope)
        with scope:
            await self._call(self.journals[daemon], key, ending)

    async def _call(
        self, journal: claim_journal.PlatformClaimJournal, key: str, ending: str
    ) -> None:
        outcome = await journal.claim("c", key, 7)
        if isinstance(outcome, claims_api.AlreadyAnswered):
            assert outcome.result.body == self.answers[key]
        if not isinstance(outcome, claims_api.Claimed):
            return
        if ending == "not_reached":
            await journal.release(outcome)
            return
        self.runs.append(key)
        if ending != "answered":
            self.unresolved_keys.add(key)
            return
        self.answers[key] = f"{outcome.claim_id}".encode()
        await journal.complete(outcome, _result(self.answers[key]))


def _result(body: bytes) -> claims_api.StoredResult:
    return claims_api.StoredResult(200, "application/json", body)


def _journal(
    store: platform_api.ObjectStore,
    owner: str,
    clock: clock_lib.Clock | None = None,
    timeout_s: float = 5.0,
) -> claim_journal.PlatformClaimJournal:
    return claim_journal.PlatformClaimJournal(
        store,
        clock or _FrozenClock(),
        owner,
        timeout_s=timeout_s,
        metrics=metrics.make_unexported_metrics(),
        jitter=random.Random(1),
        range_count=1,
    )


async def _run_journal(
    journal: claim_journal.PlatformClaimJournal, scope: anyio.CancelScope
) -> None:
    with scope:
        await journal.run()


async def _cancel_soon(scope: anyio.CancelScope) -> None:
    for _ in range(3):
        await anyio.lowlevel.checkpoint()
    scope.cancel()


_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.integers(0, _DAEMONS - 1),
            st.sampled_from(_KEYS),
            st.sampled_from(_ENDINGS),
            st.integers(0, 12),
        ),
        st.tuples(st.integers(0, _DAEMONS - 1), st.just("crash")),
        st.just(("late",)),
    ),
    min_size=2,
    max_size=14,
)


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(_STEPS, st.lists(st.sampled_from(_FAULTS), max_size=40))
def test_a_call_runs_at_most_once_and_no_key_stays_blocked(
    steps: Sequence[tuple[int, str, str, int]], faults: Sequence[str]
) -> None:
    anyio.run(_run_steps, steps, faults)


async def _run_steps(
    steps: Sequence[tuple[int, str, str, int]], faults: Sequence[str]
) -> None:
    async with anyio.create_task_group() as tasks:
        system = _System(_FaultyStore(faults), tasks)
        for daemon in range(_DAEMONS):
            system.start(daemon)
        await anyio.lowlevel.checkpoint()
        for step in steps:
            if len(step) == 1:
                await system.store.land_late_write()
            elif len(step) == 2:
                await system.crash(step[0])
            else:
                tasks.start_soon(system.call, *step[:3])
                for _ in range(step[3]):
                    await anyio.lowlevel.checkpoint()
        await _check_after_recovery(system)
        tasks.cancel_scope.cancel()
    assert all(system.runs.count(key) <= 1 for key in _KEYS)


async def _check_after_recovery(system: _System) -> None:
    """Checks that no key is blocked after all faults and delays end."""
    system.store.script.clear()
    for _ in range(150):
        await anyio.lowlevel.checkpoint()
    while system.store.late:
        await system.store.land_late_write()
    for _ in range(150):
        await anyio.lowlevel.checkpoint()
    for key in _KEYS:
        outcome = await system.journals[0].claim("c", key, 7)
        if key in system.answers and key not in system.unresolved_keys:
            assert outcome == claims_api.AlreadyAnswered(
                _result(system.answers[key])
            )
        elif key in system.runs:
            assert not isinstance(outcome, claims_api.Claimed)
        elif key not in system.unresolved_keys:
            assert isinstance(outcome, claims_api.Claimed), outcome


@pytest.mark.anyio
async def test_a_repeat_gets_the_first_answer_and_others_are_refused() -> None:
    store = _FaultyStore()
    async with anyio.create_task_group() as tasks:
        first, second = (_journal(store, name) for name in ("a", "b"))
        for journal in (first, second):
            tasks.start_soon(journal.run)
        await anyio.lowlevel.checkpoint()
        claim = await first.claim("c", "k", 7)
        assert isinstance(claim, claims_api.Claimed)
        early = await second.claim("c", "k", 7)
        assert _refusal(early) == ("claim_unresolved", "may_have_run")
        for size in (10, 5_000):
            body = b"x" * size
            other = await first.claim("c", f"k{size}", 7)
            assert isinstance(other, claims_api.Claimed)
            assert await first.complete(other, _result(body))
            repeat = await second.claim("c", f"k{size}", 7)
            assert repeat == claims_api.AlreadyAnswered(_result(body))
        huge = _result(b"x" * (claim_record.MAX_RESULT_BYTES + 1))
        assert not await first.complete(claim, huge)
        late = await second.claim("c", "k", 7)
        assert _refusal(late) == ("claim_unresolved", "ran")
        mismatch = await second.claim("c", "k", 8)
        assert _refusal(mismatch) == ("claim_mismatch", "not_run")
        store.faults.down = True
        down = await second.claim("c", "new", 7)
        assert _refusal(down) == ("claim_unavailable", "not_run")
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_platform_that_hangs_refuses_and_does_not_block_the_key() -> (
    None
):
    """Guards against a write that hangs and then takes effect late.

    Without the timeouts in `RangeWriter` the claim is never refused, and
    without `_withdraw` the late write leaves the key claimed.
    """
    store = _FaultyStore(["ok"] + ["hang", "down"] * 3)
    async with anyio.create_task_group() as tasks:
        first = _journal(store, "a", timeout_s=0.02)
        second = _journal(store, "b")
        for journal in (first, second):
            tasks.start_soon(journal.run)
        await anyio.lowlevel.checkpoint()
        hung = await first.claim("c", "k", 7)
        assert _refusal(hung) == ("claim_unavailable", "not_run")
        assert store.late
        store.script.clear()
        await store.land_late_write()
        with anyio.fail_after(_HAND_OVER_LIMIT_S):
            await first.hand_over()
        outcome = await second.claim("c", "k", 7)
        assert isinstance(outcome, claims_api.Claimed)
        tasks.cancel_scope.cancel()


def _refusal(outcome: claims_api.ClaimOutcome) -> tuple[str, str]:
    assert isinstance(outcome, errors.Refusal)
    assert outcome.reason in reasons.RefusalReason
    return outcome.reason.value, outcome.run_state.value


@pytest.mark.anyio
async def test_many_waiting_claims_share_one_write_and_expire() -> None:
    """Guards against one write per claim, as with a batch limit of 1.

    `MAX_CLAIMS_PER_WRITE` sets how many claims one write contains. The test
    also checks that a claim expires after the retention time.
    """
    store, clock = _FaultyStore(), clock_lib.ManualClock(1_000.0)
    async with anyio.create_task_group() as tasks:
        journal = _journal(store, "a", clock)
        tasks.start_soon(journal.run)
        await anyio.lowlevel.checkpoint()
        async with anyio.create_task_group() as callers:
            for number in range(50):
                callers.start_soon(journal.claim, "c", f"k{number}", 7)
        assert store.writes <= 2
        clock.advance(claim_record.RETENTION_S + 1)
        again = await journal.claim("c", "k0", 7)
        assert isinstance(again, claims_api.Claimed)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_waiting_claims_are_limited() -> None:
    """Guards against a limit on waiting answers instead of waiting claims."""
    store = _FaultyStore()
    writer = claim_group_commit.RangeWriter(
        store,
        clock_lib.ManualClock(),
        "claims/range-0000",
        1.0,
        random.Random(1),
    )
    changes = [
        claim_group_commit.ClaimChange(
            claim_record.ClaimRecord(f"d{number}", 1, f"a-{number}", 1e9)
        )
        for number in range(claim_group_commit.MAX_PENDING_CLAIMS + 5)
    ]
    for change in changes:
        writer.add_claim(change)
    refused = [item for item in changes if item.done.is_set()]
    assert refused == changes[-5:]


@pytest.mark.anyio
async def test_expired_answers_are_deleted_after_a_lost_answer() -> None:
    """Guards against objects that stay when a write's answer was lost."""
    store, clock = _FaultyStore(), clock_lib.ManualClock(1_000.0)
    async with anyio.create_task_group() as tasks:
        journal = _journal(store, "a", clock)
        tasks.start_soon(journal.run)
        await anyio.lowlevel.checkpoint()
        claim = await journal.claim("c", "long", 7)
        assert isinstance(claim, claims_api.Claimed)
        assert await journal.complete(claim, _result(b"x" * 5_000))
        assert await store.list_names("claims/result/")
        clock.advance(claim_record.RETENTION_S + 1)
        store.faults.lose_answers = 1
        await journal.claim("c", "long", 7)
        with anyio.move_on_after(1.0):
            while await store.list_names("claims/result/"):
                await anyio.sleep(0.01)
        assert not await store.list_names("claims/result/")
        tasks.cancel_scope.cancel()


def test_a_page_stays_under_a_megabyte() -> None:
    """Guards against a page that is too large for the platform.

    New claims are refused at a size that leaves room for every answer.
    """
    draft = claim_record.PageDraft(b"")
    result = claim_record.ResultRecord(200, "a" * 100, b"\\" * 512)
    records = [
        claim_record.ClaimRecord(
            claim_record.key_digest("c", str(number)), 2**64 - 1, "a", 1e9
        )
        for number in range(4_000)
    ]
    held = [record for record in records if draft.claim(record)]
    assert 1_000 < len(held) < 4_000
    for record in held:
        assert draft.complete(record.digest, record.claim_id, result)
    assert len(draft.encode()) < platform_api.MAX_OBJECT_BYTES
