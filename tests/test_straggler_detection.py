"""Tests of straggler detection on seeded latencies.

Faults that these tests detect: a wrong sign of `ALLOWANCE` (false alarms), a
missing check of `_SERVERS_PER_STRAGGLER` in `_alarm` (a slow pool loses its
servers), a missing call of `_end_probations` or check of `_CLEAR_LIMIT` (a
straggler is never cleared), a missing `batch.bit_length()` (large batches look
slow), and a missing `_latest.popleft` (the comparison with a plain reference
fails).
"""

import collections
from collections.abc import Sequence
import random
import statistics

import hypothesis
from hypothesis import strategies as st
import pytest

from figstream import straggler_detection

_SERVERS = 12
_IN_CONTROL_TARGET = 5_000
_CLEARED_WITHIN = 30
_STEP_S = 0.1


class _Pool:
    """A pool that draws the server and latency of each answer by seed."""

    def __init__(self, seed: int, *, heavy_tail: bool = False) -> None:
        self.detector = straggler_detection.make_straggler_detector()
        self.factors = [1.0] * _SERVERS
        self.batches = [8] * _SERVERS
        self.skips_stragglers = False
        self.alarms: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self._source = random.Random(seed)
        self._heavy_tail = heavy_tail

    def observe(self, count: int) -> None:
        for _ in range(count):
            self.now += _STEP_S
            server = self._source.randrange(_SERVERS)
            before = self.detector.stragglers()
            if self.skips_stragglers and f"s{server}" in before:
                continue
            self.detector.observe(
                f"s{server}",
                "p",
                self._latency() * self.factors[server] * self.batches[server],
                self.batches[server],
                self.now,
            )
            self.alarms.update(self.detector.stragglers() - before)

    def _latency(self) -> float:
        if self._heavy_tail:
            return self._source.paretovariate(2.5)
        return self._source.lognormvariate(0.0, 0.5)


@pytest.mark.parametrize("heavy_tail", [False, True])
def test_healthy_servers_are_seldom_taken_for_stragglers(
    heavy_tail: bool,
) -> None:
    pools = [_Pool(seed, heavy_tail=heavy_tail) for seed in range(4)]
    for pool in pools:
        pool.observe(60_000)
    alarms = sum(pool.alarms.total() for pool in pools)
    assert alarms <= 4 * 60_000 / _IN_CONTROL_TARGET


@pytest.mark.parametrize(("factor", "limit"), [(4.0, 15), (2.0, 50)])
def test_a_straggler_is_found_and_comes_back_once_it_is_well(
    factor: float, limit: int
) -> None:
    pool = _Pool(4)
    pool.observe(3_000)
    pool.factors[5] = factor
    pool.observe(limit * _SERVERS)
    assert "s5" in pool.detector.stragglers()
    for _ in range(100):
        pool.observe(30)
        assert "s5" in pool.detector.stragglers()
    pool.factors[5] = 1.0
    pool.observe(_CLEARED_WITHIN * _SERVERS)
    assert "s5" not in pool.detector.stragglers()


def test_a_straggler_without_work_comes_back_on_probation() -> None:
    pool = _Pool(4)
    pool.observe(3_000)
    pool.factors[5] = 4.0
    pool.skips_stragglers = True
    pool.observe(15 * _SERVERS)
    found_at, found = pool.now, pool.alarms["s5"]
    while pool.now < found_at + 3 * straggler_detection.MAX_PROBATION_S:
        pool.observe(10)
    assert 4 <= pool.alarms["s5"] - found <= 8
    pool.factors[5] = 1.0
    pool.observe(int(2 * straggler_detection.MAX_PROBATION_S / _STEP_S))
    assert "s5" not in pool.detector.stragglers()


def test_a_pool_that_slows_down_as_a_whole_keeps_its_servers() -> None:
    pool = _Pool(5)
    pool.observe(3_000)
    pool.factors = [3.0] * _SERVERS
    for _ in range(600):
        pool.observe(1)
        assert len(pool.detector.stragglers()) <= _SERVERS // 3
    pool.observe(2_000)
    assert len(pool.detector.stragglers()) <= 1


def test_large_batches_do_not_make_a_straggler() -> None:
    pool = _Pool(6)
    pool.batches = [1] * (_SERVERS // 2) + [16] * (_SERVERS // 2)
    pool.observe(6_000)
    assert pool.alarms.total() <= 2


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(st.lists(st.integers(0, 50), min_size=60, max_size=600))
def test_ranks_match_a_plain_reference(values: Sequence[int]) -> None:
    reference = straggler_detection._Reference()
    for value in values:
        reference.add(float(value))
    kept = values[-straggler_detection.REFERENCE_LENGTH :]
    for value in values[:20]:
        below = sum(item < value for item in kept)
        same = sum(item == value for item in kept)
        rank = (below + same / 2 + 0.5) / (len(kept) + 1)
        expected = statistics.NormalDist().inv_cdf(rank)
        assert reference.score(float(value)) == pytest.approx(expected)
