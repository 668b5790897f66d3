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
STEP_GROWTH_PER_REQUEST: Final = 0.03
PROMPT_TOKENS_PER_STEP: Final = 60.0
_CACHED_PREFIXES: Final = 32


@attrs.define(eq=False)
class EngineRequest:
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
    _prefill_steps: float = 0.0


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
        self._running: dict[str, EngineRequest] = {}
        self._token_events: list[tuple[float, int, str, bool]] = []
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._cache: collections.OrderedDict[int, None]
        self._cache = collections.OrderedDict()
        self._latest_wake = 0
        self._down_intervals: list[list[float]] = []

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
            for start, end in self._down_intervals
        )

    def submit(self, request: EngineRequest) -> bool:
        """Queues a request; returns False if the engine is down or full."""
        if not self.alive or len(self._waiting) >= self.slots:
            return False
        bisect.insort(
            self._waiting,
            (request.tier, next(self._sequence), request),
            key=lambda item: item[:2],
        )
        self._advance()
        return True

    def cancel(self, key: str) -> int:
        """Stops a request; returns the number of tokens generated for it."""
        self._advance()
        request = self._running.pop(key, None)
        self._waiting = [item for item in self._waiting if item[2].key != key]
        self._advance()
        return self._generated(request) if request else 0

    def set_slowness(self, factor: float) -> None:
        """Sets the factor by which every step takes longer."""
        self._advance()
        self.slowness = factor
        self._schedule()

    def crash(self, restart_after_s: float | None) -> None:
        """Fails all requests and clears the cache.

        Args:
          restart_after_s: time until the restart, or None for no restart.
        """
        self._advance()
        lost = [*self._running.values(), *(item[2] for item in self._waiting)]
        tokens = [self._generated(request) for request in lost]
        self._running.clear()
        self._waiting.clear()
        self._token_events.clear()
        self._cache.clear()
        self.alive = False
        self._down_intervals.append([self._time.now, float("inf")])
        if restart_after_s is not None:
            self._time.after(restart_after_s, self._restart)
        for request, generated in zip(lost, tokens, strict=True):
            request.ended(False, generated)

    def _restart(self) -> None:
        self.alive = True
        self._down_intervals[-1][1] = self._time.now
        self._updated = self._time.now

    def _step_s(self) -> float:
        return (
            STEP_S
            * (1 + STEP_GROWTH_PER_REQUEST * self.running)
            * self.slowness
        )

    def _generated(self, request: EngineRequest) -> int:
        if request.key not in self._running and not request._start:
            return 0
        done = self._steps - request._start - request._prefill_steps
        return int(min(max(0.0, done), request.output_tokens))

    def _advance(self) -> None:
        """Simulates all steps until now and starts requests in free slots."""
        passed = (self._time.now - self._updated) / self._step_s()
        self._updated = self._time.now
        self._steps += passed
        self.steps_done += passed * self.running
        while (
            self._token_events
            and self._token_events[0][0] <= self._steps + 1e-9
        ):
            _, _, key, last = heapq.heappop(self._token_events)
            request = self._running.get(key)
            if request is None:
                continue
            if last:
                del self._running[key]
                request.ended(True, request.output_tokens)
            else:
                request.first_byte()
        while self._waiting and self.running < self.slots and self.alive:
            self._start(self._waiting.pop(0)[2])
        self._schedule()

    def _start(self, request: EngineRequest) -> None:
        cached = request.prefix in self._cache
        tokens = request.prompt_tokens - (
            request.prefix_tokens if cached else 0
        )
        request._start = self._steps
        request._prefill_steps = tokens / PROMPT_TOKENS_PER_STEP
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        while len(self._cache) > _CACHED_PREFIXES:
            self._cache.popitem(last=False)
        self._running[request.key] = request
        if request.crashes:
            self._time.after(0.2, lambda: self._crash_if_running(request))
        first = self._steps + request._prefill_steps + 1.0
        last = self._steps + request._prefill_steps + request.output_tokens
        for at_step, ends in ((first, False), (last, True)):
            entry = (at_step, next(self._sequence), request.key, ends)
            heapq.heappush(self._token_events, entry)

    def _crash_if_running(self, request: EngineRequest) -> None:
        if request.key in self._running:
            self.crash(5.0)

    def _schedule(self) -> None:
        if not self._token_events or not self._running:
            return
        self._latest_wake += 1
        wake = self._latest_wake
        left = max(0.0, self._token_events[0][0] - self._steps)
        self._time.after(left * self._step_s(), lambda: self._on_wake(wake))

    def _on_wake(self, wake: int) -> None:
        if wake == self._latest_wake:
            self._advance()
