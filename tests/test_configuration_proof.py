"""Tests when a refusal may rest on the active configuration."""

import anyio
import pytest

from figstream import clock as clock_lib
from figstream import configuration
from figstream import configuration_holder
from figstream import configuration_proof

_CHANGE_S = 3.0


class _Fixture:
    """A proof whose reads the test answers.

    Attributes:
      answers: whether the store answers reads.
      reads: reads so far.
    """

    def __init__(self, unconfirmed_s: float) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.holder = configuration_holder.ConfigurationHolder(self.clock)
        self.holder.replace(configuration.Configuration(generation=1))
        self.holder.confirm(1, unconfirmed_s)
        self.answers = True
        self.reads = 0
        self.proof = configuration_proof.ConfigurationProof(
            self.holder, self.clock, _CHANGE_S, self._read
        )

    async def _read(self) -> bool:
        self.reads += 1
        await anyio.sleep(0.01)
        if self.answers:
            self.holder.confirm(1)
        return self.answers


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("unconfirmed_s", "answers", "proven", "reads"),
    [
        (0.0, False, True, 0),
        (3.0, False, True, 0),
        (3.1, True, True, 1),
        (3.1, False, False, 1),
        (9999.0, True, True, 1),
    ],
)
async def test_a_refusal_needs_a_proof_no_older_than_a_change_may_take(
    unconfirmed_s: float, answers: bool, proven: bool, reads: int
) -> None:
    fixture = _Fixture(unconfirmed_s)
    fixture.answers = answers
    assert await fixture.proof.renew(fixture.clock.now()) == proven
    assert fixture.reads == reads


@pytest.mark.anyio
async def test_requests_that_wait_for_a_proof_share_one_read() -> None:
    """Fails if callers with wrong paths make a paid call each."""
    fixture = _Fixture(60.0)
    found: list[bool] = []

    async def renew() -> None:
        found.append(await fixture.proof.renew(fixture.clock.now()))

    async with anyio.create_task_group() as group:
        for _ in range(20):
            group.start_soon(renew)
    assert (found, fixture.reads) == ([True] * 20, 1)


@pytest.mark.anyio
async def test_a_store_that_does_not_answer_is_asked_twice_a_second() -> None:
    fixture = _Fixture(60.0)
    fixture.answers = False
    for _ in range(40):
        assert not await fixture.proof.renew(fixture.clock.now())
        fixture.clock.advance(0.05)
    assert fixture.reads == 4


@pytest.mark.anyio
async def test_a_caller_does_not_wait_for_a_silent_store() -> None:
    fixture = _Fixture(60.0)
    fixture.proof._read = anyio.sleep_forever  # type: ignore[assignment]
    with anyio.fail_after(0.3 * _CHANGE_S):
        assert not await fixture.proof.renew(fixture.clock.now())
