"""Simulates a model engine in virtual time for the scheduler benchmarks.

The engine batches continuously: every running request gets one token per
step, and a step takes longer the more requests run. The engine has a bounded
prefix cache, queues requests beyond its slots by priority, refuses requests
when this queue is full, and can crash or straggle.
"""

import bisect
import collections
from collections.abc import Callable
import heapq
import itertools
from typing import Final

import attrs

from bench import virtual_time

STEP_S: Final = 0.02
STEP_PER_REQUEST: Final = 0.03
PROMPT_TOKENS_PER_STEP: Final = 60.0
_CACHED_PREFIXES: Final = 32


@attrs.define(eq=False)
class Job:
    """One attempt that the engine runs or queues.

    Attributes:
      key: id of the attempt.
      tier: priority; 0 is the highest.
      prompt_tokens: length of the prompt.
      output_tokens: number of tokens to generate.
      prefix: hash of the prompt prefix.
      prefix_tokens: prompt tokens without prefill if the prefix is cached.
      crashes: whether the attempt crashes the engine.
      first_byte: called when the first token is generated.
      ended: called at the end with whether the answer is complete, and the
        number of tokens generated.
    """

    key: str
    tier: int
    prompt_tokens: int
    output_tokens: int
    prefix: int
    prefix_tokens: int
    crashes: bool
    first_byte: Callable[[], None]
    ended: Callable[[bool, int], None]
    _start: float = 0.0
    _prefill: float = 0.0


class FakeEngine:
    """Fake model engine with continuous batching."""

    def __init__(
        self, name: str, slots: int, time: virtual_time.VirtualTime
    ) -> None:
        """Initializes an idle engine."""
        self.name = name
        self.slots = slots
        self.slowness = 1.0
        self.alive = True
        self.steps_done = 0.0
        self._time = time
        self._steps = 0.0
        self._updated = 0.0
        self._sequence = itertools.count()
        self._running: dict[str, Job] = {}
        self._marks: list[tuple[float, int, str, bool]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._cache: collections.OrderedDict[int, None]
        self._cache = collections.OrderedDict()
        self._wake = 0
        self._down: list[list[float]] = []

    @property
    def running(self) -> int:
        """Returns the number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Returns the number of requests in the engine's own queue."""
        return len(self._waiting)

    def up_s(self, until: float) -> float:
        """Returns the seconds for which the engine was up before a time."""
        return until - sum(
            max(0.0, min(end, until) - min(start, until))
            for start, end in self._down
        )

    def submit(self, job: Job) -> bool:
        """Queues a job; returns False if the engine is down or full."""
        if not self.alive or len(self._waiting) >= self.slots:
            return False
        bisect.insort(
            self._waiting,
            (job.tier, next(self._sequence), job),
            key=lambda item: item[:2],
        )
        self._advance()
        return True

    def cancel(self, key: str) -> int:
        """Stops a job; returns the number of tokens generated for it."""
        self._advance()
        job = self._running.pop(key, None)
        self._waiting = [item for item in self._waiting if item[2].key != key]
        self._advance()
        return self._generated(job) if job else 0

    def set_slowness(self, factor: float) -> None:
        """Sets the factor by which every step takes longer."""
        self._advance()
        self.slowness = factor
        self._schedule()

    def crash(self, restart_after_s: float | None) -> None:
        """Fails all jobs and clears the cache.

        Args:
          restart_after_s: time until the restart, or None for no restart.
        """
        self._advance()
        lost = [*self._running.values(), *(item[2] for item in self._waiting)]
        tokens = [self._generated(job) for job in lost]
        self._running.clear()
        self._waiting.clear()
        self._marks.clear()
        self._cache.clear()
        self.alive = False
        self._down.append([self._time.now, float("inf")])
        if restart_after_s is not None:
            self._time.after(restart_after_s, self._restart)
        for job, generated in zip(lost, tokens, strict=True):
            job.ended(False, generated)

    def _restart(self) -> None:
        self.alive = True
        self._down[-1][1] = self._time.now
        self._updated = self._time.now

    def _step_s(self) -> float:
        return STEP_S * (1 + STEP_PER_REQUEST * self.running) * self.slowness

    def _generated(self, job: Job) -> int:
        if job.key not in self._running and not job._start:
            return 0
        done = self._steps - job._start - job._prefill
        return int(min(max(0.0, done), job.output_tokens))

    def _advance(self) -> None:
        """Simulates all steps until now and starts jobs in free slots."""
        passed = (self._time.now - self._updated) / self._step_s()
        self._updated = self._time.now
        self._steps += passed
        self.steps_done += passed * self.running
        while self._marks and self._marks[0][0] <= self._steps + 1e-9:
            _, _, key, last = heapq.heappop(self._marks)
            job = self._running.get(key)
            if job is None:
                continue
            if last:
                del self._running[key]
                job.ended(True, job.output_tokens)
            else:
                job.first_byte()
        while self._waiting and self.running < self.slots and self.alive:
            self._start(self._waiting.pop(0)[2])
        self._schedule()

    def _start(self, job: Job) -> None:
        cached = job.prefix in self._cache
        tokens = job.prompt_tokens - (job.prefix_tokens if cached else 0)
        job._start = self._steps
        job._prefill = tokens / PROMPT_TOKENS_PER_STEP
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        while len(self._cache) > _CACHED_PREFIXES:
            self._cache.popitem(last=False)
        self._running[job.key] = job
        if job.crashes:
            self._time.after(0.2, lambda: self._crash_by(job))
        first = self._steps + job._prefill + 1.0
        last = self._steps + job._prefill + job.output_tokens
        for mark, ends in ((first, False), (last, True)):
            entry = (mark, next(self._sequence), job.key, ends)
            heapq.heappush(self._marks, entry)

    def _crash_by(self, job: Job) -> None:
        if job.key in self._running:
            self.crash(5.0)

    def _schedule(self) -> None:
        if not self._marks or not self._running:
            return
        self._wake += 1
        wake = self._wake
        left = max(0.0, self._marks[0][0] - self._steps)
        self._time.after(left * self._step_s(), lambda: self._on_wake(wake))

    def _on_wake(self, wake: int) -> None:
        if wake == self._wake:
            self._advance()
